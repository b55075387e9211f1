package coordinator

import (
	"container/heap"
	"time"
)

type deadlineKind int

const (
	deadlineLease    deadlineKind = iota // of the lease of a worker
	deadlineEndpoint                     // of the lease of an endpoint
	deadlinePoll                         // of a deferred poll of a worker
	deadlineRenewal                      // of a deferred renewal of a worker
	deadlineResend                       // of the orders of a worker that have had no effect
	deadlineExpiry                       // of the next check for expired keys
)

// deadline is a time at which something may be due. When it is reached, its owner is checked again, because its actual
// deadline may have been extended in the meantime.
type deadline struct {
	at   time.Time
	kind deadlineKind
	name string
}

// deadlines is a heap of deadlines. It holds at most one deadline of each kind per worker or endpoint, so a renewal does
// not change the heap.
type deadlines struct {
	items     deadlineHeap
	scheduled map[deadlineID]struct{}
}

type deadlineID struct {
	kind deadlineKind
	name string
}

// add adds a deadline unless there is already one of the kind for the name.
func (d *deadlines) add(at time.Time, kind deadlineKind, name string) {
	id := deadlineID{kind, name}
	if _, ok := d.scheduled[id]; ok {
		return
	}
	if d.scheduled == nil {
		d.scheduled = map[deadlineID]struct{}{}
	}
	d.scheduled[id] = struct{}{}
	heap.Push(&d.items, deadline{at, kind, name})
}

// popDue removes and returns the first deadline if it is not later than now.
func (d *deadlines) popDue(now time.Time) (deadline, bool) {
	if len(d.items) == 0 || d.items[0].at.After(now) {
		return deadline{}, false
	}
	first := heap.Pop(&d.items).(deadline)
	delete(d.scheduled, deadlineID{first.kind, first.name})
	return first, true
}

// first returns the earliest deadline, or the zero time if there is none.
func (d *deadlines) first() time.Time {
	if len(d.items) == 0 {
		return time.Time{}
	}
	return d.items[0].at
}

type deadlineHeap []deadline

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	if h[i].kind != h[j].kind {
		return h[i].kind < h[j].kind
	}
	return h[i].name < h[j].name
}

func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(deadline)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = deadline{}
	*h = (*h)[:last]
	return x
}
