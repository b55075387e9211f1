package explain

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"galenamoor/internal/controlpb"
)

// Arguments of queries to the leader, besides the IDs of tasks.
const (
	// CallQueryPrefix is a prefix, followed by a request key. The answer is a Call.
	CallQueryPrefix = "call "
	// LateJobsQuery asks for the jobs that are predicted to miss their deadlines. The answer is a list of their names.
	LateJobsQuery = "late"
)

// Call describes the record of a non-repeatable call. It is sent as JSON; the zero value stands for no record.
type Call struct {
	Known    bool
	Service  string
	Gateway  string
	Recorded time.Time
	Outcome  string
}

// queryLeader sends a query to the leader and decodes its JSON answer.
func queryLeader[T any](ctx context.Context, leader LeaderClient, argument string) (T, error) {
	var answer T
	query := &controlpb.Query{Name: "explain", Argument: argument}
	reply := leader.Submit(ctx, &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Query{Query: query}})
	if result := reply.GetResult(); result.GetCode() != controlpb.ResultCode_RESULT_OK {
		return answer, trace.ConnectionProblem(nil, "the leader could not be asked: %s", result.GetMessage())
	}
	if err := json.Unmarshal(reply.GetJson(), &answer); err != nil {
		return answer, trace.BadParameter("the leader's answer is malformed: %v", err)
	}
	return answer, nil
}

// LateJobs returns the names of the jobs that are predicted to miss their deadlines.
func LateJobs(ctx context.Context, leader LeaderClient) ([]string, error) {
	return queryLeader[[]string](ctx, leader, LateJobsQuery)
}

// outcomeLines explain the outcomes of calls.
var outcomeLines = map[string]string{
	"Pending":  "it was dispatched or is about to be, and no outcome is recorded: it may have run",
	"Answered": "the endpoint's whole answer reached the gateway",
	"Not run":  "it was not dispatched; the key may be used again",
	"Unknown":  "it may have run: no whole answer reached the gateway in time",
}

func (e *Explainer) call(ctx context.Context, key string) (*Explanation, error) {
	call, err := queryLeader[Call](ctx, e.leader, CallQueryPrefix+key)
	if err != nil {
		return nil, err
	}
	if !call.Known {
		return nil, trace.NotFound("no record of call %s: it is repeatable, was never accepted, or is older than 10 minutes", key)
	}
	return &Explanation{State: call.Outcome, Lines: []string{
		outcomeLines[call.Outcome],
		fmt.Sprintf("recorded by gateway %s for service %s at %s", call.Gateway, call.Service, call.Recorded.Format(time.RFC3339Nano)),
	}}, nil
}
