package httpapi

import (
	"context"

	"galenamoor/internal/controlpb"
)

// proposeCommand sends a command to the leader and returns its result. A result other than OK is also returned as an error.
func proposeCommand(ctx context.Context, control Control, command *controlpb.Command, newProblem problemFunc) (*controlpb.Result, error) {
	request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Command{Command: command}}
	result := control.Submit(ctx, request).GetResult()
	return result, checkResult(result, newProblem)
}

// requestLeader sends a request other than a command to the leader and returns its reply. A result other than OK is also
// returned as an error.
func requestLeader(ctx context.Context, control Control, request *controlpb.LeaderRequest, newProblem problemFunc) (*controlpb.LeaderReply, error) {
	reply := control.Submit(ctx, request)
	return reply, checkResult(reply.GetResult(), newProblem)
}
