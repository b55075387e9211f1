package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/interference"
	"galenamoor/internal/decision/placement"
)

const (
	// slowdownSmoothing is the weight of a new report in the exponentially smoothed slowdown of a service task.
	slowdownSmoothing = 0.4
	// minReports is the number of reports of a service task before its measured slowdown is acted on.
	minReports = 2
	// interferingEffect is the effect on some kind of service from which a kind of task counts as interfering.
	interferingEffect = 0.12
	// keepFreeWeight weighs the interference on a worker as a cost for tasks that do not interfere. It keeps room there for
	// interfering tasks, which add little interference.
	keepFreeWeight = 0.5
	// exemptPercent of the tasks of a service may stay slow. Gateways take the faster of two candidates, so that both are
	// slow for 0.09 * 0.09, less than 1% of calls.
	exemptPercent = 9
	// exemptHysteresis multiplies the score of tasks that are exempt already, so that the choice is stable.
	exemptHysteresis = 1.5
	// delaySlack is the slack at which the delay of an interfering task ends. It allows for the start and for errors of the
	// estimated run time.
	delaySlack = 60 * time.Second
	// maxDelay limits the delay of an interfering task without a deadline.
	maxDelay = 10 * time.Minute
	// interferenceMaxAge is the age up to which the cached interference on a worker is used, and the time between two choices of
	// the exempt tasks.
	interferenceMaxAge = 5 * time.Second
	// maxReviewedTasks bounds the service tasks that one call of mitigateInterference reviews.
	maxReviewedTasks = 4096
)

// serviceInterference is the interference with the tasks of one kind of service on a worker. Effects are slowdowns as natural
// logarithms.
type serviceInterference struct {
	kind        int32
	count       float64 // tasks of this kind on the worker
	effect      float64 // expected effect of all neighbours, at their throttles
	unthrottled float64 // expected effect of all neighbours if none were throttled
	evidence    float64 // part of the effect that is certain enough to act on
}

// interferenceScorer implements placement.InterferenceEstimator: it scores workers for the planner by the interference that
// a task of the current kind would cause there.
type interferenceScorer struct {
	scheduler  *Scheduler
	kind       int32
	effects    []serviceEffect // expected effect of kind on each kind of service
	maxEffect  float64
	computedAt time.Time
}

// serviceEffect is the expected effect of a kind of task on one kind of service.
type serviceEffect struct {
	service int32
	mean    float64
}

// setKind sets the kind of the task to be placed next.
func (sc *interferenceScorer) setKind(kind int32) {
	s := sc.scheduler
	sc.kind, sc.effects, sc.maxEffect, sc.computedAt = kind, sc.effects[:0], 0, s.now
	for _, service := range s.serviceKinds {
		mean := s.estimator.Expected(s.now, kind, service)
		sc.effects = append(sc.effects, serviceEffect{service, mean})
		sc.maxEffect = max(sc.maxEffect, mean)
	}
}

// maxEffectOf returns the largest expected effect of a kind of task on any kind of service.
func (s *Scheduler) maxEffectOf(kind int32) float64 {
	if s.scorer.kind != kind || s.scorer.computedAt != s.now {
		s.scorer.setKind(kind)
	}
	return s.scorer.maxEffect
}

// Interferes implements placement.InterferenceEstimator: it reports whether the current kind is interfering.
func (sc *interferenceScorer) Interferes(int32) bool { return sc.maxEffect >= interferingEffect }

// effectOn returns the expected effect of the current kind on a kind of service.
func (sc *interferenceScorer) effectOn(service int32) float64 {
	for _, e := range sc.effects {
		if e.service == service {
			return e.mean
		}
	}
	return 0
}

// wouldInterfere reports whether a task of the current kind would interfere with a service on a worker without exempt tasks.
// Unlike Penalty it does not saturate: otherwise interfering tasks would keep coming to a worker, which would never recover.
func (sc *interferenceScorer) wouldInterfere(id placement.ID) bool {
	w := sc.scheduler.byID[id]
	if w.exempt {
		return false
	}
	for _, n := range sc.scheduler.interferenceOn(w) {
		if sc.effectOn(n.kind) >= interferingEffect {
			return true
		}
	}
	return false
}

// Penalty implements placement.InterferenceEstimator. The cost of interference saturates: a service that is already slow
// loses little from one more neighbour, and callers are routed around it. So interfering tasks gather on few workers, and
// other tasks leave them the room there.
func (sc *interferenceScorer) Penalty(id placement.ID, _ int32) float64 {
	sum := 0.0
	nonInterfering := sc.maxEffect < interferingEffect
	w := sc.scheduler.byID[id]
	if w.exempt && !nonInterfering {
		return 0
	}
	if w.exempt {
		return keepFreeWeight
	}
	for _, n := range sc.scheduler.interferenceOn(w) {
		if nonInterfering {
			sum += n.count * keepFreeWeight * saturatingCost(n.effect)
		} else if mean := sc.effectOn(n.kind); mean > 0 {
			sum += n.count * (saturatingCost(n.effect+mean) - saturatingCost(n.effect))
		}
	}
	return sum
}

// saturatingCost maps an effect to a cost below 1.
func saturatingCost(effect float64) float64 { return effect / (1 + effect) }

// interferenceOn returns the interference with services on a worker. The result is cached for interferenceMaxAge or until the
// tasks of the worker change.
func (s *Scheduler) interferenceOn(w *worker) []serviceInterference {
	if !w.interferenceAt.IsZero() && s.now.Sub(w.interferenceAt) < interferenceMaxAge {
		return w.interference
	}
	w.interference, w.interferenceAt = w.interference[:0], s.now
	for _, t := range w.tasks {
		if !t.job.service {
			continue
		}
		if i := slices.IndexFunc(w.interference, func(n serviceInterference) bool { return n.kind == t.job.kind }); i >= 0 {
			w.interference[i].count++
		} else {
			w.interference = append(w.interference, serviceInterference{kind: t.job.kind, count: 1})
		}
	}
	for i := range w.interference {
		for _, t := range w.tasks {
			if t.job.service {
				continue
			}
			share := float64(t.throttle) / 100
			mean := s.estimator.Expected(s.now, t.job.kind, w.interference[i].kind)
			w.interference[i].effect += mean * share
			w.interference[i].unthrottled += mean
			w.interference[i].evidence += s.estimator.Evidence(s.now, t.job.kind, w.interference[i].kind) * share
		}
	}
	return w.interference
}

// recordLatency records a reported latency of a service task, for an interval that ended at end, and updates the estimator and
// the smoothed slowdown.
func (s *Scheduler) recordLatency(t *task, end time.Time, latency time.Duration) {
	if latency <= 0 || !end.After(t.slowdownAt) || end.Sub(t.since) < interference.ReportInterval {
		return
	}
	s.neighbourBuffer = t.worker.history.Neighbours(end, t.fence, s.neighbourBuffer[:0])
	slowdown := s.estimator.Observe(end, t.job.kind, s.neighbourBuffer, latency)
	if t.reports == 0 {
		t.slowdown = slowdown
	}
	t.slowdown += slowdownSmoothing * (slowdown - t.slowdown)
	t.slowdownAt = end
	t.reports++
}

// mitigateInterference acts on the neighbours of slow service tasks and lifts throttles that are no longer needed.
func (s *Scheduler) mitigateInterference() {
	if s.now.Sub(s.lastExemption) >= interferenceMaxAge {
		s.lastExemption = s.now
		s.chooseExempt()
	}
	s.planner.SetReserved(func(id placement.ID) bool { return !s.byID[id].exempt })
	for range min(len(s.serviceTasks), maxReviewedTasks) {
		if s.passFull() {
			return
		}
		s.reviewCursor = (s.reviewCursor + 1) % len(s.serviceTasks)
		if t := s.serviceTasks[s.reviewCursor]; !t.exempt {
			s.mitigateTask(t)
		}
	}
	s.throttled = slices.DeleteFunc(s.throttled, func(t *task) bool {
		if t.worker == nil || t.throttle == 100 {
			return true
		}
		if !s.passFull() && t.pendingThrottle == 0 && !t.stopping && (s.mayUnthrottle(t) || s.wouldMissDeadline(t, t.throttle)) {
			s.proposeThrottle(t, 100)
		}
		return false
	})
}

// chooseExempt chooses the service tasks that are exempt from mitigation and may stay slow: a small share of each job, those
// with the most interference from their neighbours. Gateways choose the faster of two candidates, so that a call is slow only
// if both are. Interfering tasks can then run at full speed on the workers of exempt tasks. These are chosen in advance, so
// that interfering tasks find such a worker when they arrive.
func (s *Scheduler) chooseExempt() {
	s.ranked = append(s.ranked[:0], s.serviceTasks...)
	for _, t := range s.ranked {
		t.exemptScore = s.interferenceOf(t).unthrottled
		if t.exempt {
			t.exemptScore = t.exemptScore*exemptHysteresis + interference.SlowThreshold
		}
		t.exempt, t.worker.exempt = false, false
	}
	slices.SortFunc(s.ranked, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.job.number, b.job.number), cmp.Compare(b.exemptScore, a.exemptScore), cmp.Compare(a.name, b.name))
	})
	for first := 0; first < len(s.ranked); {
		last := first
		for last < len(s.ranked) && s.ranked[last].job == s.ranked[first].job {
			last++
		}
		for _, t := range s.ranked[first : first+(last-first)*exemptPercent/100] {
			t.exempt, t.worker.exempt = true, true
		}
		first = last
	}
}

// interferenceOf returns the interference with a service task on its worker.
func (s *Scheduler) interferenceOf(t *task) serviceInterference {
	for _, n := range s.interferenceOn(t.worker) {
		if n.kind == t.job.kind {
			return n
		}
	}
	return serviceInterference{}
}

// shouldDelay reports whether a task should wait instead of starting on a worker where it would interfere with a service. It
// may wait as long as its deadline permits; until then a worker with exempt tasks may have room.
func (s *Scheduler) shouldDelay(t *task, id placement.ID) bool {
	if t.job.service || t.job.urgent || !s.options.Learning || !s.scorer.Interferes(t.job.kind) || !s.scorer.wouldInterfere(id) {
		return false
	}
	slack, ok := s.slack(t)
	if !ok {
		return s.now.Sub(t.since) < maxDelay
	}
	return slack > delaySlack
}

// actionableSlowdown returns the slowdown of a service task to act on: the larger of the one measured since the last action and
// the one predicted from the evidence against its neighbours. Without the prediction, which needs no new reports, each wave of
// interfering tasks would slow services for half a minute.
func (s *Scheduler) actionableSlowdown(t *task) float64 {
	evidence := s.interferenceOf(t).evidence
	if t.reports >= minReports && t.slowdownAt.After(t.mitigatedAt) {
		return max(evidence, t.slowdown)
	}
	return evidence
}

// mitigateTask takes at most one action on the neighbours of a service task that is slow.
func (s *Scheduler) mitigateTask(t *task) {
	slowdown := s.actionableSlowdown(t)
	if slowdown < interference.SlowThreshold {
		return
	}
	w := t.worker
	s.extendThrottles(t)
	var suspects []interference.Suspect
	var batch []*task
	for _, other := range w.tasks {
		if other.job.service || other.stopping || other.pendingStart || other.pendingThrottle != 0 ||
			other.state != controlpb.TaskState_RUNNING {
			continue
		}
		batch = append(batch, other)
		suspects = append(suspects, interference.Suspect{
			Kind: other.job.kind, Throttle: other.throttle, Checkpoints: other.job.checkpoints,
			Movable:           other.throttle <= interference.MinThrottle && s.movable(other),
			RanThroughout:     !other.since.After(t.slowdownAt.Add(-interference.ReportInterval)),
			WouldMissDeadline: s.wouldMissDeadline(other, nextThrottle(other)), LostWork: s.evictionCost(other),
		})
	}
	i, action := s.estimator.ChooseAction(s.now, int32(w.id), t.job.kind, slowdown, suspects)
	if action == interference.NoAction {
		return
	}
	s.applyAction(t, batch[i], action)
}

// applyAction proposes an action on a neighbour of service task t.
func (s *Scheduler) applyAction(t, neighbour *task, action interference.Action) {
	if action == interference.Throttle {
		// The evidence is about the kind, so all its tasks on this worker are throttled together.
		for _, other := range t.worker.tasks {
			if other.job.kind == neighbour.job.kind && other.state == controlpb.TaskState_RUNNING && !other.stopping &&
				!s.passFull() && !s.wouldMissDeadline(other, nextThrottle(other)) {
				s.proposeThrottle(other, nextThrottle(other))
			}
		}
	} else if !s.stop(neighbour, controlpb.StopReason_EVICT_INTERFERENCE, "slows "+t.name) {
		return
	}
	t.mitigatedAt = s.now
	s.estimator.RecordAction(s.now, int32(t.worker.id), neighbour.job.kind, t.job.kind, action, nextThrottle(neighbour))
}

// proposeThrottle proposes to throttle a task to a percentage of its processors; 100 lifts the throttle.
func (s *Scheduler) proposeThrottle(t *task, percent int32) {
	if t.throttle == percent || t.pendingThrottle != 0 {
		return
	}
	t.pendingThrottle = percent
	s.propose(&controlpb.Command{Kind: &controlpb.Command_ThrottleTask{ThrottleTask: &controlpb.ThrottleTask{
		Task: t.name, Fence: t.fence, Percent: percent,
	}}})
}

// extendThrottles extends recent throttles to tasks of the same kind that started on the worker afterwards.
func (s *Scheduler) extendThrottles(t *task) {
	for _, other := range t.worker.tasks {
		if other.job.service || other.throttle < 100 || other.state != controlpb.TaskState_RUNNING || other.stopping || s.passFull() {
			continue
		}
		percent := s.estimator.RecentThrottle(s.now, int32(t.worker.id), other.job.kind, t.job.kind)
		if percent < 100 && !s.wouldMissDeadline(other, percent) {
			s.proposeThrottle(other, percent)
		}
	}
}

// nextThrottle returns the next lower throttle of a task, in percent.
func nextThrottle(t *task) int32 { return max(t.throttle/2, interference.MinThrottle) }

// wouldMissDeadline reports whether a throttle, from now on, would probably make a task miss its deadline. It returns false if
// the task would miss it at full speed as well.
func (s *Scheduler) wouldMissDeadline(t *task, throttle int32) bool {
	if t.job.entry.Deadline.IsZero() {
		return false
	}
	remaining := s.remainingRunTime(t)
	untilDeadline := t.job.entry.Deadline.Sub(s.now)
	return untilDeadline > remaining && untilDeadline < remaining*100/time.Duration(throttle)
}

// mayUnthrottle reports whether no service on the worker would be slow with the task at full speed.
func (s *Scheduler) mayUnthrottle(t *task) bool {
	for _, other := range t.worker.tasks {
		if other.job.service && !other.exempt && !s.estimator.MayUnthrottle(s.now, int32(t.worker.id), t.job.kind, other.job.kind, other.slowdown, t.throttle) {
			return false
		}
	}
	return true
}

// movable reports whether another worker would take a task with less than half of its current interference cost.
func (s *Scheduler) movable(t *task) bool {
	r := t.planned
	r.Zones, r.Avoid = t.job.zones, t.avoid
	r.Avoid[rejectionIndex] = t.worker.id
	s.scorer.setKind(t.job.kind)
	id := s.planner.Place(&r)
	if id == placement.None {
		return false
	}
	currentCost := 0.0
	for _, n := range s.interferenceOn(t.worker) {
		effect := s.estimator.Expected(s.now, t.job.kind, n.kind)
		currentCost += n.count * (saturatingCost(n.effect) - saturatingCost(math.Max(n.effect-effect, 0)))
	}
	return s.scorer.Penalty(id, t.job.kind) < currentCost/2
}
