// Package latency publishes histograms of latencies on a process's metrics address.
package latency

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longest is the largest latency that is told apart; longer ones count as this.
	longest = 10 * time.Minute
	// digits is the number of significant digits of a latency.
	digits = 2
)

// quantiles are those that are published, in percent.
var quantiles = map[string]float64{"P50Microseconds": 50, "P90Microseconds": 90, "P99Microseconds": 99, "P999Microseconds": 99.9}

// Recorder keeps a histogram for each kind of latency since the start of the process. Its methods may be called
// concurrently.
type Recorder struct {
	published *expvar.Map
	mutex     sync.Mutex
	kinds     map[string]*hdrhistogram.Histogram
}

// New returns a Recorder that publishes its histograms under a name, which must be the only one of that name in the
// process. Each histogram is an object with Count, quantiles and Max, in microseconds.
func New(name string) *Recorder {
	return &Recorder{published: expvar.NewMap(name), kinds: map[string]*hdrhistogram.Histogram{}}
}

// Observe records a latency of a kind. Kinds come from the code, so that there are few.
func (r *Recorder) Observe(kind string, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	histogram := r.kinds[kind]
	if histogram == nil {
		histogram = hdrhistogram.New(1, longest.Microseconds(), digits)
		r.kinds[kind] = histogram
		r.published.Set(kind, expvar.Func(func() any { return r.describe(histogram) }))
	}
	_ = histogram.RecordValue(min(longest.Microseconds(), max(1, took.Microseconds()))) // within its range
}

// describe returns what is published of a histogram.
func (r *Recorder) describe(histogram *hdrhistogram.Histogram) map[string]int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	described := map[string]int64{"Count": histogram.TotalCount(), "MaxMicroseconds": histogram.Max()}
	for name, percent := range quantiles {
		described[name] = histogram.ValueAtQuantile(percent)
	}
	return described
}
