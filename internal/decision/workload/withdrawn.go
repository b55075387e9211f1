package workload

import (
	"slices"

	"galenamoor/internal/controlpb"
)

// A caller may cancel a job whose submission is still on its way. A submission that arrives after the cancellation must not start the job.

// maxWithdrawn bounds the remembered cancellations of unknown jobs. The oldest ones are dropped when the limit is reached.
const maxWithdrawn = 4096

// IsWithdrawn reports whether a job was cancelled within finishedRetention while it was unknown.
func (s *State) IsWithdrawn(id string) bool { return s.withdrawn[id] != nil }

// withdraw remembers the cancellation of an unknown job.
func (s *State) withdraw(id string) {
	if s.IsWithdrawn(id) {
		return
	}
	w := &controlpb.WithdrawnWork{Id: id, AtMs: s.time}
	s.withdrawn[id] = w
	s.withdrawnOrder = append(s.withdrawnOrder, w)
}

// pruneWithdrawn forgets the cancellations that are past finishedRetention or exceed maxWithdrawn.
func (s *State) pruneWithdrawn() {
	oldest := s.time - finishedRetention.Milliseconds()
	dropped := max(0, len(s.withdrawnOrder)-maxWithdrawn)
	for dropped < len(s.withdrawnOrder) && s.withdrawnOrder[dropped].GetAtMs() < oldest {
		dropped++
	}
	for _, w := range s.withdrawnOrder[:dropped] {
		delete(s.withdrawn, w.GetId())
	}
	s.withdrawnOrder = s.withdrawnOrder[dropped:]
}

func (s *State) restoreWithdrawn(records []*controlpb.WithdrawnWork) {
	s.withdrawnOrder = slices.Clone(records)
	for _, w := range records {
		s.withdrawn[w.GetId()] = w
	}
}
