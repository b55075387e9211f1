package consensus

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// oracle models the cluster as one committed sequence that only grows. It records the first violation.
type oracle struct {
	failure         string
	entries         []*controlpb.Entry // entry i has index i+1
	stateHashes     []uint64
	terms           []uint64                // term of the first host that applied the entry
	memberships     []*controlpb.Membership // bootstrap membership, then all committed ones
	membershipIndex uint64                  // index of the last committed membership
	removed         []uint64                // identities removed by a committed membership
	acks            []ack                   // ordered by time, with increasing indexes
	leaders         map[uint64]uint64       // identity of the leader by term
	wipedDisks      map[uint64]disk         // contents of wiped disks by former identity
}

type ack struct {
	at    time.Duration
	index uint64
}

func newOracle() oracle {
	return oracle{leaders: map[uint64]uint64{}, wipedDisks: map[uint64]disk{}}
}

func (o *oracle) fail(format string, args ...any) {
	if o.failure == "" {
		o.failure = fmt.Sprintf(format, args...)
	}
}

// checkLimits checks that the committed entries of one output are within the limits.
func (s *sim) checkLimits(h *host, committed []*controlpb.Entry) {
	config, bytes := h.node.config, 0
	for _, e := range committed {
		bytes += entrySize(e)
	}
	if len(committed) > config.MaxCommittedEntries || len(committed) > 1 && bytes > config.MaxCommittedBytes {
		s.fail("host %d got %d committed entries of %d bytes in one output", h.number, len(committed), bytes)
	}
}

// checkApplied checks that every host applies the same sequence and that a new entry is durable on a quorum.
func (s *sim) checkApplied(h *host, e *controlpb.Entry) {
	if int(e.Index) <= len(s.entries) {
		known := s.entries[e.Index-1]
		if known.Term != e.Term || known.Type != e.Type || !bytes.Equal(known.Data, e.Data) {
			s.fail("host %d applied another entry %d: term %d instead of %d", h.number, e.Index, e.Term, known.Term)
		}
		s.checkState(h)
		return
	}
	s.entries = append(s.entries, e)
	s.stateHashes = append(s.stateHashes, h.stateHash)
	s.terms = append(s.terms, h.node.term)
	if e.Type == controlpb.EntryType_MEMBERSHIP {
		s.checkMembership(e)
	}
	candidates := []*controlpb.Membership{s.memberships[len(s.memberships)-1]}
	for _, other := range s.hosts {
		if other.up() {
			candidates = append(candidates, other.node.Membership())
		}
	}
	for _, m := range candidates {
		if s.durableOnQuorum(m, e) {
			return
		}
	}
	s.fail("host %d applied entry %d of term %d, which is not durable on a quorum", h.number, e.Index, e.Term)
}

func (s *sim) durableOnQuorum(m *controlpb.Membership, e *controlpb.Entry) bool {
	count := 0
	for _, member := range m.Members {
		d, found := s.wipedDisks[member.Id]
		if h := s.hostByID[member.Id]; h != nil {
			d, found = h.disk, true
		}
		if member.Voter && found && d.holds(e.Index, e.Term) {
			count++
		}
	}
	return count > countVoters(m)/2
}

// checkMembership checks that exactly one member changed and that no removed identity was added again.
func (s *sim) checkMembership(e *controlpb.Entry) {
	next, last := &controlpb.Membership{}, s.memberships[len(s.memberships)-1]
	if err := proto.Unmarshal(e.Data, next); err != nil {
		s.fail("membership %d: %v", e.Index, err)
	}
	changes := 0
	for _, m := range last.Members {
		other := memberOf(next, m.Id)
		if other == nil {
			s.removed = append(s.removed, m.Id)
		}
		if other == nil || other.Voter != m.Voter {
			changes++
		}
	}
	for _, m := range next.Members {
		if memberOf(last, m.Id) == nil {
			changes++
		}
	}
	for _, id := range s.removed {
		if memberOf(next, id) != nil {
			s.fail("membership %d admits removed identity %d", e.Index, id)
		}
	}
	if changes != 1 {
		s.fail("membership %d has %d changes", e.Index, changes)
	}
	s.memberships = append(s.memberships, next)
	s.membershipIndex = e.Index
}

// checkState compares the state of a host, possibly from a snapshot, with the model.
func (s *sim) checkState(h *host) {
	if h.applied > uint64(len(s.stateHashes)) || s.stateHashes[h.applied-1] != h.stateHash {
		s.fail("host %d has another state at index %d", h.number, h.applied)
	}
}

func (s *sim) recordAck(index uint64) {
	if k := len(s.acks); k == 0 || s.acks[k-1].index < index {
		s.acks = append(s.acks, ack{at: s.now, index: index})
	}
}

// checkFreshness checks that a host's applied state includes every entry acknowledged before its FreshAt time.
func (s *sim) checkFreshness(h *host) {
	at := h.node.FreshAt()
	if at.Equal(h.freshAt) {
		return
	}
	if at.Before(h.freshAt) || at.After(h.local()) {
		s.fail("host %d: freshness went from %v to %v at %v", h.number, h.freshAt, at, h.local())
	}
	h.freshAt = at
	claimed := h.global(at) - time.Microsecond // tolerance for rounding of the clock rate
	for i := len(s.acks) - 1; i >= 0; i-- {
		if s.acks[i].at < claimed {
			if s.acks[i].index > h.applied {
				s.fail("host %d at index %d claims to be fresh at %v, but %d was acknowledged at %v",
					h.number, h.applied, claimed, s.acks[i].index, s.acks[i].at)
			}
			return
		}
	}
}

// checkLeaders checks that a term has one leader, that a new leader was eligible, and that at most one lease is valid.
func (s *sim) checkLeaders(*sim) {
	leases := 0
	for _, h := range s.hosts {
		if !h.up() || h.node.role != Leader {
			continue
		}
		if id, ok := s.leaders[h.node.term]; ok && id != h.id {
			s.fail("term %d has leaders %d and %d", h.node.term, id, h.id)
		} else if !ok {
			s.leaders[h.node.term] = h.id
			s.checkElected(h)
		}
		if h.node.LeaseValid(h.local()) {
			leases++
		}
	}
	if leases > 1 {
		s.fail("%d leases are valid at %v", leases, s.now)
	}
}

// checkElected checks that a new leader has all entries that were committed in earlier terms, and that it was eligible. A
// candidate that was frozen may still win an old term after a later leader has committed more entries.
func (s *sim) checkElected(h *host) {
	for i, e := range s.entries {
		term, known := h.node.log.term(e.Index)
		if s.terms[i] < h.node.term && e.Index > h.node.log.base && (!known || term != e.Term) {
			s.fail("leader %d of term %d lacks entry %d, committed in term %d", h.id, h.node.term, e.Index, s.terms[i])
		}
	}
	// A leader that restarted before other replicas learned that its removal is committed may win again, with the votes of
	// a quorum that excludes itself.
	member, own := memberOf(s.memberships[len(s.memberships)-1], h.id), memberOf(h.node.Membership(), h.id)
	if own.GetVoter() && !member.GetVoter() && slices.Contains(s.removed, h.id) {
		s.fail("removed identity %d leads term %d by its own vote", h.id, h.node.term)
	}
	if !own.GetVoter() && !slices.ContainsFunc(s.memberships, func(m *controlpb.Membership) bool { return memberOf(m, h.id).GetVoter() }) {
		s.fail("identity %d leads term %d and never was a voter", h.id, h.node.term)
	}
}
