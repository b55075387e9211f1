package dispatch

import (
	"testing"
	"time"
)

// Tasks that had never run took the workers that replaced lost ones, while services that had run there stayed down.
func TestInterruptedTasksPrecedeNewOnes(t *testing.T) {
	const workers, lost, replacementInterval = 9, 4, 4 * time.Second
	sim := newLabelledFleet(t, workers, workers)
	large := lasting(4, "large")
	large.Processors = 26_000 // of 25 cores that each host has free
	sim.submit("urgent", "new", large)
	sim.submit("urgent", "running", lasting(workers, "image"))
	sim.run(time.Second)
	if runs := sim.servingRuns("running"); runs != workers || sim.servingRuns("new") > 0 {
		t.Fatalf("%d tasks run", runs)
	}
	for _, w := range sim.workers[:lost] {
		w.up = false
	}
	interrupted := sim.state.Job("running").Steps(0)[0]
	for interrupted.Waiting < lost {
		sim.run(10 * time.Millisecond)
	}
	since := sim.now
	var restarted, started time.Duration
	for (restarted == 0 || started == 0) && sim.now.Sub(since) < time.Minute {
		if passed := sim.now.Sub(since); passed%replacementInterval == 0 && passed <= 3*replacementInterval {
			w := sim.addWorker("zone-0", "r-0")
			w.incarnation.Processors, w.incarnation.Memory = 64_000, 250<<10
		}
		sim.run(10 * time.Millisecond)
		if restarted == 0 && interrupted.Waiting == 0 {
			restarted = sim.now.Sub(since)
		}
		if started == 0 && sim.state.Job("new").Steps(0)[0].Waiting == 0 {
			started = sim.now.Sub(since)
		}
	}
	t.Logf("interrupted tasks wait %v, new ones %v", restarted, started)
	if restarted == 0 || restarted > replacementInterval {
		t.Errorf("interrupted tasks wait %v, though the first replacement has room for them", restarted)
	}
	if started == 0 {
		t.Error("new tasks don't start, though the later replacements have room for them")
	}
}
