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
	inUse       int
	proposedAt  time.Time // of the last announcement
}

// cannotTell is the number of slots in use of an endpoint that has not told it.
const cannotTell = -1

// renewEndpoint renews an endpoint's lease. Only changes enter the log.
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
	if changes && now.Sub(e.proposedAt) >= proposeAgain/2 {
		e.proposedAt = now
		c.propose(now, &controlpb.Command{Kind: &controlpb.Command_AnnounceEndpoint{AnnounceEndpoint: &controlpb.AnnounceEndpoint{
			Endpoint: announced,
		}}})
	}
	if record := c.state.Endpoint(announced.GetName()); c.divider != nil && record != nil && record.Slots > 0 &&
		record.Incarnation == e.incarnation {
		c.divider.Endpoint(now, record.Record(), e.inUse)
		c.divided = true
	}
	return &controlpb.LeaderReply{Result: &controlpb.Result{}}
}

// endpointChanged adapts the soft state to the endpoint's record and its grants.
func (c *Coordinator) endpointChanged(now time.Time, name string) {
	record := c.state.Endpoint(name)
	if record == nil || record.Slots == 0 {
		c.endpointGone(now, name, record)
		return
	}
	e := c.endpoints[name]
	if e == nil || e.incarnation != record.Incarnation {
		e = &endpoint{incarnation: record.Incarnation, expiry: now.Add(withMargin(EndpointLease)), inUse: cannotTell}
		c.endpoints[name] = e
	}
	e.proposedAt = time.Time{}
	c.deadlines.add(e.expiry, deadlineEndpoint, name)
	c.noteMoving(now, record)
	if c.divider == nil {
		return
	}
	c.divider.Endpoint(now, record.Record(), e.inUse)
	for _, g := range record.Grants {
		c.divider.Granted(now, grantOf(record, g))
	}
	c.divided = true
}

func (c *Coordinator) endpointGone(now time.Time, name string, record *controlstate.Endpoint) {
	if e := c.endpoints[name]; e != nil && c.divider != nil {
		c.divider.EndpointGone(now, name, e.incarnation)
	}
	delete(c.endpoints, name)
	if record == nil {
		delete(c.moving, name)
		return
	}
	c.noteMoving(now, record)
}

// noteMoving remembers endpoints with lower grants that are not confirmed.
func (c *Coordinator) noteMoving(now time.Time, record *controlstate.Endpoint) {
	moves := slices.ContainsFunc(record.Grants, func(g controlstate.Grant) bool { return g.Held > g.Slots })
	if !moves {
		delete(c.moving, record.Name)
		return
	}
	if _, ok := c.moving[record.Name]; !ok {
		c.moving[record.Name] = now
	}
}

func grantOf(e *controlstate.Endpoint, g controlstate.Grant) *controlpb.SlotGrant {
	return &controlpb.SlotGrant{
		Endpoint: e.Name, Incarnation: e.Incarnation, Gateway: g.Gateway, GatewayIncarnation: g.Incarnation,
		Slots: g.Slots, Epoch: g.Epoch,
	}
}

// endpointDue proposes that an endpoint is gone when its lease has run out.
func (c *Coordinator) endpointDue(now time.Time, name string) {
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
	c.deadlines.add(now.Add(proposeAgain), deadlineEndpoint, name)
}

// gatewayReport takes a gateway's demand and confirms the lower grants that it has carried out.
func (c *Coordinator) gatewayReport(now time.Time, r *controlpb.GatewayReport) *controlpb.LeaderReply {
	if c.divider != nil {
		c.divider.Report(now, r)
		c.divided = true
	}
	var confirmed []*controlpb.SlotGrant
	for _, use := range r.GetUse() {
		e := c.state.Endpoint(use.GetEndpoint())
		if e == nil || e.Incarnation != use.GetIncarnation() {
			continue
		}
		for _, g := range e.Grants {
			if g.Gateway == r.GetGateway() && g.Incarnation == r.GetIncarnation() && g.Held > g.Slots && use.GetEpoch() >= g.Epoch {
				confirmed = append(confirmed, grantOf(e, g))
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
	c.dividing++
	c.propose(now, &controlpb.Command{Kind: &controlpb.Command_GrantSlots{GrantSlots: &controlpb.GrantSlots{Grants: grants}}})
}

// divideAt returns the time of the next division of slots.
func (c *Coordinator) divideAt() time.Time {
	if c.divided && c.dividing == 0 {
		return c.nextDivide
	}
	return c.lastDivide.Add(dividePause)
}

// divide proposes changed grants, after the confirmations that make room for them.
func (c *Coordinator) divide(now time.Time) {
	if c.divider == nil || now.Before(c.divideAt()) {
		return
	}
	c.dividing = 0
	grants := c.divider.Divide(now)
	for _, g := range grants {
		g.Epoch = 0 // an epoch says that a lower grant is confirmed
	}
	c.proposeGrants(now, append(c.released(now), grants...))
	c.divided, c.nextDivide, c.lastDivide = false, now.Add(divideInterval), now
}

// released returns confirmations of lower grants for gateways that certainly use no more, though they have not said so.
func (c *Coordinator) released(now time.Time) []*controlpb.SlotGrant {
	var out []*controlpb.SlotGrant
	for _, name := range slices.Sorted(maps.Keys(c.moving)) {
		e := c.state.Endpoint(name)
		if e == nil {
			continue
		}
		for _, g := range e.Grants {
			if g.Held == g.Slots {
				continue
			}
			hold, known := c.divider.Hold(name, e.Incarnation, g.Gateway, g.Incarnation)
			if known && hold <= int(g.Slots) || !known && now.Sub(c.moving[name]) >= goneHold {
				out = append(out, grantOf(e, g))
			}
		}
	}
	return out
}

// grantsRefused tells the divider which of its proposals were not applied.
func (c *Coordinator) grantsRefused(proposed *controlpb.GrantSlots, result *controlpb.Result) {
	for i, g := range proposed.GetGrants() {
		if i < len(result.GetResults()) && result.GetResults()[i].GetCode() == controlpb.ResultCode_RESULT_OK {
			continue
		}
		if g.GetEpoch() == 0 {
			c.divider.Refused(g)
		}
	}
	c.divided = true
}

func compareIDs(a, b controlstate.TaskID) int {
	if n := cmp.Compare(a.Job, b.Job); n != 0 {
		return n
	}
	return cmp.Compare(a.Number, b.Number)
}
