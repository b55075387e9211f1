package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// Relocations one after the other left room free somewhere all the time, which a waiting task counts as room that it doesn't get.
func TestRelocationsBeginInRounds(t *testing.T) {
	const pairs = 4
	sim := newFullHosts(t, pairs, 0)
	sim.interrupt()
	seen := map[*relocation]bool{}
	var rounds []time.Time
	for end := sim.now.Add(20 * time.Second); sim.waitingLasting() > 0 && sim.now.Before(end); sim.run(10 * time.Millisecond) {
		for _, move := range sim.dispatcher.relocations.active {
			if seen[move] || move.isReturning {
				continue
			}
			seen[move] = true
			if len(rounds) == 0 {
				rounds = append(rounds, move.since)
				continue
			}
			switch sinceRound := move.since.Sub(rounds[len(rounds)-1]); {
			case sinceRound >= 4*time.Second:
				rounds = append(rounds, move.since)
			case sinceRound >= 200*time.Millisecond:
				t.Errorf("a relocation begins %v after a round", sinceRound)
			}
		}
	}
	t.Logf("%d relocations in %d rounds", len(seen), len(rounds))
	if len(rounds) < 2 {
		t.Errorf("%d rounds, expected several", len(rounds))
	}
	if waiting := sim.waitingLasting(); waiting > 0 {
		t.Errorf("%d lasting tasks still wait", waiting)
	}
}

// While lasting tasks end by themselves and give room, none may be moved at once, but ends that give none mustn't prevent it.
func TestRelocationsAwaitEndsOfLastingTasks(t *testing.T) {
	const jobs = 24
	sim := newFullHosts(t, 1, 0)
	extra := sim.addWorker("zone-0", "r-0")
	extra.incarnation.Processors, extra.incarnation.Memory = 3000, 2*extra.incarnation.GetMemory()
	extra.incarnation.Labels = append(extra.incarnation.Labels, "extra")
	sim.run(2 * time.Second)
	for i := range jobs {
		sim.submit("urgent", fmt.Sprintf("extra-%d", i), labelled(servingWith(1, 125), "extra"))
	}
	sim.run(time.Second)
	if runs := len(extra.runs); runs != jobs {
		t.Fatalf("%d of %d tasks run that are to end", runs, jobs)
	}
	sim.interrupt()
	began := sim.now
	for i := range jobs {
		sim.cancel(fmt.Sprintf("extra-%d", i))
		for range 50 {
			if sim.run(10 * time.Millisecond); len(sim.dispatcher.relocations.active) == 0 {
				continue
			}
			waited, expected := sim.now.Sub(began), relocationDelay+maxRoundDelay
			if waited < expected || waited > expected+2*passInterval {
				t.Errorf("tasks are moved after %v with ends half a second apart, expected %v", waited, expected)
			}
			return
		}
	}
	t.Errorf("no tasks are moved for %v", sim.now.Sub(began))
}

// Once lasting tasks have stopped ending, a relocation that was put off begins soon.
func TestRelocationsFollowLastEnd(t *testing.T) {
	sim := newFullHosts(t, 1, 0)
	sim.interrupt()
	sim.run(relocationDelay - 100*time.Millisecond)
	sim.dispatcher.relocations.roomAt = sim.now
	last := sim.now
	waited := sim.runUntilRelocation().since.Sub(last)
	if waited < roomDelay || waited > roomDelay+2*passInterval {
		t.Errorf("tasks are moved %v after the last end, expected %v", waited, roomDelay)
	}
}
