package dispatch

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
)

// slowLists delays the answers to list calls, and calls began when a maintenance is ordered.
type slowLists struct {
	*simulation
	delay time.Duration
	began func(host string)
}

// Send implements WorkerCalls.
func (s slowLists) Send(call *order.Call) {
	switch call.Kind {
	case order.ListHosts:
		listed := s.hosts.list()
		s.after(s.delay, func() { s.answer(call, listed) })
		return
	case order.Maintain:
		s.began(call.Host)
	}
	s.simulation.Send(call)
}

// A list of hosts that was read before the maintenance of a host has begun, and a late announcement of its worker, mustn't
// make another host of the wave unavailable too.
func TestListFromBeforeMaintenance(t *testing.T) {
	for delay := 50 * time.Millisecond; delay < 1200*time.Millisecond; delay += 50 * time.Millisecond {
		t.Run(fmt.Sprintf("delay=%v", delay), func(t *testing.T) {
			sim := newSimulationWithWorkers(t, 1, 4)
			hosts := newHostService(sim, 1)
			sim.dispatcher.config.WorkerCalls = slowLists{sim, delay, func(host string) {
				for _, worker := range sim.workers {
					if worker.incarnation.GetHost() == host {
						late := &controlpb.AnnounceLife{Life: proto.CloneOf(worker.incarnation), Sequence: 100}
						sim.after(50*time.Millisecond, func() {
							sim.request(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Announce{Announce: late}})
						})
					}
				}
			}}
			sim.beginWave(1, 1, "host-1", "host-2", "host-3", "host-4")
			sim.run(40 * time.Second)
			if !sim.isCompleted(1) || len(hosts.begun) != 4 {
				t.Errorf("completed %v; %d of 4 hosts were maintained", sim.isCompleted(1), len(hosts.begun))
			}
		})
	}
}
