package dispatch

import (
	"iter"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// minMissingPolls is the number of consecutive polls that list a run neither as running nor as ended, after which it
// certainly doesn't exist. One isn't enough, because answers on different connections may be reordered.
const minMissingPolls = 2

// run is the leader's soft state about one assigned run.
type run struct {
	key    workload.RunKey
	task   *workload.Task
	worker *worker

	nextStart       time.Time     // of the next start call; zero when none is needed
	startPending    bool          // a start call is in flight
	orderedAt       time.Time     // of the first start call
	lastOrderedAt   time.Time     // of the newest start call; of an inherited run, when this leader took over, or what the record of open starts tells, or zero if its start was answered
	checkpoint      string        // sent with the start calls; the same in every retry
	started         bool          // the worker has confirmed the start
	inherited       bool          // assigned by an earlier leader, whose start calls may still be carried out
	renewed         bool          // its assignment counts as one of this leader, which may order its start
	renewing        bool          // that is proposed and not yet decided
	ticketDeadline  time.Time     // until then its start waits for a ticket; zero unless it has waited
	recentUntil     time.Time     // until then a later incarnation may run it, of which only its leader knew (see recent.go); zero if it was settled
	settled         bool          // its start was answered or not sent, so that no order for it may still be carried out; none is given any more
	startUnanswered bool          // a start call got no answer and may still be carried out
	ignoredStarts   int           // start calls without an answer while the worker answered polls
	startExpiry     time.Duration // by the worker's clock, from when on it carries out no start call any more
	acknowledgedAt  time.Time     // when the newest start or stop call got a conclusive answer

	throttled        bool      // runs at reduced speed beside serving tasks that it interferes with
	speed            int       // percent of full speed, as last acknowledged
	speedCallPending bool      // a speed call is in flight
	nextSpeedCall    time.Time // earliest time of the next speed call
	staleSpeedUntil  time.Time // until then an earlier speed call may still be carried out
	wasSlowed        bool      // has run below full speed, so that its runtime isn't representative

	refusedAt     time.Time // when its worker refused it; zero unless the next poll decides about it
	withdrawn     bool      // it can't start any more and gets no orders; the removal of its assignment isn't committed yet
	dropPending   bool      // the removal is proposed and not yet decided
	leaseExpired  bool      // it may have run until the lease of its worker expired
	stopRequested bool
	nextStop      time.Time // of the next stop call
	stoppedAt     time.Time // when the first stop call was acknowledged
	stopPending   bool
	stopReason    string

	unproven  bool // it may crash its worker: it is being started, or hasn't worked for provenAfter
	isSuspect bool // its task was suspect when the run became unproven
	clearing  bool // the reset of its task's crash counts is proposed

	seen          bool      // a poll has listed it as running
	ended         bool      // a poll has listed its end, which isn't recorded yet
	released      bool      // what it reserved is free: the record of its end is proposed
	missingPolls  int       // consecutive polls that didn't list it
	began         time.Time // when it was first seen; until then, when tracking started
	progress      int       // percent, as last reported
	firstProgress int       // percent when it was first seen
	straggling    bool      // a speculative copy may run beside it
	progressAt    time.Time // when progress last changed
	measurement   int64     // as last reported (see order.Running); negative if there is none
}

// addRun starts tracking a run of the replicated state.
func (d *Dispatcher) addRun(key workload.RunKey, task *workload.Task, w *worker) *run {
	r := &run{key: key, task: task, worker: w, began: d.now, progressAt: d.now, measurement: -1, speed: fullSpeed}
	d.runs[key] = r
	w.runs = append(w.runs, r)
	d.charge(w, task.Step, 1)
	return r
}

// forgetRun stops tracking a run that has ended or was dropped. It must not be called while iterating over the runs of its worker.
func (d *Dispatcher) forgetRun(key workload.RunKey, r *run) {
	if d.runs[key] != r {
		return
	}
	delete(d.runs, key)
	r.worker.runs = slices.DeleteFunc(r.worker.runs, func(other *run) bool { return other == r })
	r.markProven()
	d.release(r)
}

// allRuns returns the tracked runs by worker, in the order of worker.runs.
func (d *Dispatcher) allRuns() iter.Seq[*run] {
	return func(yield func(*run) bool) {
		for _, w := range d.orderedWorkers {
			for _, r := range w.runs {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// liveRuns returns the tracked runs of a worker that the replicated state knows as live, in the order of worker.runs.
func (w *worker) liveRuns() iter.Seq[*run] {
	return func(yield func(*run) bool) {
		for _, r := range w.runs {
			if _, isLive := w.incarnation.Runs[r.key]; isLive && !yield(r) {
				return
			}
		}
	}
}

// release frees what a run reserves.
func (d *Dispatcher) release(r *run) {
	if r.released {
		return
	}
	r.released = true
	d.noteRoom(r)
	d.noteVacated(r)
	d.charge(r.worker, r.task.Step, -1)
	d.reservedNeeds = nil
	d.dirty = true
}

// charge adds the demand of one task of a step to the usage of a worker and of the step's client account, or subtracts it if sign is
// negative.
func (d *Dispatcher) charge(w *worker, step *workload.Step, sign int) {
	d.chargeAccount(step, sign)
	if sign > 0 {
		w.used = w.used.Add(step.Demand())
		w.idle.observe(w.incarnation.GetProcessors() - w.used.Processors)
	} else {
		w.used = w.used.Sub(step.Demand())
	}
	switch {
	case step.GetFills():
		w.bestEffortProcessors += int64(sign) * step.GetProcessors()
		w.countImage(image{imageOf(step), true}, sign)
	case step.IsServing():
		w.servingTasks += sign
		w.servingProcessors += int64(sign) * step.GetProcessors()
		w.countImage(image{imageOf(step), false}, sign)
	case !step.GetPerpetual():
		w.dedicatedTasks += sign
	}
}

// tickRun sends the calls that are due for a run. A run whose end is being recorded gets none: a later incarnation of its
// worker would carry out a start again.
func (d *Dispatcher) tickRun(r *run) {
	if r.ended {
		return
	}
	if !r.stopRequested {
		if reason := d.stopReason(r); reason != "" {
			d.requestStop(r, reason)
		}
	}
	switch {
	case r.worker.superseded:
	case r.withdrawn:
		if !r.dropPending {
			d.proposeDrop(r)
		}
	case r.stopRequested && !r.stopPending && !d.now.Before(r.nextStop):
		d.stop(r)
	case !r.stopRequested && !r.startPending && !r.nextStart.IsZero() && !d.now.Before(r.nextStart):
		d.start(r)
	case (r.seen || !r.acknowledgedAt.IsZero()) && !r.stopRequested && r.task.Step.GetFills():
		d.tickSpeed(r)
	case r.isStoppingBestEffort() && r.worker.speed == pausedSpeed:
		d.tickSpeed(r)
	}
}

// stopReason returns why a run has to be stopped, or an empty string.
func (d *Dispatcher) stopReason(r *run) string {
	switch job := r.task.Step.Job; {
	case job.Cancelled:
		return "the job was cancelled"
	case job.Failed:
		return "the job has failed"
	case r.task.Done:
		return "another run of the task has finished"
	}
	return ""
}

// requestStop marks a run for stopping. The stop call is sent by the next scan, and repeated until the run has ended.
func (d *Dispatcher) requestStop(r *run, reason string) {
	if r.stopRequested {
		return
	}
	r.stopRequested, r.stopReason, r.nextStop = true, reason, d.now
	if r.worker.pendingPoll != nil && isLasting(r.task.Step) {
		r.worker.pendingPoll.ExpediteEnds()
	}
	d.config.Count("RunsStopped")
	d.config.Log.Info("stopping run", "Task", r.key.Task.String(), "Run", r.key.Run, "Worker", r.worker.incarnation.GetId(), "Reason", reason,
		"Percent", r.progress, "Age", d.now.Sub(r.began).String())
}

// start orders a worker to start a run, and is repeated until the order is answered. If the worker may no longer start
// runs, the run is stopped instead of dropped, because an earlier order may still be carried out.
func (d *Dispatcher) start(r *run) {
	if reason := d.stopReason(r); reason != "" { // its job may have ended while its assignment was being committed
		d.requestStop(r, reason)
		return
	}
	if reason := d.startBlocker(r.worker); reason != "" {
		d.requestStop(r, reason)
		d.stopGang(r)
		return
	}
	if r.orderedAt.IsZero() && !r.inherited && d.isAboveAccountLimit(r.task.Step) {
		d.withdrawAboveLimit(r)
		return
	}
	if r.worker.superseded {
		return // the later incarnation would accept the order under the token that rejects those for the earlier one
	}
	if r.worker.mayHaveRestarted {
		r.nextStart = d.now.Add(callRetryDelay)
		return
	}
	if r.settled {
		r.nextStart = time.Time{} // a later leader wouldn't await the order
		return
	}
	if r.inherited && !r.renewed {
		if !d.awaitsTicket(r) {
			d.renewAssignment(r)
		}
		return
	}
	leaseExpiry := d.extendLease(r.worker)
	if leaseExpiry == 0 || r.worker.ending {
		r.nextStart = d.now.Add(callRetryDelay)
		return
	}
	call := d.newCall(order.Start, r.worker)
	call.Run, call.Spec, call.LeaseExpiry = r.key, r.task.Step.Job.Spec.GetSpec(), leaseExpiry
	call.Urgent = r.reservesRoom()
	r.startExpiry = max(r.startExpiry, leaseExpiry)
	if r.orderedAt.IsZero() {
		r.orderedAt, r.checkpoint = d.now, d.checkpoint(r.task)
		r.markUnproven()
	}
	if !r.lastOrderedAt.IsZero() {
		d.config.Count("StartsRepeated")
		d.config.Log.Info("repeating start", "Task", r.key.Task.String(), "Run", r.key.Run, "Worker", r.worker.incarnation.GetId(), "SinceLastOrder", d.now.Sub(r.lastOrderedAt).String())
	}
	call.Checkpoint, call.Ticket = r.checkpoint, d.ticketFor(r.task.Step, r.worker)
	r.startPending, r.lastOrderedAt = true, d.now
	d.config.WorkerCalls.Send(call)
}

// reservesRoom reports whether a run reserves processors, which nothing else can use while its calls are queued.
func (r *run) reservesRoom() bool { return !r.task.Step.GetFills() }

// startBlocker returns why a worker may not start runs any more, or an empty string.
func (d *Dispatcher) startBlocker(w *worker) string {
	switch {
	case w.incarnation.GetLeaving():
		return "its worker leaves"
	case w.terminating:
		return "its worker terminates" // it gets no lease any more
	case d.state.IsZoneOut(w.incarnation.GetZone()):
		return "its zone is out of service"
	case d.isDraining(w):
		return "its host is being drained for maintenance"
	case !w.used.Fits(w.incarnation.Capacity()):
		return "its worker's capacity has shrunk"
	}
	return ""
}

// unitKey returns the key of what is started as a unit: of the task itself, or of the first member of its gang.
func unitKey(t *workload.Task) workload.TaskKey {
	key := t.Key()
	if t.Step.GetGang() {
		key.Index = 0
	}
	return key
}

// checkpoint returns the checkpoint from which a task resumes. All members of a gang get the same.
func (d *Dispatcher) checkpoint(t *workload.Task) string {
	if saved := d.checkpoints[unitKey(t)]; saved != "" {
		return saved
	}
	return t.Checkpoint
}

// handleStart handles the answer to a start call.
func (d *Dispatcher) handleStart(r *run, a *order.Answer) {
	r.startPending = false
	if r.worker.superseded {
		return // the later incarnation, which is being polled, may have started it
	}
	switch a.Status {
	case order.OK, order.StaleRun:
		r.nextStart = time.Time{}
		r.acknowledgedAt = a.Received
		r.started = r.started || a.Status == order.OK
		if a.Status == order.OK && r.worker.isFromKnownIncarnation(a) {
			d.settleAnswered(r)
		}
		d.observeStart(r, a)
	case order.NoAnswer:
		if a.NotSent && !r.startUnanswered && !r.inherited && !r.seen && !r.ended {
			d.withdrawUnsent(r)
			return
		}
		r.startUnanswered = r.startUnanswered || !a.NotSent && !a.Unstarted
		if r.seen || r.ended {
			return
		}
		r.nextStart = d.now.Add(callRetryDelay)
		if !a.Unstarted {
			d.observeIgnoredStart(r, a)
		}
		if d.now.Sub(r.orderedAt) > d.config.Limits.GangTimeout/2 {
			d.stopGang(r)
		}
	case order.Expired:
		if !r.seen && !r.ended {
			r.nextStart = d.now
		}
	case order.NoCapacity, order.Unhealthy, order.Invalid, order.NoTicket:
		d.config.Count("StartsRefused")
		d.config.Log.Info("start refused", "Task", r.key.Task.String(), "Run", r.key.Run, "Worker", r.worker.incarnation.GetId(), "Status", a.Status.String())
		r.nextStart = time.Time{}
		if a.Status == order.NoTicket {
			d.expireTicket(r.task.Step, r.worker, a.Call.Ticket)
		} else {
			r.worker.quarantinedUntil = d.now.Add(unhealthyQuarantine)
		}
		if r.seen || r.ended {
			return // an earlier order was carried out
		}
		d.stopGang(r)
		switch {
		case r.startUnanswered:
			d.requestStop(r, "the worker rejected the start") // an earlier order may still be carried out
		case r.inherited:
			d.awaitPoll(r)
		default:
			d.drop(r)
		}
	}
}

// withdrawUnsent withdraws a run of which no start has left this host, so that its task needn't wait until its worker is declared lost.
func (d *Dispatcher) withdrawUnsent(r *run) {
	d.config.Count("StartsNotSent")
	d.config.Log.Info("start not sent", "Task", r.key.Task.String(), "Run", r.key.Run, "Worker", r.worker.incarnation.GetId())
	r.nextStart = time.Time{}
	d.settleAnswered(r)
	d.stopGang(r)
	d.drop(r)
}

// observeStart records the time from the start order to its answer and, for the first task of a job, also the time since
// the job was accepted.
func (d *Dispatcher) observeStart(r *run, a *order.Answer) {
	if r.orderedAt.IsZero() {
		return // ordered by an earlier leader
	}
	d.config.Observe("StartOrder", a.Received.Sub(r.orderedAt))
	step, key := r.task.Step, r.key
	if key.Run == 1 && key.Task.Index == 0 && key.Task.Occurrence == 0 && len(step.GetAfter()) == 0 && step.Job.Spec.GetRepeats() == 0 {
		d.config.Observe("FirstStart", d.config.Wall().Sub(time.UnixMilli(step.Job.Spec.GetAcceptedMs())))
	}
}

// awaitPoll keeps a refused run until a poll shows which incarnation of the worker has refused it. The one that has answered this
// leader before rejects the orders of earlier leaders; a later one may not.
func (d *Dispatcher) awaitPoll(r *run) {
	r.refusedAt = d.now
	r.worker.pollAtOnce, r.worker.nextPoll = true, d.now
}

// drop withdraws a run that doesn't exist and can't be started any more. It gets no orders while the removal of its
// assignment is being committed: a start would be carried out beside the task's next run.
func (d *Dispatcher) drop(r *run) {
	r.withdrawn = true
	d.proposeDrop(r)
}

// proposeDrop proposes to remove a run's assignment. It is repeated by the next scan if the outcome is unknown.
func (d *Dispatcher) proposeDrop(r *run) {
	r.dropPending = true
	change := &controlpb.WorkChange{Kind: &controlpb.WorkChange_DropRun{DropRun: &controlpb.DropRun{
		Task: r.key.Task.Ref(), Run: r.key.Run, LeaseExpired: r.leaseExpired,
	}}}
	d.propose(change, func(result *controlpb.Result) {
		r.dropPending = false
		if result != nil {
			d.forgetRun(r.key, r)
		}
	})
}

// stop orders a worker to stop a run. A run that hasn't started can't be started after that.
func (d *Dispatcher) stop(r *run) {
	call := d.newCall(order.Stop, r.worker)
	call.Run, call.Urgent = r.key, r.reservesRoom()
	r.stopPending = true
	d.config.WorkerCalls.Send(call)
}

// handleStop handles the answer to a stop call. It brings forward the next poll, which may report the end of the run.
func (d *Dispatcher) handleStop(r *run, a *order.Answer) {
	r.stopPending = false
	if a.Status == order.OK || a.Status == order.StaleRun {
		if r.stoppedAt.IsZero() {
			r.stoppedAt, r.acknowledgedAt = a.Received, a.Received
		}
		r.worker.pollAtOnce = r.worker.pollAtOnce || !r.seen
		r.nextStart = time.Time{}
		r.nextStop = d.now.Add(d.config.Limits.StopGrace + time.Second) // repeated if the run is still there by then
		if r.worker.nextPoll.After(d.now) {
			r.worker.nextPoll = d.now
		}
		return
	}
	r.nextStop = d.now.Add(callRetryDelay)
}

// handlePoll handles a worker's report of running and ended runs.
func (d *Dispatcher) handlePoll(w *worker, a *order.Answer) {
	if a.Call != w.pendingPoll { // sent by pollIncarnation
		switch {
		case a.Status == order.OK && !w.superseded:
			d.handleIncarnationCheck(w, a)
		case a.Status == order.NoAnswer && w.mayHaveRestarted && !a.Call.Sent.Before(w.checkedSince):
			d.withholdLease(w)
		}
		return
	}
	w.pendingPoll, w.listedEnds = nil, 0
	if w.superseded {
		d.handleSuccessorPoll(w, a)
		return
	}
	w.nextPoll = d.now.Add(d.pollDelayAfter(w))
	if a.Status != order.OK {
		w.nextPoll = d.now.Add(callRetryDelay)
		if a.Status == order.NoAnswer || d.rejectsPolls(w) {
			d.withholdLease(w)
		}
		return
	}
	if d.handleIncarnationCheck(w, a) {
		return
	}
	d.resumeLease(w)
	if w.recordingLease {
		w.nextPoll = d.now.Add(callRetryDelay) // or once the resumption is committed
	}
	w.hasOrphans, w.lastPoll, w.listedAt = false, a.Received, a.Call.Sent
	listed := map[workload.RunKey]bool{}
	for _, running := range a.Running {
		listed[running.Run] = true
		d.observeRunning(w, &running)
	}
	for _, ended := range a.Ended {
		listed[ended.Run] = true
		w.listedEnds = max(w.listedEnds, ended.Number)
		if r := d.runs[ended.Run]; r != nil && r.worker == w {
			r.ended = true
		}
	}
	for r := range w.liveRuns() {
		if !listed[r.key] {
			d.observeMissing(r, a)
		}
	}
	d.recordEnds(w, a.Ended)
	d.controlInterference(w)
	if w.incarnation.GetLeaving() {
		d.migrateLeaving(w)
	}
}

// observeRunning updates a run that a worker reports as running. A run that isn't in the replicated state is an orphan,
// and is stopped.
func (d *Dispatcher) observeRunning(w *worker, running *order.Running) {
	r := d.runs[running.Run]
	if r == nil || r.worker != w {
		w.hasOrphans = true
		d.stopOrphan(w, running.Run)
		return
	}
	if !r.seen {
		r.seen, r.began, r.progressAt, r.firstProgress = true, d.now, d.now, running.Percent
		d.settleAnswered(r)
	}
	r.missingPolls = 0
	r.nextStart, r.refusedAt = time.Time{}, time.Time{}
	if running.Percent != r.progress {
		r.progress, r.progressAt = running.Percent, d.now
	}
	r.measurement = running.Measurement
	d.observeProof(r)
	d.checkStraggler(r)
	if running.Checkpoint != "" {
		d.checkpoints[unitKey(r.task)] = running.Checkpoint
	}
}

// isServing reports whether a run of a serving task is ready to serve, and hasn't ended and isn't being stopped.
func (d *Dispatcher) isServing(task *workload.Task) bool {
	for _, assigned := range task.Runs {
		r := d.runs[workload.RunKey{Task: task.Key(), Run: assigned.Number}]
		if r != nil && r.seen && !r.ended && !r.stopRequested && r.progress >= servingProgress {
			return true
		}
	}
	return false
}

// observeMissing counts a poll that didn't list a run, and drops the run after minMissingPolls of them. Polls sent before
// the last order was acknowledged don't count, nor those that may lack the run's end. A run that the worker hasn't acknowledged
// yet is ordered again instead, unless it can't start any more.
func (d *Dispatcher) observeMissing(r *run, a *order.Answer) {
	expired := r.isExpired(a)
	if a.EndsIncomplete || r.withdrawn || r.startPending || r.stopPending && r.stoppedAt.IsZero() && !expired || !r.acknowledgedAt.IsZero() && !a.Call.Sent.After(r.acknowledgedAt) {
		return
	}
	if !r.refusedAt.IsZero() {
		if !a.Call.Sent.Before(r.refusedAt) {
			d.drop(r)
		}
		return
	}
	if r.acknowledgedAt.IsZero() && !r.seen && !expired {
		switch {
		case r.ignoredStarts >= maxIgnoredStarts:
			d.moveIgnored(r, a)
		case r.nextStart.IsZero(): // assigned by an earlier leader, whose orders the worker no longer accepts
			r.nextStart = d.now
		}
		return
	}
	r.missingPolls++
	r.worker.pollAtOnce = true
	if r.missingPolls >= minMissingPolls {
		d.config.Log.Info("unknown run", "Task", r.key.Task.String(), "Run", r.key.Run, "Worker", r.worker.incarnation.GetId())
		d.drop(r)
	}
}

// recordEnds proposes to record run ends. The next poll after the commit acknowledges them to the worker.
func (d *Dispatcher) recordEnds(w *worker, ended []order.Ended) {
	ended = slices.DeleteFunc(ended, func(e order.Ended) bool { return e.Number <= w.incarnation.GetEndsSeen() })
	if len(ended) == 0 || w.recordingEnds {
		return
	}
	slices.SortFunc(ended, func(a, b order.Ended) int { return int(a.Number) - int(b.Number) })
	record := &controlpb.NoteEnds{Worker: w.incarnation.GetNumber(), Through: ended[len(ended)-1].Number}
	for _, e := range ended {
		record.Ends = append(record.Ends, endedRun(&e))
		d.observeEnd(w, &e)
	}
	w.recordingEnds = true
	d.propose(&controlpb.WorkChange{Kind: &controlpb.WorkChange_NoteEnds{NoteEnds: record}}, func(result *controlpb.Result) {
		w.recordingEnds = false
		if result == nil {
			return
		}
		for _, e := range ended {
			d.handleRecordedEnd(w, &e)
		}
	})
	d.releaseEnded(w, ended) // starts that use the room are proposed later, so that they take effect after the record
}

// releaseEnded frees what ended runs of a worker reserve. Tasks that will run again can do so only after the commit: their room is freed
// then, so that it isn't given to less urgent ones before.
func (d *Dispatcher) releaseEnded(w *worker, ended []order.Ended) {
	for _, e := range ended {
		r := d.runs[e.Run]
		if r != nil && r.worker == w && (e.Result == controlpb.RunEnd_RUN_DONE || r.task.Step.Job.IsTerminal() || d.relocations.reserved[r.task]) {
			d.release(r)
		}
	}
}

func endedRun(e *order.Ended) *controlpb.EndedRun {
	return &controlpb.EndedRun{Task: e.Run.Task.Ref(), Run: e.Run.Run, How: e.Result, Checkpoint: e.Checkpoint}
}

// handleRecordedEnd updates the soft state once the end of a run is recorded.
func (d *Dispatcher) handleRecordedEnd(w *worker, e *order.Ended) {
	r := d.runs[e.Run]
	if r == nil || r.worker != w {
		return
	}
	d.forgetRun(e.Run, r)
	d.inheritStop(r)
	if r.task.Done {
		d.forgetTask(e.Run.Task)
	} else if e.Checkpoint != "" {
		d.checkpoints[unitKey(r.task)] = e.Checkpoint
	}
	d.config.Count("RunsEnded." + e.Result.String())
	d.config.Log.Info("run ended", "Task", e.Run.Task.String(), "Run", e.Run.Run, "Worker", w.incarnation.GetId(), "How", e.Result.String(),
		"Age", d.now.Sub(r.began).String(), "Failures", r.task.Failures)
}
