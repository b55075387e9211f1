// Package callmodel simulates the request path of calls in virtual time, in order to compare load balancers and admission
// settings. It models gateways that take the same steps as the production gateway, executors with a fixed number of slots,
// one-way network delays, and calls with deadlines. It is used only for measurements.
package callmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/routing"
	"galenamoor/internal/decision/slotshare"
	"galenamoor/internal/standin/eventqueue"
)

// Config configures one simulation run.
type Config struct {
	Seed                  uint64
	Chooser               func(m *Model) routing.Chooser
	Load                  float64       // offered load as a fraction of Capacity()
	Length                time.Duration // of the measured period, which follows Warmup
	Warmup                time.Duration
	Deadline              time.Duration
	QueueLength           int     // calls that may be queued in one gateway
	SlowExecutors         int     // number of executors that are slower by SlowFactor
	SlowFactor            float64 // multiplier of the service time of slow executors
	OneThirdFails         bool    // from a third of the measured period on, a third of the executors fail every call
	ZoneLoss              bool    // one zone is lost after a third of the measured period
	ZoneHangs             bool    // the lost zone does not close its connections, so that its calls hang
	RotatingSlowExecutors int     // number of executors, drawn again every slowdownPeriod, that are slower by SlowFactor
	MixedClasses          bool    // calls are of the classes batch, normal and urgent in equal shares
}

// The modelled deployment has the sizes of examples/ridewell.
const (
	executorCount       = 50
	slotsPerExecutor    = 8
	gatewayCount        = 7
	zoneCount           = 4
	meanServiceTime     = 50 * time.Millisecond
	serviceTimeSigma    = 0.7 // sigma of the lognormal service time
	saturationSlowdown  = 0.3 // relative increase of the service time at an executor whose slots are all in use
	sameZoneDelay       = 200 * time.Microsecond
	crossZoneDelay      = time.Millisecond
	gatewayTickInterval = 50 * time.Millisecond
	slowdownPeriod      = 5 * time.Second
	lateResponseTimeout = 30 * time.Second // how long a gateway waits for a response after the deadline
	endpointExpiryDelay = 3 * time.Second  // from the loss of an executor to its removal from the routing table
)

// Result holds the measurements of a run.
type Result struct {
	Offered    int64
	Good       int64 // answered within the deadline
	Late       int64 // dispatched, not answered within the deadline
	Refused    int64 // refused as not run
	Failed     int64 // failed, not retried successfully
	Dispatched int64 // attempts that reached executors
	GoodUrgent int64
	Urgent     int64
	Latency    *hdrhistogram.Histogram // in microseconds, of answered calls including late ones
	Length     time.Duration
}

// Goodput returns the number of good calls per second.
func (r *Result) Goodput() float64 {
	return float64(r.Good) / r.Length.Seconds()
}

// Amplification returns the number of attempts that reached executors per offered call.
func (r *Result) Amplification() float64 {
	return float64(r.Dispatched) / float64(r.Offered)
}

// String formats the result on one line, with latencies in milliseconds.
func (r *Result) String() string {
	ms := func(q float64) float64 { return float64(r.Latency.ValueAtQuantile(q)) / 1000 }
	urgent := ""
	if r.Urgent > 0 {
		urgent = fmt.Sprintf(" good urgent %.2f%%", 100*float64(r.GoodUrgent)/float64(r.Urgent))
	}
	return fmt.Sprintf("offered %d good %.2f%% late %.2f%% refused %.2f%% failed %.2f%% dispatched %.3f goodput %.0f/s p50 %.1f p99 %.1f p99.9 %.1f",
		r.Offered, r.percent(r.Good), r.percent(r.Late), r.percent(r.Refused), r.percent(r.Failed), r.Amplification(), r.Goodput(), ms(50), ms(99), ms(99.9)) + urgent
}

func (r *Result) percent(n int64) float64 {
	return 100 * float64(n) / float64(r.Offered)
}

// Capacity returns the number of calls per second that the executors can answer with all slots in use.
func Capacity() float64 {
	return executorCount * slotsPerExecutor / (meanServiceTime.Seconds() * (1 + saturationSlowdown))
}

// Model is a simulation run in progress.
type Model struct {
	config           Config
	rng              *rand.Rand
	now              time.Time
	events           eventqueue.Queue
	executors        map[string]*executor
	orderedExecutors []*executor
	gateways         []*gateway
	allocator        *slotshare.Allocator
	grants           map[[2]string]*controlpb.SlotGrant
	version          uint64
	epoch            uint64
	measuring        bool
	result           Result
}

type executor struct {
	name     string
	zone     string
	inUse    int
	factor   float64
	failing  bool
	lost     bool
	unlisted bool // removed from the routing table
	latency  float64
}

func (m *Model) after(d time.Duration, run func()) {
	m.events.Push(m.now.Add(d), run)
}

// Run runs a simulation and returns its measurements.
func Run(c Config) *Result {
	m := &Model{
		config: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), now: time.Unix(1_000_000, 0),
		executors: map[string]*executor{}, allocator: slotshare.New(), grants: map[[2]string]*controlpb.SlotGrant{},
	}
	m.result = Result{Latency: hdrhistogram.New(1, 60_000_000, 3), Length: c.Length}
	m.build()
	m.runControl()
	m.runControl()
	m.scheduleArrivals()
	start, end := m.now.Add(c.Warmup), m.now.Add(c.Warmup+c.Length)
	m.after(c.Warmup, func() { m.measuring = true })
	if c.ZoneLoss {
		m.after(c.Warmup+c.Length/3, m.loseZone)
	}
	if c.OneThirdFails {
		m.after(c.Warmup+c.Length/3, m.startFailures)
	}
	if c.RotatingSlowExecutors > 0 {
		m.rotateSlowExecutors()
	}
	for {
		at, run, ok := m.events.Pop(end.Add(c.Deadline))
		if !ok {
			return &m.result
		}
		m.now = at
		m.measuring = !m.now.Before(start) && m.now.Before(end)
		run()
	}
}

func (m *Model) build() {
	for i := range executorCount {
		e := &executor{name: fmt.Sprintf("e%02d", i), zone: fmt.Sprintf("z%d", i%zoneCount), factor: 1}
		if i < m.config.SlowExecutors {
			e.factor = m.config.SlowFactor
		}
		m.executors[e.name] = e
		m.orderedExecutors = append(m.orderedExecutors, e)
		m.allocator.UpdateEndpoint(m.now, m.endpointRecord(e), slotshare.InUseUnknown)
	}
	for i := range gatewayCount {
		m.gateways = append(m.gateways, newGateway(m, i))
	}
}

func (m *Model) endpointRecord(e *executor) *controlpb.Endpoint {
	return &controlpb.Endpoint{Name: e.name, Incarnation: 1, Service: "waiver", Zone: e.zone, Slots: slotsPerExecutor}
}

// runControl performs the leader's work of one second: it collects reports, allocates slots and updates routing tables.
func (m *Model) runControl() {
	for _, g := range m.gateways {
		m.allocator.Report(m.now, g.report())
	}
	for _, e := range m.orderedExecutors {
		if e.lost && !e.unlisted {
			continue
		}
		if !e.unlisted {
			m.allocator.UpdateEndpoint(m.now, m.endpointRecord(e), e.inUse)
		}
	}
	for _, p := range m.allocator.Allocate(m.now) {
		m.epoch++
		p.Epoch = m.epoch
		m.grants[[2]string{p.Endpoint, p.Gateway}] = p
		m.allocator.GrantApplied(m.now, p)
	}
	m.updateTables()
	m.after(time.Second, m.runControl)
}

func (m *Model) updateTables() {
	m.version++
	for _, g := range m.gateways {
		t := routing.Table{Version: m.version}
		for _, e := range m.orderedExecutors {
			listed := routing.Endpoint{Name: e.name, Incarnation: 1, Zone: e.zone, Unavailable: e.unlisted}
			if grant := m.grants[[2]string{e.name, g.name}]; grant != nil {
				listed.Slots, listed.Epoch = int(grant.Slots), grant.Epoch
			}
			t.Endpoints = append(t.Endpoints, listed)
		}
		g.update(t)
	}
}

func (m *Model) loseZone() {
	for _, e := range m.orderedExecutors {
		e.lost = e.lost || e.zone == "z0"
	}
	m.after(endpointExpiryDelay, func() {
		for _, e := range m.orderedExecutors {
			if e.lost && !e.unlisted {
				e.unlisted = true
				m.allocator.RemoveEndpoint(m.now, e.name, 1)
			}
		}
		m.updateTables()
	})
}

// startFailures makes every third executor fail all calls from now on.
func (m *Model) startFailures() {
	for i, e := range m.orderedExecutors {
		e.failing = i%3 == 0
	}
}

func (m *Model) rotateSlowExecutors() {
	for _, e := range m.orderedExecutors {
		e.factor = 1
	}
	for _, i := range m.rng.Perm(len(m.orderedExecutors))[:m.config.RotatingSlowExecutors] {
		m.orderedExecutors[i].factor = m.config.SlowFactor
	}
	m.after(slowdownPeriod, m.rotateSlowExecutors)
}

// scheduleArrivals generates calls as a Poisson process, distributed evenly over the gateways.
func (m *Model) scheduleArrivals() {
	rate := m.config.Load * Capacity()
	m.after(time.Duration(m.rng.ExpFloat64()/rate*1e9), func() {
		m.scheduleArrivals()
		g := m.gateways[m.rng.IntN(len(m.gateways))]
		g.call(m.newCall())
	})
}

// serviceTime draws a lognormal time with mean meanServiceTime, lengthened on slow executors and by slots in use.
func (m *Model) serviceTime(e *executor) time.Duration {
	x := math.Exp(serviceTimeSigma*m.rng.NormFloat64() - serviceTimeSigma*serviceTimeSigma/2)
	saturation := 1 + saturationSlowdown*float64(e.inUse-1)/(slotsPerExecutor-1)
	return time.Duration(float64(meanServiceTime) * x * e.factor * saturation)
}

func (m *Model) delay(g *gateway, e *executor) time.Duration {
	if g.zone == e.zone {
		return sameZoneDelay
	}
	return crossZoneDelay
}
