package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// Lasting tasks that end elsewhere give a waiting task no room, so that they must not put off its relocation without end.
func TestEndsElsewhereDontPreventRelocation(t *testing.T) {
	sim := newFullHosts(t, 1, 0)
	small := sim.addWorker("zone-0", "r-0")
	small.incarnation.Processors, small.incarnation.Labels = 500, append(small.incarnation.Labels, "small")
	sim.run(3 * time.Second)
	sim.interrupt()
	for i := range 15 {
		step := servingWith(1, 100)
		step.RequiredLabel = "small"
		id := fmt.Sprintf("short-lived-%d", i)
		sim.request(submission("urgent", id, step))
		sim.run(500 * time.Millisecond)
		sim.cancel(id)
		sim.run(300 * time.Millisecond)
	}
	if sim.state.Job("waiting").LiveRuns() == 0 {
		t.Error("a lasting task waits for 12 s beside room in pieces")
	}
}

// A moved task must find its room again if the leader changes while it is being moved.
func TestLeaderChangeDuringRelocation(t *testing.T) {
	for _, at := range []time.Duration{50, 150, 250, 350, 450} {
		t.Run((at * time.Millisecond).String(), func(t *testing.T) {
			sim := newFullHosts(t, 1, 0)
			sim.workers[1].stopTime, sim.workers[2].stopTime = 400*time.Millisecond, 400*time.Millisecond
			sim.interrupt()
			sim.runUntilRelocation()
			sim.run(at * time.Millisecond)
			sim.changeLeader()
			for i := range 6 {
				sim.request(submission("urgent", fmt.Sprintf("finite-%d", i), dedicated(1, 8*time.Second)))
			}
			if outage := sim.longestOutage("waiting", 12*time.Second); outage > 3*time.Second {
				t.Errorf("a moved task had no run for %v", outage)
			}
			if waiting := sim.waitingLasting(); waiting > 0 {
				t.Errorf("%d lasting tasks wait", waiting)
			}
		})
	}
}

// A worker that is unusable for a moment must not cost a moved task the room that it had there.
func TestMovedTaskKeepsRoomOnWorkerThatMissesACall(t *testing.T) {
	for name, disturb := range map[string]func(w *worker, now time.Time){
		"usable":      func(*worker, time.Time) {},
		"missed call": func(w *worker, _ time.Time) { w.missedCalls = 1 },
		"quarantined": func(w *worker, now time.Time) { w.quarantinedUntil = now.Add(300 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newFullHosts(t, 1, 0)
			sim.workers[1].stopTime, sim.workers[2].stopTime = 400*time.Millisecond, 50*time.Millisecond
			sim.interrupt()
			move := sim.runUntilRelocation()
			sim.run(250 * time.Millisecond)
			partner := sim.dispatcher.orderedWorkers[len(sim.dispatcher.orderedWorkers)-1]
			if partner.relocation != move {
				t.Fatal("the last worker isn't the partner")
			}
			disturb(partner, sim.now)
			for i := range 6 {
				sim.request(submission("urgent", fmt.Sprintf("finite-%d", i), dedicated(1, 8*time.Second)))
			}
			if outage := sim.longestOutage("waiting", 10*time.Second); outage > 3*time.Second {
				t.Errorf("a moved task had no run for %v", outage)
			}
		})
	}
}

// A start that uses the room of an ended run must not be accepted if the record of that end was refused: the next leader would find the
// worker over its capacity, and stop the run.
func TestStartAfterRefusedRecordOfEnd(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure()
	sim.addWorker("zone-0", "r-0")
	sim.run(3 * time.Second)
	step := func() *controlpb.WorkStep {
		s := dedicated(1, 3*time.Second)
		s.Processors = 32_000
		return s
	}
	sim.submit("urgent", "first", step())
	sim.run(time.Second)
	sim.submit("urgent", "second", step())
	refusing := true
	sim.onCommand = func(command *controlpb.Command) {
		for _, change := range command.GetWork().GetChanges() {
			if refusing && change.GetNoteEnds() != nil {
				sim.dispatcher.HandleResult(sim.now, command, nil)
				command.GetWork().Changes = nil
				return
			}
		}
	}
	sim.onCommit = func(command *controlpb.Command) {
		for _, change := range command.GetWork().GetChanges() {
			if change.GetStartRun() != nil {
				sim.lossRate = 1 // the start call of the old leader
			}
		}
	}
	for i := 0; sim.state.Job("second").LiveRuns() == 0; i++ {
		if i > 1000 {
			t.Fatal("the second task isn't assigned while the record is refused")
		}
		sim.run(10 * time.Millisecond)
	}
	refusing, sim.onCommit, sim.lossRate = false, nil, 0
	if live := sim.state.Job("first").LiveRuns(); live != 1 {
		t.Fatalf("the end of the first task is recorded")
	}
	second := sim.state.Job("second").Steps(0)[0].Tasks[0]
	sim.changeLeader()
	sim.run(8 * time.Second)
	if run := second.LastRun; run != 1 {
		t.Errorf("the second task needed %d runs", run)
	}
}

// newServingFleet returns a simulation of 240 hosts of 30 serving tasks whose steps have disruption budgets.
func newServingFleet() *simulation {
	sim := newSimulationWithWorkers(&testing.T{}, 1, 240)
	for i := range 360 {
		step := serving(20, fmt.Sprintf("image-%d", i%10))
		step.Processors, step.Memory, step.MayMiss = 1000, 2000, 1
		sim.request(submission("urgent", fmt.Sprintf("serving-%d", i), step))
		sim.run(30 * time.Millisecond)
	}
	return sim
}

// BenchmarkMovableRuns measures what a search for tasks to move needs, per pass, on a fleet of 240 hosts of 30 serving tasks.
func BenchmarkMovableRuns(b *testing.B) {
	sim := newServingFleet()
	sim.run(10 * time.Second)
	hosts := sim.dispatcher.hosts()
	runs := 0
	b.Run("compactableHosts", func(b *testing.B) {
		for b.Loop() {
			runs = 0
			for _, h := range sim.dispatcher.compactableHosts(hosts) {
				runs += len(h.runs)
			}
		}
		b.ReportMetric(float64(runs), "runs")
	})
	b.Run("makeRoom", func(b *testing.B) {
		step := servingWith(1, 30_000)
		sim.request(submission("urgent", "large", step))
		sim.run(50 * time.Millisecond)
		waiting := sim.state.Job("large").Steps(0)[0]
		c := sim.dispatcher.candidateOf(waiting)
		sim.dispatcher.relocations.hosts = nil
		for b.Loop() {
			if sim.dispatcher.makeRoom(c, waiting.Tasks[0], hosts) {
				b.Fatal("found")
			}
		}
	})
}

// BenchmarkPassWithFruitlessSearches measures passes while lasting tasks wait for which no tasks can be moved.
func BenchmarkPassWithFruitlessSearches(b *testing.B) {
	sim := newServingFleet()
	for i := range 60 {
		step := servingWith(1, 30_000)
		sim.request(submission("urgent", fmt.Sprintf("large-%d", i), step))
	}
	sim.run(10 * time.Second)
	for i := range 60 {
		sim.state.Job(fmt.Sprintf("large-%d", i)).Steps(0)[0].Tasks[0].LastRun = 1
	}
	for name, ended := range map[string]bool{"with searches": false, "without": true} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				sim.dispatcher.now = sim.dispatcher.now.Add(50 * time.Millisecond)
				if ended {
					sim.dispatcher.relocations.roomAt = sim.dispatcher.now
				}
				for _, w := range sim.dispatcher.orderedWorkers {
					w.lastAnswer = sim.dispatcher.now
				}
				sim.dispatcher.pass()
				sim.dispatcher.outbox = nil
			}
		})
	}
}

// A lasting step of an advised queue must get room by relocation as well.
func TestRelocationForAdvisedStep(t *testing.T) {
	sim := newFullHosts(t, 1, 0)
	sim.submit("advised", "asked", servingWith(1, 6500))
	sim.run(8 * time.Second)
	if sim.state.Job("asked").LiveRuns() == 0 {
		t.Error("a lasting task of an advised queue waits for 8 s beside room in pieces")
	}
}

// A relocation whose moved task can't return, as the other one has taken its place, must not leave it without a run for long.
func TestStopOfMovedTaskIsSlow(t *testing.T) {
	for slow := 1; slow <= 2; slow++ {
		t.Run(fmt.Sprint(slow), func(t *testing.T) {
			sim := newFullHosts(t, 1, 0)
			sim.workers[slow].stopTime = 9 * time.Second
			sim.interrupt()
			sim.runUntilRelocation()
			outage := sim.longestOutage("waiting", 16*time.Second)
			if outage > 3500*time.Millisecond {
				t.Errorf("a moved task had no run for %v", outage)
			}
		})
	}
}

// The task of a less urgent queue must not have services of a more urgent one moved.
func TestLessUrgentTaskMovesNoMoreUrgentOne(t *testing.T) {
	sim := newFullHosts(t, 1, 0)
	sim.submit("batch", "late", servingWith(1, 6500))
	sim.run(8 * time.Second)
	if n := len(sim.dispatcher.relocations.active); n > 0 || sim.state.Job("late").LiveRuns() > 0 {
		t.Errorf("services of a more urgent queue were moved")
	}
}

// A service of which another task isn't ready must not have a task moved beyond its disruption budget.
func TestNoTaskMovesWhileAnotherIsNotReady(t *testing.T) {
	sim := newFullHosts(t, 1, 1)
	d, tasks := sim.dispatcher, sim.state.Job("target").Steps(0)[0].Tasks
	first, second := d.runs[workload.RunKey{Task: tasks[0].Key(), Run: 1}], d.runs[workload.RunKey{Task: tasks[1].Key(), Run: 1}]
	if !d.mayMove(first, d.disruptionBudgets()) {
		t.Fatal("a task may not be moved while all others serve")
	}
	second.progress = 0
	if d.mayMove(first, d.disruptionBudgets()) {
		t.Error("a task may be moved while another one isn't ready")
	}
}
