package dispatch

import (
	"time"

	"galenamoor/internal/controlpb"
)

// When callers submit jobs faster than they can be done for a long time, the backlog would exhaust the memory of the
// controllers. Jobs that can be on time go first, so a long backlog is no reason to reject a job; only memory is.

const (
	// maxJobs bounds the unfinished jobs. At 6 KiB each for specification and tasks, they take 24 MiB.
	maxJobs = 4000

	// nonUrgentShare is the share of maxJobs available to jobs of less urgent queues, so that a flood of them leaves
	// room for urgent ones.
	nonUrgentShare = 0.75

	// overloadRetryDelay is the delay after which a rejected caller should retry: the time in which a tenth of the jobs
	// is usually done.
	overloadRetryDelay = 3 * time.Second
)

// overloaded reports whether the job limit of a queue is reached, and when the caller should retry.
func (d *Dispatcher) overloaded(queue *controlpb.WorkQueue) (retryAfter time.Duration, isOverloaded bool) {
	limit := maxJobs
	if queue.GetPriority() > 0 {
		limit = int(nonUrgentShare * maxJobs)
	}
	return overloadRetryDelay, d.unfinished() >= limit
}

// unfinished counts the proposed jobs and the accepted ones that are unfinished or still have live runs.
func (d *Dispatcher) unfinished() int { return len(d.state.Jobs()) + len(d.submitting) }
