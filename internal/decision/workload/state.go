// Package workload is the replicated state of jobs with several steps: routing, workers, jobs, and which worker runs
// which task.
//
// A task has at most one run that isn't known to have ended, unless its step is speculative. A run is assigned here
// before a worker is told of it, and stays until its end is recorded, its worker's life has ended, or it is certain that
// it never begins. A new leader thus knows of everything that may run.
package workload

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"galenamoor/internal/controlpb"
)

const (
	// finishedKept is how long the outcome of a finished job is kept at least, by the leaders' clocks. It is above the
	// 120 s for which callers may ask.
	finishedKept = 180 * time.Second

	// finishedMost bounds the finished jobs that are kept: four times those of 180 s at 28 jobs a second.
	finishedMost = 20_000

	// givenUpMost bounds the lives that are remembered as given up; most never come back.
	givenUpMost = 4096

	// pairsMost bounds the pairs of images.
	pairsMost = 1 << 14
)

// State is the replicated state. It is deterministic and not safe for concurrent use.
type State struct {
	routing  *controlpb.Routing
	queues   map[string]*controlpb.WorkQueue // every queue of any routing so far, as it was last
	pools    map[string]*controlpb.WorkPool
	zonesOut map[string]bool

	workers    map[uint32]*Worker
	byID       map[string]*Worker
	lastWorker uint32
	givenUp    map[string]int64 // by id, when the latest life that was given up for lost began

	jobs        map[string]*Job
	order       []*Job // in the order of their submission
	finished    map[string]*controlpb.FinishedWork
	endings     []*controlpb.FinishedWork // oldest first
	maintenance map[uint64]*controlpb.Maintenance
	pairs       map[imagePair]float64 // logarithms of odds that the second disturbs the first
	epoch       uint64
	time        int64 // Unix milliseconds of the newest command
}

// New returns an empty state.
func New() *State {
	return &State{
		queues:      map[string]*controlpb.WorkQueue{},
		pools:       map[string]*controlpb.WorkPool{},
		zonesOut:    map[string]bool{},
		workers:     map[uint32]*Worker{},
		byID:        map[string]*Worker{},
		givenUp:     map[string]int64{},
		jobs:        map[string]*Job{},
		finished:    map[string]*controlpb.FinishedWork{},
		maintenance: map[uint64]*controlpb.Maintenance{},
		pairs:       map[imagePair]float64{},
	}
}

// Apply applies committed changes, each on its own, and returns a result for each.
func (s *State) Apply(now time.Time, batch *controlpb.WorkBatch) *controlpb.Result {
	s.time = max(s.time, now.UnixMilli())
	results := make([]*controlpb.Result, len(batch.GetChanges()))
	for i, change := range batch.GetChanges() {
		results[i] = s.apply(change)
	}
	s.forget()
	return &controlpb.Result{Results: results}
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
		return s.endLife(kind.EndLife)
	case *controlpb.WorkChange_Submit:
		return s.submit(kind.Submit)
	case *controlpb.WorkChange_Cancel:
		return s.cancel(kind.Cancel)
	case *controlpb.WorkChange_StartRun:
		return s.startRun(kind.StartRun)
	case *controlpb.WorkChange_NoteEnds:
		return s.noteEnds(kind.NoteEnds)
	case *controlpb.WorkChange_DropRun:
		return s.dropRun(kind.DropRun)
	case *controlpb.WorkChange_BeginEpoch:
		s.epoch++
		return &controlpb.Result{Fence: s.epoch}
	case *controlpb.WorkChange_LearnPairs:
		return s.learnPairs(kind.LearnPairs)
	case *controlpb.WorkChange_BeginMaintenance:
		return s.beginMaintenance(kind.BeginMaintenance)
	case *controlpb.WorkChange_HostMaintained:
		return s.hostMaintained(kind.HostMaintained)
	}
	return refused(controlpb.ResultCode_RESULT_INVALID, "a change that this version doesn't know")
}

// Routing returns the routing in force, or nil.
func (s *State) Routing() *controlpb.Routing { return s.routing }

// Queue returns the queue of a name, also after routing has dropped it, or nil.
func (s *State) Queue(name string) *controlpb.WorkQueue { return s.queues[name] }

// Pool returns the pool of a name in the routing in force, or nil.
func (s *State) Pool(name string) *controlpb.WorkPool { return s.pools[name] }

// ZoneOut reports whether operators have taken an availability zone out of service.
func (s *State) ZoneOut(zone string) bool { return s.zonesOut[zone] }

// Epoch returns the number of the newest leader's time.
func (s *State) Epoch() uint64 { return s.epoch }

// Jobs returns the jobs that haven't finished, or still have runs, in the order of their submission. It must not be changed.
func (s *State) Jobs() []*Job { return s.order }

// Job returns an unfinished job, or nil.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// Worker returns a life of a worker that isn't over, or nil.
func (s *State) Worker(number uint32) *Worker { return s.workers[number] }

// WorkerByID returns the latest life of a worker, unless it is over.
func (s *State) WorkerByID(id string) *Worker { return s.byID[id] }

// Workers returns all lives that aren't over, by number.
func (s *State) Workers() []*Worker {
	workers := make([]*Worker, 0, len(s.workers))
	for _, number := range slices.Sorted(maps.Keys(s.workers)) {
		workers = append(workers, s.workers[number])
	}
	return workers
}

// Lookup returns the state of a job and its queue; WORK_UNKNOWN when there is no such job.
func (s *State) Lookup(id string) (state controlpb.WorkState, queue string) {
	if j := s.jobs[id]; j != nil {
		return j.state(), j.Spec.GetQueue()
	}
	if f := s.finished[id]; f != nil {
		return f.GetState(), f.GetQueue()
	}
	return controlpb.WorkState_WORK_UNKNOWN, ""
}

// Pending counts the accepted jobs of a queue without times of which no task has started.
func (s *State) Pending(queue string) uint64 {
	count := uint64(0)
	for _, j := range s.order {
		if j.Spec.GetQueue() == queue && j.state() == controlpb.WorkState_WORK_QUEUED {
			count++
		}
	}
	return count
}

// imagePair names a pair of images.
type imagePair struct{ victim, aggressor string }

// learnPairs keeps what a leader has learned of pairs of images.
func (s *State) learnPairs(learned *controlpb.LearnPairs) *controlpb.Result {
	for _, pair := range learned.GetPairs() {
		if len(s.pairs) >= pairsMost {
			clear(s.pairs)
		}
		s.pairs[imagePair{pair.GetVictim(), pair.GetAggressor()}] = pair.GetOdds()
	}
	return &controlpb.Result{}
}

// Pairs returns what leaders have learned of pairs of images, in a fixed order.
func (s *State) Pairs() []*controlpb.ImagePair {
	pairs := make([]*controlpb.ImagePair, 0, len(s.pairs))
	for pair, odds := range s.pairs {
		pairs = append(pairs, &controlpb.ImagePair{Victim: pair.victim, Aggressor: pair.aggressor, Odds: odds})
	}
	slices.SortFunc(pairs, func(a, b *controlpb.ImagePair) int {
		return cmp.Or(strings.Compare(a.GetVictim(), b.GetVictim()), strings.Compare(a.GetAggressor(), b.GetAggressor()))
	})
	return pairs
}

func (s *State) setZoneOut(change *controlpb.SetZoneOut) *controlpb.Result {
	if change.GetOut() {
		s.zonesOut[change.GetZone()] = true
	} else {
		delete(s.zonesOut, change.GetZone())
	}
	return &controlpb.Result{}
}

// forget drops outcomes that nobody may ask for any more.
func (s *State) forget() {
	oldest := s.time - finishedKept.Milliseconds()
	dropped := 0
	for dropped < len(s.endings) {
		ending := s.endings[dropped]
		if ending.GetAtMs() >= oldest && len(s.endings)-dropped <= finishedMost {
			break
		}
		delete(s.finished, ending.GetId())
		dropped++
	}
	s.endings = s.endings[dropped:]
}

func refused(code controlpb.ResultCode, message string) *controlpb.Result {
	return &controlpb.Result{Code: code, Message: message}
}
