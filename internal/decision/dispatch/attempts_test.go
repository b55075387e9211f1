package dispatch

import (
	"testing"
	"time"
)

// A task must not start again once a configuration has lowered the limit of attempts to the number that have failed.
func TestNoStartAfterLoweredMaxAttempts(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	sim.submit("urgent", "a", dedicated(1, time.Second))
	sim.runGrey(sim.workers[0], 300*time.Millisecond)
	sim.replaceRouting(2, 1)
	sim.run(5 * time.Second)
	if starts := sim.starts["a.0.0.0"]; starts != 1 {
		t.Errorf("%d starts, expected no other after a failed attempt of one", starts)
	}
}
