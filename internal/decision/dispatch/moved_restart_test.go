package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// lostFirstStart loses the first start order, and restarts its worker at the given time after that under the same ID.
type lostFirstStart struct {
	*simulation
	address string // of the later incarnation; empty for the same
	done    bool
}

func (l *lostFirstStart) Send(call *order.Call) {
	if l.done || call.Kind != order.Start {
		l.simulation.Send(call)
		return
	}
	l.done = true
	worker := l.workerAt(call.Address)
	worker.up = false
	l.after(2*time.Second, func() {
		if l.address != "" {
			worker.incarnation.Address = l.address
		}
		worker.startIncarnation(worker.incarnation)
	})
	l.after(time.Second, func() { l.answer(call, &order.Answer{}) })
}

// A worker that comes back at another address can't carry out orders that were sent to its earlier one, so its tasks don't wait
// for them.
func TestRestartAtAnotherAddress(t *testing.T) {
	for name, address := range map[string]string{"same": "", "other": "10.9.9.9:80"} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithWorkers(t, 1, 2)
			sim.run(30 * time.Second)
			calls := &lostFirstStart{simulation: sim, address: address}
			sim.dispatcher.config.WorkerCalls = calls
			sim.submit("batch", "a", dedicated(1, 5*time.Second))
			began := sim.now
			for sim.running(workload.TaskKey{Job: "a"}) == 0 && sim.now.Sub(began) < 40*time.Second {
				sim.run(10 * time.Millisecond)
			}
			took := sim.now.Sub(began)
			if took > 8*time.Second {
				t.Errorf("the task ran only after %v", took)
			}
		})
	}
}
