package workload

import (
	"maps"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// Snapshot returns the state as a message. It shares no mutable data with the state.
func (s *State) Snapshot() *controlpb.WorkSnapshot {
	snapshot := &controlpb.WorkSnapshot{
		Routing:    s.routing,
		ZonesOut:   slices.Sorted(maps.Keys(s.zonesOut)),
		Epoch:      s.epoch,
		LastWorker: s.lastWorkerNumber,
		Finished:   slices.Clone(s.finishedOrder),
		Pairs:      s.ImagePairs(),

		NewestEpoch: s.newestEpoch,

		Assignments: s.assignments,
		ElapsedMs:   s.elapsedMs,
		LedMs:       s.ledMs,
		Crashes:     slices.Clone(s.crashes),
		LostWorkers: s.lostByID(),
		Withdrawn:   slices.Clone(s.withdrawnOrder),
	}
	for _, e := range s.epochs {
		snapshot.Epochs = append(snapshot.Epochs, proto.CloneOf(e))
	}
	for _, zone := range slices.Sorted(maps.Keys(s.zoneOrders)) {
		snapshot.ZoneOrders = append(snapshot.ZoneOrders, &controlpb.ZoneOrders{Zone: zone, Count: s.zoneOrders[zone]})
	}
	for _, address := range slices.Sorted(maps.Keys(s.unsettled)) {
		snapshot.Unsettled = append(snapshot.Unsettled, s.unsettled[address])
	}
	for _, name := range slices.Sorted(maps.Keys(s.queues)) {
		snapshot.KnownQueues = append(snapshot.KnownQueues, s.queues[name])
	}
	for _, w := range s.Workers() {
		snapshot.Workers = append(snapshot.Workers, proto.CloneOf(w.WorkerLife))
	}
	for _, j := range s.jobOrder {
		snapshot.Jobs = append(snapshot.Jobs, j.record())
	}
	for _, wave := range slices.Sorted(maps.Keys(s.maintenance)) {
		snapshot.Maintenance = append(snapshot.Maintenance, proto.CloneOf(s.maintenance[wave]))
	}
	return snapshot
}

func (j *Job) record() *controlpb.WorkJobRecord {
	record := &controlpb.WorkJobRecord{Job: j.Spec, Cancelled: j.Cancelled, Failed: j.Failed, Started: j.Started}
	j.forEachTask(func(t *Task) {
		task := &controlpb.WorkTaskRecord{
			LastRun: t.LastRun, Failures: t.Failures, FailedRun: t.FailedRun, Done: t.Done, Checkpoint: t.Checkpoint, Crashes: t.Crashes, Suspicions: t.Suspicions,
			Pauses: t.Pauses, PausedUntilMs: t.PausedUntilMs, StoppedOn: t.StoppedOn, StoppedMs: t.StoppedMs,
		}
		for _, r := range t.Runs {
			task.Runs = append(task.Runs, &controlpb.WorkRun{Run: r.Number, Worker: r.Worker, AssignedMs: r.AssignedMs, Assignment: r.Assignment, StartAnswered: r.startAnswered})
		}
		record.Tasks = append(record.Tasks, task)
	})
	return record
}

// forEachTask calls visit for every task, ordered by occurrence, step and index.
func (j *Job) forEachTask(visit func(*Task)) {
	for _, steps := range j.Occurrences {
		for _, step := range steps {
			for _, t := range step.Tasks {
				visit(t)
			}
		}
	}
}

// Restore replaces the state by that of a snapshot; a nil snapshot gives an empty state. It returns an error if the
// snapshot is inconsistent.
func (s *State) Restore(snapshot *controlpb.WorkSnapshot) error {
	leaseChanges := s.leaseChanges + 1
	*s = *New()
	s.leaseChanges = leaseChanges
	s.epoch, s.newestEpoch, s.lastWorkerNumber = snapshot.GetEpoch(), snapshot.GetNewestEpoch(), snapshot.GetLastWorker()
	s.elapsedMs, s.ledMs = snapshot.GetElapsedMs(), snapshot.GetLedMs()
	s.crashes = slices.Clone(snapshot.GetCrashes())
	s.restoreAssignments(snapshot)
	if routing := snapshot.GetRouting(); routing != nil {
		s.replaceRouting(routing)
	}
	for _, queue := range snapshot.GetKnownQueues() {
		s.queues[queue.GetName()] = queue
	}
	s.learnPairs(&controlpb.LearnPairs{Pairs: snapshot.GetPairs()})
	s.restoreLost(snapshot)
	s.restoreWithdrawn(snapshot.GetWithdrawn())
	for _, loss := range snapshot.GetUnsettled() {
		s.unsettled[loss.GetAddress()] = loss
	}
	for _, zone := range snapshot.GetZonesOut() {
		s.zonesOut[zone] = true
	}
	for _, orders := range snapshot.GetZoneOrders() {
		s.zoneOrders[orders.GetZone()] = orders.GetCount()
	}
	for _, incarnation := range snapshot.GetWorkers() {
		s.insertWorker(proto.CloneOf(incarnation))
	}
	for _, outcome := range snapshot.GetFinished() {
		s.finished[outcome.GetId()] = outcome
		s.finishedOrder = append(s.finishedOrder, outcome)
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
	if len(tasks) != j.unfinished {
		return trace.BadParameter("job %s: %d task records, expected %d", j.Spec.GetId(), len(tasks), j.unfinished)
	}
	next := 0
	var err error
	j.forEachTask(func(t *Task) {
		if taskErr := s.restoreTask(t, tasks[next]); taskErr != nil {
			err = taskErr
		}
		next++
	})
	s.jobs[j.Spec.GetId()] = j
	s.jobOrder = append(s.jobOrder, j)
	return err
}

func (s *State) restoreTask(t *Task, record *controlpb.WorkTaskRecord) error {
	t.LastRun, t.Failures, t.Checkpoint = record.GetLastRun(), record.GetFailures(), record.GetCheckpoint()
	t.FailedRun, t.Crashes, t.Suspicions = record.GetFailedRun(), record.GetCrashes(), record.GetSuspicions()
	t.Pauses, t.PausedUntilMs = record.GetPauses(), record.GetPausedUntilMs()
	t.StoppedOn, t.StoppedMs = record.GetStoppedOn(), record.GetStoppedMs()
	if record.GetDone() {
		s.finishTask(t)
	}
	for _, r := range record.GetRuns() {
		w := s.workers[r.GetWorker()]
		if w == nil {
			return trace.BadParameter("task %s: no record of its worker %d", t.Key(), r.GetWorker())
		}
		if len(t.Runs) == 0 && !t.Done {
			t.Step.countWaiting(-1)
		}
		assignment := r.GetAssignment()
		if assignment == 0 {
			assignment = s.assignments
		}
		t.Runs = append(t.Runs, Run{Number: r.GetRun(), Worker: r.GetWorker(), AssignedMs: r.GetAssignedMs(), Assignment: assignment, startAnswered: r.GetStartAnswered()})
		t.Step.Job.liveRuns++
		w.addRun(RunKey{Task: t.Key(), Run: r.GetRun()}, t)
	}
	return nil
}
