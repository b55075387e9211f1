package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// unansweredAdvisedStarts returns a simulation in which tasks with tickets are assigned and no order has arrived.
func unansweredAdvisedStarts(t *testing.T, workers int, step *controlpb.WorkStep, refused *int) *simulation {
	sim := newSimulationWithWorkers(t, 1, workers)
	count := func(name string) {
		if name == "StartsRefused" {
			*refused++
		}
	}
	sim.dispatcher.config.Count, sim.standby.config.Count = count, count
	sim.submit("advised", "a", step)
	for sim.state.Job("a").LiveRuns() == 0 {
		sim.run(10 * time.Millisecond)
		sim.lossRate = 1
	}
	return sim
}

// A new leader must ask for a ticket before it repeats a start of an advised task: the worker rejects one without a ticket, and
// the task starts later elsewhere.
func TestInheritedAdvisedStartWaitsForTicket(t *testing.T) {
	spread := dedicated(8, 3*time.Second)
	spread.MaxPerWorker = 2
	for workers, step := range map[int]*controlpb.WorkStep{3: dedicated(4, 3*time.Second), 8: dedicated(100, 3*time.Second), 9: spread} {
		refused := 0
		sim := unansweredAdvisedStarts(t, workers, step, &refused)
		assigned := sim.state.Job("a").LiveRuns()
		sim.changeLeader()
		sim.lossRate = 0
		sim.run(600 * time.Millisecond)
		if refused > 0 {
			t.Errorf("%d of %d inherited starts were refused", refused, assigned)
		}
		inPlace := 0
		for _, w := range sim.workers {
			for key := range w.runs {
				if key.Run == 1 {
					inPlace++
				}
			}
		}
		if inPlace < assigned {
			t.Errorf("%d tasks run in their first run, expected %d", inPlace, assigned)
		}
		for name, starts := range sim.starts {
			if starts != 1 {
				t.Errorf("%s started %d times", name, starts)
			}
		}
		sim.run(finishTime)
		sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
	}
}

// An inherited start for which no ticket comes must not keep its assignment for good.
func TestInheritedAdvisedStartWithoutTicketIsWithdrawn(t *testing.T) {
	for name, c := range map[string]struct {
		withhold func(sim *simulation)
		limit    time.Duration
	}{
		"no answer":   {func(sim *simulation) { sim.adviceBusyUntil = sim.now.Add(time.Minute) }, 3 * time.Second},
		"not allowed": {func(sim *simulation) { sim.workers[1].unadvised = true }, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			refused := 0
			sim := unansweredAdvisedStarts(t, 3, dedicated(4, 3*time.Second), &refused)
			sim.changeLeader()
			sim.lossRate = 0
			c.withhold(sim)
			sim.run(c.limit)
			if runs := sim.state.Job("a").LiveRuns(); runs > 0 {
				t.Errorf("%d runs are still assigned after %v", runs, c.limit)
			}
			if len(sim.starts) > 0 {
				t.Errorf("tasks started without a ticket: %v", sim.starts)
			}
		})
	}
}

// An order of the earlier leader may still be carried out while its successor waits for a ticket. No task may run twice.
func TestLateOrderWhileInheritedStartWaitsForTicket(t *testing.T) {
	task := workload.TaskKey{Job: "a"}
	for outage := time.Duration(0); outage < 6*time.Second; outage += 200 * time.Millisecond {
		refused := 0
		sim := unansweredAdvisedStarts(t, 3, dedicated(4, 3*time.Second), &refused)
		sim.delayedRate = 1
		sim.run(300 * time.Millisecond)
		sim.changeLeader()
		sim.run(outage)
		sim.lossRate = 0
		sim.runChecked(8*time.Second, task)
		sim.run(finishTime)
		sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
	}
}
