package dispatch

import "time"

// The start of a run may be carried out by a later incarnation of its worker, of which only the last leader knew, or which it would
// have noticed by the missing answer. Its lease may be the longest one. A new leader counts this for recent runs: those of which no
// leader has told in the log that they were assigned some time before. When a replica applied an assignment doesn't show its age, as
// one that restarts applies its whole log at once.

// recentAssignment is the time after its assignment within which a run is listed by its worker, or its worker is known to be silent.
const recentAssignment = unresponsiveAfter

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

// isRecent reports whether an inherited run may have been assigned shortly before the last leader fell.
func (d *Dispatcher) isRecent(r *run) bool {
	return r.task.Assignment(r.key.Run) > d.state.SettledAssignments()
}

// awaitsRecentStart reports whether a later incarnation may run what was ordered by the last leader and has no answer.
func (d *Dispatcher) awaitsRecentStart(r *run) bool {
	return r.recent && r.worker.lastPoll.IsZero() && d.now.Before(d.leadingSince.Add(d.longestLease()))
}
