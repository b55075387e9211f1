package interference

import (
	"math"
	"time"
)

// Action relieves a service task, in order of cost.
type Action uint8

// The actions.
const (
	NoAction Action = iota
	Throttle
	Move  // checkpoint, stop and start elsewhere
	Evict // stop without a checkpoint: its work is lost
)

const (
	// Cooldown is the shortest time between two actions on the same pair on the same worker. Reports arrive up to
	// 30 s late and cover 5 s, so an action's effect cannot be judged much earlier.
	Cooldown = 60 * time.Second
	// SlowThreshold is the slowdown (natural logarithm) from which a service task needs relief.
	SlowThreshold = 0.4
	// EvictThreshold is the slowdown from which work may be thrown away; a service slowed less is left throttled.
	EvictThreshold = 1.4
	// MinThrottle is the smallest share of its processors, in percent, that a task is left.
	MinThrottle = 25
	// minEvidence is the smallest certain effect for which a neighbour is acted upon.
	minEvidence = 0.1
	// unthrottleThreshold is the predicted slowdown below which a throttle is lifted.
	unthrottleThreshold = 0.2
)

// Suspect is a batch task beside a slow service task.
type Suspect struct {
	Kind              Kind
	Throttle          int32 // percent in force; 100 for none
	Checkpoints       bool
	Movable           bool    // another worker would take it with less interference
	RanThroughout     bool    // it ran throughout the interval by which the service was judged
	WouldMissDeadline bool    // throttling would make it miss its deadline
	LostWork          float64 // work that a stop throws away, in core-seconds
}

type actionKey struct {
	worker int32
	pair   pairKey
}

type actionRecord struct {
	at      time.Time
	kind    Action
	percent int32
}

// ChooseAction chooses at most one action for a slow service task: the neighbour with the largest certain effect is throttled;
// when that was not enough, one that can checkpoint is moved; work is thrown away last. The result is the index of the
// suspect. A service is never relieved at the cost of a neighbour against which there is no evidence.
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

// RecordAction records an action, for a throttle with its percentage, for the hysteresis and so that the pair is not made again soon.
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

// RecentThrottle returns the percentage at which tasks of a kind were throttled on a worker within the hysteresis; 100 if none.
func (e *Estimator) RecentThrottle(now time.Time, worker int32, aggressor, victim Kind) int32 {
	a, ok := e.actions[actionKey{worker, pairKey{aggressor, victim}}]
	if !ok || a.kind != Throttle || now.Sub(a.at) >= Cooldown {
		return 100
	}
	return a.percent
}

// MayUnthrottle reports whether a throttled task of kind aggressor may run at full speed beside a service task: the service is
// not slow, the last action lies back far enough, and the slowdown to expect stays small. As an effect that is not
// measured any more becomes uncertain, lifting is tried again.
func (e *Estimator) MayUnthrottle(now time.Time, worker int32, aggressor, victim Kind, slowdown float64, throttle int32) bool {
	if e.inCooldown(now, worker, aggressor, victim) {
		return false
	}
	added := e.Evidence(now, aggressor, victim) * float64(100-throttle) / 100
	return math.Max(slowdown, 0)+added < unthrottleThreshold
}

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

func (e *Estimator) inCooldown(now time.Time, worker int32, aggressor, victim Kind) bool {
	a, ok := e.actions[actionKey{worker, pairKey{aggressor, victim}}]
	return ok && now.Sub(a.at) < Cooldown
}
