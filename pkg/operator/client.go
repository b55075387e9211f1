// Package operator is a client of the HTTP interface for operators.
package operator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	goahttp "goa.design/goa/v3/http"

	operatorclient "galenamoor/api/gen/http/operators/client"
	"galenamoor/api/gen/operators"
)

// requestTimeout bounds one request to one daemon. It exceeds the 1.8 s that a leader change may take.
const requestTimeout = 5 * time.Second

// attemptsPerDaemon is the number of attempts at each daemon before a request fails.
const attemptsPerDaemon = 2

// Client sends requests to any of several daemons. A request whose reply was lost is retried with the same request key,
// so that it takes effect at most once. Requests fail with a *RefusedError or an *UnreachableError. A Client is safe for
// concurrent use.
type Client struct {
	addresses []netip.AddrPort
	doer      goahttp.Doer
}

// New returns a Client for the daemons with the given control addresses. It opens no connection.
func New(addresses ...netip.AddrPort) *Client {
	return &Client{addresses: addresses, doer: &http.Client{Timeout: requestTimeout}}
}

// RefusedError is the error for a request that was rejected; a retry would not help.
type RefusedError struct {
	Name    string // Invalid, NotFound, Conflict, Rejected or KeyExpired
	Message string
	Version uint64 // active configuration version, on a conflict
}

// Error returns the name and the message.
func (r *RefusedError) Error() string {
	return r.Name + ": " + r.Message
}

// UnreachableError is the error for a request to which no daemon gave a final reply.
type UnreachableError struct {
	MayApply bool  // the change may have been applied; retry with the same request key
	Last     error // of the last attempt
}

// Error returns the error of the last attempt, and says whether the change may have been applied.
func (u *UnreachableError) Error() string {
	if u.MayApply {
		return "no final answer, the change may have been applied: " + u.Last.Error()
	}
	return "no daemon answered: " + u.Last.Error()
}

// Unwrap returns the error of the last attempt.
func (u *UnreachableError) Unwrap() error {
	return u.Last
}

// call sends a request to the daemons in turn until one returns a final reply.
func call[T any](ctx context.Context, c *Client, send func(context.Context, *operatorclient.Client) (any, error)) (T, error) {
	var zero T
	unreachable := &UnreachableError{Last: trace.BadParameter("no daemon address is given")}
	for attempt := range attemptsPerDaemon * len(c.addresses) {
		address := c.addresses[attempt%len(c.addresses)]
		reply, err := send(ctx, c.client(address))
		if err == nil {
			return reply.(T), nil
		}
		if refused := refusal(err); refused != nil {
			return zero, refused
		}
		unreachable.MayApply = unreachable.MayApply || mayApply(err)
		unreachable.Last = trace.Wrap(err, "request to daemon %s", address)
		if ctx.Err() != nil {
			break
		}
	}
	return zero, unreachable
}

// client returns a generated client for one daemon.
func (c *Client) client(address netip.AddrPort) *operatorclient.Client {
	return operatorclient.NewClient("http", address.String(), c.doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
}

// refusal returns the final refusal in err, or nil when a retry may succeed.
func refusal(err error) *RefusedError {
	var problem *operators.Problem
	if !errors.As(err, &problem) {
		return nil
	}
	switch problem.Name {
	case "Unavailable", "Overloaded", "Unknown":
		return nil
	}
	refused := &RefusedError{Name: problem.Name, Message: problem.Message}
	if problem.Version != nil {
		refused.Version = *problem.Version
	}
	return refused
}

// mayApply reports whether a request that failed with err may have taken effect.
func mayApply(err error) bool {
	var problem *operators.Problem
	if errors.As(err, &problem) {
		return problem.Name == "Unknown"
	}
	var dial *net.OpError
	return !errors.As(err, &dial) || dial.Op != "dial"
}
