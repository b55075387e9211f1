// Package occupancy accounts for the processors of a fleet and for what keeps waiting tasks from starting. It tells a
// fleet that is full from one whose free processors are spread over too many hosts, and both from limits and interference.
package occupancy

import "galenamoor/internal/decision/colocation"

// Cause is what keeps the waiting tasks of a step from starting.
type Cause string

// The causes that a Search finds, in the order in which they are looked for, and those that limit a scheduling pass.
const (
	Processors    Cause = "Processors"    // the hosts together have too few free processors
	Fragmentation Cause = "Fragmentation" // they have enough together, but no single one has
	Memory        Cause = "Memory"        // no host with the processors has the memory or the accelerators
	Limits        Cause = "Limits"        // the hosts with room are excluded by a label, a limit per worker, a ticket or a hold
	Interference  Cause = "Interference"  // the hosts with room run tasks that this one would disturb
	Pending       Cause = "Pending"       // a host accepts it; the assignment is in progress or comes with the next pass

	AccountLimit Cause = "AccountLimit" // a limit of the step's client account allows no further task, or not its gang

	StartLimit  Cause = "StartLimit"  // the last pass didn't reach it, as many starts are in progress
	RatingLimit Cause = "RatingLimit" // the last pass didn't reach it, as it rated many hosts for more urgent steps
)

// Account sums up the usable hosts of a fleet. Processors are in milli-cores.
type Account struct {
	Total       int64 // processors of all hosts
	Reserved    int64 // by serving and dedicated tasks
	Serving     int64 // of Reserved, by serving tasks
	BestEffort  int64 // that best-effort tasks can use
	Free        int64 // not reserved
	LargestFree int64 // not reserved, on the roomiest host

	ServingHosts       int   // hosts with serving tasks
	SpareBesideServing int64 // on those hosts, not expected to be used
	SpareElsewhere     int64 // on the other hosts, not expected to be used
}

// AddHost adds a host to the account. Its serving tasks reserve the given milli-cores.
func (a *Account) AddHost(h *colocation.Host, servingProcessors int64) {
	free := max(0, h.Free.Processors)
	a.Total += h.Processors
	a.Reserved += h.Processors - h.Free.Processors
	a.Serving += servingProcessors
	a.BestEffort += h.BestEffortProcessors
	a.Free += free
	a.LargestFree = max(a.LargestFree, free)
	if h.ServingTasks > 0 {
		a.ServingHosts++
		a.SpareBesideServing += h.Spare
	} else {
		a.SpareElsewhere += h.Spare
	}
}

// Search finds the cause for which a task waits, from the hosts that were considered for it.
type Search struct {
	Demand                                     colocation.Demand
	Refusals                                   map[Refusal]int // number of hosts with room by why they don't get the task
	hasProcessors, hasRoom, isAllowed, accepts bool
	available                                  int64
}

// Consider adds a host to the search. The functions are only called where there is room: refusal returns why the rules of the
// task's step exclude the host, and accepted reports whether the host takes the task beside what it runs.
func (s *Search) Consider(h *colocation.Host, refusal func() Refusal, accepted func() bool) {
	offered := h.Free.Processors
	if s.Demand.Kind == colocation.BestEffort {
		offered = h.Spare
	}
	s.available += max(0, offered)
	if offered < s.Demand.Processors {
		return
	}
	s.hasProcessors = true
	if !colocation.HasRoom(s.Demand, h) {
		return
	}
	s.hasRoom = true
	if reason := refusal(); reason != NotRefused {
		s.refuse(reason)
		return
	}
	s.isAllowed = true
	if !accepted() {
		s.refuse(Disturbed)
		return
	}
	s.accepts = true
}

func (s *Search) refuse(reason Refusal) {
	if s.Refusals == nil {
		s.Refusals = map[Refusal]int{}
	}
	s.Refusals[reason]++
}

// Cause returns why the task waits, given the hosts considered.
func (s *Search) Cause() Cause {
	switch {
	case !s.hasProcessors && s.available < s.Demand.Processors:
		return Processors
	case !s.hasProcessors:
		return Fragmentation
	case !s.hasRoom:
		return Memory
	case !s.isAllowed:
		return Limits
	case !s.accepts:
		return Interference
	}
	return Pending
}
