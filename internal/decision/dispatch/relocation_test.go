package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// servingWith returns a step of serving tasks of the given milli-cores.
func servingWith(count uint32, processors int64) *controlpb.WorkStep {
	step := serving(count, "image")
	step.Processors, step.Memory = processors, 8<<10
	return step
}

// newFullHosts returns a simulation of pairs of hosts of 32 cores that have 4 and 2.9 cores left beside serving tasks: of the job "target"
// and of a job "partner-1" or higher. A further host runs a task of 6.5 cores of the job "waiting" for each pair, and has none left.
func newFullHosts(t *testing.T, pairs int, mayMiss uint32) *simulation {
	t.Helper()
	sim := newSimulation(t, 1)
	sim.configure()
	submit := func(id string, step *controlpb.WorkStep) {
		t.Helper()
		sim.submit("urgent", id, step)
		sim.run(200 * time.Millisecond)
		if waiting := sim.waitingLasting(); waiting > 0 {
			t.Fatalf("%d lasting tasks wait", waiting)
		}
	}
	addWorker := func(processors int64) {
		sim.addWorker("zone-0", "r-0").incarnation.Processors = processors
		sim.run(2 * time.Second)
	}
	addWorker(6500 * int64(pairs))
	submit("waiting", servingWith(uint32(pairs), 6500))
	for range pairs {
		addWorker(32_000)
	}
	target := servingWith(uint32(4*pairs), 7000)
	target.MayMiss = mayMiss
	submit("target", target)
	for i := range pairs {
		addWorker(32_000)
		submit(fmt.Sprintf("large-%d", i+1), servingWith(3, 8200))
		submit(fmt.Sprintf("partner-%d", i+1), servingWith(1, 4500))
	}
	sim.run(minResidence)
	return sim
}

// interrupt lets the worker of the waiting job vanish, and runs the simulation until its tasks have no run.
func (sim *simulation) interrupt() {
	sim.t.Helper()
	sim.workers[0].up = false
	for sim.waitingLasting() == 0 {
		sim.run(10 * time.Millisecond)
	}
}

// runUntilRelocation runs the simulation until tasks are being moved.
func (sim *simulation) runUntilRelocation() *relocation {
	sim.t.Helper()
	for range 500 {
		if active := sim.dispatcher.relocations.active; len(active) > 0 {
			return active[0]
		}
		sim.run(10 * time.Millisecond)
	}
	sim.t.Fatal("no task is moved")
	return nil
}

// longestOutage returns the longest time without a run of any lasting task but those of a job, while the simulation runs.
func (sim *simulation) longestOutage(except string, d time.Duration) time.Duration {
	longest, since := time.Duration(0), waits{}
	for end := sim.now.Add(d); sim.now.Before(end); sim.run(10 * time.Millisecond) {
		for _, job := range sim.state.Jobs() {
			for _, task := range job.Steps(0)[0].Tasks {
				isOut := task.Step.GetPerpetual() && job.Spec.GetId() != except && task.IsWaiting()
				longest = max(longest, since.observe(task, isOut, sim.now))
			}
		}
	}
	return longest
}

// A lasting task whose worker was lost waited without end while two hosts together had more than it needs.
func TestRunningTasksMoveToMakeRoom(t *testing.T) {
	sim := newFullHosts(t, 1, 0)
	sim.interrupt()
	outage := sim.longestOutage("waiting", 4*time.Second)
	if waiting := sim.waitingLasting(); waiting > 0 {
		t.Fatalf("%d lasting tasks wait", waiting)
	}
	if limit := sim.dispatcher.config.Limits.StopGrace + 200*time.Millisecond; outage > limit {
		t.Errorf("a moved task had no run for %v", outage)
	}
}

// Moving tasks for several waiting ones at once must not exceed the disruption budget of a step to which they belong.
func TestMovesKeepDisruptionBudget(t *testing.T) {
	sim := newFullHosts(t, 2, 1)
	step := sim.state.Job("target").Steps(0)[0]
	sim.interrupt()
	for range 800 {
		sim.run(10 * time.Millisecond)
		away := 0
		for _, task := range step.Tasks {
			if !sim.dispatcher.isServing(task) {
				away++
			}
		}
		if away > 1 {
			t.Fatalf("%d tasks of a step that may miss one are away", away)
		}
	}
	if waiting := sim.waitingLasting(); waiting > 0 {
		t.Errorf("%d lasting tasks wait", waiting)
	}
}

// A moved task must not lose its room if the host to which it moves becomes unusable before it has started there.
func TestMovedTasksReturnFromUnusableHost(t *testing.T) {
	sim := newFullHosts(t, 1, 0)
	sim.workers[2].stopTime = 400 * time.Millisecond
	sim.interrupt()
	sim.runUntilRelocation()
	sim.run(200 * time.Millisecond)
	sim.workers[2].up = false
	sim.run(relocationTimeout)
	if live := sim.state.Job("target").LiveRuns(); live != 4 {
		t.Errorf("%d of 4 tasks run that had room where they ran", live)
	}
	sim.run(relocationTimeout)
	if n := len(sim.dispatcher.relocations.active) + len(sim.dispatcher.relocations.reserved); n > 0 {
		t.Errorf("%d relocations and reservations are left", n)
	}
}

// Tasks that take the room of one moved task while the other is still being stopped would leave that one without any.
func TestRoomOfRelocationsIsReserved(t *testing.T) {
	sim := newFullHosts(t, 1, 0)
	const targetStop, partnerStop = 400 * time.Millisecond, 20 * time.Millisecond
	sim.workers[1].stopTime, sim.workers[2].stopTime = targetStop, partnerStop
	sim.interrupt()
	sim.runUntilRelocation()
	for i := range 10 {
		sim.request(submission("urgent", fmt.Sprintf("finite-%d", i), dedicated(1, 2*time.Second)))
	}
	if outage := sim.longestOutage("waiting", 2*time.Second); outage > targetStop {
		t.Errorf("a moved task had no run for %v", outage)
	}
	if waiting := sim.waitingLasting(); waiting > 0 {
		t.Errorf("%d lasting tasks wait", waiting)
	}
}

// A job that has never run must not be given the pieces in which dedicated tasks run, unless these have enough left.
func TestRelocationKeepsHeadroom(t *testing.T) {
	for name, wantRuns := range map[string]int{"dedicated tasks": 0, "none": 1} {
		t.Run(name, func(t *testing.T) {
			sim := newFullHosts(t, 1, 0)
			arrive := func() {
				if name == "none" {
					return
				}
				step := dedicated(6, time.Second)
				step.Processors = 16_000
				sim.request(submission("urgent", fmt.Sprintf("finite-%d", sim.now.UnixMilli()), step))
			}
			for range 30 {
				arrive()
				sim.run(250 * time.Millisecond)
			}
			sim.interrupt()
			job := sim.state.Job("waiting")
			job.Steps(0)[0].Tasks[0].LastRun = 0 // as if it had never run
			for range 20 {
				arrive()
				sim.run(250 * time.Millisecond)
			}
			if runs := job.LiveRuns(); runs != wantRuns {
				t.Errorf("%d tasks run, expected %d", runs, wantRuns)
			}
		})
	}
}
