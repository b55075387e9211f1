package dispatch

import (
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// The start of a run may be carried out by a later incarnation of its worker, of which only the last leader knew, or which it would
// have noticed by the missing answer. Its lease may be the longest one. A new leader counts this for recent runs: those whose own leader
// hasn't told in the log that they are settled, because the known incarnation has carried out their only start, or because they were
// assigned some time before. When a replica applied an assignment doesn't show its age, as one that restarts applies its whole log at once.

// recentAssignment is the time after its assignment within which a run is listed by its worker, or its worker is known to be silent.
const recentAssignment = unresponsiveAfter

// maxToldOpen bounds the open assignments among answered ones that a leader tells. Beyond that it tells only of older ones.
const maxToldOpen = 64

// assignmentMark is the number of the newest assignment that this leader had applied at a time.
type assignmentMark struct {
	at          time.Time
	assignments uint64
}

// observeAssignments notes which assignments this leader has applied by now. It begins with its epoch: the numbers of earlier epochs may
// differ between replicas that have restored a snapshot of an earlier version.
func (d *Dispatcher) observeAssignments() {
	if d.epoch == 0 {
		return
	}
	assignments := d.config.State().Assignments()
	if n := len(d.assignmentMarks); n == 0 || d.assignmentMarks[n-1].assignments != assignments {
		d.assignmentMarks = append(d.assignmentMarks, assignmentMark{d.now, assignments})
	}
	if d.config.State().Epoch() != d.epoch {
		return // another leader has begun
	}
	for d.newestAssignment < assignments {
		d.newestAssignment++
		d.openAssignments = append(d.openAssignments, d.newestAssignment)
	}
}

// settleAnswered settles a run of which the known incarnation of its worker has carried out a start, or no start was sent, unless another
// start may still be carried out: an earlier one that got no answer, or one of an earlier leader.
func (d *Dispatcher) settleAnswered(r *run) {
	if r.settled || r.inherited || r.orderedAt.IsZero() || r.startUnanswered && !r.lastOrderedAt.Equal(r.orderedAt) {
		return
	}
	r.settled = true
	number := r.task.Assignment(r.key.Run)
	if i, isOpen := slices.BinarySearch(d.openAssignments, number); isOpen {
		d.openAssignments = slices.Delete(d.openAssignments, i, i+1)
		d.newestAnswered = max(d.newestAnswered, number)
	}
}

// isFromKnownIncarnation reports whether an answer certainly isn't from a later incarnation of the worker: it shows a clock that has run
// since before the newest list of runs was asked for.
func (w *worker) isFromKnownIncarnation(a *order.Answer) bool {
	longest := time.Duration(float64(a.Received.Sub(w.listedAt)) * (1 + maxClockDrift))
	return !w.mayHaveRestarted && !w.listedAt.IsZero() && a.Clock > longest+clockResolution
}

// answeredAssignments returns the number up to which all assignments of this leader's epoch are settled, and the exceptions, as far as the
// next leader has to know them.
func (d *Dispatcher) answeredAssignments() (through uint64, open []uint64) {
	first, _ := slices.BinarySearch(d.openAssignments, d.config.State().SettledAssignments()+1)
	d.openAssignments = d.openAssignments[first:]
	count, _ := slices.BinarySearch(d.openAssignments, d.newestAnswered)
	if count > maxToldOpen {
		return d.openAssignments[maxToldOpen] - 1, d.openAssignments[:maxToldOpen]
	}
	return d.newestAnswered, d.openAssignments[:count]
}

// untoldAnswers returns the answered assignments if the next leader doesn't know all of them, or nil. What was told lately may still be
// committed.
func (d *Dispatcher) untoldAnswers() *controlpb.AnsweredAssignments {
	state := d.config.State()
	if d.epoch == 0 || state.Epoch() != d.epoch {
		return nil
	}
	through, open := d.answeredAssignments()
	told := state.AnsweredAssignments()
	if d.now.Before(d.answersToldAt.Add(tellInterval)) {
		told = d.toldAnswers
	}
	isTold := through < told.GetThrough() || through == told.GetThrough() && len(open) >= len(told.GetOpen())
	if isTold || through <= state.SettledAssignments() {
		return nil
	}
	answered := &controlpb.AnsweredAssignments{Through: through}
	for _, number := range open {
		answered.Open = append(answered.Open, uint32(through-number))
	}
	return answered
}

// settledAssignments returns the highest number of which all assignments up to it were applied here at least recentAssignment ago, or 0.
func (d *Dispatcher) settledAssignments() uint64 {
	marks, latest := d.assignmentMarks, d.now.Add(-recentAssignment)
	for len(marks) > 1 && !marks[1].at.After(latest) {
		marks = marks[1:]
	}
	d.assignmentMarks = marks
	if len(marks) == 0 || marks[0].at.After(latest) {
		return 0
	}
	return marks[0].assignments
}

// unansweredAssignments returns the assignments that become settled by their age alone with those up to a number, or nil if there are too many
// to tell.
func (d *Dispatcher) unansweredAssignments(settled uint64) *controlpb.UnansweredAssignments {
	first, _ := slices.BinarySearch(d.openAssignments, d.config.State().SettledAssignments()+1)
	end, _ := slices.BinarySearch(d.openAssignments, settled+1)
	if end-first > workload.MaxUnanswered {
		return nil
	}
	return &controlpb.UnansweredAssignments{Numbers: slices.Clone(d.openAssignments[first:end])}
}

// recentUntil returns until when an inherited run counts as recent, or the zero time if it was settled or no later incarnation can run it. The
// longest lease is counted from the fall of the leader that assigned it, whatever leaders came since, so that the wait doesn't start again under
// each of them.
func (d *Dispatcher) recentUntil(r *run) time.Time {
	elapsed, unsettled := d.state.UnsettledSince(r.task.Assignment(r.key.Run))
	if !unsettled || !d.mayReachLater(r.worker) {
		return time.Time{}
	}
	fell := d.recordedAt(elapsed.Milliseconds())
	if fell.After(d.leadingSince) {
		fell = d.leadingSince
	}
	until := fell.Add(d.longestLease())
	d.tellTimeUntil(until)
	return until
}

// renewAssignment proposes to count the assignment of an inherited run as one of this leader, and orders its start then: a later leader
// must count the longest lease from the fall of the one that ordered it last.
func (d *Dispatcher) renewAssignment(r *run) {
	r.nextStart = d.now.Add(callRetryDelay)
	if r.renewing {
		return
	}
	r.renewing = true
	change := &controlpb.RenewAssignment{Task: r.key.Task.Ref(), Run: r.key.Run}
	d.propose(&controlpb.WorkChange{Kind: &controlpb.WorkChange_RenewAssignment{RenewAssignment: change}}, func(result *controlpb.Result) {
		r.renewing = false
		if result == nil || result.GetCode() != controlpb.ResultCode_RESULT_OK || d.runs[r.key] != r {
			return
		}
		r.renewed = true
		if !r.seen && !r.ended && !r.withdrawn && !r.stopRequested && !r.startPending {
			d.start(r)
		}
	})
}

// logInherited logs how many runs this leader has inherited, how many of them have starts that may still be carried out, and until when the
// recent ones wait for the longest lease.
func (d *Dispatcher) logInherited() {
	recent, open, until := 0, 0, d.now
	for r := range d.allRuns() {
		if d.hasOpenStart(r) {
			open++
		}
		if r.recentUntil.After(d.now) {
			recent++
		}
		if r.recentUntil.After(until) {
			until = r.recentUntil
		}
	}
	d.config.Log.Info("runs inherited", "Epoch", d.epoch, "Runs", len(d.runs), "OpenStarts", open, "UnboundCalls", d.hasUnboundCalls, "Recent", recent, "RecentFor", until.Sub(d.now).String())
}

// awaitsRecentStart reports whether a later incarnation may run what was ordered by an earlier leader and has no answer.
func (d *Dispatcher) awaitsRecentStart(r *run) bool {
	return r.worker.lastPoll.IsZero() && d.now.Before(r.recentUntil)
}
