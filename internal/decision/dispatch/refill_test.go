package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
)

// The room of ended runs stood idle until the next pass, up to 50 ms later, while many steps waited.
func TestRoomIsGivenBeforeTheNextPassWhileManyStepsWait(t *testing.T) {
	const tasks = 12
	sim := newLabelledFleet(t, 20, 20)
	first := lasting(tasks, "image")
	first.Processors, first.MaxPerWorker = 20_000, 1 // of 25 cores that each host has free
	sim.submit("urgent", "first", first)
	sim.run(2 * time.Second)
	sim.waitForRoom(500)
	next := lasting(tasks+20, "image")
	next.Processors, next.MaxPerWorker = 20_000, 1
	sim.submit("urgent", "next", next)
	sim.run(2 * time.Second)
	if n := sim.servingRuns("next"); n != 20-tasks {
		t.Fatalf("%d tasks run in the room of %d hosts", n, 20-tasks)
	}
	for i, w := range sim.workers {
		w.stopTime = 100*time.Millisecond + time.Duration(i)*17*time.Millisecond
	}
	recorded, given := map[uint32]time.Time{}, 0
	sim.onCommand = func(command *controlpb.Command) {
		for _, change := range command.GetWork().GetChanges() {
			if ends := change.GetNoteEnds(); ends != nil {
				recorded[ends.GetWorker()] = sim.now
			}
			if start := change.GetStartRun(); start.GetTask().GetJob() == "next" {
				given++
				if delay := sim.now.Sub(recorded[start.GetWorker()]); delay > 0 {
					t.Errorf("worker %d: the room is given %v after the end of the run", start.GetWorker(), delay)
				}
			}
		}
	}
	sim.cancel("first")
	sim.run(2 * time.Second)
	if given != tasks {
		t.Errorf("the room of %d of %d runs is given", given, tasks)
	}
}

// urgentMailbox notes whether the answers that the dispatcher took were urgent.
type urgentMailbox struct {
	*simulation
	urgent bool
}

func (m *urgentMailbox) TakeAnswers() []*order.Answer {
	m.urgent = m.urgent || m.HasUrgent()
	return m.simulation.TakeAnswers()
}

// The end of a lasting run waited for the next turn of the coordinator while others waited for its room, also if its worker was being polled
// when the stop was ordered. Other ends need no turn of their own.
func TestListedEndOfStoppedLastingRunIsUrgent(t *testing.T) {
	for _, after := range []time.Duration{1200, 1410, 1590, 1800, 2050} {
		sim := newSimulationWithWorkers(t, 1, 1)
		mailbox := &urgentMailbox{simulation: sim}
		sim.dispatcher.config.Mailbox = mailbox
		sim.submit("urgent", "lasting", serving(1, "image"))
		sim.submit("urgent", "finite", dedicated(1, time.Second))
		sim.run(after * time.Millisecond)
		if mailbox.urgent {
			t.Error("an end of a finite run is urgent")
		}
		sim.cancel("lasting")
		sim.run(time.Second)
		if !mailbox.urgent {
			t.Errorf("the end of a lasting run that was stopped after %v isn't urgent", after*time.Millisecond)
		}
	}
}
