package workload

import (
	"slices"

	"galenamoor/internal/controlpb"
	"galenamoor/pkg/resource"
)

// RunKey names one run of a task.
type RunKey struct {
	Task TaskKey
	Run  uint32
}

// Worker is one life of a worker: after a crash or a restart, a host comes back as another life.
type Worker struct {
	*controlpb.WorkerLife
	Runs map[RunKey]*Task // assigned, and not known to have ended
}

// Capacity returns what the worker can hold.
func (w *Worker) Capacity() resource.Vector {
	return resource.Vector{Processors: w.GetProcessors(), Memory: w.GetMemory(), Accelerators: w.GetAccelerators()}
}

// HasLabel reports whether the worker has a label.
func (w *Worker) HasLabel(label string) bool { return slices.Contains(w.GetLabels(), label) }

// putWorker records a life, or what has changed of it. A later life under the same id or at the same address ends the
// earlier one, because a host lives once at a time; an earlier life's announcement that arrives late changes nothing.
func (s *State) putWorker(life *controlpb.WorkerLife) *controlpb.Result {
	if known := s.byID[life.GetId()]; known != nil {
		if life.GetBornMs() < known.GetBornMs() {
			return refused(controlpb.ResultCode_RESULT_CONFLICT, "a later life of this worker is known")
		}
		if life.GetBornMs() == known.GetBornMs() {
			life.Number, life.EndsSeen, life.Resumed = known.GetNumber(), known.GetEndsSeen(), known.GetResumed()
			life.Leaving = life.GetLeaving() || known.GetLeaving()
			known.WorkerLife = life
			return &controlpb.Result{Fence: uint64(life.GetNumber())}
		}
		s.removeWorker(known)
	}
	for _, other := range s.workers {
		if other.GetAddress() != life.GetAddress() {
			continue
		}
		if life.GetBornMs() < other.GetBornMs() {
			return refused(controlpb.ResultCode_RESULT_CONFLICT, "a later life at this address is known")
		}
		s.removeWorker(other)
	}
	s.lastWorker++
	life.Number, life.EndsSeen = s.lastWorker, 0
	if born, ok := s.givenUp[life.GetId()]; ok {
		life.Resumed = born == life.GetBornMs()
		delete(s.givenUp, life.GetId())
	}
	s.insertWorker(life)
	return &controlpb.Result{Fence: uint64(life.GetNumber())}
}

func (s *State) insertWorker(life *controlpb.WorkerLife) *Worker {
	w := &Worker{WorkerLife: life, Runs: map[RunKey]*Task{}}
	s.workers[life.GetNumber()] = w
	s.byID[life.GetId()] = w
	return w
}

// endLife records that a life is over. Its runs have ended with it; their tasks start again elsewhere.
func (s *State) endLife(end *controlpb.EndLife) *controlpb.Result {
	if w := s.workers[end.GetNumber()]; w != nil {
		if len(s.givenUp) >= givenUpMost {
			clear(s.givenUp)
		}
		s.givenUp[w.GetId()] = w.GetBornMs()
		for _, ended := range end.GetEnds() {
			if t := s.Task(keyOf(ended.GetTask())); t != nil {
				s.noteEnd(w, t, ended)
			}
		}
		s.removeWorker(w)
	}
	return &controlpb.Result{}
}

func (s *State) removeWorker(w *Worker) {
	touched := map[*Job]bool{}
	for key, t := range w.Runs {
		t.removeRun(key.Run, w.GetNumber())
		touched[t.Step.Job] = true
	}
	delete(s.workers, w.GetNumber())
	if s.byID[w.GetId()] == w {
		delete(s.byID, w.GetId())
	}
	for _, j := range slices.Clone(s.order) {
		if touched[j] {
			s.settle(j)
		}
	}
}
