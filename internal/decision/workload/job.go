package workload

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bits-and-blooms/bitset"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/jobspec"
	"galenamoor/pkg/resource"
)

// TaskKey identifies a task.
type TaskKey struct {
	Job                     string
	Occurrence, Step, Index uint32
}

// String returns the task's name as used by workers: job, occurrence, step and index, separated by dots.
func (k TaskKey) String() string {
	return k.Job + "." + strconv.Itoa(int(k.Occurrence)) + "." + strconv.Itoa(int(k.Step)) + "." + strconv.Itoa(int(k.Index))
}

// ParseTaskKey parses a task name in the format of TaskKey.String. It returns an error for any other text.
func ParseTaskKey(name string) (TaskKey, error) {
	job, rest, _ := strings.Cut(name, ".")
	key := TaskKey{Job: job}
	for i, target := range []*uint32{&key.Occurrence, &key.Step, &key.Index} {
		part, after, found := strings.Cut(rest, ".")
		number, err := strconv.ParseUint(part, 10, 32)
		if err != nil || found != (i < 2) {
			return TaskKey{}, fmt.Errorf("task name %q: expected a job and three numbers", name)
		}
		*target, rest = uint32(number), after
	}
	return key, nil
}

// TaskKeyFromRef returns the key of an encoded reference.
func TaskKeyFromRef(r *controlpb.TaskRef) TaskKey {
	return TaskKey{Job: r.GetJob(), Occurrence: r.GetOccurrence(), Step: r.GetStep(), Index: r.GetIndex()}
}

// Ref returns the key as it is encoded in log entries.
func (k TaskKey) Ref() *controlpb.TaskRef {
	return &controlpb.TaskRef{Job: k.Job, Occurrence: k.Occurrence, Step: k.Step, Index: k.Index}
}

// Job is an accepted job that is unfinished or still has live runs.
type Job struct {
	Spec      *controlpb.WorkJob
	Cancelled bool
	Failed    bool

	begun      int // runs of its tasks that were assigned, without those that are certain never to have started
	unfinished int // tasks that aren't done
	liveRuns   int // runs that are assigned and not known to have ended
	order      *stepOrder
	hasServing bool

	occurrences map[uint32]*occurrence // by number, those that are created and not dropped
	completed   *bitset.BitSet         // numbers of the dropped ones, all of whose tasks are done
	load        int                    // see Load
}

// Step is one step of one occurrence of a job.
type Step struct {
	*controlpb.WorkStep
	Job        *Job
	Occurrence uint32
	Number     uint32
	Tasks      []*Task
	Waiting    int // tasks that aren't done and have no live run
	Unfinished int // tasks that aren't done

	blockers uint32 // dependencies that have tasks that aren't done
}

// Task is one task of a step.
type Task struct {
	Step       *Step
	Index      uint32
	LastRun    uint32 // number of the latest run, 0 before the first
	Failures   uint32 // failed attempts; an attempt of a gang is a run of all its members
	FailedRun  uint32 // of a gang: number of the latest run that Failures counts
	Crashes    uint32 // incarnations of workers that crashed while the task started on them
	Suspicions uint32 // the same, but it isn't certain that the task had started
	Pauses     uint32 // how often it was paused since it last worked, because workers crashed under it
	Done       bool
	Checkpoint string

	PausedUntilMs int64 // by the leaders' clocks, Unix milliseconds; 0 if it isn't paused

	StoppedOn uint32 // worker on which the latest run was stopped; 0 if that run is live or has ended otherwise
	StoppedMs int64  // when that was recorded, by the leaders' clocks, Unix milliseconds

	Runs []Run
}

// Run is one run of a task on a worker.
type Run struct {
	Number     uint32
	Worker     uint32
	AssignedMs int64 // by the leaders' clocks, Unix milliseconds

	Assignment uint64 // number of the assignment, see State.Assignments

	startAnswered bool // see Task.IsStartAnswered
}

// Demand returns the capacity that a task of the step reserves on its worker. A best-effort task reserves no processors.
func (s *Step) Demand() resource.Vector {
	v := resource.Vector{Processors: s.GetProcessors(), Memory: s.GetMemory(), Accelerators: s.GetAccelerators()}
	if s.GetFills() {
		v.Processors = 0
	}
	return v
}

// IsReady reports whether the step's occurrence is due and all tasks of the steps it depends on are done.
func (s *Step) IsReady(now time.Time) bool {
	return s.blockers == 0 && !now.Before(s.Job.DueAt(s.Occurrence))
}

// countWaiting adds delta to the number of tasks that aren't done and have no live run.
func (s *Step) countWaiting(delta int) {
	s.Waiting += delta
	s.Job.order.update(s)
}

// IsServing reports whether the step's tasks are long-running and have a latency target.
func (s *Step) IsServing() bool { return s.GetPerpetual() && s.GetTargetMs() > 0 }

// Name returns the step's name as used by the advice service.
func (s *Step) Name() string {
	return s.Job.Spec.GetId() + "." + strconv.Itoa(int(s.Occurrence)) + "." + strconv.Itoa(int(s.Number))
}

// Key returns the task's key.
func (t *Task) Key() TaskKey {
	return TaskKey{Job: t.Step.Job.Spec.GetId(), Occurrence: t.Step.Occurrence, Step: t.Step.Number, Index: t.Index}
}

// IsWaiting reports whether the task isn't done and has no live run.
func (t *Task) IsWaiting() bool { return !t.Done && len(t.Runs) == 0 }

// IsPaused reports whether the task mustn't start yet because workers have crashed under it.
func (t *Task) IsPaused(now time.Time) bool { return now.UnixMilli() < t.PausedUntilMs }

// IsSuspect reports whether the task may have crashed a worker.
func (t *Task) IsSuspect() bool { return t.Crashes+t.Suspicions > 0 }

// HasRun reports whether the numbered run of the task is live: assigned, and not known to have ended.
func (t *Task) HasRun(number uint32) bool { return t.liveRun(number) != nil }

// liveRun returns the numbered run of the task, or nil if it isn't live.
func (t *Task) liveRun(number uint32) *Run {
	for i := range t.Runs {
		if t.Runs[i].Number == number {
			return &t.Runs[i]
		}
	}
	return nil
}

// IsStartAnswered reports whether the leader that made the assignment of the numbered run has told, before its epoch ended, that an answer
// settled the assignment: none of its start orders can be carried out any more.
func (t *Task) IsStartAnswered(number uint32) bool {
	r := t.liveRun(number)
	return r != nil && r.startAnswered
}

// Assignment returns the number of the assignment of the numbered run of the task, or 0 if it isn't live.
func (t *Task) Assignment(number uint32) uint64 {
	if r := t.liveRun(number); r != nil {
		return r.Assignment
	}
	return 0
}

// AssignedAt returns when the numbered run of the task was assigned, or the zero time if it isn't live.
func (t *Task) AssignedAt(number uint32) time.Time {
	if r := t.liveRun(number); r != nil {
		return time.UnixMilli(r.AssignedMs)
	}
	return time.Time{}
}

// DueAt returns the earliest start of an occurrence, or the zero time if the job isn't scheduled for a time.
func (j *Job) DueAt(occurrence uint32) time.Time {
	if j.Spec.GetRepeats() == 0 {
		return time.Time{}
	}
	return time.UnixMilli(j.Spec.GetStartAtMs() + int64(occurrence)*j.Spec.GetPeriodMs())
}

// HasStarted reports whether a task of the job may have started: a run is assigned that wasn't dropped without having started.
func (j *Job) HasStarted() bool { return j.begun > 0 }

// HasServing reports whether the job has serving tasks.
func (j *Job) HasServing() bool { return j.hasServing }

// LiveRuns returns the number of the job's live runs.
func (j *Job) LiveRuns() int { return j.liveRuns }

// IsTerminal reports whether the job is cancelled, failed or completed, so that none of its tasks may start.
func (j *Job) IsTerminal() bool { return j.Cancelled || j.Failed || j.unfinished == 0 }

func (j *Job) state() controlpb.WorkState {
	switch {
	case j.Cancelled:
		return controlpb.WorkState_WORK_CANCELLED
	case j.Failed:
		return controlpb.WorkState_WORK_FAILED
	case j.unfinished == 0:
		return controlpb.WorkState_WORK_COMPLETED
	case j.HasStarted():
		return controlpb.WorkState_WORK_ACTIVE
	}
	return controlpb.WorkState_WORK_QUEUED
}

// Task returns a task of the job, or nil if there is none or its whole occurrence is done.
func (j *Job) Task(key TaskKey) *Task {
	if key.Occurrence >= j.Occurrences() {
		return nil
	}
	steps := j.Steps(key.Occurrence)
	if int(key.Step) >= len(steps) || int(key.Index) >= len(steps[key.Step].Tasks) {
		return nil
	}
	return steps[key.Step].Tasks[key.Index]
}

// Task returns a task of an unfinished job, or nil.
func (s *State) Task(key TaskKey) *Task {
	if j := s.jobs[key.Job]; j != nil {
		return j.Task(key)
	}
	return nil
}

// newJob returns a job without any runs.
func newJob(spec *controlpb.WorkJob) *Job {
	j := &Job{Spec: spec, order: newStepOrder(spec), occurrences: map[uint32]*occurrence{}, completed: bitset.New(uint(occurrencesOf(spec)))}
	for _, step := range spec.GetSteps() {
		j.unfinished += int(step.GetCount()) * int(occurrencesOf(spec))
		j.hasServing = j.hasServing || (&Step{WorkStep: step}).IsServing()
	}
	return j
}

// submit accepts a job. It is idempotent: a repeated submission of a known ID has no effect.
func (s *State) submit(spec *controlpb.WorkJob) *controlpb.Result {
	if state, _ := s.Lookup(spec.GetId()); state != controlpb.WorkState_WORK_UNKNOWN {
		return &controlpb.Result{}
	}
	if jobspec.HasTooManyTasks(spec) { // accepted by an earlier version, in which the number of tasks overflowed
		s.finish(outcomeOf(spec, controlpb.WorkState_WORK_FAILED, s.time))
		return errorResult(controlpb.ResultCode_RESULT_INVALID, "the job has too many tasks")
	}
	j := newJob(spec)
	s.addJob(j)
	s.finalizeJob(j)
	return &controlpb.Result{}
}

func (s *State) addJob(j *Job) {
	s.jobs[j.Spec.GetId()] = j
	s.jobOrder = append(s.jobOrder, j)
	j.load = Load(j.Spec)
	s.load += j.load
	s.countHeld(j, 1)
}

// cancel cancels a job that isn't terminal, and remembers the cancellation of one that isn't known. It is idempotent.
func (s *State) cancel(c *controlpb.CancelWork) *controlpb.Result {
	j := s.jobs[c.GetId()]
	if j == nil {
		if s.finished[c.GetId()] != nil {
			return &controlpb.Result{}
		}
		s.withdraw(c)
		return errorResult(controlpb.ResultCode_RESULT_NOT_FOUND, "no such job")
	}
	if !j.IsTerminal() {
		j.Cancelled = true
	}
	s.finalizeJob(j)
	return &controlpb.Result{}
}

// startRun assigns a run to a worker. It is rejected if the leader's choice is no longer valid.
func (s *State) startRun(start *controlpb.StartRun) *controlpb.Result {
	t, w := s.Task(TaskKeyFromRef(start.GetTask())), s.workers[start.GetWorker()]
	switch {
	case t == nil || t.Done || t.Step.Job.IsTerminal():
		return errorResult(controlpb.ResultCode_RESULT_REJECTED, "the task needs no run")
	case w == nil || w.GetLeaving():
		return errorResult(controlpb.ResultCode_RESULT_REJECTED, "the worker is gone or leaving")
	case s.zonesOut[w.GetZone()]:
		return errorResult(controlpb.ResultCode_RESULT_REJECTED, "the zone is out of service")
	case len(t.Runs) > 0 && !t.Step.GetSpeculative():
		return errorResult(controlpb.ResultCode_RESULT_REJECTED, "the task has a run")
	case start.GetRun() <= t.LastRun:
		return errorResult(controlpb.ResultCode_RESULT_REJECTED, "the run's number is taken")
	}
	if len(t.Runs) == 0 {
		t.Step.countWaiting(-1)
	}
	t.LastRun = start.GetRun()
	t.StoppedOn, t.StoppedMs = 0, 0
	s.assignments++
	t.Runs = append(t.Runs, Run{Number: start.GetRun(), Worker: start.GetWorker(), AssignedMs: s.time, Assignment: s.assignments})
	w.addRun(RunKey{Task: t.Key(), Run: start.GetRun()}, t)
	s.noteAnswered(w)
	t.Step.Job.countRuns(t.Step, 1)
	t.Step.Job.begun++
	return &controlpb.Result{}
}

// dropRun withdraws the assignment of a run that is certain never to start, or that has ended with the lease of its worker. In
// the latter case the worker counts as resumed if it answers again.
func (s *State) dropRun(drop *controlpb.DropRun) *controlpb.Result {
	t := s.Task(TaskKeyFromRef(drop.GetTask()))
	if t == nil {
		return &controlpb.Result{}
	}
	switch {
	case drop.GetLeaseExpired():
		s.markResumed(t, drop.GetRun())
	case t.HasRun(drop.GetRun()):
		t.Step.Job.begun = max(0, t.Step.Job.begun-1) // earlier versions don't record how many there are
	}
	s.endRun(t, drop.GetRun())
	s.failIfExhausted(t)
	s.finalizeJob(t.Step.Job)
	return &controlpb.Result{}
}

// markResumed marks the worker of a run as one whose lease has expired, so that later reports of the ends of dropped runs don't
// count.
func (s *State) markResumed(t *Task, number uint32) {
	for _, r := range t.Runs {
		if w := s.workers[r.Worker]; r.Number == number && w != nil {
			w.Resumed = true
		}
	}
}

// recordRunEnds records the run ends that a worker reports. Reports up to EndsSeen are duplicates and have no effect.
func (s *State) recordRunEnds(ends *controlpb.NoteEnds) *controlpb.Result {
	w := s.workers[ends.GetWorker()]
	if w == nil {
		return errorResult(controlpb.ResultCode_RESULT_NOT_FOUND, "the worker's life is over")
	}
	if ends.GetThrough() <= w.GetEndsSeen() {
		return &controlpb.Result{}
	}
	w.EndsSeen = ends.GetThrough()
	for _, end := range ends.GetEnds() {
		if t := s.Task(TaskKeyFromRef(end.GetTask())); t != nil {
			s.recordRunEnd(w, t, end)
		}
	}
	return &controlpb.Result{}
}

// recordRunEnd records the end of a run. For a run that is no longer assigned only a successful end counts, and not if the
// worker has resumed after it was declared lost: its leases had expired before this end was recorded, and the task has been
// restarted since.
func (s *State) recordRunEnd(w *Worker, t *Task, end *controlpb.EndedRun) {
	if !t.HasRun(end.GetRun()) && (w.GetResumed() || end.GetHow() != controlpb.RunEnd_RUN_DONE) {
		return
	}
	s.endRun(t, end.GetRun())
	if !t.Done && end.GetCheckpoint() != "" {
		s.setCheckpoint(t, end.GetCheckpoint())
	}
	switch end.GetHow() {
	case controlpb.RunEnd_RUN_DONE:
		switch {
		case t.Step.GetPerpetual(): // it restarts however it ends
		case t.Step.GetGang():
			for _, member := range t.Step.Tasks {
				s.finishTask(member)
			}
		default:
			s.finishTask(t)
		}
	case controlpb.RunEnd_RUN_FAILED:
		if !t.Done {
			s.recordFailure(t, end.GetRun())
		}
	case controlpb.RunEnd_RUN_STOPPED:
		if end.GetRun() == t.LastRun {
			t.StoppedOn, t.StoppedMs = w.GetNumber(), s.time
		}
	}
	s.failIfExhausted(t)
	s.finalizeJob(t.Step.Job)
}

// setCheckpoint records a task's latest checkpoint. A checkpoint of one gang member is valid for the whole gang.
func (s *State) setCheckpoint(t *Task, checkpoint string) {
	if !t.Step.GetGang() {
		t.Checkpoint = checkpoint
		return
	}
	for _, member := range t.Step.Tasks {
		member.Checkpoint = checkpoint
	}
}

// recordFailure counts a failed run of a task. A run of a gang counts once for every member, however many members failed in
// it. The job fails once a task that isn't perpetual has used all attempts that its queue allows.
func (s *State) recordFailure(t *Task, run uint32) {
	switch {
	case !t.Step.GetGang():
		t.Failures++
	case t.FailedRun != run: // a gang has no live run when the next one starts, so its runs end in order
		for _, member := range t.Step.Tasks {
			member.Failures++
			member.FailedRun = run
		}
	}
	if s.isExhausted(t) && !t.Step.Job.IsTerminal() {
		t.Step.Job.Failed = true
	}
}

// isExhausted reports whether a task has used all attempts that its queue allows. Perpetual tasks have no such limit.
func (s *State) isExhausted(t *Task) bool {
	limit := s.queues[t.Step.Job.Spec.GetQueue()].GetMaxAttempts()
	return !t.Step.GetPerpetual() && limit > 0 && t.Failures >= limit
}

// failIfExhausted fails the job of a waiting task that must not start again, because a routing configuration has lowered the
// limit of attempts. A run that was assigned before may still finish the task.
func (s *State) failIfExhausted(t *Task) {
	if t.IsWaiting() && s.isExhausted(t) && !t.Step.Job.IsTerminal() {
		t.Step.Job.Failed = true
	}
}

// finishTask marks a task as done. Any runs that it still has are speculative copies, which the leader must stop.
func (s *State) finishTask(t *Task) {
	if t.Done {
		return
	}
	t.Done = true
	if len(t.Runs) == 0 {
		t.Step.countWaiting(-1)
	}
	t.Step.Job.countDone(t.Step)
}

// endRun removes a run from its task and worker.
func (s *State) endRun(t *Task, number uint32) {
	for _, r := range t.Runs {
		if r.Number == number {
			if w := s.workers[r.Worker]; w != nil {
				w.removeRun(RunKey{Task: t.Key(), Run: number})
			}
			t.removeRun(number, r.Worker)
			return
		}
	}
}

func (t *Task) removeRun(number, worker uint32) {
	before := len(t.Runs)
	t.Runs = slices.DeleteFunc(t.Runs, func(r Run) bool { return r.Number == number && r.Worker == worker })
	if len(t.Runs) == before {
		return
	}
	if len(t.Runs) == 0 && !t.Done {
		t.Step.countWaiting(1)
	}
	t.Step.Job.countRuns(t.Step, -1)
}

// finish retains the outcome of a job.
func (s *State) finish(outcome *controlpb.FinishedWork) {
	s.finished[outcome.GetId()] = outcome
	s.finishedOrder = append(s.finishedOrder, outcome)
}

// finalizeJob records the outcome of a terminal job, and removes the job once it has no live runs.
func (s *State) finalizeJob(j *Job) {
	if !j.IsTerminal() {
		return
	}
	id := j.Spec.GetId()
	if s.finished[id] == nil {
		s.finish(outcomeOf(j.Spec, j.state(), s.time))
	}
	if j.liveRuns == 0 && s.jobs[id] == j {
		delete(s.jobs, id)
		s.load -= j.load
		s.countHeld(j, -1)
		s.jobOrder = slices.DeleteFunc(s.jobOrder, func(other *Job) bool { return other == j })
	}
}
