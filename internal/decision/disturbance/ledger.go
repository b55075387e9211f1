// Package disturbance learns which images of tasks that fill disturb which images of tasks that serve.
//
// The load it answers: beside some fills the tail latency of a serving task rises to many times its bound within a second,
// beside most it doesn't change, and nobody declares which. The tail is told for the last half second, so one look is
// enough to blame. Of several neighbours those are blamed first for which the fewest calm looks speak.
package disturbance

import (
	"math"
	"time"
)

const (
	// strained is the share of its bound from which a serving task's tail is blamed on its neighbours.
	strained = 1.0
	// calm is the share of its bound below which a tail clears its neighbours.
	calm = 0.8
	// clearedBy is the number of calm looks after which a pair is harmless.
	clearedBy = 3
	// blamedFor is how long a pair is kept apart. It is tried again after that, because images change.
	blamedFor = 60 * time.Second
	// mostPairs bounds the memory.
	mostPairs = 1 << 14
)

// Rating is what is known of a pair.
type Rating int

// Ratings, best first.
const (
	Harmless Rating = iota
	Unknown
	Harmful
)

type pair struct{ victim, aggressor string }

// record is what was seen of a pair.
type record struct {
	calmLooks   int
	blamedUntil time.Time
}

// Ledger holds what is known of pairs of images. It is not safe for concurrent use.
type Ledger struct {
	pairs map[pair]*record
}

// New returns a Ledger that knows nothing.
func New() *Ledger { return &Ledger{pairs: map[pair]*record{}} }

// Rate returns what is known of a victim beside an aggressor.
func (l *Ledger) Rate(now time.Time, victim, aggressor string) Rating {
	r := l.pairs[pair{victim, aggressor}]
	switch {
	case r == nil:
		return Unknown
	case now.Before(r.blamedUntil):
		return Harmful
	case r.calmLooks >= clearedBy:
		return Harmless
	}
	return Unknown
}

// Observe learns from a look: the tail of a victim as a share of its bound, and the aggressors that were at work beside it
// for the whole time that the tail covers, each image once. It returns the aggressors to remove. After that the caller
// waits until a tail without them is told before it observes the victim's host again.
func (l *Ledger) Observe(now time.Time, victim string, strain float64, aggressors []string) []string {
	switch {
	case strain < calm:
		for _, aggressor := range aggressors {
			l.record(victim, aggressor).calmLooks++
		}
		return nil
	case strain < strained:
		return nil
	}
	fewest := l.fewestCalmLooks(now, victim, aggressors)
	var blamed []string
	for _, aggressor := range aggressors {
		r := l.record(victim, aggressor)
		if r.knownCalm(now) > fewest {
			continue // one of which less is known explains the strain
		}
		r.calmLooks = 0
		r.blamedUntil = now.Add(blamedFor)
		blamed = append(blamed, aggressor)
	}
	return blamed
}

func (l *Ledger) fewestCalmLooks(now time.Time, victim string, aggressors []string) int {
	fewest := math.MaxInt
	for _, aggressor := range aggressors {
		fewest = min(fewest, l.record(victim, aggressor).knownCalm(now))
	}
	return fewest
}

// knownCalm returns the looks that speak for a pair; -1 for one that is blamed.
func (r *record) knownCalm(now time.Time) int {
	if now.Before(r.blamedUntil) {
		return -1
	}
	return r.calmLooks
}

func (l *Ledger) record(victim, aggressor string) *record {
	key := pair{victim, aggressor}
	r := l.pairs[key]
	if r == nil {
		if len(l.pairs) >= mostPairs {
			clear(l.pairs)
		}
		r = &record{}
		l.pairs[key] = r
	}
	return r
}
