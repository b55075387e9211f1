package dispatch

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
	"galenamoor/pkg/resource"
)

// commitTime is how long a simulated commit takes.
const commitTime = 15 * time.Millisecond

// simulation runs a dispatcher and simulated workers in virtual time, and checks the invariants from the workers' point
// of view.
type simulation struct {
	t          *testing.T
	random     *rand.Rand
	now        time.Time
	state      *workload.State
	dispatcher *Dispatcher
	workers    []*simWorker
	mailbox    []*order.Answer
	events     []event
	sequence   int
	requests   map[*controlpb.LeaderRequest]func(*controlpb.LeaderReply)
	done       map[workload.TaskKey]bool // tasks whose end was acknowledged

	hosts *hostService // the platform's host service; nil unless a test needs it

	lossRate    float64 // share of calls that get no answer
	delayedRate float64 // share of the unanswered calls that are carried out 2 to 6 s later
	// interference returns by how much an aggressor raises the tail-latency ratio of a victim; nil for not at all.
	interference func(victim, aggressor string) float64

	overTarget       time.Duration                  // summed over serving tasks
	ownLoad          func(now time.Time) float64    // adds to the tail-latency ratio of all serving tasks; nil for nothing
	measurementError float64                        // maximum relative error of reported tail latencies
	starts           map[string]int                 // by task
	started          map[workload.TaskKey]time.Time // newest start
	gangTimeouts     int                            // gang members that timed out waiting for the others
}

type event struct {
	at       time.Time
	sequence int
	commit   bool // of a change; lost when the leader changes
	do       func()
}

// simWorker simulates a worker.
type simWorker struct {
	simulation    *simulation
	incarnation   *controlpb.WorkerLife
	lastBorn      int64 // of the previous incarnation
	began         time.Time
	up            bool
	answersLost   bool // calls arrive, but their answers are lost
	fence         uint64
	until         time.Time
	runs          map[workload.RunKey]*simRun
	highest       map[workload.TaskKey]uint32 // highest run that has ended or was stopped
	ended         []simEnd
	nextEnd       uint64
	failing       bool
	stalled       bool    // its tasks make no progress
	refusesStarts bool    // it rejects starts without any effect
	slowdown      float64 // factor by which its tasks take longer; 0 for 1
}

// simEnd is an end that isn't acknowledged yet. It is discarded if the worker's lease expires first.
type simEnd struct {
	order.Ended
	at        time.Time
	discarded bool
	// beforeLast is set if the run was ordered from an incarnation before the previous one. The dispatcher has settled
	// that incarnation with the previous one, and can't know that its order would still be carried out in this one.
	beforeLast bool
}

type simRun struct {
	task       *workload.Task
	length     time.Duration
	began      time.Time
	worked     time.Duration
	overTarget time.Duration // how long it has exceeded its latency target beside best-effort tasks without interruption
	waited     time.Duration // time spent waiting for the other gang members
	speed      float64       // allowed share of full speed
	orphaned   bool          // ordered from an earlier incarnation; its start can't be prevented
	beforeLast bool          // ordered from an incarnation before the previous one
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	w := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(1_000_000, 0), state: workload.New(),
		requests: map[*controlpb.LeaderRequest]func(*controlpb.LeaderReply){}, done: map[workload.TaskKey]bool{}, starts: map[string]int{}, started: map[workload.TaskKey]time.Time{},
	}
	w.dispatcher = New(Config{
		State: func() *workload.State { return w.state }, WorkerCalls: w, Mailbox: w,
		Limits: Limits{
			MaxLease: 6 * time.Second, StopGrace: 400 * time.Millisecond, GangTimeout: 3 * time.Second, MaxOverTarget: 4 * time.Second,
			MaintenanceHandover: 3 * time.Second,
			RestoreTime:         250 * time.Millisecond, RemoteRuntimeFactor: 2,
		},
		LeaseValid: func(time.Time) bool { return true },
		Wall:       func() time.Time { return w.now },
		Log:        logr.Discard(), Count: func(string) {}, Observe: func(string, time.Duration) {},
	})
	w.dispatcher.StartLeading(w.now)
	return w
}

// after schedules a function.
func (w *simulation) after(d time.Duration, do func()) {
	w.schedule(d, false, do)
}

func (w *simulation) schedule(d time.Duration, commit bool, do func()) {
	w.sequence++
	e := event{w.now.Add(d), w.sequence, commit, do}
	at, _ := slices.BinarySearchFunc(w.events, e, func(a, b event) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.sequence - b.sequence
	})
	w.events = slices.Insert(w.events, at, e)
}

// run advances virtual time in steps of the shortest time between two proposals.
func (w *simulation) run(d time.Duration) {
	w.t.Helper()
	end := w.now.Add(d)
	const step = 10 * time.Millisecond
	for w.now.Before(end) {
		next := w.now.Add(step)
		for len(w.events) > 0 && !w.events[0].at.After(next) {
			e := w.events[0]
			w.events = w.events[1:]
			w.now = e.at
			e.do()
		}
		w.now = next
		for _, worker := range w.workers {
			worker.advance(step)
		}
		for _, command := range w.dispatcher.Tick(w.now) {
			w.schedule(commitTime, true, func() {
				result := w.state.Apply(w.now, command.GetWork())
				w.dispatcher.HandleResult(w.now, command, result)
			})
		}
		for _, answer := range w.dispatcher.TakeReplies(w.now) {
			if reply := w.requests[answer.Request]; reply != nil {
				reply(answer.Reply)
			}
		}
	}
}

// checkDone checks an acknowledged end against the newest start of the task.
func (w *simulation) checkDone(e simEnd) {
	w.t.Helper()
	w.done[e.Run.Task] = true
	if started := w.started[e.Run.Task]; started.After(e.at) && !e.beforeLast {
		w.t.Errorf("%s run %d was done %v before another run started", e.Run.Task, e.Run.Run, started.Sub(e.at))
	}
}

// Take implements Mailbox.
func (w *simulation) Take() []*order.Answer {
	taken := w.mailbox
	w.mailbox = nil
	return taken
}

// Empty implements Mailbox.
func (w *simulation) Empty() bool { return len(w.mailbox) == 0 }

// advise simulates the advice service: every other worker may run the step, with tickets valid for 3 s.
func (w *simulation) advise(call *order.Call) {
	w.after(100*time.Millisecond+10*time.Millisecond*time.Duration(len(call.WorkerIDs)), func() {
		answer := &order.Answer{Status: order.OK, Tickets: map[string]string{}, ValidFor: 3 * time.Second}
		for _, name := range call.WorkerIDs {
			if n := name[len(name)-1]; n%2 == 0 {
				answer.Tickets[name] = call.Step.Name() + name
			}
		}
		w.answer(call, answer)
	})
}

// Send implements WorkerCalls.
func (w *simulation) Send(call *order.Call) {
	switch call.Kind {
	case order.Advise:
		w.advise(call)
		return
	case order.ListHosts, order.Maintain:
		w.hosts.send(call)
		return
	}
	worker := w.find(call.Address)
	lost := worker == nil || !worker.up || w.random.Float64() < w.lossRate
	if lost && worker != nil && w.random.Float64() < w.delayedRate {
		w.after(2*time.Second+time.Duration(w.random.Int64N(int64(4*time.Second))), func() { worker.handle(call) })
	}
	if lost {
		w.after(time.Second+call.Wait, func() { w.answer(call, &order.Answer{}) })
		return
	}
	w.after(time.Millisecond, func() { worker.answerWhenDue(call, w.now.Add(call.Wait)) })
}

// answerWhenDue answers a call; a poll is held until a run has ended or its wait is over.
func (s *simWorker) answerWhenDue(call *order.Call, due time.Time) {
	w := s.simulation
	if s.up && w.now.Before(due) && !slices.ContainsFunc(s.ended, func(e simEnd) bool { return e.Number > call.RecordedEnds }) {
		w.after(5*time.Millisecond, func() { s.answerWhenDue(call, due) })
		return
	}
	answer := s.handle(call)
	if !s.up || s.answersLost {
		answer = &order.Answer{}
	}
	w.after(time.Millisecond, func() { w.answer(call, answer) })
}

func (w *simulation) answer(call *order.Call, answer *order.Answer) {
	answer.Call, answer.Received = call, w.now
	w.mailbox = append(w.mailbox, answer)
}

func (w *simulation) find(address netip.AddrPort) *simWorker {
	for _, worker := range w.workers {
		if worker.incarnation.GetAddress() == address.String() {
			return worker
		}
	}
	return nil
}

// ask serves a request and returns its reply, running the simulation until it is there.
func (w *simulation) ask(work *controlpb.WorkRequest) *controlpb.LeaderReply {
	w.t.Helper()
	request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: work}}
	reply, wait := w.dispatcher.Serve(w.now, request)
	if !wait {
		return reply
	}
	w.requests[request] = func(r *controlpb.LeaderReply) { reply = r }
	for range 100 {
		w.run(10 * time.Millisecond)
		if reply != nil {
			return reply
		}
	}
	w.t.Fatalf("no reply to %v", work)
	return nil
}

// configure installs queues of one pool: "urgent", "batch" and "advised", with at most three attempts per task.
func (w *simulation) configure() {
	w.run(50 * time.Millisecond)
	w.ask(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_ReplaceRouting{ReplaceRouting: &controlpb.Routing{
		Version: 1, Document: []byte("{}"), Pools: []*controlpb.WorkPool{{Name: "pool"}},
		Queues: []*controlpb.WorkQueue{
			{Name: "urgent", Host: "h", PathPrefix: "/urgent/", MaxAttempts: 3, Pool: "pool", Stretch: 1.5, TargetRuntimeMs: 250},
			{Name: "batch", Host: "h", PathPrefix: "/batch/", MaxAttempts: 3, Pool: "pool", Priority: 2, Stretch: 2, TargetRuntimeMs: 1000},
			{Name: "advised", Host: "h", PathPrefix: "/advised/", MaxAttempts: 3, Pool: "pool", Stretch: 2, Advised: true},
		},
	}}})
}

// addWorker adds a worker of 32 cores and 128 GiB that announces itself every 1.5 s.
func (w *simulation) addWorker(zone, rack string) *simWorker {
	n := len(w.workers) + 1
	worker := &simWorker{simulation: w, up: true}
	w.workers = append(w.workers, worker)
	worker.begin(&controlpb.WorkerLife{
		Id: fmt.Sprintf("worker-%d", n), Host: fmt.Sprintf("host-%d", n), Pool: "pool", Address: fmt.Sprintf("10.0.%d.%d:80", n/200, n%200+1), Zone: zone,
		Processors: 32_000, Memory: 128 << 10, Labels: []string{"a", rack},
	})
	var announce func()
	sequence := uint64(0)
	announce = func() {
		if worker.up && !worker.answersLost {
			sequence++
			request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: &controlpb.WorkRequest{
				Kind: &controlpb.WorkRequest_Announce{Announce: &controlpb.AnnounceLife{Life: proto.CloneOf(worker.incarnation), Sequence: sequence}},
			}}}
			w.dispatcher.Serve(w.now, request)
		}
		w.after(1500*time.Millisecond, announce)
	}
	announce()
	return worker
}

// begin starts a new incarnation, without any state of earlier ones.
func (s *simWorker) begin(incarnation *controlpb.WorkerLife) {
	s.lastBorn = incarnation.GetBornMs()
	incarnation.BornMs = s.simulation.now.UnixMilli()
	s.incarnation, s.began, s.up = incarnation, s.simulation.now, true
	s.fence, s.until, s.nextEnd, s.ended = 0, time.Time{}, 0, nil
	s.runs, s.highest = map[workload.RunKey]*simRun{}, map[workload.TaskKey]uint32{}
}

// handle carries out a call like a worker of the platform.
func (s *simWorker) handle(call *order.Call) *order.Answer {
	if call.ID != s.incarnation.GetId() || !s.up {
		return &order.Answer{Status: order.OtherIncarnation}
	}
	clock := s.simulation.now.Sub(s.began) + time.Second
	if call.Kind == order.Poll && call.IncarnationStartMs != 0 && call.IncarnationStartMs != s.incarnation.GetBornMs() {
		return &order.Answer{Status: order.OtherIncarnation, IncarnationStartMs: s.incarnation.GetBornMs(), Clock: clock}
	}
	if call.Fence < s.fence {
		return &order.Answer{Status: order.Fenced, Clock: clock}
	}
	s.fence = call.Fence
	if call.LeaseExpiry > clock {
		until := s.simulation.now.Add(min(call.LeaseExpiry-clock, 6*time.Second))
		if until.After(s.until) {
			s.until = until
		}
	}
	switch call.Kind {
	case order.Start:
		return &order.Answer{Status: s.start(call, clock), Clock: clock}
	case order.Stop:
		s.stop(call.Run)
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

func (s *simWorker) start(call *order.Call, clock time.Duration) order.Status {
	key := call.Run
	switch {
	case s.runs[key] != nil:
		return order.OK
	case key.Run <= s.highest[key.Task]:
		return order.StaleRun
	case call.LeaseExpiry <= clock:
		return order.Expired
	case s.refusesStarts:
		return order.Unhealthy
	}
	if call.IncarnationStartMs == s.incarnation.GetBornMs() {
		s.simulation.checkStart(s, key)
	}
	task := s.simulation.state.Task(key.Task)
	if task == nil {
		return order.Invalid
	}
	if task.Step.Job.Spec.GetQueue() == "advised" && call.Ticket != task.Step.Name()+s.incarnation.GetId() {
		return order.NoTicket
	}
	s.simulation.starts[key.Task.String()]++
	if call.IncarnationStartMs == s.incarnation.GetBornMs() {
		s.simulation.started[key.Task] = s.simulation.now
	}
	s.runs[key] = &simRun{task: task, speed: 1, began: s.simulation.now, length: time.Duration(task.Step.GetEstimateMs()) * time.Millisecond, orphaned: call.IncarnationStartMs != s.incarnation.GetBornMs(), beforeLast: call.IncarnationStartMs != s.incarnation.GetBornMs() && call.IncarnationStartMs != s.lastBorn}
	return order.OK
}

func (s *simWorker) stop(key workload.RunKey) {
	s.highest[key.Task] = max(s.highest[key.Task], key.Run)
	if s.runs[key] != nil {
		s.end(key, controlpb.RunEnd_RUN_STOPPED)
	}
}

func (s *simWorker) end(key workload.RunKey, result controlpb.RunEnd) {
	beforeLast := s.runs[key].beforeLast
	delete(s.runs, key)
	s.highest[key.Task] = max(s.highest[key.Task], key.Run)
	s.nextEnd++
	s.ended = append(s.ended, simEnd{Ended: order.Ended{Number: s.nextEnd, Run: key, Result: result}, at: s.simulation.now, beforeLast: beforeLast})
}

func (s *simWorker) poll(call *order.Call, clock time.Duration) *order.Answer {
	answer := &order.Answer{Status: order.OK, Clock: clock}
	s.ended = slices.DeleteFunc(s.ended, func(e simEnd) bool {
		seen := e.Number <= call.RecordedEnds
		if seen && !e.discarded && e.Result == controlpb.RunEnd_RUN_DONE {
			s.simulation.checkDone(e)
		}
		return seen
	})
	for _, e := range s.ended {
		answer.Ended = append(answer.Ended, e.Ended)
	}
	for key, r := range s.runs {
		row := order.Running{Run: key, Percent: 100, Measurement: -1}
		if r.task.Step.IsServing() {
			row.Measurement = int64(float64(s.tail(r)) * (1 + s.simulation.measurementError*(2*s.simulation.random.Float64()-1)))
		} else if r.length > 0 {
			row.Percent = int(100 * r.worked / r.length)
			row.Measurement = int64(s.speed(r) * float64(r.task.Step.GetProcessors()))
		}
		answer.Running = append(answer.Running, row)
	}
	return answer
}

// tail returns the tail latency of a serving task in milliseconds: 40% of its target, plus its own load and the
// interference of best-effort tasks.
func (s *simWorker) tail(r *simRun) int64 {
	tail := 0.4
	if s.simulation.ownLoad != nil {
		tail += s.simulation.ownLoad(s.simulation.now)
	}
	for _, other := range s.runs {
		if other.task.Step.GetFills() && s.simulation.interference != nil {
			tail += other.speed * s.simulation.interference(imageOf(r.task.Step), imageOf(other.task.Step))
		}
	}
	return int64(tail * float64(r.task.Step.GetTargetMs()))
}

// servingTaskUtilization is the share of its reserved processors that a serving task uses.
const servingTaskUtilization = 0.42

// speed returns the share of its full speed at which a run works. Best-effort runs share the processors that others
// leave.
func (s *simWorker) speed(r *simRun) float64 {
	if !r.task.Step.GetFills() {
		return r.speed
	}
	left, asked := float64(s.incarnation.GetProcessors()), 0.0
	for _, other := range s.runs {
		switch processors := float64(other.task.Step.GetProcessors()); {
		case other.task.Step.GetFills():
			asked += other.speed * processors
		case other.task.Step.IsServing():
			left -= servingTaskUtilization * processors
		default:
			left -= processors
		}
	}
	return r.speed * min(1, max(0, left)/max(1, asked))
}

// advance simulates the worker's tasks for a step of time.
func (s *simWorker) advance(step time.Duration) {
	if !s.up {
		return
	}
	if s.simulation.now.After(s.until) {
		for i := range s.ended {
			s.ended[i].discarded = true
		}
	}
	for key, r := range s.runs {
		switch {
		case s.simulation.now.After(s.until):
			s.end(key, controlpb.RunEnd_RUN_LAPSED)
			continue
		case r.task.Step.IsServing() && s.tail(r) > r.task.Step.GetTargetMs():
			s.simulation.overTarget += step
			if r.overTarget += step; r.overTarget == s.simulation.dispatcher.config.Limits.MaxOverTarget {
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
		case !r.task.Step.GetPerpetual() && r.worked >= r.length:
			s.end(key, controlpb.RunEnd_RUN_DONE)
		}
	}
}

// isGangComplete reports whether all members of a gang run. A member that times out waiting for the others ends.
func (w *simulation) isGangComplete(r *simRun, key workload.RunKey, step time.Duration) bool {
	if !r.task.Step.GetGang() || r.worked > 0 {
		return true
	}
	present := 0
	for _, worker := range w.workers {
		for other := range worker.runs {
			if other.Task.Job == key.Task.Job && other.Task.Step == key.Task.Step && other.Run == key.Run {
				present++
			}
		}
	}
	if present == len(r.task.Step.Tasks) {
		return true
	}
	r.waited += step
	if r.waited > 3*time.Second {
		w.gangTimeouts++
		r.waited = -time.Hour
	}
	return false
}

// checkStart checks the invariants that a start could violate.
func (w *simulation) checkStart(target *simWorker, key workload.RunKey) {
	w.t.Helper()
	task := w.state.Task(key.Task)
	if task == nil {
		w.t.Errorf("%v: %s starts, but its job no longer exists", w.now, key.Task)
		return
	}
	if w.done[key.Task] {
		w.t.Errorf("%s run %d starts although it was recorded as done", key.Task, key.Run)
	}
	used := task.Step.Demand()
	for other, r := range target.runs {
		used = used.Add(r.task.Step.Demand())
		if other.Task == key.Task {
			w.t.Errorf("%s runs twice on %s", key.Task, target.incarnation.GetId())
		}
	}
	capacity := resource.Vector{Processors: target.incarnation.GetProcessors(), Memory: target.incarnation.GetMemory(), Accelerators: target.incarnation.GetAccelerators()}
	if !used.Fits(capacity) {
		w.t.Errorf("%s is over its capacity: %v", target.incarnation.GetId(), used)
	}
	for _, worker := range w.workers {
		for other, r := range worker.runs {
			if worker != target && worker.up && !r.orphaned && other.Task == key.Task && !task.Step.GetSpeculative() {
				w.t.Errorf("%v: %s run %d starts on %s while run %d is on %s", w.now, key.Task, key.Run, target.incarnation.GetId(), other.Run, worker.incarnation.GetId())
			}
		}
	}
	for _, before := range task.Step.GetAfter() {
		if task.Step.Job.Occurrences[key.Task.Occurrence][before].Unfinished > 0 {
			w.t.Errorf("%s starts before step %d is done", key.Task, before)
		}
	}
}

// submit submits a job and returns the outcome.
func (w *simulation) submit(queue, id string, steps ...*controlpb.WorkStep) controlpb.WorkOutcome {
	w.t.Helper()
	return w.ask(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Caller{Caller: &controlpb.CallerWork{
		Verb: controlpb.CallerVerb_VERB_SUBMIT, Host: "h", Path: "/" + queue + "/" + id, Job: &controlpb.WorkJob{Spec: id, Steps: steps},
	}}}).GetWork().GetOutcome()
}

// stateOf returns the state of a job.
func (w *simulation) stateOf(id string) controlpb.WorkState {
	state, _ := w.state.Lookup(id)
	return state
}
