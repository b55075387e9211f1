package dispatch

import (
	"time"

	"galenamoor/internal/decision/workload"
)

// A worker may fail everything that it starts. A task that is started there again at once uses up its attempts before the worker
// recovers or another one has room. It is therefore started elsewhere, or waits.

// failedWorkerAvoidance is how long a task isn't started again on a worker on which it has failed. It is shorter than the 3 s
// for which a job may have nothing running.
const failedWorkerAvoidance = 2 * time.Second

// noteFailure records that a run of a task has failed on a worker. A perpetual task has no limit of attempts, and isn't to
// wait.
func (d *Dispatcher) noteFailure(t *workload.Task, w *worker) {
	if t.Step.GetPerpetual() {
		return
	}
	key := unitKey(t)
	if d.failures[key] == nil {
		d.failures[key] = map[*worker]time.Time{}
	}
	d.failures[key][w] = d.now
}

// hasFailed returns a function that reports whether a task, or a member of its gang, has failed on a worker within
// failedWorkerAvoidance. It returns nil if no failure is known.
func (d *Dispatcher) hasFailed(t *workload.Task) func(*worker) bool {
	failedAt := d.failures[unitKey(t)]
	if len(failedAt) == 0 {
		return nil
	}
	return func(w *worker) bool {
		at, failed := failedAt[w]
		return failed && d.now.Sub(at) < failedWorkerAvoidance
	}
}

// forgetFailures drops the failures that are older than failedWorkerAvoidance.
func (d *Dispatcher) forgetFailures() {
	for key, failedAt := range d.failures {
		for w, at := range failedAt {
			if d.now.Sub(at) >= failedWorkerAvoidance {
				delete(failedAt, w)
			}
		}
		if len(failedAt) == 0 {
			delete(d.failures, key)
		}
	}
}
