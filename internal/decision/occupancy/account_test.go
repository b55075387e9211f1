package occupancy

import (
	"maps"
	"testing"

	"galenamoor/internal/decision/colocation"
	"galenamoor/pkg/resource"
)

func hostWith(free, spare, memory int64) *colocation.Host {
	return &colocation.Host{Processors: 32_000, Free: resource.Vector{Processors: free, Memory: memory}, Spare: spare}
}

// TestCause guards against blaming a full fleet where gaps are too small, or the other way round.
func TestCause(t *testing.T) {
	yes, no := func() bool { return true }, func() bool { return false }
	allowed, excluded := func() Refusal { return NotRefused }, func() Refusal { return MissingLabel }
	dedicated := colocation.Demand{Kind: colocation.Dedicated, Need: resource.Vector{Processors: 4000, Memory: 1000}, Processors: 4000}
	bestEffort := colocation.Demand{Kind: colocation.BestEffort, Need: resource.Vector{Memory: 1000}, Processors: 4000}
	for name, test := range map[string]struct {
		demand   colocation.Demand
		hosts    []*colocation.Host
		refusal  func() Refusal
		accepted func() bool
		want     Cause
	}{
		"full fleet":                 {dedicated, []*colocation.Host{hostWith(1000, 20_000, 9000), hostWith(2000, 20_000, 9000)}, allowed, yes, Processors},
		"no hosts":                   {dedicated, nil, allowed, yes, Processors},
		"small gaps":                 {dedicated, []*colocation.Host{hostWith(3000, 20_000, 9000), hostWith(3000, 20_000, 9000)}, allowed, yes, Fragmentation},
		"spare of best-effort tasks": {bestEffort, []*colocation.Host{hostWith(0, 3000, 9000), hostWith(0, 3000, 9000)}, allowed, yes, Fragmentation},
		"no memory":                  {dedicated, []*colocation.Host{hostWith(3000, 0, 9000), hostWith(8000, 0, 500)}, allowed, yes, Memory},
		"excluded hosts":             {dedicated, []*colocation.Host{hostWith(8000, 0, 9000)}, excluded, yes, Limits},
		"harmful neighbours":         {bestEffort, []*colocation.Host{hostWith(0, 8000, 9000)}, allowed, no, Interference},
		"room":                       {dedicated, []*colocation.Host{hostWith(8000, 0, 9000)}, allowed, yes, Pending},
	} {
		search := Search{Demand: test.demand}
		for _, h := range test.hosts {
			search.Consider(h, test.refusal, test.accepted)
		}
		if got := search.Cause(); got != test.want {
			t.Errorf("%s: cause %s, expected %s", name, got, test.want)
		}
	}
}

// TestRefusals guards against hosts with room whose refusal goes uncounted, and against counting hosts without room.
func TestRefusals(t *testing.T) {
	search := Search{Demand: colocation.Demand{Kind: colocation.Dedicated, Need: resource.Vector{Processors: 4000}, Processors: 4000}}
	for _, host := range []struct {
		free     int64
		refusal  Refusal
		accepted bool
	}{{8000, HeldRoom, true}, {4000, HeldRoom, true}, {3999, WorkerLimit, true}, {9000, WorkerLimit, true}, {9000, NotRefused, false}, {9000, NotRefused, true}} {
		search.Consider(hostWith(host.free, 0, 0), func() Refusal { return host.refusal }, func() bool { return host.accepted })
	}
	want := map[Refusal]int{HeldRoom: 2, WorkerLimit: 1, Disturbed: 1}
	if !maps.Equal(search.Refusals, want) {
		t.Errorf("refusals %v, expected %v", search.Refusals, want)
	}
}

// TestAccount guards against sums that lose or double processors.
func TestAccount(t *testing.T) {
	var a Account
	serving := hostWith(8000, 20_000, 9000)
	serving.ServingTasks = 3
	a.AddHost(serving, 18_000)
	a.AddHost(hostWith(32_000, 32_000, 9000), 0)
	want := Account{
		Total: 64_000, Reserved: 24_000, Serving: 18_000, Free: 40_000, LargestFree: 32_000,
		ServingHosts: 1, SpareBesideServing: 20_000, SpareElsewhere: 32_000,
	}
	if a != want {
		t.Errorf("account %+v, expected %+v", a, want)
	}
}
