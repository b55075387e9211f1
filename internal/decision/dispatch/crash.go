package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// A task may crash every worker that starts it, and with it the runs of innocent tasks. After a crash, the runs that had
// just started are suspect. A suspect task starts only on a quiet worker, on which no other job has unproven runs, and no
// other job starts runs there until it is proven. A further crash then shows whether it is to blame, which
// workload.State decides.

const (
	// provenAfter is how long a run must have worked before it no longer counts as a possible cause of a crash.
	provenAfter = 300 * time.Millisecond

	// reservationTime is how long a worker is reserved for a suspect task, until its unproven runs are proven by polls.
	reservationTime = provenAfter + 2*pollWait

	// maxIsolationWait is how long a suspect task waits for a quiet worker before it starts beside others.
	maxIsolationWait = 1500 * time.Millisecond

	// maxReservedShare is the share of the usable workers that may be reserved for suspect tasks, or run unproven ones.
	maxReservedShare = 0.125

	// correlatedWindow is the time between the last answers of workers that have failed together.
	correlatedWindow = time.Second

	// correlatedShare is the share of the workers of a rack or a zone that fail together from which a common cause is
	// assumed, if at least minUnexplained of them ran nothing that could have crashed them.
	correlatedShare = 0.8
	minUnexplained  = 2

	// maxPollInterval is the longest time between two answers of a worker that is well, with a margin for the network.
	maxPollInterval = pollWait + maxPollDelay + 150*time.Millisecond

	// crashWindow is the time within which crashes are counted to tell how rare they are.
	crashWindow = workload.CrashWindow

	// rareCrashes is the number of crashes within crashWindow, per worker, below which a second crash right after the start of
	// a task is unlikely to be a coincidence. Each further crash under the task multiplies the limit by rarityFactor.
	rareCrashes  = 0.25
	rarityFactor = 2

	// maxUnexplainedShare is the share of crashes of workers that ran nothing suspect, among at least minCrashSample crashes,
	// up to which crashes of other causes count as rare.
	maxUnexplainedShare = 0.125
	minCrashSample      = 8

	// maxUnseenAge is the age of a run up to which a new leader that never saw its worker alive suspects it of the crash:
	// the time in which its predecessor would have declared the worker lost.
	maxUnseenAge = 6 * time.Second
)

// loss describes a worker that was recently declared lost.
type loss struct {
	zone, rack string
	lastAnswer time.Time
	at         time.Time
	crashed    bool
	explained  bool // it ran something that could have crashed it
	inherited  bool // an earlier leader has recorded its crash; only at, crashed and explained are known
	address    string
}

// countUnproven adds sign to the number of unproven runs of a job on a worker.
func (w *worker) countUnproven(job *workload.Job, isSuspect bool, sign int) {
	if w.unproven == nil {
		w.unproven = map[*workload.Job]int{}
	}
	w.unproven[job] += sign
	if w.unproven[job] == 0 {
		delete(w.unproven, job)
	}
	if isSuspect {
		w.suspectRuns += sign
	}
}

// othersUnproven reports whether a worker has unproven runs that could be confused with a run of the step: those of other
// jobs and, if tasks of the step are given up one by one, more than own of its own job.
func (w *worker) othersUnproven(step *workload.Step, own int) bool {
	ofJob := w.unproven[step.Job]
	if ofJob > 0 && len(w.unproven) > 1 || ofJob == 0 && len(w.unproven) > 0 {
		return true
	}
	return step.GetPerpetual() && !step.GetGang() && ofJob > own
}

// mayCrash reports whether a run may have crashed its worker, so that no copy of it may start. The first run of a task may get
// a copy before it is known whether its worker has crashed or is only slow to answer.
func (r *run) mayCrash() bool {
	return r.task.IsSuspect() || r.key.Run > 1 && (r.unproven || !r.seen)
}

// allowsSuspects reports whether a step may start runs on a worker in view of suspect tasks.
func (d *Dispatcher) allowsSuspects(c candidate, w *worker) bool {
	switch {
	case c.suspect:
		isAvailable := w.reservedFor == c.step || !d.now.Before(w.reservedUntil) && !d.isUnstable(w)
		return isAvailable && !w.othersUnproven(c.step, 0)
	case w.suspectRuns > 0 && w.othersUnproven(c.step, 0):
		return false
	}
	return !d.now.Before(w.reservedUntil)
}

// placeSuspects assigns the waiting suspect tasks of a step to quiet workers, or reserves a worker for them. It returns the
// number of tasks placed, and of those for which no worker has room.
func (d *Dispatcher) placeSuspects(c candidate, hosts []host) (placed, missing int) {
	c.suspect = true
	demand, waiting := d.demand(c), 0
	d.visitBudget -= len(c.step.Tasks)
	for _, task := range c.step.Tasks {
		if !d.mustIsolate(task) || !d.isPlaceable(task) {
			continue
		}
		if d.isAtAccountLimit(c.step) {
			return placed, 0
		}
		var chosen *host
		if waiting == 0 {
			chosen = d.choose(c, demand, hosts, d.hasFailed(task))
		}
		if chosen == nil {
			waiting++
			d.noteIsolationWait(task)
			continue
		}
		d.config.Log.Info("starting suspect task in isolation", "Task", task.Key().String(), "Worker", chosen.worker.incarnation.GetId(), "Crashes", task.Crashes)
		d.assign(task, chosen.worker, task.LastRun+1, false)
		chosen.refresh(d.now)
		placed++
	}
	if waiting > 0 && !d.reserveFor(c, hosts) {
		missing = waiting
	}
	if waiting > 0 {
		d.requestAdvice(c, hosts, waiting)
	}
	return placed, missing
}

// mustIsolate reports whether a task may start only on a quiet worker. It may start on any after maxIsolationWait or, if a worker
// is reserved for its step, after reservationTime more: other tasks of the step may renew the reservation without end.
func (d *Dispatcher) mustIsolate(task *workload.Task) bool {
	if !task.IsSuspect() {
		return false
	}
	since, isWaiting := d.isolationWaits[unitKey(task)]
	waited := d.now.Sub(since)
	return !isWaiting || waited < maxIsolationWait || waited < maxIsolationWait+reservationTime && d.now.Before(d.reservations[task.Step])
}

// noteIsolationWait records since when a suspect task, or its gang, waits for a quiet worker.
func (d *Dispatcher) noteIsolationWait(task *workload.Task) {
	if key := unitKey(task); d.isolationWaits[key].IsZero() {
		d.isolationWaits[key] = d.now
	}
}

// reserveFor reserves a worker for the suspect tasks of a step, unless one is reserved for it, so that it becomes quiet. It
// returns false if no worker has room for one.
func (d *Dispatcher) reserveFor(c candidate, hosts []host) bool {
	taken := 0
	for i := range hosts {
		w := hosts[i].worker
		isReserved := d.now.Before(w.reservedUntil)
		if isReserved && w.reservedFor == c.step {
			return true
		}
		if isReserved || w.suspectRuns > 0 {
			taken++
		}
	}
	if taken >= max(1, int(maxReservedShare*float64(len(hosts)))) {
		return true
	}
	c.suspect = false
	hasSuspects := func(w *worker) bool { return w.suspectRuns > 0 }
	chosen := d.choose(c, d.demand(c), hosts, func(w *worker) bool { return hasSuspects(w) || d.isUnstable(w) })
	if chosen == nil {
		chosen = d.choose(c, d.demand(c), hosts, hasSuspects)
	}
	if chosen == nil {
		return false
	}
	until := d.now.Add(reservationTime)
	chosen.worker.reservedFor, chosen.worker.reservedUntil, d.reservations[c.step] = c.step, until, until
	d.config.Log.Info("worker reserved for suspect task", "Worker", chosen.worker.incarnation.GetId(), "Step", c.step.Name(), "UnprovenJobs", len(chosen.worker.unproven))
	return true
}

// crashSuspects returns the tasks that may have crashed a worker: those that this leader has ordered it to start and that
// aren't proven there. There are none if the worker was to end, or if it failed together with others.
func (d *Dispatcher) crashSuspects(w *worker) []*controlpb.CrashSuspect {
	if w.incarnation.GetLeaving() || w.terminating || d.isDraining(w) || d.hasFailedWithOthers(w) {
		return nil
	}
	var suspects []*controlpb.CrashSuspect
	if w.lastAnswer.IsZero() {
		suspects = d.unseenSuspects(w)
	}
	for r := range w.liveRuns() {
		if r.unproven && !r.ended && !w.lastAnswer.IsZero() && mayRestart(r.task) {
			suspects = append(suspects, &controlpb.CrashSuspect{
				Task: r.key.Task.Ref(), Started: r.seen || r.started,
				Isolated: r.isSuspect && !w.othersUnproven(r.task.Step, 1) && d.areCrashesRare(r.task),
			})
		}
	}
	slices.SortFunc(suspects, func(a, b *controlpb.CrashSuspect) int { return cmp.Compare(suspectName(a), suspectName(b)) })
	return suspects
}

// mayRestart reports whether another run of a task may start.
func mayRestart(task *workload.Task) bool { return !task.Done && !task.Step.Job.IsTerminal() }

// areCrashesRare reports whether crashes of other causes are so rare that a further crash under a task is unlikely to be a
// coincidence.
func (d *Dispatcher) areCrashesRare(task *workload.Task) bool {
	crashes, unexplained := 0, 0
	for _, l := range d.losses {
		if l.crashed && d.now.Sub(l.at) <= crashWindow {
			crashes++
			if !l.explained {
				unexplained++
			}
		}
	}
	if crashes >= minCrashSample && float64(unexplained) <= maxUnexplainedShare*float64(crashes) && !d.isMostUnproven() {
		return true
	}
	return float64(crashes) < rareCrashes*math.Pow(rarityFactor, float64(task.Crashes+task.Suspicions)-1)*float64(len(d.workers))
}

// isMostUnproven reports whether most workers run something unproven, so that an unproven run explains no crash.
func (d *Dispatcher) isMostUnproven() bool {
	count := 0
	for _, w := range d.workers {
		if len(w.unproven) > 0 {
			count++
		}
	}
	return 2*count > len(d.workers)
}

// unseenSuspects returns the tasks that may have crashed a worker that never answered this leader: those whose last run was
// assigned by an earlier leader shortly before this one started.
func (d *Dispatcher) unseenSuspects(w *worker) []*controlpb.CrashSuspect {
	oldest := d.config.Wall().Add(-d.now.Sub(d.leadingSince) - maxUnseenAge)
	var suspects []*controlpb.CrashSuspect
	for key, task := range w.incarnation.Runs {
		if mayRestart(task) && task.AssignedAt(key.Run).After(oldest) {
			suspects = append(suspects, &controlpb.CrashSuspect{Task: key.Task.Ref()})
		}
	}
	return suspects
}

// hasFailedWithOthers reports whether so many workers of the same rack or zone stopped answering at the same time that a
// common cause is likely.
func (d *Dispatcher) hasFailedWithOthers(w *worker) bool {
	var inRack, inZone failures
	add := func(zone, rack string, isLost, isExplained bool) {
		if zone == w.incarnation.GetZone() {
			inZone.add(isLost, isExplained)
		}
		if rack != "" && rack == rackOf(w.incarnation) {
			inRack.add(isLost, isExplained)
		}
	}
	for _, other := range d.workers {
		if other != w && (other.ending || !w.lastAnswer.IsZero() && other.addedAt.After(w.lastAnswer)) {
			continue // counted by its loss, or wasn't there when this one failed
		}
		isSilent := other.missedCalls > 0 || other.superseded || d.silenceOf(other) > maxPollInterval
		isLost := other == w || isSilent && isNear(other.lastAnswer, w.lastAnswer)
		add(other.incarnation.GetZone(), rackOf(other.incarnation), isLost, len(other.unproven) > 0)
	}
	for _, l := range d.losses {
		if !l.inherited && isNear(l.lastAnswer, w.lastAnswer) {
			add(l.zone, l.rack, true, l.explained)
		}
	}
	return inRack.haveCommonCause() || inZone.haveCommonCause()
}

// failures counts the workers of a rack or a zone, and those that failed together.
type failures struct {
	total, lost, unexplained int
}

func (f *failures) add(isLost, isExplained bool) {
	f.total++
	if isLost {
		f.lost++
		if !isExplained {
			f.unexplained++
		}
	}
}

func (f *failures) haveCommonCause() bool {
	return f.unexplained >= minUnexplained && float64(f.lost) >= correlatedShare*float64(f.total)
}

func isNear(a, b time.Time) bool { return a.Sub(b).Abs() <= correlatedWindow }

// rememberLoss records that a worker was declared lost, and forgets losses that are older than the longest time to declare a
// worker lost that has failed together with them.
func (d *Dispatcher) rememberLoss(w *worker) {
	for len(d.losses) > 0 && d.now.Sub(d.losses[0].at) > maxCallDelay+d.longestLease() {
		d.losses = d.losses[1:]
	}
	d.losses = append(d.losses, loss{
		zone: w.incarnation.GetZone(), rack: rackOf(w.incarnation), lastAnswer: w.lastAnswer, at: d.now, crashed: w.crashed, explained: len(w.unproven) > 0,
		address: w.incarnation.GetAddress(),
	})
	if w.crashed {
		d.tellTimeUntil(d.now.Add(crashWindow))
	}
}

// inheritCrashes counts the recent crashes that earlier leaders have recorded. Their common causes don't matter any more, as those leaders
// have judged them, and the last answers of the workers aren't known.
func (d *Dispatcher) inheritCrashes() {
	for _, crash := range d.state.Crashes() {
		at := d.recordedAt(crash.GetElapsedMs())
		d.losses = append(d.losses, loss{at: at, crashed: true, explained: crash.GetExplained(), inherited: true})
		d.tellTimeUntil(at.Add(crashWindow))
	}
}

func suspectName(suspect *controlpb.CrashSuspect) string {
	return workload.TaskKeyFromRef(suspect.GetTask()).String()
}

// suspectNames returns the names of the tasks that may have crashed a worker, for logs.
func suspectNames(suspects []*controlpb.CrashSuspect) []string {
	names := make([]string, 0, len(suspects))
	for _, suspect := range suspects {
		name := suspectName(suspect)
		if !suspect.GetStarted() {
			name += " (unconfirmed)"
		}
		if suspect.GetIsolated() {
			name += " (isolated)"
		}
		names = append(names, name)
	}
	return names
}

// logGivenUp logs the jobs with suspects of a recorded crash that have failed, and the perpetual tasks that are paused.
func (d *Dispatcher) logGivenUp(suspects []*controlpb.CrashSuspect) {
	byJob := map[string][]*controlpb.CrashSuspect{}
	for _, suspect := range suspects {
		key := workload.TaskKeyFromRef(suspect.GetTask())
		state, _ := d.state.Lookup(key.Job)
		if state == controlpb.WorkState_WORK_FAILED {
			byJob[key.Job] = append(byJob[key.Job], suspect)
		} else if task := d.state.Task(key); task != nil && task.IsPaused(d.config.Wall()) {
			d.config.Count("TasksPaused")
			d.config.Log.Info("task paused: workers crash under it", "Task", key.String(), "Pauses", task.Pauses, "Suspects", suspectNames([]*controlpb.CrashSuspect{suspect}))
		}
	}
	for _, job := range slices.Sorted(maps.Keys(byJob)) {
		d.config.Count("JobsGivenUp")
		d.config.Log.Info("given up: workers crash under it", "Job", job, "Suspects", suspectNames(byJob[job]))
	}
}
