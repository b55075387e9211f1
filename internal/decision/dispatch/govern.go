package dispatch

import (
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/disturbance"
	"galenamoor/internal/decision/workload"
)

// settledAfter is the time at work after which a fill counts for a tail, which is told for the last half second.
const settledAfter = 600 * time.Millisecond

const (
	// fullPercent is the progress that a serving task reports once it is at work.
	fullPercent = 100

	// watchedStrain is the share of its bound from which a serving task beside fills is looked at more often.
	watchedStrain = 0.8
)

// govern follows the tails of serving tasks on a worker, and stops or halts fills that disturb them.
func (d *Dispatcher) govern(w *worker) {
	w.strain = 0
	fills, settled := d.fillsOn(w)
	d.followGentle(w, fills)
	present := d.lately(w, fills)
	if w.pace < fullPace {
		settled, present = nil, nil // halted fills disturb nobody, which says nothing about them
	}
	for key := range w.life.Runs {
		r := d.runs[key]
		if r == nil || !r.task.Step.Serves() || r.gauge < 0 || r.percent < fullPercent {
			continue
		}
		strain := float64(r.gauge) / float64(r.task.Step.GetTargetMs())
		w.strain = max(w.strain, strain)
		own := image{imageOf(r.task.Step), false}
		d.disturbances.Observe(d.now, own.name, strain, 1/float64(max(1, w.images[own])), settled, present)
	}
	w.watched = (w.strain >= watchedStrain || w.pace < fullPace) && len(fills) > 0
	for _, fill := range fills {
		switch d.companions(fill.task.Step, w) {
		case disturbance.Harmful:
			if !fill.gentle {
				d.wantStop(fill, "it disturbs serving tasks")
			}
		case disturbance.Unknown:
			w.watched = true
		}
	}
	d.relieve(w, fills)
}

// fillsOn returns the fills on a worker that aren't being stopped, and their images as far as they have been at work for
// as long as a tail covers.
func (d *Dispatcher) fillsOn(w *worker) (fills []*run, settled []string) {
	for key := range w.life.Runs {
		r := d.runs[key]
		if r == nil || !r.seen || r.stopWanted || !r.task.Step.GetFills() {
			continue
		}
		fills = append(fills, r)
		if r.gentle {
			continue // at its pace it shows little of how it gets on
		}
		if name := imageOf(r.task.Step); d.now.Sub(r.began) >= settledAfter && !slices.Contains(settled, name) {
			settled = append(settled, name)
		}
	}
	slices.Sort(settled)
	return fills, settled
}

// lately returns the images of fills that have been on a worker at some time that a tail covers.
func (d *Dispatcher) lately(w *worker, fills []*run) []string {
	for _, fill := range fills {
		if !fill.gentle {
			w.filledAt[imageOf(fill.task.Step)] = d.now
		}
	}
	var present []string
	for name, at := range w.filledAt {
		if d.now.Sub(at) > settledAfter {
			delete(w.filledAt, name)
			continue
		}
		present = append(present, name)
	}
	slices.Sort(present)
	return present
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
	switch {
	case step.GetFills():
		own := imageOf(step)
		for _, victim := range w.victims {
			worst = max(worst, d.disturbances.Rate(d.now, victim, own))
		}
	case step.Serves():
		own := imageOf(step)
		for _, fill := range w.aggressors {
			worst = max(worst, d.disturbances.Rate(d.now, own, fill))
		}
	}
	return worst
}

// countImage counts a task of an image on a worker, or one less.
func (w *worker) countImage(i image, sign int) {
	w.images[i] += sign
	if count := w.images[i]; count > 1 || count == 1 && sign < 0 {
		return
	}
	if w.images[i] == 0 {
		delete(w.images, i)
	}
	w.victims, w.aggressors = w.victims[:0], w.aggressors[:0]
	for other := range w.images {
		if other.fills {
			w.aggressors = append(w.aggressors, other.name)
		} else {
			w.victims = append(w.victims, other.name)
		}
	}
	slices.Sort(w.victims)
	slices.Sort(w.aggressors)
}

// recordPairs proposes what has been learned of pairs, for the next leader.
func (d *Dispatcher) recordPairs() {
	learned := &controlpb.LearnPairs{}
	for _, p := range d.disturbances.TakeChanged(d.now) {
		learned.Pairs = append(learned.Pairs, &controlpb.ImagePair{Victim: p.Victim, Aggressor: p.Aggressor, Odds: p.Odds})
	}
	if len(learned.GetPairs()) > 0 {
		d.propose(&controlpb.WorkChange{Kind: &controlpb.WorkChange_LearnPairs{LearnPairs: learned}}, func(*controlpb.Result) {})
	}
}

// trialHosts is the number of hosts on which a fill is tried at once beside an image that it isn't known to get on with. A
// few looks at these tell, and the others aren't disturbed meanwhile.
const trialHosts = 3

// trial is a fill beside a serving image of which it isn't known whether they get on.
type trial struct{ victim, fill string }

// countTrials counts the hosts on which each trial is under way.
func (d *Dispatcher) countTrials() {
	clear(d.trials)
	for _, w := range d.roster {
		if w.serving > 0 && w.fills > 0 {
			d.eachTrial(w, func(t trial) { d.trials[t]++ })
		}
	}
}

// eachTrial calls a function with each trial that is under way on a worker.
func (d *Dispatcher) eachTrial(w *worker, visit func(trial)) {
	for _, victim := range w.victims {
		for _, fill := range w.aggressors {
			if d.disturbances.Rate(d.now, victim, fill) == disturbance.Unknown {
				visit(trial{victim, fill})
			}
		}
	}
}

// unsure reports whether a fill that isn't known to get on with the serving tasks of a worker shouldn't be tried there:
// because another image is being tried there, so that it wouldn't show which one disturbs, or because enough other hosts
// try the same.
func (d *Dispatcher) unsure(step *workload.Step, w *worker) bool {
	if !step.GetFills() || w.serving == 0 {
		return false
	}
	own := imageOf(step)
	isTried, refused := false, false
	d.eachTrial(w, func(t trial) {
		if t.fill == own {
			isTried = true
		} else {
			refused = true
		}
	})
	if refused || isTried {
		return refused
	}
	for _, victim := range w.victims {
		if d.trials[trial{victim, own}] >= trialHosts {
			return true
		}
	}
	return false
}

// noteTrials counts the trials that a new fill on a worker begins.
func (d *Dispatcher) noteTrials(step *workload.Step, w *worker) {
	own := image{imageOf(step), true}
	if !step.GetFills() || w.images[own] > 1 {
		return
	}
	for _, victim := range w.victims {
		if d.disturbances.Rate(d.now, victim, own.name) == disturbance.Unknown {
			d.trials[trial{victim, own.name}]++
		}
	}
}

// mixes reports whether a serving task of a step would share a worker with serving tasks of other images.
func mixes(step *workload.Step, w *worker) bool {
	if !step.Serves() {
		return false
	}
	own := imageOf(step)
	return len(w.victims) > 1 || len(w.victims) == 1 && w.victims[0] != own
}

// image is what runs on a worker, as far as it matters for its neighbours.
type image struct {
	name  string
	fills bool // it fills; else it serves
}
