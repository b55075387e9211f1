// Package outlier implements outlier detection: it decides when to eject endpoints that fail repeatedly or are far slower
// than their peers.
package outlier

import (
	"slices"
	"time"
)

const (
	// MaxFailures is the number of consecutive failures after which an endpoint is ejected.
	MaxFailures = 3
	// SlowFactor is the multiple of its peers' median latency at which an endpoint is ejected as slow. It is high because
	// routing by expected latency already avoids moderately slow endpoints.
	SlowFactor = 5
	// MinSamples is the number of answers from which on an endpoint's latency is compared with its peers.
	MinSamples = 20
	// MinEjectionTime is the duration of the first ejection. It doubles with each further one up to MaxEjectionTime.
	MinEjectionTime = 2 * time.Second
	// MaxEjectionTime is the longest duration of an ejection.
	MaxEjectionTime = 2 * time.Minute
	// MaxEjectedDivisor limits the fraction of a service's endpoints that may be ejected at a time to 1/MaxEjectedDivisor.
	// It is also the minimum number of endpoints with enough samples for a median.
	MaxEjectedDivisor = 3

	sampleWeight   = 0.1                    // of a new latency in the moving average
	medianInterval = 100 * time.Millisecond // avoids computing the median for each answer
)

// Detector detects outliers among the endpoints of one service. It is not safe for concurrent use.
type Detector struct {
	endpoints map[string]*endpointStats
	medianAt  time.Time
	median    float64 // of the endpoints' mean latencies in nanoseconds, or 0 if there are too few
	scratch   []float64
}

type endpointStats struct {
	failures     int     // consecutive failures since the last success or ejection
	samples      int     // answers since the last ejection
	meanLatency  float64 // moving average in nanoseconds
	ejections    int     // consecutive ejections, which determine the duration of the next one
	ejectedUntil time.Time
}

// New returns a Detector without endpoints.
func New() *Detector {
	return &Detector{endpoints: map[string]*endpointStats{}}
}

// Add starts to track an endpoint. The fraction of ejected endpoints is computed over the tracked ones.
func (d *Detector) Add(name string) {
	if d.endpoints[name] == nil {
		d.endpoints[name] = &endpointStats{}
	}
}

// Remove stops tracking an endpoint.
func (d *Detector) Remove(name string) {
	delete(d.endpoints, name)
}

// Success records the latency of an answer. If the endpoint is ejected as too slow, it returns the end of the ejection.
func (d *Detector) Success(now time.Time, name string, latency time.Duration) (until time.Time, ejected bool) {
	s := d.endpoints[name]
	if s == nil {
		return time.Time{}, false
	}
	s.failures = 0
	s.samples++
	if s.samples == 1 {
		s.meanLatency = float64(latency)
	}
	s.meanLatency += sampleWeight * (float64(latency) - s.meanLatency)
	if s.samples == 10*MinSamples {
		s.ejections = 0
	}
	if s.samples < MinSamples {
		return time.Time{}, false
	}
	d.updateMedian(now)
	if d.median == 0 || s.meanLatency < SlowFactor*d.median {
		return time.Time{}, false
	}
	return d.eject(now, s)
}

// Failure records a failed call. If the endpoint is ejected, it returns the end of the ejection.
func (d *Detector) Failure(now time.Time, name string) (until time.Time, ejected bool) {
	s := d.endpoints[name]
	if s == nil {
		return time.Time{}, false
	}
	s.failures++
	if s.failures < MaxFailures && s.ejections == 0 {
		return time.Time{}, false
	}
	return d.eject(now, s)
}

// Ejected returns the number of endpoints that are currently ejected.
func (d *Detector) Ejected(now time.Time) int {
	n := 0
	for _, s := range d.endpoints {
		if now.Before(s.ejectedUntil) {
			n++
		}
	}
	return n
}

// eject ejects the endpoint unless it already is or too many others are. Its latency is measured from scratch afterwards.
// Until it has answered 10*MinSamples calls, a single failure leads to the next, longer ejection.
func (d *Detector) eject(now time.Time, s *endpointStats) (time.Time, bool) {
	if now.Before(s.ejectedUntil) || (d.Ejected(now)+1)*MaxEjectedDivisor > len(d.endpoints) {
		return time.Time{}, false
	}
	duration := MinEjectionTime << min(s.ejections, 10)
	s.ejections++
	s.failures, s.samples, s.meanLatency = 0, 0, 0
	s.ejectedUntil = now.Add(min(duration, MaxEjectionTime))
	return s.ejectedUntil, true
}

// updateMedian recomputes the median latency if the last computation is older than medianInterval.
func (d *Detector) updateMedian(now time.Time) {
	if now.Sub(d.medianAt) < medianInterval {
		return
	}
	d.medianAt = now
	d.scratch = d.scratch[:0]
	for _, s := range d.endpoints {
		if s.samples >= MinSamples {
			d.scratch = append(d.scratch, s.meanLatency)
		}
	}
	slices.Sort(d.scratch)
	d.median = 0
	if len(d.scratch) >= MaxEjectedDivisor {
		d.median = d.scratch[(len(d.scratch)-1)/2]
	}
}
