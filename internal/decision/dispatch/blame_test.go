package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/imagepair"
)

// Workers turn slow, one after the other, so that the tail latencies of their serving tasks rise whatever runs beside them.
// Best-effort images that are harmless mustn't be kept away from all serving tasks because of that, or their jobs starve.
func TestSlowWorkersDontTaintImages(t *testing.T) {
	const workers, images = 8, 3
	sim := newSimulationWithWorkers(t, 1, workers)
	sim.interference = func(string, string) float64 { return 0.01 }
	sim.submit("urgent", "serving", servingOnAll(workers))
	sim.run(3 * time.Second)
	jobs := 0
	submitAll := func() {
		for n := range images {
			sim.submit("batch", fmt.Sprintf("job-%d", jobs), bestEffort(workers, fmt.Sprintf("fill-%d", n), time.Second))
			jobs++
		}
	}
	for range 8 {
		submitAll()
		sim.run(2 * time.Second)
	}
	for _, slow := range sim.workers {
		slow.slowTail = 2
		harmful := 0
		for range 6 {
			submitAll()
			sim.run(time.Second)
			harmful = 0
			for n := range images {
				if sim.dispatcher.interference.Rating(sim.now, "image", fmt.Sprintf("fill-%d", n)) == imagepair.Harmful {
					harmful++
				}
			}
		}
		if harmful > 0 {
			t.Errorf("%s: %d of %d harmless images are rated harmful after it has been slow for 6 s", slow.incarnation.GetId(), harmful, images)
		}
		slow.slowTail = 0
	}
	sim.run(finishTime)
	for i := range jobs {
		sim.expect(fmt.Sprintf("job-%d", i), controlpb.WorkState_WORK_COMPLETED)
	}
}

// The evidence against images that do interfere must stand once they have been stopped, so that they aren't started beside the
// same serving tasks again.
func TestBlameOfHarmfulImagesStands(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 6)
	sim.interference = func(string, string) float64 { return 2 }
	sim.submit("urgent", "serving", serving(30, "image"))
	sim.run(3 * time.Second)
	sim.submit("batch", "a", bestEffort(6, "fill", 2*time.Second))
	sim.run(6 * time.Second)
	if got := sim.dispatcher.interference.Rating(sim.now, "image", "fill"); got != imagepair.Harmful {
		t.Errorf("rated %d, expected Harmful", got)
	}
	for _, w := range sim.dispatcher.workers {
		if len(w.blames) > 0 {
			t.Errorf("%s has unsettled evidence", w.incarnation.GetId())
		}
	}
}
