// Package entry assembles an entry, the stateless frontend process that callers connect to. It forwards every request to
// the leader.
package entry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"galenamoor/internal/shell/budget"
	"galenamoor/internal/shell/kernel"
	"galenamoor/internal/shell/latency"
	"galenamoor/internal/shell/leaderclient"
	"galenamoor/internal/shell/listener"
	"galenamoor/internal/shell/transport"
)

const (
	// maxSinceLastReply is the time since the leader's last reply to a request or ping above which the entry reports itself
	// as not ready.
	maxSinceLastReply = 3 * time.Second

	// drainFraction is the fraction of the stop grace period during which open connections are still served. The load
	// balancer probes once a second and takes an entry out after two failed probes.
	drainFraction = 0.6

	// maxRequests bounds the requests in progress. At 16 KiB each they use 8 MiB.
	maxRequests = 512
)

// Options configure an entry.
type Options struct {
	Name      string           // of this process in logs and metrics
	Callers   netip.AddrPort   // address of Handler
	Readiness netip.AddrPort   // address of the load balancer's probes
	Peers     netip.AddrPort   // listening address of the transport to the controllers
	Metrics   netip.AddrPort   // metrics are not served if it is invalid
	Seeds     []netip.AddrPort // peer addresses of the initial controllers
	StopGrace time.Duration    // time between the stop signal and the kill
	Handler   func(leader *leaderclient.Client) http.Handler
	// MaxBody returns the largest body of a request of a caller in bytes.
	MaxBody func(*http.Request) int64
	Budget  *budget.Budget
	// Reloads delivers the seeds each time the settings are reloaded.
	Reloads <-chan []netip.AddrPort
	Clock   clockwork.Clock
	Log     logr.Logger
}

// Run runs an entry until the context is done, and then drains requests in progress.
func Run(ctx context.Context, options Options) error {
	log := options.Log
	peers, err := transport.New(transport.Options{Host: options.Name, Listen: options.Peers, Log: log, Budget: options.Budget})
	if err != nil {
		return trace.Wrap(err, "open peer address %s", options.Peers)
	}
	defer peers.Close()
	leader := leaderclient.New(peers, options.Seeds, latency.New("Latency"), options.Clock, log)
	callers, err := listener.New(listener.Options{
		Name: budget.Public, Address: options.Callers, Handler: limitRequests(ctx, options.Handler(leader)),
		Budget: options.Budget, MaxBody: options.MaxBody,
	})
	if err != nil {
		return err
	}
	callers.CloseTimeout = time.Duration(float64(options.StopGrace) * (1 - drainFraction) * 0.8)
	readiness, err := listener.New(listener.Options{
		Name: budget.Readiness, Address: options.Readiness, Handler: readinessHandler(ctx, leader), Budget: options.Budget,
	})
	if err != nil {
		_ = callers.Close()
		return err
	}
	components := kernel.New()
	components.Go("leader", leader.Run)
	components.Go("callers", callers.Run)
	components.Go("readiness", readiness.Run)
	components.Go("reload", func(ctx context.Context) error { return reload(ctx, options, leader) })
	components.Go("metrics", listener.Metrics(options.Metrics, options.Budget, log))
	log.Info("entry started", "Callers", options.Callers.String(), "Seeds", len(options.Seeds))
	err = components.Run(shutdownContext(ctx, options))
	log.Info("entry stopped")
	return err
}

// readinessHandler returns the handler of readiness probes: 200 while a leader answers and the process is not stopping,
// otherwise 503.
func readinessHandler(stopping context.Context, leader *leaderclient.Client) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if stopping.Err() != nil || leader.SinceLastReply() > maxSinceLastReply {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// limitRequests limits the requests in progress and rejects further ones. While the process stops, it closes each
// connection with the next response: closing idle connections would fail requests that are already in transit.
func limitRequests(stopping context.Context, next http.Handler) http.Handler {
	semaphore := make(chan struct{}, maxRequests)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case semaphore <- struct{}{}:
		default:
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer func() { <-semaphore }()
		if stopping.Err() != nil {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// shutdownContext returns a context that is cancelled after a drain period following the end of ctx. Open connections are
// served until then.
func shutdownContext(ctx context.Context, options Options) context.Context {
	shutdown, cancelShutdown := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		defer cancelShutdown()
		<-ctx.Done()
		options.Log.Info("stopping", "Step", "drain", "Grace", options.StopGrace.String())
		options.Clock.Sleep(time.Duration(float64(options.StopGrace) * drainFraction))
	}()
	return shutdown
}

// reload applies reloaded settings to the leader client.
func reload(ctx context.Context, options Options, leader *leaderclient.Client) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case seeds := <-options.Reloads:
			options.Log.Info("settings reloaded", "Seeds", len(seeds))
			leader.SetSeeds(seeds)
		}
	}
}
