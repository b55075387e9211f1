package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// maxDeadlyStarts is the number of starts of a task that crashes its workers: three, and fewer than three more.
const maxDeadlyStarts = 5

// submitMix submits jobs for a while: urgent and batch ones, one after the other.
func (sim *simulation) submitMix(prefix string, count int) {
	for i := range count {
		sim.submit("urgent", fmt.Sprintf("%s-%d", prefix, i), dedicated(3, 800*time.Millisecond))
		sim.submit("batch", fmt.Sprintf("%s-fill-%d", prefix, i), bestEffort(4, "fill", 1500*time.Millisecond))
		sim.run(250 * time.Millisecond)
	}
}

func (sim *simulation) expectMixCompleted(prefix string, count int) {
	sim.t.Helper()
	for i := range count {
		sim.expect(fmt.Sprintf("%s-%d", prefix, i), controlpb.WorkState_WORK_COMPLETED)
		sim.expect(fmt.Sprintf("%s-fill-%d", prefix, i), controlpb.WorkState_WORK_COMPLETED)
	}
}

// TestDeadlyTaskIsGivenUp guards against tasks that crash worker after worker without end, and against giving up the tasks
// that run beside them.
func TestDeadlyTaskIsGivenUp(t *testing.T) {
	speculative, gang, lasting := dedicated(4, 800*time.Millisecond), dedicated(4, 800*time.Millisecond), serving(3, "web")
	speculative.Speculative, gang.Gang = true, true
	steps := map[string]*controlpb.WorkStep{
		"plain": dedicated(4, 800*time.Millisecond), "best-effort": bestEffort(4, "deadly", time.Second), "speculative": speculative, "gang": gang, "lasting": lasting,
	}
	for name, step := range steps {
		for seed := range uint64(6) {
			for _, leaderChange := range []int{0, 3, 8} {
				t.Run(fmt.Sprintf("%s/seed=%d/leader change=%d", name, seed, leaderChange), func(t *testing.T) {
					sim := newSimulationWithWorkers(t, seed, 16)
					sim.deadly = map[string]bool{"deadly.0.0.1": true}
					sim.submit("urgent", "serving", serving(4, "other"))
					sim.submitMix("before", 4)
					sim.submit("urgent", "deadly", step)
					if leaderChange > 0 {
						sim.submitMix("between", leaderChange)
						sim.changeLeader()
						sim.run(200 * time.Millisecond)
					}
					sim.submitMix("after", 40)
					sim.run(30 * time.Second)
					if starts := sim.starts["deadly.0.0.1"]; starts < 2 || starts > maxDeadlyStarts {
						t.Errorf("%d starts of a task that crashes its workers, expected 2 to %d", starts, maxDeadlyStarts)
					}
					if step.GetPerpetual() {
						sim.expect("deadly", controlpb.WorkState_WORK_ACTIVE)
						if runs := sim.state.Job("deadly").LiveRuns(); runs != 2 {
							t.Errorf("%d of the other 2 lasting tasks run", runs)
						}
					} else {
						sim.expect("deadly", controlpb.WorkState_WORK_FAILED)
					}
					sim.expect("serving", controlpb.WorkState_WORK_ACTIVE)
					sim.expectMixCompleted("before", 4)
					sim.expectMixCompleted("between", leaderChange)
					sim.expectMixCompleted("after", 40)
				})
			}
		}
	}
}

// expectDeadlyGivenUp checks that the deadly jobs were given up in time, and that the jobs of the mixes beside them completed.
func (sim *simulation) expectDeadlyGivenUp(seed uint64, count int) {
	sim.t.Helper()
	for i := range count {
		id := fmt.Sprintf("deadly-%d", i)
		if starts := sim.starts[id+".0.0.0"]; starts < 2 || starts > maxDeadlyStarts {
			sim.t.Errorf("seed %d: %d starts of %s, expected 2 to %d", seed, starts, id, maxDeadlyStarts)
		}
		sim.expect(id, controlpb.WorkState_WORK_FAILED)
		sim.expectMixCompleted(fmt.Sprint("mix-", i), 4)
	}
}

// TestManyDeadlyTasks guards against blaming innocent tasks while several tasks crash their workers at the same time.
func TestManyDeadlyTasks(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulationWithWorkers(t, seed, 24)
		sim.deadly = map[string]bool{}
		for i := range 8 {
			id := fmt.Sprintf("deadly-%d", i)
			sim.deadly[id+".0.0.0"] = true
			sim.submit("urgent", id, dedicated(2, 800*time.Millisecond))
			sim.submitMix(fmt.Sprint("mix-", i), 4)
		}
		sim.run(40 * time.Second)
		sim.expectDeadlyGivenUp(seed, 8)
	}
}

// TestCrashesWithOtherCauses guards against giving up tasks because zones lose power and workers crash by themselves.
func TestCrashesWithOtherCauses(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulationWithWorkers(t, seed, 12)
		crash := func(worker *simWorker, downtime time.Duration) {
			if worker.up {
				worker.crash(downtime)
			}
		}
		for i := range 8 {
			switch zone := fmt.Sprintf("zone-%d", i%2); {
			case i%4 == 3:
				for _, worker := range sim.workers {
					if worker.incarnation.GetZone() == zone {
						crash(worker, 2*time.Second)
					}
				}
			default:
				crash(sim.workers[sim.random.IntN(12)], time.Duration(1000+sim.random.IntN(6000))*time.Millisecond)
			}
			sim.submitMix(fmt.Sprint("mix-", i), 4)
		}
		sim.run(40 * time.Second)
		for i := range 8 {
			sim.expectMixCompleted(fmt.Sprint("mix-", i), 4)
		}
	}
}

// TestDeadlyTasksAcrossLeaders guards against forgetting crashes, and against starting copies of tasks that have just crashed
// a worker, when the leader changes again and again.
func TestDeadlyTasksAcrossLeaders(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulationWithWorkers(t, seed, 24)
		sim.deadly = map[string]bool{}
		for i := range 8 {
			id := fmt.Sprintf("deadly-%d", i)
			sim.deadly[id+".0.0.0"] = true
			step := dedicated(2, 800*time.Millisecond)
			step.Speculative = true
			sim.submit("urgent", id, step)
			sim.submitMix(fmt.Sprint("mix-", i), 4)
			sim.changeLeader()
			sim.run(200 * time.Millisecond)
		}
		sim.run(40 * time.Second)
		sim.expectDeadlyGivenUp(seed, 8)
	}
}

// A worker must be remembered as lost until all that failed together with it are declared lost, however long that takes, or their
// tasks are suspected.
func TestLossIsRememberedAsLongAsOthersMayTake(t *testing.T) {
	d := newSimulationWithWorkers(t, 1, 4).dispatcher
	d.rememberLoss(d.orderedWorkers[0])
	d.now = d.now.Add(maxCallDelay + d.config.Limits.MaxLease)
	d.rememberLoss(d.orderedWorkers[1])
	if n := len(d.losses); n != 2 {
		t.Errorf("%d losses are remembered, expected both", n)
	}
}

// Crashes must not count as recent under the next leader because nobody told the time on an idle site.
func TestInheritedCrashesExpire(t *testing.T) {
	for _, leaderChanges := range []int{1, 2} {
		sim := newSimulationWithWorkers(t, 1, 4)
		sim.run(30 * time.Second) // no record of a lease matters any more
		sim.workers[0].fail(time.Second, false)
		sim.run(3 * time.Second)
		for range leaderChanges {
			if n := len(sim.state.Crashes()); n != 1 {
				t.Fatalf("%d crashes are recorded, expected 1", n)
			}
			sim.changeLeader()
			sim.run(time.Second)
		}
		sim.run(crashWindow)
		if n := len(sim.state.Crashes()); n > 0 {
			t.Errorf("%d crashes are recent %v later", n, crashWindow)
		}
	}
}

// Crashes of which only the time is known must not seem to have a common cause with that of a worker that never answered this leader.
func TestInheritedCrashesHaveNoCommonCause(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	d := sim.dispatcher
	for range minUnexplained * 4 {
		d.losses = append(d.losses, loss{at: d.now, crashed: true, inherited: true})
	}
	w := d.orderedWorkers[0]
	w.incarnation.Zone, w.lastAnswer = "", time.Time{}
	if d.hasFailedWithOthers(w) {
		t.Error("the worker counts as failed together with inherited crashes")
	}
}
