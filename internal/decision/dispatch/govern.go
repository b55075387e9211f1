package dispatch

import (
	"slices"
	"time"

	"galenamoor/internal/decision/disturbance"
	"galenamoor/internal/decision/workload"
)

// settledAfter is the time at work after which a fill counts for a tail, which is told for the last half second.
const settledAfter = 600 * time.Millisecond

const (
	// reliefTime is the time from stopping a fill to a tail that doesn't cover it any more: the stop's grace, the half
	// second of a tail, and a look.
	reliefTime = 1300 * time.Millisecond

	// relievedBy is the time under strain after which all fills are stopped. It leaves a stop's grace and a look of the
	// 4 s that serving tasks may be over their bounds.
	relievedBy = 2500 * time.Millisecond
)

// govern follows the tails of serving tasks on a worker, and stops fills that disturb them.
func (d *Dispatcher) govern(w *worker) {
	w.strain = 0
	var fills []*run
	var images []string
	for key := range w.life.Runs {
		r := d.runs[key]
		if r == nil || !r.seen || r.stopWanted || !r.task.Step.GetFills() {
			continue
		}
		fills = append(fills, r)
		if image := imageOf(r.task.Step); d.now.Sub(r.began) >= settledAfter && !slices.Contains(images, image) {
			images = append(images, image)
		}
	}
	slices.Sort(images)
	waits := d.now.Before(w.relievedAt)
	for key := range w.life.Runs {
		r := d.runs[key]
		if r == nil || !r.task.Step.Serves() || r.gauge < 0 {
			continue
		}
		strain := float64(r.gauge) / float64(r.task.Step.GetTargetMs())
		w.strain = max(w.strain, strain)
		if len(fills) == 0 || waits {
			continue
		}
		blamed := d.disturbances.Observe(d.now, imageOf(r.task.Step), strain, images)
		if len(blamed) > 0 {
			d.config.Log.Info("serving task is disturbed", "Task", r.key.Task.String(), "Worker", w.life.GetId(), "Image", imageOf(r.task.Step),
				"Strain", strain, "Blamed", blamed)
		}
		for _, fill := range fills {
			if slices.Contains(blamed, imageOf(fill.task.Step)) {
				d.wantStop(fill, "it disturbs a serving task")
				w.relievedAt = d.now.Add(reliefTime)
			}
		}
	}
	d.relieve(w, fills)
}

// relieve stops all fills of a worker on which a serving task has been over its bound for long, whatever is to blame.
func (d *Dispatcher) relieve(w *worker, fills []*run) {
	if w.strain < 1 {
		w.strainedAt = time.Time{}
		return
	}
	if w.strainedAt.IsZero() {
		w.strainedAt = d.now
	}
	if d.now.Sub(w.strainedAt) < relievedBy {
		return
	}
	for _, fill := range fills {
		d.wantStop(fill, "a serving task beside it has been over its bound for long")
	}
}

// imageOf names what the tasks of a step run.
func imageOf(step *workload.Step) string {
	if image := step.GetImage(); image != "" {
		return image
	}
	return step.Job.Spec.GetQueue()
}

// companions returns how a task of a step gets on with what runs on a worker: the worst rating of any pair that it would
// be part of.
func (d *Dispatcher) companions(step *workload.Step, w *worker) disturbance.Rating {
	worst := disturbance.Harmless
	fills, serves := step.GetFills(), step.Serves()
	if !fills && !serves {
		return worst
	}
	image := imageOf(step)
	for other, count := range w.images {
		if count == 0 || other.fills == fills {
			continue
		}
		if fills {
			worst = max(worst, d.disturbances.Rate(d.now, other.name, image))
		} else {
			worst = max(worst, d.disturbances.Rate(d.now, image, other.name))
		}
	}
	return worst
}

// mixes reports whether a serving task of a step would share a worker with serving tasks of other images.
func mixes(step *workload.Step, w *worker) bool {
	if !step.Serves() {
		return false
	}
	own := image{imageOf(step), false}
	for other, count := range w.images {
		if count > 0 && !other.fills && other != own {
			return true
		}
	}
	return false
}

// image is what runs on a worker, as far as it matters for its neighbours.
type image struct {
	name  string
	fills bool // it fills; else it serves
}
