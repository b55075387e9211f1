package gateway

import (
	"cmp"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
)

const (
	// RetainedMinutes is the number of past minutes for which counters are kept.
	RetainedMinutes = 60
	// latencySignificantDigits is the number of significant digits of the latency histograms.
	latencySignificantDigits = 2
)

// MinuteCounters holds the counters of one service in one minute. Minutes of several gateways can be merged.
type MinuteCounters struct {
	Service  string
	Minute   int64 // minutes since the Unix epoch
	Requests int64
	Answered int64
	NotRun   int64 // excluding Shed
	Shed     int64 // rejected with status 429
	Unknown  int64
	Zones    []ZoneLatency // by zone of the endpoint
}

// ZoneLatency holds the latencies of the calls answered by endpoints of one zone, from arrival at the gateway to the
// response.
type ZoneLatency struct {
	Zone                string
	Answered            int64
	LatencyMicroseconds []byte // HdrHistogram, V2 compressed encoding
	P50, P99, Max       int64  // microseconds; informational, Merge recomputes them
	histogram           *hdrhistogram.Histogram
}

// counters counts one service's calls in the current minute and keeps past minutes with encoded histograms.
type counters struct {
	mu            sync.Mutex
	current       MinuteCounters
	latencyByZone map[string]*hdrhistogram.Histogram
	past          []MinuteCounters
}

func newCounters() *counters {
	return &counters{latencyByZone: map[string]*hdrhistogram.Histogram{}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64((MaxDeadline+time.Minute)/time.Microsecond), latencySignificantDigits)
}

func (c *counters) record(start time.Time, zone string, res result, latency time.Duration) {
	minute := start.Unix() / 60
	c.mu.Lock()
	defer c.mu.Unlock()
	if minute > c.current.Minute {
		c.roll(minute)
	}
	c.current.Requests++
	switch {
	case res.outcome == Unknown:
		c.current.Unknown++
	case res.outcome == NotRun && res.status == 429:
		c.current.Shed++
	case res.outcome == NotRun:
		c.current.NotRun++
	default:
		c.current.Answered++
		h := c.latencyByZone[zone]
		if h == nil {
			h = newHistogram()
			c.latencyByZone[zone] = h
		}
		_ = h.RecordValue(max(1, min(int64(latency/time.Microsecond), h.HighestTrackableValue())))
	}
}

// roll ends the current minute and starts the given one.
func (c *counters) roll(minute int64) {
	if c.current.Requests > 0 {
		c.past = append(c.past, c.snapshot())
		if len(c.past) > RetainedMinutes {
			c.past = slices.Delete(c.past, 0, len(c.past)-RetainedMinutes)
		}
	}
	c.current = MinuteCounters{Minute: minute}
	for _, h := range c.latencyByZone {
		h.Reset()
	}
}

func (c *counters) snapshot() MinuteCounters {
	m := c.current
	m.Zones = nil
	for zone, h := range c.latencyByZone {
		if h.TotalCount() > 0 {
			m.Zones = append(m.Zones, zoneLatency(zone, h))
		}
	}
	slices.SortFunc(m.Zones, func(a, b ZoneLatency) int { return cmp.Compare(a.Zone, b.Zone) })
	return m
}

func zoneLatency(zone string, h *hdrhistogram.Histogram) ZoneLatency {
	encoded, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		encoded = nil // the counts remain valid; Merge returns an error for the missing latencies
	}
	return ZoneLatency{
		Zone: zone, Answered: h.TotalCount(), LatencyMicroseconds: encoded,
		P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Max: h.Max(),
	}
}

func (c *counters) minutes(service string) []MinuteCounters {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.Clone(c.past)
	if c.current.Requests > 0 {
		out = append(out, c.snapshot())
	}
	for i := range out {
		out[i].Service = service
	}
	return out
}

// Minutes returns the counters of all services, sorted by service and minute, including the current minute.
func (g *Gateway) Minutes() []MinuteCounters {
	var out []MinuteCounters
	for name, s := range *g.services.Load() {
		out = append(out, s.counters.minutes(name)...)
	}
	slices.SortFunc(out, compareMinutes)
	return out
}

// Var returns the counters as an expvar.Var.
func (g *Gateway) Var() expvar.Var {
	return expvar.Func(func() any { return g.Minutes() })
}

func compareMinutes(a, b MinuteCounters) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Minute, b.Minute))
}

// Merge sums the counters of several gateways by service and minute.
func Merge(all ...[]MinuteCounters) ([]MinuteCounters, error) {
	sums := map[[2]any]*MinuteCounters{}
	for _, minutes := range all {
		for _, m := range minutes {
			key := [2]any{m.Service, m.Minute}
			sum := sums[key]
			if sum == nil {
				sum = &MinuteCounters{Service: m.Service, Minute: m.Minute}
				sums[key] = sum
			}
			if err := sum.add(m); err != nil {
				return nil, trace.Wrap(err, "counters of service %q", m.Service)
			}
		}
	}
	out := make([]MinuteCounters, 0, len(sums))
	for _, m := range sums {
		for i, z := range m.Zones {
			m.Zones[i] = zoneLatency(z.Zone, z.histogram)
		}
		out = append(out, *m)
	}
	slices.SortFunc(out, compareMinutes)
	return out, nil
}

func (m *MinuteCounters) add(other MinuteCounters) error {
	m.Requests += other.Requests
	m.Answered += other.Answered
	m.NotRun += other.NotRun
	m.Shed += other.Shed
	m.Unknown += other.Unknown
	for _, z := range other.Zones {
		h, err := hdrhistogram.Decode(z.LatencyMicroseconds)
		if err != nil {
			return trace.BadParameter("decode latencies of zone %q: %v", z.Zone, err)
		}
		i, found := slices.BinarySearchFunc(m.Zones, z.Zone, func(z ZoneLatency, zone string) int { return cmp.Compare(z.Zone, zone) })
		if !found {
			m.Zones = slices.Insert(m.Zones, i, ZoneLatency{Zone: z.Zone, histogram: newHistogram()})
		}
		m.Zones[i].histogram.Merge(h)
	}
	return nil
}
