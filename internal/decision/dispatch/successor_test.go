package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// silentRestart delays the first start order, and restarts its worker under the same ID before it arrives. The later incarnation
// announces itself, answers some polls, and then no call until the given time.
type silentRestart struct {
	*simulation
	delay       time.Duration // of the start order
	answers     int           // polls that the later incarnation still answers
	silentUntil time.Time
	// answersStart is set if the later incarnation answers the start order and doesn't announce itself.
	answersStart bool
	restarted    *simWorker
}

func (c *silentRestart) Send(call *order.Call) {
	worker := c.workerAt(call.Address)
	switch {
	case c.restarted == nil && call.Kind == order.Start:
		c.restarted = worker
		worker.startIncarnation(worker.incarnation)
		if c.answersStart {
			worker.answersLost = true
			c.after(c.delay, func() { c.answer(call, worker.handle(call)) })
			return
		}
		c.after(c.delay, func() { worker.handle(call) })
	case worker == c.restarted && call.Kind == order.Poll && c.answers > 0:
		c.answers--
		c.simulation.Send(call)
		return
	case worker != c.restarted || !c.now.Before(c.silentUntil):
		c.simulation.Send(call)
		return
	}
	c.after(time.Second, func() { c.answer(call, &order.Answer{}) })
}

// A task must not start elsewhere while a later incarnation of its worker, which is known but doesn't answer, may still carry out
// an order for it, or runs it.
func TestOrderForSilentLaterIncarnation(t *testing.T) {
	for answers := range 2 {
		for _, delay := range []time.Duration{3 * time.Second, 5 * time.Second, 9 * time.Second, maxCallDelay - 100*time.Millisecond} {
			t.Run(fmt.Sprintf("answers=%d/delay=%v", answers, delay), func(t *testing.T) {
				sim := newSimulationWithWorkers(t, 1, 2)
				sim.run(30 * time.Second)
				calls := &silentRestart{simulation: sim, delay: delay, answers: answers, silentUntil: sim.now.Add(40 * time.Second)}
				sim.dispatcher.config.WorkerCalls = calls
				sim.submit("batch", "a", dedicated(1, 20*time.Second))
				sim.runChecked(70*time.Second, workload.TaskKey{Job: "a"})
				sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
			})
		}
	}
}

// A later incarnation must not go on with a run that it has started late after the task has started elsewhere, although it isn't
// known yet.
func TestUnknownIncarnationStopsEveryRun(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 2)
	sim.submit("batch", "a", dedicated(8, time.Minute))
	sim.run(time.Second)
	worker, other := sim.workers[0], sim.workers[1]
	if len(other.ordered) > 0 {
		r := other.ordered[0]
		worker.startIncarnation(worker.incarnation)
		worker.addRun(&simRun{key: r.key, task: r.task, runtime: time.Minute, speed: 1, orphaned: true})
		worker.leaseExpires = sim.now.Add(time.Minute)
	}
	for d := sim.dispatcher; d.workers[1] != nil; {
		sim.run(10 * time.Millisecond)
	}
	if len(worker.runs) > 0 {
		t.Error("the run goes on after its worker's earlier incarnation has ended")
	}
}

// A task must not start elsewhere while a later incarnation, which has answered the start and is silent since, runs it: the answer
// to a start doesn't tell the incarnation, but its clock does.
func TestStartAnsweredByLaterIncarnation(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 2)
	sim.run(30 * time.Second)
	sim.dispatcher.config.Limits.MaxLease = 10 * time.Second
	calls := &silentRestart{simulation: sim, delay: time.Millisecond, silentUntil: sim.now.Add(40 * time.Second), answersStart: true}
	sim.dispatcher.config.WorkerCalls = calls
	sim.submit("batch", "a", dedicated(1, 20*time.Second))
	sim.runChecked(70*time.Second, workload.TaskKey{Job: "a"})
	sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
}

// The answer to the poll that fences off late orders may be the only sign of a later incarnation, and mustn't be ignored.
func TestFencedOffByLaterIncarnation(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	d := sim.dispatcher
	w := d.orderedWorkers[0]
	call := &order.Call{Kind: order.Poll, ID: w.incarnation.GetId(), IncarnationStartMs: w.incarnation.GetBornMs(), Epoch: d.epoch}
	d.handleAnswer(&order.Answer{Call: call, Status: order.OtherIncarnation, IncarnationStartMs: w.incarnation.GetBornMs() + 1, Received: sim.now})
	if !w.mayHaveRestarted {
		t.Error("the worker isn't checked for a later incarnation")
	}
}
