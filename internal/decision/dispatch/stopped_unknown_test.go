package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/decision/workload"
)

// A task whose start was lost once and then refused must start elsewhere as soon as its run is stopped and isn't there.
func TestStoppedUnknownRunIsDroppedSoon(t *testing.T) {
	for offset := range 20 {
		sim := newSimulationWithWorkers(t, 1, 2)
		calls := &refusingWorker{simulation: sim}
		sim.dispatcher.config.WorkerCalls = calls
		sim.run(time.Duration(offset) * 50 * time.Millisecond)
		sim.submit("urgent", "a", dedicated(1, 5*time.Second))
		key := workload.RunKey{Task: workload.TaskKey{Job: "a"}, Run: 1}
		for r := sim.dispatcher.runs[key]; r == nil || !r.stopRequested; r = sim.dispatcher.runs[key] {
			sim.run(10 * time.Millisecond)
		}
		began := sim.now
		for sim.running(key.Task) == 0 && sim.now.Sub(began) < time.Minute {
			sim.run(10 * time.Millisecond)
		}
		if took := sim.now.Sub(began); took > 2*time.Second {
			t.Errorf("the task started elsewhere %v after the stop", took)
		}
	}
}
