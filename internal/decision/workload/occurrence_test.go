package workload

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// scheduled returns a job of eight small tasks that run each minute of a day.
func scheduled(id string) *controlpb.WorkJob {
	return &controlpb.WorkJob{
		Id: id, Queue: "q", Repeats: 24 * 60, StartAtMs: 3_600_000, PeriodMs: 60_000, Steps: []*controlpb.WorkStep{{Count: 8, Processors: 500, Memory: 64}},
	}
}

// heapUse returns the memory in MiB that what build returns takes.
func heapUse(build func() any) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(built)
	return (int64(after.HeapAlloc) - int64(before.HeapAlloc)) >> 20
}

// TestMemoryOfScheduledJobs guards against accepted jobs that take more memory than a controller has, as soon as they are accepted or once a snapshot is
// made or restored.
func TestMemoryOfScheduledJobs(t *testing.T) {
	const jobs, limit = 1000, 32 // MiB
	s := New()
	if used := heapUse(func() any {
		for n := range jobs {
			s.submit(scheduled(fmt.Sprint("job-", n)))
		}
		return s
	}); used > limit {
		t.Errorf("%d jobs take %d MiB, expected at most %d", jobs, used, limit)
	}
	var snapshot *controlpb.WorkSnapshot
	if used := heapUse(func() any { snapshot = s.Snapshot(); return snapshot }); used > limit {
		t.Errorf("their snapshot takes %d MiB, expected at most %d", used, limit)
	}
	restored := New()
	if used := heapUse(func() any { _ = restored.Restore(snapshot); return restored }); used > limit || len(restored.jobs) != jobs {
		t.Errorf("the %d restored jobs take %d MiB, expected at most %d", len(restored.jobs), used, limit)
	}
}

// TestCompletedOccurrencesAreDropped guards against memory that grows with each time that a job has run, against runs of what has run already, and
// against differences between a state and its snapshot.
func TestCompletedOccurrencesAreDropped(t *testing.T) {
	s := New()
	s.insertWorker(&controlpb.WorkerLife{Id: "worker", Number: 1})
	s.submit(scheduled("job"))
	j, w := s.jobs["job"], s.workers[1]
	for number := range j.Occurrences() {
		now := j.DueAt(number)
		for _, step := range j.WaitingSteps(now, 0) {
			for _, task := range step.Tasks {
				s.startRun(&controlpb.StartRun{Task: task.Key().Ref(), Run: 1, Worker: 1})
				s.recordRunEnds(&controlpb.NoteEnds{Worker: 1, Through: w.GetEndsSeen() + 1, Ends: []*controlpb.EndedRun{{Task: task.Key().Ref(), Run: 1, How: controlpb.RunEnd_RUN_DONE}}})
				again := s.startRun(&controlpb.StartRun{Task: task.Key().Ref(), Run: 2, Worker: 1})
				if again.GetCode() != controlpb.ResultCode_RESULT_REJECTED {
					t.Fatalf("%s starts again after it was done", task.Key())
				}
			}
		}
		if len(j.occurrences) > 1 || j.HasWaiting(now) {
			t.Fatalf("%d occurrences exist after the run at %v", len(j.occurrences), now)
		}
		if number%500 != 0 {
			continue
		}
		restored := New()
		if err := restored.Restore(s.Snapshot()); err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(restored.Snapshot(), s.Snapshot()) || restored.jobs["job"].HasWaiting(now) || !restored.jobs["job"].HasWaiting(now.Add(time.Minute)) {
			t.Fatalf("after the run at %v the restored state differs", now)
		}
	}
	if state, _ := s.Lookup("job"); state != controlpb.WorkState_WORK_COMPLETED || s.Load() != 0 {
		t.Errorf("the job is %v with a load of %d", state, s.Load())
	}
}

// TestOverflowingJobInLog guards against a log of an earlier version that no controller can read: it holds a job whose number of tasks overflowed when it
// was checked.
func TestOverflowingJobInLog(t *testing.T) {
	s := New()
	result := s.submit(&controlpb.WorkJob{Id: "job", Queue: "q", Repeats: 1<<32 - 1, Steps: []*controlpb.WorkStep{{Count: 1<<32 - 1}}})
	if state, _ := s.Lookup("job"); state != controlpb.WorkState_WORK_FAILED || result.GetCode() != controlpb.ResultCode_RESULT_INVALID {
		t.Errorf("the job is %v, result %v", state, result)
	}
	s.submit(scheduled("other"))
	restored := New()
	if err := restored.Restore(s.Snapshot()); err != nil || !restored.jobs["other"].HasWaiting(restored.jobs["other"].DueAt(0)) {
		t.Errorf("the state can't be restored: %v", err)
	}
}
