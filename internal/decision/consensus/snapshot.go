package consensus

import (
	"github.com/gravitational/trace"

	"galenamoor/internal/controlpb"
)

// NewSnapshot returns a snapshot of the state after the entry at index, which must have been delivered in Committed.
func (n *Node) NewSnapshot(index uint64, state []byte) (*controlpb.Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.delivered {
		return nil, trace.BadParameter("snapshot at index %d: the log is applied from %d to %d", index, n.log.base, n.delivered)
	}
	return &controlpb.Snapshot{Index: index, Term: term, Membership: n.membershipAt(index), State: state}, nil
}

// Compact drops entries up to and including index. The snapshot must cover these and be durable; it is sent to members
// that lack dropped entries. A snapshot index above index retains entries for members that are slightly behind. A snapshot
// older than one that was received meanwhile has no effect.
func (n *Node) Compact(index uint64, snapshot *controlpb.Snapshot) error {
	if snapshot.Index < n.snapshot.GetIndex() {
		return nil
	}
	if snapshot.Index < index || snapshot.Index > n.delivered || !n.log.matches(snapshot.Index, snapshot.Term) {
		return trace.BadParameter("compact to index %d with a snapshot at index %d and term %d: the log is applied to %d",
			index, snapshot.Index, snapshot.Term, n.delivered)
	}
	n.snapshot = snapshot
	if index <= n.log.base {
		return nil
	}
	n.log.compact(index)
	for len(n.memberships) > 1 && n.memberships[1].index <= index {
		n.memberships = n.memberships[1:]
	}
	return nil
}

// stepSnapshot installs a snapshot unless the log already contains the entries that it covers.
func (n *Node) stepSnapshot(m *Message) error {
	s := m.Snapshot
	if s == nil || s.Membership == nil {
		return trace.BadParameter("message without a snapshot or membership")
	}
	n.replyPending = true
	n.ackedRound = max(n.ackedRound, m.Round)
	if s.Index <= n.commit || n.log.matches(s.Index, s.Term) {
		n.verified = max(n.verified, s.Index)
		n.setCommit(s.Index)
		return nil
	}
	n.capDurable(n.commit)
	n.log.reset(s.Index, s.Term)
	n.memberships = []indexedMembership{{index: s.Index, membership: s.Membership}}
	n.snapshot, n.pendingSnapshot = s, s
	n.commit, n.delivered, n.verified = s.Index, s.Index, s.Index
	n.nextEntry = s.Index + 1
	n.outOfOrder = nil
	return nil
}
