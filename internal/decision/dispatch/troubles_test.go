package dispatch

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

var troubleSeeds = flag.Uint64("trouble-seeds", 40, "sessions of TestTroubles")

// changeLeader has another leader take over with the replicated state alone. Changes that aren't committed are lost;
// orders of the old leader may still arrive.
func (w *world) changeLeader() {
	old := w.dispatcher
	for _, command := range old.flush() {
		old.Decided(w.now, command, nil)
	}
	old.Stop()
	w.events = keepWorkers(w.events)
	w.mailbox = nil
	w.dispatcher = New(old.config)
	w.dispatcher.Lead(w.now)
}

// keepWorkers drops commits of the old leader; they are told apart by having no life of their own in the world.
func keepWorkers(events []event) []event {
	var kept []event
	for _, e := range events {
		if !e.commit {
			kept = append(kept, e)
		}
	}
	return kept
}

// Series of troubles that overlap: the promises that checkStart checks must hold, and all jobs must end.
func TestTroubles(t *testing.T) {
	for seed := range *troubleSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			runTroubles(t, seed)
		})
	}
}

func runTroubles(t *testing.T, seed uint64) {
	w := newFleet(t, seed, 8)
	jobs := 0
	for range 60 {
		if w.random.IntN(2) == 0 {
			w.trouble()
		}
		steps := []*controlpb.WorkStep{exact(uint32(1+w.random.IntN(6)), 800*time.Millisecond)}
		if w.random.IntN(2) == 0 {
			after := fill(uint32(1+w.random.IntN(8)), fmt.Sprintf("fill-%d", w.random.IntN(4)), 2*time.Second)
			after.After = []uint32{0}
			steps = append(steps, after)
		}
		if w.random.IntN(6) == 0 {
			steps[0].Gang = true
		}
		w.submit([]string{"urgent", "batch"}[w.random.IntN(2)], fmt.Sprintf("job-%d", jobs), steps...)
		jobs++
		w.run(time.Duration(w.random.IntN(700)) * time.Millisecond)
	}
	w.calm()
	w.run(40 * time.Second)
	for i := range jobs {
		id := fmt.Sprintf("job-%d", i)
		if w.state.Job(id) != nil {
			t.Errorf("job %s is %v long after the troubles", id, w.stateOf(id))
		}
	}
}

// trouble begins or ends one trouble.
func (w *world) trouble() {
	worker := w.workers[w.random.IntN(len(w.workers))]
	switch w.random.IntN(9) {
	case 0:
		worker.up = !worker.up
		if worker.up {
			worker.begin(worker.life)
		}
	case 1:
		worker.begin(worker.life) // it crashes and is back at once, under the same ID
	case 2:
		worker.cut = !worker.cut
	case 3:
		w.lose, w.late = 0.1*w.random.Float64(), 0
	case 4:
		w.changeLeader()
	case 5:
		zone := fmt.Sprintf("zone-%d", w.random.IntN(2))
		w.setZone(zone, true)
		w.after(3*time.Second, func() {
			w.dispatcher.Serve(w.now, &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: zoneRequest(zone, false)}})
		})
	case 6:
		worker.standing = !worker.standing
	case 7:
		worker.slow = 6 - worker.slow
	case 8:
		worker.refuses = !worker.refuses
	}
}

// calm ends all troubles.
func (w *world) calm() {
	w.lose = 0
	for _, worker := range w.workers {
		worker.cut, worker.standing, worker.refuses, worker.slow = false, false, false, 0
		if !worker.up {
			worker.begin(worker.life)
		}
	}
	w.run(100 * time.Millisecond)
	for _, zone := range []string{"zone-0", "zone-1"} {
		w.setZone(zone, false)
	}
}

func zoneRequest(zone string, out bool) *controlpb.WorkRequest {
	return &controlpb.WorkRequest{Kind: &controlpb.WorkRequest_SetZoneOut{SetZoneOut: &controlpb.SetZoneOut{Zone: zone, Out: out}}}
}

func (w *world) setZone(zone string, out bool) {
	w.run(50 * time.Millisecond)
	w.ask(zoneRequest(zone, out))
}
