package workload

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// The losses of many workers must not hide that a worker which was lost just before reuses its ID: late calls may still reach it.
func TestLatestLossesAreRemembered(t *testing.T) {
	const loss, recent = 10 * time.Millisecond, 1000
	s := New()
	s.applyAll(t, 0, beginEpoch())
	for i := range 2*maxLost + recent {
		s.Apply(time.Unix(1_000_000, 0), &controlpb.WorkBatch{LedMs: (time.Duration(i) * loss).Milliseconds()})
		id := fmt.Sprintf("w%d", i)
		s.applyAll(t, 0, &controlpb.WorkChange{Kind: &controlpb.WorkChange_PutWorker{PutWorker: &controlpb.WorkerLife{Id: id, BornMs: 1, Address: id}}})
		s.applyAll(t, 0, &controlpb.WorkChange{Kind: &controlpb.WorkChange_EndLife{EndLife: &controlpb.EndLife{Number: s.WorkerByID(id).GetNumber()}}})
		if i >= recent && s.lostWorkers[fmt.Sprintf("w%d", i-recent)] == nil {
			t.Fatalf("after %d losses, the one %d before isn't remembered", i+1, recent)
		}
		if len(s.lostWorkers) > maxLost {
			t.Fatalf("%d lost workers are remembered", len(s.lostWorkers))
		}
	}
}
