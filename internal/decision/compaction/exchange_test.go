package compaction

import (
	"math/rand/v2"
	"testing"

	"galenamoor/pkg/resource"
)

func cores(milli int64) resource.Vector {
	return resource.Vector{Processors: milli, Memory: milli}
}

func admitAll(Exchange) bool { return true }

// TestFind guards against exchanges that move more tasks than needed, break up large pieces, or are missed.
func TestFind(t *testing.T) {
	for name, test := range map[string]struct {
		demand resource.Vector
		hosts  []Host
		admits func(Exchange) bool
		want   Exchange
		found  bool
	}{
		"one move": {
			cores(5000), []Host{{cores(2000), []resource.Vector{cores(3000)}}, {cores(3000), []resource.Vector{cores(6000)}}}, admitAll, Exchange{0, 1, 0, NoTask}, true,
		},
		"two moves": {
			cores(5000), []Host{{cores(2000), []resource.Vector{cores(7000)}}, {cores(3000), []resource.Vector{cores(4000)}}}, admitAll, Exchange{0, 1, 0, 0}, true,
		},
		"one move before two that leave less": {
			cores(5000),
			[]Host{{cores(2000), []resource.Vector{cores(7000)}}, {cores(3000), []resource.Vector{cores(4000)}}, {cores(4000), []resource.Vector{cores(4000)}}},
			admitAll,
			Exchange{1, 2, 0, NoTask},
			true,
		},
		"least rest": {
			cores(5000),
			[]Host{{cores(2500), []resource.Vector{cores(6500)}}, {cores(3900), []resource.Vector{cores(4000)}}, {cores(2600), []resource.Vector{cores(4000)}}},
			admitAll,
			Exchange{0, 2, 0, 0},
			true,
		},
		"too little in all":     {cores(5000), []Host{{cores(2000), []resource.Vector{cores(3000)}}, {cores(2000), []resource.Vector{cores(1000)}}}, admitAll, Exchange{}, false},
		"too little memory":     {resource.Vector{Processors: 5000, Memory: 9000}, []Host{{cores(2000), []resource.Vector{cores(3000)}}, {cores(3000), nil}}, admitAll, Exchange{}, false},
		"no task of a fit size": {cores(5000), []Host{{cores(2500), []resource.Vector{cores(6000)}}, {cores(2500), []resource.Vector{cores(6000)}}}, admitAll, Exchange{}, false},
		"not admitted": {
			cores(5000), []Host{{cores(2000), []resource.Vector{cores(3000)}}, {cores(3000), nil}}, func(Exchange) bool { return false }, Exchange{}, false,
		},
		"one host": {cores(5000), []Host{{cores(4000), []resource.Vector{cores(3000)}}}, admitAll, Exchange{}, false},
	} {
		got, found := Find(test.demand, test.hosts, test.admits)
		if found != test.found || found && got != test.want {
			t.Errorf("%s: %+v, %v, expected %+v, %v", name, got, found, test.want, test.found)
		}
	}
}

// TestExchangesKeepCapacity guards against exchanges after which a host has less than nothing free, or the demand doesn't fit.
func TestExchangesKeepCapacity(t *testing.T) {
	found := 0
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		hosts := randomHosts(random, 2+random.IntN(20))
		demand := resource.Vector{Processors: 4000 + random.Int64N(5000), Memory: random.Int64N(30_000)}
		e, ok := Find(demand, hosts, admitAll)
		if !ok {
			continue
		}
		found++
		target, partner := hosts[e.Target].Free, hosts[e.Partner].Free
		outgoing, incoming := hosts[e.Target].Movable[e.Outgoing], resource.Vector{}
		if e.Incoming != NoTask {
			incoming = hosts[e.Partner].Movable[e.Incoming]
		}
		if e.Target == e.Partner || !demand.Add(incoming).Fits(target.Add(outgoing)) || !outgoing.Fits(partner.Add(incoming)) {
			t.Errorf("seed %d: exchange %+v doesn't fit", seed, e)
		}
	}
	if found < 100 {
		t.Errorf("%d exchanges found", found)
	}
}

// randomHosts returns hosts of 32 cores and 125 GiB that are nearly full.
func randomHosts(random *rand.Rand, count int) []Host {
	hosts := make([]Host, count)
	for i := range hosts {
		hosts[i].Free = resource.Vector{Processors: 32_000, Memory: 125 << 10}
		for {
			task := resource.Vector{Processors: 4000 + random.Int64N(5000), Memory: 13_000}
			if !task.Fits(hosts[i].Free) {
				break
			}
			hosts[i].Free = hosts[i].Free.Sub(task)
			hosts[i].Movable = append(hosts[i].Movable, task)
		}
	}
	return hosts
}

func BenchmarkFind(b *testing.B) {
	hosts := randomHosts(rand.New(rand.NewPCG(1, 1)), 490)
	for b.Loop() {
		Find(cores(5500), hosts, func(Exchange) bool { return false })
	}
}

// BenchmarkFruitlessSearch measures a search among 64 hosts of 36 movable tasks, none of which can be exchanged.
func BenchmarkFruitlessSearch(b *testing.B) {
	for _, c := range []struct {
		name   string
		memory int64
		admits bool
	}{{"no memory", 1, true}, {"not admitted", 1000, false}} {
		b.Run(c.name, func(b *testing.B) {
			hosts := make([]Host, 64)
			for i := range hosts {
				hosts[i].Free = resource.Vector{Processors: 3800, Memory: c.memory}
				for j := range 36 {
					hosts[i].Movable = append(hosts[i].Movable, resource.Vector{Processors: 400 + 100*int64(j), Memory: 10})
				}
			}
			demand := resource.Vector{Processors: 4500, Memory: 5}
			for b.Loop() {
				Find(demand, hosts, func(Exchange) bool { return c.admits })
			}
		})
	}
}
