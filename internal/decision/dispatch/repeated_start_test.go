package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// unansweredStarts carries out start orders without answering them, the first one of a run at once and the others after
// repeatDelay, and counts them by run.
type unansweredStarts struct {
	*simulation
	repeatDelay time.Duration
	starts      map[workload.RunKey]int
}

func (u *unansweredStarts) Send(call *order.Call) {
	if call.Kind != order.Start {
		u.simulation.Send(call)
		return
	}
	delay := time.Millisecond
	if u.starts[call.Run] > 0 {
		delay = u.repeatDelay
	}
	u.starts[call.Run]++
	u.after(delay, func() { u.workerAt(call.Address).handle(call) })
	u.after(time.Second, func() { u.answer(call, &order.Answer{}) })
}

// A start must not be repeated once its worker has listed the run or its end: a later incarnation would carry it out again.
func TestListedRunIsNotStartedAgain(t *testing.T) {
	for name, runtime := range map[string]time.Duration{"ended": 900 * time.Millisecond, "running": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			for offset := range 20 {
				sim := newSimulationWithWorkers(t, 1, 1)
				sim.commitTime = 400 * time.Millisecond // so that ends are being recorded when the calls time out
				calls := &unansweredStarts{sim, time.Millisecond, map[workload.RunKey]int{}}
				sim.dispatcher.config.WorkerCalls = calls
				sim.run(time.Duration(offset) * 50 * time.Millisecond)
				sim.submit("urgent", "a", dedicated(1, runtime))
				sim.run(20 * time.Second)
				sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
				for key, starts := range calls.starts {
					if starts > 1 {
						t.Errorf("%s run %d was ordered %d times", key.Task, key.Run, starts)
					}
				}
			}
		})
	}
}

// A task whose end is recorded must not be started again by an order that a later incarnation of its worker carries out late.
func TestRecordedTaskIsNotStartedInLaterIncarnation(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	sim.commitTime = 400 * time.Millisecond
	calls := &unansweredStarts{sim, 3 * time.Second, map[workload.RunKey]int{}}
	sim.dispatcher.config.WorkerCalls = calls
	second := dedicated(1, time.Minute)
	second.After = []uint32{0}
	sim.submit("urgent", "a", dedicated(1, 900*time.Millisecond), second)
	ended := workload.TaskKey{Job: "a"}
	for !sim.state.Task(ended).Done {
		sim.run(10 * time.Millisecond)
	}
	sim.run(500 * time.Millisecond) // the end is acknowledged
	worker := sim.workers[0]
	worker.startIncarnation(worker.incarnation)
	sim.lossRate = 1 // the leader doesn't reach the later incarnation
	for range 500 {
		sim.run(10 * time.Millisecond)
		for key := range worker.runs {
			if key.Task == ended {
				t.Fatalf("the task was started again %v after its end was acknowledged", sim.now.Sub(sim.done[ended]))
			}
		}
	}
}

// A run that its worker lists must not be stopped because the worker refuses an order to start it again.
func TestRefusedRepetitionDoesntStopRun(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	sim.submit("urgent", "a", dedicated(1, 3*time.Second))
	sim.run(time.Second)
	r := sim.dispatcher.runs[workload.RunKey{Task: workload.TaskKey{Job: "a"}, Run: 1}]
	r.startUnanswered = true
	sim.dispatcher.handleStart(r, &order.Answer{Status: order.Unhealthy, Received: sim.now})
	sim.run(3 * time.Second)
	sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
	if starts := sim.starts["a.0.0.0"]; starts != 1 {
		t.Errorf("%d starts, expected one", starts)
	}
}
