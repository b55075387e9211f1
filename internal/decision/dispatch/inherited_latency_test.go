package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// A change of leader must not restart the time for which a serving task may exceed its latency target beside best-effort tasks,
// which the simulated workers check.
func TestNewLeaderPausesInTime(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulationWithWorkers(t, seed, 1)
		sim.interference = func(string, string) float64 { return 0.04 }
		sim.submit("urgent", "serving", serving(4, "image"))
		sim.run(2 * time.Second)
		for i := range 32 { // until the pairs are known to be harmless
			sim.submit("batch", fmt.Sprintf("warm-%d", i), bestEffort(2, fmt.Sprintf("fill-%d", i%4), time.Second))
			sim.run(1500 * time.Millisecond)
		}
		for i := range 4 {
			sim.submit("batch", fmt.Sprintf("fills-%d", i), bestEffort(1, fmt.Sprintf("fill-%d", i), 20*time.Second))
		}
		sim.run(2 * time.Second)
		sim.ownLoad = func(time.Time) float64 { return 0.56 }
		sim.run(1900*time.Millisecond + time.Duration(seed)*40*time.Millisecond)
		sim.changeLeader()
		sim.run(6 * time.Second)
	}
}
