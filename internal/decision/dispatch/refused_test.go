package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// A start that its worker has refused must not be ordered again while the withdrawal of the run is being committed: the
// task would start elsewhere as well.
func TestRefusedStartIsNotRepeated(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			sim := newSimulationWithWorkers(t, seed, 8)
			sim.commitTime = 200 * time.Millisecond // as with a slow disk
			for _, worker := range sim.workers {
				worker.rejectionRate = 0.3
			}
			const jobs = 60
			for i := range jobs {
				sim.submit("batch", fmt.Sprintf("job-%d", i), dedicated(6, 300*time.Millisecond), dedicated(4, 700*time.Millisecond))
			}
			sim.run(30 * time.Second)
			for i := range jobs {
				sim.expect(fmt.Sprintf("job-%d", i), controlpb.WorkState_WORK_COMPLETED)
			}
		})
	}
}
