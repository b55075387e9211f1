package routing

import "time"

// maxCompared bounds the candidates that LowestLatency compares, which keeps one selection within a microsecond or two.
const maxCompared = 128

// LowestLatency selects the candidate with the lowest expected latency among up to maxCompared consecutive ones from a random
// start. On a tie it prefers the gateway's own zone. When some endpoints are slow, its tail latency in package callmodel is
// lower than that of PowerOfTwo: nearly all free slots then belong to slow endpoints, and a sample of two often contains
// no other. Herding to the best endpoint, which small samples usually prevent, can't occur, because a gateway has only one
// or two slots at each.
type LowestLatency struct{}

// Choose implements Chooser.
func (LowestLatency) Choose(now time.Time, p *Picker, candidates []*Target) int {
	n, at := len(candidates), now.UnixNano()
	i := p.random.IntN(n)
	best, lowestLatency := i, p.expectedLatency(at, candidates[i])
	bestInZone := candidates[i].Zone == p.zone
	for compared := 1; compared < min(n, maxCompared); compared++ {
		if i++; i == n {
			i = 0
		}
		latency, inZone := p.expectedLatency(at, candidates[i]), candidates[i].Zone == p.zone
		limit := lowestLatency
		if inZone && !bestInZone {
			limit = lowestLatency * (1 + tieTolerance)
		} else if bestInZone && !inZone {
			limit = lowestLatency * (1 - tieTolerance)
		}
		if latency < limit {
			best, lowestLatency, bestInZone = i, latency, inZone
		}
	}
	return best
}

// PowerOfTwo samples two random candidates and selects the one with the lower expected latency, with the same zone
// preference as LowestLatency, for which it serves as a comparison.
type PowerOfTwo struct{}

// Choose implements Chooser.
func (PowerOfTwo) Choose(now time.Time, p *Picker, candidates []*Target) int {
	n := len(candidates)
	if n == 1 {
		return 0
	}
	i := p.random.IntN(n)
	j := p.random.IntN(n - 1)
	if j >= i {
		j++
	}
	return p.lowerLatency(now, candidates, i, j)
}

// lowerLatency returns the index of the candidate with the lower expected latency, or of the one in the gateway's zone on
// a tie.
func (p *Picker) lowerLatency(now time.Time, candidates []*Target, i, j int) int {
	a, b := candidates[i], candidates[j]
	latencyA, latencyB := p.expectedLatency(now.UnixNano(), a), p.expectedLatency(now.UnixNano(), b)
	if (a.Zone == p.zone) != (b.Zone == p.zone) && max(latencyA, latencyB)-min(latencyA, latencyB) <= tieTolerance*max(latencyA, latencyB) {
		if a.Zone == p.zone {
			return i
		}
		return j
	}
	if latencyB < latencyA {
		return j
	}
	return i
}

// RoundRobin selects the candidates in turn. It is the baseline for comparing choosers.
type RoundRobin struct {
	next int
}

// Choose implements Chooser.
func (r *RoundRobin) Choose(_ time.Time, _ *Picker, candidates []*Target) int {
	r.next++
	return r.next % len(candidates)
}
