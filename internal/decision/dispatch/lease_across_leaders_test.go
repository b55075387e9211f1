package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
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

// expectRunsWithin fails the test unless all tasks of a job run again within a time.
func (sim *simulation) expectRunsWithin(id string, tasks int, since time.Time, most time.Duration) {
	sim.t.Helper()
	if n := sim.servingRuns(id); n == tasks {
		sim.t.Fatal("no task is affected")
	}
	sim.awaitServingRuns(id, tasks)
	if waited := sim.now.Sub(since); waited > most {
		sim.t.Errorf("the tasks run again after %v, expected at most %v", waited, most)
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

// A lease record that a replica has read from its disk must not count from when the replica has read it, but neither from before it was
// proposed, even if the clock of its leader was fast. A snapshot of an earlier version doesn't tell how much time has passed since.
func TestRestoredLeaseRecord(t *testing.T) {
	for name, test := range map[string]struct {
		earlierVersion bool
		clockRate      float64 // of the leader
	}{"exact clock": {false, 1}, "fast clock": {false, 1 + maxClockDrift}, "earlier version": {true, 1}} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithWorkers(t, 1, 1)
			sim.submit("urgent", "a", serving(1, "image"))
			sim.run(5 * time.Second)
			sim.crashWorkers(1)
			var proposed time.Time
			sim.onCommand = func(command *controlpb.Command) {
				batch := command.GetWork()
				batch.LedMs = int64(float64(batch.GetLedMs()) * test.clockRate)
				for _, change := range batch.GetChanges() {
					if change.GetWithholdLease() != nil {
						proposed = sim.now
					}
				}
			}
			for sim.state.Worker(1).GetWithheldLease() == nil {
				sim.run(10 * time.Millisecond)
			}
			sim.run(1100 * time.Millisecond)
			snapshot := sim.state.Snapshot()
			if test.earlierVersion {
				snapshot.ElapsedMs, snapshot.LedMs = 0, 0
				snapshot.GetWorkers()[0].GetWithheldLease().ElapsedMs = 0
			}
			sim.standby = New(sim.dispatcher.config)
			sim.restore(snapshot)
			sim.changeLeader()
			remaining := time.Duration(sim.state.Worker(1).GetWithheldLease().GetExpiresInMs()) * time.Millisecond
			earliest, latest := proposed.Add(remaining), sim.now.Add(remaining-950*time.Millisecond)
			if test.earlierVersion {
				earliest, latest = sim.now.Add(remaining), sim.now.Add(remaining)
			}
			sim.run(100 * time.Millisecond)
			if got := sim.dispatcher.workers[1].leaseExpires; remaining == 0 || got.Before(earliest) || got.After(latest) {
				t.Errorf("the lease expires %v after its record was proposed, expected %v to %v", got.Sub(proposed), earliest.Sub(proposed), latest.Sub(proposed))
			}
		})
	}
}

// Tasks of workers whose leases are recorded as withheld must not wait longer because all controllers restart: a restarted replica
// counted the records from when it read them.
func TestSilenceBeforeAllControllersRestart(t *testing.T) {
	const tasks, margin = 16, time.Second // some of the time isn't told in the log
	for name, compacted := range map[string]bool{"log": false, "snapshot": true} {
		for _, silence := range []time.Duration{3 * time.Second, 4 * time.Second} {
			for _, outage := range []time.Duration{0, 500 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s/silence=%v/outage=%v", name, silence, outage), func(t *testing.T) {
					sim := newSimulationWithWorkers(t, 1, 8)
					sim.dispatcher.config.Limits.MaxLease = 10 * time.Second
					disk := newDisk(sim)
					sim.submit("urgent", "a", serving(tasks, "image"))
					sim.run(20 * time.Second)
					sim.crashWorkers(4)
					crashed := sim.now
					if n := sim.servingRuns("a"); n == tasks {
						t.Fatal("no task is affected")
					}
					sim.run(silence)
					if compacted {
						disk.compact()
					}
					sim.restartControllers(disk, outage)
					due := sim.now.Add(unresponsiveAfter)
					if recorded := crashed.Add(leaseBound + outage); recorded.After(due) {
						due = recorded
					}
					sim.awaitServingRuns("a", tasks)
					if sim.now.After(due.Add(margin)) {
						t.Errorf("the tasks run again %v after the crash, expected at most %v", sim.now.Sub(crashed), due.Add(margin).Sub(crashed))
					}
				})
			}
		}
	}
}

// Longer leases of earlier epochs must not count anew because all controllers restart.
func TestEarlierLeasesAcrossRestart(t *testing.T) {
	for name, compacted := range map[string]bool{"log": false, "snapshot": true} {
		for led, expected := range map[time.Duration]time.Duration{time.Second: 9 * time.Second, 4 * time.Second: 6 * time.Second, 20 * time.Second: 0} {
			t.Run(fmt.Sprintf("%s/led=%v", name, led), func(t *testing.T) {
				const margin = 1300 * time.Millisecond
				sim := newEpochSimulation(t)
				disk := newDisk(sim)
				sim.applyEpoch(&controlpb.BeginEpoch{})
				disk.compact()
				sim.changeLeader()
				sim.run(led)
				if compacted {
					disk.compact()
				}
				sim.restartControllers(disk, 0)
				earlier := sim.dispatcher.earlierLeasesExpire().Sub(sim.now)
				if earliest := sim.dispatcher.longestLease() - led; earlier < earliest || earlier > max(expected, 0)+margin {
					t.Errorf("earlier leases are counted for %v, expected %v to %v", earlier, earliest, expected+margin)
				}
			})
		}
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
