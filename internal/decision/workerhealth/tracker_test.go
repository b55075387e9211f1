package workerhealth

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

// TestQuarantineDoubles guards against a faulty worker that keeps getting new tasks.
func TestQuarantineDoubles(t *testing.T) {
	tracker := New()
	now := start
	for i := range FailureThreshold {
		tracker.RecordFailure(now, "bad", fmt.Sprint(i))
	}
	for duration := 30 * time.Second; ; duration = min(2*duration, 15*time.Minute) {
		if !tracker.Quarantined(now.Add(duration-time.Second), "bad") {
			t.Fatalf("quarantine is shorter than %v", duration)
		}
		now = now.Add(duration)
		if tracker.Quarantined(now, "bad") || !tracker.OnProbation("bad") {
			t.Fatalf("no probation after %v", duration)
		}
		if now.Sub(start) > time.Hour {
			break
		}
		tracker.RecordFailure(now, "bad", "another")
	}
	tracker.RecordSuccess("bad", "another")
	if tracker.OnProbation("bad") {
		t.Error("still on probation after a success")
	}
}

// TestJobThatFailsEverywhere guards against quarantining healthy workers because of a faulty job.
func TestJobThatFailsEverywhere(t *testing.T) {
	tracker := New()
	for i := range 20 {
		tracker.RecordFailure(start, fmt.Sprint(i%4), "poison")
	}
	if !tracker.FailsEverywhere("poison") {
		t.Error("a job that failed on 4 workers is not rated faulty")
	}
	for i := range 4 {
		if tracker.Quarantined(start, fmt.Sprint(i)) {
			t.Errorf("worker %d is quarantined because of one job", i)
		}
	}
}

// TestJobsOnFaultyWorkers guards against rating jobs faulty that ran on faulty workers only: their failures are
// attributed to the workers once these are quarantined.
func TestJobsOnFaultyWorkers(t *testing.T) {
	tracker := New()
	for job := range 6 {
		for worker := range 3 {
			tracker.RecordFailure(start, fmt.Sprint(worker), fmt.Sprint(job))
		}
	}
	for job := range 6 {
		if tracker.FailsEverywhere(fmt.Sprint(job)) {
			t.Errorf("job %d is rated faulty because of faulty workers", job)
		}
	}
	for worker := range 3 {
		if !tracker.Quarantined(start, fmt.Sprint(worker)) {
			t.Errorf("6 jobs failed on worker %d, but it is not quarantined", worker)
		}
	}
}
