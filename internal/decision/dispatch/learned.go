package dispatch

import (
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
)

const (
	// firstTypical is taken for the length of a task of a queue of which none has ended yet.
	firstTypical = 2 * time.Second
	// learnShare is the least weight of a new length in the running mean.
	learnShare = 0.05
	// learnedBy is the number of ended tasks by which the lengths of a queue's tasks are known, and learnedAfter the time
	// since the first of them, as a multiple of the longest. The first to end are the shortest, so that less would mislead.
	learnedBy    = 60
	learnedAfter = 5
	// oddLength is the multiple of the mean above which a length says more about the worker than about the queue.
	oddLength = 4
)

// learned holds what is known of queues from their tasks that have ended, because declared lengths are far off.
type learned struct {
	queues map[string]*lengths
}

// lengths are those of the tasks of a queue.
type lengths struct {
	count   int
	since   time.Time // when the first one ended
	mean    time.Duration
	longest time.Duration
}

func newLearned() *learned { return &learned{queues: map[string]*lengths{}} }

// typical returns the mean length of the tasks of a queue.
func (l *learned) typical(queue string) time.Duration {
	if known := l.queues[queue]; known != nil {
		return known.mean
	}
	return firstTypical
}

// longest returns the length that a queue's tasks on sound workers don't exceed, and whether it is known.
func (l *learned) longest(now time.Time, queue string) (longest time.Duration, ok bool) {
	known := l.queues[queue]
	if known == nil || known.count < learnedBy || now.Sub(known.since) < learnedAfter*known.longest {
		return 0, false
	}
	return known.longest, true
}

func (l *learned) add(now time.Time, queue string, length time.Duration) {
	known := l.queues[queue]
	if known == nil {
		known = &lengths{since: now}
		l.queues[queue] = known
	}
	if known.count >= learnedBy && length > oddLength*known.mean {
		return
	}
	known.count++
	weight := max(learnShare, 1/float64(known.count))
	known.mean += time.Duration(weight * float64(length-known.mean))
	known.longest = max(known.longest, length)
}

const (
	// failuresInRow is the number of runs in a row that fail on a worker before it is shunned: with one failure in twenty
	// for other reasons, three in a row come once in 8,000 runs.
	failuresInRow = 3
	// shunTime is how long a worker that fails what it starts gets no new runs.
	shunTime = 5 * time.Second
)

// learnEnd follows an end for the lengths of tasks and the health of workers.
func (d *Dispatcher) learnEnd(w *worker, e *order.Ended) {
	r := d.runs[e.Run]
	if r == nil {
		return
	}
	switch e.How {
	case controlpb.RunEnd_RUN_DONE:
		w.failures = 0
		if !r.orderedAt.IsZero() && r.checkpoint == "" && !r.halted { // else how long it worked isn't known
			d.learned.add(d.now, r.task.Step.Job.Spec.GetQueue(), d.now.Sub(r.began))
		}
	case controlpb.RunEnd_RUN_FAILED:
		w.failures++
		if w.failures >= failuresInRow {
			w.shunUntil = d.now.Add(shunTime)
			d.config.Log.Info("worker shunned", "Worker", w.life.GetId(), "FailuresInRow", w.failures, "For", shunTime.String())
		}
	}
}
