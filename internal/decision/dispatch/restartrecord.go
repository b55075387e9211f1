package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// A later incarnation of a worker holds leases by its own clock, which the bound on those of the earlier one doesn't cover. It can only run
// what was ordered from the earlier one, so the leader records which of these starts are open once it grants no lease and orders no start any
// more. No leader does either until it has committed that the lease is resumed, so that the record holds under all of them.

// isLeaseBound reports whether a record bounds the leases of its incarnation. None is granted until it is resumed.
func isLeaseBound(record *controlpb.WithholdLease) bool {
	return record != nil && (!record.GetMayHaveRestarted() || record.GetKnowsOpenStarts())
}

// recordRestart records that a later incarnation of a worker may hold a longer lease than this leader counts, and which starts it may carry
// out if the lease is withheld. Otherwise the lease is still extended, and the next leader can't count on the record.
func (d *Dispatcher) recordRestart(w *worker) {
	if d.isRestartRecorded(w) || !d.canRecordLease(w) {
		return
	}
	if !w.leaseWithheld {
		expiresIn := max(d.longestLease(), w.leaseExpires.Sub(d.now)) // an earlier version takes it for a bound
		d.recordLease(w, &controlpb.WithholdLease{ExpiresInMs: milliseconds(expiresIn), MayHaveRestarted: true})
		return
	}
	record := &controlpb.WithholdLease{ExpiresInMs: milliseconds(w.leaseExpires.Sub(d.now)), MayHaveRestarted: true, KnowsOpenStarts: true}
	starts, until := d.openStarts(w)
	for _, key := range starts {
		record.OpenStarts = append(record.OpenStarts, &controlpb.OpenStart{Task: key.Task.Ref(), Run: key.Run})
	}
	if len(starts) > 0 {
		record.OpenStartsForMs = milliseconds(until.Sub(d.now))
		d.tellTimeUntil(until)
	}
	d.recordLease(w, record)
}

// isRestartRecorded reports whether the newest record of a worker tells what this leader knows of a later incarnation.
func (d *Dispatcher) isRestartRecorded(w *worker) bool {
	switch record := w.incarnation.GetWithheldLease(); {
	case !record.GetMayHaveRestarted():
		return false
	case w.leaseWithheld:
		return record.GetKnowsOpenStarts() && !w.leaseExpires.After(w.recordedExpiry)
	default:
		return record.GetEpoch() == d.epoch
	}
}

// openStarts returns the runs of a worker that a later incarnation may start, or has started, and until when these may run. The start of a
// run may get no answer after it was seen, which makes it count as open, so those that are pending are included.
func (d *Dispatcher) openStarts(w *worker) (starts []workload.RunKey, until time.Time) {
	if !d.mayReachLater(w) {
		return nil, time.Time{}
	}
	for r := range w.liveRuns() {
		if !r.startPending && !d.hasOpenStart(r) {
			continue
		}
		starts = append(starts, r.key)
		if expires := d.openStartUntil(r); expires.After(until) {
			until = expires
		}
	}
	slices.SortFunc(starts, func(a, b workload.RunKey) int {
		return cmp.Or(strings.Compare(a.Task.String(), b.Task.String()), cmp.Compare(a.Run, b.Run))
	})
	return starts, until
}

// inheritRestart checks again whether there is a later incarnation of a worker, of which an earlier leader has recorded a sign, and counts
// the inherited runs as open or settled as far as that has recorded it. Otherwise those are open whose starts weren't answered.
func (d *Dispatcher) inheritRestart(w *worker) {
	record := w.incarnation.GetWithheldLease()
	if !record.GetMayHaveRestarted() {
		return
	}
	w.mayHaveRestarted, w.checkedSince = true, d.now
	if !record.GetKnowsOpenStarts() {
		return
	}
	w.grantedAt = time.Time{}
	for r := range w.liveRuns() {
		r.lastOrderedAt, r.recentUntil = time.Time{}, time.Time{}
	}
	until := d.withheldLeaseRecordedAt(record).Add(time.Duration(record.GetOpenStartsForMs()) * time.Millisecond)
	for _, start := range record.GetOpenStarts() {
		if r := d.runs[workload.RunKey{Task: workload.TaskKeyFromRef(start.GetTask()), Run: start.GetRun()}]; r != nil && r.worker == w {
			r.lastOrderedAt = until.Add(-maxCallDelay - d.longestLease()) // as of openStartUntil
			d.tellTimeUntil(until)
		}
	}
}
