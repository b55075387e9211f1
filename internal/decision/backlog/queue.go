// Package backlog orders waiting batch jobs and predicts which of them will miss their deadlines.
//
// Jobs are ranked: urgent jobs first, then jobs that can meet their deadlines, then late jobs, then jobs without a deadline.
// Within a rank the order is by descending priority, then by latest start: the latest time at which a task must start to
// meet the deadline, given the 90th percentile of the run time learned for its kind; then by order of arrival.
package backlog

import (
	"time"

	"github.com/google/btree"
)

// Entry is a job with waiting tasks. The caller owns it and must not change it while it is in a queue, except by Put.
type Entry struct {
	Name       string
	Kind       string
	Urgent     bool
	Priority   int32
	Deadline   time.Time     // zero for none
	Declared   time.Duration // declared run time of one task
	Remaining  float64       // remaining share of a task's work, 0 to 1; below 1 for evicted tasks with progress
	Waiting    int           // number of waiting tasks
	Processors int64         // milli-cores of one task

	latestStart time.Time // latest start that meets the deadline
	rank        rank
	sequence    uint64
	queued      bool
}

type rank uint8

const (
	rankUrgent rank = iota
	rankOnTime
	rankLate
	rankNoDeadline
)

// SlackQuantile is the quantile of the learned run time that a deadline must allow for, in percent.
const SlackQuantile = 90

// Queue is the ordered queue of waiting jobs. It is not safe for concurrent use.
type Queue struct {
	order        *btree.BTreeG[*Entry]
	entries      map[string]*Entry
	runTimes     *RunTimes
	lastSequence uint64
	resortedAt   time.Time
}

// New returns an empty queue that is ordered by the given run times.
func New(times *RunTimes) *Queue {
	return &Queue{order: newOrder(precedes), entries: map[string]*Entry{}, runTimes: times}
}

// Put adds a job or, if it is queued, updates its position. The change function, which may be nil, is the only place where an
// entry may be changed.
func (q *Queue) Put(now time.Time, e *Entry, change func(*Entry)) {
	if e.queued {
		q.order.Delete(e)
	}
	if change != nil {
		change(e)
	}
	if e.sequence == 0 {
		q.lastSequence++
		e.sequence = q.lastSequence
	}
	q.updateSortKey(now, e)
	q.order.ReplaceOrInsert(e)
	q.entries[e.Name] = e
	e.queued = true
}

// Remove removes a job. It takes logarithmic time in the length of the queue, so that mass cancellations are cheap.
func (q *Queue) Remove(e *Entry) {
	if !e.queued {
		return
	}
	q.order.Delete(e)
	delete(q.entries, e.Name)
	e.queued = false
}

// Len returns the number of jobs.
func (q *Queue) Len() int { return q.order.Len() }

// resortInterval bounds the staleness of the order with respect to learned run times and the current time.
const resortInterval = time.Second

// Scan visits the jobs in order until visit returns false. The queue must not be changed during the scan.
func (q *Queue) Scan(now time.Time, visit func(*Entry) bool) {
	q.resort(now)
	q.order.Ascend(visit)
}

// Slack returns how long a task may still wait before it must start; it is negative if that time has passed. ok is false if
// the job has no deadline.
func (q *Queue) Slack(now time.Time, e *Entry) (slack time.Duration, ok bool) {
	if e.Deadline.IsZero() {
		return 0, false
	}
	return q.latestStart(e).Sub(now), true
}

func (q *Queue) latestStart(e *Entry) time.Time {
	runTime := q.runTimes.Quantile(e.Kind, e.Declared, SlackQuantile)
	return e.Deadline.Add(-time.Duration(float64(runTime) * e.Remaining))
}

// updateSortKey sets the rank and latest start of a job. A job is late once not even half of its median run time fits before
// the deadline: run times are heavy-tailed, so a job that misses it by the 90th percentile is still likely to meet it.
func (q *Queue) updateSortKey(now time.Time, e *Entry) {
	e.latestStart = e.Deadline
	switch {
	case e.Urgent:
		e.rank = rankUrgent
	case e.Deadline.IsZero():
		e.rank = rankNoDeadline
	default:
		e.rank = rankOnTime
		halfRunTime := time.Duration(float64(q.runTimes.Quantile(e.Kind, e.Declared, 50)) * e.Remaining / 2)
		if now.Add(halfRunTime).After(e.Deadline) {
			e.rank = rankLate
		}
	}
	if !e.Deadline.IsZero() {
		e.latestStart = q.latestStart(e)
	}
}

// resort updates the position of each job whose sort key has changed, at most once per resortInterval.
func (q *Queue) resort(now time.Time) {
	if now.Sub(q.resortedAt) < resortInterval {
		return
	}
	q.resortedAt = now
	var moved []*Entry
	q.order.Ascend(func(e *Entry) bool {
		old := *e
		q.updateSortKey(now, e)
		changed := e.rank != old.rank || !e.latestStart.Equal(old.latestStart)
		e.rank, e.latestStart = old.rank, old.latestStart // Put finds the entry by its old key
		if changed {
			moved = append(moved, e)
		}
		return true
	})
	for _, e := range moved {
		q.Put(now, e, nil)
	}
}

// precedes reports whether a comes before b in the queue.
func precedes(a, b *Entry) bool {
	switch {
	case a.rank != b.rank:
		return a.rank < b.rank
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case !a.latestStart.Equal(b.latestStart):
		return a.latestStart.Before(b.latestStart)
	}
	return a.sequence < b.sequence
}

// MissReason is the reason for a predicted deadline miss.
type MissReason string

// Reasons for predicted deadline misses.
const (
	RunTimeTooLong MissReason = "RunTimeTooLong" // would miss the deadline even if it started now
	QueueTooLong   MissReason = "QueueTooLong"   // the work ahead of it in the queue takes too long
)

// Miss describes a job that is predicted to miss its deadline.
type Miss struct {
	Job      string
	Reason   MissReason
	Lateness time.Duration // predicted, with the 90th percentile of the run time
}

// Predict returns the jobs that will probably miss their deadlines, in queue order, if the given processors (milli-cores)
// process the queue.
func (q *Queue) Predict(now time.Time, processors int64) []Miss {
	var missed []Miss
	ahead := 0.0 // milli-core seconds
	q.Scan(now, func(e *Entry) bool {
		wait := time.Duration(0)
		if processors > 0 {
			wait = time.Duration(ahead / float64(processors) * float64(time.Second))
		}
		if slack, ok := q.Slack(now, e); ok && slack < wait {
			reason := QueueTooLong
			if slack < 0 {
				reason = RunTimeTooLong
			}
			missed = append(missed, Miss{e.Name, reason, wait - slack})
		}
		median := q.runTimes.Quantile(e.Kind, e.Declared, 50).Seconds() * e.Remaining
		ahead += float64(e.Waiting) * float64(e.Processors) * median
		return true
	})
	return missed
}

func newOrder(less func(a, b *Entry) bool) *btree.BTreeG[*Entry] { return btree.NewG(16, less) }
