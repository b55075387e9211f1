package eventqueue

import (
	"slices"
	"testing"
	"time"
)

// TestOrder guards against simulations that aren't repeatable: events run by time and, at the same time, as they were pushed.
func TestOrder(t *testing.T) {
	var q Queue
	start := time.Unix(100, 0)
	var ran []int
	for i, at := range []int{3, 1, 2, 1, 3, 1} {
		q.Push(start.Add(time.Duration(at)*time.Second), func() { ran = append(ran, i) })
	}
	for _, run, ok := q.Pop(start.Add(2 * time.Second)); ok; _, run, ok = q.Pop(start.Add(2 * time.Second)) {
		run()
	}
	if want := []int{1, 3, 5, 2}; !slices.Equal(ran, want) {
		t.Errorf("ran %v by second 2, expected %v", ran, want)
	}
	at, _, ok := q.Pop(start.Add(3 * time.Second))
	if !ok || !at.Equal(start.Add(3*time.Second)) || q.Scheduled() != 6 {
		t.Errorf("next event at %v (%v), %d scheduled", at, ok, q.Scheduled())
	}
}
