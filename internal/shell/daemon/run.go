package daemon

import (
	"context"
	"net/http"

	"github.com/gravitational/trace"

	"galenamoor/internal/shell/httpapi"
	"galenamoor/internal/shell/listener"
	"galenamoor/internal/shell/replica"
)

// runServices runs all components until the context is done or one of them fails.
func (d *Daemon) runServices(ctx context.Context, localReplica *replica.Replica, transportDone <-chan error) error {
	k := d.kernel
	calls, err := listener.New(listener.Options{Address: d.settings.Calls, Handler: limitCalls(d.gateway, d.settings.CallsInProgress)})
	if err != nil {
		return err
	}
	control := &control{daemon: d, replica: localReplica}
	operators, err := listener.New(listener.Options{Address: d.settings.Control, Handler: httpapi.New(control, d.collector, d.clock).Handler()})
	if err != nil {
		_ = calls.Close()
		return err
	}
	k.Go("replica", func(ctx context.Context) error {
		err := localReplica.Run(ctx)
		if replica.IsDiskFailed(err) {
			d.log.Error(err, "disk failed; leaving consensus", "Step", "write log")
		}
		return err
	})
	k.Go("routes", func(ctx context.Context) error { return d.updateRoutes(ctx, localReplica) })
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
	return k.Run(d.shutdownContext(ctx, localReplica))
}

// shutdownContext returns a context that is cancelled once ctx is done and the daemon has then drained and transferred
// leadership.
func (d *Daemon) shutdownContext(ctx context.Context, localReplica *replica.Replica) context.Context {
	shutdown, cancelShutdown := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		defer cancelShutdown()
		<-ctx.Done()
		d.draining.Store(true)
		d.log.Info("stopping", "Step", "drain", "Running", d.gateway.CallsInProgress())
		// Keep serving until the load balancer has noticed that this daemon is not ready. Closing keep-alive connections
		// earlier would fail calls that the load balancer is just sending on them.
		d.clock.Sleep(d.settings.DrainDelay)
		drainCtx, cancelDrain := context.WithTimeout(shutdown, d.settings.DrainTimeout)
		defer cancelDrain()
		if err := d.gateway.Drain(drainCtx); err != nil {
			d.log.Error(err, "drain timeout; closing calls in progress", "Step", "drain")
		}
		localReplica.Stop(shutdown)
	}()
	return shutdown
}

// limitCalls limits the calls in progress and rejects further ones. A rejected call has not run.
func limitCalls(next http.Handler, limit int) http.Handler {
	semaphore := make(chan struct{}, limit)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case semaphore <- struct{}{}:
		default:
			w.Header().Set("Galenamoor-Outcome", "not-run")
			http.Error(w, "Overloaded: too many calls in progress", http.StatusTooManyRequests)
			return
		}
		defer func() { <-semaphore }()
		next.ServeHTTP(w, r)
	})
}
