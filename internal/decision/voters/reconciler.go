// Package voters decides which members of the replicated control group are voters.
//
// It reacts to lost disks, replaced hosts and added hosts: the group starts with three voters and grows to five, and a
// learner replaces a voter whose disk is lost or that has been inactive for too long.
package voters

import (
	"time"

	"galenamoor/internal/controlpb"
)

const (
	// MaxVoters is the number of voters that the group grows to. Five tolerate the loss of a zone that holds two of them.
	MaxVoters = 5

	// replaceVoterAfter is the inactivity after which a learner replaces a voter. A killed process restarts within 1 s and
	// reconnects within 2 s more. The platform considers a loss recovered 4 s after its successor's start, which follows the
	// loss by 1 s, and after the successor's last restart; another disk may be lost from then on.
	replaceVoterAfter = 3 * time.Second

	// maxElectionTime is the time from the restart of all processes to the first check of the leader that they elect.
	maxElectionTime = 2 * time.Second

	// removeVoterAfter is the inactivity after which a voter that no learner can replace is removed. A restart, a process
	// freeze or a network partition is usually over by then.
	removeVoterAfter = 12 * time.Second

	// removeLearnerAfter is the inactivity after which a learner is removed.
	removeLearnerAfter = 60 * time.Second
)

// Peer is the leader's view of another member.
type Peer struct {
	Active bool // replied recently
}

// Reconciler proposes one membership change at a time, for one leader in one term. It is not safe for concurrent use.
type Reconciler struct {
	minVoters     int
	started       time.Time // of this process
	checked       bool      // Next was called before
	inactiveSince map[uint64]time.Time
}

// New returns a Reconciler without any record of inactive members, for a process that was started at the given time. The
// group must tolerate the simultaneous loss of the given number of disks.
func New(tolerated int, started time.Time) *Reconciler {
	return &Reconciler{minVoters: min(MaxVoters, 2*tolerated+1), started: started, inactiveSince: map[uint64]time.Time{}}
}

// Next returns the membership change that the leader, which is the member self, should propose now, or nil.
func (r *Reconciler) Next(now time.Time, self uint64, members []*controlpb.Member, peers map[uint64]Peer) *controlpb.MembershipChange {
	r.updateActivity(now, self, members, peers)
	for _, m := range members {
		if !m.GetVoter() && r.inactivity(now, m) >= removeLearnerAfter {
			return remove(m)
		}
	}
	summary := r.summarize(now, members)
	if summary.inactiveVoter != nil && summary.voters > r.minVoters && summary.voters%2 == 0 && r.inactivity(now, summary.inactiveVoter) >= replaceVoterAfter {
		return remove(summary.inactiveVoter) // a learner was promoted in its place
	}
	if summary.activeLearner != nil {
		return r.placeLearner(now, self, members, summary)
	}
	// Losses without a replacement would otherwise accumulate until no majority is left. A group above its minimum size
	// stores every change on enough disks without the lost voter.
	if summary.inactiveVoter != nil && summary.voters > r.minVoters && r.inactivity(now, summary.inactiveVoter) >= removeVoterAfter {
		return remove(summary.inactiveVoter)
	}
	return nil
}

// memberSummary summarizes the members at one point in time.
type memberSummary struct {
	voters         int
	activeLearners int
	activeLearner  *controlpb.Member // the first active learner; nil if there is none
	inactiveVoter  *controlpb.Member // the voter that has been inactive for longest; nil if all are active
}

func (r *Reconciler) summarize(now time.Time, members []*controlpb.Member) memberSummary {
	summary := memberSummary{}
	for _, m := range members {
		inactivity := r.inactivity(now, m)
		switch {
		case m.GetVoter():
			summary.voters++
			if inactivity > 0 && (summary.inactiveVoter == nil || inactivity > r.inactivity(now, summary.inactiveVoter)) {
				summary.inactiveVoter = m
			}
		case inactivity == 0:
			summary.activeLearners++
			if summary.activeLearner == nil {
				summary.activeLearner = m
			}
		}
	}
	return summary
}

// placeLearner returns the next change by which an active learner replaces a voter or becomes an additional one, or nil
// while the learner remains a standby.
func (r *Reconciler) placeLearner(now time.Time, self uint64, members []*controlpb.Member, summary memberSummary) *controlpb.MembershipChange {
	for _, m := range members {
		if m.GetVoter() && m.GetId() != self && m.GetAddress() == summary.activeLearner.GetAddress() {
			return remove(m) // the host returned without its disk
		}
	}
	if summary.inactiveVoter != nil && summary.voters >= r.minVoters && r.inactivity(now, summary.inactiveVoter) >= replaceVoterAfter {
		if summary.voters == r.minVoters {
			// Without the inactive voter, which may still hold its disk, a smaller group wouldn't survive the loss of another disk.
			return &controlpb.MembershipChange{Kind: controlpb.MembershipChange_PROMOTE, Member: summary.activeLearner}
		}
		return remove(summary.inactiveVoter)
	}
	// An even number of voters tolerates no more losses than the odd number below it.
	if summary.voters < MaxVoters && (summary.voters%2 == 0 || summary.activeLearners > 1 || summary.voters < r.minVoters) {
		return &controlpb.MembershipChange{Kind: controlpb.MembershipChange_PROMOTE, Member: summary.activeLearner}
	}
	return nil
}

// inactivity returns how long a member has been inactive, 0 if it is active.
func (r *Reconciler) inactivity(now time.Time, m *controlpb.Member) time.Duration {
	since, ok := r.inactiveSince[m.GetId()]
	if !ok {
		return 0
	}
	return max(1, now.Sub(since)) // a member that just became inactive is not active
}

// updateActivity records since when members have been inactive.
func (r *Reconciler) updateActivity(now time.Time, self uint64, members []*controlpb.Member, peers map[uint64]Peer) {
	since := now
	if !r.checked && now.Sub(r.started) <= maxElectionTime {
		since = r.started // there was no leader for them to reply to
	}
	r.checked = true
	known := map[uint64]bool{}
	for _, m := range members {
		known[m.GetId()] = true
		if m.GetId() == self || peers[m.GetId()].Active {
			delete(r.inactiveSince, m.GetId())
		} else if _, ok := r.inactiveSince[m.GetId()]; !ok {
			r.inactiveSince[m.GetId()] = since
		}
	}
	for id := range r.inactiveSince {
		if !known[id] {
			delete(r.inactiveSince, id)
		}
	}
}

func remove(m *controlpb.Member) *controlpb.MembershipChange {
	return &controlpb.MembershipChange{Kind: controlpb.MembershipChange_REMOVE, Member: m}
}
