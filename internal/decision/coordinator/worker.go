package coordinator

import (
	"maps"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
)

// worker is the soft state of a registered worker that is not lost.
type worker struct {
	name            string
	incarnation     uint64
	expiry          time.Time // of its lease, including the margin
	lossProposed    bool      // WorkerLost is proposed; no renewal or claim is accepted any more
	leaving         bool
	orderNumber     uint64                           // of the last orders sent
	pending         map[controlstate.TaskID]struct{} // tasks for which an order has to be sent
	acknowledged    uint64                           // number of the last orders that the worker has confirmed
	unacknowledged  []controlstate.TaskID            // tasks of the orders sent since then
	outstanding     map[controlstate.TaskID]uint64   // fences of sent start and stop orders without effect so far
	sentThrottles   map[controlstate.TaskID]int32    // last throttle sent, in percent, unless 100
	deferredPoll    *controlpb.LeaderRequest         // deferred until there are orders
	pollDeadline    time.Time
	deferredRenewal *controlpb.LeaderRequest // deferred until its reports are applied
	renewalDeadline time.Time
	nextCheckpoints time.Time // earliest time of the next proposal that only records checkpoints
}

// unthrottledPercent is the throttle of a task that may use all of its processors.
const unthrottledPercent = 100

// withMargin returns the duration after which the leader considers a lease expired.
func withMargin(lease time.Duration) time.Duration { return lease + lease/leaseMarginDivisor }

// workerChanged updates the soft state from the worker's record. A new incarnation starts with a full lease.
func (c *Coordinator) workerChanged(now time.Time, name string) {
	record := c.state.Worker(name)
	current := c.workers[name]
	if current != nil && (record == nil || record.Lost || record.Incarnation != current.incarnation) {
		c.answer(&current.deferredPoll, &controlpb.LeaderReply{Poll: &controlpb.PollReply{Unknown: true}})
		c.answer(&current.deferredRenewal, &controlpb.LeaderReply{Poll: &controlpb.PollReply{Unknown: true}})
		delete(c.workers, name)
		delete(c.deferredRenewals, name)
		delete(c.answerablePolls, name)
		current = nil
	}
	if record != nil && !record.Lost && current == nil {
		c.workers[name] = &worker{
			name: name, incarnation: record.Incarnation, expiry: now.Add(withMargin(WorkerLease)),
			// Order numbers of different leaders must differ, because a worker acknowledges only the number of its last orders.
			orderNumber:   uint64(now.UnixNano()),
			pending:       map[controlstate.TaskID]struct{}{},
			outstanding:   map[controlstate.TaskID]uint64{},
			sentThrottles: map[controlstate.TaskID]int32{},
		}
		c.deadlines.add(now.Add(withMargin(WorkerLease)), deadlineLease, name)
	}
	c.notifyScheduler(name, record)
}

// notifyScheduler passes the worker's record to the scheduler. A worker that is leaving is reported as removed, so that no
// task is placed on it.
func (c *Coordinator) notifyScheduler(name string, record *controlstate.Worker) {
	if c.scheduler == nil {
		return
	}
	current := c.workers[name]
	if record == nil || !record.Listed || current != nil && current.leaving {
		c.scheduler.WorkerRemoved(name)
		return
	}
	c.scheduler.WorkerChanged(record.Record(), record.Zone, record.Rack)
}

// taskChanged passes the task to the scheduler and marks its worker's order as pending if one follows from the change.
func (c *Coordinator) taskChanged(now time.Time, id controlstate.TaskID) {
	t := c.state.Task(id)
	job := c.state.Job(id.Job)
	if c.scheduler != nil && job != nil {
		record := &controlpb.TaskRecord{Name: id.String(), State: controlpb.TaskState_CANCELLED}
		if t != nil {
			record = t.Record()
		}
		c.scheduler.TaskChanged(job.Spec, record)
	}
	if t == nil || !t.Placed() {
		return
	}
	w := c.workers[t.Worker]
	if w == nil || w.incarnation != t.Incarnation {
		return
	}
	switch t.State {
	case controlpb.TaskState_STARTING, controlpb.TaskState_STOPPING:
		c.markPending(w, id)
	case controlpb.TaskState_RUNNING:
		if last, ok := w.sentThrottles[id]; ok && last != t.Throttle || !ok && t.Throttle != unthrottledPercent {
			c.markPending(w, id)
		}
	}
	if w.leaving && t.State != controlpb.TaskState_STOPPING {
		c.stopForDrain(now, t)
	}
}

// markPending marks the order for the task as pending.
func (c *Coordinator) markPending(w *worker, id controlstate.TaskID) {
	w.pending[id] = struct{}{}
	if w.deferredPoll != nil {
		c.answerablePolls[w.name] = w
	}
}

// leasedWorker returns the worker if the leader lease and the lease of its incarnation are valid, and otherwise a refusal.
func (c *Coordinator) leasedWorker(now time.Time, name string, incarnation uint64) (*worker, *controlpb.LeaderReply) {
	if !c.config.LeaseValid(now) {
		// A deposed leader must neither renew leases after its successor's election nor make workers stop their tasks.
		return nil, unavailable("the leader lease is not valid")
	}
	w := c.workers[name]
	if w == nil || w.incarnation != incarnation || w.lossProposed || !now.Before(w.expiry) {
		return nil, &controlpb.LeaderReply{Poll: &controlpb.PollReply{Unknown: true}}
	}
	return w, nil
}

// renew renews a worker's lease. If reports of the renewal change the state of a task, the reply is deferred until they
// are applied. The reply acknowledges the reports, so that the worker does not send them again.
func (c *Coordinator) renew(now time.Time, r *controlpb.LeaderRequest, renewal *controlpb.WorkerRenewal) (*controlpb.LeaderReply, bool) {
	w, refused := c.leasedWorker(now, renewal.GetWorker(), renewal.GetIncarnation())
	if refused != nil {
		return refused, false
	}
	w.expiry = now.Add(withMargin(WorkerLease))
	if c.scheduler != nil && len(renewal.GetUsage()) > 0 {
		c.scheduler.Usage(now, w.name, renewal.GetUsage())
	}
	if renewal.GetLeaving() && !w.leaving {
		c.drain(now, w)
	}
	if !c.proposeReports(now, w, renewal.GetReports()) {
		return w.renewalReply(), false
	}
	c.answer(&w.deferredRenewal, unavailable("a later renewal has arrived"))
	w.deferredRenewal, w.renewalDeadline = r, now.Add(renewalTimeout)
	c.deferredRenewals[w.name] = w
	c.deadlines.add(w.renewalDeadline, deadlineRenewal, w.name)
	return nil, true
}

func (w *worker) renewalReply() *controlpb.LeaderReply {
	return &controlpb.LeaderReply{Poll: &controlpb.PollReply{Number: w.orderNumber, Lease: int64(WorkerLease)}}
}

// proposeReports proposes the reports that change the state of a task, and at most every checkpointInterval those that only
// change a checkpoint. It reports whether the state of any task will change.
func (c *Coordinator) proposeReports(now time.Time, w *worker, reports []*controlpb.TaskReport) bool {
	var relevant []*controlpb.TaskReport
	stateChanges := false
	checkpoints := !now.Before(w.nextCheckpoints)
	for _, report := range reports {
		changed, stateChanged := c.state.ReportChanges(w.name, w.incarnation, report)
		stateChanges = stateChanges || stateChanged
		if stateChanged || changed && checkpoints {
			relevant = append(relevant, report)
		}
		if changed && !stateChanged && checkpoints {
			w.nextCheckpoints = now.Add(checkpointInterval)
		}
	}
	if len(relevant) > 0 {
		c.propose(now, &controlpb.Command{Kind: &controlpb.Command_ReportTasks{ReportTasks: &controlpb.ReportTasks{
			Worker: w.name, Incarnation: w.incarnation, Reports: relevant,
		}}})
	}
	return stateChanges
}

// answerRenewals answers the deferred renewals whose reports are applied.
func (c *Coordinator) answerRenewals() {
	for _, name := range slices.Sorted(maps.Keys(c.deferredRenewals)) {
		w := c.deferredRenewals[name]
		unapplied := slices.ContainsFunc(w.deferredRenewal.GetRenewal().GetReports(), func(r *controlpb.TaskReport) bool {
			_, stateChanged := c.state.ReportChanges(w.name, w.incarnation, r)
			return stateChanged
		})
		if !unapplied {
			delete(c.deferredRenewals, name)
			c.answer(&w.deferredRenewal, w.renewalReply())
		}
	}
}

// drain drains a worker that is shutting down: it stops its tasks and excludes it from scheduling.
func (c *Coordinator) drain(now time.Time, w *worker) {
	w.leaving = true
	c.notifyScheduler(w.name, c.state.Worker(w.name))
	var tasks []*controlstate.Task
	c.state.TasksOn(w.name, func(t *controlstate.Task) { tasks = append(tasks, t) })
	slices.SortFunc(tasks, func(a, b *controlstate.Task) int { return compareTaskIDs(a.ID, b.ID) })
	for _, t := range tasks {
		if t.State != controlpb.TaskState_STOPPING {
			c.stopForDrain(now, t)
		}
	}
}

func (c *Coordinator) stopForDrain(now time.Time, t *controlstate.Task) {
	c.proposeStop(now, t, "worker "+t.Worker+" is leaving")
}

// proposeStop proposes the eviction of a task.
func (c *Coordinator) proposeStop(now time.Time, t *controlstate.Task, why string) {
	c.propose(now, &controlpb.Command{Kind: &controlpb.Command_StopTask{StopTask: &controlpb.StopTask{
		Task: t.ID.String(), Fence: t.Fence, Reason: controlpb.StopReason_EVICT_PREEMPTED, Why: why,
	}}})
}

// servePoll answers a poll with the pending orders, or defers it until there are any.
func (c *Coordinator) servePoll(now time.Time, r *controlpb.LeaderRequest, poll *controlpb.Poll) (*controlpb.LeaderReply, bool) {
	w, refused := c.leasedWorker(now, poll.GetWorker(), poll.GetIncarnation())
	if refused != nil {
		return refused, false
	}
	c.answer(&w.deferredPoll, w.ordersReply(nil))
	c.acknowledge(w, poll.GetSeen())
	if reply := c.nextOrders(now, w); reply != nil {
		return reply, false
	}
	w.deferredPoll, w.pollDeadline = r, now.Add(min(max(0, time.Duration(poll.GetWait())), MaxPollWait))
	c.deadlines.add(w.pollDeadline, deadlinePoll, w.name)
	return nil, true
}

// acknowledge processes the number of the last orders that the worker has received. Orders sent after them are sent again.
// A worker with an unknown number, for example from another leader, is sent an order for each of its tasks.
func (c *Coordinator) acknowledge(w *worker, seen uint64) {
	switch seen {
	case w.orderNumber:
		w.acknowledged = seen
	case w.acknowledged:
		for _, id := range w.unacknowledged {
			w.pending[id] = struct{}{}
		}
	default:
		c.state.TasksOn(w.name, func(t *controlstate.Task) { w.pending[t.ID] = struct{}{} })
	}
	w.unacknowledged = w.unacknowledged[:0]
}

// answerPolls answers the deferred polls of workers with pending orders.
func (c *Coordinator) answerPolls(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(c.answerablePolls)) {
		w := c.answerablePolls[name]
		delete(c.answerablePolls, name)
		if w.deferredPoll == nil {
			continue
		}
		if reply := c.nextOrders(now, w); reply != nil {
			c.answer(&w.deferredPoll, reply)
		}
	}
}

// nextOrders returns the pending orders and clears them, or nil if there are none.
func (c *Coordinator) nextOrders(now time.Time, w *worker) *controlpb.LeaderReply {
	ids := make([]controlstate.TaskID, 0, len(w.pending))
	for id := range w.pending {
		ids = append(ids, id)
	}
	clear(w.pending)
	slices.SortFunc(ids, compareTaskIDs)
	var orders []*controlpb.WorkerOrder
	for _, id := range ids {
		if order := c.orderFor(w, id); order != nil {
			orders = append(orders, order)
			w.unacknowledged = append(w.unacknowledged, id)
		}
	}
	if len(orders) == 0 {
		return nil
	}
	if len(w.outstanding) > 0 {
		c.deadlines.add(now.Add(resendInterval), deadlineResend, w.name)
	}
	w.orderNumber++
	return w.ordersReply(orders)
}

func (w *worker) ordersReply(orders []*controlpb.WorkerOrder) *controlpb.LeaderReply {
	return &controlpb.LeaderReply{Poll: &controlpb.PollReply{Number: w.orderNumber, Orders: orders}}
}

// orderFor returns the order that follows from the task's current state, or nil if the task is no longer placed on the
// worker.
func (c *Coordinator) orderFor(w *worker, id controlstate.TaskID) *controlpb.WorkerOrder {
	t := c.state.Task(id)
	if t == nil || t.Worker != w.name || t.Incarnation != w.incarnation {
		delete(w.sentThrottles, id)
		return nil
	}
	order := &controlpb.WorkerOrder{Task: id.String(), Fence: t.Fence}
	switch t.State {
	case controlpb.TaskState_STARTING:
		order.Kind = controlpb.WorkerOrder_START
		order.Spec, order.Checkpoint, order.Throttle = c.state.Job(id.Job).Spec, t.Checkpoint, t.Throttle
		w.outstanding[id] = t.Fence
	case controlpb.TaskState_STOPPING:
		order.Kind = controlpb.WorkerOrder_STOP
		w.outstanding[id] = t.Fence
		delete(w.sentThrottles, id)
		return order
	default:
		order.Kind, order.Throttle = controlpb.WorkerOrder_THROTTLE, t.Throttle
	}
	if t.Throttle == unthrottledPercent {
		delete(w.sentThrottles, id)
	} else {
		w.sentThrottles[id] = t.Throttle
	}
	return order
}

// resend marks orders that have had no effect as pending again, and stops tasks that have not started within
// startTimeout.
func (c *Coordinator) resend(now time.Time, w *worker) {
	ids := make([]controlstate.TaskID, 0, len(w.outstanding))
	for id := range w.outstanding {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareTaskIDs)
	for _, id := range ids {
		t := c.state.Task(id)
		transient := t != nil && (t.State == controlpb.TaskState_STARTING || t.State == controlpb.TaskState_STOPPING)
		if !transient || t.Worker != w.name || t.Fence != w.outstanding[id] {
			delete(w.outstanding, id)
			continue
		}
		c.markPending(w, id)
		if t.State == controlpb.TaskState_STARTING && now.Sub(time.Unix(0, t.Since)) > startTimeout {
			c.proposeStop(now, t, "worker "+w.name+" has not started it")
		}
	}
	if len(w.outstanding) > 0 {
		c.deadlines.add(now.Add(resendInterval), deadlineResend, w.name)
	}
}

// claim grants starts. The control state includes an entry of the leader's own term, so under a valid leader lease no other
// leader can have taken the zone out of service or moved the task.
func (c *Coordinator) claim(now time.Time, claim *controlpb.Claim) *controlpb.LeaderReply {
	w, refused := c.leasedWorker(now, claim.GetWorker(), claim.GetIncarnation())
	if refused != nil {
		return refused
	}
	reply := &controlpb.ClaimReply{StartBy: int64(StartBy)}
	for _, claimed := range claim.GetTasks() {
		if c.mayStart(w, claimed) {
			reply.Granted = append(reply.Granted, claimed)
		}
	}
	return &controlpb.LeaderReply{Result: &controlpb.Result{}, Claim: reply}
}

// mayStart reports whether the claimed task is placed on the worker under the claimed fence and the zone is in service.
func (c *Coordinator) mayStart(w *worker, claimed *controlpb.TaskFence) bool {
	id, err := controlstate.ParseTaskID(claimed.GetTask())
	if err != nil {
		return false
	}
	t := c.state.Task(id)
	return t != nil && t.State == controlpb.TaskState_STARTING && t.Fence == claimed.GetFence() &&
		t.Worker == w.name && t.Incarnation == w.incarnation && !c.state.IsZoneOut(c.state.Worker(w.name).Zone)
}

// handleDeadlines handles all deadlines up to now: of leases, deferred polls and renewals, orders to resend, and the expiry
// of keys.
func (c *Coordinator) handleDeadlines(now time.Time) {
	for {
		due, ok := c.deadlines.popDue(now)
		if !ok {
			return
		}
		switch due.kind {
		case deadlineEndpoint:
			c.checkEndpointLease(now, due.name)
		case deadlineExpiry:
			c.proposeExpiry(now)
		default:
			if w := c.workers[due.name]; w != nil {
				c.handleWorkerDeadline(now, due.kind, w)
			}
		}
	}
}

func (c *Coordinator) handleWorkerDeadline(now time.Time, kind deadlineKind, w *worker) {
	switch kind {
	case deadlineLease:
		c.checkWorkerLease(now, w)
	case deadlinePoll:
		if now.Before(w.pollDeadline) {
			c.deadlines.add(w.pollDeadline, deadlinePoll, w.name)
			return
		}
		c.answer(&w.deferredPoll, w.ordersReply(nil))
	case deadlineRenewal:
		if w.deferredRenewal != nil && now.Before(w.renewalDeadline) {
			c.deadlines.add(w.renewalDeadline, deadlineRenewal, w.name)
			return
		}
		delete(c.deferredRenewals, w.name)
		c.answer(&w.deferredRenewal, unavailable("the reports were not applied in time"))
	case deadlineResend:
		c.resend(now, w)
	}
}

// checkWorkerLease proposes WorkerLost if the worker's lease has expired. From then on, its renewals and claims are refused.
func (c *Coordinator) checkWorkerLease(now time.Time, w *worker) {
	if now.Before(w.expiry) {
		c.deadlines.add(w.expiry, deadlineLease, w.name)
		return
	}
	w.lossProposed = true
	c.propose(now, &controlpb.Command{Kind: &controlpb.Command_WorkerLost{WorkerLost: &controlpb.WorkerLost{
		Worker: w.name, Incarnation: w.incarnation,
	}}})
	c.deadlines.add(now.Add(reproposeInterval), deadlineLease, w.name)
}

// proposeExpiry proposes ExpireKeys if something has expired.
func (c *Coordinator) proposeExpiry(now time.Time) {
	if c.state.HasExpired(now.UnixNano()) {
		c.propose(now, &controlpb.Command{Kind: &controlpb.Command_ExpireKeys{ExpireKeys: &controlpb.ExpireKeys{
			Before: now.Add(-controlstate.KeyRetention).UnixNano(),
		}}})
	}
	c.deadlines.add(now.Add(expiryCheckInterval), deadlineExpiry, "")
}
