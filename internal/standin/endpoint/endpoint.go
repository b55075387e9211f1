// Package endpoint is a stand-in for an executor of a service: it announces itself as an endpoint and answers calls.
package endpoint

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	endpointclient "galenamoor/api/gen/http/endpoints/client"
	"galenamoor/internal/standin/audit"
	"galenamoor/internal/standin/balancer"

	"galenamoor/api/gen/endpoints"
)

// announceInterval is the interval of announcements, each of which renews the lease of 2.5 s.
const announceInterval = time.Second

// Config describes one endpoint.
type Config struct {
	Name         string
	Incarnation  uint64
	Service      string
	Zone         string
	Slots        int32
	Connections  int32
	MeanCallTime time.Duration // mean execution time of a call
	Seed         uint64
	Balancer     *balancer.Balancer
	Audit        *audit.Audit
}

// Endpoint answers calls on a loopback address.
type Endpoint struct {
	config               Config
	server               *http.Server
	listener             net.Listener
	inUse                atomic.Int32
	connections          atomic.Int32
	stopAnnouncements    context.CancelFunc
	announcementsStopped chan struct{} // closed when announcements have stopped
}

// Start listens on a free port and announces the endpoint until ctx is done or the endpoint stops.
func Start(ctx context.Context, config Config) (*Endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err, "listen for calls")
	}
	renewal, stop := context.WithCancel(ctx)
	e := &Endpoint{config: config, listener: listener, stopAnnouncements: stop, announcementsStopped: make(chan struct{})}
	e.server = &http.Server{Handler: e, ConnState: e.trackConnection, ReadHeaderTimeout: time.Second}
	go func() { _ = e.server.Serve(listener) }()
	go e.announceLoop(renewal)
	return e, nil
}

// Stop announces that the endpoint leaves, waits for calls in progress and closes the endpoint. When ctx ends, it waits no
// longer.
func (e *Endpoint) Stop(ctx context.Context) {
	e.stopAnnouncements()
	<-e.announcementsStopped
	_ = balancer.Try(ctx, e.config.Balancer, balancer.AttemptTimeout, func(ctx context.Context, target balancer.Target) error {
		_, err := e.client(target).Leave()(ctx, &endpoints.LeavePayload{Endpoint: e.config.Name, Incarnation: e.config.Incarnation})
		return err
	})
	// Calls may arrive until every gateway knows that the endpoint leaves, which takes at most 3 s by design.
	deadline := time.Now().Add(3 * time.Second)
	for time.Now().Before(deadline) && ctx.Err() == nil && e.connections.Load() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	_ = e.server.Shutdown(ctx)
}

// Kill closes the endpoint immediately, as if its worker crashed.
func (e *Endpoint) Kill() {
	e.stopAnnouncements()
	_ = e.server.Close()
}

func (e *Endpoint) client(target balancer.Target) *endpointclient.Client {
	return endpointclient.NewClient("http", target.Address, target.Doer, balancer.Encoder, balancer.Decoder, false)
}

func (e *Endpoint) announceLoop(ctx context.Context) {
	defer close(e.announcementsStopped)
	address := e.listener.Addr().(*net.TCPAddr).AddrPort()
	for ctx.Err() == nil {
		_ = balancer.Try(ctx, e.config.Balancer, balancer.AttemptTimeout, func(ctx context.Context, target balancer.Target) error {
			_, err := e.client(target).Announce()(ctx, e.announcement(address))
			return err
		})
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

func (e *Endpoint) announcement(address netip.AddrPort) *endpoints.AnnouncePayload {
	return &endpoints.AnnouncePayload{
		Endpoint:    e.config.Name,
		Incarnation: e.config.Incarnation,
		Service:     e.config.Service,
		Address:     address.String(),
		Zone:        e.config.Zone,
		Slots:       e.config.Slots,
		Connections: e.config.Connections,
		InUse:       e.inUse.Load(),
	}
}

func (e *Endpoint) trackConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		now := e.connections.Add(1)
		e.config.Audit.Check(audit.Connections, now <= e.config.Connections, "%s has %d connections", e.config.Name, now)
	case http.StateClosed, http.StateHijacked:
		e.connections.Add(-1)
	}
}

// ServeHTTP answers a call with its request key and body. It rejects requests that are not calls, such as readiness probes
// of a daemon that used the port before.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Galenamoor-Dispatch") == "" {
		http.NotFound(w, r)
		return
	}
	now := e.inUse.Add(1)
	defer e.inUse.Add(-1)
	e.config.Audit.Check(audit.Slots, now <= e.config.Slots, "%s has %d calls", e.config.Name, now)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get("Galenamoor-Request-Key")
	e.config.Audit.Executed(key, r.Header.Get("Galenamoor-Repeatable") == "true")
	time.Sleep(e.callTime(key))
	answer := Answer(key, body)
	w.Header().Set("Galenamoor-Dispatch", r.Header.Get("Galenamoor-Dispatch"))
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = w.Write(answer)
}

// callTime returns the execution time of a call. It is exponentially distributed with the configured mean, and
// deterministic for a key and seed.
func (e *Endpoint) callTime(key string) time.Duration {
	seed := e.config.Seed
	for _, c := range []byte(key) {
		seed = seed*31 + uint64(c)
	}
	random := rand.New(rand.NewPCG(seed, 1))
	return time.Duration(random.ExpFloat64() * float64(e.config.MeanCallTime))
}

// Answer returns the response body of a call with the given request key and body.
func Answer(key string, body []byte) []byte {
	return fmt.Appendf(nil, "%s:%s", key, body)
}
