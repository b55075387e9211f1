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

// TestLeavingServingTasksKeepTheirRoom guards against accepting serving jobs into the room that the tasks of workers that are leaving
// need elsewhere.
func TestLeavingServingTasksKeepTheirRoom(t *testing.T) {
	for name, leave := range map[string]func(w *simWorker){
		"terminating": func(w *simWorker) {
			w.leave(func(*controlpb.LeaderReply) {})
			w.up = false
		},
		"draining": func(w *simWorker) { w.incarnation.Leaving, w.leavesIn = true, 10*time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithWorkers(t, 1, 10)
			for i := range 16 {
				sim.submit("urgent", fmt.Sprint("urgent-", i), dedicated(2, 800*time.Millisecond))
				sim.run(500 * time.Millisecond)
			}
			step := serving(32, "image")
			step.Processors = 8000
			sim.submit("urgent", "serving", step)
			sim.run(2 * time.Second)
			for _, w := range sim.workers[:3] {
				leave(w)
			}
			sim.run(1500 * time.Millisecond) // until they have announced it
			for range 3 {
				sim.addWorker("zone-0", "r-0")
			}
			accepted, interrupted := 0, 0
			for i := range 32 {
				sim.run(250 * time.Millisecond)
				further := serving(8, "image")
				further.Processors = 8000
				if sim.submit("urgent", fmt.Sprint("further-", i), further) == controlpb.WorkOutcome_WORK_OK {
					accepted++
				}
				interrupted = sim.state.Job("serving").Steps(0)[0].Waiting
			}
			if accepted > 0 {
				t.Errorf("%d serving jobs are accepted into the room of the tasks of leaving workers, of which %d wait", accepted, interrupted)
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
