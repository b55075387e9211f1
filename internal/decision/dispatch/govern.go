package dispatch

// fullPace is the speed of a task that isn't slowed, in percent.
const fullPace = 100

// govern follows the tails of serving tasks on a worker.
func (d *Dispatcher) govern(w *worker) {
	w.strain = 0
	for key := range w.life.Runs {
		r := d.runs[key]
		if r == nil || !r.task.Step.Serves() || r.gauge < 0 {
			continue
		}
		w.strain = max(w.strain, float64(r.gauge)/float64(r.task.Step.GetTargetMs()))
	}
}
