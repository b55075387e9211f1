package workload

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// isRunnable, waitingPositions and remainingChain find by visiting all steps what stepOrder tracks.
func isRunnable(step *Step, now time.Time) bool {
	steps := step.Job.Steps(step.Occurrence)
	isOpen := func(dependency uint32) bool { return steps[dependency].Unfinished > 0 }
	return step.Waiting > 0 && !now.Before(step.Job.DueAt(step.Occurrence)) && !slices.ContainsFunc(step.GetAfter(), isOpen)
}

func waitingPositions(j *Job, now time.Time, from int) []int {
	var positions []int
	for number := range j.Occurrences() {
		for _, step := range j.Steps(number) {
			if position := int(step.Occurrence)*len(j.Spec.GetSteps()) + int(step.Number); position >= from && isRunnable(step, now) {
				positions = append(positions, position)
			}
		}
	}
	return positions
}

func remainingChain(steps []*Step) int {
	longest, lengths := 0, make([]int, len(steps))
	for n, step := range steps {
		for _, dependency := range step.GetAfter() {
			lengths[n] = max(lengths[n], lengths[dependency])
		}
		if step.Unfinished > 0 {
			lengths[n]++
		}
		longest = max(longest, lengths[n])
	}
	return longest
}

// TestStepOrder guards against steps that are never offered, or before their dependencies are done or they are due, on random jobs whose
// tasks start, are lost and end, also after a snapshot.
func TestStepOrder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		spec := &controlpb.WorkJob{Id: "job", Queue: "q", Repeats: uint32(random.IntN(4)), StartAtMs: 1000, PeriodMs: random.Int64N(300) - 100}
		if seed%20 == 0 {
			spec.Repeats = maxListedOccurrences + 1 + uint32(random.IntN(5)) // the snapshot is sparse
		}
		for n := range 1 + random.IntN(6) {
			step := &controlpb.WorkStep{Count: 1 + uint32(random.IntN(3))}
			for range min(n, random.IntN(3)) {
				step.After = append(step.After, uint32(random.IntN(n)))
			}
			spec.Steps = append(spec.Steps, step)
		}
		s := New()
		s.insertWorker(&controlpb.WorkerLife{Id: "worker", Number: 1})
		s.submit(spec)
		for s.jobs["job"] != nil {
			j, now := s.jobs["job"], time.UnixMilli(900+random.Int64N(600))
			checkStepOrder(t, seed, j, now, random.IntN(8))
			stepRandomly(s, j, random)
			if random.IntN(10) == 0 {
				snapshot := s.Snapshot()
				if err := s.Restore(snapshot); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}

func checkStepOrder(t *testing.T, seed uint64, j *Job, now time.Time, from int) {
	t.Helper()
	var positions []int
	for position, step := range j.WaitingSteps(now, from) {
		positions = append(positions, position)
		if !step.IsReady(now) {
			t.Fatalf("seed %d: step %s is offered and not ready", seed, step.Name())
		}
	}
	if expected := waitingPositions(j, now, from); !slices.Equal(positions, expected) {
		t.Fatalf("seed %d: steps at %v wait from %d on, expected %v", seed, positions, from, expected)
	}
	if j.HasWaiting(now) != (len(waitingPositions(j, now, 0)) > 0) {
		t.Fatalf("seed %d: a step waits: %v", seed, j.HasWaiting(now))
	}
	for number := range j.Occurrences() {
		remaining := remainingChain(j.Steps(number))
		if got := j.RemainingChain(number); remaining > 0 && got != remaining {
			t.Fatalf("seed %d: %d steps of the longest chain remain, expected %d", seed, got, remaining)
		}
	}
}

// stepRandomly starts a task that may start, or ends a run as done or without success.
func stepRandomly(s *State, j *Job, random *rand.Rand) {
	var tasks []*Task
	for number := range j.Occurrences() {
		for _, step := range j.Steps(number) {
			for _, t := range step.Tasks {
				if !t.Done && isRunnableOrRuns(t) {
					tasks = append(tasks, t)
				}
			}
		}
	}
	t := tasks[random.IntN(len(tasks))]
	if len(t.Runs) == 0 {
		s.startRun(&controlpb.StartRun{Task: t.Key().Ref(), Run: t.LastRun + 1, Worker: 1})
		return
	}
	how := []controlpb.RunEnd{controlpb.RunEnd_RUN_DONE, controlpb.RunEnd_RUN_DONE, controlpb.RunEnd_RUN_STOPPED}[random.IntN(3)]
	w := s.workers[1]
	s.recordRunEnds(&controlpb.NoteEnds{Worker: 1, Through: w.GetEndsSeen() + 1, Ends: []*controlpb.EndedRun{{Task: t.Key().Ref(), Run: t.LastRun, How: how}}})
	if w.RunsOf(t.Step) != t.Step.Unfinished-t.Step.Waiting {
		panic("the runs of the worker aren't those of the step")
	}
}

func isRunnableOrRuns(t *Task) bool {
	return len(t.Runs) > 0 || isRunnable(t.Step, time.UnixMilli(1<<40))
}
