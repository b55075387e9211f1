package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/decision/order"
)

// queuedStarts holds back all start calls until their timeouts, while others are answered.
type queuedStarts struct {
	*simulation
	holds bool
}

func (q *queuedStarts) Send(call *order.Call) {
	if call.Kind != order.Start || !q.holds {
		q.simulation.Send(call)
		return
	}
	q.after(time.Second, func() { q.answer(call, &order.Answer{Unstarted: true}) })
}

// Starts that were never sent, because too many other calls were queued before them, were held against their worker: it was put aside for
// 20 s, and its runs were stopped.
func TestUnstartedCallsTellNothingAboutWorker(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	calls := &queuedStarts{simulation: sim, holds: true}
	sim.dispatcher.config.WorkerCalls = calls
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
	calls.holds = false
	sim.run(3 * time.Second)
	if sim.state.Job("a") != nil {
		t.Errorf("the job is %v once its starts are sent", sim.stateOf("a"))
	}
}
