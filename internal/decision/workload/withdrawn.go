package workload

import (
	"bytes"
	"slices"

	"galenamoor/internal/controlpb"
)

// A caller may cancel a job whose submission is still on its way. A submission that arrives after the cancellation must not start the job.

// maxWithdrawn bounds the remembered cancellations of unknown jobs. The oldest ones are dropped when the limit is reached.
const maxWithdrawn = 4096

// IsWithdrawn reports whether a submitted job was cancelled within finishedRetention while it was unknown, by a requester with access to it.
func (s *State) IsWithdrawn(job *controlpb.WorkJob) bool {
	return slices.ContainsFunc(s.withdrawn[job.GetId()], func(w *controlpb.WithdrawnWork) bool { return RequesterOf(w).MayAccess(job) })
}

// IsRecorded reports whether the cancellation of an unknown job is remembered already.
func (s *State) IsRecorded(c *controlpb.CancelWork) bool {
	return slices.ContainsFunc(s.withdrawn[c.GetId()], func(w *controlpb.WithdrawnWork) bool {
		return w.GetAccount() == c.GetAccount() && bytes.Equal(w.GetKeyDigest(), c.GetKeyDigest()) && w.GetOpenQueue() == c.GetOpenQueue()
	})
}

// withdraw remembers the cancellation of an unknown job.
func (s *State) withdraw(c *controlpb.CancelWork) {
	if s.IsRecorded(c) {
		return
	}
	w := &controlpb.WithdrawnWork{Id: c.GetId(), AtMs: s.time, Account: c.GetAccount(), KeyDigest: c.GetKeyDigest(), OpenQueue: c.GetOpenQueue()}
	s.withdrawn[c.GetId()] = append(s.withdrawn[c.GetId()], w)
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
		if s.withdrawn[w.GetId()] = s.withdrawn[w.GetId()][1:]; len(s.withdrawn[w.GetId()]) == 0 {
			delete(s.withdrawn, w.GetId())
		}
	}
	s.withdrawnOrder = s.withdrawnOrder[dropped:]
}

func (s *State) restoreWithdrawn(records []*controlpb.WithdrawnWork) {
	s.withdrawnOrder = slices.Clone(records)
	for _, w := range records {
		s.withdrawn[w.GetId()] = append(s.withdrawn[w.GetId()], w)
	}
}
