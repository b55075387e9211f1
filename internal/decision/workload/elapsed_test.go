package workload

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// The elapsed time must not exceed the time that leaders have told: neither the time between two leaders counts, nor the difference
// between their own times, nor a batch that tells an earlier time.
func TestElapsed(t *testing.T) {
	s := New()
	apply := func(led time.Duration, changes ...*controlpb.WorkChange) {
		s.Apply(time.Unix(1_000_000, 0), &controlpb.WorkBatch{Changes: changes, LedMs: led.Milliseconds()})
		if other := restored(t, s, false); !proto.Equal(other.Snapshot(), s.Snapshot()) {
			t.Fatal("a snapshot changes the state")
		}
	}
	expect := func(elapsed time.Duration) {
		t.Helper()
		if s.Elapsed() != elapsed {
			t.Errorf("%v have elapsed, expected %v", s.Elapsed(), elapsed)
		}
	}
	apply(20*time.Millisecond, beginEpoch())
	expect(0)
	apply(time.Second)
	apply(500 * time.Millisecond)
	apply(0) // of an earlier version
	expect(980 * time.Millisecond)
	apply(3*time.Second, beginEpoch())
	expect(980 * time.Millisecond)
	apply(3100 * time.Millisecond)
	expect(1080 * time.Millisecond)
	apply(10*time.Millisecond, beginEpoch())
	apply(30 * time.Millisecond)
	expect(1100 * time.Millisecond)
	if at := s.NewestEpoch().GetElapsedMs(); at != 1080 {
		t.Errorf("the epoch began after %d ms", at)
	}
}
