package placement

import (
	"math/bits"
)

// reindex moves a worker to the bucket for its free processors. Blocked and removed workers are in no bucket.
func (p *Planner) reindex(id ID) {
	w := &p.workers[id]
	bucket := int32(-1)
	if w.present && !w.blocked {
		bucket = int32(bucketOf(w.capacity.Processors - w.used.Processors))
	}
	if bucket == w.bucket {
		return
	}
	z := &p.zones[w.zone]
	if w.bucket >= 0 {
		list := z.buckets[w.bucket]
		moved := list[len(list)-1]
		list[w.slot] = moved
		p.workers[moved].slot = w.slot
		z.buckets[w.bucket] = list[:len(list)-1]
		if len(list) == 1 {
			z.nonEmpty[w.bucket/64] &^= 1 << (w.bucket % 64)
		}
	}
	w.bucket = bucket
	if bucket >= 0 {
		w.slot = int32(len(z.buckets[bucket]))
		z.buckets[bucket] = append(z.buckets[bucket], id)
		z.nonEmpty[bucket/64] |= 1 << (bucket % 64)
	}
}

// lowestBucket returns the lowest non-empty bucket from b up, or -1.
func (z *zone) lowestBucket(b int) int {
	for word := b / 64; word < len(z.nonEmpty); word++ {
		bitmap := z.nonEmpty[word]
		if word == b/64 {
			bitmap &= ^uint64(0) << (b % 64)
		}
		if bitmap != 0 {
			return word*64 + bits.TrailingZeros64(bitmap)
		}
	}
	return -1
}

// highestBucket returns the highest non-empty bucket from b down, or -1.
func (z *zone) highestBucket(b int) int {
	if b < 0 {
		return -1
	}
	for word := b / 64; word >= 0; word-- {
		bitmap := z.nonEmpty[word]
		if word == b/64 {
			bitmap &= ^uint64(0) >> (63 - b%64)
		}
		if bitmap != 0 {
			return word*64 + 63 - bits.LeadingZeros64(bitmap)
		}
	}
	return -1
}

// bucketOf returns the bucket for an amount of free processors. It is monotonic, with 8 buckets per power of two.
func bucketOf(free int64) int {
	if free < 8 {
		return int(max(free, 0))
	}
	shift := bits.Len64(uint64(free)) - 4
	return shift*8 + int(free>>shift)
}

// countSpread adds n to the number of tasks of a service task's group in the zone, the rack and on the worker.
func (p *Planner) countSpread(id ID, r *Request, n int32) {
	if !r.Service {
		return
	}
	w := &p.workers[id]
	w.services += n
	for _, key := range [3]spreadKey{{r.Group, 0, w.zone}, {r.Group, 1, w.rack}, {r.Group, 2, int32(id)}} {
		if p.spread[key] += n; p.spread[key] == 0 {
			delete(p.spread, key)
		}
	}
}

func (p *Planner) zoneID(name string) int32 {
	id, ok := p.zoneIDs[name]
	if !ok {
		id = int32(len(p.zones))
		if id >= maxZones {
			panic("placement: more than 64 zones")
		}
		p.zoneIDs[name] = id
		p.zones = append(p.zones, zone{name: name})
	}
	return id
}

func (p *Planner) rackID(zone int32, zoneName, rackName string) int32 {
	key := [2]string{zoneName, rackName}
	id, ok := p.rackIDs[key]
	if !ok {
		id = int32(len(p.racks))
		p.rackIDs[key] = id
		p.racks = append(p.racks, rack{name: rackName})
		p.zones[zone].racks = append(p.zones[zone].racks, id)
	}
	return id
}
