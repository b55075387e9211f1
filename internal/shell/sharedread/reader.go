// Package sharedread shares the result of a read between callers that ask for it at the same time.
package sharedread

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// overlap is the time after which a read that is still in progress doesn't delay the next one any more.
const overlap = 100 * time.Millisecond

// Reader reads a value for many callers. Each caller gets a value that was read after its call, as from a read of its own, but the callers that
// wait for the next read share its result. A read follows the one before, unless that takes longer than 100 ms.
type Reader[Value any] struct {
	read  func(context.Context) Value
	clock clockwork.Clock

	mutex   sync.Mutex
	reading bool
	next    *result[Value] // the read that follows the one in progress; nil if nobody waits for it
}

// result is the result of one read, which is set when done is closed.
type result[Value any] struct {
	done  chan struct{}
	value Value
}

// New returns a Reader that calls a function, which has to end by itself.
func New[Value any](read func(context.Context) Value, clock clockwork.Clock) *Reader[Value] {
	return &Reader[Value]{read: read, clock: clock}
}

// Read returns a value that was read after the call. It returns false if the context ends before.
func (r *Reader[Value]) Read(ctx context.Context) (Value, bool) {
	r.mutex.Lock()
	if r.next == nil {
		r.next = &result[Value]{done: make(chan struct{})}
	}
	awaited := r.next
	if !r.reading {
		r.reading = true
		go r.run()
	}
	r.mutex.Unlock()
	select {
	case <-awaited.done:
		return awaited.value, true
	case <-ctx.Done():
		var none Value
		return none, false
	}
}

// run reads until no caller waits. The reads don't end with the context of a caller, since others share them.
func (r *Reader[Value]) run() {
	for {
		r.mutex.Lock()
		current := r.next
		r.next, r.reading = nil, current != nil
		r.mutex.Unlock()
		if current == nil {
			return
		}
		go func() {
			defer close(current.done)
			current.value = r.read(context.Background())
		}()
		select {
		case <-current.done:
		case <-r.clock.After(overlap):
		}
	}
}
