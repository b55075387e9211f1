package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/consensus"
)

// small returns a step of small tasks, each of them a hundredth of a core.
func small(count uint32, runtime time.Duration) *controlpb.WorkStep {
	return &controlpb.WorkStep{Count: count, Processors: 10, Memory: 1, EstimateMs: runtime.Milliseconds()}
}

// manySteps returns count steps, each as made by step.
func manySteps(count int, step func(n int) *controlpb.WorkStep) []*controlpb.WorkStep {
	steps := make([]*controlpb.WorkStep, count)
	for n := range steps {
		steps[n] = step(n)
	}
	return steps
}

// largeJobs are jobs of thousands of steps or tasks in different shapes.
var largeJobs = map[string]struct {
	workers int
	jobs    int // number of such jobs
	queue   string
	repeats uint32
	steps   func() []*controlpb.WorkStep

	startsNothing bool // its tasks fit nowhere
}{
	"independent steps": {workers: 12, jobs: 1, queue: "urgent", steps: func() []*controlpb.WorkStep {
		return manySteps(12_000, func(int) *controlpb.WorkStep { return small(1, 200*time.Millisecond) })
	}},
	"steps of a batch job": {workers: 12, jobs: 1, queue: "batch", steps: func() []*controlpb.WorkStep {
		return manySteps(20_000, func(int) *controlpb.WorkStep { return small(1, 200*time.Millisecond) })
	}},
	"several jobs": {workers: 12, jobs: 4, queue: "batch", steps: func() []*controlpb.WorkStep {
		return manySteps(12_000, func(int) *controlpb.WorkStep { return small(1, 4*time.Second) })
	}},
	"chain": {workers: 12, jobs: 3, queue: "urgent", steps: func() []*controlpb.WorkStep {
		return manySteps(9000, func(n int) *controlpb.WorkStep {
			step := small(1, 50*time.Millisecond)
			if n > 0 {
				step.After = []uint32{uint32(n - 1)}
			}
			return step
		})
	}},
	"dense dependencies": {workers: 12, jobs: 2, queue: "urgent", repeats: 55, steps: func() []*controlpb.WorkStep {
		return manySteps(360, func(n int) *controlpb.WorkStep {
			step := small(1, 50*time.Millisecond)
			for earlier := range n {
				step.After = append(step.After, uint32(earlier))
			}
			return step
		})
	}},
	"fan-in": {workers: 12, jobs: 1, queue: "urgent", steps: func() []*controlpb.WorkStep {
		return manySteps(12_000, func(n int) *controlpb.WorkStep {
			step := small(1, 100*time.Millisecond)
			for earlier := range n * (n / 11_999) {
				step.After = append(step.After, uint32(earlier))
			}
			return step
		})
	}},
	"repeated": {workers: 12, jobs: 2, queue: "urgent", repeats: 2000, steps: func() []*controlpb.WorkStep {
		return manySteps(10, func(int) *controlpb.WorkStep { return small(1, 200*time.Millisecond) })
	}},
	"tasks of one step": {workers: 100, jobs: 1, queue: "urgent", steps: func() []*controlpb.WorkStep {
		return []*controlpb.WorkStep{small(20_000, 2*time.Second)}
	}},
	"limit per worker": {workers: 100, jobs: 2, queue: "urgent", steps: func() []*controlpb.WorkStep {
		step := small(20_000, 2*time.Second)
		step.MaxPerWorker = 50
		return []*controlpb.WorkStep{step}
	}},
	"lasting tasks": {workers: 24, jobs: 1, queue: "urgent", steps: func() []*controlpb.WorkStep {
		return manySteps(1500, func(int) *controlpb.WorkStep {
			step := small(1, 0)
			step.Perpetual, step.Image, step.TargetMs, step.MayMiss = true, "image", 100, 1
			return step
		})
	}},
	"no room": {workers: 100, jobs: 2, queue: "urgent", startsNothing: true, steps: func() []*controlpb.WorkStep {
		return manySteps(12_000, func(n int) *controlpb.WorkStep {
			step := small(1, time.Second)
			step.Processors, step.Memory = 60_000-int64(n%2), int64(1+n)
			return step
		})
	}},
	"no room for gangs": {workers: 100, jobs: 2, queue: "urgent", startsNothing: true, steps: func() []*controlpb.WorkStep {
		return manySteps(3000, func(int) *controlpb.WorkStep {
			step := small(4, time.Second)
			step.Processors, step.Gang, step.SameRack = 60_000, true, true
			return step
		})
	}},
	"labels": {workers: 100, jobs: 1, queue: "urgent", startsNothing: true, steps: func() []*controlpb.WorkStep {
		return manySteps(8000, func(n int) *controlpb.WorkStep { return labelled(small(1, time.Second), fmt.Sprint("none-", n)) })
	}},
	"best-effort tasks": {workers: 12, jobs: 1, queue: "batch", steps: func() []*controlpb.WorkStep {
		return manySteps(12_000, func(n int) *controlpb.WorkStep {
			step := small(1, 200*time.Millisecond)
			step.Fills, step.Image = true, fmt.Sprint("image-", n%50)
			return step
		})
	}},
	"gang": {workers: 100, jobs: 1, queue: "batch", startsNothing: true, steps: func() []*controlpb.WorkStep {
		step := small(20_000, time.Second)
		step.Gang, step.Processors = true, 200 // of which 160 fit on a worker
		return []*controlpb.WorkStep{step}
	}},
}

// TestLargeJobLeavesLeaderResponsive guards against accepted jobs for which the leader works longer than an election timeout at a time: it
// lost its leadership, as did each successor, and no task of any job started any more.
func TestLargeJobLeavesLeaderResponsive(t *testing.T) {
	for name, test := range largeJobs {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithWorkers(t, 1, test.workers)
			longest := map[string]time.Duration{}
			sim.onStep = func(step string, took time.Duration) { longest[step] = max(longest[step], took) }
			for n := range test.jobs {
				work := submission(test.queue, fmt.Sprint("large-", n), test.steps()...)
				job := work.GetCaller().GetJob()
				job.Repeats, job.StartAtMs, job.PeriodMs = test.repeats, sim.now.UnixMilli(), 1
				sim.request(work)
				sim.run(20 * time.Millisecond)
			}
			for n := range 3 {
				id := fmt.Sprint("ordinary-", n)
				sim.request(submission("urgent", id, dedicated(4, 500*time.Millisecond)))
				sim.run(3 * time.Second)
				sim.expect(id, controlpb.WorkState_WORK_COMPLETED)
			}
			started := 0
			for n := range test.jobs {
				if sim.state.Job(fmt.Sprint("large-", n)) == nil || sim.state.Job(fmt.Sprint("large-", n)).HasStarted() {
					started++
				}
			}
			if started < test.jobs && !test.startsNothing {
				t.Errorf("%d of %d large jobs have started", started, test.jobs)
			}
			t.Logf("longest steps of the control loop: %v", longest)
			for step, took := range longest {
				if took > consensus.DefaultHeartbeatInterval {
					t.Errorf("%s takes %v, longer than a heartbeat interval, %v", step, took, consensus.DefaultHeartbeatInterval)
				}
			}
		})
	}
}

// TestLargeJobCompletes guards against steps that are never tried, because those before them fill the window of the job or fit nowhere.
func TestLargeJobCompletes(t *testing.T) {
	const impossible = 11_000
	sim := newSimulationWithWorkers(t, 1, 12)
	sim.submit("urgent", "a", manySteps(12_000, func(n int) *controlpb.WorkStep {
		if n < impossible {
			return labelled(small(1, time.Second), "none")
		}
		return small(1, 200*time.Millisecond)
	})...)
	sim.run(10 * time.Second)
	for _, step := range sim.state.Job("a").Steps(0)[impossible:] {
		if step.Unfinished > 0 {
			t.Fatalf("step %d isn't done", step.Number)
		}
	}
	sim.submit("batch", "b", manySteps(12_000, func(int) *controlpb.WorkStep { return small(1, 200*time.Millisecond) })...)
	sim.run(40 * time.Second)
	sim.expect("b", controlpb.WorkState_WORK_COMPLETED)
}

// TestPreemptionAmongManyRuns guards against a search for runs to preempt that takes longer than a heartbeat interval, because a job has
// filled each host with hundreds of small tasks.
func TestPreemptionAmongManyRuns(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 12)
	sim.submit("batch", "batch", manySteps(12_000, func(int) *controlpb.WorkStep {
		step := small(1, time.Minute)
		step.Processors = 32 // 1000 fit on a worker
		return step
	})...)
	sim.run(20 * time.Second)
	longest := time.Duration(0)
	sim.onStep = func(_ string, took time.Duration) { longest = max(longest, took) }
	for n := range 20 {
		sim.request(submission("urgent", fmt.Sprint("urgent-", n), dedicated(1, time.Second)))
	}
	sim.run(5 * time.Second)
	for n := range 20 {
		sim.expect(fmt.Sprint("urgent-", n), controlpb.WorkState_WORK_COMPLETED)
	}
	t.Logf("longest step of the control loop: %v", longest)
	if longest > consensus.DefaultHeartbeatInterval {
		t.Errorf("a step of the control loop takes %v, longer than a heartbeat interval, %v", longest, consensus.DefaultHeartbeatInterval)
	}
}

// TestRelocationAmongManyTasks guards against a search for tasks to move that counts, for each of the runs on all hosts, all tasks of a job of thousands.
func TestRelocationAmongManyTasks(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 12)
	wide := small(2400, 0)
	wide.Processors, wide.Perpetual, wide.Image, wide.TargetMs, wide.MayMiss, wide.MaxPerWorker = 120, true, "image", 100, 10, 200
	sim.submit("urgent", "wide", wide)
	sim.run(20 * time.Second)
	if runs := sim.servingRuns("wide"); runs != 2400 {
		t.Fatalf("%d lasting tasks run, expected 2400", runs)
	}
	longest := time.Duration(0)
	sim.onStep = func(_ string, took time.Duration) { longest = max(longest, took) }
	sim.request(submission("urgent", "waiting", servingWith(2, 12_000)))
	sim.run(10 * time.Second)
	t.Logf("longest step of the control loop: %v", longest)
	if longest > consensus.DefaultHeartbeatInterval {
		t.Errorf("a step of the control loop takes %v, longer than a heartbeat interval, %v", longest, consensus.DefaultHeartbeatInterval)
	}
}

// TestLargeJobsAreBounded guards against accepted jobs that together take more memory than a controller has.
func TestLargeJobsAreBounded(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	for name, job := range map[string]*controlpb.WorkJob{
		"tasks":          {Steps: []*controlpb.WorkStep{small(20_000, time.Hour)}},
		"steps":          {Steps: manySteps(12_000, func(int) *controlpb.WorkStep { return small(1, time.Hour) })},
		"occurrences":    {Steps: []*controlpb.WorkStep{small(1, time.Hour)}, Repeats: 20_000, StartAtMs: sim.now.Add(time.Hour).UnixMilli(), PeriodMs: 1},
		"specifications": {Spec: strings.Repeat("x", 4<<20), Steps: []*controlpb.WorkStep{small(1, time.Hour)}}, // sixteen times a body
	} {
		for n := range 60 {
			work := submission("batch", fmt.Sprint(name, n), job.GetSteps()...)
			if job.GetSpec() != "" {
				work.GetCaller().Job.Spec = job.GetSpec()
			}
			work.GetCaller().Job.Repeats, work.GetCaller().Job.StartAtMs, work.GetCaller().Job.PeriodMs = job.GetRepeats(), job.GetStartAtMs(), job.GetPeriodMs()
			sim.request(work) // several before the first one is committed
			if n%5 == 4 {
				sim.run(50 * time.Millisecond)
			}
		}
		sim.run(100 * time.Millisecond)
		load := sim.state.Load()
		if load > maxLoad*nonUrgentShare || load < maxLoad/2 {
			t.Errorf("%s: jobs with a load of %d are accepted, expected at most %d", name, load, int(maxLoad*nonUrgentShare))
		}
		if got := sim.submit("urgent", name+"-urgent", dedicated(1, time.Second)); got != controlpb.WorkOutcome_WORK_OK {
			t.Errorf("%s: an urgent job beside them: %v", name, got)
		}
		for n := range 60 {
			sim.cancel(fmt.Sprint(name, n))
		}
		sim.run(5 * time.Second)
	}
}

// TestWindowMovesBesideManyStarts guards against steps that are never tried while the starts of each pass go to another job: the window of their job moved
// only after passes that had starts left.
func TestWindowMovesBesideManyStarts(t *testing.T) {
	const impossible, possible = 8000, 100
	sim := newSimulationWithWorkers(t, 1, 12)
	sim.submit("urgent", "behind", manySteps(impossible+possible, func(n int) *controlpb.WorkStep {
		if n < impossible {
			return labelled(small(1, time.Second), "none")
		}
		return small(1, time.Second)
	})...)
	for n := range 15 { // more tasks than start until the test ends
		sim.request(submission("batch", fmt.Sprint("many-", n), small(18_000, 20*time.Millisecond)))
	}
	sim.run(4 * time.Second)
	waiting := 0
	for _, step := range sim.state.Job("behind").Steps(0)[impossible:] {
		waiting += step.Waiting
	}
	if sim.dispatcher.state.Job("many-14") == nil {
		t.Fatal("the other jobs are done too soon for this test")
	}
	if waiting > 0 {
		t.Errorf("%d of %d steps were never tried", waiting, possible)
	}
}
