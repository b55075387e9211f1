// Package compaction finds running tasks that two hosts can exchange so that their free capacity comes together on one of them.
//
// Tasks that run for long leave pieces of free capacity on many hosts. Two pieces are often enough for a waiting task that fits in
// neither: if the target gives away a task and takes a smaller one in exchange, the difference moves from the partner to the target.
package compaction

import (
	"cmp"
	"slices"

	"galenamoor/pkg/resource"
)

// NoTask is the index of no task.
const NoTask = -1

const (
	// MaxHosts bounds the hosts that a search considers, those with the most free processors. It compares all pairs of them.
	MaxHosts = 64

	// maxComparisons bounds the pairs of tasks that a search compares, to about a millisecond.
	maxComparisons = 100_000
)

// Host is a host that may take part in an exchange.
type Host struct {
	Free    resource.Vector
	Movable []resource.Vector // what each task that may move reserves
}

// Exchange describes tasks that change places. Hosts and tasks are given by their indexes.
type Exchange struct {
	Target   int // host that gets the room
	Partner  int // host that gives it
	Outgoing int // task that moves from the target to the partner
	Incoming int // task that moves from the partner to the target, or NoTask
}

// Moves returns the number of tasks that move.
func (e Exchange) Moves() int {
	if e.Incoming == NoTask {
		return 1
	}
	return 2
}

// Find returns the exchange after which a demand fits on its target. It prefers the one that moves the fewest tasks, and then the one that
// leaves the least free processors on both hosts, so that large pieces stay for large tasks. Exchanges that admits rejects are left out.
// ok is false if there is none.
func Find(demand resource.Vector, hosts []Host, admits func(Exchange) bool) (best Exchange, ok bool) {
	order := roomiest(hosts)
	bestRest, budget := int64(0), maxComparisons
	for i, target := range order {
		for j, partner := range order {
			free := hosts[target].Free.Add(hosts[partner].Free)
			if !demand.Fits(free) {
				if demand.Processors > free.Processors {
					break // the next partners have no more
				}
				continue
			}
			rest := free.Processors - demand.Processors
			if budget <= 0 {
				return best, ok
			}
			if i == j || ok && best.Moves() == 1 && rest >= bestRest {
				continue
			}
			found, exists := between(demand, hosts, target, partner, admits, &budget)
			if exists && (!ok || cmp.Or(cmp.Compare(found.Moves(), best.Moves()), cmp.Compare(rest, bestRest)) < 0) {
				best, bestRest, ok = found, rest, true
			}
		}
	}
	return best, ok
}

// roomiest returns the indexes of the hosts with the most free processors, the roomiest first.
func roomiest(hosts []Host) []int {
	order := make([]int, len(hosts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(hosts[b].Free.Processors, hosts[a].Free.Processors) })
	return order[:min(len(order), MaxHosts)]
}

// between returns the exchange between two hosts that moves the fewest tasks, if there is one. It takes the pairs of tasks compared from
// the budget.
func between(demand resource.Vector, hosts []Host, target, partner int, admits func(Exchange) bool, budget *int) (found Exchange, ok bool) {
	from, to := &hosts[target], &hosts[partner]
	for out, outgoing := range from.Movable {
		if !demand.Fits(from.Free.Add(outgoing)) {
			continue
		}
		if e := (Exchange{target, partner, out, NoTask}); outgoing.Fits(to.Free) && admits(e) {
			return e, true
		}
		*budget -= 1 + len(to.Movable)
		if ok {
			continue // only an exchange that moves one task would be better
		}
		for in, incoming := range to.Movable {
			e := Exchange{target, partner, out, in}
			if demand.Add(incoming).Fits(from.Free.Add(outgoing)) && outgoing.Fits(to.Free.Add(incoming)) && admits(e) {
				found, ok = e, true
				break
			}
		}
	}
	return found, ok
}
