package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"galenamoor/internal/decision/compaction"
	"galenamoor/internal/decision/workload"
	"galenamoor/pkg/resource"
)

// Lasting tasks leave pieces of free room on many hosts, and nothing but the end of a job brings them together: a lasting task that
// needs more than the largest piece waits beside free room for several times as much. Running lasting tasks are therefore moved
// between two hosts so that it fits on one of them. A moved task is stopped and started again on the other host, so that it is
// unavailable for about the stop grace; its room there is reserved before it is stopped.

const (
	// relocationDelay is how long tasks of a lasting step must have lacked room before running ones are moved for them. Most get room
	// sooner, from tasks that end.
	relocationDelay = 1500 * time.Millisecond

	// relocationRetryDelay is the time between two searches for a step for which no tasks can be moved.
	relocationRetryDelay = time.Second

	// relocationInterval is the time between two rounds of relocations, and relocationRound the time in which those of a round begin.
	// Room that is free while tasks move is so for a short time at once instead of all the time.
	relocationInterval = 4 * time.Second
	relocationRound    = 200 * time.Millisecond

	// roomDelay is the time without an end of a lasting task after which a round may begin. Each end gives room without any move, and
	// beside such ends the room that is free while tasks move would add to theirs.
	roomDelay = 3500 * time.Millisecond

	// maxRoundDelay is the longest time for which such ends put off a round.
	maxRoundDelay = 10 * time.Second

	// targetTicketTimeout is how long after its ticket was asked for a relocation may begin outside a round.
	targetTicketTimeout = time.Second

	// maxRelocatingShare is the share of the usable workers between which tasks may be moved at the same time, and thereby several
	// times the share of the lasting tasks that are unavailable.
	maxRelocatingShare = 0.15

	// relocationTimeout is the time after which a relocation is given up: the stop grace, with a margin for a lost call and for the ends
	// to be reported and recorded.
	relocationTimeout = 3 * time.Second
)

// relocation is a move of running tasks that makes room for a waiting one. Until each of the tasks is assigned to its destination,
// the room for it is reserved there. The waiting task comes last, so that the others can return if a host becomes unusable. One for tasks
// that an earlier leader has stopped only returns them, and the waiting task is the first of them. One that takes tasks
// from leaving workers to a host has no other waiting task than the first of them either, and they don't return.
type relocation struct {
	since        time.Time
	waiting      *workload.Task
	destinations map[*workload.Task]*worker // of the tasks that aren't assigned yet
	sources      map[*workload.Task]*worker // of the moved tasks that may return
	isReturning  bool                       // it was given up: tasks return to where they ran

	isFromLeaving bool // its tasks come from leaving workers, each of them by itself, to one host
}

// relocationState is the leader's soft state of relocations.
type relocationState struct {
	active      []*relocation
	reserved    map[*workload.Task]bool      // tasks for which room is reserved, of all active relocations
	shortSince  map[*workload.Step]time.Time // since when tasks of a lasting step lack room
	retries     map[*workload.Step]time.Time // earliest next search for a step
	askedAt     map[*workload.Step]time.Time // when a ticket for the target host was last asked for, of steps of advised queues
	searches    int                          // that the current pass may still make
	roundBegan  time.Time                    // of the newest round
	roomAt      time.Time                    // when a lasting task that wasn't being moved has last ended
	dueSince    time.Time                    // since when a round is put off; zero if none is
	hasHeadroom func() bool                  // whether dedicated tasks have their headroom, in the current pass
	hosts       []compactable                // of the current pass; nil until a search needs them
	described   []compaction.Host            // the same hosts
}

func newRelocationState() relocationState {
	return relocationState{reserved: map[*workload.Task]bool{}, shortSince: map[*workload.Step]time.Time{}, retries: map[*workload.Step]time.Time{}, askedAt: map[*workload.Step]time.Time{}}
}

// respectsRelocations reports whether a host has room for a demand beside what is reserved there for moved tasks.
func respectsRelocations(demand resource.Vector, h *host) bool {
	if h.worker.relocation == nil {
		return true
	}
	rest := h.Free
	for task, destination := range h.worker.relocation.destinations {
		if destination == h.worker {
			rest = rest.Sub(task.Step.Demand())
		}
	}
	return fitsBeside(demand, rest)
}

// isReservedFor reports whether room is reserved on a worker for a task of a step.
func (w *worker) isReservedFor(step *workload.Step) bool {
	if w.relocation == nil {
		return false
	}
	for task, destination := range w.relocation.destinations {
		if destination == w && task.Step == step {
			return true
		}
	}
	return false
}

// continueRelocations assigns tasks to their destinations once their runs have ended, and ends relocations that are complete or
// can't be completed. It returns the number of runs assigned.
func (d *Dispatcher) continueRelocations(hosts []host) int {
	if len(d.relocations.active) == 0 {
		return 0
	}
	byWorker := make(map[*worker]*host, len(hosts))
	for i := range hosts {
		byWorker[hosts[i].worker] = &hosts[i]
	}
	assigned := 0
	for _, move := range slices.Clone(d.relocations.active) {
		assigned += d.continueRelocation(move, byWorker)
	}
	return assigned
}

// continueRelocation does so for one relocation.
func (d *Dispatcher) continueRelocation(move *relocation, hosts map[*worker]*host) int {
	assigned, hasLeft := 0, false
	for _, task := range move.openTasks() {
		destination := move.destinations[task]
		h := hosts[destination]
		switch {
		case task.Step.Job.IsTerminal() || task.Done || d.hasRunThatStays(task):
			d.unreserve(move, task)
		case h == nil:
			hasLeft = hasLeft || !d.isHere(destination) // others may be unusable for a moment only
		case d.isWaiting(task) && (task != move.waiting || move.isFromLeaving || len(move.destinations) == 1) && task.Step.Demand().Fits(h.Free) &&
			d.allows(d.candidateOf(task.Step), destination) && d.mayAssignReserved(task.Step):
			d.unreserve(move, task)
			d.assign(task, destination, task.LastRun+1, false)
			h.refresh(d.now)
			assigned++
		}
	}
	switch {
	case len(move.destinations) == 0:
		d.endRelocation(move, "complete")
	case hasLeft:
		d.giveUpRelocation(move, "a worker leaves or is lost")
	case d.now.Sub(move.since) >= relocationTimeout && !(move.isReturning && d.hasStoppingRun(move)):
		d.giveUpRelocation(move, "it has timed out")
	}
	return assigned
}

// isHere reports whether a worker is still tracked and stays.
func (d *Dispatcher) isHere(w *worker) bool {
	return d.workers[w.incarnation.GetNumber()] == w && d.isStaying(w)
}

// hasStoppingRun reports whether the run of a task that returns is still being stopped where the task will run again.
func (d *Dispatcher) hasStoppingRun(move *relocation) bool {
	for task, destination := range move.destinations {
		for _, assigned := range task.Runs {
			if assigned.Worker == destination.incarnation.GetNumber() {
				return true
			}
		}
	}
	return false
}

// giveUpRelocation lets moved tasks return to the hosts on which they ran, whose room is still reserved as the waiting task wasn't
// assigned. A task whose host leaves goes on to its destination instead, and one that has neither waits like others. The relocation
// ends if no task is left.
func (d *Dispatcher) giveUpRelocation(move *relocation, reason string) {
	d.config.Count("RelocationsGivenUp")
	d.config.Log.Info("relocation given up", "Task", move.waiting.Key().String(), "Reason", reason, "Open", len(move.destinations))
	if !move.isReturning && !move.isFromLeaving {
		move.isReturning, move.since = true, d.now
		d.unreserve(move, move.waiting)
		for _, task := range move.openTasks() {
			switch source, destination := move.sources[task], move.destinations[task]; {
			case d.isHere(source):
				move.destinations[task] = source
			case !d.isHere(destination):
				d.unreserve(move, task)
			}
		}
		if len(move.destinations) > 0 {
			return
		}
	}
	d.endRelocation(move, reason)
}

// openTasks returns the tasks that aren't assigned to their destination yet, in a fixed order.
func (r *relocation) openTasks() []*workload.Task {
	return slices.SortedFunc(maps.Keys(r.destinations), func(a, b *workload.Task) int {
		return cmp.Compare(a.Key().String(), b.Key().String())
	})
}

// hasRunThatStays reports whether a task has a run that isn't being stopped.
func (d *Dispatcher) hasRunThatStays(task *workload.Task) bool {
	if d.assigning[task.Key()] {
		return true
	}
	for _, assigned := range task.Runs {
		r := d.runs[workload.RunKey{Task: task.Key(), Run: assigned.Number}]
		if r != nil && !r.stopRequested && !r.ended {
			return true
		}
	}
	return false
}

// newRelocation adds a relocation that makes room for a task.
func (d *Dispatcher) newRelocation(waiting *workload.Task) *relocation {
	move := &relocation{since: d.now, waiting: waiting, destinations: map[*workload.Task]*worker{}, sources: map[*workload.Task]*worker{}}
	d.relocations.active = append(d.relocations.active, move)
	return move
}

// reserve keeps room for a task on its destination.
func (d *Dispatcher) reserve(move *relocation, task *workload.Task, destination *worker) {
	move.destinations[task] = destination
	d.relocations.reserved[task] = true
	d.reservedNeeds = nil
}

// unreserve ends the reservation of room for a task.
func (d *Dispatcher) unreserve(move *relocation, task *workload.Task) {
	delete(move.destinations, task)
	delete(d.relocations.reserved, task)
	d.reservedNeeds = nil
}

func (d *Dispatcher) endRelocation(move *relocation, reason string) {
	for _, w := range d.orderedWorkers {
		if w.relocation == move {
			w.relocation = nil
		}
	}
	d.relocations.active = slices.DeleteFunc(d.relocations.active, func(other *relocation) bool { return other == move })
	d.config.Log.Info("relocation ended", "Task", move.waiting.Key().String(), "Reason", reason, "Open", len(move.destinations), "Took", d.now.Sub(move.since).String())
	for _, task := range move.openTasks() {
		d.unreserve(move, task)
	}
}

// candidateOf returns a candidate for checks of whether a step is allowed on a worker.
func (d *Dispatcher) candidateOf(step *workload.Step) candidate {
	return candidate{step: step, queue: d.state.Queue(step.Job.Spec.GetQueue())}
}

// beginRelocations prepares the searches of a pass, and forgets the steps of which no task waits.
func (d *Dispatcher) beginRelocations() {
	state := &d.relocations
	state.searches, state.hosts = 0, nil
	state.hasHeadroom = sync.OnceValue(d.hasHeadroom)
	wall := d.config.Wall()
	for _, times := range []map[*workload.Step]time.Time{state.shortSince, state.retries, state.askedAt} {
		maps.DeleteFunc(times, func(step *workload.Step, _ time.Time) bool { return !hasWaiting(step, wall) })
	}
}

// relocate moves running tasks to make room for the tasks of a lasting step that fit on no host and for which no room is held. Those
// of steps that were never interrupted get it only beside the headroom for dedicated tasks, which run in pieces that are too small for
// them.
func (d *Dispatcher) relocate(c candidate, hosts []host, missing int) {
	state := &d.relocations
	missing -= len(d.holds[c.step])
	if !isLasting(c.step) || missing <= 0 {
		delete(state.shortSince, c.step)
		return
	}
	if state.shortSince[c.step].IsZero() {
		state.shortSince[c.step] = d.now
	}
	if state.searches <= 0 || d.now.Sub(state.shortSince[c.step]) < relocationDelay || d.now.Before(state.retries[c.step]) ||
		!c.interrupted && !state.hasHeadroom() || !d.isRelocationRound() && !d.awaitsTargetTicket(c.step) {
		return
	}
	limit := int(maxRelocatingShare * float64(len(hosts)) / 2) // two hosts each
	for _, task := range c.step.Tasks {
		if missing <= 0 || state.searches <= 0 || len(state.active) >= max(2, limit) {
			return
		}
		if !d.isPlaceable(task) || d.mustIsolate(task) {
			continue
		}
		state.searches--
		if !d.makeRoom(c, task, hosts) {
			state.retries[c.step] = d.now.Add(relocationRetryDelay)
			return
		}
		missing--
	}
}

// isRelocationRound reports whether relocations may begin, and notes since when a round that is due is put off.
func (d *Dispatcher) isRelocationRound() bool {
	state := &d.relocations
	sinceRound := d.now.Sub(state.roundBegan)
	if sinceRound < relocationInterval {
		return sinceRound < relocationRound
	}
	if state.dueSince.IsZero() {
		state.dueSince = d.now
	}
	return d.now.Sub(state.roomAt) >= roomDelay || d.now.Sub(state.dueSince) >= maxRoundDelay
}

// awaitsTargetTicket reports whether a ticket for the target of a relocation was asked for in a round, which may be over once the ticket is
// there.
func (d *Dispatcher) awaitsTargetTicket(step *workload.Step) bool {
	askedAt, hasAsked := d.relocations.askedAt[step]
	return hasAsked && d.now.Sub(askedAt) < targetTicketTimeout
}

// noteRoom records that the end of a lasting run gives room.
func (d *Dispatcher) noteRoom(r *run) {
	if isLasting(r.task.Step) && !d.relocations.reserved[r.task] {
		d.relocations.roomAt = d.now
	}
}

// beginRelocation reserves room for a waiting task on the target and for the runs to move on their destinations, and stops these runs.
func (d *Dispatcher) beginRelocation(task *workload.Task, target, partner *host, moved map[*run]*worker) {
	move := d.newRelocation(task)
	d.reserve(move, task, target.worker)
	var names []string
	for r, destination := range moved {
		d.reserve(move, r.task, destination)
		move.sources[r.task] = r.worker
		names = append(names, r.key.Task.String())
	}
	slices.Sort(names)
	if d.now.Sub(d.relocations.roundBegan) >= relocationInterval {
		d.relocations.roundBegan, d.relocations.dueSince = d.now, time.Time{}
	}
	target.worker.relocation, partner.worker.relocation = move, move
	d.config.Count("RelocationsStarted")
	d.config.Log.Info("moving tasks to make room", "Task", task.Key().String(), "Needed", task.Step.GetProcessors(), "Worker", target.worker.incarnation.GetId(),
		"Free", target.Free.Processors, "Partner", partner.worker.incarnation.GetId(), "PartnerFree", partner.Free.Processors, "Moved", names)
	for _, r := range slices.SortedFunc(maps.Keys(moved), func(a, b *run) int { return a.key.Compare(b.key) }) {
		d.requestStop(r, "it is moved to make room")
	}
}
