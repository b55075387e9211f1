package dispatch

import (
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// startAudit records what the simulated workers have done and what was acknowledged to them, for the invariants of starts that
// need a history.
type startAudit struct {
	failedEnds  map[workload.TaskKey][]time.Time // when the failed runs with an acknowledged end have ended, ascending
	recordedAt  map[workload.TaskKey]time.Time   // when the newest of these ends was acknowledged
	maxAttempts map[workload.TaskKey]int         // of tasks that have started; 0 for no limit
	done        map[workload.TaskKey]bool        // a run has ended successfully, whether acknowledged or not
	failedRuns  map[workload.TaskKey][]uint32    // runs that have failed, whether acknowledged or not; of a gang by its first member
	crashes     map[workload.TaskKey]int         // incarnations that ended while a run of the task, or its unacknowledged end, was there
	terminalAt  map[string]time.Time             // when a job became terminal, by ID
	gangFailed  map[workload.TaskKey][]uint32    // runs of a gang, by unitKey, of which a member has an acknowledged failed end
}

func newStartAudit() startAudit {
	return startAudit{
		failedEnds: map[workload.TaskKey][]time.Time{}, recordedAt: map[workload.TaskKey]time.Time{}, maxAttempts: map[workload.TaskKey]int{},
		done: map[workload.TaskKey]bool{}, failedRuns: map[workload.TaskKey][]uint32{}, crashes: map[workload.TaskKey]int{}, terminalAt: map[string]time.Time{}, gangFailed: map[workload.TaskKey][]uint32{},
	}
}

func (a *startAudit) noteEnd(key workload.RunKey, isGang bool, result controlpb.RunEnd) {
	switch result {
	case controlpb.RunEnd_RUN_DONE:
		a.done[key.Task] = true
	case controlpb.RunEnd_RUN_FAILED:
		unit := key.Task
		if isGang {
			unit = firstOf(unit)
		}
		if !slices.Contains(a.failedRuns[unit], key.Run) {
			a.failedRuns[unit] = append(a.failedRuns[unit], key.Run)
		}
	}
}

// noteCrash counts the end of the incarnation of a worker for the tasks that its leader may suspect of it.
func (a *startAudit) noteCrash(s *simWorker) {
	tasks := map[workload.TaskKey]bool{}
	for key := range s.runs {
		tasks[key.Task] = true
	}
	for _, e := range s.ended {
		tasks[e.Run.Task] = true
	}
	for task := range tasks {
		a.crashes[task]++
	}
}

func (a *startAudit) noteTerminal(jobs []*workload.Job, now time.Time) {
	for _, job := range jobs {
		if id := job.Spec.GetId(); job.IsTerminal() && a.terminalAt[id].IsZero() {
			a.terminalAt[id] = now
		}
	}
}

// isExhausted reports whether so many acknowledged runs of a task have failed that no other one may start.
func (a *startAudit) isExhausted(task workload.TaskKey) bool {
	limit := a.maxAttempts[task]
	return limit > 0 && (len(a.failedEnds[task]) >= limit || len(a.gangFailed[firstOf(task)]) >= limit)
}

// firstOf returns the key of the first task of a step.
func firstOf(task workload.TaskKey) workload.TaskKey {
	task.Index = 0
	return task
}

// checkAudit checks the invariants of a start that depend on earlier starts and ends. A copy of a speculative task may start
// within a second of the last allowed failure.
func (sim *simulation) checkAudit(target *simWorker, key workload.RunKey, sent time.Time) {
	sim.t.Helper()
	task := sim.state.Task(key.Task)
	if task == nil {
		return // checkStart has reported it
	}
	step := task.Step
	if !step.GetPerpetual() {
		sim.audit.maxAttempts[key.Task] = int(sim.state.Queue(step.Job.Spec.GetQueue()).GetMaxAttempts())
	}
	if sim.audit.isExhausted(key.Task) && (!step.GetSpeculative() || sent.Sub(sim.audit.recordedAt[key.Task]) > time.Second) {
		sim.t.Errorf("%v: %s run %d starts after %d failed runs", sim.now, key.Task, key.Run, len(sim.audit.failedEnds[key.Task]))
	}
	if at, isTerminal := sim.audit.terminalAt[key.Task.Job]; isTerminal && sent.After(at) {
		sim.t.Errorf("%v: %s run %d was ordered %v after its job had become %v", sim.now, key.Task, key.Run, sent.Sub(at), sim.stateOf(key.Task.Job))
	}
	if limit := int(step.GetMaxPerWorker()); limit > 0 && target.countRuns(key.Task) >= limit {
		sim.t.Errorf("%v: %s run %d starts beside %d tasks of its step, at most %d may run on %s", sim.now, key.Task, key.Run, target.countRuns(key.Task), limit, target.incarnation.GetId())
	}
	if label := step.GetRequiredLabel(); label != "" && !slices.Contains(target.incarnation.GetLabels(), label) {
		sim.t.Errorf("%v: %s run %d starts on %s without label %s", sim.now, key.Task, key.Run, target.incarnation.GetId(), label)
	}
	if step.GetGang() {
		sim.checkGangRun(key)
	}
}

// checkGangRun checks that no member of a gang runs under another number than the member that starts.
func (sim *simulation) checkGangRun(key workload.RunKey) {
	sim.t.Helper()
	for _, worker := range sim.workers {
		for _, other := range worker.ordered {
			if worker.up && !other.orphaned && isSameStep(other.key.Task, key.Task) && other.key.Run != key.Run {
				sim.t.Errorf("%v: %s run %d starts while %s run %d is on %s", sim.now, key.Task, key.Run, other.key.Task, other.key.Run, worker.incarnation.GetId())
			}
		}
	}
}

// countRuns returns the number of a worker's runs of the same step as a task.
func (s *simWorker) countRuns(task workload.TaskKey) int {
	count := 0
	for other := range s.runs {
		if isSameStep(other.Task, task) {
			count++
		}
	}
	return count
}

func isSameStep(a, b workload.TaskKey) bool {
	return firstOf(a) == firstOf(b)
}

// checkFailed checks that no run of the task started after the acknowledged end of its last allowed attempt.
func (sim *simulation) checkFailed(e simEnd) {
	sim.t.Helper()
	task, audit := e.Run.Task, &sim.audit
	ends := append(audit.failedEnds[task], e.at)
	slices.SortFunc(ends, time.Time.Compare)
	audit.failedEnds[task], audit.recordedAt[task] = ends, sim.now
	if first := firstOf(task); e.gang && !slices.Contains(audit.gangFailed[first], e.Run.Run) {
		audit.gangFailed[first] = append(audit.gangFailed[first], e.Run.Run)
	}
	if e.speculative || e.beforeLast || len(ends) < audit.maxAttempts[task] || audit.maxAttempts[task] == 0 {
		return
	}
	if last := ends[audit.maxAttempts[task]-1]; sim.started[task].After(last) {
		sim.t.Errorf("%v: a run of %s started %v after %d failed runs", sim.now, task, sim.started[task].Sub(last), len(ends))
	}
}

// checkOutcome checks that a job has ended, and that its runs give cause for its outcome. Tasks under which as many
// incarnations have ended as the queue allows attempts may be given up.
func (sim *simulation) checkOutcome(id string, steps []*controlpb.WorkStep, maxAttempts int) {
	sim.t.Helper()
	isComplete, mayFail := true, false
	for n, step := range steps {
		ended := uint32(0)
		for i := range step.GetCount() {
			key := workload.TaskKey{Job: id, Step: uint32(n), Index: i}
			if sim.audit.done[key] {
				ended++
			}
			mayFail = mayFail || len(sim.audit.failedRuns[key]) >= maxAttempts || sim.audit.crashes[key] >= max(minGivenUp, maxAttempts)
		}
		isComplete = isComplete && (ended == step.GetCount() || step.GetGang() && ended > 0)
	}
	switch state := sim.stateOf(id); {
	case sim.state.Job(id) != nil:
		sim.t.Errorf("job %s is %v long after the faults", id, state)
	case state == controlpb.WorkState_WORK_COMPLETED && !isComplete:
		sim.t.Errorf("job %s is completed, but not all tasks are done", id)
	case state == controlpb.WorkState_WORK_FAILED && !mayFail:
		sim.t.Errorf("job %s has failed without cause", id)
	case state == controlpb.WorkState_WORK_UNKNOWN:
		sim.t.Logf("job %s was not accepted", id)
	}
}

// minGivenUp is the number of crashes from which a task may be given up.
const minGivenUp = 2
