// Package headroom estimates how many processors must stay unreserved for urgent work that arrives and ends all the time,
// so that work that lasts doesn't reserve them.
//
// It answers a load of long-running tasks that reserve nearly the whole fleet, while short urgent jobs of varying width
// arrive: without headroom, each wide job waits for a gap until it is late.
package headroom

import "time"

const (
	// interval is the time over which the arriving work is summed up.
	interval = time.Second
	// weight is the weight of a new interval in the moving averages, which span about 20 intervals.
	weight = 0.05
	// minIntervals is the number of intervals after which the estimate is used.
	minIntervals = 5
	// deviations is the number of mean absolute deviations that are kept beyond the mean.
	deviations = 2
)

// Estimator learns from the work that arrives. The zero value has learned nothing. It is not safe for concurrent use.
type Estimator struct {
	began     time.Time // of the current interval; zero before the first work has arrived
	arrived   float64   // core-seconds in the current interval
	mean      float64   // moving average of core-seconds in one interval
	deviation float64   // moving average of its absolute deviation
	intervals int       // number of intervals in the averages
}

// Add records work that has arrived, in core-seconds.
func (e *Estimator) Add(now time.Time, work float64) {
	if e.began.IsZero() {
		e.began = now
	}
	e.advance(now)
	e.arrived += work
}

// HasArrivals reports whether any work has arrived.
func (e *Estimator) HasArrivals() bool { return !e.began.IsZero() }

// Processors returns the milli-cores that arriving work needs at a time. It returns false until enough has been learned.
func (e *Estimator) Processors(now time.Time) (processors int64, ok bool) {
	e.advance(now)
	if e.intervals < minIntervals {
		return 0, false
	}
	return int64(1000 * (e.mean + deviations*e.deviation) / interval.Seconds()), true
}

// advance closes the intervals that have passed.
func (e *Estimator) advance(now time.Time) {
	if e.began.IsZero() {
		return
	}
	for now.Sub(e.began) >= interval {
		e.intervals++
		share := max(weight, 1/float64(e.intervals))
		difference := e.arrived - e.mean
		e.mean += share * difference
		e.deviation += share * (max(difference, -difference) - e.deviation)
		e.began, e.arrived = e.began.Add(interval), 0
	}
}
