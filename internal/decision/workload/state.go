// Package workload is the replicated state machine for multi-step jobs: routing, workers, jobs, and the assignment of
// task runs to workers.
//
// A task has at most one live run (assigned, and not known to have ended), unless its step is speculative. A run is
// assigned in this state before its worker is ordered to start it, and stays assigned until its end is recorded, its
// worker's incarnation has ended, or it is certain never to start. A new leader therefore knows every run that may exist.
package workload

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/account"
)

const (
	// finishedRetention is the minimum retention of a finished job's outcome, by the leaders' clocks. It exceeds the 120 s
	// during which callers may ask for the outcome.
	finishedRetention = 180 * time.Second

	// maxFinished bounds the retained outcomes: four times the jobs that finish in 180 s at 28 jobs per second.
	maxFinished = 20_000

	// maxLost bounds the remembered lost workers, most of which never come back.
	maxLost = 4096

	// maxPairs bounds the learned image pairs, which are cleared when the limit is reached.
	maxPairs = 1 << 14
)

// State is the replicated state machine. It is deterministic and not safe for concurrent use.
type State struct {
	routing  *controlpb.Routing
	queues   map[string]*controlpb.WorkQueue // every queue of any routing so far, in its latest version
	pools    map[string]*controlpb.WorkPool
	accounts *account.Directory // of the active routing
	zonesOut map[string]bool

	zoneOrders map[string]uint64 // number of orders on each zone so far

	workers          map[uint32]*Worker
	workersByID      map[string]*Worker
	lastWorkerNumber uint32
	lostWorkers      map[string]*controlpb.LostWorker // by ID
	leaseChanges     uint64                           // number of changes of withheld leases; not replicated

	assignments uint64                        // number of the newest assignment of a run, see assignmentBits
	epochs      []*controlpb.EpochAssignments // of which assignments may matter to a new leader, oldest first

	unsettled map[string]*controlpb.UnsettledLoss // by address; lost workers that may have crashed
	crashes   []*controlpb.WorkerCrash            // within CrashWindow, oldest first

	jobs          map[string]*Job
	jobOrder      []*Job // in order of submission
	finished      map[string]*controlpb.FinishedWork
	finishedOrder []*controlpb.FinishedWork // in order of completion, oldest first

	withdrawn      map[string][]*controlpb.WithdrawnWork // by ID of the job, oldest first
	withdrawnOrder []*controlpb.WithdrawnWork            // in order of cancellation, oldest first

	maintenance map[uint64]*controlpb.Maintenance
	pairs       map[imagePair]float64 // log-odds that the aggressor interferes with the victim
	load        int                   // of the jobs, see Load
	held        map[string]held       // by client account
	epoch       uint64
	newestEpoch *controlpb.BeginEpoch // nil before the first one, and after a snapshot of an earlier version
	time        int64                 // time of the latest command, in Unix milliseconds
	elapsedMs   int64                 // see Elapsed
	ledMs       int64                 // for which the leader of the latest epoch had led when it proposed its newest batch
}

// New returns an empty state.
func New() *State {
	return &State{
		queues:      map[string]*controlpb.WorkQueue{},
		pools:       map[string]*controlpb.WorkPool{},
		accounts:    account.New(nil),
		zonesOut:    map[string]bool{},
		zoneOrders:  map[string]uint64{},
		workers:     map[uint32]*Worker{},
		workersByID: map[string]*Worker{},
		lostWorkers: map[string]*controlpb.LostWorker{},
		unsettled:   map[string]*controlpb.UnsettledLoss{},
		jobs:        map[string]*Job{},
		finished:    map[string]*controlpb.FinishedWork{},
		withdrawn:   map[string][]*controlpb.WithdrawnWork{},
		maintenance: map[uint64]*controlpb.Maintenance{},
		pairs:       map[imagePair]float64{},
		held:        map[string]held{},
	}
}

// Apply applies the committed changes of a batch independently of each other, and returns one result per change.
func (s *State) Apply(now time.Time, batch *controlpb.WorkBatch) *controlpb.Result {
	s.time = max(s.time, now.UnixMilli())
	s.advance(batch)
	results := make([]*controlpb.Result, len(batch.GetChanges()))
	for i, change := range batch.GetChanges() {
		results[i] = s.apply(change)
	}
	s.settle(batch)
	s.pruneCrashes()
	s.pruneFinished()
	s.pruneWithdrawn()
	return &controlpb.Result{Results: results}
}

// advance counts the time between two batches of the same leader. A batch that begins an epoch is the first one of its leader, and all
// batches until the next epoch are of that leader.
func (s *State) advance(batch *controlpb.WorkBatch) {
	isFirst := slices.ContainsFunc(batch.GetChanges(), func(change *controlpb.WorkChange) bool { return change.GetBeginEpoch() != nil })
	if led := batch.GetLedMs(); isFirst {
		s.ledMs = led
	} else if led > s.ledMs {
		s.elapsedMs += led - s.ledMs
		s.ledMs = led
	}
}

func (s *State) apply(change *controlpb.WorkChange) *controlpb.Result {
	switch kind := change.GetKind().(type) {
	case *controlpb.WorkChange_ReplaceRouting:
		return s.replaceRouting(kind.ReplaceRouting)
	case *controlpb.WorkChange_SetZoneOut:
		return s.setZoneOut(kind.SetZoneOut)
	case *controlpb.WorkChange_PutWorker:
		return s.putWorker(kind.PutWorker)
	case *controlpb.WorkChange_EndLife:
		return s.endIncarnation(kind.EndLife)
	case *controlpb.WorkChange_Submit:
		return s.submit(kind.Submit)
	case *controlpb.WorkChange_Cancel:
		return s.cancel(kind.Cancel)
	case *controlpb.WorkChange_StartRun:
		return s.startRun(kind.StartRun)
	case *controlpb.WorkChange_NoteEnds:
		return s.recordRunEnds(kind.NoteEnds)
	case *controlpb.WorkChange_DropRun:
		return s.dropRun(kind.DropRun)
	case *controlpb.WorkChange_BeginEpoch:
		s.epoch++
		s.newestEpoch = kind.BeginEpoch
		s.newestEpoch.ElapsedMs = s.elapsedMs
		s.beginAssignments()
		return &controlpb.Result{Fence: s.epoch}
	case *controlpb.WorkChange_LearnPairs:
		return s.learnPairs(kind.LearnPairs)
	case *controlpb.WorkChange_BeginMaintenance:
		return s.beginMaintenance(kind.BeginMaintenance)
	case *controlpb.WorkChange_MaintenanceOrdered:
		return s.recordMaintenanceOrdered(kind.MaintenanceOrdered)
	case *controlpb.WorkChange_HostMaintained:
		return s.recordHostMaintained(kind.HostMaintained)
	case *controlpb.WorkChange_WithholdLease:
		return s.withholdLease(kind.WithholdLease)
	case *controlpb.WorkChange_ResumeLease:
		return s.resumeLease(kind.ResumeLease)
	case *controlpb.WorkChange_RenewAssignment:
		return s.renewAssignment(kind.RenewAssignment)
	case *controlpb.WorkChange_ForgetCrashes:
		return s.forgetCrashes(kind.ForgetCrashes)
	}
	return errorResult(controlpb.ResultCode_RESULT_INVALID, "a change that this version doesn't know")
}

// Routing returns the active routing configuration, or nil.
func (s *State) Routing() *controlpb.Routing { return s.routing }

// Queue returns the named queue, or nil. It also finds queues that the active routing no longer contains.
func (s *State) Queue(name string) *controlpb.WorkQueue { return s.queues[name] }

// Pool returns the named pool of the active routing, or nil.
func (s *State) Pool(name string) *controlpb.WorkPool { return s.pools[name] }

// IsZoneOut reports whether operators have taken an availability zone out of service.
func (s *State) IsZoneOut(zone string) bool { return s.zonesOut[zone] }

// ZoneOrders returns the number of orders on an availability zone so far.
func (s *State) ZoneOrders(zone string) uint64 { return s.zoneOrders[zone] }

// Epoch returns the latest leader's epoch, on which the fencing tokens of its calls are based.
func (s *State) Epoch() uint64 { return s.epoch }

// Elapsed returns the time that passed between the proposals of the first and the newest batch, as far as leaders have told it by their
// clocks: the time between two leaders, and that of earlier versions, isn't counted.
func (s *State) Elapsed() time.Duration { return time.Duration(s.elapsedMs) * time.Millisecond }

// NewestEpoch returns the change that began the latest epoch, or nil if it isn't known. Restoring a snapshot replaces it.
func (s *State) NewestEpoch() *controlpb.BeginEpoch { return s.newestEpoch }

// Jobs returns the jobs that are unfinished or still have live runs, in order of submission. The result must not be changed.
func (s *State) Jobs() []*Job { return s.jobOrder }

// Load returns the sum of the loads of the jobs that are unfinished or still have live runs.
func (s *State) Load() int { return s.load }

// Job returns a job that is unfinished or still has live runs, or nil.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// LastWorkerNumber returns the number of the newest worker incarnation, 0 before the first.
func (s *State) LastWorkerNumber() uint32 { return s.lastWorkerNumber }

// Worker returns the live worker incarnation of the given number, or nil.
func (s *State) Worker(number uint32) *Worker { return s.workers[number] }

// WorkerByID returns the live incarnation of the worker with the given ID, or nil.
func (s *State) WorkerByID(id string) *Worker { return s.workersByID[id] }

// Workers returns all live worker incarnations, ordered by number.
func (s *State) Workers() []*Worker {
	workers := make([]*Worker, 0, len(s.workers))
	for _, number := range slices.Sorted(maps.Keys(s.workers)) {
		workers = append(workers, s.workers[number])
	}
	return workers
}

// Lookup returns the state and queue of a job, or WORK_UNKNOWN if there is no such job or its outcome was dropped.
func (s *State) Lookup(id string) (state controlpb.WorkState, queue string) {
	if j := s.jobs[id]; j != nil {
		return j.state(), j.Spec.GetQueue()
	}
	if f := s.finished[id]; f != nil {
		return f.GetState(), f.GetQueue()
	}
	return controlpb.WorkState_WORK_UNKNOWN, ""
}

// CountQueued returns the number of jobs of a queue of which no task has started yet, as far as is known: a job counts as started from the
// assignment of a run until that is dropped without having started.
func (s *State) CountQueued(queue string) uint64 {
	count := uint64(0)
	for _, j := range s.jobOrder {
		if j.Spec.GetQueue() == queue && j.state() == controlpb.WorkState_WORK_QUEUED {
			count++
		}
	}
	return count
}

// imagePair identifies an ordered pair of task images.
type imagePair struct{ victim, aggressor string }

// learnPairs records the interference between image pairs that a leader has learned.
func (s *State) learnPairs(learned *controlpb.LearnPairs) *controlpb.Result {
	for _, pair := range learned.GetPairs() {
		if len(s.pairs) >= maxPairs {
			clear(s.pairs)
		}
		s.pairs[imagePair{pair.GetVictim(), pair.GetAggressor()}] = pair.GetOdds()
	}
	return &controlpb.Result{}
}

// ImagePairs returns the learned image pairs with their log-odds, ordered by victim and aggressor.
func (s *State) ImagePairs() []*controlpb.ImagePair {
	pairs := make([]*controlpb.ImagePair, 0, len(s.pairs))
	for pair, logOdds := range s.pairs {
		pairs = append(pairs, &controlpb.ImagePair{Victim: pair.victim, Aggressor: pair.aggressor, Odds: logOdds})
	}
	slices.SortFunc(pairs, func(a, b *controlpb.ImagePair) int {
		return cmp.Or(strings.Compare(a.GetVictim(), b.GetVictim()), strings.Compare(a.GetAggressor(), b.GetAggressor()))
	})
	return pairs
}

func (s *State) setZoneOut(change *controlpb.SetZoneOut) *controlpb.Result {
	s.zoneOrders[change.GetZone()]++
	if change.GetOut() {
		s.zonesOut[change.GetZone()] = true
	} else {
		delete(s.zonesOut, change.GetZone())
	}
	return &controlpb.Result{}
}

// pruneFinished drops outcomes that are past their retention or exceed maxFinished.
func (s *State) pruneFinished() {
	oldest := s.time - finishedRetention.Milliseconds()
	dropped := 0
	for dropped < len(s.finishedOrder) {
		outcome := s.finishedOrder[dropped]
		if outcome.GetAtMs() >= oldest && len(s.finishedOrder)-dropped <= maxFinished {
			break
		}
		delete(s.finished, outcome.GetId())
		dropped++
	}
	s.finishedOrder = s.finishedOrder[dropped:]
}

func errorResult(code controlpb.ResultCode, message string) *controlpb.Result {
	return &controlpb.Result{Code: code, Message: message}
}
