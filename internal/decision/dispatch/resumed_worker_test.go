package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/decision/order"
)

// A task must not start elsewhere while a worker runs it under a lease that a late call for an earlier incarnation has granted. That the
// worker was declared lost and came back in between must not hide that it reuses its ID.
func TestLateLeaseOfResumedWorker(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.setMaxLease(6 * time.Second)
	c.run(12 * time.Second)
	c.submit("batch", "a", dedicated(4, time.Minute))
	c.run(3 * time.Second)
	w := c.workers[0]
	isLost := func() bool { return c.state.WorkerByID(w.id) == nil }
	isTracked := func() bool { return !isLost() && c.tracked(w) != nil }
	var late *exchange
	unreachable := false
	c.deliver = func(e *exchange, to *strictWorker) delivery {
		switch {
		case to == w && late == nil && e.call.Kind == order.Poll && e.call.LeaseExpiry > 0:
			late = e
			return delivery{lost: true, unanswered: true}
		case to == w && (unreachable || w.isPartitioned()):
			return delivery{lost: true, unanswered: true}
		}
		return delivery{delay: time.Millisecond}
	}
	c.runUntil(func() bool { return late != nil })
	sent := c.now
	w.crash()
	c.runUntil(isLost)
	unreachable = true
	w.restart(0)
	w.announce(0)
	c.runUntil(isTracked)
	c.runUntil(isLost)
	w.announce(0)
	c.runUntil(isTracked)
	if delay := c.now.Sub(sent); delay > maxCallDelay {
		t.Fatalf("the late call is carried out after %v", delay)
	}
	w.receive(late)
	unreachable = false
	c.submit("batch", "b", dedicated(12, time.Minute))
	c.runUntil(func() bool { return len(w.incarnation.runs) > 0 })
	c.addWorker()
	c.addWorker()
	c.run(100 * time.Millisecond)
	w.partition(time.Minute)
	c.runUntil(isLost)
	c.run(20 * time.Second)
	c.expectNoViolation()
}
