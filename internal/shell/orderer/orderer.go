// Package orderer makes the dispatcher's calls to workers asynchronously and queues their answers until the dispatcher
// takes them.
package orderer

import (
	"context"
	"sync"
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

	// maxCalls bounds the concurrent calls. Further calls fail at once as not answered.
	maxCalls = 4096
)

// Client makes synchronous calls to workers.
type Client interface {
	Call(ctx context.Context, call *order.Call) *order.Answer
}

// Orderer makes each call in a goroutine of its own. It is safe for concurrent use.
type Orderer struct {
	client    Client
	clock     clockwork.Clock
	wake      func()
	semaphore chan struct{}
	ctx       context.Context

	mutex   sync.Mutex
	answers []*order.Answer
}

// New returns an Orderer whose calls are cancelled with ctx. It calls wake when the queue of answers becomes non-empty.
func New(ctx context.Context, client Client, clock clockwork.Clock, wake func()) *Orderer {
	return &Orderer{ctx: ctx, client: client, clock: clock, wake: wake, semaphore: make(chan struct{}, maxCalls)}
}

// Send starts a call. It does not block.
func (o *Orderer) Send(call *order.Call) {
	select {
	case o.semaphore <- struct{}{}:
	default:
		o.addAnswer(&order.Answer{Call: call, Received: o.clock.Now()})
		return
	}
	go func() {
		defer func() { <-o.semaphore }()
		timeout := callTimeout + call.Wait
		if call.Kind == order.Advise {
			timeout = adviceTimeout
		}
		ctx, cancel := context.WithTimeout(o.ctx, timeout)
		defer cancel()
		answer := o.client.Call(ctx, call)
		answer.Call, answer.Received = call, o.clock.Now()
		o.addAnswer(answer)
	}()
}

func (o *Orderer) addAnswer(answer *order.Answer) {
	o.mutex.Lock()
	wasEmpty := len(o.answers) == 0
	o.answers = append(o.answers, answer)
	o.mutex.Unlock()
	if wasEmpty {
		o.wake()
	}
}

// Take returns and removes all queued answers.
func (o *Orderer) Take() []*order.Answer {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	answers := o.answers
	o.answers = nil
	return answers
}

// Empty reports whether no answers are queued.
func (o *Orderer) Empty() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.answers) == 0
}
