// Package controlstate holds the replicated control state: a deterministic state machine over controlpb.Command.
//
// Every replica applies the same commands in the same order and arrives at the same state. The state machine reads no
// clock; time advances only with the proposal times recorded in commands and never runs backwards. Every invariant is
// checked when a command is applied, independently of the state in which it was proposed.
//
// Records that View shares with other goroutines (Task, Job, Worker, Endpoint) are replaced, never modified. They are kept
// in copy-on-write B-trees, so that the cost of a View does not depend on the number of tasks.
package controlstate

import (
	"time"

	"github.com/google/btree"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// Limits on the size of the state. A command that would exceed one is refused as unavailable, so that memory stays bounded.
const (
	// MaxTasks bounds the tasks of all jobs, including ended tasks that are still retained.
	MaxTasks = 1 << 18
	// MaxKeys bounds the retained request keys of operators, each stored with its first result.
	MaxKeys = 1 << 16
	// MaxIntents bounds the retained intents of non-repeatable calls. With a retention of 10 minutes it allows about 400
	// calls per second.
	MaxIntents = 1 << 18
	// MaxEndpoints bounds the announced endpoints.
	MaxEndpoints = 1 << 16
	// MaxSlots bounds the slots and the connections of one endpoint.
	MaxSlots = 1 << 16
)

// Retention times, measured in recorded time.
const (
	// KeyRetention is how long request keys and intents are kept.
	KeyRetention = 10 * time.Minute
	// KeySkew is how far the time in a request key may lie ahead of the recorded time. Intents are kept this much longer
	// than KeyRetention, so that a key is refused as expired before its intent is removed.
	KeySkew = time.Minute
	// JobRetention is how long a finished job is kept. Finished jobs of the inventory are kept as long as it lists them,
	// because the next configuration would otherwise run them again.
	JobRetention = time.Hour
)

// btreeDegree gives nodes of at most 31 items, so that copy-on-write after a View copies little.
const btreeDegree = 16

// State is the control state of one replica. It is not safe for concurrent use; other goroutines read it through View.
type State struct {
	index   uint64 // of the last applied command
	time    int64  // largest proposal time applied, unix nanoseconds
	version uint64 // of the configuration
	config  *configuration
	zones   map[string]zoneState

	jobs               *btree.BTreeG[*Job]
	tasks              *btree.BTreeG[*Task]
	workload           *workload.State
	workers            *btree.BTreeG[*Worker]
	endpoints          *btree.BTreeG[*Endpoint]
	tasksByWorker      map[string][]TaskID            // tasks charged to each worker
	endpointsByService map[string]map[string]struct{} // endpoint names by service
	goneEndpoints      map[string]struct{}            // endpoints without slots and without grants, which ExpireKeys removes
	finishedJobs       *btree.BTreeG[*Job]            // finished jobs that the inventory does not list, ordered by Finished

	keys        map[string]keyRecord
	keyQueue    timeQueue[string]
	intents     map[string]intent
	intentQueue timeQueue[string]

	nextFence uint64
	nextEpoch uint64

	// Reused B-tree search keys, so that lookups do not allocate.
	jobKey    *Job
	taskKey   Task
	workerKey Worker

	changes changeLog
	views   viewCache
}

// New returns an empty state at configuration version 0.
func New() *State {
	return &State{
		config:             emptyConfiguration(),
		zones:              map[string]zoneState{},
		jobs:               btree.NewG(btreeDegree, func(a, b *Job) bool { return a.Name() < b.Name() }),
		tasks:              btree.NewG(btreeDegree, func(a, b *Task) bool { return a.ID.less(b.ID) }),
		workers:            btree.NewG(btreeDegree, func(a, b *Worker) bool { return a.Name < b.Name }),
		endpoints:          btree.NewG(btreeDegree, func(a, b *Endpoint) bool { return a.Name < b.Name }),
		tasksByWorker:      map[string][]TaskID{},
		endpointsByService: map[string]map[string]struct{}{},
		goneEndpoints:      map[string]struct{}{},
		finishedJobs:       btree.NewG(btreeDegree, finishedBefore),
		keys:               map[string]keyRecord{},
		intents:            map[string]intent{},
		nextFence:          1,
		nextEpoch:          1,
		jobKey:             newJobKey(""),
		views:              newViewCache(),
		workload:           workload.New(),
	}
}

// Workload returns the state of multi-step jobs. Like s, it is not safe for concurrent use.
func (s *State) Workload() *workload.State { return s.workload }

// Index returns the index of the last applied command.
func (s *State) Index() uint64 { return s.index }

// Time returns the recorded time: the largest proposal time of the applied commands.
func (s *State) Time() time.Time { return time.Unix(0, s.time) }

// Version returns the version of the active configuration.
func (s *State) Version() uint64 { return s.version }

// Apply applies the committed command at index and returns its result. The command must not be modified afterwards.
func (s *State) Apply(index uint64, c *controlpb.Command) *controlpb.Result {
	s.index = index
	s.time = max(s.time, c.GetTime())
	if batch, ok := c.GetKind().(*controlpb.Command_Batch); ok {
		return s.withVersion(s.applyBatch(batch.Batch))
	}
	return s.apply(c)
}

// apply applies a command that is not a batch. A repeated request with a key gets the version of its first result.
func (s *State) apply(c *controlpb.Command) *controlpb.Result {
	switch kind := c.GetKind().(type) {
	case *controlpb.Command_ApplyConfiguration:
		return s.applyConfiguration(kind.ApplyConfiguration)
	case *controlpb.Command_SetZone:
		return s.setZone(kind.SetZone)
	case *controlpb.Command_SubmitJob:
		return s.submitJob(kind.SubmitJob)
	case *controlpb.Command_CancelJobs:
		return s.cancelJobs(kind.CancelJobs)
	}
	return s.withVersion(s.applyUnkeyed(c))
}

func (s *State) applyUnkeyed(c *controlpb.Command) *controlpb.Result {
	switch kind := c.GetKind().(type) {
	case *controlpb.Command_RegisterWorker:
		return s.registerWorker(kind.RegisterWorker)
	case *controlpb.Command_WorkerLost:
		return s.workerLost(kind.WorkerLost)
	case *controlpb.Command_StartTask:
		return s.startTask(kind.StartTask)
	case *controlpb.Command_StopTask:
		return s.stopTask(kind.StopTask)
	case *controlpb.Command_ThrottleTask:
		return s.throttleTask(kind.ThrottleTask)
	case *controlpb.Command_ReportTasks:
		return s.reportTasks(kind.ReportTasks)
	case *controlpb.Command_AnnounceEndpoint:
		return s.announceEndpoint(kind.AnnounceEndpoint)
	case *controlpb.Command_EndpointGone:
		return s.endpointGone(kind.EndpointGone)
	case *controlpb.Command_GrantSlots:
		return s.grantSlots(kind.GrantSlots)
	case *controlpb.Command_RecordIntent:
		return s.recordIntent(kind.RecordIntent)
	case *controlpb.Command_RecordOutcome:
		return s.recordOutcome(kind.RecordOutcome)
	case *controlpb.Command_ExpireKeys:
		return s.expireKeys(kind.ExpireKeys)
	case *controlpb.Command_Work:
		return s.workload.Apply(s.Time(), kind.Work)
	case *controlpb.Command_Batch:
		return invalid(ReasonNestedBatch, "a batch holds no batches")
	}
	return invalid(ReasonUnknownCommand, "expected a command of this version")
}

// applyBatch applies each command independently; a refused command does not affect the others.
func (s *State) applyBatch(b *controlpb.Batch) *controlpb.Result {
	results := make([]*controlpb.Result, len(b.GetCommands()))
	for i, c := range b.GetCommands() {
		s.time = max(s.time, c.GetTime())
		results[i] = s.apply(c)
	}
	return &controlpb.Result{Results: results}
}

func finishedBefore(a, b *Job) bool {
	if a.Finished != b.Finished {
		return a.Finished < b.Finished
	}
	return a.Name() < b.Name()
}
