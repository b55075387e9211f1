package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/placement"
	"galenamoor/pkg/resource"
	"galenamoor/pkg/rules"
)

func cores(n int64) resource.Vector { return resource.Vector{Processors: n * 1000, Memory: n * 1024} }

func newSmallSimulator(workers int) *simulator {
	return newSimulator(New(Default()), 1, []string{"a", "b", "c"}, workers, 4, cores(64))
}

// submitBatch submits a batch job of equal tasks; change, if not nil, alters the job before.
func submitBatch(sim *simulator, name string, tasks int, size int64, seconds float64, change func(*simulatedJob)) *simulatedJob {
	j := &simulatedJob{size: cores(size), spec: &controlpb.JobSpec{
		Name: name, Kind: "k", Team: "t", RunTime: int64(seconds * float64(time.Second)), Request: controlpb.NewResources(cores(size)),
	}}
	if change != nil {
		change(j)
	}
	sim.submit(j, slices.Repeat([]float64{seconds}, tasks))
	return j
}

func markUrgent(j *simulatedJob) { j.spec.Urgent = true }

func countStates(j *simulatedJob) (waiting, active, finished int) {
	for _, t := range j.tasks {
		switch t.record.State {
		case controlpb.TaskState_WAITING:
			waiting++
		case controlpb.TaskState_FINISHED:
			finished++
		default:
			active++
		}
	}
	return waiting, active, finished
}

// TestUrgentStartsIn2400Ms guards against urgent tasks that wait too long when 380 of them a second arrive at 970 workers full
// of batch tasks, and against more than the one eviction that each start needs.
func TestUrgentStartsIn2400Ms(t *testing.T) {
	sim := newSmallSimulator(970)
	sim.step = PassInterval
	submitBatch(sim, "batch", 970*8, 8, 1e6, func(j *simulatedJob) {
		j.spec.Checkpoints = true
		j.spec.Deadline = sim.now.UnixNano() // without slack the batch tasks fill the reserved workers too
	})
	sim.run(15 * time.Second)
	if waiting, _, _ := countStates(sim.jobs[0]); waiting > 0 {
		t.Fatalf("%d tasks wait before the urgent work comes", waiting)
	}
	const ticks, perTick = 50, 38
	for i := range ticks {
		sim.at(sim.now.Add(time.Duration(i)*100*time.Millisecond), func() { submitBatch(sim, fmt.Sprint("urgent", i), perTick, 8, 1e6, markUrgent) })
	}
	sim.run(ticks*100*time.Millisecond + 2400*time.Millisecond)
	if n, worst := sim.metrics.urgentStart.TotalCount(), sim.metrics.urgentStart.Max(); n != ticks*perTick || worst > 2400 {
		t.Errorf("%d of %d urgent tasks run, the slowest after %d ms", n, ticks*perTick, worst)
	}
	if sim.metrics.evictions > ticks*perTick {
		t.Errorf("%d evictions for %d urgent tasks of the same size", sim.metrics.evictions, ticks*perTick)
	}
}

// TestFewestAndCheapestEvictions guards against evicting many small tasks where one large task is enough, and against evicting
// a task that loses its work where one with checkpoints would do.
func TestFewestAndCheapestEvictions(t *testing.T) {
	sim := newSimulator(New(Default()), 1, []string{"a"}, 3, 4, cores(64))
	checkpointed := submitBatch(sim, "checkpointed", 1, 60, 1e6, func(j *simulatedJob) { j.spec.Checkpoints = true })
	sim.run(5 * time.Second) // it has run longer than the others, but loses less
	submitBatch(sim, "long", 1, 60, 1e6, nil)
	submitBatch(sim, "small", 8, 8, 1e6, func(j *simulatedJob) { j.spec.Checkpoints = true })
	sim.run(time.Minute)
	submitBatch(sim, "now", 1, 32, 10, markUrgent)
	sim.run(5 * time.Second)
	if waiting, _, _ := countStates(checkpointed); sim.metrics.evictions != 1 || waiting != 1 {
		t.Errorf("%d evictions, the task with a checkpoint among them: %v", sim.metrics.evictions, waiting == 1)
	}
}

// TestZoneOutAndReturn guards against starts in a zone that is out of service, tasks left running there, a refill faster than a
// tenth of the zone per interval, and batch tasks that start in the returned zone before waiting services.
func TestZoneOutAndReturn(t *testing.T) {
	sim := newSmallSimulator(12)
	sim.setZone("b", true)
	sim.setZone("c", true)
	service := func(j *simulatedJob) { j.spec.Class, j.spec.Service = controlpb.Class_LATENCY_CRITICAL, "front" }
	front := submitBatch(sim, "front", 14, 20, 0, service) // 12 fit in zone a
	submitBatch(sim, "batch", 400, 2, 1e6, nil)
	sim.run(10 * time.Second)
	started := map[time.Duration]resource.Vector{}
	var first string
	var returned time.Time
	sim.onAccepted = func(c *controlpb.Command) {
		start := c.GetStartTask()
		if start == nil {
			return
		}
		zone := sim.workersByName[start.Worker].zone
		if sim.zonesOut[zone] {
			t.Errorf("%s started in zone %s, which is out", start.Task, zone)
		}
		if zone == "b" && !returned.IsZero() {
			if first == "" {
				first = start.Task
			}
			window := sim.now.Sub(returned) / refillInterval
			started[window] = started[window].Add(sim.tasks[start.Task].charge)
		}
	}
	returned = sim.now
	sim.setZone("b", false)
	sim.run(9 * refillInterval)
	tenth := sim.s.planner.ZoneCapacity("b").Processors / 10
	for window, sum := range started {
		if sum.Processors > tenth {
			t.Errorf("%v started in the %dth interval, more than a tenth of the zone", sum, window)
		}
	}
	if len(started) < 8 {
		t.Errorf("the zone was filled in %d intervals only", len(started))
	}
	sim.run(5 * refillInterval)
	if waiting, _, _ := countStates(front); waiting > 0 {
		t.Errorf("%d executors wait", waiting)
	}
	if sim.tasks[first].job != front {
		t.Errorf("%s was the first to start in the returned zone, before waiting executors", first)
	}
	sim.setZone("b", true)
	sim.run(3 * time.Second)
	for _, w := range sim.workers {
		if w.zone == "b" && len(w.tasks) > 0 {
			t.Errorf("%d tasks are left on %s in a zone that is out", len(w.tasks), w.record.Name)
		}
	}
}

// TestImpossibleJobsDoNotBlock guards against jobs that never fit or fail everywhere and that block the queue, get no verdict
// or keep failing.
func TestImpossibleJobsDoNotBlock(t *testing.T) {
	sim := newSmallSimulator(6)
	soon := func(j *simulatedJob) { j.spec.Deadline = sim.now.Add(time.Second).UnixNano() }
	for i := range 600 {
		submitBatch(sim, fmt.Sprint("huge", i), 1, 65, 1, soon)
	}
	poison := submitBatch(sim, "poison", 4, 1, 100, func(j *simulatedJob) { soon(j); j.poison = true })
	for i := range 20 {
		submitBatch(sim, fmt.Sprint("before", i), 1, 1, 5, nil)
	}
	sim.run(40 * time.Second)
	fine := submitBatch(sim, "fine", 10, 1, 5, nil)
	sim.run(10 * time.Second)
	if _, _, finished := countStates(fine); finished != 10 {
		t.Errorf("%d of 10 tasks behind impossible jobs are finished", finished)
	}
	if e := sim.s.Explanation("huge0/0"); e.Verdict != NeverFits {
		t.Errorf("a job that never fits is explained by %+v", e)
	}
	failures := sim.metrics.failures
	sim.run(5 * time.Minute)
	if e := sim.s.Explanation("poison/0"); e.Verdict != FailsEverywhere || sim.metrics.failures > failures || poison.done > 0 {
		t.Errorf("a job that fails everywhere is explained by %+v; failures %d, then %d", e, failures, sim.metrics.failures)
	}
}

// TestWorkerThatFailsEverything guards against a faulty worker that attracts tasks because their failures keep it empty.
func TestWorkerThatFailsEverything(t *testing.T) {
	sim := newSmallSimulator(6)
	sim.workers[2].failsAll = true
	for i := range 600 {
		sim.at(sim.now.Add(time.Duration(i)*time.Second), func() { submitBatch(sim, fmt.Sprint("job", i), 4, 2, 30, nil) })
	}
	sim.run(12 * time.Minute)
	for _, j := range sim.jobs {
		if _, _, finished := countStates(j); finished != 4 {
			t.Fatalf("%d of 4 tasks of %s are finished; verdict %q", finished, j.spec.Name, sim.s.Verdict(j.spec.Name))
		}
	}
	// A full worker can fail 32 tasks before its first quarantine. After that each probation costs one failure; with
	// quarantines of 30 s, 1, 2, 4 and 8 minutes there are at most five in 12 minutes.
	if limit := 32 + 5; sim.metrics.failures > limit {
		t.Errorf("%d failures; at most %d can be explained", sim.metrics.failures, limit)
	}
}

// TestRejectedProposal guards against a rejection that costs more than a retry of the task, and against proposals that are
// repeated or dropped before their outcome is known.
func TestRejectedProposal(t *testing.T) {
	sim := newSmallSimulator(3)
	submitBatch(sim, "one", 6, 40, 10, nil)
	now := sim.now
	commands := sim.s.Pass(now)
	if len(commands) != 3 {
		t.Fatalf("%d proposals for 3 workers that hold one task each", len(commands))
	}
	for i := range 100 { // while the outcome is unknown, everything stays charged
		if more := sim.s.Pass(now.Add(time.Duration(i+1) * time.Second)); len(more) > 0 {
			t.Fatalf("proposed again without an answer: %v", more)
		}
	}
	now = now.Add(time.Hour)
	sim.s.ProposalRejected(now, commands[0])
	again := sim.s.Pass(now.Add(PassInterval))
	if len(again) != 1 || again[0].GetStartTask().Worker != commands[0].GetStartTask().Worker || again[0].GetStartTask().Task == commands[0].GetStartTask().Task {
		t.Errorf("after the rejection of %v the next proposals are %v; want another task there", commands[0], again)
	}
}

// TestQuotaReclaim guards against a team that waits while others borrow its quota, and against evicting tasks that are within
// the quota of their own team.
func TestQuotaReclaim(t *testing.T) {
	sim := newSmallSimulator(3)
	sim.rules = &rules.Rules{Teams: []rules.Team{{Name: "t", Quota: cores(128), Borrow: true}, {Name: "owner", Quota: cores(128)}}}
	sim.setZone("a", false)
	borrower := submitBatch(sim, "borrower", 24, 8, 1e6, nil)
	sim.run(10 * time.Second)
	if _, active, _ := countStates(borrower); active != 24 {
		t.Fatalf("%d of 24 tasks run on idle share", active)
	}
	owner := submitBatch(sim, "owner", 20, 8, 1e6, func(j *simulatedJob) { j.spec.Team = "owner" })
	sim.run(30 * time.Second)
	// The quotas exceed the 192 cores: the owner gets back what is borrowed, but nothing of the borrower's own quota.
	if _, active, _ := countStates(owner); active != 8 {
		t.Errorf("%d tasks of the owner run, want 8", active)
	}
	if _, active, _ := countStates(borrower); active != 16 || sim.metrics.evictions != 8 {
		t.Errorf("%d tasks of the borrower run after %d evictions, want its quota of 16 and 8", active, sim.metrics.evictions)
	}
}

// TestReclaimedSizes guards against charging overstated sizes forever, and against charging less than the measured use plus the
// margin, so that the true use could exceed a worker's capacity.
func TestReclaimedSizes(t *testing.T) {
	sim := newSmallSimulator(6)
	for i := range 100 {
		sim.at(sim.now.Add(time.Duration(i)*5*time.Second), func() {
			submitBatch(sim, fmt.Sprint("job", i), 4, 2+int64(i%3), 60, func(j *simulatedJob) { j.spec.Request = controlpb.NewResources(cores(16)) })
		})
	}
	smallest := int64(16_000)
	sim.onAccepted = func(c *controlpb.Command) {
		if start := c.GetStartTask(); start != nil {
			smallest = min(smallest, sim.tasks[start.Task].charge.Processors)
		}
	}
	sim.run(10 * time.Minute)
	if smallest > 8000 || smallest < 4000 {
		t.Errorf("smallest charge is %d milli-cores for tasks that use 2000 to 4000 and declare 16000", smallest)
	}
	if sim.metrics.memoryExceeded > 0 || sim.metrics.rejected > 0 {
		t.Errorf("true memory exceeded in %d worker-seconds, %d rejections", sim.metrics.memoryExceeded, sim.metrics.rejected)
	}
}

// TestDeterministicProposals guards against decisions that depend on map order or the real time.
func TestDeterministicProposals(t *testing.T) {
	var logs [2][]string
	for i := range logs {
		d := deployments[0]
		sim := newSimulator(New(Default()), 3, d.zones, d.workers, d.perRack, d.capacity)
		sim.onAccepted = func(c *controlpb.Command) { logs[i] = append(logs[i], c.String()) }
		w := &workload{sim: sim, d: d, random: newRandom(3)}
		w.schedule(8 * time.Minute)
		sim.run(8 * time.Minute)
	}
	// String separates fields by a random number of spaces, which is constant within one process.
	if !slices.Equal(logs[0], logs[1]) {
		t.Errorf("%d and %d proposals of equal runs differ", len(logs[0]), len(logs[1]))
	}
}

// TestServicePreemptsBatch guards against a service that waits for batch tasks to end.
func TestServicePreemptsBatch(t *testing.T) {
	sim := newSmallSimulator(3)
	submitBatch(sim, "batch", 24, 8, 1e6, nil)
	sim.run(5 * time.Second)
	front := submitBatch(sim, "front", 3, 8, 0, func(j *simulatedJob) { j.spec.Class, j.spec.Service = controlpb.Class_LATENCY_CRITICAL, "front" })
	sim.run(3 * time.Second)
	workersUsed := map[placement.ID]bool{}
	for _, x := range front.tasks {
		if x.worker != nil {
			workersUsed[sim.s.workers[x.worker.record.Name].id] = true
		}
	}
	if len(workersUsed) == 0 || sim.metrics.evictions > 3 {
		t.Errorf("executors run on %d workers after %d evictions", len(workersUsed), sim.metrics.evictions)
	}
}
