package dispatch

import "time"

// The start of a run may be carried out by a later incarnation of its worker, of which only the last leader knew, or which it would
// have noticed by the missing answer. Its lease may be the longest one. A new leader counts this for the runs that were assigned shortly
// before the last leader fell.

// recentAssignment is the time after its assignment within which a run is listed by its worker, or its worker is known to be silent.
const recentAssignment = unresponsiveAfter

// assignmentMark is the number of assignments that this replica had applied at a time.
type assignmentMark struct {
	at          time.Time
	assignments uint64
}

// observeAssignments notes how many assignments this replica has applied by now.
func (d *Dispatcher) observeAssignments() {
	marks, assignments := d.assignmentMarks, d.config.State().Assignments()
	if n := len(marks); n == 0 || marks[n-1].assignments != assignments {
		marks = append(marks, assignmentMark{d.now, assignments})
	}
	for len(marks) > 1 && !marks[1].at.After(d.now.Add(-recentAssignment-d.longestLease())) {
		marks = marks[1:]
	}
	d.assignmentMarks = marks
}

// settleAssignments notes which assignments aren't recent as this leader starts leading. The last leader led at least until the newest
// one. What it ordered longer than the longest lease ago has expired.
func (d *Dispatcher) settleAssignments() {
	d.settledAssignments = 0
	until := d.now.Add(-d.longestLease())
	if newest := d.assignmentMarks[len(d.assignmentMarks)-1].at; newest.After(until) {
		until = newest
	}
	for _, mark := range d.assignmentMarks {
		if !mark.at.After(until.Add(-recentAssignment)) {
			d.settledAssignments = mark.assignments
		}
	}
}

// isRecent reports whether an inherited run was assigned shortly before the last leader fell, as far as this replica knows.
func (d *Dispatcher) isRecent(r *run) bool {
	return r.task.Assignment(r.key.Run) > d.settledAssignments
}

// awaitsRecentStart reports whether a later incarnation may run what was ordered by the last leader and has no answer.
func (d *Dispatcher) awaitsRecentStart(r *run) bool {
	return r.recent && r.worker.lastPoll.IsZero() && d.now.Before(d.leadingSince.Add(d.longestLease()))
}
