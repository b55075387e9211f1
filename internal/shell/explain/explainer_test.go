package explain_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/shell/explain"
)

const inventoryText = `[Inventory]
Format = 1
Region = namib-west
[Zone swakop]
[Zone walvis]
[Worker w001]
Zone = swakop
Processors = 64
Memory = 250GB
[Service waiver]
Team = outfitters
Executors = 1
Processors = 8
Memory = 16GB
Slots = 8
Connections = 64
`

// fakeLeader is a fake that maps queries to answers. Other queries get the reply of a daemon that knows no leader.
type fakeLeader map[string]any

func (l fakeLeader) Submit(_ context.Context, request *controlpb.LeaderRequest) *controlpb.LeaderReply {
	answer, ok := l[request.GetQuery().GetArgument()]
	if !ok {
		return &controlpb.LeaderReply{Result: &controlpb.Result{Code: controlpb.ResultCode_RESULT_UNAVAILABLE, Message: "no leader is known"}}
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	return &controlpb.LeaderReply{Result: &controlpb.Result{}, Json: encoded}
}

func newState(t *testing.T) *controlstate.State {
	t.Helper()
	state := controlstate.New()
	apply := func(index uint64, c *controlpb.Command) {
		c.Time = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC).UnixNano()
		if result := state.Apply(index, c); result.GetCode() != controlpb.ResultCode_RESULT_OK {
			t.Fatalf("command %d: %v", index, result)
		}
	}
	apply(1, &controlpb.Command{Kind: &controlpb.Command_ApplyConfiguration{ApplyConfiguration: &controlpb.ApplyConfiguration{
		RequestKey: "k", Inventory: inventoryText, Rules: "[Rules]\nFormat = 1\n",
	}}})
	apply(2, &controlpb.Command{Kind: &controlpb.Command_RegisterWorker{RegisterWorker: &controlpb.RegisterWorker{
		Worker: "w001", Incarnation: 1, Capacity: &controlpb.Resources{Processors: 64_000, Memory: 250 << 10},
	}}})
	apply(3, &controlpb.Command{Kind: &controlpb.Command_StartTask{StartTask: &controlpb.StartTask{Task: "waiver/0", Worker: "w001", Incarnation: 1}}})
	apply(4, &controlpb.Command{Kind: &controlpb.Command_SetZone{SetZone: &controlpb.SetZone{RequestKey: "out", Zone: "swakop", Out: true}}})
	return state
}

// TestExplain guards against explanations that omit an essential fact: the assigned worker, the reason for an eviction, a
// zone out of service, or that the leader couldn't be queried.
func TestExplain(t *testing.T) {
	view := newState(t).View()
	answering := fakeLeader{
		"waiver/0":                      map[string]string{"Reason": "Its zone is out of service."},
		explain.CallQueryPrefix + "1-a": explain.Call{Known: true, Service: "waiver", Gateway: "entry-1", Outcome: "Pending"},
		explain.CallQueryPrefix + "1-b": explain.Call{},
		explain.LateJobsQuery:           []string{"audit"},
	}
	for _, c := range []struct {
		leader     fakeLeader
		kind, name string
		state      string
		contains   []string
	}{
		{answering, "task", "waiver/0", "Stopping", []string{"assigned to worker w001 with fence", "zone was taken out", "waits for the worker", "Its zone is out"}},
		{fakeLeader{}, "task", "waiver/0", "Stopping", []string{"w001", "the leader could not be asked: no leader is known"}},
		{answering, "job", "waiver", "Running", []string{"team outfitters, 1 tasks"}},
		{answering, "worker", "w001", "Registered", []string{"zone swakop is out of service", "waiver/0: Stopping"}},
		{answering, "zone", "swakop", "Out of service", []string{"1 workers registered, 1 tasks placed"}},
		{answering, "call", "1-a", "Pending", []string{"it may have run", "recorded by gateway entry-1 for service waiver"}},
	} {
		got, err := explain.New(c.leader).Explain(context.Background(), view, c.kind, c.name)
		if err != nil {
			t.Errorf("%s %s: %v", c.kind, c.name, err)
			continue
		}
		text := strings.Join(got.Lines, "\n")
		if got.State != c.state {
			t.Errorf("%s %s: state %s, want %s", c.kind, c.name, got.State, c.state)
		}
		for _, part := range c.contains {
			if !strings.Contains(text, part) {
				t.Errorf("%s %s:\n%s\nwant %q", c.kind, c.name, text, part)
			}
		}
	}
	for _, missing := range [][2]string{{"task", "waiver/9"}, {"job", "audit"}, {"worker", "w9"}, {"zone", "lagoon"}, {"call", "1-b"}} {
		_, err := explain.New(answering).Explain(context.Background(), view, missing[0], missing[1])
		if !trace.IsNotFound(err) {
			t.Errorf("%s %s: %v, want NotFound", missing[0], missing[1], err)
		}
	}
	if late, err := explain.LateJobs(context.Background(), answering); err != nil || len(late) != 1 || late[0] != "audit" {
		t.Errorf("late jobs %v, %v", late, err)
	}
}
