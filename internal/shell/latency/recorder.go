// Package latency records latency histograms and publishes them with the expvar metrics of the process.
package latency

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest recordable latency; longer ones are recorded as this value.
	maxLatency = 10 * time.Minute
	// significantDigits is the number of significant decimal digits of a recorded latency.
	significantDigits = 2
)

// quantiles maps the names of the published quantiles to percentages.
var quantiles = map[string]float64{"P50Microseconds": 50, "P90Microseconds": 90, "P99Microseconds": 99, "P999Microseconds": 99.9}

// Recorder keeps a histogram for each kind of latency since the start of the process. It is safe for concurrent use.
type Recorder struct {
	published  *expvar.Map
	mutex      sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// New returns a Recorder that publishes its histograms as the expvar map of the given name, which must be unique in the
// process. Each histogram is published as an object with Count, the quantiles and MaxMicroseconds.
func New(name string) *Recorder {
	return &Recorder{published: expvar.NewMap(name), histograms: map[string]*hdrhistogram.Histogram{}}
}

// Observe records a latency of the given kind. Kinds must come from a small fixed set, because each takes a histogram.
func (r *Recorder) Observe(kind string, latency time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	histogram := r.histograms[kind]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
		r.histograms[kind] = histogram
		r.published.Set(kind, expvar.Func(func() any { return r.summarize(histogram) }))
	}
	_ = histogram.RecordValue(min(maxLatency.Microseconds(), max(1, latency.Microseconds()))) // always within the histogram's range
}

// summarize returns the published values of a histogram.
func (r *Recorder) summarize(histogram *hdrhistogram.Histogram) map[string]int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	summary := map[string]int64{"Count": histogram.TotalCount(), "MaxMicroseconds": histogram.Max()}
	for name, percent := range quantiles {
		summary[name] = histogram.ValueAtQuantile(percent)
	}
	return summary
}
