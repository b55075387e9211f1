package consensus

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// testNode is a node that a test steps manually. It is one of three voters.
type testNode struct {
	*Node
	t   *testing.T
	now time.Time
}

func newTestNode(t *testing.T, entries []*controlpb.Entry) *testNode {
	m := &controlpb.Membership{}
	for id := uint64(1); id <= 3; id++ {
		m.Members = append(m.Members, &controlpb.Member{Id: id, Voter: true})
	}
	n, err := New(Config{ID: 1, Now: epoch, Rand: rand.New(rand.NewPCG(1, 1))}, Restored{
		HardState: &controlpb.HardState{Term: 1}, Snapshot: &controlpb.Snapshot{Membership: m}, Entries: entries,
	})
	if err != nil {
		t.Fatal(err)
	}
	return &testNode{Node: n, t: t, now: epoch}
}

func (d *testNode) receive(m *Message) {
	m.To = 1
	if err := d.Step(d.now, m); err != nil {
		d.t.Fatal(err)
	}
}

func (d *testNode) advanceAll() {
	for o, ok := d.Ready(); ok; o, ok = d.Ready() {
		d.Advance(d.now, o)
	}
}

func (d *testNode) acknowledge(from, index uint64) {
	d.advanceAll()
	d.receive(&Message{Type: controlpb.MessageType_APPEND_REPLY, From: from, Term: d.term, Index: index, Hint: index})
	d.advanceAll()
}

func (d *testNode) change(kind controlpb.MembershipChange_Kind, id uint64) error {
	_, err := d.ProposeMembership(d.now, &controlpb.MembershipChange{Kind: kind, Member: &controlpb.Member{Id: id}})
	return err
}

func (d *testNode) expect(what string, ok bool) {
	d.t.Helper()
	if !ok {
		d.t.Errorf("violated: %s; %+v", what, d.Status())
	}
}

// TestLeaderRules guards against a leader that counts its own vote before the sync, commits an entry of an earlier term by
// counting replicas, or changes the membership while an earlier change is uncommitted.
func TestLeaderRules(t *testing.T) {
	d := newTestNode(t, entriesOf(1, 1))
	d.now = d.now.Add(time.Second)
	d.Tick(d.now)
	d.receive(&Message{Type: controlpb.MessageType_PRE_VOTE_REPLY, From: 2, Term: 2})
	o, _ := d.Ready()
	d.expect("vote requests wait for the sync", len(o.Messages) == 2 && o.HardState.GetVote() == 1)
	d.receive(&Message{Type: controlpb.MessageType_VOTE_REPLY, From: 2, Term: 2})
	d.expect("the own vote counts after the sync", d.role == Candidate)
	d.Advance(d.now, o)
	d.expect("two of three votes win", d.role == Leader)

	d.acknowledge(2, 1)
	d.expect("an entry of an earlier term is not committed by counting replicas", d.commit == 0)
	err := d.change(controlpb.MembershipChange_ADD_LEARNER, 4)
	d.expect("no change before an entry of the own term is committed", errors.Is(err, ErrMembershipPending))
	d.acknowledge(2, 2)
	d.expect("an entry of the own term commits", d.commit == 2)
	d.expect("a change is accepted", d.change(controlpb.MembershipChange_ADD_LEARNER, 4) == nil)
	err = d.change(controlpb.MembershipChange_REMOVE, 3)
	d.expect("one change at a time", errors.Is(err, ErrMembershipPending))
	d.acknowledge(4, 3)
	d.expect("a learner does not count", d.commit == 2)
	d.acknowledge(2, 3)
	for range 2 * DefaultMaxPromoteLag {
		if _, _, err := d.Propose(d.now, nil); err != nil {
			t.Fatal(err)
		}
	}
	err = d.change(controlpb.MembershipChange_PROMOTE, 4)
	d.expect("a learner that lacks entries is not promoted", errors.Is(err, ErrNotCaughtUp))
	d.expect("a member is removed", d.change(controlpb.MembershipChange_REMOVE, 4) == nil)
	d.acknowledge(2, d.log.last())
	err = d.change(controlpb.MembershipChange_ADD_LEARNER, 4)
	d.expect("a removed identity is not admitted", errors.Is(err, ErrRemoved))

	s, err := d.NewSnapshot(d.commit, nil)
	d.expect("a snapshot is taken", err == nil && d.Compact(d.commit, s) == nil)
	d.expect("the membership survives compaction", len(d.Membership().Members) == 3 && len(d.Membership().Removed) == 1)
	d.expect("the leader may remove itself", d.change(controlpb.MembershipChange_REMOVE, 1) == nil)
	d.acknowledge(2, d.log.last())
	d.expect("a leader that removes itself does not count", d.role == Leader && d.commit < d.log.last())
	d.acknowledge(3, d.log.last())
	d.expect("it steps down once the others have its removal", d.role == Follower && d.commit == d.log.last())
}

// TestEchoRule guards against echoing a stamp after the confirmation of a round that started before the stamp arrived, and
// against a lease without a quorum.
func TestEchoRule(t *testing.T) {
	d := newTestNode(t, nil)
	d.now = d.now.Add(time.Second)
	d.Tick(d.now)
	d.receive(&Message{Type: controlpb.MessageType_PRE_VOTE_REPLY, From: 2, Term: 2})
	d.advanceAll()
	d.receive(&Message{Type: controlpb.MessageType_VOTE_REPLY, From: 2, Term: 2})
	d.acknowledge(2, 1)
	reply := func(from, round uint64, stamp int64) {
		d.receive(&Message{
			Type: controlpb.MessageType_APPEND_REPLY, From: from, Term: 2, Index: 1, Hint: 1, Round: round, Stamp: stamp,
		})
	}
	echoes := func() (echo int64) {
		d.now = d.now.Add(DefaultHeartbeatInterval)
		d.Tick(d.now)
		o, _ := d.Ready()
		d.Advance(d.now, o)
		for _, m := range o.Immediate {
			echo = max(echo, m.Echo)
		}
		return echo
	}
	d.expect("no lease before a round is confirmed", !d.LeaseValid(d.now))
	reply(3, 0, 77)
	reply(2, 1, 0)
	d.expect("a lease with a quorum", d.LeaseValid(d.now))
	d.expect("no echo after an earlier round", echoes() == 0)
	reply(2, 1, 0)
	d.expect("no echo before a quorum", echoes() == 0)
	reply(2, 2, 0)
	d.expect("an echo after a later round", echoes() == 77)
	d.now = d.now.Add(DefaultLeaseDuration)
	d.expect("the lease ends", !d.LeaseValid(d.now))
}

// TestVoteRules guards against a vote that is sent before it is durable, and against a replica that votes immediately after
// a restart although it may have heard from a leader just before.
func TestVoteRules(t *testing.T) {
	d := newTestNode(t, nil)
	ask := func(transfer bool) Output {
		d.receive(&Message{Type: controlpb.MessageType_VOTE, From: 2, Term: 2, LeaderTransfer: transfer})
		o, _ := d.Ready()
		d.Advance(d.now, o)
		return o
	}
	d.now = epoch.Add(DefaultElectionTimeout - time.Millisecond)
	o := ask(false)
	d.expect("no vote right after the start", o.HardState == nil && o.Messages[0].Reject)
	o = ask(true)
	d.expect("a vote for a transfer, held for the sync", o.HardState.GetVote() == 2 && !o.Messages[0].Reject)

	d = newTestNode(t, entriesOf(1, 1))
	d.now = epoch.Add(DefaultElectionTimeout)
	d.expect("no vote for a shorter log", ask(false).Messages[0].Reject)
}

// TestDurableAfterTruncation guards against acknowledging an entry whose write is followed by the write of another entry
// at the same index, even if the first entry is appended again later.
func TestDurableAfterTruncation(t *testing.T) {
	d := newTestNode(t, nil)
	send := func(term, from, previous, previousTerm uint64, entries ...*controlpb.Entry) Output {
		d.receive(&Message{
			Type: controlpb.MessageType_APPEND, From: from, Term: term, Round: 1, Index: previous, LogTerm: previousTerm,
			Entries: entries,
		})
		o, _ := d.Ready()
		d.expect("no reply is sent before the term is durable", len(o.Immediate) == 0 && len(o.Messages) == 1)
		return o
	}
	first := send(2, 2, 0, 0, entriesOf(2, 1, 2)...)
	second := send(3, 3, 1, 2, entriesOf(3, 2)...)
	third := send(4, 2, 1, 2, append(entriesOf(2, 2), entriesOf(4, 3)...)...)
	d.Advance(d.now, first)
	d.expect("only the first entry remains on disk", d.Status().Durable == 1)
	d.Advance(d.now, second)
	d.expect("the second write is overwritten too", d.Status().Durable == 1)
	d.Advance(d.now, third)
	d.expect("the last write remains", d.Status().Durable == 3)

	d = newTestNode(t, nil)
	first = send(2, 2, 0, 0, entriesOf(2, 1, 2)...)
	d.receive(&Message{Type: controlpb.MessageType_SNAPSHOT, From: 3, Term: 3, Snapshot: &controlpb.Snapshot{
		Index: 1, Term: 3, Membership: d.Membership(),
	}})
	d.Advance(d.now, first)
	d.expect("a snapshot replaces what was being written", d.Status().Durable == 0)
	d.advanceAll()
	d.expect("the snapshot is durable", d.Status().Durable == 1)
}
