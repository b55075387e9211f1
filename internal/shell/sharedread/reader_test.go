package sharedread

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/jonboulle/clockwork"
)

// TestReadsAreSharedAndCurrent guards against callers that each start a read, against a caller that gets a value from before its call, and against
// a read that is never answered and delays all others.
func TestReadsAreSharedAndCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reads, proceed := 0, make(chan struct{})
		reader := New(func(context.Context) int {
			reads++
			read := reads
			if read == 1 {
				<-proceed
			}
			return read
		}, clockwork.NewRealClock())
		var callers sync.WaitGroup
		call := func(want int) {
			callers.Go(func() {
				if got, ok := reader.Read(t.Context()); got != want || !ok {
					t.Errorf("got read %d (%v), want %d", got, ok, want)
				}
			})
		}
		call(1)
		synctest.Wait()
		for range 10 {
			call(2) // after the first read has begun
		}
		synctest.Wait()
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		if _, ok := reader.Read(cancelled); ok {
			t.Error("a caller that has gone got a value")
		}
		callers.Add(-1) // the first caller still waits when the others are answered
		callers.Wait()
		callers.Add(1)
		close(proceed)
		callers.Wait()
	})
}
