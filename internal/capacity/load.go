package capacity

import (
	"fmt"
	"strings"
	"time"

	"galenamoor/internal/controlpb"
)

const (
	zones            = 6
	services         = 10
	tasksPerJob      = 100
	teams            = 66
	workersPerRack   = 11
	incarnation      = 1_799_999_000_000_000_000 // of workers, endpoints and gateways: start time in Unix nanoseconds
	slotsPerExecutor = 8
)

// Inventory returns the inventory of the region in its text form.
func (s Size) Inventory() string {
	b := &strings.Builder{}
	b.WriteString("[Inventory]\nFormat = 1\nRegion = bench\n")
	for zone := range zones {
		fmt.Fprintf(b, "[Zone zone-%d]\n", zone)
	}
	for w := range s.Workers {
		fmt.Fprintf(b, "[Worker worker-%04d]\nZone = zone-%d\nRack = rack-%02d\nProcessors = 64\nMemory = 250GB\n", w, w%zones, w/workersPerRack)
	}
	for n := range min(services, s.Executors) {
		fmt.Fprintf(b, "[Service service-%d]\nTeam = team-%d\nExecutors = %d\nProcessors = 1\nMemory = 2GB\nSlots = %d\nConnections = 64\n",
			n, n, s.Executors/services, slotsPerExecutor)
	}
	return b.String()
}

// rulesText returns the region's rules in their text form.
func rulesText() string {
	b := &strings.Builder{}
	b.WriteString("[Rules]\nFormat = 1\n")
	for n := range teams {
		fmt.Fprintf(b, "[Team team-%d]\nProcessors = 10000\nMemory = 40000GB\n", n)
	}
	return b.String()
}

// Load configures the region, registers its workers and starts its endpoints, gateways and batch jobs.
func (sim *Simulation) Load() error {
	sim.Configure(0)
	sim.Run(time.Second)
	for i := range sim.Size.Workers {
		w := &worker{name: fmt.Sprintf("worker-%04d", i), daemon: sim.daemons[i%len(sim.daemons)], tasks: map[string]uint64{}}
		sim.workers[w.name] = w
		sim.schedule(time.Duration(sim.random.Int64N(int64(renewInterval))), func() { sim.register(w) })
	}
	for n := range sim.Size.Executors {
		sim.schedule(time.Duration(sim.random.Int64N(int64(announceInterval))), func() { sim.announceEndpoint(n) })
	}
	for _, d := range sim.daemons {
		sim.schedule(time.Duration(sim.random.Int64N(int64(slotReportInterval))), func() { sim.reportSlots(d) })
	}
	sim.Run(renewInterval + time.Second)
	for range (sim.Size.BatchTasks + tasksPerJob - 1) / tasksPerJob {
		sim.submitJob()
	}
	sim.initialLoad = true
	sim.Run(20 * time.Second)
	sim.initialLoad = false
	if sim.Size.StartsPerSecond > 0 {
		sim.submitContinuously()
	}
	return sim.err
}

// Configure applies the region's configuration, replacing the given version.
func (sim *Simulation) Configure(version uint64) {
	sim.keyedRequests++
	sim.submitRequest(sim.daemons[0], "configuration", commandRequest(&controlpb.Command{Kind: &controlpb.Command_ApplyConfiguration{
		ApplyConfiguration: &controlpb.ApplyConfiguration{
			RequestKey: sim.requestKey(), BaseVersion: version, Inventory: sim.Size.Inventory(), Rules: rulesText(), Operator: "operator",
		},
	}}), func(r *controlpb.LeaderReply) {
		if r.GetResult().GetCode() != controlpb.ResultCode_RESULT_OK {
			sim.recordError(fmt.Errorf("configuration: %v", r.GetResult()))
		}
	})
}

func (sim *Simulation) requestKey() string {
	return fmt.Sprintf("%d-%08d", sim.now.Unix(), sim.keyedRequests)
}

func commandRequest(c *controlpb.Command) *controlpb.LeaderRequest {
	return &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Command{Command: c}}
}

// submitContinuously submits jobs continuously, at a rate that starts StartsPerSecond tasks per second.
func (sim *Simulation) submitContinuously() {
	sim.submitJob()
	sim.schedule(time.Second*tasksPerJob/time.Duration(sim.Size.StartsPerSecond), sim.submitContinuously)
}

func (sim *Simulation) submitJob() {
	sim.keyedRequests++
	spec := &controlpb.JobSpec{
		Name: fmt.Sprintf("batch-job-%06d", sim.keyedRequests), Team: fmt.Sprintf("team-%d", sim.keyedRequests%teams), Kind: fmt.Sprintf("kind-%d", sim.keyedRequests%60),
		Tasks: tasksPerJob, Request: &controlpb.Resources{Processors: 1000, Memory: 4096}, RunTime: int64(sim.Size.runTime()),
		Deadline: sim.now.Add(8 * time.Hour).UnixNano(), Checkpoints: true,
	}
	sim.submitRequest(sim.daemons[sim.keyedRequests%len(sim.daemons)], "job", commandRequest(&controlpb.Command{Kind: &controlpb.Command_SubmitJob{
		SubmitJob: &controlpb.SubmitJob{RequestKey: sim.requestKey(), Spec: spec},
	}}), func(*controlpb.LeaderReply) {})
}

func (sim *Simulation) register(w *worker) {
	sim.submitRequest(w.daemon, "registration", commandRequest(&controlpb.Command{Kind: &controlpb.Command_RegisterWorker{RegisterWorker: &controlpb.RegisterWorker{
		Worker: w.name, Incarnation: incarnation, Capacity: &controlpb.Resources{Processors: 64_000, Memory: 250 << 10},
	}}}), func(*controlpb.LeaderReply) {
		sim.renewLoop(w)
		sim.poll(w)
	})
}

func (sim *Simulation) renewLoop(w *worker) {
	sim.renew(w, nil)
	sim.schedule(renewInterval, func() { sim.renewLoop(w) })
}

// renew renews the worker's lease, with reports and the usage of all its tasks, as the stand-in worker does.
func (sim *Simulation) renew(w *worker, reports []*controlpb.TaskReport) {
	renewal := &controlpb.WorkerRenewal{Worker: w.name, Incarnation: incarnation, Reports: reports}
	for task, fence := range w.tasks {
		if sim.Size.DeltaReports && reports != nil && sim.now.Sub(w.lastUsage) < usageInterval {
			break // replica.Replica omits the usage as well
		}
		renewal.Usage = append(renewal.Usage, &controlpb.Usage{
			Task: task, Fence: fence, Used: &controlpb.Resources{Processors: 700 + sim.random.Int64N(300), Memory: 3000 + sim.random.Int64N(1000)},
			Latency: int64(sim.random.IntN(50_000_000)), Age: int64(sim.random.IntN(5_000_000_000)),
		})
	}
	if len(renewal.Usage) > 0 {
		w.lastUsage = sim.now
	}
	kind := "renewal"
	if reports != nil {
		kind = "renewal with report"
	}
	sim.submitRequest(w.daemon, kind, &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Renewal{Renewal: renewal}}, func(*controlpb.LeaderReply) {})
}

func (sim *Simulation) poll(w *worker) {
	poll := &controlpb.Poll{Worker: w.name, Incarnation: incarnation, Seen: w.ordersNumber, Wait: int64(pollTimeout)}
	sim.submitRequest(w.daemon, "poll", &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Poll{Poll: poll}}, func(r *controlpb.LeaderReply) {
		if number := r.GetPoll().GetNumber(); number != 0 {
			w.ordersNumber = number
		}
		sim.execute(w, r.GetPoll().GetOrders())
		sim.schedule(networkDelay, func() { sim.poll(w) })
	})
}

// execute executes orders: it claims all tasks to be started, and ends those to be stopped.
func (sim *Simulation) execute(w *worker, orders []*controlpb.WorkerOrder) {
	claim := &controlpb.Claim{Worker: w.name, Incarnation: incarnation}
	for _, order := range orders {
		switch order.GetKind() {
		case controlpb.WorkerOrder_START:
			claim.Tasks = append(claim.Tasks, &controlpb.TaskFence{Task: order.GetTask(), Fence: order.GetFence()})
		case controlpb.WorkerOrder_STOP:
			sim.endTask(w, order.GetTask(), order.GetFence(), controlpb.ReportKind_REPORT_STOPPED)
		}
	}
	if len(claim.Tasks) == 0 {
		return
	}
	sim.submitRequest(w.daemon, "claim", &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Claim{Claim: claim}}, func(r *controlpb.LeaderReply) {
		for _, granted := range r.GetClaim().GetGranted() {
			sim.startTask(w, granted.GetTask(), granted.GetFence())
		}
	})
}

func (sim *Simulation) startTask(w *worker, task string, fence uint64) {
	w.tasks[task] = fence
	sim.renew(w, []*controlpb.TaskReport{{Task: task, Fence: fence, Kind: controlpb.ReportKind_REPORT_RUNNING}})
	if sim.Size.StartsPerSecond > 0 && strings.HasPrefix(task, "batch") {
		run := sim.Size.runTime()
		if sim.initialLoad { // a random run time, so that tasks end at the rate at which they start
			run = time.Duration(sim.random.Int64N(int64(run)))
		}
		sim.schedule(run, func() {
			sim.endTask(w, task, fence, controlpb.ReportKind_REPORT_FINISHED)
		})
	}
}

func (sim *Simulation) endTask(w *worker, task string, fence uint64, kind controlpb.ReportKind) {
	if w.tasks[task] == fence {
		delete(w.tasks, task)
	}
	sim.renew(w, []*controlpb.TaskReport{{Task: task, Fence: fence, Kind: kind}})
}

func endpointName(n int) string {
	return fmt.Sprintf("service-%d-executor-%04d", n%services, n/services)
}

// announceEndpoint announces an endpoint, and schedules its next announcement.
func (sim *Simulation) announceEndpoint(n int) {
	renewal := &controlpb.EndpointRenewal{InUse: int32(sim.random.IntN(slotsPerExecutor)), Endpoint: &controlpb.Endpoint{
		Name: endpointName(n), Incarnation: incarnation, Service: fmt.Sprintf("service-%d", n%services),
		Address: fmt.Sprintf("10.1.%d.%d:8080", n/250, n%250), Zone: fmt.Sprintf("zone-%d", n%zones), Slots: slotsPerExecutor, Connections: 64,
	}}
	sim.submitRequest(sim.daemons[n%len(sim.daemons)], "endpoint renewal",
		&controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_EndpointRenewal{EndpointRenewal: renewal}}, func(*controlpb.LeaderReply) {})
	sim.schedule(announceInterval, func() { sim.announceEndpoint(n) })
}

// reportSlots reports the slots in use at all endpoints in the daemon's view, as gateway.Gateway does, and schedules the
// next report.
func (sim *Simulation) reportSlots(d *daemon) {
	report := &controlpb.GatewayReport{Gateway: d.name, Incarnation: incarnation}
	for _, endpoints := range d.core.View().Services {
		for _, e := range endpoints {
			slots, epoch := e.Granted(d.name, incarnation)
			report.Use = append(report.Use, &controlpb.SlotUse{
				Endpoint: e.Name, Incarnation: e.Incarnation, InUse: sim.random.Int32N(slots + 1), Demand: 1, Epoch: epoch,
			})
		}
	}
	if sim.Size.DeltaReports {
		report = d.slotReports.Reduce(sim.now, d.core.Status().Term, report, func(e string) string { return e[:len("service-0")] })
		defer d.slotReports.Accepted(sim.now)
	}
	sim.submitRequest(d, "gateway report", &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_GatewayReport{GatewayReport: report}},
		func(*controlpb.LeaderReply) {})
	sim.schedule(slotReportInterval, func() { sim.reportSlots(d) })
}
