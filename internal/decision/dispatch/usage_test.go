package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/decision/workload"
	"galenamoor/pkg/resource"
)

// A worker's usage that keeps a run which has ended would hide room that it has.
func TestUsageMatchesRuns(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			sim := newSimulationWithWorkers(t, seed, 8)
			sim.submit("urgent", "serving", serving(12, "image"))
			check := func() {
				for _, w := range sim.dispatcher.orderedWorkers {
					var used resource.Vector
					serves := int64(0)
					add := func(step *workload.Step) {
						used = used.Add(step.Demand())
						if step.IsServing() {
							serves += step.GetProcessors()
						}
					}
					for key, task := range w.incarnation.Runs {
						r := sim.dispatcher.runs[key]
						switch {
						case !r.released:
							add(task.Step)
						case !r.ended || !w.recordingEnds && !w.ending:
							t.Errorf("%v: the room of %s on %s is free, and its end isn't being recorded", sim.now, key.Task, w.incarnation.GetId())
						}
					}
					for step, n := range w.proposedRuns {
						for range n {
							add(step)
						}
					}
					if w.used != used || w.servingProcessors != serves {
						t.Errorf("%s uses %v, of which %d serve; its runs reserve %v and %d", w.incarnation.GetId(), w.used, w.servingProcessors, used, serves)
					}
				}
			}
			sim.runFaults(func() {
				sim.injectFaultWithSlowCommits()
				for range 10 {
					sim.run(30 * time.Millisecond)
					check()
				}
			})
		})
	}
}
