// Package listener serves HTTP on one address until a context ends.
package listener

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
)

const (
	// headerTimeout bounds slow request headers.
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// DefaultCloseTimeout bounds the wait for answers at a stop. Long polls are ended sooner.
	DefaultCloseTimeout = 2 * time.Second
)

// Listener is an HTTP server on one address.
type Listener struct {
	server *http.Server
	socket net.Listener
	// CloseTimeout bounds the wait for answers at a stop.
	CloseTimeout time.Duration
}

// New opens the socket. Run serves it.
func New(address netip.AddrPort, handler http.Handler) (*Listener, error) {
	socket, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return &Listener{server: server, socket: socket, CloseTimeout: DefaultCloseTimeout}, nil
}

// Close closes the socket of a listener that isn't run.
func (l *Listener) Close() error { return l.server.Close() }

// Run serves until the context ends, and then finishes the requests in progress.
func (l *Listener) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- l.server.Serve(l.socket) }()
	select {
	case err := <-done:
		return trace.Wrap(err, "serve %s", l.socket.Addr())
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.CloseTimeout)
	defer cancel()
	if l.server.Shutdown(closing) != nil {
		_ = l.server.Close()
	}
	return nil
}

// Metrics returns a function that serves the process's metrics at an address until its context ends. A process runs on
// without them when the address isn't valid or can't be opened.
func Metrics(address netip.AddrPort, log logr.Logger) func(context.Context) error {
	if address.IsValid() {
		metrics, err := New(address, http.DefaultServeMux)
		if err == nil {
			return metrics.Run
		}
		log.Error(err, "metrics are not served", "Step", "start")
	}
	return func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	}
}
