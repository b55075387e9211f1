package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/decision/imagepair"
)

// newInterferingFleet returns a simulation of 12 workers with serving tasks that interference keeps best-effort steps of the batch
// queue away from. The last three steps need so little memory that they also fit on a further worker, which is down and has 3 GiB.
func newInterferingFleet(t *testing.T, steps int) *simulation {
	t.Helper()
	const workers = 12
	sim := newSimulationWithWorkers(t, 1, workers)
	sim.interference = func(string, string) float64 { return 2 }
	served := serving(workers, "served")
	served.Processors, served.MaxPerWorker = 20_000, 1
	busy := dedicated(workers, time.Hour)
	busy.Processors, busy.MaxPerWorker = 10_000, 1 // less than half of the processors are left, so that no task starts throttled
	sim.submit("urgent", "serving", served)
	sim.submit("urgent", "busy", busy)
	small := sim.addWorker("zone-0", "r-0")
	small.incarnation.Memory = 3 << 10
	sim.run(3 * time.Second)
	small.up = false
	sim.run(10 * time.Second)
	if n := len(sim.dispatcher.orderedWorkers); n != workers {
		t.Fatalf("%d workers are left, expected %d", n, workers)
	}
	for i := range steps {
		image := fmt.Sprintf("fill-%d", i)
		sim.dispatcher.interference.Restore(sim.now, imagepair.Pair{Victim: "served", Aggressor: image, LogOdds: 5})
		step := bestEffort(1, image, time.Second)
		if i >= steps-3 {
			step.Memory = 1 << 10
		}
		sim.request(submission("batch", image, step))
	}
	sim.run(300 * time.Millisecond)
	return sim
}

// ratingsPerPass returns the mean number of hosts that a pass rates in a second, in which before is called ahead of each tick.
func (sim *simulation) ratingsPerPass(before func()) int {
	passes, ratings := 0, 0
	for range 100 {
		before()
		last := sim.dispatcher.nextPass
		if sim.run(10 * time.Millisecond); sim.dispatcher.nextPass != last {
			passes, ratings = passes+1, ratings+maxRatingsPerPass-sim.dispatcher.ratingBudget
		}
	}
	return ratings / max(1, passes)
}

// Rating all hosts in each pass for steps that interference keeps out everywhere delayed the starts of all others.
func TestDeferralSavesRatings(t *testing.T) {
	sim := newInterferingFleet(t, 500)
	without := sim.ratingsPerPass(func() { clear(sim.dispatcher.deferred) })
	with := sim.ratingsPerPass(func() {})
	t.Logf("a pass rates %d hosts, and %d without deferral", with, without)
	if without < 2*maxVainRatings || with > without*3/4 {
		t.Errorf("a pass rates %d hosts, and %d without deferral", with, without)
	}
}

// A deferred step must get the room of a host soon after that has become available.
func TestDeferredStepsUseNewHost(t *testing.T) {
	const steps = 500
	sim := newInterferingFleet(t, steps)
	small := map[string]bool{}
	for i := steps - 3; i < steps; i++ {
		small[fmt.Sprintf("fill-%d", i)] = true
	}
	w := sim.workers[len(sim.workers)-1]
	w.startIncarnation(w.incarnation)
	var usableAt time.Time
	deferredSmall := 0
	for end := sim.now.Add(4 * time.Second); len(w.runs) == 0 && sim.now.Before(end); sim.run(10 * time.Millisecond) {
		last := sim.dispatcher.orderedWorkers[len(sim.dispatcher.orderedWorkers)-1]
		if !usableAt.IsZero() || last.incarnation.GetId() != w.incarnation.GetId() || !sim.dispatcher.isUsable(last) {
			continue
		}
		usableAt = sim.now
		for step := range sim.dispatcher.deferred {
			if small[step.Job.Spec.GetId()] {
				deferredSmall++
			}
		}
	}
	waited := sim.now.Sub(usableAt)
	if usableAt.IsZero() || deferredSmall == 0 {
		t.Fatalf("%d steps that fit on the new host are deferred when it is available", deferredSmall)
	}
	t.Logf("a best-effort task starts %v after a host is available, which %d deferred steps fit", waited, deferredSmall)
	if waited > 600*time.Millisecond {
		t.Errorf("a best-effort task starts only %v after a host is available", waited)
	}
}

// A few steps that find no host cost little, so that each pass must consider them.
func TestFewStepsAreNotDeferred(t *testing.T) {
	sim := newInterferingFleet(t, 20)
	ratings := sim.ratingsPerPass(func() {
		if n := len(sim.dispatcher.deferred); n > 0 {
			t.Fatalf("%d steps are deferred", n)
		}
	})
	if ratings < 20*len(sim.dispatcher.orderedWorkers) {
		t.Errorf("a pass rates %d hosts for 20 steps", ratings)
	}
	if waiting := len(sim.dispatcher.candidates()); waiting != 20 {
		t.Errorf("%d steps wait, expected 20", waiting)
	}
}
