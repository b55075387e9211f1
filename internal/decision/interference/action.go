package interference

import (
	"math"
	"time"
)

// Action is a way to mitigate interference with a service task. Actions are ordered by cost.
type Action uint8

// The values of Action.
const (
	NoAction Action = iota
	Throttle        // lower the task's share of its processors
	Move            // checkpoint, stop and start on another worker
	Evict           // stop without a checkpoint, which loses the work
)

const (
	// Cooldown is the shortest time between two actions on the same pair of kinds on the same worker. Reports cover 5 s and
	// arrive up to 30 s late, so the effect of an action cannot be judged much earlier.
	Cooldown = 60 * time.Second
	// SlowThreshold is the slowdown (natural logarithm) from which a service task counts as slow.
	SlowThreshold = 0.4
	// EvictThreshold is the slowdown (natural logarithm) from which an action may lose work; below it neighbours are only
	// throttled or moved.
	EvictThreshold = 1.4
	// MinThrottle is the lowest throttle: the share of its processors, in percent, that a task keeps.
	MinThrottle = 25
	// minEvidence is the evidence (natural logarithm) from which a neighbour is acted on.
	minEvidence = 0.1
	// unthrottleThreshold is the predicted slowdown (natural logarithm) below which a throttle is lifted.
	unthrottleThreshold = 0.2
)

// Suspect is a batch task that runs beside a slow service task and may be the cause.
type Suspect struct {
	Kind              Kind
	Throttle          int32 // current throttle in percent; 100 for none
	Checkpoints       bool
	Movable           bool    // another worker would take it with less interference
	RanThroughout     bool    // it ran throughout the interval in which the slowdown was measured
	WouldMissDeadline bool    // the next throttle would make it miss its deadline
	LostWork          float64 // work that a stop would lose, in core-seconds
}

// actionKey identifies a pair of kinds on a worker.
type actionKey struct {
	worker int32
	pair   pairKey
}

type actionRecord struct {
	at      time.Time
	kind    Action
	percent int32
}

// ChooseAction chooses at most one action for a slow service task and returns the index of the suspect to act on, or -1 and
// NoAction. It prefers the cheapest action: a throttle, then a move, then an eviction that loses work. Among equal actions it
// prefers the suspect with the largest evidence against it, weighted by its throttle and reduced by the work that a stop would
// lose. It never acts on a suspect without evidence.
func (e *Estimator) ChooseAction(now time.Time, worker int32, victim Kind, slowdown float64, suspects []Suspect) (int, Action) {
	if slowdown < SlowThreshold {
		return -1, NoAction
	}
	best, bestAction, bestGain := -1, NoAction, 0.0
	for i, s := range suspects {
		effect := e.Evidence(now, s.Kind, victim)
		if effect < minEvidence || !s.RanThroughout || e.inCooldown(now, worker, s.Kind, victim) {
			continue
		}
		action := s.cheapestAction(slowdown)
		if action == NoAction {
			continue
		}
		gain := effect * float64(s.Throttle) / 100
		if best < 0 || action < bestAction || action == bestAction && gain/(1+s.LostWork/1000) > bestGain {
			best, bestAction, bestGain = i, action, gain/(1+s.LostWork/1000)
		}
	}
	return best, bestAction
}

// RecordAction records an action, with the percentage if it is a throttle. It starts the cooldown of the pair on the worker and
// the time in which placement avoids the pair.
func (e *Estimator) RecordAction(now time.Time, worker int32, aggressor, victim Kind, action Action, percent int32) {
	key := pairKey{aggressor, victim}
	e.actions[actionKey{worker, key}] = actionRecord{now, action, percent}
	e.pairAt(now, aggressor, victim).avoidUntil = now.Add(avoidDuration)
	if len(e.actions) > maxPairs {
		for k, a := range e.actions {
			if now.Sub(a.at) >= Cooldown {
				delete(e.actions, k)
			}
		}
	}
}

// RecentThrottle returns the percentage at which tasks of kind aggressor were throttled on a worker within the cooldown, or 100.
func (e *Estimator) RecentThrottle(now time.Time, worker int32, aggressor, victim Kind) int32 {
	a, ok := e.actions[actionKey{worker, pairKey{aggressor, victim}}]
	if !ok || a.kind != Throttle || now.Sub(a.at) >= Cooldown {
		return 100
	}
	return a.percent
}

// MayUnthrottle reports whether a throttled task of kind aggressor may run at full speed beside a service task: the cooldown is
// over and the predicted slowdown is small. Evidence fades without new reports, so that a throttle is eventually lifted again.
func (e *Estimator) MayUnthrottle(now time.Time, worker int32, aggressor, victim Kind, slowdown float64, throttle int32) bool {
	if e.inCooldown(now, worker, aggressor, victim) {
		return false
	}
	added := e.Evidence(now, aggressor, victim) * float64(100-throttle) / 100
	return math.Max(slowdown, 0)+added < unthrottleThreshold
}

// cheapestAction returns the cheapest action that is possible on a suspect.
func (s Suspect) cheapestAction(slowdown float64) Action {
	switch {
	case s.Throttle > MinThrottle && !s.WouldMissDeadline:
		return Throttle
	case s.Checkpoints && s.Movable:
		return Move
	case slowdown >= EvictThreshold && s.Movable && !s.Checkpoints:
		return Evict
	}
	return NoAction
}

// inCooldown reports whether there was an action on a pair on a worker within the cooldown.
func (e *Estimator) inCooldown(now time.Time, worker int32, aggressor, victim Kind) bool {
	a, ok := e.actions[actionKey{worker, pairKey{aggressor, victim}}]
	return ok && now.Sub(a.at) < Cooldown
}
