package workload

import (
	"maps"
	"slices"

	"github.com/bits-and-blooms/bitset"
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

// maxListedOccurrences is the number of occurrences up to which a snapshot lists all tasks of a job, as earlier versions need it.
const maxListedOccurrences = 64

func (j *Job) record() *controlpb.WorkJobRecord {
	record := &controlpb.WorkJobRecord{Job: j.Spec, Cancelled: j.Cancelled, Failed: j.Failed, Started: j.HasStarted(), Begun: uint64(j.begun)}
	if j.Occurrences() <= maxListedOccurrences {
		for number := range j.Occurrences() {
			record.Tasks = append(record.Tasks, j.taskRecords(number)...)
		}
		return record
	}
	record.IsSparse, record.Completed = true, slices.Clone(j.completed.Words())
	for number := range j.current() {
		tasks := j.taskRecords(number)
		if slices.ContainsFunc(tasks, hasChanged) {
			record.Occurrences = append(record.Occurrences, &controlpb.WorkOccurrence{Number: number, Tasks: tasks})
		}
	}
	return record
}

// hasChanged reports whether a record differs from that of a task in its initial state.
func hasChanged(record *controlpb.WorkTaskRecord) bool { return proto.Size(record) > 0 }

// taskRecords returns the records of the tasks of an occurrence.
func (j *Job) taskRecords(number uint32) []*controlpb.WorkTaskRecord {
	var records []*controlpb.WorkTaskRecord
	if o := j.occurrences[number]; o != nil {
		for _, step := range o.steps {
			for _, t := range step.Tasks {
				records = append(records, t.record())
			}
		}
		return records
	}
	same := &controlpb.WorkTaskRecord{Done: j.completed.Test(uint(number))}
	return slices.Repeat([]*controlpb.WorkTaskRecord{same}, tasksOfOccurrence(j.Spec))
}

func (t *Task) record() *controlpb.WorkTaskRecord {
	record := &controlpb.WorkTaskRecord{
		LastRun: t.LastRun, Failures: t.Failures, FailedRun: t.FailedRun, Done: t.Done, Checkpoint: t.Checkpoint, Crashes: t.Crashes, Suspicions: t.Suspicions,
		Pauses: t.Pauses, PausedUntilMs: t.PausedUntilMs, StoppedOn: t.StoppedOn, StoppedMs: t.StoppedMs,
	}
	for _, r := range t.Runs {
		record.Runs = append(record.Runs, &controlpb.WorkRun{Run: r.Number, Worker: r.Worker, AssignedMs: r.AssignedMs, Assignment: r.Assignment, StartAnswered: r.startAnswered})
	}
	return record
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
	j.Cancelled, j.Failed, j.begun = record.GetCancelled(), record.GetFailed(), int(record.GetBegun())
	if record.GetStarted() && j.begun == 0 {
		j.begun = 1 // recorded by an earlier version
	}
	s.addJob(j)
	if record.GetIsSparse() {
		return s.restoreOccurrences(j, record)
	}
	tasks := record.GetTasks()
	if len(tasks) != j.unfinished {
		return trace.BadParameter("job %s: %d task records, expected %d", j.Spec.GetId(), len(tasks), j.unfinished)
	}
	size := tasksOfOccurrence(j.Spec)
	for number := range j.Occurrences() {
		if err := s.restoreOccurrence(j, number, tasks[int(number)*size:][:size]); err != nil {
			return err
		}
	}
	return nil
}

// restoreOccurrences restores the occurrences of a job with a sparse record.
func (s *State) restoreOccurrences(j *Job, record *controlpb.WorkJobRecord) error {
	completed := bitset.From(record.GetCompleted())
	for number := range completed.EachSet() {
		if number >= uint(j.Occurrences()) {
			return trace.BadParameter("job %s: occurrence %d of %d is complete", j.Spec.GetId(), number, j.Occurrences())
		}
		j.completeOccurrence(uint32(number))
	}
	for _, o := range record.GetOccurrences() {
		number := o.GetNumber()
		if number >= j.Occurrences() || completed.Test(uint(number)) || len(o.GetTasks()) != tasksOfOccurrence(j.Spec) {
			return trace.BadParameter("job %s: %d task records of occurrence %d of %d, expected %d", j.Spec.GetId(), len(o.GetTasks()), number, j.Occurrences(), tasksOfOccurrence(j.Spec))
		}
		if err := s.restoreOccurrence(j, number, o.GetTasks()); err != nil {
			return err
		}
	}
	return nil
}

// restoreOccurrence restores the tasks of an occurrence, unless all are in their initial state.
func (s *State) restoreOccurrence(j *Job, number uint32, records []*controlpb.WorkTaskRecord) error {
	if !slices.ContainsFunc(records, hasChanged) {
		return nil
	}
	next := 0
	for _, step := range j.Steps(number) {
		for _, t := range step.Tasks {
			if err := s.restoreTask(t, records[next]); err != nil {
				return err
			}
			next++
		}
	}
	return nil
}

func (s *State) restoreTask(t *Task, record *controlpb.WorkTaskRecord) error {
	t.LastRun, t.Failures, t.Checkpoint = record.GetLastRun(), record.GetFailures(), record.GetCheckpoint()
	t.FailedRun, t.Crashes, t.Suspicions = record.GetFailedRun(), record.GetCrashes(), record.GetSuspicions()
	t.Pauses, t.PausedUntilMs = record.GetPauses(), record.GetPausedUntilMs()
	t.StoppedOn, t.StoppedMs = record.GetStoppedOn(), record.GetStoppedMs()
	for _, r := range record.GetRuns() {
		w := s.workers[r.GetWorker()]
		if w == nil {
			return trace.BadParameter("task %s: no record of its worker %d", t.Key(), r.GetWorker())
		}
		if len(t.Runs) == 0 {
			t.Step.countWaiting(-1)
		}
		assignment := r.GetAssignment()
		if assignment == 0 {
			assignment = s.assignments
		}
		t.Runs = append(t.Runs, Run{Number: r.GetRun(), Worker: r.GetWorker(), AssignedMs: r.GetAssignedMs(), Assignment: assignment, startAnswered: r.GetStartAnswered()})
		t.Step.Job.countRuns(t.Step, 1)
		w.addRun(RunKey{Task: t.Key(), Run: r.GetRun()}, t)
	}
	if record.GetDone() {
		s.finishTask(t)
	}
	return nil
}
