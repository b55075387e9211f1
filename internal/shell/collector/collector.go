// Package collector keeps a daemon's service-level counters, copies those of the other daemons, and builds the error budget
// burn report of the cluster. A daemon with a data folder persists its counters and its copies once a minute, so a restart
// loses at most the last minute. A daemon without one loses its counters in a restart; reports then include them from the
// copies at other daemons.
package collector

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"galenamoor/internal/decision/burn"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/shell/gateway"
	"galenamoor/pkg/rules"
)

// Interval is the time between rounds. Each round collects the daemon's own counters, copies those of the other daemons
// and persists both.
const Interval = time.Minute

// Gateway counts the calls of each minute.
type Gateway interface {
	Minutes() []gateway.MinuteCounters
}

// Peers gives access to the other daemons.
type Peers interface {
	// Hosts returns the hosts of the other daemons.
	Hosts() []string
	// Collect fetches the counters of the daemon on the host, as encoded by Collector.Encode.
	Collect(ctx context.Context, host string) ([]byte, error)
}

// Config configures a Collector.
type Config struct {
	Host       string
	DataFolder string // data folder; if empty, nothing is persisted and nothing is copied from other daemons
	Gateway    Gateway
	Peers      Peers
	View       func() *controlstate.View
	// PredictLate returns the names of the jobs that are predicted to miss their deadlines. It may be nil.
	PredictLate func(context.Context) ([]string, error)
	Clock       clockwork.Clock
	Log         logr.Logger
}

// Collector collects, copies and persists counters and reports on them. It is safe for concurrent use.
type Collector struct {
	config Config
	mu     sync.Mutex
	own    *burn.Ledger         // this daemon's counters
	copies map[string]*counters // of other daemons, by host
}

// New returns a Collector with the counters of its data folder. Unreadable counters are logged and discarded, because they
// must not keep a daemon from starting.
func New(config Config) *Collector {
	c := &Collector{config: config, own: burn.New(), copies: map[string]*counters{}}
	if err := c.load(); err != nil {
		config.Log.Error(err, "could not read counters; starting with empty ones", "Step", "load counters")
	}
	return c
}

// Run collects, copies and persists counters every Interval until the context ends, and then persists them once more.
func (c *Collector) Run(ctx context.Context) error {
	ticker := c.config.Clock.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.collectOwn()
			return trace.Wrap(c.save(), "write counters")
		case <-ticker.Chan():
			c.round(ctx)
		}
	}
}

// round collects, copies and persists counters once.
func (c *Collector) round(ctx context.Context) {
	c.collectOwn()
	if c.config.DataFolder == "" {
		return
	}
	c.copyPeers(ctx)
	if err := c.save(); err != nil {
		c.config.Log.Error(err, "counters could not be written", "Step", "write counters")
	}
}

// collectOwn adds the minutes that the gateway has counted to the ledger. It is idempotent.
func (c *Collector) collectOwn() {
	view := c.config.View()
	minutes := c.config.Gateway.Minutes()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, minute := range minutes {
		for _, s := range samples(minute, view.Rules) {
			c.own.Put(s)
		}
	}
	c.own.Compact(c.config.Clock.Now())
}

// samples converts a gateway's minute into one sample per zone, with answers classified by the latency bound of the
// service, and one for failed calls.
func samples(minute gateway.MinuteCounters, r *rules.Rules) []burn.Sample {
	if r == nil {
		r = &rules.Rules{}
	}
	bound := r.Service(minute.Service).Bound
	template := burn.Sample{Service: minute.Service, Begin: minute.Minute, Span: 1}
	var all []burn.Sample
	for _, zone := range minute.Zones {
		s := template
		s.Zone = zone.Zone
		s.Requests = zone.Answered
		s.Good = min(zone.Answered, countWithin(zone.LatencyMicroseconds, bound))
		s.Slow = s.Requests - s.Good
		all = append(all, s)
	}
	failed := template
	failed.NotRun, failed.Shed, failed.Unknown = minute.NotRun, minute.Shed, minute.Unknown
	failed.Requests = failed.NotRun + failed.Shed + failed.Unknown
	if failed.Requests > 0 {
		all = append(all, failed)
	}
	return all
}

// countWithin returns the number of latencies up to the bound in an encoded histogram. If the histogram can't be decoded,
// it returns 0, so that all its calls are reported as slow.
func countWithin(encoded []byte, bound time.Duration) int64 {
	histogram, err := hdrhistogram.Decode(encoded)
	if err != nil {
		return 0
	}
	good := int64(0)
	for _, bucket := range histogram.Distribution() {
		if bucket.To <= bound.Microseconds() {
			good += bucket.Count
		}
	}
	return good
}

// copyPeers updates the copies of the other daemons' counters. The last copy of a daemon that doesn't answer is kept.
func (c *Collector) copyPeers(ctx context.Context) {
	for host, counters := range c.collectPeers(ctx) {
		c.mu.Lock()
		if old := c.copies[host]; old == nil || old.Until.Before(counters.Until) {
			c.copies[host] = counters.mergeOlder(old)
		}
		c.mu.Unlock()
	}
}

// requestTimeout bounds the wait for answers of other daemons, including the leader's.
const requestTimeout = 2 * time.Second

// collectPeers fetches the counters of all other daemons concurrently and returns those that arrived, by host.
func (c *Collector) collectPeers(ctx context.Context) map[string]*counters {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var mu sync.Mutex
	answers := map[string]*counters{}
	var group sync.WaitGroup
	for _, host := range c.config.Peers.Hosts() {
		group.Go(func() {
			data, err := c.config.Peers.Collect(ctx, host)
			if err != nil {
				return
			}
			decoded, err := decodeCounters(data)
			if err != nil {
				c.config.Log.Error(err, "malformed counters from a daemon", "Step", "collect counters", "Peer", host)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers[host] = decoded
		})
	}
	group.Wait()
	return answers
}

// Encode returns this daemon's own counters, encoded for another daemon.
func (c *Collector) Encode() ([]byte, error) {
	c.collectOwn()
	c.mu.Lock()
	defer c.mu.Unlock()
	return encodeGzipJSON(&counters{Format: formatVersion, Host: c.config.Host, Until: c.config.Clock.Now(), Samples: c.own.Samples()})
}
