package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/imagepair"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
	"galenamoor/pkg/resource"
)

const (
	// pollWait is how long a worker may hold a poll open while no run ends. Together with the call timeout it bounds the
	// age of the information on a worker, and the time to notice an unresponsive one.
	pollWait = 800 * time.Millisecond

	// shortPollWait replaces pollWait where serving tasks are near their latency target or run beside best-effort tasks
	// of unknown interference. Reported tail latencies cover half a second.
	shortPollWait = 450 * time.Millisecond

	// urgentPollDelay is the time between an answer and the next poll of a worker that runs finite tasks on dedicated
	// processors. The next step of an urgent job waits for these to end, so their ends must not wait to be batched.
	urgentPollDelay = 10 * time.Millisecond

	// pollDelay is the time between an answer and the next poll of other workers, which batches ends into one answer. It
	// grows with the fleet, so that polls take a bounded share of the leader's processor time.
	pollDelay = 60 * time.Millisecond
	// pollDelayWorkers is the fleet size up to which pollDelay isn't scaled.
	pollDelayWorkers = 150
	// maxPollDelay bounds the delay, because the next steps of jobs wait for reported ends.
	maxPollDelay = 250 * time.Millisecond

	// callRetryDelay is the time after which an unanswered call is repeated.
	callRetryDelay = 250 * time.Millisecond

	// unresponsiveAfter is the time without an answer after which a worker gets no new runs: one poll with its wait, and
	// one lost packet.
	unresponsiveAfter = 1800 * time.Millisecond

	// maxWithheld and maxWithholdingPolls bound the time and the number of polls for which the acknowledgement of ends is withheld, as a
	// worker lists only so many. Both have to be exceeded, because polls are rare while answers are slow.
	maxWithheld         = time.Second
	maxWithholdingPolls = 4

	// clockResolution is the resolution of the clocks that workers tell.
	clockResolution = time.Millisecond

	// leaveTimeout bounds the time for which the acknowledgement of a worker's leave waits until its runs have stopped. The
	// worker repeats the request if it isn't acknowledged within a second.
	leaveTimeout = 700 * time.Millisecond

	// unhealthyQuarantine is the time for which a worker that rejected a call gets no new runs.
	unhealthyQuarantine = 2 * time.Second
)

// worker is the leader's soft state about one incarnation of a worker.
type worker struct {
	incarnation *workload.Worker
	address     netip.AddrPort

	workerClock       time.Duration // worker's clock when it sent its newest answer
	clockReadAt       time.Time     // when that answer was received; zero before the first one
	leaseExpires      time.Time     // every lease granted to this incarnation has expired by then
	leaseWithheld     bool          // no lease is granted and no start ordered: a poll got no answer, and no resumption is committed since
	recordedExpiry    time.Time     // leaseExpires as last recorded; zero if that is unknown
	recordingLease    bool          // a change of the withheld lease is proposed and not yet decided
	grantedAt         time.Time     // of the newest call that extends the lease; if there is none, when this leader took over, or zero if the record of its open starts covers it
	lastAnswer        time.Time     // when the newest answer was received
	lastPoll          time.Time     // when the newest answer to a poll was received, which shows that this incarnation is there
	listedAt          time.Time     // when that poll was sent
	endsWithheldSince time.Time     // since when no end is acknowledged, if withholdingPolls is set
	withholdingPolls  int           // number of polls since then
	addedAt           time.Time     // when this leader started tracking it

	pendingPoll   *order.Call
	pollAtOnce    bool // the next poll doesn't wait for a run to end
	nextPoll      time.Time
	listedEnds    uint64 // number of the last end in the answer to the newest poll; 0 if there was none or no answer
	recordingEnds bool   // ends are proposed and not yet decided
	missedCalls   int    // consecutive calls without an answer
	rejectedPolls int    // consecutive polls that it rejected as unhealthy
	fenced        bool   // it rejects this leader's fencing token

	runs []*run // the tracked runs, in the order in which their tracking began

	// Resource usage and placement, including proposed runs.
	used                 resource.Vector              // reserved by runs and proposed runs
	bestEffortProcessors int64                        // milli-cores that its best-effort tasks can use
	servingTasks         int                          // number of serving tasks
	latencyRatio         float64                      // highest tail latency of a serving task as a share of its latency target
	servingProcessors    int64                        // milli-cores of serving tasks
	dedicatedTasks       int                          // number of finite tasks with dedicated processors
	images               map[image]int                // number of serving and best-effort tasks by image
	victims, aggressors  []string                     // image names of the serving and of the best-effort tasks, sorted
	bestEffortSeen       map[string]time.Time         // when a best-effort task of an image was last seen
	belowTargetAt        time.Time                    // last poll at which all serving tasks were certainly below their latency targets
	blames               map[string][]imagepair.Blame // unsettled evidence of interference, by image of the serving tasks
	quietSince           time.Time                    // last time at which best-effort tasks may have been at work
	speed                int                          // percent of full speed at which best-effort tasks may run
	throttledProcessors  int64                        // milli-cores that throttled best-effort tasks may use
	measuredAt           time.Time                    // when the tail latencies show the effect of the newest throttled start
	pausedAt             time.Time                    // when the best-effort tasks were paused
	pollOften            bool                         // polls use shortPollWait
	proposedRuns         map[*workload.Step]int       // number of proposed runs
	preempting           map[*workload.Step]bool      // steps for which the current pass preempts runs here
	hold                 *hold                        // room for a waiting task; nil for none
	idle                 idleProcessors               // which no finite task has used of late
	relocation           *relocation                  // in which its host takes part; nil for none

	// Reasons to avoid the worker or to exclude it from placement.
	consecutiveFailures int // runs that failed in a row
	suspectUntil        time.Time
	ignoresUntil        time.Time // until then it is avoided because it has answered no starts
	quarantinedUntil    time.Time
	failingSince        time.Time     // when the first of the runs that failed in a row began
	failingUntil        time.Time     // until then it gets no new runs, unless one that began after failingSince is done
	quarantine          time.Duration // length of the newest quarantine for failed runs; 0 once a run that began after failingSince is done
	hasOrphans          bool          // runs something that isn't in the replicated state and takes up resources
	leavesAt            time.Time     // earliest time at which a leaving worker terminates; zero until this leader has heard it
	terminating         bool          // it has sent notice that it terminates, and no announcement since
	leaveAckBy          time.Time     // when leaveRequests are acknowledged at the latest
	leaveRequests       []*controlpb.LeaderRequest
	checkedSince        time.Time // since when a later incarnation here is checked for; zero once an answer shows whether it exists
	recheck             recheck   // after announcements that come soon after a check
	restartSeen         bool      // an answer has shown a clock that isn't that of this incarnation
	mayHaveRestarted    bool      // that one has the same ID and address, so that it accepts orders for this one
	reusesID            bool      // an earlier incarnation under its ID is known
	crashed             bool      // a later incarnation of its host has shown that it ended without notice
	superseded          bool      // a later incarnation under the same ID has answered
	ending              bool      // the end of its incarnation is proposed

	// Runs that may crash the worker.
	unproven      map[*workload.Job]int // number of runs, including proposed ones, that haven't worked for provenAfter
	suspectRuns   int                   // number of unproven runs of suspect tasks
	reservedFor   *workload.Step        // step with suspect tasks for which the worker is reserved
	reservedUntil time.Time
	unstableUntil time.Time // its host crashed shortly before
}

// addWorker starts tracking an incarnation. Until the leases of earlier leaders have certainly expired, the worker
// counts as holding one.
func (d *Dispatcher) addWorker(incarnation *workload.Worker) {
	if d.workers[incarnation.GetNumber()] != nil {
		return
	}
	address, err := netip.ParseAddrPort(incarnation.GetAddress())
	if err != nil {
		d.config.Log.Error(err, "worker has no usable address", "Worker", incarnation.GetId(), "Address", incarnation.GetAddress())
		return
	}
	w := &worker{incarnation: incarnation, address: address, addedAt: d.now, nextPoll: d.now, belowTargetAt: d.now, speed: fullSpeed, images: map[image]int{}, blames: map[string][]imagepair.Blame{}, quietSince: d.now, bestEffortSeen: map[string]time.Time{}}
	d.initLease(w)
	w.unstableUntil = d.unstableUntil(incarnation.GetAddress())
	d.workers[incarnation.GetNumber()] = w
	d.orderedWorkers = append(d.orderedWorkers, w) // stays sorted, as incarnation numbers increase
	for _, key := range slices.SortedFunc(maps.Keys(incarnation.Runs), workload.RunKey.Compare) {
		task := incarnation.Runs[key]
		r := d.addRun(key, task, w)
		r.inherited, r.speed = true, unknownSpeed
		if !task.IsStartAnswered(key.Run) {
			r.lastOrderedAt = d.leadingSince
		}
		r.recentUntil = d.recentUntil(r)
	}
	d.inheritRestart(w)
}

// incarnationChanged updates the soft state after a committed change of an incarnation. leavesAt is the earliest time at
// which a leaving worker terminates, or zero.
func (d *Dispatcher) incarnationChanged(number uint32, leavesAt time.Time) {
	d.dropEnded()
	incarnation := d.state.Worker(number)
	if incarnation == nil {
		return
	}
	isNew := d.workers[number] == nil
	d.addWorker(incarnation)
	w := d.workers[number]
	if w != nil && isNew {
		d.awaitFirstAnswer(w)
	}
	if w != nil && incarnation.GetLeaving() {
		w.observeLeavesAt(leavesAt)
	}
	if w != nil && incarnation.GetReusesId() && !w.reusesID {
		w.reusesID = true
		d.countForeignLeases(w)
	}
	d.config.Log.Info("worker changed", "Worker", incarnation.GetId(), "Number", number, "Zone", incarnation.GetZone(), "Address", incarnation.GetAddress(),
		"Leaving", incarnation.GetLeaving(), "LeavesIn", untilLeave(d.now, leavesAt).String(), "Processors", incarnation.GetProcessors())
}

// untilLeave returns the time until a worker may terminate, or 0 if it isn't known to leave.
func untilLeave(now, leavesAt time.Time) time.Duration {
	if leavesAt.IsZero() {
		return 0
	}
	return leavesAt.Sub(now)
}

// observeLeavesAt notes when an announced worker terminates, if it is leaving. A late announcement gives too late a time, so that
// the earliest one counts.
func (w *worker) observeLeavesAt(at time.Time) {
	if !at.IsZero() && (w.leavesAt.IsZero() || at.Before(w.leavesAt)) {
		w.leavesAt = at
	}
}

// dropEnded removes the workers whose incarnation has ended in the replicated state.
func (d *Dispatcher) dropEnded() {
	d.dirty = true
	var ended []*worker
	for _, w := range d.orderedWorkers {
		if number := w.incarnation.GetNumber(); d.state.Worker(number) == nil {
			d.acknowledgeLeave(w)
			delete(d.workers, number)
			ended = append(ended, w)
		}
	}
	if len(ended) == 0 {
		return
	}
	d.orderedWorkers = slices.DeleteFunc(d.orderedWorkers, func(w *worker) bool { return d.workers[w.incarnation.GetNumber()] == nil })
	for _, w := range ended {
		for _, r := range slices.Clone(w.runs) {
			d.forgetRun(r.key, r)
		}
	}
}

// endIncarnation proposes the end of an incarnation. The ends are those of its runs that a later incarnation reported.
func (d *Dispatcher) endIncarnation(w *worker, reason string, ends ...*controlpb.EndedRun) {
	if w.ending {
		return
	}
	w.ending = true
	d.config.Count("WorkersLost")
	if w.crashed {
		d.config.Count("WorkersCrashed")
	}
	suspects := d.crashSuspects(w)
	d.rememberLoss(w)
	d.config.Log.Info("worker lost", "Worker", w.incarnation.GetId(), "Reason", reason, "Crashed", w.crashed, "SinceLastReply", d.silenceOf(w).String(), "Replied", !w.lastAnswer.IsZero(), "Runs", len(w.incarnation.Runs),
		"Suspects", suspectNames(suspects))
	change := &controlpb.WorkChange{Kind: &controlpb.WorkChange_EndLife{EndLife: &controlpb.EndLife{
		Number: w.incarnation.GetNumber(), Ends: ends, Suspects: suspects, Crashed: w.crashed, Explained: len(w.unproven) > 0,
	}}}
	d.propose(change, func(result *controlpb.Result) {
		if result == nil {
			w.ending = false
			return
		}
		d.logGivenUp(suspects)
		d.dropEnded()
	})
}

// endCrashed proposes the end of an incarnation that a later one has replaced. Unless it was to end, it has crashed.
func (d *Dispatcher) endCrashed(w *worker, reason string, ends ...*controlpb.EndedRun) {
	w.crashed = !w.incarnation.GetLeaving() && !w.terminating && !d.isDraining(w)
	d.endIncarnation(w, reason, ends...)
}

// tickWorkers sends the polls that are due and ends the incarnations of unresponsive workers whose leases have expired.
func (d *Dispatcher) tickWorkers() {
	d.hasUnboundCalls = d.state.HasUnboundCalls()
	losses := 0
	for _, w := range d.orderedWorkers {
		wasEnding, isLost := w.ending, d.isLost(w)
		switch {
		case losses >= maxLossesPerScan:
		case w.terminating && w.incarnation.GetLeaving() && len(w.incarnation.Runs) == 0:
			d.endIncarnation(w, "it terminates and runs nothing")
		case isLost:
			d.endIncarnation(w, "its lease has expired")
		case d.isSilent(w) && d.dropSettled(w):
			losses++
		}
		if w.ending && !wasEnding {
			losses++
		}
		d.tickIncarnationCheck(w)
		d.tickPause(w)
		if !d.now.Before(w.leaveAckBy) {
			d.acknowledgeLeave(w)
		}
		if w.superseded || w.mayHaveRestarted && (w.leaseWithheld || w.restartSeen || d.now.Sub(w.checkedSince) > restartRecordDelay) {
			d.recordRestart(w) // a later incarnation may hold a lease that a record of this one doesn't cover
		}
		if w.pendingPoll != nil || w.recordingEnds || w.ending || isLost || d.now.Before(w.nextPoll) {
			continue
		}
		if w.superseded {
			d.pollSuccessor(w)
		} else {
			d.poll(w)
		}
	}
	for r := range d.allRuns() {
		d.tickRun(r)
	}
}

// isLost reports whether an unresponsive worker runs nothing any more, nor does a later incarnation that is known of.
func (d *Dispatcher) isLost(w *worker) bool {
	return d.isSilent(w) && !d.hasOpenStarts(w)
}

// isSilent reports whether a worker doesn't answer and its lease has expired.
func (d *Dispatcher) isSilent(w *worker) bool {
	return d.now.After(w.leaseExpires) && d.silenceOf(w) > unresponsiveAfter && !w.superseded
}

// silenceOf returns how long a worker hasn't answered this leader, counted at most since the leader tracks it.
func (d *Dispatcher) silenceOf(w *worker) time.Duration {
	return min(d.now.Sub(w.lastAnswer), d.now.Sub(w.addedAt))
}

// poll asks a worker for its runs and ends, and extends its lease. It acknowledges only ends that the newest answer has
// listed: a later incarnation under the same ID would discard its own ends up to the acknowledged number.
func (d *Dispatcher) poll(w *worker) {
	call := d.newCall(order.Poll, w)
	if call.Urgent = d.isStoppingLasting(w); call.Urgent {
		call.ExpediteEnds()
	}
	if !d.withholdsEnds(w) {
		call.RecordedEnds = min(w.listedEnds, w.incarnation.GetEndsSeen())
	}
	if w.missedCalls == 0 && !w.leaseWithheld && !w.clockReadAt.IsZero() && w.checkedSince.IsZero() && !w.pollAtOnce {
		call.Wait = pollWait
		if w.pollOften {
			call.Wait = shortPollWait
		}
		if w.suspectRuns > 0 {
			call.Wait = provenAfter
		}
	}
	w.pollAtOnce = false
	if len(w.incarnation.Runs) > 0 {
		call.LeaseExpiry = d.extendLease(w)
	}
	w.pendingPoll = call
	d.config.WorkerCalls.Send(call)
}

// withholdsEnds reports whether no end may be acknowledged, because a later incarnation may have ended a run that was ordered since the
// newest list of this one: it would forget that end. A start that was answered without a sign of a restart has reached this one. A worker
// with an open start at each poll gets an acknowledgement now and then.
func (d *Dispatcher) withholdsEnds(w *worker) bool {
	if w.mayHaveRestarted || w.missedCalls > 0 {
		return true
	}
	if d.hasUnlistedStart(w) {
		if w.withholdingPolls == 0 {
			w.endsWithheldSince = d.now
		}
		if d.now.Sub(w.endsWithheldSince) < maxWithheld || w.withholdingPolls < maxWithholdingPolls {
			w.withholdingPolls++
			return true
		}
	}
	w.withholdingPolls = 0
	return false
}

// hasUnlistedStart reports whether a start that was ordered since the newest list of a worker's runs has no answer.
func (d *Dispatcher) hasUnlistedStart(w *worker) bool {
	for r := range w.liveRuns() {
		if r.lastOrderedAt.After(w.listedAt) && (r.startPending || r.startUnanswered && r.acknowledgedAt.IsZero()) {
			return true
		}
	}
	return false
}

// pollDelayAfter returns the delay from a worker's answer to the next poll.
func (d *Dispatcher) pollDelayAfter(w *worker) time.Duration {
	if w.dedicatedTasks > 0 || d.isStoppingLasting(w) {
		return urgentPollDelay
	}
	return min(maxPollDelay, pollDelay*time.Duration(max(pollDelayWorkers, len(d.workers)))/pollDelayWorkers)
}

// isStoppingLasting reports whether a lasting run is being stopped on a worker. Others wait for its room.
func (d *Dispatcher) isStoppingLasting(w *worker) bool {
	for r := range w.liveRuns() {
		if r.stopRequested && !r.ended && isLasting(r.task.Step) {
			return true
		}
	}
	return false
}

// newCall returns a call to a worker under this leader's epoch.
func (d *Dispatcher) newCall(kind order.Kind, w *worker) *order.Call {
	return &order.Call{
		Kind: kind, Incarnation: w.incarnation.GetNumber(), ID: w.incarnation.GetId(), IncarnationStartMs: w.incarnation.GetBornMs(), Address: w.address, Epoch: d.epoch,
		Fence: d.fence(w), Sent: d.now,
	}
}

// fence returns the fencing token of calls to a worker. It increases with each leader and, under one leader, with each
// incarnation, so that a later incarnation that has been called rejects orders for an earlier one. Odd tokens are used
// while the end of an incarnation is being settled.
func (d *Dispatcher) fence(w *worker) uint64 {
	fence := d.epoch<<fenceBits | uint64(w.incarnation.GetNumber())<<1
	if w.superseded {
		fence |= 1
	}
	return fence
}

// fenceBits is the number of low bits of a fencing token that encode the incarnation, which suffices for half a million
// of them. Tokens remain exact as floating-point numbers for eight billion leaders.
const fenceBits = 20

// free returns what the runs and proposed runs of a worker leave of its capacity.
func (w *worker) free() resource.Vector { return w.incarnation.Capacity().Sub(w.used) }

// isUsable reports whether a worker may get new runs.
func (d *Dispatcher) isUsable(w *worker) bool {
	return d.isStaying(w) && !w.clockReadAt.IsZero() && w.checkedSince.IsZero() && !w.hasOrphans && w.missedCalls == 0 && w.rejectedPolls == 0 && !w.fenced && !w.leaseWithheld &&
		d.now.Sub(w.lastAnswer) < unresponsiveAfter && !d.isQuarantined(w)
}

// isQuarantined reports whether a worker gets no new runs because it has rejected a call or failed runs.
func (d *Dispatcher) isQuarantined(w *worker) bool {
	return d.now.Before(w.quarantinedUntil) || d.now.Before(w.failingUntil)
}

// isStaying reports whether a worker is expected to get new runs again, though it may not be usable for the moment.
func (d *Dispatcher) isStaying(w *worker) bool {
	return !w.ending && !w.superseded && !w.terminating && !w.incarnation.GetLeaving() &&
		!d.state.IsZoneOut(w.incarnation.GetZone()) && !d.isDraining(w)
}

// handleAnswer handles the answer to a call. Answers to calls of an earlier epoch are dropped.
func (d *Dispatcher) handleAnswer(a *order.Answer) {
	if a.Call.Epoch != d.epoch {
		return
	}
	switch a.Call.Kind {
	case order.Advise:
		d.handleAdvice(a)
		return
	case order.ListHosts:
		d.handleHostList(a)
		return
	case order.Maintain:
		d.handleMaintain(a)
		return
	}
	if a.Call.Incarnation == 0 {
		d.handleFencedOff(a)
		return
	}
	if a.Rerouted {
		d.config.Count("ConnectionsRerouted")
		d.config.Log.Info("connection has led to two incarnations", "Worker", a.Call.ID, "Address", a.Call.Address.String(), "IncarnationStartMs", a.RespondentStartMs)
	}
	w := d.workers[a.Call.Incarnation]
	if w == nil {
		return
	}
	d.observeAnswer(w, a)
	if a.Call.Kind == order.Poll {
		d.handlePoll(w, a)
		return
	}
	r := d.runs[a.Call.Run]
	if r == nil || r.worker != w {
		return
	}
	switch a.Call.Kind {
	case order.Start:
		d.handleStart(r, a)
	case order.Stop:
		d.handleStop(r, a)
	case order.SetSpeed:
		d.handleSpeed(r, a)
	}
}

// observeAnswer updates a worker's liveness, incarnation and clock from an answer of any kind.
func (d *Dispatcher) observeAnswer(w *worker, a *order.Answer) {
	switch a.Status {
	case order.NoAnswer:
		if a.Unstarted {
			return
		}
		w.missedCalls++
		if w.missedCalls == 1 {
			d.config.Log.Info("worker doesn't answer", "Worker", w.incarnation.GetId(), "Call", a.Call.Kind.String(), "Error", errorText(a.Err))
		}
		return
	case order.OtherIncarnation:
		if a.IncarnationStartMs != 0 {
			if a.IncarnationStartMs < w.incarnation.GetBornMs() {
				d.lastAnnouncements[w.incarnation.GetId()] = announcementVersion{} // the announcement of this incarnation was false
			}
			d.supersede(w)
		} else {
			d.endCrashed(w, "another incarnation answers at its address")
		}
		return
	case order.Fenced:
		d.observeFenced(w)
		return
	case order.Unhealthy:
		w.quarantinedUntil = d.now.Add(unhealthyQuarantine)
		if a.Call.Kind == order.Poll {
			w.rejectedPolls++
		}
		if w.rejectedPolls > 0 {
			return // only an accepted poll shows that it is there
		}
	default:
		if a.Call.Kind == order.Poll {
			w.rejectedPolls = 0
		}
	}
	w.missedCalls = 0
	if !w.superseded {
		w.lastAnswer = d.now
		if w.hasRestarted(a) {
			w.restartSeen = true // false announcements don't show this: record it without delay
			d.checkRestart(w)
		}
	}
	if w.clockReadAt.IsZero() {
		d.countForeignLeases(w) // from now on it rejects calls for earlier incarnations
	}
	if a.Clock > 0 && !a.Received.Before(w.clockReadAt) {
		w.workerClock, w.clockReadAt = a.Clock, a.Received
	}
}

// hasRestarted reports whether an answer comes from a later incarnation of the worker, because its clock is behind that of this one.
// Only answers to polls tell the incarnation.
func (w *worker) hasRestarted(a *order.Answer) bool {
	if a.Clock == 0 || w.clockReadAt.IsZero() {
		return false
	}
	elapsed, rate := a.Call.Sent.Sub(w.clockReadAt), 1-maxClockDrift
	if elapsed < 0 { // answers may overtake each other
		rate = 1 + maxClockDrift
	}
	return a.Clock+clockResolution < w.workerClock+time.Duration(float64(elapsed)*rate)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
