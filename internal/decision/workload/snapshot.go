package workload

import (
	"maps"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// Snapshot returns the state as a message that shares nothing with it that later commands change.
func (s *State) Snapshot() *controlpb.WorkSnapshot {
	snapshot := &controlpb.WorkSnapshot{
		Routing:    s.routing,
		ZonesOut:   slices.Sorted(maps.Keys(s.zonesOut)),
		Epoch:      s.epoch,
		LastWorker: s.lastWorker,
		Finished:   slices.Clone(s.endings),
		GivenUp:    maps.Clone(s.givenUp),
		Pairs:      s.Pairs(),
	}
	for _, name := range slices.Sorted(maps.Keys(s.queues)) {
		snapshot.KnownQueues = append(snapshot.KnownQueues, s.queues[name])
	}
	for _, w := range s.Workers() {
		snapshot.Workers = append(snapshot.Workers, proto.CloneOf(w.WorkerLife))
	}
	for _, j := range s.order {
		snapshot.Jobs = append(snapshot.Jobs, j.record())
	}
	for _, wave := range slices.Sorted(maps.Keys(s.maintenance)) {
		snapshot.Maintenance = append(snapshot.Maintenance, proto.CloneOf(s.maintenance[wave]))
	}
	return snapshot
}

func (j *Job) record() *controlpb.WorkJobRecord {
	record := &controlpb.WorkJobRecord{Job: j.Spec, Cancelled: j.Cancelled, Failed: j.Failed, Started: j.Started}
	j.each(func(t *Task) {
		task := &controlpb.WorkTaskRecord{LastRun: t.LastRun, Failures: t.Failures, Done: t.Done, Checkpoint: t.Checkpoint}
		for _, r := range t.Runs {
			task.Runs = append(task.Runs, &controlpb.WorkRun{Run: r.Number, Worker: r.Worker})
		}
		record.Tasks = append(record.Tasks, task)
	})
	return record
}

// each calls a function with all tasks, in the order of occurrence, step and index.
func (j *Job) each(visit func(*Task)) {
	for _, steps := range j.Occurrences {
		for _, step := range steps {
			for _, t := range step.Tasks {
				visit(t)
			}
		}
	}
}

// Restore replaces the state by that of a snapshot; nil for an empty one.
func (s *State) Restore(snapshot *controlpb.WorkSnapshot) error {
	*s = *New()
	s.epoch, s.lastWorker = snapshot.GetEpoch(), snapshot.GetLastWorker()
	if routing := snapshot.GetRouting(); routing != nil {
		s.replaceRouting(routing)
	}
	for _, queue := range snapshot.GetKnownQueues() {
		s.queues[queue.GetName()] = queue
	}
	s.learnPairs(&controlpb.LearnPairs{Pairs: snapshot.GetPairs()})
	if givenUp := snapshot.GetGivenUp(); givenUp != nil {
		s.givenUp = maps.Clone(givenUp)
	}
	for _, zone := range snapshot.GetZonesOut() {
		s.zonesOut[zone] = true
	}
	for _, life := range snapshot.GetWorkers() {
		s.insertWorker(proto.CloneOf(life))
	}
	for _, ending := range snapshot.GetFinished() {
		s.finished[ending.GetId()] = ending
		s.endings = append(s.endings, ending)
	}
	for _, m := range snapshot.GetMaintenance() {
		s.maintenance[m.GetWave()] = proto.CloneOf(m)
	}
	for _, record := range snapshot.GetJobs() {
		if err := s.restoreJob(record); err != nil {
			return err
		}
	}
	return nil
}

func (s *State) restoreJob(record *controlpb.WorkJobRecord) error {
	j := newJob(record.GetJob())
	j.Cancelled, j.Failed, j.Started = record.GetCancelled(), record.GetFailed(), record.GetStarted()
	tasks := record.GetTasks()
	if len(tasks) != j.undone {
		return trace.BadParameter("job %s: %d task records, expected %d", j.Spec.GetId(), len(tasks), j.undone)
	}
	next := 0
	var err error
	j.each(func(t *Task) {
		if failed := s.restoreTask(t, tasks[next]); failed != nil {
			err = failed
		}
		next++
	})
	s.jobs[j.Spec.GetId()] = j
	s.order = append(s.order, j)
	return err
}

func (s *State) restoreTask(t *Task, record *controlpb.WorkTaskRecord) error {
	t.LastRun, t.Failures, t.Checkpoint = record.GetLastRun(), record.GetFailures(), record.GetCheckpoint()
	if record.GetDone() {
		s.finishTask(t)
	}
	for _, r := range record.GetRuns() {
		w := s.workers[r.GetWorker()]
		if w == nil {
			return trace.BadParameter("task %s: no record of its worker %d", t.Key(), r.GetWorker())
		}
		if len(t.Runs) == 0 && !t.Done {
			t.Step.Waiting--
		}
		t.Runs = append(t.Runs, Run{Number: r.GetRun(), Worker: r.GetWorker()})
		t.Step.Job.runs++
		w.Runs[RunKey{Task: t.Key(), Run: r.GetRun()}] = t
	}
	return nil
}
