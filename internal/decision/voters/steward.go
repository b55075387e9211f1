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

	// replaceAfter is the silence after which a learner takes a voter's place. A killed process is back within a second and
	// connected within two more, and the platform counts a loss as over 4 s after the successor's start, a second after the
	// loss: by then another host may be lost.
	replaceAfter = 3 * time.Second

	// shrinkAfter is the silence after which a voter is removed that no learner can replace. A restart, a freeze or a cut
	// is usually over by then.
	shrinkAfter = 12 * time.Second

	// forgetAfter is the silence after which a learner is removed.
	forgetAfter = 60 * time.Second
)

// Peer is the leader's view of another member.
type Peer struct {
	Active bool // has answered of late
}

// Steward proposes one change of the membership at a time. It is not safe for concurrent use.
type Steward struct {
	least       int
	silentSince map[uint64]time.Time
}

// New returns a Steward that has heard of nobody. The group is to bear the loss of so many disks at once.
func New(tolerated int) *Steward {
	return &Steward{least: min(Most, 2*tolerated+1), silentSince: map[uint64]time.Time{}}
}

// Next returns the change that the leader should propose now, or nil.
func (s *Steward) Next(now time.Time, self uint64, members []*controlpb.Member, peers map[uint64]Peer) *controlpb.MembershipChange {
	s.follow(now, self, members, peers)
	for _, m := range members {
		if !m.GetVoter() && s.silence(now, m) >= forgetAfter {
			return remove(m)
		}
	}
	c := s.count(now, members)
	if c.learner != nil {
		return s.useLearner(now, self, members, c)
	}
	// Without it, losses that are never made up for would add up until no majority is left. A group that is larger than
	// it must be keeps every change on enough disks without the lost ones.
	if c.silent != nil && c.voters > s.least && s.silence(now, c.silent) >= shrinkAfter {
		return remove(c.silent)
	}
	return nil
}

// census is what the members are at a moment.
type census struct {
	voters   int
	learners int               // active ones
	learner  *controlpb.Member // the first active one; nil when there is none
	silent   *controlpb.Member // the voter that has been silent for longest; nil when none is
}

func (s *Steward) count(now time.Time, members []*controlpb.Member) census {
	c := census{}
	for _, m := range members {
		silence := s.silence(now, m)
		switch {
		case m.GetVoter():
			c.voters++
			if silence > 0 && (c.silent == nil || silence > s.silence(now, c.silent)) {
				c.silent = m
			}
		case silence == 0:
			c.learners++
			if c.learner == nil {
				c.learner = m
			}
		}
	}
	return c
}

// useLearner returns the change that puts an active learner to use, or nil while it only stands by.
func (s *Steward) useLearner(now time.Time, self uint64, members []*controlpb.Member, c census) *controlpb.MembershipChange {
	for _, m := range members {
		if m.GetVoter() && m.GetId() != self && m.GetAddress() == c.learner.GetAddress() {
			return remove(m) // the host came back without its disk
		}
	}
	if c.silent != nil && c.voters >= s.least && s.silence(now, c.silent) >= replaceAfter {
		return remove(c.silent)
	}
	// An even number of voters bears no more losses than the odd number below it.
	if c.voters < Most && (c.voters%2 == 0 || c.learners > 1 || c.voters < s.least) {
		return &controlpb.MembershipChange{Kind: controlpb.MembershipChange_PROMOTE, Member: c.learner}
	}
	return nil
}

// silence returns for how long a member has been silent.
func (s *Steward) silence(now time.Time, m *controlpb.Member) time.Duration {
	since, ok := s.silentSince[m.GetId()]
	if !ok {
		return 0
	}
	return max(1, now.Sub(since)) // one that has fallen silent just now isn't active
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
