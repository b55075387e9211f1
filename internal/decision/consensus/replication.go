package consensus

import (
	"cmp"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
)

// addressBroadcastRounds is the number of heartbeat rounds between broadcasts of the member addresses, 1 s at the default
// heartbeat interval.
const addressBroadcastRounds = 10

// entryOverheadBytes is the estimated encoded size of an entry without its data.
const entryOverheadBytes = 16

func entrySize(e *controlpb.Entry) int {
	return len(e.Data) + entryOverheadBytes
}

// maxOutOfOrderAppends bounds the appends that a follower buffers because an earlier one is missing. The leader's
// in-flight window bounds their bytes.
const maxOutOfOrderAppends = 64

// outOfOrderRejectThreshold is the number of buffered appends at which the follower requests the missing one. Fewer are
// treated as reordering, in which the missing append still arrives; if it does not, the next heartbeat reveals the loss.
const outOfOrderRejectThreshold = 3

// leaderState is the state that only a leader uses.
type leaderState struct {
	peers             []*peer                          // members other than this one, ordered by ID
	round             uint64                           // number of the latest heartbeat round
	rounds            [maxTrackedRounds]heartbeatRound // by round number modulo maxTrackedRounds
	confirmed         uint64                           // latest round that a quorum acknowledged
	leaseStart        time.Time                        // start of that round
	quorumAt          time.Time                        // start of the latest confirmed round, or of the leadership
	heartbeatAt       time.Time
	commitBroadcastAt time.Time // zero when no broadcast is due
	uncommittedBytes  int
	transferee        uint64 // 0 when no transfer is in progress
	transferDeadline  time.Time
	leaseReleased     bool      // TIMEOUT_NOW was sent in this term
	stalledIndex      uint64    // commit index that the local disk has to reach
	stalledSince      time.Time // time at which stalledIndex was set
	scratch           []uint64  // buffer of nthLargest
}

type peerState int

const (
	probing         peerState = iota // finding the last matching entry, one append at a time
	replicating                      // appends are pipelined
	sendingSnapshot                  // waiting for a snapshot to be installed
)

// peer is the leader's replication state of another member.
type peer struct {
	id                 uint64
	voter              bool
	state              peerState
	match              uint64 // index up to which entries are durable on the peer
	next               uint64 // index of the next entry to send
	probeSent          bool   // the append of the current probe was sent
	inflight           []inflightAppend
	inflightBytes      int
	sentCommit         uint64 // commit index of the last append
	commitBroadcastDue bool
	heartbeatDue       bool
	ackedRound         uint64 // latest round that the peer acknowledged
	lastReplyAt        time.Time
	snapshotIndex      uint64
	snapshotSentAt     time.Time
	oldestStamp        pendingStamp // oldest stamp that waits for a round to be confirmed
	newestStamp        pendingStamp // latest stamp that arrived after oldestStamp
	echo               int64        // latest stamp that may be echoed
}

// inflightAppend is a sent append whose entries are not yet durable on the peer.
type inflightAppend struct {
	last   uint64 // index of its last entry
	bytes  int
	round  uint64 // heartbeat round of its last transmission
	resent bool
}

func (n *Node) peer(id uint64) *peer {
	for _, p := range n.peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (n *Node) active(p *peer) bool {
	return !p.lastReplyAt.IsZero() && n.now.Sub(p.lastReplyAt) < n.config.CheckQuorumTimeout
}

// rebuildPeers updates the peers to the membership in effect and keeps the state of remaining ones.
func (n *Node) rebuildPeers() {
	old := n.peers
	n.peers = nil
	for _, member := range n.Membership().Members {
		if member.Id == n.config.ID {
			continue
		}
		i := slices.IndexFunc(old, func(p *peer) bool { return p.id == member.Id })
		if i < 0 {
			n.peers = append(n.peers, &peer{id: member.Id, voter: member.Voter, next: n.log.last() + 1})
			continue
		}
		old[i].voter = member.Voter
		n.peers = append(n.peers, old[i])
	}
	slices.SortFunc(n.peers, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.config.ID
	n.votes, n.failedElections = nil, 0
	n.leaderState = leaderState{quorumAt: n.now}
	for _, e := range n.log.slice(n.commit+1, n.log.last()) {
		n.uncommittedBytes += entrySize(e)
	}
	n.rebuildPeers()
	n.appendEntry(controlpb.EntryType_EMPTY, nil)
	n.startRound()
}

func (n *Node) appendEntry(kind controlpb.EntryType, data []byte) *controlpb.Entry {
	entry := &controlpb.Entry{Index: n.log.last() + 1, Term: n.term, Type: kind, Data: data}
	n.log.append(entry)
	n.uncommittedBytes += entrySize(entry)
	return entry
}

// Propose appends a command. The command is committed when an entry with the returned index and term is in Committed; it
// is lost when another entry is committed at that index. The node retains data. It returns NotLeaderError or
// OverloadedError if the command is refused.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	n.advanceClock(now)
	if err := n.checkAcceptsProposals(); err != nil {
		return 0, 0, err
	}
	if n.uncommittedBytes > n.config.MaxUncommittedBytes {
		return 0, 0, &OverloadedError{Bytes: n.uncommittedBytes}
	}
	entry := n.appendEntry(controlpb.EntryType_COMMAND, data)
	return entry.Index, entry.Term, nil
}

func (n *Node) checkAcceptsProposals() error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.transferee != 0 {
		return &NotLeaderError{Leader: n.transferee}
	}
	return nil
}

func (n *Node) tickLeader() {
	if n.now.Sub(n.quorumAt) >= n.config.CheckQuorumTimeout {
		n.stepDown(QuorumLost)
		// The other voters may receive from this replica without reaching it, so it lets them start the next election.
		n.electionDeadline = n.electionDeadline.Add(n.config.ElectionTimeoutMax)
		return
	}
	if n.transferee != 0 && !n.now.Before(n.transferDeadline) {
		if n.leaseReleased {
			n.stepDown(TransferUnfinished)
			return
		}
		n.transferee, n.transferDeadline = 0, time.Time{}
	}
	n.checkDiskStall()
	if !n.now.Before(n.heartbeatAt) {
		n.startRound()
	}
	if !n.commitBroadcastAt.IsZero() && !n.now.Before(n.commitBroadcastAt) {
		n.commitBroadcastAt = time.Time{}
		for _, p := range n.peers {
			p.commitBroadcastDue = true
		}
	}
}

func (n *Node) leaderDeadline() time.Time {
	deadline := n.heartbeatAt
	for _, t := range []time.Time{n.quorumAt.Add(n.config.CheckQuorumTimeout), n.commitBroadcastAt, n.transferDeadline} {
		if !t.IsZero() && t.Before(deadline) {
			deadline = t
		}
	}
	return deadline
}

func (n *Node) replicateAll() {
	for _, p := range n.peers {
		n.replicate(p)
	}
}

// replicate queues the messages that can be sent to a peer now.
func (n *Node) replicate(p *peer) {
	if p.state == sendingSnapshot && n.now.Sub(p.snapshotSentAt) >= n.config.SnapshotTimeout {
		p.state = probing
	}
	if p.state != sendingSnapshot && p.next <= n.log.base {
		p.state = probing
		n.sendSnapshot(p)
	}
	switch {
	case p.state == replicating:
		n.sendEntries(p)
	case p.state == probing && p.next > n.log.base && !p.probeSent:
		p.probeSent = true
		n.sendAppend(p, p.next-1, n.batch(p.next, n.config.MaxAppendBytes))
	}
	if p.heartbeatDue {
		n.sendAppend(p, n.heartbeatIndex(p), nil)
	} else if p.commitBroadcastDue && p.sentCommit < n.commit && p.state == replicating {
		n.sendAppend(p, n.heartbeatIndex(p), nil)
	}
	p.commitBroadcastDue = false
}

// heartbeatIndex returns the preceding index of an append without entries. For a pipelined peer it is an entry that the
// peer is known to hold, so that a heartbeat is accepted even if it arrives before entries sent earlier. Index 0 matches
// every log.
func (n *Node) heartbeatIndex(p *peer) uint64 {
	index := p.match
	if p.state == probing {
		index = p.next - 1
	}
	if index < n.log.base {
		return 0
	}
	return index
}

func (n *Node) sendEntries(p *peer) {
	for p.next <= n.log.last() {
		room := n.config.MaxInflightBytes - p.inflightBytes
		if len(p.inflight) > 0 && room < entrySize(n.log.slice(p.next, p.next)[0]) {
			return
		}
		entries := n.batch(p.next, min(room, n.config.MaxAppendBytes))
		n.sendAppend(p, p.next-1, entries)
		bytes := 0
		for _, e := range entries {
			bytes += entrySize(e)
		}
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, inflightAppend{last: p.next - 1, bytes: bytes, round: n.round})
		p.inflightBytes += bytes
	}
}

// batch returns the entries from index first that fit into limit bytes, but at least one if there is any.
func (n *Node) batch(first uint64, limit int) []*controlpb.Entry {
	return limitBytes(n.log.slice(first, n.log.last()), limit)
}

// limitBytes returns the first entries that fit into limit bytes, but at least one if there is any.
func limitBytes(entries []*controlpb.Entry, limit int) []*controlpb.Entry {
	bytes := 0
	for i, e := range entries {
		bytes += entrySize(e)
		if i > 0 && bytes > limit {
			return entries[:i:i]
		}
	}
	return entries
}

func (n *Node) sendAppend(p *peer, index uint64, entries []*controlpb.Entry) {
	m := &Message{
		Type: controlpb.MessageType_APPEND, To: p.id, Term: n.term, Index: index, Entries: entries,
		Commit: n.commit, Round: n.round, Echo: n.echo(p),
	}
	m.LogTerm, _ = n.log.term(index)
	if index == 0 {
		m.LogTerm = 0
	}
	if p.heartbeatDue && n.round%addressBroadcastRounds == 1 {
		m.Members = n.Membership().Members
	}
	p.heartbeatDue = false
	p.sentCommit = n.commit
	n.sendImmediate(m)
}

// sendSnapshot sends the latest snapshot to a peer that lacks compacted entries. Inactive peers get only heartbeats,
// because a snapshot is large.
func (n *Node) sendSnapshot(p *peer) {
	if !n.active(p) {
		return
	}
	p.state = sendingSnapshot
	p.snapshotIndex, p.snapshotSentAt = n.snapshot.Index, n.now
	p.inflight, p.inflightBytes = nil, 0
	n.sendImmediate(&Message{
		Type: controlpb.MessageType_SNAPSHOT, To: p.id, Term: n.term, Round: n.round, Commit: n.commit,
		Snapshot: n.snapshot,
	})
}

// stepReply handles the reply to an append or a snapshot.
func (n *Node) stepReply(m *Message) {
	p := n.peer(m.From)
	if n.role != Leader || p == nil {
		return
	}
	p.lastReplyAt = n.now
	n.receiveStamp(p, m.Stamp)
	if m.Round > p.ackedRound && m.Round <= n.round {
		p.ackedRound = m.Round
		n.confirmRounds()
	}
	if m.Reject {
		n.stepReject(p, m)
		return
	}
	received := min(max(m.Hint, m.Index), n.log.last())
	if m.Index > p.match && m.Index <= n.log.last() {
		p.match = m.Index
	}
	p.next = max(p.next, p.match+1)
	switch {
	case p.state == sendingSnapshot && received >= min(p.snapshotIndex, n.log.base):
		p.state, p.next = replicating, received+1
	case p.state == probing && received >= n.log.base && received >= p.next-1:
		p.state, p.next = replicating, received+1
	}
	n.releaseInflight(p, m.Round, received)
	n.advanceCommit()
	n.continueTransfer()
}

// releaseInflight removes appends that are durable on the peer. It rewinds to the first append that the peer did not
// receive although it replied to a later round, so that it is sent again.
func (n *Node) releaseInflight(p *peer, round, received uint64) {
	done := 0
	for done < len(p.inflight) && p.inflight[done].last <= p.match {
		p.inflightBytes -= p.inflight[done].bytes
		done++
	}
	p.inflight = slices.Delete(p.inflight, 0, done)
	lost := slices.IndexFunc(p.inflight, func(s inflightAppend) bool { return s.last > received && s.round < round })
	if lost < 0 || p.state != replicating {
		return
	}
	p.next = max(p.match, received) + 1
	for _, s := range p.inflight[lost:] {
		p.inflightBytes -= s.bytes
	}
	p.inflight = p.inflight[:lost]
}

// stepReject backs up to the last entry that the peer may share with this log.
func (n *Node) stepReject(p *peer, m *Message) {
	if p.state == sendingSnapshot || p.state == probing && m.Index != p.next-1 || m.Index >= p.next {
		return
	}
	if m.Index <= p.match {
		if p.voter {
			return // stale: sent before the peer had these entries
		}
		// A learner without a disk loses its log at a restart. It has no vote, so its match index never counts towards a
		// quorum.
		p.match = 0
	}
	if p.state == replicating && m.Hint >= p.match && n.log.matches(m.Hint, m.LogTerm) && n.resend(p, m.Hint) {
		return
	}
	index := min(m.Hint, m.Index-1)
	for index > n.log.base {
		if term, _ := n.log.term(index); term <= m.LogTerm {
			break
		}
		index--
	}
	p.next = max(index, p.match) + 1
	p.state, p.probeSent = probing, false
	p.inflight, p.inflightBytes = nil, 0
}

// resend retransmits the append that follows an index, once, and reports whether it is in flight. Later appends are
// retransmitted only if a later round shows that they are missing too, because the peer buffers them.
func (n *Node) resend(p *peer, index uint64) bool {
	i := slices.IndexFunc(p.inflight, func(s inflightAppend) bool { return s.last > index })
	if i < 0 {
		return false
	}
	if s := &p.inflight[i]; !s.resent {
		s.resent, s.round = true, n.round
		n.sendAppend(p, index, n.log.slice(index+1, s.last))
	}
	return true
}

// advanceCommit commits the entries that are durable on a quorum. Only entries of the current term are committed by
// counting replicas; earlier ones are committed with them.
func (n *Node) advanceCommit() {
	quorum := n.quorum()
	index := n.matchedBy(quorum)
	if n.isVoter() {
		index = max(index, min(n.durable, n.matchedBy(quorum-1)))
	}
	if index <= n.commit || !n.log.matches(index, n.term) {
		return
	}
	for _, e := range n.log.slice(n.commit+1, index) {
		n.uncommittedBytes -= entrySize(e)
	}
	n.setCommit(index)
	if n.commitBroadcastAt.IsZero() {
		n.commitBroadcastAt = n.now.Add(n.config.CommitBroadcastDelay)
	}
	if !n.isVoter() && n.memberships[len(n.memberships)-1].index <= n.commit {
		n.stepDownAfterRemoval()
	}
}

// matchedBy returns the index up to which at least count voters other than this one have durable entries.
func (n *Node) matchedBy(count int) uint64 {
	if count == 0 {
		return n.log.last()
	}
	return n.nthLargest(count, func(p *peer) uint64 { return p.match })
}

// stepDownAfterRemoval steps down after the node's own removal was committed and makes the most up-to-date voter campaign
// immediately.
func (n *Node) stepDownAfterRemoval() {
	successor := n.mostUpToDateVoter()
	term := n.term
	n.stepDown(Removed)
	n.sendImmediate(&Message{Type: controlpb.MessageType_TIMEOUT_NOW, To: successor.id, Term: term})
}
