package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/routing"
	"galenamoor/internal/shell/gateway"
)

const longDeadline = 20 * time.Second

func (h *harness) expectOutcome(what string, got reply, outcome, reason string) {
	h.t.Helper()
	if got.outcome != outcome || got.reason != reason {
		h.t.Errorf("%s: outcome %q reason %q status %d, expected %q %q", what, got.outcome, got.reason, got.status, outcome, reason)
	}
}

func (h *harness) slotUse(name string) *controlpb.SlotUse {
	for _, u := range h.gateway.Report().Use {
		if u.Endpoint == name {
			return u
		}
	}
	return &controlpb.SlotUse{InUse: -1}
}

func closeConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	_ = conn.Close()
}

// Checks that an incomplete or mismatched response is never returned to the caller, that a non-repeatable call isn't run
// twice, and that a slot whose work may still be running isn't reused before its quarantine ends.
func TestInvalidResponses(t *testing.T) {
	wrongDispatchID := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Galenamoor-Dispatch", "other")
		_, _ = io.WriteString(w, "foreign")
	}
	cases := []struct {
		name    string
		handler func(http.ResponseWriter, *http.Request)
		reason  string
	}{
		{"truncated body", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
		}, "AnswerIncomplete"},
		{"wrong dispatch ID", wrongDispatchID, "AnswerIncomplete"},
		{"missing dispatch ID", func(w http.ResponseWriter, _ *http.Request) { w.Header().Del("Galenamoor-Dispatch") }, "AnswerIncomplete"},
		{"missing Content-Length", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			w.(http.Flusher).Flush()
		}, "AnswerIncomplete"},
		{"oversized body", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(gateway.MaxBodyBytes+1))
			_, _ = w.Write(make([]byte, gateway.MaxBodyBytes+1))
		}, "AnswerIncomplete"},
		{"oversized head", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Long", strings.Repeat("x", 1<<17)) }, "AnswerIncomplete"},
		{"closed connection", closeConnection, "EndpointBroken"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h, e := newHarness(t, newFakeLedger(), "a", nil), newFakeEndpoint(t)
			h.setRoutes(5, e.route("e", 1, 1))
			e.setHandler(c.handler)
			h.expectOutcome("first", h.call(h.newKey(), "x", false, longDeadline, ""), "unknown", c.reason)
			if e.requests.Load() != 1 || h.slotUse("e").InUse != 1 {
				t.Fatalf("%d runs, %d slots in use, expected 1 and 1", e.requests.Load(), h.slotUse("e").InUse)
			}
			e.handler.Store(nil)
			done := make(chan reply)
			go func() { done <- h.call(h.newKey(), "whole", false, longDeadline, "") }()
			waitFor(t, "second call queued", func() bool { return h.slotUse("e").Demand > 1 })
			h.clock.Advance(routing.QuarantineTime - time.Millisecond)
			h.gateway.ConfirmRoutes(h.clock.Now())
			h.gateway.Tick()
			if e.requests.Load() != 1 {
				t.Error("slot reused before the quarantine ended")
			}
			h.clock.Advance(time.Millisecond)
			h.gateway.Tick()
			if got := <-done; got.outcome != "answered" || got.body != "whole" {
				t.Errorf("after the quarantine: %+v", got)
			}
		})
	}
}

// Checks that a caller's timeout doesn't release the slot, and that a late response never reaches another caller.
func TestLateResponseHoldsSlot(t *testing.T) {
	h, e := newHarness(t, newFakeLedger(), "a", nil), newFakeEndpoint(t)
	h.setRoutes(5, e.route("e", 1, 1))
	release := make(chan struct{})
	e.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "late")
	})
	key := h.newKey()
	h.expectOutcome("late", h.call(key, "x", false, 50*time.Millisecond, ""), "unknown", "DeadlineExceeded")
	if got := h.slotUse("e").InUse; got != 1 {
		t.Fatalf("%d slots in use while the endpoint is running the call, expected 1", got)
	}
	h.expectOutcome("duplicate", h.call(key, "x", false, longDeadline, ""), "unknown", "AnswerNotKept")
	close(release)
	waitFor(t, "late response to release the slot", func() bool { return h.slotUse("e").InUse == 0 })
	waitFor(t, "late response to be cached", func() bool { return h.call(key, "x", false, longDeadline, "").body == "late" })
	e.handler.Store(nil)
	if got := h.call(h.newKey(), "mine", true, longDeadline, ""); got.body != "mine" || e.requests.Load() != 2 {
		t.Errorf("next call got %+v, %d runs", got, e.requests.Load())
	}
}

// Checks that no work is dispatched to an endpoint that the table marks as unavailable, even if the table changes between
// the choice of the endpoint and the dispatch.
func TestLeavingEndpoint(t *testing.T) {
	l := newFakeLedger()
	h, e, other := newHarness(t, l, "a", nil), newFakeEndpoint(t), newFakeEndpoint(t)
	leaving := e.route("e", 4, 1)
	h.setRoutes(5, leaving)
	l.beforeIntent = func() {
		l.beforeIntent = nil
		leaving.Unavailable = true
		h.setRoutes(5, leaving, other.route("o", 4, 1))
	}
	if got := h.call(h.newKey(), "x", false, longDeadline, ""); got.body != "x" || e.requests.Load() != 0 || other.requests.Load() != 1 {
		t.Errorf("%+v, %d runs at the leaving endpoint, %d at the other", got, e.requests.Load(), other.requests.Load())
	}
	for range 20 {
		h.call(h.newKey(), "x", true, longDeadline, "")
	}
	if e.requests.Load() != 0 {
		t.Errorf("%d runs at the leaving endpoint", e.requests.Load())
	}
}

// Checks that a reduced grant isn't acknowledged while more slots or connections than granted are in use.
func TestShrinkingGrant(t *testing.T) {
	h, e := newHarness(t, newFakeLedger(), "a", nil), newFakeEndpoint(t)
	h.setRoutes(0, e.route("e", 4, 1))
	release := make(chan struct{})
	e.setHandler(func(http.ResponseWriter, *http.Request) { <-release })
	var calls sync.WaitGroup
	for range 4 {
		key := h.newKey()
		calls.Go(func() { h.expectOutcome("running", h.call(key, "x", true, longDeadline, ""), "answered", "") })
	}
	waitFor(t, "4 calls running", func() bool { return e.inFlight.Load() == 4 })
	h.setRoutes(0, e.route("e", 1, 2))
	if u := h.slotUse("e"); u.InUse != 4 || u.Epoch != 0 {
		t.Errorf("acknowledged epoch %d with %d slots in use", u.Epoch, u.InUse)
	}
	h.expectOutcome("above the grant", h.call(h.newKey(), "x", true, longDeadline, ""), "not-run", "QueueFull")
	release <- struct{}{}
	waitFor(t, "one call done", func() bool { return h.slotUse("e").InUse == 3 })
	if u := h.slotUse("e"); u.Epoch != 0 {
		t.Errorf("acknowledged epoch %d with %d slots in use", u.Epoch, u.InUse)
	}
	close(release)
	calls.Wait()
	waitFor(t, "reduction acknowledged", func() bool { return h.slotUse("e").Epoch == 2 })
	waitFor(t, "connections closed", func() bool { return e.conns.Load() <= 1 })
	h.setRoutes(0, e.route("e", 0, 3))
	waitFor(t, "last idle connection closed", func() bool { return e.conns.Load() == 0 })
	if u := h.slotUse("e"); u.Epoch != 3 || e.maxConns.Load() > 4 {
		t.Errorf("epoch %d, at most %d connections, expected 3 and 4", u.Epoch, e.maxConns.Load())
	}
}

// Checks that a non-repeatable call isn't run twice: when its key is used at two gateways concurrently, after the call has
// ended, and after the gateway that ran it is lost.
func TestDuplicateKeys(t *testing.T) {
	l, e := newFakeLedger(), newFakeEndpoint(t)
	a, b := newHarness(t, l, "a", nil), newHarness(t, l, "b", nil)
	a.setRoutes(5, e.route("e", 4, 1))
	b.setRoutes(5, e.route("e", 4, 2))
	release := make(chan struct{})
	e.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.Header().Set("Content-Type", "text/waiver")
		_, _ = io.WriteString(w, "signed")
	})
	key := a.newKey()
	first := make(chan reply)
	go func() { first <- a.call(key, "x", false, longDeadline, "") }()
	waitFor(t, "first call running", func() bool { return e.inFlight.Load() == 1 })
	a.expectOutcome("same gateway", a.call(key, "x", false, longDeadline, ""), "unknown", "StillRunning")
	b.expectOutcome("other gateway", b.call(key, "x", false, longDeadline, ""), "unknown", "StillRunning")
	close(release)
	a.expectOutcome("first", <-first, "answered", "")
	for _, h := range []*harness{a, b} {
		if got := h.call(key, "x", false, longDeadline, ""); got.outcome != "answered" || got.body != "signed" {
			t.Errorf("replay at %s: %+v", h.gateway.Name, got)
		}
	}
	l.mu.Lock()
	delete(l.gateways, "a")
	l.mu.Unlock()
	b.expectOutcome("after the loss of the owner", b.call(key, "x", false, longDeadline, ""), "unknown", "OwnerUnreachable")
	b.clock.Advance(gateway.KeyRetention)
	b.setRoutes(5, e.route("e", 4, 2))
	b.expectOutcome("after retention", b.call(key, "x", false, longDeadline, ""), "not-run", "KeyExpired")
	if e.requests.Load() != 1 {
		t.Errorf("ran %d times", e.requests.Load())
	}
}

// Checks that the memory for cached responses is bounded, and that a call isn't run again after its response was evicted.
func TestCachedResponsesAreBounded(t *testing.T) {
	h, e := newHarness(t, newFakeLedger(), "a", func(c *gateway.Config) { c.MaxCachedBytes = 250 }), newFakeEndpoint(t)
	h.setRoutes(5, e.route("e", 4, 1))
	keys := []string{h.newKey(), h.newKey(), h.newKey()}
	body := strings.Repeat("x", 100)
	for _, key := range keys {
		h.expectOutcome("first", h.call(key, body, false, longDeadline, ""), "answered", "")
	}
	h.expectOutcome("oldest", h.call(keys[0], body, false, longDeadline, ""), "unknown", "AnswerNotKept")
	for _, key := range keys[1:] {
		h.expectOutcome("newer", h.call(key, body, false, longDeadline, ""), "answered", "")
	}
	if e.requests.Load() != 3 {
		t.Errorf("%d runs, expected 3", e.requests.Load())
	}
}

// Checks that a key doesn't stay blocked if nothing ran, and that a call isn't run twice if the ledger recorded its intent
// or outcome but the confirmation was lost.
func TestLostConfirmations(t *testing.T) {
	for _, apply := range []bool{true, false} {
		t.Run(fmt.Sprintf("intent applied %v", apply), func(t *testing.T) {
			l, e := newFakeLedger(), newFakeEndpoint(t)
			h := newHarness(t, l, "a", nil)
			h.setRoutes(5, e.route("e", 4, 1))
			l.loseConfirmation = func(string) (bool, bool) { return apply, true }
			key := h.newKey()
			h.expectOutcome("lost", h.call(key, "x", false, longDeadline, ""), "not-run", "LedgerUnavailable")
			l.loseConfirmation = nil
			h.expectOutcome("again", h.call(key, "x", false, longDeadline, ""), "answered", "")
			h.expectOutcome("replay", h.call(key, "x", false, longDeadline, ""), "answered", "")
			if e.requests.Load() != 1 {
				t.Errorf("ran %d times", e.requests.Load())
			}
		})
	}
	t.Run("release", func(t *testing.T) {
		l, e := newFakeLedger(), newFakeEndpoint(t)
		h := newHarness(t, l, "a", nil)
		h.setRoutes(5, e.route("e", 4, 1))
		e.server.Close()
		l.loseConfirmation = func(call string) (bool, bool) { return call != "outcome", call == "outcome" }
		key := h.newKey()
		h.expectOutcome("unreachable", h.call(key, "x", false, longDeadline, ""), "not-run", "EndpointUnreachable")
		l.loseConfirmation = nil
		h.expectOutcome("release uncertain", h.call(key, "x", false, longDeadline, ""), "unknown", "AnswerNotKept")
		key = h.newKey()
		for range 2 {
			h.expectOutcome("released", h.call(key, "x", false, longDeadline, ""), "not-run", "EndpointUnreachable")
		}
	})
}

// Checks that the queue is bounded, and that urgent calls are accepted while batch calls are queued.
func TestOverloadShedsLowerClasses(t *testing.T) {
	h, e := newHarness(t, newFakeLedger(), "a", nil), newFakeEndpoint(t)
	h.setRoutes(2, e.route("e", 1, 1))
	release := make(chan struct{})
	e.setHandler(func(http.ResponseWriter, *http.Request) { <-release })
	replies := map[string]chan reply{}
	start := func(name, class string) {
		replies[name] = make(chan reply, 1)
		key := h.newKey()
		go func() { replies[name] <- h.call(key, name, true, longDeadline, class) }()
	}
	start("running", "batch")
	waitFor(t, "a running call", func() bool { return e.inFlight.Load() == 1 })
	start("batch", "batch")
	waitFor(t, "one queued call", func() bool { return h.slotUse("e").Demand == 2 })
	start("normal", "")
	waitFor(t, "two queued calls", func() bool { return h.slotUse("e").Demand == 3 })
	h.expectOutcome("queue full", h.call(h.newKey(), "x", true, longDeadline, "batch"), "not-run", "QueueFull")
	start("urgent", "urgent")
	got := <-replies["batch"]
	h.expectOutcome("batch", got, "not-run", "Shed")
	if got.status != http.StatusTooManyRequests {
		t.Errorf("status %d for a shed call", got.status)
	}
	release <- struct{}{}
	h.expectOutcome("running", <-replies["running"], "answered", "")
	release <- struct{}{}
	h.expectOutcome("urgent", <-replies["urgent"], "answered", "")
	release <- struct{}{}
	h.expectOutcome("normal", <-replies["normal"], "answered", "")
}

// Checks that callers that send their body slowly don't hold a slot, and that bodies are limited in size.
func TestSlowAndLargeBodies(t *testing.T) {
	h, e := newHarness(t, newFakeLedger(), "a", func(c *gateway.Config) { c.BodyTimeout = 100 * time.Millisecond }), newFakeEndpoint(t)
	h.setRoutes(0, e.route("e", 1, 1))
	for _, c := range []struct{ head, outcome, reason string }{
		{"Content-Length: 10", "not-run", "BodyIncomplete"},
		{"Content-Length: 1048577", "not-run", "BodyTooLarge"},
		{"Transfer-Encoding: chunked", "not-run", "LengthRequired"},
	} {
		conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "POST /v1/services/waiver/calls HTTP/1.1\r\nHost: g\r\nGalenamoor-Request-Key: k\r\n"+
			"Galenamoor-Deadline: 5s\r\nGalenamoor-Repeatable: true\r\n%s\r\n\r\nhalf", c.head)
		h.expectOutcome("meanwhile", h.call(h.newKey(), "x", true, longDeadline, ""), "answered", "")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		h.expectOutcome(c.head, reply{outcome: response.Header.Get("Galenamoor-Outcome"), reason: response.Header.Get("Galenamoor-Reason")}, c.outcome, c.reason)
		_ = conn.Close()
	}
}

// Checks that no work starts on a stale table, and that running calls are aborted only after AbortDelay.
func TestStaleTableDuringCalls(t *testing.T) {
	h, e := newHarness(t, newFakeLedger(), "a", nil), newFakeEndpoint(t)
	h.setRoutes(5, e.route("e", 2, 1))
	release := make(chan struct{})
	e.setHandler(func(http.ResponseWriter, *http.Request) { <-release })
	replies := make(chan reply, 3)
	for i := range 3 {
		key := h.newKey()
		go func() { replies <- h.call(key, "x", true, time.Minute, "") }()
		waitFor(t, "calls running and queued", func() bool { return h.slotUse("e").Demand >= int32(i+1) })
	}
	waitFor(t, "2 calls running", func() bool { return e.inFlight.Load() == 2 })
	h.clock.Advance(gateway.MaxTableAge + 1)
	h.gateway.Tick()
	if h.gateway.Ready() {
		t.Error("ready with a stale table")
	}
	h.expectOutcome("new call", h.call(h.newKey(), "x", true, longDeadline, ""), "not-run", "Stale")
	release <- struct{}{}
	first, second := <-replies, <-replies
	if first.outcome == "not-run" {
		first, second = second, first
	}
	h.expectOutcome("running", first, "answered", "")
	h.expectOutcome("waiting", second, "not-run", "Stale")
	h.clock.Advance(gateway.AbortDelay)
	h.gateway.Tick()
	h.expectOutcome("aborted", <-replies, "unknown", "EndpointBroken")
	if e.requests.Load() != 2 {
		t.Errorf("%d runs, expected 2", e.requests.Load())
	}
	close(release)
}

// Checks that running calls are aborted before the leader reassigns the slots of an unreachable gateway, when reports are
// lost while the table stays fresh.
func TestUnacknowledgedReportsAbortCalls(t *testing.T) {
	h, e := newHarness(t, newFakeLedger(), "a", nil), newFakeEndpoint(t)
	h.setRoutes(5, e.route("e", 1, 1))
	release := make(chan struct{})
	e.setHandler(func(http.ResponseWriter, *http.Request) { <-release })
	replies := make(chan reply, 1)
	key := h.newKey()
	go func() { replies <- h.call(key, "x", true, time.Minute, "") }()
	waitFor(t, "call running", func() bool { return e.inFlight.Load() == 1 })
	advance := func(d time.Duration) {
		h.clock.Advance(d)
		h.gateway.ConfirmRoutes(h.clock.Now())
		h.gateway.Tick()
	}
	h.gateway.ReportAcknowledged(h.clock.Now())
	advance(gateway.MaxTableAge + gateway.AbortDelay)
	if got := len(replies); got != 0 {
		t.Error("call aborted before the delay had passed")
	}
	advance(1)
	h.expectOutcome("aborted", <-replies, "unknown", "EndpointBroken")
	close(release)
}

// Checks that draining doesn't interrupt calls and accepts no new ones.
func TestDrain(t *testing.T) {
	h, e := newHarness(t, newFakeLedger(), "a", nil), newFakeEndpoint(t)
	h.setRoutes(5, e.route("e", 1, 1))
	release := make(chan struct{})
	e.setHandler(func(http.ResponseWriter, *http.Request) { <-release })
	replies := make(chan reply, 2)
	for i := range 2 {
		key := h.newKey()
		go func() { replies <- h.call(key, "x", true, longDeadline, "") }()
		waitFor(t, "calls running and queued", func() bool { return h.slotUse("e").Demand >= int32(i+1) })
	}
	drained := make(chan error)
	go func() { drained <- h.gateway.Drain(context.Background()) }()
	waitFor(t, "unready", func() bool { return !h.gateway.Ready() })
	h.expectOutcome("new call", h.call(h.newKey(), "x", true, longDeadline, ""), "not-run", "Draining")
	close(release)
	h.expectOutcome("in progress", <-replies, "answered", "")
	h.expectOutcome("in progress", <-replies, "answered", "")
	if err := <-drained; err != nil {
		t.Error(err)
	}
	waitFor(t, "connections closed", func() bool { return e.conns.Load() == 0 })
}

// Checks that retries don't multiply the load, and that a repeatable call succeeds if another endpoint is healthy.
func TestRetryBudget(t *testing.T) {
	h := newHarness(t, newFakeLedger(), "a", func(c *gateway.Config) {
		c.Clock = clockwork.NewRealClock()
		c.NewChooser = func() routing.Chooser { return &routing.RoundRobin{} } // guarantees that both endpoints are tried
	})
	healthy, failing := newFakeEndpoint(t), newFakeEndpoint(t)
	h.gateway.ConfirmRoutes(time.Now().Add(time.Hour))
	update := func(version uint64, endpoints ...routing.Endpoint) {
		h.gateway.Update(&gateway.Routes{Version: version, Services: map[string]gateway.ServiceRoutes{"waiver": {Queue: 5, Endpoints: endpoints}}})
	}
	update(1, healthy.route("w", 8, 1))
	for range 100 {
		h.expectOutcome("healthy endpoint", h.call("k", "x", true, longDeadline, ""), "answered", "")
	}
	failing.setHandler(closeConnection)
	update(2, healthy.route("w", 8, 1), failing.route("f", 100, 1))
	for range 3 {
		h.expectOutcome("retried", h.call("k", "x", true, longDeadline, ""), "answered", "")
	}
	if failing.requests.Load() == 0 {
		t.Fatal("the failing endpoint was not tried")
	}
	update(3, failing.route("f", 100, 1))
	for range 40 {
		h.call("k", "x", true, longDeadline, "")
	}
	if retries := failing.requests.Load() + healthy.requests.Load() - 143; retries > 11 {
		t.Errorf("%d retries after 103 successes", retries)
	}
}

// Checks that calls are counted correctly when the counters of several gateways are merged, as burn reports do.
func TestCountersMerge(t *testing.T) {
	l, e := newFakeLedger(), newFakeEndpoint(t)
	a, b := newHarness(t, l, "a", nil), newHarness(t, l, "b", nil)
	for i, h := range []*harness{a, b} {
		h.setRoutes(0, e.route("e", 1, uint64(i+1)))
		h.call(h.newKey(), "x", true, longDeadline, "")
	}
	b.clock.Advance(time.Minute)
	b.setRoutes(0, e.route("e", 0, 9))
	b.call(b.newKey(), "x", true, longDeadline, "")
	merged, err := gateway.Merge(a.gateway.Minutes(), b.gateway.Minutes())
	if err != nil {
		t.Fatal(err)
	}
	if len(merged) != 2 || merged[0].Answered != 2 || merged[0].Zones[0].Answered != 2 || merged[0].Zones[0].Zone != "swakop" || merged[1].Shed != 1 {
		t.Errorf("merged counters %+v", merged)
	}
}
