// Package dispatch is the leader's soft state for jobs of several steps: it admits jobs, chooses workers for their tasks,
// orders workers to run and stop them, and keeps their leases.
//
// A Dispatcher is deterministic and does no I/O: calls leave through Orders, and their answers come back through Deliver.
// What must survive the leader is proposed as a change of workload.State and acted upon once it is committed.
package dispatch

import (
	"time"

	"github.com/go-logr/logr"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/decision/coordinator"
	"galenamoor/internal/decision/disturbance"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// Orders sends calls to workers. Send doesn't block; each call is answered once, through Deliver.
type Orders interface {
	Send(call *order.Call)
}

// Mailbox keeps answers of workers until the dispatcher looks.
type Mailbox interface {
	Take() []*order.Answer
	Empty() bool
}

// Config holds what a Dispatcher needs.
type Config struct {
	State   func() *workload.State
	Orders  Orders
	Mailbox Mailbox
	Limits  Limits
	// LeaseValid reports whether the leader lease is valid. Leases of workers are extended only then.
	LeaseValid func(now time.Time) bool
	// Wall returns the time of day, which the due times of jobs are in.
	Wall func() time.Time
	Log  logr.Logger
	// Count counts an event by name, for metrics.
	Count func(name string)
	// Observe records a duration by name, for metrics.
	Observe func(name string, took time.Duration)
}

// Limits are the promises between the system and its workers.
type Limits struct {
	LongestHold  time.Duration // of a lease
	StopGrace    time.Duration // within which a stopped run ends
	GangTimeout  time.Duration // that a member of a gang waits for the others
	RestoreTime  time.Duration // to resume from a checkpoint
	HarmTime     time.Duration // for which a serving task may exceed its bound because of fills
	TurnTime     time.Duration // after which another leader may give orders about a host
	RemoteFactor float64       // by which work far from its data takes longer
}

const (
	// passInterval is the time between two passes when nothing has changed, for what depends on time alone.
	passInterval = 100 * time.Millisecond

	// scanInterval is the time between two looks through all workers and runs for what is due.
	scanInterval = 25 * time.Millisecond

	// batchChanges bounds the changes of one log entry, so that an entry stays far below a heartbeat interval's work.
	batchChanges = 500
)

// item is a change that waits to be proposed or committed.
type item struct {
	change *controlpb.WorkChange
	// decided is told the result, or nil when it is unknown whether the change takes effect.
	decided func(result *controlpb.Result)
}

// Dispatcher is the leader's soft state. It is not safe for concurrent use.
type Dispatcher struct {
	config  Config
	state   *workload.State
	now     time.Time
	leading bool
	epoch   uint64 // of this leader; 0 until it is committed
	began   time.Time

	workers      map[uint32]*worker
	roster       []*worker // the same by number, for choices that don't depend on the order of a map
	runs         map[workload.RunKey]*run
	reserved     map[workload.TaskKey]bool // tasks whose next run is proposed
	saved        map[workload.TaskKey]string
	moves        map[workload.TaskKey]int // of tasks that were slow
	beats        map[string]beat
	learned      *learned
	disturbances *disturbance.Ledger

	trials           map[trial]int // hosts on which a fill is tried beside a serving image
	leastUrgent      int32         // priority of the least urgent run that can be stopped for another
	leastUrgentExact int32         // the same of runs that hold processors
	advices          map[*workload.Step]*advice
	advising         int // calls to the advice service under way
	waves            waves
	maintained       map[maintainedKey]bool // hosts of which a record is proposed

	outbox    []item
	proposed  map[*controlpb.Command][]item
	arriving  map[string][]*controlpb.LeaderRequest // submissions that are proposed, by job
	announced map[string]bool                       // workers whose change of life is proposed
	ready     []coordinator.Answer
	waiting   map[*controlpb.LeaderRequest]bool

	dirty      bool // something has changed since the last pass
	choices    int  // hosts that the current pass may still rate
	nextPass   time.Time
	nextScan   time.Time // of all workers and runs, for what is due
	nextCopies time.Time
	reported   time.Time // when the fleet was logged
}

// New returns a Dispatcher that doesn't lead.
func New(config Config) *Dispatcher {
	d := &Dispatcher{config: config}
	d.reset()
	return d
}

func (d *Dispatcher) reset() {
	d.workers, d.roster = map[uint32]*worker{}, nil
	d.runs = map[workload.RunKey]*run{}
	d.reserved = map[workload.TaskKey]bool{}
	d.saved = map[workload.TaskKey]string{}
	d.moves = map[workload.TaskKey]int{}
	d.beats = map[string]beat{}
	d.learned = newLearned()
	d.disturbances = disturbance.New()
	d.trials = map[trial]int{}
	d.advices, d.advising = map[*workload.Step]*advice{}, 0
	d.waves = waves{taken: map[string]*takenHost{}}
	d.maintained = map[maintainedKey]bool{}
	d.outbox = nil
	d.proposed = map[*controlpb.Command][]item{}
	d.arriving = map[string][]*controlpb.LeaderRequest{}
	d.announced = map[string]bool{}
	d.waiting = map[*controlpb.LeaderRequest]bool{}
	d.epoch = 0
}

// Lead starts leading with the applied state.
func (d *Dispatcher) Lead(now time.Time) {
	d.reset()
	d.now, d.began, d.leading = now, now, true
	d.state = d.config.State()
	d.propose(&controlpb.WorkChange{Kind: &controlpb.WorkChange_BeginEpoch{BeginEpoch: &controlpb.BeginEpoch{}}},
		func(result *controlpb.Result) {
			if result != nil {
				d.beginEpoch(result.GetFence())
			}
		})
}

// beginEpoch starts to call workers.
func (d *Dispatcher) beginEpoch(epoch uint64) {
	d.epoch = epoch
	d.config.Log.Info("leading", "Epoch", epoch, "Workers", len(d.state.Workers()), "Jobs", len(d.state.Jobs()),
		"Routing", d.state.Routing().GetVersion())
	for _, life := range d.state.Workers() {
		d.addWorker(life)
	}
	for _, known := range d.state.Pairs() {
		d.disturbances.Restore(d.now, disturbance.Pair{Victim: known.GetVictim(), Aggressor: known.GetAggressor(), Odds: known.GetOdds()})
	}
}

// Stop stops leading. What was asked for and isn't decided may take effect under another leader.
func (d *Dispatcher) Stop() {
	if d.leading {
		d.config.Log.Info("not leading any more", "Epoch", d.epoch, "Undecided", len(d.waiting))
	}
	for request := range d.waiting {
		d.answer(request, unknown("the leader has changed"))
	}
	d.leading = false
	d.reset()
}

// Applied takes changes of other parts of the control state, none of which matter here.
func (d *Dispatcher) Applied(now time.Time, _ *controlstate.Changes) { d.now = now }

// Decided tells the proposers of a batch what became of it.
func (d *Dispatcher) Decided(now time.Time, command *controlpb.Command, result *controlpb.Result) {
	d.now = now
	items := d.proposed[command]
	delete(d.proposed, command)
	for i, it := range items {
		var one *controlpb.Result
		if result != nil && i < len(result.GetResults()) {
			one = result.GetResults()[i]
		}
		it.decided(one)
	}
	d.dirty = true
}

// Tick handles answers of workers and timers, and returns the changes to propose.
func (d *Dispatcher) Tick(now time.Time) []*controlpb.Command {
	d.now = now
	if d.epoch != 0 {
		for _, a := range d.config.Mailbox.Take() {
			d.deliver(a)
		}
		if !now.Before(d.nextScan) {
			d.nextScan = now.Add(scanInterval)
			d.tickWorkers()
			d.tickWaves()
		}
		if d.dirty || !now.Before(d.nextPass) {
			d.dirty = false
			d.nextPass = now.Add(passInterval)
			d.pass()
		}
	}
	return d.flush()
}

// NextDeadline returns when Tick has something to do.
func (d *Dispatcher) NextDeadline() time.Time {
	if len(d.outbox) > 0 || d.dirty || !d.config.Mailbox.Empty() {
		return d.now
	}
	if d.nextScan.Before(d.nextPass) {
		return d.nextScan
	}
	return d.nextPass
}

// Ready returns answers to requests that waited.
func (d *Dispatcher) Ready(time.Time) []coordinator.Answer {
	ready := d.ready
	d.ready = nil
	return ready
}

func (d *Dispatcher) answer(request *controlpb.LeaderRequest, reply *controlpb.LeaderReply) {
	delete(d.waiting, request)
	d.ready = append(d.ready, coordinator.Answer{Request: request, Reply: reply})
}

// propose queues a change for the next batch.
func (d *Dispatcher) propose(change *controlpb.WorkChange, decided func(result *controlpb.Result)) {
	d.outbox = append(d.outbox, item{change: change, decided: decided})
}

// flush returns what is queued as commands.
func (d *Dispatcher) flush() []*controlpb.Command {
	var commands []*controlpb.Command
	for len(d.outbox) > 0 {
		items := d.outbox[:min(len(d.outbox), batchChanges)]
		d.outbox = d.outbox[len(items):]
		batch := &controlpb.WorkBatch{}
		for _, it := range items {
			batch.Changes = append(batch.Changes, it.change)
		}
		command := &controlpb.Command{Kind: &controlpb.Command_Work{Work: batch}}
		d.proposed[command] = items
		commands = append(commands, command)
	}
	d.outbox = nil
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
