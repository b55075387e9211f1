package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// refusing is a caller of workers that finds no connection to one of them for starts, and for all calls once that has crashed.
type refusing struct {
	*simulation
	worker     *simWorker
	starts     int
	firstDelay time.Duration // if set, the first start is sent, carried out so late, and gets no answer
}

func (r *refusing) Send(call *order.Call) {
	if r.workerAt(call.Address) != r.worker || r.worker.up && call.Kind != order.Start {
		r.simulation.Send(call)
		return
	}
	isSent := false
	if call.Kind == order.Start {
		isSent = r.starts == 0 && r.firstDelay > 0
		r.starts++
	}
	switch {
	case isSent:
		r.after(r.firstDelay, func() { r.worker.handle(call) })
	case r.firstDelay == 0 && r.worker.up:
		r.worker.crash(time.Hour)
	}
	r.after(time.Millisecond, func() { r.answer(call, &order.Answer{NotSent: !isSent}) })
}

// startOnRefusing submits a job of which a start is ordered from a worker that finds no connection.
func startOnRefusing(t *testing.T, tasks uint32, firstDelay time.Duration) *refusing {
	sim := newSimulationWithWorkers(t, 1, 2)
	r := &refusing{simulation: sim, worker: sim.workers[0], firstDelay: firstDelay}
	sim.dispatcher.config.WorkerCalls = r
	sim.submit("urgent", "a", serving(tasks, "image"))
	for end := sim.now.Add(time.Second); r.starts == 0 && sim.now.Before(end); {
		sim.run(time.Millisecond)
	}
	if r.starts == 0 {
		t.Fatal("no start is ordered from the worker")
	}
	return r
}

// A task whose start was never sent must not wait until its worker is declared lost: the lease of that doesn't matter to it.
func TestUnsentStartIsWithdrawn(t *testing.T) {
	const tasks = 4
	r := startOnRefusing(t, tasks, 0)
	r.run(time.Second)
	if running := r.servingRuns("a"); running != tasks {
		t.Errorf("%d of %d tasks run a second later", running, tasks)
	}
}

// A start that was sent and may be carried out late must be awaited, although repeated ones weren't sent.
func TestUnansweredStartIsAwaitedBesideUnsentOnes(t *testing.T) {
	for _, delay := range []time.Duration{400 * time.Millisecond, time.Second, 3 * time.Second} {
		r := startOnRefusing(t, 1, delay)
		r.runChecked(20*time.Second, workload.TaskKey{Job: "a"})
		if running := r.servingRuns("a"); running != 1 {
			t.Errorf("start carried out after %v: %d runs of the task", delay, running)
		}
	}
}
