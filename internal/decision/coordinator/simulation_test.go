package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/decision/coordinator"
	"galenamoor/internal/decision/slotshare"
	"galenamoor/internal/standin/eventqueue"
)

// faults are injected into a simulation to check that the oracle detects them.
type faults struct {
	ignoreStartBy    bool // workers start tasks even if the claim is granted too late
	forgetKeys       bool // snapshots omit the request keys
	forgetIntents    bool // snapshots omit the intents
	reuseFences      bool // snapshots reset the fence counter to a lower value
	freeAtEviction   bool // a stop counts as confirmed as soon as it is requested
	shortLease       bool // the lease is shorter than workers assume
	trustDeposed     bool // a deposed leader continues to grant claims
	confirmEarly     bool // gateways confirm grant reductions while they still use more slots
	forgetHeld       bool // snapshots omit slots still held under an unconfirmed grant reduction
	dropReports      bool // some reports of running, finished or failed tasks are recorded as stops
	ignoreStopBefore bool // a worker ignores a stop that arrives before the start of its task
}

// affectSnapshots reports whether a fault makes snapshots differ from the state.
func (f faults) affectSnapshots() bool {
	return f.forgetKeys || f.forgetIntents || f.reuseFences || f.forgetHeld
}

const replicaCount = 3

var zoneNames = []string{"east", "north", "west"}

// simulation is a discrete-event simulation of replicas, each with a control state and a Coordinator, and of fake workers,
// endpoints, gateways and operators. Runs with equal seeds and steps are equal.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	events    eventqueue.Queue
	faults    faults
	faultFree bool // messages are neither lost nor delayed for long, and nothing is evicted at random
	idle      bool // gateways use no slots, and nothing is evicted at random
	log       [][]byte
	results   []*controlpb.Result
	replicas  []*replica
	leader    *replica // nil while there is none
	deposed   *replica // the previous leader, until its successor is elected
	workers   []*fakeWorker
	endpoints []*fakeEndpoint
	gateways  []*fakeGateway
	oracle    *oracle
	keys      int
	calls     []string // request keys of non-repeatable calls
}

func newSimulation(seed int64, f faults) *simulation { return startSimulation(seed, f, false) }

// newFaultFreeSimulation returns a simulation without faults, in which the scheduler places tasks where they fit.
func newFaultFreeSimulation() *simulation { return startSimulation(1, faults{}, true) }

func startSimulation(seed int64, f faults, faultFree bool) *simulation {
	s := &simulation{now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(uint64(seed), 1)), faults: f, faultFree: faultFree}
	s.oracle = newOracle(s)
	for id := range replicaCount {
		s.replicas = append(s.replicas, newReplica(s, id))
	}
	for n := range 6 {
		s.workers = append(s.workers, newFakeWorker(s, fmt.Sprintf("w%d", n), zoneNames[n%3]))
	}
	s.elect(s.replicas[0])
	s.sendUntilAnswered(s.configure(0, inventoryText(0)), nil)
	s.advance(3 * time.Second)
	for n := range 2 {
		if faultFree {
			break // golden transcripts are about tasks and must not depend on slots
		}
		s.endpoints = append(s.endpoints, newFakeEndpoint(s, fmt.Sprintf("e%d", n)))
		s.gateways = append(s.gateways, newFakeGateway(s, fmt.Sprintf("g%d", n)))
	}
	s.advance(5 * time.Second)
	return s
}

// inventoryText returns one of several inventories, which differ in the number of executors, the workers and the job.
func inventoryText(variant int) string {
	b := &strings.Builder{}
	b.WriteString("[Inventory]\nFormat = 1\nRegion = test\n")
	for _, zone := range zoneNames {
		fmt.Fprintf(b, "[Zone %s]\n", zone)
	}
	for n := range 6 {
		if variant%3 == 2 && n == 5 {
			continue
		}
		fmt.Fprintf(b, "[Worker w%d]\nZone = %s\nProcessors = 4\nMemory = 8GB\n", n, zoneNames[n%3])
	}
	fmt.Fprintf(b, "[Service booth]\nTeam = t\nExecutors = %d\nProcessors = 1\nMemory = 1GB\nSlots = 8\nConnections = 64\n", 3-variant%2)
	fmt.Fprintf(b, "[Job nightly%d]\nTeam = t\nTasks = 2\nProcessors = 2\nMemory = 1GB\nRunTime = 10s\nCheckpoints = true\n", variant%4)
	return b.String()
}

const rulesText = "[Rules]\nFormat = 1\n[Team t]\nProcessors = 100\nMemory = 100GB\n"

// after schedules an event.
func (s *simulation) after(d time.Duration, run func()) {
	s.events.Push(s.now.Add(d), run)
}

// advance runs all events of the next d.
func (s *simulation) advance(d time.Duration) {
	until := s.now.Add(d)
	for {
		at, run, ok := s.events.Pop(until)
		if !ok {
			break
		}
		s.now = at
		run()
	}
	s.now = until
}

func (s *simulation) chance(percent int) bool { return s.random.IntN(100) < percent }

func (s *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

// deliver delivers a message after a random delay. Unless the simulation runs without faults, the message may be delayed
// for long, duplicated or lost. The result of extraDelay is added to the delay.
func (s *simulation) deliver(extraDelay func() time.Duration, run func()) {
	if !s.faultFree && s.chance(3) {
		return
	}
	delay := s.randomDuration(time.Millisecond, 10*time.Millisecond)
	switch {
	case !s.faultFree && s.chance(3):
		delay = s.randomDuration(500*time.Millisecond, 1500*time.Millisecond)
	case !s.faultFree && s.chance(3):
		delay = s.randomDuration(500*time.Millisecond, 20*time.Second)
	}
	s.after(delay+extraDelay(), run)
	if !s.faultFree && s.chance(3) {
		s.after(delay+s.randomDuration(0, 5*time.Second), run)
	}
}

// replica is the control state and the Coordinator of one daemon.
type replica struct {
	sim         *simulation
	id          int
	state       *controlstate.State
	coordinator *coordinator.Coordinator
	applied     int
	leading     bool // as far as the replica knows
	term        int
	leaseUntil  time.Time // end of the lease of a deposed leader
	waiting     map[*controlpb.LeaderRequest]func(*controlpb.LeaderReply)
	nextRun     time.Time
}

func newReplica(sim *simulation, id int) *replica {
	r := &replica{sim: sim, id: id, state: controlstate.New()}
	r.coordinator = coordinator.New(coordinator.Config{
		State:        r.state,
		NewScheduler: func() coordinator.Scheduler { return newRandomScheduler(sim) },
		NewAllocator: func() coordinator.Allocator { return slotshare.New() },
		LeaseValid: func(now time.Time) bool {
			return sim.leader == r || r.leading && (sim.faults.trustDeposed || now.Before(r.leaseUntil))
		},
	})
	return r
}

// catchUp applies the committed commands that the replica has not applied yet, and has the oracle compare the results
// with those of other replicas.
func (r *replica) catchUp() {
	for r.applied < len(r.sim.log) {
		c := &controlpb.Command{}
		if err := proto.Unmarshal(r.sim.log[r.applied], c); err != nil {
			panic(err)
		}
		result := r.state.Apply(uint64(r.applied+1), c)
		if r.applied == len(r.sim.results) {
			r.sim.results = append(r.sim.results, result)
		}
		r.sim.oracle.applied(r, result, r.sim.results[r.applied])
		r.applied++
	}
}

// runCoordinator runs the Coordinator and schedules the next run at its deadline.
func (r *replica) runCoordinator() {
	if !r.leading {
		return
	}
	for _, c := range r.coordinator.Tick(r.sim.now) {
		r.propose(c, nil)
	}
	for _, a := range r.coordinator.TakeReplies(r.sim.now) {
		done := r.waiting[a.Request]
		delete(r.waiting, a.Request)
		done(a.Reply)
	}
	at := r.coordinator.NextDeadline()
	if at.Before(r.sim.now.Add(time.Millisecond)) {
		at = r.sim.now.Add(time.Millisecond)
	}
	if r.nextRun.IsZero() || !r.nextRun.After(r.sim.now) || at.Before(r.nextRun) {
		r.nextRun = at
		term := r.term
		r.sim.after(at.Sub(r.sim.now), func() {
			if r.term == term && r.nextRun.Equal(r.sim.now) {
				r.runCoordinator()
			}
		})
	}
}

// propose commits a command after a delay, unless a new leader has been elected by then. A command proposed by a deposed
// leader whose successor is not elected yet may be committed or lost, and the deposed leader does not learn which.
func (r *replica) propose(c *controlpb.Command, done func(*controlpb.Result)) {
	term := r.term
	r.sim.after(r.sim.randomDuration(time.Millisecond, 5*time.Millisecond), func() {
		if r.term != term || r.sim.leader != r && (r.sim.deposed != r || r.sim.chance(50)) {
			return
		}
		r.sim.log = append(r.sim.log, r.sim.encodeWithFaults(c))
		if r.sim.leader != r {
			return
		}
		r.catchUp()
		result := r.sim.results[r.applied-1]
		r.coordinator.Applied(r.sim.now, r.state.TakeChanges())
		r.coordinator.HandleResult(r.sim.now, c, result)
		if done != nil {
			done(result)
		}
		r.runCoordinator()
		for _, other := range r.sim.replicas {
			if other != r && !other.leading && r.sim.chance(25) {
				other.catchUp()
				other.state.TakeChanges()
			}
		}
	})
}

// encodeWithFaults encodes a command and injects the faults that concern commands.
func (s *simulation) encodeWithFaults(c *controlpb.Command) []byte {
	commands := []*controlpb.Command{c}
	if c.GetBatch() != nil {
		commands = c.GetBatch().GetCommands()
	}
	batch := &controlpb.Batch{}
	for _, inner := range commands {
		if s.faults.dropReports && inner.GetReportTasks() != nil && s.chance(20) {
			for _, report := range inner.GetReportTasks().GetReports() {
				report.Kind = controlpb.ReportKind_REPORT_STOPPED
			}
		}
		batch.Commands = append(batch.Commands, inner)
		if stop := inner.GetStopTask(); s.faults.freeAtEviction && stop != nil {
			id, _ := controlstate.ParseTaskID(stop.GetTask())
			if t := s.leader.state.Task(id); t != nil {
				batch.Commands = append(batch.Commands, &controlpb.Command{Kind: &controlpb.Command_ReportTasks{ReportTasks: &controlpb.ReportTasks{
					Worker: t.Worker, Incarnation: t.Incarnation, Reports: []*controlpb.TaskReport{{
						Task: stop.GetTask(), Fence: stop.GetFence(), Kind: controlpb.ReportKind_REPORT_STOPPED,
					}},
				}}})
			}
		}
	}
	if len(batch.Commands) > len(commands) {
		c = &controlpb.Command{Time: c.GetTime(), Kind: &controlpb.Command_Batch{Batch: batch}}
	}
	data, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	return data
}

// depose ends the term of the leader. The leader steps down only after a delay.
func (s *simulation) depose() {
	old := s.leader
	if old == nil {
		return
	}
	s.leader, s.deposed = nil, old
	old.leaseUntil = s.now.Add(s.randomDuration(0, 350*time.Millisecond))
	term := old.term
	s.after(s.randomDuration(100*time.Millisecond, 20*time.Second), func() {
		if old.term == term {
			old.stop()
		}
	})
}

func (r *replica) stop() {
	r.leading = false
	r.term++
	r.coordinator.StopLeading()
	for _, a := range r.coordinator.TakeReplies(r.sim.now) {
		r.waiting[a.Request](a.Reply)
	}
	r.catchUp()
	r.state.TakeChanges()
}

func (s *simulation) elect(r *replica) {
	if r.leading {
		r.stop()
	}
	r.catchUp()
	r.state.TakeChanges()
	r.term++
	r.leading, r.waiting, r.nextRun = true, map[*controlpb.LeaderRequest]func(*controlpb.LeaderReply){}, time.Time{}
	s.leader, s.deposed = r, nil
	s.oracle.elected(r)
	r.coordinator.StartLeading(s.now)
	r.runCoordinator()
}

// restore restores a replica from a snapshot of its state, with the faults that concern snapshots injected.
func (r *replica) restore() {
	before := r.state.Snapshot()
	m := &controlpb.StateSnapshot{}
	if err := proto.Unmarshal(before, m); err != nil {
		panic(err)
	}
	faults := r.sim.faults
	if faults.forgetKeys {
		m.Keys = nil
	}
	if faults.forgetIntents {
		m.Intents = nil
	}
	if faults.reuseFences {
		m.NextFence = max(1, m.NextFence/2)
	}
	if faults.forgetHeld {
		grants := m.Grants
		m.Grants = nil
		for _, g := range grants {
			if g.Epoch != 0 { // the record with epoch 0 contains the slots held
				m.Grants = append(m.Grants, g)
			}
		}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	if err := r.state.Restore(data); err != nil {
		r.sim.oracle.violated("I11", "replica %d cannot restore its snapshot: %v", r.id, err)
		return
	}
	if !faults.affectSnapshots() && string(r.state.Snapshot()) != string(before) {
		r.sim.oracle.violated("I11", "replica %d differs from its snapshot", r.id)
	}
	if r.leading {
		r.coordinator.Applied(r.sim.now, r.state.TakeChanges())
		r.runCoordinator()
	}
}

// believedLeader returns the replica that a client sends its requests to as the leader, which may be a deposed one, or
// nil.
func (s *simulation) believedLeader() *replica {
	var leaders []*replica
	for _, r := range s.replicas {
		if r.leading {
			leaders = append(leaders, r)
		}
	}
	if len(leaders) == 0 || s.leader != nil && s.chance(80) {
		return s.leader
	}
	return leaders[s.random.IntN(len(leaders))]
}

// request sends a request to the leader and calls done with the reply. connected reports whether the sender can be
// reached.
func (s *simulation) request(r *controlpb.LeaderRequest, connected func() bool, extraDelay func() time.Duration, done func(*controlpb.LeaderReply)) {
	s.deliver(noDelay, func() {
		target := s.believedLeader()
		if target == nil || !connected() {
			return
		}
		sent := proto.CloneOf(r)
		answer := func(reply *controlpb.LeaderReply) {
			s.deliver(extraDelay, func() {
				if connected() {
					done(reply)
				}
			})
		}
		if c := sent.GetCommand(); c != nil {
			c.Time = s.now.UnixNano()
			target.propose(c, func(result *controlpb.Result) { answer(&controlpb.LeaderReply{Result: result}) })
			return
		}
		reply, wait := target.coordinator.Serve(s.now, sent)
		if wait {
			target.waiting[sent] = answer
		} else {
			answer(reply)
		}
		target.runCoordinator()
	})
}

func always() bool { return true }

func noDelay() time.Duration { return 0 }

// sendUntilAnswered sends an operator's command until it is answered, and sometimes again. All answers must be equal.
func (s *simulation) sendUntilAnswered(c *controlpb.Command, done func(*controlpb.Result)) {
	var first *controlpb.Result
	request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Command{Command: c}}
	answered := func(reply *controlpb.LeaderReply) {
		if first != nil {
			s.oracle.checkSameAnswer(c, first, reply.GetResult())
			return
		}
		first = reply.GetResult()
		s.oracle.answered(c, first)
		if done != nil {
			done(first)
		}
	}
	var send func()
	send = func() {
		s.request(request, always, noDelay, answered)
		if first == nil || !s.faultFree && s.chance(40) {
			s.after(s.randomDuration(time.Second, 10*time.Second), send)
		}
	}
	send()
}

func (s *simulation) key() string {
	s.keys++
	return fmt.Sprintf("%d-%d", s.now.Unix(), s.keys)
}

func (s *simulation) configure(base uint64, inventory string) *controlpb.Command {
	return &controlpb.Command{Kind: &controlpb.Command_ApplyConfiguration{ApplyConfiguration: &controlpb.ApplyConfiguration{
		RequestKey: s.key(), BaseVersion: base, Inventory: inventory, Rules: rulesText,
	}}}
}

func (s *simulation) zoneCommand(zone string, out bool, base uint64) *controlpb.Command {
	return &controlpb.Command{Kind: &controlpb.Command_SetZone{SetZone: &controlpb.SetZone{
		RequestKey: s.key(), BaseVersion: base, Zone: zone, Out: out,
	}}}
}

func (s *simulation) submit(tasks int32) *controlpb.Command {
	key := s.key()
	return &controlpb.Command{Kind: &controlpb.Command_SubmitJob{SubmitJob: &controlpb.SubmitJob{
		RequestKey: key, Spec: &controlpb.JobSpec{
			Name: fmt.Sprintf("job%d", s.keys), Team: "t", Tasks: tasks, RunTime: int64(5 * time.Second), Checkpoints: true,
			Request: &controlpb.Resources{Processors: 1500, Memory: 1024},
		},
	}}}
}

// attemptCall lets a gateway record an intent and, if it is accepted, run the call. Repeated replies are ignored.
func (s *simulation) attemptCall(key, gateway string, incarnation uint64) {
	intent := &controlpb.Command{Kind: &controlpb.Command_RecordIntent{RecordIntent: &controlpb.RecordIntent{
		RequestKey: key, Service: "booth", Gateway: gateway, GatewayIncarnation: incarnation,
	}}}
	answered := false
	s.request(&controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Command{Command: intent}}, always, noDelay, func(reply *controlpb.LeaderReply) {
		if answered || reply.GetResult().GetCode() != controlpb.ResultCode_RESULT_OK {
			return
		}
		answered = true
		outcome := controlpb.Outcome_OUTCOME_NOT_RUN
		if s.chance(70) {
			outcome = controlpb.Outcome_OUTCOME_ANSWERED
			s.oracle.recordCallRun(key)
		}
		s.request(&controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Command{Command: &controlpb.Command{
			Kind: &controlpb.Command_RecordOutcome{RecordOutcome: &controlpb.RecordOutcome{
				RequestKey: key, Gateway: gateway, GatewayIncarnation: incarnation, Outcome: outcome,
			}},
		}}}, always, noDelay, func(*controlpb.LeaderReply) {})
	})
}
