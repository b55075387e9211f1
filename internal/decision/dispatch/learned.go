package dispatch

import (
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
)

const (
	// firstTypical is taken for the length of a task of a queue of which none has ended yet.
	firstTypical = 2 * time.Second
	// learnShare is the weight of a new length in the running mean.
	learnShare = 0.05
	// learnedBy is the number of ended tasks by which the length of a queue's tasks is known.
	learnedBy = 10
)

// learned holds what is known of queues from their tasks that have ended, because declared lengths are far off.
type learned struct {
	lengths map[string]time.Duration
	counts  map[string]int
}

func newLearned() *learned {
	return &learned{lengths: map[string]time.Duration{}, counts: map[string]int{}}
}

// typical returns the mean length of the tasks of a queue.
func (l *learned) typical(queue string) time.Duration {
	if length, ok := l.lengths[queue]; ok {
		return length
	}
	return firstTypical
}

// isKnown reports whether the length of a queue's tasks is known.
func (l *learned) isKnown(queue string) bool { return l.counts[queue] >= learnedBy }

func (l *learned) add(queue string, length time.Duration) {
	l.counts[queue]++
	known, ok := l.lengths[queue]
	if !ok {
		l.lengths[queue] = length
		return
	}
	l.lengths[queue] = known + time.Duration(learnShare*float64(length-known))
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
		d.learned.add(r.task.Step.Job.Spec.GetQueue(), d.now.Sub(r.began))
	case controlpb.RunEnd_RUN_FAILED:
		w.failures++
		if w.failures >= failuresInRow {
			w.shunUntil = d.now.Add(shunTime)
			d.config.Log.Info("worker shunned", "Worker", w.life.GetId(), "FailuresInRow", w.failures, "For", shunTime.String())
		}
	}
}
