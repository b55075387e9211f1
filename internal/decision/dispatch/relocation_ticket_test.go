package dispatch

import (
	"testing"
	"time"
)

// runUntilTicketAsked runs the simulation until a ticket for the target of a relocation is asked for.
func (sim *simulation) runUntilTicketAsked() {
	sim.t.Helper()
	for range 500 {
		if len(sim.dispatcher.relocations.askedAt) > 0 {
			return
		}
		sim.run(10 * time.Millisecond)
	}
	sim.t.Fatal("no ticket is asked for")
}

// Services must not be stopped for a task that may not start once they have moved.
func TestNoTaskMovesWithoutTicket(t *testing.T) {
	for name, withhold := range map[string]func(sim *simulation){
		"no answer": func(sim *simulation) { sim.adviceBusyUntil = sim.now.Add(time.Minute) },
		"refused": func(sim *simulation) {
			for _, worker := range sim.workers {
				worker.unadvised = true
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newFullHosts(t, 1, 0)
			withhold(sim)
			sim.submit("advised", "asked", servingWith(1, 6500))
			sim.runUntilTicketAsked()
			sim.run(8 * time.Second)
			for _, id := range []string{"target", "partner-1"} {
				for _, task := range sim.state.Job(id).Steps(0)[0].Tasks {
					if task.LastRun > 1 || task.IsWaiting() {
						t.Errorf("%s was moved", task.Key())
					}
				}
			}
		})
	}
}

// A target for which the service issues no ticket must not keep other hosts from being asked about, nor delay that by a second each.
func TestRelocationAfterRefusedTicket(t *testing.T) {
	sim := newFullHosts(t, 3, 0)
	sim.workers[1].unadvised = true // the service issues none for the second one either
	sim.submit("advised", "asked", servingWith(1, 6500))
	sim.runUntilTicketAsked()
	sim.run(1500 * time.Millisecond)
	if sim.state.Job("asked").LiveRuns() == 0 {
		t.Error("a lasting task of an advised queue waits beside room in pieces")
	}
}

// A ticket that expires while tasks move must be renewed meanwhile: the room would stand idle while the service is asked.
func TestTicketExpiresDuringRelocation(t *testing.T) {
	sim := newFullHosts(t, 1, 0)
	sim.submit("advised", "asked", servingWith(1, 6500))
	sim.workers[1].stopTime, sim.workers[2].stopTime = 2900*time.Millisecond, 2900*time.Millisecond
	move := sim.runUntilRelocation()
	for range int(relocationTimeout / (10 * time.Millisecond)) {
		if len(move.destinations) == 1 {
			break // all but the waiting task are assigned
		}
		sim.run(10 * time.Millisecond)
	}
	sim.run(50 * time.Millisecond)
	if sim.state.Job("asked").LiveRuns() == 0 {
		t.Error("the task doesn't get the room that was made for it")
	}
}

// A ticket that arrives after the round in which it was asked for must not be lost: it would have expired by the next round, in which the
// same might happen again.
func TestTicketArrivesAfterRound(t *testing.T) {
	sim := newFullHosts(t, 1, 0)
	sim.submit("advised", "asked", servingWith(1, 6500))
	sim.runUntilTicketAsked()
	sim.dispatcher.relocations.roundBegan = sim.now.Add(-relocationRound + 10*time.Millisecond) // for another step
	sim.run(2 * time.Second)
	if sim.state.Job("asked").LiveRuns() == 0 {
		t.Error("no task was moved although the ticket is there")
	}
}
