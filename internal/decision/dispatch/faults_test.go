package dispatch

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

var faultSeeds = flag.Uint64("trouble-seeds", 40, "number of seeds of TestFaults")

// changeLeader replaces the leader by one that has only the replicated state. Uncommitted changes are lost; orders of
// the old leader may still arrive.
func (w *simulation) changeLeader() {
	old := w.dispatcher
	for _, command := range old.flush() {
		old.HandleResult(w.now, command, nil)
	}
	old.StopLeading()
	w.events = dropCommits(w.events)
	w.mailbox = nil
	w.dispatcher = New(old.config)
	w.dispatcher.StartLeading(w.now)
}

// dropCommits drops the pending commits of the old leader.
func dropCommits(events []event) []event {
	var kept []event
	for _, e := range events {
		if !e.commit {
			kept = append(kept, e)
		}
	}
	return kept
}

// Overlapping faults: no start may violate the invariants of checkStart, and all jobs must end.
func TestFaults(t *testing.T) {
	for seed := range *faultSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			runFaultSequence(t, seed)
		})
	}
}

func runFaultSequence(t *testing.T, seed uint64) {
	w := newFleet(t, seed, 8)
	jobs := 0
	for range 60 {
		if w.random.IntN(2) == 0 {
			w.injectFault()
		}
		steps := []*controlpb.WorkStep{dedicated(uint32(1+w.random.IntN(6)), 800*time.Millisecond)}
		if w.random.IntN(2) == 0 {
			after := bestEffort(uint32(1+w.random.IntN(8)), fmt.Sprintf("fill-%d", w.random.IntN(4)), 2*time.Second)
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
	w.clearFaults()
	w.run(40 * time.Second)
	for i := range jobs {
		id := fmt.Sprintf("job-%d", i)
		if w.state.Job(id) != nil {
			t.Errorf("job %s is %v long after the faults", id, w.stateOf(id))
		}
	}
}

// injectFault starts or ends a random fault.
func (w *simulation) injectFault() {
	worker := w.workers[w.random.IntN(len(w.workers))]
	switch w.random.IntN(9) {
	case 0:
		worker.up = !worker.up
		if worker.up {
			worker.begin(worker.incarnation)
		}
	case 1:
		worker.begin(worker.incarnation) // it crashes and restarts at once under the same ID
	case 2:
		worker.answersLost = !worker.answersLost
	case 3:
		w.lossRate, w.delayedRate = 0.1*w.random.Float64(), 0
	case 4:
		w.changeLeader()
	case 5:
		zone := fmt.Sprintf("zone-%d", w.random.IntN(2))
		w.setZone(zone, true)
		w.after(3*time.Second, func() {
			w.dispatcher.Serve(w.now, &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: zoneRequest(zone, false)}})
		})
	case 6:
		worker.stalled = !worker.stalled
	case 7:
		worker.slowdown = 6 - worker.slowdown
	case 8:
		worker.refusesStarts = !worker.refusesStarts
	}
}

// clearFaults ends all faults.
func (w *simulation) clearFaults() {
	w.lossRate = 0
	for _, worker := range w.workers {
		worker.answersLost, worker.stalled, worker.refusesStarts, worker.slowdown = false, false, false, 0
		if !worker.up {
			worker.begin(worker.incarnation)
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

func (w *simulation) setZone(zone string, out bool) {
	w.run(50 * time.Millisecond)
	w.ask(zoneRequest(zone, out))
}
