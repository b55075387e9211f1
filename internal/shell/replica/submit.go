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

// Submit accepts a request. Its answer appears in a later Work under the returned ticket.
func (c *Core) Submit(now time.Time, r *Request) Ticket {
	c.now = now
	c.lastTicket++
	ticket := c.lastTicket
	switch kind := r.GetKind().(type) {
	case *controlpb.LeaderRequest_Command:
		c.submitCommand(ticket, kind.Command)
	case *controlpb.LeaderRequest_Membership:
		c.submitMembership(ticket, kind.Membership)
	default:
		c.serve(ticket, r)
	}
	return ticket
}

func (c *Core) submitCommand(ticket Ticket, command *controlpb.Command) {
	index, term, err := c.propose(command)
	c.track(index, term, proposal{ticket: ticket}, err)
}

// submitMembership proposes a membership change. A change that is already in effect succeeds, so that a request can be
// retried after its answer was lost.
func (c *Core) submitMembership(ticket Ticket, change *controlpb.MembershipChange) {
	index, err := c.node.ProposeMembership(c.now, change)
	id, membership := change.GetMember().GetId(), c.node.Membership()
	inEffect := trace.IsAlreadyExists(err) && id != 0
	if change.GetKind() == controlpb.MembershipChange_REMOVE {
		inEffect = trace.IsNotFound(err) && slices.Contains(membership.GetRemoved(), id)
	}
	if inEffect {
		c.answer(ticket, &controlpb.LeaderReply{Result: &controlpb.Result{}, Membership: membership})
		return
	}
	c.track(index, c.node.Status().Term, proposal{ticket: ticket, membershipChange: true}, err)
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
		c.coordinator.Decided(c.now, command, nil)
		return
	}
	c.track(index, term, proposal{command: command}, nil)
}

// track records a proposal until it is resolved, or rejects its request if err isn't nil.
func (c *Core) track(index, term uint64, p proposal, err error) {
	if err != nil {
		c.reject(p.ticket, err)
		return
	}
	p.term = term
	c.proposals[index] = p
}

// reject answers a request that was not applied, with the reason in err.
func (c *Core) reject(ticket Ticket, err error) {
	var notLeader *consensus.ErrNotLeader
	var overloaded *consensus.ErrOverloaded
	switch {
	case errors.As(err, &notLeader):
		reply := reply(controlpb.ResultCode_RESULT_UNAVAILABLE, "not the leader")
		c.answers = append(c.answers, Answer{Ticket: ticket, Reply: reply, NotLeader: true, Leader: notLeader.Leader})
	case errors.Is(err, consensus.ErrMembershipPending), errors.Is(err, consensus.ErrNotCaughtUp):
		c.answer(ticket, reply(controlpb.ResultCode_RESULT_UNAVAILABLE, err.Error()))
	case errors.As(err, &overloaded):
		c.answer(ticket, reply(controlpb.ResultCode_RESULT_UNAVAILABLE, Overloaded))
	default:
		c.answer(ticket, reply(controlpb.ResultCode_RESULT_REJECTED, err.Error()))
	}
}

// serve answers a request that needs the leader but appends no entry itself.
func (c *Core) serve(ticket Ticket, r *Request) {
	status := c.node.Status()
	if status.Role != consensus.Leader {
		c.reject(ticket, &consensus.ErrNotLeader{Leader: status.Leader})
		return
	}
	if r.GetQuery().GetName() == "members" && c.node.LeaseValid(c.now) {
		c.answer(ticket, &controlpb.LeaderReply{Result: &controlpb.Result{}, Membership: c.node.Membership()})
		return
	}
	if !c.leading {
		c.answer(ticket, reply(controlpb.ResultCode_RESULT_UNAVAILABLE, "the leader is not ready"))
		return
	}
	answer, wait := c.coordinator.Serve(c.now, r)
	if wait {
		c.waiting[r] = ticket
		return
	}
	c.answer(ticket, answer)
}
