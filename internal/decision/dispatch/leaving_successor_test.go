package dispatch

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// countStops counts the runs that are ordered to stop from now on.
func (sim *simulation) countStops() *int {
	stops := 0
	count := func(name string) {
		if name == "RunsStopped" {
			stops++
		}
	}
	sim.dispatcher.config.Count, sim.standby.config.Count = count, count
	return &stops
}

// announceLeaving delivers an announcement of a draining worker with the given sequence number and time left.
func (s *simWorker) announceLeaving(sequence uint64, leavesIn time.Duration) {
	sim := s.simulation
	sim.dispatcher.Serve(sim.now, &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: &controlpb.WorkRequest{
		Kind: &controlpb.WorkRequest_Announce{Announce: &controlpb.AnnounceLife{
			Life: proto.CloneOf(s.incarnation), Sequence: sequence, LeavesInMs: leavesIn.Milliseconds(),
		}},
	}}})
}

// newLeavingSimulation returns a simulation of two workers that run eight tasks and drain.
func newLeavingSimulation(t *testing.T, runtime, leavesIn time.Duration) *simulation {
	sim := newSimulationWithWorkers(t, 1, 2)
	sim.submit("batch", "a", dedicated(8, runtime))
	sim.run(2 * time.Second)
	for _, w := range sim.workers {
		w.incarnation.Leaving, w.leavesIn = true, leavesIn
	}
	sim.run(1500 * time.Millisecond)
	return sim
}

// A new leader must not stop runs that end long before their draining workers terminate, only because it hasn't heard yet how much
// time is left there.
func TestRunsOnLeavingWorkersContinueUnderSuccessor(t *testing.T) {
	for name, changes := range map[string]int{"one change": 1, "three changes": 3} {
		t.Run(name, func(t *testing.T) {
			sim := newLeavingSimulation(t, 6*time.Second, 20*time.Second)
			stops := sim.countStops()
			for range changes {
				sim.changeLeader()
				sim.run(300 * time.Millisecond)
			}
			sim.run(4 * time.Second)
			if *stops > 0 {
				t.Errorf("%d of 8 runs were stopped", *stops)
			}
			sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
		})
	}
}

// Under a new leader, too, runs have to be stopped while their draining worker can still save their work.
func TestRunsStopBeforeWorkerLeavesUnderSuccessor(t *testing.T) {
	for _, left := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
		sim := newLeavingSimulation(t, 20*time.Second, 40*time.Second)
		stops := sim.countStops()
		sim.changeLeader()
		for _, w := range sim.workers {
			w.leavesIn = left
		}
		sim.run(3 * time.Second)
		if *stops != 8 {
			t.Errorf("%v left: %d of 8 runs were stopped", left, *stops)
		}
	}
}

// Runs on a draining worker whose announcements don't arrive must not stay there until it terminates.
func TestRunsStopOnSilentlyLeavingWorkerUnderSuccessor(t *testing.T) {
	sim := newLeavingSimulation(t, time.Minute, 90*time.Second)
	stops := sim.countStops()
	sim.changeLeader()
	sim.run(50 * time.Millisecond)
	for _, w := range sim.workers {
		sim.dispatcher.lastAnnouncements[w.incarnation.GetId()] = announcementVersion{ // no announcement counts
			incarnationStartMs: w.incarnation.GetBornMs(), sequence: 1 << 40, receivedAt: sim.now.Add(time.Hour),
		}
	}
	sim.run(6 * time.Second)
	if *stops != 8 {
		t.Errorf("%d of 8 runs were stopped", *stops)
	}
}

// A late announcement tells a time that has partly passed, and must not make a draining worker seem to stay longer.
func TestLateAnnouncementDoesNotExtendLeave(t *testing.T) {
	sim := newLeavingSimulation(t, 6*time.Second, 20*time.Second)
	sim.changeLeader()
	sim.run(50 * time.Millisecond)
	w := sim.workers[0]
	tracked := sim.dispatcher.workers[sim.state.WorkerByID(w.incarnation.GetId()).GetNumber()]
	w.announceLeaving(1<<20, 3*time.Second)
	if want := sim.now.Add(3 * time.Second); !tracked.leavesAt.Equal(want) {
		t.Fatalf("the worker leaves at %v, expected %v", tracked.leavesAt, want)
	}
	want := tracked.leavesAt
	sim.run(20 * time.Millisecond)
	for _, sequence := range []uint64{1<<20 - 1, 1 << 20, 1<<20 + 1} { // earlier, repeated and later than the first one
		w.announceLeaving(sequence, 10*time.Second)
		if !tracked.leavesAt.Equal(want) {
			t.Errorf("sequence %d: the worker leaves at %v, expected %v", sequence, tracked.leavesAt, want)
		}
	}
	w.announceLeaving(1<<20+2, time.Second)
	if want := sim.now.Add(time.Second); !tracked.leavesAt.Equal(want) {
		t.Errorf("the worker leaves at %v, expected %v", tracked.leavesAt, want)
	}
}

// A draining worker that terminates before a new leader has heard its announcement must not take its tasks' work with it: its notice
// is acknowledged once they are stopped.
func TestLeaveStopsRunsUnderSuccessor(t *testing.T) {
	sim := newLeavingSimulation(t, 20*time.Second, 40*time.Second)
	stops := sim.countStops()
	sim.changeLeader()
	sim.run(50 * time.Millisecond)
	for _, w := range sim.workers {
		if at := sim.dispatcher.workers[sim.state.WorkerByID(w.incarnation.GetId()).GetNumber()].leavesAt; !at.IsZero() {
			t.Fatal("the new leader has already heard an announcement")
		}
		w.leave(func(*controlpb.LeaderReply) {
			if len(w.runs) > 0 {
				t.Errorf("%d runs hadn't stopped when the leave was acknowledged", len(w.runs))
			}
			w.up = false
		})
	}
	sim.run(time.Second)
	if *stops != 8 {
		t.Errorf("%d of 8 runs were stopped", *stops)
	}
	for _, w := range sim.workers {
		if w.up {
			t.Errorf("the leave of %s wasn't acknowledged", w.incarnation.GetId())
		}
	}
}
