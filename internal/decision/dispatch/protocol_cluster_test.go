package dispatch

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

const (
	protocolMaxLease  = 6 * time.Second
	protocolStopGrace = 400 * time.Millisecond
	protocolTimeout   = time.Second      // of a call, in addition to the wait of a poll
	protocolMaxDelay  = 12 * time.Second // after which a call without a response isn't carried out any more
	protocolTick      = 10 * time.Millisecond
	protocolReplicas  = 3
)

// delivery is what the network does with one call to a worker.
type delivery struct {
	delay         time.Duration // until the worker carries out the call
	responseDelay time.Duration
	lost          bool // the worker never gets the call
	unanswered    bool // the leader never gets the response
}

// cluster runs a dispatcher in virtual time against workers that do everything the platform's protocol allows. Its oracle
// sees only what the workers see.
type cluster struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand
	now      time.Time
	state    *workload.State
	leader   *Dispatcher
	replicas []*Dispatcher // each may lead
	workers  []*strictWorker
	mailbox  []*order.Answer
	events   []clusterEvent
	sequence int
	maxLease time.Duration
	jobs     map[string]*controlpb.WorkJob
	oracle   *protocolOracle

	// boundCalls keeps bound calls from other incarnations than the one that they name, as callers do that know who holds the other end of a
	// connection.
	boundCalls bool

	deliver        func(e *exchange, w *strictWorker) delivery
	commitTime     func() time.Duration
	heartbeatDelay func() time.Duration
	pending        []*pendingCommit // proposals that aren't committed yet, in order
	lastCommit     time.Time
	replies        map[*controlpb.LeaderRequest]func(*controlpb.LeaderReply)
}

type clusterEvent struct {
	at       time.Time
	sequence int
	do       func()
}

// pendingCommit is a proposal on its way into the replicated state. After a change of the leader it may still be committed,
// but its proposer doesn't learn of it.
type pendingCommit struct {
	command  *controlpb.Command
	proposer *Dispatcher
	decided  bool
}

func newCluster(t *testing.T, seed uint64, workers int) *cluster {
	return startCluster(t, seed, workers, false)
}

// newBoundCluster returns a cluster whose bound calls reach no other incarnation than the one that they name.
func newBoundCluster(t *testing.T, seed uint64, workers int) *cluster {
	return startCluster(t, seed, workers, true)
}

func startCluster(t *testing.T, seed uint64, workers int, boundCalls bool) *cluster {
	c := &cluster{
		t: t, seed: seed, boundCalls: boundCalls, random: rand.New(rand.NewPCG(seed, 11)), now: time.Unix(1_000_000, 0), state: workload.New(),
		maxLease: protocolMaxLease, jobs: map[string]*controlpb.WorkJob{}, replies: map[*controlpb.LeaderRequest]func(*controlpb.LeaderReply){},
		deliver:    func(*exchange, *strictWorker) delivery { return delivery{delay: time.Millisecond} },
		commitTime: func() time.Duration { return 15 * time.Millisecond }, heartbeatDelay: func() time.Duration { return 0 },
	}
	c.oracle = newProtocolOracle(c)
	for range protocolReplicas {
		c.replicas = append(c.replicas, c.newReplica())
	}
	c.lead()
	c.run(100 * time.Millisecond)
	c.serve(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_ReplaceRouting{ReplaceRouting: &controlpb.Routing{
		Version: 1, Document: []byte("{}"), Pools: []*controlpb.WorkPool{{Name: "pool"}},
		Queues: []*controlpb.WorkQueue{
			{Name: "urgent", Host: "h", PathPrefix: "/urgent/", MaxAttempts: 100, Pool: "pool", Stretch: 1.5, TargetRuntimeMs: 250},
			{Name: "batch", Host: "h", PathPrefix: "/batch/", MaxAttempts: 100, Pool: "pool", Priority: 2, Stretch: 2, TargetRuntimeMs: 1000},
		},
	}}}, nil)
	for range workers {
		c.addWorker()
	}
	c.run(3 * time.Second)
	return c
}

// newReplica returns a dispatcher that doesn't lead.
func (c *cluster) newReplica() *Dispatcher {
	return New(Config{
		State: func() *workload.State { return c.state }, WorkerCalls: c, Mailbox: c, BoundCalls: c.boundCalls,
		Limits: Limits{
			MaxLease: c.maxLease, StopGrace: protocolStopGrace, GangTimeout: 3 * time.Second, MaxOverTarget: 4 * time.Second,
			MaintenanceHandover: 3 * time.Second, RestoreTime: 250 * time.Millisecond, RemoteRuntimeFactor: 2,
		},
		LeaseValid: func(time.Time) bool { return true }, Wall: func() time.Time { return c.now },
		Log: logr.Discard(), Count: func(string) {}, Observe: func(string, time.Duration) {},
	})
}

// setMaxLease sets the longest lease that the workers accept.
func (c *cluster) setMaxLease(lease time.Duration) {
	c.maxLease = lease
	for _, replica := range c.replicas {
		replica.config.Limits.MaxLease = lease
	}
}

// lead makes the next replica lead, which has only the replicated state.
func (c *cluster) lead() {
	c.leader = c.replicas[0]
	c.replicas = append(c.replicas[1:], c.leader)
	c.leader.StartLeading(c.now)
}

// restartReplica replaces the replica that leads next by one that has just read the replicated state from its disk.
func (c *cluster) restartReplica() {
	c.replicas[0] = c.newReplica()
	c.replicas[0].Applied(c.now, nil)
}

// changeLeader deposes the leader. The first kept of its pending proposals are committed, the others are lost; its calls are
// still on their way. A new one leads after the gap.
func (c *cluster) changeLeader(kept int, gap time.Duration) {
	if c.leader == nil {
		return
	}
	c.oracle.note("leader deposed, %d of %d proposals kept", min(kept, len(c.pending)), len(c.pending))
	old := c.leader
	c.leader = nil
	old.StopLeading()
	old.TakeReplies(c.now)
	c.mailbox = nil
	for i, p := range c.pending {
		p.decided = true
		if i < kept {
			c.apply(p.command)
		}
	}
	c.pending = nil
	c.after(gap, func() {
		c.lead()
		c.oracle.note("leader starts")
	})
}

// after schedules do to run after a delay.
func (c *cluster) after(d time.Duration, do func()) {
	c.sequence++
	e := clusterEvent{c.now.Add(d), c.sequence, do}
	at, _ := slices.BinarySearchFunc(c.events, e, func(a, b clusterEvent) int {
		if order := a.at.Compare(b.at); order != 0 {
			return order
		}
		return a.sequence - b.sequence
	})
	c.events = slices.Insert(c.events, at, e)
}

// run advances virtual time.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		next := c.now.Add(protocolTick)
		for len(c.events) > 0 && !c.events[0].at.After(next) {
			e := c.events[0]
			c.events = c.events[1:]
			c.now = e.at
			e.do()
		}
		c.now = next
		for _, w := range c.workers {
			w.advance(protocolTick)
		}
		if c.leader == nil {
			continue
		}
		for _, command := range c.leader.Tick(c.now) {
			c.propose(command)
		}
		for _, deferred := range c.leader.TakeReplies(c.now) {
			if handle := c.replies[deferred.Request]; handle != nil {
				handle(deferred.Reply)
			}
		}
	}
}

// runUntil advances virtual time until a condition holds, and fails the test if it doesn't within a minute.
func (c *cluster) runUntil(condition func() bool) {
	c.t.Helper()
	for range int(time.Minute / protocolTick) {
		if condition() {
			return
		}
		c.run(protocolTick)
	}
	c.t.Fatal("the condition doesn't come true")
}

// propose commits a command after the commit time, in the order of the proposals.
func (c *cluster) propose(command *controlpb.Command) {
	c.oracle.proposed(command.GetWork())
	p := &pendingCommit{command: command, proposer: c.leader}
	c.pending = append(c.pending, p)
	if at := c.now.Add(c.commitTime()); at.After(c.lastCommit) {
		c.lastCommit = at
	}
	c.after(c.lastCommit.Sub(c.now), func() {
		if p.decided {
			return
		}
		p.decided = true
		c.pending = c.pending[1:]
		result := c.apply(command)
		p.proposer.HandleResult(c.now, command, result)
	})
}

func (c *cluster) apply(command *controlpb.Command) *controlpb.Result {
	result := c.state.Apply(c.now, command.GetWork())
	c.oracle.committed()
	for _, replica := range c.replicas {
		replica.Applied(c.now, nil)
	}
	return result
}

// serve sends a request to the leader, if there is one, and passes the reply to handle if it isn't nil.
func (c *cluster) serve(work *controlpb.WorkRequest, handle func(*controlpb.LeaderReply)) {
	if c.leader == nil {
		return
	}
	request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: work}}
	reply, wait := c.leader.Serve(c.now, request)
	switch {
	case handle == nil:
	case wait:
		c.replies[request] = handle
	default:
		handle(reply)
	}
}

// submit submits a job until it is accepted.
func (c *cluster) submit(queue, id string, steps ...*controlpb.WorkStep) {
	c.jobs[id] = &controlpb.WorkJob{Spec: id, Steps: steps}
	c.resubmit(queue, id)
}

func (c *cluster) resubmit(queue, id string) {
	accepted := func(r *controlpb.LeaderReply) bool {
		return r.GetResult().GetCode() == controlpb.ResultCode_RESULT_OK && r.GetWork().GetOutcome() == controlpb.WorkOutcome_WORK_OK
	}
	done := false
	c.serve(submission(queue, id, c.jobs[id].GetSteps()...), func(r *controlpb.LeaderReply) { done = accepted(r) })
	c.after(time.Second, func() {
		if state, _ := c.state.Lookup(id); !done && state == controlpb.WorkState_WORK_UNKNOWN {
			c.resubmit(queue, id)
		}
	})
}

// step returns the step of a task, whatever has become of its job.
func (c *cluster) step(key workload.TaskKey) *controlpb.WorkStep {
	return c.jobs[key.Job].GetSteps()[key.Step]
}

// workerAt returns the worker at an address.
func (c *cluster) workerAt(address netip.AddrPort) *strictWorker {
	for _, w := range c.workers {
		if w.address == address.String() {
			return w
		}
	}
	return nil
}

// Send implements WorkerCalls.
func (c *cluster) Send(call *order.Call) {
	e := newExchange(c, call)
	if call.Kind == order.Advise || call.Kind == order.ListHosts || call.Kind == order.Maintain {
		e.respond(&order.Answer{})
		return
	}
	w := c.workerAt(call.Address)
	c.after(protocolTimeout+call.Wait, func() { e.respond(&order.Answer{}) })
	e.delivery = c.deliver(e, w)
	c.oracle.sent(call, e.delivery)
	if !e.delivery.lost {
		c.after(e.delivery.delay, func() { w.receive(e) })
	}
}

// exchange is a call and its response, of which the leader gets at most one.
type exchange struct {
	cluster   *cluster
	call      *order.Call
	random    *rand.Rand // the fate of a call doesn't depend on other calls
	delivery  delivery
	responded bool
}

func newExchange(c *cluster, call *order.Call) *exchange {
	hash := fnv.New64a()
	fmt.Fprint(hash, call.Kind, call.Address, call.Run, call.Sent.UnixNano())
	return &exchange{cluster: c, call: call, random: rand.New(rand.NewPCG(c.seed, hash.Sum64()))}
}

// respond hands the leader the response to a call, unless it has timed out.
func (e *exchange) respond(a *order.Answer) {
	if e.responded {
		return
	}
	e.responded = true
	a.Call, a.Received = e.call, e.cluster.now
	e.cluster.oracle.answered(a)
	e.cluster.mailbox = append(e.cluster.mailbox, a)
}

// QueuedStarts implements WorkerCalls.
func (c *cluster) QueuedStarts() int { return 0 }

// TakeAnswers implements Mailbox.
func (c *cluster) TakeAnswers() []*order.Answer {
	taken := c.mailbox
	c.mailbox = nil
	return taken
}

// HasUrgent implements Mailbox.
func (c *cluster) HasUrgent() bool { return slices.ContainsFunc(c.mailbox, (*order.Answer).IsUrgent) }

// Empty implements Mailbox.
func (c *cluster) Empty() bool { return len(c.mailbox) == 0 }
