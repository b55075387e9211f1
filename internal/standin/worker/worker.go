// Package worker is a stand-in for a worker that runs tasks under a lease.
package worker

import (
	"context"
	"errors"
	"sync"
	"time"

	workerclient "galenamoor/api/gen/http/workers/client"
	"galenamoor/api/gen/workers"
	"galenamoor/internal/standin/audit"
	"galenamoor/internal/standin/balancer"
	"galenamoor/pkg/inventory"
	"galenamoor/pkg/resource"
)

// Intervals and timeouts of a worker.
const (
	renewInterval = 5 * time.Second
	pollTimeout   = 10 * time.Second
	retryDelay    = 200 * time.Millisecond
	// attemptTimeout bounds one attempt at one daemon. Three attempts fit into a third of the lease.
	attemptTimeout = 1500 * time.Millisecond
	stopTimeout    = 5 * time.Second // for calls in progress at an executor that stops
)

// Config describes one worker.
type Config struct {
	Worker      inventory.Worker
	Slots       int32 // of each executor
	Connections int32
	CallTime    time.Duration // mean execution time of a call
	TimeScale   float64       // declared run time divided by actual run time of batch tasks
	Seed        uint64
	Balancer    *balancer.Balancer
	Audit       *audit.Audit
}

// Worker registers with the daemons, renews its lease, polls for orders and runs tasks.
type Worker struct {
	config      Config
	incarnation uint64

	mu          sync.Mutex
	leaseExpiry time.Time // end of the lease by the worker's clock
	tasks       map[string]*task
	reports     []*workers.TaskReport // not yet acknowledged
	wake        chan struct{}         // signals that reports are queued
}

// New returns a Worker that Run registers. The incarnation must increase with each start of a worker of that name.
func New(config Config, incarnation uint64) *Worker {
	return &Worker{config: config, incarnation: incarnation, tasks: map[string]*task{}, wake: make(chan struct{}, 1)}
}

// Run registers the worker and runs tasks until the context is done. It then stops all tasks immediately, as in a power loss.
func (w *Worker) Run(ctx context.Context) {
	if !w.register(ctx) {
		return
	}
	var group sync.WaitGroup
	for _, loop := range []func(context.Context){w.renewLoop, w.pollLoop, w.leaseLoop} {
		group.Go(func() { loop(ctx) })
	}
	group.Wait()
	w.stopAll()
}

func (w *Worker) client(target balancer.Target) *workerclient.Client {
	return workerclient.NewClient("http", target.Address, target.Doer, balancer.Encoder, balancer.Decoder, false)
}

func (w *Worker) register(ctx context.Context) bool {
	capacity := w.config.Worker.Capacity
	payload := &workers.RegisterPayload{
		Worker: w.config.Worker.Name, Incarnation: w.currentIncarnation(),
		Capacity: &workers.Resources{Processors: capacity.Processors, Memory: capacity.Memory, Accelerators: capacity.Accelerators},
	}
	for ctx.Err() == nil {
		sent := time.Now()
		err := balancer.Try(ctx, w.config.Balancer, attemptTimeout, func(ctx context.Context, target balancer.Target) error {
			answer, err := w.client(target).Register()(ctx, payload)
			if err != nil {
				return err
			}
			w.extendLease(sent, answer.(*workers.RegisterResult).Lease)
			return nil
		})
		if err == nil {
			return true
		}
		sleep(ctx, retryDelay)
	}
	return false
}

func (w *Worker) currentIncarnation() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation
}

// extendLease sets the end of the lease. lease is its duration in nanoseconds, counted from the sending of the request, so
// that the lease ends at the worker before it ends at the leader.
func (w *Worker) extendLease(sent time.Time, lease int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaseExpiry = sent.Add(time.Duration(lease))
}

func (w *Worker) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.renew(ctx) {
			sleep(ctx, retryDelay)
			continue
		}
		select {
		case <-ctx.Done():
		case <-w.wake:
		case <-time.After(renewInterval):
		}
	}
}

func (w *Worker) renew(ctx context.Context) bool {
	w.mu.Lock()
	reports := append([]*workers.TaskReport(nil), w.reports...)
	w.mu.Unlock()
	payload := &workers.RenewPayload{Worker: w.config.Worker.Name, Incarnation: w.currentIncarnation(), Reports: reports, Usage: w.usage()}
	err := balancer.Try(ctx, w.config.Balancer, attemptTimeout, func(ctx context.Context, target balancer.Target) error {
		sent := time.Now()
		answer, err := w.client(target).Renew()(ctx, payload)
		if err != nil {
			return err
		}
		w.extendLease(sent, answer.(*workers.RenewResult).Lease)
		return nil
	})
	if isNotRegistered(err) {
		w.reregister(ctx)
		return false
	}
	if err != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports = w.reports[len(reports):]
	return true
}

// reregister stops all tasks, which the leader has assigned to other workers, and registers with a new incarnation.
func (w *Worker) reregister(ctx context.Context) {
	w.stopAll()
	w.mu.Lock()
	w.incarnation++
	w.reports = nil
	w.mu.Unlock()
	w.register(ctx)
}

// isNotRegistered reports whether err means that the leader doesn't know this incarnation of the worker.
func isNotRegistered(err error) bool {
	var problem *workers.Problem
	return errors.As(err, &problem) && (problem.Name == "NotFound" || problem.Name == "Rejected")
}

func (w *Worker) pollLoop(ctx context.Context) {
	seen := uint64(0)
	for ctx.Err() == nil {
		payload := &workers.PollPayload{Worker: w.config.Worker.Name, Incarnation: w.currentIncarnation(), Seen: seen, Wait: int64(pollTimeout)}
		var result *workers.PollResult
		err := balancer.Try(ctx, w.config.Balancer, pollTimeout+attemptTimeout, func(ctx context.Context, target balancer.Target) error {
			answer, err := w.client(target).Poll()(ctx, payload)
			if err == nil {
				result = answer.(*workers.PollResult)
			}
			return err
		})
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		seen = result.Number
		w.execute(ctx, result.Orders)
	}
}

// execute executes orders. It claims all tasks to be started in one request.
func (w *Worker) execute(ctx context.Context, orders []*workers.Order) {
	offers := map[string]*workers.Order{}
	claim := &workers.ClaimPayload{Worker: w.config.Worker.Name, Incarnation: w.currentIncarnation()}
	for _, order := range orders {
		switch order.Kind {
		case "Start":
			if w.isRunning(order.Task) {
				continue
			}
			offers[order.Task] = order
			claim.Tasks = append(claim.Tasks, &workers.TaskFence{Task: order.Task, Fence: order.Fence})
		case "Stop":
			go w.stopTask(order)
		}
	}
	if len(claim.Tasks) > 0 {
		w.claim(ctx, claim, offers)
	}
}

// claim claims the offered tasks and starts those that are granted, unless the time to start them has passed.
func (w *Worker) claim(ctx context.Context, claim *workers.ClaimPayload, offers map[string]*workers.Order) {
	var result *workers.ClaimResult
	var sent time.Time
	err := balancer.Try(ctx, w.config.Balancer, attemptTimeout, func(ctx context.Context, target balancer.Target) error {
		sent = time.Now()
		answer, err := w.client(target).Claim()(ctx, claim)
		if err == nil {
			result = answer.(*workers.ClaimResult)
		}
		return err
	})
	if err != nil {
		return
	}
	for _, granted := range result.Granted {
		if time.Since(sent) < time.Duration(result.StartBy) {
			w.startTask(ctx, claim.Incarnation, offers[granted.Task])
		}
	}
}

// leaseLoop stops all tasks when the lease has expired.
func (w *Worker) leaseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, retryDelay)
		w.mu.Lock()
		expired := time.Now().After(w.leaseExpiry)
		w.mu.Unlock()
		if expired {
			w.stopAll()
		}
	}
}

func (w *Worker) isRunning(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tasks[name] != nil
}

// queueReport queues a report and wakes the renewal.
func (w *Worker) queueReport(report *workers.TaskReport) {
	w.mu.Lock()
	w.reports = append(w.reports, report)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// usedLocked returns the sum of the sizes of all tasks. The caller holds the lock.
func (w *Worker) usedLocked() resource.Vector {
	var sum resource.Vector
	for _, t := range w.tasks {
		sum = sum.Add(t.size)
	}
	return sum
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
