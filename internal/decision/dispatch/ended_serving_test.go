package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// A serving task whose end is listed is unavailable, also while its end isn't recorded yet.
func TestEndedServingTaskUsesDisruptionBudget(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 2)
	step := serving(2, "image")
	step.MayMiss, step.MaxPerWorker = 1, 1
	sim.submit("urgent", "a", step)
	sim.run(10 * time.Second)
	sim.commitTime = 400 * time.Millisecond
	first, second := sim.dispatcher.runs[workload.RunKey{Task: workload.TaskKey{Job: "a"}, Run: 1}], sim.dispatcher.runs[workload.RunKey{Task: workload.TaskKey{Job: "a", Index: 1}, Run: 1}]
	if !sim.dispatcher.disruptionBudgets().allowsStop(second) {
		t.Fatal("the other task may not be stopped while both serve")
	}
	for _, worker := range sim.workers {
		if worker.runs[first.key] != nil {
			worker.end(first.key, controlpb.RunEnd_RUN_FAILED)
		}
	}
	for !first.ended {
		sim.run(5 * time.Millisecond)
	}
	if sim.dispatcher.disruptionBudgets().allowsStop(second) {
		t.Error("the other task may be stopped although the first one has ended")
	}
}
