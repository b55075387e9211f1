package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
)

// maintenanceTime is how long a host of the world is maintained.
const maintenanceTime = 2 * time.Second

// maintainedHosts is the platform's service for hosts: it lists them, and begins their maintenance when it is ordered.
type maintainedHosts struct {
	world  *world
	most   int
	away   map[string]bool
	begun  []string
	fences map[string]uint64
	late   float64 // share of orders that get no answer and are carried out seconds later
}

func newHosts(w *world, most int) *maintainedHosts {
	w.hosts = &maintainedHosts{world: w, most: most, away: map[string]bool{}, fences: map[string]uint64{}}
	return w.hosts
}

func (h *maintainedHosts) send(call *order.Call) {
	w := h.world
	if call.Kind == order.Maintain && w.random.Float64() < h.late {
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

func (h *maintainedHosts) list() *order.Answer {
	answer := &order.Answer{Status: order.OK, Hosts: map[string]order.HostState{}}
	for _, worker := range h.world.workers {
		state := order.HostUp
		if h.away[worker.life.GetHost()] {
			state = order.HostAway
		}
		answer.Hosts[worker.life.GetHost()] = state
	}
	return answer
}

// maintain begins the maintenance of a host: what runs there is lost at once, and another life begins after it.
func (h *maintainedHosts) maintain(call *order.Call) *order.Answer {
	w := h.world
	switch {
	case call.Fence < h.fences[call.Host]:
		return &order.Answer{Status: order.Fenced}
	case slices.Contains(h.begun, call.Host):
		return &order.Answer{Status: order.OK}
	}
	h.fences[call.Host] = call.Fence
	worker := w.workers[slices.IndexFunc(w.workers, func(s *simWorker) bool { return s.life.GetHost() == call.Host })]
	if len(worker.runs) > 0 {
		w.t.Errorf("%v: the maintenance of %s begins while %d tasks run there", w.now, call.Host, len(worker.runs))
	}
	h.begun = append(h.begun, call.Host)
	h.away[call.Host] = true
	if len(h.away) > h.most {
		w.t.Errorf("%v: %d hosts are away for maintenance, at most %d may be", w.now, len(h.away), h.most)
	}
	worker.up, worker.runs = false, nil
	w.after(maintenanceTime, func() {
		delete(h.away, call.Host)
		life := worker.life
		life.Id += "-again"
		worker.begin(life)
	})
	return &order.Answer{Status: order.OK}
}

// checkMisses checks that of a step that serves no more tasks are away through orders than may be: the world's workers all
// work, so that each absence is the system's doing.
func (w *world) checkMisses(id string, most int) {
	w.t.Helper()
	at := 0
	for _, worker := range w.workers {
		for key := range worker.runs {
			if key.Task.Job == id {
				at++
			}
		}
	}
	if step := w.state.Job(id).Occurrences[0][0]; len(step.Tasks)-at > most {
		w.t.Errorf("%v: %d of %d tasks of %s serve, at most %d may be away", w.now, at, len(step.Tasks), id, most)
	}
}

func (w *world) beginWave(wave uint64, most uint32, hosts ...string) {
	w.ask(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_BeginMaintenance{BeginMaintenance: &controlpb.Maintenance{
		Wave: wave, Hosts: hosts, WithinMs: 60_000, MostAtOnce: most,
	}}})
}

func (w *world) isCompleted(wave uint64) bool {
	return w.ask(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_ReadMaintenance{
		ReadMaintenance: &controlpb.ReadMaintenance{Wave: wave},
	}}).GetWork().GetCompleted()
}

// A wave over all hosts, while tasks that serve and batch work run there and the leader changes: at most two hosts may be
// away, nothing may be lost with them, of each serving step at most one task may be away, and the wave must be completed
// when it is said to be, and not before.
func TestWave(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			w := newFleet(t, seed, 8)
			hosts := newHosts(w, 2)
			hosts.late = 0.2
			careful := serving(6, "image")
			careful.MayMiss = 1
			w.submit("urgent", "serving", careful)
			w.run(3 * time.Second)
			var names []string
			for _, worker := range w.workers {
				names = append(names, worker.life.GetHost())
			}
			w.beginWave(1, 2, append(names, "gone-long-ago")...)
			change := w.now.Add(time.Duration(w.random.IntN(20)) * time.Second)
			for i := range 900 {
				if i%20 == 0 {
					w.submit("batch", fmt.Sprintf("job-%d", i), fill(4, "fill", time.Second))
				}
				if !change.IsZero() && w.now.After(change) {
					w.changeLeader()
					w.run(50 * time.Millisecond)
					change = time.Time{}
				}
				w.run(100 * time.Millisecond)
				w.checkMisses("serving", 1)
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
			for _, worker := range w.dispatcher.roster {
				if !worker.ending && !w.dispatcher.isUsable(worker) {
					t.Errorf("%s is not used again after the wave", worker.life.GetHost())
				}
			}
		})
	}
}
