package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
)

// urgencyCalls counts calls by whether they are urgent.
type urgencyCalls struct {
	*simulation
	starts, stops, polls map[bool]int
}

func (c *urgencyCalls) Send(call *order.Call) {
	switch call.Kind {
	case order.Start:
		c.starts[call.Urgent]++
	case order.Stop:
		c.stops[call.Urgent]++
	case order.Poll:
		c.polls[call.Urgent]++
	}
	c.simulation.Send(call)
}

// Room of ended services stood unused while the orders to start others there waited behind those of best-effort tasks, which reserve none.
func TestCallsForReservedRoomAreUrgent(t *testing.T) {
	const workers = 4
	for name, step := range map[string]*controlpb.WorkStep{
		"serving": servingOnAll(workers), "dedicated": dedicated(workers, 5*time.Second), "best effort": bestEffort(workers, "fill", 5*time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithWorkers(t, 1, workers)
			calls := &urgencyCalls{simulation: sim, starts: map[bool]int{}, stops: map[bool]int{}, polls: map[bool]int{}}
			sim.dispatcher.config.WorkerCalls = calls
			sim.submit("urgent", "a", step)
			sim.run(time.Second)
			for _, worker := range sim.workers {
				worker.stopTime = 2 * pollWait
			}
			sim.cancel("a")
			sim.run(pollWait + 2*maxPollDelay)
			reserves, tasks := !step.GetFills(), int(step.GetCount())
			if calls.starts[reserves] != tasks || calls.starts[!reserves] != 0 {
				t.Errorf("starts by urgency: %v, want %d with %v", calls.starts, tasks, reserves)
			}
			if calls.stops[reserves] != tasks || calls.stops[!reserves] != 0 {
				t.Errorf("stops by urgency: %v, want %d with %v", calls.stops, tasks, reserves)
			}
			if hasUrgent := calls.polls[true] > 0; hasUrgent != step.GetPerpetual() {
				t.Errorf("polls by urgency: %v, want urgent ones while services are being stopped, and no others", calls.polls)
			}
		})
	}
}
