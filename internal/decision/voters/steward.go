// Package voters decides which members of the control group vote.
//
// It answers disks that are lost, hosts that are replaced and hosts that are added: the group is founded by three members
// and grows to five voters; a learner takes the place of a voter whose disk is gone or that has been silent for long.
package voters

import (
	"time"

	"galenamoor/internal/controlpb"
)

const (
	// Most is the number of voters that the group grows to. Five bear the loss of a zone that holds two of them.
	Most = 5

	// replaceAfter is the silence after which a learner takes a voter's place. A restart, a freeze or a cut is usually
	// over by then.
	replaceAfter = 12 * time.Second

	// forgetAfter is the silence after which a learner is removed.
	forgetAfter = 60 * time.Second
)

// Peer is the leader's view of another member.
type Peer struct {
	Active bool // has answered of late
}

// Steward proposes one change of the membership at a time. It is not safe for concurrent use.
type Steward struct {
	silentSince map[uint64]time.Time
}

// New returns a Steward that has heard of nobody.
func New() *Steward { return &Steward{silentSince: map[uint64]time.Time{}} }

// Next returns the change that the leader should propose now, or nil.
func (s *Steward) Next(now time.Time, self uint64, members []*controlpb.Member, peers map[uint64]Peer) *controlpb.MembershipChange {
	s.follow(now, self, members, peers)
	var learner, silent *controlpb.Member
	voting, learning := 0, 0
	for _, m := range members {
		isActive := m.GetId() == self || peers[m.GetId()].Active
		switch {
		case m.GetVoter():
			voting++
			if !isActive && now.Sub(s.silentSince[m.GetId()]) >= replaceAfter && silent == nil {
				silent = m
			}
		case isActive:
			learning++
			if learner == nil {
				learner = m
			}
		case !isActive && now.Sub(s.silentSince[m.GetId()]) >= forgetAfter:
			return remove(m)
		}
	}
	if learner == nil {
		return nil
	}
	for _, m := range members {
		if m.GetVoter() && m.GetId() != self && m.GetAddress() == learner.GetAddress() {
			return remove(m) // the host came back without its disk
		}
	}
	// An even number of voters bears no more losses than the odd number below it.
	if voting < Most && (voting%2 == 0 || learning > 1) {
		return &controlpb.MembershipChange{Kind: controlpb.MembershipChange_PROMOTE, Member: learner}
	}
	if silent != nil {
		return remove(silent)
	}
	return nil
}

// follow remembers since when members are silent.
func (s *Steward) follow(now time.Time, self uint64, members []*controlpb.Member, peers map[uint64]Peer) {
	known := map[uint64]bool{}
	for _, m := range members {
		known[m.GetId()] = true
		if m.GetId() == self || peers[m.GetId()].Active {
			delete(s.silentSince, m.GetId())
		} else if _, ok := s.silentSince[m.GetId()]; !ok {
			s.silentSince[m.GetId()] = now
		}
	}
	for id := range s.silentSince {
		if !known[id] {
			delete(s.silentSince, id)
		}
	}
}

func remove(m *controlpb.Member) *controlpb.MembershipChange {
	return &controlpb.MembershipChange{Kind: controlpb.MembershipChange_REMOVE, Member: m}
}
