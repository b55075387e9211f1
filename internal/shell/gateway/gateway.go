// Package gateway implements an HTTP reverse proxy for calls: it admits a caller's call, dispatches it to an endpoint over
// a bounded connection pool, and returns the endpoint's complete response.
//
// Calls are forwarded with the caller's path and end-to-end headers. The endpoint receives the remaining time in
// Galenamoor-Deadline and must echo the value of Galenamoor-Dispatch in its response.
//
// The gateway never has more connections to an endpoint than slots granted there: each slot in use owns at most one
// connection, and when a grant shrinks, idle connections are closed before the reduction is acknowledged.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/routing"
)

const (
	// MaxTableAge is the maximum time since the routing table was last confirmed; with an older table, no call is
	// dispatched.
	MaxTableAge = 2500 * time.Millisecond
	// AbortDelay is the delay after which the connections of running calls are closed. It starts when the age of the table
	// or of the last acknowledged report exceeds MaxTableAge. The leader relies on it when it reassigns the slots of an
	// unreachable gateway.
	AbortDelay = 10 * time.Second
	// TickInterval is the interval between calls of Tick. It bounds the delay in ending quarantines and ejections.
	TickInterval = 50 * time.Millisecond
	// ReportInterval is the interval between reports to the leader.
	ReportInterval = time.Second
	// MaxBodyBytes is the maximum size of a request or response body.
	MaxBodyBytes = 1 << 20
	// MaxDeadline is the longest timeout that a caller may request.
	MaxDeadline = 5 * time.Minute
)

// Config holds the static configuration of a Gateway. Clock, MaxBufferedBytes, MaxCachedBytes, BodyTimeout and
// LateResponseTimeout have defaults for their zero values.
type Config struct {
	Name                string // host of the daemon
	Incarnation         uint64 // of the daemon
	Zone                string // of the daemon
	Ledger              Ledger
	SendReport          func(context.Context, *controlpb.GatewayReport) error // sends a report to the leader; called by Run
	Clock               clockwork.Clock
	Log                 logr.Logger
	Seed                uint64                 // of the random number generators
	MaxBufferedBytes    int64                  // limit on buffered request bodies, in bytes; 256 MiB by default
	MaxCachedBytes      int64                  // limit on cached responses of non-repeatable calls, in bytes; 64 MiB by default
	BodyTimeout         time.Duration          // for reading a request body; 5 s by default
	LateResponseTimeout time.Duration          // wait for a response after the caller's deadline; 30 s by default
	NewChooser          func() routing.Chooser // creates the chooser of a service; the default is that of routing.New
}

// Routes is an immutable version of the gateway's routing table.
type Routes struct {
	Version  uint64
	Services map[string]ServiceRoutes
}

// ServiceRoutes lists one service's endpoints. Endpoints with a grant of zero slots are included, because the gateway has
// to acknowledge their epoch.
type ServiceRoutes struct {
	Queue     int // maximum number of queued calls
	Endpoints []routing.Endpoint
}

// Ledger records intents and outcomes of non-repeatable calls.
type Ledger interface {
	// RecordIntent returns once the leader has replicated the intent to a quorum or has found an earlier intent for the
	// key. After an error or RESULT_UNKNOWN, the intent may or may not be recorded.
	RecordIntent(context.Context, *controlpb.RecordIntent) (*controlpb.Result, error)
	// RecordOutcome records the outcome of a call. After an error, the outcome may or may not be recorded.
	RecordOutcome(context.Context, *controlpb.RecordOutcome) error
	// FetchAnswer asks the gateway that owns a key for its cached response.
	FetchAnswer(ctx context.Context, owner string, request *controlpb.FetchAnswerRequest) (*controlpb.FetchAnswerReply, error)
}

// Gateway is an http.Handler that serves calls.
type Gateway struct {
	Config
	// Both times are read from Clock. They are stored as time.Time to retain the monotonic reading, so that their age
	// is correct even if the system clock is set back.
	confirmedAt          atomic.Pointer[time.Time]
	reportAcknowledgedAt atomic.Pointer[time.Time] // when the last acknowledged report was made
	draining             atomic.Bool
	loggedStale          atomic.Bool // last freshness state logged
	running              atomic.Int64
	bufferedBytes        atomic.Int64
	dispatchCount        atomic.Uint64
	dispatchPrefix       string // of dispatch IDs
	services             atomic.Pointer[map[string]*service]
	updateMutex          sync.Mutex
	version              uint64
	keys                 *keyTable
	outcomeSemaphore     chan struct{} // limits concurrent RecordOutcome requests
}

// New returns a Gateway that rejects calls until it has routes and ConfirmRoutes was called for them.
func New(c Config) (*Gateway, error) {
	if c.Name == "" || c.Ledger == nil {
		return nil, trace.BadParameter("gateway: Name and Ledger are required")
	}
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.MaxBufferedBytes == 0 {
		c.MaxBufferedBytes = 256 << 20
	}
	if c.MaxCachedBytes == 0 {
		c.MaxCachedBytes = 64 << 20
	}
	if c.BodyTimeout == 0 {
		c.BodyTimeout = 5 * time.Second
	}
	if c.LateResponseTimeout == 0 {
		c.LateResponseTimeout = 30 * time.Second
	}
	g := &Gateway{Config: c, dispatchPrefix: dispatchPrefix(c.Name, c.Incarnation), outcomeSemaphore: make(chan struct{}, 256)}
	g.keys = newKeyTable(c.MaxCachedBytes)
	g.services.Store(&map[string]*service{})
	g.loggedStale.Store(true)
	now := c.Clock.Now()
	g.confirmedAt.Store(&time.Time{})
	g.reportAcknowledgedAt.Store(&now)
	return g, nil
}

// Update applies routes if their version is newer than the current one, and ignores them otherwise. A service that is
// missing from the routes stays known, without endpoints.
func (g *Gateway) Update(r *Routes) {
	g.updateMutex.Lock()
	defer g.updateMutex.Unlock()
	if r.Version <= g.version {
		return
	}
	g.version = r.Version
	old := *g.services.Load()
	next := make(map[string]*service, len(r.Services))
	for name, s := range old {
		next[name] = s
	}
	for name := range r.Services {
		if next[name] == nil {
			next[name] = g.newService(name)
		}
	}
	g.services.Store(&next)
	for name, s := range next {
		s.update(r.Version, r.Services[name])
	}
}

func (g *Gateway) newService(name string) *service {
	seed := g.Seed
	for _, c := range []byte(name) {
		seed = seed*31 + uint64(c)
	}
	var newChooser routing.Chooser
	if g.NewChooser != nil {
		newChooser = g.NewChooser()
	}
	return newService(g, name, rand.New(rand.NewPCG(seed, g.Incarnation)), newChooser)
}

// ConfirmRoutes records that the routes of the last Update were current at the given time.
func (g *Gateway) ConfirmRoutes(at time.Time) {
	advance(&g.confirmedAt, at)
}

// ReportAcknowledged records that the leader has acknowledged a report made at the given time.
func (g *Gateway) ReportAcknowledged(at time.Time) {
	advance(&g.reportAcknowledgedAt, at)
}

// advance stores a time unless the stored time is later.
func advance(stored *atomic.Pointer[time.Time], to time.Time) {
	for old := stored.Load(); to.After(*old); old = stored.Load() {
		if stored.CompareAndSwap(old, &to) {
			return
		}
	}
}

// fresh reports whether the routing table was confirmed within MaxTableAge.
func (g *Gateway) fresh(now time.Time) bool {
	return now.Sub(*g.confirmedAt.Load()) <= MaxTableAge
}

// Ready reports whether the gateway accepts calls. It serves as the load balancer's readiness check.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.fresh(g.Clock.Now())
}

// CallsInProgress returns the number of calls in progress, including those that still wait for the endpoint after their
// caller got a reply, and the background requests that record outcomes.
func (g *Gateway) CallsInProgress() int {
	return int(g.running.Load())
}

// Drain makes the gateway unready, rejects new calls as not run, and returns once no call is in progress.
func (g *Gateway) Drain(ctx context.Context) error {
	g.draining.Store(true)
	g.Log.Info("gateway draining", "Running", g.CallsInProgress())
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for g.CallsInProgress() > 0 {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "gateway: %d calls in progress", g.CallsInProgress())
		case <-ticker.C:
		}
	}
	for _, s := range *g.services.Load() {
		s.closeIdle()
	}
	return nil
}

// Run calls Tick and sends reports until the context ends. If Config.SendReport is nil, the sender of the reports has to
// call ReportAcknowledged.
func (g *Gateway) Run(ctx context.Context) error {
	ticker := g.Clock.NewTicker(TickInterval)
	defer ticker.Stop()
	reportTicker := g.Clock.NewTicker(ReportInterval)
	defer reportTicker.Stop()
	inFlight := make(chan struct{}, 1)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			g.Tick()
		case <-reportTicker.Chan():
			g.sendReport(ctx, inFlight)
		}
	}
}

// sendReport sends a report in the background unless the previous one is still in flight.
func (g *Gateway) sendReport(ctx context.Context, inFlight chan struct{}) {
	if g.SendReport == nil {
		return
	}
	select {
	case inFlight <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-inFlight }()
		ctx, cancel := context.WithTimeout(ctx, ReportInterval)
		defer cancel()
		at := g.Clock.Now()
		if g.SendReport(ctx, g.Report()) == nil {
			g.ReportAcknowledged(at)
		}
	}()
}

// Tick ends expired quarantines and ejections, closes idle connections, and expires request keys. It closes the
// connections of running calls when either the last confirmation or the last acknowledged report is older than
// MaxTableAge plus AbortDelay.
func (g *Gateway) Tick() {
	now := g.Clock.Now()
	if stale := !g.fresh(now); stale != g.loggedStale.Swap(stale) {
		g.Log.Info("gateway freshness changed", "Stale", stale, "Version", g.Version())
	}
	staleness := max(now.Sub(*g.confirmedAt.Load()), now.Sub(*g.reportAcknowledgedAt.Load()))
	abort := staleness > MaxTableAge+AbortDelay
	for _, s := range *g.services.Load() {
		s.tick(now, abort)
	}
	g.keys.expire(now)
}

// Version returns the version of the current routes.
func (g *Gateway) Version() uint64 {
	g.updateMutex.Lock()
	defer g.updateMutex.Unlock()
	return g.version
}

// Report returns the slots in use, the peak demand since the previous call of Report, and the acknowledged grant epochs.
func (g *Gateway) Report() *controlpb.GatewayReport {
	r := &controlpb.GatewayReport{Gateway: g.Name, Incarnation: g.Incarnation}
	services := *g.services.Load()
	names := make([]string, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		r.Use = services[name].report(r.Use)
	}
	return r
}

// FetchAnswer serves a FetchAnswer request from another daemon.
func (g *Gateway) FetchAnswer(r *controlpb.FetchAnswerRequest) *controlpb.FetchAnswerReply {
	if r.GatewayIncarnation != g.Incarnation {
		return &controlpb.FetchAnswerReply{}
	}
	return g.keys.fetchResponse(r.RequestKey)
}

// ServeHTTP handles POST /v1/services/{service}/calls.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	g.serve(w, r)
}
