// Package workercall makes the dispatcher's calls to workers asynchronously and queues their answers until the dispatcher
// takes them.
package workercall

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"galenamoor/internal/decision/order"
)

const (
	// callTimeout bounds a call to a worker. Workers answer within milliseconds; one second leaves time to retransmit one
	// or two lost packets.
	callTimeout = time.Second

	// adviceTimeout bounds a call to the advice service, which processes calls one after the other and spends time on each
	// worker.
	adviceTimeout = 5 * time.Second

	// maxCalls bounds the concurrent calls. Further calls fail immediately as not answered.
	maxCalls = 4096

	// callsPerTurn is the number of calls that start before other goroutines run. The scheduler lets a goroutine that has
	// yielded wait for up to 61 others, about as many as serve these calls.
	callsPerTurn = 8
)

// Client makes synchronous calls to workers.
type Client interface {
	// Call returns a non-nil answer when the worker has responded, the call has failed, or ctx is done. A bound call
	// (order.Call.IsBound) must reach no other incarnation of the worker than the one that it names.
	Call(ctx context.Context, call *order.Call) *order.Answer
}

// Sender makes each call in a goroutine of its own. It is safe for concurrent use.
//
// Calls start a few at a time, once the goroutines that were ready before them have run. Otherwise a burst of calls would
// delay the control loop and the heartbeats on a single processor by the time that all of them take.
type Sender struct {
	client    Client
	clock     clockwork.Clock
	wake      func()
	semaphore chan struct{}
	ctx       context.Context

	queuedStarts atomic.Int64 // start calls in queue

	mutex    sync.Mutex
	urgent   []queuedCall // sent before those in queue, but for every second call
	queue    []queuedCall
	starting bool // startCalls is running
	answers  []*order.Answer
	isUrgent bool // one of the answers is urgent
}

// queuedCall is a call and the time by which it must be answered.
type queuedCall struct {
	call     *order.Call
	deadline time.Time
}

// New returns a Sender whose calls are cancelled with ctx. It calls wake when the queue of answers becomes non-empty or urgent.
func New(ctx context.Context, client Client, clock clockwork.Clock, wake func()) *Sender {
	return &Sender{ctx: ctx, client: client, clock: clock, wake: wake, semaphore: make(chan struct{}, maxCalls)}
}

// Send queues a call. It does not block.
func (s *Sender) Send(call *order.Call) {
	now := s.clock.Now()
	select {
	case s.semaphore <- struct{}{}:
	default:
		s.addAnswer(&order.Answer{Call: call, Received: now, Unstarted: true})
		return
	}
	timeout := callTimeout + call.Wait
	if call.Kind == order.Advise {
		timeout = adviceTimeout
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	queue := &s.queue
	if call.Urgent {
		queue = &s.urgent
	}
	*queue = append(*queue, queuedCall{call: call, deadline: now.Add(timeout)})
	if call.Kind == order.Start {
		s.queuedStarts.Add(1)
	}
	if !s.starting {
		s.starting = true
		go s.startCalls()
	}
}

// QueuedStarts returns the number of start calls that haven't started.
func (s *Sender) QueuedStarts() int { return int(s.queuedStarts.Load()) }

// startCalls starts the queued calls until there are none. Every second call is one that isn't urgent, if there is any: polls
// behind many urgent calls would time out, and leases would expire.
func (s *Sender) startCalls() {
	for {
		for i := range callsPerTurn {
			next, ok := s.takeQueued(i%2 == 0)
			if !ok {
				return
			}
			go s.call(next)
		}
		runtime.Gosched()
	}
}

// takeQueued removes the next call from the preferred queue, or from the other one if that is empty.
func (s *Sender) takeQueued(preferUrgent bool) (queuedCall, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	queue := &s.queue
	if len(s.urgent) > 0 && (preferUrgent || len(s.queue) == 0) {
		queue = &s.urgent
	}
	if len(*queue) == 0 {
		s.urgent, s.queue, s.starting = nil, nil, false
		return queuedCall{}, false
	}
	next := (*queue)[0]
	*queue = (*queue)[1:]
	if next.call.Kind == order.Start {
		s.queuedStarts.Add(-1)
	}
	return next, true
}

// call makes one call. The time that it was queued counts towards its timeout.
func (s *Sender) call(q queuedCall) {
	defer func() { <-s.semaphore }()
	timeout := q.deadline.Sub(s.clock.Now())
	if timeout <= 0 {
		s.addAnswer(&order.Answer{Call: q.call, Received: s.clock.Now(), Unstarted: true})
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	answer := s.client.Call(ctx, q.call)
	answer.Call, answer.Received = q.call, s.clock.Now()
	s.addAnswer(answer)
}

func (s *Sender) addAnswer(answer *order.Answer) {
	s.mutex.Lock()
	becomesUrgent := !s.isUrgent && answer.IsUrgent()
	wakes := becomesUrgent || len(s.answers) == 0
	s.answers, s.isUrgent = append(s.answers, answer), s.isUrgent || becomesUrgent
	s.mutex.Unlock()
	if wakes {
		s.wake()
	}
}

// TakeAnswers returns and removes all queued answers.
func (s *Sender) TakeAnswers() []*order.Answer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answers := s.answers
	s.answers, s.isUrgent = nil, false
	return answers
}

// Empty reports whether no answers are queued.
func (s *Sender) Empty() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.answers) == 0
}

// HasUrgent reports whether one of the queued answers is urgent.
func (s *Sender) HasUrgent() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.isUrgent
}
