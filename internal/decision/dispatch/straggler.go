package dispatch

import (
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// Workers may slow down or stall while they answer as before, so that a step waits for its last task. Such straggling
// tasks are restarted elsewhere once their remaining work would take longer where they are.

const (
	// stallTimeout is the minimum time without progress after which a run counts as stalled: two polls.
	stallTimeout = 1600 * time.Millisecond

	// stallPercent is the progress, in percent, that a run would usually make in the time without progress after which it
	// counts as stalled.
	stallPercent = 4

	// minSpeedSample is the running time before which the speed of a run isn't assessed.
	minSpeedSample = 600 * time.Millisecond

	// stragglerFactor is the multiple of the longest runtime on healthy workers above which a run counts as slow.
	stragglerFactor = 1.5

	// minProcessorShare is the share of its processors below which a best-effort run is slow for lack of processor time,
	// which doesn't count as straggling.
	minProcessorShare = 0.6

	// suspectTimeout is how long a worker with slow or stalled runs is avoided.
	suspectTimeout = 4 * time.Second

	// speculationInterval is the time between two scans of all runs for those that need a speculative copy.
	speculationInterval = 100 * time.Millisecond

	// maxMigrations is how often a task is moved for being slow. One that is slow on two workers is just long.
	maxMigrations = 1

	// leavesAtTimeout is how long a new leader waits to hear how much time a leaving worker has left: three announcements.
	leavesAtTimeout = 4500 * time.Millisecond
)

// checkStraggler marks a slow or stalled run for a speculative copy, or stops it so that it restarts elsewhere.
func (d *Dispatcher) checkStraggler(r *run) {
	if r.stopRequested || !r.seen || r.task.Step.GetPerpetual() || r.task.Step.GetGang() || d.migrations[r.key.Task] >= maxMigrations {
		return
	}
	reason := d.stragglerReason(r)
	if reason == "" {
		return
	}
	w := r.worker
	w.suspectUntil = d.now.Add(suspectTimeout)
	d.dirty = true
	if r.task.Step.GetSpeculative() {
		r.straggling = true // speculate starts a copy
		return
	}
	d.migrations[r.key.Task]++
	d.requestStop(r, reason)
}

// stragglerReason returns why a run has to be restarted elsewhere, or an empty string.
func (d *Dispatcher) stragglerReason(r *run) string {
	queue := r.task.Step.Job.Spec.GetQueue()
	mean := d.runtimes.meanRuntime(queue)
	longest, known := d.runtimes.maxRuntime(d.now, queue)
	if !known {
		return ""
	}
	if r.wasSlowed {
		return "" // slowed down by this leader
	}
	elapsed := d.now.Sub(r.began)
	progress := time.Duration(max(1, r.progress-r.firstProgress))
	perPercent := max(r.progressAt.Sub(r.began)/progress, mean/100)
	if d.now.Sub(r.progressAt) >= max(stallTimeout, stallPercent*perPercent) {
		return "it has stalled"
	}
	if elapsed < minSpeedSample {
		return ""
	}
	if r.task.Step.GetFills() && float64(r.measurement) < minProcessorShare*float64(r.task.Step.GetProcessors()) {
		return "" // its worker has little processor time left for best-effort tasks
	}
	total := elapsed * 100 / progress
	remaining := total * time.Duration(100-r.progress) / 100
	limit := stragglerFactor
	if rack := r.task.Step.GetDataRack(); rack != "" && rack != rackOf(r.worker.incarnation) {
		limit *= max(1, d.config.Limits.RemoteRuntimeFactor)
	}
	if float64(total) < limit*float64(longest) || remaining < mean+mean/2 {
		return ""
	}
	return "it is slow"
}

// speculate starts copies of speculative tasks that are slow or whose worker doesn't answer. A member of a gang gets none, as it
// works only together with the others.
func (d *Dispatcher) speculate(hosts []host) {
	for r := range d.allRuns() {
		if d.isBudgetSpent() {
			return
		}
		step := r.task.Step
		if !step.GetSpeculative() || step.GetGang() || r.stopRequested || r.task.Done || len(r.task.Runs) != 1 || d.assigning[r.key.Task] || step.Job.IsTerminal() || r.mayCrash() {
			continue
		}
		if !r.straggling && d.silenceOf(r.worker) < unresponsiveAfter {
			continue
		}
		if d.isAtAccountLimit(step) {
			continue
		}
		queue := d.state.Queue(step.Job.Spec.GetQueue())
		c := candidate{step: step, queue: queue}
		hasFailed := d.hasFailed(r.task)
		chosen := d.choose(c, d.demand(c), hosts, func(w *worker) bool { return w == r.worker || hasFailed != nil && hasFailed(w) })
		if chosen == nil {
			continue
		}
		d.config.Count("CopiesStarted")
		d.config.Log.Info("starting speculative copy", "Task", r.key.Task.String(), "OriginalRun", r.key.Run, "Slow", r.straggling, "SinceLastReply", d.now.Sub(r.worker.lastAnswer).String())
		d.assign(r.task, chosen.worker, r.task.LastRun+1, false)
		chosen.refresh(d.now)
	}
}

// migrateLeaving stops runs on a leaving worker that wouldn't end in time, so that they restart elsewhere. Of the perpetual ones, it
// leaves those to moveLeaving that go on until there is room for them.
func (d *Dispatcher) migrateLeaving(w *worker) {
	for r := range w.liveRuns() {
		if r.stopRequested || !r.seen || r.task.Step.GetGang() || d.awaitsRoom(r) {
			continue
		}
		if r.task.Step.GetPerpetual() || !d.endsInTime(r) {
			d.requestStop(r, "its worker leaves")
		}
	}
}

// endsInTime reports whether a run is expected to end before its leaving worker terminates.
func (d *Dispatcher) endsInTime(r *run) bool { return d.staysFor(r.worker, d.remainingTime(r)) }

// staysFor reports whether a leaving worker doesn't terminate for a time. While a new leader doesn't know when it does, runs continue: a
// worker that terminates earlier sends notice, at which its runs are stopped.
func (d *Dispatcher) staysFor(w *worker, duration time.Duration) bool {
	if w.leavesAt.IsZero() {
		return d.now.Sub(w.addedAt) < leavesAtTimeout
	}
	return !d.now.Add(duration).After(w.leavesAt)
}

// remainingTime estimates the time until a run ends.
func (d *Dispatcher) remainingTime(r *run) time.Duration {
	if r.progress <= r.firstProgress {
		return d.runtimes.meanRuntime(r.task.Step.Job.Spec.GetQueue())
	}
	return d.now.Sub(r.began) * time.Duration(100-r.progress) / time.Duration(r.progress-r.firstProgress)
}

// forgetTask drops the soft state of a task that is done.
func (d *Dispatcher) forgetTask(key workload.TaskKey) {
	delete(d.checkpoints, key)
	delete(d.migrations, key)
	delete(d.isolationWaits, key)
}

// leavesAt returns the earliest time at which an announced worker terminates, or zero if it isn't leaving.
func (d *Dispatcher) leavesAt(a *controlpb.AnnounceLife) time.Time {
	if !a.GetLife().GetLeaving() {
		return time.Time{}
	}
	return d.now.Add(time.Duration(a.GetLeavesInMs()) * time.Millisecond)
}
