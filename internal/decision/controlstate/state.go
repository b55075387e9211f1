// Package controlstate holds the replicated control state: a deterministic state machine over controlpb.Command.
//
// Every replica applies the same commands in the same order and arrives at the same state. The state machine reads no
// clock; time advances only with the proposal times recorded in commands and never runs backwards. Every invariant is
// checked when a command is applied, whatever its proposer believed.
//
// Records that View shares with other goroutines (Task, Job, Worker, Endpoint) are replaced, never modified. They are kept
// in B-trees that are cloned lazily, so that a View costs a few allocations however many tasks there are.
package controlstate

import (
	"time"

	"github.com/google/btree"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// Bounds of the state. A command that would exceed one is refused as unavailable, so that memory stays bounded.
const (
	// MaxTasks bounds the tasks of all jobs, ended ones that are still kept included.
	MaxTasks = 1 << 18
	// MaxKeys bounds the request keys of operators kept with their first answers.
	MaxKeys = 1 << 16
	// MaxIntents bounds the intents of non-repeatable calls. At 10 minutes of retention it is 400 calls a second.
	MaxIntents = 1 << 18
	// MaxEndpoints bounds the announced endpoints.
	MaxEndpoints = 1 << 16
	// MaxSlots bounds the slots and the connections of one endpoint.
	MaxSlots = 1 << 16
)

// Retention times, all by the recorded time.
const (
	// KeyRetention is how long request keys and intents are kept.
	KeyRetention = 10 * time.Minute
	// KeySkew is how far the time in a request key may lie ahead of the recorded time. Intents are kept this much longer
	// than KeyRetention, so that a key is refused as expired before its intent is forgotten.
	KeySkew = time.Minute
	// JobRetention is how long a finished job is kept. Finished jobs of the inventory are kept as long as it lists them,
	// because a new configuration would run them again otherwise.
	JobRetention = time.Hour
)

// btreeDegree gives nodes of at most 31 items, which keeps the copies after a View small.
const btreeDegree = 16

// State is the control state of one replica. It is not safe for concurrent use; View returns what other goroutines read.
type State struct {
	index   uint64 // of the last applied command
	time    int64  // largest proposal time applied, unix nanoseconds
	version uint64 // of the configuration
	config  *configuration
	zones   map[string]zoneState

	jobs      *btree.BTreeG[*Job]
	tasks     *btree.BTreeG[*Task]
	work      *workload.State
	workers   *btree.BTreeG[*Worker]
	endpoints *btree.BTreeG[*Endpoint]
	placed    map[string][]TaskID            // tasks that are charged to each worker
	byService map[string]map[string]struct{} // names of the endpoints of each service
	gone      map[string]struct{}            // endpoints that are gone and of which no gateway holds slots
	ended     *btree.BTreeG[*Job]            // finished jobs that the inventory does not list, by the time of their end

	keys        map[string]keyRecord
	keyOrder    queue[string]
	intents     map[string]intent
	intentOrder queue[string]

	nextFence uint64
	nextEpoch uint64

	// Search keys, so that a lookup allocates nothing.
	jobKey    *Job
	taskKey   Task
	workerKey Worker

	changes changeLog
	views   viewCache
}

// New returns an empty state at configuration version 0.
func New() *State {
	return &State{
		config:    emptyConfiguration(),
		zones:     map[string]zoneState{},
		jobs:      btree.NewG(btreeDegree, func(a, b *Job) bool { return a.Name() < b.Name() }),
		tasks:     btree.NewG(btreeDegree, func(a, b *Task) bool { return a.ID.less(b.ID) }),
		workers:   btree.NewG(btreeDegree, func(a, b *Worker) bool { return a.Name < b.Name }),
		endpoints: btree.NewG(btreeDegree, func(a, b *Endpoint) bool { return a.Name < b.Name }),
		placed:    map[string][]TaskID{},
		byService: map[string]map[string]struct{}{},
		gone:      map[string]struct{}{},
		ended:     btree.NewG(btreeDegree, endedBefore),
		keys:      map[string]keyRecord{},
		intents:   map[string]intent{},
		nextFence: 1,
		nextEpoch: 1,
		jobKey:    newJobKey(""),
		views:     newViewCache(),
		work:      workload.New(),
	}
}

// Work returns the jobs of several steps. Only the owner of this state may use them.
func (s *State) Work() *workload.State { return s.work }

// Index returns the index of the last applied command.
func (s *State) Index() uint64 { return s.index }

// Time returns the recorded time.
func (s *State) Time() time.Time { return time.Unix(0, s.time) }

// Version returns the version of the configuration in force.
func (s *State) Version() uint64 { return s.version }

// Apply applies the committed command at index and returns its result. The command must not be modified afterwards.
func (s *State) Apply(index uint64, c *controlpb.Command) *controlpb.Result {
	s.index = index
	s.time = max(s.time, c.GetTime())
	if batch, ok := c.GetKind().(*controlpb.Command_Batch); ok {
		return s.versioned(s.applyBatch(batch.Batch))
	}
	return s.apply(c)
}

// apply applies a command that is not a batch. Results of requests with a key carry the version of the first answer.
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
	return s.versioned(s.applyUnkeyed(c))
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
		return s.work.Apply(s.Time(), kind.Work)
	case *controlpb.Command_Batch:
		return invalid(ReasonNestedBatch, "a batch holds no batches")
	}
	return invalid(ReasonUnknownCommand, "expected a command of this version")
}

// applyBatch applies each command on its own; a refused one does not hold back the others.
func (s *State) applyBatch(b *controlpb.Batch) *controlpb.Result {
	results := make([]*controlpb.Result, len(b.GetCommands()))
	for i, c := range b.GetCommands() {
		s.time = max(s.time, c.GetTime())
		results[i] = s.apply(c)
	}
	return &controlpb.Result{Results: results}
}

func endedBefore(a, b *Job) bool {
	if a.Finished != b.Finished {
		return a.Finished < b.Finished
	}
	return a.Name() < b.Name()
}
