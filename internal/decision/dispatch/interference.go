package dispatch

import (
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/imagepair"
	"galenamoor/internal/decision/workload"
)

// tailExposure is the running time after which a best-effort run has affected the whole window of a tail latency, which
// covers the last half second.
const tailExposure = 600 * time.Millisecond

const (
	// servingProgress is the progress, in percent, that a serving task reports once it is ready to serve.
	servingProgress = 100

	// pollOftenRatio is the ratio of tail latency to target from which on a worker with serving and best-effort tasks is
	// polled more often.
	pollOftenRatio = 0.8
)

// controlInterference evaluates the tail latencies of a worker's serving tasks, and stops or pauses best-effort runs
// that interfere with them.
func (d *Dispatcher) controlInterference(w *worker) {
	w.latencyRatio = 0
	bestEffort, wholeWindow := d.bestEffortOn(w)
	d.updateThrottled(w, bestEffort)
	inWindow := d.imagesInWindow(w, bestEffort)
	if w.speed < fullSpeed {
		wholeWindow, inWindow = nil, nil // paused runs can't interfere, so they give no evidence
	}
	worstRatios := map[string]float64{}
	for r := range w.liveRuns() {
		if !r.task.Step.IsServing() || r.measurement < 0 || r.progress < servingProgress {
			continue
		}
		latencyRatio := float64(r.measurement) / float64(r.task.Step.GetTargetMs())
		w.latencyRatio = max(w.latencyRatio, latencyRatio)
		served := image{imageOf(r.task.Step), false}
		worstRatios[served.name] = max(worstRatios[served.name], latencyRatio)
		w.noteBlame(d.interference.Observe(d.now, served.name, latencyRatio, 1/float64(max(1, w.images[served])), wholeWindow, inWindow))
	}
	d.settleBlames(w, worstRatios)
	w.pollOften = (w.latencyRatio >= pollOftenRatio || w.speed < fullSpeed) && (len(bestEffort) > 0 || len(w.blames) > 0)
	for _, r := range bestEffort {
		switch d.interferenceWith(r.task.Step, w) {
		case imagepair.Harmful:
			if !r.throttled {
				d.requestStop(r, "it interferes with serving tasks")
			}
		case imagepair.Unknown:
			w.pollOften = true
		}
	}
	d.pauseIfOverTarget(w, bestEffort)
	d.logUnpaused(w)
}

// bestEffortOn returns the best-effort runs on a worker that aren't being stopped, and the images of those that have run
// for a whole tail-latency window.
func (d *Dispatcher) bestEffortOn(w *worker) (bestEffort []*run, wholeWindow []string) {
	for r := range w.liveRuns() {
		if !r.seen || r.stopRequested || !r.task.Step.GetFills() {
			continue
		}
		bestEffort = append(bestEffort, r)
		if r.throttled {
			continue // at reduced speed it is weak evidence of interference
		}
		if name := imageOf(r.task.Step); d.now.Sub(r.began) >= tailExposure && !slices.Contains(wholeWindow, name) {
			wholeWindow = append(wholeWindow, name)
		}
	}
	slices.Sort(wholeWindow)
	return bestEffort, wholeWindow
}

// imagesInWindow returns the images of best-effort runs that ran on a worker during any part of the tail-latency window.
func (d *Dispatcher) imagesInWindow(w *worker, bestEffort []*run) []string {
	for _, r := range bestEffort {
		if !r.throttled {
			w.bestEffortSeen[imageOf(r.task.Step)] = d.now
		}
	}
	var inWindow []string
	for name, at := range w.bestEffortSeen {
		if d.now.Sub(at) > tailExposure {
			delete(w.bestEffortSeen, name)
			continue
		}
		inWindow = append(inWindow, name)
	}
	slices.Sort(inWindow)
	return inWindow
}

// imageOf returns the name under which a step's tasks are tracked for interference: the image or, without one, the
// queue.
func imageOf(step *workload.Step) string {
	if image := step.GetImage(); image != "" {
		return image
	}
	return step.Job.Spec.GetQueue()
}

// interferenceWith rates the interference of a step's task with the tasks on a worker: the worst rating of any pair that
// it would be part of.
func (d *Dispatcher) interferenceWith(step *workload.Step, w *worker) imagepair.Rating {
	worst := imagepair.Harmless
	switch {
	case step.GetFills():
		own := imageOf(step)
		for _, victim := range w.victims {
			worst = max(worst, d.interference.Rating(d.now, victim, own))
		}
	case step.IsServing():
		own := imageOf(step)
		for _, aggressor := range w.aggressors {
			worst = max(worst, d.interference.Rating(d.now, own, aggressor))
		}
	}
	return worst
}

// countImage adds sign to the number of tasks of an image on a worker.
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
		if other.bestEffort {
			w.aggressors = append(w.aggressors, other.name)
		} else {
			w.victims = append(w.victims, other.name)
		}
	}
	slices.Sort(w.victims)
	slices.Sort(w.aggressors)
}

// recordInterference proposes changed interference ratings, so that the next leader knows them.
func (d *Dispatcher) recordInterference() {
	learn := &controlpb.LearnPairs{}
	for _, p := range d.interference.DrainChanges(d.now) {
		learn.Pairs = append(learn.Pairs, &controlpb.ImagePair{Victim: p.Victim, Aggressor: p.Aggressor, Odds: p.LogOdds})
	}
	if len(learn.GetPairs()) > 0 {
		d.propose(&controlpb.WorkChange{Kind: &controlpb.WorkChange_LearnPairs{LearnPairs: learn}}, func(*controlpb.Result) {})
	}
}

// maxTrialHosts is the number of hosts on which a best-effort image is tried concurrently beside a serving image with which
// its interference is unknown. A few polls of these hosts suffice to rate the pair, and the serving tasks of other hosts
// aren't exposed in the meantime.
const maxTrialHosts = 3

// trial is a best-effort image beside a serving image with unknown interference.
type trial struct{ victim, aggressor string }

// countTrials counts the hosts on which each trial is under way.
func (d *Dispatcher) countTrials() {
	clear(d.trials)
	for _, w := range d.orderedWorkers {
		if w.servingTasks > 0 && w.bestEffortProcessors > 0 {
			d.forEachTrial(w, func(t trial) { d.trials[t]++ })
		}
	}
}

// forEachTrial calls visit for each trial that is under way on a worker.
func (d *Dispatcher) forEachTrial(w *worker, visit func(trial)) {
	for _, victim := range w.victims {
		for _, aggressor := range w.aggressors {
			if d.interference.Rating(d.now, victim, aggressor) == imagepair.Unknown {
				visit(trial{victim, aggressor})
			}
		}
	}
}

// trialBlocked reports whether a best-effort task of unknown interference must not be placed on a worker: another image
// is on trial there, so that interference couldn't be attributed, or enough other hosts run the same trial.
func (d *Dispatcher) trialBlocked(step *workload.Step, w *worker) bool {
	if !step.GetFills() || w.servingTasks == 0 {
		return false
	}
	own := imageOf(step)
	isSameTrial, isOtherTrial := false, false
	d.forEachTrial(w, func(t trial) {
		if t.aggressor == own {
			isSameTrial = true
		} else {
			isOtherTrial = true
		}
	})
	if isOtherTrial || isSameTrial {
		return isOtherTrial
	}
	for _, victim := range w.victims {
		if d.trials[trial{victim, own}] >= maxTrialHosts {
			return true
		}
	}
	return false
}

// countNewTrials counts the trials that a new best-effort run starts on a worker.
func (d *Dispatcher) countNewTrials(step *workload.Step, w *worker) {
	added := image{imageOf(step), true}
	if !step.GetFills() || w.images[added] > 1 {
		return
	}
	for _, victim := range w.victims {
		if d.interference.Rating(d.now, victim, added.name) == imagepair.Unknown {
			d.trials[trial{victim, added.name}]++
		}
	}
}

// mixesImages reports whether a serving task would share a worker with serving tasks of other images.
func mixesImages(step *workload.Step, w *worker) bool {
	if !step.IsServing() {
		return false
	}
	own := imageOf(step)
	return len(w.victims) > 1 || len(w.victims) == 1 && w.victims[0] != own
}

// image identifies what a task runs, for its interference with other tasks on the worker.
type image struct {
	name       string
	bestEffort bool // whether the task is best-effort rather than serving
}
