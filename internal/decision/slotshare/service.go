package slotshare

import (
	"maps"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
)

// services returns the services sorted by name, with the targets of their live gateways.
func (a *Allocator) services(now time.Time) []*service {
	byName := map[string]*service{}
	for _, e := range sortedValues(a.endpoints) {
		if e.leaving {
			continue
		}
		s := byName[e.service]
		if s == nil {
			s = &service{allocator: a, name: e.service}
			byName[e.service] = s
		}
		s.endpoints = append(s.endpoints, e)
		s.slots += e.slots
	}
	for _, s := range byName {
		s.setTargets(now)
	}
	services := make([]*service, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		services = append(services, byName[name])
	}
	return services
}

// setTargets sets each gateway's target in proportion to its demand plus half of an equal share. The constant part gives
// every gateway slots for a shift of load and makes the shares equal while demand is low.
func (s *service) setTargets(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(s.allocator.gateways)) {
		if g := s.allocator.gateways[name]; s.allocator.alive(now, g) {
			s.shares = append(s.shares, &share{name: name, gateway: g})
		}
	}
	base := float64(s.slots) / float64(2*max(1, len(s.shares)))
	sum := 0.0
	for _, sh := range s.shares {
		// The average ignores the start of a short peak, and the latest report ends with it.
		sh.target = base + min(sh.gateway.averageDemand[s.name], sh.gateway.latestDemand[s.name])
		sum += sh.target
		for _, e := range s.endpoints {
			sh.total += e.slotsOf(sh)
		}
	}
	for _, sh := range s.shares {
		sh.target *= float64(s.slots) / sum
	}
}

// deficit returns the score by which gateways compete for a slot of the endpoint, as if the given number of the gateway's
// slots there had been removed. Slots missing at the endpoint count fully, slots missing in total are divided by the number of
// endpoints: with more gateways than slots, those left out at one endpoint come first at the next one.
func (s *service) deficit(e *endpoint, sh *share, removed int) float64 {
	n := float64(len(s.endpoints))
	return (sh.target-float64(sh.total-removed))/n + sh.target/n - float64(e.slotsOf(sh)-removed)
}

// largestDeficit returns the gateway that gets a free slot of the endpoint, or nil if none can. Added counts the slots
// already assigned to gateways in this pass; the gateway excluded is not considered.
func (s *service) largestDeficit(e *endpoint, added map[*share]int, excluded *share) *share {
	var best *share
	largest := 0.0
	for _, sh := range s.shares {
		if sh == excluded || !e.acceptsProposal(sh) {
			continue
		}
		if deficit := s.deficit(e, sh, -added[sh]); best == nil || deficit > largest+1e-9 {
			best, largest = sh, deficit
		}
	}
	return best
}

// assign proposes grants for the free slots.
func (s *service) assign(now time.Time, proposals []*controlpb.SlotGrant) []*controlpb.SlotGrant {
	for _, e := range s.endpoints {
		if len(proposals)+len(s.shares) > MaxProposals {
			return proposals
		}
		added := map[*share]int{}
		for free := e.freeSlots(); free > 0; free-- {
			sh := s.largestDeficit(e, added, nil)
			if sh == nil {
				break
			}
			added[sh]++
		}
		for _, sh := range s.shares {
			if added[sh] == 0 {
				continue
			}
			if e.holds[sh.key()] == nil {
				e.holds[sh.key()] = &hold{proposed: noProposal}
			}
			slots := e.slotsOf(sh) + added[sh]
			sh.total += added[sh]
			proposals = s.allocator.propose(now, e, sh.key(), slots, proposals)
		}
	}
	return proposals
}

// rebalance takes slots from gateways above their targets if others have been below theirs for RebalanceDelay. It only
// lowers grants; assign grants the slots to others once the lower grants are acknowledged.
func (s *service) rebalance(now time.Time, proposals []*controlpb.SlotGrant) []*controlpb.SlotGrant {
	inTransit := 0
	for _, e := range s.endpoints {
		proposals = s.trim(now, e, proposals)
		if e.freeSlots() > 0 {
			inTransit += e.freeSlots()
		}
		for _, h := range e.holds {
			inTransit += h.held - min(h.held, h.proposedOrGranted())
		}
	}
	arriving := inTransit
	for _, recipient := range s.shares {
		if !s.underserved(now, recipient) {
			continue
		}
		missing := int(recipient.target) - recipient.total - arriving
		for ; missing > 0 && inTransit <= s.slots/transitDivisor && len(proposals) < MaxProposals; missing-- {
			e, donor := s.chooseDonor(recipient)
			if e == nil {
				break
			}
			donor.total--
			proposals = s.allocator.propose(now, e, donor.key(), e.slotsOf(donor)-1, proposals)
			inTransit++
		}
	}
	return proposals
}

// underserved reports whether the gateway has been below its target for RebalanceDelay, or has less than an eighth of an equal
// share, as a gateway that has just joined.
func (s *service) underserved(now time.Time, sh *share) bool {
	missing := sh.target - float64(sh.total)
	if missing < max(1, rebalanceThreshold*sh.target) {
		delete(sh.gateway.underTargetSince, s.name)
		return false
	}
	since, ok := sh.gateway.underTargetSince[s.name]
	if !ok {
		since = now
		sh.gateway.underTargetSince[s.name] = now
	}
	return now.Sub(since) >= RebalanceDelay || float64(sh.total) < float64(s.slots)/float64(8*len(s.shares))
}

// chooseDonor returns the endpoint and the gateway there whose slot benefits the recipient most, or nil.
func (s *service) chooseDonor(recipient *share) (*endpoint, *share) {
	var bestEndpoint *endpoint
	var bestDonor *share
	bestGain := 1e-9
	for _, e := range s.endpoints {
		if !e.acceptsProposal(recipient) || e.freeSlots() > 0 {
			continue
		}
		for _, candidate := range s.shares {
			if float64(candidate.total) <= candidate.target || e.slotsOf(candidate) == 0 || !e.acceptsProposal(candidate) {
				continue
			}
			gain := s.deficit(e, recipient, 0) - s.deficit(e, candidate, 1)
			if gain > bestGain && s.largestDeficit(e, nil, candidate) == recipient {
				bestEndpoint, bestDonor, bestGain = e, candidate, gain
			}
		}
	}
	return bestEndpoint, bestDonor
}

// trim lowers grants at an endpoint that announces fewer slots than are granted.
func (s *service) trim(now time.Time, e *endpoint, proposals []*controlpb.SlotGrant) []*controlpb.SlotGrant {
	sum := 0
	for _, h := range e.holds {
		sum += h.proposedOrGranted()
	}
	for sum > e.slots && len(proposals) < MaxProposals {
		var most *share
		for _, sh := range s.shares {
			if e.acceptsProposal(sh) && e.slotsOf(sh) > 0 && (most == nil || e.slotsOf(sh) > e.slotsOf(most)) {
				most = sh
			}
		}
		if most == nil {
			return proposals
		}
		cut := min(e.slotsOf(most), max(1, (sum-e.slots)/len(s.shares)))
		sum -= cut
		most.total -= cut
		proposals = s.allocator.propose(now, e, most.key(), e.slotsOf(most)-cut, proposals)
	}
	return proposals
}

// acceptsProposal reports whether a grant may be proposed for the gateway, which requires that none is outstanding.
func (e *endpoint) acceptsProposal(sh *share) bool {
	h := e.holds[sh.key()]
	return h == nil || h.proposed == noProposal
}
