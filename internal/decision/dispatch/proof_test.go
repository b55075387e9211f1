package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// TestLateDeadlyTaskIsGivenUp guards against tasks without a bound of starts that crash their workers soon after they have worked for
// provenAfter, before a poll shows that.
func TestLateDeadlyTaskIsGivenUp(t *testing.T) {
	for _, delay := range []time.Duration{350 * time.Millisecond, 450 * time.Millisecond} {
		for seed := range uint64(3) {
			sim := newSimulationWithWorkers(t, seed, 16)
			sim.submit("urgent", "deadly", dedicated(1, 5*time.Second))
			key, starts := workload.TaskKey{Job: "deadly"}, 0
			for end := sim.now.Add(90 * time.Second); sim.now.Before(end); {
				sim.run(10 * time.Millisecond)
				for _, worker := range sim.workers {
					if worker.up && worker.hasWorked(key, delay) {
						starts++
						worker.fail(2*time.Second, false)
					}
				}
			}
			if starts < 2 || starts > maxDeadlyStarts {
				t.Errorf("delay %v, seed %d: %d crashes, expected 2 to %d", delay, seed, starts, maxDeadlyStarts)
			}
			sim.expect("deadly", controlpb.WorkState_WORK_FAILED)
		}
	}
}

// hasWorked reports whether the worker has run a task for a while.
func (s *simWorker) hasWorked(task workload.TaskKey, d time.Duration) bool {
	for key, run := range s.runs {
		if key.Task == task && s.simulation.now.Sub(run.began) >= d {
			return true
		}
	}
	return false
}

// TestWorkingTaskIsNotSuspect guards against adding up crashes of other causes over the whole life of a task.
func TestWorkingTaskIsNotSuspect(t *testing.T) {
	for name, inherited := range map[string]bool{"same leader": false, "next leader": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithWorkers(t, 1, 8)
			sim.submit("urgent", "a", serving(1, "web"))
			task := sim.state.Job("a").Steps(0)[0].Tasks[0]
			task.Crashes, task.Suspicions = 2, 2
			sim.workerOf("a")
			if inherited {
				sim.changeLeader()
			}
			sim.run(3 * time.Second)
			if task.IsSuspect() {
				t.Errorf("the task works, but is suspect after %d crashes and %d suspicions", task.Crashes, task.Suspicions)
			}
		})
	}
}
