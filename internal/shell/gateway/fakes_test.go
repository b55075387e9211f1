package gateway_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/routing"
	"galenamoor/internal/shell/gateway"
)

// fakeLedger fakes the leader with a table of intents shared by several gateways.
type fakeLedger struct {
	mu               sync.Mutex
	records          map[string]*controlpb.IntentRecord
	gateways         map[string]*gateway.Gateway
	beforeIntent     func()                               // called before an intent is recorded
	loseConfirmation func(call string) (apply, lost bool) // injects loss of a confirmation; the record is lost too if apply is false
}

var errLost = errors.New("confirmation lost")

func newFakeLedger() *fakeLedger {
	return &fakeLedger{records: map[string]*controlpb.IntentRecord{}, gateways: map[string]*gateway.Gateway{}}
}

func (l *fakeLedger) injectLoss(call string) (apply, lost bool) {
	if l.loseConfirmation == nil {
		return true, false
	}
	return l.loseConfirmation(call)
}

func (l *fakeLedger) RecordIntent(_ context.Context, r *controlpb.RecordIntent) (*controlpb.Result, error) {
	if l.beforeIntent != nil {
		l.beforeIntent()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	apply, lost := l.injectLoss("intent")
	existing := l.records[r.RequestKey]
	result := &controlpb.Result{}
	switch {
	case existing != nil && existing.Outcome != controlpb.Outcome_OUTCOME_NOT_RUN:
		result = &controlpb.Result{
			Code: controlpb.ResultCode_RESULT_DUPLICATE, Owner: existing.Gateway, OwnerIncarnation: existing.GatewayIncarnation, Outcome: existing.Outcome,
		}
	case apply:
		l.records[r.RequestKey] = &controlpb.IntentRecord{Key: r.RequestKey, Gateway: r.Gateway, GatewayIncarnation: r.GatewayIncarnation}
	}
	if lost {
		return nil, errLost
	}
	return result, nil
}

func (l *fakeLedger) RecordOutcome(_ context.Context, r *controlpb.RecordOutcome) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	apply, lost := l.injectLoss("outcome")
	if existing := l.records[r.RequestKey]; apply && existing != nil && existing.Gateway == r.Gateway {
		existing.Outcome = r.Outcome
	}
	if lost {
		return errLost
	}
	return nil
}

func (l *fakeLedger) FetchAnswer(_ context.Context, owner string, r *controlpb.FetchAnswerRequest) (*controlpb.FetchAnswerReply, error) {
	l.mu.Lock()
	g := l.gateways[owner]
	l.mu.Unlock()
	if g == nil {
		return nil, errors.New("owner unreachable")
	}
	return g.FetchAnswer(r), nil
}

// fakeEndpoint is an endpoint that echoes the body, or runs a custom handler, and counts requests and connections.
type fakeEndpoint struct {
	server      *httptest.Server
	handler     atomic.Pointer[func(w http.ResponseWriter, r *http.Request)]
	requests    atomic.Int64
	inFlight    atomic.Int64
	maxInFlight atomic.Int64
	conns       atomic.Int64
	maxConns    atomic.Int64 // maximum of conns
}

func newFakeEndpoint(t testing.TB) *fakeEndpoint {
	e := &fakeEndpoint{}
	e.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.requests.Add(1)
		storeMax(&e.maxInFlight, e.inFlight.Add(1))
		defer e.inFlight.Add(-1)
		w.Header().Set("Galenamoor-Dispatch", r.Header.Get("Galenamoor-Dispatch"))
		if handler := e.handler.Load(); handler != nil {
			(*handler)(w, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}))
	e.server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			storeMax(&e.maxConns, e.conns.Add(1))
		case http.StateClosed, http.StateHijacked:
			e.conns.Add(-1)
		}
	}
	e.server.Start()
	t.Cleanup(e.server.Close)
	return e
}

func storeMax(maximum *atomic.Int64, value int64) {
	for {
		old := maximum.Load()
		if value <= old || maximum.CompareAndSwap(old, value) {
			return
		}
	}
}

func (e *fakeEndpoint) setHandler(handler func(w http.ResponseWriter, r *http.Request)) {
	e.handler.Store(&handler)
}

func (e *fakeEndpoint) route(name string, slots int, epoch uint64) routing.Endpoint {
	return routing.Endpoint{
		Name: name, Incarnation: 1, Zone: "swakop", Slots: slots, Epoch: epoch,
		Address: netip.MustParseAddrPort(e.server.Listener.Addr().String()),
	}
}

// harness runs a gateway behind a test server, with a fake clock for freshness, quarantine and key expiry.
type harness struct {
	t        testing.TB
	gateway  *gateway.Gateway
	clock    *clockwork.FakeClock
	server   *httptest.Server
	version  uint64
	keyCount int
}

func newHarness(t testing.TB, l *fakeLedger, name string, configure func(*gateway.Config)) *harness {
	clock := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0))
	c := gateway.Config{Name: name, Incarnation: 1, Zone: "swakop", Ledger: l, Clock: clock, LateResponseTimeout: 5 * time.Second}
	if configure != nil {
		configure(&c)
	}
	g, err := gateway.New(c)
	if err != nil {
		t.Fatal(err)
	}
	l.mu.Lock()
	l.gateways[name] = g
	l.mu.Unlock()
	h := &harness{t: t, gateway: g, clock: clock, server: httptest.NewServer(g)}
	t.Cleanup(h.server.Close)
	return h
}

func (h *harness) setRoutes(queue int, endpoints ...routing.Endpoint) {
	h.version++
	h.gateway.Update(&gateway.Routes{Version: h.version, Services: map[string]gateway.ServiceRoutes{"waiver": {Queue: queue, Endpoints: endpoints}}})
	h.gateway.ConfirmRoutes(h.clock.Now())
}

// newKey returns a new request key.
func (h *harness) newKey() string {
	h.keyCount++
	return strconv.FormatInt(h.clock.Now().Unix(), 10) + "-" + h.gateway.Name + strconv.Itoa(h.keyCount)
}

type reply struct {
	status  int
	outcome string
	reason  string
	body    string
}

// call sends a call and returns the reply that the caller receives.
func (h *harness) call(key, body string, repeatable bool, deadline time.Duration, class string) reply {
	r, err := http.NewRequest(http.MethodPost, h.server.URL+"/v1/services/waiver/calls", strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	r.Header.Set("Galenamoor-Request-Key", key)
	r.Header.Set("Galenamoor-Deadline", deadline.String())
	r.Header.Set("Galenamoor-Repeatable", strconv.FormatBool(repeatable))
	r.Header.Set("Galenamoor-Class", class)
	response, err := h.server.Client().Do(r)
	if err != nil {
		h.t.Errorf("send call: %v", err)
		return reply{}
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		h.t.Errorf("read response body: %v", err)
	}
	return reply{response.StatusCode, response.Header.Get("Galenamoor-Outcome"), response.Header.Get("Galenamoor-Reason"), string(responseBody)}
}

// waitFor polls until the condition holds and fails the test after 5 s.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for range 5000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", what)
}
