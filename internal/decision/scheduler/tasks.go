package scheduler

import (
	"maps"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/backlog"
	"galenamoor/internal/decision/placement"
	"galenamoor/pkg/resource"
)

const (
	// The backoff after a rejected proposal starts at initialBackoff and doubles with each further one up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// rejectionIndex is the index in a task's list of avoided workers of the worker on which a start was rejected last. Workers
	// on which the job failed have the indexes before it.
	rejectionIndex = len(placement.Avoid{}) - 1
	// minExtrapolationProgress is the progress, in per mille, from which the remaining run time of a task is extrapolated.
	minExtrapolationProgress = 100
)

// Verdict says whether a job can be placed at all.
type Verdict string

// The values of Verdict.
const (
	Eligible        Verdict = ""
	NeverFits       Verdict = "NeverFits"       // no worker in the permitted zones could ever hold one of its tasks
	FailsEverywhere Verdict = "FailsEverywhere" // it failed on several workers in a row
)

// job is the scheduler's view of a job.
type job struct {
	name, team, kindName string
	number               int // position in the order in which jobs became known
	kind                 int32
	service              bool
	urgent               bool
	checkpoints          bool
	request              resource.Vector
	zoneNames            []string // as submitted
	zones                placement.ZoneSet
	priority             int32
	submittedPriority    int32
	verdict              Verdict
	group                int32
	entry                backlog.Entry
	waiting              []*task // tasks to start, the next one last
	tasks                []*task
	use                  jobUse
}

// task is the scheduler's view of a task.
type task struct {
	name           string
	job            *job
	state          controlpb.TaskState
	fence          uint64
	since          time.Time
	earlierRunTime time.Duration // run time before the last eviction

	worker      *worker // where it is charged: it is assigned there, or its start there is proposed
	workerIndex int     // index in worker.tasks
	charge      resource.Vector
	planned     placement.Request // what the planner counts: at least the charge and at least the measured use
	stopping    bool              // its resources will be free soon

	pendingStart    bool
	pendingStop     bool
	pendingThrottle int32 // proposed percentage; 0 for none
	rejections      uint
	retryStopAt     time.Time
	backoffUntil    time.Time
	backingOff      bool
	queued          bool
	avoid           placement.Avoid

	claim      *worker // where resources are claimed for it; see claimOn
	claimSize  resource.Vector
	claimUntil time.Time
	holding    bool // the claim is a hold: no task was stopped for it; see hold

	throttle         int32
	failures         int32
	evictions        int32
	progress         int32
	cancel           bool
	peakUse          resource.Vector // decaying peak of the measured use
	slowdown         float64         // services: smoothed slowdown, natural logarithm
	slowdownAt       time.Time       // end of the interval of the last report
	reports          int
	mitigatedAt      time.Time
	serviceIndex     int     // services: index in Scheduler.serviceTasks
	exemptScore      float64 // services: rank in chooseExempt
	exempt           bool    // services: exempt from mitigation; see chooseExempt
	effectiveSeconds float64 // run time since the last start from scratch, weighted by the throttle
	effectiveAt      time.Time
	why              string // reason of the last start, for Explanation
}

// TaskChanged records the state of a task in the state machine and clears the pending proposals that the change decides. The
// spec may be shared by the tasks of a job; neither argument is retained or changed.
func (s *Scheduler) TaskChanged(spec *controlpb.JobSpec, record *controlpb.TaskRecord) {
	j := s.ensureJob(spec)
	t, known := s.tasks[record.Name]
	if !known {
		t = &task{name: record.Name, job: j, throttle: 100, avoid: placement.NoAvoid}
		j.tasks = append(j.tasks, t)
		s.tasks[t.name] = t
	}
	s.updateEffectiveTime(t)
	oldState, oldWorker, oldFence, oldSince := t.state, t.worker, t.fence, t.since
	since := time.Unix(0, record.Since)
	if known {
		s.recordOutcome(t, record, oldWorker, since)
	}
	t.state, t.fence, t.since, t.cancel, t.why = record.State, record.Fence, since, record.Cancel, record.Why
	t.evictions, t.failures = record.Evictions, record.Failures
	fenceChanged := known && t.fence != oldFence
	switch {
	case assigned(record.State):
		s.dequeue(t)
		t.pendingStart, t.rejections = false, 0
		t.avoid[rejectionIndex] = placement.None
		if fenceChanged {
			t.pendingStop, t.pendingThrottle = false, 0
		}
		charge := j.request
		if record.Charge != nil {
			charge = record.Charge.Vector()
		}
		s.assign(t, s.ensureWorker(record.Worker), charge)
		s.setThrottle(t, record)
		if record.State == controlpb.TaskState_STOPPING {
			t.pendingStop = false
		}
		s.setStopping(t, t.pendingStop || record.State == controlpb.TaskState_STOPPING)
		if oldState == controlpb.TaskState_RUNNING && record.State == controlpb.TaskState_STOPPING {
			t.earlierRunTime += since.Sub(oldSince)
		}
		s.updateHistory(t)
	case record.State == controlpb.TaskState_WAITING && !record.Cancel:
		if t.pendingStart && !fenceChanged {
			return // the proposed start is not decided yet
		}
		s.unassign(t)
		if oldState == controlpb.TaskState_RUNNING {
			t.earlierRunTime += since.Sub(oldSince)
		}
		if !j.checkpoints {
			t.earlierRunTime, t.progress, t.effectiveSeconds = 0, 0, 0
		}
		s.enqueue(t)
	default:
		s.unassign(t)
		s.dequeue(t)
		s.releaseClaim(t)
	}
}

// JobRemoved removes a job and its tasks.
func (s *Scheduler) JobRemoved(name string) {
	j := s.jobs[name]
	if j == nil {
		return
	}
	for _, t := range j.tasks {
		s.unassign(t)
		s.releaseClaim(t)
		s.cancelBackoff(t)
		delete(s.tasks, t.name)
	}
	j.waiting = nil
	s.queueOf(j).Remove(&j.entry)
	s.health.RemoveJob(name)
	delete(s.jobs, name)
}

// assigned reports whether a task in a state occupies a worker.
func assigned(state controlpb.TaskState) bool {
	return state == controlpb.TaskState_STARTING || state == controlpb.TaskState_RUNNING || state == controlpb.TaskState_STOPPING
}

// recordOutcome records whether the last run of a task finished or failed, from the next record of the task.
func (s *Scheduler) recordOutcome(t *task, record *controlpb.TaskRecord, ranOn *worker, since time.Time) {
	if ranOn == nil || t.pendingStart {
		return
	}
	switch {
	case record.Failures > t.failures || record.State == controlpb.TaskState_FAILED && t.state != controlpb.TaskState_FAILED:
		s.health.RecordFailure(s.now, ranOn.name, t.job.name)
		s.startReview(ranOn)
		s.updateVerdictsAfterFailure(t.job)
	case record.State == controlpb.TaskState_FINISHED && t.state != controlpb.TaskState_FINISHED:
		s.health.RecordSuccess(ranOn.name, t.job.name)
		if t.state == controlpb.TaskState_RUNNING {
			s.times.Record(t.job.kindName, t.job.entry.Declared, t.earlierRunTime+since.Sub(t.since))
		}
	}
}

// ensureJob returns the job of a spec, and creates it when it is unknown.
func (s *Scheduler) ensureJob(spec *controlpb.JobSpec) *job {
	if j, ok := s.jobs[spec.Name]; ok {
		return j
	}
	kind := spec.Kind
	if kind == "" {
		kind = spec.Name
	}
	j := &job{
		name: spec.Name, team: spec.Team, kindName: kind, kind: s.estimator.Kind(kind),
		service: spec.Class == controlpb.Class_LATENCY_CRITICAL, urgent: spec.Urgent, checkpoints: spec.Checkpoints,
		request: spec.Request.Vector(), submittedPriority: spec.Priority,
	}
	s.jobsSeen++
	j.number = s.jobsSeen
	j.zoneNames = slices.Clone(spec.Zones)
	j.group = j.kind
	j.entry = backlog.Entry{
		Name: j.name, Kind: kind, Urgent: spec.Urgent, Declared: time.Duration(spec.RunTime), Remaining: 1,
		Processors: j.request.Processors,
	}
	if spec.Deadline != 0 {
		j.entry.Deadline = time.Unix(0, spec.Deadline)
	}
	if j.service && !slices.Contains(s.serviceKinds, j.kind) {
		s.serviceKinds = append(s.serviceKinds, j.kind)
	}
	s.jobs[j.name] = j
	s.applyRules(j)
	s.updateVerdict(j)
	return j
}

// applyRules applies the operators' rules to a job. The job's own priority takes precedence; the zones of a rule narrow those
// of the job unless they have none in common.
func (s *Scheduler) applyRules(j *job) {
	j.priority, j.zones = j.submittedPriority, s.planner.Zones(j.zoneNames)
	applyRule := func(priority int, zones []string) {
		if j.priority == 0 {
			j.priority = int32(priority)
		}
		if len(zones) == 0 {
			return
		}
		permitted := s.planner.Zones(zones)
		if j.zones == 0 {
			j.zones = permitted
		} else if common := j.zones & permitted; common != 0 {
			j.zones = common
		}
	}
	if j.service {
		for _, r := range s.rules.Services {
			if r.Name == j.kindName || r.Name == j.name {
				applyRule(r.Priority, r.Zones)
			}
		}
	} else {
		for _, r := range s.rules.Kinds {
			if r.Name == j.kindName {
				applyRule(r.Priority, r.Zones)
			}
		}
	}
	if j.entry.Priority != j.priority {
		s.updateQueue(j)
	}
}

// updateVerdict decides whether a job can be placed at all. A job with a verdict other than Eligible is in no queue, so that it
// does not block others.
func (s *Scheduler) updateVerdict(j *job) {
	verdict := Eligible
	switch {
	case len(s.byID) > 0 && !s.planner.EverFits(&placement.Request{Size: j.request, Zones: j.zones}):
		verdict = NeverFits
	case s.health.FailsEverywhere(j.name):
		verdict = FailsEverywhere
	}
	if verdict != j.verdict {
		j.verdict = verdict
		s.updateQueue(j)
	}
}

// updateVerdicts decides on all jobs after workers or rules changed, in a fixed order so that the queues are deterministic.
func (s *Scheduler) updateVerdicts() {
	if !s.verdictsStale {
		return
	}
	s.verdictsStale = false
	for _, name := range slices.Sorted(maps.Keys(s.jobs)) {
		s.updateVerdict(s.jobs[name])
	}
}

// updateVerdictsAfterFailure decides on a job after a failure. If the failure put a worker into quarantine, other jobs may be
// eligible again.
func (s *Scheduler) updateVerdictsAfterFailure(j *job) {
	s.updateVerdict(j)
	for _, other := range s.jobs {
		if other.verdict == FailsEverywhere && other != j {
			s.updateVerdict(other)
		}
	}
	avoid := placement.NoAvoid
	for i, name := range s.health.FailedOn(j.name) {
		if w := s.workers[name]; w != nil && i < rejectionIndex {
			avoid[i] = w.id
		}
	}
	for _, t := range j.tasks {
		t.avoid = avoid
	}
}

// queueOf returns the queue for the class of a job.
func (s *Scheduler) queueOf(j *job) *backlog.Queue {
	if j.service {
		return s.services
	}
	return s.batch
}

func (s *Scheduler) enqueue(t *task) {
	if t.queued || t.backingOff {
		return
	}
	t.queued = true
	t.job.waiting = append(t.job.waiting, t)
	s.dirty = true
	s.updateQueue(t.job)
}

func (s *Scheduler) dequeue(t *task) {
	s.cancelBackoff(t)
	if !t.queued {
		return
	}
	t.queued = false
	waiting := t.job.waiting
	if last := len(waiting) - 1; waiting[last] == t {
		t.job.waiting = waiting[:last]
	} else {
		i := slices.Index(waiting, t)
		t.job.waiting = slices.Delete(waiting, i, i+1)
	}
	if len(t.job.waiting) == 0 {
		s.updateQueue(t.job)
	}
}

// updateQueue inserts a job into its queue, moves it or removes it, according to its waiting tasks and its verdict.
func (s *Scheduler) updateQueue(j *job) {
	q := s.queueOf(j)
	if len(j.waiting) == 0 || j.verdict != Eligible {
		q.Remove(&j.entry)
		j.entry.Priority = j.priority
		return
	}
	s.dirty = true
	q.Put(s.now, &j.entry, func(e *backlog.Entry) {
		e.Priority, e.Waiting = j.priority, len(j.waiting)
		e.Remaining = 1 - float64(j.waiting[len(j.waiting)-1].progress)/1000
	})
}

// backOff keeps a waiting task out of the queue until the given time.
func (s *Scheduler) backOff(t *task, until time.Time) {
	s.dequeue(t)
	t.backingOff, t.backoffUntil = true, until
	s.backingOff = append(s.backingOff, t)
}

func (s *Scheduler) cancelBackoff(t *task) {
	if t.backingOff {
		t.backingOff = false
		s.backingOff = slices.DeleteFunc(s.backingOff, func(p *task) bool { return p == t })
	}
}

// endBackoffs queues the tasks whose backoff is over.
func (s *Scheduler) endBackoffs() {
	if len(s.backingOff) == 0 {
		return
	}
	var due []*task
	for _, t := range s.backingOff {
		if !s.now.Before(t.backoffUntil) {
			due = append(due, t)
		}
	}
	for _, t := range due {
		s.cancelBackoff(t)
		s.enqueue(t)
	}
}

// startRejected undoes a rejected start: the task backs off and avoids that worker at the next start.
func (s *Scheduler) startRejected(t *task) {
	w := t.worker
	s.unassign(t)
	t.pendingStart = false
	if w != nil {
		t.avoid[rejectionIndex] = w.id
	}
	backoff := min(initialBackoff<<min(t.rejections, 8), maxBackoff)
	t.rejections++
	s.backOff(t, s.now.Add(backoff))
}

// assign charges a task to a worker, or changes its charge there.
func (s *Scheduler) assign(t *task, w *worker, charge resource.Vector) {
	s.releaseClaim(t)
	if t.worker == w && t.charge == charge {
		return
	}
	s.unassign(t)
	t.worker, t.workerIndex, t.charge = w, len(w.tasks), charge
	w.tasks = append(w.tasks, t)
	t.planned = placement.Request{
		Size: s.sizes.planned(t.job, charge), Kind: t.job.kind, Service: t.job.service, Group: t.job.group,
	}
	if w.id != placement.None {
		s.planner.Charge(w.id, &t.planned)
	}
	w.charged = w.charged.Add(charge)
	s.ledger.Charge(t.job.team, charge)
	if t.job.service {
		t.serviceIndex = len(s.serviceTasks)
		s.serviceTasks = append(s.serviceTasks, t)
	}
	w.interferenceAt = time.Time{}
}

// unassign releases the resources of a task on its worker.
func (s *Scheduler) unassign(t *task) {
	w := t.worker
	if w == nil {
		return
	}
	s.setStopping(t, false)
	t.pendingStop, t.pendingThrottle, t.throttle = false, 0, 100
	t.worker = nil
	s.setHistoryWeight(w, t, 0)
	last := len(w.tasks) - 1
	w.tasks[t.workerIndex] = w.tasks[last]
	w.tasks[t.workerIndex].workerIndex = t.workerIndex
	w.tasks[last] = nil
	w.tasks = w.tasks[:last]
	if w.id != placement.None {
		s.planner.Release(w.id, &t.planned)
	}
	w.charged = w.charged.Sub(t.charge)
	s.ledger.Release(t.job.team, t.charge)
	if t.job.service {
		last := len(s.serviceTasks) - 1
		s.serviceTasks[t.serviceIndex] = s.serviceTasks[last]
		s.serviceTasks[t.serviceIndex].serviceIndex = t.serviceIndex
		s.serviceTasks = s.serviceTasks[:last]
	}
	t.peakUse, t.slowdown, t.reports = resource.Vector{}, 0, 0
	w.interferenceAt = time.Time{}
	s.dirty = true
}

// setStopping sets whether the resources of a task count as free soon.
func (s *Scheduler) setStopping(t *task, stopping bool) {
	if t.stopping == stopping || t.worker == nil {
		return
	}
	t.stopping = stopping
	if stopping {
		t.worker.stopping = t.worker.stopping.Add(t.planned.Size)
		s.ledger.MarkStopping(t.job.team, t.charge)
	} else {
		t.worker.stopping = t.worker.stopping.Sub(t.planned.Size)
		s.ledger.MarkStopping(t.job.team, resource.Vector{}.Sub(t.charge))
	}
}

func (s *Scheduler) setThrottle(t *task, record *controlpb.TaskRecord) {
	percent := record.Throttle
	if percent == 0 {
		percent = 100
	}
	if t.pendingThrottle == percent {
		t.pendingThrottle = 0
	}
	t.throttle = percent
	if percent < 100 && !slices.Contains(s.throttled, t) {
		s.throttled = append(s.throttled, t)
	}
}

// updateHistory records in the worker's history whether the task runs, and at which throttle.
func (s *Scheduler) updateHistory(t *task) {
	weight := 0.0
	if t.state == controlpb.TaskState_RUNNING || t.state == controlpb.TaskState_STOPPING {
		weight = float64(t.throttle) / 100
	}
	s.setHistoryWeight(t.worker, t, weight)
}

func (s *Scheduler) setHistoryWeight(w *worker, t *task, weight float64) {
	if !s.options.Learning {
		return
	}
	w.history.SetWeight(s.now, t.fence, t.job.kind, weight)
	w.interferenceAt = time.Time{}
}

// updateEffectiveTime adds the run time since the last call, weighted by the current throttle.
func (s *Scheduler) updateEffectiveTime(t *task) {
	if t.state == controlpb.TaskState_RUNNING && s.now.After(t.effectiveAt) && !t.effectiveAt.IsZero() {
		t.effectiveSeconds += s.now.Sub(t.effectiveAt).Seconds() * float64(t.throttle) / 100
	}
	t.effectiveAt = s.now
}

// remainingRunTime returns the run time at full speed that a task still needs: extrapolated from its progress where it reports
// enough of it, else estimated as the backlog.SlackQuantile of its kind.
func (s *Scheduler) remainingRunTime(t *task) time.Duration {
	if t.progress >= minExtrapolationProgress {
		return time.Duration(t.effectiveSeconds / float64(t.progress) * float64(1000-t.progress) * float64(time.Second))
	}
	estimate := s.times.Quantile(t.job.kindName, t.job.entry.Declared, backlog.SlackQuantile)
	return estimate * time.Duration(1000-t.progress) / 1000
}

// slack returns how much time a task can lose and still meet its deadline; ok is false if it has none.
func (s *Scheduler) slack(t *task) (time.Duration, bool) {
	if t.job.entry.Deadline.IsZero() {
		return 0, false
	}
	return t.job.entry.Deadline.Sub(s.now) - s.remainingRunTime(t), true
}
