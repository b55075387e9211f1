package dispatch

import (
	"time"

	"galenamoor/internal/controlpb"
)

// A worker whose tasks are to start elsewhere must have no lease any more. Only the leader knows which leases it has granted and
// when, so before it lets them expire, it records that it grants no further one and how long they last at most. The next leader
// counts this from when its own replica applied the record, or earlier as far as the log shows that time has passed since: a replica
// that restarts applies its whole log at once. For a worker without a record, it assumes that the last leader has granted a lease just
// before it started leading itself. How long that lasts stands in the record of the last leader's epoch.

const (
	// leaseTime is the duration of a worker lease. It bridges a change of leader, which takes up to 1.8 s, and a short
	// network partition. Longer leases delay the restart of a lost worker's tasks.
	leaseTime = 4500 * time.Millisecond

	// maxClockDrift is the largest relative rate error of a worker's clock, with a margin for rounding.
	maxClockDrift = 0.03

	// leaseExpiryMargin is added to the computed end of a lease for the time that a worker takes to stop its runs when
	// the lease expires.
	leaseExpiryMargin = 150 * time.Millisecond

	// restartRecordDelay is the time for the answer to a check for a later incarnation. An unanswered check is recorded then.
	restartRecordDelay = 100 * time.Millisecond

	// maxMissedCalls is the number of consecutive unanswered calls up to which a worker's lease is still extended: a
	// single call may be lost.
	maxMissedCalls = 1
)

// untilExpired returns the time after which a lease that a worker has just been granted has certainly expired, however slow the
// worker's clock.
func untilExpired(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+maxClockDrift)) + leaseExpiryMargin
}

// grantedLease returns the duration of the leases that a leader grants.
func (d *Dispatcher) grantedLease() time.Duration { return min(leaseTime, d.config.Limits.MaxLease) }

// longestLease returns the time after which a lease has certainly expired, however long it is and however slow the worker's
// clock.
func (d *Dispatcher) longestLease() time.Duration { return untilExpired(d.config.Limits.MaxLease) }

// extendLease returns the new end of the lease on the worker's clock, and records when it has certainly expired on the
// leader's. It returns 0, which grants nothing, without a valid leader lease or a reading of the worker's clock, and for
// a worker that terminates, doesn't answer or rejects calls, whose leases must expire for it to be declared lost.
func (d *Dispatcher) extendLease(w *worker) time.Duration {
	if w.clockReadAt.IsZero() || w.terminating || w.leaseWithheld || w.missedCalls > maxMissedCalls || d.rejectsPolls(w) || !d.config.LeaseValid(d.now) {
		return 0
	}
	lease := d.grantedLease()
	if expires := d.now.Add(untilExpired(lease)); expires.After(w.leaseExpires) {
		w.leaseExpires = expires
	}
	w.grantedAt = d.now
	elapsed := d.now.Sub(w.clockReadAt)
	drift := time.Duration(float64(elapsed.Abs()) * maxClockDrift)
	return w.workerClock + elapsed - drift + lease // no longer than the lease, however old the reading of the clock
}

// rejectsPolls reports whether a worker has rejected all polls for so long that they count as no extension of its lease.
func (d *Dispatcher) rejectsPolls(w *worker) bool {
	return w.fenced || w.rejectedPolls > 0 && d.now.Sub(w.lastPoll) > unresponsiveAfter
}

// awaitFirstAnswer gives a worker that is registered while this leader leads as long to answer as one with a lease that was just granted. No
// earlier leader has granted it one, as none knew its incarnation.
func (d *Dispatcher) awaitFirstAnswer(w *worker) {
	if until := d.now.Add(untilExpired(d.grantedLease())); until.After(w.leaseExpires) {
		w.leaseExpires = until
	}
}

// countForeignLeases counts the leases that calls for earlier incarnations under its ID may have granted a worker.
func (d *Dispatcher) countForeignLeases(w *worker) {
	if until := d.foreignLeasesExpire(w); until.After(w.leaseExpires) {
		w.leaseExpires = until
	}
}

// foreignLeasesExpire returns until when leases by calls for earlier incarnations under a worker's ID last, or the zero time if there was
// none. They end by a clock that isn't its own, so they may be as long as it accepts. Once it has answered a call with its own fencing
// token, of whichever leader, it rejects those calls.
func (d *Dispatcher) foreignLeasesExpire(w *worker) time.Time {
	switch {
	case !w.reusesID, !d.mayReachLater(w):
		return time.Time{}
	case w.incarnation.AnsweredByMs == nil:
		return d.now.Add(d.longestLease())
	}
	until := d.recordedAt(w.incarnation.GetAnsweredByMs()).Add(d.longestLease())
	d.tellTimeUntil(until)
	return until
}

// initLease sets until when a worker that this leader starts to track may hold a lease.
func (d *Dispatcher) initLease(w *worker) {
	w.grantedAt, w.leaseExpires = d.leadingSince, d.inheritedLeasesExpire
	w.reusesID = w.incarnation.GetReusesId()
	record := w.incarnation.GetWithheldLease()
	w.leaseWithheld = isLeaseBound(record)
	if !w.leaseWithheld {
		d.countForeignLeases(w)
		return
	}
	w.leaseExpires = d.withheldLeaseRecordedAt(record).Add(time.Duration(record.GetExpiresInMs()) * time.Millisecond)
	w.recordedExpiry = w.leaseExpires
	d.tellTimeUntil(w.leaseExpires)
}

// withholdLease stops extending the lease of a worker that hasn't accepted a poll, and records when it expires. It is repeated after
// the next poll if the outcome is unknown. If a later incarnation may exist, it records also which starts that may carry out.
func (d *Dispatcher) withholdLease(w *worker) {
	switch {
	case w.superseded || w.mayHaveRestarted:
		w.leaseWithheld = true
		d.recordRestart(w)
		return
	case w.leaseWithheld && !w.leaseExpires.After(w.recordedExpiry) || !d.canRecordLease(w):
		return
	}
	w.leaseWithheld = true
	d.recordLease(w, &controlpb.WithholdLease{ExpiresInMs: milliseconds(w.leaseExpires.Sub(d.now))})
}

// canRecordLease reports whether the lease of a worker matters to the next leader, and no record of it is undecided.
func (d *Dispatcher) canRecordLease(w *worker) bool {
	return len(w.incarnation.Runs) > 0 && !w.recordingLease && !w.ending
}

// recordLease proposes a record of a worker's lease.
func (d *Dispatcher) recordLease(w *worker, record *controlpb.WithholdLease) {
	record.Worker = w.incarnation.GetNumber()
	expires := w.leaseExpires
	w.recordingLease, w.recordedExpiry = true, time.Time{}
	d.tellTimeUntil(expires)
	d.propose(&controlpb.WorkChange{Kind: &controlpb.WorkChange_WithholdLease{WithholdLease: record}}, func(result *controlpb.Result) {
		w.recordingLease = false
		if result != nil {
			d.config.Log.Info("lease withheld", "Worker", w.incarnation.GetId(), "ExpiresIn", expires.Sub(d.now).String(), "MayHaveRestarted", record.GetMayHaveRestarted(),
				"KnowsOpenStarts", record.GetKnowsOpenStarts(), "OpenStarts", len(record.GetOpenStarts()))
		}
		if result != nil && isLeaseBound(record) {
			w.recordedExpiry = expires
		}
		if w.missedCalls == 0 && !d.rejectsPolls(w) {
			d.resumeLease(w) // it has answered meanwhile
		}
	})
}

// resumeLease proposes to extend the lease of a worker again. The next poll extends it once that is committed: until then the next
// leader may count on the record.
func (d *Dispatcher) resumeLease(w *worker) {
	if !w.leaseWithheld && w.incarnation.GetWithheldLease() == nil || w.recordingLease || w.ending || w.superseded || w.mayHaveRestarted {
		return
	}
	w.recordingLease, w.recordedExpiry = true, time.Time{}
	change := &controlpb.ResumeLease{Worker: w.incarnation.GetNumber()}
	d.propose(&controlpb.WorkChange{Kind: &controlpb.WorkChange_ResumeLease{ResumeLease: change}}, func(result *controlpb.Result) {
		w.recordingLease = false
		if result != nil {
			w.leaseWithheld = false
			d.config.Log.Info("lease resumed", "Worker", w.incarnation.GetId())
			w.pollAtOnce, w.nextPoll = true, d.now
		}
	})
}

// observeWithheldLeases notes by when the records of withheld leases were proposed that this replica has applied.
func (d *Dispatcher) observeWithheldLeases() {
	state := d.config.State()
	if state.LeaseChanges() == d.leaseChanges {
		return
	}
	d.leaseChanges = state.LeaseChanges()
	known := d.withheldAt
	d.withheldAt = make(map[*controlpb.WithholdLease]time.Time, len(known))
	state.EachWithheldLease(func(record *controlpb.WithholdLease) {
		if at, ok := known[record]; ok {
			d.withheldAt[record] = at
		} else {
			d.withheldAt[record] = d.recordedAt(record.GetElapsedMs())
		}
	})
}

// withheldLeaseRecordedAt returns by when a record of a withheld lease was proposed at the latest. A replica that reads its log applies a
// record before what shows its age.
func (d *Dispatcher) withheldLeaseRecordedAt(record *controlpb.WithholdLease) time.Time {
	recordedAt := d.recordedAt(record.GetElapsedMs())
	if observed, ok := d.withheldAt[record]; ok && observed.Before(recordedAt) {
		return observed
	}
	return recordedAt
}

// observeEpoch notes by when the newest epoch was proposed at the latest, which what is applied later may show to be earlier.
func (d *Dispatcher) observeEpoch() {
	newest := d.config.State().NewestEpoch()
	recordedAt := d.recordedAt(newest.GetElapsedMs())
	if newest != d.newestEpoch || recordedAt.Before(d.newestEpochAt) {
		d.newestEpoch, d.newestEpochAt = newest, recordedAt
	}
}

// earlierLeasesExpire returns until when leases of epochs before the newest one last: they were all granted before that was proposed.
func (d *Dispatcher) earlierLeasesExpire() time.Time {
	return d.newestEpochAt.Add(d.recordedLease(d.newestEpoch.GetEarlierLeaseMs()))
}

// recordedLease returns the duration of a record of the epoch. A leader of an earlier version has left it 0.
func (d *Dispatcher) recordedLease(ms int64) time.Duration {
	if ms == 0 {
		return d.longestLease()
	}
	return time.Duration(ms) * time.Millisecond
}

// milliseconds returns a duration of at least 1 ms, rounded up, in milliseconds.
func milliseconds(duration time.Duration) int64 {
	return max(1, (duration + time.Millisecond - 1).Milliseconds())
}
