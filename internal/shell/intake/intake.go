// Package intake reads the bodies of HTTP requests before they are handled, within the memory that requests may hold.
package intake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"
)

const (
	// stepBytes is the number of bytes of a body that have to arrive within stepTimeout.
	stepBytes   = 16 << 10
	stepTimeout = 10 * time.Second
	// lingerTimeout bounds the reading after a refusal.
	lingerTimeout = time.Second
	// copies is the memory that a body holds while its request is handled, as a multiple of its bytes: the bytes, the decoded values, and
	// the message to the leader with its encoding.
	copies = 4
)

// Reasons of Options.Refused.
const (
	refusedTooLarge = "BodyTooLarge"
	refusedSlow     = "BodyTooSlow"
	refusedMemory   = "NoMemory"
)

// Budget is the memory that requests may hold.
type Budget interface {
	Reserve(held, bytes int64) error
	Release(bytes int64)
}

// Connection learns what the connection of a request waits for.
type Connection interface {
	AwaitBody()
	Busy()
}

// Options configure an Intake.
type Options struct {
	Budget Budget
	// MaxBody returns the largest body of a request in bytes.
	MaxBody func(*http.Request) int64
	Refused func(reason string) // counts refused requests
}

// Intake is a handler that reads bodies for another one. A body that is too large is refused with 413, before it is read if its length was
// announced; one that arrives too slowly with 408, and one for which there is no memory with 503. These requests don't reach the other handler.
type Intake struct {
	options Options
	next    http.Handler
}

// New returns an Intake in front of a handler. The bodies that the handler receives have methods Bytes and Reserve.
func New(options Options, next http.Handler) *Intake { return &Intake{options: options, next: next} }

// connectionKey is the context key of the Connection of a request.
type connectionKey struct{}

// WithConnection returns a context with the connection of a request.
func WithConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// ServeHTTP implements http.Handler.
func (i *Intake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		i.next.ServeHTTP(w, r)
		return
	}
	b := &body{options: &i.options}
	defer b.release()
	if err := i.read(w, r, b); err != nil {
		// The server reads some more of a body that it hasn't read, so that the client receives the answer before a reset.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTimeout))
		i.refuse(w, err)
		return
	}
	handled := *r
	b.Reader.Reset(b.data)
	handled.Body = b
	i.next.ServeHTTP(w, &handled)
}

// errTooLarge is the error of a body above the limit of its request.
var errTooLarge = errors.New("body is too large")

// read reads a body.
func (i *Intake) read(w http.ResponseWriter, r *http.Request, b *body) error {
	limit := i.options.MaxBody(r)
	if r.ContentLength > limit {
		i.options.Refused(refusedTooLarge)
		return errTooLarge
	}
	expected := limit + 1 // a longer body is recognized by its last byte
	if r.ContentLength > 0 {
		expected = r.ContentLength
	}
	connection, _ := r.Context().Value(connectionKey{}).(Connection)
	control := http.NewResponseController(w)
	for {
		if connection != nil {
			connection.AwaitBody()
		}
		if int64(len(b.data)) == limit+1 {
			i.options.Refused(refusedTooLarge)
			return errTooLarge
		}
		if err := b.grow(expected); err != nil {
			return err
		}
		_ = control.SetReadDeadline(time.Now().Add(stepTimeout)) // fails only without a connection
		room := b.data[len(b.data):min(cap(b.data), len(b.data)+stepBytes)]
		n, err := io.ReadFull(r.Body, room)
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && r.ContentLength < 0 || int64(len(b.data)) == r.ContentLength {
			break
		}
		if err != nil {
			return err
		}
	}
	_ = control.SetReadDeadline(time.Time{})
	if connection != nil {
		connection.Busy()
	}
	return nil
}

// refuse answers a request that isn't handled. The connection is closed after it, because the rest of the body isn't read.
func (i *Intake) refuse(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, errTooLarge), trace.IsBadParameter(err):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case trace.IsLimitExceeded(err):
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, os.ErrDeadlineExceeded):
		i.options.Refused(refusedSlow)
		w.WriteHeader(http.StatusRequestTimeout)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// body is a body that was read.
type body struct {
	bytes.Reader
	options *Options
	data    []byte
	held    int64 // reserved bytes
}

// Bytes returns the body without copying it.
func (b *body) Bytes() []byte { return b.data }

// Close implements io.Closer.
func (b *body) Close() error { return nil }

// Reserve reserves memory in bytes until the request has been handled. It returns the errors of Budget.
func (b *body) Reserve(bytes int64) error {
	err := b.options.Budget.Reserve(b.held, bytes)
	switch {
	case trace.IsLimitExceeded(err):
		b.options.Refused(refusedMemory)
		return err
	case err != nil:
		b.options.Refused(refusedTooLarge)
		return err
	}
	b.held += bytes
	return nil
}

func (b *body) release() { b.options.Budget.Release(b.held) }

// grow makes room for further bytes of a body whose length is expected.
func (b *body) grow(expected int64) error {
	if len(b.data) < cap(b.data) {
		return nil
	}
	capacity := min(expected, max(stepBytes, 2*int64(cap(b.data))))
	if err := b.Reserve(copies * (capacity - int64(cap(b.data)))); err != nil {
		return err
	}
	b.data = append(make([]byte, 0, capacity), b.data...)
	return nil
}
