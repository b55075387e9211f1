// Package balancer is a client-side load balancer: it sends the requests of stand-ins to one of several daemons.
package balancer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	goahttp "goa.design/goa/v3/http"
)

// requestTimeout bounds one request. Long polls wait up to 10 s.
const requestTimeout = 15 * time.Second

// probeInterval is the interval and the timeout of readiness probes.
const probeInterval = 100 * time.Millisecond

// Balancer holds the addresses and the readiness of all daemons. It is safe for concurrent use.
type Balancer struct {
	control []netip.AddrPort
	calls   []netip.AddrPort
	ready   []atomic.Bool
	doer    *http.Client
	next    atomic.Uint64
}

// Target is one daemon to send a request to.
type Target struct {
	Address string
	Doer    goahttp.Doer
}

// New returns a Balancer of the daemons with the given control and call addresses. None is ready until Watch probes it.
func New(control, calls []netip.AddrPort) *Balancer {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}
	return &Balancer{
		control: control, calls: calls, ready: make([]atomic.Bool, len(calls)),
		doer: &http.Client{Transport: transport, Timeout: requestTimeout},
	}
}

// AttemptTimeout is the timeout of one attempt of a request other than a long poll.
const AttemptTimeout = time.Second

// Watch probes the readiness of all daemons until the context is done.
func (b *Balancer) Watch(ctx context.Context) {
	for ctx.Err() == nil {
		for i := range b.control {
			b.ready[i].Store(b.isReady(ctx, b.control[i]))
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

func (b *Balancer) isReady(ctx context.Context, address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/health/ready", nil)
	if err != nil {
		return false
	}
	response, err := b.doer.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Ready returns the number of daemons that are ready.
func (b *Balancer) Ready() int {
	n := 0
	for i := range b.ready {
		if b.ready[i].Load() {
			n++
		}
	}
	return n
}

// Call returns the call address of the next ready daemon in round-robin order, or of any daemon if none is ready.
func (b *Balancer) Call() netip.AddrPort {
	for range b.calls {
		i := b.next.Add(1) % uint64(len(b.calls))
		if b.ready[i].Load() {
			return b.calls[i]
		}
	}
	return b.calls[b.next.Add(1)%uint64(len(b.calls))]
}

// Doer returns the HTTP client that all requests share.
func (b *Balancer) Doer() *http.Client {
	return b.doer
}

// Try sends a request to each daemon at most once, until one succeeds or returns a final error, and returns the last error.
// The timeout applies to one attempt.
func Try(ctx context.Context, b *Balancer, timeout time.Duration, send func(context.Context, Target) error) error {
	var last error
	for range b.control {
		address := b.control[b.next.Add(1)%uint64(len(b.control))]
		attempt, cancel := context.WithTimeout(ctx, timeout)
		last = send(attempt, Target{Address: address.String(), Doer: b.doer})
		cancel()
		if last == nil || ctx.Err() != nil {
			return last
		}
		var refusal interface{ GoaErrorName() string }
		if errors.As(last, &refusal) && isFinal(refusal.GoaErrorName()) {
			return last
		}
	}
	return last
}

// isFinal reports whether the named error would be the same at any other daemon.
func isFinal(name string) bool {
	return name != "Unavailable" && name != "Unknown" && name != "Overloaded"
}

// Encoder returns an encoder of request bodies as JSON.
func Encoder(r *http.Request) goahttp.Encoder {
	return encoder{request: r}
}

// Decoder returns a decoder of response bodies as JSON.
func Decoder(r *http.Response) goahttp.Decoder {
	return json.NewDecoder(r.Body)
}

type encoder struct {
	request *http.Request
}

// Encode sets the request's body to v.
func (e encoder) Encode(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	e.request.Body = io.NopCloser(bytes.NewReader(body))
	e.request.ContentLength = int64(len(body))
	e.request.Header.Set("Content-Type", "application/json")
	return nil
}
