package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// runGrey runs the simulation until a worker that fails its runs has failed one, and for a while longer, and lets the worker
// recover.
func (sim *simulation) runGrey(w *simWorker, longer time.Duration) {
	w.failing = true
	for w.nextEnd == 0 {
		sim.run(10 * time.Millisecond)
	}
	sim.run(longer)
	w.failing = false
}

// A gang that needs every worker, one of which fails what it starts for a short time, mustn't use up all its attempts there.
func TestGangWaitsForFailingWorker(t *testing.T) {
	for grey := range 4 {
		sim := newSimulationWithWorkers(t, 1, 4)
		sim.replaceRouting(2, 2)
		gang := dedicated(8, 2*time.Second)
		gang.Gang, gang.MaxPerWorker = true, 2
		sim.submit("batch", "a", gang)
		sim.runGrey(sim.workers[grey], 300*time.Millisecond)
		sim.run(finishTime)
		sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
	}
}

// A task that only one worker may run mustn't use up all its attempts while that worker fails what it starts.
func TestTaskWaitsForFailingWorker(t *testing.T) {
	for _, fills := range []bool{false, true} {
		sim := newSimulationWithWorkers(t, 1, 4)
		sim.replaceRouting(2, 2)
		only := sim.addWorker("zone-0", "only")
		sim.run(3 * time.Second)
		step := dedicated(1, time.Second)
		step.RequiredLabel, step.Fills, step.Image = "only", fills, "image"
		sim.submit("urgent", "a", step)
		sim.runGrey(only, time.Second)
		sim.run(finishTime)
		sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
	}
}

// A task that fails mustn't wait for the worker on which it has failed if another one is free, and a task that fails
// everywhere must use up its attempts soon.
func TestFailedTaskIsRetriedElsewhereAtOnce(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	for _, worker := range sim.workers {
		worker.failing = true
	}
	sim.submit("urgent", "a", dedicated(1, time.Second))
	sim.run(time.Second)
	sim.expect("a", controlpb.WorkState_WORK_FAILED)
	if starts := sim.starts["a.0.0.0"]; starts != 3 {
		t.Errorf("%d starts, expected 3", starts)
	}
}

// Failures must be forgotten, also of jobs that have failed.
func TestFailuresAreForgotten(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	for _, worker := range sim.workers {
		worker.failing = true
	}
	sim.submit("urgent", "a", dedicated(10, time.Second))
	for sim.stateOf("a") != controlpb.WorkState_WORK_FAILED {
		sim.run(10 * time.Millisecond)
	}
	if len(sim.dispatcher.failures) == 0 {
		t.Error("no failure is remembered")
	}
	sim.run(finishTime)
	if n := len(sim.dispatcher.failures); n != 0 {
		t.Errorf("failures of %d tasks are remembered", n)
	}
}
