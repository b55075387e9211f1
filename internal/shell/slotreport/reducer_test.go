package slotreport

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// TestReducedReports guards against a demand that differs from that of the full report, and against an epoch that the
// leader of the current term has not received although it accepted a report after the change. The oracle is a leader that
// keeps the reported epochs until the term changes.
func TestReducedReports(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		serviceOf := func(endpoint string) string {
			if endpoint == "e0" {
				return "" // unknown
			}
			return fmt.Sprint("s", len(endpoint)%2)
		}
		r, term, now := &Reducer{}, uint64(1), time.Unix(1_700_000_000, 0)
		received, epochs, included, total := map[string]uint64{}, map[string]uint64{}, 0, 0
		for step := range 200 {
			now = now.Add(time.Second)
			if random.IntN(40) == 0 {
				term++
				received = map[string]uint64{}
			}
			report, want := &controlpb.GatewayReport{Gateway: "g", Incarnation: 7}, map[string]int32{}
			for i := range 20 {
				name := fmt.Sprint("e", i)
				if random.IntN(30) == 0 {
					epochs[name]++
				}
				use := &controlpb.SlotUse{Endpoint: name, Incarnation: 1, Demand: random.Int32N(3), Epoch: epochs[name]}
				want[serviceOf(name)] += use.Demand
				report.Use = append(report.Use, use)
			}
			total += len(report.Use)
			sent := r.Reduce(now, term, report, serviceOf)
			if random.IntN(5) == 0 {
				continue // lost
			}
			r.Accepted(now)
			included += len(sent.Use)
			got := map[string]int32{}
			for _, use := range sent.Use {
				got[serviceOf(use.Endpoint)] += use.Demand
				received[use.Endpoint] = use.Epoch
			}
			for service, demand := range want {
				if got[service] != demand {
					t.Fatalf("seed %d, step %d: demand of %q is reported as %d, want %d", seed, step, service, got[service], demand)
				}
			}
			for name, epoch := range epochs {
				if last, ok := received[name]; !ok || last != epoch {
					t.Fatalf("seed %d, step %d: epoch of %s is reported as %d (%v), want %d", seed, step, name, last, ok, epoch)
				}
			}
		}
		if included > total/2 {
			t.Errorf("seed %d: reports include %d of %d endpoints, want at most half", seed, included, total)
		}
	}
}
