package dispatch

import (
	"time"

	"galenamoor/internal/decision/order"
)

// A worker may answer polls but no starts. Its lease goes on, so that it isn't declared lost, and its runs would be ordered again and
// again. They are moved instead.

const (
	// maxIgnoredStarts is the number of starts of a run that may get no answer from a worker that answers polls.
	maxIgnoredStarts = 2

	// ignoredStartsAvoidance is how long such a worker gets new runs only if no other one has room. It isn't excluded for as long,
	// because the network may have lost the calls to all workers.
	ignoredStartsAvoidance = 20 * time.Second
)

// observeIgnoredStart counts a start without an answer, unless the worker has answered nothing else meanwhile. After
// maxIgnoredStarts in a row, the next poll decides about the run.
func (d *Dispatcher) observeIgnoredStart(r *run, a *order.Answer) {
	w := r.worker
	if !w.lastPoll.After(a.Call.Sent) {
		r.ignoredStarts = 0
		return
	}
	if r.ignoredStarts++; r.ignoredStarts >= maxIgnoredStarts {
		r.nextStart = time.Time{}
		w.quarantinedUntil, w.ignoresUntil = d.now.Add(unhealthyQuarantine), d.now.Add(ignoredStartsAvoidance)
		w.pollAtOnce, w.nextPoll = true, d.now
	}
}

// moveIgnored stops a run whose starts were ignored and that a poll doesn't list, so that its task starts elsewhere. The worker
// rejects later starts of the run once it has acknowledged the stop.
func (d *Dispatcher) moveIgnored(r *run, a *order.Answer) {
	if a.Call.Sent.After(r.lastOrderedAt) && !r.stopRequested {
		d.requestStop(r, "its starts get no answer")
		d.stopGang(r)
	}
}

// isExpired reports whether a poll was answered after the last time at which the worker would have carried out a start of a run
// that is to stop. A run that such a poll doesn't list needs no acknowledgement of the stop.
func (r *run) isExpired(a *order.Answer) bool { return r.stopRequested && a.Clock > r.startExpiry }
