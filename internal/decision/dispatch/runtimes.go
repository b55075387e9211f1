package dispatch

import (
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
)

const (
	// defaultRuntime is assumed for tasks of a queue of which none has ended yet.
	defaultRuntime = 2 * time.Second
	// minSampleWeight is the minimum weight of a new runtime in the running mean.
	minSampleWeight = 0.05
	// minSamples and minObservationFactor define when the maximum runtime of a queue's tasks is known: after that many
	// ended tasks, and that multiple of the longest runtime since the first end. Short tasks end first, so a smaller
	// sample would be biased towards them.
	minSamples           = 60
	minObservationFactor = 5
	// outlierFactor is the multiple of the mean runtime above which a runtime is attributed to the worker and ignored.
	outlierFactor = 4
)

// runtimeStats holds task runtimes by queue, observed because declared runtimes are unreliable.
type runtimeStats struct {
	byQueue map[string]*queueRuntimes
}

// queueRuntimes summarizes the runtimes of the tasks of one queue.
type queueRuntimes struct {
	count   int
	since   time.Time     // when the first task ended
	mean    time.Duration // running mean, in which new runtimes have at least minSampleWeight
	longest time.Duration
}

func newRuntimeStats() *runtimeStats { return &runtimeStats{byQueue: map[string]*queueRuntimes{}} }

// meanRuntime returns the running mean of the runtimes of a queue's tasks, or defaultRuntime if none has ended.
func (s *runtimeStats) meanRuntime(queue string) time.Duration {
	if stats := s.byQueue[queue]; stats != nil {
		return stats.mean
	}
	return defaultRuntime
}

// maxRuntime returns the longest runtime of a queue's tasks on healthy workers, and whether it is known.
func (s *runtimeStats) maxRuntime(now time.Time, queue string) (longest time.Duration, ok bool) {
	stats := s.byQueue[queue]
	if stats == nil || stats.count < minSamples || now.Sub(stats.since) < minObservationFactor*stats.longest {
		return 0, false
	}
	return stats.longest, true
}

// add records the runtime of a task that is done.
func (s *runtimeStats) add(now time.Time, queue string, runtime time.Duration) {
	stats := s.byQueue[queue]
	if stats == nil {
		stats = &queueRuntimes{since: now}
		s.byQueue[queue] = stats
	}
	if stats.count >= minSamples && runtime > outlierFactor*stats.mean {
		return
	}
	stats.count++
	weight := max(minSampleWeight, 1/float64(stats.count))
	stats.mean += time.Duration(weight * float64(runtime-stats.mean))
	stats.longest = max(stats.longest, runtime)
}

const (
	// maxConsecutiveFailures is the number of consecutive failed runs after which a worker is quarantined: if one in
	// twenty runs fails for other reasons, three in a row occur once in 8,000 runs.
	maxConsecutiveFailures = 3
	// firstQuarantine is how long a worker that fails its runs gets no new ones, unless one is done meanwhile. The time doubles with each
	// further failure, up to quarantineTime: three in a row may come by chance, and lasting tasks may wait for its room.
	firstQuarantine = time.Second
	quarantineTime  = 5 * time.Second
)

// observeEnd updates runtime statistics and the health of the worker from an ended run.
func (d *Dispatcher) observeEnd(w *worker, e *order.Ended) {
	r := d.runs[e.Run]
	if r == nil {
		return
	}
	switch e.Result {
	case controlpb.RunEnd_RUN_DONE:
		w.consecutiveFailures = 0
		if !r.began.Before(w.failingSince) {
			w.failingUntil, w.quarantine = time.Time{}, 0 // it doesn't fail all that it starts
		}
		if !r.orderedAt.IsZero() && r.checkpoint == "" && !r.wasSlowed { // otherwise the time worked is unknown
			d.runtimes.add(d.now, r.task.Step.Job.Spec.GetQueue(), d.now.Sub(r.began))
		}
	case controlpb.RunEnd_RUN_FAILED:
		if w.consecutiveFailures == 0 {
			w.failingSince = r.began
		}
		w.consecutiveFailures++
		d.noteFailure(r.task, w)
		if w.consecutiveFailures >= maxConsecutiveFailures {
			w.quarantine = min(max(firstQuarantine, 2*w.quarantine), quarantineTime)
			w.failingUntil = d.now.Add(w.quarantine)
			d.config.Log.Info("worker quarantined", "Worker", w.incarnation.GetId(), "ConsecutiveFailures", w.consecutiveFailures, "For", w.quarantine.String())
		}
	}
}
