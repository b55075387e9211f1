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
func (sim *simulation) changeLeader() {
	old := sim.dispatcher
	for _, command := range old.flush() {
		old.HandleResult(sim.now, command, nil)
	}
	old.StopLeading()
	sim.events = dropCommits(sim.events)
	sim.mailbox = nil
	sim.dispatcher = New(old.config)
	sim.dispatcher.StartLeading(sim.now)
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

// Under overlapping faults no start may violate the invariants of checkStart, and all jobs must end.
func TestFaults(t *testing.T) {
	for seed := range *faultSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			runFaultSequence(t, seed)
		})
	}
}

func runFaultSequence(t *testing.T, seed uint64) {
	sim := newSimulationWithWorkers(t, seed, 8)
	jobs := 0
	for range 60 {
		if sim.random.IntN(2) == 0 {
			sim.injectFault()
		}
		steps := []*controlpb.WorkStep{dedicated(uint32(1+sim.random.IntN(6)), 800*time.Millisecond)}
		if sim.random.IntN(2) == 0 {
			after := bestEffort(uint32(1+sim.random.IntN(8)), fmt.Sprintf("fill-%d", sim.random.IntN(4)), 2*time.Second)
			after.After = []uint32{0}
			steps = append(steps, after)
		}
		if sim.random.IntN(6) == 0 {
			steps[0].Gang = true
		}
		sim.submit([]string{"urgent", "batch"}[sim.random.IntN(2)], fmt.Sprintf("job-%d", jobs), steps...)
		jobs++
		sim.run(time.Duration(sim.random.IntN(700)) * time.Millisecond)
	}
	sim.clearFaults()
	sim.run(40 * time.Second)
	for i := range jobs {
		id := fmt.Sprintf("job-%d", i)
		if sim.state.Job(id) != nil {
			t.Errorf("job %s is %v long after the faults", id, sim.stateOf(id))
		}
	}
}

// injectFault starts a random fault, or ends it if it is in progress.
func (sim *simulation) injectFault() {
	worker := sim.workers[sim.random.IntN(len(sim.workers))]
	switch sim.random.IntN(9) {
	case 0:
		worker.up = !worker.up
		if worker.up {
			worker.startIncarnation(worker.incarnation)
		}
	case 1:
		worker.startIncarnation(worker.incarnation) // it crashes and restarts immediately under the same ID
	case 2:
		worker.answersLost = !worker.answersLost
	case 3:
		sim.lossRate, sim.delayedRate = 0.1*sim.random.Float64(), 0
	case 4:
		sim.changeLeader()
	case 5:
		zone := fmt.Sprintf("zone-%d", sim.random.IntN(2))
		sim.setZone(zone, true)
		sim.after(3*time.Second, func() {
			sim.dispatcher.Serve(sim.now, &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: zoneRequest(zone, false)}})
		})
	case 6:
		worker.stalled = !worker.stalled
	case 7:
		worker.slowdown = 6 - worker.slowdown
	case 8:
		worker.rejectsStarts = !worker.rejectsStarts
	}
}

// clearFaults ends all faults.
func (sim *simulation) clearFaults() {
	sim.lossRate = 0
	for _, worker := range sim.workers {
		worker.answersLost, worker.stalled, worker.rejectsStarts, worker.slowdown = false, false, false, 0
		if !worker.up {
			worker.startIncarnation(worker.incarnation)
		}
	}
	sim.run(100 * time.Millisecond)
	for _, zone := range []string{"zone-0", "zone-1"} {
		sim.setZone(zone, false)
	}
}

func zoneRequest(zone string, out bool) *controlpb.WorkRequest {
	return &controlpb.WorkRequest{Kind: &controlpb.WorkRequest_SetZoneOut{SetZoneOut: &controlpb.SetZoneOut{Zone: zone, Out: out}}}
}

func (sim *simulation) setZone(zone string, out bool) {
	sim.run(50 * time.Millisecond)
	sim.serve(zoneRequest(zone, out))
}
