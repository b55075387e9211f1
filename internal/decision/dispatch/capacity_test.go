package dispatch

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// TestStartsFitShrunkWorker guards against repeating an unanswered start after the worker's capacity has shrunk below what is
// assigned to it. The simulation checks the capacity at each start.
func TestStartsFitShrunkWorker(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		sim := newSimulationWithWorkers(t, 1, 1)
		sim.submit("urgent", "running", dedicated(4, 8*time.Second))
		sim.run(time.Second)
		sim.lossRate = 1
		sim.submit("urgent", "assigned", dedicated(3, time.Second))
		sim.run(100 * time.Millisecond)
		if runs := sim.state.Job("assigned").LiveRuns(); runs != 3 {
			t.Fatalf("%d assigned runs, expected 3", runs)
		}
		sim.workers[0].incarnation.Processors = 20_000
		sim.run(2 * time.Second)
		if leaderChanges {
			sim.changeLeader()
		}
		sim.lossRate = 0
		sim.run(3 * time.Second)
		sim.workers[0].incarnation.Processors = 32_000
		sim.run(12 * time.Second)
		sim.expect("running", controlpb.WorkState_WORK_COMPLETED)
		sim.expect("assigned", controlpb.WorkState_WORK_COMPLETED)
	}
}

// TestLateAnnouncementOfCapacity guards against a delayed announcement that gives a shrunk worker its earlier capacity back
// after a change of leader.
func TestLateAnnouncementOfCapacity(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	worker := sim.workers[0]
	late := &controlpb.AnnounceLife{Life: proto.CloneOf(worker.incarnation), Sequence: 1}
	worker.incarnation.Processors = 8000
	sim.run(2 * time.Second)
	sim.changeLeader()
	sim.run(100 * time.Millisecond)
	sim.serve(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Announce{Announce: late}})
	sim.submit("urgent", "job", dedicated(3, time.Second))
	sim.run(400 * time.Millisecond)
	if got := sim.state.WorkerByID("worker-1").GetProcessors(); got != 8000 {
		t.Errorf("%d milli-cores, expected the 8000 of the newest announcement", got)
	}
}
