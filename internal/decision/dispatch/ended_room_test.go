package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
	"galenamoor/pkg/resource"
)

// The room of an ended run stood idle until the record of the end was committed.
func TestRoomIsGivenWhileItsEndIsRecorded(t *testing.T) {
	for name, end := range map[string]func(sim *simulation){
		"finite task ends":      func(*simulation) {},
		"lasting job cancelled": func(sim *simulation) { sim.cancel("lasting") },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithWorkers(t, 1, 1)
			first := dedicated(1, 3*time.Second)
			if name == "lasting job cancelled" {
				first = serving(1, "image")
			}
			first.Processors = 32_000
			sim.submit("urgent", "lasting", first)
			sim.run(time.Second)
			next := dedicated(1, time.Second)
			next.Processors = 32_000
			sim.submit("urgent", "next", next)
			sim.run(500 * time.Millisecond)
			sim.commitTime = 300 * time.Millisecond
			var recorded, given time.Time
			sim.onCommand = func(command *controlpb.Command) {
				for _, change := range command.GetWork().GetChanges() {
					switch {
					case change.GetNoteEnds() != nil && recorded.IsZero():
						recorded = sim.now
					case change.GetStartRun().GetTask().GetJob() == "next":
						if given = sim.now; recorded.IsZero() {
							t.Error("the room is given before the record of the end is proposed")
						}
					}
				}
			}
			end(sim)
			for range 400 {
				if sim.run(10 * time.Millisecond); !given.IsZero() {
					break
				}
			}
			if delay := given.Sub(recorded); recorded.IsZero() || given.IsZero() || delay > 50*time.Millisecond {
				t.Errorf("the end is recorded at %v and the room given at %v", recorded, given)
			}
			sim.run(2 * sim.commitTime)
			if sim.servingRuns("next") != 1 {
				t.Error("the next task doesn't run")
			}
		})
	}
}

// Between two polls of a worker, the end of a lasting run that is being stopped stayed unknown for up to 0.2 s.
func TestWorkerWithStoppingLastingRunIsPolledOften(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	sim.submit("urgent", "lasting", serving(1, "image"))
	sim.run(time.Second)
	w := sim.dispatcher.orderedWorkers[0]
	if delay := sim.dispatcher.pollDelayAfter(w); delay < pollDelay {
		t.Errorf("a worker on which nothing ends is polled after %v", delay)
	}
	sim.workers[0].stopTime = 300 * time.Millisecond
	sim.cancel("lasting")
	sim.run(100 * time.Millisecond)
	if delay := sim.dispatcher.pollDelayAfter(w); len(sim.workers[0].runs) != 1 || delay > urgentPollDelay {
		t.Errorf("a worker with %d lasting runs to stop is polled after %v", len(sim.workers[0].runs), delay)
	}
}

// reservedStarts returns what the uncommitted assignments reserve, by worker, given their steps.
func (sim *simulation) reservedStarts(steps map[*controlpb.WorkChange]*workload.Step) map[uint32]resource.Vector {
	reserved := map[uint32]resource.Vector{}
	for _, proposals := range sim.dispatcher.proposed {
		for _, p := range proposals {
			if start := p.change.GetStartRun(); start != nil {
				reserved[start.GetWorker()] = reserved[start.GetWorker()].Add(steps[p.change].Demand())
			}
		}
	}
	return reserved
}

// Under faults, what a run reserves must be released exactly once: its end, its removal and the end of its worker may all come.
func TestRoomIsReleasedOnce(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulationWithWorkers(t, seed, 6)
			steps := map[*controlpb.WorkChange]*workload.Step{}
			sim.onCommand = func(command *controlpb.Command) {
				for _, change := range command.GetWork().GetChanges() {
					if start := change.GetStartRun(); start != nil {
						steps[change] = sim.state.Task(workload.TaskKeyFromRef(start.GetTask())).Step
					}
				}
			}
			check := func() {
				t.Helper()
				expected := sim.reservedStarts(steps)
				for _, r := range sim.dispatcher.runs {
					if number := r.worker.incarnation.GetNumber(); !r.released {
						expected[number] = expected[number].Add(r.task.Step.Demand())
					}
				}
				for _, w := range sim.dispatcher.orderedWorkers {
					if w.used != expected[w.incarnation.GetNumber()] {
						t.Fatalf("%v: %v is reserved on %s, expected %v", sim.now, w.used, w.incarnation.GetId(), expected[w.incarnation.GetNumber()])
					}
				}
			}
			cancelled := 0
			for i := range 40 {
				step := dedicated(uint32(1+sim.random.IntN(8)), 600*time.Millisecond)
				if sim.random.IntN(3) == 0 {
					step = serving(uint32(1+sim.random.IntN(3)), "image")
				}
				sim.request(submission("urgent", fmt.Sprintf("job-%d", i), step))
				switch sim.random.IntN(6) {
				case 0:
					worker := sim.workers[sim.random.IntN(len(sim.workers))]
					worker.startIncarnation(worker.incarnation)
				case 1:
					if worker := sim.workers[sim.random.IntN(len(sim.workers))]; worker.up {
						worker.crash(3 * time.Second)
					}
				case 2:
					sim.lossRate = 0.1 * sim.random.Float64()
				case 3:
					sim.commitTime = time.Duration(15+sim.random.IntN(300)) * time.Millisecond
				default:
					sim.cancel(fmt.Sprintf("job-%d", cancelled))
					cancelled++
				}
				for range 1 + sim.random.IntN(8) {
					sim.run(50 * time.Millisecond)
					check()
				}
			}
			sim.lossRate, sim.commitTime = 0, defaultCommitTime
			sim.run(15 * time.Second)
			check()
			for _, w := range sim.dispatcher.orderedWorkers {
				inState := resource.Vector{}
				for _, task := range w.incarnation.Runs {
					inState = inState.Add(task.Step.Demand())
				}
				if w.used != inState {
					t.Errorf("%v is reserved on %s after the faults, and its runs need %v", w.used, w.incarnation.GetId(), inState)
				}
			}
			if waiting := sim.waitingLasting(); waiting > 0 {
				t.Errorf("%d lasting tasks wait on %d workers after the faults", waiting, len(sim.dispatcher.orderedWorkers))
			}
			t.Logf("%d runs of %d jobs after the faults", len(sim.dispatcher.runs), len(sim.state.Jobs()))
		})
	}
}
