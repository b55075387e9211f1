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
	name         string
	incarnation  uint64
	expiry       time.Time // of its lease, with the margin
	losing       bool      // WorkerLost is proposed; nothing is renewed or granted any more
	leaving      bool
	number       uint64                           // of the last orders
	pending      map[controlstate.TaskID]struct{} // tasks whose orders have to be sent
	acknowledged uint64                           // number of the last orders that the worker has received
	sent         []controlstate.TaskID            // tasks of later orders
	open         map[controlstate.TaskID]uint64   // fences of starts and stops that were sent and have no effect yet
	throttles    map[controlstate.TaskID]int32    // last ordered, other than 100
	poll         *controlpb.LeaderRequest
	pollUntil    time.Time
	renewal      *controlpb.LeaderRequest // waits until its reports are applied
	renewalUntil time.Time
	checkpointAt time.Time // of the last record of checkpoints alone
}

// fullSpeed is the throttle of a task that is not throttled, in percent.
const fullSpeed = 100

// withMargin returns the time for which the leader takes a lease to be held.
func withMargin(lease time.Duration) time.Duration { return lease + lease/leaseMargin }

// workerChanged adapts the soft state to the worker's record. A new incarnation starts with a full lease.
func (c *Coordinator) workerChanged(now time.Time, name string) {
	record := c.state.Worker(name)
	known := c.workers[name]
	if known != nil && (record == nil || record.Lost || record.Incarnation != known.incarnation) {
		c.answer(&known.poll, &controlpb.LeaderReply{Poll: &controlpb.PollReply{Unknown: true}})
		c.answer(&known.renewal, &controlpb.LeaderReply{Poll: &controlpb.PollReply{Unknown: true}})
		delete(c.workers, name)
		delete(c.renewals, name)
		delete(c.dirty, name)
		known = nil
	}
	if record != nil && !record.Lost && known == nil {
		c.workers[name] = &worker{
			name: name, incarnation: record.Incarnation, expiry: now.Add(withMargin(WorkerLease)),
			// Numbers of different leaders must differ, because a worker acknowledges the number of its last orders.
			number:    uint64(now.UnixNano()),
			pending:   map[controlstate.TaskID]struct{}{},
			open:      map[controlstate.TaskID]uint64{},
			throttles: map[controlstate.TaskID]int32{},
		}
		c.deadlines.add(now.Add(withMargin(WorkerLease)), deadlineLease, name)
	}
	c.tellScheduler(name, record)
}

// tellScheduler hides workers that are leaving, so that nothing is started there.
func (c *Coordinator) tellScheduler(name string, record *controlstate.Worker) {
	if c.scheduler == nil {
		return
	}
	known := c.workers[name]
	if record == nil || !record.Listed || known != nil && known.leaving {
		c.scheduler.WorkerRemoved(name)
		return
	}
	c.scheduler.WorkerChanged(record.Record(), record.Zone, record.Rack)
}

// taskChanged tells the scheduler of a task and marks the order that follows from it.
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
		c.order(w, id)
	case controlpb.TaskState_RUNNING:
		if last, ok := w.throttles[id]; ok && last != t.Throttle || !ok && t.Throttle != fullSpeed {
			c.order(w, id)
		}
	}
	if w.leaving && t.State != controlpb.TaskState_STOPPING {
		c.stopForLeaving(now, t)
	}
}

func (c *Coordinator) order(w *worker, id controlstate.TaskID) {
	w.pending[id] = struct{}{}
	if w.poll != nil {
		c.dirty[w.name] = w
	}
}

// known returns the worker's soft state if the request may be served, and otherwise the refusal.
func (c *Coordinator) known(now time.Time, name string, incarnation uint64) (*worker, *controlpb.LeaderReply) {
	if !c.config.LeaseValid(now) {
		// A deposed leader must not renew leases after its successor's election, nor tell workers to stop their tasks.
		return nil, unavailable("the leader lease is not valid")
	}
	w := c.workers[name]
	if w == nil || w.incarnation != incarnation || w.losing || !now.Before(w.expiry) {
		return nil, &controlpb.LeaderReply{Poll: &controlpb.PollReply{Unknown: true}}
	}
	return w, nil
}

// renew renews a worker's lease. The answer says that the reports of the renewal are applied, so that the worker need
// not repeat them.
func (c *Coordinator) renew(now time.Time, r *controlpb.LeaderRequest, renewal *controlpb.WorkerRenewal) (*controlpb.LeaderReply, bool) {
	w, refused := c.known(now, renewal.GetWorker(), renewal.GetIncarnation())
	if refused != nil {
		return refused, false
	}
	w.expiry = now.Add(withMargin(WorkerLease))
	if c.scheduler != nil && len(renewal.GetUsage()) > 0 {
		c.scheduler.Usage(now, w.name, renewal.GetUsage())
	}
	if renewal.GetLeaving() && !w.leaving {
		c.leave(now, w)
	}
	if !c.proposeReports(now, w, renewal.GetReports()) {
		return w.renewed(), false
	}
	c.answer(&w.renewal, unavailable("a later renewal has arrived"))
	w.renewal, w.renewalUntil = r, now.Add(answerLimit)
	c.renewals[w.name] = w
	c.deadlines.add(w.renewalUntil, deadlineRenewal, w.name)
	return nil, true
}

func (w *worker) renewed() *controlpb.LeaderReply {
	return &controlpb.LeaderReply{Poll: &controlpb.PollReply{Number: w.number, Lease: int64(WorkerLease)}}
}

// proposeReports proposes the reports that change the state of a task, and now and then those that only carry a
// checkpoint. It reports whether the state of a task will change.
func (c *Coordinator) proposeReports(now time.Time, w *worker, reports []*controlpb.TaskReport) bool {
	var fresh []*controlpb.TaskReport
	wait := false
	checkpoints := !now.Before(w.checkpointAt)
	for _, report := range reports {
		changes, state := c.state.ReportChanges(w.name, w.incarnation, report)
		wait = wait || state
		if state || changes && checkpoints {
			fresh = append(fresh, report)
		}
		if changes && !state && checkpoints {
			w.checkpointAt = now.Add(checkpointInterval)
		}
	}
	if len(fresh) > 0 {
		c.propose(now, &controlpb.Command{Kind: &controlpb.Command_ReportTasks{ReportTasks: &controlpb.ReportTasks{
			Worker: w.name, Incarnation: w.incarnation, Reports: fresh,
		}}})
	}
	return wait
}

// settleRenewals answers the renewals whose reports are applied.
func (c *Coordinator) settleRenewals() {
	for _, name := range slices.Sorted(maps.Keys(c.renewals)) {
		w := c.renewals[name]
		waits := slices.ContainsFunc(w.renewal.GetRenewal().GetReports(), func(r *controlpb.TaskReport) bool {
			_, state := c.state.ReportChanges(w.name, w.incarnation, r)
			return state
		})
		if !waits {
			delete(c.renewals, name)
			c.answer(&w.renewal, w.renewed())
		}
	}
}

// leave stops the tasks of a worker that is shutting down and keeps others from being started there.
func (c *Coordinator) leave(now time.Time, w *worker) {
	w.leaving = true
	c.tellScheduler(w.name, c.state.Worker(w.name))
	var tasks []*controlstate.Task
	c.state.TasksOn(w.name, func(t *controlstate.Task) { tasks = append(tasks, t) })
	slices.SortFunc(tasks, func(a, b *controlstate.Task) int { return compareIDs(a.ID, b.ID) })
	for _, t := range tasks {
		if t.State != controlpb.TaskState_STOPPING {
			c.stopForLeaving(now, t)
		}
	}
}

func (c *Coordinator) stopForLeaving(now time.Time, t *controlstate.Task) {
	c.stop(now, t, "worker "+t.Worker+" is leaving")
}

func (c *Coordinator) stop(now time.Time, t *controlstate.Task, why string) {
	c.propose(now, &controlpb.Command{Kind: &controlpb.Command_StopTask{StopTask: &controlpb.StopTask{
		Task: t.ID.String(), Fence: t.Fence, Reason: controlpb.StopReason_EVICT_PREEMPTED, Why: why,
	}}})
}

// servePoll answers with the pending orders, or waits for some.
func (c *Coordinator) servePoll(now time.Time, r *controlpb.LeaderRequest, poll *controlpb.Poll) (*controlpb.LeaderReply, bool) {
	w, refused := c.known(now, poll.GetWorker(), poll.GetIncarnation())
	if refused != nil {
		return refused, false
	}
	c.answer(&w.poll, w.orders(nil))
	c.acknowledge(w, poll.GetSeen())
	if reply := c.nextOrders(now, w); reply != nil {
		return reply, false
	}
	w.poll, w.pollUntil = r, now.Add(min(max(0, time.Duration(poll.GetWait())), MaxPollWait))
	c.deadlines.add(w.pollUntil, deadlinePoll, w.name)
	return nil, true
}

// acknowledge takes the number of the last orders that the worker has received. Later ones are sent again; a worker that
// got its last orders from another leader is sent an order for every task.
func (c *Coordinator) acknowledge(w *worker, seen uint64) {
	switch seen {
	case w.number:
		w.acknowledged = seen
	case w.acknowledged:
		for _, id := range w.sent {
			w.pending[id] = struct{}{}
		}
	default:
		c.state.TasksOn(w.name, func(t *controlstate.Task) { w.pending[t.ID] = struct{}{} })
	}
	w.sent = w.sent[:0]
}

// sendOrders answers the polls of workers for which there are orders.
func (c *Coordinator) sendOrders(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(c.dirty)) {
		w := c.dirty[name]
		delete(c.dirty, name)
		if w.poll == nil {
			continue
		}
		if reply := c.nextOrders(now, w); reply != nil {
			c.answer(&w.poll, reply)
		}
	}
}

// nextOrders returns the orders for the pending tasks, or nil when there are none.
func (c *Coordinator) nextOrders(now time.Time, w *worker) *controlpb.LeaderReply {
	ids := make([]controlstate.TaskID, 0, len(w.pending))
	for id := range w.pending {
		ids = append(ids, id)
	}
	clear(w.pending)
	slices.SortFunc(ids, compareIDs)
	var orders []*controlpb.WorkerOrder
	for _, id := range ids {
		if order := c.orderFor(w, id); order != nil {
			orders = append(orders, order)
			w.sent = append(w.sent, id)
		}
	}
	if len(orders) == 0 {
		return nil
	}
	if len(w.open) > 0 {
		c.deadlines.add(now.Add(resendInterval), deadlineResend, w.name)
	}
	w.number++
	return w.orders(orders)
}

func (w *worker) orders(orders []*controlpb.WorkerOrder) *controlpb.LeaderReply {
	return &controlpb.LeaderReply{Poll: &controlpb.PollReply{Number: w.number, Orders: orders}}
}

// orderFor returns the order that follows from the task's present state, or nil when the worker need not know it.
func (c *Coordinator) orderFor(w *worker, id controlstate.TaskID) *controlpb.WorkerOrder {
	t := c.state.Task(id)
	if t == nil || t.Worker != w.name || t.Incarnation != w.incarnation {
		delete(w.throttles, id)
		return nil
	}
	order := &controlpb.WorkerOrder{Task: id.String(), Fence: t.Fence}
	switch t.State {
	case controlpb.TaskState_STARTING:
		order.Kind = controlpb.WorkerOrder_START
		order.Spec, order.Checkpoint, order.Throttle = c.state.Job(id.Job).Spec, t.Checkpoint, t.Throttle
		w.open[id] = t.Fence
	case controlpb.TaskState_STOPPING:
		order.Kind = controlpb.WorkerOrder_STOP
		w.open[id] = t.Fence
		delete(w.throttles, id)
		return order
	default:
		order.Kind, order.Throttle = controlpb.WorkerOrder_THROTTLE, t.Throttle
	}
	if t.Throttle == fullSpeed {
		delete(w.throttles, id)
	} else {
		w.throttles[id] = t.Throttle
	}
	return order
}

// resend repeats the orders that have had no effect, and has tasks that do not start placed elsewhere.
func (c *Coordinator) resend(now time.Time, w *worker) {
	ids := make([]controlstate.TaskID, 0, len(w.open))
	for id := range w.open {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	for _, id := range ids {
		t := c.state.Task(id)
		transient := t != nil && (t.State == controlpb.TaskState_STARTING || t.State == controlpb.TaskState_STOPPING)
		if !transient || t.Worker != w.name || t.Fence != w.open[id] {
			delete(w.open, id)
			continue
		}
		c.order(w, id)
		if t.State == controlpb.TaskState_STARTING && now.Sub(time.Unix(0, t.Since)) > startLimit {
			c.stop(now, t, "worker "+w.name+" has not started it")
		}
	}
	if len(w.open) > 0 {
		c.deadlines.add(now.Add(resendInterval), deadlineResend, w.name)
	}
}

// claim grants starts. The control state is applied up to the leader's own term, so under a valid leader lease nobody
// else can have taken the zone out of service or the task away.
func (c *Coordinator) claim(now time.Time, claim *controlpb.Claim) *controlpb.LeaderReply {
	w, refused := c.known(now, claim.GetWorker(), claim.GetIncarnation())
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

// mayStart reports whether the claimed task is assigned to the worker under the claimed fence and its zone is in service.
func (c *Coordinator) mayStart(w *worker, claimed *controlpb.TaskFence) bool {
	id, err := controlstate.ParseTaskID(claimed.GetTask())
	if err != nil {
		return false
	}
	t := c.state.Task(id)
	return t != nil && t.State == controlpb.TaskState_STARTING && t.Fence == claimed.GetFence() &&
		t.Worker == w.name && t.Incarnation == w.incarnation && !c.state.ZoneOut(c.state.Worker(w.name).Zone)
}

// expire handles what is due: leases, polls, waiting renewals, orders to repeat and keys to forget.
func (c *Coordinator) expire(now time.Time) {
	for {
		due, ok := c.deadlines.due(now)
		if !ok {
			return
		}
		switch due.kind {
		case deadlineEndpoint:
			c.endpointDue(now, due.name)
		case deadlineExpiry:
			c.expireKeys(now)
		default:
			if w := c.workers[due.name]; w != nil {
				c.workerDue(now, due.kind, w)
			}
		}
	}
}

func (c *Coordinator) workerDue(now time.Time, kind deadlineKind, w *worker) {
	switch kind {
	case deadlineLease:
		c.leaseDue(now, w)
	case deadlinePoll:
		if now.Before(w.pollUntil) {
			c.deadlines.add(w.pollUntil, deadlinePoll, w.name)
			return
		}
		c.answer(&w.poll, w.orders(nil))
	case deadlineRenewal:
		if w.renewal != nil && now.Before(w.renewalUntil) {
			c.deadlines.add(w.renewalUntil, deadlineRenewal, w.name)
			return
		}
		delete(c.renewals, w.name)
		c.answer(&w.renewal, unavailable("the reports were not applied in time"))
	case deadlineResend:
		c.resend(now, w)
	}
}

// leaseDue proposes that a worker is lost when its lease has run out. From then on, nothing is renewed or granted.
func (c *Coordinator) leaseDue(now time.Time, w *worker) {
	if now.Before(w.expiry) {
		c.deadlines.add(w.expiry, deadlineLease, w.name)
		return
	}
	w.losing = true
	c.propose(now, &controlpb.Command{Kind: &controlpb.Command_WorkerLost{WorkerLost: &controlpb.WorkerLost{
		Worker: w.name, Incarnation: w.incarnation,
	}}})
	c.deadlines.add(now.Add(proposeAgain), deadlineLease, w.name)
}

func (c *Coordinator) expireKeys(now time.Time) {
	if c.state.HasExpired(now.UnixNano()) {
		c.propose(now, &controlpb.Command{Kind: &controlpb.Command_ExpireKeys{ExpireKeys: &controlpb.ExpireKeys{
			Before: now.Add(-controlstate.KeyRetention).UnixNano(),
		}}})
	}
	c.deadlines.add(now.Add(expireInterval), deadlineExpiry, "")
}
