package controller

import (
	"context"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/shell/founding"
	"galenamoor/internal/shell/kernel"
	"galenamoor/internal/shell/replica"
)

// peerHandler answers the RPCs of other daemons.
type peerHandler struct {
	controller *controller
}

func (h *peerHandler) running() *replica.Replica {
	running, err := kernel.Find[*replica.Replica](h.controller.parts, serviceReplica)
	if err != nil {
		return nil // it is starting
	}
	return running
}

// Deliver implements transport.Handler.
func (h *peerHandler) Deliver(m *controlpb.ConsensusMessage) {
	if running := h.running(); running != nil {
		running.Deliver(m)
	}
}

// Decide implements transport.Handler. A daemon that doesn't lead tells who does.
func (h *peerHandler) Decide(ctx context.Context, request *controlpb.LeaderRequest) *controlpb.LeaderReply {
	running := h.running()
	if founding.IsQuery(request) {
		return h.controller.founder.Reply(running.KnownMembers())
	}
	if running == nil {
		return &controlpb.LeaderReply{Result: &controlpb.Result{Code: controlpb.ResultCode_RESULT_UNAVAILABLE, Message: "the daemon is starting"}}
	}
	reply := running.Decide(ctx, request)
	decided := reply.GetResult().GetCode() != controlpb.ResultCode_RESULT_UNAVAILABLE
	if decided && request.GetWork().GetPing() == nil {
		return reply
	}
	view := running.View()
	told := &controlpb.LeaderReply{Result: reply.GetResult(), Work: reply.GetWork(), Membership: &controlpb.Membership{Members: view.Members}}
	if decided {
		return told // entries learn from pings whom to ask when this leader is lost, because all seeds may be gone by then
	}
	if leader, ok := view.LeaderAddress(); ok && view.Leader != view.ID {
		told.LeaderAddress = leader.String()
	}
	return told
}

// FetchAnswer implements transport.Handler. Controllers keep no answers.
func (h *peerHandler) FetchAnswer(context.Context, *controlpb.FetchAnswerRequest) *controlpb.FetchAnswerReply {
	return &controlpb.FetchAnswerReply{}
}

// Collect implements transport.Handler. Controllers count no calls.
func (h *peerHandler) Collect(context.Context) *controlpb.CollectReply {
	return &controlpb.CollectReply{Host: h.controller.host()}
}
