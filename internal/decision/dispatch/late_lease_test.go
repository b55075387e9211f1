package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// lateOrders carries out the first start order late. Once the worker is silent, it answers no call, and carries out polls late.
type lateOrders struct {
	*simulation
	target    *simWorker
	starts    int
	pollDelay time.Duration
	silent    bool
}

func (l *lateOrders) Send(call *order.Call) {
	worker := l.workerAt(call.Address)
	switch {
	case call.Kind == order.Start && l.starts == 0:
		l.starts++
		l.target = worker
		l.after(maxCallDelay-100*time.Millisecond, func() { worker.handle(call) })
	case worker == l.target && l.silent:
		if call.Kind == order.Poll {
			l.after(l.pollDelay, func() { worker.handle(call) })
		}
	default:
		l.simulation.Send(call)
		return
	}
	l.after(time.Second+call.Wait, func() { l.answer(call, &order.Answer{}) })
}

// A late poll may extend the lease of a run that a later incarnation has started late. The task must not start elsewhere before
// that lease has expired.
func TestLateLeaseOfLaterIncarnation(t *testing.T) {
	for _, pollDelay := range []time.Duration{2 * time.Second, 6 * time.Second, 7 * time.Second} {
		t.Run(pollDelay.String(), func(t *testing.T) {
			sim := newSimulationWithWorkers(t, 1, 2)
			sim.run(30 * time.Second)
			calls := &lateOrders{simulation: sim, pollDelay: pollDelay}
			sim.dispatcher.config.WorkerCalls = calls
			sim.submit("batch", "a", dedicated(1, 30*time.Second))
			sim.run(10 * time.Second)
			if sim.running(workload.TaskKey{Job: "a"}) != 1 {
				t.Fatal("the repeated start had no effect")
			}
			calls.silent = true
			sim.run(100 * time.Millisecond) // an order leaves before the restart
			calls.target.startIncarnation(calls.target.incarnation)
			sim.runChecked(time.Minute, workload.TaskKey{Job: "a"})
			sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
		})
	}
}
