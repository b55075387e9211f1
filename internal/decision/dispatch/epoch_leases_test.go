package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// newEpochSimulation returns a simulation whose only worker runs a task and has just been lost, with a lease that isn't recorded as
// withheld. The epoch began long ago.
func newEpochSimulation(t *testing.T) *simulation {
	sim := newSimulationWithWorkers(t, 1, 1)
	sim.dispatcher.config.Limits.MaxLease = 10 * time.Second
	sim.submit("urgent", "a", serving(1, "image"))
	sim.run(20 * time.Second)
	sim.crashWorkers(1)
	return sim
}

// inheritedLease changes the leader, and returns how long the lease of the worker lasts by the next one, from its start.
func (sim *simulation) inheritedLease() time.Duration {
	sim.changeLeader()
	start := sim.now
	sim.run(100 * time.Millisecond)
	return sim.dispatcher.workers[1].leaseExpires.Sub(start)
}

// applyEpoch applies the start of an epoch by another leader.
func (sim *simulation) applyEpoch(epoch *controlpb.BeginEpoch) {
	sim.state.Apply(sim.now, &controlpb.WorkBatch{Changes: []*controlpb.WorkChange{{Kind: &controlpb.WorkChange_BeginEpoch{BeginEpoch: epoch}}}})
	sim.standby.Applied(sim.now, nil)
	sim.dispatcher.Applied(sim.now, nil)
}

// A leader must count leases that a leader of an earlier version has granted as the longest ones: their duration isn't recorded.
func TestLeaseOfUnknownDuration(t *testing.T) {
	sim := newEpochSimulation(t)
	sim.applyEpoch(&controlpb.BeginEpoch{})
	if lease, longest := sim.inheritedLease(), sim.dispatcher.longestLease(); lease < longest {
		t.Errorf("the lease is counted for %v, expected %v", lease, longest)
	}
}

// A leader must also await longer leases of epochs before the last one, whatever the last leader has granted.
func TestLongerLeaseOfEarlierEpoch(t *testing.T) {
	const passed = 300 * time.Millisecond
	for name, restart := range map[string]bool{"same replica": false, "restarted replica": true} {
		t.Run(name, func(t *testing.T) {
			sim := newEpochSimulation(t)
			sim.applyEpoch(&controlpb.BeginEpoch{})
			sim.changeLeader()
			began := sim.now
			sim.run(passed)
			if restart {
				sim.standby = New(sim.dispatcher.config)
				if err := sim.state.Restore(sim.state.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			sim.changeLeader()
			sim.run(50 * time.Millisecond)
			counted := sim.dispatcher.inheritedLeasesExpire.Sub(began)
			if longest := sim.dispatcher.longestLease(); counted < longest || counted > longest+passed+50*time.Millisecond {
				t.Errorf("earlier leases are counted until %v after the start of the last leader, expected %v", counted, longest)
			}
		})
	}
}

// The next leader must count the longest lease for a worker under an earlier ID: calls for the earlier incarnation may have granted it
// a lease by another clock.
func TestInheritedLeaseOfReusedID(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	sim.dispatcher.config.Limits.MaxLease = 10 * time.Second
	sim.run(time.Second)
	worker := sim.workers[0]
	worker.startIncarnation(worker.incarnation)
	sim.run(3 * time.Second)
	number := sim.state.WorkerByID(worker.incarnation.GetId()).GetNumber()
	sim.crashWorkers(1)
	sim.changeLeader()
	start := sim.now
	sim.run(100 * time.Millisecond)
	if number < 2 {
		t.Fatal("the later incarnation isn't known")
	}
	if lease, longest := sim.dispatcher.workers[number].leaseExpires.Sub(start), sim.dispatcher.longestLease(); lease < longest {
		t.Errorf("the lease is counted for %v, expected %v", lease, longest)
	}
}

// A lease must not last longer because the reading of the worker's clock is old: the next leader doesn't know that reading.
func TestLeaseByOldClockReading(t *testing.T) {
	for _, age := range []time.Duration{-time.Second, 0, time.Second, 20 * time.Second} {
		for _, rate := range []float64{1 - maxClockDrift, 1} {
			sim := newSimulationWithWorkers(t, 1, 1)
			sim.run(time.Second)
			w := sim.dispatcher.workers[1]
			w.clockReadAt, w.workerClock = sim.now.Add(-age), time.Hour
			sim.dispatcher.now = sim.now
			clock := w.workerClock + time.Duration(float64(age)*rate)
			if lease := sim.dispatcher.extendLease(w) - clock; lease > sim.dispatcher.grantedLease() {
				t.Errorf("reading %v old, clock rate %v: the lease lasts %v by the worker's clock", age, rate, lease)
			}
		}
	}
}
