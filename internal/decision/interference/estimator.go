// Package interference estimates which kinds of task slow down which services, from latency reports that are late and noisy, and
// chooses actions against the neighbours of a slow service task.
//
// The model is linear in logarithms: the latency of a service task is the baseline of its kind plus, for each neighbour, the
// effect of the pair (kind of the neighbour, kind of the service) times the weight of the neighbour. Each baseline and effect is
// a mean with a variance. A report updates its baseline and effects in proportion to their variances, as in a Kalman filter with
// a diagonal covariance matrix. The baseline follows changes of load, which slow down all tasks of a service alike, so that load
// is not attributed to neighbours.
package interference

import (
	"math"
	"time"
)

// Kind is the number of a kind of task. Kinds are numbered from 0 in the order in which they become known.
type Kind = int32

// Neighbour is a kind of task that ran beside a service task. Its weight is 1 for one unthrottled task that ran throughout the
// interval of a report.
type Neighbour struct {
	Kind   Kind
	Weight float64
}

const (
	// priorDeviation is the standard deviation of the effect of an unknown pair. A slowdown by a factor of 2 lies within two
	// deviations.
	priorDeviation = 0.35
	// reportVariance is the variance of the logarithm of a reported latency. A p99 over a few seconds varies by about 30%.
	reportVariance = 0.3 * 0.3
	// pairDrift is the variance that an effect gains per second. Without reports a pair is as good as unknown after an hour.
	pairDrift = priorDeviation * priorDeviation / 3600
	// baselineDrift is the variance that a baseline gains per second. Load changes by about 10% in a minute.
	baselineDrift = 0.1 * 0.1 / 60
	// baselinePrior is the variance of an unknown baseline.
	baselinePrior = 9.0
	// maxInnovation limits the innovation (measured minus predicted value) of a report, in standard deviations, so that
	// outliers have little weight.
	maxInnovation = 2.5
	// evidenceDeviations is the number of standard deviations by which an effect must exceed 0 to count as evidence.
	evidenceDeviations = 1.5
	// avoidDuration is how long placement avoids a pair after an action on it.
	avoidDuration = 10 * time.Minute
	// avoidPenalty is added to the effect of an avoided pair when placements are compared.
	avoidPenalty = 0.5
	// maxPairs limits memory. The pair whose last report is the oldest is dropped first.
	maxPairs = 1 << 14
)

// pairKey identifies the effect of one kind of task on one kind of service.
type pairKey struct{ aggressor, victim Kind }

// estimate is a mean with a variance that grows while there are no reports.
type estimate struct {
	mean, variance float64
	updatedAt      time.Time // time to which variance refers: that of the last report or action
	avoidUntil     time.Time // pairs only: end of the time in which placement avoids the pair
}

// Estimator holds the estimated baselines and effects. It is not safe for concurrent use.
type Estimator struct {
	kinds     map[string]Kind
	names     []string
	pairs     map[pairKey]*estimate
	baselines map[Kind]*estimate
	actions   map[actionKey]actionRecord
	now       time.Time
}

// New returns an estimator without observations.
func New() *Estimator {
	return &Estimator{
		kinds: map[string]Kind{}, pairs: map[pairKey]*estimate{}, baselines: map[Kind]*estimate{}, actions: map[actionKey]actionRecord{},
	}
}

// Kind returns the number of the kind with a name, and assigns one to a new name.
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

// Observe updates the estimates with one report: the latency of a task of kind victim during an interval that ended at the given
// time, and the neighbours in that interval. It returns the slowdown relative to the baseline, as a natural logarithm. A latency
// that is not positive is ignored.
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
		base = &estimate{mean: measured, variance: baselinePrior, updatedAt: at}
		e.baselines[victim] = base
	}
	base.advance(at, baselineDrift, baselinePrior)
	predicted, variance := base.mean, base.variance+reportVariance
	for _, n := range neighbours {
		est := e.pairAt(at, n.Kind, victim)
		predicted += n.Weight * est.mean
		variance += n.Weight * n.Weight * est.variance
	}
	limit := maxInnovation * math.Sqrt(variance)
	innovation := min(max(measured-predicted, -limit), limit)
	slowdown := measured - base.mean
	base.update(innovation, 1, variance)
	for _, n := range neighbours {
		est := e.pairs[pairKey{n.Kind, victim}]
		est.update(innovation, n.Weight, variance)
		est.mean = max(est.mean, 0) // a neighbour does not speed a task up
	}
	return slowdown
}

// Effect returns the mean slowdown (natural logarithm) that one task of kind aggressor causes to a task of kind victim, and its
// standard deviation.
func (e *Estimator) Effect(now time.Time, aggressor, victim Kind) (mean, deviation float64) {
	est, ok := e.pairs[pairKey{aggressor, victim}]
	if !ok {
		return 0, priorDeviation
	}
	return est.mean, math.Sqrt(est.varianceAt(now, pairDrift, priorDeviation*priorDeviation))
}

// Evidence returns the part of a pair's effect that is certain enough to act on, or 0.
func (e *Estimator) Evidence(now time.Time, aggressor, victim Kind) float64 {
	mean, deviation := e.Effect(now, aggressor, victim)
	return max(0, mean-evidenceDeviations*deviation)
}

// Expected returns the effect of a pair for comparing placements: the mean, increased while the pair is avoided.
func (e *Estimator) Expected(now time.Time, aggressor, victim Kind) float64 {
	est, ok := e.pairs[pairKey{aggressor, victim}]
	if !ok {
		return 0
	}
	if now.Before(est.avoidUntil) {
		return est.mean + avoidPenalty
	}
	return est.mean
}

// Baseline returns the latency of a kind of service without interference, and false before its first report.
func (e *Estimator) Baseline(victim Kind) (time.Duration, bool) {
	est, ok := e.baselines[victim]
	if !ok {
		return 0, false
	}
	return time.Duration(math.Exp(est.mean) * float64(time.Second)), true
}

// pairAt returns the estimate of a pair at the given time, and creates it when it is unknown.
func (e *Estimator) pairAt(at time.Time, aggressor, victim Kind) *estimate {
	key := pairKey{aggressor, victim}
	est, ok := e.pairs[key]
	if !ok {
		if len(e.pairs) >= maxPairs {
			e.dropOldestPair()
		}
		est = &estimate{variance: priorDeviation * priorDeviation, updatedAt: at}
		e.pairs[key] = est
		return est
	}
	est.advance(at, pairDrift, priorDeviation*priorDeviation)
	return est
}

// dropOldestPair drops the pair that was observed longest ago. Ties are broken by kind, to be independent of the map order.
func (e *Estimator) dropOldestPair() {
	var oldest pairKey
	var oldestAt time.Time
	for key, est := range e.pairs {
		earlier := oldestAt.IsZero() || est.updatedAt.Before(oldestAt)
		tie := est.updatedAt.Equal(oldestAt) && (key.aggressor < oldest.aggressor || key.aggressor == oldest.aggressor && key.victim < oldest.victim)
		if earlier || tie {
			oldest, oldestAt = key, est.updatedAt
		}
	}
	delete(e.pairs, oldest)
}

// varianceAt returns the variance at the given time: it grows with the drift up to the limit.
func (est *estimate) varianceAt(at time.Time, drift, limit float64) float64 {
	if !at.After(est.updatedAt) {
		return est.variance
	}
	return max(est.variance, min(limit, est.variance+drift*at.Sub(est.updatedAt).Seconds()))
}

// advance moves an estimate to a later time.
func (est *estimate) advance(at time.Time, drift, limit float64) {
	est.variance = est.varianceAt(at, drift, limit)
	if at.After(est.updatedAt) {
		est.updatedAt = at
	}
}

// update is the Kalman update of one estimate; variance is that of the prediction of the report.
func (est *estimate) update(innovation, weight, variance float64) {
	gain := est.variance * weight / variance
	est.mean += gain * innovation
	est.variance *= 1 - gain*weight
}
