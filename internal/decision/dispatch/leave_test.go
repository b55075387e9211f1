package dispatch

import (
	"maps"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// leave sends a worker's notice that it terminates, and calls acknowledged with the reply.
func (s *simWorker) leave(acknowledged func(*controlpb.LeaderReply)) {
	sim := s.simulation
	request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: &controlpb.WorkRequest{
		Kind: &controlpb.WorkRequest_Leave{Leave: &controlpb.LeaveLife{Id: s.incarnation.GetId()}},
	}}}
	reply, wait := sim.dispatcher.Serve(sim.now, request)
	if !wait {
		acknowledged(reply)
		return
	}
	sim.requests[request] = acknowledged
}

// busyWorker returns a worker that runs tasks of the job.
func (sim *simulation) busyWorker(job string) *simWorker {
	sim.t.Helper()
	for _, worker := range sim.workers {
		for key := range worker.runs {
			if key.Task.Job == job {
				return worker
			}
		}
	}
	sim.t.Fatalf("no worker runs a task of job %s", job)
	return nil
}

// drain makes a worker announce that it drains, with so much time left that its runs could finish there.
func (s *simWorker) drain() {
	s.incarnation.Leaving, s.leavesIn = true, 10*time.Second
	s.simulation.run(1500 * time.Millisecond)
}

// A worker that gets no acknowledgement of its leave goes on for seconds. Its tasks must not start elsewhere meanwhile.
func TestLeaveWithoutAcknowledgement(t *testing.T) {
	for name, draining := range map[string]bool{"draining": true, "ready": false} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithWorkers(t, 1, 4)
			sim.submit("batch", "a", dedicated(8, 6*time.Second))
			sim.run(time.Second)
			worker := sim.busyWorker("a")
			if draining {
				worker.drain()
			}
			worker.answersLost = true
			worker.leave(func(*controlpb.LeaderReply) {})
			sim.run(3 * time.Second)
			worker.up = false
			sim.run(20 * time.Second)
			sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
		})
	}
}

// A leave that arrives after a later incarnation has started must not end that incarnation, whose tasks would start twice.
func TestLateLeaveOfEarlierIncarnation(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 2)
	worker := sim.workers[0]
	worker.startIncarnation(worker.incarnation)
	sim.run(3 * time.Second)
	sim.submit("batch", "a", dedicated(12, 6*time.Second))
	sim.run(time.Second)
	runs := len(worker.runs)
	worker.leave(func(*controlpb.LeaderReply) {})
	sim.run(3 * time.Second)
	if len(worker.runs) != runs {
		t.Errorf("%d of %d runs are left on the later incarnation", len(worker.runs), runs)
	}
	sim.run(6 * time.Second)
	sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
}

// A worker that ends once its leave is acknowledged must not delay its tasks until its lease expires.
func TestLeaveStopsRuns(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	sim.submit("batch", "a", dedicated(8, 6*time.Second))
	sim.run(time.Second)
	worker := sim.busyWorker("a")
	worker.drain()
	runs, acknowledged := maps.Clone(worker.runs), time.Time{}
	worker.leave(func(*controlpb.LeaderReply) { worker.up, acknowledged = false, sim.now })
	left := sim.now
	sim.run(2 * time.Second)
	if acknowledged.IsZero() || acknowledged.Sub(left) > time.Second {
		t.Errorf("the leave was acknowledged after %v, expected at most a second", acknowledged.Sub(left))
	}
	for key := range runs {
		if !sim.started[key.Task].After(left) {
			t.Errorf("%s has not restarted %v after the leave", key.Task, sim.now.Sub(left))
		}
	}
}
