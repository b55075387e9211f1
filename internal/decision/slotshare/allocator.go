// Package slotshare allocates the slots of endpoints to gateways. The leader runs an Allocator; its proposals become
// replicated grants, from which a new leader rebuilds its own Allocator.
//
// For each endpoint and gateway, an Allocator tracks a hold: an upper bound on the number of slots that the gateway may still
// be using. The holds of an endpoint never sum to more than its slots. A hold rises when a higher grant is proposed. It
// falls only when the gateway has acknowledged the epoch of the lower grant, or when the gateway certainly no longer uses
// the slots.
//
// The replicated state must keep a lowered grant, even one of zero slots, until HeldSlots reports that it has taken effect, and
// even while the endpoint is absent. Otherwise a new leader would not know that slots may still be in use.
package slotshare

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
)

// InUseUnknown stands for the number of slots in use of an endpoint that does not report it.
const InUseUnknown = -1

const (
	// GatewayTimeout is the time without a report after which a gateway is considered dead. It corresponds to three missed
	// reports.
	GatewayTimeout = 3 * time.Second
	// MaxViewAge is the age of an unconfirmed view from which on a gateway starts no calls. It is the gateway's freshness
	// limit of 2.5 s plus a margin for differences in clock rate.
	MaxViewAge = 3 * time.Second
	// MaxRenewalDelay bounds the delay between an endpoint's measurement of its slots in use and the arrival of the
	// renewal. A measurement from before a dead gateway's last call does not prove that the gateway's slots are unused.
	MaxRenewalDelay = time.Second
	// QuarantineTime is how long a call may still use its slot after its connection has closed.
	QuarantineTime = 10 * time.Second
	// ReclaimDelay is the time after which all calls of a dead gateway have ended, counted from MaxViewAge after its last
	// report: it closes its connections within 10 s, and each call may use its slot for QuarantineTime after that.
	ReclaimDelay = 10*time.Second + QuarantineTime
	// emptyHoldRetention is how long the empty hold of a gateway's previous incarnation is kept. The replicated state drops
	// the grant earlier.
	emptyHoldRetention = time.Minute
	// ProposalRetryInterval is the time after which a proposal without a result is retried.
	ProposalRetryInterval = 2 * time.Second
	// RebalanceDelay is how long a gateway has to be below its target before slots are moved to it, so that short
	// peaks of demand move none.
	RebalanceDelay = 3 * time.Second
	// MaxProposals bounds the number of grants that one Allocate returns, so that a change of the whole allocation is spread
	// over several log entries.
	MaxProposals = 256

	// rebalanceThreshold is the fraction of its target by which a gateway has to be below it before slots are moved.
	rebalanceThreshold = 0.1
	// demandWeight is the weight of a new report in the moving average of the demand, which spans about five reports.
	demandWeight = 0.3
	// transitDivisor bounds the slots of a service that are in transit between gateways at a time, as a divisor of its slots.
	// Slots in transit serve no calls.
	transitDivisor = 8
)

// Allocator allocates slots to gateways. It is not safe for concurrent use.
type Allocator struct {
	endpoints map[string]*endpoint
	gateways  map[string]*gateway
	epoch     uint64
}

type endpoint struct {
	name            string
	incarnation     uint64
	service         string
	slots           int
	leaving         bool
	inUse           int
	inUseReportedAt time.Time
	holds           map[gatewayKey]*hold
}

// gatewayKey identifies one incarnation of a gateway.
type gatewayKey struct {
	name        string
	incarnation uint64
}

// hold describes the slots of one gateway incarnation at one endpoint.
type hold struct {
	slots          int    // slots of the last applied grant
	held           int    // upper bound of the slots that the gateway may be using
	epoch          uint64 // of the last applied grant; 0 before the first
	proposed       int    // slots of the outstanding proposal, or noProposal
	proposedAt     time.Time
	grantedAt      time.Time
	noNewCallsFrom time.Time // from then on the gateway starts no calls under this grant; zero while it may
}

const noProposal = -1

type gateway struct {
	incarnation      uint64
	firstSeenAt      time.Time // when the incarnation was first seen
	reportedAt       time.Time
	acknowledgedAt   time.Time
	removed          bool
	averageDemand    map[string]float64   // by service, moving average
	latestDemand     map[string]float64   // by service, from the last report
	underTargetSince map[string]time.Time // by service
}

// New returns an empty Allocator. A new leader then calls UpdateEndpoint for each replicated endpoint and GrantApplied for each
// replicated grant. Allocate raises no grant at an endpoint until every gateway with a grant there has acknowledged it.
func New() *Allocator {
	return &Allocator{endpoints: map[string]*endpoint{}, gateways: map[string]*gateway{}}
}

// UpdateEndpoint adds or updates an endpoint. InUse is the number of its slots in use according to its renewals, or
// InUseUnknown. A different incarnation replaces the previous one and all its grants.
func (a *Allocator) UpdateEndpoint(now time.Time, e *controlpb.Endpoint, inUse int) {
	known := a.endpoints[e.Name]
	if known == nil || known.incarnation != e.Incarnation {
		known = &endpoint{name: e.Name, incarnation: e.Incarnation, holds: map[gatewayKey]*hold{}}
		a.endpoints[e.Name] = known
	}
	known.service, known.slots, known.leaving = e.Service, int(e.Slots), e.Leaving
	known.inUse, known.inUseReportedAt = inUse, now
}

// RemoveEndpoint removes an endpoint that left or expired. If the same incarnation is added again, GrantApplied has to be
// called before the next Allocate for each grant that the replicated state still keeps.
func (a *Allocator) RemoveEndpoint(_ time.Time, name string, incarnation uint64) {
	if e := a.endpoints[name]; e != nil && e.incarnation == incarnation {
		delete(a.endpoints, name)
	}
}

// GatewayAcknowledged records that the gateway's daemon acknowledged the leader's log at the given time. The gateway's view
// of the grants is then stale at the latest MaxViewAge later. Calling it is optional; it allows earlier reclaiming of
// slots.
func (a *Allocator) GatewayAcknowledged(acknowledgedAt time.Time, name string, incarnation uint64) {
	g := a.gateway(acknowledgedAt, name, incarnation)
	if g.incarnation == incarnation && acknowledgedAt.After(g.acknowledgedAt) {
		g.acknowledgedAt = acknowledgedAt
	}
}

// gateway returns the gateway's record, which it creates or resets for a new incarnation.
func (a *Allocator) gateway(now time.Time, name string, incarnation uint64) *gateway {
	g := a.gateways[name]
	if g == nil {
		g = &gateway{
			incarnation: incarnation, firstSeenAt: now, reportedAt: now,
			averageDemand: map[string]float64{}, latestDemand: map[string]float64{}, underTargetSince: map[string]time.Time{},
		}
		a.gateways[name] = g
	}
	if incarnation > g.incarnation {
		g.incarnation, g.firstSeenAt, g.acknowledgedAt, g.reportedAt, g.removed = incarnation, now, time.Time{}, now, false
	}
	return g
}

// Report processes a gateway's report of its demand and of the grants that have taken effect. Reports may be lost,
// duplicated or delayed.
func (a *Allocator) Report(now time.Time, r *controlpb.GatewayReport) {
	g := a.gateway(now, r.Gateway, r.Incarnation)
	if r.Incarnation != g.incarnation {
		return
	}
	if now.After(g.reportedAt) {
		g.reportedAt = now
	}
	demand := map[string]float64{}
	for _, use := range r.Use {
		e := a.endpoints[use.Endpoint]
		if e == nil || e.incarnation != use.Incarnation {
			continue
		}
		demand[e.service] += float64(use.Demand)
		if h := e.holds[gatewayKey{r.Gateway, r.Incarnation}]; h != nil && use.Epoch >= h.epoch && h.epoch > 0 {
			h.held = max(h.slots, h.proposed)
		}
	}
	for _, e := range a.endpoints {
		if _, ok := demand[e.service]; !ok {
			demand[e.service] = 0
		}
	}
	g.latestDemand = demand
	for service, value := range demand {
		g.averageDemand[service] += demandWeight * (value - g.averageDemand[service])
	}
}

// GrantApplied records that a grant was applied to the replicated state, with the epoch that it was given there. It is
// idempotent.
func (a *Allocator) GrantApplied(now time.Time, granted *controlpb.SlotGrant) {
	a.epoch = max(a.epoch, granted.Epoch)
	e := a.endpoints[granted.Endpoint]
	if e == nil || e.incarnation != granted.Incarnation {
		return
	}
	a.gateway(now, granted.Gateway, granted.GatewayIncarnation)
	slots, key := int(granted.Slots), gatewayKey{granted.Gateway, granted.GatewayIncarnation}
	h := e.holds[key]
	if h == nil {
		// The grant was proposed by a previous leader, so how many slots the gateway had before is unknown.
		h = &hold{held: e.slots, proposed: noProposal}
		e.holds[key] = h
	}
	if granted.Epoch <= h.epoch {
		return
	}
	if slots == h.proposed {
		h.proposed = noProposal
	} else if slots > h.held {
		h.held = e.slots
	}
	h.slots, h.epoch, h.grantedAt, h.noNewCallsFrom = slots, granted.Epoch, now, time.Time{}
}

// GrantRejected records that a proposal of Allocate was certainly not applied and never will be.
func (a *Allocator) GrantRejected(g *controlpb.SlotGrant) {
	e := a.endpoints[g.Endpoint]
	if e == nil || e.incarnation != g.Incarnation {
		return
	}
	key := gatewayKey{g.Gateway, g.GatewayIncarnation}
	h := e.holds[key]
	if h == nil || h.proposed != int(g.Slots) {
		return
	}
	h.proposed = noProposal
	if h.epoch == 0 {
		delete(e.holds, key)
	} else if int(g.Slots) > h.slots && h.held == int(g.Slots) {
		h.held = h.slots
	}
}

// Held returns the sum of the holds at an endpoint, or 0 if the endpoint is unknown.
func (a *Allocator) Held(name string) int {
	if e := a.endpoints[name]; e != nil {
		return e.heldSlots()
	}
	return 0
}

func (e *endpoint) heldSlots() int {
	sum := 0
	for _, h := range e.holds {
		sum += h.held
	}
	return sum
}

func (e *endpoint) freeSlots() int {
	return max(0, e.slots-e.heldSlots())
}

// proposedOrGranted returns the number of slots of the outstanding proposal or, without one, of the last applied grant.
func (h *hold) proposedOrGranted() int {
	if h.proposed != noProposal {
		return h.proposed
	}
	return h.slots
}

func (a *Allocator) alive(now time.Time, g *gateway) bool {
	return !g.removed && now.Sub(g.reportedAt) < GatewayTimeout
}

// Allocate returns the grants to propose, at most MaxProposals. Each carries the total number of slots of one gateway at one
// endpoint and a proposed epoch higher than all known ones. A proposal that is neither applied nor rejected is retried
// after ProposalRetryInterval.
func (a *Allocator) Allocate(now time.Time) []*controlpb.SlotGrant {
	var proposals []*controlpb.SlotGrant
	for _, e := range sortedValues(a.endpoints) {
		proposals = a.reclaim(now, e, proposals)
	}
	for _, s := range a.services(now) {
		proposals = s.assign(now, proposals)
		proposals = s.rebalance(now, proposals)
	}
	return proposals
}

// reclaim revokes the grants of dead gateways and of previous incarnations, and retries proposals without a result.
func (a *Allocator) reclaim(now time.Time, e *endpoint, proposals []*controlpb.SlotGrant) []*controlpb.SlotGrant {
	for _, key := range e.gatewayKeys() {
		h, g := e.holds[key], a.gateways[key.name]
		switch {
		case h.proposed != noProposal:
			if now.Sub(h.proposedAt) >= ProposalRetryInterval {
				proposals = a.propose(now, e, key, h.proposed, proposals)
			}
		case key.incarnation != g.incarnation:
			// A restarted gateway starts no calls under the grant of its previous incarnation, whose connections are closed.
			if h.slots > 0 {
				proposals = a.propose(now, e, key, 0, proposals)
			} else if h.held > 0 {
				noNewCalls := later(h.grantedAt, g.firstSeenAt)
				h.release(now, e, noNewCalls, noNewCalls.Add(QuarantineTime))
			} else if now.Sub(h.noNewCallsFrom) > emptyHoldRetention {
				delete(e.holds, key)
			}
		case !a.alive(now, g) && h.slots > 0:
			proposals = a.propose(now, e, key, 0, proposals)
		case !a.alive(now, g) && h.held > 0:
			noNewCalls := h.grantedAt.Add(MaxViewAge)
			if !g.acknowledgedAt.IsZero() && g.acknowledgedAt.Add(MaxViewAge).Before(noNewCalls) {
				noNewCalls = g.acknowledgedAt.Add(MaxViewAge)
			}
			h.release(now, e, noNewCalls, later(noNewCalls, g.reportedAt.Add(MaxViewAge)).Add(ReclaimDelay))
		}
	}
	return proposals
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// gatewayKeys returns the keys of the holds, sorted.
func (e *endpoint) gatewayKeys() []gatewayKey {
	keys := make([]gatewayKey, 0, len(e.holds))
	for key := range e.holds {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b gatewayKey) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.incarnation, b.incarnation))
	})
	return keys
}

// release lowers the hold of a gateway that starts no calls from noNewCalls on. The gateway uses at most as many slots as
// the endpoint reports in use. From callsEnded on all its calls have ended, and the hold is dropped once the reported use
// leaves room for all held slots to be idle.
func (h *hold) release(now time.Time, e *endpoint, noNewCalls, callsEnded time.Time) {
	h.noNewCallsFrom = later(h.noNewCallsFrom, noNewCalls)
	if e.inUse != InUseUnknown && !e.inUseReportedAt.Before(h.noNewCallsFrom.Add(MaxRenewalDelay)) {
		h.held = min(h.held, e.inUse)
	}
	if now.Before(callsEnded) {
		return
	}
	if e.inUse == InUseUnknown || e.inUse+h.held <= e.slots {
		h.held = 0
	}
}

func (a *Allocator) propose(now time.Time, e *endpoint, key gatewayKey, slots int, proposals []*controlpb.SlotGrant) []*controlpb.SlotGrant {
	if len(proposals) >= MaxProposals {
		return proposals
	}
	a.epoch++
	h := e.holds[key]
	h.proposed, h.proposedAt = slots, now
	h.held = max(h.held, slots)
	return append(proposals, &controlpb.SlotGrant{
		Endpoint: e.name, Incarnation: e.incarnation, Gateway: key.name, GatewayIncarnation: key.incarnation,
		Slots: int32(slots), Epoch: a.epoch,
	})
}

// service is the allocation of one service's slots during one Allocate.
type service struct {
	allocator *Allocator
	name      string
	endpoints []*endpoint
	slots     int
	shares    []*share
}

// share is one gateway's allocation within a service.
type share struct {
	name    string
	gateway *gateway
	target  float64
	total   int
}

func (sh *share) key() gatewayKey {
	return gatewayKey{sh.name, sh.gateway.incarnation}
}

// slotsOf returns the number of slots that are proposed or granted to the gateway at the endpoint.
func (e *endpoint) slotsOf(sh *share) int {
	if h := e.holds[sh.key()]; h != nil {
		return h.proposedOrGranted()
	}
	return 0
}

func sortedValues[K cmp.Ordered, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[k])
	}
	return values
}
