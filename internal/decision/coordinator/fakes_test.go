package coordinator_test

import (
	"maps"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/decision/coordinator"
	"galenamoor/pkg/inventory"
	"galenamoor/pkg/resource"
	"galenamoor/pkg/rules"
)

// fakeWorker simulates a worker that follows the protocol. The rate of its clock is up to 4% off.
type fakeWorker struct {
	sim          *simulation
	name         string
	zone         string
	clockRate    float64
	incarnation  uint64
	running      bool
	partitioned  bool
	delayedUntil time.Time // messages to it are delayed by seconds until then
	registered   bool
	leaseEnd     time.Time // by its own clock
	seen         uint64
	poll         int
	runs         map[string]*run
	retired      map[uint64]bool // fences that must not be started any more
	reports      map[uint64]*controlpb.TaskReport
}

// run is a task that actually runs on a worker.
type run struct {
	fence      uint64
	checkpoint uint64
	spec       *controlpb.JobSpec
	stopping   bool
}

var workerCapacity = resource.Vector{Processors: 4000, Memory: 8192}

func newFakeWorker(sim *simulation, name, zone string) *fakeWorker {
	w := &fakeWorker{sim: sim, name: name, zone: zone, clockRate: 0.96 + 0.08*sim.random.Float64()}
	w.restart()
	return w
}

// virtualDuration converts a duration on the worker's clock to virtual time.
func (w *fakeWorker) virtualDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / w.clockRate)
}

// afterUnlessRestarted runs the action after d, unless the worker has been stopped or restarted by then.
func (w *fakeWorker) afterUnlessRestarted(d time.Duration, action func()) {
	incarnation := w.incarnation
	w.sim.after(d, func() {
		if w.running && w.incarnation == incarnation {
			action()
		}
	})
}

// connected returns a function that reports whether the current incarnation of the worker is connected.
func (w *fakeWorker) connected() func() bool {
	incarnation := w.incarnation
	return func() bool { return w.running && !w.partitioned && w.incarnation == incarnation }
}

func (w *fakeWorker) extraDelay() time.Duration {
	if w.sim.now.Before(w.delayedUntil) {
		return w.sim.randomDuration(3*time.Second, 8*time.Second)
	}
	return 0
}

// restart starts a new incarnation of the worker. Tasks of the previous one are stopped first.
func (w *fakeWorker) restart() {
	w.stop()
	w.running = true
	w.incarnation++
	w.registered, w.leaseEnd, w.seen = false, time.Time{}, 0
	w.retired, w.reports = map[uint64]bool{}, map[uint64]*controlpb.TaskReport{}
	w.register()
}

func (w *fakeWorker) stop() {
	w.running = false
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		w.sim.oracle.ended(w, task, false)
	}
	w.runs = map[string]*run{}
}

func (w *fakeWorker) register() {
	if w.registered {
		return
	}
	c := &controlpb.Command{Kind: &controlpb.Command_RegisterWorker{RegisterWorker: &controlpb.RegisterWorker{
		Worker: w.name, Incarnation: w.incarnation, Capacity: &controlpb.Resources{Processors: 4000, Memory: 8192},
	}}}
	w.sim.request(&controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Command{Command: c}}, w.connected(), w.extraDelay, func(reply *controlpb.LeaderReply) {
		if !w.registered && reply.GetResult().GetCode() == controlpb.ResultCode_RESULT_OK {
			w.registered = true
			w.renewLoop()
			w.startPoll()
		}
	})
	w.afterUnlessRestarted(2*time.Second, w.register)
}

func (w *fakeWorker) renewLoop() {
	w.renew()
	w.afterUnlessRestarted(w.virtualDuration(5*time.Second), w.renewLoop)
}

func (w *fakeWorker) renew() {
	sent, reports := w.sim.now, maps.Clone(w.reports)
	renewal := &controlpb.WorkerRenewal{Worker: w.name, Incarnation: w.incarnation}
	for _, fence := range slices.Sorted(maps.Keys(reports)) {
		renewal.Reports = append(renewal.Reports, reports[fence])
	}
	w.sim.request(&controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Renewal{Renewal: renewal}}, w.connected(), w.extraDelay, func(reply *controlpb.LeaderReply) {
		if w.restartIfUnknown(reply) || reply.GetPoll() == nil {
			return
		}
		lease := time.Duration(reply.GetPoll().GetLease())
		if w.sim.faults.shortLease {
			lease += 10 * time.Second
		}
		if end := sent.Add(w.virtualDuration(lease)); end.After(w.leaseEnd) {
			w.leaseEnd = end
			w.afterUnlessRestarted(end.Sub(w.sim.now), func() {
				if !w.sim.now.Before(w.leaseEnd) {
					w.restart()
				}
			})
		}
		for fence, report := range reports {
			if w.reports[fence] == report {
				delete(w.reports, fence)
				w.sim.oracle.acknowledged(report)
			}
		}
	})
}

// restartIfUnknown restarts the worker if the leader does not know its incarnation, and reports whether it did.
func (w *fakeWorker) restartIfUnknown(reply *controlpb.LeaderReply) bool {
	if reply.GetPoll().GetUnknown() && w.registered {
		w.restart()
		return true
	}
	return false
}

func (w *fakeWorker) report(r *controlpb.TaskReport) {
	w.reports[r.GetFence()] = r
	w.afterUnlessRestarted(5*time.Millisecond, func() {
		if w.registered {
			w.renew()
		}
	})
}

// startPoll starts a long poll that is repeated after its answer or a timeout. Orders in late answers are still executed.
func (w *fakeWorker) startPoll() {
	w.poll++
	number := w.poll
	poll := &controlpb.Poll{Worker: w.name, Incarnation: w.incarnation, Seen: w.seen, Wait: int64(10 * time.Second)}
	w.sim.request(&controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Poll{Poll: poll}}, w.connected(), w.extraDelay, func(reply *controlpb.LeaderReply) {
		if w.restartIfUnknown(reply) {
			return
		}
		for _, order := range reply.GetPoll().GetOrders() {
			w.execute(order)
		}
		if w.poll != number {
			return
		}
		if reply.GetPoll() == nil {
			w.afterUnlessRestarted(100*time.Millisecond, w.repeatPoll(number))
			return
		}
		w.seen = reply.GetPoll().GetNumber()
		w.startPoll()
	})
	w.afterUnlessRestarted(12*time.Second, w.repeatPoll(number))
}

func (w *fakeWorker) repeatPoll(number int) func() {
	return func() {
		if w.poll == number {
			w.startPoll()
		}
	}
}

func (w *fakeWorker) execute(order *controlpb.WorkerOrder) {
	r := w.runs[order.GetTask()]
	running := r != nil && r.fence == order.GetFence()
	switch {
	case order.GetKind() == controlpb.WorkerOrder_START && !w.retired[order.GetFence()]:
		w.claim(order)
	case order.GetKind() == controlpb.WorkerOrder_STOP && running && !r.stopping:
		r.stopping = true
		w.afterUnlessRestarted(w.sim.randomDuration(0, 1500*time.Millisecond), func() { w.end(order.GetTask(), r, controlpb.ReportKind_REPORT_STOPPED) })
	case order.GetKind() == controlpb.WorkerOrder_STOP && !running && w.reports[order.GetFence()] == nil:
		w.retired[order.GetFence()] = !w.sim.faults.ignoreStopBefore || w.retired[order.GetFence()]
		w.report(&controlpb.TaskReport{Task: order.GetTask(), Fence: order.GetFence(), Kind: controlpb.ReportKind_REPORT_STOPPED})
	}
}

func (w *fakeWorker) claim(order *controlpb.WorkerOrder) {
	sent := w.sim.now
	claim := &controlpb.Claim{
		Worker: w.name, Incarnation: w.incarnation,
		Tasks: []*controlpb.TaskFence{{Task: order.GetTask(), Fence: order.GetFence()}},
	}
	w.sim.request(&controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Claim{Claim: claim}}, w.connected(), w.extraDelay, func(reply *controlpb.LeaderReply) {
		late := w.sim.now.Sub(sent) >= w.virtualDuration(time.Duration(reply.GetClaim().GetStartBy())) && !w.sim.faults.ignoreStartBy
		if len(reply.GetClaim().GetGranted()) == 0 || late || w.retired[order.GetFence()] || !w.sim.now.Before(w.leaseEnd) {
			return
		}
		w.start(order)
	})
}

func (w *fakeWorker) start(order *controlpb.WorkerOrder) {
	w.retired[order.GetFence()] = true
	w.sim.oracle.started(w, order)
	r := &run{fence: order.GetFence(), checkpoint: order.GetCheckpoint(), spec: order.GetSpec()}
	w.runs[order.GetTask()] = r
	w.report(&controlpb.TaskReport{Task: order.GetTask(), Fence: r.fence, Kind: controlpb.ReportKind_REPORT_RUNNING, Checkpoint: r.checkpoint})
	if order.GetSpec().GetClass() == controlpb.Class_LATENCY_CRITICAL {
		return
	}
	kind := controlpb.ReportKind_REPORT_FINISHED
	if !w.sim.faultFree && w.sim.chance(10) {
		kind = controlpb.ReportKind_REPORT_FAILED
	}
	w.afterUnlessRestarted(w.sim.randomDuration(time.Second, 15*time.Second), func() { w.end(order.GetTask(), r, kind) })
}

func (w *fakeWorker) end(task string, r *run, kind controlpb.ReportKind) {
	if w.runs[task] != r {
		return
	}
	delete(w.runs, task)
	w.sim.oracle.ended(w, task, kind == controlpb.ReportKind_REPORT_FINISHED)
	if kind != controlpb.ReportKind_REPORT_FAILED {
		r.checkpoint++
	}
	w.report(&controlpb.TaskReport{Task: task, Fence: r.fence, Kind: kind, Checkpoint: r.checkpoint})
}

// used returns the sum of the declared requests of the running tasks.
func (w *fakeWorker) used() resource.Vector {
	var used resource.Vector
	for _, r := range w.runs {
		request := r.spec.GetRequest()
		used = used.Add(resource.Vector{Processors: request.GetProcessors(), Memory: request.GetMemory()})
	}
	return used
}

// fakeEndpoint renews its announcement every second and reports its slots in use.
type fakeEndpoint struct {
	sim                 *simulation
	name                string
	incarnation         uint64
	renewalsPausedUntil time.Time
	orphanedCalls       int32 // calls of crashed gateways that still run
}

const endpointSlots = 8

func newFakeEndpoint(sim *simulation, name string) *fakeEndpoint {
	e := &fakeEndpoint{sim: sim, name: name, incarnation: 1}
	e.renew()
	return e
}

func (e *fakeEndpoint) renew() {
	if !e.sim.now.Before(e.renewalsPausedUntil) {
		e.sim.request(&controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_EndpointRenewal{EndpointRenewal: &controlpb.EndpointRenewal{
			InUse: e.inUse(),
			Endpoint: &controlpb.Endpoint{
				Name: e.name, Incarnation: e.incarnation, Service: "booth", Address: "127.0.0.1:80", Zone: zoneNames[0],
				Slots: endpointSlots, Connections: 64,
			},
		}}}, always, noDelay, func(*controlpb.LeaderReply) {})
	}
	e.sim.after(time.Second, e.renew)
}

func (e *fakeEndpoint) inUse() int32 {
	used := e.orphanedCalls
	for _, g := range e.sim.gateways {
		used += g.used[slotKey{e.name, e.incarnation}]
	}
	return used
}

type slotKey struct {
	endpoint    string
	incarnation uint64
}

// fakeGateway uses the slots that are granted in its possibly stale view, and reports every second.
type fakeGateway struct {
	sim         *simulation
	name        string
	incarnation uint64
	applied     int
	viewTime    time.Time
	view        *controlstate.View
	used        map[slotKey]int32
}

func newFakeGateway(sim *simulation, name string) *fakeGateway {
	g := &fakeGateway{sim: sim, name: name, incarnation: 1, used: map[slotKey]int32{}}
	g.runRound(0)
	return g
}

// crash restarts the gateway. It loses its calls, which still occupy slots of the endpoints for some seconds.
func (g *fakeGateway) crash() {
	g.incarnation++
	for _, e := range g.sim.endpoints {
		orphans := g.used[slotKey{e.name, e.incarnation}]
		e.orphanedCalls += orphans
		incarnation := e.incarnation
		g.sim.after(g.sim.randomDuration(0, 5*time.Second), func() {
			if e.incarnation == incarnation {
				e.orphanedCalls -= orphans
			}
		})
	}
	g.used = map[slotKey]int32{}
}

// runRound starts and ends calls every 200 ms and sends a report in every fifth round.
func (g *fakeGateway) runRound(round int) {
	if g.sim.idle { // a gateway that does not report must not use slots
		g.used = map[slotKey]int32{}
		g.sim.after(5*time.Second, func() { g.runRound(round) })
		return
	}
	if r := g.sim.leader; r != nil && (g.sim.faultFree || g.sim.chance(60)) {
		view, applied, at := r.state.View(), r.applied, g.sim.now
		g.sim.after(g.sim.randomDuration(0, time.Second), func() {
			if applied >= g.applied {
				g.view, g.applied, g.viewTime = view, applied, at
			}
		})
	}
	report := &controlpb.GatewayReport{Gateway: g.name, Incarnation: g.incarnation}
	for _, e := range g.endpoints() {
		key := slotKey{e.Name, e.Incarnation}
		slots, epoch := e.Granted(g.name, g.incarnation)
		switch fresh := g.sim.now.Sub(g.viewTime) < 2500*time.Millisecond; {
		case fresh && g.used[key] < slots && g.sim.chance(60):
			g.used[key]++
			g.sim.oracle.checkSlots(key)
		case g.used[key] > 0 && g.sim.chance(40):
			g.used[key]--
		}
		use := &controlpb.SlotUse{Endpoint: e.Name, Incarnation: e.Incarnation, InUse: g.used[key], Demand: g.demand()}
		if g.used[key] <= slots || g.sim.faults.confirmEarly {
			use.Epoch = epoch
		}
		report.Use = append(report.Use, use)
	}
	if round%5 == 0 {
		g.sim.request(&controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_GatewayReport{GatewayReport: report}}, always, noDelay, func(*controlpb.LeaderReply) {})
	}
	g.sim.after(200*time.Millisecond, func() { g.runRound(round + 1) })
}

// demand alternates between the gateways every 15 s, so that grants change.
func (g *fakeGateway) demand() int32 {
	return 12 * int32((g.sim.now.Unix()/15+int64(g.name[1]))%2)
}

func (g *fakeGateway) endpoints() []*controlstate.Endpoint {
	if g.view == nil {
		return nil
	}
	return g.view.Services["booth"]
}

// randomScheduler proposes random starts that ignore capacity, zones and earlier proposals, and evicts tasks at random. In a
// simulation without faults, it places each waiting task on the first worker with room.
type randomScheduler struct {
	sim      *simulation
	workers  map[string]*controlpb.WorkerRecord
	zones    map[string]string
	tasks    map[string]*controlpb.TaskRecord
	requests map[string]resource.Vector
	zonesOut []string
}

func newRandomScheduler(sim *simulation) coordinator.Scheduler {
	return &randomScheduler{
		sim: sim, workers: map[string]*controlpb.WorkerRecord{}, zones: map[string]string{},
		tasks: map[string]*controlpb.TaskRecord{}, requests: map[string]resource.Vector{},
	}
}

func (s *randomScheduler) Configure(_ *inventory.Inventory, _ *rules.Rules, zonesOut []string) {
	s.zonesOut = zonesOut
}

func (s *randomScheduler) WorkerChanged(w *controlpb.WorkerRecord, zone, _ string) {
	s.workers[w.GetName()], s.zones[w.GetName()] = w, zone
}
func (s *randomScheduler) WorkerRemoved(name string) { delete(s.workers, name) }

func (s *randomScheduler) TaskChanged(spec *controlpb.JobSpec, t *controlpb.TaskRecord) {
	s.tasks[t.GetName()] = t
	request := spec.GetRequest()
	s.requests[t.GetName()] = resource.Vector{Processors: request.GetProcessors(), Memory: request.GetMemory()}
}

func (s *randomScheduler) JobRemoved(name string) {
	for task := range s.tasks {
		if id, _ := controlstate.ParseTaskID(task); id.Job == name {
			delete(s.tasks, task)
		}
	}
}
func (s *randomScheduler) Usage(time.Time, string, []*controlpb.Usage)    {}
func (s *randomScheduler) ProposalRejected(time.Time, *controlpb.Command) {}

func (s *randomScheduler) Pass(time.Time) []*controlpb.Command {
	var out []*controlpb.Command
	used := map[string]resource.Vector{}
	for name, t := range s.tasks {
		if t.GetWorker() != "" {
			used[t.GetWorker()] = used[t.GetWorker()].Add(s.requests[name])
		}
	}
	workers := slices.Sorted(maps.Keys(s.workers))
	for _, name := range slices.Sorted(maps.Keys(s.tasks)) {
		t := s.tasks[name]
		switch {
		case t.GetState() == controlpb.TaskState_WAITING && s.sim.faultFree:
			for _, w := range workers {
				total := used[w].Add(s.requests[name])
				if !s.workers[w].GetLost() && total.Fits(workerCapacity) && !slices.Contains(s.zonesOut, s.zones[w]) {
					used[w] = total
					out = append(out, s.start(name, w))
					break
				}
			}
		case t.GetState() == controlpb.TaskState_WAITING && len(workers) > 0 && s.sim.chance(25):
			out = append(out, s.start(name, workers[s.sim.random.IntN(len(workers))]))
		case t.GetWorker() != "" && t.GetState() != controlpb.TaskState_STOPPING && !s.sim.faultFree && !s.sim.idle && s.sim.chance(4):
			out = append(out, &controlpb.Command{Kind: &controlpb.Command_StopTask{StopTask: &controlpb.StopTask{
				Task: name, Fence: t.GetFence(), Reason: controlpb.StopReason_EVICT_PREEMPTED,
			}}})
		}
	}
	return out
}

func (s *randomScheduler) start(task, worker string) *controlpb.Command {
	return &controlpb.Command{Kind: &controlpb.Command_StartTask{StartTask: &controlpb.StartTask{
		Task: task, Worker: worker, Incarnation: s.workers[worker].GetIncarnation(),
	}}}
}
