package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/pkg/resource"
)

// lasting returns a serving step of tasks of 13 cores.
func lasting(count uint32, image string) *controlpb.WorkStep {
	step := serving(count, image)
	step.Processors, step.Memory = 13_000, 26<<10
	return step
}

// addLargeWorkers adds workers with 64 cores and the given memory that are labelled with their IDs.
func (sim *simulation) addLargeWorkers(count int, memory int64) {
	for range count {
		i := len(sim.workers)
		w := sim.addWorker(fmt.Sprintf("zone-%d", i%4), fmt.Sprintf("r-%d", i/8))
		w.incarnation.Processors, w.incarnation.Memory = 64_000, memory
		w.incarnation.Labels = append(w.incarnation.Labels, w.incarnation.GetId())
	}
	sim.run(3 * time.Second)
}

// addOccupiedWorkers adds such workers, and submits three lasting tasks for each that can't move.
func (sim *simulation) addOccupiedWorkers(count int, memory int64) {
	sim.addLargeWorkers(count, memory)
	for _, w := range sim.workers[len(sim.workers)-count:] {
		id := w.incarnation.GetId()
		sim.submit("urgent", "fixed-"+id, labelled(lasting(3, "other"), id))
	}
}

// newFragmentedFleet returns a simulation of 40 workers with 64 cores and the given memory. Three of them run the lasting tasks of
// three jobs, lasting-0 to lasting-2. Each of the others has 25 cores and all but 78 GiB left beside lasting tasks that can't move.
func newFragmentedFleet(t *testing.T, memory int64) *simulation {
	t.Helper()
	sim := newSimulation(t, 1)
	sim.configure()
	sim.addLargeWorkers(3, memory)
	for i := range 3 {
		sim.submit("urgent", fmt.Sprintf("lasting-%d", i), lasting(4, "image"))
	}
	sim.run(time.Second)
	sim.addOccupiedWorkers(37, memory)
	sim.run(time.Second)
	return sim
}

// waitingLasting returns the number of lasting tasks without a run.
func (sim *simulation) waitingLasting() int {
	waiting := 0
	for _, job := range sim.state.Jobs() {
		for _, step := range job.WaitingSteps(sim.now, 0) {
			if step.GetPerpetual() && !job.IsTerminal() {
				waiting += step.Waiting
			}
		}
	}
	return waiting
}

// finiteFlow submits jobs of finite tasks at an interval.
type finiteFlow struct {
	sim       *simulation
	interval  time.Duration
	tasks     uint32
	need      resource.Vector // of a task; four cores and 4 GiB if zero
	next      time.Time
	submitted int
	accepted  map[string]time.Time
	took      []time.Duration // of the completed jobs
}

func (f *finiteFlow) run(d time.Duration, each func()) {
	for end := f.sim.now.Add(d); f.sim.now.Before(end); {
		if !f.sim.now.Before(f.next) {
			f.next = f.sim.now.Add(f.interval)
			f.submitted++
			id := fmt.Sprintf("finite-%d", f.submitted)
			f.accepted[id] = f.sim.now
			step := dedicated(f.tasks, time.Duration(500+100*(f.submitted%7))*time.Millisecond)
			if !f.need.IsZero() {
				step.Processors, step.Memory = f.need.Processors, f.need.Memory
			}
			f.sim.request(submission("urgent", id, step))
		}
		f.sim.run(10 * time.Millisecond)
		for id, at := range f.accepted {
			if f.sim.stateOf(id) == controlpb.WorkState_WORK_COMPLETED {
				f.took = append(f.took, f.sim.now.Sub(at))
				delete(f.accepted, id)
			}
		}
		each()
	}
}

// meanAndReset returns the mean time that the jobs completed so far took, and forgets them.
func (f *finiteFlow) meanAndReset() time.Duration {
	f.sim.t.Helper()
	if len(f.took) == 0 {
		f.sim.t.Fatal("no finite job has completed")
	}
	sum := time.Duration(0)
	for _, took := range f.took {
		sum += took
	}
	mean := sum / time.Duration(len(f.took))
	f.took = nil
	return mean
}

// After the loss of their workers, lasting tasks waited without end while the hosts together had the room for them several times:
// finite tasks took every gap on each host.
func TestLastingTasksGetRoomInPieces(t *testing.T) {
	for name, flow := range map[string]finiteFlow{
		"gaps":     {interval: 50 * time.Millisecond, tasks: 10},
		"crowded":  {interval: 40 * time.Millisecond, tasks: 9},
		"overload": {interval: 40 * time.Millisecond, tasks: 10},
		"memory":   {interval: 50 * time.Millisecond, tasks: 10, need: resource.Vector{Processors: 1000, Memory: 5 << 10}},
	} {
		t.Run(name, func(t *testing.T) {
			memory := int64(250 << 10)
			if !flow.need.IsZero() {
				memory = 110 << 10
			}
			sim := newFragmentedFleet(t, memory)
			if waiting := sim.waitingLasting(); waiting != 0 {
				t.Fatalf("%d lasting tasks wait before the loss", waiting)
			}
			flow.sim, flow.accepted = sim, map[string]time.Time{}
			flow.run(5*time.Second, func() {})
			before := flow.meanAndReset()
			for _, w := range sim.workers[:3] {
				w.up = false
			}
			lost := sim.now
			var declared, last time.Duration
			mostHeld := 0
			flow.run(20*time.Second, func() {
				if sim.waitingLasting() > 0 {
					last = sim.now.Sub(lost)
				}
				if declared == 0 {
					declared = last
				}
				mostHeld = max(mostHeld, sim.dispatcher.heldWorkers())
			})
			during := flow.meanAndReset()
			t.Logf("lasting tasks wait from %v to %v after the loss; finite jobs took %v before it and %v since", declared, last, before, during)
			if declared == 0 {
				t.Fatal("no lasting task was lost")
			}
			if last > declared+holdTimeout {
				t.Errorf("the last lasting task got room %v after its worker was declared lost", last-declared)
			}
			if during > before+time.Second {
				t.Errorf("finite jobs took %v on average, and %v before the loss", during, before)
			}
			if limit := len(sim.workers) / 8; mostHeld > limit {
				t.Errorf("room was held on %d workers, more than %d", mostHeld, limit)
			}
		})
	}
}

// A hold that outlasts its purpose keeps finite tasks from room that nothing uses.
func TestHoldEnds(t *testing.T) {
	for name, test := range map[string]struct {
		change func(sim *simulation, held *worker)
		within time.Duration
	}{
		"its job is cancelled": {func(sim *simulation, held *worker) {
			id := held.hold.step.Job.Spec.GetId()
			sim.request(cancellationOf("urgent", id))
		}, 200 * time.Millisecond},
		"its tasks are placed elsewhere": {func(sim *simulation, _ *worker) {
			for range 3 {
				w := sim.addWorker("zone-0", "r-0")
				w.incarnation.Processors, w.incarnation.Memory = 64_000, 250<<10
			}
		}, time.Second},
		"its worker is silent":     {func(sim *simulation, held *worker) { sim.workerAt(held.address).up = false }, unresponsiveAfter + 2*callRetryDelay},
		"its worker makes no room": {func(sim *simulation, held *worker) { sim.workerAt(held.address).stalled = true }, holdTimeout + 2*passInterval},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newFragmentedFleet(t, 250<<10)
			flow := finiteFlow{sim: sim, interval: 50 * time.Millisecond, tasks: 10, accepted: map[string]time.Time{}}
			flow.run(5*time.Second, func() {})
			for _, w := range sim.workers[:3] {
				w.up = false
			}
			var held *worker
			for end := sim.now.Add(10 * time.Second); held == nil && sim.now.Before(end); {
				flow.run(10*time.Millisecond, func() {})
				for _, w := range sim.dispatcher.orderedWorkers {
					if w.hold != nil {
						held = w
					}
				}
			}
			if held == nil {
				t.Fatal("no room is held")
			}
			ended := held.hold
			test.change(sim, held)
			flow.run(test.within, func() {})
			if held.hold == ended {
				t.Errorf("the hold hasn't ended after %v", test.within)
			}
			flow.run(10*time.Second, func() {})
			if n := sim.dispatcher.heldWorkers(); n > 0 {
				t.Errorf("room is still held on %d workers", n)
			}
		})
	}
}

// A lasting task that was accepted later must not take the room for which one waits whose worker was lost.
func TestLostLastingTasksPrecedeLaterOnes(t *testing.T) {
	sim := newFragmentedFleet(t, 250<<10)
	flow := finiteFlow{sim: sim, interval: 50 * time.Millisecond, tasks: 10, accepted: map[string]time.Time{}}
	flow.run(5*time.Second, func() {})
	for _, w := range sim.workers[:3] {
		w.up = false
	}
	submitted, overtaken := 0, 0
	flow.run(12*time.Second, func() {
		waiting := sim.waitingLasting()
		if waiting > 0 && submitted < 5 {
			submitted++
			sim.request(submission("urgent", fmt.Sprintf("later-%d", submitted), lasting(4, "image")))
		}
		lost, later := 0, 0
		for _, job := range sim.state.Jobs() {
			id := job.Spec.GetId()
			switch {
			case strings.HasPrefix(id, "lasting-"):
				lost += job.Steps(0)[0].Waiting
			case strings.HasPrefix(id, "later-"):
				later += job.LiveRuns()
			}
		}
		if lost > 0 {
			overtaken = max(overtaken, later)
		}
	})
	if submitted == 0 {
		t.Fatal("no lasting task waited")
	}
	if overtaken > 0 {
		t.Errorf("%d tasks accepted later ran while tasks of lost workers waited", overtaken)
	}
}
