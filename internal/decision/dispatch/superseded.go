package dispatch

import (
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// recheckInterval is the shortest time between two checks after announcements, as false ones may be frequent and no run starts on a
// worker that is being checked.
const recheckInterval = 250 * time.Millisecond

// recheck is the state of deferred checks of a worker.
type recheck struct {
	confirmedAt time.Time             // when an answer has last shown which incarnation is there
	announced   *controlpb.WorkerLife // announced incarnation for which a check is due later
}

// checkIncarnation polls a worker after the announcement of a later incarnation under its ID or at its address. The announcement may
// be false, and the answer shows which incarnation is there. Until then the worker gets no new runs. The check is deferred if another
// one has just shown that no later incarnation exists.
func (d *Dispatcher) checkIncarnation(w *worker, announced *controlpb.WorkerLife) {
	if w.superseded {
		return
	}
	reusesID := announced.GetId() == w.incarnation.GetId() && announced.GetAddress() == w.incarnation.GetAddress()
	switch {
	case w.checkedSince.IsZero() && d.now.Before(w.recheck.confirmedAt.Add(recheckInterval)):
		if w.recheck.announced == nil || reusesID {
			w.recheck.announced = announced
		}
	case reusesID:
		d.checkRestart(w)
	default:
		d.pollIncarnation(w)
	}
}

// tickIncarnationCheck begins a deferred check once it is due.
func (d *Dispatcher) tickIncarnationCheck(w *worker) {
	if announced := w.recheck.announced; announced != nil && !d.now.Before(w.recheck.confirmedAt.Add(recheckInterval)) {
		w.recheck.announced = nil
		d.checkIncarnation(w, announced)
	}
}

// checkRestart does the same after a sign of a later incarnation under the worker's ID and at its address, which may carry out
// orders for the earlier one.
func (d *Dispatcher) checkRestart(w *worker) {
	if w.superseded {
		return
	}
	w.mayHaveRestarted = true
	d.pollIncarnation(w)
}

func (d *Dispatcher) pollIncarnation(w *worker) {
	if !w.checkedSince.IsZero() {
		return
	}
	w.checkedSince, w.nextPoll = d.now, d.now
	if w.pendingPoll != nil { // which may be held open
		d.config.WorkerCalls.Send(d.newCall(order.Poll, w))
	}
	d.config.Log.Info("checking for a later incarnation", "Worker", w.incarnation.GetId(), "Address", w.incarnation.GetAddress())
}

// handleIncarnationCheck handles an answer to a poll, and concludes from one that was sent after a later incarnation was
// announced whether there is one. It reports whether that has answered.
func (d *Dispatcher) handleIncarnationCheck(w *worker, a *order.Answer) bool {
	if w.checkedSince.IsZero() || a.Call.Sent.Before(w.checkedSince) {
		return false
	}
	w.checkedSince, w.mayHaveRestarted, w.restartSeen, w.recheck.confirmedAt = time.Time{}, false, false, d.now
	if a.IncarnationStartMs > w.incarnation.GetBornMs() {
		d.supersede(w)
		return true
	}
	d.config.Log.Info("no later incarnation exists", "Worker", w.incarnation.GetId())
	return false
}

// supersede excludes an incarnation of a worker after a later one has answered under the same ID. Orders for the earlier
// incarnation may have started runs in the later one, which had no fencing token yet. They are rejected once the later
// one has seen a higher token, and what they have started is stopped before its tasks may start elsewhere.
func (d *Dispatcher) supersede(w *worker) {
	if w.superseded || w.ending {
		return
	}
	w.superseded, w.leaseWithheld, w.nextPoll = true, true, d.now
	d.config.Log.Info("worker incarnation superseded", "Worker", w.incarnation.GetId(), "Runs", len(w.incarnation.Runs))
}

// hasOpenStarts reports whether a later incarnation of a worker may still carry out a start that was ordered from this one, or run
// what it has started that way. Unless there is a sign of one, only recent runs of the last leader count. It knows nothing of starts of
// runs whose assignment was removed: their tasks don't wait.
func (d *Dispatcher) hasOpenStarts(w *worker) bool {
	for r := range w.liveRuns() {
		if d.mayRunLater(r) {
			return true
		}
	}
	return false
}

// mayRunLater reports the same for one run.
func (d *Dispatcher) mayRunLater(r *run) bool {
	return d.awaitsRecentStart(r) || (r.worker.superseded || r.worker.mayHaveRestarted) && d.hasOpenStart(r)
}

// mayReachLater reports whether calls for an incarnation of a worker may reach a later one, or those for earlier ones have reached it. An
// incarnation that doesn't tell its start can't be told from others with its ID and address.
func (d *Dispatcher) mayReachLater(w *worker) bool {
	return d.hasUnboundCalls || w.incarnation.GetBornMs() == 0 || w.incarnation.GetFollowsUnknownStart()
}

// hasOpenStart reports whether a later incarnation may still carry out a start of a run, or run what it has started. Late orders may both start
// the run and extend its lease.
func (d *Dispatcher) hasOpenStart(r *run) bool {
	lastStart := r.lastOrderedAt.Add(maxCallDelay)
	switch {
	case !d.mayReachLater(r.worker), r.lastOrderedAt.IsZero(), r.seen && !r.startUnanswered && !r.inherited:
		return false
	case r.worker.lastPoll.After(lastStart):
		return false // no order for the run was on its way any more
	}
	return d.now.Before(d.openStartUntil(r))
}

// openStartUntil returns until when what an open start of a run has started may run: the newest grant may be carried out as late as the start.
func (d *Dispatcher) openStartUntil(r *run) time.Time {
	newest := r.lastOrderedAt
	if r.worker.grantedAt.After(newest) {
		newest = r.worker.grantedAt
	}
	return newest.Add(maxCallDelay + d.longestLease())
}

// dropSettled drops the runs of a silent worker that no later incarnation can have, so that their tasks don't wait until the worker
// is declared lost, and reports whether there were any. Runs that may have crashed the worker are dropped only then.
func (d *Dispatcher) dropSettled(w *worker) bool {
	dropped := false
	for r := range w.liveRuns() {
		if !r.withdrawn && !r.unproven && !d.mayRunLater(r) {
			d.config.Log.Info("run settled", "Task", r.key.Task.String(), "Run", r.key.Run, "Worker", w.incarnation.GetId())
			r.leaseExpired = true
			d.drop(r)
			dropped = true
		}
	}
	return dropped
}

// pollSuccessor polls the later incarnation with a fencing token that invalidates earlier orders.
func (d *Dispatcher) pollSuccessor(w *worker) {
	call := d.newCall(order.Poll, w)
	call.IncarnationStartMs = 0
	w.pendingPoll = call
	d.config.WorkerCalls.Send(call)
}

// handleSuccessorPoll stops what the later incarnation runs, and ends the earlier one once the later one runs nothing that was
// ordered from the earlier one, or doesn't answer and can't run anything of that any more.
func (d *Dispatcher) handleSuccessorPoll(w *worker, a *order.Answer) {
	w.nextPoll = d.now.Add(d.pollDelayAfter(w))
	if a.Call.IncarnationStartMs != 0 {
		return // sent to the earlier incarnation
	}
	if a.Status != order.OK {
		if !d.hasOpenStarts(w) {
			d.endCrashed(w, "its later incarnation doesn't answer, and every order and lease has expired")
		} else {
			d.dropSettled(w)
		}
		return
	}
	isRunning := false
	for _, running := range a.Running {
		d.stopOrphan(w, running.Run) // nothing was ordered from the later incarnation yet
		if _, assigned := w.incarnation.Runs[running.Run]; assigned {
			isRunning = true
			d.clearSuspicion(running.Run)
		}
	}
	if isRunning {
		return
	}
	var ends []*controlpb.EndedRun
	for _, e := range a.Ended {
		if _, assigned := w.incarnation.Runs[e.Run]; assigned {
			d.clearSuspicion(e.Run)
			ends = append(ends, endedRun(&e))
		}
	}
	d.endCrashed(w, "a later incarnation has started", ends...)
}

// clearSuspicion excludes a run that a later incarnation has started as the cause of the end of the earlier one.
func (d *Dispatcher) clearSuspicion(key workload.RunKey) {
	if r := d.runs[key]; r != nil {
		r.markProven()
	}
}

// stopOrphan stops a run that isn't in the replicated state.
func (d *Dispatcher) stopOrphan(w *worker, key workload.RunKey) {
	call := d.newCall(order.Stop, w)
	call.Run = key
	d.config.Count("OrphansStopped")
	d.config.Log.Info("stopping orphaned run", "Task", key.Task.String(), "Run", key.Run, "Worker", w.incarnation.GetId())
	d.config.WorkerCalls.Send(call)
}
