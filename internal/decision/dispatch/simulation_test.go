package dispatch

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
	"galenamoor/pkg/resource"
)

// defaultCommitTime is how long a simulated commit takes unless a test slows it down.
const defaultCommitTime = 15 * time.Millisecond

// simulation runs a dispatcher and simulated workers in virtual time, and checks the invariants from the workers' point
// of view.
type simulation struct {
	t          *testing.T
	random     *rand.Rand
	now        time.Time
	state      *workload.State
	dispatcher *Dispatcher // of the leader
	standby    *Dispatcher // of a follower
	workers    []*simWorker
	mailbox    []*order.Answer
	events     []event
	sequence   int
	requests   map[*controlpb.LeaderRequest]func(*controlpb.LeaderReply)
	done       map[workload.TaskKey]time.Time // when a successful end of a task was first acknowledged

	queuedStarts int                                   // start calls that wait to be sent, as told to the dispatcher
	onCommand    func(command *controlpb.Command)      // observes the proposed commands; nil for none
	onCommit     func(command *controlpb.Command)      // observes the commands before they are applied; nil for none
	onStep       func(name string, took time.Duration) // observes the processor time of the steps of the control loop; nil for none

	hosts *hostService // the platform's host service; nil unless a test needs it

	commitTime  time.Duration // how long a commit takes
	lossRate    float64       // share of calls that get no answer
	delayedRate float64       // share of the unanswered calls that are carried out 2 s to maxDelay later
	maxDelay    time.Duration // of calls that are carried out late
	lastCommit  time.Time     // when the newest proposal is committed
	// interference returns by how much an aggressor raises the latency ratio of a victim; nil for not at all.
	interference func(victim, aggressor string) float64

	tickets         map[string]simTicket // issued by the advice service, by text
	adviceBusyUntil time.Time            // when the advice service has handled all calls
	allowsAll       bool                 // the advice service allows all workers, not only every other one

	endedUnder map[workload.TaskKey]int // incarnations that restarted while the task ran on them

	deadly map[string]bool // tasks that crash each worker that starts them, by name

	accounts []datedAccounts // of the routing configurations so far, the newest last

	audit         startAudit
	latencyExempt bool // latency targets aren't checked, as faults delay the measurements

	overTarget       time.Duration                  // summed over serving tasks
	ownLoad          func(now time.Time) float64    // added to the latency ratio of all serving tasks; nil for none
	measurementError float64                        // maximum relative error of reported tail latencies
	starts           map[string]int                 // by task
	started          map[workload.TaskKey]time.Time // newest start
	gangTimeouts     int                            // gang members that timed out waiting for the others
}

type event struct {
	at       time.Time
	sequence int
	commit   bool // it commits a change; dropped when the leader changes
	do       func()
}

// maxListedEnds is the number of ends that a simulated worker lists in one answer.
const maxListedEnds = 500

// simWorker simulates a worker.
type simWorker struct {
	simulation      *simulation
	incarnation     *controlpb.WorkerLife
	previousStartMs int64 // start of the previous incarnation, in Unix milliseconds
	began           time.Time
	up              bool
	answersLost     bool          // calls arrive, but their answers are lost
	leavesIn        time.Duration // announced while the worker drains
	fence           uint64
	leaseExpires    time.Time
	runs            map[workload.RunKey]*simRun
	ordered         []*simRun                   // the values of runs in the order of their starts
	highestRun      map[workload.TaskKey]uint32 // number of the highest run that has ended or was stopped
	ended           []simEnd
	nextEnd         uint64
	failing         bool
	stalled         bool          // its tasks make no progress
	rejectsStarts   bool          // it rejects starts without any effect
	unadvised       bool          // the advice service issues no tickets for it
	rejectionRate   float64       // share of the starts that it rejects without any effect
	slowdown        float64       // factor by which its tasks take longer; 0 for 1
	slowTail        float64       // added to the latency ratio of its serving tasks
	stopTime        time.Duration // for which a run works on after a stop
}

// simEnd is an end that isn't acknowledged yet. It is discarded if the worker's lease expires first.
type simEnd struct {
	order.Ended
	at        time.Time
	discarded bool
	// beforeLast is set if the run was ordered from an incarnation before the previous one. The dispatcher has settled
	// that incarnation with the previous one, and can't know that its order would still be carried out in this one.
	beforeLast  bool
	speculative bool
	gang        bool
}

type simRun struct {
	key        workload.RunKey
	task       *workload.Task
	runtime    time.Duration
	began      time.Time
	worked     time.Duration
	overTarget time.Duration // how long it has exceeded its latency target beside best-effort tasks without interruption
	waited     time.Duration // time spent waiting for the other gang members
	speed      float64       // allowed share of full speed
	orphaned   bool          // ordered from an earlier incarnation; its start can't be prevented
	beforeLast bool          // ordered from an incarnation before the previous one
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	sim := &simulation{
		t: t, commitTime: defaultCommitTime, endedUnder: map[workload.TaskKey]int{}, maxDelay: 6 * time.Second, random: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(1_000_000, 0), state: workload.New(),
		requests: map[*controlpb.LeaderRequest]func(*controlpb.LeaderReply){}, done: map[workload.TaskKey]time.Time{}, starts: map[string]int{}, started: map[workload.TaskKey]time.Time{},
		tickets: map[string]simTicket{}, audit: newStartAudit(),
	}
	sim.dispatcher = New(Config{
		State: func() *workload.State { return sim.state }, WorkerCalls: sim, Mailbox: sim,
		Limits: Limits{
			MaxLease: 6 * time.Second, StopGrace: 400 * time.Millisecond, GangTimeout: 3 * time.Second, MaxOverTarget: 4 * time.Second,
			MaintenanceHandover: 3 * time.Second,
			RestoreTime:         250 * time.Millisecond, RemoteRuntimeFactor: 2,
		},
		LeaseValid: func(time.Time) bool { return true },
		Wall:       func() time.Time { return sim.now },
		Log:        logr.Discard(), Count: func(string) {}, Observe: func(string, time.Duration) {},
	})
	sim.standby = New(sim.dispatcher.config)
	sim.dispatcher.StartLeading(sim.now)
	return sim
}

// after schedules do to run after a delay.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.schedule(d, false, do)
}

// schedule schedules do to run after a delay; commit marks the commit of a change.
func (sim *simulation) schedule(d time.Duration, commit bool, do func()) {
	sim.sequence++
	e := event{sim.now.Add(d), sim.sequence, commit, do}
	at, _ := slices.BinarySearchFunc(sim.events, e, func(a, b event) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.sequence - b.sequence
	})
	sim.events = slices.Insert(sim.events, at, e)
}

// run advances virtual time by d, in steps of the shortest time between two proposals.
func (sim *simulation) run(d time.Duration) {
	sim.t.Helper()
	end := sim.now.Add(d)
	const step = 10 * time.Millisecond
	for sim.now.Before(end) {
		next := sim.now.Add(step)
		for len(sim.events) > 0 && !sim.events[0].at.After(next) {
			e := sim.events[0]
			sim.events = sim.events[1:]
			sim.now = e.at
			e.do()
		}
		sim.now = next
		for _, worker := range sim.workers {
			worker.advance(step)
		}
		var commands []*controlpb.Command
		sim.measure("Tick", func() { commands = sim.dispatcher.Tick(sim.now) })
		for _, command := range commands {
			if sim.onCommand != nil {
				sim.onCommand(command)
			}
			if at := sim.now.Add(sim.commitTime); at.After(sim.lastCommit) {
				sim.lastCommit = at // commits stay in order when they become faster
			}
			sim.schedule(sim.lastCommit.Sub(sim.now), true, func() {
				if sim.onCommit != nil {
					sim.onCommit(command)
				}
				var result *controlpb.Result
				sim.measure("Apply", func() { result = sim.state.Apply(sim.now, command.GetWork()) })
				sim.audit.noteTerminal(sim.state.Jobs(), sim.now)
				sim.dispatcher.Applied(sim.now, nil)
				sim.standby.Applied(sim.now, nil)
				sim.measure("HandleResult", func() { sim.dispatcher.HandleResult(sim.now, command, result) })
			})
		}
		for _, deferred := range sim.dispatcher.TakeReplies(sim.now) {
			if handle := sim.requests[deferred.Request]; handle != nil {
				handle(deferred.Reply)
			}
		}
	}
}

// measure runs a step of the control loop, and passes the processor time it took to onStep.
func (sim *simulation) measure(name string, step func()) {
	if sim.onStep == nil {
		step()
		return
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	started := threadTime()
	step()
	sim.onStep(name, threadTime()-started)
}

// threadTime returns the processor time that the thread has used.
func threadTime() time.Duration {
	var at unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &at)
	return time.Duration(at.Nano())
}

// checkDone checks that no other run of the task started after the acknowledged, successful end of this one.
func (sim *simulation) checkDone(e simEnd) {
	sim.t.Helper()
	if _, ok := sim.done[e.Run.Task]; !ok {
		sim.done[e.Run.Task] = sim.now
	}
	if started := sim.started[e.Run.Task]; started.After(e.at) && !e.beforeLast && !e.speculative {
		sim.t.Errorf("%s run %d was done %v before another run started", e.Run.Task, e.Run.Run, started.Sub(e.at))
	}
}

// TakeAnswers implements Mailbox.
func (sim *simulation) TakeAnswers() []*order.Answer {
	taken := sim.mailbox
	sim.mailbox = nil
	return taken
}

// HasUrgent implements Mailbox.
func (sim *simulation) HasUrgent() bool {
	return slices.ContainsFunc(sim.mailbox, (*order.Answer).IsUrgent)
}

// Empty implements Mailbox.
func (sim *simulation) Empty() bool { return len(sim.mailbox) == 0 }

// ticketValidity is how long a ticket of the simulated advice service is valid.
const ticketValidity = 3 * time.Second

// simTicket allows the tasks of a step on one incarnation of a worker.
type simTicket struct {
	step    string
	worker  *simWorker
	bornMs  int64
	expires time.Time
}

// advise simulates the advice service, which handles one call at a time: every other worker may run the step, and gets a
// ticket if it is up.
func (sim *simulation) advise(call *order.Call) {
	began := sim.now
	if sim.adviceBusyUntil.After(began) {
		began = sim.adviceBusyUntil
	}
	sim.adviceBusyUntil = began.Add(100*time.Millisecond + 10*time.Millisecond*time.Duration(len(call.WorkerIDs)))
	sim.after(sim.adviceBusyUntil.Sub(sim.now), func() {
		answer := &order.Answer{Status: order.OK, Tickets: map[string]string{}, ValidFor: ticketValidity}
		for _, worker := range sim.workers {
			id := worker.incarnation.GetId()
			if n := id[len(id)-1]; (sim.allowsAll || n%2 == 0) && worker.up && !worker.unadvised && slices.Contains(call.WorkerIDs, id) {
				text := fmt.Sprintf("ticket-%d", len(sim.tickets))
				sim.tickets[text] = simTicket{call.Step.Name(), worker, worker.incarnation.GetBornMs(), sim.now.Add(ticketValidity)}
				answer.Tickets[id] = text
			}
		}
		sim.answer(call, answer)
	})
}

// hasTicket reports whether a start of a task of an advised queue carries a valid ticket.
func (s *simWorker) hasTicket(call *order.Call, step string) bool {
	t := s.simulation.tickets[call.Ticket]
	return t.step == step && t.worker == s && t.bornMs == s.incarnation.GetBornMs() && s.simulation.now.Before(t.expires)
}

// Send implements WorkerCalls.
func (sim *simulation) Send(call *order.Call) {
	switch call.Kind {
	case order.Advise:
		sim.advise(call)
		return
	case order.ListHosts, order.Maintain:
		sim.hosts.send(call)
		return
	}
	worker := sim.workerAt(call.Address)
	lost := worker == nil || !worker.up || sim.random.Float64() < sim.lossRate
	if lost && worker != nil && sim.random.Float64() < sim.delayedRate {
		sim.after(2*time.Second+time.Duration(sim.random.Int64N(int64(sim.maxDelay-2*time.Second))), func() {
			worker.forgetEnds(call, true)
			worker.handle(call)
		})
	}
	if lost {
		sim.after(time.Second+call.Wait, func() { sim.answer(call, &order.Answer{}) })
		return
	}
	sim.after(time.Millisecond, func() {
		worker.forgetEnds(call, false)
		worker.answerWhenDue(call, sim.now.Add(call.Wait), worker.began)
	})
}

// QueuedStarts implements WorkerCalls.
func (sim *simulation) QueuedStarts() int { return sim.queuedStarts }

// answerWhenDue answers a call that the incarnation of the given start has received. A poll is held open until a run has
// ended or its wait time has elapsed, and gets no answer if the worker restarts meanwhile.
func (s *simWorker) answerWhenDue(call *order.Call, due, receivedBy time.Time) {
	sim := s.simulation
	if !s.began.Equal(receivedBy) {
		sim.answer(call, &order.Answer{})
		return
	}
	if s.up && sim.now.Before(due) && !slices.ContainsFunc(s.ended, func(e simEnd) bool { return e.Number > call.RecordedEnds }) {
		sim.after(5*time.Millisecond, func() { s.answerWhenDue(call, due, receivedBy) })
		return
	}
	answer := s.handle(call)
	if !s.up || s.answersLost {
		answer = &order.Answer{}
	}
	sim.after(time.Millisecond, func() { sim.answer(call, answer) })
}

func (sim *simulation) answer(call *order.Call, answer *order.Answer) {
	answer.Call, answer.Received = call, sim.now
	sim.mailbox = append(sim.mailbox, answer)
}

// workerAt returns the worker at an address, or nil.
func (sim *simulation) workerAt(address netip.AddrPort) *simWorker {
	for _, worker := range sim.workers {
		if worker.incarnation.GetAddress() == address.String() {
			return worker
		}
	}
	return nil
}

// serve sends a request to the dispatcher and returns its reply, running the simulation until it is there.
func (sim *simulation) serve(work *controlpb.WorkRequest) *controlpb.LeaderReply {
	sim.t.Helper()
	request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: work}}
	reply, wait := sim.dispatcher.Serve(sim.now, request)
	if !wait {
		return reply
	}
	sim.requests[request] = func(r *controlpb.LeaderReply) { reply = r }
	for range 100 {
		sim.run(10 * time.Millisecond)
		if reply != nil {
			return reply
		}
	}
	sim.t.Fatalf("no reply to %v", work)
	return nil
}

// configure installs queues of one pool: "urgent", "batch" and "advised", with at most three attempts per task.
func (sim *simulation) configure() {
	sim.run(50 * time.Millisecond)
	sim.replaceRouting(1, 3)
}

// replaceRouting installs a version of the queues, with a limit of attempts per task.
func (sim *simulation) replaceRouting(version uint64, maxAttempts uint32) {
	sim.t.Helper()
	sim.serve(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_ReplaceRouting{ReplaceRouting: routing(version, maxAttempts)}})
}

// routing returns a version of the queues, with a limit of attempts per task.
func routing(version uint64, maxAttempts uint32) *controlpb.Routing {
	return &controlpb.Routing{
		Version: version, Document: []byte("{}"), Pools: []*controlpb.WorkPool{{Name: "pool"}},
		Queues: []*controlpb.WorkQueue{
			{Name: "urgent", Host: "h", PathPrefix: "/urgent/", MaxAttempts: maxAttempts, Pool: "pool", Stretch: 1.5, TargetRuntimeMs: 250},
			{Name: "batch", Host: "h", PathPrefix: "/batch/", MaxAttempts: maxAttempts, Pool: "pool", Priority: 2, Stretch: 2, TargetRuntimeMs: 1000},
			{Name: "advised", Host: "h", PathPrefix: "/advised/", MaxAttempts: maxAttempts, Pool: "pool", Stretch: 2, Advised: true},
		},
	}
}

// addWorker adds a worker of 32 cores and 128 GiB that announces itself every 1.5 s.
func (sim *simulation) addWorker(zone, rack string) *simWorker {
	n := len(sim.workers) + 1
	worker := &simWorker{simulation: sim, up: true}
	sim.workers = append(sim.workers, worker)
	worker.startIncarnation(&controlpb.WorkerLife{
		Id: fmt.Sprintf("worker-%d", n), Host: fmt.Sprintf("host-%d", n), Pool: "pool", Address: fmt.Sprintf("10.0.%d.%d:80", n/200, n%200+1), Zone: zone,
		Processors: 32_000, Memory: 128 << 10, Labels: []string{"a", rack},
	})
	var announce func()
	sequence := uint64(0)
	announce = func() {
		if worker.up && !worker.answersLost {
			sequence++
			request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: &controlpb.WorkRequest{
				Kind: &controlpb.WorkRequest_Announce{Announce: &controlpb.AnnounceLife{Life: proto.CloneOf(worker.incarnation), Sequence: sequence, LeavesInMs: worker.leavesIn.Milliseconds()}},
			}}}
			sim.dispatcher.Serve(sim.now, request)
		}
		sim.after(1500*time.Millisecond, announce)
	}
	announce()
	return worker
}

// startIncarnation starts a new incarnation, without any state of earlier ones.
func (s *simWorker) startIncarnation(incarnation *controlpb.WorkerLife) {
	s.previousStartMs = incarnation.GetBornMs()
	if s.up {
		s.simulation.audit.noteCrash(s)
	}
	for _, r := range s.ordered {
		s.simulation.endedUnder[r.key.Task]++
	}
	incarnation.BornMs = s.simulation.now.UnixMilli()
	incarnation.Leaving, s.leavesIn = false, 0
	s.incarnation, s.began, s.up = incarnation, s.simulation.now, true
	s.fence, s.leaseExpires, s.nextEnd, s.ended = 0, time.Time{}, 0, nil
	s.clearRuns()
	s.highestRun = map[workload.TaskKey]uint32{}
}

func (s *simWorker) addRun(r *simRun) {
	s.runs[r.key] = r
	s.ordered = append(s.ordered, r)
}

func (s *simWorker) clearRuns() {
	s.runs, s.ordered = map[workload.RunKey]*simRun{}, nil
}

// crash ends the incarnation. After downtime a new one starts at the same address, under another ID for every other worker.
func (s *simWorker) crash(downtime time.Duration) {
	s.simulation.audit.noteCrash(s)
	crashed := s.ordered
	s.up = false
	s.clearRuns()
	for _, r := range crashed {
		if r.task.Step.GetGang() {
			s.simulation.breakGang(r.key)
		}
	}
	s.simulation.after(downtime, func() {
		next := proto.CloneOf(s.incarnation)
		if slices.Index(s.simulation.workers, s)%2 == 0 {
			next.Id += "+"
		}
		s.startIncarnation(next)
	})
}

// breakGang ends the other members of the gang of a run, except on workers on which they fail by themselves.
func (sim *simulation) breakGang(key workload.RunKey) {
	for _, worker := range sim.workers {
		if worker.failing {
			continue
		}
		for _, r := range slices.Clone(worker.ordered) {
			if r.isInGangOf(key) {
				worker.end(r.key, controlpb.RunEnd_RUN_BROKEN)
			}
		}
	}
}

// isInGangOf reports whether a run is a member of the same gang as another run, under the same number.
func (r *simRun) isInGangOf(other workload.RunKey) bool {
	return r.key.Task.Job == other.Task.Job && r.key.Task.Step == other.Task.Step && r.key.Run == other.Run
}

// handle carries out a call as a worker of the platform would.
func (s *simWorker) handle(call *order.Call) *order.Answer {
	if call.ID != s.incarnation.GetId() || !s.up {
		return &order.Answer{Status: order.OtherIncarnation}
	}
	clock := s.simulation.now.Sub(s.began) + time.Second
	if call.Fence < s.fence {
		return &order.Answer{Status: order.Fenced, Clock: clock}
	}
	if call.Kind == order.Start && s.refuses(call) {
		return &order.Answer{Status: order.Unhealthy}
	}
	s.fence = call.Fence
	if call.LeaseExpiry > clock {
		expires := s.simulation.now.Add(min(call.LeaseExpiry-clock, s.simulation.dispatcher.config.Limits.MaxLease))
		if expires.After(s.leaseExpires) {
			s.leaseExpires = expires
		}
	}
	switch call.Kind {
	case order.Start:
		return &order.Answer{Status: s.start(call, clock), Clock: clock}
	case order.Stop:
		if s.stopTime > 0 {
			s.simulation.after(s.stopTime, func() { s.stop(call.Run) })
		} else {
			s.stop(call.Run)
		}
		return &order.Answer{Status: order.OK, Clock: clock}
	case order.Poll:
		return s.poll(call, clock)
	case order.SetSpeed:
		if r := s.runs[call.Run]; r != nil {
			r.speed = float64(call.Percent) / 100
		}
	}
	return &order.Answer{Status: order.OK, Clock: clock}
}

// refuses reports whether the worker refuses a start as unhealthy. It does nothing then, and doesn't keep the fencing token.
func (s *simWorker) refuses(call *order.Call) bool {
	if s.runs[call.Run] != nil || call.Run.Run <= s.highestRun[call.Run.Task] {
		return false
	}
	return s.rejectsStarts || s.rejectionRate > 0 && s.simulation.random.Float64() < s.rejectionRate
}

func (s *simWorker) start(call *order.Call, clock time.Duration) order.Status {
	key := call.Run
	switch {
	case s.runs[key] != nil:
		return order.OK
	case key.Run <= s.highestRun[key.Task]:
		return order.StaleRun
	case call.LeaseExpiry <= clock:
		return order.Expired
	}
	if call.IncarnationStartMs == s.incarnation.GetBornMs() {
		s.simulation.checkStart(s, key, call.Sent)
		s.simulation.checkAudit(s, key, call.Sent)
	}
	task := s.simulation.state.Task(key.Task)
	if task == nil {
		return order.Invalid
	}
	if task.Step.Job.Spec.GetQueue() == "advised" && !s.hasTicket(call, task.Step.Name()) {
		return order.NoTicket
	}
	s.simulation.starts[key.Task.String()]++
	if call.IncarnationStartMs == s.incarnation.GetBornMs() {
		s.simulation.started[key.Task] = s.simulation.now
	}
	s.addRun(&simRun{key: key, task: task, speed: 1, began: s.simulation.now, runtime: time.Duration(task.Step.GetEstimateMs()) * time.Millisecond, orphaned: call.IncarnationStartMs != s.incarnation.GetBornMs(), beforeLast: call.IncarnationStartMs != s.incarnation.GetBornMs() && call.IncarnationStartMs != s.previousStartMs})
	if s.simulation.deadly[key.Task.String()] {
		crashed := s.incarnation.GetBornMs()
		s.simulation.after(10*time.Millisecond, func() {
			if s.up && s.incarnation.GetBornMs() == crashed {
				s.crash(3200 * time.Millisecond)
			}
		})
	}
	return order.OK
}

func (s *simWorker) stop(key workload.RunKey) {
	s.highestRun[key.Task] = max(s.highestRun[key.Task], key.Run)
	if s.runs[key] != nil {
		s.end(key, controlpb.RunEnd_RUN_STOPPED)
	}
}

func (s *simWorker) end(key workload.RunKey, result controlpb.RunEnd) {
	step, beforeLast := s.runs[key].task.Step, s.runs[key].beforeLast
	delete(s.runs, key)
	s.ordered = slices.DeleteFunc(s.ordered, func(r *simRun) bool { return r.key == key })
	s.simulation.audit.noteEnd(key, step.GetGang(), result)
	s.highestRun[key.Task] = max(s.highestRun[key.Task], key.Run)
	s.nextEnd++
	s.ended = append(s.ended, simEnd{Ended: order.Ended{Number: s.nextEnd, Run: key, Result: result}, at: s.simulation.now, beforeLast: beforeLast, speculative: step.GetSpeculative(), gang: step.GetGang()})
}

// forgetEnds discards the ends that a poll acknowledges, also if it was sent to an earlier incarnation under the same ID. The
// dispatcher can't prevent the latter for a delayed poll, which a later incarnation without a fencing token accepts.
func (s *simWorker) forgetEnds(call *order.Call, delayed bool) {
	if call.Kind != order.Poll || call.ID != s.incarnation.GetId() || !s.up || call.Fence < s.fence {
		return
	}
	s.ended = slices.DeleteFunc(s.ended, func(e simEnd) bool {
		seen := e.Number <= call.RecordedEnds
		if seen && !e.discarded && !(delayed && call.IncarnationStartMs != s.incarnation.GetBornMs()) {
			switch e.Result {
			case controlpb.RunEnd_RUN_DONE:
				s.simulation.checkDone(e)
			case controlpb.RunEnd_RUN_FAILED:
				s.simulation.checkFailed(e)
			}
		}
		return seen
	})
}

func (s *simWorker) poll(call *order.Call, clock time.Duration) *order.Answer {
	if call.IncarnationStartMs != 0 && call.IncarnationStartMs != s.incarnation.GetBornMs() {
		return &order.Answer{Status: order.OtherIncarnation, IncarnationStartMs: s.incarnation.GetBornMs(), Clock: clock}
	}
	answer := &order.Answer{Status: order.OK, Clock: clock}
	if call.IncarnationStartMs == 0 {
		answer.IncarnationStartMs = s.incarnation.GetBornMs()
	}
	for _, e := range s.ended[:min(len(s.ended), maxListedEnds)] {
		answer.Ended = append(answer.Ended, e.Ended)
	}
	answer.EndsIncomplete = len(answer.Ended) == maxListedEnds
	for _, r := range s.ordered {
		report := order.Running{Run: r.key, Percent: 100, Measurement: -1}
		if r.task.Step.IsServing() {
			report.Measurement = int64(float64(s.tailLatencyMs(r)) * (1 + s.simulation.measurementError*(2*s.simulation.random.Float64()-1)))
		} else if r.runtime > 0 {
			report.Percent = int(100 * r.worked / r.runtime)
			report.Measurement = int64(s.speed(r) * float64(r.task.Step.GetProcessors()))
		}
		answer.Running = append(answer.Running, report)
	}
	return answer
}

// normalLatencyRatio is the tail latency of a serving task without load or interference, as a share of its target.
const normalLatencyRatio = 0.4

// isSlow reports whether the worker is so slow that its serving tasks exceed their targets whatever runs beside them.
func (s *simWorker) isSlow() bool { return normalLatencyRatio+s.slowTail > 1 }

// tailLatencyMs returns the tail latency of a serving task in milliseconds: 40% of its target, plus the effects of its own
// load and of the interfering best-effort tasks.
func (s *simWorker) tailLatencyMs(r *simRun) int64 {
	ratio := normalLatencyRatio + s.slowTail
	if s.simulation.ownLoad != nil {
		ratio += s.simulation.ownLoad(s.simulation.now)
	}
	for _, other := range s.ordered {
		if other.task.Step.GetFills() && s.simulation.interference != nil {
			ratio += other.speed * s.simulation.interference(imageOf(r.task.Step), imageOf(other.task.Step))
		}
	}
	return int64(ratio * float64(r.task.Step.GetTargetMs()))
}

// servingTaskUtilization is the share of its reserved processors that a serving task uses.
const servingTaskUtilization = 0.42

// speed returns the share of its full speed at which a run works. Best-effort runs share the processors that other runs
// leave unused.
func (s *simWorker) speed(r *simRun) float64 {
	if !r.task.Step.GetFills() {
		return r.speed
	}
	available, demanded := float64(s.incarnation.GetProcessors()), 0.0
	for _, other := range s.ordered {
		switch processors := float64(other.task.Step.GetProcessors()); {
		case other.task.Step.GetFills():
			demanded += other.speed * processors
		case other.task.Step.IsServing():
			available -= servingTaskUtilization * processors
		default:
			available -= processors
		}
	}
	return r.speed * min(1, max(0, available)/max(1, demanded))
}

// advance simulates the worker's tasks for a step of time.
func (s *simWorker) advance(step time.Duration) {
	if !s.up {
		return
	}
	if s.simulation.now.After(s.leaseExpires) {
		for i := range s.ended {
			s.ended[i].discarded = true
		}
	}
	for _, r := range slices.Clone(s.ordered) {
		key := r.key
		switch {
		case s.runs[key] != r: // it has ended with its gang
			continue
		case s.simulation.now.After(s.leaseExpires):
			s.end(key, controlpb.RunEnd_RUN_LAPSED)
			continue
		case r.task.Step.IsServing() && s.tailLatencyMs(r) > r.task.Step.GetTargetMs() && !s.isSlow():
			s.simulation.overTarget += step
			if r.overTarget += step; r.overTarget == s.simulation.dispatcher.config.Limits.MaxOverTarget && !s.simulation.latencyExempt {
				s.simulation.t.Errorf("%v: %s has exceeded its latency target for %v beside best-effort tasks", s.simulation.now, key.Task, r.overTarget)
			}
		default:
			r.overTarget = 0
		}
		if s.stalled {
			continue
		}
		if !s.simulation.isGangComplete(r, key, step) {
			if r.waited < 0 {
				s.end(key, controlpb.RunEnd_RUN_ALONE)
			}
			continue
		}
		r.worked += time.Duration(float64(step) * s.speed(r) / max(1, s.slowdown))
		switch {
		case s.failing && r.worked > 100*time.Millisecond:
			s.end(key, controlpb.RunEnd_RUN_FAILED)
			if r.task.Step.GetGang() {
				s.simulation.breakGang(key)
			}
		case !r.task.Step.GetPerpetual() && r.worked >= r.runtime:
			s.end(key, controlpb.RunEnd_RUN_DONE)
		}
	}
}

// isGangComplete reports whether all members of a run's gang are running. It counts the time that the run waits for them, and
// marks a run that times out by a negative waited.
func (sim *simulation) isGangComplete(r *simRun, key workload.RunKey, step time.Duration) bool {
	if !r.task.Step.GetGang() || r.worked > 0 {
		return true
	}
	present := 0
	for _, worker := range sim.workers {
		for _, other := range worker.ordered {
			if other.isInGangOf(key) {
				present++
			}
		}
	}
	if present == len(r.task.Step.Tasks) {
		return true
	}
	r.waited += step
	if r.waited > 3*time.Second {
		sim.gangTimeouts++
		r.waited = -time.Hour
	}
	return false
}

// checkStart checks the invariants that a start could violate. A copy of a speculative task may start beside and shortly after
// another run of the task; orders that are carried out late count from when they were sent.
func (sim *simulation) checkStart(target *simWorker, key workload.RunKey, sent time.Time) {
	sim.t.Helper()
	task := sim.state.Task(key.Task)
	if task == nil {
		sim.t.Errorf("%v: %s starts, but its job no longer exists", sim.now, key.Task)
		return
	}
	if recorded, ok := sim.done[key.Task]; ok && (!task.Step.GetSpeculative() || sent.Sub(recorded) > time.Second) {
		sim.t.Errorf("%s run %d starts although it was recorded as done", key.Task, key.Run)
	}
	used := task.Step.Demand()
	for _, other := range target.ordered {
		used = used.Add(other.task.Step.Demand())
		if other.key.Task == key.Task {
			sim.t.Errorf("%s runs twice on %s", key.Task, target.incarnation.GetId())
		}
	}
	capacity := resource.Vector{Processors: target.incarnation.GetProcessors(), Memory: target.incarnation.GetMemory(), Accelerators: target.incarnation.GetAccelerators()}
	if !used.Fits(capacity) {
		sim.t.Errorf("%s is over its capacity: %v", target.incarnation.GetId(), used)
	}
	for _, worker := range sim.workers {
		for _, other := range worker.ordered {
			if worker != target && worker.up && !other.orphaned && other.key.Task == key.Task && !task.Step.GetSpeculative() {
				sim.t.Errorf("%v: %s run %d starts on %s while run %d is on %s", sim.now, key.Task, key.Run, target.incarnation.GetId(), other.key.Run, worker.incarnation.GetId())
			}
		}
	}
	if excess := sim.accountExcess(task.Step, sent); excess != "" {
		sim.t.Errorf("%v: %s run %d starts, and %s", sim.now, key.Task, key.Run, excess)
	}
	for _, before := range task.Step.GetAfter() {
		if task.Step.Job.Steps(key.Task.Occurrence)[before].Unfinished > 0 {
			sim.t.Errorf("%s starts before step %d is done", key.Task, before)
		}
	}
}

// submit submits a job and returns the outcome.
func (sim *simulation) submit(queue, id string, steps ...*controlpb.WorkStep) controlpb.WorkOutcome {
	sim.t.Helper()
	return sim.serve(submission(queue, id, steps...)).GetWork().GetOutcome()
}

// submission returns a caller's request to submit a job.
func submission(queue, id string, steps ...*controlpb.WorkStep) *controlpb.WorkRequest {
	return &controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Caller{Caller: &controlpb.CallerWork{
		Verb: controlpb.CallerVerb_VERB_SUBMIT, Host: "h", Path: "/" + queue + "/" + id, Job: &controlpb.WorkJob{Spec: id, Steps: steps},
	}}}
}

// stateOf returns the state of a job.
func (sim *simulation) stateOf(id string) controlpb.WorkState {
	state, _ := sim.state.Lookup(id)
	return state
}
