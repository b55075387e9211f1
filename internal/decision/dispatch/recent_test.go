package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// A task must not start elsewhere while a later incarnation of its worker runs it, which carried out the start shortly before the leader
// fell and is partitioned since: the next leader knows nothing of it.
func TestStartCarriedOutBeforeLeaderChange(t *testing.T) {
	for responses := range 2 {
		for _, age := range []time.Duration{30 * time.Millisecond, 50 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond} {
			for _, gap := range []time.Duration{0, time.Second, 1800 * time.Millisecond, 2500 * time.Millisecond} {
				t.Run(fmt.Sprintf("responses=%d/age=%v/gap=%v", responses, age, gap), func(t *testing.T) {
					c := newCluster(t, 1, 2)
					c.deliver = func(e *exchange, w *strictWorker) delivery {
						return delivery{lost: w.isPartitioned() && e.call.Kind != order.Start, unanswered: w.isPartitioned()}
					}
					c.setMaxLease(10 * time.Second)
					c.run(12 * time.Second)
					c.submit("batch", "a", dedicated(4, 20*time.Second))
					w := c.assigned()
					w.setClockRate(slowestClock)
					w.restart(0)
					if responses > 0 {
						w.responsesLeft, w.partitionTime = responses, 18*time.Second
					} else {
						c.after(8*time.Millisecond, func() { w.partition(18 * time.Second) })
					}
					c.run(age)
					c.changeLeader(0, gap)
					c.run(20 * time.Second)
					c.expectNoViolation()
				})
			}
		}
	}
}

// The next leader must await a lease that the last one has granted just before, by the slowest clock.
func TestGrantedLeaseIsAwaited(t *testing.T) {
	for offset := time.Duration(0); offset < 1200*time.Millisecond; offset += 100 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			c := newCluster(t, 1, 2)
			c.submit("batch", "a", dedicated(4, 40*time.Second))
			w := c.assigned()
			w.setClockRate(slowestClock)
			c.run(3*time.Second + offset)
			w.partition(20 * time.Second)
			c.loseCalls(w, func(*order.Call) bool { return w.isPartitioned() })
			c.changeLeader(0, 0)
			c.run(12 * time.Second)
			c.expectNoViolation()
		})
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
				if key.Task.Job == "old" && r.recent {
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
	crashed := sim.now
	if sim.servingRuns("recent") == tasks {
		t.Fatal("no task is affected")
	}
	sim.awaitServingRuns("recent", tasks)
	if waited := sim.now.Sub(crashed); waited > leaseBound+300*time.Millisecond {
		t.Errorf("the tasks run again %v after the crash", waited)
	}
}

// Runs that came with a snapshot must count as recent, although the state that it was installed in counts assignments anew.
func TestRunsOfSnapshotAreRecent(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	for i := range 20 {
		sim.submit("batch", fmt.Sprint("short-", i), dedicated(1, 30*time.Millisecond))
		sim.run(500 * time.Millisecond)
	}
	sim.submit("urgent", "a", serving(8, "image"))
	sim.run(10 * time.Second)
	state := workload.New()
	if err := state.Restore(sim.state.Snapshot()); err != nil {
		t.Fatal(err)
	}
	sim.state = state
	sim.changeLeader()
	sim.run(100 * time.Millisecond)
	if len(sim.dispatcher.runs) == 0 {
		t.Fatal("nothing runs")
	}
	for key, r := range sim.dispatcher.runs {
		if !r.recent {
			t.Errorf("%v doesn't count as recent", key.Task)
		}
	}
}

// An assignment that the last leader couldn't commit is applied as the next one starts. It must not make those before it, which may be
// of the time just before the last leader fell, count as older.
func TestAssignmentAppliedAtLeaderChange(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	sim.submit("urgent", "a", serving(1, "image"))
	for len(sim.dispatcher.assigning) == 0 {
		sim.run(10 * time.Millisecond)
	}
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
		if !r.recent {
			t.Errorf("%v doesn't count as recent", key.Task)
		}
	}
	if len(sim.dispatcher.runs) != 2 {
		t.Errorf("%d runs, expected 2", len(sim.dispatcher.runs))
	}
}
