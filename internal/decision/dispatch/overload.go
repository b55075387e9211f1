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

	// maxLoad bounds the sum of the loads of these jobs (workload.Load). At some 170 bytes for each task they take 85 MB.
	maxLoad = 500_000

	// nonUrgentShare is the share of maxJobs and maxLoad available to jobs of less urgent queues, so that a flood of them leaves
	// room for urgent ones.
	nonUrgentShare = 0.75

	// overloadRetryDelay is the delay after which a rejected caller should retry: the time in which a tenth of the jobs
	// is usually done.
	overloadRetryDelay = 3 * time.Second
)

// overloaded reports whether a job of a load would exceed a limit of its queue, and when the caller should retry.
func (d *Dispatcher) overloaded(queue *controlpb.WorkQueue, load int) (retryAfter time.Duration, isOverloaded bool) {
	share := queueShare(queue)
	isOverloaded = d.unfinished() >= int(share*maxJobs) || d.state.Load()+d.submittingLoad+load > int(share*maxLoad)
	return overloadRetryDelay, isOverloaded
}

// queueShare returns the share of the bounds that is available to jobs of a queue.
func queueShare(queue *controlpb.WorkQueue) float64 {
	if queue.GetPriority() > 0 {
		return nonUrgentShare
	}
	return 1
}

// unfinished counts the proposed jobs and the accepted ones that are unfinished or still have live runs.
func (d *Dispatcher) unfinished() int { return len(d.state.Jobs()) + len(d.submitting) }
