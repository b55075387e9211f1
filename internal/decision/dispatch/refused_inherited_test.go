package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// refusingWorker loses the first start order, and lets its worker refuse all later ones and, if refusesStops is set, all stops.
type refusingWorker struct {
	*simulation
	refusesStops bool
	target       *simWorker
}

func (c *refusingWorker) Send(call *order.Call) {
	worker := c.workerAt(call.Address)
	switch {
	case call.Kind == order.Start && c.target == nil:
		c.target = worker
		c.after(time.Second, func() { c.answer(call, &order.Answer{}) })
	case worker == c.target && (call.Kind == order.Start || c.refusesStops && call.Kind == order.Stop):
		c.after(time.Millisecond, func() { c.answer(call, &order.Answer{Status: order.Unhealthy}) })
	default:
		c.simulation.Send(call)
	}
}

// A task that an earlier leader has assigned to a worker that refuses it must start elsewhere soon: the worker's polls show that
// it has seen the new fencing token, and so can't carry out an earlier order.
func TestRefusedRunOfEarlierLeaderStartsElsewhere(t *testing.T) {
	for name, refusesStops := range map[string]bool{"starts": false, "starts and stops": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithWorkers(t, 1, 2)
			calls := &refusingWorker{simulation: sim, refusesStops: refusesStops}
			sim.dispatcher.config.WorkerCalls = calls
			sim.submit("urgent", "a", dedicated(1, 5*time.Second))
			for calls.target == nil {
				sim.run(10 * time.Millisecond)
			}
			sim.run(100 * time.Millisecond)
			sim.changeLeader()
			began := sim.now
			for sim.running(workload.TaskKey{Job: "a"}) == 0 && sim.now.Sub(began) < time.Minute {
				sim.run(10 * time.Millisecond)
			}
			if took := sim.now.Sub(began); took > 3*time.Second {
				t.Errorf("the task started elsewhere after %v", took)
			}
		})
	}
}
