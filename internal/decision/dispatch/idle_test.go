package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/decision/workload"
	"galenamoor/pkg/resource"
)

// A piece in which a task has run a moment ago must not count as idle, and an unused one must do so after two windows.
func TestIdleProcessors(t *testing.T) {
	type event struct {
		at       time.Duration
		free     int64
		assigned bool // free is what an assignment leaves; otherwise a pass begins
	}
	for name, test := range map[string]struct {
		events []event
		want   int64
	}{
		"new worker":                     {[]event{{0, 4000, false}}, 0},
		"new worker, one window":         {[]event{{0, 4000, false}, {idleWindow, 4000, false}}, 4000},
		"used in the window":             {[]event{{0, 4000, false}, {idleWindow, 4000, false}, {3 * idleWindow / 2, 1000, true}}, 1000},
		"used and free again":            {[]event{{0, 4000, false}, {idleWindow, 4000, false}, {3 * idleWindow / 2, 1000, true}, {8 * idleWindow / 5, 4000, false}}, 1000},
		"used in the previous window":    {[]event{{0, 4000, false}, {idleWindow, 4000, false}, {3 * idleWindow / 2, 1000, true}, {2 * idleWindow, 4000, false}, {5 * idleWindow / 2, 4000, false}}, 1000},
		"unused for two windows":         {[]event{{0, 4000, false}, {idleWindow / 2, 1000, true}, {idleWindow, 4000, false}, {2 * idleWindow, 4000, false}}, 4000},
		"used when a window begins":      {[]event{{0, 4000, false}, {idleWindow, 4000, false}, {2 * idleWindow, 1000, false}, {5 * idleWindow / 2, 4000, false}}, 1000},
		"used more than is free at last": {[]event{{0, 4000, false}, {idleWindow, 4000, false}, {2 * idleWindow, 4000, false}, {9 * idleWindow / 4, 500, false}}, 500},
		"more than is free now":          {[]event{{0, 9000, false}, {idleWindow, 9000, false}, {2 * idleWindow, 9000, false}}, 6000},
	} {
		t.Run(name, func(t *testing.T) {
			start, idle := time.Unix(1_000_000, 0), idleProcessors{}
			for _, e := range test.events {
				if e.assigned {
					idle.observe(e.free)
				} else {
					idle.advance(start.Add(e.at), e.free)
				}
			}
			free := resource.Vector{Processors: 6000, Memory: 7000}
			if got := idle.atMost(free); got.Processors != test.want || got.Memory != free.Memory {
				t.Errorf("%v is idle of %v, expected %d milli-cores", got, free, test.want)
			}
		})
	}
}

// A relocation must not take the piece in which finite tasks take turns, even if it is free when the search looks at it.
func TestRelocationsLeaveUsedPieces(t *testing.T) {
	sim := newFullHosts(t, 1, 0)
	target := sim.dispatcher.orderedWorkers[1] // on which alone a finite task fits
	passesWithRoom, submitted := 0, 0
	takeTurns := func() {
		submitted++
		sim.request(submission("urgent", fmt.Sprintf("finite-%d", submitted), dedicated(1, 250*time.Millisecond)))
		for range 50 {
			before := sim.dispatcher.nextPass
			sim.run(10 * time.Millisecond)
			if sim.dispatcher.nextPass != before && target.incarnation.GetProcessors()-target.used.Processors >= 4000 {
				passesWithRoom++
			}
		}
	}
	sim.workers[0].up = false
	for range 40 {
		if sim.waitingLasting() > 0 {
			break
		}
		takeTurns()
	}
	passesWithRoom = 0
	for range 16 {
		takeTurns()
		if len(sim.dispatcher.relocations.active) > 0 {
			t.Fatal("tasks are moved to a piece in which finite tasks take turns")
		}
	}
	if passesWithRoom < 16 {
		t.Fatalf("the piece is free in %d passes", passesWithRoom)
	}
	sim.runUntilRelocation()
	sim.run(2 * time.Second)
	if waiting := sim.waitingLasting(); waiting > 0 {
		t.Errorf("%d lasting tasks wait beside an idle piece", waiting)
	}
}

// A task that starts and ends between two passes must count as a use of the piece.
func TestShortTaskUsesPiece(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	d, w := sim.dispatcher, sim.dispatcher.orderedWorkers[0]
	step := &workload.Step{WorkStep: dedicated(1, time.Millisecond), Job: &workload.Job{}}
	free := w.incarnation.Capacity()
	if idle := w.idle.atMost(free); idle != free {
		t.Fatalf("%v of %v is idle on an unused worker", idle, free)
	}
	d.charge(w, step, 1)
	d.charge(w, step, -1)
	if idle := w.idle.atMost(free).Processors; idle != free.Processors-step.GetProcessors() {
		t.Errorf("%d of %d milli-cores are idle after a task of %d", idle, free.Processors, step.GetProcessors())
	}
}
