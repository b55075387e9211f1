package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/jobspec"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// announcementVersion orders the announcements of a worker, by incarnation and sequence number.
type announcementVersion struct {
	incarnationStartMs int64
	sequence           uint64
	receivedAt         time.Time
}

// supersedes reports whether an announcement that is received now is a late one that precedes this version. A version that
// no announcement has followed for maxCallDelay supersedes none: a late announcement would have arrived by now, so its number
// was false.
func (v announcementVersion) supersedes(a *controlpb.AnnounceLife, now time.Time) bool {
	if now.Sub(v.receivedAt) > maxCallDelay {
		return false
	}
	startMs := a.GetLife().GetBornMs()
	return startMs < v.incarnationStartMs || startMs == v.incarnationStartMs && a.GetSequence() < v.sequence
}

// Serve handles a request and returns its reply, or wait if the reply will come through TakeReplies.
func (d *Dispatcher) Serve(now time.Time, r *controlpb.LeaderRequest) (reply *controlpb.LeaderReply, wait bool) {
	d.now = now
	if d.epoch == 0 {
		return unavailable("the leader is not ready"), false
	}
	switch kind := r.GetWork().GetKind().(type) {
	case *controlpb.WorkRequest_Caller:
		return d.serveCaller(r, kind.Caller)
	case *controlpb.WorkRequest_Announce:
		return d.announce(r, kind.Announce)
	case *controlpb.WorkRequest_Leave:
		return d.leave(r, kind.Leave)
	case *controlpb.WorkRequest_ReplaceRouting:
		if d.dropsAccounts(kind.ReplaceRouting) {
			return unavailable("the configuration was read by a version without client accounts"), false
		}
		change := &controlpb.WorkChange{Kind: &controlpb.WorkChange_ReplaceRouting{ReplaceRouting: kind.ReplaceRouting}}
		return d.commit(r, change, "routing", kind.ReplaceRouting.GetVersion())
	case *controlpb.WorkRequest_SetZoneOut:
		return d.setZoneOut(r, kind.SetZoneOut)
	case *controlpb.WorkRequest_BeginMaintenance:
		change := &controlpb.WorkChange{Kind: &controlpb.WorkChange_BeginMaintenance{BeginMaintenance: kind.BeginMaintenance}}
		return d.commit(r, change, "maintenance", kind.BeginMaintenance.GetWave())
	}
	if !d.config.LeaseValid(now) {
		return unavailable("the leader lease has run out"), false
	}
	return d.read(r), false
}

// read answers from the leader's state, which is current while the leader lease is valid.
func (d *Dispatcher) read(r *controlpb.LeaderRequest) *controlpb.LeaderReply {
	switch kind := r.GetWork().GetKind().(type) {
	case *controlpb.WorkRequest_ReadRouting:
		routing := d.state.Routing()
		if routing == nil {
			return outcome(controlpb.WorkOutcome_WORK_NOT_CONFIGURED)
		}
		return workReply(&controlpb.WorkReply{Outcome: controlpb.WorkOutcome_WORK_OK, Document: routing.GetDocument()})
	case *controlpb.WorkRequest_ReadMaintenance:
		wave := d.state.Maintenance(kind.ReadMaintenance.GetWave())
		if wave == nil {
			return outcome(controlpb.WorkOutcome_WORK_NOT_FOUND)
		}
		return workReply(&controlpb.WorkReply{Outcome: controlpb.WorkOutcome_WORK_OK, Completed: workload.IsWaveComplete(wave)})
	case *controlpb.WorkRequest_ReadZone:
		return workReply(&controlpb.WorkReply{Outcome: controlpb.WorkOutcome_WORK_OK, ZoneOrders: d.state.ZoneOrders(kind.ReadZone.GetZone())})
	case *controlpb.WorkRequest_Ping:
		return outcome(controlpb.WorkOutcome_WORK_OK)
	}
	return &controlpb.LeaderReply{Result: &controlpb.Result{Code: controlpb.ResultCode_RESULT_INVALID, Message: "a request that this version doesn't know"}}
}

// setZoneOut proposes an operator's order on a zone. It rejects an order that another one has followed: it was delayed on its way, and would undo
// what the operator has ordered since.
func (d *Dispatcher) setZoneOut(r *controlpb.LeaderRequest, change *controlpb.SetZoneOut) (*controlpb.LeaderReply, bool) {
	zone := change.GetZone()
	if change.AfterOrders != nil {
		if orders := d.state.ZoneOrders(zone); orders != change.GetAfterOrders() {
			d.config.Count("ZoneOrdersSuperseded")
			d.config.Log.Info("order on a zone is superseded", "Zone", zone, "Out", change.GetOut(), "AfterOrders", change.GetAfterOrders(), "Orders", orders)
			return &controlpb.LeaderReply{Result: &controlpb.Result{Code: controlpb.ResultCode_RESULT_REJECTED, Message: "a later order on the zone is known"}}, false
		}
		if d.openZoneOrders[zone] > 0 {
			return unavailable("another order on the zone is being committed"), false
		}
	}
	work := &controlpb.WorkChange{Kind: &controlpb.WorkChange_SetZoneOut{SetZoneOut: change}}
	d.proposeCounted(d.openZoneOrders, zone, r, work, func(result *controlpb.Result) *controlpb.LeaderReply {
		d.config.Log.Info("operator's change committed", "Change", "zone", "Subject", zone, "Out", change.GetOut(), "Orders", d.state.ZoneOrders(zone), "Epoch", d.epoch)
		return &controlpb.LeaderReply{Result: result, Work: &controlpb.WorkReply{Outcome: controlpb.WorkOutcome_WORK_OK}}
	})
	return nil, true
}

// commit proposes an operator's change and replies to the request once the change is decided.
func (d *Dispatcher) commit(r *controlpb.LeaderRequest, change *controlpb.WorkChange, changeName string, subject any) (*controlpb.LeaderReply, bool) {
	d.proposeAndReply(r, change, func(result *controlpb.Result) *controlpb.LeaderReply {
		d.config.Log.Info("operator's change committed", "Change", changeName, "Subject", subject, "Epoch", d.epoch)
		return &controlpb.LeaderReply{Result: result, Work: &controlpb.WorkReply{Outcome: controlpb.WorkOutcome_WORK_OK}}
	})
	return nil, true
}

// proposeAndReply proposes a change and replies to the request once the change is decided.
func (d *Dispatcher) proposeAndReply(r *controlpb.LeaderRequest, change *controlpb.WorkChange, reply func(*controlpb.Result) *controlpb.LeaderReply) {
	d.awaitReply(r)
	d.propose(change, func(result *controlpb.Result) { d.replyDecided(r, result, reply) })
}

// proposeCounted does so too, and counts the change under a key in open until it is decided.
func (d *Dispatcher) proposeCounted(open map[string]int, key string, r *controlpb.LeaderRequest, change *controlpb.WorkChange, reply func(*controlpb.Result) *controlpb.LeaderReply) {
	open[key]++
	d.awaitReply(r)
	d.propose(change, func(result *controlpb.Result) {
		if open[key]--; open[key] == 0 {
			delete(open, key)
		}
		d.replyDecided(r, result, reply)
	})
}

// replyDecided replies to a request whose change is decided, or whose result is unknown.
func (d *Dispatcher) replyDecided(r *controlpb.LeaderRequest, result *controlpb.Result, reply func(*controlpb.Result) *controlpb.LeaderReply) {
	if result == nil {
		d.reply(r, unknown("the leader has changed"))
		return
	}
	d.reply(r, reply(result))
}

// serveCaller answers a caller's request about a job or a queue.
func (d *Dispatcher) serveCaller(r *controlpb.LeaderRequest, c *controlpb.CallerWork) (*controlpb.LeaderReply, bool) {
	if !d.config.LeaseValid(d.now) {
		return unavailable("the leader lease has run out"), false
	}
	if d.state.Routing() == nil {
		return outcome(controlpb.WorkOutcome_WORK_NOT_CONFIGURED), false
	}
	queue, id := d.state.Match(c.GetHost(), c.GetPath())
	if queue == nil {
		return outcome(controlpb.WorkOutcome_WORK_NO_QUEUE), false
	}
	requester, isKnown := d.state.Authenticate(queue, c.GetKeyDigest())
	if !isKnown {
		if !c.GetReadsKey() {
			return unavailable("the entry is of a version without client accounts"), false
		}
		return d.refuseUnauthenticated(queue, id, c), false
	}
	if id != "" && !jobspec.IsID(id) {
		if c.GetVerb() == controlpb.CallerVerb_VERB_SUBMIT {
			return outcome(controlpb.WorkOutcome_WORK_INVALID), false
		}
		return outcome(controlpb.WorkOutcome_WORK_NOT_FOUND), false
	}
	switch c.GetVerb() {
	case controlpb.CallerVerb_VERB_SUBMIT:
		if id != "" && !d.mayAccess(requester, id) {
			return outcome(controlpb.WorkOutcome_WORK_INVALID), false
		}
		c.GetJob().Account, c.GetJob().KeyDigest = requester.Account, requester.KeyDigest
		return d.submit(r, queue, id, c.GetJob(), requester)
	case controlpb.CallerVerb_VERB_CANCEL:
		if !d.mayAccess(requester, id) {
			return outcome(controlpb.WorkOutcome_WORK_NOT_FOUND), false
		}
		return d.cancel(r, queue, requester.Cancellation(id))
	case controlpb.CallerVerb_VERB_READ:
		if id == "" {
			return workReply(&controlpb.WorkReply{Outcome: controlpb.WorkOutcome_WORK_OK, IsCount: true, Pending: d.state.CountQueued(queue.GetName())}), false
		}
		state, _ := d.state.Lookup(id)
		if state == controlpb.WorkState_WORK_UNKNOWN || !d.mayAccess(requester, id) {
			return outcome(controlpb.WorkOutcome_WORK_NOT_FOUND), false
		}
		return workReply(&controlpb.WorkReply{Outcome: controlpb.WorkOutcome_WORK_OK, State: state}), false
	}
	return outcome(controlpb.WorkOutcome_WORK_INVALID), false
}

// submit accepts a job, or rejects it if the job limit of its queue is reached or if its serving tasks would take processors
// that dedicated tasks need. A repeated submission is acknowledged without effect.
func (d *Dispatcher) submit(r *controlpb.LeaderRequest, queue *controlpb.WorkQueue, id string, job *controlpb.WorkJob, requester workload.Requester) (*controlpb.LeaderReply, bool) {
	if id == "" {
		return outcome(controlpb.WorkOutcome_WORK_INVALID), false
	}
	if state, _ := d.state.Lookup(id); state != controlpb.WorkState_WORK_UNKNOWN {
		return outcome(controlpb.WorkOutcome_WORK_OK), false
	}
	if earlier, isSubmitting := d.submitting[id]; isSubmitting {
		d.awaitReply(r)
		d.submitting[id] = append(earlier, r)
		return nil, true
	}
	load := workload.Load(job)
	if reply := d.refuseForAccount(queue, id, job, load); reply != nil {
		return reply, false
	}
	if retryAfter, isOverloaded := d.overloaded(queue, load); isOverloaded {
		return d.refuse(queue, id, "Overloaded", retryAfter, "Unfinished", d.unfinished(), "Load", d.state.Load()+d.submittingLoad, "Own", load), false
	}
	if available, needed := d.headroomFor(job); available < needed {
		return d.refuse(queue, id, "NoHeadroom", servingRetryDelay, "Available", available, "Needed", needed), false
	}
	d.awaitReply(r)
	job.Id, job.Queue, job.AcceptedMs = id, queue.GetName(), d.config.Wall().UnixMilli()
	d.meterSubmission(job)
	d.submitting[id] = []*controlpb.LeaderRequest{r}
	d.submittingLoad += load
	received := d.now
	isWithdrawn := d.isWithdrawn(job)
	d.propose(&controlpb.WorkChange{Kind: &controlpb.WorkChange_Submit{Submit: job}}, func(result *controlpb.Result) {
		reply := unknown("the leader has changed")
		if result != nil {
			d.config.Count("JobsAccepted")
			d.observeArrival(job)
			d.config.Observe("Accept", d.now.Sub(received))
			d.config.Log.Info("job accepted", "Job", id, "Queue", queue.GetName(), "Steps", len(job.GetSteps()), "Routing", d.state.Routing().GetVersion(), "Withdrawn", isWithdrawn)
			reply = outcome(controlpb.WorkOutcome_WORK_OK)
		}
		for _, waiting := range d.submitting[id] {
			d.reply(waiting, reply)
		}
		delete(d.submitting, id)
		d.submittingLoad -= load
	})
	if isWithdrawn {
		d.propose(cancellation(requester.Cancellation(id)), func(*controlpb.Result) {})
	}
	return nil, true
}

// isWithdrawn reports whether the cancellation of a job that isn't known, by a requester with access to it, is recorded or proposed.
func (d *Dispatcher) isWithdrawn(job *controlpb.WorkJob) bool {
	return d.state.IsWithdrawn(job) || slices.ContainsFunc(d.withdrawing[job.GetId()], func(c *controlpb.CancelWork) bool {
		return workload.RequesterOf(c).MayAccess(job)
	})
}

func cancellation(c *controlpb.CancelWork) *controlpb.WorkChange {
	return &controlpb.WorkChange{Kind: &controlpb.WorkChange_Cancel{Cancel: c}}
}

// refuse rejects a job that hasn't been proposed, so that it certainly never runs. The inputs of the decision are logged, as
// alternating names and values.
func (d *Dispatcher) refuse(queue *controlpb.WorkQueue, id, reason string, retryAfter time.Duration, inputs ...any) *controlpb.LeaderReply {
	d.config.Count("JobsRefused")
	d.config.Count("JobsRefused." + reason)
	d.config.Log.WithValues(inputs...).Info("job refused", "Job", id, "Queue", queue.GetName(), "Reason", reason, "RetryAfter", retryAfter.String())
	return workReply(&controlpb.WorkReply{Outcome: controlpb.WorkOutcome_WORK_OVERLOADED, RetryAfterMs: retryAfter.Milliseconds()})
}

// cancel cancels a job. The reply says WORK_NOT_FOUND if there is none. That is recorded first, because the submission of the job may be
// on its way.
func (d *Dispatcher) cancel(r *controlpb.LeaderRequest, queue *controlpb.WorkQueue, c *controlpb.CancelWork) (*controlpb.LeaderReply, bool) {
	id := c.GetId()
	if id == "" {
		return outcome(controlpb.WorkOutcome_WORK_NOT_FOUND), false
	}
	if state, _ := d.state.Lookup(id); state == controlpb.WorkState_WORK_UNKNOWN && d.submitting[id] == nil {
		return d.withdraw(r, c)
	}
	d.proposeAndReply(r, cancellation(c), func(result *controlpb.Result) *controlpb.LeaderReply {
		if result.GetCode() == controlpb.ResultCode_RESULT_NOT_FOUND {
			return outcome(controlpb.WorkOutcome_WORK_NOT_FOUND)
		}
		d.config.Count("JobsCancelled")
		d.config.Log.Info("job cancelled", "Job", id, "Queue", queue.GetName())
		return outcome(controlpb.WorkOutcome_WORK_OK)
	})
	return nil, true
}

// withdraw records the cancellation of an unknown job.
func (d *Dispatcher) withdraw(r *controlpb.LeaderRequest, c *controlpb.CancelWork) (*controlpb.LeaderReply, bool) {
	if d.state.IsRecorded(c) {
		return outcome(controlpb.WorkOutcome_WORK_NOT_FOUND), false
	}
	id := c.GetId()
	d.withdrawing[id] = append(d.withdrawing[id], c)
	d.awaitReply(r)
	d.propose(cancellation(c), func(result *controlpb.Result) {
		d.withdrawing[id] = slices.DeleteFunc(d.withdrawing[id], func(open *controlpb.CancelWork) bool { return open == c })
		if len(d.withdrawing[id]) == 0 {
			delete(d.withdrawing, id)
		}
		d.replyDecided(r, result, func(*controlpb.Result) *controlpb.LeaderReply {
			d.config.Log.Info("unknown job cancelled", "Job", id)
			return outcome(controlpb.WorkOutcome_WORK_NOT_FOUND)
		})
	})
	return nil, true
}

// announce handles a worker's announcement of itself. One without changes is acknowledged immediately.
func (d *Dispatcher) announce(r *controlpb.LeaderRequest, a *controlpb.AnnounceLife) (*controlpb.LeaderReply, bool) {
	incarnation := a.GetLife()
	if d.lastAnnouncements[incarnation.GetId()].supersedes(a, d.now) {
		return outcome(controlpb.WorkOutcome_WORK_OK), false // a newer announcement has already arrived
	}
	if routing := d.state.Routing(); routing != nil && d.state.Pool(incarnation.GetPool()) == nil {
		return outcome(controlpb.WorkOutcome_WORK_NOT_FOUND), false
	}
	incarnation.Sequence = a.GetSequence()
	current := d.state.WorkerByID(incarnation.GetId())
	if current != nil && incarnation.GetBornMs() > current.GetBornMs() {
		if w := d.workers[current.GetNumber()]; w != nil && !w.ending {
			d.checkIncarnation(w, incarnation)
			return unavailable("orders for the earlier life are being settled"), false
		}
	}
	if current != nil && incarnation.GetBornMs() == current.GetBornMs() && current.GetBornMs() != 0 && incarnation.GetAddress() != current.GetAddress() {
		return unavailable("this life is known at another address"), false
	}
	if current != nil && !incarnation.GetLeaving() {
		if w := d.workers[current.GetNumber()]; w != nil && current.GetBornMs() == incarnation.GetBornMs() {
			w.terminating = false // the notice was for an earlier incarnation
		}
	}
	unchanged := current != nil && isUnchanged(current, incarnation)
	if !unchanged {
		if other := d.otherAt(incarnation); other != nil && incarnation.GetBornMs() >= other.incarnation.GetBornMs() {
			d.checkIncarnation(other, incarnation)
			return unavailable("another worker is known at this address"), false
		}
	}
	earlier, isKnown := d.lastAnnouncements[incarnation.GetId()]
	incarnation.ReusesId = isKnown && earlier.incarnationStartMs != incarnation.GetBornMs()
	incarnation.FollowsUnknownStart = incarnation.GetReusesId() && earlier.incarnationStartMs == 0
	d.lastAnnouncements[incarnation.GetId()] = announcementVersion{incarnationStartMs: incarnation.GetBornMs(), sequence: a.GetSequence(), receivedAt: d.now}
	leavesAt := d.leavesAt(a)
	if unchanged {
		if w := d.workers[current.GetNumber()]; w != nil {
			w.observeLeavesAt(leavesAt)
		}
		return outcome(controlpb.WorkOutcome_WORK_OK), false
	}
	if current == nil || current.GetBornMs() < incarnation.GetBornMs() {
		d.fenceOff(incarnation)
	}
	suspects := d.state.LossSuspects(incarnation)
	d.proposeAndReply(r, &controlpb.WorkChange{Kind: &controlpb.WorkChange_PutWorker{PutWorker: incarnation}}, func(result *controlpb.Result) *controlpb.LeaderReply {
		if result.GetCode() == controlpb.ResultCode_RESULT_OK {
			d.logGivenUp(suspects)
			d.incarnationChanged(uint32(result.GetFence()), leavesAt)
		}
		return outcome(controlpb.WorkOutcome_WORK_OK)
	})
	return nil, true
}

// fenceOff polls an incarnation that isn't known yet, with a fencing token above those of all earlier ones, so that it rejects late
// orders for them while its announcement is being committed.
func (d *Dispatcher) fenceOff(incarnation *controlpb.WorkerLife) {
	address, err := netip.ParseAddrPort(incarnation.GetAddress())
	if err != nil {
		return // addWorker reports it
	}
	d.config.WorkerCalls.Send(&order.Call{
		Kind: order.Poll, ID: incarnation.GetId(), IncarnationStartMs: incarnation.GetBornMs(), Address: address, Epoch: d.epoch,
		Fence: d.epoch<<fenceBits | uint64(d.state.LastWorkerNumber())<<1 | 1, Sent: d.now,
	})
}

// handleFencedOff handles the answer to a poll of an incarnation that wasn't known yet: it may come from a later one.
func (d *Dispatcher) handleFencedOff(a *order.Answer) {
	current := d.state.WorkerByID(a.Call.ID)
	if current == nil || a.IncarnationStartMs == 0 || a.IncarnationStartMs == current.GetBornMs() {
		return
	}
	if w := d.workers[current.GetNumber()]; w != nil {
		d.checkRestart(w)
	}
}

// otherAt returns a worker with another ID at the address of an announced one, or nil.
func (d *Dispatcher) otherAt(incarnation *controlpb.WorkerLife) *worker {
	for _, w := range d.orderedWorkers {
		if w.incarnation.GetAddress() == incarnation.GetAddress() && w.incarnation.GetId() != incarnation.GetId() && !w.ending {
			return w
		}
	}
	return nil
}

func isUnchanged(current *workload.Worker, incarnation *controlpb.WorkerLife) bool {
	return current.GetBornMs() == incarnation.GetBornMs() && current.GetPool() == incarnation.GetPool() &&
		current.GetAddress() == incarnation.GetAddress() && current.GetZone() == incarnation.GetZone() &&
		current.GetProcessors() == incarnation.GetProcessors() && current.GetMemory() == incarnation.GetMemory() &&
		current.GetAccelerators() == incarnation.GetAccelerators() && (current.GetLeaving() || !incarnation.GetLeaving())
}

// leave handles a worker's notice that it terminates. A worker whose acknowledgement is lost goes on for seconds, so its
// incarnation ends only once nothing runs on it or its lease has expired. The request doesn't name the incarnation: one
// that hasn't announced that it drains may be a later one, whose runs aren't stopped.
func (d *Dispatcher) leave(r *controlpb.LeaderRequest, l *controlpb.LeaveLife) (*controlpb.LeaderReply, bool) {
	current := d.state.WorkerByID(l.GetId())
	if current == nil || d.workers[current.GetNumber()] == nil {
		return outcome(controlpb.WorkOutcome_WORK_OK), false
	}
	w := d.workers[current.GetNumber()]
	d.config.Log.Info("worker terminates", "Worker", l.GetId(), "Draining", current.GetLeaving(), "Runs", len(current.Runs))
	w.terminating = true
	if !current.GetLeaving() {
		return outcome(controlpb.WorkOutcome_WORK_OK), false
	}
	for run := range w.liveRuns() {
		d.requestStop(run, "its worker terminates")
	}
	if len(w.leaveRequests) == 0 {
		w.leaveAckBy = d.now.Add(leaveTimeout)
	}
	d.awaitReply(r)
	w.leaveRequests = append(w.leaveRequests, r)
	return nil, true
}

// acknowledgeLeave replies to the pending leave requests of a worker.
func (d *Dispatcher) acknowledgeLeave(w *worker) {
	for _, request := range w.leaveRequests {
		d.reply(request, outcome(controlpb.WorkOutcome_WORK_OK))
	}
	w.leaveRequests = nil
}
