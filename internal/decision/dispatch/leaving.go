package dispatch

import (
	"math"

	"galenamoor/internal/decision/workload"
)

// A draining worker works on until it terminates, often for many seconds. A lasting task that was stopped there before another host has
// room for it would be unavailable meanwhile, so it goes on until room is reserved for it elsewhere or its worker terminates.

// allPriorities is lower than the priority of any queue.
const allPriorities = math.MaxInt32

// awaitsRoom reports whether a task on a leaving worker goes on there until another host has room for it. Those of advised queues get
// tickets only while they wait.
func (d *Dispatcher) awaitsRoom(task *workload.Task) bool {
	return isLasting(task.Step) && !d.candidateOf(task.Step).queue.GetAdvised() && !task.IsSuspect()
}

// moveLeaving moves lasting tasks of queues of a priority, or of more urgent ones, from leaving workers to hosts with room for them.
func (d *Dispatcher) moveLeaving(hosts []host, priority int32) {
	full := map[placementClass]*workload.Step{} // the step with the least need for which no host had room
	for _, w := range d.orderedWorkers {
		if !w.incarnation.GetLeaving() || w.terminating || w.ending || w.superseded || d.silenceOf(w) >= unresponsiveAfter {
			continue
		}
		for r := range w.liveRuns() {
			c := d.candidateOf(r.task.Step)
			if !r.seen || r.ended || r.stopRequested || c.queue.GetPriority() > priority || !d.awaitsRoom(r.task) || c.step.Job.IsTerminal() {
				continue
			}
			c.interrupted = true // it will be, unless it moves
			class := placementClassOf(c)
			if smallest := full[class]; smallest != nil && smallest.Demand().Fits(c.step.Demand()) {
				continue
			}
			if !d.moveToHost(r, c, hosts) && c.step.GetMaxPerWorker() == 0 {
				full[class] = c.step
			}
		}
	}
}

// moveToHost reserves room for a run's task on another host and stops the run. It returns false if no host has room.
func (d *Dispatcher) moveToHost(r *run, c candidate, hosts []host) bool {
	chosen := d.choose(c, d.demand(c), hosts, func(w *worker) bool { return w.relocation != nil })
	if chosen == nil {
		return false
	}
	move := d.newRelocation(r.task)
	d.reserve(move, r.task, chosen.worker)
	move.sources[r.task] = r.worker
	chosen.worker.relocation = move
	d.config.Count("LeavingTasksMoved")
	d.requestStop(r, "its worker leaves")
	return true
}
