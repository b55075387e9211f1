package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/imagepair"
	"galenamoor/internal/decision/order"
)

// The ends of a worker on which a run starts between any two polls must be acknowledged, or it lists ever more of them.
func TestEndsOfBusyWorkerAreAcknowledged(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	sim.commitTime = 60 * time.Millisecond
	oldest := time.Duration(0)
	for i := range 1000 {
		step := dedicated(1, time.Duration(100+sim.random.IntN(200))*time.Millisecond)
		step.Processors, step.Memory = 200, 200
		sim.request(submission("urgent", fmt.Sprintf("job-%d", i), step))
		sim.run(10 * time.Millisecond)
		if ended := sim.workers[0].ended; len(ended) > 0 {
			oldest = max(oldest, sim.now.Sub(ended[0].at))
		}
	}
	if oldest > 2*maxWithheld {
		t.Errorf("an end was not acknowledged for %v", oldest)
	}
}

// A worker that tells its clock in whole milliseconds mustn't be taken for restarted because an answer follows another one at once.
func TestClockInWholeMilliseconds(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	w := sim.dispatcher.orderedWorkers[0]
	w.workerClock, w.clockReadAt = 500*time.Millisecond, sim.now
	sent := sim.now.Add(900 * time.Microsecond)
	if w.hasRestarted(&order.Answer{Call: &order.Call{Sent: sent}, Clock: 500 * time.Millisecond}) {
		t.Error("taken for restarted although its clock may have advanced by 0.9 ms")
	}
	if !w.hasRestarted(&order.Answer{Call: &order.Call{Sent: sent}, Clock: 400 * time.Millisecond}) {
		t.Error("not taken for restarted although its clock is behind")
	}
}

// A best-effort task that used few processors when the leader changed mustn't be throttled unless its image is known to do harm.
func TestInheritedTaskIsNotThrottledForLackOfProcessors(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	sim.submit("urgent", "serving", serving(1, "image"))
	sim.submit("batch", "a", bestEffort(1, "fill", 5*time.Second))
	sim.run(time.Second)
	sim.changeLeader()
	sim.run(500 * time.Millisecond)
	for _, r := range sim.dispatcher.runs {
		if r.task.Step.GetFills() {
			r.speed, r.measurement = unknownSpeed, 0
			sim.dispatcher.adoptSpeed(r)
			rating := sim.dispatcher.interferenceWith(r.task.Step, r.worker)
			if r.throttled != (rating == imagepair.Harmful) {
				t.Errorf("throttled %v although the pair is rated %v", r.throttled, rating)
			}
		}
	}
	sim.run(10 * time.Second)
	sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
}
