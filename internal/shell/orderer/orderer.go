// Package orderer makes the calls of a dispatcher to workers and keeps their answers until it looks.
package orderer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"galenamoor/internal/decision/order"
)

const (
	// callTimeout bounds a call. Workers answer within milliseconds; a second covers a lost packet or two.
	callTimeout = time.Second

	// adviceTimeout bounds a call to the advice service, which handles calls in turn and takes time for each worker.
	adviceTimeout = 5 * time.Second

	// mostCalls bounds the calls under way. Calls above it count as not answered.
	mostCalls = 4096
)

// Client makes one call to a worker.
type Client interface {
	Call(ctx context.Context, call *order.Call) *order.Answer
}

// Orderer makes calls, each in a goroutine of its own.
type Orderer struct {
	client Client
	clock  clockwork.Clock
	wake   func()
	slots  chan struct{}
	ctx    context.Context

	mutex   sync.Mutex
	answers []*order.Answer
}

// New returns an Orderer whose calls end with the context. It calls wake when there are answers to take.
func New(ctx context.Context, client Client, clock clockwork.Clock, wake func()) *Orderer {
	return &Orderer{ctx: ctx, client: client, clock: clock, wake: wake, slots: make(chan struct{}, mostCalls)}
}

// Send makes a call. It doesn't block.
func (o *Orderer) Send(call *order.Call) {
	select {
	case o.slots <- struct{}{}:
	default:
		o.put(&order.Answer{Call: call, Received: o.clock.Now()})
		return
	}
	go func() {
		defer func() { <-o.slots }()
		timeout := callTimeout + call.Wait
		if call.Kind == order.Advise {
			timeout = adviceTimeout
		}
		ctx, cancel := context.WithTimeout(o.ctx, timeout)
		defer cancel()
		answer := o.client.Call(ctx, call)
		answer.Call, answer.Received = call, o.clock.Now()
		o.put(answer)
	}()
}

func (o *Orderer) put(answer *order.Answer) {
	o.mutex.Lock()
	isFirst := len(o.answers) == 0
	o.answers = append(o.answers, answer)
	o.mutex.Unlock()
	if isFirst {
		o.wake()
	}
}

// Take returns the answers since the last call.
func (o *Orderer) Take() []*order.Answer {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	answers := o.answers
	o.answers = nil
	return answers
}

// Empty reports whether there are no answers to take.
func (o *Orderer) Empty() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.answers) == 0
}
