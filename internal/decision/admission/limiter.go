// Package admission implements admission control with load shedding: it decides which calls of a service wait for a slot
// and which are refused immediately, so that an overloaded service spends its slots on calls that meet their deadlines.
package admission

import (
	"container/list"
	"time"
)

// Class is the priority class of a call. Under overload, lower classes are shed first.
type Class int

// The classes of calls in ascending order of priority.
const (
	Batch Class = iota
	Normal
	Urgent
	classCount
)

// Reason is the reason for which a call was refused.
type Reason string

// The reasons for refusals.
const (
	None                Reason = ""
	DeadlineCannotBeMet Reason = "DeadlineCannotBeMet"
	QueueFull           Reason = "QueueFull"
	Shed                Reason = "Shed"
)

const (
	// meanWeight is the weight of a new answer in the moving averages, which span about 20 answers.
	meanWeight = 0.05
	// deviationMargin is the number of mean deviations that are added to the mean service time of a queued call. With 1, a
	// tenth of the slots of a service with tight deadlines went to calls that missed them; with 3, calls that would have met
	// their deadlines were refused at 90% load.
	deviationMargin = 2
	// estimateHalfLife is the half-life of the estimated service time while there are no answers. Without the decay, an
	// estimate that is too high would refuse all calls and so never be corrected.
	estimateHalfLife = time.Second
)

// Waiter is a call in the queue.
type Waiter struct {
	Class    Class
	Deadline time.Time
	Value    any           // set and used by the caller
	element  *list.Element // in its queue, or nil if it is not waiting
}

// Limiter is the admission controller and queue of one service at one gateway. It is not safe for concurrent use.
type Limiter struct {
	capacity  int
	queues    [classCount]*list.List // FIFO queue of each class
	waiting   int
	mean      float64 // moving average of the service time in nanoseconds
	deviation float64 // moving average of its absolute deviation in nanoseconds
	updatedAt time.Time
}

// New returns a Limiter with room for capacity waiting calls.
func New(capacity int) *Limiter {
	l := &Limiter{capacity: capacity}
	for c := range l.queues {
		l.queues[c] = list.New()
	}
	return l
}

// SetCapacity changes the number of calls that may wait. It does not remove calls that are already waiting.
func (l *Limiter) SetCapacity(capacity int) {
	l.capacity = capacity
}

// Waiting returns the number of waiting calls.
func (l *Limiter) Waiting() int {
	return l.waiting
}

// ObserveServiceTime updates the estimated service time with that of an answered call.
func (l *Limiter) ObserveServiceTime(now time.Time, serviceTime time.Duration) {
	value := float64(serviceTime)
	if l.updatedAt.IsZero() {
		l.mean, l.deviation = value, value/2
	}
	l.updatedAt = now
	difference := value - l.mean
	l.mean += meanWeight * difference
	l.deviation += meanWeight * (max(difference, -difference) - l.deviation)
}

// ServiceTime returns the estimated mean service time and its mean absolute deviation.
func (l *Limiter) ServiceTime(now time.Time) (mean, deviation time.Duration) {
	halvings := 0
	if !l.updatedAt.IsZero() {
		halvings = min(int(now.Sub(l.updatedAt)/estimateHalfLife), 30)
	}
	return time.Duration(l.mean) >> halvings, time.Duration(l.deviation) >> halvings
}

// Admit decides on a call that arrives while a slot is free and no call is waiting. It returns None if it admits the call.
func (l *Limiter) Admit(now, deadline time.Time) Reason {
	mean, deviation := l.ServiceTime(now)
	if now.Add(max(0, mean-deviation)).After(deadline) {
		return DeadlineCannotBeMet
	}
	return None
}

// Enqueue adds the call to the queue or returns the reason for its refusal. Slots is the number of slots that serve the
// queue. If the queue is full, a call of a lower class is removed to make room and returned as shed.
func (l *Limiter) Enqueue(now time.Time, w *Waiter, slots int) (refused Reason, shed *Waiter) {
	mean, deviation := l.ServiceTime(now)
	ahead := 0
	for c := w.Class; c < classCount; c++ {
		ahead += l.queues[c].Len()
	}
	wait := time.Duration(0)
	if slots > 0 {
		wait = mean * time.Duration(ahead+1) / time.Duration(slots)
	}
	if now.Add(wait + mean + deviationMargin*deviation).After(w.Deadline) {
		return DeadlineCannotBeMet, nil
	}
	if l.waiting >= l.capacity {
		if shed = l.shedCandidate(w.Class); shed == nil {
			return QueueFull, nil
		}
		l.Remove(shed)
	}
	w.element = l.queues[w.Class].PushBack(w)
	l.waiting++
	return None, shed
}

// shedCandidate returns the newest waiting call of the lowest nonempty class below the given one, or nil.
func (l *Limiter) shedCandidate(class Class) *Waiter {
	for c := Batch; c < class; c++ {
		if e := l.queues[c].Back(); e != nil {
			return e.Value.(*Waiter)
		}
	}
	return nil
}

// Next removes and returns the call that gets the next free slot, or nil if none is waiting. If that call can no longer
// meet its deadline, it is removed and returned as late instead, and the caller has to call Next again.
func (l *Limiter) Next(now time.Time) (next, late *Waiter) {
	mean, deviation := l.ServiceTime(now)
	for c := classCount - 1; c >= Batch; c-- {
		e := l.queues[c].Front()
		if e == nil {
			continue
		}
		w := e.Value.(*Waiter)
		l.Remove(w)
		if now.Add(mean + deviationMargin*deviation).After(w.Deadline) {
			return nil, w
		}
		return w, nil
	}
	return nil, nil
}

// Remove removes a call from the queue and reports whether it was still waiting.
func (l *Limiter) Remove(w *Waiter) bool {
	if w.element == nil {
		return false
	}
	l.queues[w.Class].Remove(w.element)
	w.element = nil
	l.waiting--
	return true
}
