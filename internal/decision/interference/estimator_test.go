package interference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

// observeReports gives an estimator reports of service tasks with random neighbours. The reports of a step arrive in random order,
// 5 to 30 s late.
func observeReports(e *Estimator, seed uint64, steps int, effects map[string]float64, load func(step int) float64) time.Time {
	random := rand.New(rand.NewPCG(seed, 1))
	victim := e.Kind("front")
	now := start
	for step := range steps {
		now = start.Add(time.Duration(step) * 5 * time.Second)
		for range 10 {
			var neighbours []Neighbour
			slowdown := 0.0
			for _, kind := range []string{"noisy", "quiet", "mild"} {
				if random.IntN(2) == 0 {
					neighbours = append(neighbours, Neighbour{e.Kind(kind), 1})
					slowdown += effects[kind]
				}
			}
			latency := 0.01 * load(step) * math.Exp(slowdown+0.3*random.NormFloat64())
			at := now.Add(-5*time.Second - time.Duration(random.Int64N(int64(25*time.Second))))
			e.Observe(at, victim, neighbours, time.Duration(latency*float64(time.Second)))
		}
	}
	return now
}

// TestEvidence guards against noisy reports that give evidence against a harmless neighbour or hide the effect of another.
func TestEvidence(t *testing.T) {
	for seed := range uint64(10) {
		e := New()
		now := observeReports(e, seed, 60, map[string]float64{"noisy": 0.7, "mild": 0.3}, func(int) float64 { return 1 })
		for kind, want := range map[string]float64{"noisy": 0.7, "mild": 0.3, "quiet": 0} {
			mean, deviation := e.Effect(now, e.Kind(kind), e.Kind("front"))
			if math.Abs(mean-want) > 0.15 || deviation > 0.1 {
				t.Errorf("seed %d: effect of %s is %.2f ± %.2f, want %.2f", seed, kind, mean, deviation, want)
			}
		}
		if evidence := e.Evidence(now, e.Kind("quiet"), e.Kind("front")); evidence >= minEvidence {
			t.Errorf("seed %d: evidence %.2f against a quiet neighbour", seed, evidence)
		}
	}
}

// TestLoadNotAttributedToNeighbours guards against attributing a change of load, which slows all service tasks, to neighbours.
func TestLoadNotAttributedToNeighbours(t *testing.T) {
	for seed := range uint64(10) {
		e := New()
		now := observeReports(e, seed, 200, nil, func(step int) float64 { return 1 + float64(step/50%2) })
		for _, kind := range []string{"noisy", "quiet", "mild"} {
			if evidence := e.Evidence(now, e.Kind(kind), e.Kind("front")); evidence >= minEvidence {
				t.Errorf("seed %d: evidence %.2f against %s although only the load changed", seed, evidence, kind)
			}
		}
	}
}

// TestEvidenceFades guards against acting on old observations: without reports, evidence fades.
func TestEvidenceFades(t *testing.T) {
	e := New()
	now := observeReports(e, 1, 60, map[string]float64{"noisy": 0.5}, func(int) float64 { return 1 })
	noisy, front := e.Kind("noisy"), e.Kind("front")
	if e.Evidence(now, noisy, front) == 0 || e.Evidence(now.Add(2*time.Hour), noisy, front) != 0 {
		t.Errorf("evidence is %.2f after the last report and %.2f two hours later", e.Evidence(now, noisy, front), e.Evidence(now.Add(2*time.Hour), noisy, front))
	}
}

// TestLateReportMatchesItsInterval guards against matching a late report with the neighbours at its arrival.
func TestLateReportMatchesItsInterval(t *testing.T) {
	var h History
	h.SetWeight(start, 1, 7, 1)
	h.SetWeight(start.Add(10*time.Second), 1, 7, 0.25) // throttled
	h.SetWeight(start.Add(20*time.Second), 1, 7, 0)
	h.SetWeight(start.Add(20*time.Second), 2, 8, 1)
	for end, want := range map[int]Neighbour{10: {7, 1}, 15: {7, 0.25}, 20: {7, 0.25}, 30: {8, 1}} {
		if got := h.Neighbours(start.Add(time.Duration(end)*time.Second), 2*uint64(end/35), nil); len(got) != 1 || got[0] != want {
			t.Errorf("interval that ended after %d s: neighbours %v, want %v", end, got, want)
		}
	}
}

// TestCheapestActionFirst guards against costly actions where cheaper ones are possible, and against actions without evidence or
// within the cooldown.
func TestCheapestActionFirst(t *testing.T) {
	e := New()
	now := observeReports(e, 1, 60, map[string]float64{"noisy": 0.7}, func(int) float64 { return 1 })
	noisy, quiet, front := e.Kind("noisy"), e.Kind("quiet"), e.Kind("front")
	for _, c := range []struct {
		name     string
		slowdown float64
		suspect  Suspect
		want     Action
	}{
		{"throttle first", 2, Suspect{Kind: noisy, Throttle: 100, Checkpoints: true, Movable: true, RanThroughout: true}, Throttle},
		{"then move", 2, Suspect{Kind: noisy, Throttle: MinThrottle, Checkpoints: true, Movable: true, RanThroughout: true}, Move},
		{"then evict", 2, Suspect{Kind: noisy, Throttle: MinThrottle, Movable: true, RanThroughout: true}, Evict},
		{"not evicted below the threshold", 0.6, Suspect{Kind: noisy, Throttle: MinThrottle, Movable: true, RanThroughout: true}, NoAction},
		{"without evidence", 2, Suspect{Kind: quiet, Throttle: 100, Movable: true, RanThroughout: true}, NoAction},
		{"started during the interval", 2, Suspect{Kind: noisy, Throttle: 100, Movable: true}, NoAction},
		{"service is not slow", 0.1, Suspect{Kind: noisy, Throttle: 100, RanThroughout: true}, NoAction},
	} {
		if _, got := e.ChooseAction(now, 1, front, c.slowdown, []Suspect{c.suspect}); got != c.want {
			t.Errorf("%s: action %d, want %d", c.name, got, c.want)
		}
	}
	before := e.Expected(now, noisy, front)
	e.RecordAction(now, 1, noisy, front, Throttle, 50)
	again := []Suspect{{Kind: noisy, Throttle: 50, RanThroughout: true}}
	if _, got := e.ChooseAction(now.Add(Cooldown-time.Second), 1, front, 2, again); got != NoAction {
		t.Errorf("action %d within the cooldown", got)
	}
	if _, got := e.ChooseAction(now.Add(Cooldown), 1, front, 2, again); got != Throttle {
		t.Errorf("action %d after the cooldown, want a throttle", got)
	}
	if e.Expected(now, noisy, front) <= before {
		t.Error("a pair is not avoided after an action on it")
	}
}
