package slotshare_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/routing"
	"galenamoor/internal/decision/slotshare"
)

const (
	freshnessLimit   = 2500 * time.Millisecond // a gateway starts no calls with an older view
	disconnectDelay  = 10 * time.Second        // a gateway with a stale view closes its connections after this time
	slotsPerEndpoint = 4
)

// fault names a fault that is injected into the simulation; empty for none.
type fault string

// simulation holds an Allocator, a simple replicated state, and gateways with a Picker each. Reports and table updates are
// delayed, lost and reordered. The oracle compares the calls that are running at each endpoint with its slots.
type simulation struct {
	fault     fault
	now       time.Time
	random    *rand.Rand
	allocator *slotshare.Allocator
	endpoints []*fakeEndpoint
	gateways  []*fakeGateway
	reports   []sentReport
	calls     []*runningCall
	epoch     uint64
	version   uint64
	violation string
	started   int
}

type grant struct {
	slots, held int
	epoch       uint64
}

type grantKey struct {
	gateway     string
	incarnation uint64
}

type fakeEndpoint struct {
	record        *controlpb.Endpoint
	present       bool
	reportsInUse  bool
	leavingSince  time.Time
	grants        map[grantKey]*grant
	measuredInUse int
	measuredAt    time.Time
}

type fakeGateway struct {
	name        string
	incarnation uint64
	picker      *routing.Picker
	currentAt   time.Time // when the table was last known to be current
	reportedAt  time.Time // when the last report that the leader answered was sent
	inbox       []tableUpdate
	partitioned bool
}

// sentReport is a report in transit to the leader.
type sentReport struct {
	*controlpb.GatewayReport
	sentAt time.Time
}

// tableUpdate is a table in transit to a gateway. It was current at sentAt.
type tableUpdate struct {
	table  routing.Table
	sentAt time.Time
}

// runningCall is a call that is running at an endpoint. After its connection has closed it runs on for at most
// routing.QuarantineTime.
type runningCall struct {
	endpoint            *fakeEndpoint
	endpointIncarnation uint64
	gateway             *fakeGateway
	gatewayIncarnation  uint64
	target              *routing.Target
	disconnectedAt      time.Time // zero while the connection is open
}

func newSimulation(f fault) *simulation {
	sim := &simulation{fault: f, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)), allocator: slotshare.New()}
	for i := range 3 {
		e := &fakeEndpoint{present: true, reportsInUse: i != 0, grants: map[grantKey]*grant{}}
		e.record = &controlpb.Endpoint{Name: fmt.Sprintf("e%d", i), Incarnation: 1, Service: "waiver", Slots: slotsPerEndpoint}
		sim.endpoints = append(sim.endpoints, e)
		sim.renew(e)
	}
	for i := range 3 {
		g := &fakeGateway{name: fmt.Sprintf("g%d", i)}
		sim.gateways = append(sim.gateways, g)
		sim.startGateway(g)
	}
	for range 3 {
		sim.round()
	}
	return sim
}

func (sim *simulation) startGateway(g *fakeGateway) {
	g.incarnation++
	g.picker, g.currentAt, g.reportedAt, g.inbox = routing.New("z", sim.random, nil), time.Time{}, sim.now, nil
}

func (sim *simulation) callsAt(e *fakeEndpoint) int {
	n := 0
	for _, r := range sim.calls {
		if r.endpoint == e && r.endpointIncarnation == e.record.Incarnation {
			n++
		}
	}
	return n
}

func (sim *simulation) renew(e *fakeEndpoint) {
	inUse := slotshare.InUseUnknown
	if e.reportsInUse {
		inUse = sim.callsAt(e)
		if sim.now.Sub(e.measuredAt) < slotshare.MaxRenewalDelay {
			inUse = e.measuredInUse // a delayed renewal
		}
	}
	sim.allocator.UpdateEndpoint(sim.now, e.record, inUse)
}

func (sim *simulation) table(g *fakeGateway) routing.Table {
	t := routing.Table{Version: sim.version}
	for _, e := range sim.endpoints {
		if !e.present {
			continue
		}
		listed := routing.Endpoint{Name: e.record.Name, Incarnation: e.record.Incarnation, Zone: "z", Unavailable: e.record.Leaving && sim.fault != "ignores leaving"}
		if granted := e.grants[grantKey{g.name, g.incarnation}]; granted != nil {
			listed.Slots, listed.Epoch = granted.slots, granted.epoch
		}
		t.Endpoints = append(t.Endpoints, listed)
	}
	return t
}

func (sim *simulation) sendTable(g *fakeGateway) {
	if !g.partitioned {
		g.inbox = append(g.inbox, tableUpdate{sim.table(g), sim.now})
	}
}

func (sim *simulation) deliverTable(g *fakeGateway, i int) {
	u := g.inbox[i]
	if sim.fault == "accepts old tables" {
		u.table.Version = g.picker.Version() + 1
	}
	g.picker.Update(u.table)
	if g.picker.Version() >= u.table.Version && u.sentAt.After(g.currentAt) {
		g.currentAt = u.sentAt
	}
}

func (sim *simulation) sendReport(g *fakeGateway) {
	if g.partitioned {
		return
	}
	r := &controlpb.GatewayReport{Gateway: g.name, Incarnation: g.incarnation}
	for _, t := range g.picker.Targets() {
		use := &controlpb.SlotUse{Endpoint: t.Name, Incarnation: t.Incarnation, InUse: int32(t.InUse), Demand: int32(t.ResetPeakInUse()), Epoch: t.AcknowledgedEpoch()}
		if sim.fault == "acknowledges early" {
			use.Epoch = t.Epoch
		}
		r.Use = append(r.Use, use)
	}
	sim.reports = append(sim.reports, sentReport{r, sim.now})
}

// deliverReport delivers a report to the leader, which records acknowledged grants in the replicated state.
func (sim *simulation) deliverReport(i int) {
	r := sim.reports[i]
	sim.reports = slices.Delete(sim.reports, i, i+1)
	sim.allocator.Report(sim.now, r.GatewayReport)
	for _, g := range sim.gateways {
		if g.name == r.Gateway && g.incarnation == r.Incarnation && r.sentAt.After(g.reportedAt) && !g.partitioned {
			g.reportedAt = r.sentAt // the gateway receives the leader's answer
		}
	}

	for _, use := range r.Use {
		for _, e := range sim.endpoints {
			granted := e.grants[grantKey{r.Gateway, r.Incarnation}]
			if e.record.Name == use.Endpoint && e.record.Incarnation == use.Incarnation && granted != nil && use.Epoch >= granted.epoch {
				granted.held = granted.slots
			}
		}
	}
}

// allocate applies the proposals to the replicated state, which rejects those that exceed the endpoint's slots.
func (sim *simulation) allocate() {
	sim.version++
	for _, p := range sim.allocator.Allocate(sim.now) {
		e := sim.endpoints[int(p.Endpoint[1]-'0')]
		key := grantKey{p.Gateway, p.GatewayIncarnation}
		granted := e.grants[key]
		if granted == nil {
			granted = &grant{}
		}
		held := 0
		for _, other := range e.grants {
			held += other.held
		}
		if !e.present || e.record.Incarnation != p.Incarnation || held-granted.held+max(granted.held, int(p.Slots)) > slotsPerEndpoint {
			sim.allocator.GrantRejected(p)
			continue
		}
		sim.epoch++
		granted.slots, granted.held, granted.epoch = int(p.Slots), max(granted.held, int(p.Slots)), sim.epoch
		e.grants[key] = granted
		p.Epoch = sim.epoch
		sim.allocator.GrantApplied(sim.now, p)
	}
	for _, e := range sim.endpoints {
		for key, granted := range e.grants {
			hold, known := sim.allocator.HeldSlots(e.record.Name, e.record.Incarnation, key.gateway, key.incarnation)
			if known && hold <= granted.slots || sim.fault == "releases without acknowledgement" {
				granted.held = granted.slots
			}
			if granted.held == 0 {
				delete(e.grants, key)
			}
		}
	}
}

func (sim *simulation) electLeader() {
	sim.allocator = slotshare.New()
	for _, e := range sim.endpoints {
		sim.rebuild(e)
	}
}

func (sim *simulation) rebuild(e *fakeEndpoint) {
	if !e.present {
		return
	}
	sim.allocator.UpdateEndpoint(sim.now, e.record, slotshare.InUseUnknown)
	for _, g := range sim.gateways {
		for incarnation := range g.incarnation + 1 {
			if granted := e.grants[grantKey{g.name, incarnation}]; granted != nil {
				sim.allocator.GrantApplied(sim.now, &controlpb.SlotGrant{
					Endpoint: e.record.Name, Incarnation: e.record.Incarnation, Gateway: g.name, GatewayIncarnation: incarnation,
					Slots: int32(granted.slots), Epoch: granted.epoch,
				})
			}
		}
	}
}

// removeEndpoint removes an endpoint and lowers its grants to zero. What gateways may still be using stays recorded.
func (sim *simulation) removeEndpoint(e *fakeEndpoint) {
	e.present = false
	for _, granted := range e.grants {
		sim.epoch++
		granted.slots, granted.epoch = 0, sim.epoch
	}
	sim.version++
	sim.allocator.RemoveEndpoint(sim.now, e.record.Name, e.record.Incarnation)
}

func (sim *simulation) announce(e *fakeEndpoint, restarted bool) {
	if restarted || !e.leavingSince.IsZero() {
		e.record = &controlpb.Endpoint{Name: e.record.Name, Incarnation: e.record.Incarnation + 1, Service: "waiver", Slots: slotsPerEndpoint}
		e.grants, e.leavingSince = map[grantKey]*grant{}, time.Time{}
	}
	e.present = true
	sim.version++
	sim.renew(e)
	sim.rebuild(e)
}

func (sim *simulation) startCall(g *fakeGateway) {
	if sim.now.Sub(g.currentAt) > freshnessLimit && sim.fault != "ignores staleness" {
		return
	}
	t := g.picker.Pick(sim.now, nil)
	if t == nil {
		return
	}
	sim.started++
	e := sim.endpoints[int(t.Name[1]-'0')]
	if e.record.Incarnation == t.Incarnation && !e.leavingSince.IsZero() && sim.now.Sub(e.leavingSince) > 3*time.Second {
		sim.violation = fmt.Sprintf("%s started a call at %s, which has been leaving for %v", g.name, t.Name, sim.now.Sub(e.leavingSince))
	}
	sim.calls = append(sim.calls, &runningCall{endpoint: e, endpointIncarnation: t.Incarnation, gateway: g, gatewayIncarnation: g.incarnation, target: t})
}

func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(50 * time.Millisecond)
		sim.calls = slices.DeleteFunc(sim.calls, func(r *runningCall) bool {
			return !r.disconnectedAt.IsZero() && sim.now.Sub(r.disconnectedAt) >= routing.QuarantineTime
		})
		for _, g := range sim.gateways {
			if sim.now.Sub(g.currentAt) > freshnessLimit+disconnectDelay || sim.now.Sub(g.reportedAt) > freshnessLimit+disconnectDelay {
				for _, r := range sim.calls {
					if r.gateway == g && r.gatewayIncarnation == g.incarnation && r.disconnectedAt.IsZero() {
						sim.disconnect(r)
					}
				}
			}
			g.picker.Expire(sim.now)
		}
	}
}

// disconnect closes the connection of a call, whose slot its gateway quarantines.
func (sim *simulation) disconnect(r *runningCall) {
	r.disconnectedAt = sim.now
	r.gateway.picker.QuarantineSlot(sim.now, r.target)
}

// round simulates a second without message loss, except for partitioned gateways.
func (sim *simulation) round() {
	for _, g := range sim.gateways {
		sim.sendReport(g)
	}
	for len(sim.reports) > 0 {
		sim.deliverReport(0)
	}
	for _, e := range sim.endpoints {
		if e.present {
			sim.renew(e)
		}
	}
	sim.allocate()
	for _, g := range sim.gateways {
		sim.sendTable(g)
		if len(g.inbox) > 0 && !g.partitioned {
			sim.deliverTable(g, len(g.inbox)-1)
		}
	}
	sim.advance(time.Second)
}

func (sim *simulation) checkInvariants() string {
	for _, e := range sim.endpoints {
		if n := sim.callsAt(e); n > slotsPerEndpoint && sim.violation == "" {
			sim.violation = fmt.Sprintf("%d calls are running at %s, which has %d slots", n, e.record.Name, slotsPerEndpoint)
		}
	}
	return sim.violation
}

// recover ends all failures and describes an endpoint whose slots are not all granted to gateways afterwards, if any.
func (sim *simulation) recover() string {
	for _, g := range sim.gateways {
		g.partitioned = false
	}
	for _, e := range sim.endpoints {
		if !e.present || !e.leavingSince.IsZero() {
			sim.announce(e, false)
		}
	}
	for len(sim.calls) > 0 {
		sim.endCall(step{"finish", 0, 0})
		sim.advance(time.Second)
	}
	for range 40 {
		sim.round()
	}
	for _, e := range sim.endpoints {
		sum := 0
		for _, g := range sim.gateways {
			if granted := e.grants[grantKey{g.name, g.incarnation}]; granted != nil {
				sum += granted.slots
			}
		}
		if sum != slotsPerEndpoint {
			return fmt.Sprintf("%d of %d slots of %s are granted after recovery", sum, slotsPerEndpoint, e.record.Name)
		}
	}
	return ""
}

// step is one event of the simulation; a and b select what it applies to.
type step struct {
	kind string
	a, b int
}

// kinds lists the kinds of steps; a repeated kind is more likely.
var kinds = []string{
	"round", "round", "round", "wait", "send", "deliver", "deliver", "drop", "report", "receive", "allocate",
	"call", "call", "burst", "burst", "burst", "finish", "finish", "disconnect", "crash", "elect", "partition", "heal", "heal", "rounds",
	"leave", "expire", "announce", "announce", "announce", "measure", "renew",
}

func (s step) apply(sim *simulation) {
	g, e := sim.gateways[s.a%len(sim.gateways)], sim.endpoints[s.b%len(sim.endpoints)]
	switch s.kind {
	case "round":
		sim.round()
	case "wait":
		sim.advance(time.Duration(s.a%20) * 50 * time.Millisecond)
	case "rounds":
		for range 5 + s.a%20 {
			sim.round()
		}
	case "send":
		sim.sendTable(g)
	case "deliver":
		if len(g.inbox) > 0 {
			sim.deliverTable(g, s.b%len(g.inbox))
		}
	case "drop":
		g.inbox = nil
		sim.reports = nil
	case "report":
		sim.sendReport(g)
	case "receive":
		if len(sim.reports) > 0 {
			sim.deliverReport(s.b % len(sim.reports))
		}
	case "allocate":
		sim.allocate()
	case "call":
		sim.startCall(g)
	case "burst":
		for range 12 {
			sim.startCall(g)
		}
	case "finish", "disconnect":
		sim.endCall(s)
	case "crash":
		for _, r := range sim.calls {
			if r.gateway == g && r.gatewayIncarnation == g.incarnation && r.disconnectedAt.IsZero() {
				r.disconnectedAt = sim.now
			}
		}
		sim.startGateway(g)
	case "elect":
		sim.electLeader()
	case "partition", "heal":
		g.partitioned = s.kind == "partition"
	case "leave":
		if e.present && e.leavingSince.IsZero() {
			e.record.Leaving, e.leavingSince = true, sim.now
			sim.version++
			sim.renew(e)
		}
	case "expire":
		if e.present {
			sim.removeEndpoint(e)
		}
	case "announce":
		if !e.present || !e.leavingSince.IsZero() {
			sim.announce(e, s.a%2 == 0)
		}
	case "measure":
		e.measuredInUse, e.measuredAt = sim.callsAt(e), sim.now
	case "renew":
		if e.present {
			sim.renew(e)
		}
	}
}

func (sim *simulation) endCall(s step) {
	if len(sim.calls) == 0 {
		return
	}
	i := s.a % len(sim.calls)
	r := sim.calls[i]
	switch {
	case !r.disconnectedAt.IsZero():
	case s.kind == "disconnect":
		sim.disconnect(r)
	default:
		sim.calls = slices.Delete(sim.calls, i, i+1)
		r.gateway.picker.Answered(sim.now, r.target, time.Millisecond)
	}
}

// Run implements commands.Command.
func (s step) Run(system commands.SystemUnderTest) commands.Result {
	sim := system.(*simulation)
	s.apply(sim)
	return sim.checkInvariants()
}

// NextState implements commands.Command.
func (s step) NextState(state commands.State) commands.State { return state }

// PreCondition implements commands.Command.
func (s step) PreCondition(commands.State) bool { return true }

// PostCondition implements commands.Command.
func (s step) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	if violation := result.(string); violation != "" {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{violation}}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

func (s step) String() string { return fmt.Sprintf("%s(%d,%d)", s.kind, s.a, s.b) }

// generatedStep is a step as gopter generates it; Kind is an index in kinds.
type generatedStep struct{ Kind, A, B int }

// explore runs random sequences of steps. It returns the result and the report of gopter, and the number of calls started.
func explore(t *testing.T, f fault, seed int64, sequences int) (passed bool, report string, started int) {
	t.Helper()
	genStep := gen.Struct(reflect.TypeFor[generatedStep](), map[string]gopter.Gen{
		"Kind": gen.IntRange(0, len(kinds)-1), "A": gen.IntRange(0, 999), "B": gen.IntRange(0, 999),
	}).Map(func(p generatedStep) commands.Command { return step{kinds[p.Kind], p.A, p.B} })
	var simulations []*simulation
	protocol := &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest {
			sim := newSimulation(f)
			simulations = append(simulations, sim)
			return sim
		},
		InitialStateGen: gen.Const(0),
		GenCommandFunc:  func(commands.State) gopter.Gen { return genStep },
	}
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests, parameters.MinSize, parameters.MaxSize = sequences, 40, 150
	result := commands.Prop(protocol).Check(parameters)
	for _, sim := range simulations {
		started += sim.started
		if incomplete := sim.recover(); incomplete != "" && result.Passed() {
			return false, incomplete, started
		}
	}
	return result.Passed(), fmt.Sprintf("%v %v %v", result.Status, result.Labels, result.Args), started
}

// TestSlotsStayWithinEndpoints guards against more calls at an endpoint than it has slots, and against new calls at an
// endpoint that is leaving, despite lost and reordered messages, crashed and partitioned gateways, new leaders, and
// endpoints that expire and come back.
func TestSlotsStayWithinEndpoints(t *testing.T) {
	sequences := 300
	if testing.Short() {
		sequences = 60
	}
	for seed := int64(1); seed <= 5; seed++ {
		passed, report, calls := explore(t, "", seed, sequences)
		if !passed {
			t.Errorf("seed %d: %s", seed, report)
		}
		if calls < 10*sequences {
			t.Errorf("seed %d: only %d calls started, too few for a meaningful test", seed, calls)
		}
	}
}

// TestRestartLongAfterLoweredGrant guards against premature reuse of slots when a gateway restarts long after its grant
// was lowered (seed 57 of TestSlotsStayWithinEndpoints): its calls end with its connections, not with the grant.
func TestRestartLongAfterLoweredGrant(t *testing.T) {
	replay(t, []step{
		{"burst", 818, 447},
		{"expire", 373, 450},
		{"partition", 366, 204},
		{"announce", 47, 15},
		{"rounds", 677, 740},
		{"partition", 712, 496},
		{"round", 278, 124},
		{"crash", 830, 200},
		{"round", 419, 682},
		{"round", 842, 491},
		{"burst", 554, 981},
	})
}

// TestPartitionLongAfterLoweredGrant guards against premature reuse of slots when a gateway is partitioned long after
// its grant was lowered (seeds 61 and 74 of TestSlotsStayWithinEndpoints): it closes its connections some time after
// its last report, not after the grant.
func TestPartitionLongAfterLoweredGrant(t *testing.T) {
	replay(t, []step{
		{"expire", 804, 128},
		{"burst", 838, 188},
		{"announce", 139, 590},
		{"partition", 126, 306},
		{"rounds", 934, 469},
		{"partition", 886, 811},
		{"rounds", 627, 599},
		{"burst", 503, 419},
	})
	replay(t, []step{
		{"expire", 301, 57},
		{"burst", 596, 685},
		{"announce", 221, 66},
		{"round", 0, 28},
		{"rounds", 548, 928},
		{"round", 818, 859},
		{"round", 733, 289},
		{"partition", 524, 468},
		{"rounds", 444, 529},
		{"burst", 618, 608},
		{"burst", 898, 712},
	})
}

func replay(t *testing.T, steps []step) {
	t.Helper()
	sim := newSimulation("")
	for _, s := range steps {
		s.apply(sim)
		if violation := sim.checkInvariants(); violation != "" {
			t.Fatalf("after %v: %s", s, violation)
		}
	}
}

// TestOracleDetectsInjectedFaults guards against an oracle that never fails: each injected fault has to be detected.
func TestOracleDetectsInjectedFaults(t *testing.T) {
	for _, f := range []fault{"ignores staleness", "ignores leaving", "acknowledges early", "accepts old tables", "releases without acknowledgement"} {
		passed, report, _ := explore(t, f, 1, 500)
		if passed {
			t.Errorf("fault %q was not detected", f)
		} else if i := strings.Index(report, "]"); i > 0 {
			t.Logf("%s: %s", f, report[:i+1])
		}
	}
}
