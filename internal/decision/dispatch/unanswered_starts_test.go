package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// unansweredOrders leaves the orders to one worker unanswered, while its polls are answered. It carries them out after delay, or
// never if that is zero.
type unansweredOrders struct {
	*simulation
	worker       *simWorker
	delay        time.Duration
	answersStops bool
	unstarted    bool // see order.Answer
	starts       int
}

func (u *unansweredOrders) Send(call *order.Call) {
	worker := u.workerAt(call.Address)
	if call.Kind == order.Start && u.worker == nil {
		u.worker = worker
	}
	if worker != u.worker || call.Kind == order.Poll || call.Kind == order.Stop && u.answersStops {
		u.simulation.Send(call)
		return
	}
	if call.Kind == order.Start {
		u.starts++
	}
	if u.delay > 0 {
		u.after(u.delay, func() { worker.handle(call) })
	}
	u.after(time.Second, func() { u.answer(call, &order.Answer{Unstarted: u.unstarted}) })
}

// A task must start elsewhere if its worker answers polls but no starts, without a second run if the starts are carried out late.
func TestUnansweredStarts(t *testing.T) {
	for _, answersStops := range []bool{true, false} {
		for delay := time.Duration(0); delay <= maxCallDelay; delay += 500 * time.Millisecond {
			t.Run(fmt.Sprintf("answers stops %v, delay %v", answersStops, delay), func(t *testing.T) {
				sim := newSimulationWithWorkers(t, 1, 4)
				calls := &unansweredOrders{simulation: sim, delay: delay, answersStops: answersStops}
				sim.dispatcher.config.WorkerCalls = calls
				sim.submit("urgent", "a", serving(1, "image"))
				limit := 3500 * time.Millisecond
				if !answersStops {
					limit = 7 * time.Second
				}
				if gap := sim.longestGap(20*time.Second, workload.TaskKey{Job: "a"}); gap > limit {
					t.Errorf("the task had no run for %v, %d starts went to one worker", gap, calls.starts)
				}
			})
		}
	}
}

// Other tasks must avoid a worker that answers no starts.
func TestWorkerThatAnswersNoStartsIsAvoided(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	calls := &unansweredOrders{simulation: sim, answersStops: true}
	sim.dispatcher.config.WorkerCalls = calls
	sim.submit("urgent", "a", serving(1, "image"))
	sim.run(4 * time.Second)
	before := calls.starts
	for i := range 4 {
		id := fmt.Sprintf("b-%d", i)
		sim.submit("urgent", id, serving(1, id))
		if gap := sim.longestGap(time.Second, workload.TaskKey{Job: id}); gap > 200*time.Millisecond {
			t.Errorf("%s had no run for %v", id, gap)
		}
	}
	if calls.starts > before {
		t.Errorf("%d starts more went to the worker", calls.starts-before)
	}
}

// The members of a gang must start elsewhere if the starts of one of them get no answer.
func TestUnansweredStartOfGangMember(t *testing.T) {
	for _, answersStops := range []bool{true, false} {
		sim := newSimulationWithWorkers(t, 1, 5)
		sim.dispatcher.config.WorkerCalls = &unansweredOrders{simulation: sim, answersStops: answersStops}
		step := serving(3, "image")
		step.Gang, step.MaxPerWorker = true, 1
		sim.submit("urgent", "a", step)
		if gap := sim.longestGap(20*time.Second, workload.TaskKey{Job: "a"}); gap > 7*time.Second {
			t.Errorf("answers stops %v: the first member had no run for %v", answersStops, gap)
		}
		for i := range uint32(3) {
			if sim.running(workload.TaskKey{Job: "a", Index: i}) != 1 {
				t.Errorf("answers stops %v: member %d doesn't run", answersStops, i)
			}
		}
	}
}

// A task must start again soon on the only worker if that has answered no starts for a while.
func TestOnlyWorkerIgnoresStarts(t *testing.T) {
	for lasts := 2 * time.Second; lasts < 12*time.Second; lasts += 500 * time.Millisecond {
		sim := newSimulationWithWorkers(t, 1, 1)
		sim.dispatcher.config.WorkerCalls = &unansweredOrders{simulation: sim}
		sim.submit("urgent", "a", serving(1, "image"))
		sim.run(lasts)
		sim.dispatcher.config.WorkerCalls = sim
		if gap := sim.longestGap(20*time.Second, workload.TaskKey{Job: "a"}); gap > 5*time.Second {
			t.Errorf("after %v without answers, the task had no run for %v", lasts, gap)
		}
	}
}

// The start of a run must be repeated on a worker that has answered nothing meanwhile: its start is as likely there as elsewhere.
func TestUnansweredStartsOfSilentWorker(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 2)
	sim.submit("urgent", "a", serving(1, "image"))
	for len(sim.dispatcher.assigning) == 0 {
		sim.run(10 * time.Millisecond)
	}
	sim.lossRate = 1
	sim.run(3500 * time.Millisecond)
	sim.lossRate = 0
	sim.run(2 * time.Second)
	task := sim.state.Task(workload.TaskKey{Job: "a"})
	if sim.running(task.Key()) != 1 || task.LastRun != 1 {
		t.Errorf("%d runs are at work after %d", sim.running(task.Key()), task.LastRun)
	}
}
