package dispatch

import (
	"cmp"
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

	// minCorrelatedLosses and correlatedShare bound the workers of a rack or a zone that fail together from the number for
	// which a common cause is assumed.
	minCorrelatedLosses = 3
	correlatedShare     = 0.5

	// lossMemory is how long lost workers are remembered. It exceeds the time to declare a worker lost.
	lossMemory = 12 * time.Second

	// rareCrashes is the number of crashes within lossMemory, per worker and per earlier crash under a task, below which a
	// crash right after the start of the task is unlikely to be a coincidence.
	rareCrashes = 0.25
)

// loss describes a worker that was recently declared lost.
type loss struct {
	zone, rack string
	lastAnswer time.Time
	at         time.Time
	crashed    bool
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

// othersUnproven reports whether a worker has unproven runs of other jobs, with which one of the job could be confused.
func (w *worker) othersUnproven(job *workload.Job) bool {
	others := len(w.unproven)
	if w.unproven[job] > 0 {
		others--
	}
	return others > 0
}

// markUnproven marks a run, which is being started, as a possible cause of a crash of its worker.
func (r *run) markUnproven() {
	if !r.unproven {
		r.unproven, r.isSuspect = true, r.task.IsSuspect()
		r.worker.countUnproven(r.task.Step.Job, r.isSuspect, 1)
	}
}

// markProven excludes a run as the cause of later crashes of its worker.
func (r *run) markProven() {
	if r.unproven {
		r.unproven = false
		r.worker.countUnproven(r.task.Step.Job, r.isSuspect, -1)
	}
}

// observeProof marks a run that its worker lists as running as proven once it has worked for provenAfter. The members of a
// gang work only once all are present.
func (d *Dispatcher) observeProof(r *run) {
	if !r.unproven || r.acknowledgedAt.IsZero() {
		return
	}
	needed := provenAfter
	if r.task.Step.GetGang() && r.progress == 0 {
		needed += d.config.Limits.GangTimeout
	}
	if d.now.Sub(r.acknowledgedAt) >= needed {
		r.markProven()
	}
}

// allowsSuspects reports whether a step may start runs on a worker in view of suspect tasks.
func (d *Dispatcher) allowsSuspects(c candidate, w *worker) bool {
	switch {
	case c.suspect:
		return !w.othersUnproven(c.step.Job) && (w.reservedFor == c.step || !d.now.Before(w.reservedUntil))
	case w.suspectRuns > 0 && w.othersUnproven(c.step.Job):
		return false
	}
	return !d.now.Before(w.reservedUntil)
}

// placeSuspects assigns the waiting suspect tasks of a step to quiet workers, or reserves a worker for them. It returns the
// number of tasks placed.
func (d *Dispatcher) placeSuspects(c candidate, hosts []host) (placed int) {
	c.suspect = true
	demand, isWaiting := d.demand(c), false
	for _, task := range c.step.Tasks {
		if !d.mustIsolate(task) || !task.IsWaiting() || d.assigning[task.Key()] {
			continue
		}
		var chosen *host
		if !isWaiting {
			chosen = d.choose(c, demand, hosts, nil)
		}
		if chosen == nil {
			isWaiting = true
			d.noteIsolationWait(task)
			continue
		}
		d.config.Log.Info("starting suspect task in isolation", "Task", task.Key().String(), "Worker", chosen.worker.incarnation.GetId(), "Crashes", task.Crashes)
		d.assign(task, chosen.worker, task.LastRun+1, false)
		chosen.refresh()
		placed++
	}
	if isWaiting {
		d.reserveFor(c, hosts)
	}
	return placed
}

// mustIsolate reports whether a task may start only on a quiet worker.
func (d *Dispatcher) mustIsolate(task *workload.Task) bool {
	if !task.IsSuspect() {
		return false
	}
	since, isWaiting := d.isolationWaits[task.Key()]
	return !isWaiting || d.now.Sub(since) < maxIsolationWait
}

// noteIsolationWait records since when a suspect task waits for a quiet worker.
func (d *Dispatcher) noteIsolationWait(task *workload.Task) {
	if key := task.Key(); d.isolationWaits[key].IsZero() {
		d.isolationWaits[key] = d.now
	}
}

// reserveFor reserves a worker for the suspect tasks of a step, unless one is reserved for it, so that it becomes quiet.
func (d *Dispatcher) reserveFor(c candidate, hosts []host) {
	taken := 0
	for i := range hosts {
		w := hosts[i].worker
		isReserved := d.now.Before(w.reservedUntil)
		if isReserved && w.reservedFor == c.step {
			return
		}
		if isReserved || w.suspectRuns > 0 {
			taken++
		}
	}
	if taken >= max(1, int(maxReservedShare*float64(len(hosts)))) {
		return
	}
	c.suspect = false
	chosen := d.choose(c, d.demand(c), hosts, func(w *worker) bool { return w.suspectRuns > 0 })
	if chosen == nil {
		return
	}
	chosen.worker.reservedFor, chosen.worker.reservedUntil = c.step, d.now.Add(reservationTime)
	d.config.Log.Info("worker reserved for suspect task", "Worker", chosen.worker.incarnation.GetId(), "Step", c.step.Name(), "UnprovenJobs", len(chosen.worker.unproven))
}

// crashSuspects returns the tasks that may have crashed a worker: those that this leader has ordered it to start and that
// aren't proven there. There are none if the worker never answered this leader, or if it failed together with others.
func (d *Dispatcher) crashSuspects(w *worker) []*controlpb.CrashSuspect {
	if w.lastAnswer.IsZero() || w.incarnation.GetLeaving() || w.terminating || d.isDraining(w) || d.hasFailedWithOthers(w) {
		return nil
	}
	crashes := d.countCrashes()
	var suspects []*controlpb.CrashSuspect
	for key := range w.incarnation.Runs {
		if r := d.runs[key]; r != nil && r.unproven {
			suspects = append(suspects, &controlpb.CrashSuspect{
				Task: key.Task.Ref(), Started: r.seen || r.started,
				Isolated: r.isSuspect && !w.othersUnproven(r.task.Step.Job) && float64(crashes) < rareCrashes*float64(len(d.workers))*float64(r.task.Crashes+r.task.Suspicions),
			})
		}
	}
	slices.SortFunc(suspects, func(a, b *controlpb.CrashSuspect) int { return cmp.Compare(suspectName(a), suspectName(b)) })
	return suspects
}

// countCrashes returns the number of recent crashes.
func (d *Dispatcher) countCrashes() int {
	count := 0
	for _, l := range d.losses {
		if l.crashed && d.now.Sub(l.at) <= lossMemory {
			count++
		}
	}
	return count
}

// hasFailedWithOthers reports whether so many workers of the same rack or zone stopped answering at the same time that a
// common cause is likely.
func (d *Dispatcher) hasFailedWithOthers(w *worker) bool {
	rack, zone := rackOf(w.incarnation), w.incarnation.GetZone()
	var rackLost, rackTotal, zoneLost, zoneTotal int
	count := func(otherZone, otherRack string, isLost bool) {
		if otherZone == zone {
			zoneTotal++
			if isLost {
				zoneLost++
			}
		}
		if rack != "" && otherRack == rack {
			rackTotal++
			if isLost {
				rackLost++
			}
		}
	}
	for _, other := range d.workers {
		if other.ending && other != w {
			continue // counted by its loss
		}
		isLost := other == w || (other.missedCalls > 0 || other.superseded) && isNear(other.lastAnswer, w.lastAnswer)
		count(other.incarnation.GetZone(), rackOf(other.incarnation), isLost)
	}
	for _, l := range d.losses {
		if isNear(l.lastAnswer, w.lastAnswer) {
			count(l.zone, l.rack, true)
		}
	}
	return isCorrelated(rackLost, rackTotal) || isCorrelated(zoneLost, zoneTotal)
}

func isCorrelated(lost, total int) bool {
	return lost >= minCorrelatedLosses && float64(lost) >= correlatedShare*float64(total)
}

func isNear(a, b time.Time) bool { return a.Sub(b).Abs() <= correlatedWindow }

// rememberLoss records that a worker was declared lost, and forgets losses older than lossMemory.
func (d *Dispatcher) rememberLoss(w *worker) {
	for len(d.losses) > 0 && d.now.Sub(d.losses[0].at) > lossMemory {
		d.losses = d.losses[1:]
	}
	d.losses = append(d.losses, loss{zone: w.incarnation.GetZone(), rack: rackOf(w.incarnation), lastAnswer: w.lastAnswer, at: d.now, crashed: w.crashed})
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

// logGivenUp logs the suspects of a recorded crash that have been given up.
func (d *Dispatcher) logGivenUp(suspects []*controlpb.CrashSuspect) {
	for _, suspect := range suspects {
		key := workload.TaskKeyFromRef(suspect.GetTask())
		state, _ := d.state.Lookup(key.Job)
		if task := d.state.Task(key); state == controlpb.WorkState_WORK_FAILED || task != nil && task.Done && task.Step.GetPerpetual() {
			d.config.Count("TasksGivenUp")
			d.config.Log.Info("task given up: workers crash under it", "Task", key.String(), "State", state.String())
		}
	}
}
