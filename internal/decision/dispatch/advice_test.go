package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// finishTime is the time after the last disruption within which an accepted job has to run again.
const finishTime = 14 * time.Second

// The tickets of a worker that crashes and restarts under its ID are rejected from then on. If it isn't asked about again, a
// job that may run nowhere else has nothing running for good.
func TestAdviceAfterRestart(t *testing.T) {
	for _, downtime := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second} {
		sim := newSimulationWithWorkers(t, 1, 3)
		allowed := sim.workers[1] // keeps its ID, which is the only one that the service accepts
		sim.submit("advised", "a", dedicated(4, 3*time.Second))
		sim.run(time.Second)
		if len(allowed.runs) != 4 {
			t.Fatalf("%d runs on the allowed worker, expected 4", len(allowed.runs))
		}
		allowed.crash(downtime)
		sim.run(downtime + finishTime)
		sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
	}
}

// A worker restarts while the advice service is being asked about it. The answer is about the earlier incarnation, or leaves
// the worker out as it is down, and mustn't keep the job from running on the later one.
func TestAdviceDuringRestart(t *testing.T) {
	for _, downtime := range []time.Duration{20 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
		for delay := time.Duration(0); delay < 300*time.Millisecond; delay += 10 * time.Millisecond {
			sim := newSimulationWithWorkers(t, 1, 3)
			sim.submit("advised", "a", dedicated(4, time.Second))
			sim.run(delay)
			sim.workers[1].crash(downtime)
			sim.run(downtime + finishTime)
			sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
		}
	}
}

// A start that is repeated after its ticket has expired, because the worker didn't answer, is rejected. The ticket must be
// renewed.
func TestAdviceExpiredBeforeStart(t *testing.T) {
	for outage := ticketValidity - time.Second; outage < 2*ticketValidity; outage += 100 * time.Millisecond {
		sim := newSimulationWithWorkers(t, 1, 3)
		sim.submit("advised", "a", dedicated(4, time.Second))
		for sim.state.Job("a").LiveRuns() == 0 {
			sim.run(10 * time.Millisecond)
			sim.lossRate = 1
		}
		sim.run(outage)
		sim.lossRate = 0
		sim.run(finishTime)
		sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
	}
}

// The advice on a lasting step mustn't grow with every restart of a worker.
func TestAdviceOnEndedIncarnationsIsForgotten(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 3)
	sim.submit("advised", "a", serving(2, "image"))
	for range 8 {
		sim.run(4 * time.Second)
		sim.workers[1].crash(time.Second)
	}
	sim.run(finishTime)
	if runs := len(sim.workers[1].runs); runs != 2 {
		t.Errorf("%d tasks run on the allowed worker, expected 2", runs)
	}
	for step, cached := range sim.dispatcher.advices {
		if len(cached.tickets) > len(sim.workers) {
			t.Errorf("the advice on %s names %d incarnations of %d workers", step.Name(), len(cached.tickets), len(sim.workers))
		}
	}
}
