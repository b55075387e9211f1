package workload

import (
	"iter"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// A job may be scheduled for thousands of times. The tasks of one time, an occurrence, are created when one of them is first looked up, and
// dropped once all are done, so that a job takes memory only for what may run or is under way. An occurrence that hasn't been created is in
// its initial state.

// occurrence is one time that the steps of a job run.
type occurrence struct {
	steps      []*Step
	unfinished int // tasks that aren't done
	liveRuns   int
}

// Occurrences returns how many times the steps of the job run.
func (j *Job) Occurrences() uint32 { return occurrencesOf(j.Spec) }

func occurrencesOf(spec *controlpb.WorkJob) uint32 { return max(1, spec.GetRepeats()) }

// Steps returns the steps of an occurrence by number, or nil if all its tasks are done.
func (j *Job) Steps(number uint32) []*Step {
	if j.completed.Test(uint(number)) {
		return nil
	}
	o := j.occurrences[number]
	if o == nil {
		o = j.newOccurrence(number)
		j.occurrences[number] = o
	}
	return o.steps
}

// tasksOfOccurrence returns the number of tasks of each occurrence.
func tasksOfOccurrence(spec *controlpb.WorkJob) int {
	count := 0
	for _, step := range spec.GetSteps() {
		count += int(step.GetCount())
	}
	return count
}

// loadPeriod is the time within which the due occurrences of a job count as existing at the same time.
const loadPeriod = 10 * time.Minute

// Load estimates the memory that a job takes, as a number of tasks of some 170 bytes.
func Load(spec *controlpb.WorkJob) int {
	const (
		specificationLoad = 2 // of a step
		taskBytes         = 170
	)
	occurrences := int64(occurrencesOf(spec))
	if every := spec.GetPeriodMs(); every > 0 {
		occurrences = min(occurrences, loadPeriod.Milliseconds()/every+1)
	}
	steps := len(spec.GetSteps())
	return int(occurrences)*(tasksOfOccurrence(spec)+steps) + specificationLoad*steps + proto.Size(spec)/taskBytes
}

func (j *Job) newOccurrence(number uint32) *occurrence {
	o := &occurrence{steps: make([]*Step, len(j.Spec.GetSteps()))}
	for n, spec := range j.Spec.GetSteps() {
		count := int(spec.GetCount())
		step := &Step{
			WorkStep: spec, Job: j, Occurrence: number, Number: uint32(n), Waiting: count, Unfinished: count, blockers: j.order.graph.Blockers(uint32(n)),
		}
		step.Tasks = make([]*Task, count)
		for i := range step.Tasks {
			step.Tasks[i] = &Task{Step: step, Index: uint32(i)}
		}
		o.steps[n] = step
		o.unfinished += count
	}
	return o
}

// current returns the occurrences that are created and not dropped, in order.
func (j *Job) current() iter.Seq2[uint32, *occurrence] {
	return func(yield func(uint32, *occurrence) bool) {
		for _, number := range slices.Sorted(maps.Keys(j.occurrences)) {
			if !yield(number, j.occurrences[number]) {
				return
			}
		}
	}
}

// CurrentTasks returns the tasks that may differ from new ones and aren't done with the rest of their occurrence, ordered by occurrence,
// step and index.
func (j *Job) CurrentTasks() iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		for _, o := range j.current() {
			for _, step := range o.steps {
				for _, t := range step.Tasks {
					if !yield(t) {
						return
					}
				}
			}
		}
	}
}

// countRuns adds delta to the number of live runs of a step.
func (j *Job) countRuns(step *Step, delta int) {
	j.liveRuns += delta
	j.occurrences[step.Occurrence].liveRuns += delta
	j.dropCompleted(step.Occurrence)
}

// countDone records that a task of a step is done.
func (j *Job) countDone(step *Step) {
	step.Unfinished--
	j.unfinished--
	j.occurrences[step.Occurrence].unfinished--
	if step.Unfinished == 0 {
		j.finishStep(step)
	}
	j.dropCompleted(step.Occurrence)
}

// dropCompleted drops an occurrence once all its tasks are done and none has a live run.
func (j *Job) dropCompleted(number uint32) {
	if o := j.occurrences[number]; o.unfinished == 0 && o.liveRuns == 0 {
		delete(j.occurrences, number)
		delete(j.order.chains, number)
		j.completed.Set(uint(number))
	}
}

// completeOccurrence records that all tasks of an occurrence that doesn't exist are done.
func (j *Job) completeOccurrence(number uint32) {
	j.unfinished -= tasksOfOccurrence(j.Spec)
	j.completed.Set(uint(number))
	for n := range j.order.steps {
		j.order.runnable.Clear(uint(number)*j.order.steps + n)
	}
}
