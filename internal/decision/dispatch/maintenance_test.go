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
	simulation  *simulation
	maxAway     int
	away        map[string]bool
	begun       []string
	fences      map[string]uint64
	delayedRate float64 // share of orders that get no answer and are carried out seconds later
}

func newHostService(w *simulation, maxAway int) *hostService {
	w.hosts = &hostService{simulation: w, maxAway: maxAway, away: map[string]bool{}, fences: map[string]uint64{}}
	return w.hosts
}

func (h *hostService) send(call *order.Call) {
	w := h.simulation
	if call.Kind == order.Maintain && w.random.Float64() < h.delayedRate {
		w.after(2*time.Second+time.Duration(w.random.Int64N(int64(4*time.Second))), func() { h.maintain(call) })
		w.after(time.Second, func() { w.answer(call, &order.Answer{}) })
		return
	}
	w.after(5*time.Millisecond, func() {
		if call.Kind == order.ListHosts {
			w.answer(call, h.list())
		} else {
			w.answer(call, h.maintain(call))
		}
	})
}

func (h *hostService) list() *order.Answer {
	answer := &order.Answer{Status: order.OK, Hosts: map[string]order.HostState{}}
	for _, worker := range h.simulation.workers {
		state := order.HostUp
		if h.away[worker.incarnation.GetHost()] {
			state = order.HostUnavailable
		}
		answer.Hosts[worker.incarnation.GetHost()] = state
	}
	return answer
}

// maintain begins the maintenance of a host: its runs are lost at once, and a new incarnation starts afterwards.
func (h *hostService) maintain(call *order.Call) *order.Answer {
	w := h.simulation
	switch {
	case call.Fence < h.fences[call.Host]:
		return &order.Answer{Status: order.Fenced}
	case slices.Contains(h.begun, call.Host):
		return &order.Answer{Status: order.OK}
	}
	h.fences[call.Host] = call.Fence
	worker := w.workers[slices.IndexFunc(w.workers, func(s *simWorker) bool { return s.incarnation.GetHost() == call.Host })]
	if len(worker.runs) > 0 {
		w.t.Errorf("%v: the maintenance of %s begins while %d tasks run there", w.now, call.Host, len(worker.runs))
	}
	h.begun = append(h.begun, call.Host)
	h.away[call.Host] = true
	if len(h.away) > h.maxAway {
		w.t.Errorf("%v: %d hosts are away for maintenance, at most %d may be", w.now, len(h.away), h.maxAway)
	}
	worker.up, worker.runs = false, nil
	w.after(maintenanceTime, func() {
		delete(h.away, call.Host)
		incarnation := worker.incarnation
		incarnation.Id += "-again"
		worker.begin(incarnation)
	})
	return &order.Answer{Status: order.OK}
}

// checkUnavailable checks the disruption budget of a serving step. The simulated workers don't fail, so every
// unavailable task has been stopped by the dispatcher.
func (w *simulation) checkUnavailable(id string, maxUnavailable int) {
	w.t.Helper()
	running := 0
	for _, worker := range w.workers {
		for key := range worker.runs {
			if key.Task.Job == id {
				running++
			}
		}
	}
	if step := w.state.Job(id).Occurrences[0][0]; len(step.Tasks)-running > maxUnavailable {
		w.t.Errorf("%v: %d of %d tasks of %s serve, at most %d may be away", w.now, running, len(step.Tasks), id, maxUnavailable)
	}
}

func (w *simulation) beginWave(wave uint64, mostAtOnce uint32, hosts ...string) {
	w.ask(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_BeginMaintenance{BeginMaintenance: &controlpb.Maintenance{
		Wave: wave, Hosts: hosts, WithinMs: 60_000, MostAtOnce: mostAtOnce,
	}}})
}

func (w *simulation) isCompleted(wave uint64) bool {
	return w.ask(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_ReadMaintenance{
		ReadMaintenance: &controlpb.ReadMaintenance{Wave: wave},
	}}).GetWork().GetCompleted()
}

// A maintenance wave over all hosts, with serving and batch tasks and a change of leader: at most two hosts may be down
// at once, no run may be lost, at most one task of the serving step may be unavailable, and the wave must be reported
// completed once it is, and not before.
func TestMaintenanceWave(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			w := newFleet(t, seed, 8)
			hosts := newHostService(w, 2)
			hosts.delayedRate = 0.2
			limited := serving(6, "image")
			limited.MayMiss = 1
			w.submit("urgent", "serving", limited)
			w.run(3 * time.Second)
			var names []string
			for _, worker := range w.workers {
				names = append(names, worker.incarnation.GetHost())
			}
			w.beginWave(1, 2, append(names, "gone-long-ago")...)
			change := w.now.Add(time.Duration(w.random.IntN(20)) * time.Second)
			for i := range 900 {
				if i%20 == 0 {
					w.submit("batch", fmt.Sprintf("job-%d", i), bestEffort(4, "fill", time.Second))
				}
				if !change.IsZero() && w.now.After(change) {
					w.changeLeader()
					w.run(50 * time.Millisecond)
					change = time.Time{}
				}
				w.run(100 * time.Millisecond)
				w.checkUnavailable("serving", 1)
				if w.isCompleted(1) {
					break
				}
				if len(hosts.begun) == len(names) && i > 850 {
					t.Errorf("%d of %d hosts were maintained, and the wave isn't completed", len(hosts.begun), len(names))
				}
			}
			if !w.isCompleted(1) || len(hosts.begun) != len(names) {
				t.Errorf("completed %v; %d of %d hosts were maintained", w.isCompleted(1), len(hosts.begun), len(names))
			}
			w.run(maintenanceTime + 10*time.Second)
			for _, worker := range w.dispatcher.orderedWorkers {
				if !worker.ending && !w.dispatcher.isUsable(worker) {
					t.Errorf("%s is not used again after the wave", worker.incarnation.GetHost())
				}
			}
		})
	}
}
