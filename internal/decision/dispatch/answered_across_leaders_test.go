package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/decision/order"
)

// The tasks of a worker that announces a restart and is silent then must not wait for a start that was answered under an earlier leader.
func TestSilentRestartAfterLeaderChange(t *testing.T) {
	const tasks, most = 16, 9 * time.Second
	for _, way := range []string{"standby", "log", "snapshot"} {
		for _, led := range []time.Duration{time.Second, 4 * time.Second, 11 * time.Second} {
			for _, earlier := range []int{0, 1, 3} {
				t.Run(fmt.Sprintf("%s/led=%v/earlier=%d", way, led, earlier), func(t *testing.T) {
					t.Parallel()
					sim := newSettledSimulation(t, tasks)
					change := leaderChanges(sim)[way]
					for range earlier {
						change()
						sim.run(45 * time.Second)
					}
					change()
					sim.run(led)
					sim.restartSilently(4)
					sim.expectRunsWithin("a", tasks, sim.now, most)
				})
			}
		}
	}
}

// lateStartCase is a worker that carries out an unanswered start in a later incarnation, which has announced itself once and is silent then.
type lateStartCase struct {
	repeated  bool          // all starts are withheld from the worker; otherwise only the first one is, and the second one is carried out
	cut       bool          // no later leader reaches the worker
	age       time.Duration // of the assignment as the first leader falls
	changes   int           // of the leader
	led       time.Duration // by each leader after the first
	late      time.Duration // from the restart until the start is carried out
	restarted bool          // the next leader is a replica that has just read its state from a snapshot
}

func (o lateStartCase) play(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.setMaxLease(10 * time.Second)
	c.run(12 * time.Second)
	var w *strictWorker
	var withheld *exchange
	var sent time.Time
	c.deliver = func(e *exchange, to *strictWorker) delivery {
		if to == w && e.call.Kind == order.Start && (withheld == nil || o.repeated) {
			withheld, sent = e, c.now
			return delivery{lost: true, unanswered: true}
		}
		return delivery{delay: time.Millisecond, lost: to.isPartitioned(), unanswered: to.isPartitioned()}
	}
	c.submit("batch", "a", dedicated(4, 30*time.Second))
	w = c.assigned()
	w.setClockRate(slowestClock)
	c.run(o.age)
	if o.cut {
		w.partition(time.Minute)
	}
	for range o.changes {
		if o.restarted {
			if err := c.state.Restore(c.state.Snapshot()); err != nil {
				t.Fatal(err)
			}
			c.restartReplica()
		}
		c.changeLeader(0, 0)
		c.run(o.led)
	}
	w.restart(0)
	w.partitionedUntil = c.now
	w.announce(0)
	w.partition(time.Minute)
	c.run(o.late)
	if withheld == nil || c.state.Task(withheld.call.Run.Task).Assignment(withheld.call.Run.Run) == 0 {
		t.Fatal("no start of a live run was withheld")
	}
	if c.now.Sub(sent) > protocolMaxDelay {
		t.Fatal("the start isn't on its way any more")
	}
	withheld.delivery = delivery{unanswered: true}
	w.receive(withheld)
	c.run(40 * time.Second)
	c.expectNoViolation()
}

// A task must not run twice because a start that got no answer, and is settled by its age, is carried out by a later incarnation of the
// worker under a later leader.
func TestUnansweredStartCarriedOutUnderLaterLeader(t *testing.T) {
	for _, repeated := range []bool{false, true} {
		ages := []time.Duration{2500 * time.Millisecond, 4 * time.Second, 6 * time.Second, 8 * time.Second}
		if repeated { // the first leader would stop the run, and start the task elsewhere
			ages = []time.Duration{2300 * time.Millisecond, 2800 * time.Millisecond}
		}
		for _, age := range ages {
			for changes := 1; changes <= 2; changes++ {
				for _, led := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond, 2200 * time.Millisecond} {
					for _, late := range []time.Duration{10 * time.Millisecond, time.Second, 3 * time.Second} {
						if !repeated && age+time.Duration(changes)*led+late > protocolMaxDelay {
							continue
						}
						for i := range 4 {
							o := lateStartCase{repeated: repeated, cut: i&1 != 0, age: age, changes: changes, led: led, late: late, restarted: i&2 != 0}
							t.Run(fmt.Sprintf("%+v", o), func(t *testing.T) {
								t.Parallel()
								o.play(t)
							})
						}
					}
				}
			}
		}
	}
}
