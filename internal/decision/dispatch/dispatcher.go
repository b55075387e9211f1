// Package dispatch implements the leader's scheduler for multi-step jobs: it admits jobs, assigns their tasks to
// workers, starts and stops runs, and renews the workers' leases.
//
// A Dispatcher is deterministic and does no I/O: calls leave through WorkerCalls, and their answers come back through
// Mailbox. Its state is lost with the leader; what must survive a change of leader is proposed as a change of
// workload.State and acted upon once it is committed. A Dispatcher that doesn't lead only notes when its replica has applied the
// records of leases.
package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/allotment"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/decision/coordinator"
	"galenamoor/internal/decision/fairshare"
	"galenamoor/internal/decision/headroom"
	"galenamoor/internal/decision/imagepair"
	"galenamoor/internal/decision/occupancy"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
	"galenamoor/pkg/resource"
)

// WorkerCalls sends calls to workers, the advice service and the platform. Send doesn't block; each call is answered exactly
// once, through the Mailbox.
type WorkerCalls interface {
	Send(call *order.Call)
	// QueuedStarts returns the number of start calls that wait to be sent.
	QueuedStarts() int
}

// Mailbox buffers the answers to calls until the next Tick. TakeAnswers returns them and empties the mailbox.
type Mailbox interface {
	TakeAnswers() []*order.Answer
	Empty() bool
	// HasUrgent reports whether one of the answers is urgent.
	HasUrgent() bool
}

// Config holds the dependencies and settings of a Dispatcher.
type Config struct {
	State       func() *workload.State
	WorkerCalls WorkerCalls
	Mailbox     Mailbox
	Limits      Limits
	// BoundCalls tells that WorkerCalls delivers bound calls (order.Call.IsBound) to no other incarnation of a worker than the one that they
	// name, however late, even if another one has its ID and address by then.
	BoundCalls bool
	// LeaseValid reports whether the leader lease is valid. Worker leases are extended only while it is.
	LeaseValid func(now time.Time) bool
	// Wall returns the wall-clock time, against which the start times of jobs are compared.
	Wall func() time.Time
	Log  logr.Logger
	// Count counts an event by name, for metrics.
	Count func(name string)
	// Observe records a duration by name, for metrics.
	Observe func(name string, took time.Duration)
}

// Limits are bounds that the workers and the platform enforce or rely on.
type Limits struct {
	MaxLease            time.Duration // longest lease that a worker accepts
	StopGrace           time.Duration // within which a stopped run ends
	GangTimeout         time.Duration // that a member of a gang waits for the others
	RestoreTime         time.Duration // to resume from a checkpoint
	MaxOverTarget       time.Duration // longest time that a serving task may exceed its latency target because of best-effort tasks
	MaintenanceHandover time.Duration // after a change of leader, before the new leader may order host maintenance
	RemoteRuntimeFactor float64       // by which a task runs longer outside the rack that holds its data
}

const (
	// passInterval is the time between two scheduling passes when nothing has changed, for decisions that depend on time
	// alone.
	passInterval = 100 * time.Millisecond

	// passSpacing is the shortest time between two passes, times the square of the number of steps with waiting tasks, and
	// maxPassSpacing the most. A pass takes longer the more steps wait, and with hundreds of them, passes after each answer would delay
	// the calls to workers. With few, a pass at once starts the next steps of jobs sooner. With thousands of steps, passes are at least
	// stepSpacing apart for each of them.
	passSpacing    = 250 * time.Nanosecond
	maxPassSpacing = 50 * time.Millisecond
	stepSpacing    = 10 * time.Microsecond

	// scanInterval is the time between two scans of all workers and runs for due calls and expired leases.
	scanInterval = 25 * time.Millisecond

	// maxLossesPerScan bounds the workers that one scan declares lost, so that a scan and the commit of its changes take far
	// less than a heartbeat interval.
	maxLossesPerScan = 16

	// batchChanges bounds the changes in one log entry, so that applying an entry takes far less than a heartbeat
	// interval.
	batchChanges = 500
)

// proposal is a change that is queued for a batch, or proposed and not yet committed.
type proposal struct {
	change *controlpb.WorkChange
	// onDecided is called with the change's result, or with nil if it is unknown whether the change takes effect.
	onDecided func(result *controlpb.Result)
}

// Dispatcher is the leader's scheduler and its soft state. It is not safe for concurrent use.
type Dispatcher struct {
	config       Config
	state        *workload.State
	now          time.Time
	leading      bool
	epoch        uint64    // of this leader; 0 until it is committed
	epochPending bool      // the epoch is proposed and not yet decided
	leadingSince time.Time // when this leader started leading

	withheldAt   map[*controlpb.WithholdLease]time.Time // by when the records of withheld leases were proposed, as observed also while this replica didn't lead
	leaseChanges uint64                                 // workload.State.LeaseChanges as of withheldAt
	observed     *workload.State                        // to which withheldAt belongs

	newestEpoch           *controlpb.BeginEpoch // as last observed, also while this replica didn't lead
	newestEpochAt         time.Time             // by when it was proposed at the latest
	inheritedLeasesExpire time.Time             // every lease of an earlier leader has expired by then
	hasUnboundCalls       bool                  // workload.State.HasUnboundCalls as of the last scan

	assignmentMarks  []assignmentMark               // of this leader's epoch, oldest first, without those that don't matter any more
	openAssignments  []uint64                       // numbers of those of this leader's epoch that aren't settled, oldest first
	newestAssignment uint64                         // as of openAssignments
	newestAnswered   uint64                         // number of the newest assignment that an answer has settled
	toldAnswers      *controlpb.AnsweredAssignments // as last proposed
	answersToldAt    time.Time                      // when that was proposed

	toldAt             time.Time // of the newest batch
	untoldSince        time.Time // since when there are answered assignments to tell; zero if there are none
	recordsMatterUntil time.Time // until when this leader tells the time, as the leases that it or an earlier one has recorded expire by then

	workers           map[uint32]*worker
	orderedWorkers    []*worker // the values of workers by incarnation number, for decisions that must not depend on map order
	runs              map[workload.RunKey]*run
	assigning         map[workload.TaskKey]bool                  // tasks whose next run is proposed and not yet committed
	checkpoints       map[workload.TaskKey]string                // by unitKey
	migrations        map[workload.TaskKey]int                   // number of times that a straggling task was stopped to run elsewhere
	failures          map[workload.TaskKey]map[*worker]time.Time // when a run last failed on a worker; by unitKey
	lastAnnouncements map[string]announcementVersion
	runtimes          *runtimeStats
	headroom          *headroom.Estimator // for dedicated tasks
	interference      *imagepair.Ledger
	allotments        *allotment.Ledger          // use of the client accounts
	submissions       *fairshare.Meter           // of the client accounts
	reservedNeeds     map[string]resource.Vector // see reservedNeed; nil if it isn't known

	losses         []loss                         // recently lost workers, oldest first
	isolationWaits map[workload.TaskKey]time.Time // since when suspect tasks wait for a quiet worker; by unitKey
	reservations   map[*workload.Step]time.Time   // until when a worker is reserved for the suspect tasks of a step

	holds       map[*workload.Step][]*worker // workers on which room is held for waiting tasks of a step
	holdRetries map[*workload.Step]time.Time // earliest next search of a step for which no host was found
	relocations relocationState

	fruitless      map[*workload.Step]bool      // steps for which hosts were rated in vain since a pass last reached all steps
	deferred       map[*workload.Step]time.Time // until when best-effort steps for which hosts were rated in vain are left out
	vainRatings    int                          // hosts that the current pass has rated in vain for best-effort steps
	windows        stepWindows                  // the steps that passes try, of jobs with many
	unreached      []candidate                  // the steps that the last pass didn't reach
	lastCandidates []candidate                  // the steps of the last pass, most urgent first
	vacated        []*worker                    // on which runs have released room since the last pass or refill
	unreachedCause occupancy.Cause

	victimless map[*workload.Step]time.Time // earliest next search for steps for which no run could be preempted

	trials               map[trial]int // number of hosts on which each trial is under way
	leastUrgent          int32         // priority of the least urgent preemptible run
	leastUrgentDedicated int32         // the same among runs with dedicated processors
	advices              map[*workload.Step]*advice
	adviceCalls          int // pending calls to the advice service
	maintenance          maintenanceState
	recordingMaintained  map[maintainedKey]bool // hosts whose record in a wave is proposed

	outbox          []proposal // changes to propose by the next flush
	proposed        map[*controlpb.Command][]proposal
	submitting      map[string][]*controlpb.LeaderRequest // requests whose job is proposed, by job ID
	submittingLoad  int                                   // of these jobs, see workload.Load
	unauthenticated lineLimit                             // of requests without a known key
	withdrawing     map[string][]*controlpb.CancelWork    // proposed cancellations of unknown jobs, by ID
	openZoneOrders  map[string]int                        // number of orders on each zone that are proposed and not yet decided
	announced       map[string]bool                       // workers whose change of incarnation is proposed
	replies         []coordinator.DeferredReply           // to return by TakeReplies
	pendingRequests map[*controlpb.LeaderRequest]uint64   // requests that wait for a deferred reply, numbered as they came
	awaitedReplies  uint64                                // number of the newest of these

	dirty           bool  // something has changed since the last pass
	keepsEmptyHosts bool  // serving tasks leave hosts without serving tasks to dedicated tasks, as of the last pass
	ratingBudget    int   // hosts that the current pass may still rate
	visitBudget     int   // hosts and tasks that it may still look at
	victimBudget    int   // of ratingBudget, those that it may still rate for preemptions
	mostProcessors  int64 // that a host had free when the current pass began
	holdSearches    int   // steps for which the current pass may still search for hosts to hold
	nextPass        time.Time
	earliestPass    time.Time
	nextScan        time.Time // of all workers and runs
	nextSpeculation time.Time
	reportedAt      time.Time // when the fleet was last logged
}

// New returns a Dispatcher that doesn't lead.
func New(config Config) *Dispatcher {
	d := &Dispatcher{config: config}
	d.reset()
	return d
}

func (d *Dispatcher) reset() {
	d.workers, d.orderedWorkers = map[uint32]*worker{}, nil
	d.runs = map[workload.RunKey]*run{}
	d.assigning = map[workload.TaskKey]bool{}
	d.checkpoints = map[workload.TaskKey]string{}
	d.migrations = map[workload.TaskKey]int{}
	d.failures = map[workload.TaskKey]map[*worker]time.Time{}
	d.lastAnnouncements = map[string]announcementVersion{}
	d.runtimes = newRuntimeStats()
	d.headroom = &headroom.Estimator{}
	d.interference = imagepair.New()
	d.allotments, d.reservedNeeds = allotment.New(), nil
	d.submissions = fairshare.New()
	d.losses = nil
	d.isolationWaits = map[workload.TaskKey]time.Time{}
	d.reservations = map[*workload.Step]time.Time{}
	d.holds, d.holdRetries = map[*workload.Step][]*worker{}, map[*workload.Step]time.Time{}
	d.relocations = newRelocationState()
	d.fruitless, d.victimless = map[*workload.Step]bool{}, map[*workload.Step]time.Time{}
	d.deferred = map[*workload.Step]time.Time{}
	d.unreached, d.unreachedCause = nil, ""
	d.lastCandidates, d.vacated = nil, nil
	d.windows = newStepWindows()
	d.trials = map[trial]int{}
	d.advices, d.adviceCalls = map[*workload.Step]*advice{}, 0
	d.maintenance = maintenanceState{draining: map[string]*drainingHost{}}
	d.recordingMaintained = map[maintainedKey]bool{}
	d.outbox = nil
	d.proposed = map[*controlpb.Command][]proposal{}
	d.submitting, d.submittingLoad = map[string][]*controlpb.LeaderRequest{}, 0
	d.withdrawing, d.openZoneOrders = map[string][]*controlpb.CancelWork{}, map[string]int{}
	d.unauthenticated = lineLimit{}
	d.announced = map[string]bool{}
	d.pendingRequests = map[*controlpb.LeaderRequest]uint64{}
	d.epoch, d.epochPending = 0, false
	d.assignmentMarks, d.toldAt, d.recordsMatterUntil = nil, time.Time{}, time.Time{}
	d.openAssignments, d.newestAssignment, d.newestAnswered = nil, 0, 0
	d.toldAnswers, d.answersToldAt, d.untoldSince = nil, time.Time{}, time.Time{}
}

// StartLeading starts leading from the applied state. It proposes a new epoch; workers are called once that is committed.
func (d *Dispatcher) StartLeading(now time.Time) {
	d.reset()
	d.now, d.leadingSince, d.leading = now, now, true
	d.state = d.config.State()
	d.observeLeases()
	d.inheritedLeasesExpire = now.Add(d.recordedLease(d.newestEpoch.GetLeaseMs()))
	if earlier := d.earlierLeasesExpire(); earlier.After(d.inheritedLeasesExpire) {
		d.inheritedLeasesExpire = earlier
	}
	d.tellTimeUntil(d.inheritedLeasesExpire)
	d.proposeEpoch()
}

// proposeEpoch proposes this leader's epoch.
func (d *Dispatcher) proposeEpoch() {
	d.epochPending = true
	epoch := &controlpb.BeginEpoch{
		LeaseMs: milliseconds(untilExpired(d.grantedLease())), EarlierLeaseMs: milliseconds(d.inheritedLeasesExpire.Sub(d.now)), BoundCalls: d.config.BoundCalls,
	}
	d.propose(&controlpb.WorkChange{Kind: &controlpb.WorkChange_BeginEpoch{BeginEpoch: epoch}},
		func(result *controlpb.Result) {
			d.epochPending = false
			if result != nil {
				d.beginEpoch(result.GetFence())
			}
		})
}

// awaitEpoch repeats the proposal of the epoch at intervals while it isn't accepted, as when too much is uncommitted.
func (d *Dispatcher) awaitEpoch() {
	d.dirty = false
	if d.now.Before(d.nextScan) {
		return
	}
	d.nextScan = d.now.Add(scanInterval)
	d.nextPass = d.nextScan
	if d.leading && !d.epochPending {
		d.proposeEpoch()
	}
}

// beginEpoch starts calling workers, and restores the learned interference between images.
func (d *Dispatcher) beginEpoch(epoch uint64) {
	d.epoch, d.nextScan = epoch, d.now
	d.newestAssignment = workload.AssignmentsBefore(epoch)
	d.hasUnboundCalls = d.state.HasUnboundCalls()
	d.observeAssignments()
	d.inheritCrashes()
	d.inheritSubmissions()
	d.config.Log.Info("leading", "Epoch", epoch, "Workers", len(d.state.Workers()), "Jobs", len(d.state.Jobs()),
		"Routing", d.state.Routing().GetVersion(), "EarlierLeasesExpireIn", d.inheritedLeasesExpire.Sub(d.now).String(), "RecentCrashes", len(d.losses))
	for _, incarnation := range d.state.Workers() {
		d.addWorker(incarnation)
		d.lastAnnouncements[incarnation.GetId()] = announcementVersion{
			incarnationStartMs: incarnation.GetBornMs(), sequence: incarnation.GetSequence(), receivedAt: d.now,
		}
	}
	d.inheritStops()
	d.logInherited()
	for _, pair := range d.state.ImagePairs() {
		d.interference.Restore(d.now, imagepair.Pair{Victim: pair.GetVictim(), Aggressor: pair.GetAggressor(), LogOdds: pair.GetOdds()})
	}
}

// StopLeading stops leading. Pending requests get the result RESULT_UNKNOWN, because their changes may still take effect
// under another leader.
func (d *Dispatcher) StopLeading() {
	if d.leading {
		d.config.Log.Info("stopped leading", "Epoch", d.epoch, "PendingRequests", len(d.pendingRequests))
	}
	for _, request := range slices.SortedFunc(maps.Keys(d.pendingRequests), func(a, b *controlpb.LeaderRequest) int {
		return cmp.Compare(d.pendingRequests[a], d.pendingRequests[b])
	}) {
		d.reply(request, unknown("the leader has changed"))
	}
	d.leading = false
	d.reset()
}

// Applied is called on every replica after it has applied commands. Changes of the other parts of the control state don't matter
// here.
func (d *Dispatcher) Applied(now time.Time, _ *controlstate.Changes) {
	d.now = now
	d.observeLeases()
	d.observeAssignments()
}

// observeLeases notes when this replica has applied the records of leases.
func (d *Dispatcher) observeLeases() {
	if state := d.config.State(); state != d.observed { // a snapshot was installed, which counts its changes anew
		d.observed, d.leaseChanges = state, 0
	}
	d.observeEpoch()
	d.observeWithheldLeases()
}

// HandleResult passes the results of a batch to the callbacks of its changes. A nil result means that the outcome is
// unknown.
func (d *Dispatcher) HandleResult(now time.Time, command *controlpb.Command, result *controlpb.Result) {
	d.now = now
	proposals := d.proposed[command]
	delete(d.proposed, command)
	for i, p := range proposals {
		var changeResult *controlpb.Result
		if result != nil && i < len(result.GetResults()) {
			changeResult = result.GetResults()[i]
		}
		p.onDecided(changeResult)
	}
	d.dirty = d.dirty || len(proposals) > 0 // a batch without changes gives no reason for a pass
}

// Tick handles the answers of workers and the timers, and returns the commands to propose.
func (d *Dispatcher) Tick(now time.Time) []*controlpb.Command {
	d.now = now
	if d.epoch == 0 {
		d.awaitEpoch()
	} else {
		for _, a := range d.config.Mailbox.TakeAnswers() {
			d.handleAnswer(a)
		}
		if !now.Before(d.nextScan) {
			d.nextScan = now.Add(scanInterval)
			d.tickWorkers()
			d.tickMaintenance()
		}
		if d.dirty && !now.Before(d.earliestPass) || !now.Before(d.nextPass) {
			d.dirty = false
			steps := time.Duration(d.pass())
			d.earliestPass = now.Add(min(steps*steps*passSpacing, max(maxPassSpacing, steps*stepSpacing)))
			d.nextPass = now.Add(max(passInterval, steps*stepSpacing))
		} else if len(d.vacated) > 0 {
			d.refill()
		}
	}
	return d.flush()
}

// NextDeadline returns the time at which Tick must be called next.
func (d *Dispatcher) NextDeadline() time.Time {
	if len(d.outbox)+len(d.vacated) > 0 || !d.config.Mailbox.Empty() {
		return d.now
	}
	pass := d.nextPass
	if d.dirty && d.earliestPass.Before(pass) {
		pass = d.earliestPass
		if pass.Before(d.now) { // also if there was no pass yet
			pass = d.now
		}
	}
	if d.nextScan.Before(pass) {
		return d.nextScan
	}
	return pass
}

// IsUrgent reports whether room has become free for which tasks may wait, so that Tick should be called soon.
func (d *Dispatcher) IsUrgent() bool { return len(d.vacated) > 0 || d.config.Mailbox.HasUrgent() }

// TakeReplies returns the deferred replies that have become available since the last call.
func (d *Dispatcher) TakeReplies(time.Time) []coordinator.DeferredReply {
	replies := d.replies
	d.replies = nil
	return replies
}

// awaitReply notes that a request waits for a deferred reply.
func (d *Dispatcher) awaitReply(request *controlpb.LeaderRequest) {
	d.awaitedReplies++
	d.pendingRequests[request] = d.awaitedReplies
}

// reply answers a pending request through TakeReplies.
func (d *Dispatcher) reply(request *controlpb.LeaderRequest, reply *controlpb.LeaderReply) {
	delete(d.pendingRequests, request)
	d.replies = append(d.replies, coordinator.DeferredReply{Request: request, Reply: reply})
}

// propose queues a change for the next batch.
func (d *Dispatcher) propose(change *controlpb.WorkChange, onDecided func(result *controlpb.Result)) {
	d.outbox = append(d.outbox, proposal{change: change, onDecided: onDecided})
}

// flush turns the queued changes into commands.
func (d *Dispatcher) flush() []*controlpb.Command {
	var batches []*controlpb.WorkBatch
	var batched [][]proposal
	for len(d.outbox) > 0 {
		proposals := d.outbox[:min(len(d.outbox), batchChanges)]
		d.outbox = d.outbox[len(proposals):]
		batch := &controlpb.WorkBatch{}
		for _, p := range proposals {
			batch.Changes = append(batch.Changes, p.change)
		}
		batches, batched = append(batches, batch), append(batched, proposals)
	}
	d.outbox = nil
	var commands []*controlpb.Command
	for i, batch := range d.tell(batches) {
		command := &controlpb.Command{Kind: &controlpb.Command_Work{Work: batch}}
		if i < len(batched) {
			d.proposed[command] = batched[i]
		}
		commands = append(commands, command)
	}
	return commands
}

func unknown(message string) *controlpb.LeaderReply {
	return &controlpb.LeaderReply{Result: &controlpb.Result{Code: controlpb.ResultCode_RESULT_UNKNOWN, Message: message}}
}

func unavailable(message string) *controlpb.LeaderReply {
	return &controlpb.LeaderReply{Result: &controlpb.Result{Code: controlpb.ResultCode_RESULT_UNAVAILABLE, Message: message}}
}

func workReply(reply *controlpb.WorkReply) *controlpb.LeaderReply {
	return &controlpb.LeaderReply{Result: &controlpb.Result{}, Work: reply}
}

func outcome(code controlpb.WorkOutcome) *controlpb.LeaderReply {
	return workReply(&controlpb.WorkReply{Outcome: code})
}
