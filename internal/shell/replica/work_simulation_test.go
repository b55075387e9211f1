package replica

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/consensus"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/decision/dispatch"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/voters"
	"galenamoor/internal/decision/workload"
	"galenamoor/internal/shell/logstore"
)

// Events at which a strike may be carried out.
const (
	eventStartOrdered    = "start ordered"
	eventRestartOrdered  = "restart ordered"
	eventStartRefused    = "start refused"
	eventEndAcknowledged = "end acknowledged"
	eventJobAccepted     = "job accepted"
	eventMembership      = "membership changed"
)

const (
	workCallTimeout = time.Second // as in workercall
	processRestart  = 500 * time.Millisecond
	perpetualJob    = "perpetual" // its tasks run until their worker ends
)

// workSystem simulates controllers whose coordinator is a dispatcher, their data folders, and the workers that it calls.
type workSystem struct {
	*simGroup
	ledger       *workLedger
	hosts        []*workHost
	incarnations int // of workers
	jobs         int
	submitting   bool
	downUntil    map[string]time.Time  // when controllers that are down start again
	membership   *controlpb.Membership // as last seen at a leader

	refusalRate float64 // share of starts that workers refuse without any effect
	lossRate    float64 // share of calls to workers that get no answer
	lateRate    float64 // share of those that are carried out late

	strikeEvent string // at which strike is carried out; empty for none
	strike      func()
	log         []string

	// Injected faults.
	ignoresSync bool // disks
	endsEarly   bool // ends are acknowledged as soon as they are listed
}

func newWorkSystem(seed uint64, controllers int, options ...func(*workSystem)) *workSystem {
	s := &workSystem{downUntil: map[string]time.Time{}, submitting: true}
	s.ledger = newWorkLedger(s)
	cluster := newSimCluster(seed, 3, 0, func(c *simCluster) {
		s.simGroup = &simGroup{simCluster: c, tolerated: 1}
		c.usesFolders, c.compactAfter = true, 60
		c.newCoordinator = s.newDispatcher
		for _, option := range options {
			option(s)
		}
	})
	for _, d := range cluster.sorted() {
		s.startLoops(d)
	}
	for range controllers - 3 {
		s.addEmptyController()
	}
	s.superviseLoop()
	s.run(3 * time.Second)
	s.configureWork()
	for i := range 8 {
		h := &workHost{system: s, name: fmt.Sprintf("w%d", i), address: fmt.Sprintf("10.0.0.%d:80", i+1), zone: fmt.Sprintf("zone-%d", i%2)}
		s.hosts = append(s.hosts, h)
		h.boot()
	}
	s.run(2 * time.Second)
	s.submit(perpetualJob, time.Hour, &controlpb.WorkStep{Count: 6, Processors: 4000, Memory: 4 << 10, Perpetual: true})
	s.submitLoop()
	return s
}

func (s *workSystem) logStep(format string, arguments ...any) {
	s.log = append(s.log, fmt.Sprintf("%7.3f %s", s.elapsed().Seconds(), fmt.Sprintf(format, arguments...)))
}

// newDispatcher returns the coordinator of a starting controller. It checks the state when that begins to lead.
func (s *workSystem) newDispatcher(d *simDaemon, state *controlstate.State, leaseValid func(time.Time) bool) Coordinator {
	d.folder.ignoresSync = s.ignoresSync
	calls := &workCalls{system: s, daemon: d, boots: d.boots + 1, answered: map[*order.Call]bool{}}
	return &checkedDispatcher{system: s, daemon: d, state: state, Dispatcher: dispatch.New(dispatch.Config{
		State: state.Workload, WorkerCalls: calls, Mailbox: calls,
		Limits: dispatch.Limits{
			MaxLease: maxWorkerLease, StopGrace: stopGrace, GangTimeout: 3 * time.Second, MaxOverTarget: 4 * time.Second,
			MaintenanceHandover: 3 * time.Second, RestoreTime: 250 * time.Millisecond, RemoteRuntimeFactor: 2,
		},
		LeaseValid: leaseValid,
		Wall:       func() time.Time { return s.now },
		Log:        logr.Discard(),
		Count:      func(name string) { s.ledger.events[name]++ },
		Observe:    func(string, time.Duration) {},
	})}
}

// checkedDispatcher checks the state of each new leader.
type checkedDispatcher struct {
	*dispatch.Dispatcher
	system *workSystem
	daemon *simDaemon
	state  *controlstate.State
}

// StartLeading implements Coordinator.
func (d *checkedDispatcher) StartLeading(now time.Time) {
	d.system.ledger.events["leaders"]++
	d.system.logStep("%s leads", d.daemon.name)
	d.system.ledger.checkState(d.daemon.name, d.state.Workload())
	d.Dispatcher.StartLeading(now)
}

// workCalls carries the calls of one controller process to the workers.
type workCalls struct {
	system   *workSystem
	daemon   *simDaemon
	boots    int
	calls    []*order.Call // not sent yet
	answered map[*order.Call]bool
	answers  []*order.Answer
}

// QueuedStarts implements dispatch.WorkerCalls.
func (w *workCalls) QueuedStarts() int { return 0 }

// TakeAnswers implements dispatch.Mailbox.
func (w *workCalls) TakeAnswers() []*order.Answer {
	taken := w.answers
	w.answers = nil
	return taken
}

// HasUrgent implements dispatch.Mailbox.
func (w *workCalls) HasUrgent() bool { return slices.ContainsFunc(w.answers, (*order.Answer).IsUrgent) }

// Empty implements dispatch.Mailbox.
func (w *workCalls) Empty() bool { return len(w.answers) == 0 }

// Send implements dispatch.WorkerCalls. Calls made at one time are sorted, because the dispatcher's order is random.
func (w *workCalls) Send(call *order.Call) {
	if len(w.calls) == 0 {
		w.system.schedule(0, w.sendAll)
	}
	w.calls = append(w.calls, call)
}

func (w *workCalls) sendAll() {
	calls := w.calls
	w.calls = nil
	if w.daemon.core == nil || w.daemon.boots != w.boots {
		return // the process has ended
	}
	slices.SortStableFunc(calls, func(a, b *order.Call) int {
		if a.Incarnation != b.Incarnation {
			return int(a.Incarnation) - int(b.Incarnation)
		}
		if a.Kind != b.Kind {
			return int(a.Kind) - int(b.Kind)
		}
		return compareRuns(a.Run, b.Run)
	})
	for _, call := range calls {
		w.transmit(call)
	}
}

func (w *workCalls) transmit(call *order.Call) {
	s := w.system
	s.schedule(workCallTimeout+call.Wait, func() { w.answer(call, &order.Answer{}) })
	host := s.hostAt(call.Address)
	if host == nil {
		return // a call to the platform
	}
	if s.endsEarly && call.Kind == order.Poll && len(host.ended) > 0 {
		call.RecordedEnds = host.ended[len(host.ended)-1].Number
	}
	s.ledger.sent(call)
	if s.random.Float64() < s.lossRate {
		if s.random.Float64() < s.lateRate {
			late := time.Duration(s.random.Int64N(int64(10 * time.Second)))
			s.schedule(late, func() { host.receive(call, func(*order.Answer) {}) })
		}
		return
	}
	w.system.transmit(w.daemon.name, host.name, func() {
		host.receive(call, func(answer *order.Answer) {
			if s.random.Float64() >= s.lossRate {
				s.transmit(host.name, w.daemon.name, func() { w.answer(call, answer) })
			}
		})
	})
}

// answer queues the first answer to a call.
func (w *workCalls) answer(call *order.Call, answer *order.Answer) {
	if w.daemon.core == nil || w.daemon.boots != w.boots || w.answered[call] {
		return
	}
	w.answered[call] = true
	answer.Call, answer.Received = call, w.system.now
	w.answers = append(w.answers, answer)
}

func (s *workSystem) hostAt(address netip.AddrPort) *workHost {
	for _, h := range s.hosts {
		if h.address == address.String() {
			return h
		}
	}
	return nil
}

// requestAnywhere sends a request to a random controller, which forwards it to the leader.
func (s *workSystem) requestAnywhere(from string, work *controlpb.WorkRequest, done func(*controlpb.LeaderReply)) {
	all := s.sorted()
	d := all[s.random.IntN(len(all))]
	request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: work}}
	s.transmit(from, d.name, func() {
		if d.core != nil {
			s.serve(d, request, func(reply *controlpb.LeaderReply, replier string) {
				s.transmit(replier, from, func() { done(reply) })
			}, true)
		}
	})
}

// requestUntilDone repeats a request until it is acknowledged.
func (s *workSystem) requestUntilDone(work *controlpb.WorkRequest, done func()) {
	acknowledged := false
	var attempt func()
	attempt = func() {
		if acknowledged {
			return
		}
		s.requestAnywhere("client", work, func(reply *controlpb.LeaderReply) {
			if reply.GetWork().GetOutcome() == controlpb.WorkOutcome_WORK_OK && !acknowledged {
				acknowledged = true
				done()
			}
		})
		s.schedule(700*time.Millisecond, attempt)
	}
	attempt()
}

func (s *workSystem) configureWork() {
	s.requestUntilDone(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_ReplaceRouting{ReplaceRouting: &controlpb.Routing{
		Version: 1, Document: []byte("{}"), Pools: []*controlpb.WorkPool{{Name: "pool"}},
		Queues: []*controlpb.WorkQueue{
			{Name: "batch", Host: "h", PathPrefix: "/batch/", MaxAttempts: 100, Pool: "pool", Priority: 2, Stretch: 2, TargetRuntimeMs: 1000},
		},
	}}}, func() {})
	s.run(2 * time.Second)
}

// submitLoop submits jobs of one or two steps.
func (s *workSystem) submitLoop() {
	if !s.submitting {
		return
	}
	s.jobs++
	id := fmt.Sprintf("job-%d", s.jobs)
	length := time.Duration(200+s.random.IntN(2500)) * time.Millisecond
	step := func(after ...uint32) *controlpb.WorkStep {
		return &controlpb.WorkStep{
			Count: uint32(1 + s.random.IntN(3)), Processors: 4000, Memory: 4 << 10, EstimateMs: length.Milliseconds(), After: after,
		}
	}
	steps := []*controlpb.WorkStep{step()}
	if s.random.IntN(2) == 0 {
		steps = append(steps, step(0))
	}
	s.submit(id, length, steps...)
	s.readJob()
	s.schedule(time.Duration(50+s.random.IntN(300))*time.Millisecond, s.submitLoop)
}

// submit submits a job until it is accepted. Its tasks run for about the given time.
func (s *workSystem) submit(id string, length time.Duration, steps ...*controlpb.WorkStep) {
	s.requestUntilDone(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Caller{Caller: &controlpb.CallerWork{
		Verb: controlpb.CallerVerb_VERB_SUBMIT, Host: "h", Path: "/batch/" + id, Job: &controlpb.WorkJob{Spec: length.String(), Steps: steps},
	}}}, func() { s.ledger.jobAccepted(id) })
}

// readJob reads the state of a recent job.
func (s *workSystem) readJob() {
	id := fmt.Sprintf("job-%d", max(1, s.jobs-s.random.IntN(20)))
	s.requestAnywhere("client", &controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Caller{Caller: &controlpb.CallerWork{
		Verb: controlpb.CallerVerb_VERB_READ, Host: "h", Path: "/batch/" + id,
	}}}, func(reply *controlpb.LeaderReply) {
		if reply.GetWork().GetState() == controlpb.WorkState_WORK_COMPLETED {
			s.ledger.jobCompleted(id)
		}
	})
}

// superviseLoop starts the controllers that are down once their time has come.
func (s *workSystem) superviseLoop() {
	for _, d := range s.sorted() {
		switch until, ok := s.downUntil[d.name]; {
		case d.core != nil:
			delete(s.downUntil, d.name)
		case !ok:
			s.downUntil[d.name] = s.now.Add(processRestart)
		case !s.now.Before(until):
			s.downUntil[d.name] = s.now.Add(processRestart)
			s.startController(d)
		}
	}
	if leader := s.leader(); leader != nil && leader.core.Membership() != s.membership {
		s.membership = leader.core.Membership()
		s.ledger.record(eventMembership)
	}
	s.schedule(5*time.Millisecond, s.superviseLoop)
}

func (s *workSystem) startController(d *simDaemon) {
	delete(s.frozenUntil, d.name)
	s.boot(d, nil)
	if d.core != nil {
		s.startLoops(d)
	}
}

// addEmptyController starts a controller on a host that has never run before.
func (s *workSystem) addEmptyController() *simDaemon {
	d := &simDaemon{}
	s.newIdentity(d)
	d.name = fmt.Sprintf("n%02d", d.id)
	s.daemons[d.name] = d
	s.startController(d)
	return d
}

// startLoops starts the loops of a running controller. They end with its process.
func (s *workSystem) startLoops(d *simDaemon) {
	boots := d.boots
	running := func() bool { return d.core != nil && d.boots == boots }
	s.schedule(joinInterval, func() { s.admitLoop(d, running) })
	started := s.now
	s.schedule(membershipCheckInterval, func() { s.reconcileLoop(d, running, started, voters.New(s.tolerated, started)) })
}

// admitLoop asks the leader to add a controller that isn't a member. One that was removed starts again with an empty folder.
func (s *workSystem) admitLoop(d *simDaemon, running func() bool) {
	if !running() {
		return
	}
	s.scheduleOn(d, joinInterval, func() { s.admitLoop(d, running) })
	leader := s.leader()
	if leader == nil || leader == d || s.isFrozen(leader) || s.partitionedLinks[[2]string{d.name, leader.name}] || s.partitionedLinks[[2]string{leader.name, d.name}] {
		return
	}
	for _, member := range leader.core.Membership().GetMembers() {
		if member.GetId() == d.id {
			return
		}
		if member.GetHost() == d.name && !member.GetVoter() {
			s.submitTo(leader, membership(controlpb.MembershipChange_REMOVE, d, member.GetId()), func(*controlpb.Result, string) {}, false)
			return
		}
	}
	s.submitTo(leader, membership(controlpb.MembershipChange_ADD_LEARNER, d, d.id), func(result *controlpb.Result, _ string) {
		if running() && strings.Contains(result.GetMessage(), consensus.ErrRemoved.Error()) {
			s.discardFolder(d)
		}
	}, false)
}

// discardFolder restarts a removed controller with an empty folder, at times after an interrupted attempt.
func (s *workSystem) discardFolder(d *simDaemon) {
	s.ledger.events["folders discarded"]++
	s.crash(d)
	discard := func() {
		if err := logstore.Discard("data", logstore.Options{FS: d.folder}); err != nil && !d.folder.full {
			s.oracle.violation("%s: discard: %v", d.name, err)
		}
	}
	if s.random.IntN(2) == 0 {
		d.folder.begin()
		discard()
		d.folder.crash(s.random, s.random.IntN(2) == 0)
	}
	discard()
}

// cutPower stops a controller, whose disk keeps only what is durable, for the given time.
func (s *workSystem) cutPower(d *simDaemon, length time.Duration) {
	if d.core != nil {
		d.core = nil
		d.folder.crash(s.random, true)
	}
	delete(s.frozenUntil, d.name)
	s.downUntil[d.name] = s.now.Add(length)
}

// strikeOn carries out the waiting strike if it waits for this event.
func (s *workSystem) strikeOn(event string) {
	if s.strike == nil || s.strikeEvent != event {
		return
	}
	strike := s.strike
	s.strike = nil
	delay := []time.Duration{time.Millisecond, 20 * time.Millisecond}[s.random.IntN(2)]
	s.schedule(time.Duration(s.random.Int64N(int64(delay))), strike)
}

func (s *workSystem) describe() string {
	var text strings.Builder
	for _, d := range s.sorted() {
		if d.core != nil {
			fmt.Fprintf(&text, "\n%s %d: %+v %v", d.name, d.id, d.core.Status(), d.core.Membership())
		} else {
			fmt.Fprintf(&text, "\n%s %d: down", d.name, d.id)
		}
	}
	return text.String()
}

// votersByRole returns the running leader, or nil, and the other running voters in random order.
func (s *workSystem) votersByRole() (leader *simDaemon, others []*simDaemon) {
	for _, d := range s.sorted() {
		if d.core == nil {
			continue
		}
		switch status := d.core.Status(); {
		case status.Role == consensus.Leader && d == s.leader():
			leader = d
		case status.Voter:
			others = append(others, d)
		}
	}
	s.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return leader, others
}

// isTerminal reports whether a state's job has ended.
func isTerminal(state *workload.State, id string) bool {
	outcome, _ := state.Lookup(id)
	return outcome == controlpb.WorkState_WORK_COMPLETED || outcome == controlpb.WorkState_WORK_FAILED
}

func (s *workSystem) elapsed() time.Duration { return s.now.Sub(s.simCluster.start) }

// workloadOf returns the applied state of a running controller.
func workloadOf(d *simDaemon) *workload.State {
	return d.core.stateMachine.(*controlstate.State).Workload()
}
