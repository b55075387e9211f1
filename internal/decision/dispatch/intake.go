package dispatch

import (
	"time"

	"galenamoor/internal/controlpb"
)

// overloaded decides whether a job is refused, and when its caller should come back.
func (d *Dispatcher) overloaded(_ *controlpb.WorkQueue, _ *controlpb.WorkJob) (retry time.Duration, full bool) {
	return 0, false
}

// backlog returns the work that waits.
func (d *Dispatcher) backlog() time.Duration { return 0 }
