package callmodel

import (
	"slices"
	"time"

	"galenamoor/internal/decision/routing"
)

const (
	probesPerCall   = 3
	maxPooledProbes = 16
	maxProbeAge     = time.Second
	hotQuantile     = 0.84
)

// Prober chooses executors by probing their calls in progress and latency, after Wydrowski et al., "Load is not what you
// should balance: Introducing Prequal" (NSDI 2024). Each call sends a few probes, whose results are pooled. Candidates with
// many calls in progress are hot; the cold candidate with the lowest latency is chosen, or else the least loaded hot one.
// It estimates the benefit of probing, which endpoints do not support.
type Prober struct {
	model *Model
	pool  []probe
}

type probe struct {
	name    string
	at      time.Time
	inUse   int
	latency float64
}

// NewProber returns a Prober for one gateway.
func NewProber(m *Model) routing.Chooser {
	return &Prober{model: m}
}

// Choose implements routing.Chooser.
func (p *Prober) Choose(now time.Time, _ *routing.Picker, candidates []*routing.Target) int {
	p.pool = slices.DeleteFunc(p.pool, func(r probe) bool { return now.Sub(r.at) > maxProbeAge })
	threshold := p.hotThreshold()
	best, bestProbe := -1, -1
	for k, r := range p.pool {
		i := slices.IndexFunc(candidates, func(t *routing.Target) bool { return t.Name == r.name })
		if i >= 0 && (best < 0 || p.better(r, p.pool[bestProbe], threshold)) {
			best, bestProbe = i, k
		}
	}
	for range probesPerCall {
		p.send(candidates[p.model.rng.IntN(len(candidates))].Name)
	}
	if best < 0 {
		return p.model.rng.IntN(len(candidates))
	}
	p.pool = slices.Delete(p.pool, bestProbe, bestProbe+1)
	return best
}

func (p *Prober) better(a, b probe, threshold int) bool {
	hotA, hotB := a.inUse >= threshold, b.inUse >= threshold
	switch {
	case hotA != hotB:
		return hotB
	case hotA:
		return a.inUse < b.inUse
	}
	return a.latency < b.latency
}

// hotThreshold returns the number of calls in progress at which an executor counts as hot.
func (p *Prober) hotThreshold() int {
	if len(p.pool) == 0 {
		return slotsPerExecutor
	}
	counts := make([]int, 0, len(p.pool))
	for _, r := range p.pool {
		counts = append(counts, r.inUse)
	}
	slices.Sort(counts)
	return max(1, counts[int(hotQuantile*float64(len(counts)-1))])
}

// send probes an executor. The result joins the pool after a round trip.
func (p *Prober) send(name string) {
	e := p.model.executors[name]
	p.model.after(crossZoneDelay, func() {
		if e.lost {
			return
		}
		r := probe{name, p.model.now, e.inUse, e.latency}
		p.model.after(crossZoneDelay, func() {
			if len(p.pool) >= maxPooledProbes {
				p.pool = slices.Delete(p.pool, 0, 1)
			}
			p.pool = append(p.pool, r)
		})
	})
}
