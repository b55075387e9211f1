package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// unseenStart carries out the first start order without answering it. The worker's answers are lost from then on, for the given
// time.
type unseenStart struct {
	*simulation
	silence time.Duration
	starts  int
}

func (u *unseenStart) Send(call *order.Call) {
	if call.Kind != order.Start {
		u.simulation.Send(call)
		return
	}
	u.starts++
	if u.starts > 1 {
		u.simulation.Send(call)
		return
	}
	worker := u.workerAt(call.Address)
	worker.answersLost = true
	u.after(u.silence, func() { worker.answersLost = false })
	u.after(time.Millisecond, func() { worker.handle(call) })
	u.after(time.Second, func() { u.answer(call, &order.Answer{}) })
}

// A start must not be repeated if its worker lists the end of the run after the call has timed out.
func TestStartIsNotRepeatedWhileEndIsRecorded(t *testing.T) {
	listedBefore := 0
	for silence := time.Duration(0); silence < 1200*time.Millisecond; silence += 20 * time.Millisecond {
		sim := newSimulationWithWorkers(t, 1, 1)
		sim.commitTime = 400 * time.Millisecond
		calls := &unseenStart{simulation: sim, silence: silence}
		sim.dispatcher.config.WorkerCalls = calls
		sim.submit("urgent", "a", dedicated(1, 300*time.Millisecond))
		key := workload.RunKey{Task: workload.TaskKey{Job: "a"}, Run: 1}
		for range 300 {
			starts, r := calls.starts, sim.dispatcher.runs[key]
			isListed := r != nil && r.ended
			sim.run(10 * time.Millisecond)
			if isListed && calls.starts > starts {
				t.Errorf("silent for %v: the start was repeated after the end of the run was listed", silence)
			}
			if isListed && starts == 1 {
				listedBefore++
			}
		}
		sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
	}
	if listedBefore == 0 {
		t.Error("no end was listed before the start could be repeated")
	}
}

// A run that its worker lists as running is proven although its start was never answered: nothing would answer it any more.
func TestListedRunIsProvenWithoutAnswer(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	calls := &unseenStart{simulation: sim}
	sim.dispatcher.config.WorkerCalls = calls
	sim.submit("urgent", "a", dedicated(1, 20*time.Second))
	sim.run(4 * time.Second)
	r := sim.dispatcher.runs[workload.RunKey{Task: workload.TaskKey{Job: "a"}, Run: 1}]
	if r == nil || !r.seen || r.unproven || calls.starts != 1 {
		t.Errorf("after %d starts, the run is %+v", calls.starts, r)
	}
}
