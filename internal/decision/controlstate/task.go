package controlstate

import (
	"slices"
	"strconv"
	"strings"
	"unique"

	"github.com/gravitational/trace"

	"galenamoor/internal/controlpb"
	"galenamoor/pkg/resource"
)

// maxFailures is the number of failed attempts after which a batch task ends as failed. The scheduler usually gives up
// earlier, after failures on 3 different workers; this bound ends the retries if it does not.
const maxFailures = 8

// unthrottledPercent is the throttle of a task that may use all of its processors.
const unthrottledPercent = 100

// TaskID identifies a task by its job and its number in the job.
type TaskID struct {
	Job    string
	Number int32
}

// String formats the ID as JOB/NUMBER.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(int(t.Number)) }

func (t TaskID) less(u TaskID) bool {
	if c := strings.Compare(t.Job, u.Job); c != 0 {
		return c < 0
	}
	return t.Number < u.Number
}

// ParseTaskID parses the form JOB/NUMBER that String returns.
func ParseTaskID(name string) (TaskID, error) {
	job, number, ok := strings.Cut(name, "/")
	n, err := strconv.ParseInt(number, 10, 32)
	if !ok || err != nil || n < 0 || job == "" {
		return TaskID{}, trace.BadParameter("task %q: expected JOB/NUMBER", name)
	}
	return TaskID{job, int32(n)}, nil
}

// Task is one task of a job. A Task that State has returned is immutable.
type Task struct {
	ID          TaskID
	State       controlpb.TaskState
	Reason      controlpb.StopReason
	Throttle    int32  // percent of its processors; 100 when not throttled
	Cancel      bool   // it ends as cancelled once its worker has confirmed the stop
	Worker      string // "" when it is not placed
	Incarnation uint64 // of the worker
	Fence       uint64 // fencing token of the last start
	Checkpoint  uint64 // number of the last reported checkpoint
	Evictions   int32
	Failures    int32
	Since       int64 // recorded time of the last change of State, unix nanoseconds
	Charge      resource.Vector
	Why         string
}

// Placed reports whether the task is charged to a worker.
func (t *Task) Placed() bool { return t.Worker != "" }

// Ended reports whether the task is in a terminal state.
func (t *Task) Ended() bool {
	switch t.State {
	case controlpb.TaskState_FINISHED, controlpb.TaskState_FAILED, controlpb.TaskState_CANCELLED:
		return true
	}
	return false
}

// Record returns the snapshot record of the task.
func (t *Task) Record() *controlpb.TaskRecord {
	return &controlpb.TaskRecord{
		Name: t.ID.String(), State: t.State, Worker: t.Worker, Fence: t.Fence, Checkpoint: t.Checkpoint, Reason: t.Reason,
		Throttle: t.Throttle, Evictions: t.Evictions, Since: t.Since, Charge: resources(t.Charge), Cancel: t.Cancel,
		Incarnation: t.Incarnation, Why: t.Why, Failures: t.Failures,
	}
}

func newTask(r *controlpb.TaskRecord) (*Task, error) {
	id, err := ParseTaskID(r.GetName())
	if err != nil {
		return nil, err
	}
	return &Task{
		ID: id, State: r.GetState(), Worker: r.GetWorker(), Fence: r.GetFence(), Checkpoint: r.GetCheckpoint(),
		Reason: r.GetReason(), Throttle: r.GetThrottle(), Evictions: r.GetEvictions(), Since: r.GetSince(),
		Charge: r.GetCharge().Vector(), Cancel: r.GetCancel(), Incarnation: r.GetIncarnation(), Why: r.GetWhy(),
		Failures: r.GetFailures(),
	}, nil
}

// Task returns the task, or nil. The result is immutable.
func (s *State) Task(id TaskID) *Task {
	s.taskKey.ID = id
	t, _ := s.tasks.Get(&s.taskKey)
	return t
}

// TasksOn calls f for each task charged to the worker, in no particular order. f must not change the state.
func (s *State) TasksOn(worker string, f func(*Task)) {
	for _, id := range s.tasksByWorker[worker] {
		f(s.Task(id))
	}
}

// startTask places a waiting task on a worker under a new fencing token.
func (s *State) startTask(c *controlpb.StartTask) *controlpb.Result {
	id, err := ParseTaskID(c.GetTask())
	if err != nil {
		return invalid(ReasonUnknownTask, "%v", err)
	}
	t := s.Task(id)
	if t == nil {
		return notFound(ReasonUnknownTask, "%s", c.GetTask())
	}
	if t.State != controlpb.TaskState_WAITING {
		return rejected(ReasonNotWaiting, "%s is %v on %q", c.GetTask(), t.State, t.Worker)
	}
	w := s.Worker(c.GetWorker())
	if refused := s.checkPlacement(s.Job(id.Job), w, c); refused != nil {
		return refused
	}
	charge := s.Job(id.Job).Spec.GetRequest().Vector()
	if c.GetCharge() != nil {
		if refused := checkCharge(c.GetCharge().Vector(), charge); refused != nil {
			return refused
		}
		charge = c.GetCharge().Vector()
	}
	if !w.Used.Add(charge).Fits(w.Limit) {
		return rejected(ReasonCapacityExceeded, "%s needs %v; %s has %v free", c.GetTask(), charge, w.Name, w.Limit.Sub(w.Used))
	}
	next := *t
	next.State, next.Reason, next.Since = controlpb.TaskState_STARTING, 0, s.time
	next.Worker, next.Incarnation, next.Charge = w.Name, w.Incarnation, charge
	next.Throttle, next.Why = unthrottledPercent, intern(c.GetWhy())
	next.Fence = s.nextFence
	s.nextFence++
	s.charge(&next)
	s.putTask(&next)
	return &controlpb.Result{Fence: next.Fence}
}

// checkPlacement returns a refusal if no task of the job may start on the worker, or nil.
func (s *State) checkPlacement(j *Job, w *Worker, c *controlpb.StartTask) *controlpb.Result {
	switch {
	case w == nil:
		return notFound(ReasonUnknownWorker, "%q", c.GetWorker())
	case w.Incarnation != c.GetIncarnation():
		return rejected(ReasonStaleIncarnation, "%s is at incarnation %d", w.Name, w.Incarnation)
	case w.Lost:
		return rejected(ReasonWorkerLost, "%s", w.Name)
	case !w.Listed:
		return rejected(ReasonNotInInventory, "%s", w.Name)
	case s.zones[w.Zone].Out:
		return rejected(ReasonZoneOut, "%s of %s", w.Zone, w.Name)
	case !s.permitted(j.Spec, w.Zone):
		return rejected(ReasonZoneNotPermitted, "%s may not use %s", j.Name(), w.Zone)
	}
	return nil
}

// checkCharge validates a charge that differs from the declared request. Accelerators are not shared, so their number must
// be the declared one.
func checkCharge(charge, declared resource.Vector) *controlpb.Result {
	if err := charge.Validate(); err != nil {
		return invalid(ReasonBadCharge, "%v", err)
	}
	if charge.Accelerators != declared.Accelerators {
		return invalid(ReasonBadCharge, "%d accelerators: expected the declared %d", charge.Accelerators, declared.Accelerators)
	}
	return nil
}

// stopTask requests the stop of a task. For a waiting task, only STOP_CANCELLED is accepted: it ends a task that has
// failed on every worker tried.
func (s *State) stopTask(c *controlpb.StopTask) *controlpb.Result {
	id, err := ParseTaskID(c.GetTask())
	if err != nil {
		return invalid(ReasonUnknownTask, "%v", err)
	}
	t := s.Task(id)
	switch {
	case t == nil:
		return notFound(ReasonUnknownTask, "%s", c.GetTask())
	case t.Fence != c.GetFence():
		return rejected(ReasonStaleFence, "%s has fence %d", c.GetTask(), t.Fence)
	case t.State == controlpb.TaskState_STOPPING && c.GetReason() == controlpb.StopReason_STOP_CANCELLED:
		s.cancelTask(t, c.GetWhy())
		return &controlpb.Result{Fence: t.Fence}
	case t.State == controlpb.TaskState_STOPPING:
		return &controlpb.Result{Fence: t.Fence}
	case t.State == controlpb.TaskState_WAITING && c.GetReason() == controlpb.StopReason_STOP_CANCELLED:
		s.cancelTask(t, c.GetWhy())
		return &controlpb.Result{Fence: t.Fence}
	case !t.Placed():
		return rejected(ReasonNotPlaced, "%s is %v", c.GetTask(), t.State)
	case c.GetReason() == controlpb.StopReason_STOP_CANCELLED:
		s.cancelTask(t, c.GetWhy())
	default:
		s.evictTask(t, c.GetReason(), c.GetWhy())
	}
	return &controlpb.Result{Fence: t.Fence}
}

// evictTask requests the stop of a placed task. The task stays charged to its worker until the worker confirms the stop.
func (s *State) evictTask(t *Task, reason controlpb.StopReason, why string) {
	if t.State == controlpb.TaskState_STOPPING {
		return
	}
	next := *t
	if t.State == controlpb.TaskState_RUNNING {
		next.Evictions++
	}
	next.State, next.Reason, next.Why, next.Since = controlpb.TaskState_STOPPING, reason, why, s.time
	s.putTask(&next)
}

// cancelTask cancels a task: immediately if it is waiting, otherwise once its worker has confirmed the stop. A waiting task
// with failed attempts ends as failed unless its job is cancelled, so that its failure is not reported as a cancellation.
func (s *State) cancelTask(t *Task, why string) {
	if t.Ended() {
		return
	}
	next := *t
	next.Reason, next.Why = controlpb.StopReason_STOP_CANCELLED, why
	if t.Placed() {
		if next.State != controlpb.TaskState_STOPPING {
			next.Since = s.time
		}
		next.State, next.Cancel = controlpb.TaskState_STOPPING, true
		s.putTask(&next)
		return
	}
	state := controlpb.TaskState_CANCELLED
	if t.Failures > 0 && !s.Job(t.ID.Job).Cancelled {
		state = controlpb.TaskState_FAILED
	}
	s.putUnplaced(&next, state)
}

func (s *State) throttleTask(c *controlpb.ThrottleTask) *controlpb.Result {
	id, err := ParseTaskID(c.GetTask())
	if err != nil {
		return invalid(ReasonUnknownTask, "%v", err)
	}
	t := s.Task(id)
	switch {
	case t == nil:
		return notFound(ReasonUnknownTask, "%s", c.GetTask())
	case t.Fence != c.GetFence():
		return rejected(ReasonStaleFence, "%s has fence %d", c.GetTask(), t.Fence)
	case !t.Placed() || t.State == controlpb.TaskState_STOPPING:
		return rejected(ReasonNotPlaced, "%s is %v", c.GetTask(), t.State)
	case c.GetPercent() < 1 || c.GetPercent() > unthrottledPercent:
		return invalid(ReasonBadThrottle, "%d percent: expected 1 to 100", c.GetPercent())
	}
	if t.Throttle != c.GetPercent() {
		next := *t
		next.Throttle = c.GetPercent()
		s.putTask(&next)
	}
	return &controlpb.Result{Fence: t.Fence}
}

// reportTasks applies a worker's task reports. A report with a stale fence or one already applied has no effect.
func (s *State) reportTasks(c *controlpb.ReportTasks) *controlpb.Result {
	w := s.Worker(c.GetWorker())
	switch {
	case w == nil:
		return notFound(ReasonUnknownWorker, "%q", c.GetWorker())
	case w.Incarnation != c.GetIncarnation():
		return rejected(ReasonStaleIncarnation, "%s is at incarnation %d", w.Name, w.Incarnation)
	case w.Lost:
		return rejected(ReasonWorkerLost, "%s", w.Name)
	}
	for _, r := range c.GetReports() {
		if t := s.reportTarget(w.Name, w.Incarnation, r); t != nil {
			s.applyReport(t, r)
		}
	}
	return &controlpb.Result{}
}

// reportTarget returns the task that the report would change, or nil if the report has no effect.
func (s *State) reportTarget(worker string, incarnation uint64, r *controlpb.TaskReport) *Task {
	id, err := ParseTaskID(r.GetTask())
	if err != nil {
		return nil
	}
	t := s.Task(id)
	if t == nil || t.Worker != worker || t.Incarnation != incarnation || t.Fence != r.GetFence() {
		return nil
	}
	if r.GetKind() == controlpb.ReportKind_REPORT_RUNNING && t.State != controlpb.TaskState_STARTING && r.GetCheckpoint() <= t.Checkpoint {
		return nil
	}
	return t
}

// ReportChanges reports whether applying the worker's report would change the task at all, and whether it would change its
// state rather than only its checkpoint number.
func (s *State) ReportChanges(worker string, incarnation uint64, r *controlpb.TaskReport) (changed, stateChanged bool) {
	t := s.reportTarget(worker, incarnation, r)
	if t == nil {
		return false, false
	}
	return true, r.GetKind() != controlpb.ReportKind_REPORT_RUNNING || t.State == controlpb.TaskState_STARTING
}

func (s *State) applyReport(t *Task, r *controlpb.TaskReport) {
	next := *t
	next.Checkpoint = max(t.Checkpoint, r.GetCheckpoint())
	switch r.GetKind() {
	case controlpb.ReportKind_REPORT_RUNNING:
		if t.State == controlpb.TaskState_STARTING {
			next.State, next.Since = controlpb.TaskState_RUNNING, s.time
		}
		s.putTask(&next)
	case controlpb.ReportKind_REPORT_FINISHED:
		s.release(&next)
		next.Why = r.GetMessage()
		s.putUnplaced(&next, controlpb.TaskState_FINISHED)
	case controlpb.ReportKind_REPORT_FAILED:
		s.release(&next)
		next.Failures++
		next.Why = r.GetMessage()
		s.putUnplaced(&next, controlpb.TaskState_FAILED)
	case controlpb.ReportKind_REPORT_STOPPED:
		if t.State == controlpb.TaskState_RUNNING {
			next.Evictions++
		}
		s.release(&next)
		s.putUnplaced(&next, controlpb.TaskState_WAITING)
	}
}

// putUnplaced stores a task that no longer runs anywhere. The new state follows from the given one, in which the attempt
// ended, and from the job: the task waits for another attempt, or it ends.
func (s *State) putUnplaced(next *Task, state controlpb.TaskState) {
	job := s.Job(next.ID.Job)
	service := job.Spec.GetClass() == controlpb.Class_LATENCY_CRITICAL
	surplus := next.ID.Number >= job.Spec.GetTasks()
	switch {
	case state == controlpb.TaskState_FINISHED && !service:
	case next.Cancel || surplus || (state == controlpb.TaskState_CANCELLED):
		state = controlpb.TaskState_CANCELLED
	case state == controlpb.TaskState_FAILED && !service && (next.Failures >= maxFailures || next.Reason == controlpb.StopReason_STOP_CANCELLED):
	default: // executors of a service are always restarted, and failed batch tasks are retried
		state = controlpb.TaskState_WAITING
	}
	next.State, next.Cancel, next.Since, next.Throttle = state, false, s.time, unthrottledPercent
	old := s.putTask(next)
	if next.Ended() && !old.Ended() {
		s.taskEnded(job, next.ID, surplus && service)
	}
}

// charge places the task on its worker and adds its charge to the worker.
func (s *State) charge(t *Task) {
	w := *s.Worker(t.Worker)
	w.Used = w.Used.Add(t.Charge)
	w.Tasks++
	s.tasksByWorker[w.Name] = append(s.tasksByWorker[w.Name], t.ID)
	s.putWorker(&w)
}

// release removes the task and its charge from its worker.
func (s *State) release(t *Task) {
	w := *s.Worker(t.Worker)
	w.Used = w.Used.Sub(t.Charge)
	w.Tasks--
	placed := s.tasksByWorker[w.Name]
	i := slices.Index(placed, t.ID)
	s.tasksByWorker[w.Name] = slices.Delete(placed, i, i+1)
	if w.Tasks == 0 {
		delete(s.tasksByWorker, w.Name)
	}
	t.Worker, t.Incarnation, t.Charge = "", 0, resource.Vector{}
	s.putWorker(&w)
}

// putTask stores a task, which must not be modified afterwards, and returns the one it replaces.
func (s *State) putTask(t *Task) *Task {
	old, _ := s.tasks.ReplaceOrInsert(t)
	s.views.tasksChanged()
	s.changes.tasks.add(t.ID)
	return old
}

func (s *State) removeTask(id TaskID) {
	s.tasks.Delete(&Task{ID: id})
	s.views.tasksChanged()
	s.changes.tasks.add(id)
}

// intern returns a canonical copy of the string, so that equal strings share memory.
func intern(text string) string { return unique.Make(text).Value() }
