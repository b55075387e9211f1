package outlier_test

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/decision/outlier"
)

// TestEjections guards against the ejection of so many endpoints that the others are overloaded, and against failing
// endpoints that are retried at short intervals forever.
func TestEjections(t *testing.T) {
	d, now := outlier.New(), time.Unix(1000, 0)
	for i := range 9 {
		d.Add(fmt.Sprint(i))
	}
	for i := range 9 {
		for range outlier.MaxFailures {
			d.Failure(now, fmt.Sprint(i))
		}
	}
	if got := d.Ejected(now); got != 3 {
		t.Errorf("%d of 9 endpoints ejected, expected 3", got)
	}
	duration := outlier.MinEjectionTime
	for range 3 {
		now = now.Add(duration)
		duration *= 2
		if until, ejected := d.Failure(now, "0"); !ejected || until.Sub(now) != duration {
			t.Fatalf("ejected %v for %v, expected %v", ejected, until.Sub(now), duration)
		}
	}
}

// TestSlowEndpoint guards against a slow endpoint that is not ejected, and against ejections for moderate differences
// in latency.
func TestSlowEndpoint(t *testing.T) {
	d, now := outlier.New(), time.Unix(1000, 0)
	latencies := map[string]time.Duration{"a": 10, "b": 11, "c": 12, "d": 30, "e": 100}
	for name := range latencies {
		d.Add(name)
	}
	ejections := map[string]bool{}
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		for name, latency := range latencies {
			if _, ejected := d.Success(now, name, latency*time.Millisecond); ejected {
				ejections[name] = true
			}
		}
	}
	if len(ejections) != 1 || !ejections["e"] {
		t.Errorf("ejected %v, expected only e", ejections)
	}
}
