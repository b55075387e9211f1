// Package maintenance decides which hosts of a wave are maintained next.
//
// The load it answers: operators ask that many hosts be maintained within a time, at most some at once, while these hosts
// are full of work. A host is emptied first and maintained when nothing runs on it any more, so that a wave goes on
// steadily and loses as little work as possible.
package maintenance

import (
	"cmp"
	"slices"
	"strings"
)

// Host is a host of a wave.
type Host struct {
	Name  string
	Begun bool // its maintenance has begun
	Up    bool // it works; a host that is down for any other reason counts as one that is maintained
	Taken bool // it is being emptied, or its maintenance is ordered and it isn't known whether it has begun
	// Load is the work on it: what is lost or moved when it is maintained.
	Load int64
}

// Next returns the hosts to take now, so that at most some of the wave are away at once: those with the least work first,
// because they are emptied soonest.
func Next(mostAtOnce int, hosts []Host) []string {
	away := 0
	var waiting []Host
	for _, h := range hosts {
		switch {
		case h.Taken || !h.Up:
			away++
		case !h.Begun:
			waiting = append(waiting, h)
		}
	}
	slices.SortFunc(waiting, func(a, b Host) int { return cmp.Or(cmp.Compare(a.Load, b.Load), strings.Compare(a.Name, b.Name)) })
	var next []string
	for _, h := range waiting[:min(len(waiting), max(0, mostAtOnce-away))] {
		next = append(next, h.Name)
	}
	return next
}
