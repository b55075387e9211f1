package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

func dedicated(count uint32, runtime time.Duration) *controlpb.WorkStep {
	return &controlpb.WorkStep{Count: count, Processors: 4000, Memory: 4096, EstimateMs: runtime.Milliseconds()}
}

func bestEffort(count uint32, image string, runtime time.Duration) *controlpb.WorkStep {
	step := dedicated(count, runtime)
	step.Fills, step.Image, step.Checkpoints = true, image, true
	return step
}

func serving(count uint32, image string) *controlpb.WorkStep {
	return &controlpb.WorkStep{Count: count, Processors: 6000, Memory: 8192, Perpetual: true, Image: image, TargetMs: 100}
}

// servingOnAll returns a serving step of which two tasks run on each of the workers.
func servingOnAll(workers uint32) *controlpb.WorkStep {
	step := serving(2*workers, "image")
	step.MaxPerWorker = 2
	return step
}

// newSimulationWithWorkers returns a simulation with queues, and with workers in two zones and four racks that have announced
// themselves.
func newSimulationWithWorkers(t *testing.T, seed uint64, workers int) *simulation {
	sim := newSimulation(t, seed)
	sim.configure()
	sim.addWorkers(workers)
	sim.run(3 * time.Second)
	return sim
}

// addWorkers adds workers in two zones and four racks.
func (sim *simulation) addWorkers(count int) {
	for i := range count {
		sim.addWorker(fmt.Sprintf("zone-%d", i%2), fmt.Sprintf("r-%d", i%4))
	}
}

func (sim *simulation) expect(id string, want controlpb.WorkState) {
	sim.t.Helper()
	if got := sim.stateOf(id); got != want {
		sim.t.Errorf("job %s is %v, expected %v", id, got, want)
	}
}

// No step may start before its dependencies are done, and the job must complete.
func TestStepsInOrder(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	second := dedicated(3, 300*time.Millisecond)
	second.After = []uint32{0}
	sim.submit("urgent", "a", dedicated(4, 300*time.Millisecond), second)
	sim.run(500 * time.Millisecond)
	sim.expect("a", controlpb.WorkState_WORK_ACTIVE)
	sim.run(2 * time.Second)
	sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
}

// A worker that fails all its runs must not use up the attempts of jobs that other workers could run.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	sim.workers[0].failing = true
	for i := range 20 {
		sim.submit("urgent", fmt.Sprintf("job-%d", i), dedicated(2, 400*time.Millisecond))
		sim.run(200 * time.Millisecond)
	}
	sim.run(5 * time.Second)
	failed := 0
	for i := range 20 {
		if sim.stateOf(fmt.Sprintf("job-%d", i)) != controlpb.WorkState_WORK_COMPLETED {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("%d of 20 jobs failed although three of four workers are healthy", failed)
	}
}

// A crashed worker must not hold its tasks beyond its lease, and they must not run twice.
func TestUnresponsiveWorkerIsLost(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	sim.submit("batch", "long", dedicated(8, 3*time.Second))
	sim.run(time.Second)
	sim.workers[1].up = false
	sim.run(leaseTime + 6*time.Second)
	sim.expect("long", controlpb.WorkState_WORK_COMPLETED)
}

// A worker whose first poll is lost must not be declared lost at once, even if all leases of earlier leaders expire then: ends
// that a worker reports after that don't count.
func TestNewWorkerHasTimeToAnswer(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	expiry := sim.dispatcher.workers[1].leaseExpires
	sim.run(expiry.Sub(sim.now) - 2*leaseExpiryMargin)
	sim.addWorker("zone-0", "r-0")
	sim.lossRate = 1
	sim.run(4 * leaseExpiryMargin)
	sim.lossRate = 0
	sim.run(5 * time.Second)
	if worker := sim.state.WorkerByID("worker-2"); worker.GetNumber() != 2 || worker.GetResumed() {
		t.Errorf("incarnation %d, resumed %v; expected the first one", worker.GetNumber(), worker.GetResumed())
	}
}

// A partitioned worker continues until its lease expires; its tasks must not run elsewhere before that.
func TestPartitionedWorkerKeepsItsTasks(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	sim.submit("batch", "long", dedicated(8, 20*time.Second))
	sim.run(time.Second)
	sim.workers[1].answersLost = true
	sim.run(10 * time.Second)
	sim.workers[1].answersLost = false
	sim.run(25 * time.Second)
	sim.expect("long", controlpb.WorkState_WORK_COMPLETED)
}

// A worker that restarts under the same ID must not run what was ordered from its earlier incarnation while the same
// tasks run elsewhere.
func TestWorkerRestartUnderSameID(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulationWithWorkers(t, seed, 3)
		sim.lossRate, sim.delayedRate = 0.1, 1
		for i := range 8 {
			sim.submit("urgent", fmt.Sprintf("job-%d", i), dedicated(6, time.Second))
			worker := sim.workers[sim.random.IntN(3)]
			worker.startIncarnation(worker.incarnation)
			sim.run(700 * time.Millisecond)
		}
		sim.lossRate = 0
		sim.run(30 * time.Second)
		for i := range 8 {
			sim.expect(fmt.Sprintf("job-%d", i), controlpb.WorkState_WORK_COMPLETED)
		}
	}
}

// A poll for an earlier incarnation must not acknowledge ends of the later one, whose tasks would start again.
func TestPollForEarlierIncarnation(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 2)
	sim.submit("urgent", "acknowledged", dedicated(8, 300*time.Millisecond))
	sim.run(2 * time.Second)
	sim.submit("urgent", "a", dedicated(8, 300*time.Millisecond))
	for len(sim.dispatcher.assigning) == 0 {
		sim.run(10 * time.Millisecond)
	}
	for _, worker := range sim.workers {
		worker.startIncarnation(worker.incarnation)
		worker.answersLost = true
	}
	sim.run(2 * time.Second)
	for _, worker := range sim.workers {
		worker.answersLost = false
	}
	sim.run(10 * time.Second)
	sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
}

// Unanswered orders that are carried out late must neither duplicate tasks nor lose them.
func TestLostAndDelayedOrders(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulationWithWorkers(t, seed, 5)
		sim.lossRate, sim.delayedRate = 0.15, 0.7
		for i := range 15 {
			sim.submit("urgent", fmt.Sprintf("job-%d", i), dedicated(5, time.Second))
			sim.run(300 * time.Millisecond)
		}
		sim.lossRate = 0
		sim.run(30 * time.Second)
		for i := range 15 {
			sim.expect(fmt.Sprintf("job-%d", i), controlpb.WorkState_WORK_COMPLETED)
		}
	}
}

// No task may start in a zone that is out, and jobs must complete on other zones.
func TestZoneOut(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	sim.serve(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_SetZoneOut{SetZoneOut: &controlpb.SetZoneOut{Zone: "zone-0", Out: true}}})
	sim.submit("urgent", "a", dedicated(10, time.Second))
	sim.run(500 * time.Millisecond)
	for _, worker := range sim.workers {
		if worker.incarnation.GetZone() == "zone-0" && len(worker.runs) > 0 {
			t.Errorf("%s runs %d tasks in a zone that is out", worker.incarnation.GetId(), len(worker.runs))
		}
	}
	sim.run(2 * time.Second)
	sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
}

// The tasks of a cancelled job must be stopped.
func TestCancel(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	sim.submit("batch", "a", dedicated(10, time.Minute))
	sim.run(500 * time.Millisecond)
	sim.serve(cancellationOf("batch", "a"))
	sim.run(time.Second)
	for _, worker := range sim.workers {
		if len(worker.runs) > 0 {
			t.Errorf("%s still runs %d tasks of a cancelled job", worker.incarnation.GetId(), len(worker.runs))
		}
	}
	sim.expect("a", controlpb.WorkState_WORK_CANCELLED)
}

// Bursts of best-effort tasks on a fleet full of serving tasks: the harmless pairs of images must be found, and serving
// tasks may exceed their latency targets only while interference is being learned.
func TestBestEffortBesideServing(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 10)
	// Each serving image suffers from one of three best-effort images.
	sim.interference = func(victim, aggressor string) float64 {
		if victim[len(victim)-1] == aggressor[len(aggressor)-1] {
			return 2
		}
		return 0.01
	}
	for i := range 9 {
		sim.submit("urgent", fmt.Sprintf("serving-%d", i), serving(4, fmt.Sprintf("image-%d", i%3)))
	}
	sim.run(2 * time.Second)
	jobs := 0
	for range 40 {
		sim.submit("batch", fmt.Sprintf("job-%d", jobs), bestEffort(6, fmt.Sprintf("fill-%d", jobs%3), 2*time.Second))
		jobs++
		sim.run(500 * time.Millisecond)
	}
	sim.run(12 * time.Second)
	late := 0
	for i := range jobs {
		if sim.stateOf(fmt.Sprintf("job-%d", i)) != controlpb.WorkState_WORK_COMPLETED {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d of %d best-effort jobs have not completed", late, jobs)
	}
	// 36 serving tasks for 32 s make 1152 s; about one percent is allowed for learning three pairs that interfere.
	if limit := 11 * time.Second; sim.overTarget > limit {
		t.Errorf("serving tasks exceeded their latency targets for %v in total, expected at most %v", sim.overTarget, limit)
	}
}

// Serving tasks reserve seven eighths of the processors of all hosts, and a burst of best-effort tasks arrives that just
// fits into the processors that remain unused. Each job of the burst must complete within its objective.
func TestBurstOfBestEffortTasks(t *testing.T) {
	const hosts, seconds = 8, 12
	sim := newSimulationWithWorkers(t, 1, hosts)
	sim.interference = func(string, string) float64 { return 0.01 }
	large := serving(hosts*7, "image")
	large.Processors, large.Memory = 4000, 1<<10
	sim.submit("urgent", "serving", large)
	sim.run(3 * time.Second)
	sim.submit("batch", "warm", bestEffort(hosts, "fill", 4*time.Second)) // until the pair is known to be harmless
	sim.run(6 * time.Second)
	submitted := map[string]time.Time{}
	late := 0
	for n := range 4 * (seconds + 6) {
		if id := fmt.Sprintf("job-%d", n); n < 4*seconds {
			submitted[id] = sim.now
			sim.submit("batch", id, bestEffort(hosts/2, "fill", 2*time.Second))
		}
		sim.run(250*time.Millisecond - sim.now.Sub(sim.now.Truncate(250*time.Millisecond)))
		for id, at := range submitted {
			if objective := 5 * time.Second; sim.stateOf(id) == controlpb.WorkState_WORK_COMPLETED {
				delete(submitted, id)
			} else if sim.now.Sub(at) > objective {
				delete(submitted, id)
				late++
			}
		}
	}
	if late > 0 || len(submitted) > 0 {
		t.Errorf("%d of %d jobs are late, and %d not done", late, 4*seconds, len(submitted))
	}
}

// Every host runs a serving image that the only best-effort image interferes with. The best-effort tasks must not wait
// forever beside unused processors, and the serving tasks must hardly be affected.
func TestBestEffortTasksDontStarve(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 6)
	sim.interference = func(string, string) float64 { return 1.2 }
	sim.submit("urgent", "serving", serving(30, "image"))
	sim.run(3 * time.Second)
	const jobs = 6
	for i := range jobs {
		sim.submit("batch", fmt.Sprintf("job-%d", i), bestEffort(2, "fill", 2*time.Second))
	}
	sim.run(10 * time.Second)
	learned := sim.overTarget
	sim.run(35 * time.Second)
	for i := range jobs {
		sim.expect(fmt.Sprintf("job-%d", i), controlpb.WorkState_WORK_COMPLETED)
	}
	// Throttled runs may interfere until they are slowed down, 0.1 s after their start.
	if limit := jobs * 2 * 4 * 200 * time.Millisecond; sim.overTarget-learned > limit {
		t.Errorf("serving tasks exceeded their latency targets for %v beside throttled tasks, expected at most %v", sim.overTarget-learned, limit)
	}
}

// Each step of an urgent job must start without delay after the one before, even in a fleet so large that its workers
// are polled rarely, and right after a poll that reported ends of other jobs.
func TestStepsFollowWithoutDelay(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 500)
	special := sim.addWorker("zone-0", "special")
	sim.run(3 * time.Second)
	const runtime, steps, jobs = 200 * time.Millisecond, 4, 8
	began := map[string]time.Time{}
	for i := range jobs {
		var chain []*controlpb.WorkStep
		for n := range uint32(steps) {
			step := dedicated(1, runtime)
			step.RequiredLabel = special.incarnation.GetLabels()[1]
			if n > 0 {
				step.After = []uint32{n - 1}
			}
			chain = append(chain, step)
		}
		id := fmt.Sprintf("job-%d", i)
		began[id] = sim.now
		sim.submit("urgent", id, chain...)
	}
	var sum time.Duration
	for range 1000 {
		sim.run(10 * time.Millisecond)
		for id, at := range began {
			if sim.stateOf(id) == controlpb.WorkState_WORK_COMPLETED {
				delete(began, id)
				sum += sim.now.Sub(at)
			}
		}
	}
	// A step waits for two commits of 15 ms, the answer to a poll and an order, and the simulation's steps of 10 ms
	// between them.
	if mean, limit := sum/jobs, steps*(runtime+65*time.Millisecond); len(began) > 0 || mean > limit {
		t.Errorf("a chain of %d steps of %v takes %v, expected at most %v; %d are not done", steps, runtime, mean, limit, len(began))
	}
}

// The tail latency of serving tasks rises for ten seconds through their own load, beside harmless best-effort tasks,
// and reported tail latencies are inexact. No serving task may exceed its target for as long as the platform forbids,
// which the simulated workers check, and the best-effort tasks must resume without having lost work.
func TestBestEffortTasksArePaused(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulationWithWorkers(t, seed, 2)
		sim.interference = func(string, string) float64 { return 0.04 }
		sim.measurementError = 0.1
		sim.submit("urgent", "serving", serving(8, "image"))
		sim.run(2 * time.Second)
		for i := range 32 { // until the pairs are known to be harmless
			sim.submit("batch", fmt.Sprintf("warm-%d", i), bestEffort(8, fmt.Sprintf("fill-%d", i%4), time.Second))
			sim.run(1500 * time.Millisecond)
		}
		rises := sim.now.Add(2 * time.Second)
		sim.ownLoad = func(now time.Time) float64 {
			if now.Before(rises) || now.After(rises.Add(10*time.Second)) {
				return 0
			}
			return 0.5
		}
		for i := range 4 {
			sim.submit("batch", fmt.Sprintf("fills-%d", i), bestEffort(2, fmt.Sprintf("fill-%d", i), 8*time.Second))
		}
		sim.run(100 * time.Second)
		for i := range 4 {
			sim.expect(fmt.Sprintf("fills-%d", i), controlpb.WorkState_WORK_COMPLETED)
		}
	}
}

// No member of a gang may wait until the timeout for one that can't start, and the gang must run eventually.
func TestGang(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 6)
	sim.workers[2].rejectsStarts = true
	gang := dedicated(5, time.Second)
	gang.Gang, gang.SameRack, gang.MaxPerWorker = true, true, 3
	sim.submit("urgent", "gang", gang)
	sim.run(8 * time.Second)
	sim.expect("gang", controlpb.WorkState_WORK_COMPLETED)
	if sim.gangTimeouts > 0 {
		t.Errorf("%d gang members timed out waiting for the others", sim.gangTimeouts)
	}
}

// A step must not wait for tasks on a worker that has become slow or on which tasks stall.
func TestSlowAndStalledWorkers(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 6)
	for i := range 12 {
		sim.submit("urgent", fmt.Sprintf("before-%d", i), dedicated(6, 800*time.Millisecond))
		sim.run(300 * time.Millisecond)
	}
	sim.run(3 * time.Second)
	sim.workers[1].slowdown, sim.workers[2].stalled = 8, true
	for i := range 5 {
		sim.submit("urgent", fmt.Sprintf("job-%d", i), dedicated(6, 800*time.Millisecond))
	}
	sim.run(5 * time.Second)
	for i := range 5 {
		sim.expect(fmt.Sprintf("job-%d", i), controlpb.WorkState_WORK_COMPLETED)
	}
}

// Serving tasks must be moved off a leaving worker before it terminates.
func TestLeavingWorker(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 3)
	sim.submit("urgent", "serving", serving(3, "image"))
	sim.run(time.Second)
	leaving := sim.workers[0]
	for _, worker := range sim.workers {
		if len(worker.runs) > 0 {
			leaving = worker
		}
	}
	leaving.incarnation.Leaving = true
	sim.run(3 * time.Second)
	if len(leaving.runs) > 0 {
		t.Errorf("%s is leaving and still runs %d tasks", leaving.incarnation.GetId(), len(leaving.runs))
	}
	running := 0
	for _, worker := range sim.workers {
		running += len(worker.runs)
	}
	if running != 3 {
		t.Errorf("%d serving tasks run, expected 3", running)
	}
}

// A start whose answer is lost must not be repeated once its worker leaves or its zone is out of service: the repetition
// would start a task there long after the notice was acknowledged.
func TestNoStartRetryAfterNotice(t *testing.T) {
	for _, notice := range []string{"leaving", "zone"} {
		t.Run(notice, func(t *testing.T) {
			sim := newSimulationWithWorkers(t, 1, 4)
			sim.lossRate = 1
			sim.submit("urgent", "a", dedicated(12, time.Second))
			sim.run(100 * time.Millisecond)
			for _, worker := range sim.workers {
				if worker.incarnation.GetZone() != "zone-0" {
					continue
				}
				if notice == "leaving" {
					worker.incarnation.Leaving = true
				}
			}
			if notice == "zone" {
				sim.setZone("zone-0", true)
			}
			sim.run(1600 * time.Millisecond) // long enough for all workers to announce themselves
			sim.lossRate = 0
			before := len(sim.starts)
			for range 300 {
				sim.run(10 * time.Millisecond)
				for _, worker := range sim.workers {
					if worker.incarnation.GetZone() == "zone-0" && len(worker.runs) > 0 {
						t.Fatalf("%s starts %d tasks after the notice", worker.incarnation.GetId(), len(worker.runs))
					}
				}
			}
			sim.run(5 * time.Second)
			if before > 0 {
				t.Errorf("%d starts while every call was lost", before)
			}
			sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
		})
	}
}

// A host must not run more than the allowed number of a step's tasks, and only hosts with the required label may be used.
func TestLimitsOfSteps(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	limited := dedicated(8, time.Second)
	limited.MaxPerWorker, limited.RequiredLabel = 2, "r-1"
	sim.submit("urgent", "a", limited)
	for range 30 {
		sim.run(100 * time.Millisecond)
		for _, worker := range sim.workers {
			if allowed := map[bool]int{true: 2}[worker.incarnation.GetLabels()[1] == "r-1"]; len(worker.runs) > allowed {
				t.Fatalf("%s runs %d tasks, expected at most %d", worker.incarnation.GetId(), len(worker.runs), allowed)
			}
		}
	}
	sim.run(3 * time.Second)
	sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
}

// Occurrences of a scheduled job must not start before they are due.
func TestScheduledOccurrences(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	start := sim.now.Add(2 * time.Second)
	sim.serve(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Caller{Caller: &controlpb.CallerWork{
		Verb: controlpb.CallerVerb_VERB_SUBMIT, Host: "h", Path: "/urgent/timed", Job: &controlpb.WorkJob{
			Steps: []*controlpb.WorkStep{dedicated(2, 200*time.Millisecond)}, Repeats: 3, StartAtMs: start.UnixMilli(), PeriodMs: 1000,
		},
	}}})
	for k := range 3 {
		due := start.Add(time.Duration(k) * time.Second)
		sim.run(due.Sub(sim.now) - 50*time.Millisecond)
		if started := len(sim.starts); started != 2*k {
			t.Errorf("%d tasks have started before occurrence %d is due, expected %d", started, k, 2*k)
		}
	}
	sim.run(2 * time.Second)
	sim.expect("timed", controlpb.WorkState_WORK_COMPLETED)
}

// A task that fails everywhere must fail its job after the maximum number of attempts, and not run again.
func TestJobFailsAfterMaxAttempts(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	for _, worker := range sim.workers {
		worker.failing = true
	}
	sim.submit("urgent", "a", dedicated(1, time.Second))
	sim.run(8 * time.Second)
	sim.expect("a", controlpb.WorkState_WORK_FAILED)
	if attempts := sim.starts["a.0.0.0"]; attempts != 3 {
		t.Errorf("%d attempts, expected 3", attempts)
	}
}

// Urgent tasks must not wait for less urgent ones that hold all processors, and the preempted tasks must complete
// eventually.
func TestPreemption(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	long := dedicated(32, 20*time.Second)
	long.Checkpoints = true
	sim.submit("batch", "long", long)
	sim.run(2 * time.Second)
	sim.submit("urgent", "a", dedicated(6, 500*time.Millisecond))
	sim.run(3 * time.Second)
	sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
	stopped := 0
	for _, count := range sim.starts {
		stopped += count - 1
	}
	sim.run(40 * time.Second)
	sim.expect("long", controlpb.WorkState_WORK_COMPLETED)
	if stopped > 6 {
		t.Errorf("%d runs were stopped for 6 tasks of the same size", stopped)
	}
}

// Tasks of a queue with advice must start only with a valid ticket, also after the first tickets have expired.
func TestAdvice(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 8)
	second := dedicated(6, time.Second)
	second.After = []uint32{0}
	sim.submit("advised", "a", dedicated(40, time.Second), second)
	sim.run(8 * time.Second)
	sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
}

// Learned interference must survive a change of leader, so that serving tasks aren't affected again after it.
func TestInterferenceSurvivesLeaderChange(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 6)
	sim.interference = func(string, string) float64 { return 2 }
	sim.submit("urgent", "serving", serving(24, "image"))
	sim.run(2 * time.Second)
	for i := range 4 {
		sim.submit("batch", fmt.Sprintf("job-%d", i), bestEffort(4, "fill", 2*time.Second))
	}
	sim.run(6 * time.Second)
	learned := sim.overTarget
	sim.changeLeader()
	sim.run(8 * time.Second)
	if again := sim.overTarget - learned; again > learned/2 {
		t.Errorf("serving tasks exceeded their latency targets for %v before the change of leader and for %v after it", learned, again)
	}
}

// Short tasks end first, so early samples of runtimes are too low. A new leader must not rate the longer tasks as
// stragglers.
func TestRuntimeEstimateAfterShortTasks(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 40)
	for i := range 25 {
		sim.submit("batch", fmt.Sprintf("job-%d", i), dedicated(8, time.Duration(200+160*i)*time.Millisecond))
	}
	sim.run(12 * time.Second)
	for task, starts := range sim.starts {
		if starts > 1 {
			t.Errorf("%s was started %d times on healthy workers", task, starts)
		}
	}
}

// Serving tasks must not wait for memory that best-effort tasks reserve.
func TestBestEffortTasksYieldMemory(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 2)
	large := bestEffort(8, "fill", 20*time.Second)
	large.Processors, large.Memory = 1000, 30<<10
	sim.submit("batch", "fills", large)
	sim.run(2 * time.Second)
	sim.submit("urgent", "serving", serving(4, "image"))
	sim.run(3 * time.Second)
	running := 0
	for _, worker := range sim.workers {
		for key := range worker.runs {
			if key.Task.Job == "serving" {
				running++
			}
		}
	}
	if running != 4 {
		t.Errorf("%d of 4 serving tasks run", running)
	}
}

// A flood of less urgent jobs must leave room for urgent ones, and the number of jobs must be bounded.
func TestOverload(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	accepted := map[string]int{}
	for _, queue := range []string{"batch", "urgent"} {
		for i := range maxJobs {
			request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: &controlpb.WorkRequest{
				Kind: &controlpb.WorkRequest_Caller{Caller: &controlpb.CallerWork{
					Verb: controlpb.CallerVerb_VERB_SUBMIT, Host: "h", Path: fmt.Sprintf("/%s/%s-%d", queue, queue, i),
					Job: &controlpb.WorkJob{Steps: []*controlpb.WorkStep{dedicated(1, time.Hour)}},
				}},
			}}}
			if reply, wait := sim.dispatcher.Serve(sim.now, request); wait {
				accepted[queue]++
			} else if reply.GetWork().GetRetryAfterMs() == 0 {
				t.Fatalf("rejected without a retry delay: %v", reply)
			}
		}
	}
	if want := int(nonUrgentShare * maxJobs); accepted["batch"] != want || accepted["urgent"] != maxJobs-want {
		t.Errorf("accepted %v, expected %d and %d", accepted, want, maxJobs-want)
	}
}

// Every host runs a serving image that one best-effort image interferes with, and harmless best-effort tasks use most of the
// processors that aren't reserved. The jobs of the other image must not wait forever while most of the capacity is unreserved.
func TestBestEffortTasksDontStarveBesideOthers(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 6)
	sim.interference = func(_, aggressor string) float64 {
		if aggressor == "harmful" {
			return 1.2
		}
		return 0.01
	}
	sim.submit("urgent", "serving", servingOnAll(6))
	sim.run(3 * time.Second)
	sim.submit("batch", "harmless", bestEffort(24, "harmless", 5*time.Minute))
	sim.run(10 * time.Second)
	const jobs = 6
	for i := range jobs {
		sim.submit("batch", fmt.Sprintf("job-%d", i), bestEffort(2, "harmful", 2*time.Second))
	}
	sim.run(60 * time.Second)
	for i := range jobs {
		sim.expect(fmt.Sprintf("job-%d", i), controlpb.WorkState_WORK_COMPLETED)
	}
}

// More jobs than hosts wait, with tasks so large that only one fits into the share of a host that throttled tasks may use at
// full speed. Each job must have something running soon, as throttled tasks use a fraction of that.
func TestThrottledTasksCountByUse(t *testing.T) {
	const hosts, jobs = 4, 10
	sim := newSimulationWithWorkers(t, 1, hosts)
	sim.interference = func(string, string) float64 { return 0.5 }
	sim.submit("urgent", "serving", servingOnAll(hosts))
	sim.run(3 * time.Second)
	sim.submit("batch", "learned", bestEffort(hosts, "harmful", time.Second))
	sim.run(10 * time.Second)
	for i := range jobs {
		step := bestEffort(2, "harmful", 20*time.Second)
		step.Processors = 6000
		sim.submit("batch", fmt.Sprintf("job-%d", i), step)
	}
	sim.run(10 * time.Second)
	for i := range jobs {
		if sim.state.Job(fmt.Sprintf("job-%d", i)).LiveRuns() == 0 {
			t.Errorf("job-%d has nothing running", i)
		}
	}
}
