package colocation

import (
	"testing"

	"galenamoor/internal/decision/disturbance"
	"galenamoor/pkg/resource"
)

func sized(processors int64) resource.Vector {
	return resource.Vector{Processors: processors, Memory: 4096}
}

// Guards against the loads of the package comment: which of several hosts a task goes to, best first; hosts that are left
// out can't take it.
func TestOrder(t *testing.T) {
	free := func(processors int64) resource.Vector {
		return resource.Vector{Processors: processors, Memory: 64 << 10}
	}
	empty := Host{Free: free(32_000), Spare: 32_000}
	half := Host{Free: free(16_000), Spare: 16_000}
	full := Host{Free: free(1000), Spare: 1000}
	serves := Host{Free: free(8000), Spare: 20_000, Serving: 4, Strain: 0.5}
	strained := Host{Free: free(8000), Spare: 20_000, Serving: 4, Strain: 0.95}
	halted := Host{Free: free(8000), Spare: 20_000, Serving: 4, Strain: 0.5, Halted: true}
	filled := Host{Free: free(8000), Spare: 10_000, Serving: 4, Strain: 0.5, Fills: 24_000}
	calm := Host{Free: free(8000), Spare: 20_000, Serving: 4, Strain: 0.4, Processors: 32_000}
	busy := Host{Free: free(8000), Spare: 20_000, Serving: 4, Strain: 0.6, Processors: 32_000}
	gentle := Host{Free: free(8000), Spare: 20_000, Serving: 4, Strain: 0.4, Processors: 32_000, Gentle: 6000}
	suspect := Host{Free: free(32_000), Spare: 32_000, Suspect: true}
	noMemory := Host{Free: resource.Vector{Processors: 32_000, Memory: 1024}, Spare: 32_000}
	for name, test := range map[string]struct {
		demand Demand
		hosts  []Host // best first
		never  []Host
	}{
		"exact tasks go where most is unused": {Demand{Kind: Exact, Need: sized(4000)}, []Host{empty, serves, half}, []Host{full, noMemory}},
		"suspect hosts come last":             {Demand{Kind: Exact, Need: sized(4000)}, []Host{half, suspect}, nil},
		"serving tasks stay with their image": {Demand{Kind: Serving, Need: sized(6000)}, []Host{serves, half, empty}, []Host{full}},
		"serving tasks rather open a host than mix images": {
			Demand{Kind: Serving, Need: sized(6000), Mixes: true}, []Host{half, serves}, nil,
		},
		"fills leave hosts for serving tasks": {
			Demand{Kind: Fill, Need: sized(0), Processors: 4000}, []Host{half, empty}, []Host{full},
		},
		"fills that get on go beside serving tasks last": {
			Demand{Kind: Fill, Need: sized(0), Processors: 4000}, []Host{half, empty, serves}, []Host{strained, halted},
		},
		"a fill that disturbs is kept apart": {
			Demand{Kind: Fill, Need: sized(0), Processors: 4000, Companions: disturbance.Harmful}, []Host{empty}, []Host{serves},
		},
		"few unknown fills beside serving tasks": {
			Demand{Kind: Fill, Need: sized(0), Processors: 4000, Companions: disturbance.Unknown}, []Host{empty, serves}, []Host{filled},
		},
		"gentle fills go where serving tasks are calm": {
			Demand{Kind: Fill, Need: sized(0), Processors: 4000, Companions: disturbance.Harmful, Gentle: true},
			[]Host{calm, busy},
			[]Host{strained, halted, gentle},
		},
		"one unknown image at a time": {
			Demand{Kind: Fill, Need: sized(0), Processors: 4000, Companions: disturbance.Unknown, Unsure: true}, []Host{empty}, []Host{serves},
		},
	} {
		last := int64(0)
		for i := range test.hosts {
			score, ok := Score(test.demand, &test.hosts[i])
			if !ok || i > 0 && score >= last {
				t.Errorf("%s: host %d has score %d (%v) after %d", name, i, score, ok, last)
			}
			last = score
		}
		for i := range test.never {
			if score, ok := Score(test.demand, &test.never[i]); ok {
				t.Errorf("%s: host %d has score %d, expected none", name, i, score)
			}
		}
	}
}

// A task goes to the rack of its data unless only far hosts have room.
func TestRacks(t *testing.T) {
	near := Host{Free: sized(8000), Spare: 8000, Rack: "r1"}
	far := Host{Free: sized(32_000), Spare: 32_000, Rack: "r2"}
	demand := Demand{Kind: Exact, Need: sized(4000), DataRack: "r1"}
	nearScore, _ := Score(demand, &near)
	farScore, ok := Score(demand, &far)
	if !ok || nearScore <= farScore {
		t.Errorf("near %d, far %d", nearScore, farScore)
	}
}
