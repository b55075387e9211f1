package headroom

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// feed adds work in every interval and returns the time after the last one.
func feed(e *Estimator, start time.Time, works ...float64) time.Time {
	for i, work := range works {
		e.Add(start.Add(time.Duration(i)*interval), work)
	}
	return start.Add(time.Duration(len(works)) * interval)
}

// TestUnknownAtFirst guards against deciding by an estimate from the first few jobs.
func TestUnknownAtFirst(t *testing.T) {
	var e Estimator
	if _, ok := e.Processors(time.Unix(100, 0)); ok {
		t.Error("an estimate without any work")
	}
	end := feed(&e, time.Unix(100, 0), 10, 10)
	if _, ok := e.Processors(end); ok {
		t.Errorf("an estimate after 2 of %d intervals", minIntervals)
	}
}

// TestSteadyWork guards against headroom that differs from the need of work that arrives evenly.
func TestSteadyWork(t *testing.T) {
	var e Estimator
	end := feed(&e, time.Unix(100, 0), 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8)
	processors, ok := e.Processors(end)
	if !ok || processors < 8000 || processors > 12_000 {
		t.Errorf("%d milli-cores (%v) for 8 core-seconds a second, expected 8000 to 12000", processors, ok)
	}
}

// TestPauseLowersHeadroom guards against keeping processors for work that no longer arrives.
func TestPauseLowersHeadroom(t *testing.T) {
	var e Estimator
	end := feed(&e, time.Unix(100, 0), 20, 20, 20, 20, 20, 20, 20, 20)
	before, _ := e.Processors(end)
	after, _ := e.Processors(end.Add(200 * interval))
	if after >= before/100 {
		t.Errorf("%d milli-cores before and %d after a long pause", before, after)
	}
}

// TestHeadroomCoversMean guards against less headroom than the mean of what has arrived in equal series.
func TestHeadroomCoversMean(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("bursts need at least the headroom of even work", prop.ForAll(func(work float64) bool {
		var even, bursty Estimator
		start := time.Unix(100, 0)
		end := start
		for i := range 40 {
			at := start.Add(time.Duration(i) * interval)
			even.Add(at, work)
			bursty.Add(at, 2*work*float64(i%2))
			end = at.Add(interval)
		}
		needsEven, _ := even.Processors(end)
		needsBursty, _ := bursty.Processors(end)
		return needsBursty >= needsEven
	}, gen.Float64Range(0.1, 1000)))
	properties.TestingRun(t)
}
