package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// Best-effort tasks that are being stopped must not work on beside a serving task for as long as the platform forbids, which the
// simulated workers check.
func TestStoppingTaskIsPaused(t *testing.T) {
	const stopTime = 3 * time.Second
	sim := newSimulationWithWorkers(t, 1, 1)
	sim.dispatcher.config.Limits.StopGrace = stopTime
	sim.workers[0].stopTime = stopTime
	effect := 0.04
	sim.interference = func(string, string) float64 { return effect }
	sim.submit("urgent", "serving", serving(4, "image"))
	sim.run(2 * time.Second)
	for i := range 12 { // until the pair is known to be harmless
		sim.submit("batch", fmt.Sprintf("warm-%d", i), bestEffort(2, "fill", time.Second))
		sim.run(1500 * time.Millisecond)
	}
	sim.submit("batch", "a", bestEffort(2, "fill", 20*time.Second))
	sim.run(2 * time.Second)
	effect = 0.6
	sim.run(2 * time.Second)
	stopping := 0
	for _, r := range sim.dispatcher.runs {
		if r.task.Step.GetFills() && r.stopRequested {
			stopping++
		}
	}
	if stopping == 0 {
		t.Fatal("no task is being stopped")
	}
	sim.run(6 * time.Second)
}
