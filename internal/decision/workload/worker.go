package workload

import (
	"cmp"
	"slices"
	"strings"

	"galenamoor/internal/controlpb"
	"galenamoor/pkg/resource"
)

// RunKey identifies one run of a task.
type RunKey struct {
	Task TaskKey
	Run  uint32
}

// Compare orders runs by task and number.
func (k RunKey) Compare(other RunKey) int {
	return cmp.Or(
		strings.Compare(k.Task.Job, other.Task.Job), cmp.Compare(k.Task.Occurrence, other.Task.Occurrence), cmp.Compare(k.Task.Step, other.Task.Step),
		cmp.Compare(k.Task.Index, other.Task.Index), cmp.Compare(k.Run, other.Run),
	)
}

// Worker is one incarnation of a worker. A host that comes back after a crash or restart is a new incarnation.
type Worker struct {
	*controlpb.WorkerLife
	Runs map[RunKey]*Task // live runs: assigned, and not known to have ended

	stepRuns map[*Step]int // the number of Runs of each step
}

// RunsOf returns the number of live runs of a step on the worker.
func (w *Worker) RunsOf(step *Step) int { return w.stepRuns[step] }

func (w *Worker) addRun(key RunKey, t *Task) {
	w.Runs[key] = t
	w.stepRuns[t.Step]++
}

func (w *Worker) removeRun(key RunKey) {
	t := w.Runs[key]
	if t == nil {
		return
	}
	delete(w.Runs, key)
	if w.stepRuns[t.Step]--; w.stepRuns[t.Step] == 0 {
		delete(w.stepRuns, t.Step)
	}
}

// Capacity returns the worker's total capacity, including what its runs reserve.
func (w *Worker) Capacity() resource.Vector {
	return resource.Vector{Processors: w.GetProcessors(), Memory: w.GetMemory(), Accelerators: w.GetAccelerators()}
}

// HasLabel reports whether the worker has a label.
func (w *Worker) HasLabel(label string) bool { return slices.Contains(w.GetLabels(), label) }

// putWorker adds or updates a worker incarnation, and returns its number as the result's Fence. A later incarnation
// with the same ID or address ends the earlier one, because a host has one incarnation at a time. A late announcement
// of an earlier incarnation is rejected.
func (s *State) putWorker(incarnation *controlpb.WorkerLife) *controlpb.Result {
	if current := s.workersByID[incarnation.GetId()]; current != nil {
		if incarnation.GetBornMs() < current.GetBornMs() {
			return errorResult(controlpb.ResultCode_RESULT_CONFLICT, "a later life of this worker is known")
		}
		if incarnation.GetBornMs() == current.GetBornMs() {
			incarnation.Number, incarnation.EndsSeen, incarnation.Resumed = current.GetNumber(), current.GetEndsSeen(), current.GetResumed()
			incarnation.Leaving = incarnation.GetLeaving() || current.GetLeaving()
			incarnation.ReusesId = incarnation.GetReusesId() || current.GetReusesId()
			incarnation.FollowsUnknownStart = incarnation.GetFollowsUnknownStart() || current.GetFollowsUnknownStart()
			incarnation.WithheldLease, incarnation.AnsweredByMs = current.GetWithheldLease(), current.AnsweredByMs
			current.WorkerLife = incarnation
			return &controlpb.Result{Fence: uint64(incarnation.GetNumber())}
		}
		incarnation.ReusesId = true
		incarnation.FollowsUnknownStart = incarnation.GetFollowsUnknownStart() || current.GetBornMs() == 0 || current.GetFollowsUnknownStart()
		s.removeWorker(current)
	}
	var replaced []*Worker // more than one if an incarnation has changed its address
	for _, other := range s.workers {
		if other.GetAddress() != incarnation.GetAddress() {
			continue
		}
		if incarnation.GetBornMs() < other.GetBornMs() {
			return errorResult(controlpb.ResultCode_RESULT_CONFLICT, "a later life at this address is known")
		}
		replaced = append(replaced, other)
	}
	slices.SortFunc(replaced, func(a, b *Worker) int { return cmp.Compare(a.GetNumber(), b.GetNumber()) })
	for _, other := range replaced {
		s.removeWorker(other)
		s.rememberLost(other)
	}
	s.lastWorkerNumber++
	incarnation.Number, incarnation.EndsSeen, incarnation.WithheldLease, incarnation.AnsweredByMs = s.lastWorkerNumber, 0, nil, nil
	if lost := s.lostWorkers[incarnation.GetId()]; lost != nil {
		incarnation.Resumed = lost.GetBornMs() == incarnation.GetBornMs()
		incarnation.ReusesId = incarnation.GetReusesId() || lost.GetReusesId() || !incarnation.GetResumed()
		incarnation.FollowsUnknownStart = incarnation.GetFollowsUnknownStart() || lost.GetBornMs() == 0 || lost.GetFollowsUnknownStart()
		delete(s.lostWorkers, incarnation.GetId())
	}
	s.insertWorker(incarnation)
	s.settleLosses(incarnation)
	return &controlpb.Result{Fence: uint64(incarnation.GetNumber())}
}

func (s *State) insertWorker(incarnation *controlpb.WorkerLife) *Worker {
	w := &Worker{WorkerLife: incarnation, Runs: map[RunKey]*Task{}, stepRuns: map[*Step]int{}}
	s.workers[incarnation.GetNumber()] = w
	s.workersByID[incarnation.GetId()] = w
	return w
}

// endIncarnation declares a worker incarnation lost. It records the run ends that came with the change; all other runs end
// with the incarnation, and their tasks may start again elsewhere.
func (s *State) endIncarnation(end *controlpb.EndLife) *controlpb.Result {
	if w := s.workers[end.GetNumber()]; w != nil {
		s.rememberLost(w)
		for _, ended := range end.GetEnds() {
			if t := s.Task(TaskKeyFromRef(ended.GetTask())); t != nil {
				s.recordRunEnd(w, t, ended)
			}
		}
		s.removeWorker(w)
		if end.GetCrashed() {
			s.crashes = append(s.crashes, &controlpb.WorkerCrash{ElapsedMs: s.elapsedMs, Explained: end.GetExplained()})
		}
		switch {
		case len(end.GetSuspects()) == 0:
		case end.GetCrashed():
			s.recordCrash(end.GetSuspects())
		default:
			if len(s.unsettled) >= maxLost {
				clear(s.unsettled)
			}
			s.unsettled[w.GetAddress()] = &controlpb.UnsettledLoss{Id: w.GetId(), Address: w.GetAddress(), BornMs: w.GetBornMs(), Suspects: end.GetSuspects()}
		}
	}
	return &controlpb.Result{}
}

func (s *State) removeWorker(w *Worker) {
	affected := map[*Job]bool{}
	for key, t := range w.Runs {
		t.removeRun(key.Run, w.GetNumber())
		s.failIfExhausted(t)
		affected[t.Step.Job] = true
	}
	delete(s.workers, w.GetNumber())
	if s.workersByID[w.GetId()] == w {
		delete(s.workersByID, w.GetId())
	}
	for _, j := range slices.Clone(s.jobOrder) {
		if affected[j] {
			s.finalizeJob(j)
		}
	}
}
