package replica

import (
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/consensus"
)

// Submit accepts a request. Its answer appears in a later Output under the returned ID.
func (c *Core) Submit(now time.Time, r *Request) RequestID {
	c.now = now
	c.lastRequestID++
	requestID := c.lastRequestID
	switch kind := r.GetKind().(type) {
	case *controlpb.LeaderRequest_Command:
		c.submitCommand(requestID, kind.Command)
	case *controlpb.LeaderRequest_Membership:
		c.submitMembership(requestID, kind.Membership)
	default:
		c.serve(requestID, r)
	}
	return requestID
}

func (c *Core) submitCommand(requestID RequestID, command *controlpb.Command) {
	index, term, err := c.propose(command)
	c.track(index, term, proposal{requestID: requestID}, err)
}

// submitMembership proposes a membership change. A change that is already in effect succeeds, so that a request can be
// retried after its answer was lost.
func (c *Core) submitMembership(requestID RequestID, change *controlpb.MembershipChange) {
	index, err := c.node.ProposeMembership(c.now, change)
	id, membership := change.GetMember().GetId(), c.node.Membership()
	inEffect := trace.IsAlreadyExists(err) && id != 0
	if change.GetKind() == controlpb.MembershipChange_REMOVE {
		inEffect = trace.IsNotFound(err) && slices.Contains(membership.GetRemoved(), id)
	}
	if inEffect {
		c.answer(requestID, &controlpb.LeaderReply{Result: &controlpb.Result{}, Membership: membership})
		return
	}
	c.track(index, c.node.Status().Term, proposal{requestID: requestID, membershipChange: true}, err)
}

// propose sets a command's time to the local clock and proposes it as a log entry.
func (c *Core) propose(command *controlpb.Command) (index, term uint64, err error) {
	command.Time = c.now.UnixNano()
	data, err := proto.Marshal(command)
	if err != nil {
		return 0, 0, trace.Wrap(err)
	}
	return c.node.Propose(c.now, data)
}

// proposeCoordinatorCommand proposes a command of the coordinator.
func (c *Core) proposeCoordinatorCommand(command *controlpb.Command) {
	index, term, err := c.propose(command)
	if err != nil {
		c.coordinator.HandleResult(c.now, command, nil)
		return
	}
	c.track(index, term, proposal{command: command}, nil)
}

// track records a proposal until it is resolved, or rejects its request if err isn't nil.
func (c *Core) track(index, term uint64, p proposal, err error) {
	if err != nil {
		c.reject(p.requestID, err)
		return
	}
	p.term = term
	c.proposals[index] = p
}

// reject answers a request that was not applied, with the reason in err.
func (c *Core) reject(requestID RequestID, err error) {
	var notLeader *consensus.NotLeaderError
	var overloaded *consensus.OverloadedError
	switch {
	case errors.As(err, &notLeader):
		reply := reply(controlpb.ResultCode_RESULT_UNAVAILABLE, "not the leader")
		c.replies = append(c.replies, DeferredReply{RequestID: requestID, Reply: reply, NotLeader: true, Leader: notLeader.Leader})
	case errors.Is(err, consensus.ErrMembershipPending), errors.Is(err, consensus.ErrNotCaughtUp):
		c.answer(requestID, reply(controlpb.ResultCode_RESULT_UNAVAILABLE, err.Error()))
	case errors.As(err, &overloaded):
		c.answer(requestID, reply(controlpb.ResultCode_RESULT_UNAVAILABLE, Overloaded))
	default:
		c.answer(requestID, reply(controlpb.ResultCode_RESULT_REJECTED, err.Error()))
	}
}

// serve answers a request that needs the leader but appends no entry itself.
func (c *Core) serve(requestID RequestID, r *Request) {
	status := c.node.Status()
	if status.Role != consensus.Leader {
		c.reject(requestID, &consensus.NotLeaderError{Leader: status.Leader})
		return
	}
	if r.GetQuery().GetName() == "members" && c.node.LeaseValid(c.now) {
		c.answer(requestID, &controlpb.LeaderReply{Result: &controlpb.Result{}, Membership: c.node.Membership()})
		return
	}
	if !c.leading {
		c.answer(requestID, reply(controlpb.ResultCode_RESULT_UNAVAILABLE, "the leader is not ready"))
		return
	}
	answer, deferred := c.coordinator.Serve(c.now, r)
	if deferred {
		c.waiting[r] = requestID
		return
	}
	c.answer(requestID, answer)
}
