// Package retry implements a retry budget, which keeps retries of failed calls from multiplying the load, and backoff with
// jitter.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// MaxRetries is the maximum number of retries of one call.
	MaxRetries = 2
	// SuccessesPerRetry is the number of successes within Window that allow one retry.
	SuccessesPerRetry = 10
	// Window is the length of the sliding window over which successes and retries are counted.
	Window = bucketCount * bucketLength
	// BaseBackoff is the maximum backoff before the first retry. The maximum doubles with each further one.
	BaseBackoff = 10 * time.Millisecond

	bucketCount  = 10
	bucketLength = time.Second
)

// Budget is the retry budget of one service. It is not safe for concurrent use.
type Budget struct {
	random        *rand.Rand
	successes     [bucketCount]int
	retries       [bucketCount]int
	currentBucket int64 // number of the newest bucket, counted from the Unix epoch
}

// New returns an empty Budget that takes the jitter of its backoff from random.
func New(random *rand.Rand) *Budget {
	return &Budget{random: random}
}

// Success records an answered call.
func (b *Budget) Success(now time.Time) {
	b.successes[b.advance(now)]++
}

// TryRetry reports whether the budget allows a retry, and deducts it if so.
func (b *Budget) TryRetry(now time.Time) bool {
	i := b.advance(now)
	successes, retries := 0, 0
	for k := range bucketCount {
		successes += b.successes[k]
		retries += b.retries[k]
	}
	if (retries+1)*SuccessesPerRetry > successes {
		return false
	}
	b.retries[i]++
	return true
}

// Backoff returns the delay before the given retry, counted from 1. It is uniformly distributed up to a bound that
// doubles with each retry.
func (b *Budget) Backoff(retry int) time.Duration {
	bound := BaseBackoff << min(max(retry-1, 0), MaxRetries)
	return time.Duration(b.random.Int64N(int64(bound))) + 1
}

// advance clears the buckets that have left the window and returns the index of the current one.
func (b *Budget) advance(now time.Time) int {
	number := now.UnixNano() / int64(bucketLength)
	if gap := number - b.currentBucket; gap > 0 {
		for k := int64(1); k <= min(gap, bucketCount); k++ {
			i := (b.currentBucket + k) % bucketCount
			b.successes[i], b.retries[i] = 0, 0
		}
		b.currentBucket = number
	}
	return int(b.currentBucket % bucketCount)
}
