package dispatch

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/decision/order"
)

// newReusedIDSimulation returns a simulation in which all workers have restarted under their IDs long ago, with a serving job "a" and no
// other changes, and the disk of its controllers.
func newReusedIDSimulation(t *testing.T, tasks uint32) (*simulation, *disk) {
	t.Helper()
	sim := newSimulationWithWorkers(t, 1, 8)
	sim.dispatcher.config.Limits.MaxLease = 10 * time.Second
	disk := newDisk(sim)
	sim.run(2 * time.Second)
	for _, w := range sim.workers {
		w.startIncarnation(proto.CloneOf(w.incarnation))
	}
	sim.run(20 * time.Second)
	for _, w := range sim.workers {
		if !sim.state.WorkerByID(w.incarnation.GetId()).GetReusesId() {
			t.Fatalf("the later incarnation of %s isn't known", w.incarnation.GetId())
		}
	}
	sim.submit("urgent", "a", serving(tasks, "image"))
	sim.run(time.Minute)
	return sim, disk
}

// A worker that has restarted under its ID long ago and is lost near a change of leader must be declared lost as soon as any other: each
// leader counted the longest lease from its own start, and again from the first answer.
func TestLossOfReusedIDNearLeaderChange(t *testing.T) {
	const tasks, margin = 16, 300 * time.Millisecond
	changes := map[string]func(*simulation, *disk){
		"same replica": func(sim *simulation, _ *disk) { sim.changeLeader() },
		"log":          func(sim *simulation, disk *disk) { sim.restartControllers(disk, 0) },
		"snapshot": func(sim *simulation, disk *disk) {
			disk.compact()
			sim.restartControllers(disk, 0)
		},
	}
	for name, change := range changes {
		for _, led := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
			t.Run(fmt.Sprintf("%s/led=%v", name, led), func(t *testing.T) {
				sim, disk := newReusedIDSimulation(t, tasks)
				change(sim, disk)
				sim.run(led)
				sim.crashWorkers(4)
				sim.expectRunsWithin("a", tasks, sim.now, leaseBound+margin)
			})
		}
	}
}

// The longest lease must be counted for a worker of a snapshot of an earlier version, which doesn't tell by when it has answered.
func TestReusedIDOfEarlierSnapshot(t *testing.T) {
	sim, _ := newReusedIDSimulation(t, 16)
	snapshot := sim.state.Snapshot()
	for _, life := range snapshot.GetWorkers() {
		life.AnsweredByMs = nil
	}
	sim.restore(snapshot)
	sim.changeLeader()
	start := sim.now
	sim.run(100 * time.Millisecond)
	for _, w := range sim.dispatcher.workers {
		if lease, longest := w.leaseExpires.Sub(start), sim.dispatcher.longestLease(); w.reusesID && lease < longest {
			t.Errorf("%s: the lease is counted for %v, expected %v", w.incarnation.GetId(), lease, longest)
		}
	}
}

// lateLease returns a cluster with a worker of the slowest clock that has just restarted under its ID, and has a run. A late call for its
// earlier incarnation has granted it the longest lease just before it got the first call with a higher token. Nothing reaches it while it
// is partitioned.
func lateLease(t *testing.T) (*cluster, *strictWorker) {
	t.Helper()
	c := newCluster(t, 1, 2)
	c.setMaxLease(10 * time.Second)
	c.run(12 * time.Second)
	w, other := c.workers[0], c.workers[1]
	w.setClockRate(slowestClock)
	var late *exchange
	carriedOut, isLate := false, false
	c.deliver = func(e *exchange, to *strictWorker) delivery {
		switch {
		case to.isPartitioned():
			return delivery{lost: true, unanswered: true}
		case to == w && isLate && late == nil && e.call.Kind == order.Poll && e.call.LeaseExpiry > 0:
			late = e
			return delivery{lost: true, unanswered: true}
		case to == w && late != nil && !carriedOut && e.call.Fence > late.call.Fence:
			carriedOut = true
			late.delivery = delivery{unanswered: true}
			w.receive(late)
		}
		return delivery{delay: time.Millisecond}
	}
	other.partition(time.Minute) // only w is to get runs for now
	c.run(2 * time.Second)
	c.submit("batch", "a", dedicated(4, 40*time.Second))
	c.runUntil(func() bool { return len(w.incarnation.runs) > 0 })
	isLate = true
	c.runUntil(func() bool { return late != nil })
	w.restart(0)
	w.announce(0)
	c.runUntil(func() bool { return len(w.incarnation.runs) > 0 })
	other.partitionedUntil = c.now
	if left := w.incarnation.lease - w.clock(); !carriedOut || left < 9*time.Second {
		t.Fatalf("the late call has granted a lease of %v", left)
	}
	return c, w
}

// A task must not start elsewhere while its worker, which has restarted under its ID, runs it by the longest lease, which a late call for
// the earlier incarnation has granted and of which the next leaders know nothing.
func TestLateLeaseOfEarlierIncarnationAcrossLeaders(t *testing.T) {
	type combination struct {
		offset, led time.Duration // from the first run to the first change of leader, and to a second one if it isn't 0
		gap         time.Duration // without a leader
		restarted   bool          // each leader is a replica that has just read its state from its disk
	}
	var combinations []combination
	for offset := time.Duration(0); offset < 10*time.Second; offset += 700 * time.Millisecond {
		for _, led := range []time.Duration{0, 400 * time.Millisecond, 2 * time.Second} {
			for _, gap := range []time.Duration{0, 1500 * time.Millisecond} {
				combinations = append(combinations, combination{offset, led, gap, false}, combination{offset, led, gap, true})
			}
		}
	}
	for _, o := range combinations {
		t.Run(fmt.Sprintf("offset=%v/led=%v/gap=%v/restarted=%v", o.offset, o.led, o.gap, o.restarted), func(t *testing.T) {
			c, w := lateLease(t)
			c.run(o.offset)
			change := func() {
				if o.restarted {
					c.restartReplica()
				}
				c.changeLeader(0, o.gap)
				c.run(o.gap + protocolTick)
			}
			if o.led == 0 {
				w.partition(time.Minute)
				change()
			} else {
				change() // it answers the second leader
				c.run(o.led)
				w.partition(time.Minute)
				change()
			}
			c.run(20 * time.Second)
			c.expectNoViolation()
		})
	}
}
