package dispatch

import "time"

// The start of a run may be carried out by a later incarnation of its worker, of which only the last leader knew, or which it would
// have noticed by the missing answer. Its lease may be the longest one. A new leader counts this for the runs that were assigned shortly
// before the last leader fell.

const (
	// recentAssignment is the time after its assignment within which a run is listed by its worker, or its worker is known to be silent.
	recentAssignment = unresponsiveAfter

	// maxLeaderGap is the longest time without a leader that is counted. A change of leader takes up to 1.8 s.
	maxLeaderGap = 2500 * time.Millisecond
)

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
	for len(marks) > 1 && !marks[1].at.After(d.now.Add(-recentAssignment-maxLeaderGap)) {
		marks = marks[1:]
	}
	d.assignmentMarks = marks
}

// settleAssignments notes which assignments aren't recent as this leader starts leading. The last leader led at least until the newest one
// that was applied before: what it couldn't commit any more is applied only now.
func (d *Dispatcher) settleAssignments() {
	fell := d.now.Add(-maxLeaderGap)
	for _, mark := range d.assignmentMarks {
		if mark.at.Before(d.now) && mark.at.After(fell) {
			fell = mark.at
		}
	}
	d.settledAssignments = 0
	for _, mark := range d.assignmentMarks {
		if !mark.at.After(fell.Add(-recentAssignment)) {
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
