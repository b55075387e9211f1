package worker

import (
	"context"
	"strings"
	"time"

	"galenamoor/api/gen/workers"
	"galenamoor/internal/standin/endpoint"
	"galenamoor/pkg/resource"
)

// checkpointInterval is the declared run time between two checkpoints of a batch task.
const checkpointInterval = time.Minute

// task is one running task.
type task struct {
	order       *workers.Order
	size        resource.Vector
	startTime   time.Time
	executor    *endpoint.Endpoint // of a latency-critical task; nil for a batch task
	finishTimer *time.Timer        // end of a batch task; nil for a latency-critical one
	stopping    bool
}

// startTask starts a granted task, unless the lease has expired or the worker has registered again since the claim: the
// task may then have been assigned to another worker.
func (w *Worker) startTask(ctx context.Context, incarnation uint64, order *workers.Order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != incarnation || w.tasks[order.Task] != nil || time.Now().After(w.leaseExpiry) {
		return
	}
	t := &task{order: order, startTime: time.Now()}
	t.size = resource.Vector{Processors: order.Request.Processors, Memory: order.Request.Memory, Accelerators: order.Request.Accelerators}
	if *order.Class == "LatencyCritical" {
		executor, err := w.startExecutor(ctx, order)
		if err != nil {
			w.queueReportLocked(order, "Failed", 0)
			return
		}
		t.executor = executor
	} else {
		t.finishTimer = time.AfterFunc(w.remainingTime(order), func() { w.finishTask(order) })
	}
	w.tasks[order.Task] = t
	w.config.Audit.TaskStarted(order.Task, w.config.Worker.Name, w.config.Worker.Zone, t.startTime)
	w.config.Audit.WorkerUse(w.config.Worker.Name, w.usedLocked(), w.config.Worker.Capacity)
	w.queueReportLocked(order, "Running", *order.Checkpoint)
}

// queueReportLocked queues a report and wakes the renewal. The caller holds the lock.
func (w *Worker) queueReportLocked(order *workers.Order, kind string, checkpoint uint64) {
	w.reports = append(w.reports, &workers.TaskReport{Task: order.Task, Fence: order.Fence, Kind: kind, Checkpoint: checkpoint})
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Worker) startExecutor(ctx context.Context, order *workers.Order) (*endpoint.Endpoint, error) {
	return endpoint.Start(ctx, endpoint.Config{
		Name:         strings.ReplaceAll(order.Task, "/", "-"),
		Incarnation:  order.Fence,
		Service:      *order.Service,
		Zone:         w.config.Worker.Zone,
		Slots:        w.config.Slots,
		Connections:  w.config.Connections,
		MeanCallTime: w.config.CallTime,
		Seed:         w.config.Seed,
		Balancer:     w.config.Balancer,
		Audit:        w.config.Audit,
	})
}

// remainingTime returns the actual run time of a batch task from its checkpoint to its end.
func (w *Worker) remainingTime(order *workers.Order) time.Duration {
	remaining := time.Duration(*order.RunTime) - time.Duration(*order.Checkpoint)*checkpointInterval
	return time.Duration(float64(max(remaining, 0)) / w.config.TimeScale)
}

// progress returns the last checkpoint of a batch task, and the declared run time from its start to that checkpoint.
func (w *Worker) progress(t *task) (checkpoint uint64, work time.Duration) {
	done := time.Duration(float64(time.Since(t.startTime)) * w.config.TimeScale)
	steps := uint64(done / checkpointInterval)
	if !*t.order.Checkpoints {
		return 0, 0
	}
	return *t.order.Checkpoint + steps, time.Duration(steps) * checkpointInterval
}

// finishTask ends a batch task that is done, and reports it as finished.
func (w *Worker) finishTask(order *workers.Order) {
	w.mu.Lock()
	t := w.tasks[order.Task]
	if t == nil || t.order.Fence != order.Fence {
		w.mu.Unlock()
		return
	}
	delete(w.tasks, order.Task)
	w.mu.Unlock()
	work := time.Duration(*order.RunTime) - time.Duration(*order.Checkpoint)*checkpointInterval
	w.config.Audit.TaskEnded(order.Task, true, false, work)
	w.queueReport(&workers.TaskReport{Task: order.Task, Fence: order.Fence, Kind: "Finished"})
}

// stopTask checkpoints a task, stops it and reports it as stopped. It also reports a task that doesn't run here, so that the
// scheduler releases its resources.
func (w *Worker) stopTask(order *workers.Order) {
	w.mu.Lock()
	t := w.tasks[order.Task]
	if t != nil && (t.stopping || t.order.Fence != order.Fence) {
		w.mu.Unlock()
		return
	}
	if t != nil {
		t.stopping = true
	}
	w.mu.Unlock()
	checkpoint := uint64(0)
	if t != nil {
		ended := false
		if checkpoint, ended = w.endTask(t, true); !ended {
			return // it finished meanwhile, which is already reported
		}
	}
	w.queueReport(&workers.TaskReport{Task: order.Task, Fence: order.Fence, Kind: "Stopped", Checkpoint: checkpoint})
}

// endTask stops a task, and returns its checkpoint and whether it was still running. If graceful is set, it waits for calls
// in progress.
func (w *Worker) endTask(t *task, graceful bool) (checkpoint uint64, ended bool) {
	work := time.Duration(0)
	switch {
	case t.executor != nil && graceful:
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		t.executor.Stop(ctx)
		cancel()
	case t.executor != nil:
		t.executor.Kill()
	default:
		t.finishTimer.Stop()
		checkpoint, work = w.progress(t)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[t.order.Task] != t {
		return 0, false
	}
	delete(w.tasks, t.order.Task)
	w.config.Audit.TaskEnded(t.order.Task, false, true, work)
	return checkpoint, true
}

// stopAll ends all tasks without waiting for calls in progress.
func (w *Worker) stopAll() {
	w.mu.Lock()
	var all []*task
	for _, t := range w.tasks {
		all = append(all, t)
	}
	w.mu.Unlock()
	for _, t := range all {
		w.endTask(t, false)
	}
}

// usage returns the usage of all tasks, which is their size. The stand-in doesn't model interference.
func (w *Worker) usage() []*workers.Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	var usage []*workers.Usage
	for _, t := range w.tasks {
		used := &workers.Resources{Processors: t.size.Processors, Memory: t.size.Memory, Accelerators: t.size.Accelerators}
		usage = append(usage, &workers.Usage{Task: t.order.Task, Fence: t.order.Fence, Used: used})
	}
	return usage
}
