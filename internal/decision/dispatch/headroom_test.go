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
