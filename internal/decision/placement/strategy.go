package placement

// placeBestFit compares a bounded number of workers per zone: the tightest, where packing is best, and one of each further
// bucket, so that a worker without interference is found although the tightest ones have some. A task that interferes with
// others starts from the emptiest workers instead, so that many such tasks fit on the same few workers.
func (p *Planner) placeBestFit(r *Request) ID {
	s := search{request: r, best: None, emptiestFirst: p.interference != nil && p.interference.Interferes(r.Kind)}
	lowest := bucketOf(r.Size.Processors)
	for z := range p.zones {
		if !p.admits(int32(z), r) {
			continue
		}
		zone := &p.zones[z]
		s.compared, s.singles = 0, 0
		if s.emptiestFirst {
			for b := zone.highestBucket(bucketCount - 1); b >= lowest && s.singles < singleCandidates; b = zone.highestBucket(b - 1) {
				p.compare(zone.buckets[b], &s)
			}
		} else {
			for b := zone.lowestBucket(lowest); b >= 0 && s.singles < singleCandidates; b = zone.lowestBucket(b + 1) {
				p.compare(zone.buckets[b], &s)
			}
		}
	}
	return s.best
}

// compare compares the workers of one bucket: all until tightCandidates were compared in the zone, then one per bucket.
func (p *Planner) compare(bucket []ID, s *search) {
	for _, id := range bucket {
		if !p.fits(id, s.request) {
			continue
		}
		if cost := p.batchCost(id, s); s.best == None || cost < s.cost {
			s.best, s.cost = id, cost
		}
		s.compared++
		if s.compared > tightCandidates {
			s.singles++
			return
		}
	}
}

// batchCost returns the share of the worker that would stay free plus the weighted interference. For a task that interferes
// with others, the share in use replaces the free share.
func (p *Planner) batchCost(id ID, s *search) float64 {
	w, r := &p.workers[id], s.request
	left := w.capacity.Sub(w.used).Sub(r.Size)
	cost := 0.5*share(left.Processors, w.capacity.Processors) + 0.5*share(left.Memory, w.capacity.Memory)
	if s.emptiestFirst {
		cost = 1 - cost
	}
	if r.Size.Accelerators == 0 && left.Accelerators > 0 {
		cost++ // keeps accelerators free for tasks that need them
	}
	if p.interference != nil {
		cost += penaltyWeight * p.interference.Penalty(id, r.Kind)
	}
	return cost
}

func (p *Planner) placeLeastLoaded(r *Request) ID {
	best := None
	for z := range p.zones {
		if !p.admits(int32(z), r) {
			continue
		}
		zone := &p.zones[z]
		for b, found := zone.highestBucket(bucketCount-1), false; b >= bucketOf(r.Size.Processors) && !found; b = zone.highestBucket(b - 1) {
			for _, id := range zone.buckets[b] {
				if !p.fits(id, r) {
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

func (p *Planner) placeRandom(r *Request) ID {
	if len(p.workers) == 0 {
		return None
	}
	start := p.random.IntN(len(p.workers))
	for i := range p.workers {
		id := ID((start + i) % len(p.workers))
		w := &p.workers[id]
		if w.present && !w.blocked && p.admits(w.zone, r) && p.fits(id, r) {
			return id
		}
	}
	return None
}

// placeService spreads the tasks of a group over zones, then racks, then workers, and prefers the least loaded worker.
func (p *Planner) placeService(r *Request) ID {
	var tried ZoneSet
	for range p.zones {
		next, count := int32(-1), int32(0)
		for z := range p.zones {
			if tried&(1<<z) != 0 || !p.admits(int32(z), r) {
				continue
			}
			if n := p.spread[spreadKey{r.Group, 0, int32(z)}]; next < 0 || n < count {
				next, count = int32(z), n
			}
		}
		if next < 0 {
			return None
		}
		tried |= 1 << next
		if id := p.placeInZone(&p.zones[next], r); id != None {
			return id
		}
	}
	return None
}

func (p *Planner) placeInZone(z *zone, r *Request) ID {
	best, bestRack, bestWorker, bestServices := None, int32(0), int32(0), int32(0)
	for _, rackID := range z.racks {
		inRack := p.spread[spreadKey{r.Group, 1, rackID}]
		if best != None && inRack > bestRack {
			continue
		}
		for _, id := range p.racks[rackID].workers {
			w := &p.workers[id]
			if w.blocked || !p.fits(id, r) {
				continue
			}
			onWorker := int32(0)
			if inRack > 0 {
				onWorker = p.spread[spreadKey{r.Group, 2, int32(id)}]
			}
			better := best == None || inRack < bestRack
			if !better && inRack == bestRack {
				better = onWorker < bestWorker || onWorker == bestWorker && (w.services < bestServices ||
					w.services == bestServices && p.Free(id).Processors > p.Free(best).Processors)
			}
			if better {
				best, bestRack, bestWorker, bestServices = id, inRack, onWorker, w.services
			}
		}
	}
	return best
}

// Place returns the worker for a task, or None. It charges nothing.
func (p *Planner) Place(r *Request) ID {
	switch {
	case p.strategy == RandomFit:
		return p.placeRandom(r)
	case r.Service:
		return p.placeService(r)
	case p.strategy == LeastLoaded:
		return p.placeLeastLoaded(r)
	}
	return p.placeBestFit(r)
}
