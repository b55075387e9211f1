package callmodel_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/decision/callmodel"
	"galenamoor/internal/decision/routing"
)

var seed = flag.Uint64("callseed", 1, "seed of the call model")

var choosers = []struct {
	name       string
	newChooser func(m *callmodel.Model) routing.Chooser
}{
	{"roundrobin", func(*callmodel.Model) routing.Chooser { return &routing.RoundRobin{} }},
	{"poweroftwo", func(*callmodel.Model) routing.Chooser { return routing.PowerOfTwo{} }},
	{"probing", callmodel.NewProber},
	{"best", func(*callmodel.Model) routing.Chooser { return routing.LowestLatency{} }},
}

func defaultConfig(load float64) callmodel.Config {
	return callmodel.Config{
		Seed: *seed, Load: load, Length: 20 * time.Second, Warmup: 10 * time.Second,
		Deadline: 500 * time.Millisecond, QueueLength: 100,
		Chooser: func(*callmodel.Model) routing.Chooser { return nil },
	}
}

// tightDeadlineConfig returns a configuration whose deadline is only four times the mean service time.
func tightDeadlineConfig(load float64) callmodel.Config {
	c := defaultConfig(load)
	c.Deadline = 200 * time.Millisecond
	return c
}

func scenarios() map[string]callmodel.Config {
	slow, zoneLoss, zoneHangs, oneThirdFails, classes, rotatingSlow := defaultConfig(0.7), defaultConfig(0.6),
		defaultConfig(0.6), defaultConfig(0.5), defaultConfig(2), defaultConfig(0.6)
	slow.SlowExecutors, slow.SlowFactor = 3, 5
	zoneLoss.ZoneLoss = true
	zoneHangs.ZoneLoss, zoneHangs.ZoneHangs = true, true
	oneThirdFails.OneThirdFails = true
	classes.MixedClasses = true
	rotatingSlow.RotatingSlowExecutors, rotatingSlow.SlowFactor = 10, 4
	return map[string]callmodel.Config{
		"1/load70": defaultConfig(0.7), "2/load90": defaultConfig(0.9), "3/load110": defaultConfig(1.1),
		"4/load200": defaultConfig(2), "4/load150": defaultConfig(1.5), "4/load400": defaultConfig(4),
		"5/slow": slow, "6/zoneloss": zoneLoss, "6/zonesilent": zoneHangs, "7/failthird": oneThirdFails, "8/classes200": classes,
		"9/waves": rotatingSlow, "tight/90": tightDeadlineConfig(0.9), "tight/110": tightDeadlineConfig(1.1),
		"tight/200": tightDeadlineConfig(2),
	}
}

// BenchmarkModel prints the result of each chooser in each scenario. Run it with -benchtime 1x.
func BenchmarkModel(b *testing.B) {
	for name, c := range scenarios() {
		for _, chooser := range choosers {
			c.Chooser = chooser.newChooser
			b.Run(name+"/"+chooser.name, func(b *testing.B) {
				for range b.N {
					r := callmodel.Run(c)
					b.ReportMetric(r.Goodput(), "good/s")
					b.ReportMetric(float64(r.Latency.ValueAtQuantile(99))/1000, "p99-ms")
					b.ReportMetric(r.Amplification(), "reached/offered")
					fmt.Printf("%-12s %-10s %v\n", name, chooser.name, r)
				}
			})
		}
	}
}

func shortConfig(load float64) callmodel.Config {
	c := defaultConfig(load)
	c.Length, c.Warmup = 6*time.Second, 4*time.Second
	return c
}

// TestGoodputUnderOverload guards against an overloaded service that spends its slots on calls that miss their deadlines:
// goodput at twice the capacity must be at least 90% of the peak.
func TestGoodputUnderOverload(t *testing.T) {
	peak := max(callmodel.Run(shortConfig(0.9)).Goodput(), callmodel.Run(shortConfig(1.1)).Goodput())
	if got := callmodel.Run(shortConfig(2)); got.Goodput() < 0.9*peak {
		t.Errorf("goodput %.0f/s at twice the capacity, peak %.0f/s: %v", got.Goodput(), peak, got)
	}
	classes := shortConfig(2)
	classes.MixedClasses = true
	if got := callmodel.Run(classes); float64(got.GoodUrgent) < 0.98*float64(got.Urgent) {
		t.Errorf("%d of %d urgent calls are good while batch calls could be shed", got.GoodUrgent, got.Urgent)
	}
}

// TestAmplificationWhenAThirdFails guards against retries that amplify the load when a third of the endpoints fail: at most
// 1.1 times the offered load may reach endpoints.
func TestAmplificationWhenAThirdFails(t *testing.T) {
	for _, load := range []float64{0.5, 0.9} {
		c := shortConfig(load)
		c.OneThirdFails = true
		if got := callmodel.Run(c); got.Amplification() > 1.1 || got.Good == 0 {
			t.Errorf("load %v: %v", load, got)
		}
	}
}

// TestChoiceAvoidsSlowEndpoints guards against a default chooser that is no better than round robin when some endpoints are
// temporarily slow.
func TestChoiceAvoidsSlowEndpoints(t *testing.T) {
	c := shortConfig(0.6)
	c.RotatingSlowExecutors, c.SlowFactor = 10, 4
	got := callmodel.Run(c)
	c.Chooser = func(*callmodel.Model) routing.Chooser { return &routing.RoundRobin{} }
	if baseline := callmodel.Run(c); got.Latency.ValueAtQuantile(99) >= baseline.Latency.ValueAtQuantile(99) {
		t.Errorf("best: %v\nround robin: %v", got, baseline)
	}
}
