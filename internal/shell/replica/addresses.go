package replica

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/consensus"
)

const (
	// inactivePeerInterval is the time between address books sent to a member that doesn't answer. A new replica can't
	// answer before it has received one.
	inactivePeerInterval = 500 * time.Millisecond
	// activePeerInterval is the time between address books sent to a member that answers. An address book takes about 50
	// bytes per member.
	activePeerInterval = time.Minute
)

// addressBook holds the addresses of the members and those received from other daemons. A daemon that isn't a member yet
// knows the leader's address only from the latter.
type addressBook struct {
	received   map[uint64]*controlpb.Member
	membership *controlpb.Membership // of the last book that takeChanged returned
	changed    bool
	lastSent   map[uint64]time.Time // when the book was last sent, by member; cleared when the membership changes
}

// attach adds the members' addresses to the messages that a leader sends, to each member once per interval.
func (b *addressBook) attach(now time.Time, node *consensus.Node, messages []*controlpb.ConsensusMessage) {
	if len(messages) == 0 {
		return
	}
	status := node.Status()
	if status.Role != consensus.Leader {
		return
	}
	active := map[uint64]bool{}
	for _, peer := range status.Peers {
		active[peer.ID] = peer.Active
	}
	for _, m := range messages {
		interval := inactivePeerInterval
		if active[m.GetTo()] {
			interval = activePeerInterval
		}
		if last, ok := b.lastSent[m.GetTo()]; ok && now.Sub(last) < interval {
			continue
		}
		if b.lastSent == nil {
			b.lastSent = map[uint64]time.Time{}
		}
		b.lastSent[m.GetTo()] = now
		m.Members = node.Membership().GetMembers()
	}
}

// update adds the addresses received from another daemon.
func (b *addressBook) update(members []*controlpb.Member) {
	for _, member := range members {
		if old := b.received[member.GetId()]; old.GetAddress() == member.GetAddress() {
			continue
		}
		if b.received == nil {
			b.received = map[uint64]*controlpb.Member{}
		}
		b.received[member.GetId()] = member
		b.changed = true
	}
}

// takeChanged returns the complete book if it has changed since the last call, and nil otherwise. Addresses of the
// membership in effect take precedence.
func (b *addressBook) takeChanged(node *consensus.Node) []*controlpb.Member {
	membership := node.Membership()
	if membership == b.membership && !b.changed {
		return nil
	}
	if membership != b.membership {
		clear(b.lastSent)
	}
	b.membership, b.changed = membership, false
	book := maps.Clone(b.received)
	if book == nil {
		book = map[uint64]*controlpb.Member{}
	}
	for _, member := range membership.GetMembers() {
		book[member.GetId()] = member
	}
	for _, id := range membership.GetRemoved() {
		delete(book, id)
	}
	return slices.SortedFunc(maps.Values(book), func(a, b *controlpb.Member) int { return cmp.Compare(a.GetId(), b.GetId()) })
}
