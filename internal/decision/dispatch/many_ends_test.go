package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// A run whose end a worker doesn't list yet, because many have ended at once, must not be taken for one that never started.
func TestManyEndsAtOnce(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	sim.commitTime = 400 * time.Millisecond // which ends are recorded in batches of
	step := dedicated(1200, time.Second)
	step.Processors, step.Memory = 25, 25
	sim.submit("batch", "a", step)
	sim.run(10 * time.Second)
	sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
	for task, starts := range sim.starts {
		if starts > 1 {
			t.Errorf("%s started %d times", task, starts)
		}
	}
}
