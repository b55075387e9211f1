package dispatch

import (
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// The load that this file answers: some workers turn slow or their tasks stand still while they answer as before, so that
// a step waits for its last task. Such tasks are started elsewhere once what is left of them would take longer there.

const (
	// stillAfter is the least time without progress after which a run stands still: two looks.
	stillAfter = 1600 * time.Millisecond

	// stillPercents is the progress that a run that stands still would have made in that time, in hundredths of its work.
	stillPercents = 4

	// judgedAfter is the time at work before which the speed of a run isn't judged.
	judgedAfter = 600 * time.Millisecond

	// slowFactor is the multiple of the longest length of a queue's tasks on sound workers above which a run is slow.
	slowFactor = 1.5

	// busyShare is the share of its processors above which a fill isn't slow for want of them.
	busyShare = 0.6

	// suspectTime is how long a worker on which runs were slow or stood still is used last.
	suspectTime = 4 * time.Second

	// copyInterval is the time between two looks through all runs for ones that need a copy.
	copyInterval = 100 * time.Millisecond

	// mostMoves is how often a task is moved because it is slow. One that is slow everywhere is just long.
	mostMoves = 1
)

// judge has a run started elsewhere when it is slow or stands still.
func (d *Dispatcher) judge(r *run) {
	if r.stopWanted || !r.seen || r.task.Step.GetPerpetual() || r.task.Step.GetGang() || d.moves[r.key.Task] >= mostMoves {
		return
	}
	reason := d.slowness(r)
	if reason == "" {
		return
	}
	w := r.worker
	w.suspectUntil = d.now.Add(suspectTime)
	d.dirty = true
	if r.task.Step.GetSpeculative() {
		r.slow = true // a copy is started beside it
		return
	}
	d.moves[r.key.Task]++
	d.wantStop(r, reason)
}

// slowness returns why a run is to be started elsewhere, or nothing.
func (d *Dispatcher) slowness(r *run) string {
	queue := r.task.Step.Job.Spec.GetQueue()
	typical := d.learned.typical(queue)
	longest, known := d.learned.longest(d.now, queue)
	if !known {
		return ""
	}
	if r.halted {
		return "" // by order
	}
	age := d.now.Sub(r.began)
	done := time.Duration(max(1, r.percent-r.firstPercent))
	perPercent := max(r.progress.Sub(r.began)/done, typical/100)
	if d.now.Sub(r.progress) >= max(stillAfter, stillPercents*perPercent) {
		return "it stands still"
	}
	if age < judgedAfter {
		return ""
	}
	if r.task.Step.GetFills() && float64(r.gauge) < busyShare*float64(r.task.Step.GetProcessors()) {
		return "" // the others on its worker leave it little
	}
	whole := age * 100 / done
	left := whole * time.Duration(100-r.percent) / 100
	limit := slowFactor
	if rack := r.task.Step.GetDataRack(); rack != "" && rack != rackOf(r.worker.life) {
		limit *= max(1, d.config.Limits.RemoteFactor)
	}
	if float64(whole) < limit*float64(longest) || left < typical+typical/2 {
		return ""
	}
	return "it is slow"
}

// copies starts second runs of speculative tasks that are slow, or whose worker doesn't answer.
func (d *Dispatcher) copies(hosts []host) {
	for _, r := range d.runs {
		step := r.task.Step
		if !step.GetSpeculative() || r.stopWanted || r.task.Done || len(r.task.Runs) != 1 || d.reserved[r.key.Task] || step.Job.IsOver() {
			continue
		}
		if !r.slow && d.now.Sub(r.worker.heard) < silentAfter {
			continue
		}
		queue := d.state.Queue(step.Job.Spec.GetQueue())
		c := candidate{step: step, queue: queue}
		chosen := d.choose(c, d.demand(c), hosts, func(w *worker) bool { return w == r.worker })
		if chosen == nil {
			continue
		}
		d.config.Count("CopiesStarted")
		d.config.Log.Info("starting a copy", "Task", r.key.Task.String(), "Beside", r.key.Run, "Slow", r.slow, "Silent", d.now.Sub(r.worker.heard).String())
		d.assign(r.task, chosen.worker, r.task.LastRun+1, false)
		chosen.refresh()
	}
}

// leaving has what runs on a worker that leaves started elsewhere, as far as it wouldn't be done in time. What serves
// goes at once, because it is away for less time than if it ended with the worker.
func (d *Dispatcher) leaving(w *worker) {
	for key := range w.life.Runs {
		r := d.runs[key]
		if r == nil || r.stopWanted || !r.seen || r.task.Step.GetGang() {
			continue
		}
		if r.task.Step.GetPerpetual() || d.now.Add(d.timeLeft(r)).After(w.leavesAt) {
			d.wantStop(r, "its worker leaves")
		}
	}
}

// timeLeft returns the time that a run is expected to need still.
func (d *Dispatcher) timeLeft(r *run) time.Duration {
	if r.percent <= r.firstPercent {
		return d.learned.typical(r.task.Step.Job.Spec.GetQueue())
	}
	return d.now.Sub(r.began) * time.Duration(100-r.percent) / time.Duration(r.percent-r.firstPercent)
}

// forgetTask drops what is only known of a task while it isn't done.
func (d *Dispatcher) forgetTask(key workload.TaskKey) {
	delete(d.saved, key)
	delete(d.moves, key)
}

// leavesAt returns when a worker that says it leaves is gone, at the earliest.
func (d *Dispatcher) leavesAt(a *controlpb.AnnounceLife) time.Time {
	return d.now.Add(time.Duration(a.GetLeavesInMs()) * time.Millisecond)
}
