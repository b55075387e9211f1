package dispatch

import (
	"slices"
	"time"

	"galenamoor/internal/decision/colocation"
	"galenamoor/internal/decision/occupancy"
	"galenamoor/internal/decision/workload"
)

// A leader that falls while it moves tasks leaves no record of the room that it has reserved. Its successor learns only that they were
// stopped, and would give their room to the task for which they were moved. Tasks that an earlier leader has stopped therefore return to
// where they ran, and their room there is reserved until they are assigned.

// inheritStops reserves room for the tasks of which earlier leaders have lately recorded that they were stopped.
func (d *Dispatcher) inheritStops() {
	wall := d.config.Wall()
	for _, job := range d.state.Jobs() {
		for task := range job.CurrentTasks() {
			if hasWaiting(task.Step, wall) && wall.Sub(time.UnixMilli(task.StoppedMs)) < relocationTimeout {
				d.returnStopped(task)
			}
		}
	}
}

// inheritStop reserves room for the task of a run that has ended, if an earlier leader has stopped it.
func (d *Dispatcher) inheritStop(r *run) {
	if r.inherited && !r.stopRequested {
		d.returnStopped(r.task)
	}
}

// returnStopped reserves room for a waiting task on the worker on which its latest run was stopped.
func (d *Dispatcher) returnStopped(task *workload.Task) {
	w := d.workers[task.StoppedOn]
	if w == nil || !task.IsWaiting() || !d.mayReturn(task, w) {
		return
	}
	if w.relocation == nil {
		w.relocation = d.newRelocation(task)
		w.relocation.isReturning = true
	}
	d.reserve(w.relocation, task, w)
	w.relocation.sources[task] = w
	d.config.Count("StopsInherited")
	d.config.Log.Info("reserving room for a task that an earlier leader has stopped", "Task", task.Key().String(), "Worker", w.incarnation.GetId())
}

// mayReturn reports whether a task may start again on the worker on which it was stopped, and has room there.
func (d *Dispatcher) mayReturn(task *workload.Task, w *worker) bool {
	step := task.Step
	if kindOf(step) != colocation.Serving || step.GetGang() || step.Job.IsTerminal() || d.mustIsolate(task) || task.IsPaused(d.config.Wall()) {
		return false
	}
	h := hostWithRoom(w)
	hasRoom := step.Demand().Fits(h.Free) && respectsRelocations(step.Demand(), h)
	return hasRoom && d.isStaying(w) && !d.awaitsMaintenance(w) && d.unadvisedExclusion(d.candidateOf(step), w) == occupancy.NotRefused
}

// awaitsMaintenance reports whether a worker's host is yet to be maintained in a wave. An earlier leader may have begun to drain it.
func (d *Dispatcher) awaitsMaintenance(w *worker) bool {
	name := w.incarnation.GetHost()
	for _, wave := range d.state.ActiveMaintenance() {
		if slices.Contains(wave.GetHosts(), name) && !slices.Contains(wave.GetBegun(), name) {
			return true
		}
	}
	return false
}
