package dispatch

import (
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// missingLooks is the number of looks in a row that don't list a run, neither as running nor as ended, after which it
// certainly isn't there. Two, because answers on different connections may overtake each other.
const missingLooks = 2

// run is what the leader knows of an assigned run beyond the replicated state.
type run struct {
	key    workload.RunKey
	task   *workload.Task
	worker *worker

	startAt    time.Time // of the next start call; zero when none is needed
	starting   bool      // a start call is under way
	orderedAt  time.Time // of the first start call
	checkpoint string    // that start calls carry, which doesn't change from one to the next
	unanswered bool      // a start call got no answer, and may be carried out later
	settledAt  time.Time // when the newest start or stop call was answered for good

	gentle    bool      // it works at a slow pace beside serving tasks that it disturbs
	pace      int       // percent, as last acknowledged
	pacing    bool      // a pace call is under way
	paceAt    time.Time // before which no pace call is made
	lateUntil time.Time // until then an earlier pace may still be carried out
	halted    bool      // it has been halted for some time, so that its length tells nothing

	stopWanted bool
	stopAt     time.Time // of the next stop call
	stopping   bool
	stopReason string

	seen         bool // a look listed it
	missing      int  // looks since that don't list it
	began        time.Time
	percent      int
	firstPercent int       // when it was seen first
	slow         bool      // a copy may run beside it
	progress     time.Time // when percent rose last
	gauge        int64
}

// addRun starts to look after a run that the replicated state holds.
func (d *Dispatcher) addRun(key workload.RunKey, task *workload.Task, w *worker) *run {
	r := &run{key: key, task: task, worker: w, began: d.now, progress: d.now, gauge: -1, pace: fullPace}
	d.runs[key] = r
	d.charge(w, task.Step, 1)
	return r
}

// forgetRun stops looking after a run that is over.
func (d *Dispatcher) forgetRun(key workload.RunKey, r *run) {
	if d.runs[key] != r {
		return
	}
	delete(d.runs, key)
	d.charge(r.worker, r.task.Step, -1)
	d.dirty = true
}

// charge adds a task of a step to what a worker holds, or takes it off.
func (d *Dispatcher) charge(w *worker, step *workload.Step, sign int) {
	if sign > 0 {
		w.used = w.used.Add(step.Demand())
	} else {
		w.used = w.used.Sub(step.Demand())
	}
	switch {
	case step.GetFills():
		w.fills += int64(sign) * step.GetProcessors()
		w.countImage(image{imageOf(step), true}, sign)
	case step.Serves():
		w.serving += sign
		w.servers += int64(sign) * step.GetProcessors()
		w.countImage(image{imageOf(step), false}, sign)
	case !step.GetPerpetual():
		w.exact += sign
	}
}

// tickRun makes the calls for a run that are due.
func (d *Dispatcher) tickRun(r *run) {
	if !r.stopWanted {
		if reason := d.stopReason(r); reason != "" {
			d.wantStop(r, reason)
		}
	}
	switch {
	case r.worker.reborn:
	case r.stopWanted && !r.stopping && !d.now.Before(r.stopAt):
		d.stop(r)
	case !r.stopWanted && !r.starting && !r.startAt.IsZero() && !d.now.Before(r.startAt):
		d.start(r)
	case (r.seen || !r.settledAt.IsZero()) && !r.stopWanted && r.task.Step.GetFills():
		d.tickPace(r)
	}
}

// stopReason returns why a run has to be stopped, or nothing.
func (d *Dispatcher) stopReason(r *run) string {
	switch job := r.task.Step.Job; {
	case job.Cancelled:
		return "the job was cancelled"
	case job.Failed:
		return "the job has failed"
	case r.task.Done:
		return "another copy is done"
	}
	return ""
}

// wantStop has a run stopped.
func (d *Dispatcher) wantStop(r *run, reason string) {
	if r.stopWanted {
		return
	}
	r.stopWanted, r.stopReason, r.stopAt = true, reason, d.now
	d.config.Count("RunsStopped")
	d.config.Log.Info("stopping run", "Task", r.key.Task.String(), "Run", r.key.Run, "Worker", r.worker.life.GetId(), "Reason", reason,
		"Percent", r.percent, "Age", d.now.Sub(r.began).String())
}

// start orders a worker to start a run. The same order may be repeated until it is answered, unless the worker may not be
// given work any more: then it is stopped, because an earlier order may still be carried out.
func (d *Dispatcher) start(r *run) {
	if reason := d.startBar(r.worker); reason != "" {
		d.wantStop(r, reason)
		return
	}
	until := d.grant(r.worker)
	if until == 0 || r.worker.ending {
		r.startAt = d.now.Add(retryPause)
		return
	}
	call := d.newCall(order.Start, r.worker)
	call.Run, call.Spec, call.Until = r.key, r.task.Step.Job.Spec.GetSpec(), until
	if r.orderedAt.IsZero() {
		r.orderedAt, r.checkpoint = d.now, d.checkpoint(r.task)
	}
	call.Checkpoint, call.Ticket = r.checkpoint, d.ticketFor(r.task.Step, r.worker)
	r.starting = true
	d.config.Orders.Send(call)
}

// startBar returns why nothing may be started on a worker any more, or nothing.
func (d *Dispatcher) startBar(w *worker) string {
	switch {
	case w.life.GetLeaving():
		return "its worker leaves"
	case d.state.ZoneOut(w.life.GetZone()):
		return "its zone is out of service"
	case d.isTaken(w):
		return "its host is to be maintained"
	}
	return ""
}

// savedKey returns the key under which a task's checkpoint is kept. The members of a gang share one.
func savedKey(t *workload.Task) workload.TaskKey {
	key := t.Key()
	if t.Step.GetGang() {
		key.Index = 0
	}
	return key
}

// checkpoint returns where a task resumes. All members of a gang get the same.
func (d *Dispatcher) checkpoint(t *workload.Task) string {
	if saved := d.saved[savedKey(t)]; saved != "" {
		return saved
	}
	return t.Checkpoint
}

// startAnswered handles the answer to a start.
func (d *Dispatcher) startAnswered(r *run, a *order.Answer) {
	r.starting = false
	if r.worker.reborn {
		return // it may have started in the later life, which is asked
	}
	switch a.Status {
	case order.OK, order.Stale:
		r.startAt = time.Time{}
		r.settledAt = a.Received
		d.observeStart(r, a)
	case order.NoAnswer:
		r.unanswered = true
		r.startAt = d.now.Add(retryPause)
		if d.now.Sub(r.orderedAt) > d.config.Limits.GangTimeout/2 {
			d.stopGang(r)
		}
	case order.Late:
		r.startAt = d.now
	case order.Full, order.Unhealthy, order.Invalid, order.NoTicket:
		d.config.Log.Info("start refused", "Task", r.key.Task.String(), "Run", r.key.Run, "Worker", r.worker.life.GetId(), "Status", a.Status.String())
		r.startAt = time.Time{}
		if a.Status == order.NoTicket {
			delete(d.adviceOn(r.task.Step).tickets, r.worker.life.GetId())
		} else {
			r.worker.shunUntil = d.now.Add(unhealthyPause)
		}
		d.stopGang(r)
		if r.unanswered {
			d.wantStop(r, "the worker refused to start it") // an earlier order may still be carried out
			return
		}
		d.drop(r)
	}
}

// observeStart records how long a start took: from the order to its answer, and for the first task of a job also from when
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

// drop takes back the assignment of a run that certainly isn't there and never will be.
func (d *Dispatcher) drop(r *run) {
	change := &controlpb.WorkChange{Kind: &controlpb.WorkChange_DropRun{DropRun: &controlpb.DropRun{Task: r.key.Task.Ref(), Run: r.key.Run}}}
	d.propose(change, func(result *controlpb.Result) {
		if result != nil {
			d.forgetRun(r.key, r)
		}
	})
}

// stop orders a worker to stop a run. A run that isn't there can't be started any more after that.
func (d *Dispatcher) stop(r *run) {
	call := d.newCall(order.Stop, r.worker)
	call.Run = r.key
	r.stopping = true
	d.config.Orders.Send(call)
}

func (d *Dispatcher) stopAnswered(r *run, a *order.Answer) {
	r.stopping = false
	if a.Status == order.OK || a.Status == order.Stale {
		r.settledAt = a.Received
		r.startAt = time.Time{}
		r.stopAt = d.now.Add(d.config.Limits.StopGrace + time.Second) // again, if it is still there by then
		if r.worker.lookAt.After(d.now) {
			r.worker.lookAt = d.now
		}
		return
	}
	r.stopAt = d.now.Add(retryPause)
}

// looked handles what a worker says that it runs and what has ended.
func (d *Dispatcher) looked(w *worker, a *order.Answer) {
	w.looking = nil
	if w.reborn {
		d.lookedAgain(w, a)
		return
	}
	w.lookAt = d.now.Add(d.pauseAfter(w))
	if a.Status != order.OK {
		w.lookAt = d.now.Add(retryPause)
		return
	}
	w.strays = false
	listed := map[workload.RunKey]bool{}
	for _, running := range a.Running {
		listed[running.Run] = true
		d.sawRunning(w, &running)
	}
	for _, ended := range a.Ended {
		listed[ended.Run] = true
	}
	for key := range w.life.Runs {
		if r := d.runs[key]; r != nil && !listed[key] {
			d.sawMissing(r, a)
		}
	}
	d.noteEnds(w, a.Ended)
	d.govern(w)
	if w.life.GetLeaving() {
		d.leaving(w)
	}
}

// sawRunning follows a run that is at work. One that the state doesn't hold was taken back, and is stopped.
func (d *Dispatcher) sawRunning(w *worker, running *order.Running) {
	r := d.runs[running.Run]
	if r == nil || r.worker != w {
		w.strays = true
		d.stopStray(w, running.Run)
		return
	}
	if !r.seen {
		r.seen, r.began, r.progress, r.firstPercent = true, d.now, d.now, running.Percent
	}
	r.missing = 0
	r.startAt = time.Time{}
	if running.Percent != r.percent {
		r.percent, r.progress = running.Percent, d.now
	}
	r.gauge = running.Gauge
	d.judge(r)
	if running.Checkpoint != "" {
		d.saved[savedKey(r.task)] = running.Checkpoint
	}
}

// isAtWork reports whether a task that serves is at work.
func (d *Dispatcher) isAtWork(task *workload.Task) bool {
	for _, assigned := range task.Runs {
		r := d.runs[workload.RunKey{Task: task.Key(), Run: assigned.Number}]
		if r != nil && r.seen && !r.stopWanted && r.percent >= fullPercent {
			return true
		}
	}
	return false
}

// sawMissing follows a run that a look didn't list. Looks that began before the last order was answered don't count.
func (d *Dispatcher) sawMissing(r *run, a *order.Answer) {
	if r.starting || r.stopping || !r.settledAt.IsZero() && !a.Call.Sent.After(r.settledAt) {
		return
	}
	if r.settledAt.IsZero() && !r.seen {
		if r.startAt.IsZero() { // assigned by an earlier leader, whose orders the worker doesn't obey any more
			r.startAt = d.now
		}
		return
	}
	r.missing++
	if r.missing >= missingLooks {
		d.config.Log.Info("run is not there", "Task", r.key.Task.String(), "Run", r.key.Run, "Worker", r.worker.life.GetId())
		d.drop(r)
	}
}

// noteEnds proposes to record ends, and has them forgotten by the worker once they are.
func (d *Dispatcher) noteEnds(w *worker, ended []order.Ended) {
	ended = slices.DeleteFunc(ended, func(e order.Ended) bool { return e.Number <= w.life.GetEndsSeen() })
	if len(ended) == 0 || w.noting {
		return
	}
	slices.SortFunc(ended, func(a, b order.Ended) int { return int(a.Number) - int(b.Number) })
	note := &controlpb.NoteEnds{Worker: w.life.GetNumber(), Through: ended[len(ended)-1].Number}
	for _, e := range ended {
		note.Ends = append(note.Ends, endedRun(&e))
		d.learnEnd(w, &e)
	}
	w.noting = true
	d.propose(&controlpb.WorkChange{Kind: &controlpb.WorkChange_NoteEnds{NoteEnds: note}}, func(result *controlpb.Result) {
		w.noting = false
		if result == nil {
			return
		}
		for _, e := range ended {
			d.ended(w, &e)
		}
	})
}

func endedRun(e *order.Ended) *controlpb.EndedRun {
	return &controlpb.EndedRun{Task: e.Run.Task.Ref(), Run: e.Run.Run, How: e.How, Checkpoint: e.Checkpoint}
}

// ended follows the recorded end of a run.
func (d *Dispatcher) ended(w *worker, e *order.Ended) {
	r := d.runs[e.Run]
	if r == nil || r.worker != w {
		return
	}
	d.forgetRun(e.Run, r)
	if r.task.Done {
		d.forgetTask(e.Run.Task)
	} else if e.Checkpoint != "" {
		d.saved[savedKey(r.task)] = e.Checkpoint
	}
	d.config.Count("RunsEnded." + e.How.String())
	d.config.Log.Info("run ended", "Task", e.Run.Task.String(), "Run", e.Run.Run, "Worker", w.life.GetId(), "How", e.How.String(),
		"Age", d.now.Sub(r.began).String(), "Failures", r.task.Failures)
}
