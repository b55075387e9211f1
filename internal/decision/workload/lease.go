package workload

import (
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// withholdLease records that the lease of a worker isn't extended. A worker that has ended meanwhile is ignored.
func (s *State) withholdLease(change *controlpb.WithholdLease) *controlpb.Result {
	if w := s.workers[change.GetWorker()]; w != nil {
		change.ElapsedMs, change.Epoch = s.elapsedMs, s.epoch
		w.WithheldLease = change
		s.leaseChanges++
	}
	return &controlpb.Result{}
}

// resumeLease records that the lease of a worker may be extended again.
func (s *State) resumeLease(change *controlpb.ResumeLease) *controlpb.Result {
	if w := s.workers[change.GetWorker()]; w != nil && w.WithheldLease != nil {
		w.WithheldLease = nil
		s.leaseChanges++
	}
	return &controlpb.Result{}
}

// noteAnswered notes at the first assignment of a run that a worker has answered a call with its own fencing token: only then does a
// leader assign runs to it.
func (s *State) noteAnswered(w *Worker) {
	if w.AnsweredByMs == nil {
		w.AnsweredByMs = proto.Int64(s.elapsedMs)
	}
}

// LeaseChanges returns a number that differs once a lease was withheld or resumed, or the state was restored.
func (s *State) LeaseChanges() uint64 { return s.leaseChanges }

// EachWithheldLease calls visit for every withheld lease, in no particular order. Each change that withholds a lease has its own
// message, and restoring a snapshot replaces it.
func (s *State) EachWithheldLease(visit func(*controlpb.WithholdLease)) {
	for _, w := range s.workers {
		if w.WithheldLease != nil {
			visit(w.WithheldLease)
		}
	}
}
