package backlog

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minSamples is the number of finished tasks from which learned run times replace declared ones.
	minSamples = 5
	// unlearnedFactor multiplies declared run times until enough samples exist, because declarations are usually too low.
	unlearnedFactor = 2
	// maxKinds bounds the memory for learned run times; further kinds use declared ones.
	maxKinds = 1024
	// ratioScale gives ratios of actual to declared run times a resolution of 1/1000.
	ratioScale = 1000
	// maxSeconds and maxRatio are the upper bounds of the histograms.
	maxSeconds = 14 * 24 * 3600
	maxRatio   = 1000 * ratioScale
)

// kindTimes holds the run times of one kind of task, absolute and as ratios to the declared ones.
type kindTimes struct {
	seconds, ratio *hdrhistogram.Histogram
}

// RunTimes learns the distribution of run times for each kind of task. It is not safe for concurrent use.
type RunTimes struct {
	kinds    map[string]*kindTimes
	learning bool
}

// NewRunTimes returns run times without samples. Without learning, declared run times are used unchanged.
func NewRunTimes(learning bool) *RunTimes {
	return &RunTimes{kinds: map[string]*kindTimes{}, learning: learning}
}

// Record records the run time of a finished task.
func (t *RunTimes) Record(kind string, declared, actual time.Duration) {
	if !t.learning || actual <= 0 {
		return
	}
	k, ok := t.kinds[kind]
	if !ok {
		if len(t.kinds) >= maxKinds {
			return
		}
		k = &kindTimes{hdrhistogram.New(1, maxSeconds, 2), hdrhistogram.New(1, maxRatio, 2)}
		t.kinds[kind] = k
	}
	// Values are clamped to the range of the histograms, so recording cannot fail.
	_ = k.seconds.RecordValue(min(max(int64(actual.Seconds()+0.5), 1), maxSeconds))
	if declared > 0 {
		ratio := int64(float64(actual) / float64(declared) * ratioScale)
		_ = k.ratio.RecordValue(min(max(ratio, 1), maxRatio))
	}
}

// Quantile returns a quantile (in percent) of the run time of a task. It uses whichever of its kind's two distributions has
// the smaller spread: of absolute run times, or of ratios to the declared run time.
func (t *RunTimes) Quantile(kind string, declared time.Duration, percent float64) time.Duration {
	if !t.learning {
		return declared
	}
	k, ok := t.kinds[kind]
	if !ok || k.seconds.TotalCount() < minSamples {
		return declared * unlearnedFactor
	}
	if declared > 0 && k.ratio.TotalCount() >= minSamples && spread(k.ratio) < spread(k.seconds) {
		return time.Duration(float64(declared) * float64(k.ratio.ValueAtQuantile(percent)) / ratioScale)
	}
	return time.Duration(k.seconds.ValueAtQuantile(percent)) * time.Second
}

// Known reports whether enough tasks of a kind have finished to use learned run times.
func (t *RunTimes) Known(kind string) bool {
	k, ok := t.kinds[kind]
	return ok && k.seconds.TotalCount() >= minSamples
}

func spread(h *hdrhistogram.Histogram) float64 {
	return float64(h.ValueAtQuantile(SlackQuantile)) / float64(max(h.ValueAtQuantile(50), 1))
}
