package dispatch

import (
	"iter"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/colocation"
	"galenamoor/internal/decision/workload"
)

// Serving tasks stay for minutes, so on a full fleet a serving job may be accepted and then wait for longer than its caller does. The
// processors that are free on all hosts together don't tell: what is left on each may be too little for any task. While tasks of
// accepted jobs wait for such room, a job whose tasks would wait behind them is rejected, so that its caller knows at once.

// servingRoom holds the milli-cores of hosts that serving tasks don't reserve. Finite tasks release what they use soon.
type servingRoom struct {
	dispatcher *Dispatcher
	workers    []*worker
	left       []int64 // by index of workers
}

// servingRoom returns the room of the workers that stay and answer, and the serving tasks on the others, by step, which need room
// elsewhere. Unless most workers answer, the cause may lie with this leader, and all count as answering.
func (d *Dispatcher) servingRoom() (room servingRoom, displaced map[*workload.Step]int) {
	room, displaced = servingRoom{dispatcher: d}, map[*workload.Step]int{}
	mostAnswer := d.mostAnswer()
	for _, w := range d.orderedWorkers {
		switch {
		case !d.isStaying(w):
		case mostAnswer && d.isUnresponsive(w):
			for _, task := range w.incarnation.Runs {
				if kindOf(task.Step) == colocation.Serving {
					displaced[task.Step]++
				}
			}
		default:
			room.workers = append(room.workers, w)
			room.left = append(room.left, w.incarnation.GetProcessors()-w.servingProcessors)
		}
	}
	return room, displaced
}

// take takes room for tasks of a step, each on the host where least is left. It returns the number of those that don't fit.
func (r *servingRoom) take(c candidate, tasks int) (missing int) {
	for missing = tasks; missing > 0; missing-- {
		best := -1
		for i, left := range r.left {
			if left >= c.step.GetProcessors() && (best < 0 || left < r.left[best]) && r.dispatcher.allowsUnadvised(c, r.workers[i]) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		r.left[best] -= c.step.GetProcessors()
	}
	return missing
}

// tasksBefore returns the number of serving tasks of a queue's pool that wait for room, if serving tasks of a further job would wait
// behind them, otherwise 0.
func (d *Dispatcher) tasksBefore(queue *controlpb.WorkQueue, job *controlpb.WorkJob) int {
	steps := servingSteps(job)
	if len(steps) == 0 {
		return 0
	}
	room, displaced := d.servingRoom()
	before := 0
	for step := range d.servingStepsOf(queue.GetPool()) {
		c := candidate{step: step, queue: d.state.Queue(step.Job.Spec.GetQueue())}
		before += room.take(c, d.countPlaceable(step)+displaced[step])
	}
	if before == 0 {
		return 0
	}
	for _, step := range steps {
		if room.take(candidate{step: step, queue: queue}, int(step.GetCount())) > 0 {
			return before
		}
	}
	return 0
}

// servingStepsOf returns the serving steps of a pool that are ready.
func (d *Dispatcher) servingStepsOf(pool string) iter.Seq[*workload.Step] {
	return func(yield func(*workload.Step) bool) {
		for _, job := range d.state.Jobs() {
			if job.IsTerminal() || d.state.Queue(job.Spec.GetQueue()).GetPool() != pool {
				continue
			}
			for _, steps := range job.Occurrences {
				for _, step := range steps {
					if step.IsServing() && step.IsReady(d.config.Wall()) && !yield(step) {
						return
					}
				}
			}
		}
	}
}

// servingSteps returns the serving steps of a job that hasn't been accepted yet.
func servingSteps(job *controlpb.WorkJob) []*workload.Step {
	var steps []*workload.Step
	for _, spec := range job.GetSteps() {
		if step := (&workload.Step{WorkStep: spec}); step.IsServing() {
			steps = append(steps, step)
		}
	}
	return steps
}
