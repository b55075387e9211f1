package consensus

import (
	"slices"
	"time"

	"galenamoor/internal/controlpb"
)

// resetElectionTimer draws a new randomized election timeout and starts it.
func (n *Node) resetElectionTimer() {
	spread := n.config.ElectionTimeoutMax - n.config.ElectionTimeout
	n.electionTimeout = n.config.ElectionTimeout + time.Duration(n.config.Rand.Int64N(int64(spread)+1))
	n.electionDeadline = n.now.Add(n.electionTimeout)
}

// startRetryTimer starts a shortened timeout at the start of an election, because the pre-vote already showed that no
// leader is active. The timeout doubles with each failed election up to the election timeout, so that slow disks have
// enough time to store votes.
func (n *Node) startRetryTimer() {
	low := min(n.config.ElectionTimeout/4<<min(n.failedElections, 4), n.config.ElectionTimeout)
	n.failedElections++
	n.electionDeadline = n.now.Add(low + time.Duration(n.config.Rand.Int64N(int64(low)+1)))
}

func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.term {
		n.term, n.vote = term, 0
		n.hardStateChanged = true
		n.verified, n.ackedRound, n.outOfOrder = n.commit, 0, nil
	}
	if n.role == Leader {
		n.lastStepDown = StepDown{Reason: HigherTermSeen, SinceQuorum: n.now.Sub(n.quorumAt)}
	}
	n.role, n.leader = Follower, leader
	n.votes, n.transferCampaign = nil, false
	n.replyPending, n.pendingReject = false, nil
	n.leaderState = leaderState{}
	n.resetElectionTimer()
}

// stepDown makes a leader a follower of no one in its term.
func (n *Node) stepDown(reason StepDownReason) {
	n.becomeFollower(n.term, 0)
	n.lastStepDown.Reason = reason
}

// recordLeaderContact records the leader of the current term and resets the election timer after a message from it.
func (n *Node) recordLeaderContact(leader uint64) {
	if n.role != Follower {
		n.becomeFollower(n.term, leader)
	}
	n.leader = leader
	n.failedElections, n.electionDeferred = 0, false
	n.refuseVotesUntil = n.now.Add(n.config.ElectionTimeout)
	n.electionDeadline = n.now.Add(n.electionTimeout)
}

// refusesVotes reports whether the last contact with a leader is so recent that its lease may still be valid.
func (n *Node) refusesVotes() bool {
	if n.role == Leader {
		return n.now.Sub(n.quorumAt) < n.config.ElectionTimeout
	}
	return n.now.Before(n.refuseVotesUntil)
}

// preCampaign sends pre-vote requests. They show whether an election could be won, without disrupting an active leader.
func (n *Node) preCampaign() {
	n.role, n.leader = PreCandidate, 0
	n.votes = map[uint64]bool{}
	n.transferCampaign = false
	n.startRetryTimer()
	for _, member := range n.Membership().Members {
		if member.Voter && member.Id != n.config.ID {
			n.sendImmediate(&Message{
				Type: controlpb.MessageType_PRE_VOTE, To: member.Id, Term: n.term + 1,
				Index: n.log.last(), LogTerm: n.log.lastTerm(),
			})
		}
	}
	n.countVote(n.config.ID)
}

// campaign requests votes in a new term. The node's own vote counts once it is durable.
func (n *Node) campaign() {
	n.role, n.leader = Candidate, 0
	n.term++
	n.vote = n.config.ID
	n.hardStateChanged = true
	n.votes = map[uint64]bool{}
	n.verified, n.ackedRound, n.outOfOrder = n.commit, 0, nil
	n.replyPending, n.pendingReject = false, nil
	if n.transferCampaign {
		// A retry discards the votes of this term, which slow disks may still be storing, and no longer is part of the
		// transfer: voters that have heard from the last leader recently refuse it.
		n.resetElectionTimer()
	} else {
		n.startRetryTimer()
	}
	for _, member := range n.Membership().Members {
		if member.Voter && member.Id != n.config.ID {
			n.sendAfterSync(&Message{
				Type: controlpb.MessageType_VOTE, To: member.Id, Term: n.term,
				Index: n.log.last(), LogTerm: n.log.lastTerm(), LeaderTransfer: n.transferCampaign,
			})
		}
	}
}

// countVote counts a granted vote or pre-vote, and starts the campaign or the leadership on a majority.
func (n *Node) countVote(id uint64) {
	if !n.hasVote(id) {
		return
	}
	n.votes[id] = true
	granted := 0
	for id := range n.votes {
		if n.hasVote(id) {
			granted++
		}
	}
	if granted < n.quorum() {
		return
	}
	if n.role == PreCandidate {
		n.campaign()
	} else {
		n.becomeLeader()
	}
}

// candidateUpToDate reports whether a candidate's log is at least as up to date as this log.
func (n *Node) candidateUpToDate(m *Message) bool {
	if m.LogTerm != n.log.lastTerm() {
		return m.LogTerm > n.log.lastTerm()
	}
	return m.Index >= n.log.last()
}

// wasRemoved reports whether the removal of an identity is committed. An uncommitted removal may be reverted, and the
// identity may be needed for a quorum of the membership that is then in effect.
func (n *Node) wasRemoved(id uint64) bool {
	return slices.Contains(n.membershipAt(n.commit).Removed, id)
}

func (n *Node) stepPreVote(m *Message) {
	if n.wasRemoved(m.From) {
		return
	}
	reply := &Message{Type: controlpb.MessageType_PRE_VOTE_REPLY, To: m.From, Term: m.Term}
	if m.Term <= n.term || n.refusesVotes() || !n.candidateUpToDate(m) {
		// A rejection carries this node's term, so that a candidate with an older term catches up.
		reply.Term, reply.Reject = n.term, true
	} else {
		n.deferElection()
	}
	n.sendImmediate(reply)
}

// deferElection postpones this node's election to give a promising candidate time to store its vote and request others;
// with slow disks, several candidates would otherwise split the vote. It takes effect once until a message from a leader
// arrives or a vote is granted, because a candidate that cannot receive replies would otherwise defer elections forever.
func (n *Node) deferElection() {
	earliest := n.now.Add(n.config.ElectionTimeout / 2)
	if n.role == Follower && !n.electionDeferred && n.electionDeadline.Before(earliest) {
		n.electionDeferred = true
		n.electionDeadline = earliest
	}
}

func (n *Node) stepPreVoteReply(m *Message) {
	if m.Reject {
		if m.Term > n.term {
			n.becomeFollower(m.Term, 0)
		}
		return
	}
	if n.role == PreCandidate && m.Term == n.term+1 {
		n.countVote(m.From)
	}
}

func (n *Node) stepVote(m *Message) {
	if n.wasRemoved(m.From) {
		return
	}
	reply := &Message{Type: controlpb.MessageType_VOTE_REPLY, To: m.From, Reject: true}
	if m.Term >= n.term && (m.LeaderTransfer || !n.refusesVotes()) {
		if m.Term > n.term {
			n.becomeFollower(m.Term, 0)
		}
		if (n.vote == 0 || n.vote == m.From) && n.candidateUpToDate(m) {
			reply.Reject = false
			n.hardStateChanged = n.hardStateChanged || n.vote == 0
			n.vote = m.From
			n.electionDeferred = false
			n.electionDeadline = n.now.Add(n.electionTimeout)
		}
	}
	reply.Term = n.term
	n.sendAfterSync(reply)
}

func (n *Node) stepVoteReply(m *Message) {
	if n.role == Candidate && !m.Reject {
		n.countVote(m.From)
	}
}

// stepTimeoutNow campaigns immediately on behalf of a leader that transfers its leadership and has released its lease.
func (n *Node) stepTimeoutNow() {
	if n.role == Leader || !n.isVoter() {
		return
	}
	n.transferCampaign = true
	n.campaign()
}
