package workload

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// Every replica must know the same recent crashes, also after a snapshot: a bounded number, without losses that may not be crashes.
func TestRecentCrashes(t *testing.T) {
	s := New()
	apply := func(led time.Duration, changes ...*controlpb.WorkChange) {
		s.Apply(time.Unix(1_000_000, 0), &controlpb.WorkBatch{Changes: changes, LedMs: led.Milliseconds()})
		if other := restored(t, s, false); !proto.Equal(other.Snapshot(), s.Snapshot()) {
			t.Fatal("a snapshot changes the state")
		}
	}
	announce := func(id string) *controlpb.WorkChange {
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_PutWorker{PutWorker: &controlpb.WorkerLife{Id: id, BornMs: 1, Address: id}}}
	}
	end := func(number uint32, crashed, explained bool) *controlpb.WorkChange {
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_EndLife{EndLife: &controlpb.EndLife{Number: number, Crashed: crashed, Explained: explained}}}
	}
	expect := func(want ...*controlpb.WorkerCrash) {
		t.Helper()
		if got := s.Crashes(); !slices.EqualFunc(got, want, func(a, b *controlpb.WorkerCrash) bool { return proto.Equal(a, b) }) {
			t.Errorf("the recent crashes are %v, expected %v", got, want)
		}
	}
	apply(0, beginEpoch(), announce("a"), announce("b"), announce("c"))
	apply(time.Second, end(1, true, true))
	apply(2*time.Second, end(2, false, true), end(3, true, false), end(3, true, false))
	first, second := &controlpb.WorkerCrash{ElapsedMs: 1000, Explained: true}, &controlpb.WorkerCrash{ElapsedMs: 2000}
	expect(first, second)
	apply(0, beginEpoch())
	apply(CrashWindow - time.Second)
	expect(first, second)
	apply(CrashWindow - time.Second + time.Millisecond)
	expect(second)
	s.crashes = slices.Repeat([]*controlpb.WorkerCrash{second}, maxCrashes+1)
	apply(CrashWindow)
	if n := len(s.Crashes()); n != maxCrashes {
		t.Errorf("%d crashes are known, expected at most %d", n, maxCrashes)
	}
	apply(CrashWindow + time.Millisecond)
	expect()
}
