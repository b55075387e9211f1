package workload

import (
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// Calls of a leader that doesn't bind them must count until a minute after its end, also after a snapshot, and those of one that binds them
// never.
func TestUnboundCallsMatterForAMinute(t *testing.T) {
	s := New()
	begin := func(bound bool) {
		s.applyAll(t, 0, &controlpb.WorkChange{Kind: &controlpb.WorkChange_BeginEpoch{BeginEpoch: &controlpb.BeginEpoch{BoundCalls: bound}}})
	}
	led := time.Duration(0)
	pass := func(d time.Duration) {
		led += d
		s.Apply(time.Unix(1_000_000, 0), &controlpb.WorkBatch{LedMs: led.Milliseconds()})
	}
	expect := func(step string, want bool) {
		t.Helper()
		for _, state := range []*State{s, restored(t, s, false)} {
			if got := state.HasUnboundCalls(); got != want {
				t.Errorf("%s: got %v, want %v", step, got, want)
			}
		}
	}
	expect("no leader", false)
	begin(true)
	expect("bound", false)
	begin(false)
	pass(2 * epochRetention)
	expect("unbound leader leads", true)
	led = 0
	begin(true)
	pass(epochRetention - time.Second)
	expect("unbound leader fell", true)
	pass(time.Second)
	expect("a minute later", false)
	led = 0
	begin(true)
	expect("further leader", false)
}
