// Package entry assembles the process that callers connect to. It keeps no state: the leader decides every request.
package entry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"galenamoor/internal/shell/kernel"
	"galenamoor/internal/shell/latency"
	"galenamoor/internal/shell/leaderlink"
	"galenamoor/internal/shell/listener"
	"galenamoor/internal/shell/transport"
)

const (
	// readyAge is the age of the leader's last decision above which the balancer is told to send callers elsewhere.
	readyAge = 3 * time.Second

	// drainShare is the part of the time between the signal to stop and the kill for which open connections are still
	// served. The balancer needs two misses, one a second, to see that the process is unready.
	drainShare = 0.6

	// mostRequests bounds the requests in progress. At 16 KiB each they take 8 MiB.
	mostRequests = 512
)

// Options describe an entry.
type Options struct {
	Name      string
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Peers     netip.AddrPort
	Metrics   netip.AddrPort // not valid: none
	Seeds     []netip.AddrPort
	StopGrace time.Duration
	Handler   func(leader *leaderlink.Link) http.Handler
	// Reloads brings new seeds.
	Reloads <-chan []netip.AddrPort
	Clock   clockwork.Clock
	Log     logr.Logger
}

// Run runs an entry until the context ends, and then finishes requests in progress.
func Run(ctx context.Context, options Options) error {
	log := options.Log
	link, err := transport.New(transport.Options{Host: options.Name, Listen: options.Peers, Log: log})
	if err != nil {
		return trace.Wrap(err, "open peer address %s", options.Peers)
	}
	defer link.Close()
	leader := leaderlink.New(link, options.Seeds, latency.New("Latency"), options.Clock, log)
	callers, err := listener.New(options.Callers, limit(ctx, options.Handler(leader)))
	if err != nil {
		return err
	}
	callers.CloseTimeout = time.Duration(float64(options.StopGrace) * (1 - drainShare) * 0.8)
	readiness, err := listener.New(options.Readiness, ready(ctx, leader))
	if err != nil {
		_ = callers.Close()
		return err
	}
	parts := kernel.New()
	parts.Go("leader", leader.Run)
	parts.Go("callers", callers.Run)
	parts.Go("readiness", readiness.Run)
	parts.Go("reload", func(ctx context.Context) error { return reload(ctx, options, leader) })
	parts.Go("metrics", listener.Metrics(options.Metrics, log))
	log.Info("entry started", "Callers", options.Callers.String(), "Seeds", len(options.Seeds))
	err = parts.Run(drained(ctx, options))
	log.Info("entry stopped")
	return err
}

// ready answers the balancer: 200 while a leader decides and the process isn't stopping.
func ready(stopping context.Context, leader *leaderlink.Link) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if stopping.Err() != nil || leader.HeardAgo() > readyAge {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// limit refuses requests above a number in progress at once. While the process stops, connections end with the next
// answer on them: closing idle ones would cut off requests that are on their way.
func limit(stopping context.Context, next http.Handler) http.Handler {
	tokens := make(chan struct{}, mostRequests)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case tokens <- struct{}{}:
		default:
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer func() { <-tokens }()
		if stopping.Err() != nil {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drained returns a context that ends some time after ctx: open connections are served until then.
func drained(ctx context.Context, options Options) context.Context {
	ended, end := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		defer end()
		<-ctx.Done()
		options.Log.Info("stopping", "Step", "drain", "Grace", options.StopGrace.String())
		options.Clock.Sleep(time.Duration(float64(options.StopGrace) * drainShare))
	}()
	return ended
}

// reload follows changes of the settings.
func reload(ctx context.Context, options Options, leader *leaderlink.Link) error {
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
