package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/decision/order"
)

// newBoundSimulation returns a simulation with bound calls in which a leader has led for a while, and workers that tell their start.
func newBoundSimulation(t *testing.T, workers int) *simulation {
	t.Helper()
	sim := newSimulation(t, 1)
	config := sim.dispatcher.config
	config.BoundCalls, config.Limits.MaxLease = true, 10*time.Second
	sim.dispatcher, sim.standby = New(config), New(config)
	sim.dispatcher.StartLeading(sim.now)
	sim.configure()
	sim.addWorkers(workers)
	sim.run(12 * time.Second)
	sim.changeLeader()
	sim.run(2 * time.Second)
	return sim
}

// Tasks whose starts got no answer, on workers that are lost with the leader, must not wait for the longest lease that a later incarnation
// could hold: bound starts reach none.
func TestUnansweredStartsOnLostWorkers(t *testing.T) {
	const tasks, workers, margin = 16, 8, 300 * time.Millisecond
	for _, way := range []string{"standby", "log", "snapshot"} {
		for _, age := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s/age=%v", way, age), func(t *testing.T) {
				sim := newBoundSimulation(t, workers)
				change := leaderChanges(sim)[way]
				sim.submitUnanswered("urgent", "a", serving(tasks, "image"))
				sim.run(age)
				sim.loseAnswers(false)
				sim.crashWorkers(workers / 2)
				change()
				sim.expectRunsWithin("a", tasks, sim.now, leaseBound+margin)
			})
		}
	}
}

// The same if the workers have announced a restart before, whichever leaders come then: an open start counted for 22.5 s.
func TestUnansweredStartsOfSilentlyRestartedWorkers(t *testing.T) {
	const tasks, workers, most = 16, 8, 9 * time.Second
	for _, changes := range []int{0, 1, 3} {
		t.Run(fmt.Sprintf("changes=%d", changes), func(t *testing.T) {
			sim := newBoundSimulation(t, workers)
			sim.submitUnanswered("urgent", "a", serving(tasks, "image"))
			sim.run(300 * time.Millisecond)
			sim.loseAnswers(false)
			sim.restartSilently(workers / 2)
			restarted := sim.now
			sim.run(500 * time.Millisecond)
			for range changes {
				sim.changeLeader()
				sim.run(700 * time.Millisecond)
			}
			sim.expectRunsWithin("a", tasks, restarted, most)
		})
	}
}

// A worker that has just restarted under its ID holds no longer lease than any other: no call for its earlier incarnation reaches it.
func TestLossOfWorkerThatHasJustRestarted(t *testing.T) {
	const tasks, workers, margin = 16, 8, 300 * time.Millisecond
	sim := newBoundSimulation(t, workers)
	for _, w := range sim.workers {
		w.startIncarnation(w.incarnation)
	}
	sim.run(2500 * time.Millisecond)
	sim.submit("urgent", "a", serving(tasks, "image"))
	sim.run(500 * time.Millisecond)
	for _, w := range sim.workers {
		if !sim.state.WorkerByID(w.incarnation.GetId()).GetReusesId() {
			t.Fatalf("the later incarnation of %s isn't known", w.incarnation.GetId())
		}
	}
	sim.crashWorkers(workers / 2)
	sim.expectRunsWithin("a", tasks, sim.now, leaseBound+margin)
}

// Bound starts leave nothing that a later incarnation could run beside the next leader's runs, whether or not a leader hears of it.
func TestBoundStartsReachNoLaterIncarnation(t *testing.T) {
	t.Run("on time", func(t *testing.T) { playStartsInLaterIncarnation(t, newBoundCluster) })
	t.Run("late", func(t *testing.T) { playLateStarts(t, newBoundCluster) })
}

// No task may run twice under faults that the protocol allows if calls are bound, also by orders that the leader can't fence.
func TestProtocolFaultsWithBoundCalls(t *testing.T) {
	for seed := *protocolFirstSeed; seed < *protocolFirstSeed+*protocolSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			f := newProtocolFaults(newBoundCluster(t, seed, 6))
			f.play()
			f.expectNoViolation()
		})
	}
}

// The starts of a leader whose calls aren't bound must be awaited by later leaders, whose own calls are.
func TestUnboundStartIsAwaitedByLaterLeaders(t *testing.T) {
	for _, changes := range []int{1, 3} {
		for _, restarted := range []bool{false, true} {
			t.Run(fmt.Sprintf("changes=%d/restarted=%v", changes, restarted), func(t *testing.T) {
				c := newCluster(t, 1, 2)
				w := c.restartAfterAssignment()
				w.responsesLeft, w.partitionTime = 1, 18*time.Second
				c.run(30 * time.Millisecond)
				for _, replica := range c.replicas {
					replica.config.BoundCalls = true
				}
				for range changes {
					if restarted {
						c.restartReplica()
						c.replicas[0].config.BoundCalls = true
					}
					c.changeLeader(0, 500*time.Millisecond)
					c.run(1500 * time.Millisecond)
				}
				c.run(20 * time.Second)
				c.expectNoViolation()
			})
		}
	}
}

// A call for an incarnation that doesn't tell its start isn't bound: the lease that it may have granted a later one, which tells its own, must be
// awaited.
func TestLeaseOfUnknownIncarnationIsAwaited(t *testing.T) {
	for _, after := range []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond, 4500 * time.Millisecond} {
		t.Run(fmt.Sprintf("after=%v", after), func(t *testing.T) {
			c := newBoundCluster(t, 1, 0)
			c.setMaxLease(10 * time.Second)
			for range 2 {
				c.addWorker().incarnation.startMs = 0
			}
			c.run(12 * time.Second)
			var late *exchange
			c.deliver = func(e *exchange, w *strictWorker) delivery {
				if e.call.Kind == order.Start && late == nil {
					late = e
					return delivery{delay: 100 * time.Millisecond, unanswered: true}
				}
				return delivery{delay: time.Millisecond, lost: w.isPartitioned(), unanswered: w.isPartitioned()}
			}
			c.submit("batch", "a", dedicated(1, time.Minute))
			w := c.assigned()
			c.runUntil(func() bool { return late != nil })
			w.setClockRate(slowestClock)
			w.restart(0)
			c.run(after)
			c.submit("batch", "b", dedicated(12, time.Minute))
			c.runUntil(func() bool { return len(w.incarnation.runs) > 0 && c.state.WorkerByID(w.id).GetBornMs() != 0 })
			c.run(300 * time.Millisecond)
			w.partition(30 * time.Second)
			c.addWorker()
			c.run(13 * time.Second)
			c.expectNoViolation()
		})
	}
}
