package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// TestSilentWorkersDontRejectServingJobs guards against rejecting serving jobs for lack of room while the leader merely
// hasn't heard of its workers for a moment, for example after it was suspended.
func TestSilentWorkersDontRejectServingJobs(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 10)
	for i := range 16 {
		sim.submit("urgent", fmt.Sprintf("urgent-%d", i), dedicated(2, 800*time.Millisecond))
		sim.run(500 * time.Millisecond)
	}
	for _, worker := range sim.workers {
		worker.answersLost = true
	}
	sim.run(unresponsiveAfter + time.Second)
	if got := sim.submit("urgent", "serving", serving(4, "image")); got != controlpb.WorkOutcome_WORK_OK {
		t.Errorf("outcome %v in a fleet without serving tasks", got)
	}
}

// TestLostServingTasksKeepTheirRoom guards against accepting serving jobs into the room that the tasks of silent workers need once
// these are declared lost, also by a leader that knows of their silence from the log.
func TestLostServingTasksKeepTheirRoom(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		t.Run(fmt.Sprint("leaderChanges=", leaderChanges), func(t *testing.T) {
			sim := newSimulationWithWorkers(t, 1, 10)
			submitFinite := func(count int) {
				for range count {
					sim.submit("urgent", fmt.Sprint("urgent-", sim.now.UnixNano()), dedicated(2, 800*time.Millisecond))
					sim.run(500 * time.Millisecond)
				}
			}
			submitFinite(16)
			step := serving(32, "image")
			step.Processors = 8000
			sim.submit("urgent", "serving", step)
			sim.run(2 * time.Second)
			sim.crashWorkers(3)
			for range 3 {
				sim.addWorker("zone-0", "r-0")
			}
			sim.run(unresponsiveAfter + pollWait)
			if leaderChanges {
				sim.changeLeader()
				sim.run(100 * time.Millisecond)
				submitFinite(1)
			}
			if lost := len(sim.dispatcher.losses); lost > 0 {
				t.Fatalf("%d workers are declared lost already", lost)
			}
			further := serving(8, "image")
			further.Processors = 8000
			if got := sim.submit("urgent", "further", further); got == controlpb.WorkOutcome_WORK_OK {
				t.Error("a serving job is accepted into the room of the tasks of silent workers")
			}
		})
	}
}

// TestNewLeaderKeepsHeadroom guards against accepting serving jobs without a limit until a new leader has learned what dedicated tasks
// need.
func TestNewLeaderKeepsHeadroom(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 10)
	step := serving(37, "image")
	step.Processors = 8000
	sim.submit("urgent", "serving", step)
	sim.run(2 * time.Second)
	sim.changeLeader()
	sim.run(time.Second)
	sim.request(submission("urgent", "finite", dedicated(1, 800*time.Millisecond)))
	sim.run(time.Second)
	further := serving(2, "image")
	further.Processors = 8000
	if got := sim.submit("urgent", "further", further); got == controlpb.WorkOutcome_WORK_OK {
		t.Error("a serving job is accepted that leaves no room for dedicated tasks")
	}
}

// TestServingOnlySiteKeepsNoHeadroom guards against rejecting serving jobs where there are no dedicated tasks, or no worker is known yet.
func TestServingOnlySiteKeepsNoHeadroom(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure()
	sim.submit("urgent", "first", serving(1, "image"))
	for i := range 10 {
		sim.addWorker(fmt.Sprintf("zone-%d", i%2), "r-0")
	}
	sim.run(3 * time.Second)
	step := serving(39, "image")
	step.Processors = 8000
	if got := sim.submit("urgent", "all", step); got != controlpb.WorkOutcome_WORK_OK {
		t.Errorf("outcome %v for a job that fits", got)
	}
}

// newServingLoad returns a simulation of 40 workers of 64 cores with serving tasks of 13 cores on most of them, and finite tasks beside them.
func newServingLoad(t *testing.T) (*simulation, *finiteFlow) {
	t.Helper()
	sim := newSimulation(t, 1)
	sim.configure()
	for i := range 40 {
		w := sim.addWorker(fmt.Sprintf("zone-%d", i%4), fmt.Sprintf("r-%d", i/8))
		w.incarnation.Processors, w.incarnation.Memory = 64_000, 250<<10
	}
	sim.run(3 * time.Second)
	flow := &finiteFlow{sim: sim, interval: 200 * time.Millisecond, tasks: 10, accepted: map[string]time.Time{}}
	flow.run(5*time.Second, func() {})
	for i := range 36 {
		if got := sim.submit("urgent", fmt.Sprintf("older-%d", i), lasting(4, "image")); got != controlpb.WorkOutcome_WORK_OK {
			t.Fatalf("outcome %v for older-%d", got, i)
		}
		flow.run(100*time.Millisecond, func() {})
	}
	flow.run(2*time.Second, func() {})
	if waiting := sim.waitingLasting(); waiting != 0 {
		t.Fatalf("%d serving tasks wait", waiting)
	}
	return sim, flow
}

// TestServingJobsDontWaitBehindOthers guards against accepting serving jobs that can only wait: tasks of lost workers wait already, and
// the processors left on each host are too few for any of them.
func TestServingJobsDontWaitBehindOthers(t *testing.T) {
	sim, flow := newServingLoad(t)
	for _, w := range sim.workers[:5] {
		w.up = false
	}
	flow.run(unresponsiveAfter+pollWait, func() {})
	accepted, rejected, waited := 0, 0, 0
	for i := range 24 {
		id := fmt.Sprintf("later-%d", i)
		reply := sim.serve(submission("urgent", id, lasting(2, "image"))).GetWork()
		switch {
		case reply.GetOutcome() == controlpb.WorkOutcome_WORK_OK:
			accepted++
		case reply.GetRetryAfterMs() <= 0:
			t.Errorf("outcome %v without a retry delay", reply.GetOutcome())
		default:
			rejected++
		}
		flow.run(500*time.Millisecond, func() {})
		waited = max(waited, sim.waitingLasting())
	}
	t.Logf("%d serving jobs are accepted and %d rejected while up to %d serving tasks wait", accepted, rejected, waited)
	if accepted > 0 {
		t.Errorf("%d serving jobs are accepted that can only wait", accepted)
	}
	small := serving(2, "image")
	if got := sim.submit("urgent", "small", small); got != controlpb.WorkOutcome_WORK_OK {
		t.Errorf("outcome %v for a job whose tasks fit into the room that is too small for the waiting ones", got)
	}
	for i := range 6 {
		sim.request(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Caller{Caller: &controlpb.CallerWork{
			Verb: controlpb.CallerVerb_VERB_CANCEL, Host: "h", Path: fmt.Sprintf("/urgent/older-%d", 20+i),
		}}})
	}
	flow.run(5*time.Second, func() {})
	if got := sim.submit("urgent", "last", lasting(2, "image")); got != controlpb.WorkOutcome_WORK_OK {
		t.Errorf("outcome %v once there is room again", got)
	}
}
