package controlstate

import (
	"maps"
	"net/netip"
	"slices"
	"strings"

	"galenamoor/internal/controlpb"
)

// Endpoint is an announced endpoint with its grants. An Endpoint that State has returned is immutable.
type Endpoint struct {
	Name        string
	Incarnation uint64
	Service     string
	Address     string
	Zone        string
	Slots       int32 // at most the slots in the inventory; 0 once its lease has expired or it has left
	Connections int32
	Leaving     bool
	Grants      []Grant // sorted by gateway and incarnation
}

// Grant is the share of an endpoint's slots that one gateway may use. A reduction takes two steps: the first GrantSlots
// lowers Slots; once the gateway has confirmed that it uses no more, a second GrantSlots with the same slots and epoch
// lowers Held. The sum of Held never exceeds the slots of the endpoint, so a slot that moves between gateways is never
// used by both.
type Grant struct {
	Gateway     string
	Incarnation uint64 // of the gateway
	Slots       int32  // that the gateway may use
	Held        int32  // that the gateway may still be using; at least Slots
	Epoch       uint64 // increases with every change of Slots
}

// Granted returns the slots of the endpoint that the gateway may use, and the grant's epoch.
func (e *Endpoint) Granted(gateway string, incarnation uint64) (slots int32, epoch uint64) {
	for i := range e.Grants {
		if g := &e.Grants[i]; g.Gateway == gateway && g.Incarnation == incarnation {
			return g.Slots, g.Epoch
		}
	}
	return 0, 0
}

// Held returns the number of slots that gateways may still be using.
func (e *Endpoint) Held() int32 {
	var held int32
	for i := range e.Grants {
		held += e.Grants[i].Held
	}
	return held
}

// Record returns the snapshot record of the endpoint, without its grants.
func (e *Endpoint) Record() *controlpb.Endpoint {
	return &controlpb.Endpoint{
		Name: e.Name, Incarnation: e.Incarnation, Service: e.Service, Address: e.Address, Zone: e.Zone,
		Slots: e.Slots, Connections: e.Connections, Leaving: e.Leaving,
	}
}

func newEndpoint(r *controlpb.Endpoint) *Endpoint {
	return &Endpoint{
		Name: r.GetName(), Incarnation: r.GetIncarnation(), Service: r.GetService(), Address: r.GetAddress(),
		Zone: r.GetZone(), Slots: r.GetSlots(), Connections: r.GetConnections(), Leaving: r.GetLeaving(),
	}
}

// Endpoint returns the endpoint, or nil. The result is immutable.
func (s *State) Endpoint(name string) *Endpoint {
	e, _ := s.endpoints.Get(&Endpoint{Name: name})
	return e
}

// Endpoints calls f for each endpoint in the order of names.
func (s *State) Endpoints(f func(*Endpoint)) {
	s.endpoints.Ascend(func(e *Endpoint) bool {
		f(e)
		return true
	})
}

// CheckAnnouncement reports whether the announcement would change the state. If it is not valid, it returns the refusal.
func (s *State) CheckAnnouncement(r *controlpb.Endpoint) (changed bool, refused *controlpb.Result) {
	if refused := s.checkAnnouncement(r); refused != nil {
		return false, refused
	}
	old := s.Endpoint(r.GetName())
	return old == nil || !equalAnnouncement(old, s.mergeAnnouncement(old, r)), nil
}

func (s *State) checkAnnouncement(r *controlpb.Endpoint) *controlpb.Result {
	if !namePattern.MatchString(r.GetName()) {
		return invalid(ReasonBadEndpoint, "name %q: expected 1 to 63 letters, digits, '.', '_' or '-'", r.GetName())
	}
	if _, err := netip.ParseAddrPort(r.GetAddress()); err != nil {
		return invalid(ReasonBadEndpoint, "address %q: expected IP:PORT", r.GetAddress())
	}
	if r.GetSlots() < 1 || r.GetSlots() > MaxSlots || r.GetConnections() < 1 || r.GetConnections() > MaxSlots {
		return invalid(ReasonBadEndpoint, "%d slots, %d connections: expected 1 to %d", r.GetSlots(), r.GetConnections(), MaxSlots)
	}
	old := s.Endpoint(r.GetName())
	switch {
	case s.config.services[r.GetService()] == nil:
		return rejected(ReasonUnknownService, "%q", r.GetService())
	case !s.config.inventory.HasZone(r.GetZone()):
		return rejected(ReasonUnknownZone, "%q", r.GetZone())
	case old != nil && old.Incarnation > r.GetIncarnation():
		return rejected(ReasonStaleIncarnation, "%s is at incarnation %d", old.Name, old.Incarnation)
	case old == nil && s.endpoints.Len() >= MaxEndpoints:
		return unavailable(ReasonTooMany, "%d endpoints: expected at most %d", s.endpoints.Len(), MaxEndpoints)
	}
	return nil
}

// mergeAnnouncement returns the endpoint that results from the announcement. An endpoint that has announced that it is
// leaving remains so until its next incarnation, because an older renewal may arrive late. A new incarnation is a new
// process and has no grants.
func (s *State) mergeAnnouncement(old *Endpoint, r *controlpb.Endpoint) *Endpoint {
	next := newEndpoint(r)
	service := s.config.services[r.GetService()]
	next.Connections = min(r.GetConnections(), int32(service.Connections))
	next.Slots = min(r.GetSlots(), int32(service.Slots), next.Connections)
	if old != nil && old.Incarnation == next.Incarnation {
		next.Leaving = next.Leaving || old.Leaving
		next.Grants = old.Grants
		if old.Leaving && old.Slots == 0 {
			next.Slots, next.Connections = 0, 0
		}
	}
	return next
}

func equalAnnouncement(a, b *Endpoint) bool {
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone &&
		a.Slots == b.Slots && a.Connections == b.Connections && a.Leaving == b.Leaving
}

func (s *State) announceEndpoint(c *controlpb.AnnounceEndpoint) *controlpb.Result {
	if refused := s.checkAnnouncement(c.GetEndpoint()); refused != nil {
		return refused
	}
	old := s.Endpoint(c.GetEndpoint().GetName())
	next := s.mergeAnnouncement(old, c.GetEndpoint())
	if old == nil || !equalAnnouncement(old, next) {
		s.putEndpoint(next)
	}
	return &controlpb.Result{}
}

// endpointGone sets the slots of an endpoint that has left or whose lease has expired, and those of its grants, to zero. Its
// record is kept until no gateway holds slots, so that an endpoint that returns in the same incarnation is not overcommitted.
func (s *State) endpointGone(c *controlpb.EndpointGone) *controlpb.Result {
	e := s.Endpoint(c.GetName())
	switch {
	case e == nil:
		return notFound(ReasonUnknownEndpoint, "%q", c.GetName())
	case e.Incarnation != c.GetIncarnation():
		return rejected(ReasonStaleIncarnation, "%s is at incarnation %d", e.Name, e.Incarnation)
	}
	next := *e
	next.Slots, next.Connections, next.Leaving = 0, 0, e.Leaving || !c.GetExpired()
	next.Grants = slices.Clone(e.Grants)
	for i := range next.Grants {
		if g := &next.Grants[i]; g.Slots > 0 {
			g.Slots, g.Epoch = 0, s.allocateEpoch()
		}
	}
	s.putEndpoint(&next)
	return &controlpb.Result{}
}

// removeGoneEndpoints removes endpoints without slots and grants. It runs only with ExpireKeys, so that a late renewal of
// an endpoint that has left does not add it again.
func (s *State) removeGoneEndpoints() {
	for _, name := range slices.Sorted(maps.Keys(s.goneEndpoints)) {
		e := s.Endpoint(name)
		s.endpoints.Delete(e)
		s.unindexEndpoint(e)
	}
	clear(s.goneEndpoints)
}

// grantSlots applies each grant independently, in order. If any is refused, the result is the first refusal and contains
// one result for each grant.
func (s *State) grantSlots(c *controlpb.GrantSlots) *controlpb.Result {
	result := &controlpb.Result{}
	results := make([]*controlpb.Result, len(c.GetGrants()))
	for i, g := range c.GetGrants() {
		results[i] = &controlpb.Result{}
		if refused := s.applyGrant(g); refused != nil {
			results[i] = refused
			if result.Code == controlpb.ResultCode_RESULT_OK {
				result.Code, result.Message = refused.Code, refused.Message
				result.Results = results
			}
		}
	}
	return result
}

// applyGrant applies one grant. Epochs are assigned here; the epoch of a command only identifies the reduction that it
// confirms.
func (s *State) applyGrant(g *controlpb.SlotGrant) *controlpb.Result {
	e := s.Endpoint(g.GetEndpoint())
	switch {
	case e == nil:
		return notFound(ReasonUnknownEndpoint, "%q", g.GetEndpoint())
	case e.Incarnation != g.GetIncarnation():
		return rejected(ReasonStaleIncarnation, "%s is at incarnation %d", e.Name, e.Incarnation)
	case g.GetSlots() < 0 || !namePattern.MatchString(g.GetGateway()):
		return invalid(ReasonBadEndpoint, "%d slots for gateway %q", g.GetSlots(), g.GetGateway())
	}
	next := *e
	next.Grants = slices.Clone(e.Grants)
	i := grantIndex(&next, g.GetGateway(), g.GetGatewayIncarnation())
	grant := &next.Grants[i]
	switch {
	case g.GetSlots() == grant.Slots:
		if g.GetEpoch() != grant.Epoch || grant.Held == grant.Slots {
			return nil
		}
		grant.Held = grant.Slots
	case g.GetSlots() < grant.Slots:
		grant.Slots, grant.Epoch = g.GetSlots(), s.allocateEpoch()
	default:
		if refused := s.checkGrantIncrease(e, g.GetSlots()-grant.Held); refused != nil {
			return refused
		}
		grant.Slots, grant.Epoch = g.GetSlots(), s.allocateEpoch()
		grant.Held = max(grant.Held, grant.Slots)
	}
	if grant.Held == 0 {
		next.Grants = slices.Delete(next.Grants, i, i+1)
	}
	s.putEndpoint(&next)
	return nil
}

// grantIndex returns the index of the gateway's grant, inserting an empty grant if there is none.
func grantIndex(e *Endpoint, gateway string, incarnation uint64) int {
	i := 0
	for i < len(e.Grants) && (e.Grants[i].Gateway < gateway || e.Grants[i].Gateway == gateway && e.Grants[i].Incarnation < incarnation) {
		i++
	}
	if i == len(e.Grants) || e.Grants[i].Gateway != gateway || e.Grants[i].Incarnation != incarnation {
		e.Grants = slices.Insert(e.Grants, i, Grant{Gateway: gateway, Incarnation: incarnation})
	}
	return i
}

// checkGrantIncrease refuses an increase for an endpoint that is leaving or in a zone out of service, and one that would
// let gateways hold more slots than the endpoint has.
func (s *State) checkGrantIncrease(e *Endpoint, increase int32) *controlpb.Result {
	switch {
	case e.Leaving:
		return rejected(ReasonEndpointLeaving, "%s", e.Name)
	case s.zones[e.Zone].Out:
		return rejected(ReasonZoneOut, "%s of %s", e.Zone, e.Name)
	case increase > 0 && e.Held()+increase > e.Slots:
		return rejected(ReasonSlotsExceeded, "%s: %d of %d slots are held: %d more do not fit", e.Name, e.Held(), e.Slots, increase)
	}
	return nil
}

func (s *State) allocateEpoch() uint64 {
	epoch := s.nextEpoch
	s.nextEpoch++
	return epoch
}

func (s *State) putEndpoint(e *Endpoint) {
	old, _ := s.endpoints.ReplaceOrInsert(e)
	if old != nil && old.Service != e.Service {
		s.unindexEndpoint(old)
	}
	if s.endpointsByService[e.Service] == nil {
		s.endpointsByService[e.Service] = map[string]struct{}{}
	}
	s.endpointsByService[e.Service][e.Name] = struct{}{}
	if e.Slots == 0 && len(e.Grants) == 0 {
		s.goneEndpoints[e.Name] = struct{}{}
	} else {
		delete(s.goneEndpoints, e.Name)
	}
	s.markEndpointChanged(e)
}

// unindexEndpoint removes the endpoint from the index by service.
func (s *State) unindexEndpoint(e *Endpoint) {
	delete(s.endpointsByService[e.Service], e.Name)
	if len(s.endpointsByService[e.Service]) == 0 {
		delete(s.endpointsByService, e.Service)
	}
	s.markEndpointChanged(e)
}

func (s *State) markEndpointChanged(e *Endpoint) {
	s.views.endpointsChanged(e.Service)
	s.changes.endpoints.add(e.Name)
}

func sortEndpoints(endpoints []*Endpoint) {
	slices.SortFunc(endpoints, func(a, b *Endpoint) int { return strings.Compare(a.Name, b.Name) })
}
