package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// newLabelledFleet returns a simulation of workers with 64 cores, each labelled with its ID, beside lasting tasks that leave 25 cores of
// the first full workers.
func newLabelledFleet(t *testing.T, workers, full int) *simulation {
	t.Helper()
	sim := newSimulation(t, 1)
	sim.configure()
	for i := range workers {
		w := sim.addWorker(fmt.Sprintf("zone-%d", i%4), fmt.Sprintf("r-%d", i/8))
		w.incarnation.Processors, w.incarnation.Memory = 64_000, 250<<10
		w.incarnation.Labels = append(w.incarnation.Labels, w.incarnation.GetId())
		if i < full {
			w.incarnation.Labels = append(w.incarnation.Labels, "full")
		}
	}
	sim.run(3 * time.Second)
	for _, w := range sim.workers[:full] {
		sim.submit("urgent", "fixed-"+w.incarnation.GetId(), labelled(lasting(3, "other"), w.incarnation.GetId()))
	}
	sim.run(time.Second)
	return sim
}

func labelled(step *controlpb.WorkStep, label string) *controlpb.WorkStep {
	step.RequiredLabel = label
	return step
}

// holdForLessUrgent makes a lasting task of the less urgent queue wait, and returns a worker on which room is held for it.
func (sim *simulation) holdForLessUrgent() *worker {
	sim.t.Helper()
	for i := range len(sim.workers) {
		sim.request(submission("batch", fmt.Sprintf("fill-%d", i), dedicated(6, 1500*time.Millisecond)))
	}
	sim.run(200 * time.Millisecond)
	sim.request(submission("batch", "waiting", lasting(2, "image")))
	for range 100 {
		sim.run(10 * time.Millisecond)
		for _, w := range sim.dispatcher.orderedWorkers {
			if w.hold != nil {
				return w
			}
		}
	}
	sim.t.Fatal("no room is held")
	return nil
}

// Room that is held for a less urgent task must not keep a more urgent one waiting, whether it is finite or lasts.
func TestUrgentTasksIgnoreLessUrgentHolds(t *testing.T) {
	for name, step := range map[string]*controlpb.WorkStep{"finite": dedicated(1, time.Second), "lasting": lasting(1, "other")} {
		t.Run(name, func(t *testing.T) {
			sim := newLabelledFleet(t, 16, 16)
			held := sim.holdForLessUrgent()
			submitted := sim.now
			sim.request(submission("urgent", "urgent", labelled(step, held.incarnation.GetId())))
			for sim.servingRuns("urgent") == 0 && sim.now.Sub(submitted) < 20*time.Second {
				sim.run(10 * time.Millisecond)
			}
			if waited := sim.now.Sub(submitted); waited > 800*time.Millisecond { // a run is seen by a poll before it is preempted
				t.Errorf("the urgent task waits %v", waited)
			}
		})
	}
}

// Finite tasks that may run on few hosts must find room there: the held share is that of these hosts.
func TestHeldShareOfLabel(t *testing.T) {
	sim := newLabelledFleet(t, 40, 4)
	most := 0
	for i := range 330 {
		if i == 30 {
			sim.request(submission("urgent", "waiting", labelled(lasting(8, "image"), "full")))
		}
		finite := dedicated(2, time.Duration(600+100*(i%5))*time.Millisecond)
		sim.request(submission("urgent", fmt.Sprintf("finite-%d", i), labelled(finite, "full")))
		sim.run(100 * time.Millisecond)
		most = max(most, sim.dispatcher.heldWorkers())
	}
	if most != 1 {
		t.Errorf("room is held on %d of the 4 hosts that may run the finite tasks", most)
	}
}

// Many lasting steps that find no room must not make a pass search all hosts for each of them.
func TestHoldSearchesAreBounded(t *testing.T) {
	const workers, steps = 40, 30
	sim := newLabelledFleet(t, workers, workers)
	for i := range steps {
		step := lasting(1, fmt.Sprintf("image-%d", i))
		step.Processors = 40_000
		sim.request(submission("urgent", fmt.Sprintf("waiting-%d", i), step))
	}
	most := 0
	for range 100 {
		sim.run(10 * time.Millisecond)
		most = max(most, maxRatingsPerPass-sim.dispatcher.ratingBudget)
	}
	if sim.waitingLasting() < steps {
		t.Fatalf("%d lasting tasks wait", sim.waitingLasting())
	}
	if limit := (maxHoldSearches + 1) * workers; most > limit {
		t.Errorf("a pass rates %d hosts, expected at most %d", most, limit)
	}
}

// Steps that no host will have room for must leave searches to the others.
func TestHoldSearchesReachLaterSteps(t *testing.T) {
	sim := newLabelledFleet(t, 16, 16)
	for i := range maxHoldSearches + 1 {
		step := lasting(1, fmt.Sprintf("image-%d", i))
		step.Processors = 26_000 // of 25 that each host has free
		sim.request(submission("batch", fmt.Sprintf("large-%d", i), step))
	}
	sim.run(200 * time.Millisecond)
	sim.holdForLessUrgent()
}
