package consensus

import (
	"slices"

	"github.com/gravitational/trace"

	"galenamoor/internal/controlpb"
)

// stepAppend handles an append or heartbeat from the leader.
func (n *Node) stepAppend(m *Message) error {
	newRound := m.Round > n.ackedRound
	n.ackedRound = max(n.ackedRound, m.Round)
	if newRound {
		n.replyPending = true
	}
	if m.Index > n.commit && !n.log.matches(m.Index, m.LogTerm) {
		if !n.bufferOutOfOrder(m) {
			n.reject(m)
		}
		return nil
	}
	if err := n.acceptAppend(m); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(n.acceptBuffered())
}

// bufferOutOfOrder buffers an append that arrived before a preceding one. It returns false if the append has to be
// rejected.
func (n *Node) bufferOutOfOrder(m *Message) bool {
	if m.Index <= n.log.last() || n.verified != n.log.last() || len(m.Entries) == 0 ||
		len(n.outOfOrder) >= maxOutOfOrderAppends {
		return false
	}
	n.outOfOrder = append(n.outOfOrder, m)
	return len(n.outOfOrder) != outOfOrderRejectThreshold
}

// acceptBuffered accepts and removes the buffered appends that became contiguous with the log. Those that the log already
// contains have no effect.
func (n *Node) acceptBuffered() error {
	for i := 0; i < len(n.outOfOrder); i++ {
		m := n.outOfOrder[i]
		if m.Index > n.verified {
			continue
		}
		n.outOfOrder = slices.Delete(n.outOfOrder, i, i+1)
		if err := n.acceptAppend(m); err != nil {
			return trace.Wrap(err)
		}
		i = -1
	}
	return nil
}

// acceptAppend accepts an append whose preceding entry is in the log.
func (n *Node) acceptAppend(m *Message) error {
	last := m.Index + uint64(len(m.Entries))
	if err := n.mergeEntries(m.Entries); err != nil {
		return trace.Wrap(err)
	}
	// New entries are acknowledged by the Advance that makes them durable.
	if last <= n.durable && len(m.Entries) > 0 || len(m.Entries) == 0 && last > n.verified {
		n.replyPending = true
	}
	n.verified = max(n.verified, last)
	n.setCommit(min(m.Commit, n.verified))
	n.receiveEcho(m)
	return nil
}

// mergeEntries appends missing entries after truncating conflicting ones.
func (n *Node) mergeEntries(entries []*controlpb.Entry) error {
	for i, e := range entries {
		if e.Index <= n.commit || n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.last() {
			n.truncate(e.Index - 1)
		}
		return n.appendEntries(entries[i:])
	}
	return nil
}

// reject asks the leader to back up to the last entry that both logs may share.
func (n *Node) reject(m *Message) {
	hint := min(m.Index-1, n.log.last())
	for hint > n.commit {
		if term, _ := n.log.term(hint); term <= m.LogTerm {
			break
		}
		hint--
	}
	hint = max(hint, min(n.verified, m.Index-1))
	n.replyPending = true
	n.pendingReject = &Message{Reject: true, Index: m.Index, Hint: hint}
	n.pendingReject.LogTerm, _ = n.log.term(hint)
}

// replyToLeader queues one reply to all messages since the last reply. It waits for the sync while the term is not
// durable.
func (n *Node) replyToLeader() {
	if !n.replyPending || n.leader == 0 || n.role != Follower {
		return
	}
	n.replyPending = false
	m := n.pendingReject
	n.pendingReject = nil
	if m == nil {
		m = &Message{Index: min(n.verified, n.durable), Hint: n.verified}
	}
	m.Type, m.To, m.Term = controlpb.MessageType_APPEND_REPLY, n.leader, n.term
	m.Round, m.Stamp = n.ackedRound, n.stamp()
	if n.persisted.term == n.term {
		n.sendImmediate(m)
	} else {
		n.sendAfterSync(m)
	}
}
