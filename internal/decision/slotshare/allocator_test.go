package slotshare_test

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/slotshare"
)

// harness applies the proposals of an Allocator immediately and has the gateways acknowledge them.
type harness struct {
	t         *testing.T
	allocator *slotshare.Allocator
	now       time.Time
	epoch     uint64
	grants    map[[2]string]*controlpb.SlotGrant
	demand    map[string]int32
	dead      map[string]bool
}

func newHarness(t *testing.T, endpoints, gateways int) *harness {
	h := &harness{t: t, allocator: slotshare.New(), now: time.Unix(1000, 0), grants: map[[2]string]*controlpb.SlotGrant{}, demand: map[string]int32{}, dead: map[string]bool{}}
	for i := range endpoints {
		h.allocator.UpdateEndpoint(h.now, h.endpoint(i), slotshare.InUseUnknown)
	}
	for i := range gateways {
		h.demand[fmt.Sprintf("g%d", i)] = 0
	}
	return h
}

func (h *harness) endpoint(i int) *controlpb.Endpoint {
	return &controlpb.Endpoint{Name: fmt.Sprintf("e%02d", i), Incarnation: 1, Service: "waiver", Slots: 8}
}

func (h *harness) step(seconds int) {
	for range seconds {
		h.now = h.now.Add(time.Second)
		for name := range h.demand {
			if !h.dead[name] {
				h.report(name)
			}
		}
		for _, g := range h.allocator.Allocate(h.now) {
			h.epoch++
			g.Epoch = h.epoch
			h.grants[[2]string{g.Endpoint, g.Gateway}] = g
			h.allocator.GrantApplied(h.now, g)
		}
	}
}

func (h *harness) report(name string) {
	r := &controlpb.GatewayReport{Gateway: name, Incarnation: 1}
	for key, g := range h.grants {
		if key[1] == name {
			r.Use = append(r.Use, &controlpb.SlotUse{Endpoint: key[0], Incarnation: 1, Epoch: g.Epoch, Demand: h.demand[name]})
		}
	}
	h.allocator.Report(h.now, r)
}

func (h *harness) totals() (byGateway, byEndpoint map[string]int) {
	byGateway, byEndpoint = map[string]int{}, map[string]int{}
	for key, g := range h.grants {
		byEndpoint[key[0]] += int(g.Slots)
		byGateway[key[1]] += int(g.Slots)
	}
	return byGateway, byEndpoint
}

// TestAllocateIsFairInTotal guards against gateways without a fair share when there are more gateways than slots at an
// endpoint.
func TestAllocateIsFairInTotal(t *testing.T) {
	for gateways := 7; gateways <= 9; gateways++ {
		h := newHarness(t, 50, gateways)
		h.step(2)
		byGateway, byEndpoint := h.totals()
		for e, sum := range byEndpoint {
			if sum != 8 {
				t.Errorf("%d gateways: %s has %d of 8 slots granted", gateways, e, sum)
			}
		}
		for g := range h.demand {
			if fair := 400 / gateways; byGateway[g] < fair-1 || byGateway[g] > fair+2 {
				t.Errorf("%d gateways: %s has %d slots, expected about %d", gateways, g, byGateway[g], fair)
			}
		}
		for key, g := range h.grants {
			if g.Slots > 2 {
				t.Errorf("%d gateways: %v has %d slots of one endpoint", gateways, key, g.Slots)
			}
		}
	}
}

// TestRebalanceServesLateGatewayAndConverges guards against a gateway that joins later and never gets its share, and
// against rebalancing that never converges.
func TestRebalanceServesLateGatewayAndConverges(t *testing.T) {
	h := newHarness(t, 50, 8)
	h.step(5)
	h.demand["g8"] = 0
	h.step(20)
	byGateway, _ := h.totals()
	if byGateway["g8"] < 38 {
		t.Errorf("late gateway has %d slots, expected at least 38", byGateway["g8"])
	}
	before := h.epoch
	h.step(60)
	if h.epoch != before {
		t.Errorf("%d grants changed without a change of demand", h.epoch-before)
	}
}

// TestRebalanceFollowsLastingDemand guards against slots that stay with idle gateways while one gateway has all the
// load, and against rebalancing on short peaks.
func TestRebalanceFollowsLastingDemand(t *testing.T) {
	h := newHarness(t, 50, 8)
	h.step(5)
	before := h.epoch
	h.demand["g0"] = 8
	h.step(1)
	h.demand["g0"] = 0
	h.step(20)
	if h.epoch != before {
		t.Errorf("a peak of one second changed %d grants", h.epoch-before)
	}
	h.demand["g0"] = 8
	h.step(60)
	byGateway, _ := h.totals()
	if byGateway["g0"] < 150 {
		t.Errorf("gateway with all the load has %d of 400 slots", byGateway["g0"])
	}
	for g := range h.demand {
		if byGateway[g] < 15 {
			t.Errorf("%s has %d slots, too few for a shift of load", g, byGateway[g])
		}
	}
}

// TestAllocateReclaimsFromDeadGateway guards against slots of a dead gateway that are reclaimed too early, while its
// calls may still be running, or never.
func TestAllocateReclaimsFromDeadGateway(t *testing.T) {
	cases := []struct {
		name        string
		inUse       int
		early, late int // seconds without reports after which no slot and every slot is reclaimed; late 0: never
	}{
		{"endpoint reports idle", 0, 5, 9},
		{"slots in use unknown", slotshare.InUseUnknown, 25, 28},
		{"endpoint reports running calls", 8, 60, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 10, 4)
			h.step(5)
			h.dead["g3"] = true
			slots := func(seconds int) int {
				for range seconds {
					for i := range 10 {
						h.allocator.UpdateEndpoint(h.now, h.endpoint(i), c.inUse)
					}
					h.step(1)
				}
				byGateway, _ := h.totals()
				return byGateway["g0"] + byGateway["g1"] + byGateway["g2"]
			}
			if got := slots(c.early); got > 62 {
				t.Errorf("%d of 80 slots granted to live gateways after %d s", got, c.early)
			}
			if c.late == 0 {
				return
			}
			if got := slots(c.late - c.early); got != 80 {
				t.Errorf("%d of 80 slots granted to live gateways after %d s", got, c.late)
			}
		})
	}
}

// TestNewLeaderWaitsForAcknowledgements guards against a new leader that reassigns slots although the lower grant was
// never acknowledged: the log shows only the lower grant, not the slots that may still be in use.
func TestNewLeaderWaitsForAcknowledgements(t *testing.T) {
	d, now := slotshare.New(), time.Unix(1000, 0)
	e := &controlpb.Endpoint{Name: "e", Incarnation: 1, Service: "waiver", Slots: 8}
	d.UpdateEndpoint(now, e, slotshare.InUseUnknown)
	d.GrantApplied(now, &controlpb.SlotGrant{Endpoint: "e", Incarnation: 1, Gateway: "a", GatewayIncarnation: 1, Slots: 2, Epoch: 7})
	d.Report(now, &controlpb.GatewayReport{Gateway: "b", Incarnation: 1})
	d.Report(now, &controlpb.GatewayReport{Gateway: "a", Incarnation: 1, Use: []*controlpb.SlotUse{{Endpoint: "e", Incarnation: 1, Epoch: 6, InUse: 8}}})
	if got := d.Allocate(now); len(got) != 0 {
		t.Fatalf("granted before the acknowledgement: %v", got)
	}
	d.Report(now, &controlpb.GatewayReport{Gateway: "a", Incarnation: 1, Use: []*controlpb.SlotUse{{Endpoint: "e", Incarnation: 1, Epoch: 7, InUse: 2}}})
	sum := 0
	for _, g := range d.Allocate(now) {
		sum += int(g.Slots)
	}
	if sum != 8 {
		t.Fatalf("grants sum up to %d of 8 after the acknowledgement", sum)
	}
}
