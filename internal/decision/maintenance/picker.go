// Package maintenance selects the hosts of a maintenance wave to drain next.
//
// Operators request maintenance of many loaded hosts within a time limit, with a bound on the hosts that are out of service
// at once. Each host is drained before its maintenance begins, so that the wave progresses steadily and loses as little work
// as possible.
package maintenance

import (
	"cmp"
	"slices"
	"strings"
)

// Host is the state of one host of a wave.
type Host struct {
	Name     string
	Begun    bool // its maintenance has begun
	Up       bool // it is in service; a host that is down for any other reason counts towards the limit too
	Draining bool // it is being drained, or its maintenance was ordered and isn't known to have begun
	// Load is the amount of work on the host that maintenance would interrupt or move, in any unit common to all hosts.
	Load int64
}

// NextHosts returns the hosts to drain now, so that at most maxUnavailable hosts of the wave are draining or out of service
// at once. The least loaded hosts come first, because they are drained soonest.
func NextHosts(maxUnavailable int, hosts []Host) []string {
	unavailable := 0
	var waiting []Host
	for _, h := range hosts {
		switch {
		case h.Draining || !h.Up:
			unavailable++
		case !h.Begun:
			waiting = append(waiting, h)
		}
	}
	slices.SortFunc(waiting, func(a, b Host) int { return cmp.Or(cmp.Compare(a.Load, b.Load), strings.Compare(a.Name, b.Name)) })
	var next []string
	for _, h := range waiting[:min(len(waiting), max(0, maxUnavailable-unavailable))] {
		next = append(next, h.Name)
	}
	return next
}
