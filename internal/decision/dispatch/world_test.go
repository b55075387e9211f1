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

// commitTime is how long a change takes to be committed in the world.
const commitTime = 15 * time.Millisecond

// world runs a dispatcher and simulated workers in virtual time, and checks the promises from what the workers see.
type world struct {
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
	done       map[workload.TaskKey]bool // by an end that was taken note of

	hosts *maintainedHosts // the platform's service for hosts; nil where no test needs it

	lose float64 // share of calls that get no answer
	late float64 // share of the lost ones that are carried out 2 to 6 s later
	// harm returns by how much an aggressor raises the tail of a victim; nil for not at all.
	harm func(victim, aggressor string) float64

	overBound time.Duration                  // summed over serving tasks
	swing     func(now time.Time) float64    // what the own load of serving tasks adds to their tails; nil for nothing
	rough     float64                        // share by which the tails that workers tell may be off
	starts    map[string]int                 // by task
	started   map[workload.TaskKey]time.Time // newest start
	alone     int                            // members of gangs that waited for the others in vain
}

type event struct {
	at       time.Time
	sequence int
	commit   bool // of a change; it is lost with the leader
	do       func()
}

// simWorker is a worker as the dispatcher's calls see it.
type simWorker struct {
	world    *world
	life     *controlpb.WorkerLife
	lastBorn int64 // of the life before
	began    time.Time
	up       bool
	cut      bool // calls reach it, and their answers are lost
	fence    uint64
	until    time.Time
	runs     map[workload.RunKey]*simRun
	highest  map[workload.TaskKey]uint32 // run that has ended or was stopped
	ended    []simEnd
	nextEnd  uint64
	failing  bool
	standing bool    // its tasks make no progress
	refuses  bool    // it refuses starts without doing anything
	slow     float64 // by which its tasks take longer; 0 for 1
}

// simEnd is an end that isn't taken note of yet. One that was there while the worker's lease lapsed never is.
type simEnd struct {
	order.Ended
	at   time.Time
	void bool
	// old tells that the run was ordered from a life before the last one. The dispatcher has settled that life with the
	// last one, and can't know that its order is still to be carried out in this one.
	old bool
}

type simRun struct {
	task   *workload.Task
	length time.Duration
	began  time.Time
	worked time.Duration
	harmed time.Duration // for which it has been over its bound on end because of fills
	waited time.Duration // for the others of its gang
	pace   float64       // share of its speed at which it may work
	stray  bool          // ordered from an earlier life; nothing can prevent it from starting
	old    bool          // ordered from a life before the last one
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(1_000_000, 0), state: workload.New(),
		requests: map[*controlpb.LeaderRequest]func(*controlpb.LeaderReply){}, done: map[workload.TaskKey]bool{}, starts: map[string]int{}, started: map[workload.TaskKey]time.Time{},
	}
	w.dispatcher = New(Config{
		State: func() *workload.State { return w.state }, Orders: w, Mailbox: w,
		Limits: Limits{
			LongestHold: 6 * time.Second, StopGrace: 400 * time.Millisecond, GangTimeout: 3 * time.Second, HarmTime: 4 * time.Second,
			TurnTime:    3 * time.Second,
			RestoreTime: 250 * time.Millisecond, RemoteFactor: 2,
		},
		LeaseValid: func(time.Time) bool { return true },
		Wall:       func() time.Time { return w.now },
		Log:        logr.Discard(), Count: func(string) {}, Observe: func(string, time.Duration) {},
	})
	w.dispatcher.Lead(w.now)
	return w
}

// after schedules a function.
func (w *world) after(d time.Duration, do func()) {
	w.schedule(d, false, do)
}

func (w *world) schedule(d time.Duration, commit bool, do func()) {
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

// run lets time pass, in steps of the shortest time between two proposals.
func (w *world) run(d time.Duration) {
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
				w.dispatcher.Decided(w.now, command, result)
			})
		}
		for _, answer := range w.dispatcher.Ready(w.now) {
			if told := w.requests[answer.Request]; told != nil {
				told(answer.Reply)
			}
		}
	}
}

// noteDone follows an end that the system has taken note of.
func (w *world) noteDone(e simEnd) {
	w.t.Helper()
	w.done[e.Run.Task] = true
	if started := w.started[e.Run.Task]; started.After(e.at) && !e.old {
		w.t.Errorf("%s run %d was done %v before another run started", e.Run.Task, e.Run.Run, started.Sub(e.at))
	}
}

// Take implements Mailbox.
func (w *world) Take() []*order.Answer {
	taken := w.mailbox
	w.mailbox = nil
	return taken
}

// Empty implements Mailbox.
func (w *world) Empty() bool { return len(w.mailbox) == 0 }

// advise answers for the advice service: every other worker may run the step, for 3 s.
func (w *world) advise(call *order.Call) {
	w.after(100*time.Millisecond+10*time.Millisecond*time.Duration(len(call.Names)), func() {
		answer := &order.Answer{Status: order.OK, Tickets: map[string]string{}, ValidFor: 3 * time.Second}
		for _, name := range call.Names {
			if n := name[len(name)-1]; n%2 == 0 {
				answer.Tickets[name] = call.Step.Name() + name
			}
		}
		w.answer(call, answer)
	})
}

// Send implements Orders.
func (w *world) Send(call *order.Call) {
	switch call.Kind {
	case order.Advise:
		w.advise(call)
		return
	case order.ListHosts, order.Maintain:
		w.hosts.send(call)
		return
	}
	worker := w.find(call.Address)
	lost := worker == nil || !worker.up || w.random.Float64() < w.lose
	if lost && worker != nil && w.random.Float64() < w.late {
		w.after(2*time.Second+time.Duration(w.random.Int64N(int64(4*time.Second))), func() { worker.handle(call) })
	}
	if lost {
		w.after(time.Second+call.Wait, func() { w.answer(call, &order.Answer{}) })
		return
	}
	w.after(time.Millisecond, func() { worker.answerWhenDue(call, w.now.Add(call.Wait)) })
}

// answerWhenDue answers a call, a look when something has ended or its wait is over.
func (s *simWorker) answerWhenDue(call *order.Call, due time.Time) {
	w := s.world
	if s.up && w.now.Before(due) && !slices.ContainsFunc(s.ended, func(e simEnd) bool { return e.Number > call.EndsSeen }) {
		w.after(5*time.Millisecond, func() { s.answerWhenDue(call, due) })
		return
	}
	answer := s.handle(call)
	if !s.up || s.cut {
		answer = &order.Answer{}
	}
	w.after(time.Millisecond, func() { w.answer(call, answer) })
}

func (w *world) answer(call *order.Call, answer *order.Answer) {
	answer.Call, answer.Received = call, w.now
	w.mailbox = append(w.mailbox, answer)
}

func (w *world) find(address netip.AddrPort) *simWorker {
	for _, worker := range w.workers {
		if worker.life.GetAddress() == address.String() {
			return worker
		}
	}
	return nil
}

// ask serves a request and returns its reply once it is there.
func (w *world) ask(work *controlpb.WorkRequest) *controlpb.LeaderReply {
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

// configure puts queues of one pool in force: "urgent" and "batch" with at most three attempts a task.
func (w *world) configure() {
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

// addWorker has a worker of 32 cores and 128 GiB announce itself. It does so again every 1.5 s.
func (w *world) addWorker(zone, rack string) *simWorker {
	n := len(w.workers) + 1
	worker := &simWorker{world: w, up: true}
	w.workers = append(w.workers, worker)
	worker.begin(&controlpb.WorkerLife{
		Id: fmt.Sprintf("worker-%d", n), Host: fmt.Sprintf("host-%d", n), Pool: "pool", Address: fmt.Sprintf("10.0.%d.%d:80", n/200, n%200+1), Zone: zone,
		Processors: 32_000, Memory: 128 << 10, Labels: []string{"a", rack},
	})
	var announce func()
	sequence := uint64(0)
	announce = func() {
		if worker.up && !worker.cut {
			sequence++
			request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: &controlpb.WorkRequest{
				Kind: &controlpb.WorkRequest_Announce{Announce: &controlpb.AnnounceLife{Life: proto.CloneOf(worker.life), Sequence: sequence}},
			}}}
			w.dispatcher.Serve(w.now, request)
		}
		w.after(1500*time.Millisecond, announce)
	}
	announce()
	return worker
}

// begin starts a life of a worker, which knows nothing of earlier ones.
func (s *simWorker) begin(life *controlpb.WorkerLife) {
	s.lastBorn = life.GetBornMs()
	life.BornMs = s.world.now.UnixMilli()
	s.life, s.began, s.up = life, s.world.now, true
	s.fence, s.until, s.nextEnd, s.ended = 0, time.Time{}, 0, nil
	s.runs, s.highest = map[workload.RunKey]*simRun{}, map[workload.TaskKey]uint32{}
}

// handle carries out a call as the platform's workers do.
func (s *simWorker) handle(call *order.Call) *order.Answer {
	if call.ID != s.life.GetId() || !s.up {
		return &order.Answer{Status: order.OtherLife}
	}
	clock := s.world.now.Sub(s.began) + time.Second
	if call.Kind == order.Look && call.Born != 0 && call.Born != s.life.GetBornMs() {
		return &order.Answer{Status: order.OtherLife, Born: s.life.GetBornMs(), Clock: clock}
	}
	if call.Fence < s.fence {
		return &order.Answer{Status: order.Fenced, Clock: clock}
	}
	s.fence = call.Fence
	if call.Until > clock {
		until := s.world.now.Add(min(call.Until-clock, 6*time.Second))
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
	case order.Look:
		return s.look(call, clock)
	case order.Pace:
		if r := s.runs[call.Run]; r != nil {
			r.pace = float64(call.Percent) / 100
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
		return order.Stale
	case call.Until <= clock:
		return order.Late
	case s.refuses:
		return order.Unhealthy
	}
	if call.Born == s.life.GetBornMs() {
		s.world.checkStart(s, key)
	}
	task := s.world.state.Task(key.Task)
	if task == nil {
		return order.Invalid
	}
	if task.Step.Job.Spec.GetQueue() == "advised" && call.Ticket != task.Step.Name()+s.life.GetId() {
		return order.NoTicket
	}
	s.world.starts[key.Task.String()]++
	if call.Born == s.life.GetBornMs() {
		s.world.started[key.Task] = s.world.now
	}
	s.runs[key] = &simRun{task: task, pace: 1, began: s.world.now, length: time.Duration(task.Step.GetEstimateMs()) * time.Millisecond, stray: call.Born != s.life.GetBornMs(), old: call.Born != s.life.GetBornMs() && call.Born != s.lastBorn}
	return order.OK
}

func (s *simWorker) stop(key workload.RunKey) {
	s.highest[key.Task] = max(s.highest[key.Task], key.Run)
	if s.runs[key] != nil {
		s.end(key, controlpb.RunEnd_RUN_STOPPED)
	}
}

func (s *simWorker) end(key workload.RunKey, how controlpb.RunEnd) {
	old := s.runs[key].old
	delete(s.runs, key)
	s.highest[key.Task] = max(s.highest[key.Task], key.Run)
	s.nextEnd++
	s.ended = append(s.ended, simEnd{Ended: order.Ended{Number: s.nextEnd, Run: key, How: how}, at: s.world.now, old: old})
}

func (s *simWorker) look(call *order.Call, clock time.Duration) *order.Answer {
	answer := &order.Answer{Status: order.OK, Clock: clock}
	s.ended = slices.DeleteFunc(s.ended, func(e simEnd) bool {
		seen := e.Number <= call.EndsSeen
		if seen && !e.void && e.How == controlpb.RunEnd_RUN_DONE {
			s.world.noteDone(e)
		}
		return seen
	})
	for _, e := range s.ended {
		answer.Ended = append(answer.Ended, e.Ended)
	}
	for key, r := range s.runs {
		row := order.Running{Run: key, Percent: 100, Gauge: -1}
		if r.task.Step.Serves() {
			row.Gauge = int64(float64(s.tail(r)) * (1 + s.world.rough*(2*s.world.random.Float64()-1)))
		} else if r.length > 0 {
			row.Percent = int(100 * r.worked / r.length)
			row.Gauge = int64(s.speed(r) * float64(r.task.Step.GetProcessors()))
		}
		answer.Running = append(answer.Running, row)
	}
	return answer
}

// tail returns the tail of a serving task in milliseconds: 40% of its bound, and what the fills beside it add.
func (s *simWorker) tail(r *simRun) int64 {
	tail := 0.4
	if s.world.swing != nil {
		tail += s.world.swing(s.world.now)
	}
	for _, other := range s.runs {
		if other.task.Step.GetFills() && s.world.harm != nil {
			tail += other.pace * s.world.harm(imageOf(r.task.Step), imageOf(other.task.Step))
		}
	}
	return int64(tail * float64(r.task.Step.GetTargetMs()))
}

// servingUse is the share of its processors that a serving task uses.
const servingUse = 0.42

// speed returns at which share of its speed a run works: fills share what the others leave.
func (s *simWorker) speed(r *simRun) float64 {
	if !r.task.Step.GetFills() {
		return r.pace
	}
	left, asked := float64(s.life.GetProcessors()), 0.0
	for _, other := range s.runs {
		switch processors := float64(other.task.Step.GetProcessors()); {
		case other.task.Step.GetFills():
			asked += other.pace * processors
		case other.task.Step.Serves():
			left -= servingUse * processors
		default:
			left -= processors
		}
	}
	return r.pace * min(1, max(0, left)/max(1, asked))
}

// advance lets the worker's tasks work for a time.
func (s *simWorker) advance(step time.Duration) {
	if !s.up {
		return
	}
	if s.world.now.After(s.until) {
		for i := range s.ended {
			s.ended[i].void = true
		}
	}
	for key, r := range s.runs {
		switch {
		case s.world.now.After(s.until):
			s.end(key, controlpb.RunEnd_RUN_LAPSED)
			continue
		case r.task.Step.Serves() && s.tail(r) > r.task.Step.GetTargetMs():
			s.world.overBound += step
			if r.harmed += step; r.harmed == s.world.dispatcher.config.Limits.HarmTime {
				s.world.t.Errorf("%v: %s has been over its bound for %v beside fills", s.world.now, key.Task, r.harmed)
			}
		default:
			r.harmed = 0
		}
		if s.standing {
			continue
		}
		if !s.world.isTogether(r, key, step) {
			if r.waited < 0 {
				s.end(key, controlpb.RunEnd_RUN_ALONE)
			}
			continue
		}
		r.worked += time.Duration(float64(step) * s.speed(r) / max(1, s.slow))
		switch {
		case s.failing && r.worked > 100*time.Millisecond:
			s.end(key, controlpb.RunEnd_RUN_FAILED)
		case !r.task.Step.GetPerpetual() && r.worked >= r.length:
			s.end(key, controlpb.RunEnd_RUN_DONE)
		}
	}
}

// isTogether reports whether all members of a gang are there. One that has waited for the others for too long ends.
func (w *world) isTogether(r *simRun, key workload.RunKey, step time.Duration) bool {
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
		w.alone++
		r.waited = -time.Hour
	}
	return false
}

// checkStart checks the promises that a start could break.
func (w *world) checkStart(on *simWorker, key workload.RunKey) {
	w.t.Helper()
	task := w.state.Task(key.Task)
	if task == nil {
		w.t.Errorf("%v: %s starts, and no such job is left", w.now, key.Task)
		return
	}
	if w.done[key.Task] {
		w.t.Errorf("%s run %d starts although it was recorded as done", key.Task, key.Run)
	}
	used := task.Step.Demand()
	for other, r := range on.runs {
		used = used.Add(r.task.Step.Demand())
		if other.Task == key.Task {
			w.t.Errorf("%s runs twice on %s", key.Task, on.life.GetId())
		}
	}
	capacity := resource.Vector{Processors: on.life.GetProcessors(), Memory: on.life.GetMemory(), Accelerators: on.life.GetAccelerators()}
	if !used.Fits(capacity) {
		w.t.Errorf("%s is over its capacity: %v", on.life.GetId(), used)
	}
	for _, worker := range w.workers {
		for other, r := range worker.runs {
			if worker != on && worker.up && !r.stray && other.Task == key.Task && !task.Step.GetSpeculative() {
				w.t.Errorf("%v: %s run %d starts on %s while run %d is on %s", w.now, key.Task, key.Run, on.life.GetId(), other.Run, worker.life.GetId())
			}
		}
	}
	for _, before := range task.Step.GetAfter() {
		if task.Step.Job.Occurrences[key.Task.Occurrence][before].Undone > 0 {
			w.t.Errorf("%s starts before step %d is done", key.Task, before)
		}
	}
}

// submit hands a job in and returns the outcome.
func (w *world) submit(queue, id string, steps ...*controlpb.WorkStep) controlpb.WorkOutcome {
	w.t.Helper()
	return w.ask(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Caller{Caller: &controlpb.CallerWork{
		Verb: controlpb.CallerVerb_VERB_SUBMIT, Host: "h", Path: "/" + queue + "/" + id, Job: &controlpb.WorkJob{Spec: id, Steps: steps},
	}}}).GetWork().GetOutcome()
}

// stateOf returns the state of a job.
func (w *world) stateOf(id string) controlpb.WorkState {
	state, _ := w.state.Lookup(id)
	return state
}
