package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// A member of a best-effort gang must not get a throttled start by itself: it would wait for the others in vain.
func TestNoThrottledStartOfOneGangMember(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 6)
	sim.interference = func(string, string) float64 { return 1.2 }
	sim.submit("urgent", "serving", servingOnAll(6))
	sim.run(2 * time.Second)
	for i := range 3 { // tasks for which no host has room, until the interference is known
		sim.submit("batch", fmt.Sprintf("single-%d", i), bestEffort(4, "fill", 2*time.Second))
		sim.run(time.Second)
	}
	gang := bestEffort(4, "fill", 2*time.Second)
	gang.Gang = true
	sim.submit("batch", "gang", gang)
	sim.run(10 * time.Second)
	if sim.gangTimeouts > 0 {
		t.Errorf("%d members of a gang have timed out waiting for the others", sim.gangTimeouts)
	}
}

// A copy of a member of a speculative gang must not start: it would wait for the others in vain.
func TestNoCopyOfOneGangMember(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 6)
	sim.submit("batch", "warm", dedicated(6, time.Second))
	sim.run(3 * time.Second)
	gang := dedicated(4, 6*time.Second)
	gang.Gang, gang.Speculative, gang.MaxPerWorker = true, true, 1
	sim.submit("batch", "gang", gang)
	sim.run(time.Second)
	sim.busyWorker("gang").answersLost = true
	sim.run(30 * time.Second)
	if sim.gangTimeouts > 0 {
		t.Errorf("%d members of a gang have timed out waiting for the others", sim.gangTimeouts)
	}
	sim.expect("gang", controlpb.WorkState_WORK_COMPLETED)
}
