package announcement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// TestRenewalsAreExpanded guards against a renewal that is expanded to another announcement or to another daemon's, and
// against an endpoint whose renewals stay unknown. Announcements change, leaders change and restart, requests and answers
// are lost, and daemons restart with another sender ID. The oracle is the original renewal.
func TestRenewalsAreExpanded(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		receivers := []*Receiver{{}, {}}
		senders, ids := []*Sender{{}, {}}, []uint64{1, 2}
		leader, unknown, byNumber, full := 0, map[string]int{}, 0, 0
		for step := range 5000 {
			switch random.IntN(1000) {
			case 0:
				leader = 1 - leader
			case 1:
				receivers[leader] = &Receiver{}
			case 2:
				daemon := random.IntN(2)
				senders[daemon], ids[daemon] = &Sender{}, uint64(step+10)
			}
			daemon, to := random.IntN(2), fmt.Sprint("leader", leader)
			endpoint := &controlpb.Endpoint{Name: fmt.Sprint("e", random.IntN(30)), Incarnation: uint64(step / 1000), Service: "s", Leaving: random.IntN(50) == 0}
			want := &controlpb.EndpointRenewal{Endpoint: endpoint, InUse: random.Int32N(9)}
			sent := senders[daemon].Compress(to, proto.CloneOf(want))
			if random.IntN(20) == 0 {
				continue // lost
			}
			got := receivers[leader].Expand(ids[daemon], proto.CloneOf(sent))
			result, key := &controlpb.Result{}, fmt.Sprint(daemon, endpoint.Name)
			if got == nil {
				if unknown[key]++; unknown[key] > 1 {
					t.Fatalf("seed %d, step %d: %s stays unknown", seed, step, key)
				}
				result.Code = controlpb.ResultCode_RESULT_UNAVAILABLE
				senders[daemon].HandleResult(to, endpoint.Name, sent, result)
				continue
			}
			unknown[key] = 0
			if !proto.Equal(got, want) {
				t.Fatalf("seed %d, step %d: expanded to %v, want %v", seed, step, got, want)
			}
			if sent.Endpoint == nil {
				byNumber++
			} else {
				full++
			}
			if random.IntN(20) != 0 {
				senders[daemon].HandleResult(to, endpoint.Name, sent, result)
			}
		}
		if byNumber < full {
			t.Errorf("seed %d: %d renewals by number, %d full", seed, byNumber, full)
		}
	}
}

// TestMemoryIsBounded guards against unbounded growth with each restart or each change of an announcement.
func TestMemoryIsBounded(t *testing.T) {
	s, r := &Sender{}, &Receiver{}
	for i := range 3 * maxAnnouncements {
		renewal := &controlpb.EndpointRenewal{Endpoint: &controlpb.Endpoint{Name: fmt.Sprint("e", i)}}
		r.Expand(1, s.Compress("leader", renewal))
		if len(s.byName) > maxAnnouncements || len(r.bySender[1]) > maxAnnouncements {
			t.Fatalf("%d and %d announcements are kept", len(s.byName), len(r.bySender[1]))
		}
	}
	for i := range uint64(3 * maxSenders) {
		r.Expand(i, &controlpb.EndpointRenewal{Endpoint: &controlpb.Endpoint{Name: "e"}, Number: 1})
		if len(r.bySender) > maxSenders {
			t.Fatalf("%d senders are kept", len(r.bySender))
		}
	}
}
