package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// BenchmarkPassOfOverloadedFleet measures a pass over 360 hosts that are full of serving tasks, while nearly two thousand tasks wait.
func BenchmarkPassOfOverloadedFleet(b *testing.B) {
	sim := newOverloadedFleet(&testing.T{})
	for b.Loop() {
		sim.dispatcher.now = sim.dispatcher.now.Add(25 * time.Millisecond)
		sim.dispatcher.pass()
		sim.dispatcher.outbox = nil
	}
}

func newOverloadedFleet(t *testing.T) *simulation {
	sim := newSimulationWithWorkers(t, 1, 360)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 180 {
		step := serving(10, fmt.Sprintf("image-%d", i%10))
		step.Processors, step.Memory = 4000+random.Int64N(5000), 13_000
		sim.request(submission("urgent", fmt.Sprintf("serving-%d", i), step))
		sim.run(20 * time.Millisecond)
	}
	sim.run(2 * time.Second)
	for i := range 120 {
		step := dedicated(10, time.Hour)
		step.Processors, step.Memory = 2000+random.Int64N(8000), 11_000
		sim.request(submission("urgent", fmt.Sprintf("dedicated-%d", i), step))
		fill := &controlpb.WorkStep{Count: 20, Processors: 1800 + random.Int64N(4000), Memory: 6400, EstimateMs: 3_600_000, Fills: true, Checkpoints: true, Image: fmt.Sprintf("fill-%d", i%18)}
		sim.request(submission("batch", fmt.Sprintf("fill-%d", i), fill))
		sim.run(20 * time.Millisecond)
	}
	sim.run(2 * time.Second)
	return sim
}
