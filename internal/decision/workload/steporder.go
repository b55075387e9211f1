package workload

import (
	"iter"
	"time"

	"github.com/bits-and-blooms/bitset"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/dependency"
)

// stepOrder tracks which steps of a job may run, so that neither the end of a task nor a search for steps that wait visits all steps. A
// step of an occurrence is identified by its position: the steps of all occurrences are numbered consecutively.
type stepOrder struct {
	graph *dependency.Graph
	steps uint // of each occurrence
	// runnable holds the positions of the steps with waiting tasks and without blockers, whether their occurrence is due or not.
	runnable *bitset.BitSet
	// chains counts the unfinished steps of an occurrence by the length of the longest chain that begins with each, up to the longest one of
	// an unfinished step. An occurrence of which no step is finished has none, nor have those of a job without dependencies.
	chains map[uint32][]uint32
}

func newStepOrder(spec *controlpb.WorkJob) *stepOrder {
	dependencies := make([][]uint32, len(spec.GetSteps()))
	for n, step := range spec.GetSteps() {
		dependencies[n] = step.GetAfter()
	}
	occurrences := uint(occurrencesOf(spec))
	o := &stepOrder{graph: dependency.New(dependencies), steps: uint(len(dependencies)), runnable: bitset.New(occurrences * uint(len(dependencies))), chains: map[uint32][]uint32{}}
	for n, step := range spec.GetSteps() {
		if o.graph.Blockers(uint32(n)) > 0 || step.GetCount() == 0 {
			continue
		}
		for occurrence := range occurrences {
			o.runnable.Set(occurrence*o.steps + uint(n))
		}
	}
	return o
}

// newChains returns the counts of an occurrence of which no step is finished.
func (o *stepOrder) newChains() []uint32 {
	counts := make([]uint32, o.graph.LongestChain()+1)
	for n := range uint32(o.steps) {
		counts[o.graph.Chain(n)]++
	}
	return counts
}

func (o *stepOrder) position(step *Step) uint {
	return uint(step.Occurrence)*o.steps + uint(step.Number)
}

// update notes whether a step may run and has waiting tasks.
func (o *stepOrder) update(step *Step) {
	o.runnable.SetTo(o.position(step), step.Waiting > 0 && step.blockers == 0)
}

// finishStep releases the steps that depend on a step whose tasks are all done.
func (j *Job) finishStep(step *Step) {
	for _, dependent := range j.order.graph.Dependents(step.Number) {
		released := j.occurrences[step.Occurrence].steps[dependent]
		released.blockers--
		j.order.update(released)
	}
	if j.LongestChain() <= 1 {
		return
	}
	counts := j.order.chains[step.Occurrence]
	if counts == nil {
		counts = j.order.newChains()
	}
	counts[j.order.graph.Chain(step.Number)]--
	for len(counts) > 0 && counts[len(counts)-1] == 0 {
		counts = counts[:len(counts)-1]
	}
	j.order.chains[step.Occurrence] = counts
}

// LongestChain returns the number of steps on the longest dependency chain of an occurrence.
func (j *Job) LongestChain() int { return int(j.order.graph.LongestChain()) }

// RemainingChain returns the number of unfinished steps on the longest chain of an occurrence that has unfinished steps. It needs only the
// chains that begin with unfinished steps, as all steps that depend on one of these are unfinished too.
func (j *Job) RemainingChain(occurrence uint32) int {
	counts := j.order.chains[occurrence]
	if counts == nil {
		return j.LongestChain()
	}
	return max(0, len(counts)-1)
}

// HasWaiting reports whether a step has waiting tasks that may start now.
func (j *Job) HasWaiting(now time.Time) bool {
	for range j.waitingPositions(now, 0) {
		return true
	}
	return false
}

// WaitingSteps returns the steps with waiting tasks that may start now, with their positions in ascending order, from a position on.
func (j *Job) WaitingSteps(now time.Time, from int) iter.Seq2[int, *Step] {
	return func(yield func(int, *Step) bool) {
		for position := range j.waitingPositions(now, from) {
			steps := j.Steps(uint32(uint(position) / j.order.steps))
			if !yield(position, steps[uint(position)%j.order.steps]) {
				return
			}
		}
	}
}

// waitingPositions returns the positions of these steps.
func (j *Job) waitingPositions(now time.Time, from int) iter.Seq[int] {
	return func(yield func(int) bool) {
		o := j.order
		for position, ok := o.runnable.NextSet(uint(from)); ok; position, ok = o.runnable.NextSet(position + 1) {
			occurrence := uint32(position / o.steps)
			if now.Before(j.DueAt(occurrence)) {
				if j.Spec.GetPeriodMs() >= 0 {
					return // the later ones aren't due either
				}
				position = uint(occurrence+1)*o.steps - 1
				continue
			}
			if !yield(int(position)) {
				return
			}
		}
	}
}
