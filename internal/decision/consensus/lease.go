package consensus

import (
	"time"

	"galenamoor/internal/controlpb"
)

// maxTrackedRounds is the number of heartbeat rounds whose start times are recorded. At one round per heartbeat interval
// they cover 3.2 s, far more than the lease and the check-quorum timeout.
const maxTrackedRounds = 32

// maxFreshnessMarks bounds the marks that wait for entries to be applied. Newer marks are dropped, because older ones are
// reached first.
const maxFreshnessMarks = 64

// heartbeatRound records the start of a leader's heartbeat round.
type heartbeatRound struct {
	at         time.Time
	commit     uint64
	termCommit bool // an entry of the leader's term was committed when the round was started
}

// freshnessMark states that every entry acknowledged before at has an index of at most commit.
type freshnessMark struct {
	at     time.Time
	commit uint64
}

// pendingStamp is a follower's stamp and the round that must be confirmed before the stamp may be echoed.
type pendingStamp struct {
	stamp int64
	round uint64
}

// startRound starts a heartbeat round.
func (n *Node) startRound() {
	n.round++
	n.rounds[n.round%maxTrackedRounds] = heartbeatRound{at: n.now, commit: n.commit, termCommit: n.termCommitted()}
	n.heartbeatAt = n.now.Add(n.config.HeartbeatInterval)
	for _, p := range n.peers {
		p.heartbeatDue = true
	}
	n.confirmRounds()
}

// confirmRounds finds the latest round that a quorum of the current voters acknowledged, and updates the lease. It runs
// again after a membership change, because the quorum must consist of the voters in effect.
func (n *Node) confirmRounds() {
	required := n.quorum()
	if n.isVoter() {
		required--
	}
	confirmed := n.round
	if required > 0 {
		confirmed = n.nthLargest(required, func(p *peer) uint64 { return p.ackedRound })
	}
	n.confirmed = confirmed
	n.leaseStart = time.Time{}
	if confirmed == 0 || n.round-confirmed >= maxTrackedRounds {
		return
	}
	r := n.rounds[confirmed%maxTrackedRounds]
	n.leaseStart = r.at
	if r.at.After(n.quorumAt) {
		n.quorumAt = r.at
	}
	if r.termCommit {
		n.addFreshnessMark(r.at, r.commit)
	}
}

// nthLargest returns the nth largest value among the voters other than this node.
func (n *Node) nthLargest(nth int, value func(*peer) uint64) uint64 {
	values := n.scratch[:0]
	for _, p := range n.peers {
		if !p.voter {
			continue
		}
		v := value(p)
		i := len(values)
		values = append(values, v)
		for ; i > 0 && values[i-1] < v; i-- {
			values[i] = values[i-1]
		}
		values[i] = v
	}
	n.scratch = values
	if nth > len(values) {
		return 0
	}
	return values[nth-1]
}

// LeaseValid reports whether this node is guaranteed to be the only leader at the given time, which is a time of the local
// clock.
func (n *Node) LeaseValid(now time.Time) bool {
	return n.role == Leader && !n.leaseReleased && !n.leaseStart.IsZero() &&
		now.Sub(n.leaseStart) < n.config.LeaseDuration
}

// termCommitted reports whether an entry of the current term is committed. The commit index then covers all entries that
// were acknowledged in earlier terms.
func (n *Node) termCommitted() bool {
	term, ok := n.log.term(n.commit)
	return ok && term == n.term
}

// stamp returns the current time in nanoseconds on a clock that is unique to this start of the replica.
func (n *Node) stamp() int64 {
	return n.stampBase + int64(n.now.Sub(n.config.Now))
}

// receiveStamp keeps a follower's stamp until a round that starts after its arrival is confirmed. Of the stamps that
// arrive in the meantime only the latest is kept.
func (n *Node) receiveStamp(p *peer, stamp int64) {
	if stamp == 0 {
		return
	}
	pending := pendingStamp{stamp: stamp, round: n.round + 1}
	if p.oldestStamp.stamp == 0 {
		p.oldestStamp = pending
	} else {
		p.newestStamp = pending
	}
}

// echo returns the stamp that may be sent back to a follower together with the current commit index, or 0.
func (n *Node) echo(p *peer) int64 {
	if p.oldestStamp.stamp != 0 && p.oldestStamp.round <= n.confirmed {
		p.echo = p.oldestStamp.stamp
		p.oldestStamp, p.newestStamp = p.newestStamp, pendingStamp{}
	}
	if !n.termCommitted() {
		return 0
	}
	return p.echo
}

// receiveEcho handles an echoed stamp. Stamps of earlier starts of this replica are outside the valid range.
func (n *Node) receiveEcho(m *controlpb.ConsensusMessage) {
	if m.Echo < n.stampBase || m.Echo > n.stamp() {
		return
	}
	n.addFreshnessMark(n.config.Now.Add(time.Duration(m.Echo-n.stampBase)), m.Commit)
}

func (n *Node) addFreshnessMark(at time.Time, commit uint64) {
	if !at.After(n.freshAt) {
		return
	}
	if k := len(n.freshnessMarks); k > 0 && !at.After(n.freshnessMarks[k-1].at) || k == maxFreshnessMarks {
		return
	}
	n.freshnessMarks = append(n.freshnessMarks, freshnessMark{at: at, commit: commit})
	n.updateFreshness()
}

// updateFreshness consumes the marks whose commit index has been applied.
func (n *Node) updateFreshness() {
	kept := n.freshnessMarks[:0]
	for _, mark := range n.freshnessMarks {
		if mark.commit > n.applied {
			kept = append(kept, mark)
		} else if mark.at.After(n.freshAt) {
			n.freshAt = mark.at
		}
	}
	n.freshnessMarks = kept
}

// FreshAt returns the latest local time at which the applied state is known to have been current, or the zero time.
func (n *Node) FreshAt() time.Time {
	return n.freshAt
}
