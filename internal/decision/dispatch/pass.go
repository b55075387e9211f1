package dispatch

import (
	"maps"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/colocation"
	"galenamoor/internal/decision/imagepair"
	"galenamoor/internal/decision/occupancy"
	"galenamoor/internal/decision/workload"
	"galenamoor/pkg/resource"
)

const (
	// servingUtilization is the assumed utilization of the processors reserved by serving tasks. With 0.35 assumed,
	// best-effort tasks beside them starve for processor time. Serving tasks that use more than the assumed share show
	// it by their tail latency.
	servingUtilization = 0.45

	// maxOpenStarts bounds the runs whose start isn't committed or not yet sent. It keeps a pass far shorter than a heartbeat
	// interval, and calls from timing out before they are sent after many workers were lost.
	maxOpenStarts = 300

	// maxRatingsPerPass bounds the hosts that one pass rates, so that a pass stays short when thousands of waiting tasks
	// fit on no host. Rating a host takes about 200 ns.
	maxRatingsPerPass = 40_000

	// maxVisitsPerPass bounds the hosts and tasks that one pass looks at. Most hosts are full and are never rated, but looking at each
	// of them for thousands of steps, or at each task of a step that has thousands, takes as long as many ratings.
	maxVisitsPerPass = 500_000
)

// unreachedShare is the share of the starts of a pass that are set aside for jobs that the last one didn't reach and that run nothing.
const unreachedShare = 0.25

const (
	// maxVainRatings is the number of hosts that a pass may rate in vain for best-effort steps before it defers further such steps for
	// deferralTime. Where hundreds of steps wait because of interference, rating all hosts for each of them in each pass would delay
	// the starts of all others.
	maxVainRatings = 2000
	deferralTime   = 400 * time.Millisecond
)

// Timeliness of a job, best first. Jobs that can still meet their objective go before late ones, and both before those
// that can only finish after tooLateFactor times their objective. Without this order a burst of jobs makes all of them
// late.
const (
	onTime = iota
	late
	tooLate
)

// tooLateFactor is the multiple of a job's objective after which its result is considered worthless.
const tooLateFactor = 3

// candidate is a step with waiting tasks.
type candidate struct {
	step       *workload.Step
	queue      *controlpb.WorkQueue
	timeliness int
	due        time.Time // when the job should be finished

	interrupted bool // see isInterrupted
	inExcess    bool // its job is in excess of its client account's share
	suspect     bool // a suspect task of the step is to be placed
}

// pass assigns waiting tasks to workers, the most urgent steps first. It returns the number of steps with waiting tasks.
func (d *Dispatcher) pass() int {
	hosts := d.hosts()
	d.keepsEmptyHosts = d.areEmptyHostsScarce(hosts)
	candidates := d.candidates()
	d.endStaleHolds()
	d.beginRelocations()
	d.report(candidates, hosts)
	budget := d.startBudget()
	d.lastCandidates, d.vacated = candidates, nil
	d.holdSearches = 0
	d.beginBudgets()
	if !d.now.Before(d.nextSpeculation) {
		d.nextSpeculation = d.now.Add(speculationInterval)
		d.holdSearches, d.relocations.searches = maxHoldSearches, maxRelocationSearches
		d.speculate(hosts)
		d.countTrials()
		d.findLeastUrgent()
	}
	maps.DeleteFunc(d.deferred, func(_ *workload.Step, until time.Time) bool { return !d.now.Before(until) })
	d.beginVictimSearches(hosts)
	p := &placement{hosts: hosts, fleet: vacancyOf(hosts), starts: budget, preemptions: maxPreemptionsPerPass, exhausted: map[placementClass][]resource.Vector{}}
	p.starts -= d.continueRelocations(hosts)
	d.placeUnreached(candidates, p)
	d.unreached, d.unreachedCause = nil, ""
	for i, c := range candidates {
		if followsInterrupted(candidates, i) {
			d.moveLeaving(hosts, c.queue.GetPriority())
		}
		switch {
		case p.starts <= 0:
			d.unreached, d.unreachedCause = candidates[i:], occupancy.StartLimit
			clear(d.fruitless)
			d.windows.advance(candidates[max(0, i-1):]) // the limit may have cut the last one short
			return len(candidates)
		case d.isBudgetSpent():
			d.unreached, d.unreachedCause = candidates[i:], occupancy.RatingLimit
			if d.visitBudget <= 0 {
				d.leaveOut(p.unplaced)
			}
			return len(candidates) // the next pass goes on from here
		}
		if !d.fruitless[c.step] && d.deferred[c.step].IsZero() {
			d.place(c, p)
		}
	}
	clear(d.fruitless)
	d.windows.advance(nil)
	d.moveLeaving(hosts, leastPriority)
	return len(candidates)
}

// placeUnreached starts a task of each job that runs nothing and that the last pass didn't reach, as it had no starts left. Without it
// such a job would run nothing until all tasks of the large jobs before it have started.
func (d *Dispatcher) placeUnreached(candidates []candidate, p *placement) {
	if d.unreachedCause != occupancy.StartLimit {
		return
	}
	wasUnreached, tried := stepsOf(d.unreached), map[*workload.Job]bool{}
	share := int(unreachedShare * float64(p.starts))
	for _, c := range candidates {
		if share <= 0 || d.isBudgetSpent() {
			return
		}
		job, needed := c.step.Job, 1
		if c.step.GetGang() {
			needed = len(c.step.Tasks)
		}
		if !wasUnreached[c.step] || tried[job] || job.LiveRuns() > 0 || needed > share {
			continue
		}
		tried[job] = true
		starts := p.starts
		p.starts = needed
		d.place(c, p)
		placed := needed - p.starts
		p.starts, share = starts-placed, share-placed
	}
}

// beginBudgets sets the limits of a pass or a refill.
func (d *Dispatcher) beginBudgets() {
	d.ratingBudget, d.visitBudget, d.vainRatings = maxRatingsPerPass, maxVisitsPerPass, 0
}

// isBudgetSpent reports whether a pass or a refill has to end.
func (d *Dispatcher) isBudgetSpent() bool { return d.ratingBudget <= 0 || d.visitBudget <= 0 }

// leaveOut keeps steps out of the passes until one has reached all steps.
func (d *Dispatcher) leaveOut(steps []*workload.Step) {
	for _, step := range steps {
		d.fruitless[step] = true
	}
}

// followsInterrupted reports whether a candidate is the first one of its priority that isn't interrupted.
func followsInterrupted(candidates []candidate, i int) bool {
	if candidates[i].interrupted {
		return false
	}
	return i == 0 || candidates[i-1].interrupted || candidates[i].queue.GetPriority() > candidates[i-1].queue.GetPriority()
}

// startBudget returns the number of runs that may be assigned now.
func (d *Dispatcher) startBudget() int {
	return maxOpenStarts - len(d.assigning) - d.config.WorkerCalls.QueuedStarts()
}

// placement is the progress of a pass.
type placement struct {
	hosts       []host
	fleet       vacancy
	starts      int                                  // runs that may still be assigned
	preemptions int                                  // hosts on which runs may still be preempted
	exhausted   map[placementClass][]resource.Vector // smallest demands for which no host had room
	unplaced    []*workload.Step                     // steps of which no task was placed
}

// isExhausted reports whether no host had room for a demand of a class that is no larger.
func (p *placement) isExhausted(class placementClass, needed resource.Vector) bool {
	return slices.ContainsFunc(p.exhausted[class], func(failed resource.Vector) bool { return failed.Fits(needed) })
}

// noteExhausted records that no host had room for a demand of a class.
func (p *placement) noteExhausted(class placementClass, needed resource.Vector) {
	p.exhausted[class] = append(slices.DeleteFunc(p.exhausted[class], needed.Fits), needed)
}

// place assigns the waiting tasks of a step to workers as far as possible and as the limits of its client account allow. A step for which hosts were rated in vain, other than for
// preemptions, is noted as fruitless, unless it lasts: whether a lasting task fits is found without ratings.
func (d *Dispatcher) place(c candidate, p *placement) {
	if d.isAtAccountLimit(c.step) {
		d.updateHolds(c, p.hosts, 0)
		d.relocate(c, p.hosts, 0)
		d.requestAdvice(c, p.hosts, 0)
		return
	}
	starts, ratings := p.starts, d.ratingBudget-d.victimBudget
	needed, class := need(c.step), placementClassOf(c)
	d.visitBudget -= 1 + len(p.exhausted[class])
	switch {
	case p.isExhausted(class, needed) && len(d.holds[c.step]) == 0:
		if isLasting(c.step) {
			missing := min(d.countPlaceable(c.step), d.accountRoom(c.step))
			d.updateHolds(c, p.hosts, missing)
			d.relocate(c, p.hosts, missing)
		}
		if p.fleet.allowsThrottled(c) {
			p.starts -= d.placeThrottled(c, p.hosts)
		}
	case c.step.GetGang():
		p.starts -= d.placeGang(c, p.hosts)
	default:
		d.placeSingly(c, p, class, needed)
	}
	if p.starts == starts {
		p.unplaced = append(p.unplaced, c.step)
	}
	if p.starts == starts && d.ratingBudget-d.victimBudget < ratings && !isLasting(c.step) {
		d.fruitless[c.step] = true
		d.deferBestEffort(c, ratings-(d.ratingBudget-d.victimBudget))
	}
}

// deferBestEffort leaves a best-effort step for which hosts were rated in vain out of the next passes, if the current one has rated too
// many in vain.
func (d *Dispatcher) deferBestEffort(c candidate, ratings int) {
	if kindOf(c.step) != colocation.BestEffort {
		return
	}
	if d.vainRatings += ratings; d.vainRatings > maxVainRatings {
		d.deferred[c.step] = d.now.Add(deferralTime)
	}
}

// placeSingly assigns the waiting tasks of a step that isn't a gang to workers, and makes room for those that fit on none.
func (d *Dispatcher) placeSingly(c candidate, p *placement, class placementClass, needed resource.Vector) {
	placedSuspects, missingSuspects := d.placeSuspects(c, p.hosts)
	p.starts -= placedSuspects
	placed, missing, triedAll := d.placeTasks(c, p.hosts, p.starts)
	p.starts -= placed
	if !triedAll {
		return // the next pass goes on from here
	}
	missing, missingSuspects = d.limitMissing(c.step, missing, missingSuspects)
	d.updateHolds(c, p.hosts, missing)
	d.relocate(c, p.hosts, missing)
	if missing > 0 && p.fleet.allowsThrottled(c) {
		p.starts -= d.placeThrottled(c, p.hosts)
	}
	d.requestAdvice(c, p.hosts, missing)
	if missing > 0 && p.fleet.allowsThrottled(c) && mayThrottle(c.step) {
		d.requestThrottledAdvice(c, p.hosts)
	}
	if missing > 0 && c.step.GetMaxPerWorker() == 0 { // otherwise the limit per worker may be the reason, not a lack of room
		p.noteExhausted(class, needed)
	}
	if kindOf(c.step) != colocation.BestEffort {
		p.preemptions -= d.preempt(c, p.hosts, missing+missingSuspects, p.preemptions)
	}
}

// placementClass is what determines, besides resource demand, which hosts may run a task.
type placementClass struct {
	pool, image, label string
	advised            *workload.Step // steps of advised queues have their own sets of hosts
	kind               colocation.Kind
	lasts              bool // holds keep less room from lasting steps
	maxPerWorker       uint32
}

func placementClassOf(c candidate) placementClass {
	class := placementClass{
		pool: c.queue.GetPool(), image: c.step.GetImage(), label: c.step.GetRequiredLabel(), kind: kindOf(c.step),
		lasts: isLasting(c.step), maxPerWorker: c.step.GetMaxPerWorker(),
	}
	if c.queue.GetAdvised() {
		class.advised = c.step
	}
	return class
}

// need returns the resources that a task of a step uses, including the processors of a best-effort task, which reserves
// none.
func need(step *workload.Step) resource.Vector {
	return resource.Vector{Processors: step.GetProcessors(), Memory: step.GetMemory(), Accelerators: step.GetAccelerators()}
}

// candidates returns the steps with waiting tasks that the next pass tries to place, most urgent first.
func (d *Dispatcher) candidates() []candidate {
	wall := d.config.Wall()
	var found []candidate
	for step := range d.windows.steps(d.state.Jobs(), wall) {
		c := d.candidate(wall, step, d.state.Queue(step.Job.Spec.GetQueue()))
		d.rankByShare(&c)
		found = append(found, c)
	}
	slices.SortStableFunc(found, compareCandidates)
	return found
}

// stepsOf returns the set of the steps of candidates.
func stepsOf(candidates []candidate) map[*workload.Step]bool {
	steps := make(map[*workload.Step]bool, len(candidates))
	for _, c := range candidates {
		steps[c.step] = true
	}
	return steps
}

// isInterrupted reports whether a task of a lasting step has had a run and waits for another one.
func isInterrupted(step *workload.Step) bool {
	return isLasting(step) && slices.ContainsFunc(step.Tasks, func(task *workload.Task) bool { return task.IsWaiting() && task.LastRun > 0 })
}

// hasWaiting reports whether a step has waiting tasks that may start.
func hasWaiting(step *workload.Step, wall time.Time) bool {
	return step.Waiting > 0 && !step.Job.IsTerminal() && step.IsReady(wall)
}

// candidate rates the timeliness of a step's job: whether the job is expected to finish within its objective.
func (d *Dispatcher) candidate(wall time.Time, step *workload.Step, queue *controlpb.WorkQueue) candidate {
	job := step.Job
	start := job.DueAt(step.Occurrence)
	if start.IsZero() {
		start = time.UnixMilli(job.Spec.GetAcceptedMs())
	}
	mean := d.runtimes.meanRuntime(queue.GetName())
	total, remaining := time.Duration(job.LongestChain())*mean, time.Duration(job.RemainingChain(step.Occurrence))*mean
	objective := time.Duration(float64(total)*max(1, queue.GetStretch())) + time.Duration(queue.GetTargetRuntimeMs())*time.Millisecond
	c := candidate{step: step, queue: queue, due: start.Add(objective), interrupted: isInterrupted(step)}
	if step.GetPerpetual() {
		return c // a perpetual step never ends, so it can't be late, but should start soon
	}
	switch finish := wall.Add(remaining); {
	case finish.After(start.Add(tooLateFactor * objective)):
		c.timeliness = tooLate
	case finish.After(c.due):
		c.timeliness = late
	}
	return c
}

// host combines a worker with its description for the placement score.
type host struct {
	*colocation.Host
	worker   *worker
	releases *releases // as far as the current pass has needed them
}

// hosts returns the workers that may get new runs.
func (d *Dispatcher) hosts() []host {
	hosts := make([]host, 0, len(d.workers))
	for _, w := range d.orderedWorkers {
		if !d.isUsable(w) {
			continue
		}
		w.preempting = nil
		h := d.describe(w)
		w.idle.advance(d.now, h.Free.Processors)
		hosts = append(hosts, h)
	}
	return hosts
}

// describe returns the description of a worker for placements.
func (d *Dispatcher) describe(w *worker) host {
	h := host{worker: w, Host: &colocation.Host{
		Rack:          rackOf(w.incarnation),
		Suspect:       w.consecutiveFailures > 0 || d.now.Before(w.suspectUntil) || d.isUnstable(w),
		IgnoresStarts: d.now.Before(w.ignoresUntil),
	}}
	h.refresh(d.now)
	return h
}

// hostWithRoom returns the description of a worker by its free room alone.
func hostWithRoom(w *worker) *host {
	return &host{worker: w, Host: &colocation.Host{Free: w.free()}}
}

// refresh updates the description from the worker's state, for example after a placement.
func (h *host) refresh(now time.Time) {
	w := h.worker
	h.Free = w.free()
	h.ServingTasks, h.LatencyRatio, h.BestEffortProcessors, h.Paused = w.servingTasks, w.latencyRatio, w.bestEffortProcessors, w.speed < fullSpeed
	h.Processors, h.ThrottledProcessors = w.incarnation.GetProcessors(), w.throttledProcessors
	h.Unmeasured = now.Before(w.measuredAt)
	h.Spare = spare(w)
}

// spare returns the milli-cores that a worker's tasks are expected to leave unused.
func spare(w *worker) int64 {
	unused := int64((1 - servingUtilization) * float64(w.servingProcessors))
	return w.incarnation.GetProcessors() - w.used.Processors - w.bestEffortProcessors + unused
}

// rackOf returns the rack of a worker, which is its second label. The first one is the worker's kind.
func rackOf(incarnation *workload.Worker) string {
	if labels := incarnation.GetLabels(); len(labels) > 1 {
		return labels[1]
	}
	return ""
}

// kindOf classifies the tasks of a step.
func kindOf(step *workload.Step) colocation.Kind {
	switch {
	case step.GetFills():
		return colocation.BestEffort
	case step.IsServing():
		return colocation.Serving
	}
	return colocation.Dedicated
}

// demand returns the demand of one task of a step for the placement score.
func (d *Dispatcher) demand(c candidate) colocation.Demand {
	return colocation.Demand{
		Kind: kindOf(c.step), Need: c.step.Demand(), Processors: c.step.GetProcessors(), DataRack: c.step.GetDataRack(),
	}
}

// placeTasks assigns waiting tasks of a step to workers, at most as many as starts are left. It returns the number of tasks placed and of
// those for which no host was found, and whether it has tried all before a limit was reached.
func (d *Dispatcher) placeTasks(c candidate, hosts []host, starts int) (placed, missing int, triedAll bool) {
	demand := d.demand(c)
	d.visitBudget -= len(c.step.Tasks)
	for _, task := range c.step.Tasks {
		if !d.isPlaceable(task) || d.mustIsolate(task) {
			continue
		}
		var chosen *host
		if missing == 0 {
			if d.isAtAccountLimit(c.step) {
				return placed, 0, true
			}
			if placed > 0 && (placed >= starts || d.isBudgetSpent()) {
				return placed, 0, false
			}
			hasFailed := d.hasFailed(task)
			chosen = d.choose(c, demand, hosts, hasFailed)
			if chosen == nil && hasFailed != nil && d.choose(c, demand, hosts, nil) != nil {
				continue // there is room, but only where the task has just failed
			}
		}
		if chosen == nil {
			missing++
			continue
		}
		opensHost := demand.Kind == colocation.Serving && chosen.ServingTasks == 0
		d.assign(task, chosen.worker, task.LastRun+1, false)
		chosen.refresh(d.now)
		if opensHost {
			d.keepsEmptyHosts = d.areEmptyHostsScarce(hosts)
		}
		placed++
	}
	return placed, missing, true
}

// isPlaceable reports whether a task waits for a run that isn't proposed yet, and no room is reserved for it.
func (d *Dispatcher) isPlaceable(task *workload.Task) bool {
	return d.isWaiting(task) && !d.relocations.reserved[task]
}

// isWaiting reports whether a task waits for a run that isn't proposed yet.
func (d *Dispatcher) isWaiting(task *workload.Task) bool {
	return task.IsWaiting() && !d.assigning[task.Key()] && !task.IsPaused(d.config.Wall())
}

// choose returns the best host for a task of a step, or nil. It skips workers that avoid matches; a nil avoid matches
// none.
func (d *Dispatcher) choose(c candidate, demand colocation.Demand, hosts []host, avoid func(*worker) bool) *host {
	var best *host
	var bestScore int64
	d.visitBudget -= len(hosts)
	for i := range hosts {
		h := &hosts[i]
		if !d.hasRoom(c, demand, h) || !d.allows(c, h.worker) || avoid != nil && avoid(h.worker) {
			continue
		}
		d.ratingBudget--
		if score, ok := d.score(c, demand, h); ok && (best == nil || score > bestScore) {
			best, bestScore = h, score
		}
	}
	return best
}

// hasRoom reports whether a host has room for a task of a step beside what is held or reserved there for others.
func (d *Dispatcher) hasRoom(c candidate, demand colocation.Demand, h *host) bool {
	return colocation.HasRoom(demand, h.Host) && respectsHold(c, demand.Need, h) && respectsRelocations(demand.Need, h)
}

// score rates a host for a task of a step, considering the interference with what runs there.
func (d *Dispatcher) score(c candidate, demand colocation.Demand, h *host) (score int64, ok bool) {
	demand.WorstRating, demand.MixesImages = d.interferenceWith(c.step, h.worker), mixesImages(c.step, h.worker)
	demand.TrialBlocked = demand.WorstRating == imagepair.Unknown && d.trialBlocked(c.step, h.worker)
	demand.KeepsEmptyHosts = d.keepsEmptyHosts
	return colocation.Score(demand, h.Host)
}

// allows reports whether a step may run on a worker under the rules of the step and its queue and, for advised queues,
// with a valid ticket.
func (d *Dispatcher) allows(c candidate, w *worker) bool {
	return d.exclusion(c, w) == occupancy.NotRefused
}

// exclusion returns why a step may not run on a worker.
func (d *Dispatcher) exclusion(c candidate, w *worker) occupancy.Refusal {
	if reason := d.unadvisedExclusion(c, w); reason != occupancy.NotRefused {
		return reason
	}
	if c.queue.GetAdvised() && d.ticketFor(c.step, w) == "" {
		return occupancy.MissingTicket
	}
	return occupancy.NotRefused
}

// unadvisedExclusion is like exclusion, but doesn't require a ticket.
func (d *Dispatcher) unadvisedExclusion(c candidate, w *worker) occupancy.Refusal {
	if w.incarnation.GetPool() != c.queue.GetPool() {
		return occupancy.OtherPool
	}
	if label := c.step.GetRequiredLabel(); label != "" && !w.incarnation.HasLabel(label) {
		return occupancy.MissingLabel
	}
	if limit := c.step.GetMaxPerWorker(); limit > 0 && d.tasksOn(c.step, w) >= int(limit) {
		return occupancy.WorkerLimit
	}
	if !d.allowsSuspects(c, w) {
		return occupancy.SuspectTasks
	}
	return occupancy.NotRefused
}

// tasksOn counts the runs of a step that are assigned to a worker or proposed for it.
func (d *Dispatcher) tasksOn(step *workload.Step, w *worker) int {
	return w.incarnation.RunsOf(step) + w.proposedRuns[step]
}

// assign reserves resources for a run and proposes it. The worker is called once the assignment is committed. A
// throttled run is slowed down as soon as it has started.
func (d *Dispatcher) assign(task *workload.Task, w *worker, number uint32, throttled bool) {
	key := workload.RunKey{Task: task.Key(), Run: number}
	d.assigning[key.Task] = true
	d.charge(w, task.Step, 1)
	d.countNewTrials(task.Step, w)
	w.countProposed(task.Step, 1)
	isSuspect := task.IsSuspect()
	w.countUnproven(task.Step.Job, isSuspect, 1)
	if delete(d.isolationWaits, unitKey(task)); w.reservedFor == task.Step {
		w.reservedUntil = time.Time{}
		delete(d.reservations, task.Step)
	}
	d.adjustHold(w, task.Step)
	start := &controlpb.StartRun{Task: key.Task.Ref(), Run: number, Worker: w.incarnation.GetNumber()}
	d.propose(&controlpb.WorkChange{Kind: &controlpb.WorkChange_StartRun{StartRun: start}}, func(result *controlpb.Result) {
		delete(d.assigning, key.Task)
		d.charge(w, task.Step, -1)
		w.countProposed(task.Step, -1)
		w.countUnproven(task.Step.Job, isSuspect, -1)
		if result == nil || result.GetCode() != controlpb.ResultCode_RESULT_OK {
			d.config.Log.Info("assignment rejected", "Task", key.Task.String(), "Run", number, "Worker", w.incarnation.GetId(), "Reason", result.GetMessage())
			return
		}
		if d.workers[w.incarnation.GetNumber()] != w {
			return // its incarnation ended in the same batch, which also removed the run from the state
		}
		d.tellTimeUntil(d.foreignLeasesExpire(w)) // the next leader counts from the first assignment
		r := d.addRun(key, task, w)
		r.throttled = throttled
		d.config.Count("RunsStarted")
		d.config.Log.Info("run assigned", "Task", key.Task.String(), "Run", number, "Worker", w.incarnation.GetId(), "Spare",
			spare(w), "LatencyRatio", w.latencyRatio, "Throttled", throttled, "SinceLastReply", d.now.Sub(w.lastAnswer).String())
		d.start(r)
	})
}

// countProposed adds sign to the number of runs of a step that are proposed for a worker.
func (w *worker) countProposed(step *workload.Step, sign int) {
	if w.proposedRuns == nil {
		w.proposedRuns = map[*workload.Step]int{}
	}
	w.proposedRuns[step] += sign
	if w.proposedRuns[step] == 0 {
		delete(w.proposedRuns, step)
	}
}
