package controller

import (
	"context"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/shell/bootstrap"
	"galenamoor/internal/shell/kernel"
	"galenamoor/internal/shell/replica"
)

// peerHandler serves the RPCs of other daemons.
type peerHandler struct {
	controller *controller
}

func (h *peerHandler) startedReplica() *replica.Replica {
	localReplica, err := kernel.Find[*replica.Replica](h.controller.components, serviceReplica)
	if err != nil {
		return nil // the controller is still starting
	}
	return localReplica
}

// Deliver implements transport.Handler.
func (h *peerHandler) Deliver(m *controlpb.ConsensusMessage) {
	if localReplica := h.startedReplica(); localReplica != nil {
		localReplica.Deliver(m)
	}
}

// HandleLeaderRequest implements transport.Handler. A controller that is not the leader returns the leader's address, if
// known.
func (h *peerHandler) HandleLeaderRequest(ctx context.Context, request *controlpb.LeaderRequest) *controlpb.LeaderReply {
	localReplica := h.startedReplica()
	if bootstrap.IsIdentityQuery(request) {
		return h.controller.bootstrapper.IdentityReply(localReplica.KnownMembers())
	}
	if localReplica == nil {
		return &controlpb.LeaderReply{Result: &controlpb.Result{Code: controlpb.ResultCode_RESULT_UNAVAILABLE, Message: "the daemon is starting"}}
	}
	reply := localReplica.HandleLeaderRequest(ctx, request)
	decided := reply.GetResult().GetCode() != controlpb.ResultCode_RESULT_UNAVAILABLE
	if decided && request.GetWork().GetPing() == nil {
		return reply
	}
	view := localReplica.View()
	withMembers := &controlpb.LeaderReply{Result: reply.GetResult(), Work: reply.GetWork(), Membership: &controlpb.Membership{Members: view.Members}}
	if decided {
		// Replies to pings contain the current members, so that entries find the next leader even when no seed exists any
		// more.
		return withMembers
	}
	if leader, ok := view.LeaderAddress(); ok && view.Leader != view.ID {
		withMembers.LeaderAddress = leader.String()
	}
	return withMembers
}

// FetchAnswer implements transport.Handler. Controllers cache no responses of calls.
func (h *peerHandler) FetchAnswer(context.Context, *controlpb.FetchAnswerRequest) *controlpb.FetchAnswerReply {
	return &controlpb.FetchAnswerReply{}
}

// Collect implements transport.Handler. Controllers have no call counters.
func (h *peerHandler) Collect(context.Context) *controlpb.CollectReply {
	return &controlpb.CollectReply{Host: h.controller.host()}
}
