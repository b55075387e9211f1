package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
)

// The lease of a lost worker must count from the end of the last leader that reached it, however many leaders that didn't came since.
func TestLossBeforeShortLeaders(t *testing.T) {
	const tasks, age, margin, untold = 16, 100 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond
	for _, way := range []string{"standby", "log", "snapshot"} {
		for _, length := range []time.Duration{700 * time.Millisecond, time.Second, 1300 * time.Millisecond, 1900 * time.Millisecond} {
			for leaders := 2; leaders <= 8; leaders++ {
				for _, reached := range []int{0, 2} { // of the leaders
					if reached > 0 && leaders < 4 {
						continue
					}
					t.Run(fmt.Sprintf("%s/length=%v/leaders=%d/reached=%d", way, length, leaders, reached), func(t *testing.T) {
						sim := newSettledSimulation(t, tasks)
						change := leaderChanges(sim)[way]
						for range reached {
							change()
							sim.run(length)
						}
						sim.dispatcher.config.Mailbox = timeouts{sim}
						sim.crashWorkers(4)
						crashed := sim.now
						if n := sim.servingRuns("a"); n == tasks {
							t.Fatal("no task is affected")
						}
						sim.run(age)
						due := sim.now.Add(leaseBound)
						for range leaders - reached {
							change()
							if silent := sim.now.Add(unresponsiveAfter); silent.After(due) {
								due = silent
							}
							if way != "standby" {
								due = due.Add(untold)
							}
							for end := sim.now.Add(length); sim.now.Before(end) && sim.servingRuns("a") < tasks; {
								sim.run(10 * time.Millisecond)
							}
							if sim.servingRuns("a") == tasks {
								break
							}
						}
						sim.awaitServingRuns("a", tasks)
						if sim.now.After(due.Add(margin)) {
							t.Errorf("the tasks run again %v after the loss, expected at most %v", sim.now.Sub(crashed), due.Add(margin).Sub(crashed))
						}
					})
				}
			}
		}
	}
}

// newGrantCluster returns a cluster in which a worker with a slow clock runs tasks, and the leader has just changed.
func newGrantCluster(t *testing.T) (*cluster, *strictWorker) {
	c := newCluster(t, 1, 2)
	c.setMaxLease(10 * time.Second)
	c.run(12 * time.Second)
	c.submit("urgent", "a", dedicated(4, time.Minute))
	c.runUntil(func() bool { return len(c.workers[0].incarnation.runs)+len(c.workers[1].incarnation.runs) == 4 })
	w := c.workers[0]
	if len(w.incarnation.runs) == 0 {
		w = c.workers[1]
	}
	c.run(5 * time.Second)
	w.setClockRate(slowestClock)
	c.changeLeader(0, 0)
	c.run(protocolTick)
	return c, w
}

// leaseEnds returns when the lease of a worker has certainly expired, by its own clock.
func (w *strictWorker) leaseEnds() time.Time {
	return w.cluster.now.Add(time.Duration(float64(w.incarnation.lease-w.clock()) / w.clockRate))
}

// playShortLeaders changes the leader after each of some times, and fails the test if one counts the lease of a worker too short, or a task runs
// twice.
func (c *cluster) playShortLeaders(w *strictWorker, restarted bool, lengths ...time.Duration) {
	c.t.Helper()
	ends := w.leaseEnds()
	for _, length := range lengths {
		c.changeLeader(0, 0)
		if restarted {
			if err := c.state.Restore(c.state.Snapshot()); err != nil {
				c.t.Fatal(err)
			}
			c.restartReplica()
		}
		c.run(length)
		if tracked := c.tracked(w); tracked == nil || tracked.leaseExpires.Before(ends) {
			c.t.Errorf("a leader counts the lease of the worker too short: %v", tracked)
		}
	}
	c.run(20 * time.Second)
	c.expectNoViolation()
}

// A lease of a leader that has fallen since must be counted in full, although its successors haven't reached the worker.
func TestLeaseOfFallenLeader(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		for _, led := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second} {
			for leaders := 1; leaders <= 4; leaders++ {
				t.Run(fmt.Sprintf("restarted=%v/led=%v/leaders=%d", restarted, led, leaders), func(t *testing.T) {
					c, w := newGrantCluster(t)
					c.runUntil(func() bool { return c.leader.epoch != 0 && c.tracked(w) != nil && c.leader.mayGrant(c.tracked(w)) })
					c.run(led)
					isGranted := false
					c.deliver = func(e *exchange, to *strictWorker) delivery {
						isGranted = isGranted || to == w && e.call.LeaseExpiry > 0
						lost := w.isPartitioned() && to == w
						return delivery{delay: time.Millisecond, lost: lost, unanswered: lost}
					}
					c.runUntil(func() bool { return isGranted })
					c.run(protocolTick)
					w.partition(time.Minute)
					lengths := []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 900 * time.Millisecond, 1100 * time.Millisecond}
					c.playShortLeaders(w, restarted, lengths[:leaders]...)
					for key := range c.state.WorkerByID(c.otherWorker(w).id).Runs {
						if key.Run > 1 {
							return
						}
					}
					t.Error("no task has started again")
				})
			}
		}
	}
}

// otherWorker returns the other one of two workers.
func (c *cluster) otherWorker(w *strictWorker) *strictWorker {
	if c.workers[0] == w {
		return c.workers[1]
	}
	return c.workers[0]
}

// A leader whose record of grants isn't committed must order no start, and grant no lease that outlasts those of its predecessor, as the next one
// doesn't count its leases.
func TestUncommittedRecordOfGrants(t *testing.T) {
	for _, led := range []time.Duration{200 * time.Millisecond, time.Second, 4 * time.Second, 6 * time.Second} {
		for _, leaders := range []int{1, 3} {
			t.Run(fmt.Sprintf("led=%v/leaders=%d", led, leaders), func(t *testing.T) {
				c, w := newGrantCluster(t)
				c.runUntil(func() bool { return c.leader.epoch != 0 })
				began := c.leader.leadingSince
				c.commitTime = func() time.Duration { return time.Minute }
				c.deliver = func(e *exchange, to *strictWorker) delivery {
					if e.call.Kind == order.Start {
						t.Errorf("a start is ordered from %s", to.id)
					}
					lost := w.isPartitioned() && to == w
					return delivery{delay: time.Millisecond, lost: lost, unanswered: lost}
				}
				c.submit("urgent", "b", dedicated(4, time.Minute))
				c.run(led)
				if c.leader.mayGrant(c.tracked(w)) || !c.leader.recordingGrants {
					t.Fatal("the record isn't proposed, or it is committed")
				}
				if ends := w.leaseEnds(); ends.After(began.Add(leaseBound)) {
					t.Errorf("the lease lasts %v too long", ends.Sub(began.Add(leaseBound)))
				}
				w.partition(time.Minute)
				c.commitTime = func() time.Duration { return 15 * time.Millisecond }
				c.lastCommit = c.now
				c.deliver = func(_ *exchange, to *strictWorker) delivery {
					lost := w.isPartitioned() && to == w
					return delivery{delay: time.Millisecond, lost: lost, unanswered: lost}
				}
				lengths := []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 900 * time.Millisecond}
				c.playShortLeaders(w, false, lengths[:leaders]...)
			})
		}
	}
}

// A leader must not grant a lease without a record to a worker that its predecessor hasn't reached: the next one may count from before that.
func TestUnrecordedLeaseAfterMissedLeader(t *testing.T) {
	c, w := newGrantCluster(t)
	c.deliver = func(_ *exchange, to *strictWorker) delivery {
		lost := w.isPartitioned() && to == w
		return delivery{delay: time.Millisecond, lost: lost, unanswered: lost}
	}
	w.partition(time.Minute)
	c.run(500 * time.Millisecond)
	ends := w.leaseEnds()
	w.partitionedUntil = c.now
	c.changeLeader(0, 0)
	c.run(protocolTick)
	c.runUntil(func() bool { return c.leader.epoch != 0 })
	c.commitTime = func() time.Duration { return time.Minute }
	c.run(time.Second)
	if tracked := c.tracked(w); !tracked.grantUnrecorded || c.leader.mayGrant(tracked) {
		t.Fatal("the record isn't proposed, or it is committed")
	}
	if later := w.leaseEnds(); later.Sub(ends) > time.Millisecond {
		t.Errorf("the lease is extended by %v", later.Sub(ends))
	}
	w.partition(time.Minute)
	c.commitTime = func() time.Duration { return 15 * time.Millisecond }
	c.lastCommit = c.now
	c.playShortLeaders(w, false, 300*time.Millisecond, 700*time.Millisecond)
}

// A healthy worker must keep its tasks, although it takes long to record that a new leader grants it leases.
func TestSlowRecordOfGrants(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("batch", "a", dedicated(4, time.Minute))
	c.run(3 * time.Second)
	c.commitTime = func() time.Duration { return 1200 * time.Millisecond }
	for range 4 {
		c.changeLeader(0, 800*time.Millisecond)
		c.run(6 * time.Second)
	}
	c.expectFirstRuns(4)
}

// A leader that doesn't record to whom it grants leases, as one of an earlier version, may have granted one to each worker.
func TestEpochWithoutRecordsOfGrants(t *testing.T) {
	for name, test := range map[string]struct {
		records, earlierSnapshot bool
		counted                  time.Duration // from the start of the leader
	}{
		"records":                     {true, false, leaseBound - 2*time.Second},
		"no records":                  {false, false, leaseBound},
		"snapshot of earlier version": {true, true, leaseBound},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newEpochSimulation(t)
			sim.applyEpoch(&controlpb.BeginEpoch{LeaseMs: milliseconds(leaseBound), EarlierLeaseMs: milliseconds(leaseBound), RecordsGrants: test.records})
			sim.now = sim.now.Add(2 * time.Second)
			if test.earlierSnapshot {
				snapshot := sim.state.Snapshot()
				snapshot.RecordsGrants = false
				sim.restore(snapshot)
			}
			if counted := sim.inheritedLease(); (counted - test.counted).Abs() > 50*time.Millisecond {
				t.Errorf("the lease is counted for %v, expected %v", counted, test.counted)
			}
		})
	}
}

// A longer lease of an epoch before the newest that has granted one must be counted too.
func TestLongerLeaseBeforeRecordedGrant(t *testing.T) {
	sim := newEpochSimulation(t)
	const longer, passed = 9 * time.Second, 500 * time.Millisecond
	began := sim.now
	sim.applyEpoch(&controlpb.BeginEpoch{LeaseMs: milliseconds(longer), EarlierLeaseMs: milliseconds(leaseBound)})
	sim.applyEpoch(&controlpb.BeginEpoch{LeaseMs: milliseconds(leaseBound), EarlierLeaseMs: milliseconds(longer), RecordsGrants: true})
	sim.state.Apply(sim.now, &controlpb.WorkBatch{Changes: []*controlpb.WorkChange{{Kind: &controlpb.WorkChange_BeginGrants{BeginGrants: &controlpb.BeginGrants{Workers: []uint32{1}}}}}})
	sim.now = sim.now.Add(passed)
	if counted := sim.inheritedLease(); counted < longer-passed {
		t.Errorf("the lease is counted until %v after its epoch, expected %v", sim.dispatcher.workers[1].leaseExpires.Sub(began), longer)
	}
}

// No task may run twice, whichever workers a series of leaders reaches, and however much of what they propose is committed.
func TestPartitionsAcrossShortLeaders(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			c, random := newCluster(t, seed, 4), rand.New(rand.NewPCG(seed, 3))
			upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
			c.deliver = func(e *exchange, to *strictWorker) delivery {
				lost := to.isPartitioned() || e.call.Kind == order.Poll && e.random.IntN(8) == 0
				return delivery{delay: time.Millisecond, lost: lost, unanswered: lost}
			}
			for _, w := range c.workers {
				w.setClockRate(slowestClock)
			}
			c.submit("batch", "a", dedicated(12, 8*time.Second))
			c.submit("urgent", "b", dedicated(12, time.Minute))
			c.run(5 * time.Second)
			for range 20 {
				for _, w := range c.workers {
					if random.IntN(3) == 0 {
						w.partition(upTo(8 * time.Second))
					}
				}
				commitTime := 5*time.Millisecond + upTo([]time.Duration{50 * time.Millisecond, 600 * time.Millisecond}[random.IntN(2)])
				c.commitTime = func() time.Duration { return commitTime }
				c.run(upTo([]time.Duration{400 * time.Millisecond, 2 * time.Second, 7 * time.Second}[random.IntN(3)]))
				if random.IntN(4) == 0 {
					if err := c.state.Restore(c.state.Snapshot()); err != nil {
						t.Fatal(err)
					}
					c.restartReplica()
				}
				c.changeLeader(random.IntN(3), upTo(300*time.Millisecond))
			}
			c.run(20 * time.Second)
			c.expectNoViolation()
		})
	}
}
