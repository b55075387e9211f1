// Package interference learns which kinds of task disturb each other from latency reports that arrive late and are
// noisy, and advises how to relieve a service that is slow because of a neighbour.
//
// The model is linear in logarithms: the latency of a service task is a baseline of its kind plus, for each neighbour, an
// effect of the pair (kind of the neighbour, kind of the service) times the neighbour's weight. Each baseline and effect
// is a mean with a variance; each report updates the terms it involves in proportion to their variance, as a Kalman
// filter with a diagonal covariance does. The baseline follows changes of load, which slow all tasks of a service alike,
// so that load is not attributed to neighbours.
package interference

import (
	"math"
	"time"
)

// Kind numbers a kind of task. Kinds are numbered from 0 in the order in which they become known.
type Kind = int32

// Neighbour is a kind of task that ran beside a service task, with its weight: 1 for one unthrottled task throughout the
// measured interval.
type Neighbour struct {
	Kind   Kind
	Weight float64
}

const (
	// priorDeviation is the uncertainty about an unknown pair: a slowdown of up to 2 is not surprising.
	priorDeviation = 0.35
	// reportVariance is that of one report's logarithm; a p99 over a few seconds scatters by about 30%.
	reportVariance = 0.3 * 0.3
	// pairDrift is the variance that a pair gains per second; an untouched pair is unknown again after about an hour.
	pairDrift = priorDeviation * priorDeviation / 3600
	// baselineDrift is the variance that a baseline gains per second; load changes by about 10% in a minute.
	baselineDrift = 0.1 * 0.1 / 60
	// baselinePrior is the variance of an unknown baseline.
	baselinePrior = 9.0
	// maxInnovation bounds the effect of one report, in standard deviations of its prediction.
	maxInnovation = 2.5
	// evidenceDeviations is the number of deviations by which an effect must differ from 0 to count as evidence.
	evidenceDeviations = 1.5
	// avoidDuration is how long a pair that had to be relieved is not made again where there is a choice.
	avoidDuration = 10 * time.Minute
	// avoidPenalty is what is added to the effect of an avoided pair when placements are compared.
	avoidPenalty = 0.5
	// maxPairs bounds the memory; the pair that was seen longest ago is dropped first.
	maxPairs = 1 << 14
)

type pairKey struct{ aggressor, victim Kind }

// estimate is a mean with a variance that grows while there is no evidence.
type estimate struct {
	mean, variance float64
	seen           time.Time
	avoidUntil     time.Time
}

// Estimator holds what is known about pairs of kinds. It is not safe for concurrent use.
type Estimator struct {
	kinds     map[string]Kind
	names     []string
	pairs     map[pairKey]*estimate
	baselines map[Kind]*estimate
	actions   map[actionKey]actionRecord
	now       time.Time
}

// New returns an estimator without knowledge.
func New() *Estimator {
	return &Estimator{
		kinds: map[string]Kind{}, pairs: map[pairKey]*estimate{}, baselines: map[Kind]*estimate{}, actions: map[actionKey]actionRecord{},
	}
}

// Kind returns the number of a kind.
func (e *Estimator) Kind(name string) Kind {
	k, ok := e.kinds[name]
	if !ok {
		k = Kind(len(e.names))
		e.kinds[name] = k
		e.names = append(e.names, name)
	}
	return k
}

// Name returns the name of a kind.
func (e *Estimator) Name(k Kind) string { return e.names[k] }

// Observe learns from one report: the latency of a task of kind victim during an interval that ended at the given time,
// and the neighbours of that interval. It returns the slowdown against the baseline, as a natural logarithm.
func (e *Estimator) Observe(at time.Time, victim Kind, neighbours []Neighbour, latency time.Duration) float64 {
	if latency <= 0 {
		return 0
	}
	if at.After(e.now) {
		e.now = at
	}
	measured := math.Log(latency.Seconds())
	base, known := e.baselines[victim]
	if !known {
		base = &estimate{mean: measured, variance: baselinePrior, seen: at}
		e.baselines[victim] = base
	}
	base.advance(at, baselineDrift, baselinePrior)
	predicted, variance := base.mean, base.variance+reportVariance
	for _, n := range neighbours {
		t := e.pairAt(at, n.Kind, victim)
		predicted += n.Weight * t.mean
		variance += n.Weight * n.Weight * t.variance
	}
	limit := maxInnovation * math.Sqrt(variance)
	innovation := min(max(measured-predicted, -limit), limit)
	slowdown := measured - base.mean
	base.update(innovation, 1, variance)
	for _, n := range neighbours {
		t := e.pairs[pairKey{n.Kind, victim}]
		t.update(innovation, n.Weight, variance)
		t.mean = max(t.mean, 0) // a neighbour does not speed a task up
	}
	return slowdown
}

// Effect returns the mean slowdown (natural logarithm) that one task of kind aggressor causes to one of kind victim, and
// its standard deviation.
func (e *Estimator) Effect(now time.Time, aggressor, victim Kind) (mean, deviation float64) {
	t, ok := e.pairs[pairKey{aggressor, victim}]
	if !ok {
		return 0, priorDeviation
	}
	return t.mean, math.Sqrt(t.varianceAt(now, pairDrift, priorDeviation*priorDeviation))
}

// Evidence returns the part of a pair's effect that is certain enough to act on; 0 without evidence.
func (e *Estimator) Evidence(now time.Time, aggressor, victim Kind) float64 {
	mean, deviation := e.Effect(now, aggressor, victim)
	return max(0, mean-evidenceDeviations*deviation)
}

// Expected returns the effect to compare placements by: the mean, raised for a pair that had to be relieved lately.
func (e *Estimator) Expected(now time.Time, aggressor, victim Kind) float64 {
	t, ok := e.pairs[pairKey{aggressor, victim}]
	if !ok {
		return 0
	}
	if now.Before(t.avoidUntil) {
		return t.mean + avoidPenalty
	}
	return t.mean
}

// Baseline returns the latency of a kind without disturbance, and false before its first report.
func (e *Estimator) Baseline(victim Kind) (time.Duration, bool) {
	t, ok := e.baselines[victim]
	if !ok {
		return 0, false
	}
	return time.Duration(math.Exp(t.mean) * float64(time.Second)), true
}

func (e *Estimator) pairAt(at time.Time, aggressor, victim Kind) *estimate {
	key := pairKey{aggressor, victim}
	t, ok := e.pairs[key]
	if !ok {
		if len(e.pairs) >= maxPairs {
			e.dropOldestPair()
		}
		t = &estimate{variance: priorDeviation * priorDeviation, seen: at}
		e.pairs[key] = t
		return t
	}
	t.advance(at, pairDrift, priorDeviation*priorDeviation)
	return t
}

func (e *Estimator) dropOldestPair() {
	var oldest pairKey
	var seen time.Time
	for key, t := range e.pairs {
		earlier := seen.IsZero() || t.seen.Before(seen)
		tie := t.seen.Equal(seen) && (key.aggressor < oldest.aggressor || key.aggressor == oldest.aggressor && key.victim < oldest.victim)
		if earlier || tie {
			oldest, seen = key, t.seen
		}
	}
	delete(e.pairs, oldest)
}

func (t *estimate) varianceAt(at time.Time, drift, limit float64) float64 {
	if !at.After(t.seen) {
		return t.variance
	}
	return max(t.variance, min(limit, t.variance+drift*at.Sub(t.seen).Seconds()))
}

func (t *estimate) advance(at time.Time, drift, limit float64) {
	t.variance = t.varianceAt(at, drift, limit)
	if at.After(t.seen) {
		t.seen = at
	}
}

func (t *estimate) update(innovation, weight, variance float64) {
	gain := t.variance * weight / variance
	t.mean += gain * innovation
	t.variance *= 1 - gain*weight
}
