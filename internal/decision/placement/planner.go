// Package placement selects a worker for a task. The Planner keeps an index of workers by free processors that is updated
// with each charge and release, so that the cost of a placement doesn't grow with the number of running tasks.
package placement

import (
	"math/rand/v2"

	"galenamoor/pkg/resource"
)

// ID identifies a worker inside one Planner. A worker that is removed and added again under its name has the same ID.
type ID int32

// None is the ID of no worker.
const None ID = -1

// Strategy is the placement strategy for batch tasks. Tasks of services are always spread, except under RandomFit.
type Strategy uint8

// Strategies. LeastLoaded and RandomFit are baselines for benchmarks.
const (
	BestFit     Strategy = iota // the fitting worker with the least capacity left, with a penalty for interference
	LeastLoaded                 // the worker with the most free processors
	RandomFit                   // a random worker on which the task fits
)

const (
	// bucketCount covers free processors from 0 to resource.MaxQuantity with 8 buckets per power of two.
	bucketCount = 336
	// maxZones is the number of zones that a ZoneSet can hold.
	maxZones = 64
	// tightCandidates is the number of workers compared per zone from the tightest bucket up, singleCandidates the number of
	// further buckets from which one worker each is compared.
	tightCandidates  = 6
	singleCandidates = 6
	// workersPerReserved is the number of workers in a zone per reserved worker.
	workersPerReserved = 24
	// penaltyWeight makes a slowdown by a factor of e cost as much as four entirely unused workers.
	penaltyWeight = 4
)

// InterferenceEstimator estimates the interference of a kind of task with the tasks that already run on a worker.
type InterferenceEstimator interface {
	// Penalty returns the approximate added slowdown (natural logarithm), summed over the affected tasks; 0 for none.
	Penalty(worker ID, kind int32) float64
	// Interferes reports whether tasks of a kind are known to interfere with others.
	Interferes(kind int32) bool
}

// ZoneSet is a set of zones of one Planner; the empty set permits all zones.
type ZoneSet uint64

// Request describes the task to place.
type Request struct {
	Size    resource.Vector
	Zones   ZoneSet
	Kind    int32 // kind of task, for the InterferenceEstimator
	Service bool
	Group   int32 // services: tasks of the same group are spread
	Reserve bool  // the task may use reserved workers
	Avoid   Avoid // workers not to use
}

// Avoid is a list of workers; unused entries hold None.
type Avoid [8]ID

// NoAvoid is an empty list.
var NoAvoid = Avoid{None, None, None, None, None, None, None, None}

// Has reports whether a worker is in the list.
func (a *Avoid) Has(id ID) bool {
	for _, other := range a {
		if other == id {
			return true
		}
	}
	return false
}

type worker struct {
	name           string
	zone, rack     int32
	capacity, used resource.Vector
	present        bool
	blocked        bool
	reserved       bool
	bucket, slot   int32 // bucket in the index, -1 for none, and position in the bucket
	services       int32 // number of service tasks
}

type zone struct {
	name     string
	out      bool
	limited  bool
	budget   resource.Vector // remaining amount that may be placed while limited
	racks    []int32
	buckets  [bucketCount][]ID               // workers by free processors; see bucketOf
	nonEmpty [(bucketCount + 63) / 64]uint64 // bitmap of the buckets that hold workers
	total    resource.Vector                 // capacity of all workers
	workers  int
}

type rack struct {
	name    string
	workers []ID
}

// spreadKey identifies the count of a group's tasks in a zone, rack or worker.
type spreadKey struct {
	group int32
	level int8  // 0 zone, 1 rack, 2 worker
	place int32 // number of the zone, rack or worker
}

// Planner holds workers and the resources charged on them. It panics when it is given more than 64 zones. It is not safe for
// concurrent use.
type Planner struct {
	strategy     Strategy
	interference InterferenceEstimator
	random       *rand.Rand
	workers      []worker
	names        map[string]ID
	zones        []zone
	zoneIDs      map[string]int32
	racks        []rack
	rackIDs      map[[2]string]int32
	spread       map[spreadKey]int32
}

// New returns a planner without workers. The seed is used only by RandomFit. If interference is nil, batch tasks are placed
// without regard to it.
func New(strategy Strategy, seed uint64, interference InterferenceEstimator) *Planner {
	return &Planner{
		strategy: strategy, interference: interference, random: rand.New(rand.NewPCG(seed, 1)),
		names: map[string]ID{}, zoneIDs: map[string]int32{}, rackIDs: map[[2]string]int32{}, spread: map[spreadKey]int32{},
	}
}

// SetWorker adds a worker or changes its capacity, and keeps its charges. A known worker stays in its zone and rack.
func (p *Planner) SetWorker(name, zoneName, rackName string, capacity resource.Vector) ID {
	id, known := p.names[name]
	if !known {
		id = ID(len(p.workers))
		p.names[name] = id
		z := p.zoneID(zoneName)
		p.workers = append(p.workers, worker{name: name, zone: z, rack: p.rackID(z, zoneName, rackName), bucket: -1})
	}
	w := &p.workers[id]
	z := &p.zones[w.zone]
	if w.present {
		z.total = z.total.Sub(w.capacity)
	} else {
		z.workers++
		r := &p.racks[w.rack]
		r.workers = append(r.workers, id)
	}
	w.present = true
	w.capacity = capacity
	z.total = z.total.Add(capacity)
	p.reindex(id)
	return id
}

// RemoveWorker removes a worker from the index. Its charges stay, so that later releases balance.
func (p *Planner) RemoveWorker(id ID) {
	w := &p.workers[id]
	if !w.present {
		return
	}
	w.present = false
	z := &p.zones[w.zone]
	z.workers--
	z.total = z.total.Sub(w.capacity)
	r := &p.racks[w.rack]
	for i, other := range r.workers {
		if other == id {
			r.workers = append(r.workers[:i], r.workers[i+1:]...)
			break
		}
	}
	p.reindex(id)
}

// Block excludes a worker from new placements, or readmits it.
func (p *Planner) Block(id ID, blocked bool) {
	p.workers[id].blocked = blocked
	p.reindex(id)
}

// SetReserved reserves one in workersPerReserved workers of each zone, those with the most free processors, for requests that
// may use reserved workers, so that urgent work seldom has to preempt others. Zones with fewer than half as many workers
// reserve none. Workers for which eligible returns false are skipped.
func (p *Planner) SetReserved(eligible func(ID) bool) {
	for i := range p.workers {
		p.workers[i].reserved = false
	}
	for z := range p.zones {
		zone := &p.zones[z]
		remaining := (zone.workers + workersPerReserved/2) / workersPerReserved
		for b := zone.highestBucket(bucketCount - 1); b >= 0 && remaining > 0; b = zone.highestBucket(b - 1) {
			for _, id := range zone.buckets[b] {
				if remaining > 0 && eligible(id) {
					p.workers[id].reserved = true
					remaining--
				}
			}
		}
	}
}

// SetZoneOut takes a zone out of service or brings it back.
func (p *Planner) SetZoneOut(name string, out bool) { p.zones[p.zoneID(name)].out = out }

// SetZoneLimit limits the total that may be placed in a zone until the next call of SetZoneLimit or ClearZoneLimit.
func (p *Planner) SetZoneLimit(name string, budget resource.Vector) {
	z := &p.zones[p.zoneID(name)]
	z.limited, z.budget = true, budget
}

// ClearZoneLimit removes the limit set by SetZoneLimit.
func (p *Planner) ClearZoneLimit(name string) { p.zones[p.zoneID(name)].limited = false }

// ZoneCapacity returns the total capacity of the workers of a zone.
func (p *Planner) ZoneCapacity(name string) resource.Vector { return p.zones[p.zoneID(name)].total }

// Zones returns the set of the named zones. An unknown name is added as a zone without workers.
func (p *Planner) Zones(names []string) ZoneSet {
	var set ZoneSet
	for _, name := range names {
		set |= 1 << p.zoneID(name)
	}
	return set
}

// Charge adds a task to a worker's use and takes it from the limit of the zone. It doesn't check the capacity, because the
// task may already run there.
func (p *Planner) Charge(id ID, r *Request) {
	w := &p.workers[id]
	w.used = w.used.Add(r.Size)
	if z := &p.zones[w.zone]; z.limited {
		z.budget = z.budget.Sub(r.Size)
	}
	p.countSpread(id, r, 1)
	p.reindex(id)
}

// Release undoes a Charge of the same size and group, except that it returns nothing to the limit of the zone.
func (p *Planner) Release(id ID, r *Request) {
	w := &p.workers[id]
	w.used = w.used.Sub(r.Size)
	p.countSpread(id, r, -1)
	p.reindex(id)
}

// Resize changes the charged size of a task in place, without using up the limit of the zone.
func (p *Planner) Resize(id ID, from, to resource.Vector) {
	w := &p.workers[id]
	w.used = w.used.Add(to).Sub(from)
	p.reindex(id)
}

// Free returns the uncharged capacity of a worker. A component is negative if the measured use exceeds the capacity.
func (p *Planner) Free(id ID) resource.Vector {
	return p.workers[id].capacity.Sub(p.workers[id].used)
}

// Capacity returns a worker's capacity.
func (p *Planner) Capacity(id ID) resource.Vector { return p.workers[id].capacity }

// EverFits reports whether some worker in the permitted zones could hold the task when empty. Zones out of service are
// included.
func (p *Planner) EverFits(r *Request) bool {
	for i := range p.workers {
		w := &p.workers[i]
		if w.present && r.Zones.permits(w.zone) && r.Size.Fits(w.capacity) {
			return true
		}
	}
	return false
}

func (s ZoneSet) permits(zone int32) bool { return s == 0 || s&(1<<zone) != 0 }

func (p *Planner) admits(zone int32, r *Request) bool {
	z := &p.zones[zone]
	return !z.out && r.Zones.permits(zone) && (!z.limited || r.Size.Fits(z.budget))
}

// fits reports whether a worker that is in the index can hold the task now.
func (p *Planner) fits(id ID, r *Request) bool {
	w := &p.workers[id]
	return r.Size.Fits(w.capacity.Sub(w.used)) && (r.Reserve || !w.reserved) &&
		!r.Avoid.Has(id)
}

// search is the state of a search for the worker with the lowest cost.
type search struct {
	request       *Request
	emptiestFirst bool
	best          ID
	cost          float64
	compared      int // workers compared in the current zone
	singles       int // buckets of the current zone from which only one worker was compared
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Permits reports whether a worker could hold the task if others were preempted: by its capacity, its zone and the limit of
// the zone.
func (p *Planner) Permits(id ID, r *Request) bool {
	w := &p.workers[id]
	return w.present && !w.blocked && r.Size.Fits(w.capacity) && p.admits(w.zone, r) && !r.Avoid.Has(id)
}

// MostFree returns the worker with the most free processors of those that could hold the task if others were preempted, or
// None. It examines only the highest bucket of each zone that holds such a worker.
func (p *Planner) MostFree(r *Request) ID {
	best := None
	for z := range p.zones {
		zone := &p.zones[z]
		if !p.admits(int32(z), r) {
			continue
		}
		for b, found := zone.highestBucket(bucketCount-1), false; b >= 0 && !found; b = zone.highestBucket(b - 1) {
			for _, id := range zone.buckets[b] {
				if !p.Permits(id, r) || p.workers[id].reserved && !r.Reserve {
					continue
				}
				found = true
				if best == None || p.Free(id).Processors > p.Free(best).Processors {
					best = id
				}
			}
		}
	}
	return best
}

// Claim holds a size on a worker for a task that will be charged later. It takes the size from the limit of the zone, and
// Unclaim returns it before the task is charged.
func (p *Planner) Claim(id ID, size resource.Vector) {
	p.Resize(id, resource.Vector{}, size)
	p.Unclaim(id, resource.Vector{}.Sub(size))
}

// Unclaim returns a size to the limit of a worker's zone.
func (p *Planner) Unclaim(id ID, size resource.Vector) {
	if z := &p.zones[p.workers[id].zone]; z.limited {
		z.budget = z.budget.Add(size)
	}
}
