package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"galenamoor/internal/decision/colocation"
	"galenamoor/internal/decision/workload"
	"galenamoor/pkg/resource"
)

// A perpetual task may need more than any host has free, while the hosts together have enough. Finite tasks need less, so that
// each gap that one of them leaves is backfilled by another and none grows. Room is therefore held on the hosts that have enough
// soonest: other steps get only what the waiting task would leave there. Lasting tasks of the same rank, of which
// there is no steady flow, may still use what is free.

const (
	// maxHeldShare is the share of the hosts that a step may use on which room may be held, so that finite tasks find room on the
	// others.
	maxHeldShare = 0.125

	// maxHoldSearches bounds the steps for which one pass searches for hosts, the most urgent first, so that a pass stays short when
	// many steps wait for room that no host will have.
	maxHoldSearches = 8

	// holdRetryDelay is the time between two searches for a step that found no host, so that steps which fit nowhere leave searches
	// to the others.
	holdRetryDelay = time.Second

	// maxHoldWait is the longest expected time until a held host has room.
	maxHoldWait = 2 * time.Second

	// holdTimeout is the time after which a hold ends without a placement: maxHoldWait, with a margin for the ends to be
	// reported and recorded.
	holdTimeout = maxHoldWait + time.Second
)

// hold is room on a worker that is held for a waiting task of a step.
type hold struct {
	step     *workload.Step
	priority int32 // of the step's queue; more urgent steps ignore the hold
	since    time.Time

	interrupted bool // see isInterrupted; as of the last pass that reached the step
}

// isLasting reports whether the tasks of a step reserve what they use until their job is cancelled.
func isLasting(step *workload.Step) bool {
	return step.GetPerpetual() && !step.GetGang() && kindOf(step) != colocation.BestEffort
}

// countPlaceable returns the number of tasks of a step that wait for a run and may start beside others.
func (d *Dispatcher) countPlaceable(step *workload.Step) int {
	count := 0
	for _, task := range step.Tasks {
		if d.isPlaceable(task) && !d.mustIsolate(task) {
			count++
		}
	}
	return count
}

// updateHolds holds room for the tasks of a lasting step that fit on no host, and ends holds that it no longer needs.
func (d *Dispatcher) updateHolds(c candidate, hosts []host, missing int) {
	if !isLasting(c.step) {
		return
	}
	for held := d.holds[c.step]; len(held) > missing; held = d.holds[c.step] {
		d.endHold(held[len(held)-1], "its task was placed elsewhere")
	}
	for _, w := range d.holds[c.step] {
		w.hold.interrupted = c.interrupted
	}
	needed := missing - len(d.holds[c.step])
	if needed <= 0 || d.holdSearches <= 0 || d.ratingBudget <= 0 || d.now.Before(d.holdRetries[c.step]) {
		return
	}
	d.holdSearches--
	found := d.soonestHosts(c, hosts, needed)
	if len(found) == 0 {
		d.holdRetries[c.step] = d.now.Add(holdRetryDelay)
	}
	for _, chosen := range found {
		w := chosen.worker
		if w.hold != nil {
			d.endHold(w, "a more urgent task needs the room")
		}
		w.hold = &hold{step: c.step, priority: c.queue.GetPriority(), since: d.now, interrupted: c.interrupted}
		d.holds[c.step] = append(d.holds[c.step], w)
		d.config.Count("HoldsStarted")
		d.config.Log.Info("holding room", "Worker", w.incarnation.GetId(), "Step", c.step.Name(), "Free", chosen.Free.Processors,
			"Needed", c.step.GetProcessors(), "ExpectedWait", chosen.wait.String(), "Missing", missing)
	}
}

// heldWorkers returns the number of workers on which room is held.
func (d *Dispatcher) heldWorkers() int {
	count := 0
	for _, held := range d.holds {
		count += len(held)
	}
	return count
}

// isHeldFrom reports whether room is held on a worker that a step may neither hold for itself nor make by preemption.
func (w *worker) isHeldFrom(c candidate) bool {
	return w.hold != nil && w.hold.step != c.step && !w.hold.yieldsTo(c)
}

// yieldsTo reports whether a step precedes that of the hold, so that it ignores the hold.
func (h *hold) yieldsTo(c candidate) bool {
	priority := c.queue.GetPriority()
	return priority < h.priority || priority == h.priority && c.interrupted && !h.interrupted
}

// sharesFree reports whether a step that doesn't precede that of the hold may use what is free on its worker. Lasting steps of the same
// rank may, so that no room stands idle while one that fits it waits.
func (h *hold) sharesFree(c candidate) bool {
	return isLasting(c.step) && h.priority == c.queue.GetPriority() && h.interrupted == c.interrupted
}

// expectedRoom is a host that is expected to have room for a task after a wait.
type expectedRoom struct {
	*host
	wait time.Duration
}

// soonestHosts returns up to count hosts that are expected to have room for a task of a step within maxHoldWait, the soonest first. With
// them, room is held on at most maxHeldShare of the hosts that the step may use.
func (d *Dispatcher) soonestHosts(c candidate, hosts []host, count int) []expectedRoom {
	var found []expectedRoom
	allowed, held := 0, 0
	for i := range hosts {
		h := &hosts[i]
		if !d.allows(c, h.worker) {
			continue
		}
		allowed++
		if h.worker.hold != nil && (h.worker.hold.step == c.step || h.worker.isHeldFrom(c)) {
			held++
			continue
		}
		if h.Suspect || h.IgnoresStarts || h.worker.relocation != nil {
			continue
		}
		d.ratingBudget--
		if wait, ok := d.timeToFit(h, c.step.Demand(), c.queue.GetPriority()); ok && wait <= maxHoldWait {
			found = append(found, expectedRoom{h, wait})
		}
	}
	slices.SortStableFunc(found, func(a, b expectedRoom) int { return cmp.Compare(a.wait, b.wait) })
	limit := max(1, int(maxHeldShare*float64(allowed)))
	return found[:min(len(found), count, max(0, limit-held))]
}

// timeToFit returns the expected time until a host has room for a demand, as its finite runs end or, if they are less urgent, are
// preempted. It returns false if these runs don't release enough.
func (d *Dispatcher) timeToFit(h *host, demand resource.Vector, priority int32) (wait time.Duration, ok bool) {
	free := h.Free
	for _, next := range d.releasesOn(h, priority) {
		if demand.Fits(free) {
			break
		}
		free, wait = free.Add(next.demand), next.after
	}
	return wait, demand.Fits(free)
}

// releases describes when the finite runs of a host are expected to release what they use, the soonest first.
type releases struct {
	priority int32 // for tasks of this priority, which may preempt less urgent ones
	ends     []release
}

// release is the expected end of a run.
type release struct {
	after  time.Duration
	demand resource.Vector
}

// releasesOn returns the expected ends of the finite runs of a host. They are found once in a pass.
func (d *Dispatcher) releasesOn(h *host, priority int32) []release {
	if h.releases != nil && h.releases.priority == priority {
		return h.releases.ends
	}
	h.releases = &releases{priority: priority}
	for r := range h.worker.liveRuns() {
		after := time.Duration(0)
		switch {
		case r.released || r.task.Step.GetPerpetual() && !r.ended && !r.stopRequested:
			continue
		case r.ended:
		case r.stopRequested || d.isPreemptible(r, priority):
			after = d.config.Limits.StopGrace
		default:
			after = d.remainingTime(r)
		}
		h.releases.ends = append(h.releases.ends, release{after, r.task.Step.Demand()})
	}
	slices.SortFunc(h.releases.ends, func(a, b release) int { return cmp.Compare(a.after, b.after) })
	return h.releases.ends
}

// respectsHold reports whether a host has room for a task of a step beside the room that is held there for another step.
func respectsHold(c candidate, demand resource.Vector, h *host) bool {
	if !h.worker.isHeldFrom(c) || h.worker.hold.sharesFree(c) {
		return true
	}
	rest := h.Free.Sub(h.worker.hold.step.Demand())
	return fitsBeside(demand, rest)
}

// fitsBeside reports whether a demand fits in what reservations leave of the free room, which may be less than nothing.
func fitsBeside(demand, rest resource.Vector) bool {
	return demand.Fits(resource.Vector{
		Processors: max(0, rest.Processors), Memory: max(0, rest.Memory), Accelerators: max(0, rest.Accelerators),
	})
}

// endStaleHolds ends the holds that have timed out, those on workers that may get no runs, and those for steps of which no task waits.
func (d *Dispatcher) endStaleHolds() {
	if len(d.holds)+len(d.holdRetries) == 0 {
		return
	}
	wall := d.config.Wall()
	maps.DeleteFunc(d.holdRetries, func(step *workload.Step, _ time.Time) bool { return !hasWaiting(step, wall) })
	held := slices.Concat(slices.Collect(maps.Values(d.holds))...)
	slices.SortFunc(held, func(a, b *worker) int { return cmp.Compare(a.incarnation.GetNumber(), b.incarnation.GetNumber()) })
	for _, w := range held {
		switch {
		case !hasWaiting(w.hold.step, wall):
			d.endHold(w, "no task waits for it")
		case d.workers[w.incarnation.GetNumber()] != w || !d.isUsable(w):
			d.endHold(w, "the worker is unusable")
		case d.now.Sub(w.hold.since) >= holdTimeout:
			d.endHold(w, "it has timed out")
		}
	}
}

// adjustHold ends the hold on a worker to which a task of a step is assigned, if its own task is placed or another lasting one leaves
// too little for it.
func (d *Dispatcher) adjustHold(w *worker, step *workload.Step) {
	switch {
	case w.hold == nil:
	case w.hold.step == step:
		d.endHold(w, "its task is placed")
	case isLasting(step):
		wait, ok := d.timeToFit(hostWithRoom(w), w.hold.step.Demand(), w.hold.priority)
		if !ok || d.now.Add(wait).Sub(w.hold.since) > maxHoldWait {
			d.endHold(w, "another lasting task has taken the room")
		}
	}
}

// endHold ends the hold on a worker.
func (d *Dispatcher) endHold(w *worker, reason string) {
	step, since := w.hold.step, w.hold.since
	w.hold = nil
	if d.holds[step] = slices.DeleteFunc(d.holds[step], func(other *worker) bool { return other == w }); len(d.holds[step]) == 0 {
		delete(d.holds, step)
	}
	d.config.Log.Info("held room released", "Worker", w.incarnation.GetId(), "Step", step.Name(), "Reason", reason, "Held", d.now.Sub(since).String())
}
