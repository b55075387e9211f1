package consensus

import (
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// Errors that ProposeMembership returns when it refuses a change.
var (
	// ErrMembershipPending means that an earlier change or the first entry of the leader's term is not committed yet.
	ErrMembershipPending = errors.New("an earlier membership change or the start of the term is not committed")
	// ErrRemoved means that the identity was removed earlier and cannot be added again.
	ErrRemoved = errors.New("the identity was removed and is never admitted again")
	// ErrNotCaughtUp means that a learner lacks too many entries to be promoted.
	ErrNotCaughtUp = errors.New("the learner has not caught up")
)

// indexedMembership is a membership and the index of the entry that set it.
type indexedMembership struct {
	index      uint64
	membership *controlpb.Membership
}

var noMembership = &controlpb.Membership{}

func memberOf(m *controlpb.Membership, id uint64) *controlpb.Member {
	for _, member := range m.Members {
		if member.Id == id {
			return member
		}
	}
	return nil
}

func countVoters(m *controlpb.Membership) int {
	count := 0
	for _, member := range m.Members {
		if member.Voter {
			count++
		}
	}
	return count
}

// Membership returns the membership in effect, which may not be committed yet. The caller must not modify it.
func (n *Node) Membership() *controlpb.Membership {
	if len(n.memberships) == 0 {
		return noMembership
	}
	return n.memberships[len(n.memberships)-1].membership
}

// membershipAt returns the membership in effect after the entry at index.
func (n *Node) membershipAt(index uint64) *controlpb.Membership {
	for _, m := range slices.Backward(n.memberships) {
		if m.index <= index {
			return m.membership
		}
	}
	return noMembership
}

func (n *Node) isVoter() bool {
	return n.hasVote(n.config.ID)
}

// setCommit raises the commit index. The index is persisted when it newly covers a membership entry, so that a removed
// replica does not campaign after a restart.
func (n *Node) setCommit(index uint64) {
	if index <= n.commit {
		return
	}
	if k := len(n.memberships); k > 0 && n.memberships[k-1].index > n.commit && n.membershipAt(index) != n.membershipAt(n.commit) {
		n.hardStateChanged = true
	}
	n.commit = index
}

// mayCampaign reports whether the node starts elections. A node whose removal is not committed does, without counting its
// own vote: it may be the only one that holds the entry, and then no other candidate's log is up to date enough to get
// its vote.
func (n *Node) mayCampaign() bool {
	if n.isVoter() {
		return true
	}
	member := memberOf(n.membershipAt(n.commit), n.config.ID)
	return member != nil && member.Voter
}

// hasVote reports whether the identity is a voter in the membership in effect.
func (n *Node) hasVote(id uint64) bool {
	member := memberOf(n.Membership(), id)
	return member != nil && member.Voter
}

func (n *Node) quorum() int {
	return countVoters(n.Membership())/2 + 1
}

func (n *Node) appendMembership(e *controlpb.Entry) error {
	membership := &controlpb.Membership{}
	if err := proto.Unmarshal(e.Data, membership); err != nil {
		return trace.Wrap(err, "decode membership at index %d", e.Index)
	}
	n.memberships = append(n.memberships, indexedMembership{index: e.Index, membership: membership})
	return nil
}

// ProposeMembership appends a membership change. The committed entry has type MEMBERSHIP and holds the whole new
// controlpb.Membership. An added member is a learner, whatever the value of its Voter field. A refused change returns
// NotLeaderError, one of the errors above, trace.AlreadyExists for an existing member or voter, trace.NotFound for an
// unknown member, or trace.BadParameter.
func (n *Node) ProposeMembership(now time.Time, change *controlpb.MembershipChange) (index uint64, err error) {
	n.advanceClock(now)
	if err := n.checkAcceptsProposals(); err != nil {
		return 0, err
	}
	if !n.termCommitted() || n.memberships[len(n.memberships)-1].index > n.commit {
		return 0, trace.Wrap(ErrMembershipPending)
	}
	next, err := n.applyChange(change)
	if err != nil {
		return 0, trace.Wrap(err, "%v of replica %d", change.Kind, change.GetMember().GetId())
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	entry := n.appendEntry(controlpb.EntryType_MEMBERSHIP, data)
	n.memberships = append(n.memberships, indexedMembership{index: entry.Index, membership: next})
	n.rebuildPeers()
	n.confirmRounds()
	return entry.Index, nil
}

// applyChange returns the membership in effect with one change applied.
func (n *Node) applyChange(change *controlpb.MembershipChange) (*controlpb.Membership, error) {
	next := proto.Clone(n.Membership()).(*controlpb.Membership)
	id := change.GetMember().GetId()
	member := memberOf(next, id)
	if change.Kind == controlpb.MembershipChange_ADD_LEARNER {
		if id == 0 || member != nil {
			return nil, trace.AlreadyExists("identity %d is 0 or already a member", id)
		}
		if slices.Contains(next.Removed, id) {
			return nil, trace.Wrap(ErrRemoved)
		}
		added := proto.Clone(change.Member).(*controlpb.Member)
		added.Voter = false
		next.Members = append(next.Members, added)
		return next, nil
	}
	if member == nil {
		return nil, trace.NotFound("identity %d is not a member", id)
	}
	switch change.Kind {
	case controlpb.MembershipChange_PROMOTE:
		if member.Voter {
			return nil, trace.AlreadyExists("identity %d is already a voter", id)
		}
		p := n.peer(id)
		if !n.active(p) || p.match+n.config.MaxPromoteLag < n.log.last() {
			return nil, trace.Wrap(ErrNotCaughtUp)
		}
		member.Voter = true
	case controlpb.MembershipChange_REMOVE:
		if member.Voter && countVoters(next) == 1 {
			return nil, trace.BadParameter("identity %d is the last voter", id)
		}
		next.Members = slices.DeleteFunc(next.Members, func(m *controlpb.Member) bool { return m.Id == id })
		next.Removed = append(next.Removed, id)
	default:
		return nil, trace.BadParameter("unknown kind of change %v", change.Kind)
	}
	return next, nil
}
