package workload

import (
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// A rejected incarnation must not end another one at its address: the replicas removed it or not by the order of a map.
func TestRejectedIncarnationEndsNone(t *testing.T) {
	put := func(id, address string, bornMs int64) *controlpb.WorkChange {
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_PutWorker{PutWorker: &controlpb.WorkerLife{Id: id, Address: address, BornMs: bornMs}}}
	}
	for range 20 {
		s := New()
		s.applyAll(t, 0, beginEpoch())
		s.applyAll(t, 0, put("early", "10.0.0.1:80", 10), put("late", "10.0.0.2:80", 30), put("early", "10.0.0.2:80", 10))
		result := s.Apply(time.Unix(1_000_000, 0), &controlpb.WorkBatch{Changes: []*controlpb.WorkChange{put("between", "10.0.0.2:80", 20)}})
		if code := result.GetResults()[0].GetCode(); code != controlpb.ResultCode_RESULT_CONFLICT {
			t.Fatalf("the incarnation between two at its address got %v, expected a conflict", code)
		}
		if s.WorkerByID("early") == nil || s.WorkerByID("late") == nil {
			t.Fatalf("the rejected incarnation has ended another one: %d are left of 2", len(s.Workers()))
		}
	}
}
