package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"galenamoor/internal/decision/retry"
)

// TestBudgetBound guards against more retries than a tenth of the successes within the window, in whatever order they
// come.
func TestBudgetBound(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 1))
		b, now := retry.New(random), time.Unix(1000, 0)
		var successes, retries []time.Time
		for range 3000 {
			now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
			if random.IntN(2) == 0 {
				b.Success(now)
				successes = append(successes, now)
			} else if b.TryRetry(now) {
				retries = append(retries, now)
			}
			if retryCount, successCount := countWithin(retries, now, retry.Window-time.Second), countWithin(successes, now, retry.Window); retryCount*retry.SuccessesPerRetry > successCount {
				t.Fatalf("seed %d: %d retries for %d successes", seed, retryCount, successCount)
			}
		}
		if len(retries) == 0 {
			t.Fatalf("seed %d: no retry was allowed", seed)
		}
		for k := 1; k <= retry.MaxRetries; k++ {
			if backoff := b.Backoff(k); backoff <= 0 || backoff > retry.BaseBackoff<<(k-1) {
				t.Fatalf("backoff of %v before retry %d", backoff, k)
			}
		}
	}
}

func countWithin(times []time.Time, now time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if now.Sub(at) < window {
			n++
		}
	}
	return n
}
