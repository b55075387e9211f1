package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSimulatedSecond simulates one second of a fleet of 66 workers with four fifths of its processors reserved by
// serving tasks, where more best-effort tasks arrive than fit.
func BenchmarkSimulatedSecond(b *testing.B) {
	sim := newSimulationWithWorkers(&testing.T{}, 1, 66)
	for i := range 50 {
		sim.submit("urgent", fmt.Sprintf("serving-%d", i), serving(6, fmt.Sprintf("image-%d", i%5)))
	}
	jobs := 0
	for b.Loop() {
		for range 10 {
			sim.submit("batch", fmt.Sprintf("job-%d", jobs), bestEffort(16, fmt.Sprintf("fill-%d", jobs%9), 2200*time.Millisecond))
			sim.submit("urgent", fmt.Sprintf("dedicated-%d", jobs), dedicated(4, 800*time.Millisecond))
			jobs++
			sim.run(70 * time.Millisecond)
		}
	}
}
