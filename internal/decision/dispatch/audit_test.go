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
	crashes     map[workload.TaskKey]int         // incarnations that ended while a run of the task was there
	terminalAt  map[string]time.Time             // when a job became terminal, by ID
}

func newStartAudit() startAudit {
	return startAudit{
		failedEnds: map[workload.TaskKey][]time.Time{}, recordedAt: map[workload.TaskKey]time.Time{}, maxAttempts: map[workload.TaskKey]int{},
		done: map[workload.TaskKey]bool{}, crashes: map[workload.TaskKey]int{}, terminalAt: map[string]time.Time{},
	}
}

func (a *startAudit) noteEnd(task workload.TaskKey, result controlpb.RunEnd) {
	if result == controlpb.RunEnd_RUN_DONE {
		a.done[task] = true
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
	return limit > 0 && len(a.failedEnds[task]) >= limit
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
		for other, r := range worker.runs {
			if worker.up && !r.orphaned && isSameStep(other.Task, key.Task) && other.Run != key.Run {
				sim.t.Errorf("%v: %s run %d starts while %s run %d is on %s", sim.now, key.Task, key.Run, other.Task, other.Run, worker.incarnation.GetId())
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
	a.Index, b.Index = 0, 0
	return a == b
}

// checkFailed checks that no run of the task started after the acknowledged end of its last allowed attempt.
func (sim *simulation) checkFailed(e simEnd) {
	sim.t.Helper()
	task, audit := e.Run.Task, &sim.audit
	ends := append(audit.failedEnds[task], e.at)
	slices.SortFunc(ends, time.Time.Compare)
	audit.failedEnds[task], audit.recordedAt[task] = ends, sim.now
	if e.speculative || e.beforeLast || !audit.isExhausted(task) {
		return
	}
	if last := ends[audit.maxAttempts[task]-1]; sim.started[task].After(last) {
		sim.t.Errorf("%v: a run of %s started %v after %d failed runs", sim.now, task, sim.started[task].Sub(last), len(ends))
	}
}

// checkOutcome checks that a job has ended, and that its runs give cause for its outcome. Tasks under which as many
// incarnations have ended as the queue allows attempts may be given up.
func (sim *simulation) checkOutcome(id string, steps []*controlpb.WorkStep) {
	sim.t.Helper()
	isComplete, mayFail := true, false
	for n, step := range steps {
		ended := uint32(0)
		for i := range step.GetCount() {
			key := workload.TaskKey{Job: id, Step: uint32(n), Index: i}
			if sim.audit.done[key] {
				ended++
			}
			crashes := sim.audit.crashes[key]
			mayFail = mayFail || sim.audit.isExhausted(key) || crashes >= minGivenUp && crashes >= sim.audit.maxAttempts[key]
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
