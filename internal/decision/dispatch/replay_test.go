package dispatch

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"gopkg.in/ini.v1"

	"galenamoor/internal/controlpb"
)

// replay is a load pattern with bounds on how its users are served, read from a data file.
type replay struct {
	Workers         int           // of 32 cores and 128 GiB
	Seed            uint64        // of the simulation
	Duration        time.Duration // after which the bounds are checked
	Effect          float64       // by which each best-effort task raises the latency ratio of serving tasks beside it
	LoadRise        float64       // by which the own load of serving tasks raises their latency ratio in every second period
	LoadPeriod      time.Duration
	OverTargetShare float64 // bound on the share of time that serving tasks exceed their latency target
}

// arrivals is a series of similar jobs in a load pattern.
type arrivals struct {
	Queue      string
	Kind       string // Serving, Dedicated or BestEffort
	Count      int    // of jobs
	First      time.Duration
	Every      time.Duration
	Tasks      uint32
	Processors int64
	Memory     int64
	Images     int // the jobs take turns among that many images
	Runtime    time.Duration
	Within     time.Duration // bound on the time from the submission to the end of a job, or to the start of serving tasks
	LateShare  float64       // bound on the share of jobs that exceed Within
	// MayBeRejected allows the jobs to be rejected when they arrive; those aren't late.
	MayBeRejected bool
}

// step returns the only step of the series' job with the given number.
func (a *arrivals) step(job int) *controlpb.WorkStep {
	step := &controlpb.WorkStep{Count: a.Tasks, Processors: a.Processors, Memory: a.Memory, EstimateMs: a.Runtime.Milliseconds()}
	switch a.Kind {
	case "Serving":
		step.Perpetual, step.TargetMs, step.Image = true, 100, fmt.Sprintf("image-%d", job%max(1, a.Images))
	case "BestEffort":
		step.Fills, step.Checkpoints, step.Image = true, true, fmt.Sprintf("fill-%d", job%max(1, a.Images))
	}
	return step
}

// TestReplays guards against decisions that serve users worse at the worst moments of the platform's days: each file in
// testdata/replays describes one load pattern and its bounds.
func TestReplays(t *testing.T) {
	files, err := filepath.Glob("testdata/replays/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatalf("no replays: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { runReplay(t, file) })
	}
}

func runReplay(t *testing.T, name string) {
	file, err := ini.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	var pattern replay
	if err := file.Section("Replay").StrictMapTo(&pattern); err != nil {
		t.Fatal(err)
	}
	sim := newSimulationWithWorkers(t, pattern.Seed, pattern.Workers)
	sim.interference = func(string, string) float64 { return pattern.Effect }
	began := sim.now
	sim.ownLoad = func(now time.Time) float64 {
		if pattern.LoadPeriod == 0 || now.Sub(began)/pattern.LoadPeriod%2 == 0 {
			return 0
		}
		return pattern.LoadRise
	}
	var checks []func()
	servingTime := time.Duration(0)
	for _, section := range file.ChildSections("Arrivals") {
		var series arrivals
		if err := section.StrictMapTo(&series); err != nil {
			t.Fatal(err)
		}
		late := sim.submitSeries(&series)
		checks = append(checks, func() {
			if limit := int(series.LateShare * float64(series.Count)); *late > limit {
				t.Errorf("%s: %d of %d jobs took longer than %v, expected at most %d", section.Name(), *late, series.Count, series.Within, limit)
			}
		})
		if series.Kind == "Serving" {
			servingTime += time.Duration(series.Count) * time.Duration(series.Tasks) * pattern.Duration
		}
	}
	sim.run(pattern.Duration)
	for _, check := range checks {
		check()
	}
	if share := float64(sim.overTarget) / float64(max(1, servingTime)); share > pattern.OverTargetShare {
		t.Errorf("serving tasks exceeded their latency targets for %.4f of the time, expected at most %.4f", share, pattern.OverTargetShare)
	}
}

// submitSeries schedules the submission of a series of jobs. It returns the number of jobs that are late by now.
func (sim *simulation) submitSeries(series *arrivals) *int {
	late := new(int)
	for i := range series.Count {
		id := fmt.Sprintf("%s-%s-%d", series.Queue, series.Kind, i)
		sim.after(series.First+time.Duration(i)*series.Every, func() {
			work := submission(series.Queue, id, series.step(i))
			reply, wait := sim.dispatcher.Serve(sim.now, &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: work}})
			if !wait && series.MayBeRejected && reply.GetWork().GetOutcome() == controlpb.WorkOutcome_WORK_OVERLOADED {
				return
			}
			sim.after(series.Within, func() {
				if !sim.isServed(id) {
					*late++
				}
			})
		})
	}
	return late
}

// isServed reports whether a job is completed or, if its tasks are perpetual, whether all of them run.
func (sim *simulation) isServed(id string) bool {
	if state, _ := sim.state.Lookup(id); state == controlpb.WorkState_WORK_COMPLETED {
		return true
	}
	job := sim.state.Job(id)
	if job == nil {
		return false
	}
	step := job.Steps(0)[0]
	return step.GetPerpetual() && step.Waiting == 0
}
