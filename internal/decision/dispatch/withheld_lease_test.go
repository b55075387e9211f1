package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/decision/order"
)

// loseCalls loses the calls to a worker while isLost reports so, and notes the newest lease that one grants.
func (c *cluster) loseCalls(w *strictWorker, isLost func(call *order.Call) bool) (granted *time.Duration) {
	granted = new(time.Duration)
	c.deliver = func(e *exchange, to *strictWorker) delivery {
		if to != w {
			return delivery{}
		}
		*granted = max(*granted, e.call.LeaseExpiry)
		lost := isLost(e.call) || w.isPartitioned()
		return delivery{lost: lost, unanswered: lost}
	}
	return granted
}

// withheld reports whether the lease of a worker is withheld in the replicated state.
func (c *cluster) withheld(w *strictWorker) bool {
	return c.state.WorkerByID(w.id).GetWithheldLease() != nil
}

// A healthy worker that doesn't get one poll, or two, must keep its lease, and with it its tasks.
func TestLostPollsKeepTasks(t *testing.T) {
	for lost := 1; lost <= 2; lost++ {
		for _, commitTime := range []time.Duration{15 * time.Millisecond, 100 * time.Millisecond} {
			t.Run(fmt.Sprintf("lost=%d/commit=%v", lost, commitTime), func(t *testing.T) {
				c := newCluster(t, 1, 1)
				w := c.workers[0]
				c.commitTime = func() time.Duration { return commitTime }
				c.submit("batch", "a", dedicated(4, 40*time.Second))
				c.runUntil(func() bool { return len(w.incarnation.runs) == 4 })
				for range 3 {
					c.run(3 * time.Second)
					left := lost
					c.loseCalls(w, func(*order.Call) bool {
						left--
						return left >= 0
					})
					c.runUntil(func() bool { return c.withheld(w) })
					c.runUntil(func() bool { return !c.withheld(w) })
				}
				c.run(5 * time.Second)
				c.expectFirstRuns(4)
			})
		}
	}
}

// The lease of a worker that answers again must not be extended before that is committed: the next leader relies on the record, and
// would start the tasks elsewhere beside their first runs.
func TestLeaseIsExtendedOnlyAfterResumption(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("batch", "a", dedicated(8, 40*time.Second))
	var w *strictWorker
	c.runUntil(func() bool {
		for _, worker := range c.workers {
			if len(worker.incarnation.runs) > 0 {
				w = worker
			}
		}
		return w != nil
	})
	c.run(3 * time.Second)
	muted := true
	granted := c.loseCalls(w, func(*order.Call) bool { return muted })
	c.runUntil(func() bool { return c.withheld(w) })
	c.commitTime = func() time.Duration { return time.Minute }
	before := *granted
	muted = false
	c.run(time.Second)
	if tracked := c.tracked(w); tracked.missedCalls > 0 || !c.withheld(w) {
		t.Fatal("the worker doesn't answer again, or the resumption is committed")
	}
	if *granted > before {
		t.Errorf("the lease was extended by %v before the resumption was committed", *granted-before)
	}
	w.partition(time.Minute)
	c.commitTime = func() time.Duration { return 15 * time.Millisecond }
	c.lastCommit = c.now
	c.changeLeader(0, 0)
	c.run(20 * time.Second)
	c.expectNoViolation()
}

// A record whose commit is uncertain must be proposed again, or the next leader counts the longest lease.
func TestUncertainLeaseRecordIsRepeated(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	sim.submit("urgent", "a", serving(1, "image"))
	sim.run(5 * time.Second)
	sim.crashWorkers(1)
	w := sim.dispatcher.workers[1]
	for !w.leaseWithheld {
		sim.run(10 * time.Millisecond)
	}
	sim.events = dropCommits(sim.events)
	for command := range sim.dispatcher.proposed {
		sim.dispatcher.HandleResult(sim.now, command, nil)
	}
	sim.run(1500 * time.Millisecond)
	if sim.state.Worker(1).GetWithheldLease() == nil {
		t.Error("the lease isn't recorded as withheld")
	}
}

// undecidedCalls gets neither an answer nor a failure for any call.
type undecidedCalls struct{ *simulation }

func (undecidedCalls) Send(*order.Call) {}

// The next leader must await open starts of a worker with a sign of a later incarnation also if they aren't recorded: the leases that leaders
// grant don't cover those that late calls grant that incarnation.
func TestLaterIncarnationVoidsLeaseRecord(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	sim.submit("urgent", "settled", serving(1, "image"))
	sim.run(5 * time.Second)
	sim.dispatcher.config.WorkerCalls = undecidedCalls{sim}
	sim.submit("urgent", "open", serving(1, "image"))
	sim.dispatcher.checkRestart(sim.dispatcher.workers[1])
	sim.run(restartRecordDelay + 100*time.Millisecond)
	if record := sim.state.Worker(1).GetWithheldLease(); !record.GetMayHaveRestarted() || record.GetKnowsOpenStarts() {
		t.Fatalf("recorded: %v", record)
	}
	granted := sim.dispatcher.workers[1].leaseExpires
	sim.changeLeader()
	longest := sim.now.Add(maxCallDelay + sim.dispatcher.longestLease())
	sim.run(100 * time.Millisecond)
	d := sim.dispatcher
	if expires := d.workers[1].leaseExpires; expires.Before(granted) {
		t.Errorf("the next leader counts a lease that ends %v too early", granted.Sub(expires))
	}
	expectOpenStarts(t, d, longest)
}

// expectOpenStarts fails the test unless of two runs, that of the job "open" counts as one that a later incarnation may run until a time.
func expectOpenStarts(t *testing.T, d *Dispatcher, until time.Time) {
	t.Helper()
	for key, r := range d.runs {
		isOpen := key.Task.Job == "open"
		if d.mayRunLater(r) != isOpen {
			t.Errorf("%v has an open start: %v, expected %v", key.Task, !isOpen, isOpen)
		}
		if counted := d.openStartUntil(r); isOpen && counted.Before(until) {
			t.Errorf("the next leader counts the start of %v for %v too short a time", key.Task, until.Sub(counted))
		}
	}
	if len(d.runs) != 2 {
		t.Errorf("%d runs, expected 2", len(d.runs))
	}
}

// The next leader must count the longest lease for an open start of a worker with a sign of a later incarnation, whether or not the lease
// was recorded as withheld before the sign, and the lease that its predecessor has counted for the other runs.
func TestOpenStartsOfLaterIncarnation(t *testing.T) {
	for _, withheld := range []bool{false, true} {
		t.Run(fmt.Sprintf("withheld=%v", withheld), func(t *testing.T) {
			sim := newSimulationWithWorkers(t, 1, 1)
			sim.submit("urgent", "settled", serving(1, "image"))
			sim.run(5 * time.Second)
			sim.workers[0].answersLost = true
			sim.submit("urgent", "open", serving(1, "image"))
			for withheld && sim.state.Worker(1).GetWithheldLease() == nil {
				sim.run(10 * time.Millisecond)
			}
			sim.run(100 * time.Millisecond)
			sim.dispatcher.checkRestart(sim.dispatcher.workers[1])
			for end := sim.now.Add(3 * time.Second); !sim.state.Worker(1).GetWithheldLease().GetKnowsOpenStarts(); sim.run(10 * time.Millisecond) {
				if sim.now.After(end) {
					t.Fatal("the open starts aren't recorded")
				}
			}
			expires := sim.dispatcher.workers[1].leaseExpires
			sim.changeLeader()
			longest := sim.now.Add(sim.dispatcher.longestLease())
			sim.run(100 * time.Millisecond)
			d := sim.dispatcher
			if inherited := d.workers[1].leaseExpires; inherited.Before(expires) {
				t.Errorf("the next leader counts a lease that ends %v too early", expires.Sub(inherited))
			}
			expectOpenStarts(t, d, longest)
		})
	}
}
