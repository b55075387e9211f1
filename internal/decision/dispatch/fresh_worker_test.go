package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// A worker that is lost soon after it was registered must be noticed as soon as any other: no leader has granted it the longest lease.
func TestFreshWorkerLost(t *testing.T) {
	const tasks, margin = 4, 300 * time.Millisecond
	for _, led := range []time.Duration{time.Second, 5 * time.Second, 30 * time.Second} {
		for _, age := range []time.Duration{600 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second} {
			t.Run(fmt.Sprintf("led=%v/age=%v", led, age), func(t *testing.T) {
				sim := newSimulationWithWorkers(t, 1, 1)
				sim.dispatcher.config.Limits.MaxLease = 10 * time.Second
				sim.submit("urgent", "a", serving(tasks, "image"))
				sim.run(5 * time.Second)
				sim.changeLeader()
				sim.run(led)
				sim.crashWorkers(1)
				sim.run(7 * time.Second) // it has been declared lost, so that the tasks wait for the fresh worker
				fresh := sim.addWorker("zone-0", "r-0")
				sim.awaitServingRuns("a", tasks)
				sim.run(max(0, age-sim.now.Sub(fresh.began)))
				sim.addWorker("zone-1", "r-1")
				fresh.crash(time.Hour)
				crashed := sim.now
				sim.awaitServingRuns("a", tasks)
				if waited := sim.now.Sub(crashed); waited > leaseBound+margin {
					t.Errorf("the tasks run again %v after the loss, expected at most %v", waited, leaseBound+margin)
				}
			})
		}
	}
}
