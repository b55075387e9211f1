package consensus

import (
	"time"

	"github.com/gravitational/trace"

	"galenamoor/internal/controlpb"
)

// TransferLeadership transfers the leadership to another voter and refuses proposals meanwhile. If the voter does not
// catch up within TransferTimeout, the transfer is aborted; if it was requested to campaign and does not win in time, the
// leader steps down.
func (n *Node) TransferLeadership(now time.Time, to uint64) error {
	n.advanceClock(now)
	if err := n.checkAcceptsProposals(); err != nil {
		return err
	}
	if to == n.config.ID || !n.hasVote(to) {
		return trace.BadParameter("transfer leadership to %d: not another voter", to)
	}
	n.startTransfer(to)
	return nil
}

func (n *Node) startTransfer(to uint64) {
	n.transferee = to
	n.transferDeadline = n.now.Add(n.config.TransferTimeout)
	n.continueTransfer()
}

// Resign makes a leader step down without choosing a successor, for example because its disk fails.
func (n *Node) Resign(now time.Time) {
	n.advanceClock(now)
	if n.role == Leader {
		n.stepDown(Resigned)
	}
}

// continueTransfer makes the transferee campaign once it has all entries.
func (n *Node) continueTransfer() {
	if n.role != Leader || n.transferee == 0 || n.leaseReleased {
		return
	}
	p := n.peer(n.transferee)
	if p == nil || p.match != n.log.last() {
		return
	}
	n.leaseReleased = true
	n.sendImmediate(&Message{Type: controlpb.MessageType_TIMEOUT_NOW, To: p.id, Term: n.term})
}

// checkDiskStall transfers the leadership when the local disk does not store what a quorum already has. Heartbeats need no
// sync, so a leader whose disk hangs would otherwise keep its leadership and acknowledge nothing.
func (n *Node) checkDiskStall() {
	if n.durable >= n.stalledIndex {
		n.stalledIndex, n.stalledSince = n.commit, n.now
		return
	}
	if n.now.Sub(n.stalledSince) < n.config.CheckQuorumTimeout || n.transferee != 0 {
		return
	}
	if best := n.mostUpToDateVoter(); best != nil {
		n.startTransfer(best.id)
	}
}

// mostUpToDateVoter returns the other voter with the most durable entries, or nil if there is no other voter.
func (n *Node) mostUpToDateVoter() *peer {
	var best *peer
	for _, p := range n.peers {
		if p.voter && (best == nil || p.match > best.match) {
			best = p
		}
	}
	return best
}
