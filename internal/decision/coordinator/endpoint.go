package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
)

// endpoint is the soft state of an announced endpoint.
type endpoint struct {
	incarnation uint64
	expiry      time.Time
	inUse       int       // slots; inUseUnknown if not reported
	proposedAt  time.Time // time of the last proposed announcement; zero once the record has changed
}

// inUseUnknown is the value of inUse of an endpoint that has not reported its slots in use.
const inUseUnknown = -1

// renewEndpoint renews an endpoint's lease. It proposes an announcement only if the endpoint has changed.
func (c *Coordinator) renewEndpoint(now time.Time, renewal *controlpb.EndpointRenewal) *controlpb.LeaderReply {
	announced := renewal.GetEndpoint()
	changes, refused := c.state.CheckAnnouncement(announced)
	if refused != nil {
		return &controlpb.LeaderReply{Result: refused}
	}
	e := c.endpoints[announced.GetName()]
	if e == nil || e.incarnation < announced.GetIncarnation() {
		e = &endpoint{incarnation: announced.GetIncarnation()}
		c.endpoints[announced.GetName()] = e
	}
	e.expiry, e.inUse = now.Add(withMargin(EndpointLease)), int(renewal.GetInUse())
	c.deadlines.add(e.expiry, deadlineEndpoint, announced.GetName())
	if changes && now.Sub(e.proposedAt) >= reproposeInterval/2 {
		e.proposedAt = now
		c.propose(now, &controlpb.Command{Kind: &controlpb.Command_AnnounceEndpoint{AnnounceEndpoint: &controlpb.AnnounceEndpoint{
			Endpoint: announced,
		}}})
	}
	if record := c.state.Endpoint(announced.GetName()); c.allocator != nil && record != nil && record.Slots > 0 &&
		record.Incarnation == e.incarnation {
		c.allocator.UpdateEndpoint(now, record.Record(), e.inUse)
		c.allocatorUpdated = true
	}
	return &controlpb.LeaderReply{Result: &controlpb.Result{}}
}

// endpointChanged updates the soft state from the endpoint's record and its grants.
func (c *Coordinator) endpointChanged(now time.Time, name string) {
	record := c.state.Endpoint(name)
	if record == nil || record.Slots == 0 {
		c.endpointGone(now, name, record)
		return
	}
	e := c.endpoints[name]
	if e == nil || e.incarnation != record.Incarnation {
		e = &endpoint{incarnation: record.Incarnation, expiry: now.Add(withMargin(EndpointLease)), inUse: inUseUnknown}
		c.endpoints[name] = e
	}
	e.proposedAt = time.Time{}
	c.deadlines.add(e.expiry, deadlineEndpoint, name)
	c.trackReductions(now, record)
	if c.allocator == nil {
		return
	}
	c.allocator.UpdateEndpoint(now, record.Record(), e.inUse)
	for _, g := range record.Grants {
		c.allocator.GrantApplied(now, newSlotGrant(record, g))
	}
	c.allocatorUpdated = true
}

func (c *Coordinator) endpointGone(now time.Time, name string, record *controlstate.Endpoint) {
	if e := c.endpoints[name]; e != nil && c.allocator != nil {
		c.allocator.RemoveEndpoint(now, name, e.incarnation)
	}
	delete(c.endpoints, name)
	if record == nil {
		delete(c.pendingReductions, name)
		return
	}
	c.trackReductions(now, record)
}

// trackReductions records whether the endpoint has unconfirmed grant reductions, and since when.
func (c *Coordinator) trackReductions(now time.Time, record *controlstate.Endpoint) {
	reducing := slices.ContainsFunc(record.Grants, func(g controlstate.Grant) bool { return g.Held > g.Slots })
	if !reducing {
		delete(c.pendingReductions, record.Name)
		return
	}
	if _, ok := c.pendingReductions[record.Name]; !ok {
		c.pendingReductions[record.Name] = now
	}
}

func newSlotGrant(e *controlstate.Endpoint, g controlstate.Grant) *controlpb.SlotGrant {
	return &controlpb.SlotGrant{
		Endpoint: e.Name, Incarnation: e.Incarnation, Gateway: g.Gateway, GatewayIncarnation: g.Incarnation,
		Slots: g.Slots, Epoch: g.Epoch,
	}
}

// checkEndpointLease proposes EndpointGone if the endpoint's lease has expired.
func (c *Coordinator) checkEndpointLease(now time.Time, name string) {
	e := c.endpoints[name]
	if e == nil {
		return
	}
	if now.Before(e.expiry) {
		c.deadlines.add(e.expiry, deadlineEndpoint, name)
		return
	}
	record := c.state.Endpoint(name)
	if record == nil || record.Incarnation != e.incarnation || record.Slots == 0 {
		delete(c.endpoints, name) // its announcement was not applied
		return
	}
	c.propose(now, &controlpb.Command{Kind: &controlpb.Command_EndpointGone{EndpointGone: &controlpb.EndpointGone{
		Name: name, Incarnation: e.incarnation, Expired: true,
	}}})
	c.deadlines.add(now.Add(reproposeInterval), deadlineEndpoint, name)
}

// gatewayReport passes a gateway's demand to the allocator and proposes the confirmation of grant reductions that the gateway
// has carried out.
func (c *Coordinator) gatewayReport(now time.Time, r *controlpb.GatewayReport) *controlpb.LeaderReply {
	if c.allocator != nil {
		c.allocator.Report(now, r)
		c.allocatorUpdated = true
	}
	var confirmed []*controlpb.SlotGrant
	for _, use := range r.GetUse() {
		e := c.state.Endpoint(use.GetEndpoint())
		if e == nil || e.Incarnation != use.GetIncarnation() {
			continue
		}
		for _, g := range e.Grants {
			if g.Gateway == r.GetGateway() && g.Incarnation == r.GetIncarnation() && g.Held > g.Slots && use.GetEpoch() >= g.Epoch {
				confirmed = append(confirmed, newSlotGrant(e, g))
			}
		}
	}
	c.proposeGrants(now, confirmed)
	return &controlpb.LeaderReply{Result: &controlpb.Result{}}
}

func (c *Coordinator) proposeGrants(now time.Time, grants []*controlpb.SlotGrant) {
	if len(grants) == 0 {
		return
	}
	c.pendingGrants++
	c.propose(now, &controlpb.Command{Kind: &controlpb.Command_GrantSlots{GrantSlots: &controlpb.GrantSlots{Grants: grants}}})
}

// nextAllocationTime returns the time of the next allocation of slots.
func (c *Coordinator) nextAllocationTime() time.Time {
	if c.allocatorUpdated && c.pendingGrants == 0 {
		return c.earliestAllocation
	}
	return c.lastAllocation.Add(maxAllocationInterval)
}

// allocateSlots proposes changed grants, preceded by the confirmations that free slots for them.
func (c *Coordinator) allocateSlots(now time.Time) {
	if c.allocator == nil || now.Before(c.nextAllocationTime()) {
		return
	}
	c.pendingGrants = 0
	grants := c.allocator.Allocate(now)
	for _, g := range grants {
		g.Epoch = 0 // a grant with an epoch confirms a reduction
	}
	c.proposeGrants(now, append(c.impliedConfirmations(now), grants...))
	c.allocatorUpdated, c.earliestAllocation, c.lastAllocation = false, now.Add(minAllocationInterval), now
}

// impliedConfirmations returns confirmations of grant reductions that gateways have not reported, but have certainly
// carried out.
func (c *Coordinator) impliedConfirmations(now time.Time) []*controlpb.SlotGrant {
	var out []*controlpb.SlotGrant
	for _, name := range slices.Sorted(maps.Keys(c.pendingReductions)) {
		e := c.state.Endpoint(name)
		if e == nil {
			continue
		}
		for _, g := range e.Grants {
			if g.Held == g.Slots {
				continue
			}
			held, known := c.allocator.HeldSlots(name, e.Incarnation, g.Gateway, g.Incarnation)
			if known && held <= int(g.Slots) || !known && now.Sub(c.pendingReductions[name]) >= goneEndpointHold {
				out = append(out, newSlotGrant(e, g))
			}
		}
	}
	return out
}

// reportRejectedGrants reports to the allocator which of its proposals were not applied.
func (c *Coordinator) reportRejectedGrants(proposed *controlpb.GrantSlots, result *controlpb.Result) {
	for i, g := range proposed.GetGrants() {
		if i < len(result.GetResults()) && result.GetResults()[i].GetCode() == controlpb.ResultCode_RESULT_OK {
			continue
		}
		if g.GetEpoch() == 0 {
			c.allocator.GrantRejected(g)
		}
	}
	c.allocatorUpdated = true
}

func compareTaskIDs(a, b controlstate.TaskID) int {
	if n := cmp.Compare(a.Job, b.Job); n != 0 {
		return n
	}
	return cmp.Compare(a.Number, b.Number)
}
