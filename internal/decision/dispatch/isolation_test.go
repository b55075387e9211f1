package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// disquiet makes all workers run something unproven of another job without end, so that no suspect task can start in isolation.
func (sim *simulation) disquiet() {
	sim.submit("batch", "other", dedicated(1, time.Hour))
	for _, w := range sim.dispatcher.workers {
		w.countUnproven(sim.state.Job("other"), false, 1)
	}
}

// endSuspect ends the run of a task as after a crash for which the task may be to blame, while its worker works on.
func (sim *simulation) endSuspect(task *workload.Task) {
	task.Crashes = 1
	for _, worker := range sim.workers {
		for _, r := range slices.Clone(worker.ordered) {
			if r.key.Task == task.Key() {
				worker.end(r.key, controlpb.RunEnd_RUN_STOPPED)
			}
		}
	}
}

// waits records since when tasks wait.
type waits map[*workload.Task]time.Time

// observe returns how long a task has been observed to wait, if it does.
func (w waits) observe(task *workload.Task, isWaiting bool, now time.Time) time.Duration {
	switch {
	case !isWaiting:
		delete(w, task)
		return 0
	case w[task].IsZero():
		w[task] = now
	}
	return now.Sub(w[task])
}

// longestWait runs the simulation and returns the longest time for which a task was waiting. The members of a gang wait together.
func (sim *simulation) longestWait(step *workload.Step, d time.Duration) time.Duration {
	longest, since := time.Duration(0), waits{}
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.run(10 * time.Millisecond)
		for _, task := range step.Tasks {
			isWaiting := task.IsWaiting() && !(step.GetGang() && step.Waiting < len(step.Tasks))
			longest = max(longest, since.observe(task, isWaiting, sim.now))
		}
	}
	return longest
}

// TestSuspectTasksStartInTime guards against suspect tasks that wait for isolation without a bound, because the others of their
// step renew the reservation of a worker for which all of them wait.
func TestSuspectTasksStartInTime(t *testing.T) {
	for _, count := range []uint32{14, 28} {
		for _, gang := range []bool{false, true} {
			for _, interval := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond} {
				t.Run(fmt.Sprintf("tasks=%d/gang=%v/interval=%v", count, gang, interval), func(t *testing.T) {
					t.Parallel()
					sim := newSimulationWithWorkers(t, 1, 32)
					step := serving(count, "web")
					step.Gang = gang
					sim.submit("urgent", "lasting", step)
					sim.run(2 * time.Second)
					sim.disquiet()
					steps := sim.state.Job("lasting").Steps(0)
					for i, task := range steps[0].Tasks {
						sim.after(time.Duration(i)*interval, func() { sim.endSuspect(task) })
					}
					wait := sim.longestWait(steps[0], time.Duration(count)*interval+8*time.Second)
					if bound := maxIsolationWait + reservationTime + passInterval; wait == 0 || wait > bound {
						t.Errorf("a task has waited for %v, expected at most %v", wait, bound)
					}
				})
			}
		}
	}
}

// TestSuspectGangStartsInTime guards against a gang that waits for isolation without a bound, because its members become suspect
// one after the other while they wait.
func TestSuspectGangStartsInTime(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 32)
	step := serving(14, "web")
	step.Gang = true
	sim.submit("urgent", "lasting", step)
	sim.run(2 * time.Second)
	sim.disquiet()
	gang := sim.state.Job("lasting").Steps(0)[0]
	for i, task := range gang.Tasks {
		sim.endSuspect(task)
		task.Crashes = 0
		sim.after(time.Duration(i)*400*time.Millisecond, func() { task.Suspicions = 1 })
	}
	if wait, bound := sim.longestWait(gang, 14*time.Second), maxIsolationWait+reservationTime+passInterval; wait == 0 || wait > bound {
		t.Errorf("the gang has waited for %v, expected at most %v", wait, bound)
	}
}
