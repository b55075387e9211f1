package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// newHarmlessPair returns a simulation with serving tasks, and a best-effort image that is known to be harmless beside them.
func newHarmlessPair(t *testing.T, seed uint64) *simulation {
	sim := newSimulationWithWorkers(t, seed, 2)
	sim.interference = func(string, string) float64 { return 0.04 }
	sim.submit("urgent", "serving", serving(8, "image"))
	sim.run(2 * time.Second)
	for i := range 12 {
		sim.submit("batch", fmt.Sprintf("warm-%d", i), bestEffort(8, "fill", time.Second))
		sim.run(1500 * time.Millisecond)
	}
	return sim
}

// A best-effort task that a leader has paused must go on under the next leader, which doesn't know its speed.
func TestPausedTaskResumesUnderNextLeader(t *testing.T) {
	sim := newHarmlessPair(t, 1)
	load := 0.0
	sim.ownLoad = func(time.Time) float64 { return load }
	sim.submit("batch", "a", bestEffort(2, "fill", 8*time.Second))
	sim.run(time.Second)
	load = 0.5
	sim.run(2800 * time.Millisecond)
	load = 0
	paused := sim.pausedRuns()
	if paused == 0 {
		t.Fatal("no task is paused")
	}
	sim.changeLeader()
	sim.run(30 * time.Second)
	if still := sim.pausedRuns(); still > 0 {
		t.Errorf("%d of %d paused tasks are paused 30 s after the load", still, paused)
	}
	sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
}

// pausedRuns returns the number of runs that their workers have paused.
func (sim *simulation) pausedRuns() int {
	paused := 0
	for _, worker := range sim.workers {
		for _, r := range worker.runs {
			if r.speed == 0 {
				paused++
			}
		}
	}
	return paused
}

// A serving task over its latency target must not wait for the next answer of its worker until best-effort tasks beside it are paused.
func TestBestEffortTasksArePausedBetweenPolls(t *testing.T) {
	for seed := range uint64(8) {
		sim := newHarmlessPair(t, seed)
		load := 0.0
		sim.ownLoad = func(time.Time) float64 { return load }
		sim.submit("batch", "a", bestEffort(2, "fill", 20*time.Second))
		sim.run(time.Second + time.Duration(seed)*90*time.Millisecond)
		load = 0.5
		limit := sim.dispatcher.config.Limits.MaxOverTarget - pauseLeadTime + scanInterval
		paused := 0
		for range 400 {
			sim.run(10 * time.Millisecond)
			for _, w := range sim.dispatcher.orderedWorkers {
				if w.speed == pausedSpeed && w.pausedAt.Equal(sim.dispatcher.now) {
					paused++
					if waited := w.pausedAt.Sub(w.belowTargetAt); waited > limit {
						t.Errorf("seed %d: paused %v after the last poll below the target, expected at most %v", seed, waited, limit)
					}
				}
			}
		}
		if paused == 0 {
			t.Errorf("seed %d: no task is paused", seed)
		}
	}
}
