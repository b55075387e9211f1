package daemon

import (
	"context"
	"net/http"

	"github.com/gravitational/trace"

	"galenamoor/internal/shell/frontdoor"
	"galenamoor/internal/shell/listener"
	"galenamoor/internal/shell/replica"
)

// runServices runs all parts until the context ends or one fails.
func (d *Daemon) runServices(ctx context.Context, running *replica.Replica, transportDone <-chan error) error {
	k := d.kernel
	calls, err := listener.New(d.settings.Calls, limitCalls(d.gateway, d.settings.CallsInProgress))
	if err != nil {
		return err
	}
	control := &control{daemon: d, replica: running}
	operators, err := listener.New(d.settings.Control, frontdoor.New(control, d.collector, d.clock).Handler())
	if err != nil {
		_ = calls.Close()
		return err
	}
	k.Go("replica", func(ctx context.Context) error {
		err := running.Run(ctx)
		if replica.IsDiskFailed(err) {
			d.log.Error(err, "the disk failed; this daemon no longer takes part in control", "Step", "write log")
		}
		return err
	})
	k.Go("feed", func(ctx context.Context) error { return d.feed(ctx, running) })
	k.Go("gateway", d.gateway.Run)
	k.Go("collector", d.collector.Run)
	k.Go("calls", calls.Run)
	k.Go("control", operators.Run)
	k.Go("transport", func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return nil
		case err := <-transportDone:
			return trace.Wrap(err, "serve peers")
		}
	})
	return k.Run(d.graceful(ctx, running))
}

// graceful returns a context that ends once the daemon has drained and handed leadership on after ctx ended.
func (d *Daemon) graceful(ctx context.Context, running *replica.Replica) context.Context {
	drained, end := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		defer end()
		<-ctx.Done()
		d.draining.Store(true)
		d.log.Info("stopping", "Step", "drain", "Running", d.gateway.Running())
		// Calls are still served until the balancer has seen that this daemon is unready. Closing kept-alive connections
		// earlier would cut a call that the balancer sends on one at that moment.
		d.clock.Sleep(d.settings.DrainDelay)
		limited, cancel := context.WithTimeout(drained, d.settings.DrainTimeout)
		defer cancel()
		if err := d.gateway.Drain(limited); err != nil {
			d.log.Error(err, "calls in progress were cut at the drain timeout", "Step", "drain")
		}
		running.Stop(drained)
	}()
	return drained
}

// limitCalls refuses calls above a number in progress. Such a call surely did not run.
func limitCalls(next http.Handler, most int) http.Handler {
	tokens := make(chan struct{}, most)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case tokens <- struct{}{}:
		default:
			w.Header().Set("Galenamoor-Outcome", "not-run")
			http.Error(w, "Overloaded: too many calls in progress", http.StatusTooManyRequests)
			return
		}
		defer func() { <-tokens }()
		next.ServeHTTP(w, r)
	})
}
