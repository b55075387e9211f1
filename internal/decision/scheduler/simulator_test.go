package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"galenamoor/internal/controlpb"
	"galenamoor/pkg/inventory"
	"galenamoor/pkg/resource"
	"galenamoor/pkg/rules"
)

const (
	serviceName       = "front"
	baseLatency       = 10 * time.Millisecond
	latencyBound      = 3 * baseLatency
	requestsPerSecond = 200
)

// simulator replaces the state machine, the workers and the gateways. Time is virtual and all random choices are seeded.
type simulator struct {
	s             *Scheduler
	random        *rand.Rand // for run times, latencies and delays; the workload has its own source, so that it is the same for all schedulers
	now           time.Time
	workers       []*simulatedWorker
	workersByName map[string]*simulatedWorker
	jobs          []*simulatedJob
	tasks         map[string]*simulatedTask
	serviceTasks  []*simulatedTask
	events        []event // sorted by time
	fence         uint64
	zones         []string
	zonesOut      map[string]bool
	inv           *inventory.Inventory
	rules         *rules.Rules
	kindSlowdown  map[string]float64 // slowdown of the service per task of a kind, unknown to the scheduler
	inWave        bool               // in a wave of noisy tasks other than the first
	step          time.Duration
	onAccepted    func(*controlpb.Command) // called for each accepted command
	metrics       metrics
}

type event struct {
	at time.Time
	do func()
}

type simulatedWorker struct {
	record     *controlpb.WorkerRecord
	zone, rack string
	capacity   resource.Vector
	charged    resource.Vector
	failsAll   bool
	slowdown   float64
	tasks      []*simulatedTask
}

type simulatedJob struct {
	spec        *controlpb.JobSpec
	size        resource.Vector // true size of one task
	submitted   time.Time
	poison      bool // fails on every worker
	tasks       []*simulatedTask
	done        int
	cancelled   bool
	cancelledAt time.Time
	met         bool
}

type simulatedTask struct {
	job             *simulatedJob
	record          *controlpb.TaskRecord
	worker          *simulatedWorker
	charge          resource.Vector
	work            float64 // seconds at full speed
	progress        float64
	started         bool
	smoothedLatency float64
}

// metrics are the results of one run.
type metrics struct {
	latency, noisyLatency, latencyWithoutInterference *hdrhistogram.Histogram // microseconds: all, in noisy waves after the first, and in these without the interference
	withinBound, requests, noExecutor                 int64
	work, workDuringZoneOut                           float64 // core-seconds of batch tasks: in all, and while a zone is out of service
	evictions                                         int
	reasons                                           [7]int                  // evictions by reason
	throttledWork                                     float64                 // core-seconds not done because of throttles
	lostWork                                          float64                 // core-seconds
	urgentStart                                       *hdrhistogram.Histogram // milliseconds until running
	rejected, failures, memoryExceeded                int
	met                                               map[string]bool
}

func newSimulator(s *Scheduler, seed uint64, zones []string, workers, perRack int, capacity resource.Vector) *simulator {
	sim := &simulator{
		s: s, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_800_000_000, 0), workersByName: map[string]*simulatedWorker{},
		step: 100 * time.Millisecond, onAccepted: func(*controlpb.Command) {},
		tasks: map[string]*simulatedTask{}, zones: zones, zonesOut: map[string]bool{}, kindSlowdown: map[string]float64{},
		inv: &inventory.Inventory{Zones: zones}, rules: &rules.Rules{},
		metrics: metrics{
			latency: hdrhistogram.New(1, 100_000_000, 3), noisyLatency: hdrhistogram.New(1, 100_000_000, 3),
			latencyWithoutInterference: hdrhistogram.New(1, 100_000_000, 3), urgentStart: hdrhistogram.New(1, 1_000_000, 5), met: map[string]bool{},
		},
	}
	s.Configure(sim.inv, sim.rules, nil)
	for i := range workers {
		zone := zones[i%len(zones)]
		w := &simulatedWorker{
			zone: zone, rack: fmt.Sprintf("%s-r%d", zone, i/len(zones)/perRack), capacity: capacity, slowdown: 1,
			record: &controlpb.WorkerRecord{Name: fmt.Sprintf("w%04d", i), Incarnation: 1, Capacity: controlpb.NewResources(capacity)},
		}
		sim.workers = append(sim.workers, w)
		sim.workersByName[w.record.Name] = w
		s.WorkerChanged(w.record, w.zone, w.rack)
	}
	return sim
}

// at schedules an event.
func (sim *simulator) at(t time.Time, do func()) {
	i, _ := slices.BinarySearchFunc(sim.events, t, func(e event, t time.Time) int {
		if e.at.After(t) {
			return 1
		}
		return -1
	})
	sim.events = slices.Insert(sim.events, i, event{t, do})
}

// after schedules an event at a random time between low and high from now.
func (sim *simulator) after(low, high time.Duration, do func()) {
	sim.at(sim.now.Add(low+time.Duration(sim.random.Int64N(int64(high-low)+1))), do)
}

func (sim *simulator) run(length time.Duration) {
	for end := sim.now.Add(length); sim.now.Before(end); sim.now = sim.now.Add(sim.step) {
		for len(sim.events) > 0 && !sim.events[0].at.After(sim.now) {
			e := sim.events[0]
			sim.events = sim.events[1:]
			e.do()
		}
		for _, c := range sim.s.Pass(sim.now) {
			if !sim.apply(c) {
				sim.metrics.rejected++
				sim.s.ProposalRejected(sim.now, c)
				continue
			}
			sim.onAccepted(c)
		}
		if sim.now.Sub(sim.now.Truncate(time.Second)) == 0 {
			sim.tick()
		}
	}
}

func (sim *simulator) submit(j *simulatedJob, work []float64) {
	j.submitted = sim.now
	sim.jobs = append(sim.jobs, j)
	for i, w := range work {
		t := &simulatedTask{job: j, work: w, record: &controlpb.TaskRecord{Name: fmt.Sprintf("%s/%d", j.spec.Name, i)}}
		j.tasks = append(j.tasks, t)
		sim.tasks[t.record.Name] = t
		sim.setState(t, controlpb.TaskState_WAITING)
	}
}

func (sim *simulator) setState(t *simulatedTask, state controlpb.TaskState) {
	t.record.State, t.record.Since = state, sim.now.UnixNano()
	sim.s.TaskChanged(t.job.spec, t.record)
}

// apply checks and applies a command as the state machine does.
func (sim *simulator) apply(c *controlpb.Command) bool {
	switch k := c.Kind.(type) {
	case *controlpb.Command_StartTask:
		return sim.start(sim.tasks[k.StartTask.Task], sim.workersByName[k.StartTask.Worker], k.StartTask)
	case *controlpb.Command_StopTask:
		t := sim.tasks[k.StopTask.Task]
		if t.record.Fence != k.StopTask.Fence || t.worker == nil || t.record.State == controlpb.TaskState_STOPPING {
			return false
		}
		sim.metrics.reasons[k.StopTask.Reason]++
		sim.stop(t, false)
	case *controlpb.Command_ThrottleTask:
		t := sim.tasks[k.ThrottleTask.Task]
		if t.record.Fence != k.ThrottleTask.Fence || t.record.State != controlpb.TaskState_RUNNING {
			return false
		}
		t.record.Throttle = k.ThrottleTask.Percent
		sim.s.TaskChanged(t.job.spec, t.record)
	}
	return true
}

func (sim *simulator) start(t *simulatedTask, w *simulatedWorker, c *controlpb.StartTask) bool {
	charge := t.job.spec.Request.Vector()
	if c.Charge != nil {
		charge = c.Charge.Vector()
	}
	if t.record.State != controlpb.TaskState_WAITING || sim.zonesOut[w.zone] || !w.charged.Add(charge).Fits(w.capacity) {
		return false
	}
	sim.fence++
	t.worker, t.charge, t.started = w, charge, true
	w.charged = w.charged.Add(charge)
	w.tasks = append(w.tasks, t)
	t.record.Worker, t.record.Fence, t.record.Throttle, t.record.Charge = w.record.Name, sim.fence, 100, controlpb.NewResources(charge)
	sim.setState(t, controlpb.TaskState_STARTING)
	fence := sim.fence
	sim.after(100*time.Millisecond, 500*time.Millisecond, func() {
		if t.record.Fence == fence && t.record.State == controlpb.TaskState_STARTING {
			sim.markRunning(t, fence)
		}
	})
	return true
}

// markRunning records that a task runs, and schedules its failure if its worker or job is set to fail.
func (sim *simulator) markRunning(t *simulatedTask, fence uint64) {
	sim.setState(t, controlpb.TaskState_RUNNING)
	if t.job.spec.Urgent && t.record.Evictions == 0 && t.record.Failures == 0 {
		_ = sim.metrics.urgentStart.RecordValue(sim.now.Sub(t.job.submitted).Milliseconds())
	}
	if t.job.spec.Service != "" {
		sim.serviceTasks = append(sim.serviceTasks, t)
	}
	if t.worker.failsAll && t.job.spec.Service == "" || t.job.poison {
		sim.after(time.Second, 3*time.Second, func() {
			if t.record.Fence == fence && t.record.State == controlpb.TaskState_RUNNING {
				t.record.Failures++
				sim.metrics.failures++
				sim.endRun(t, controlpb.TaskState_WAITING)
			}
		})
	}
}

// stop ends a task after at most 1.2 s. A task without checkpoints loses its work.
func (sim *simulator) stop(t *simulatedTask, cancel bool) {
	sim.setState(t, controlpb.TaskState_STOPPING)
	fence := t.record.Fence
	sim.after(200*time.Millisecond, 1200*time.Millisecond, func() {
		if t.record.Fence != fence || t.record.State != controlpb.TaskState_STOPPING {
			return
		}
		if cancel {
			sim.endRun(t, controlpb.TaskState_CANCELLED)
			return
		}
		t.record.Evictions++
		sim.metrics.evictions++
		kept := t.progress
		if !t.job.spec.Checkpoints {
			kept = 0
		}
		// A resumed task repeats up to 5 s of work.
		kept = max(0, kept-5)
		sim.metrics.lostWork += (t.progress - kept) * float64(t.job.size.Processors) / 1000
		t.progress = kept
		sim.endRun(t, controlpb.TaskState_WAITING)
	})
}

// endRun releases the worker of a task and sets the task's state.
func (sim *simulator) endRun(t *simulatedTask, state controlpb.TaskState) {
	w := t.worker
	w.charged = w.charged.Sub(t.charge)
	w.tasks = slices.DeleteFunc(w.tasks, func(o *simulatedTask) bool { return o == t })
	sim.serviceTasks = slices.DeleteFunc(sim.serviceTasks, func(o *simulatedTask) bool { return o == t })
	t.worker, t.record.Worker, t.record.Charge = nil, "", nil
	sim.setState(t, state)
}

func (sim *simulator) cancel(j *simulatedJob) {
	j.cancelled, j.cancelledAt = true, sim.now
	for _, t := range j.tasks {
		t.record.Cancel = true
		switch t.record.State {
		case controlpb.TaskState_WAITING:
			sim.setState(t, controlpb.TaskState_CANCELLED)
		case controlpb.TaskState_STARTING, controlpb.TaskState_RUNNING:
			sim.stop(t, true)
		}
	}
}

func (sim *simulator) setZone(zone string, out bool) {
	sim.zonesOut[zone] = out
	var list []string
	for _, z := range sim.zones {
		if sim.zonesOut[z] {
			list = append(list, z)
		}
	}
	sim.s.Configure(sim.inv, sim.rules, list)
}

// load returns the load of the service as a multiple of its mean. It varies by a quarter over a period of 40 minutes.
func (sim *simulator) load() float64 {
	return 1 + 0.25*math.Sin(2*math.Pi*float64(sim.now.Unix()%2400)/2400)
}

// tick advances all tasks by one second and samples the latency of the service.
func (sim *simulator) tick() {
	for i, w := range sim.workers {
		demand, interference, memory := 0.0, 0.0, int64(0)
		for _, t := range w.tasks {
			if t.record.State == controlpb.TaskState_STARTING {
				continue
			}
			share := float64(t.record.Throttle) / 100
			demand += float64(t.job.size.Processors) * share
			memory += t.job.size.Memory
			// A task takes a larger share of the caches and memory channels of a small worker.
			interference += sim.kindSlowdown[t.job.spec.Kind] * share * 64_000 / float64(w.capacity.Processors)
		}
		if memory > w.capacity.Memory {
			sim.metrics.memoryExceeded++
		}
		contention := max(1, demand/float64(w.capacity.Processors))
		// The slowdown grows with the square of the contention for processors and is at most 8.
		w.slowdown = min(8, (1+interference*sim.load())*contention*contention)
		for _, t := range slices.Clone(w.tasks) {
			sim.advanceTask(t, contention)
		}
		if (sim.now.Unix()+int64(i))%5 == 0 {
			sim.report(w, contention)
		}
	}
	sim.routeRequests()
}

func (sim *simulator) advanceTask(t *simulatedTask, contention float64) {
	if t.record.State != controlpb.TaskState_RUNNING || t.job.spec.Service != "" {
		return
	}
	speed := float64(t.record.Throttle) / 100 / contention
	done := min(speed, t.work-t.progress)
	t.progress += done
	work := done * float64(t.job.size.Processors) / 1000
	sim.metrics.work += work
	sim.metrics.throttledWork += (1/contention - speed) * float64(t.job.size.Processors) / 1000
	for _, out := range sim.zonesOut {
		if out {
			sim.metrics.workDuringZoneOut += work
		}
	}
	if t.progress < t.work {
		return
	}
	sim.endRun(t, controlpb.TaskState_FINISHED)
	if t.job.done++; t.job.done == len(t.job.tasks) {
		t.job.met = t.job.spec.Deadline != 0 && sim.now.UnixNano() <= t.job.spec.Deadline
		sim.metrics.met[t.job.spec.Name] = t.job.met
	}
}

// report sends a worker's usage. It is noisy and arrives 5 to 30 s late.
func (sim *simulator) report(w *simulatedWorker, contention float64) {
	var usage []*controlpb.Usage
	for _, t := range w.tasks {
		if t.record.State == controlpb.TaskState_STARTING {
			continue
		}
		noise := 0.9 + 0.1*sim.random.Float64()
		u := &controlpb.Usage{Task: t.record.Name, Fence: t.record.Fence, Used: controlpb.NewResources(resource.Vector{
			Processors: int64(float64(t.job.size.Processors) * noise * float64(t.record.Throttle) / 100 / contention),
			Memory:     int64(float64(t.job.size.Memory) * noise),
		})}
		if t.job.spec.Service != "" {
			p99 := float64(baseLatency) * sim.load() * w.slowdown * math.Exp(2.33*0.25+0.2*sim.random.NormFloat64())
			u.Latency = int64(p99)
		} else {
			u.Progress = int32(1000 * t.progress / t.work)
		}
		usage = append(usage, u)
	}
	measured := sim.now
	sim.after(5*time.Second, 30*time.Second, func() {
		for _, u := range usage {
			u.Age = int64(sim.now.Sub(measured))
		}
		sim.s.Usage(sim.now, w.record.Name, usage)
	})
}

// routeRequests routes requests as the gateways do: to the one of two random service tasks with the lower smoothed latency.
func (sim *simulator) routeRequests() {
	for range requestsPerSecond {
		sim.metrics.requests++
		if len(sim.serviceTasks) == 0 {
			sim.metrics.noExecutor++
			continue
		}
		t, other := sim.serviceTasks[sim.random.IntN(len(sim.serviceTasks))], sim.serviceTasks[sim.random.IntN(len(sim.serviceTasks))]
		if other.smoothedLatency < t.smoothedLatency {
			t = other
		}
		latency := float64(baseLatency) * sim.load() * t.worker.slowdown * math.Exp(0.25*sim.random.NormFloat64())
		t.smoothedLatency += 0.2 * (latency - t.smoothedLatency)
		_ = sim.metrics.latency.RecordValue(int64(latency) / 1000)
		if sim.inWave {
			_ = sim.metrics.noisyLatency.RecordValue(int64(latency) / 1000)
			_ = sim.metrics.latencyWithoutInterference.RecordValue(int64(latency/t.worker.slowdown) / 1000)
		}
		if time.Duration(latency) <= latencyBound {
			sim.metrics.withinBound++
		}
	}
}

// sortedKinds returns the names of kinds in alphabetical order.
func sortedKinds(kinds map[string]float64) []string {
	var names []string
	for name := range kinds {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
