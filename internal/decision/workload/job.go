package workload

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/pkg/resource"
)

// TaskKey names a task.
type TaskKey struct {
	Job                     string
	Occurrence, Step, Index uint32
}

// String returns the name under which workers know the task.
func (k TaskKey) String() string {
	return k.Job + "." + strconv.Itoa(int(k.Occurrence)) + "." + strconv.Itoa(int(k.Step)) + "." + strconv.Itoa(int(k.Index))
}

// ParseTaskKey reads the name of a task.
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

func keyOf(r *controlpb.TaskRef) TaskKey {
	return TaskKey{Job: r.GetJob(), Occurrence: r.GetOccurrence(), Step: r.GetStep(), Index: r.GetIndex()}
}

// Ref returns the key as it stands in the log.
func (k TaskKey) Ref() *controlpb.TaskRef {
	return &controlpb.TaskRef{Job: k.Job, Occurrence: k.Occurrence, Step: k.Step, Index: k.Index}
}

// Job is an accepted job that hasn't finished, or that has and still has runs.
type Job struct {
	Spec        *controlpb.WorkJob
	Occurrences [][]*Step // by occurrence and number of the step
	Cancelled   bool
	Failed      bool
	Started     bool // a task has been assigned

	undone int // tasks that aren't done
	runs   int // live runs
}

// Step is a step of one occurrence of a job.
type Step struct {
	*controlpb.WorkStep
	Job        *Job
	Occurrence uint32
	Number     uint32
	Tasks      []*Task
	Waiting    int // tasks that are neither done nor running
	Undone     int
}

// Task is one task of a step.
type Task struct {
	Step       *Step
	Index      uint32
	LastRun    uint32 // runs are numbered from 1
	Failures   uint32
	Done       bool
	Checkpoint string
	Runs       []Run
}

// Run is one run of a task on a worker.
type Run struct {
	Number uint32
	Worker uint32
}

// Demand returns what a task of the step takes of its worker's capacity. A task that fills takes no processors.
func (s *Step) Demand() resource.Vector {
	v := resource.Vector{Processors: s.GetProcessors(), Memory: s.GetMemory(), Accelerators: s.GetAccelerators()}
	if s.GetFills() {
		v.Processors = 0
	}
	return v
}

// IsReady reports whether all tasks of the steps before are done, and its occurrence is due.
func (s *Step) IsReady(now time.Time) bool {
	if now.Before(s.Job.DueAt(s.Occurrence)) {
		return false
	}
	for _, before := range s.GetAfter() {
		if s.Job.Occurrences[s.Occurrence][before].Undone > 0 {
			return false
		}
	}
	return true
}

// Serves reports whether tasks of the step serve users of their own.
func (s *Step) Serves() bool { return s.GetPerpetual() && s.GetTargetMs() > 0 }

// Name returns the name under which the advice service knows the step.
func (s *Step) Name() string {
	return s.Job.Spec.GetId() + "." + strconv.Itoa(int(s.Occurrence)) + "." + strconv.Itoa(int(s.Number))
}

// Key returns the name of the task.
func (t *Task) Key() TaskKey {
	return TaskKey{Job: t.Step.Job.Spec.GetId(), Occurrence: t.Step.Occurrence, Step: t.Step.Number, Index: t.Index}
}

// IsWaiting reports whether the task may be given a first run.
func (t *Task) IsWaiting() bool { return !t.Done && len(t.Runs) == 0 }

// HasRun reports whether a run of the task is assigned and not known to have ended.
func (t *Task) HasRun(number uint32) bool {
	return slices.ContainsFunc(t.Runs, func(r Run) bool { return r.Number == number })
}

// DueAt returns when an occurrence may start; the zero time for a job without times.
func (j *Job) DueAt(occurrence uint32) time.Time {
	if j.Spec.GetRepeats() == 0 {
		return time.Time{}
	}
	return time.UnixMilli(j.Spec.GetStartAtMs() + int64(occurrence)*j.Spec.GetPeriodMs())
}

// Runs returns the number of runs of the job that are assigned and not known to have ended.
func (j *Job) Runs() int { return j.runs }

// IsOver reports whether no task of the job may start any more.
func (j *Job) IsOver() bool { return j.Cancelled || j.Failed || j.undone == 0 }

func (j *Job) state() controlpb.WorkState {
	switch {
	case j.Cancelled:
		return controlpb.WorkState_WORK_CANCELLED
	case j.Failed:
		return controlpb.WorkState_WORK_FAILED
	case j.undone == 0:
		return controlpb.WorkState_WORK_COMPLETED
	case j.Started:
		return controlpb.WorkState_WORK_ACTIVE
	}
	return controlpb.WorkState_WORK_QUEUED
}

// Task returns a task of the job, or nil.
func (j *Job) Task(key TaskKey) *Task {
	if int(key.Occurrence) >= len(j.Occurrences) {
		return nil
	}
	steps := j.Occurrences[key.Occurrence]
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

// newJob returns a job none of whose tasks has run.
func newJob(spec *controlpb.WorkJob) *Job {
	j := &Job{Spec: spec}
	for k := range max(1, spec.GetRepeats()) {
		steps := make([]*Step, len(spec.GetSteps()))
		for n, described := range spec.GetSteps() {
			count := int(described.GetCount())
			step := &Step{WorkStep: described, Job: j, Occurrence: k, Number: uint32(n), Waiting: count, Undone: count}
			step.Tasks = make([]*Task, count)
			for i := range step.Tasks {
				step.Tasks[i] = &Task{Step: step, Index: uint32(i)}
			}
			j.undone += count
			steps[n] = step
		}
		j.Occurrences = append(j.Occurrences, steps)
	}
	return j
}

// submit takes a job in once, however often it is sent.
func (s *State) submit(spec *controlpb.WorkJob) *controlpb.Result {
	if state, _ := s.Lookup(spec.GetId()); state != controlpb.WorkState_WORK_UNKNOWN {
		return &controlpb.Result{}
	}
	j := newJob(spec)
	s.jobs[spec.GetId()] = j
	s.order = append(s.order, j)
	s.settle(j)
	return &controlpb.Result{}
}

func (s *State) cancel(c *controlpb.CancelWork) *controlpb.Result {
	j := s.jobs[c.GetId()]
	if j == nil {
		if s.finished[c.GetId()] != nil {
			return &controlpb.Result{}
		}
		return refused(controlpb.ResultCode_RESULT_NOT_FOUND, "no such job")
	}
	if !j.IsOver() {
		j.Cancelled = true
	}
	s.settle(j)
	return &controlpb.Result{}
}

// startRun assigns a run. It is refused when anything has changed since the leader chose it.
func (s *State) startRun(start *controlpb.StartRun) *controlpb.Result {
	t, w := s.Task(keyOf(start.GetTask())), s.workers[start.GetWorker()]
	switch {
	case t == nil || t.Done || t.Step.Job.IsOver():
		return refused(controlpb.ResultCode_RESULT_REJECTED, "the task needs no run")
	case w == nil || w.GetLeaving():
		return refused(controlpb.ResultCode_RESULT_REJECTED, "the worker is gone or leaving")
	case s.zonesOut[w.GetZone()]:
		return refused(controlpb.ResultCode_RESULT_REJECTED, "the zone is out of service")
	case len(t.Runs) > 0 && !t.Step.GetSpeculative():
		return refused(controlpb.ResultCode_RESULT_REJECTED, "the task has a run")
	case start.GetRun() <= t.LastRun:
		return refused(controlpb.ResultCode_RESULT_REJECTED, "the run's number is taken")
	}
	if len(t.Runs) == 0 {
		t.Step.Waiting--
	}
	t.LastRun = start.GetRun()
	t.Runs = append(t.Runs, Run{Number: start.GetRun(), Worker: start.GetWorker()})
	w.Runs[RunKey{Task: t.Key(), Run: start.GetRun()}] = t
	t.Step.Job.runs++
	t.Step.Job.Started = true
	return &controlpb.Result{}
}

// dropRun takes back an assignment that certainly never runs.
func (s *State) dropRun(drop *controlpb.DropRun) *controlpb.Result {
	t := s.Task(keyOf(drop.GetTask()))
	if t == nil {
		return &controlpb.Result{}
	}
	s.endRun(t, drop.GetRun())
	s.settle(t.Step.Job)
	return &controlpb.Result{}
}

// noteEnds records what a worker says has ended.
func (s *State) noteEnds(ends *controlpb.NoteEnds) *controlpb.Result {
	w := s.workers[ends.GetWorker()]
	if w == nil {
		return refused(controlpb.ResultCode_RESULT_NOT_FOUND, "the worker's life is over")
	}
	if ends.GetThrough() <= w.GetEndsSeen() {
		return &controlpb.Result{}
	}
	w.EndsSeen = ends.GetThrough()
	for _, end := range ends.GetEnds() {
		if t := s.Task(keyOf(end.GetTask())); t != nil {
			s.noteEnd(w, t, end)
		}
	}
	return &controlpb.Result{}
}

// noteEnd records the end of a run. Of runs that aren't assigned, only that they are done counts, and not on a worker that
// was given up for lost: its leases had lapsed before this end was recorded, and the task has been started again since.
func (s *State) noteEnd(w *Worker, t *Task, end *controlpb.EndedRun) {
	if !t.HasRun(end.GetRun()) && (w.GetResumed() || end.GetHow() != controlpb.RunEnd_RUN_DONE) {
		return
	}
	s.endRun(t, end.GetRun())
	if !t.Done && end.GetCheckpoint() != "" {
		s.keepCheckpoint(t, end.GetCheckpoint())
	}
	switch end.GetHow() {
	case controlpb.RunEnd_RUN_DONE:
		if t.Step.GetGang() {
			for _, member := range t.Step.Tasks {
				s.finishTask(member)
			}
		} else if !t.Step.GetPerpetual() {
			s.finishTask(t)
		}
	case controlpb.RunEnd_RUN_FAILED:
		if !t.Done {
			s.noteFailure(t)
		}
	}
	s.settle(t.Step.Job)
}

// keepCheckpoint keeps a saved state of a task. That of any member of a gang is valid for the whole gang.
func (s *State) keepCheckpoint(t *Task, checkpoint string) {
	if !t.Step.GetGang() {
		t.Checkpoint = checkpoint
		return
	}
	for _, member := range t.Step.Tasks {
		member.Checkpoint = checkpoint
	}
}

// noteFailure counts a failed attempt. A gang fails as a whole.
func (s *State) noteFailure(t *Task) {
	if t.Step.GetGang() {
		for _, member := range t.Step.Tasks {
			member.Failures++
		}
	} else {
		t.Failures++
	}
	queue := s.queues[t.Step.Job.Spec.GetQueue()]
	if !t.Step.GetPerpetual() && queue.GetMaxAttempts() > 0 && t.Failures >= queue.GetMaxAttempts() && !t.Step.Job.IsOver() {
		t.Step.Job.Failed = true
	}
}

// finishTask records that a task is done. Its other runs, if it has any, are copies that have to be stopped.
func (s *State) finishTask(t *Task) {
	if t.Done {
		return
	}
	if len(t.Runs) == 0 {
		t.Step.Waiting--
	}
	t.Done = true
	t.Step.Undone--
	t.Step.Job.undone--
}

// endRun removes a run from its task and worker.
func (s *State) endRun(t *Task, number uint32) {
	for _, r := range t.Runs {
		if r.Number == number {
			if w := s.workers[r.Worker]; w != nil {
				delete(w.Runs, RunKey{Task: t.Key(), Run: number})
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
	t.Step.Job.runs--
	if len(t.Runs) == 0 && !t.Done {
		t.Step.Waiting++
	}
}

// settle records a job's outcome once it is over, and drops the job once nothing of it runs.
func (s *State) settle(j *Job) {
	if !j.IsOver() {
		return
	}
	id := j.Spec.GetId()
	if s.finished[id] == nil {
		ending := &controlpb.FinishedWork{Id: id, State: j.state(), AtMs: s.time, Queue: j.Spec.GetQueue()}
		s.finished[id] = ending
		s.endings = append(s.endings, ending)
	}
	if j.runs == 0 && s.jobs[id] == j {
		delete(s.jobs, id)
		s.order = slices.DeleteFunc(s.order, func(other *Job) bool { return other == j })
	}
}
