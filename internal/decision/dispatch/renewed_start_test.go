package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// A run that an earlier leader assigned was ordered although its job had been cancelled while its renewal was being committed.
func TestRenewedRunOfCancelledJob(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 2)
	calls := &unansweredOrders{simulation: sim, answersStops: true}
	sim.dispatcher.config.WorkerCalls = calls
	sim.submit("urgent", "a", dedicated(1, 5*time.Second))
	for calls.starts == 0 {
		sim.run(10 * time.Millisecond)
	}
	sim.changeLeader()
	cancelled := false
	sim.onCommit = func(command *controlpb.Command) {
		for _, change := range command.GetWork().GetChanges() {
			if change.GetRenewAssignment() == nil || cancelled {
				continue
			}
			cancelled, calls.starts = true, 0
			sim.state.Apply(sim.now, &controlpb.WorkBatch{Changes: []*controlpb.WorkChange{
				{Kind: &controlpb.WorkChange_Cancel{Cancel: &controlpb.CancelWork{Id: "a"}}},
			}})
		}
	}
	sim.run(3 * time.Second)
	if !cancelled {
		t.Fatal("the assignment wasn't renewed")
	}
	if calls.starts > 0 {
		t.Errorf("%d start calls after the job was cancelled", calls.starts)
	}
}
