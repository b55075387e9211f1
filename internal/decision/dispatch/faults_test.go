package dispatch

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

var (
	faultSeeds      = flag.Uint64("trouble-seeds", 40, "number of seeds of TestFaults")
	slowCommitSeeds = flag.Uint64("slow-commit-seeds", 12, "number of seeds of TestFaultsWithSlowCommits")
)

// changeLeader replaces the leader by the standby, which has only the replicated state. Uncommitted changes are lost; orders
// of the old leader may still arrive.
func (sim *simulation) changeLeader() {
	old := sim.dispatcher
	for _, command := range old.flush() {
		old.HandleResult(sim.now, command, nil)
	}
	old.StopLeading()
	old.TakeReplies(sim.now)
	sim.events, sim.lastCommit = dropCommits(sim.events), sim.now
	sim.mailbox = nil
	sim.dispatcher, sim.standby = sim.standby, old
	sim.dispatcher.config = old.config
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

// The same with slow commits, refused starts, leaving workers and more lost calls. Late orders and restarts are not combined:
// a worker that restarts may carry out a late order of its earlier incarnation, which nothing can prevent.
func TestFaultsWithSlowCommits(t *testing.T) {
	for name, lateOrders := range map[string]bool{"restarts": false, "late orders": true} {
		for seed := range *slowCommitSeeds {
			t.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(t *testing.T) {
				t.Parallel()
				sim := newSimulationWithWorkers(t, seed, 8)
				sim.maxDelay = 12 * time.Second
				if lateOrders {
					sim.delayedRate = 1
				}
				sim.runFaults(sim.injectFaultWithSlowCommits)
			})
		}
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

// runFaults submits jobs during random faults. All must end after the faults.
func (sim *simulation) runFaults(inject func()) {
	const jobs = 60
	for i := range jobs {
		if sim.random.IntN(2) == 0 {
			inject()
		}
		steps := []*controlpb.WorkStep{dedicated(uint32(1+sim.random.IntN(6)), 800*time.Millisecond)}
		if sim.random.IntN(2) == 0 {
			after := bestEffort(uint32(1+sim.random.IntN(8)), fmt.Sprintf("fill-%d", sim.random.IntN(4)), 2*time.Second)
			after.After = []uint32{0}
			steps = append(steps, after)
		}
		switch sim.random.IntN(6) {
		case 0:
			steps[0].Gang = true
		case 1:
			steps[0].Speculative = true
		}
		sim.request(submission([]string{"urgent", "batch"}[sim.random.IntN(2)], fmt.Sprintf("job-%d", i), steps...))
		sim.run(time.Duration(sim.random.IntN(700)) * time.Millisecond)
	}
	sim.clearFaults()
	sim.run(60 * time.Second)
	for i := range jobs {
		id := fmt.Sprintf("job-%d", i)
		if sim.state.Job(id) != nil {
			sim.t.Errorf("job %s is %v long after the faults", id, sim.stateOf(id))
		}
	}
}

// request sends a request whose reply doesn't matter.
func (sim *simulation) request(work *controlpb.WorkRequest) {
	sim.dispatcher.Serve(sim.now, &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: work}})
}

// cancel requests that a job is cancelled, unless it has ended.
func (sim *simulation) cancel(id string) {
	if job := sim.state.Job(id); job != nil {
		work := cancellationOf(job.Spec.GetQueue(), id)
		work.GetCaller().KeyDigest = job.Spec.GetKeyDigest()
		sim.request(work)
	}
}

// injectFaultWithSlowCommits starts a random fault, or ends it if it is in progress. No worker restarts if orders are late.
func (sim *simulation) injectFaultWithSlowCommits() {
	worker := sim.workers[sim.random.IntN(len(sim.workers))]
	restarts := sim.delayedRate == 0
	switch sim.random.IntN(10) {
	case 0:
		if restarts && worker.up {
			worker.up = false
		} else if !worker.up {
			worker.startIncarnation(worker.incarnation)
		}
	case 1:
		if restarts {
			worker.startIncarnation(worker.incarnation)
		}
	case 2:
		worker.answersLost = !worker.answersLost
	case 3:
		sim.lossRate = 0.4 * sim.random.Float64()
	case 4:
		sim.changeLeader()
	case 5:
		zone := fmt.Sprintf("zone-%d", sim.random.IntN(2))
		sim.request(zoneRequest(zone, true))
		sim.after(3*time.Second, func() { sim.request(zoneRequest(zone, false)) })
	case 6:
		worker.stalled = !worker.stalled
	case 7:
		worker.rejectionRate = 0.5 * sim.random.Float64()
	case 8:
		sim.commitTime = defaultCommitTime + time.Duration(sim.random.Int64N(int64(400*time.Millisecond)))
	case 9:
		if restarts && worker.up && !worker.incarnation.GetLeaving() {
			worker.drainAndLeave()
		}
	}
}

// drainAndLeave makes a worker drain, leave, and end once that is acknowledged or 1.5 s later. It restarts under the same ID.
func (s *simWorker) drainAndLeave() {
	sim, began := s.simulation, s.began
	s.incarnation.Leaving, s.leavesIn = true, time.Second
	end := func() {
		if s.up && s.began.Equal(began) {
			s.up = false
			sim.after(time.Second, func() {
				if !s.up {
					s.startIncarnation(s.incarnation)
				}
			})
		}
	}
	sim.after(1500*time.Millisecond, func() {
		if s.up && s.began.Equal(began) {
			s.leave(func(*controlpb.LeaderReply) {
				if !s.answersLost {
					end()
				}
			})
		}
	})
	sim.after(3*time.Second, end)
}

// clearFaults ends all faults.
func (sim *simulation) clearFaults() {
	sim.lossRate, sim.commitTime = 0, defaultCommitTime
	for _, worker := range sim.workers {
		worker.answersLost, worker.stalled, worker.rejectsStarts, worker.slowdown, worker.rejectionRate = false, false, false, 0, 0
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
