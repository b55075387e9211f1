package dispatch

import (
	"time"

	"galenamoor/internal/controlpb"
)

// tellInterval is the shortest time between two batches without changes.
const tellInterval = 500 * time.Millisecond

// tellAnswersAfter is the time after which answers to starts are told in a batch without changes. Any batch tells them after half of it.
const tellAnswersAfter = 50 * time.Millisecond

// tell adds to the batches what the next leader can't know otherwise: the time that passes, and which assignments have settled. The latter
// is told in the last batch, so that records of leases that were proposed before come first in the log. Without a batch, it adds one at
// intervals while there is something to tell.
func (d *Dispatcher) tell(batches []*controlpb.WorkBatch) []*controlpb.WorkBatch {
	settled := d.settledAssignments()
	isUntold := settled > d.config.State().SettledAssignments()
	answered := d.answersToTell(len(batches) > 0)
	if len(batches) == 0 {
		if answered == nil && (d.epoch == 0 || d.now.Before(d.toldAt.Add(tellInterval)) || !isUntold && d.toldAt.After(d.recordsMatterUntil)) {
			return nil
		}
		batches = append(batches, &controlpb.WorkBatch{})
	}
	d.toldAt = d.now
	for _, batch := range batches {
		batch.LedMs = d.now.Sub(d.leadingSince).Milliseconds()
	}
	if isUntold {
		batches[len(batches)-1].SettledAssignments = settled
		batches[len(batches)-1].UnansweredAssignments = d.unansweredAssignments(settled)
	}
	batches[len(batches)-1].AnsweredAssignments = answered
	return batches
}

// answersToTell returns the answered assignments to tell now, or nil.
func (d *Dispatcher) answersToTell(hasBatch bool) *controlpb.AnsweredAssignments {
	answered, delay := d.untoldAnswers(), tellAnswersAfter
	if hasBatch {
		delay /= 2
	}
	switch {
	case answered == nil:
		d.untoldSince = time.Time{}
	case d.untoldSince.IsZero():
		d.untoldSince = d.now
	case !d.now.Before(d.untoldSince.Add(delay)):
		d.untoldSince, d.toldAnswers, d.answersToldAt = time.Time{}, answered, d.now
		return answered
	}
	return nil
}

// tellTimeUntil makes this leader tell the time until a record that the next one may count on has expired.
func (d *Dispatcher) tellTimeUntil(expires time.Time) {
	if expires.After(d.recordsMatterUntil) {
		d.recordsMatterUntil = expires
	}
}

// recordedAt returns by when a change was proposed at the latest that this replica has just applied, by the elapsed time of the state as of
// the change. What was proposed since shows how much time has passed.
func (d *Dispatcher) recordedAt(elapsedMs int64) time.Time {
	elapsed := d.config.State().Elapsed() - time.Duration(elapsedMs)*time.Millisecond
	return d.now.Add(-time.Duration(float64(elapsed) * (1 - maxClockDrift)))
}
