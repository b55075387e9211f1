package admission_test

import (
	"testing"
	"time"

	"galenamoor/internal/decision/admission"
)

// TestWrongEstimateDecays guards against an estimated service time that refuses every call and so is never corrected.
func TestWrongEstimateDecays(t *testing.T) {
	l, now := admission.New(10), time.Unix(1000, 0)
	for range 100 {
		l.ObserveServiceTime(now, 10*time.Second)
	}
	if l.Admit(now, now.Add(time.Second)) == admission.None {
		t.Fatal("a call that cannot meet its deadline was admitted")
	}
	now = now.Add(5 * time.Second)
	if reason := l.Admit(now, now.Add(time.Second)); reason != admission.None {
		t.Errorf("refused with %q long after the last answer", reason)
	}
}

// TestQueue guards against queuing calls that cannot meet their deadlines, and against a queue that ignores priority or
// order.
func TestQueue(t *testing.T) {
	l, now := admission.New(10), time.Unix(1000, 0)
	for range 100 {
		l.ObserveServiceTime(now, 100*time.Millisecond)
	}
	enqueue := func(class admission.Class, deadline time.Duration) *admission.Waiter {
		w := &admission.Waiter{Class: class, Deadline: now.Add(deadline)}
		if refused, _ := l.Enqueue(now, w, 1); refused != admission.None {
			return nil
		}
		return w
	}
	batch, first, urgent := enqueue(admission.Batch, time.Second), enqueue(admission.Normal, time.Second), enqueue(admission.Urgent, time.Second)
	if enqueue(admission.Normal, 350*time.Millisecond) != nil {
		t.Error("queued a call that needs 300 ms of waiting and 100 ms of service before a deadline in 350 ms")
	}
	for i, expected := range []*admission.Waiter{urgent, first} {
		if next, late := l.Next(now); next != expected || late != nil {
			t.Errorf("call %d is not the expected one", i)
		}
	}
	now = now.Add(950 * time.Millisecond)
	if next, late := l.Next(now); next != nil || late != batch {
		t.Error("a call that can no longer meet its deadline got a slot")
	}
}
