package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// newLeavingFleet returns a simulation of four workers of 32 cores that are full of serving tasks of the jobs "stay-0" to "stay-2" and
// "leave", and the worker that runs the last one.
func newLeavingFleet(t *testing.T) (*simulation, *simWorker) {
	t.Helper()
	sim := newSimulationWithWorkers(t, 1, 4)
	for _, job := range []string{"stay-0", "stay-1", "stay-2", "leave"} {
		sim.submit("urgent", job, servingWith(4, 8000))
		sim.run(time.Second)
	}
	worker := sim.busyWorker("leave")
	for key := range worker.runs {
		if key.Task.Job != "leave" || len(worker.runs) != 4 {
			t.Fatalf("%s runs %v", worker.incarnation.GetId(), worker.runs)
		}
	}
	return sim, worker
}

// Lasting tasks on a draining worker were stopped at once, also if no other host had room for them. They were without a run while their
// worker worked on for seconds.
func TestLeavingWorkerKeepsLastingTasksWithoutRoomElsewhere(t *testing.T) {
	sim, worker := newLeavingFleet(t)
	worker.drain()
	sim.run(4 * time.Second)
	if n := len(worker.runs); n != 4 {
		t.Errorf("%d of 4 tasks run on the draining worker while no other host has room", n)
	}
	sim.cancel("stay-1")
	sim.run(2 * time.Second)
	if n := len(worker.runs); n != 0 || sim.servingRuns("leave") != 4 {
		t.Errorf("%d tasks are still on the draining worker once another host has room, and %d of 4 run", n, sim.servingRuns("leave"))
	}
}

// Tasks that have never run must not take the room for which those on a draining worker wait.
func TestTasksOnLeavingWorkersPrecedeNewOnes(t *testing.T) {
	sim, worker := newLeavingFleet(t)
	worker.drain()
	sim.request(submission("urgent", "new", servingWith(4, 8000)))
	sim.run(time.Second)
	sim.cancel("stay-1")
	sim.run(2 * time.Second)
	if leaving, others := sim.servingRuns("leave"), sim.servingRuns("new"); len(worker.runs) != 0 || leaving != 4 || others != 0 {
		t.Errorf("%d tasks are still on the draining worker; %d of its tasks and %d new ones run", len(worker.runs), leaving, others)
	}
}

// The tasks that a draining worker has kept must be stopped when it terminates, so that its leave is acknowledged in time.
func TestTerminatingWorkerStopsTheTasksThatItHasKept(t *testing.T) {
	sim, worker := newLeavingFleet(t)
	worker.drain()
	sim.run(4 * time.Second)
	acknowledged := false
	worker.leave(func(*controlpb.LeaderReply) { acknowledged = true })
	sim.run(leaveTimeout + 50*time.Millisecond)
	if n := len(worker.runs); n != 0 || !acknowledged {
		t.Errorf("%d tasks run on the terminating worker; its leave is acknowledged: %v", n, acknowledged)
	}
	sim.cancel("stay-1")
	sim.run(2 * time.Second)
	if n := sim.servingRuns("leave"); n != 4 {
		t.Errorf("%d of 4 tasks run once another host has room", n)
	}
}

// A worker that is lost with its tasks, instead of sending notice, is noticed only after seconds.
func TestLastingTasksAreStoppedBeforeTheirWorkerMayTerminate(t *testing.T) {
	for _, left := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
		sim, worker := newLeavingFleet(t)
		worker.incarnation.Leaving, worker.leavesIn = true, left
		began, stoppedAfter := sim.now, time.Duration(0)
		for len(worker.runs) > 0 && stoppedAfter < 10*time.Second {
			sim.run(10 * time.Millisecond)
			stoppedAfter = sim.now.Sub(began)
		}
		const announcement, poll = 1100 * time.Millisecond, pollWait + pollDelay
		if latest := max(left, poll+sim.dispatcher.config.Limits.StopGrace) + announcement; stoppedAfter > latest || stoppedAfter < left-2*time.Second {
			t.Errorf("%v before a worker may terminate it announces that: its tasks end after %v", left, stoppedAfter)
		}
	}
}

// Each task that moves to a host with room must be without a run for about the time that its stop takes, and the moves of many tasks
// mustn't give the same room twice.
func TestLastingTasksLeaveForRoomElsewhere(t *testing.T) {
	sim, worker := newLeavingFleet(t)
	sim.addWorkers(2)
	sim.run(2 * time.Second)
	worker.incarnation.Leaving, worker.leavesIn = true, 10*time.Second
	longest, since := time.Duration(0), sim.now
	for range 600 {
		sim.run(10 * time.Millisecond)
		if sim.servingRuns("leave") == 4 {
			since = sim.now
		}
		longest = max(longest, sim.now.Sub(since))
	}
	if n := len(worker.runs); n != 0 || longest > 2*time.Second {
		t.Errorf("%d tasks are still on the draining worker; some task had no run for %v", n, longest)
	}
	if n := sim.dispatcher.relocations; len(n.active)+len(n.reserved) > 0 {
		t.Errorf("%d moves are open after the last task has moved", len(n.active))
	}
}
