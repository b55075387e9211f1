// Package imagepair learns which images of best-effort tasks interfere with which images of serving tasks.
//
// Some best-effort tasks raise the tail latency of a colocated serving task to many times its target within a second, others
// hardly change it, and jobs don't declare which. The interference is intermittent, and the latency of a serving task also
// rises under its own load, so a single observation is inconclusive. The ledger therefore accumulates, for each pair of
// images, the log-odds that the aggressor interferes with the victim.
package imagepair

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Evidence of one observation: log-likelihood ratios of a harmful to a harmless aggressor. Beside a harmful aggressor 40% of
// the tail latencies are below 0.8 of the target, 15% are between 1 and 1.5 of it, and 40% are above 1.5; beside a harmless
// one 85%, 6% and 4%.
const (
	lowEvidence    = -0.75
	highEvidence   = 0.9
	severeEvidence = 2.3
)

// Thresholds of the latency ratio, which is the tail latency divided by the latency target. A ratio below lowRatio is
// evidence against interference, one between lowRatio and highRatio is no evidence.
const (
	lowRatio    = 0.8
	highRatio   = 1.0
	severeRatio = 1.5
)

const (
	// harmfulLogOdds and harmlessLogOdds separate the ratings.
	harmfulLogOdds  = 2.0
	harmlessLogOdds = -1.5
	// maxLogOdds and minLogOdds bound the log-odds, so that a change in a pair's behaviour is detected.
	maxLogOdds = 5.0
	minLogOdds = -4.0
	// decayPerSecond is by how much positive log-odds decrease in a second, so that a pair that was rated harmful
	// because of the serving task's own load is tried again after at most a minute.
	decayPerSecond = 0.05
	// maxPairs bounds the memory; the ledger is cleared when it is full.
	maxPairs = 1 << 14
)

// Rating classifies a pair by its log-odds.
type Rating int

// Ratings, best first.
const (
	Harmless Rating = iota
	Unknown
	Harmful
)

type pair struct{ victim, aggressor string }

// record holds what is learned of one pair.
type record struct {
	logOdds  float64   // log-odds at the time of the last evidence
	at       time.Time // time of the last evidence
	reported Rating    // last rating reported by DrainChanges
}

// Pair is a victim image and an aggressor image, with the learned log-odds.
type Pair struct {
	Victim, Aggressor string
	LogOdds           float64 // log-odds that the aggressor interferes with the victim
}

// Ledger holds the learned log-odds of image pairs. It is not safe for concurrent use.
type Ledger struct {
	pairs map[pair]*record
}

// New returns an empty Ledger.
func New() *Ledger { return &Ledger{pairs: map[pair]*record{}} }

// Rating returns the rating of a victim and an aggressor.
func (l *Ledger) Rating(now time.Time, victim, aggressor string) Rating {
	r := l.pairs[pair{victim, aggressor}]
	switch {
	case r == nil:
		return Unknown
	case r.logOddsAt(now) >= harmfulLogOdds:
		return Harmful
	case r.logOdds <= harmlessLogOdds:
		return Harmless
	}
	return Unknown
}

// Count returns the number of pairs with a rating.
func (l *Ledger) Count(now time.Time, rating Rating) int {
	count := 0
	for key := range l.pairs {
		if l.Rating(now, key.victim, key.aggressor) == rating {
			count++
		}
	}
	return count
}

// Blame is evidence of interference that an observation has added to a pair.
type Blame struct {
	Victim, Aggressor string
	Evidence          float64 // by how much it has raised the log-odds
}

// Observe learns from one observation of a victim; latencyRatio is its tail latency divided by its latency target. The weight
// is 1, or less if several victims of the same image on one host are observed together. wholeWindow lists the images of the
// aggressors that ran beside the victim for the whole period that the tail latency covers, and inWindow those that ran for
// any part of it, each once. It returns what Retract takes back, which is zero without evidence of interference.
func (l *Ledger) Observe(now time.Time, victim string, latencyRatio, weight float64, wholeWindow, inWindow []string) Blame {
	if latencyRatio < lowRatio {
		for _, aggressor := range wholeWindow {
			l.add(now, victim, aggressor, weight*lowEvidence)
		}
	}
	if latencyRatio < highRatio {
		return Blame{}
	}
	evidence := weight * highEvidence
	if latencyRatio >= severeRatio {
		evidence = weight * severeEvidence
	}
	aggressor := l.likeliestAggressor(now, victim, inWindow)
	if aggressor == "" {
		return Blame{}
	}
	return Blame{victim, aggressor, l.add(now, victim, aggressor, evidence)}
}

// Retract takes back evidence of interference, for example after it has turned out that the latency had another cause.
func (l *Ledger) Retract(now time.Time, b Blame) {
	l.add(now, b.Victim, b.Aggressor, -b.Evidence)
}

// IsOverTarget reports whether a latency ratio is evidence of interference.
func IsOverTarget(latencyRatio float64) bool { return latencyRatio >= highRatio }

// Restore sets the log-odds of a pair, for example from replicated state. DrainChanges doesn't report the restored rating.
func (l *Ledger) Restore(now time.Time, p Pair) {
	key := pair{p.Victim, p.Aggressor}
	l.pairs[key] = &record{logOdds: min(maxLogOdds, max(minLogOdds, p.LogOdds)), at: now}
	l.pairs[key].reported = l.Rating(now, p.Victim, p.Aggressor)
}

// DrainChanges returns the pairs whose rating has changed since it was last reported, ordered by victim and aggressor.
func (l *Ledger) DrainChanges(now time.Time) []Pair {
	var changed []Pair
	for key, r := range l.pairs {
		if rating := l.Rating(now, key.victim, key.aggressor); rating != r.reported {
			r.reported = rating
			changed = append(changed, Pair{key.victim, key.aggressor, r.logOddsAt(now)})
		}
	}
	slices.SortFunc(changed, func(a, b Pair) int {
		return cmp.Or(strings.Compare(a.Victim, b.Victim), strings.Compare(a.Aggressor, b.Aggressor))
	})
	return changed
}

// likeliestAggressor returns the aggressor in the window with the highest log-odds, or an empty string if there is none.
func (l *Ledger) likeliestAggressor(now time.Time, victim string, inWindow []string) string {
	likeliest, likeliestLogOdds := "", minLogOdds-1
	for _, aggressor := range inWindow {
		logOdds := 0.0
		if r := l.pairs[pair{victim, aggressor}]; r != nil {
			logOdds = r.logOddsAt(now)
		}
		if logOdds > likeliestLogOdds {
			likeliest, likeliestLogOdds = aggressor, logOdds
		}
	}
	return likeliest
}

// add adds evidence to a pair, and returns by how much it has changed the log-odds.
func (l *Ledger) add(now time.Time, victim, aggressor string, evidence float64) float64 {
	key := pair{victim, aggressor}
	r := l.pairs[key]
	if r == nil {
		if len(l.pairs) >= maxPairs {
			clear(l.pairs)
		}
		r = &record{reported: Unknown}
		l.pairs[key] = r
	}
	before := r.logOddsAt(now)
	r.logOdds = min(maxLogOdds, max(minLogOdds, before+evidence))
	r.at = now
	return r.logOdds - before
}

// logOddsAt returns the log-odds. Positive ones decay since the last evidence, because a pair rated harmful is kept apart and
// no longer observed.
func (r *record) logOddsAt(now time.Time) float64 {
	if r.logOdds <= 0 {
		return r.logOdds
	}
	return max(0, r.logOdds-decayPerSecond*now.Sub(r.at).Seconds())
}
