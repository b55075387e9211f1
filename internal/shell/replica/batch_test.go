package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/pkg/inventory"
	"galenamoor/pkg/resource"
	"galenamoor/pkg/rules"
)

func endpointRenewalRequest(endpoint, service string) *controlpb.LeaderRequest {
	return &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_EndpointRenewal{EndpointRenewal: &controlpb.EndpointRenewal{
		Endpoint: &controlpb.Endpoint{
			Name: endpoint, Incarnation: 1, Service: service, Address: "127.0.0.1:9", Zone: "north", Slots: 8, Connections: 64,
		},
	}}}
}

// TestBatchedRenewals guards against renewals that get the answer of another one in their batch, and against batches that
// cost an RPC per renewal. Every third renewal is of an unknown worker, so that its answer differs from the others.
func TestBatchedRenewals(t *testing.T) {
	leader, follower := leaderOf(t, startCluster(t, 3, 0))
	if result := follower.apply(t, "configuration", 0); result.GetCode() != controlpb.ResultCode_RESULT_OK {
		t.Fatal(result)
	}
	want := map[string]string{}
	for _, service := range []string{"waiver", ""} {
		want[service] = leader.Submit(context.Background(), endpointRenewalRequest("alone", service)).GetResult().String()
	}
	if want["waiver"] == want[""] {
		t.Fatalf("both kinds of endpoint are answered %v", want)
	}
	const renewals = 300
	before := follower.network.Counters().SentMessages.Value()
	start := time.Now()
	var group sync.WaitGroup
	for i := range renewals {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			if i%3 == 0 {
				reply := follower.Submit(ctx, &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Renewal{
					Renewal: &controlpb.WorkerRenewal{Worker: "unknown", Incarnation: 1},
				}})
				if !reply.GetPoll().GetUnknown() {
					t.Errorf("an unknown worker is answered %v", reply)
				}
				return
			}
			service := []string{"waiver", ""}[i%2]
			reply := follower.Submit(ctx, endpointRenewalRequest(fmt.Sprint("endpoint-", i), service))
			if result := reply.GetResult().String(); result != want[service] || reply.GetPoll() != nil {
				t.Errorf("renewal %d is answered %v, want %v", i, reply, want[service])
			}
		})
	}
	group.Wait()
	sent := follower.network.Counters().SentMessages.Value() - before
	heartbeats := int64(3 * (time.Since(start)/(100*time.Millisecond) + 2)) // replies to heartbeats and to appended announcements
	if sent > renewals/4+heartbeats {
		t.Errorf("%d messages for %d renewals", sent, renewals)
	}
}

// TestUnknownAnnouncementNumbers guards against endpoints that can't renew because the leader doesn't know the numbers of
// their announcements, and against announcements that are sent in full each time. A changed sender number simulates a
// restarted leader.
func TestUnknownAnnouncementNumbers(t *testing.T) {
	leader, follower := leaderOf(t, startCluster(t, 3, 0))
	inv := &inventory.Inventory{Region: "r", Zones: []string{"north"}, Services: []inventory.Service{{
		Name: "waiver", Team: "t", Executors: 1, Request: resource.Vector{Processors: 1, Memory: 1}, Slots: 8, Connections: 64,
	}}}
	result := leader.Submit(context.Background(), command(&controlpb.Command{Kind: &controlpb.Command_ApplyConfiguration{
		ApplyConfiguration: &controlpb.ApplyConfiguration{RequestKey: "k", Inventory: inv.Text(), Rules: (&rules.Rules{}).Text()},
	}})).GetResult()
	if result.GetCode() != controlpb.ResultCode_RESULT_OK {
		t.Fatal(result)
	}
	random := rand.New(rand.NewPCG(1, 1))
	var names [100]string
	for n := range names { // nearly incompressible, so that concurrent heartbeats are insignificant
		names[n] = fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
	}
	round := func() int64 {
		before := follower.network.Counters().SentPayloadBytes.Value()
		var group sync.WaitGroup
		for n := range names {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				defer cancel()
				reply := follower.Submit(ctx, endpointRenewalRequest(names[n], "waiver"))
				if code := reply.GetResult().GetCode(); code != controlpb.ResultCode_RESULT_OK {
					t.Errorf("renewal %d: %v", n, reply)
				}
			})
		}
		group.Wait()
		return follower.network.Counters().SentPayloadBytes.Value() - before
	}
	full := round()
	numbered := round()
	t.Logf("%d bytes by number, %d in full", numbered, full)
	if numbered > full*3/4 {
		t.Errorf("sent %d bytes by number and %d in full; want at most 3/4", numbered, full)
	}
	follower.batcher.sender++
	round()
}

// TestBatchRejectsOtherRequests guards against commands and long polls in a batch: a command could be applied twice, and a
// long poll would delay the answers to all others.
func TestBatchRejectsOtherRequests(t *testing.T) {
	leader, _ := leaderOf(t, startCluster(t, 3, 0))
	for _, wrong := range []*controlpb.LeaderRequest{
		recordIntent(1),
		{Kind: &controlpb.LeaderRequest_Poll{Poll: &controlpb.Poll{Worker: "w"}}},
		{Kind: &controlpb.LeaderRequest_Renewal{Renewal: &controlpb.WorkerRenewal{Reports: []*controlpb.TaskReport{{Task: "t/0"}}}}},
		{Kind: &controlpb.LeaderRequest_Batch{Batch: &controlpb.LeaderBatch{}}},
	} {
		reply := leader.HandleLeaderRequest(context.Background(), &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Batch{
			Batch: &controlpb.LeaderBatch{Requests: []*controlpb.LeaderRequest{endpointRenewalRequest("e", "waiver"), wrong}},
		}})
		if reply.GetResult().GetCode() != controlpb.ResultCode_RESULT_INVALID || len(reply.GetReplies()) != 0 {
			t.Errorf("%v in a batch is answered %v", wrong, reply)
		}
	}
}

// TestBatchAfterLeaderLoss guards against renewals that get no answer because the leader that received their batch is
// unreachable.
func TestBatchAfterLeaderLoss(t *testing.T) {
	leader, follower := leaderOf(t, startCluster(t, 3, 0))
	leader.network.SetPartitioned(true)
	var group sync.WaitGroup
	for i := range 20 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			reply := follower.Submit(ctx, endpointRenewalRequest(fmt.Sprint("endpoint-", i), "waiver"))
			if code := reply.GetResult().GetCode(); code == controlpb.ResultCode_RESULT_UNAVAILABLE || code == controlpb.ResultCode_RESULT_UNKNOWN {
				t.Errorf("renewal %d: %v", i, reply)
			}
		})
	}
	group.Wait()
}

// TestUsageFilter guards against usage that is never sent because all renewals of a busy worker contain reports, and
// against a filter that drops reports or the usage of a periodic renewal.
func TestUsageFilter(t *testing.T) {
	f, now := &usageFilter{}, time.Unix(1_700_000_000, 0)
	sent, first := 0, now
	for i := range 400 { // 2 minutes
		reports := []*controlpb.TaskReport{{Task: "t/0", Fence: uint64(i)}}
		request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Renewal{Renewal: &controlpb.WorkerRenewal{
			Worker: "w", Incarnation: 3, Reports: reports, Usage: []*controlpb.Usage{{Task: "t/0"}, {Task: "t/1"}}, Leaving: i%2 == 0, Seen: 9,
		}}}
		want := proto.CloneOf(request)
		got := proto.CloneOf(f.filter(now, request))
		if !proto.Equal(request, want) {
			t.Fatal("the filter modified its argument")
		}
		if len(got.GetRenewal().GetUsage()) > 0 {
			sent++
		}
		want.GetRenewal().Usage = got.GetRenewal().GetUsage()
		if !proto.Equal(got, want) {
			t.Fatalf("forwarded %v, want %v", got, want)
		}
		now = now.Add(300 * time.Millisecond)
	}
	if least := int(now.Sub(first) / (5 * time.Second)); sent < least || sent > 2*least {
		t.Errorf("usage was sent %d times in %s", sent, now.Sub(first))
	}
	periodic := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Renewal{Renewal: &controlpb.WorkerRenewal{
		Worker: "w", Usage: []*controlpb.Usage{{Task: "t/0"}},
	}}}
	if f.filter(now, periodic) != periodic || f.filter(now, periodic) != periodic {
		t.Error("usage of a periodic renewal was dropped")
	}
}
