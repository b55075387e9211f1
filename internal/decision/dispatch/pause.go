package dispatch

import (
	"fmt"
	"slices"
	"time"

	"galenamoor/internal/decision/imagepair"
	"galenamoor/internal/decision/order"
)

// A serving task may exceed its latency target for seconds beside best-effort tasks that are rated as harmless, because
// its own load has risen or one of them has changed. The best-effort tasks of its host are paused before this has lasted
// for as long as the platform allows, and resume once the latency is below the target. Pausing loses no work; they are
// only stopped if a pause of maxPause didn't help. Those that are being stopped are paused too, because they work on until
// the stop takes effect.

const (
	// fullSpeed and pausedSpeed are the speeds, in percent, of best-effort tasks.
	fullSpeed   = 100
	pausedSpeed = 0

	// unknownSpeed is the speed of a run that an earlier leader may have slowed down.
	unknownSpeed = -1

	// maxSlowedShare is the share of its processors that a run at throttledSpeed may seem to use, as measurements are inexact.
	maxSlowedShare = 0.3

	// safeLatencyRatio is the reported ratio of tail latency to target below which a serving task was certainly below its
	// target. It is below 1 because reported tail latencies are inexact.
	safeLatencyRatio = 0.9

	// pauseLeadTime is how long before the end of MaxOverTarget best-effort tasks are paused. It allows for a call, a poll,
	// and the half second that a tail latency covers.
	pauseLeadTime = 1500 * time.Millisecond
	// minOverTarget is the minimum time over the target before best-effort tasks are paused, whatever the platform
	// allows.
	minOverTarget = 500 * time.Millisecond

	// maxPause is how long best-effort tasks of a host may be paused before they are stopped, so that they restart
	// elsewhere.
	maxPause = 2 * time.Second

	// unpausedLogTime is how long before the end of MaxOverTarget best-effort runs that aren't paused yet are logged, and
	// maxLoggedRuns the number of them that are named.
	unpausedLogTime = time.Second
	maxLoggedRuns   = 5

	// maxCallDelay is the time after which an unanswered call is certainly no longer carried out, and speedRepeatInterval
	// the interval at which speed calls are repeated until then.
	maxCallDelay        = 12 * time.Second
	speedRepeatInterval = 2 * time.Second
)

// pauseIfOverTarget pauses the best-effort tasks of a worker while a serving task may have exceeded its latency target
// for too long, whatever the cause. The time counts from the last poll at which all serving tasks were certainly below
// their targets. A new leader doesn't know that time, and pauses them at the first poll at which one may be over it.
func (d *Dispatcher) pauseIfOverTarget(w *worker, bestEffort []*run) {
	if w.latencyRatio < safeLatencyRatio {
		w.belowTargetAt = d.now
	}
	working := len(bestEffort) + d.stoppingOn(w)
	mustPause := working > 0 && d.isPauseDue(w)
	if isPaused := w.speed == pausedSpeed; mustPause != isPaused {
		d.setSpeed(w, mustPause, working)
		return
	}
	if mustPause && d.now.Sub(w.pausedAt) >= maxPause {
		for _, r := range bestEffort {
			d.requestStop(r, "it has been paused for too long beside a serving task over its latency target")
		}
	}
}

// isPauseDue reports whether a serving task may have exceeded its latency target for so long that best-effort tasks must be paused.
func (d *Dispatcher) isPauseDue(w *worker) bool {
	return !w.belowTargetAt.After(w.addedAt) || d.now.Sub(w.belowTargetAt) >= max(minOverTarget, d.config.Limits.MaxOverTarget-pauseLeadTime)
}

// tickPause pauses the best-effort tasks of a worker between two polls, if the newest one has shown a serving task over its latency target:
// the next answer may come too late.
func (d *Dispatcher) tickPause(w *worker) {
	if len(w.aggressors) == 0 || w.latencyRatio < safeLatencyRatio || w.speed == pausedSpeed || !d.isPauseDue(w) {
		return
	}
	bestEffort, _ := d.bestEffortOn(w)
	if working := len(bestEffort) + d.stoppingOn(w); working > 0 {
		d.setSpeed(w, true, working)
	}
}

// logUnpaused logs the best-effort runs of a worker that aren't known to be paused although a serving task may soon have
// exceeded its latency target for too long.
func (d *Dispatcher) logUnpaused(w *worker) {
	belowTargetAgo := d.now.Sub(w.belowTargetAt)
	if w.latencyRatio < safeLatencyRatio || belowTargetAgo < d.config.Limits.MaxOverTarget-unpausedLogTime {
		return
	}
	var unpaused []string
	for r := range w.liveRuns() {
		if r.isBestEffortAtWork() && r.speed != pausedSpeed {
			unpaused = append(unpaused, fmt.Sprintf("%s/%d", r.key.Task, r.key.Run))
		}
	}
	if len(unpaused) == 0 {
		return
	}
	slices.Sort(unpaused)
	d.config.Log.Info("best-effort runs not paused yet", "Worker", w.incarnation.GetId(), "LatencyRatio", w.latencyRatio, "BelowTargetAgo", belowTargetAgo.String(),
		"PausedAgo", d.now.Sub(w.pausedAt).String(), "Count", len(unpaused), "Runs", unpaused[:min(len(unpaused), maxLoggedRuns)])
}

// stoppingOn returns the number of best-effort runs on a worker that are being stopped and may still be at work.
func (d *Dispatcher) stoppingOn(w *worker) int {
	stopping := 0
	for r := range w.liveRuns() {
		if r.isStoppingBestEffort() {
			stopping++
		}
	}
	return stopping
}

// isStoppingBestEffort reports whether a best-effort run is being stopped and may still be at work.
func (r *run) isStoppingBestEffort() bool { return r.stopRequested && r.isBestEffortAtWork() }

// isBestEffortAtWork reports whether a run is a best-effort run that its worker has listed and that hasn't ended as far as is known.
func (r *run) isBestEffortAtWork() bool { return r.task.Step.GetFills() && r.seen && !r.ended }

// setSpeed pauses or resumes the best-effort tasks of a worker.
func (d *Dispatcher) setSpeed(w *worker, pause bool, bestEffort int) {
	w.speed = fullSpeed
	if pause {
		w.speed, w.pausedAt = pausedSpeed, d.now
		d.config.Count("FillsHalted")
	}
	d.config.Log.Info("best-effort speed changed", "Worker", w.incarnation.GetId(), "Percent", w.speed, "LatencyRatio", w.latencyRatio, "BestEffortRuns", bestEffort,
		"BelowTargetAgo", d.now.Sub(w.belowTargetAt).String())
}

// adoptSpeed decides about a best-effort run that an earlier leader may have slowed down, by the processors that it uses. If it is
// known to be harmful here, it was throttled from its start.
func (d *Dispatcher) adoptSpeed(r *run) {
	if float64(r.measurement) > maxSlowedShare*float64(r.task.Step.GetProcessors()) {
		r.speed = fullSpeed
		return
	}
	r.wasSlowed = true
	r.throttled = d.interferenceWith(r.task.Step, r.worker) == imagepair.Harmful
}

// tickSpeed sends a speed call for a best-effort run whose acknowledged speed isn't the wanted one.
func (d *Dispatcher) tickSpeed(r *run) {
	if r.speed == unknownSpeed {
		if !r.seen {
			return
		}
		d.adoptSpeed(r)
	}
	if r.speedCallPending || d.now.Before(r.nextSpeedCall) || r.speed == r.speedLimit() && !d.now.Before(r.staleSpeedUntil) {
		return
	}
	call := d.newCall(order.SetSpeed, r.worker)
	call.Run, call.Percent = r.key, r.speedLimit()
	r.speedCallPending = true
	d.config.WorkerCalls.Send(call)
}

// handleSpeed handles the answer to a speed call. An unanswered call may be carried out after newer ones, so the newest
// is repeated until that is impossible.
func (d *Dispatcher) handleSpeed(r *run, a *order.Answer) {
	r.speedCallPending = false
	switch a.Status {
	case order.OK:
		r.speed, r.nextSpeedCall = a.Call.Percent, d.now
		r.wasSlowed = r.wasSlowed || r.speed < fullSpeed
		if d.now.Before(r.staleSpeedUntil) {
			r.nextSpeedCall = d.now.Add(speedRepeatInterval)
		}
	case order.NoAnswer:
		r.nextSpeedCall, r.staleSpeedUntil = d.now.Add(callRetryDelay), d.now.Add(maxCallDelay)
	default:
		r.nextSpeedCall = d.now.Add(speedRepeatInterval) // the run has ended, which the next poll reports
	}
}
