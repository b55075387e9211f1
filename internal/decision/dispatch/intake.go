package dispatch

import (
	"time"

	"galenamoor/internal/controlpb"
)

// The load that this file answers: callers hand in more jobs than can be done for so long that those that wait would take
// the memory of the controllers. New jobs are served before ones whose time is over, so that waiting alone is no reason to
// refuse a job; room is.

const (
	// mostJobs bounds the unfinished jobs. At 6 KiB each, spec and tasks, they take 24 MiB.
	mostJobs = 4000

	// lessUrgentShare is the share of mostJobs that jobs of less urgent queues may fill, so that a flood of these leaves
	// room for urgent ones.
	lessUrgentShare = 0.75

	// fullRetry is when a caller should come back: after the time in which a tenth of the jobs is usually done.
	fullRetry = 3 * time.Second
)

// overloaded decides whether a job is refused for want of room, and when its caller should come back.
func (d *Dispatcher) overloaded(queue *controlpb.WorkQueue) (retry time.Duration, full bool) {
	limit := mostJobs
	if queue.GetPriority() > 0 {
		limit = int(lessUrgentShare * mostJobs)
	}
	return fullRetry, d.unfinished() >= limit
}

// unfinished counts the jobs that are accepted, or about to be, and not over.
func (d *Dispatcher) unfinished() int { return len(d.state.Jobs()) + len(d.arriving) }
