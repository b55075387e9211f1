package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/occupancy"
)

// countStarts counts the proposed runs of the jobs whose ID has a prefix.
func (sim *simulation) countStarts(prefix string) *int {
	started := 0
	sim.onCommand = func(command *controlpb.Command) {
		for _, change := range command.GetWork().GetChanges() {
			if strings.HasPrefix(change.GetStartRun().GetTask().GetJob(), prefix) {
				started++
			}
		}
	}
	return &started
}

// Many steps that find no room used up the ratings of each pass, so that the steps behind them stood still beside processors that
// only they can use.
func TestStepsWithoutRoomLeaveRatingsToOthers(t *testing.T) {
	const workers, seconds, batchTasks = 100, 5, 100
	for name, waiting := range map[string]struct {
		steps int
		wait  func(sim *simulation, steps int)
	}{
		"lasting": {450, (*simulation).waitForRoom},
		"gangs": {15, func(sim *simulation, steps int) {
			for i := range steps {
				step := dedicated(2*workers+1, time.Second)
				step.Processors, step.Gang = 12_000, true
				sim.request(submission("urgent", fmt.Sprintf("waiting-%d", i), step))
			}
			sim.run(500 * time.Millisecond)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newLabelledFleet(t, workers, workers)
			started := sim.countStarts("batch-")
			second := func(n int) int {
				before := *started
				sim.request(submission("batch", fmt.Sprintf("batch-%d", n), dedicated(batchTasks, 1500*time.Millisecond)))
				sim.run(time.Second)
				return *started - before
			}
			if n := second(0); n < batchTasks {
				t.Fatalf("%d of %d batch tasks start before others wait", n, batchTasks)
			}
			waiting.wait(sim, waiting.steps)
			for n := range seconds {
				if starts := second(n + 1); starts < batchTasks {
					t.Errorf("%d of %d batch tasks start in second %d", starts, batchTasks, n)
				}
			}
			for i := range waiting.steps {
				if sim.servingRuns(fmt.Sprintf("waiting-%d", i)) > 0 {
					t.Fatalf("a run of waiting-%d has started", i)
				}
			}
		})
	}
}

// waitForRoom makes lasting tasks wait that fit on no host of newLabelledFleet.
func (sim *simulation) waitForRoom(steps int) {
	for i := range steps {
		step := lasting(1, fmt.Sprintf("image-%d", i))
		step.Processors, step.MaxPerWorker = 26_000, 1 // of 25 cores that each host has free
		sim.request(submission("urgent", fmt.Sprintf("waiting-%d", i), step))
	}
	sim.run(500 * time.Millisecond)
}

// Behind many steps for which nothing can be preempted, a step must get the room that a preemption makes for it.
func TestPreemptionReachesLaterSteps(t *testing.T) {
	for _, steps := range []int{20, 450} {
		sim := newLabelledFleet(t, 100, 100)
		target := sim.workers[0].incarnation.GetId()
		sim.request(submission("batch", "batch", labelled(dedicated(6, time.Minute), target)))
		sim.run(time.Second)
		sim.waitForRoom(steps)
		submitted := sim.now
		sim.request(submission("urgent", "urgent", labelled(dedicated(1, time.Second), target)))
		for sim.servingRuns("urgent") == 0 && sim.now.Sub(submitted) < 10*time.Second {
			sim.run(10 * time.Millisecond)
		}
		waited := sim.now.Sub(submitted)
		t.Logf("behind %d steps the urgent task waits %v", steps, waited)
		if waited > 2400*time.Millisecond {
			t.Errorf("behind %d steps the urgent task waits %v", steps, waited)
		}
	}
}

// A step for which nothing could be preempted must be searched for again soon: the runs on a host become preemptible once a poll
// has shown them.
func TestPreemptionIsRetried(t *testing.T) {
	sim := newLabelledFleet(t, 4, 4)
	target := sim.workers[0].incarnation.GetId()
	sim.request(submission("batch", "batch", labelled(dedicated(6, time.Minute), target)))
	for sim.servingRuns("batch") < 6 {
		sim.run(10 * time.Millisecond)
	}
	submitted := sim.now
	sim.request(submission("urgent", "urgent", labelled(dedicated(1, time.Second), target)))
	for sim.servingRuns("urgent") == 0 && sim.now.Sub(submitted) < 10*time.Second {
		sim.run(10 * time.Millisecond)
	}
	if waited := sim.now.Sub(submitted); waited > 1500*time.Millisecond {
		t.Errorf("the urgent task waits %v", waited)
	}
}

// An operator couldn't see why tasks waited that a pass didn't reach: the fleet line named no cause for them.
func TestReportNamesPassLimits(t *testing.T) {
	sim := newLabelledFleet(t, 16, 16)
	for i := range 3 {
		sim.request(submission("batch", fmt.Sprintf("batch-%d", i), dedicated(2, time.Second)))
	}
	sim.queuedStarts = maxOpenStarts
	sim.run(200 * time.Millisecond)
	d := sim.dispatcher
	causes := map[occupancy.Cause]int{}
	for c, cause := range d.waitCauses(d.candidates(), d.hosts(), &lastingWaits{}) {
		causes[cause] += c.step.Waiting
	}
	if causes[occupancy.StartLimit] != 6 || len(causes) != 1 {
		t.Errorf("6 tasks wait for %v, expected %s", causes, occupancy.StartLimit)
	}
}

// BenchmarkStepsWithoutRoom reports the processor time of the longest and the mean Tick while 200 lasting steps fit on none of 490
// workers, and how many batch tasks start behind them.
func BenchmarkStepsWithoutRoom(b *testing.B) {
	var longest, total time.Duration
	ticks, started := 0, 0
	for b.Loop() {
		sim := newLabelledFleet(&testing.T{}, 490, 490)
		sim.request(submission("batch", "batch", dedicated(500, 20*time.Second)))
		sim.run(time.Second)
		sim.waitForRoom(200)
		starts := sim.countStarts("behind-")
		sim.onStep = func(name string, took time.Duration) {
			if name == "Tick" {
				longest, total, ticks = max(longest, took), total+took, ticks+1
			}
		}
		for i := range 20 {
			sim.request(submission("batch", fmt.Sprintf("behind-%d", i), dedicated(50, time.Second)))
			sim.run(200 * time.Millisecond)
		}
		started += *starts
	}
	b.ReportMetric(float64(longest.Microseconds()), "longest-Tick-us")
	b.ReportMetric(float64(total.Microseconds())/float64(ticks), "mean-Tick-us")
	b.ReportMetric(float64(started)/float64(b.N), "starts")
}
