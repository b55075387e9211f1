package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// restartAfterAssignment returns a cluster with a worker of the slowest clock that has restarted as its start was ordered. While it is
// partitioned, starts still reach it.
func restartAfterAssignment(t *testing.T) (*cluster, *strictWorker) {
	t.Helper()
	c := newCluster(t, 1, 2)
	return c, c.restartAfterAssignment()
}

func (c *cluster) restartAfterAssignment() *strictWorker {
	c.t.Helper()
	c.deliver = func(e *exchange, w *strictWorker) delivery {
		return delivery{lost: w.isPartitioned() && e.call.Kind != order.Start, unanswered: w.isPartitioned()}
	}
	c.setMaxLease(10 * time.Second)
	c.run(12 * time.Second)
	c.submit("batch", "a", dedicated(4, 20*time.Second))
	w := c.assigned()
	w.setClockRate(slowestClock)
	w.restart(0)
	return w
}

// A task must not start elsewhere while a later incarnation of its worker runs it, which carried out the start shortly before the leader
// fell and is partitioned since: the next leader knows nothing of it.
func TestStartCarriedOutBeforeLeaderChange(t *testing.T) {
	type combination struct {
		responses int
		age, gap  time.Duration
		restarted bool // the next leader is a replica that has just read its state from its disk
	}
	var combinations []combination
	for responses := range 2 {
		for _, age := range []time.Duration{30 * time.Millisecond, 50 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond} {
			for _, gap := range []time.Duration{0, time.Second, 1800 * time.Millisecond, 2500 * time.Millisecond, 3500 * time.Millisecond, 4500 * time.Millisecond} {
				combinations = append(combinations, combination{responses, age, gap, false}, combination{responses, age, gap, true})
			}
		}
	}
	for _, o := range combinations {
		t.Run(fmt.Sprintf("responses=%d/age=%v/gap=%v/restarted=%v", o.responses, o.age, o.gap, o.restarted), func(t *testing.T) {
			c, w := restartAfterAssignment(t)
			if o.responses > 0 {
				w.responsesLeft, w.partitionTime = o.responses, 18*time.Second
			} else {
				c.after(8*time.Millisecond, func() { w.partition(18 * time.Second) })
			}
			c.run(o.age)
			if o.restarted {
				c.after(o.gap, c.restartReplica)
			}
			c.changeLeader(0, o.gap)
			c.run(20 * time.Second)
			c.expectNoViolation()
		})
	}
}

// A start that the first leader ordered in vain and a second one repeated may be carried out by a later incarnation just before the second
// one falls: a third one must not start the task again while that runs it.
func TestStartRepeatedBySecondLeader(t *testing.T) {
	for _, maxLease := range []time.Duration{6 * time.Second, 10 * time.Second} {
		for _, led := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, 1100 * time.Millisecond, 1500 * time.Millisecond, 1900 * time.Millisecond} {
			for _, gap := range []time.Duration{0, 500 * time.Millisecond} {
				t.Run(fmt.Sprintf("maxLease=%v/led=%v/gap=%v", maxLease, led, gap), func(t *testing.T) {
					c := newCluster(t, 1, 2)
					c.setMaxLease(maxLease)
					c.run(12 * time.Second)
					c.deliver = func(e *exchange, _ *strictWorker) delivery {
						return delivery{lost: e.call.Kind == order.Start, unanswered: e.call.Kind == order.Start}
					}
					c.submit("batch", "a", dedicated(4, 20*time.Second))
					w := c.assigned()
					w.setClockRate(slowestClock)
					c.run(30 * time.Millisecond)
					c.changeLeader(0, gap)
					c.run(gap + led)
					started := false
					c.deliver = func(e *exchange, to *strictWorker) delivery {
						switch {
						case to != w || e.call.Kind != order.Start && !started:
							return delivery{delay: time.Millisecond}
						case started:
							return delivery{lost: true, unanswered: true}
						}
						started = true
						w.restart(0)
						return delivery{unanswered: true}
					}
					c.runUntil(func() bool { return started })
					w.partition(18 * time.Second)
					c.run(20 * time.Millisecond)
					c.changeLeader(0, 0)
					c.run(20 * time.Second)
					c.expectNoViolation()
				})
			}
		}
	}
}

// The next leader must await a lease that the last one has granted, by the slowest clock, whether or not it is recorded as withheld. That
// also holds for a replica that has just read its state from its disk.
func TestGrantedLeaseIsAwaited(t *testing.T) {
	for _, silence := range []time.Duration{0, 2500 * time.Millisecond, 4 * time.Second} {
		for _, restarted := range []bool{false, true} {
			for offset := time.Duration(0); offset < 1200*time.Millisecond; offset += 100 * time.Millisecond {
				t.Run(fmt.Sprintf("silence=%v/restarted=%v/offset=%v", silence, restarted, offset), func(t *testing.T) {
					c := newCluster(t, 1, 2)
					c.submit("batch", "a", dedicated(4, 40*time.Second))
					w := c.assigned()
					w.setClockRate(slowestClock)
					c.run(3*time.Second + offset)
					w.partition(20 * time.Second)
					c.loseCalls(w, func(*order.Call) bool { return w.isPartitioned() })
					c.run(silence)
					if restarted {
						c.restartReplica()
					}
					c.changeLeader(0, 0)
					c.run(12 * time.Second)
					c.expectNoViolation()
				})
			}
		}
	}
}

// Runs that were assigned shortly before a change of leader must not make the other tasks of their worker wait for the longest lease.
func TestRecentRunDelaysNoOther(t *testing.T) {
	const tasks = 8
	sim := newSimulationWithWorkers(t, 1, 4)
	sim.dispatcher.config.Limits.MaxLease = 10 * time.Second
	sim.submit("urgent", "old", serving(tasks, "image"))
	sim.run(10 * time.Second)
	sim.submit("urgent", "recent", serving(tasks, "image"))
	sim.run(300 * time.Millisecond)
	for _, worker := range sim.workers {
		jobs := map[string]bool{}
		for key := range worker.runs {
			jobs[key.Task.Job] = true
		}
		if len(jobs) == 2 {
			worker.crash(time.Hour)
			break
		}
	}
	if sim.servingRuns("old") == tasks {
		t.Fatal("no worker runs both")
	}
	sim.changeLeader()
	changed := sim.now
	sim.awaitServingRuns("old", tasks)
	if waited := sim.now.Sub(changed); waited > leaseBound+300*time.Millisecond {
		t.Errorf("the tasks run again %v after the change of leader", waited)
	}
}

// A flow of short tasks, each of which is assigned shortly before the change of leader, must not make the older ones count as recent.
func TestOldRunsAmongManyAssignments(t *testing.T) {
	const tasks = 8
	for _, interval := range []time.Duration{time.Second, 200 * time.Millisecond, 50 * time.Millisecond} {
		t.Run(interval.String(), func(t *testing.T) {
			sim := newSimulationWithWorkers(t, 1, 4)
			sim.submit("urgent", "old", serving(tasks, "image"))
			sim.run(10 * time.Second)
			for i := range int(5 * time.Second / interval) {
				sim.request(submission("batch", fmt.Sprint("short-", i), dedicated(1, 30*time.Millisecond)))
				sim.run(interval)
			}
			sim.changeLeader()
			sim.run(100 * time.Millisecond)
			for key, r := range sim.dispatcher.runs {
				if key.Task.Job == "old" && !r.recentUntil.IsZero() {
					t.Errorf("%v counts as recent", key.Task)
				}
			}
		})
	}
}

// A recent run whose worker has answered the new leader must not wait for the longest lease once that worker is lost.
func TestRecentRunOfAnsweringWorker(t *testing.T) {
	const tasks = 8
	sim := newSimulationWithWorkers(t, 1, 4)
	sim.dispatcher.config.Limits.MaxLease = 10 * time.Second
	sim.run(10 * time.Second)
	sim.submit("urgent", "recent", serving(tasks, "image"))
	sim.run(300 * time.Millisecond)
	sim.changeLeader()
	sim.run(500 * time.Millisecond)
	sim.crashWorkers(1)
	sim.expectRunsWithin("recent", tasks, sim.now, leaseBound+300*time.Millisecond)
}

// Runs that were assigned shortly before the last leader fell and got no answer must count as recent, and only those, if the next one has just read its
// state from its disk.
func TestRecentRunsAfterRestart(t *testing.T) {
	for name, compacted := range map[string]bool{"log": false, "snapshot": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithWorkers(t, 1, 4)
			disk := newDisk(sim)
			sim.submit("urgent", "old", serving(8, "image"))
			sim.run(10 * time.Second)
			sim.submitUnanswered("urgent", "recent", serving(8, "image"))
			sim.run(300 * time.Millisecond)
			if compacted {
				disk.compact()
			}
			sim.restartControllers(disk, 3*time.Second)
			sim.expectRecent(map[string]bool{"old": false, "recent": true})
		})
	}
}

// All runs of a snapshot of an earlier version must count as recent until the next leader tells that they are settled: the snapshot
// doesn't number them.
func TestRunsOfEarlierSnapshotAreRecent(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	for i := range 20 {
		sim.submit("batch", fmt.Sprint("short-", i), dedicated(1, 30*time.Millisecond))
		sim.run(500 * time.Millisecond)
	}
	sim.submit("urgent", "a", serving(8, "image"))
	sim.run(10 * time.Second)
	snapshot := sim.state.Snapshot()
	snapshot.Assignments, snapshot.Epochs = 0, nil
	for _, job := range snapshot.GetJobs() {
		for _, task := range job.GetTasks() {
			for _, r := range task.GetRuns() {
				r.Assignment = 0
			}
		}
	}
	sim.restore(snapshot)
	sim.changeLeader()
	sim.expectRecent(map[string]bool{"a": true})
}

// Runs that a leader inherits must stay recent under the next one, and until the longest lease from the fall of the leader that assigned
// them: a wait that each leader starts again grows with each of them.
func TestInheritedRunsStayRecent(t *testing.T) {
	for _, led := range []time.Duration{0, time.Second, 1700 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second, 8 * time.Second} {
		sim := newSimulationWithWorkers(t, 1, 4)
		sim.submitUnanswered("urgent", "a", serving(8, "image"))
		sim.run(300 * time.Millisecond)
		sim.changeLeader()
		sim.loseAnswers(false)
		fell := sim.now
		sim.run(led)
		sim.changeLeader()
		sim.run(100 * time.Millisecond)
		expires := fell.Add(sim.dispatcher.longestLease())
		latest := expires.Add(led/20 + tellInterval) // for fast clocks, and the time since the newest batch
		if latest.Before(sim.now) {
			latest = sim.now
		}
		for key, r := range sim.dispatcher.runs {
			if r.recentUntil.Before(expires) || r.recentUntil.After(latest) {
				t.Errorf("led for %v: %v counts as recent until %v after the fall of the first leader, expected %v", led, key.Task, r.recentUntil.Sub(fell), expires.Sub(fell))
			}
		}
		if len(sim.dispatcher.runs) == 0 {
			t.Error("nothing runs")
		}
	}
}

// A task must not run twice because a second leader, which never reached its worker, has led for a while between the one that assigned it
// and a third.
func TestStartCarriedOutBeforeTwoLeaderChanges(t *testing.T) {
	for _, led := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2200 * time.Millisecond, 3 * time.Second, 4 * time.Second} {
		for _, restarts := range []bool{false, true} {
			t.Run(fmt.Sprintf("led=%v/restarts=%v", led, restarts), func(t *testing.T) {
				c, w := restartAfterAssignment(t)
				w.responsesLeft, w.partitionTime = 1, 18*time.Second
				c.run(30 * time.Millisecond)
				c.changeLeader(0, time.Second)
				c.run(time.Second + led)
				if restarts {
					c.restartReplica()
				}
				c.changeLeader(0, 0)
				c.run(20 * time.Second)
				c.expectNoViolation()
			})
		}
	}
}

// On an idle site runs must settle too, and nothing more must be proposed then.
func TestIdleSiteSettles(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	sim.submit("urgent", "a", serving(8, "image"))
	sim.run(10 * time.Second)
	sim.submit("urgent", "b", serving(8, "image"))
	sim.run(recentAssignment + tellInterval + 500*time.Millisecond)
	if settled, assigned := sim.state.SettledAssignments(), sim.state.Assignments(); settled != assigned {
		t.Errorf("assignments are settled up to %d, expected %d", settled, assigned)
	}
	proposed := 0
	sim.onCommand = func(*controlpb.Command) { proposed++ }
	sim.run(5 * time.Second)
	if proposed > 0 {
		t.Errorf("%d batches were proposed on the idle site", proposed)
	}
}

// What a leader tells must be told again by a later batch if the first one isn't committed.
func TestSettledIsToldAgain(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	sim.submit("urgent", "a", serving(8, "image"))
	sim.run(time.Second)
	sim.commitTime = time.Hour
	sim.run(3 * time.Second)
	sim.events = dropCommits(sim.events)
	sim.commitTime, sim.lastCommit = defaultCommitTime, sim.now
	sim.run(time.Second)
	if settled, assigned := sim.state.SettledAssignments(), sim.state.Assignments(); settled != assigned {
		t.Errorf("assignments are settled up to %d, expected %d", settled, assigned)
	}
}

// Tasks of workers that are lost shortly before all controllers restart must not wait for the longest lease: a restarted replica applies
// its whole log at once, so that all runs seemed to have been assigned just before.
func TestLossShortlyBeforeAllControllersRestart(t *testing.T) {
	const tasks, margin = 16, 300 * time.Millisecond
	for name, compacted := range map[string]bool{"log": false, "snapshot": true} {
		for _, age := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond, time.Second} {
			for _, outage := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second} {
				t.Run(fmt.Sprintf("%s/age=%v/outage=%v", name, age, outage), func(t *testing.T) {
					sim := newSimulationWithWorkers(t, 1, 8)
					sim.dispatcher.config.Limits.MaxLease = 10 * time.Second
					disk := newDisk(sim)
					sim.run(12 * time.Second)
					sim.changeLeader() // the leases of unknown duration before the first leader have expired
					sim.run(100 * time.Millisecond)
					sim.submit("urgent", "a", serving(tasks, "image"))
					sim.run(12 * time.Second)
					sim.crashWorkers(4)
					if n := sim.servingRuns("a"); n == tasks {
						t.Fatal("no task is affected")
					}
					sim.run(age)
					if compacted {
						disk.compact()
					}
					sim.restartControllers(disk, outage)
					due := sim.now.Add(leaseBound + margin)
					sim.awaitServingRuns("a", tasks)
					if sim.now.After(due) {
						t.Errorf("the tasks run again %v after the first leader, expected at most %v", sim.now.Sub(due.Add(-leaseBound-margin)), leaseBound+margin)
					}
				})
			}
		}
	}
}

// An assignment that the last leader couldn't commit is applied as the next one starts. It must not make those before it, which may be
// of the time just before the last leader fell, count as older.
func TestAssignmentAppliedAtLeaderChange(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	sim.submitUnanswered("urgent", "a", serving(1, "image"))
	sim.run(100 * time.Millisecond)
	sim.commitTime = time.Hour
	sim.run(2200 * time.Millisecond)
	pending := &controlpb.StartRun{Task: workload.TaskKey{Job: "b"}.Ref(), Run: 1, Worker: 1}
	sim.state.Apply(sim.now, &controlpb.WorkBatch{Changes: []*controlpb.WorkChange{
		{Kind: &controlpb.WorkChange_Submit{Submit: &controlpb.WorkJob{Id: "b", Queue: "batch", Steps: []*controlpb.WorkStep{dedicated(1, time.Second)}}}},
		{Kind: &controlpb.WorkChange_StartRun{StartRun: pending}},
	}})
	sim.commitTime = defaultCommitTime
	sim.changeLeader()
	sim.run(100 * time.Millisecond)
	for key, r := range sim.dispatcher.runs {
		if r.recentUntil.IsZero() {
			t.Errorf("%v doesn't count as recent", key.Task)
		}
	}
	if len(sim.dispatcher.runs) != 2 {
		t.Errorf("%d runs, expected 2", len(sim.dispatcher.runs))
	}
}
