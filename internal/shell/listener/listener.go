// Package listener runs an HTTP server on one address until a context is done.
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
	// headerTimeout bounds the time to read request headers, so that slow clients don't hold connections.
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// DefaultCloseTimeout is the default of Listener.CloseTimeout. Long polls end before it.
	DefaultCloseTimeout = 2 * time.Second
)

// Listener is an HTTP server on one address.
type Listener struct {
	server *http.Server
	socket net.Listener
	// CloseTimeout bounds the wait for requests in progress during shutdown.
	CloseTimeout time.Duration
}

// New listens on an address. Run serves the connections.
func New(address netip.AddrPort, handler http.Handler) (*Listener, error) {
	socket, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return &Listener{server: server, socket: socket, CloseTimeout: DefaultCloseTimeout}, nil
}

// Close closes the socket of a Listener that was not run.
func (l *Listener) Close() error { return l.server.Close() }

// Run serves until the context is done, and then shuts down gracefully within CloseTimeout.
func (l *Listener) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- l.server.Serve(l.socket) }()
	select {
	case err := <-done:
		return trace.Wrap(err, "serve %s", l.socket.Addr())
	case <-ctx.Done():
	}
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.CloseTimeout)
	defer cancel()
	if l.server.Shutdown(closeCtx) != nil {
		_ = l.server.Close()
	}
	return nil
}

// Metrics returns a function that serves the process's metrics on an address until its context is done. When the address is
// not valid or cannot be listened on, the function serves nothing and only waits for the context.
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
