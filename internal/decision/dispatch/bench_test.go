package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSimulatedSecond simulates one second of a fleet of 66 workers, four fifths of it taken by serving tasks, with more
// best-effort tasks arriving than fit.
func BenchmarkSimulatedSecond(b *testing.B) {
	w := newFleet(&testing.T{}, 1, 66)
	for i := range 50 {
		w.submit("urgent", fmt.Sprintf("serving-%d", i), serving(6, fmt.Sprintf("image-%d", i%5)))
	}
	jobs := 0
	for b.Loop() {
		for range 10 {
			w.submit("batch", fmt.Sprintf("job-%d", jobs), bestEffort(16, fmt.Sprintf("fill-%d", jobs%9), 2200*time.Millisecond))
			w.submit("urgent", fmt.Sprintf("exact-%d", jobs), dedicated(4, 800*time.Millisecond))
			jobs++
			w.run(70 * time.Millisecond)
		}
	}
}
