package fairshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1_000_000, 0)

// Guards against an account that loses its share by sending more than it, or gets more than its share and the burst.
func TestFloodGetsItsShare(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("jobs within the share", prop.ForAll(func(weight float64, factor int) bool {
		const length = 60 * time.Second
		m, within := New(), 0
		every := time.Duration(float64(time.Second) / weight / float64(factor))
		for at := time.Duration(0); at < length; at += every {
			if m.Accept("a", weight, start.Add(at)) == 0 {
				within++
			}
		}
		share, burst := weight*length.Seconds(), max(weight*burstTime.Seconds(), burstJobs)
		return float64(within) >= share-1 && float64(within) <= share+burst+2
	}, gen.Float64Range(0.2, 20), gen.IntRange(2, 12)))
	properties.TestingRun(t)
}

// Guards against accounts within their shares that count as in excess.
func TestSteadyJobsAreWithinTheShare(t *testing.T) {
	m := New()
	for i := range 100 {
		if excess := m.Accept("a", 0.5, start.Add(time.Duration(i)*2*time.Second)); excess > 0 {
			t.Fatalf("job %d is in excess by %v", i, excess)
		}
	}
}

// Guards against excess that doesn't tell accounts apart by weight, and against a flood that counts for long.
func TestExcessFollowsWeightAndEnds(t *testing.T) {
	m := New()
	last := map[string]time.Duration{}
	for range 100 {
		last["light"], last["heavy"] = m.Accept("light", 1, start), m.Accept("heavy", 4, start)
	}
	if last["light"] < 2*last["heavy"] {
		t.Errorf("excess of equal floods: %v", last)
	}
	for range 1000 {
		m.Accept("light", 1, start)
	}
	after := start.Add(maxExcess)
	for range burstJobs {
		if excess := m.Accept("light", 1, after); excess > 0 {
			t.Fatalf("excess %v a minute after the flood", excess)
		}
	}
}

// Guards against a new leader for which an account in excess starts anew.
func TestRestoredMeterContinues(t *testing.T) {
	m, restored := New(), New()
	at := start
	for range 50 {
		restored.Restore("a", 2, at, m.Accept("a", 2, at))
		at = at.Add(100 * time.Millisecond)
	}
	for range 50 {
		want, got := m.Accept("a", 2, at), restored.Accept("a", 2, at)
		if want != got {
			t.Fatalf("excess %v, expected %v", got, want)
		}
		at = at.Add(100 * time.Millisecond)
	}
}

// Guards against clocks that are kept for each account that ever submitted a job, and against a clock that was set back.
func TestClocksAreBounded(t *testing.T) {
	m := New()
	for i := range 10_000 {
		m.Accept(fmt.Sprintf("account-%d", i), 1, start.Add(time.Duration(i)*time.Second))
	}
	if len(m.clocks) > 2*minPruned {
		t.Errorf("%d clocks are kept", len(m.clocks))
	}
	m.Accept("a", 1, start.Add(time.Hour))
	if m.Accept("a", 1, start); m.Accept("a", 1, start.Add(2*time.Second)) > 0 {
		t.Error("a job is in excess after the clock was set back")
	}
}
