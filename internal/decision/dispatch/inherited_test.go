package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// restartingCalls delays the first start order, and restarts the worker under the same ID when the second one arrives, which is
// refused.
type restartingCalls struct {
	*simulation
	starts int
}

func (c *restartingCalls) Send(call *order.Call) {
	if call.Kind != order.Start || c.starts > 1 {
		c.simulation.Send(call)
		return
	}
	worker := c.workerAt(call.Address)
	c.starts++
	if c.starts == 1 {
		c.after(400*time.Millisecond, func() { worker.handle(call) })
		return
	}
	worker.startIncarnation(worker.incarnation)
	worker.rejectsStarts = true
	c.after(time.Millisecond, func() {
		c.answer(call, worker.handle(call))
		worker.rejectsStarts = false
	})
}

// A run that an earlier leader may have ordered must not be dropped because a worker refuses it: the task would run elsewhere
// beside a late start.
func TestRefusedRunOfEarlierLeader(t *testing.T) {
	for offset := range 30 {
		sim := newSimulationWithWorkers(t, 1, 2)
		calls := &restartingCalls{simulation: sim}
		sim.dispatcher.config.WorkerCalls = calls
		sim.submit("urgent", "a", dedicated(1, 5*time.Second))
		for calls.starts == 0 {
			sim.run(10 * time.Millisecond)
		}
		sim.run(time.Duration(offset) * 10 * time.Millisecond)
		sim.changeLeader()
		for range 300 {
			sim.run(10 * time.Millisecond)
			if running := sim.running(workload.TaskKey{Job: "a"}); running > 1 {
				t.Errorf("offset %d: %d runs of the task at the same time", offset, running)
				break
			}
		}
	}
}

// runChecked advances virtual time and fails the test once two runs of a task are at work.
func (sim *simulation) runChecked(d time.Duration, task workload.TaskKey) {
	sim.t.Helper()
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.run(10 * time.Millisecond)
		if running := sim.running(task); running > 1 {
			sim.t.Fatalf("%d runs of the task at the same time", running)
		}
	}
}

// running returns the number of runs of a task on workers that are up.
func (sim *simulation) running(task workload.TaskKey) int {
	count := 0
	for _, worker := range sim.workers {
		if !worker.up {
			continue
		}
		for key := range worker.runs {
			if key.Task == task {
				count++
			}
		}
	}
	return count
}
