package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
)

// expectNoViolation fails the test if a task ran twice, and shows how the first one did.
func (c *cluster) expectNoViolation() {
	c.t.Helper()
	if found := c.oracle.violations; len(found) > 0 {
		c.t.Errorf("%d tasks ran twice; %s: %s\n%s", len(found), found[0].class, found[0].detail, found[0].trace)
	}
}

// tracked returns the leader's state of a worker's incarnation, or nil.
func (c *cluster) tracked(w *strictWorker) *worker {
	if incarnation := c.state.WorkerByID(w.id); incarnation != nil {
		return c.leader.workers[incarnation.GetNumber()]
	}
	return nil
}

// assigned waits until a run is about to be assigned, and returns its worker.
func (c *cluster) assigned() *strictWorker {
	c.t.Helper()
	var found *strictWorker
	c.runUntil(func() bool {
		for _, w := range c.workers {
			if tracked := c.tracked(w); tracked != nil && len(tracked.proposedRuns) > 0 {
				found = w
			}
		}
		return found != nil
	})
	return found
}

// deliverFirstStart decides the fate of the first start. Other calls get lost only while their worker is partitioned.
func (c *cluster) deliverFirstStart(d delivery) {
	deliver, first := c.deliver, true
	c.deliver = func(e *exchange, w *strictWorker) delivery {
		if e.call.Kind == order.Start && first {
			first = false
			return d
		}
		if w.isPartitioned() {
			return delivery{lost: true, unanswered: true}
		}
		return deliver(e, w)
	}
}

// A later incarnation of a worker carries out a start without delay and is then partitioned. It measures the lease with a clock that
// has started anew, so the lease may be as long as a worker accepts.
func TestStartCarriedOutByLaterIncarnation(t *testing.T) {
	playStartsInLaterIncarnation(t, newCluster)
}

// playStartsInLaterIncarnation plays the same for some ways in which the leader may hear of the later incarnation, or not.
func playStartsInLaterIncarnation(t *testing.T, newCluster func(t *testing.T, seed uint64, workers int) *cluster) {
	for name, reach := range map[string]func(c *cluster, w *strictWorker){
		"confirmed": func(_ *cluster, w *strictWorker) { w.responsesLeft, w.partitionTime = 1, 15*time.Second },
		"announced": func(c *cluster, w *strictWorker) {
			w.announce(0)
			c.after(8*time.Millisecond, func() { w.partition(15 * time.Second) })
		},
		"unconfirmed": func(c *cluster, w *strictWorker) {
			c.after(8*time.Millisecond, func() { w.partition(15 * time.Second) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 2)
			c.deliver = func(e *exchange, w *strictWorker) delivery {
				return delivery{lost: w.isPartitioned() && e.call.Kind != order.Start, unanswered: w.isPartitioned()}
			}
			c.run(10 * time.Second)
			c.submit("batch", "a", dedicated(4, 20*time.Second))
			w := c.assigned()
			w.setClockRate(slowestClock)
			w.restart(0)
			reach(c, w)
			c.run(12 * time.Second)
			c.expectNoViolation()
		})
	}
}

// A poll that is sent after a worker has restarted must not acknowledge an end of the later incarnation, which hasn't listed it.
func TestAcknowledgementAfterRestart(t *testing.T) {
	for name, unanswered := range map[string]bool{"confirmed": false, "unconfirmed": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 1)
			w := c.workers[0]
			c.submit("batch", "before", dedicated(1, time.Second))
			c.runUntil(func() bool { return len(w.incarnation.runs) > 0 })
			c.run(700 * time.Millisecond)
			c.commitTime = func() time.Duration {
				if c.state.Job("a") == nil {
					return 15 * time.Millisecond
				}
				return 400 * time.Millisecond
			}
			c.deliver = func(e *exchange, _ *strictWorker) delivery {
				return delivery{unanswered: unanswered && e.call.Kind == order.Start}
			}
			c.submit("batch", "a", dedicated(1, 100*time.Millisecond))
			c.runUntil(func() bool { return c.tracked(w).recordingEnds })
			w.restart(0)
			c.run(10 * time.Second)
			c.expectNoViolation()
		})
	}
}

// A start without an answer must not be repeated once its run has been listed: a later incarnation would carry it out.
func TestListedRunIsNotOrderedAgain(t *testing.T) {
	c := newCluster(t, 1, 1)
	w, starts := c.workers[0], 0
	c.deliver = func(e *exchange, w *strictWorker) delivery {
		switch {
		case w.isPartitioned():
			return delivery{lost: true, unanswered: true}
		case e.call.Kind == order.Start && starts == 0:
			starts++
			return delivery{unanswered: true}
		case e.call.Kind == order.Start:
			starts++
			return delivery{delay: 5 * time.Second, unanswered: true}
		}
		return delivery{}
	}
	c.submit("batch", "a", dedicated(1, 1500*time.Millisecond))
	c.run(4 * time.Second)
	w.restart(0)
	w.partition(15 * time.Second)
	c.run(10 * time.Second)
	if starts > 1 {
		t.Errorf("the run was ordered %d times", starts)
	}
	c.expectNoViolation()
}

// A later incarnation that has answered once and is then partitioned must not be given up while a start for the earlier one may
// still be carried out and run there.
func TestSilentLaterIncarnation(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.deliverFirstStart(delivery{delay: protocolMaxDelay - 100*time.Millisecond, unanswered: true})
	c.submit("batch", "a", dedicated(1, 20*time.Second))
	w := c.assigned()
	c.run(100 * time.Millisecond)
	w.restart(0)
	w.responsesLeft, w.partitionTime = 1, 40*time.Second
	c.run(30 * time.Second)
	c.expectNoViolation()
}

// A start that a new leader orders again and that is refused doesn't rule out that the start of its predecessor is carried out: a
// worker that has restarted doesn't keep the fencing token of a call that it refuses.
func TestRefusedStartAfterLeaderChange(t *testing.T) {
	c := newCluster(t, 1, 2)
	var first *exchange
	var w *strictWorker
	c.deliver = func(e *exchange, to *strictWorker) delivery {
		if e.call.Kind == order.Start && first == nil {
			first = e
			return delivery{lost: true, unanswered: true}
		}
		return delivery{lost: to == w && w.refusalRate > 0 && e.call.Kind == order.Poll}
	}
	c.submit("batch", "a", dedicated(1, 5*time.Second))
	w = c.assigned()
	c.runUntil(func() bool { return first != nil })
	c.changeLeader(0, 0)
	c.run(protocolTick)
	key := first.call.Run
	c.runUntil(func() bool { return c.leader.runs[key] != nil && !c.leader.runs[key].nextStart.IsZero() })
	w.restart(0)
	w.refusalRate = 1
	c.runUntil(func() bool {
		r := c.leader.runs[key]
		return r == nil || r.withdrawn || r.stopRequested || !r.refusedAt.IsZero()
	})
	w.refusalRate = 0
	first.delivery = delivery{unanswered: true}
	w.receive(first)
	c.run(10 * time.Second)
	c.expectNoViolation()
}

// A run whose end isn't listed yet, because its worker lists only some ends at a time, must not be taken for missing.
func TestEndsBeyondOneList(t *testing.T) {
	const tasks = 2*maxListedEnds + 100
	c := newCluster(t, 1, 2)
	w := c.workers[0]
	c.workers[1].partition(10 * time.Second)
	c.run(2 * time.Second)
	step := dedicated(tasks, 1500*time.Millisecond)
	step.Processors, step.Memory = 20, 20
	c.submit("batch", "a", step)
	c.runUntil(func() bool { return len(w.incarnation.runs) == tasks })
	c.workers[1].partitionedUntil = c.now
	w.partition(1500 * time.Millisecond)
	c.run(5 * time.Second)
	c.expectNoViolation()
}

// An incarnation that has announced itself must be polled, which fences late orders for earlier ones, before its announcement is
// committed.
func TestLateStartAfterAnnouncement(t *testing.T) {
	c := newCluster(t, 1, 1)
	w := c.workers[0]
	var late *exchange
	c.deliver = func(e *exchange, _ *strictWorker) delivery {
		if e.call.Kind == order.Start && late == nil {
			late = e
			return delivery{lost: true, unanswered: true}
		}
		return delivery{}
	}
	c.submit("batch", "a", dedicated(1, time.Second))
	c.run(4 * time.Second)
	w.crash()
	c.run(6 * time.Second)
	c.commitTime = func() time.Duration { return 400 * time.Millisecond }
	w.restart(0)
	w.announce(0)
	c.run(100 * time.Millisecond)
	late.delivery = delivery{unanswered: true}
	w.receive(late)
	c.run(5 * time.Second)
	c.expectNoViolation()
}

// announceFalsely announces, at an interval, an incarnation of each worker that is later than its present one and doesn't exist.
func (c *cluster) announceFalsely(interval time.Duration) {
	bornLater := int64(0)
	var announce func()
	announce = func() {
		bornLater++
		for _, w := range c.workers {
			life := w.life()
			life.BornMs += 1000 + bornLater
			c.serve(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Announce{Announce: &controlpb.AnnounceLife{Life: life, Sequence: 1}}}, nil)
		}
		c.after(interval, announce)
	}
	announce()
}

// expectFirstRuns fails the test unless so many tasks run, each in its first run.
func (c *cluster) expectFirstRuns(tasks int) {
	c.t.Helper()
	running := 0
	for _, w := range c.workers {
		for key := range w.incarnation.runs {
			if running++; key.Run > 1 {
				c.t.Errorf("%v has run %d", key.Task, key.Run)
			}
		}
	}
	if running != tasks {
		c.t.Errorf("%d tasks run, expected %d", running, tasks)
	}
}
