// Package eventqueue schedules the events of simulations in virtual time.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds functions to run at virtual times. The zero value is empty. It is not safe for concurrent use.
type Queue struct {
	events    events
	scheduled uint64
}

// Push schedules run at the given time. Events at the same time run in the order in which they were pushed.
func (q *Queue) Push(at time.Time, run func()) {
	q.scheduled++
	heap.Push(&q.events, event{at: at, sequence: q.scheduled, run: run})
}

// Pop removes and returns the earliest event that isn't after until. It returns false if there is none.
func (q *Queue) Pop(until time.Time) (at time.Time, run func(), ok bool) {
	if len(q.events) == 0 || q.events[0].at.After(until) {
		return time.Time{}, nil, false
	}
	e := heap.Pop(&q.events).(event)
	return e.at, e.run, true
}

// Scheduled returns the number of events that have been pushed so far.
func (q *Queue) Scheduled() uint64 { return q.scheduled }

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// events is a heap of events, earliest first.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
