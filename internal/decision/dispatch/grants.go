package dispatch

import (
	"time"

	"galenamoor/internal/controlpb"
)

// Before a leader grants leases to a worker that it has inherited, it records that in the log. The next leaders then know which of their
// predecessors may have granted the newest lease, and count it from the end of that one's epoch, however many leaders that haven't reached the
// worker came since. A lease that ends by then needs no record, so that a slow commit doesn't cost a worker its tasks.

// mayGrant reports whether it is committed that this leader grants leases to a worker.
func (d *Dispatcher) mayGrant(w *worker) bool {
	return d.epoch != 0 && w.incarnation.GetGrantedEpoch() == d.epoch
}

// awaitGrantRecord lists a worker that has answered for the next record of grants, unless it is recorded.
func (d *Dispatcher) awaitGrantRecord(w *worker) {
	if d.mayGrant(w) || w.grantUnrecorded || w.clockReadAt.IsZero() || w.superseded || w.ending || w.terminating {
		return
	}
	w.grantUnrecorded = true
	d.unrecordedGrants = append(d.unrecordedGrants, w)
}

// recordGrants proposes to record that this leader grants leases to the workers that have answered since the last record. If the outcome is
// unknown, they are recorded again after their next answer.
func (d *Dispatcher) recordGrants() {
	if d.recordingGrants || len(d.unrecordedGrants) == 0 {
		return
	}
	workers, change := d.unrecordedGrants, &controlpb.BeginGrants{}
	for _, w := range workers {
		change.Workers = append(change.Workers, w.incarnation.GetNumber())
	}
	d.unrecordedGrants, d.recordingGrants = nil, true
	d.propose(&controlpb.WorkChange{Kind: &controlpb.WorkChange_BeginGrants{BeginGrants: change}}, func(*controlpb.Result) {
		d.recordingGrants = false
		for _, w := range workers {
			w.grantUnrecorded = false
			if d.mayGrant(w) && w.missedCalls == 0 {
				w.nextPoll = d.now // it extends the lease
			}
		}
	})
}

// leaseToGrant returns the duration of the lease that this leader may grant a worker now. Before that is recorded, the lease must end by when the
// next leaders count those of earlier ones.
func (d *Dispatcher) leaseToGrant(w *worker) time.Duration {
	switch {
	case d.mayGrant(w):
		return d.grantedLease()
	case w.unrecordedUntil.Before(d.now):
		return 0
	}
	left := float64(w.unrecordedUntil.Sub(d.now)-leaseExpiryMargin) / (1 + maxClockDrift) // as of untilExpired
	return max(0, min(d.grantedLease(), time.Duration(left)))
}

// unrecordedUntil returns until when a lease may last that this leader grants a worker without a record, or the zero time if none may: a later
// leader certainly counts a lease of the last leader from the start of this one or later, but may know better when earlier epochs have ended.
func (d *Dispatcher) unrecordedUntil(w *worker) time.Time {
	epochs := d.earlierEpochs()
	if len(epochs) == 0 {
		return time.Time{}
	}
	last := epochs[len(epochs)-1]
	if last.GetLeaseMs() == 0 || last.GetRecordsGrants() && last.GetEpoch() != w.incarnation.GetGrantedEpoch() {
		return time.Time{}
	}
	return d.leadingSince.Add(d.recordedLease(last.GetLeaseMs()))
}

// observeEpochs notes by when the known epochs were proposed at the latest, which what is applied later may show to be earlier.
func (d *Dispatcher) observeEpochs() {
	known := d.epochsBegan
	d.epochsBegan = make(map[uint64]time.Time, len(known)+1)
	for _, e := range d.config.State().Epochs() {
		began := d.recordedAt(e.GetElapsedMs())
		if observed, ok := known[e.GetEpoch()]; ok && observed.Before(began) {
			began = observed
		}
		d.epochsBegan[e.GetEpoch()] = began
	}
}

// epochBegan returns by when an epoch was proposed at the latest, or the start of this leader if that was before.
func (d *Dispatcher) epochBegan(e *controlpb.EpochAssignments) time.Time {
	if began, ok := d.epochsBegan[e.GetEpoch()]; ok && began.Before(d.leadingSince) {
		return began
	}
	return d.leadingSince
}

// earlierEpochs returns the known epochs before that of this leader, oldest first.
func (d *Dispatcher) earlierEpochs() []*controlpb.EpochAssignments {
	epochs := d.state.Epochs()
	for len(epochs) > 0 && epochs[len(epochs)-1].GetEpoch() >= d.epoch {
		epochs = epochs[:len(epochs)-1]
	}
	return epochs
}

// inheritedLeaseExpires returns until when a lease lasts that an earlier leader may have granted a worker. The leases of an epoch were all
// granted before the next one was proposed.
func (d *Dispatcher) inheritedLeaseExpires(w *worker) time.Time {
	epochs := d.earlierEpochs()
	granted := len(epochs)
	for granted > 0 && epochs[granted-1].GetRecordsGrants() && epochs[granted-1].GetEpoch() != w.incarnation.GetGrantedEpoch() {
		granted--
	}
	if granted == 0 {
		return d.inheritedLeasesExpire // the epoch isn't known any more, or that of this leader
	}
	until := d.epochBegan(epochs[0]).Add(d.longestLease()) // of epochs that aren't known any more
	for i, e := range epochs[:granted] {                   // a lease of an earlier epoch may be longer than that of the newest one
		ended := d.leadingSince
		if i+1 < len(epochs) {
			ended = d.epochBegan(epochs[i+1])
		}
		if expires := ended.Add(d.recordedLease(e.GetLeaseMs())); expires.After(until) {
			until = expires
		}
	}
	if until.After(d.inheritedLeasesExpire) {
		return d.inheritedLeasesExpire
	}
	return until
}
