package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
)

// maintenanceTime is how long the maintenance of a simulated host takes.
const maintenanceTime = 2 * time.Second

// hostService simulates the platform's host service: it lists hosts and begins their maintenance on order.
type hostService struct {
	simulation     *simulation
	maxUnavailable int
	unavailable    map[string]bool
	begun          []string
	fences         map[string]uint64
	unreadable     string  // host whose entry in the list can't be read
	orders         int     // orders received
	removed        string  // host that is listed, but gone when its maintenance is ordered
	delayedRate    float64 // share of orders that get no answer and are carried out seconds later
}

func newHostService(sim *simulation, maxUnavailable int) *hostService {
	sim.hosts = &hostService{simulation: sim, maxUnavailable: maxUnavailable, unavailable: map[string]bool{}, fences: map[string]uint64{}}
	return sim.hosts
}

// send carries out a call after a delay; an unanswered order is carried out later.
func (h *hostService) send(call *order.Call) {
	sim := h.simulation
	if call.Kind == order.Maintain {
		h.orders++
	}
	if call.Kind == order.Maintain && sim.random.Float64() < h.delayedRate {
		sim.after(2*time.Second+time.Duration(sim.random.Int64N(int64(4*time.Second))), func() { h.maintain(call) })
		sim.after(time.Second, func() { sim.answer(call, &order.Answer{}) })
		return
	}
	sim.after(5*time.Millisecond, func() {
		if call.Kind == order.ListHosts {
			sim.answer(call, h.list())
		} else {
			sim.answer(call, h.maintain(call))
		}
	})
}

func (h *hostService) list() *order.Answer {
	answer := &order.Answer{Status: order.OK, Hosts: map[string]order.HostState{}}
	for _, worker := range h.simulation.workers {
		state := order.HostUp
		if h.unavailable[worker.incarnation.GetHost()] {
			state = order.HostUnavailable
		}
		answer.Hosts[worker.incarnation.GetHost()] = state
	}
	if _, listed := answer.Hosts[h.unreadable]; listed {
		delete(answer.Hosts, h.unreadable)
		answer.HostsIncomplete = true
	}
	return answer
}

// maintain begins the maintenance of a host: its runs are lost immediately, and a new incarnation starts afterwards.
func (h *hostService) maintain(call *order.Call) *order.Answer {
	sim := h.simulation
	switch {
	case call.Host == h.removed:
		return &order.Answer{Status: order.Invalid}
	case call.Fence < h.fences[call.Host]:
		return &order.Answer{Status: order.Fenced}
	case slices.Contains(h.begun, call.Host):
		return &order.Answer{Status: order.OK}
	}
	h.fences[call.Host] = call.Fence
	worker := sim.workers[slices.IndexFunc(sim.workers, func(s *simWorker) bool { return s.incarnation.GetHost() == call.Host })]
	if len(worker.runs) > 0 {
		sim.t.Errorf("%v: the maintenance of %s begins while %d tasks run there", sim.now, call.Host, len(worker.runs))
	}
	h.begun = append(h.begun, call.Host)
	h.unavailable[call.Host] = true
	if len(h.unavailable) > h.maxUnavailable {
		sim.t.Errorf("%v: %d hosts are unavailable for maintenance, expected at most %d", sim.now, len(h.unavailable), h.maxUnavailable)
	}
	worker.up = false
	worker.clearRuns()
	sim.after(maintenanceTime, func() {
		delete(h.unavailable, call.Host)
		incarnation := worker.incarnation
		incarnation.Id += "-again"
		worker.startIncarnation(incarnation)
	})
	return &order.Answer{Status: order.OK}
}

// checkUnavailable checks the disruption budget of a serving step. The simulated workers don't fail, so every
// unavailable task has been stopped by the dispatcher.
func (sim *simulation) checkUnavailable(id string, maxUnavailable int) {
	sim.t.Helper()
	running := 0
	for _, worker := range sim.workers {
		for key := range worker.runs {
			if key.Task.Job == id {
				running++
			}
		}
	}
	if step := sim.state.Job(id).Steps(0)[0]; len(step.Tasks)-running > maxUnavailable {
		sim.t.Errorf("%v: %d of %d tasks of %s run, at most %d may be unavailable", sim.now, running, len(step.Tasks), id, maxUnavailable)
	}
}

func (sim *simulation) beginWave(wave uint64, mostAtOnce uint32, hosts ...string) {
	sim.serve(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_BeginMaintenance{BeginMaintenance: &controlpb.Maintenance{
		Wave: wave, Hosts: hosts, WithinMs: 60_000, MostAtOnce: mostAtOnce,
	}}})
}

func (sim *simulation) isCompleted(wave uint64) bool {
	return sim.serve(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_ReadMaintenance{
		ReadMaintenance: &controlpb.ReadMaintenance{Wave: wave},
	}}).GetWork().GetCompleted()
}

// A maintenance wave covers all hosts, which run serving and batch tasks, and the leader changes during it. At most two
// hosts may be down at the same time, no run may be lost, at most one task of the serving step may be unavailable, and the
// wave must be reported as completed exactly when it is.
func TestMaintenanceWave(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			sim := newSimulationWithWorkers(t, seed, 8)
			hosts := newHostService(sim, 2)
			hosts.delayedRate = 0.2
			limited := serving(6, "image")
			limited.MayMiss = 1
			sim.submit("urgent", "serving", limited)
			sim.run(3 * time.Second)
			var names []string
			for _, worker := range sim.workers {
				names = append(names, worker.incarnation.GetHost())
			}
			sim.beginWave(1, 2, append(names, "removed-host")...)
			change := sim.now.Add(time.Duration(sim.random.IntN(20)) * time.Second)
			for i := range 900 {
				if i%20 == 0 {
					sim.submit("batch", fmt.Sprintf("job-%d", i), bestEffort(4, "fill", time.Second))
				}
				if !change.IsZero() && sim.now.After(change) {
					sim.changeLeader()
					sim.run(50 * time.Millisecond)
					change = time.Time{}
				}
				sim.run(100 * time.Millisecond)
				sim.checkUnavailable("serving", 1)
				if sim.isCompleted(1) {
					break
				}
				if len(hosts.begun) == len(names) && i > 850 {
					t.Errorf("%d of %d hosts were maintained, and the wave isn't completed", len(hosts.begun), len(names))
				}
			}
			if !sim.isCompleted(1) || len(hosts.begun) != len(names) {
				t.Errorf("completed %v; %d of %d hosts were maintained", sim.isCompleted(1), len(hosts.begun), len(names))
			}
			sim.run(maintenanceTime + 10*time.Second)
			for _, worker := range sim.dispatcher.orderedWorkers {
				if !worker.ending && !sim.dispatcher.isUsable(worker) {
					t.Errorf("%s is not used again after the wave", worker.incarnation.GetHost())
				}
			}
		})
	}
}

// A host is removed after its maintenance was ordered, so that the platform doesn't know it any more. The wave must go on.
func TestOrderedHostIsRemoved(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 3)
	hosts := newHostService(sim, 1)
	hosts.removed = "host-1"
	sim.beginWave(1, 1, "host-1", "host-2", "host-3")
	sim.run(20 * time.Second)
	if !sim.isCompleted(1) || len(hosts.begun) != 2 {
		t.Errorf("completed %v; %d of 2 hosts were maintained", sim.isCompleted(1), len(hosts.begun))
	}
}

// A leader's order gets no answer and is carried out late, after the leader has changed. Its successor mustn't take down another
// host of the wave meanwhile, also if that one is easier to drain.
func TestLateMaintenanceOrderOfEarlierLeader(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			sim := newSimulationWithWorkers(t, seed, 4)
			hosts := newHostService(sim, 1)
			hosts.delayedRate = 1
			sim.beginWave(1, 1, "host-1", "host-2", "host-3", "host-4")
			for hosts.orders == 0 {
				sim.run(10 * time.Millisecond)
			}
			hosts.delayedRate = 0
			sim.changeLeader()
			sim.run(50 * time.Millisecond)
			loaded := serving(1, "image")
			loaded.RequiredLabel = sim.workers[0].incarnation.GetLabels()[1]
			sim.submit("urgent", "serving", loaded)
			for range 40 {
				sim.run(time.Second)
			}
			if !sim.isCompleted(1) || len(hosts.begun) != 4 {
				t.Errorf("completed %v; %d of 4 hosts were maintained", sim.isCompleted(1), len(hosts.begun))
			}
		})
	}
}

// A host whose entry in the list can't be read must not be recorded as maintained, and the maintenance of the others must go
// on.
func TestUnreadableHost(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	hosts := newHostService(sim, 2)
	hosts.unreadable = "host-1"
	sim.beginWave(1, 2, "host-1", "host-2")
	sim.run(10 * time.Second)
	if sim.isCompleted(1) || !slices.Equal(hosts.begun, []string{"host-2"}) {
		t.Errorf("maintained %v, completed %v; expected host-2 only", hosts.begun, sim.isCompleted(1))
	}
	hosts.unreadable = ""
	sim.run(10 * time.Second)
	if !sim.isCompleted(1) || len(hosts.begun) != 2 {
		t.Errorf("maintained %v, completed %v; expected both hosts", hosts.begun, sim.isCompleted(1))
	}
}
