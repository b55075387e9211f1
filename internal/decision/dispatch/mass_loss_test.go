package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// newLargeFleet returns a simulation of workers with 64 cores, in four zones and racks of 20, and serving tasks that reserve
// most of their processors.
func newLargeFleet(t *testing.T, workers int) *simulation {
	sim := newSimulation(t, 1)
	sim.configure()
	for i := range workers {
		w := sim.addWorker(fmt.Sprintf("zone-%d", i%4), fmt.Sprintf("r-%d", i/20))
		w.incarnation.Processors, w.incarnation.Memory = 64_000, 250<<10
	}
	sim.run(3 * time.Second)
	for i := range workers * 3 / 14 {
		step := serving(14, fmt.Sprintf("image-%d", i%10))
		step.Processors = 13_000
		sim.submit("urgent", fmt.Sprintf("serving-%d", i), step)
	}
	return sim
}

// runLoaded simulates one second in which each worker gets as many finite tasks as it can run in that time.
func (sim *simulation) runLoaded(second int) {
	jobs := len(sim.workers) / 25
	for i := range jobs {
		signing := dedicated(10, 800*time.Millisecond)
		signing.Processors = 7500
		audit := bestEffort(20, fmt.Sprintf("audit-%d", i%18), 2700*time.Millisecond)
		audit.Processors = 7000
		for _, work := range []*controlpb.WorkRequest{
			submission("urgent", fmt.Sprintf("urgent-%d-%d", second, i), signing), submission("batch", fmt.Sprintf("batch-%d-%d", second, i), audit),
		} {
			sim.dispatcher.Serve(sim.now, &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: work}})
		}
	}
	sim.run(time.Second)
}

// loseMost makes seven tenths of the workers go silent.
func (sim *simulation) loseMost() {
	for i, w := range sim.workers {
		w.up = w.up && i%10 >= 7
	}
}

// A leader that declared 150 workers lost at once was busy for so long that it lost its leadership.
func TestLossesAreSpreadOverScans(t *testing.T) {
	sim := newLargeFleet(t, 60)
	sim.runLoaded(0)
	most := 0
	sim.onCommand = func(command *controlpb.Command) {
		ended := 0
		for _, change := range command.GetWork().GetChanges() {
			if change.GetEndLife() != nil {
				ended++
			}
		}
		most = max(most, ended)
	}
	sim.loseMost()
	for second := range 8 {
		sim.runLoaded(second + 1)
	}
	if lost := len(sim.workers) - len(sim.dispatcher.workers); lost != 42 {
		t.Fatalf("%d workers were declared lost", lost)
	}
	if most == 0 || most > maxLossesPerScan {
		t.Errorf("%d workers were declared lost by one command", most)
	}
}

// Starts after the loss of many workers were queued for so long that they timed out, as did the polls behind them.
func TestStartsWaitForQueuedOnes(t *testing.T) {
	sim := newLargeFleet(t, 60)
	started := 0
	sim.onCommand = func(command *controlpb.Command) {
		for _, change := range command.GetWork().GetChanges() {
			if change.GetStartRun() != nil {
				started++
			}
		}
	}
	for second, phase := range []struct {
		queued int
		starts bool
	}{{maxOpenStarts - 1, true}, {maxOpenStarts, false}, {0, true}} {
		sim.queuedStarts, started = phase.queued, 0
		sim.runLoaded(second)
		if (started > 0) != phase.starts {
			t.Errorf("%d tasks were started in a second with %d starts queued", started, phase.queued)
		}
	}
}

// BenchmarkMassLoss reports the processor time of the longest steps of the control loop while seven tenths of 350 loaded workers
// are lost.
func BenchmarkMassLoss(b *testing.B) {
	longest := map[string]time.Duration{}
	for b.Loop() {
		sim := newLargeFleet(&testing.T{}, 350)
		for second := range 4 {
			sim.runLoaded(second)
		}
		sim.loseMost()
		sim.onStep = func(name string, took time.Duration) { longest[name] = max(longest[name], took) }
		for second := range 8 {
			sim.runLoaded(second + 4)
		}
	}
	for name, took := range longest {
		b.ReportMetric(float64(took.Microseconds()), "longest-"+name+"-us")
	}
}
