package consensus

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"galenamoor/internal/controlpb"
)

// Node is one replica of the log.
type Node struct {
	config    Config
	now       time.Time // latest time passed to any call
	stampBase int64     // stamp of config.Now

	role   Role
	term   uint64
	vote   uint64
	leader uint64

	log         entryLog
	snapshot    *controlpb.Snapshot // latest durable or installed snapshot
	memberships []indexedMembership // ordered by index; the first one is at or below the log's base

	commit    uint64
	released  uint64 // last index of the current series of outputs with committed entries
	delivered uint64 // last index delivered in Committed
	applied   uint64
	durable   uint64 // index up to which this log is known to be on disk
	verified  uint64 // index up to which the log is known to match that of the current term's leader

	// State of followers and candidates.
	refuseVotesUntil time.Time // votes are refused before this time
	electionTimeout  time.Duration
	electionDeadline time.Time
	failedElections  int             // consecutive failed elections
	electionDeferred bool            // the election was already deferred in favor of another candidate
	votes            map[uint64]bool // granted votes or pre-votes
	transferCampaign bool            // the leader requested the campaign
	ackedRound       uint64          // latest heartbeat round received in this term
	outOfOrder       []*Message      // buffered appends that follow a missing one

	leaderState
	lastStepDown StepDown

	freshAt        time.Time
	freshnessMarks []freshnessMark

	// Pending parts of the next output.
	hardStateChanged bool
	pendingSnapshot  *controlpb.Snapshot
	nextEntry        uint64 // first index not yet delivered in Entries
	replyPending     bool
	pendingReject    *Message
	immediate        []*Message
	afterSync        []*Message

	sequence  uint64
	inflight  []outputRecord // outputs not yet advanced, oldest first
	persisted struct{ term, vote uint64 }
}

// outputRecord records what becomes durable and applied when an output is advanced.
type outputRecord struct {
	sequence   uint64
	term, vote uint64
	// durable is lowered when the log is truncated while the output is being persisted. Comparing terms in Advance would
	// not suffice, because a truncated entry can be appended again with the same index and term.
	durable uint64
	applied uint64
}

// New returns a node that starts as a follower with the restored state.
func New(config Config, restored Restored) (*Node, error) {
	config = config.withDefaults()
	if config.ID == 0 {
		return nil, trace.BadParameter("create replica: identity is 0")
	}
	if config.Rand == nil {
		return nil, trace.BadParameter("create replica %d: no random source", config.ID)
	}
	if config.LeaseDuration >= config.ElectionTimeout {
		return nil, trace.BadParameter("create replica %d: lease of %v is not below the election timeout of %v",
			config.ID, config.LeaseDuration, config.ElectionTimeout)
	}
	n := &Node{config: config, now: config.Now, nextEntry: 1}
	n.stampBase = config.Rand.Int64N(1<<61) + 1
	if err := n.restore(restored); err != nil {
		return nil, trace.Wrap(err, "restore replica %d", config.ID)
	}
	// The replica cannot know when it received the last message from a leader before it was restarted.
	n.refuseVotesUntil = n.now.Add(config.ElectionTimeout)
	n.resetElectionTimer()
	return n, nil
}

func (n *Node) restore(r Restored) error {
	if r.empty() && n.config.Bootstrap != nil && memberOf(n.config.Bootstrap, n.config.ID) != nil {
		n.pendingSnapshot = &controlpb.Snapshot{Membership: n.config.Bootstrap}
		n.snapshot = n.pendingSnapshot
		n.memberships = []indexedMembership{{membership: n.config.Bootstrap}}
		return nil
	}
	if s := r.Snapshot; s != nil {
		if s.Membership == nil {
			return trace.BadParameter("snapshot %d has no membership", s.Index)
		}
		n.snapshot = s
		n.log.reset(s.Index, s.Term)
		n.memberships = []indexedMembership{{index: s.Index, membership: s.Membership}}
	}
	entries, stale, err := entriesAfter(r.Entries, n.log.base, n.log.baseTerm)
	if err != nil {
		return err
	}
	if stale {
		// Writing the snapshot again makes the caller remove the stale log from disk.
		n.pendingSnapshot = r.Snapshot
	}
	if err := n.appendEntries(entries); err != nil {
		return err
	}
	hs := r.HardState
	n.term, n.vote = hs.GetTerm(), hs.GetVote()
	if last := n.log.lastTerm(); last > n.term {
		n.term, n.vote = last, 0
		n.hardStateChanged = true
	}
	n.persisted.term, n.persisted.vote = hs.GetTerm(), hs.GetVote()
	n.commit = max(n.log.base, min(hs.GetCommit(), n.log.last()))
	n.delivered, n.applied = n.log.base, n.log.base
	n.durable, n.nextEntry = n.log.last(), n.log.last()+1
	n.verified = n.commit
	return nil
}

// entriesAfter returns the stored entries that follow a snapshot. A log that ends before the snapshot's index, or has
// another term there, is stale: the replica crashed after it stored the snapshot and before it removed the old log.
func entriesAfter(entries []*controlpb.Entry, index, term uint64) (rest []*controlpb.Entry, stale bool, err error) {
	for i := 1; i < len(entries); i++ {
		if entries[i].Index != entries[i-1].Index+1 {
			return nil, false, trace.BadParameter("entry %d follows entry %d", entries[i].Index, entries[i-1].Index)
		}
	}
	if len(entries) == 0 {
		return nil, false, nil
	}
	first, last := entries[0].Index, entries[len(entries)-1].Index
	switch {
	case first > index+1:
		return nil, false, trace.BadParameter("first entry %d does not follow snapshot %d", first, index)
	case first == index+1:
		return entries, false, nil
	case last < index || entries[index-first].Term != term:
		return nil, true, nil
	}
	return entries[index-first+1:], false, nil
}

func (n *Node) advanceClock(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
}

// Step handles a message from another replica. It returns an error if the message is invalid or addressed to another
// replica.
func (n *Node) Step(now time.Time, m *Message) error {
	n.advanceClock(now)
	if m.To != n.config.ID {
		return trace.BadParameter("message %v from %d is for replica %d, this is %d", m.Type, m.From, m.To, n.config.ID)
	}
	switch m.Type {
	case controlpb.MessageType_PRE_VOTE:
		n.stepPreVote(m)
		return nil
	case controlpb.MessageType_PRE_VOTE_REPLY:
		n.stepPreVoteReply(m)
		return nil
	case controlpb.MessageType_VOTE:
		n.stepVote(m)
		return nil
	}
	fromLeader := m.Type == controlpb.MessageType_APPEND || m.Type == controlpb.MessageType_SNAPSHOT
	if m.Term < n.term {
		if fromLeader {
			// The reply makes a leader of an earlier term step down.
			n.sendImmediate(&Message{Type: controlpb.MessageType_APPEND_REPLY, To: m.From, Term: n.term, Reject: true})
		}
		return nil
	}
	if m.Term > n.term {
		if m.Type == controlpb.MessageType_TIMEOUT_NOW {
			return nil
		}
		n.becomeFollower(m.Term, 0)
	}
	if fromLeader {
		if n.role == Leader {
			return trace.CompareFailed("replica %d leads term %d and got %v from %d", n.config.ID, n.term, m.Type, m.From)
		}
		n.recordLeaderContact(m.From)
	}
	switch m.Type {
	case controlpb.MessageType_APPEND:
		return trace.Wrap(n.stepAppend(m), "append from %d", m.From)
	case controlpb.MessageType_SNAPSHOT:
		return trace.Wrap(n.stepSnapshot(m), "snapshot from %d", m.From)
	case controlpb.MessageType_APPEND_REPLY, controlpb.MessageType_SNAPSHOT_REPLY:
		n.stepReply(m)
	case controlpb.MessageType_VOTE_REPLY:
		n.stepVoteReply(m)
	case controlpb.MessageType_TIMEOUT_NOW:
		n.stepTimeoutNow()
	default:
		return trace.BadParameter("message of unknown type %v from %d", m.Type, m.From)
	}
	return nil
}

// Tick handles all expired timers.
func (n *Node) Tick(now time.Time) {
	n.advanceClock(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.mayCampaign() && !n.now.Before(n.electionDeadline) {
		n.preCampaign()
	}
}

// NextDeadline returns the time at which the next timer expires, or the zero time if no timer runs.
func (n *Node) NextDeadline() time.Time {
	if n.role == Leader {
		return n.leaderDeadline()
	}
	if n.mayCampaign() {
		return n.electionDeadline
	}
	return time.Time{}
}

// Ready returns the next output, if any. It may be called again before the output is advanced. While committed entries are
// left for later outputs, there is a next one.
func (n *Node) Ready() (Output, bool) {
	if n.role == Leader {
		n.replicateAll()
	} else {
		n.replyToLeader()
	}
	o := Output{Snapshot: n.pendingSnapshot, Immediate: n.immediate, Messages: n.afterSync}
	n.pendingSnapshot, n.immediate, n.afterSync = nil, nil, nil
	if n.hardStateChanged {
		n.hardStateChanged = false
		o.HardState = &controlpb.HardState{Term: n.term, Vote: n.vote, Commit: n.commit}
	}
	if last := n.log.last(); n.nextEntry <= last {
		o.Entries = n.log.slice(n.nextEntry, last)
		n.nextEntry = last + 1
	}
	o.Committed = n.deliverable()
	n.delivered += uint64(len(o.Committed))
	o.CommittedLeft = n.delivered < n.released
	if !o.NeedsSync() && len(o.Immediate)+len(o.Messages)+len(o.Committed) == 0 {
		return Output{}, false
	}
	n.sequence++
	o.sequence = n.sequence
	record := outputRecord{sequence: o.sequence, term: n.term, vote: n.vote, applied: n.delivered}
	if o.Snapshot != nil || len(o.Entries) > 0 {
		record.durable = n.nextEntry - 1
	}
	n.inflight = append(n.inflight, record)
	return o, true
}

// deliverable returns the committed entries to deliver next, within the limits of one output. Entries that are committed
// after the first of a series of outputs aren't part of that series, so that it ends.
func (n *Node) deliverable() []*controlpb.Entry {
	if n.delivered >= n.released {
		n.released = min(n.commit, n.durable)
	}
	last := min(n.released, n.delivered+uint64(n.config.MaxCommittedEntries))
	if last <= n.delivered {
		return nil
	}
	return limitBytes(n.log.slice(n.delivered+1, last), n.config.MaxCommittedBytes)
}

// Immediate returns the queued messages that need no sync, for a caller that can't persist another output yet. Heartbeats and
// their replies then don't wait for its disk.
func (n *Node) Immediate() []*Message {
	switch {
	case n.role == Leader:
		n.replicateAll()
	case n.persisted.term == n.term:
		n.replyToLeader()
	}
	messages := n.immediate
	n.immediate = nil
	return messages
}

// Advance reports that an output was persisted and synced and that its committed entries were applied. It panics if
// outputs are not advanced in order.
func (n *Node) Advance(now time.Time, o Output) {
	n.advanceClock(now)
	if len(n.inflight) == 0 || n.inflight[0].sequence != o.sequence {
		panic("consensus: outputs were not advanced in order")
	}
	record := n.inflight[0]
	n.inflight = slices.Delete(n.inflight, 0, 1)
	n.persisted.term, n.persisted.vote = record.term, record.vote
	n.applied = max(n.applied, record.applied)
	n.updateFreshness()
	if record.durable > n.durable {
		n.durable = record.durable
		if n.role == Leader {
			n.advanceCommit()
		} else {
			n.replyPending = true
		}
	}
	if n.role == Candidate && record.term == n.term && record.vote == n.config.ID {
		n.countVote(n.config.ID)
	}
}

func (n *Node) appendEntries(entries []*controlpb.Entry) error {
	n.log.append(entries...)
	for _, e := range entries {
		if e.Type != controlpb.EntryType_MEMBERSHIP {
			continue
		}
		if err := n.appendMembership(e); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// truncate removes the entries after index, which must not be committed.
func (n *Node) truncate(index uint64) {
	n.log.truncate(index)
	n.nextEntry = min(n.nextEntry, index+1)
	n.capDurable(index)
	for len(n.memberships) > 0 && n.memberships[len(n.memberships)-1].index > index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// capDurable lowers the durable index, also of outputs in flight, to at most index.
func (n *Node) capDurable(index uint64) {
	n.durable = min(n.durable, index)
	for i := range n.inflight {
		n.inflight[i].durable = min(n.inflight[i].durable, index)
	}
}

// sendImmediate queues a message that need not wait for a sync.
func (n *Node) sendImmediate(m *Message) {
	m.From = n.config.ID
	n.immediate = append(n.immediate, m)
}

// sendAfterSync queues a message that is sent once this output and all earlier ones are synced.
func (n *Node) sendAfterSync(m *Message) {
	m.From = n.config.ID
	n.afterSync = append(n.afterSync, m)
}

// Role returns the node's role in the current term.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the identity of the current leader, or 0 if unknown.
func (n *Node) Leader() uint64 { return n.leader }

// Status returns a summary of the node's state. It allocates, unlike the accessors above.
func (n *Node) Status() Status {
	s := Status{
		ID: n.config.ID, Role: n.role, Term: n.term, Leader: n.leader, Voter: n.isVoter(), LastIndex: n.log.last(),
		Durable: n.durable, Commit: n.commit, Applied: n.applied, FirstIndex: n.log.base + 1,
		TermCommitted: n.role == Leader && n.termCommitted(), Transferring: n.transferee != 0,
		LastStepDown: n.lastStepDown,
	}
	for _, p := range n.peers {
		s.Peers = append(s.Peers, PeerStatus{
			ID: p.id, Voter: p.voter, Match: p.match, Next: p.next, InflightBytes: p.inflightBytes,
			Snapshot: p.state == sendingSnapshot, Active: n.active(p),
		})
	}
	return s
}
