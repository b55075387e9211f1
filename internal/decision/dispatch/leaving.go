package dispatch

import (
	"math"
	"time"

	"galenamoor/internal/decision/workload"
)

// A draining worker works on until it terminates, often for many seconds. A lasting task that was stopped there before another host has
// room for it would be unavailable meanwhile, so it goes on until room is reserved for it elsewhere or the worker may terminate. It is
// stopped before that, as the end of a worker that gives no notice is known only once its lease has expired.

const (
	// lastStopLead is the time before a worker may terminate at which its lasting runs are stopped at the latest, besides the stop grace:
	// a poll with its wait, and the delay before it.
	lastStopLead = pollWait + maxPollDelay

	// leastPriority is that of no queue that is more urgent than another one.
	leastPriority = math.MaxInt32
)

// awaitsRoom reports whether a run on a leaving worker goes on until another host has room for its task. Tasks of advised queues get
// tickets only while they wait.
func (d *Dispatcher) awaitsRoom(r *run) bool {
	return isLasting(r.task.Step) && !d.candidateOf(r.task.Step).queue.GetAdvised() && !r.task.IsSuspect() &&
		d.staysFor(r.worker, d.config.Limits.StopGrace+lastStopLead)
}

// moveLeaving moves lasting tasks of queues of a priority, or of more urgent ones, from leaving workers to hosts with room for them.
func (d *Dispatcher) moveLeaving(hosts []host, priority int32) {
	tooLarge := map[placementClass]*workload.Step{} // with the least need of those for which no host had room
	for _, w := range d.orderedWorkers {
		if !w.incarnation.GetLeaving() || w.terminating || w.ending || w.superseded || d.silenceOf(w) >= unresponsiveAfter {
			continue
		}
		for r := range w.liveRuns() {
			c := d.candidateOf(r.task.Step)
			if !r.seen || r.ended || r.stopRequested || c.queue.GetPriority() > priority || !d.awaitsRoom(r) || c.step.Job.IsTerminal() {
				continue
			}
			c.interrupted = true // it will be, unless it moves
			class := placementClassOf(c)
			if smallest := tooLarge[class]; smallest != nil && smallest.Demand().Fits(c.step.Demand()) {
				continue
			}
			if !d.moveToHost(r, c, hosts) && c.step.GetMaxPerWorker() == 0 {
				tooLarge[class] = c.step
			}
		}
	}
}

// admits reports whether further tasks from leaving workers may join a relocation, which leaves them enough time before it is given up.
func (r *relocation) admits(now time.Time) bool {
	return r.isFromLeaving && now.Sub(r.since) < relocationTimeout/2
}

// moveToHost reserves room for a run's task on another host and stops the run. It returns false if no host has room.
func (d *Dispatcher) moveToHost(r *run, c candidate, hosts []host) bool {
	chosen := d.choose(c, d.demand(c), hosts, func(w *worker) bool {
		return w.relocation != nil && !w.relocation.admits(d.now) || c.step.GetMaxPerWorker() > 0 && w.isReservedFor(c.step)
	})
	if chosen == nil {
		return false
	}
	if chosen.worker.relocation == nil {
		chosen.worker.relocation = d.newRelocation(r.task)
		chosen.worker.relocation.isFromLeaving = true
	}
	d.reserve(chosen.worker.relocation, r.task, chosen.worker)
	d.config.Count("LeavingTasksMoved")
	d.requestStop(r, "its worker leaves")
	return true
}
