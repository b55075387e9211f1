// Package disturbance learns which images of tasks that fill disturb which images of tasks that serve.
//
// The load it answers: beside some fills the tail latency of a serving task rises to many times its bound within a second,
// beside others it hardly changes, and nobody declares which. A disturbance comes and goes, and serving tasks strain by
// themselves at times, so that one look proves nothing. The ledger therefore keeps, for each pair, the logarithm of the
// odds that it disturbs.
package disturbance

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Evidence of one look, as logarithms of the ratio of its probability beside a disturbing and a harmless neighbour. They
// are measured: of tails beside pairs that disturb, 40% are below 0.8 of the bound, 15% between 1 and 1.5, and 40% above;
// beside other pairs 85%, 6% and 4%.
const (
	calmEvidence     = -0.75
	strainedEvidence = 0.9
	severeEvidence   = 2.3
)

// Shares of the bound that separate calm, strained and severe looks.
const (
	calm     = 0.8
	strained = 1.0
	severe   = 1.5
)

const (
	// harmfulOdds and harmlessOdds separate the ratings.
	harmfulOdds  = 2.0
	harmlessOdds = -1.5
	// mostOdds and leastOdds bound the odds, so that a pair that changes is noticed.
	mostOdds  = 5.0
	leastOdds = -4.0
	// forgotten is by how much the odds of a harmful pair fall in a second, so that one that was blamed for the own load of
	// a serving task is tried again after a minute at most.
	forgotten = 0.05
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

// record holds the logarithm of the odds that a pair disturbs.
type record struct {
	odds float64
	at   time.Time // of the last evidence
	told Rating    // that TakeChanged told last
}

// Pair is what is known of one pair.
type Pair struct {
	Victim, Aggressor string
	Odds              float64 // logarithm of the odds that the aggressor disturbs the victim
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
	case r.oddsAt(now) >= harmfulOdds:
		return Harmful
	case r.odds <= harmlessOdds:
		return Harmless
	}
	return Unknown
}

// Count returns the number of pairs with a rating.
func (l *Ledger) Count(now time.Time, rating Rating) int {
	count := 0
	for key := range l.pairs {
		if l.Rate(now, key.victim, key.aggressor) == rating {
			count++
		}
	}
	return count
}

// Observe learns from a look at one victim. Strain is its tail as a share of its bound; the weight is 1, or less when
// several victims of the image on one host are observed together. Settled are the images of the aggressors that were
// beside it for the whole time that the tail covers, and present those that were for some of it, each once.
func (l *Ledger) Observe(now time.Time, victim string, strain, weight float64, settled, present []string) {
	switch {
	case strain < calm:
		for _, aggressor := range settled {
			l.add(now, victim, aggressor, weight*calmEvidence)
		}
	case strain >= severe:
		l.add(now, victim, l.suspect(now, victim, present), weight*severeEvidence)
	case strain >= strained:
		l.add(now, victim, l.suspect(now, victim, present), weight*strainedEvidence)
	}
}

// Restore takes what is known of a pair from elsewhere.
func (l *Ledger) Restore(now time.Time, p Pair) {
	key := pair{p.Victim, p.Aggressor}
	l.pairs[key] = &record{odds: min(mostOdds, max(leastOdds, p.Odds)), at: now}
	l.pairs[key].told = l.Rate(now, p.Victim, p.Aggressor)
}

// TakeChanged returns the pairs whose rating has changed since they were returned last, in a fixed order.
func (l *Ledger) TakeChanged(now time.Time) []Pair {
	var changed []Pair
	for key, r := range l.pairs {
		if rating := l.Rate(now, key.victim, key.aggressor); rating != r.told {
			r.told = rating
			changed = append(changed, Pair{key.victim, key.aggressor, r.oddsAt(now)})
		}
	}
	slices.SortFunc(changed, func(a, b Pair) int {
		return cmp.Or(strings.Compare(a.Victim, b.Victim), strings.Compare(a.Aggressor, b.Aggressor))
	})
	return changed
}

// suspect returns the aggressor that most likely disturbs, or nothing.
func (l *Ledger) suspect(now time.Time, victim string, present []string) string {
	worst, worstOdds := "", leastOdds-1
	for _, aggressor := range present {
		odds := 0.0
		if r := l.pairs[pair{victim, aggressor}]; r != nil {
			odds = r.oddsAt(now)
		}
		if odds > worstOdds {
			worst, worstOdds = aggressor, odds
		}
	}
	return worst
}

func (l *Ledger) add(now time.Time, victim, aggressor string, evidence float64) {
	if aggressor == "" {
		return
	}
	key := pair{victim, aggressor}
	r := l.pairs[key]
	if r == nil {
		if len(l.pairs) >= mostPairs {
			clear(l.pairs)
		}
		r = &record{told: Unknown}
		l.pairs[key] = r
	}
	r.odds = min(mostOdds, max(leastOdds, r.oddsAt(now)+evidence))
	r.at = now
}

// oddsAt returns the odds, less what is forgotten of a harmful pair, which isn't observed any more.
func (r *record) oddsAt(now time.Time) float64 {
	if r.odds <= 0 {
		return r.odds
	}
	return max(0, r.odds-forgotten*now.Sub(r.at).Seconds())
}
