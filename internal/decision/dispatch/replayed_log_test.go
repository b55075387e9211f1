package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// A lease that the log records must not count from when a restarted controller reads that part of its log: the lease of a worker that was
// lost shortly before would last as long as the longest one.
func TestReplayedLogDatesNoLeaseAnew(t *testing.T) {
	const tasks, margin = 16, 300 * time.Millisecond
	for _, silence := range []time.Duration{0, time.Second, 2500 * time.Millisecond, 4 * time.Second} {
		t.Run(fmt.Sprintf("silence=%v", silence), func(t *testing.T) {
			sim := newSimulation(t, 1)
			disk := newDisk(sim) // it holds the epoch of the first leader, which had to await the longest lease
			sim.configure()
			for i := range 8 {
				sim.addWorker(fmt.Sprintf("zone-%d", i%2), fmt.Sprintf("r-%d", i%4))
			}
			sim.run(20 * time.Second)
			sim.submit("urgent", "a", serving(tasks, "image"))
			sim.run(5 * time.Second)
			sim.crashWorkers(4)
			crashed := sim.now
			sim.run(silence)
			sim.restartControllersByReplay(disk)
			due := crashed.Add(leaseBound + margin)
			if silent := sim.now.Add(unresponsiveAfter + margin); silent.After(due) {
				due = silent
			}
			sim.awaitServingRuns("a", tasks)
			if sim.now.After(due) {
				t.Errorf("the tasks run again %v after the loss, expected at most %v", sim.now.Sub(crashed), due.Sub(crashed))
			}
		})
	}
}
