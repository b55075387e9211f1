package consensus

import (
	"errors"
	"fmt"
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

func (n *testNode) receive(m *Message) {
	m.To = 1
	if err := n.Step(n.now, m); err != nil {
		n.t.Fatal(err)
	}
}

func (n *testNode) advanceAll() {
	for o, ok := n.Ready(); ok; o, ok = n.Ready() {
		n.Advance(n.now, o)
	}
}

func (n *testNode) acknowledge(from, index uint64) {
	n.advanceAll()
	n.receive(&Message{Type: controlpb.MessageType_APPEND_REPLY, From: from, Term: n.term, Index: index, Hint: index})
	n.advanceAll()
}

func (n *testNode) change(kind controlpb.MembershipChange_Kind, id uint64) error {
	_, err := n.ProposeMembership(n.now, &controlpb.MembershipChange{Kind: kind, Member: &controlpb.Member{Id: id}})
	return err
}

func (n *testNode) expect(what string, ok bool) {
	n.t.Helper()
	if !ok {
		n.t.Errorf("violated: %s; %+v", what, n.Status())
	}
}

// TestLeaderRules guards against a leader that counts its own vote before the sync, commits an entry of an earlier term by
// counting replicas, or changes the membership while an earlier change is uncommitted.
func TestLeaderRules(t *testing.T) {
	n := newTestNode(t, entriesOf(1, 1))
	n.now = n.now.Add(time.Second)
	n.Tick(n.now)
	n.receive(&Message{Type: controlpb.MessageType_PRE_VOTE_REPLY, From: 2, Term: 2})
	o, _ := n.Ready()
	n.expect("vote requests wait for the sync", len(o.Messages) == 2 && o.HardState.GetVote() == 1)
	n.receive(&Message{Type: controlpb.MessageType_VOTE_REPLY, From: 2, Term: 2})
	n.expect("the own vote counts after the sync", n.role == Candidate)
	n.Advance(n.now, o)
	n.expect("two of three votes win", n.role == Leader)

	n.acknowledge(2, 1)
	n.expect("an entry of an earlier term is not committed by counting replicas", n.commit == 0)
	err := n.change(controlpb.MembershipChange_ADD_LEARNER, 4)
	n.expect("no change before an entry of the own term is committed", errors.Is(err, ErrMembershipPending))
	n.acknowledge(2, 2)
	n.expect("an entry of the own term commits", n.commit == 2)
	n.expect("a change is accepted", n.change(controlpb.MembershipChange_ADD_LEARNER, 4) == nil)
	err = n.change(controlpb.MembershipChange_REMOVE, 3)
	n.expect("one change at a time", errors.Is(err, ErrMembershipPending))
	n.acknowledge(4, 3)
	n.expect("a learner does not count", n.commit == 2)
	n.acknowledge(2, 3)
	for range 2 * DefaultMaxPromoteLag {
		if _, _, err := n.Propose(n.now, nil); err != nil {
			t.Fatal(err)
		}
	}
	err = n.change(controlpb.MembershipChange_PROMOTE, 4)
	n.expect("a learner that lacks entries is not promoted", errors.Is(err, ErrNotCaughtUp))
	n.expect("a member is removed", n.change(controlpb.MembershipChange_REMOVE, 4) == nil)
	n.acknowledge(2, n.log.last())
	err = n.change(controlpb.MembershipChange_ADD_LEARNER, 4)
	n.expect("a removed identity is not admitted", errors.Is(err, ErrRemoved))

	s, err := n.NewSnapshot(n.commit, nil)
	n.expect("a snapshot is taken", err == nil && n.Compact(n.commit, s) == nil)
	n.expect("the membership survives compaction", len(n.Membership().Members) == 3 && len(n.Membership().Removed) == 1)
	n.expect("the leader may remove itself", n.change(controlpb.MembershipChange_REMOVE, 1) == nil)
	n.acknowledge(2, n.log.last())
	n.expect("a leader that removes itself does not count", n.role == Leader && n.commit < n.log.last())
	n.acknowledge(3, n.log.last())
	n.expect("it steps down once the others have its removal", n.role == Follower && n.commit == n.log.last())
}

// TestEchoRule guards against echoing a stamp after the confirmation of a round that started before the stamp arrived, and
// against a lease without a quorum.
func TestEchoRule(t *testing.T) {
	n := newTestNode(t, nil)
	n.now = n.now.Add(time.Second)
	n.Tick(n.now)
	n.receive(&Message{Type: controlpb.MessageType_PRE_VOTE_REPLY, From: 2, Term: 2})
	n.advanceAll()
	n.receive(&Message{Type: controlpb.MessageType_VOTE_REPLY, From: 2, Term: 2})
	n.acknowledge(2, 1)
	reply := func(from, round uint64, stamp int64) {
		n.receive(&Message{
			Type: controlpb.MessageType_APPEND_REPLY, From: from, Term: 2, Index: 1, Hint: 1, Round: round, Stamp: stamp,
		})
	}
	echoes := func() (echo int64) {
		n.now = n.now.Add(DefaultHeartbeatInterval)
		n.Tick(n.now)
		o, _ := n.Ready()
		n.Advance(n.now, o)
		for _, m := range o.Immediate {
			echo = max(echo, m.Echo)
		}
		return echo
	}
	n.expect("no lease before a round is confirmed", !n.LeaseValid(n.now))
	reply(3, 0, 77)
	reply(2, 1, 0)
	n.expect("a lease with a quorum", n.LeaseValid(n.now))
	n.expect("no echo after an earlier round", echoes() == 0)
	reply(2, 1, 0)
	n.expect("no echo before a quorum", echoes() == 0)
	reply(2, 2, 0)
	n.expect("an echo after a later round", echoes() == 77)
	n.now = n.now.Add(DefaultLeaseDuration)
	n.expect("the lease ends", !n.LeaseValid(n.now))
}

// TestVoteRules guards against a vote that is sent before it is durable, and against a replica that votes immediately
// after a restart although it may have received a message from a leader just before.
func TestVoteRules(t *testing.T) {
	n := newTestNode(t, nil)
	ask := func(transfer bool) Output {
		n.receive(&Message{Type: controlpb.MessageType_VOTE, From: 2, Term: 2, LeaderTransfer: transfer})
		o, _ := n.Ready()
		n.Advance(n.now, o)
		return o
	}
	n.now = epoch.Add(DefaultElectionTimeout - time.Millisecond)
	o := ask(false)
	n.expect("no vote right after the start", o.HardState == nil && o.Messages[0].Reject)
	o = ask(true)
	n.expect("a vote for a transfer, held for the sync", o.HardState.GetVote() == 2 && !o.Messages[0].Reject)

	n = newTestNode(t, entriesOf(1, 1))
	n.now = epoch.Add(DefaultElectionTimeout)
	n.expect("no vote for a shorter log", ask(false).Messages[0].Reject)
}

// TestDurableAfterTruncation guards against acknowledging an entry whose write is followed by the write of another entry
// at the same index, even if the first entry is appended again later.
func TestDurableAfterTruncation(t *testing.T) {
	n := newTestNode(t, nil)
	send := func(term, from, previous, previousTerm uint64, entries ...*controlpb.Entry) Output {
		n.receive(&Message{
			Type: controlpb.MessageType_APPEND, From: from, Term: term, Round: 1, Index: previous, LogTerm: previousTerm,
			Entries: entries,
		})
		o, _ := n.Ready()
		n.expect("no reply is sent before the term is durable", len(o.Immediate) == 0 && len(o.Messages) == 1)
		return o
	}
	first := send(2, 2, 0, 0, entriesOf(2, 1, 2)...)
	second := send(3, 3, 1, 2, entriesOf(3, 2)...)
	third := send(4, 2, 1, 2, append(entriesOf(2, 2), entriesOf(4, 3)...)...)
	n.Advance(n.now, first)
	n.expect("only the first entry remains on disk", n.Status().Durable == 1)
	n.Advance(n.now, second)
	n.expect("the second write is overwritten too", n.Status().Durable == 1)
	n.Advance(n.now, third)
	n.expect("the last write remains", n.Status().Durable == 3)

	n = newTestNode(t, nil)
	first = send(2, 2, 0, 0, entriesOf(2, 1, 2)...)
	n.receive(&Message{Type: controlpb.MessageType_SNAPSHOT, From: 3, Term: 3, Snapshot: &controlpb.Snapshot{
		Index: 1, Term: 3, Membership: n.Membership(),
	}})
	n.Advance(n.now, first)
	n.expect("a snapshot replaces what was being written", n.Status().Durable == 0)
	n.advanceAll()
	n.expect("the snapshot is durable", n.Status().Durable == 1)
}

// TestCommittedLimits guards against an output whose committed entries exceed the limits, an entry that is left out or delivered
// twice, and freshness before the last one is applied.
func TestCommittedLimits(t *testing.T) {
	const last = 300
	for _, limits := range []Config{
		{},
		{MaxCommittedEntries: 7},
		{MaxCommittedBytes: 10 * entryOverheadBytes},
		{MaxCommittedBytes: 1},
	} {
		entries := entriesOf(1)
		for i := range uint64(last) {
			entries = append(entries, &controlpb.Entry{Index: i + 1, Term: 1, Data: make([]byte, i%50)})
		}
		n := newTestNode(t, entries)
		n.config.MaxCommittedBytes, n.config.MaxCommittedEntries = limits.MaxCommittedBytes, limits.MaxCommittedEntries
		n.config = n.config.withDefaults()
		n.receive(&Message{Type: controlpb.MessageType_APPEND, From: 2, Term: 2, Index: last, LogTerm: 1, Commit: last, Round: 1, Echo: n.stamp()})
		applied, outputs := uint64(0), 0
		for o, ok := n.Ready(); ok; o, ok = n.Ready() {
			n.expect("the output tells whether entries are left", o.CommittedLeft == (applied+uint64(len(o.Committed)) < last))
			bytes := 0
			for _, e := range o.Committed {
				applied++
				bytes += entrySize(e)
				n.expect("committed entries are in order", e.GetIndex() == applied)
			}
			n.expect("the limits are kept", len(o.Committed) <= n.config.MaxCommittedEntries && (len(o.Committed) <= 1 || bytes <= n.config.MaxCommittedBytes))
			n.expect("the state is fresh only after the last entry", n.FreshAt().IsZero())
			n.Advance(n.now, o)
			outputs++
		}
		n.expect("all committed entries are delivered", applied == last && n.Status().Applied == last)
		n.expect("the state is fresh", !n.FreshAt().IsZero())
		n.expect("the entries are delivered in several outputs", outputs > 1)
	}
}

// TestCommittedSeries guards against a series of outputs with committed entries that doesn't end while further entries are
// committed.
func TestCommittedSeries(t *testing.T) {
	n := newTestNode(t, entriesOf(1, 1, 2, 3, 4, 5, 6, 7, 8))
	n.config.MaxCommittedEntries = 2
	var series [][]uint64
	left := false
	for _, commit := range []uint64{3, 5, 8, 8, 8} {
		n.receive(&Message{Type: controlpb.MessageType_APPEND, From: 2, Term: 2, Index: 8, LogTerm: 1, Commit: commit})
		o, _ := n.Ready()
		if !left {
			series = append(series, nil)
		}
		for _, e := range o.Committed {
			series[len(series)-1] = append(series[len(series)-1], e.GetIndex())
		}
		left = o.CommittedLeft
		n.Advance(n.now, o)
	}
	if got, want := fmt.Sprint(series), "[[1 2 3] [4 5 6 7 8]]"; got != want {
		t.Errorf("series of committed entries: %s, want %s", got, want)
	}
}
