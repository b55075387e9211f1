package imagepair

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPairRatings guards against rating a harmless pair harmful after a single high tail latency, and against missing a
// harmful pair. Beside a harmful aggressor 40% of the observations are low, beside a harmless one 85%.
func TestPairRatings(t *testing.T) {
	wrong := 0
	const sessions = 400
	for seed := range uint64(sessions) {
		random := rand.New(rand.NewPCG(seed, 1))
		l := New()
		now := time.Unix(0, 0)
		for range 25 {
			now = now.Add(500 * time.Millisecond)
			if l.Rating(now, "victim", "harmful") != Harmful {
				l.Observe(now, "victim", sample(random, 0.4, 0.15), 1, []string{"harmful"}, []string{"harmful"})
			}
			if l.Rating(now, "victim", "harmless") != Harmful {
				l.Observe(now, "victim", sample(random, 0.85, 0.06), 1, []string{"harmless"}, []string{"harmless"})
			}
		}
		if l.Rating(now, "victim", "harmful") != Harmful {
			wrong++
		}
		if l.Rating(now, "victim", "harmless") == Harmful {
			wrong++
		}
	}
	if share := float64(wrong) / (2 * sessions); share > 0.15 {
		t.Errorf("a share of %.2f of the pairs is rated wrongly, expected at most 0.15", share)
	}
}

// sample draws a latency ratio: low and high with the given probabilities, severe in 85% of the other cases.
func sample(random *rand.Rand, lowShare, highShare float64) float64 {
	switch x := random.Float64(); {
	case x < lowShare:
		return 0.5
	case x < lowShare+highShare:
		return 1.2
	case x < lowShare+highShare+(1-lowShare-highShare)*0.85:
		return 4
	}
	return 0.9
}

// TestInterferenceNotAttributedToHarmlessAggressor guards against attributing interference to an aggressor that is
// rated harmless when an unrated one has just joined.
func TestInterferenceNotAttributedToHarmlessAggressor(t *testing.T) {
	l := New()
	now := time.Unix(0, 0)
	for range 4 {
		l.Observe(now, "victim", 0.5, 1, []string{"known"}, []string{"known"})
	}
	l.Observe(now, "victim", 5, 1, []string{"known"}, []string{"known", "new"})
	if l.Rating(now, "victim", "known") != Harmless || l.Rating(now, "victim", "new") != Harmful {
		t.Errorf("known is rated %d, expected Harmless; new is rated %d, expected Harmful", l.Rating(now, "victim", "known"), l.Rating(now, "victim", "new"))
	}
}

// TestRetract guards against a rating that stays after the evidence for it has turned out to be false, and against one that
// is lost with more evidence than there was.
func TestRetract(t *testing.T) {
	l := New()
	now := time.Unix(0, 0)
	for range 4 {
		l.Observe(now, "victim", 0.5, 1, []string{"harmless"}, []string{"harmless"})
		l.Observe(now, "victim", 5, 1, nil, []string{"harmful"})
	}
	for _, aggressor := range []string{"harmless", "harmful"} {
		want := l.Rating(now, "victim", aggressor)
		var blames []Blame
		for range 5 {
			blames = append(blames, l.Observe(now, "victim", 5, 1, nil, []string{aggressor}))
		}
		if got := l.Rating(now, "victim", aggressor); got != Harmful {
			t.Errorf("%s is rated %d, expected Harmful", aggressor, got)
		}
		for _, b := range blames {
			l.Retract(now, b)
		}
		if got := l.Rating(now, "victim", aggressor); got != want {
			t.Errorf("%s is rated %d after the evidence was retracted, expected %d as before", aggressor, got, want)
		}
	}
}

// TestHarmfulRatingDecays guards against keeping a pair apart forever, although the behaviour of images changes.
func TestHarmfulRatingDecays(t *testing.T) {
	l := New()
	now := time.Unix(0, 0)
	l.Observe(now, "victim", 5, 1, nil, []string{"fill"})
	if l.Rating(now, "victim", "fill") != Harmful || l.Rating(now.Add(time.Minute), "victim", "fill") == Harmful {
		t.Errorf("rated %d at once, expected Harmful; rated %d after a minute, expected another rating", l.Rating(now, "victim", "fill"), l.Rating(now.Add(time.Minute), "victim", "fill"))
	}
}
