package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/colocation"
	"galenamoor/internal/decision/workload"
	"galenamoor/pkg/resource"
)

// largeLasting returns a lasting step of tasks that need nearly all that a host of a mixed fleet has left.
func largeLasting(count uint32) *controlpb.WorkStep {
	step := lasting(count, "image")
	step.Processors = 24_000
	return step
}

// newMixedFleet returns a simulation of 41 workers with 64 cores, and a flow of finite tasks that takes each gap. The first four each
// run two tasks of the job large and, if withSmall is set, one of the job small, which was accepted later. Each of the others has 25 cores left beside lasting tasks that can't move.
func newMixedFleet(t *testing.T, withSmall bool) (*simulation, *finiteFlow) {
	t.Helper()
	sim := newSimulation(t, 1)
	sim.configure()
	sim.addLargeWorkers(4, 250<<10)
	sim.submit("urgent", "large", largeLasting(8))
	sim.run(time.Second)
	if withSmall {
		sim.submit("urgent", "small", lasting(4, "image"))
	}
	sim.run(time.Second)
	sim.addOccupiedWorkers(37, 250<<10)
	sim.run(time.Second)
	flow := &finiteFlow{sim: sim, interval: 40 * time.Millisecond, tasks: 10, accepted: map[string]time.Time{}}
	flow.run(5*time.Second, func() {})
	if waiting := sim.waitingLasting(); waiting != 0 {
		t.Fatalf("%d lasting tasks wait", waiting)
	}
	return sim, flow
}

// loseLasting stops the workers that run the large and small tasks.
func (sim *simulation) loseLasting() {
	for _, w := range sim.workers[:4] {
		w.up = false
	}
}

// stepOf returns the only step of a job.
func (sim *simulation) stepOf(job string) *workload.Step {
	return sim.state.Job(job).Steps(0)[0]
}

// hostsWithRoom returns the number of usable workers with free room for a task of a step.
func (sim *simulation) hostsWithRoom(step *workload.Step) int {
	count := 0
	for _, h := range sim.dispatcher.hosts() {
		if step.Demand().Fits(h.Free) {
			count++
		}
	}
	return count
}

// Room that grew on a host for an interrupted task stood idle for up to 3 s while a smaller interrupted one that fit there waited.
func TestHeldRoomServesInterruptedTasks(t *testing.T) {
	sim, flow := newMixedFleet(t, true)
	sim.loseLasting()
	small := sim.stepOf("small")
	var idleSince time.Time
	var longest time.Duration
	interrupted, heldMost := 0, 0
	flow.run(20*time.Second, func() {
		interrupted, heldMost = max(interrupted, small.Waiting), max(heldMost, sim.dispatcher.heldWorkers())
		switch {
		case sim.dispatcher.countPlaceable(small) == 0 || sim.hostsWithRoom(small) == 0:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = sim.now
		default:
			longest = max(longest, sim.now.Sub(idleSince))
		}
	})
	t.Logf("%d interrupted tasks wait beside hosts with room for up to %v", interrupted, longest)
	if interrupted == 0 || heldMost == 0 {
		t.Fatalf("%d small tasks are interrupted, and room is held on %d workers", interrupted, heldMost)
	}
	if bound := 3 * passInterval; longest > bound {
		t.Errorf("interrupted tasks wait %v beside a host with room for them, longer than %v", longest, bound)
	}
	if small.Waiting > 0 {
		t.Errorf("%d small tasks still wait", small.Waiting)
	}
}

// A small task that has never run must not take room from a larger one that waits for another run.
func TestHeldRoomIsKeptFromNewLastingTasks(t *testing.T) {
	sim := newLabelledFleet(t, 2, 1)
	label, submitted := sim.workers[0].incarnation.GetId(), 0
	fill := func() { // keeps three finite tasks, and so 13 of the 25 cores free
		submitted++
		sim.request(submission("urgent", fmt.Sprintf("finite-%d", submitted), labelled(dedicated(1, 1500*time.Millisecond), label)))
		sim.run(500 * time.Millisecond)
	}
	for range 6 {
		fill()
	}
	sim.submit("urgent", "large", largeLasting(1))
	fill()
	sim.workers[1].up = false
	large := sim.stepOf("large")
	for end := sim.now.Add(10 * time.Second); large.Waiting == 0 && sim.now.Before(end); {
		fill()
	}
	small := labelled(lasting(1, ""), label)
	small.TargetMs = 0 // serving jobs are rejected for want of room
	if outcome := sim.submit("urgent", "new", small); outcome != controlpb.WorkOutcome_WORK_OK {
		t.Fatal(outcome)
	}
	withRoom := time.Duration(0)
	for end := sim.now.Add(10 * time.Second); large.Waiting > 0 && sim.now.Before(end); sim.run(10 * time.Millisecond) {
		if sim.dispatcher.heldWorkers() > 0 && sim.hostsWithRoom(sim.stepOf("new")) > 0 {
			withRoom += 10 * time.Millisecond
		}
		if sim.state.Job("new").LiveRuns() > 0 {
			t.Fatal("the new task runs while the large one waits")
		}
	}
	t.Logf("the new task waits beside room that fits it for %v", withRoom)
	if withRoom < 3*passInterval {
		t.Errorf("held room fits the new task for only %v", withRoom)
	}
	if large.Waiting > 0 {
		t.Error("the large task gets no room")
	}
}

// Smaller interrupted tasks that use held room must not keep the larger one waiting once they run, and finite tasks stay out.
func TestLargeTasksGetRoomAfterSmallerOnes(t *testing.T) {
	sim, flow := newMixedFleet(t, true)
	before := flow.meanAndReset()
	sim.loseLasting()
	small, large := sim.stepOf("small"), sim.stepOf("large")
	var smallPlaced, largePlaced time.Time
	flow.run(20*time.Second, func() {
		if small.Waiting > 0 {
			smallPlaced = sim.now
		}
		if large.Waiting > 0 {
			largePlaced = sim.now
		}
	})
	during := flow.meanAndReset()
	t.Logf("large tasks run %v after the small ones; finite jobs took %v before the loss and %v since", largePlaced.Sub(smallPlaced), before, during)
	if smallPlaced.IsZero() || largePlaced.IsZero() {
		t.Fatal("no lasting task was lost")
	}
	if waited := largePlaced.Sub(smallPlaced); waited > 2*maxHoldWait { // room is held for half of them at a time
		t.Errorf("large tasks wait %v after the small ones run", waited)
	}
	if during > before+time.Second {
		t.Errorf("finite jobs took %v on average, and %v before the loss", during, before)
	}
}

// Steps of equal rank must not take over each other's holds in turn, and an interrupted task must not wait for one that is new.
func TestHoldsFollowOrderOfSteps(t *testing.T) {
	lastingStep := &workload.Step{WorkStep: lasting(1, "image")}
	finiteStep := &workload.Step{WorkStep: dedicated(1, time.Second)}
	for name, test := range map[string]struct {
		heldInterrupted     bool
		waiting             candidate
		usesFree, takesOver bool
	}{
		"finite":                {true, candidate{step: finiteStep}, false, false},
		"finite, new held":      {false, candidate{step: finiteStep}, false, false},
		"interrupted":           {true, candidate{step: lastingStep, interrupted: true}, true, false},
		"new":                   {true, candidate{step: lastingStep}, false, false},
		"new, new held":         {false, candidate{step: lastingStep}, true, false},
		"interrupted, new held": {false, candidate{step: lastingStep, interrupted: true}, true, true},
		"more urgent finite":    {true, candidate{step: finiteStep, queue: &controlpb.WorkQueue{Priority: -1}}, true, true},
		"more urgent new":       {true, candidate{step: lastingStep, queue: &controlpb.WorkQueue{Priority: -1}}, true, true},
		"less urgent":           {false, candidate{step: lastingStep, queue: &controlpb.WorkQueue{Priority: 1}, interrupted: true}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := &host{
				Host:   &colocation.Host{Free: resource.Vector{Processors: 20_000, Memory: 100 << 10}},
				worker: &worker{hold: &hold{step: &workload.Step{WorkStep: largeLasting(1)}, interrupted: test.heldInterrupted}},
			}
			if uses := respectsHold(test.waiting, test.waiting.step.Demand(), h); uses != test.usesFree {
				t.Errorf("the step may use free room: %v, expected %v", uses, test.usesFree)
			}
			if takesOver := !h.worker.isHeldFrom(test.waiting); takesOver != test.takesOver {
				t.Errorf("the step may take over the hold: %v, expected %v", takesOver, test.takesOver)
			}
		})
	}
}
