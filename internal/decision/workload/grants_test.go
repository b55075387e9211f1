package workload

import (
	"testing"

	"galenamoor/internal/controlpb"
)

// A new leader must know which leaders may have granted leases to a worker, also after an announcement, and from a snapshot. One of an earlier
// version may hold outdated records.
func TestGrantedEpoch(t *testing.T) {
	s := New()
	announce := func(bornMs int64) *controlpb.WorkChange {
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_PutWorker{PutWorker: &controlpb.WorkerLife{Id: "w", BornMs: bornMs, Address: "h:1", GrantedEpoch: 99}}}
	}
	begin := func() *controlpb.WorkChange {
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_BeginEpoch{BeginEpoch: &controlpb.BeginEpoch{LeaseMs: 4785, RecordsGrants: true}}}
	}
	grant := &controlpb.WorkChange{Kind: &controlpb.WorkChange_BeginGrants{BeginGrants: &controlpb.BeginGrants{Workers: []uint32{1, 2, 7}}}}
	for i, step := range []struct {
		change   *controlpb.WorkChange
		expected uint64
	}{
		{announce(1), 0}, {begin(), 0}, {announce(2), 1}, {begin(), 1}, {announce(2), 1}, {grant, 2}, {begin(), 2}, {begin(), 2}, {announce(2), 2}, {announce(3), 4}, {grant, 4},
	} {
		s.applyAll(t, 0, step.change)
		if got := s.WorkerByID("w").GetGrantedEpoch(); got != step.expected {
			t.Errorf("after change %d: epoch %d may have granted a lease, expected %d", i, got, step.expected)
		}
	}
	for _, earlier := range []bool{false, true} {
		snapshot := s.Snapshot()
		snapshot.RecordsGrants = !earlier
		restored := New()
		if err := restored.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		if got := restored.WorkerByID("w").GetGrantedEpoch(); got != 4 {
			t.Errorf("in a snapshot, epoch %d may have granted a lease, expected 4", got)
		}
		for _, e := range restored.Epochs() {
			if e.GetLeaseMs() != 4785 || e.GetRecordsGrants() == earlier {
				t.Errorf("snapshot of an earlier version: %v, epoch: %v", earlier, e)
			}
		}
	}
}
