package controlstate

import (
	"regexp"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// namePattern matches valid names: the names of the inventory, and likewise of submitted jobs, endpoints and gateways.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// maxRunTime bounds the declared run time of a task: 30 days in nanoseconds.
const maxRunTime = int64(30 * 24 * 3600 * 1e9)

// Job is a batch job, or the job that runs the executors of a service. A Job that State has returned is immutable.
type Job struct {
	Spec       *controlpb.JobSpec
	Submitted  int64  // recorded time, unix nanoseconds
	Finished   int64  // recorded time at which the last task ended, unix nanoseconds; 0 before
	Open       int32  // number of tasks that have not ended
	RequestKey string // of the submission; empty for a job of the inventory
	Cancelled  bool
}

// Name returns the name of the job.
func (j *Job) Name() string { return j.Spec.GetName() }

// Job returns the job, or nil. The result is immutable.
func (s *State) Job(name string) *Job {
	s.jobKey.Spec.Name = name
	j, _ := s.jobs.Get(s.jobKey)
	return j
}

func newJobKey(name string) *Job { return &Job{Spec: &controlpb.JobSpec{Name: name}} }

func (s *State) submitJob(c *controlpb.SubmitJob) *controlpb.Result {
	return s.applyOnce(c.GetRequestKey(), func() *controlpb.Result {
		spec := proto.CloneOf(c.GetSpec())
		if err := checkSpec(spec); err != nil {
			return invalid(ReasonBadJob, "%v", err)
		}
		spec.Kind, spec.Team = intern(spec.GetKind()), intern(spec.GetTeam())
		if spec.GetKind() == "" {
			spec.Kind = spec.GetName()
		}
		switch {
		case s.Job(spec.GetName()) != nil || s.config.listed(spec.GetName()):
			return rejected(ReasonNameInUse, "%s", spec.GetName())
		case s.config.rules.Team(spec.GetTeam()) == nil && len(s.config.rules.Teams) > 0:
			return rejected(ReasonBadJob, "team %q: expected a team of the rules", spec.GetTeam())
		case !s.fitsAnyWorker(spec):
			return rejected(ReasonNeverFits, "%s needs %v, more than any permitted worker has", spec.GetName(), spec.GetRequest().Vector())
		case s.tasks.Len()+int(spec.GetTasks()) > MaxTasks:
			return unavailable(ReasonTooMany, "%d tasks are kept: expected at most %d", s.tasks.Len(), MaxTasks)
		}
		s.addJob(&Job{Spec: spec, Submitted: s.time, RequestKey: c.GetRequestKey()})
		return &controlpb.Result{}
	})
}

// checkSpec validates the parts of a specification that do not depend on the configuration. Only batch jobs can be
// submitted; services come from the inventory.
func checkSpec(spec *controlpb.JobSpec) error {
	switch {
	case !namePattern.MatchString(spec.GetName()):
		return trace.BadParameter("name %q: expected 1 to 63 letters, digits, '.', '_' or '-'", spec.GetName())
	case spec.GetClass() != controlpb.Class_BATCH || spec.GetService() != "":
		return trace.BadParameter("class %v: expected a batch job; services are listed in the inventory", spec.GetClass())
	case spec.GetTasks() < 1 || spec.GetTasks() > MaxTasks:
		return trace.BadParameter("%d tasks: expected 1 to %d", spec.GetTasks(), MaxTasks)
	case spec.GetRunTime() < 0 || spec.GetRunTime() > maxRunTime:
		return trace.BadParameter("run time of %d ns: expected 0 to %d", spec.GetRunTime(), maxRunTime)
	case spec.GetDeadline() < 0:
		return trace.BadParameter("deadline %d: expected unix nanoseconds", spec.GetDeadline())
	case spec.GetRequest().Vector().IsZero():
		return trace.BadParameter("request: expected resources above zero")
	}
	return trace.Wrap(spec.GetRequest().Vector().Validate())
}

// cancelJobs cancels the named batch jobs and reports unknown names. A service is refused; it is stopped by removing it
// from the inventory.
func (s *State) cancelJobs(c *controlpb.CancelJobs) *controlpb.Result {
	return s.applyOnce(c.GetRequestKey(), func() *controlpb.Result {
		var unknown, services []string
		for _, name := range c.GetNames() {
			j := s.Job(name)
			switch {
			case j == nil:
				unknown = append(unknown, name)
			case j.Spec.GetClass() == controlpb.Class_LATENCY_CRITICAL:
				services = append(services, name)
			default:
				s.cancelJob(j, "cancelled by an operator")
			}
		}
		switch {
		case len(services) > 0:
			return rejected(ReasonServiceJob, "%q: expected batch jobs; the others are cancelled", services)
		case len(unknown) > 0:
			return notFound(ReasonUnknownJob, "%q; the others are cancelled", unknown)
		}
		return &controlpb.Result{}
	})
}

func (s *State) cancelJob(j *Job, why string) {
	if j.Cancelled || j.Finished != 0 {
		return
	}
	next := *j
	next.Cancelled = true
	s.putJob(&next)
	for _, t := range s.tasksOf(j.Name()) {
		s.cancelTask(t, why)
	}
}

// tasksOf returns the tasks of a job, ordered by number.
func (s *State) tasksOf(job string) []*Task {
	var tasks []*Task
	s.tasks.AscendGreaterOrEqual(&Task{ID: TaskID{Job: job}}, func(t *Task) bool {
		if t.ID.Job != job {
			return false
		}
		tasks = append(tasks, t)
		return true
	})
	return tasks
}

func (s *State) addJob(j *Job) {
	j.Open = j.Spec.GetTasks()
	s.putJob(j)
	for number := int32(0); number < j.Open; number++ {
		s.addTask(TaskID{j.Name(), number})
	}
}

func (s *State) addTask(id TaskID) {
	s.putTask(&Task{ID: id, State: controlpb.TaskState_WAITING, Since: s.time, Throttle: unthrottledPercent})
}

// taskOpened updates the job after one of its tasks was added or resumed.
func (s *State) taskOpened(job string) {
	next := *s.Job(job)
	next.Open++
	next.Finished = 0
	s.putJob(&next)
}

// taskEnded updates the job after one of its tasks has ended. With remove, the task itself is removed as well.
func (s *State) taskEnded(j *Job, id TaskID, remove bool) {
	next := *j
	next.Open--
	if next.Open == 0 {
		next.Finished = s.time
	}
	s.putJob(&next)
	s.jobEnded(&next)
	if remove {
		s.removeTask(id)
		s.removeJobIfEmpty(j.Name())
	}
}

// jobEnded schedules a finished job that the inventory does not list for removal after JobRetention.
func (s *State) jobEnded(j *Job) {
	if j.Finished != 0 && !s.config.listed(j.Name()) {
		s.finishedJobs.ReplaceOrInsert(j)
	}
}

// removeJobIfEmpty removes the job of a service that the inventory no longer lists, once its last task has ended.
func (s *State) removeJobIfEmpty(name string) {
	if j := s.Job(name); j.Open == 0 && j.Spec.GetTasks() == 0 && !s.config.listed(name) {
		s.removeJob(name)
	}
}

// expireJobs removes jobs that finished before the bound and are not listed by the inventory.
func (s *State) expireJobs(bound int64) {
	for {
		first, ok := s.finishedJobs.Min()
		if !ok || first.Finished >= bound {
			return
		}
		s.finishedJobs.DeleteMin()
		j := s.Job(first.Name())
		if j != nil && j.Finished == first.Finished && !s.config.listed(j.Name()) {
			s.removeJob(j.Name())
		}
	}
}

func (s *State) removeJob(name string) {
	for _, t := range s.tasksOf(name) {
		s.removeTask(t.ID)
	}
	s.jobs.Delete(s.Job(name))
	s.views.jobsChanged()
	s.changes.jobs.add(name)
}

func (s *State) putJob(j *Job) {
	s.jobs.ReplaceOrInsert(j)
	s.views.jobsChanged()
	s.changes.jobs.add(j.Name())
}
