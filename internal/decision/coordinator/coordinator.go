// Package coordinator implements the leader's soft state, which is not replicated: leases of workers and endpoints, orders
// delivered by long polls, start claims, and the allocation of slots among gateways. A new leader rebuilds it from the
// applied control state.
//
// A Coordinator is deterministic: it reads no clock and does no I/O. Its memory is bounded by the number of workers,
// endpoints and gateways. The cost of a call depends on what has changed, not on the number of tasks.
package coordinator

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/pkg/inventory"
	"galenamoor/pkg/rules"
)

// Durations of leases and claims. The leader extends each lease by a tenth to allow for clock drift, so that a lease always
// expires at its holder first.
const (
	// WorkerLease is the lease of a worker, measured by the worker from the time at which it sends a renewal.
	WorkerLease = 15 * time.Second
	// EndpointLease is the lease of an endpoint, measured by the leader from the time at which it receives a renewal.
	EndpointLease = 2500 * time.Millisecond
	// StartBy is the time within which a worker has to start a claimed task, measured from sending the claim.
	StartBy = 1500 * time.Millisecond

	leaseMarginDivisor = 10 // the margin is the lease divided by this
)

// Timeouts and intervals.
const (
	// resendInterval is the time after which an order that has had no effect is sent again. An urgent task has to start
	// within 2.4 s, so a lost start order must not wait much longer than a claim takes.
	resendInterval = time.Second
	// startTimeout is the time after which a task that its worker has not started is stopped, so that it can be placed
	// elsewhere.
	startTimeout = 10 * time.Second
	// reproposeInterval is the time after which a command that has had no effect is proposed again.
	reproposeInterval = time.Second
	// renewalTimeout bounds how long a renewal waits for its reports to be applied.
	renewalTimeout = 2 * time.Second
	// MaxPollWait bounds how long a poll waits for orders.
	MaxPollWait = 30 * time.Second
	// checkpointInterval is the minimum time between proposals that only record checkpoints. Each takes space in the log; a
	// task of a lost worker repeats at most this much more work.
	checkpointInterval = time.Minute
	// minPassInterval is the minimum time between two passes of the scheduler.
	minPassInterval = 20 * time.Millisecond
	// maxPassInterval is the maximum time between two passes, for decisions that depend only on time.
	maxPassInterval = time.Second
	// maxPendingProposals bounds the number of tracked scheduler proposals without a result, in case HandleResult is not
	// called.
	maxPendingProposals = 4096
	// minAllocationInterval is the minimum time between two allocations of slots.
	minAllocationInterval = 200 * time.Millisecond
	// maxAllocationInterval is the maximum time between two allocations of slots.
	maxAllocationInterval = time.Second
	// expiryCheckInterval is the time between two checks for expired keys, intents, jobs and endpoints.
	expiryCheckInterval = 30 * time.Second
	// goneEndpointHold is how long a gateway that does not confirm a reduction counts as holding slots of an endpoint that
	// is gone: 3 s until its view is certainly stale, 10 s in which it closes its connections, and 10 s for which a call
	// may still use its slot after that.
	goneEndpointHold = 23 * time.Second
)

// Scheduler proposes starts, stops and throttles of tasks. It is implemented by scheduler.Scheduler.
type Scheduler interface {
	// Configure replaces the configuration and the zones out of service.
	Configure(i *inventory.Inventory, r *rules.Rules, zonesOut []string)
	WorkerChanged(w *controlpb.WorkerRecord, zone, rack string)
	WorkerRemoved(name string)
	TaskChanged(spec *controlpb.JobSpec, task *controlpb.TaskRecord)
	JobRemoved(name string)
	// Usage passes the resource usage of a worker's tasks.
	Usage(now time.Time, worker string, usage []*controlpb.Usage)
	// Pass returns the commands to propose now.
	Pass(now time.Time) []*controlpb.Command
	// ProposalRejected reports a proposal that will never take effect.
	ProposalRejected(now time.Time, c *controlpb.Command)
}

// Allocator allocates the slots of endpoints to gateways. It is implemented by slotshare.Allocator. The epochs in
// its proposals are ignored; the control state assigns them.
type Allocator interface {
	UpdateEndpoint(now time.Time, e *controlpb.Endpoint, inUse int)
	RemoveEndpoint(now time.Time, name string, incarnation uint64)
	Report(now time.Time, r *controlpb.GatewayReport)
	GrantApplied(now time.Time, g *controlpb.SlotGrant)
	GrantRejected(g *controlpb.SlotGrant)
	Allocate(now time.Time) []*controlpb.SlotGrant
	// HeldSlots returns the number of slots that the gateway may still be using, and false if the endpoint is unknown.
	HeldSlots(endpoint string, incarnation uint64, gateway string, gatewayIncarnation uint64) (int, bool)
}

// Config holds the dependencies of a Coordinator.
type Config struct {
	State *controlstate.State
	// NewScheduler and NewAllocator return the empty scheduler and allocator of a new leader. If one is nil, no tasks are
	// scheduled or no slots allocated.
	NewScheduler func() Scheduler
	NewAllocator func() Allocator
	// Explain answers the query "explain" on the leader; its result is encoded as JSON. It may be nil.
	Explain func(task string) any
	// LeaseValid reports whether the leader lease is valid. Only then are claims granted and worker leases renewed.
	LeaseValid func(now time.Time) bool
}

// DeferredReply is the deferred reply to a request. Request is the pointer that was passed to Serve.
type DeferredReply struct {
	Request *controlpb.LeaderRequest
	Reply   *controlpb.LeaderReply
}

// Coordinator holds the soft state of the leader. It is not safe for concurrent use.
type Coordinator struct {
	config            Config
	state             *controlstate.State
	leading           bool
	scheduler         Scheduler
	allocator         Allocator
	workers           map[string]*worker
	endpoints         map[string]*endpoint
	pendingReductions map[string]time.Time // endpoints with unconfirmed grant reductions, and since when
	deferredRenewals  map[string]*worker   // workers with a deferred renewal
	answerablePolls   map[string]*worker   // workers with a deferred poll and pending orders
	deadlines         deadlines
	proposals         []*controlpb.Command
	replies           []DeferredReply

	schedulerUpdated   bool                            // the scheduler has received updates since its last pass
	earliestPass       time.Time                       // earliest time of the next pass
	latestPass         time.Time                       // a pass is due at this time even without updates
	pendingProposals   map[*controlpb.Command]struct{} // proposals of the scheduler without a result
	allocatorUpdated   bool                            // the allocator has received updates since the last allocation
	earliestAllocation time.Time                       // earliest time of the next allocation
	lastAllocation     time.Time
	pendingGrants      int // GrantSlots commands without a result
}

// New returns a Coordinator that is not leading.
func New(c Config) *Coordinator {
	return &Coordinator{config: c, state: c.State}
}

// StartLeading builds the soft state of a new leader. Every worker and endpoint starts with a full lease. StartLeading
// must be called after an entry of the leader's own term has been applied, and after State.TakeChanges, so that Applied
// gets only later changes.
func (c *Coordinator) StartLeading(now time.Time) {
	c.StopLeading()
	c.leading = true
	c.workers, c.endpoints = map[string]*worker{}, map[string]*endpoint{}
	c.pendingReductions, c.deferredRenewals, c.answerablePolls = map[string]time.Time{}, map[string]*worker{}, map[string]*worker{}
	c.deadlines = deadlines{}
	c.scheduler, c.allocator = nil, nil
	c.pendingProposals, c.pendingGrants = map[*controlpb.Command]struct{}{}, 0
	if c.config.NewScheduler != nil {
		c.scheduler = c.config.NewScheduler()
		c.earliestPass, c.latestPass, c.schedulerUpdated = now, now, true
	}
	if c.config.NewAllocator != nil {
		c.allocator = c.config.NewAllocator()
		c.earliestAllocation, c.lastAllocation, c.allocatorUpdated = now, now, false
	}
	c.deadlines.add(now.Add(expiryCheckInterval), deadlineExpiry, "")
	c.loadState(now)
}

// loadState passes the whole control state to the scheduler and the allocator of a new leader.
func (c *Coordinator) loadState(now time.Time) {
	c.configureScheduler()
	view := c.state.View()
	view.Workers(func(w *controlstate.Worker) bool {
		c.workerChanged(now, w.Name)
		return true
	})
	view.Tasks(func(t *controlstate.Task) bool {
		c.taskChanged(now, t.ID)
		return true
	})
	c.state.Endpoints(func(e *controlstate.Endpoint) { c.endpointChanged(now, e.Name) })
}

// StopLeading discards the soft state of a leader. TakeReplies then answers all deferred requests as unavailable.
func (c *Coordinator) StopLeading() {
	for _, name := range slices.Sorted(maps.Keys(c.workers)) {
		w := c.workers[name]
		c.answer(&w.deferredPoll, unavailable("the leader has changed"))
		c.answer(&w.deferredRenewal, unavailable("the leader has changed"))
	}
	c.leading = false
	c.proposals = nil
	c.workers, c.endpoints, c.deferredRenewals, c.answerablePolls = nil, nil, nil, nil
}

// Leading reports whether the Coordinator is leading.
func (c *Coordinator) Leading() bool { return c.leading }

// Applied processes the changes made by commands that were just applied.
func (c *Coordinator) Applied(now time.Time, changes *controlstate.Changes) {
	if !c.leading || changes.Empty() {
		return
	}
	if changes.All {
		c.StartLeading(now)
		return
	}
	if changes.Configuration {
		c.configureScheduler()
	}
	for _, name := range changes.Workers {
		c.workerChanged(now, name)
	}
	for _, id := range changes.Tasks {
		c.taskChanged(now, id)
	}
	for _, name := range changes.Jobs {
		if c.scheduler != nil && c.state.Job(name) == nil {
			c.scheduler.JobRemoved(name)
		}
	}
	for _, name := range changes.Endpoints {
		c.endpointChanged(now, name)
	}
	c.answerRenewals()
	c.schedulerUpdated = true
}

func (c *Coordinator) configureScheduler() {
	if c.scheduler != nil {
		c.scheduler.Configure(c.state.Inventory(), c.state.Rules(), c.state.ZonesOut())
	}
}

// HandleResult processes the result of a command that Tick returned, identified by its pointer. It must be called after
// Applied. The result is nil if the command was certainly not committed. If HandleResult is not called for a command, the
// command is proposed again after some time, so the only effect is a delay.
func (c *Coordinator) HandleResult(now time.Time, command *controlpb.Command, result *controlpb.Result) {
	if !c.leading {
		return
	}
	if batch := command.GetBatch(); batch != nil {
		for i, inner := range batch.GetCommands() {
			var r *controlpb.Result
			if i < len(result.GetResults()) {
				r = result.GetResults()[i]
			}
			c.handleCommandResult(now, inner, r)
		}
		return
	}
	c.handleCommandResult(now, command, result)
}

func (c *Coordinator) handleCommandResult(now time.Time, command *controlpb.Command, result *controlpb.Result) {
	refused := result == nil || result.GetCode() != controlpb.ResultCode_RESULT_OK
	switch command.GetKind().(type) {
	case *controlpb.Command_StartTask, *controlpb.Command_StopTask, *controlpb.Command_ThrottleTask:
		if _, ok := c.pendingProposals[command]; !ok {
			return
		}
		delete(c.pendingProposals, command)
		if refused {
			c.scheduler.ProposalRejected(now, command)
			c.schedulerUpdated = true
		}
	case *controlpb.Command_GrantSlots:
		c.pendingGrants = max(0, c.pendingGrants-1)
		if refused && c.allocator != nil {
			c.reportRejectedGrants(command.GetGrantSlots(), result)
		}
	}
}

// Serve answers a renewal, poll, claim, gateway report, endpoint renewal or query. If deferred is true, TakeReplies returns the
// answer later. Commands and membership changes are not handled here.
func (c *Coordinator) Serve(now time.Time, r *controlpb.LeaderRequest) (reply *controlpb.LeaderReply, deferred bool) {
	if !c.leading {
		return unavailable("not the leader"), false
	}
	switch kind := r.GetKind().(type) {
	case *controlpb.LeaderRequest_Renewal:
		return c.renew(now, r, kind.Renewal)
	case *controlpb.LeaderRequest_Poll:
		return c.servePoll(now, r, kind.Poll)
	case *controlpb.LeaderRequest_Claim:
		return c.claim(now, kind.Claim), false
	case *controlpb.LeaderRequest_GatewayReport:
		return c.gatewayReport(now, kind.GatewayReport), false
	case *controlpb.LeaderRequest_EndpointRenewal:
		return c.renewEndpoint(now, kind.EndpointRenewal), false
	case *controlpb.LeaderRequest_Query:
		return c.query(kind.Query), false
	}
	return refusal(controlpb.ResultCode_RESULT_INVALID, "expected a request for the coordinator"), false
}

// query answers the queries "explain" and "status".
func (c *Coordinator) query(q *controlpb.Query) *controlpb.LeaderReply {
	var answer any
	switch q.GetName() {
	case "explain":
		if c.config.Explain == nil {
			return refusal(controlpb.ResultCode_RESULT_NOT_FOUND, "nothing is scheduled here")
		}
		answer = c.config.Explain(q.GetArgument())
	case "status":
		answer = c.Status()
	default:
		return refusal(controlpb.ResultCode_RESULT_INVALID, "query "+q.GetName()+": expected explain or status")
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		return refusal(controlpb.ResultCode_RESULT_INVALID, err.Error())
	}
	return &controlpb.LeaderReply{Result: &controlpb.Result{}, Json: encoded}
}

// Status holds counts of the leader's soft state.
type Status struct {
	Workers        int // registered and not lost
	LeavingWorkers int
	WaitingPolls   int
	Endpoints      int
	MovingGrants   int // endpoints with unconfirmed grant reductions
}

// Status returns the counts of the soft state.
func (c *Coordinator) Status() Status {
	status := Status{Workers: len(c.workers), Endpoints: len(c.endpoints), MovingGrants: len(c.pendingReductions)}
	for _, w := range c.workers {
		if w.leaving {
			status.LeavingWorkers++
		}
		if w.deferredPoll != nil {
			status.WaitingPolls++
		}
	}
	return status
}

// Tick returns the commands to propose now. A command that is lost before it is applied is proposed again later.
func (c *Coordinator) Tick(now time.Time) []*controlpb.Command {
	if !c.leading {
		return nil
	}
	c.runScheduler(now)
	c.allocateSlots(now)
	c.handleDeadlines(now)
	commands := c.proposals
	c.proposals = nil
	if len(commands) > 1 {
		return []*controlpb.Command{{
			Time: now.UnixNano(),
			Kind: &controlpb.Command_Batch{Batch: &controlpb.Batch{Commands: commands}},
		}}
	}
	return commands
}

// runScheduler proposes the commands of a scheduler pass if one is due. A pass normally waits for the results of the
// previous one's proposals, so that the scheduler sees their effect.
func (c *Coordinator) runScheduler(now time.Time) {
	if c.scheduler == nil || now.Before(c.earliestPass) {
		return
	}
	overdue := !now.Before(c.latestPass)
	if !overdue && (!c.schedulerUpdated || len(c.pendingProposals) > 0) {
		return
	}
	commands := c.scheduler.Pass(now)
	if len(c.pendingProposals) > maxPendingProposals {
		clear(c.pendingProposals)
	}
	for _, command := range commands {
		c.pendingProposals[command] = struct{}{}
		c.propose(now, command)
	}
	c.schedulerUpdated = false
	c.earliestPass, c.latestPass = now.Add(minPassInterval), now.Add(maxPassInterval)
}

// propose queues a command for the next Tick.
func (c *Coordinator) propose(now time.Time, command *controlpb.Command) {
	command.Time = now.UnixNano()
	c.proposals = append(c.proposals, command)
}

// TakeReplies returns the answers to deferred requests that have become available.
func (c *Coordinator) TakeReplies(now time.Time) []DeferredReply {
	if c.leading {
		c.handleDeadlines(now)
		c.answerPolls(now)
	}
	replies := c.replies
	c.replies = nil
	return replies
}

// answer queues the reply to a deferred request, if there is one, and clears it.
func (c *Coordinator) answer(waiting **controlpb.LeaderRequest, reply *controlpb.LeaderReply) {
	if *waiting != nil {
		c.replies = append(c.replies, DeferredReply{*waiting, reply})
		*waiting = nil
	}
}

// IsUrgent reports whether Tick should be called sooner after the last proposals than usual, which it never has to be.
func (c *Coordinator) IsUrgent() bool { return false }

// NextDeadline returns the time at which Tick or TakeReplies has to be called next, or the zero time if there is none.
func (c *Coordinator) NextDeadline() time.Time {
	if !c.leading {
		return time.Time{}
	}
	next := c.deadlines.first()
	if c.scheduler != nil {
		at := c.latestPass
		if c.schedulerUpdated && len(c.pendingProposals) == 0 {
			at = c.earliestPass
		}
		next = earlier(next, at)
	}
	if c.allocator != nil {
		next = earlier(next, c.nextAllocationTime())
	}
	if len(c.proposals) > 0 || len(c.replies) > 0 || len(c.answerablePolls) > 0 {
		next = earlier(next, time.Unix(0, 1))
	}
	return next
}

// earlier returns the earlier time; a zero time counts as none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func refusal(code controlpb.ResultCode, message string) *controlpb.LeaderReply {
	return &controlpb.LeaderReply{Result: &controlpb.Result{Code: code, Message: message}}
}

func unavailable(message string) *controlpb.LeaderReply {
	return refusal(controlpb.ResultCode_RESULT_UNAVAILABLE, message)
}
