package dispatch

import (
	"testing"
	"time"
)

// Starts that were never sent, because too many other calls were queued before them, were held against their worker: it was put aside for
// 20 s, and its runs were stopped.
func TestUnstartedCallsTellNothingAboutWorker(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	sim.dispatcher.config.WorkerCalls = &unansweredOrders{simulation: sim, answersStops: true, unstarted: true}
	sim.submit("urgent", "a", dedicated(1, time.Second))
	for range 50 {
		sim.run(100 * time.Millisecond)
		for _, w := range sim.dispatcher.workers {
			if !sim.dispatcher.isUsable(w) || sim.now.Before(w.ignoresUntil) {
				t.Fatal("the worker was put aside")
			}
		}
	}
	for _, r := range sim.dispatcher.runs {
		if r.stopRequested || r.key.Run != 1 {
			t.Errorf("run %d was stopped: %s", r.key.Run, r.stopReason)
		}
	}
	sim.dispatcher.config.WorkerCalls = sim
	sim.run(3 * time.Second)
	if sim.state.Job("a") != nil {
		t.Errorf("the job is %v once its starts are sent", sim.stateOf("a"))
	}
}
