package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// leaseBound is the time after which a lease that the simulated leader has just extended has expired.
const leaseBound = time.Duration(float64(leaseTime)*(1+maxClockDrift)) + leaseExpiryMargin

// crashWorkers ends the first workers for good.
func (sim *simulation) crashWorkers(count int) {
	for _, worker := range sim.workers[:count] {
		worker.crash(time.Hour)
	}
}

// servingRuns returns the number of tasks of a job that run.
func (sim *simulation) servingRuns(id string) int {
	count := 0
	for _, worker := range sim.workers {
		for key := range worker.runs {
			if key.Task.Job == id {
				count++
			}
		}
	}
	return count
}

// awaitServingRuns runs the simulation until so many tasks of a job run, for a minute at most.
func (sim *simulation) awaitServingRuns(id string, tasks int) {
	for end := sim.now.Add(time.Minute); sim.servingRuns(id) < tasks && sim.now.Before(end); {
		sim.run(10 * time.Millisecond)
	}
}

// Once a leader has noticed that workers don't answer, their tasks must not wait longer because the leader changes: the next one
// used to count the longest lease from its own start.
func TestLeasesAcrossLeaders(t *testing.T) {
	const tasks, changeInterval, margin = 16, 1300 * time.Millisecond, 300 * time.Millisecond
	for changes := range 4 {
		t.Run(fmt.Sprintf("changes=%d", changes), func(t *testing.T) {
			sim := newSimulationWithWorkers(t, 1, 8)
			sim.submit("urgent", "a", serving(tasks, "image"))
			sim.run(5 * time.Second)
			sim.crashWorkers(4)
			crashed, due := sim.now, sim.now.Add(leaseBound)
			if n := sim.servingRuns("a"); n == tasks {
				t.Fatal("no task is affected")
			}
			sim.run(pollWait + time.Second + 100*time.Millisecond)
			for range changes {
				sim.changeLeader()
				if answered := sim.now.Add(unresponsiveAfter); answered.After(due) {
					due = answered
				}
				sim.run(changeInterval)
			}
			sim.awaitServingRuns("a", tasks)
			if sim.now.After(due.Add(margin)) {
				t.Errorf("the tasks run again %v after the crash, expected at most %v", sim.now.Sub(crashed), due.Add(margin).Sub(crashed))
			}
		})
	}
}

// A lease record that a replica has read from its disk must count from when the replica has read it: the time at which it was
// proposed isn't known there.
func TestRestoredLeaseRecord(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	sim.submit("urgent", "a", serving(1, "image"))
	sim.run(5 * time.Second)
	sim.crashWorkers(1)
	incarnation := sim.state.Worker(1)
	for incarnation.GetWithheldLease() == nil {
		sim.run(10 * time.Millisecond)
	}
	sim.run(time.Second)
	sim.standby = New(sim.dispatcher.config)
	if err := sim.state.Restore(sim.state.Snapshot()); err != nil {
		t.Fatal(err)
	}
	incarnation = sim.state.Worker(1)
	sim.changeLeader()
	remaining := time.Duration(incarnation.GetWithheldLease().GetExpiresInMs()) * time.Millisecond
	expires := sim.now.Add(remaining)
	sim.run(100 * time.Millisecond)
	if got := sim.dispatcher.workers[1].leaseExpires; remaining == 0 || !got.Equal(expires) {
		t.Errorf("the lease expires %v after the change of leader, expected %v", got.Sub(expires.Add(-remaining)), remaining)
	}
}

// The tasks of workers that are lost shortly before a change of leader, so that no lease is recorded as withheld, must not wait for
// the longest lease that a worker accepts: leaders grant shorter ones.
func TestLossShortlyBeforeLeaderChange(t *testing.T) {
	const tasks, changeInterval, margin = 16, 1300 * time.Millisecond, 300 * time.Millisecond
	for _, age := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		for changes := 1; changes <= 3; changes++ {
			t.Run(fmt.Sprintf("age=%v/changes=%d", age, changes), func(t *testing.T) {
				sim := newSimulationWithWorkers(t, 1, 8)
				sim.dispatcher.config.Limits.MaxLease = 10 * time.Second
				sim.submit("urgent", "a", serving(tasks, "image"))
				sim.run(5 * time.Second)
				sim.changeLeader()
				sim.run(12 * time.Second)
				sim.crashWorkers(4)
				crashed := sim.now
				if n := sim.servingRuns("a"); n == tasks {
					t.Fatal("no task is affected")
				}
				sim.run(age)
				sim.changeLeader()
				for range changes - 1 {
					sim.run(changeInterval)
					sim.changeLeader()
				}
				due := sim.now.Add(leaseBound + margin)
				sim.awaitServingRuns("a", tasks)
				if sim.now.After(due) {
					t.Errorf("the tasks run again %v after the crash, expected at most %v", sim.now.Sub(crashed), due.Sub(crashed))
				}
			})
		}
	}
}
