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
	"github.com/jonboulle/clockwork"

	"galenamoor/internal/shell/budget"
	"galenamoor/internal/shell/connlimit"
	"galenamoor/internal/shell/intake"
)

const (
	// headerTimeout bounds the time to read request headers, so that slow clients don't hold connections.
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// writeTimeout bounds the time in which a client accepts 64 KiB of an answer.
	writeTimeout = 10 * time.Second
	// maxHeaderBytes bounds the request line and the headers; net/http accepts 4 KiB more.
	maxHeaderBytes = 16 << 10
	// DefaultCloseTimeout is the default of Listener.CloseTimeout. Long polls end before it.
	DefaultCloseTimeout = 2 * time.Second
)

// Budget bounds what the clients of a process may hold.
type Budget interface {
	intake.Budget
	// Connections returns the number of connections of a listener, or 0 if it is unlimited.
	Connections(listener string) int
	// Refused counts a refused request or a closed connection.
	Refused(listener, reason string)
}

// Options configure a Listener.
type Options struct {
	Name    string // in Budget
	Address netip.AddrPort
	Handler http.Handler
	// Budget bounds connections and bodies; nil means that they are unlimited.
	Budget Budget
	// MaxBody returns the largest body of a request in bytes; nil means that requests have none. It is used only with a budget.
	MaxBody func(*http.Request) int64
}

// Listener is an HTTP server on one address.
type Listener struct {
	server *http.Server
	socket net.Listener
	// CloseTimeout bounds the wait for requests in progress during shutdown.
	CloseTimeout time.Duration
}

// New listens on an address. Run serves the connections.
func New(options Options) (*Listener, error) {
	socket, err := net.Listen("tcp", options.Address.String())
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "listen on %s", options.Address)
	}
	server := &http.Server{Handler: options.Handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if options.Budget != nil {
		socket = limit(server, socket, options)
	}
	return &Listener{server: server, socket: socket, CloseTimeout: DefaultCloseTimeout}, nil
}

// limit bounds what clients of a server may hold, and returns the socket to serve.
func limit(server *http.Server, socket net.Listener, options Options) net.Listener {
	refused := func(reason string) { options.Budget.Refused(options.Name, reason) }
	maxBody := options.MaxBody
	if maxBody == nil {
		maxBody = func(*http.Request) int64 { return 0 }
	}
	server.Handler = intake.New(intake.Options{Budget: options.Budget, MaxBody: maxBody, Refused: refused}, options.Handler)
	server.MaxHeaderBytes = maxHeaderBytes
	server.ConnContext = intake.WithConnection
	server.ConnState = trackState
	return connlimit.New(socket, connlimit.Options{
		Bound: options.Budget.Connections(options.Name), WriteTimeout: writeTimeout, Refused: refused, Clock: clockwork.NewRealClock(),
	})
}

// trackState tells a connection whether a request is in progress.
func trackState(connection net.Conn, state http.ConnState) {
	tracked, ok := connection.(interface {
		Idle()
		Busy()
	})
	switch {
	case !ok:
	case state == http.StateIdle:
		tracked.Idle()
	case state == http.StateActive:
		tracked.Busy()
	}
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
func Metrics(address netip.AddrPort, limits Budget, log logr.Logger) func(context.Context) error {
	if address.IsValid() {
		metrics, err := New(Options{Name: budget.Metrics, Address: address, Handler: http.DefaultServeMux, Budget: limits})
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
