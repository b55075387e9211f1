package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"galenamoor/pkg/resource"
)

// TestNeverOverCapacity guards against an index that is inconsistent with the charges: each placement must fit in every
// resource and be in a zone that admits it, and None is correct only if no worker fits. The oracle is a sum per worker.
func TestNeverOverCapacity(t *testing.T) {
	for _, strategy := range []Strategy{BestFit, LeastLoaded, RandomFit} {
		for seed := range uint64(20) {
			checkRandomPlacements(t, strategy, seed)
		}
	}
}

func checkRandomPlacements(t *testing.T, strategy Strategy, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	p := New(strategy, seed, nil)
	zones := []string{"a", "b", "c"}
	used, capacity := map[ID]resource.Vector{}, map[ID]resource.Vector{}
	out, blocked, zoneOf := map[string]bool{}, map[ID]bool{}, map[ID]string{}
	for i := range 20 {
		c := resource.Vector{Processors: 1000 * (1 + random.Int64N(64)), Memory: 1 + random.Int64N(4000), Accelerators: random.Int64N(3)}
		id := p.SetWorker(fmt.Sprint(i), zones[i%3], fmt.Sprint(i/6), c)
		capacity[id], zoneOf[id] = c, zones[i%3]
	}
	type placed struct {
		id ID
		r  Request
	}
	var running []placed
	for range 600 {
		switch random.IntN(10) {
		case 0:
			zone := zones[random.IntN(3)]
			out[zone] = random.IntN(3) == 0
			p.SetZoneOut(zone, out[zone])
		case 1:
			id := ID(random.IntN(20))
			blocked[id] = random.IntN(3) == 0
			p.Block(id, blocked[id])
		case 2, 3, 4:
			if len(running) > 0 {
				i := random.IntN(len(running))
				p.Release(running[i].id, &running[i].r)
				used[running[i].id] = used[running[i].id].Sub(running[i].r.Size)
				running = append(running[:i], running[i+1:]...)
			}
		default:
			r := Request{
				Size:    resource.Vector{Processors: random.Int64N(20_000), Memory: random.Int64N(800), Accelerators: random.Int64N(2)},
				Service: random.IntN(4) == 0, Group: random.Int32N(3), Avoid: NoAvoid, Reserve: true,
			}
			if random.IntN(3) == 0 {
				r.Zones = p.Zones([]string{zones[random.IntN(3)]})
			}
			fits := func(id ID) bool {
				return !blocked[id] && !out[zoneOf[id]] && (r.Zones == 0 || r.Zones&p.Zones([]string{zoneOf[id]}) != 0) &&
					used[id].Add(r.Size).Fits(capacity[id])
			}
			id := p.Place(&r)
			if id == None {
				for other := range capacity {
					if fits(other) {
						t.Fatalf("strategy %d seed %d: no worker for %v, but worker %d fits", strategy, seed, r.Size, other)
					}
				}
				continue
			}
			if !fits(id) {
				t.Fatalf("strategy %d seed %d: worker %d does not fit %v", strategy, seed, id, r.Size)
			}
			p.Charge(id, &r)
			used[id] = used[id].Add(r.Size)
			running = append(running, placed{id, r})
		}
	}
}

// TestSpread guards against tasks of a service that share a zone, rack or worker while others are free.
func TestSpread(t *testing.T) {
	p := New(BestFit, 0, nil)
	for i := range 24 {
		p.SetWorker(fmt.Sprint(i), fmt.Sprint(i%4), fmt.Sprint(i/4/3), resource.Vector{Processors: 64_000, Memory: 1000})
	}
	zones, racks, workers := map[int32]int{}, map[int32]int{}, map[ID]int{}
	for range 24 {
		r := Request{Size: resource.Vector{Processors: 1000, Memory: 1}, Service: true, Avoid: NoAvoid}
		id := p.Place(&r)
		p.Charge(id, &r)
		zones[p.workers[id].zone]++
		racks[p.workers[id].rack]++
		workers[id]++
	}
	if len(zones) != 4 || len(racks) != 8 || len(workers) != 24 {
		t.Errorf("24 tasks use %d zones, %d racks, %d workers; want 4, 8, 24", len(zones), len(racks), len(workers))
	}
}

// TestExplain guards against a wrong first binding constraint; each zone is set up to have exactly one.
func TestExplain(t *testing.T) {
	p := New(BestFit, 0, nil)
	big := resource.Vector{Processors: 8000, Memory: 100, Accelerators: 1}
	r := &Request{Size: resource.Vector{Processors: 4000, Memory: 50, Accelerators: 1}, Avoid: NoAvoid}
	for zone, capacity := range map[Constraint]resource.Vector{
		Processors: {Processors: 3999, Memory: 100, Accelerators: 1}, Memory: {Processors: 8000, Memory: 49, Accelerators: 1},
		Accelerators: {Processors: 8000, Memory: 100}, ZoneOut: big, Quarantined: big, Refilling: big, Unconstrained: big,
		Avoided: big, Reserved: big, ZoneNotPermitted: big,
	} {
		id := p.SetWorker(string(zone), string(zone), "r", capacity)
		switch zone {
		case Quarantined:
			p.Block(id, true)
		case Avoided:
			r.Avoid[0] = id
		case Reserved:
			p.SetReserved(func(other ID) bool { return other == id })
		}
	}
	for i := range p.workers {
		p.workers[i].reserved = p.workers[i].name == string(Reserved)
	}
	p.SetZoneOut(string(ZoneOut), true)
	p.SetZoneLimit(string(Refilling), resource.Vector{Processors: 100})
	p.zoneID(string(NoWorkers))
	r.Zones = ^p.Zones([]string{string(ZoneNotPermitted)})
	for _, c := range p.Explain(r) {
		if string(c.Constraint) != c.Zone {
			t.Errorf("zone with constraint %s: Explain returned %s", c.Zone, c.Constraint)
		}
	}
}
