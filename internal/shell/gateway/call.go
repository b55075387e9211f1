package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/admission"
	"galenamoor/internal/decision/routing"
)

// Headers of requests and responses.
const (
	headerKey        = "Galenamoor-Request-Key"
	headerDeadline   = "Galenamoor-Deadline"
	headerRepeatable = "Galenamoor-Repeatable"
	headerClass      = "Galenamoor-Class"
	headerOutcome    = "Galenamoor-Outcome"
	headerReason     = "Galenamoor-Reason"
	headerDispatch   = "Galenamoor-Dispatch"
)

// Outcome is the outcome of a call as reported to its caller.
type Outcome string

// Outcomes of calls.
const (
	Answered Outcome = "answered" // the endpoint's complete response is returned
	NotRun   Outcome = "not-run"  // the work definitely did not run
	Unknown  Outcome = "unknown"  // the work may have run
)

// maxReroutes is the number of times that a call may pick another endpoint because the chosen one became unavailable
// before the dispatch.
const maxReroutes = 3

// call is the state of a call in progress.
type call struct {
	gateway        *Gateway
	service        *service
	request        *http.Request
	key            string
	entry          *keyEntry // nil for a repeatable call
	repeatable     bool
	class          admission.Class
	start          time.Time
	deadline       time.Time // by Gateway.Clock
	netDeadline    time.Time // deadline by the system clock, for network operations
	body           []byte
	endpointZone   string // of the endpoint that responded
	intentRecorded bool   // the intent of this call is recorded
	dispatched     bool   // an attempt may have run
}

// result is the result of a call.
type result struct {
	outcome  Outcome
	status   int
	reason   string
	response *response
}

func notRun(reason string) result {
	return result{outcome: NotRun, status: http.StatusServiceUnavailable, reason: reason}
}

func shed(reason admission.Reason) result {
	return result{outcome: NotRun, status: http.StatusTooManyRequests, reason: string(reason)}
}

func rejected(status int, reason string) result {
	return result{outcome: NotRun, status: status, reason: reason}
}

func unknown(reason string) result {
	return result{outcome: Unknown, status: http.StatusGatewayTimeout, reason: reason}
}

// dispatchPrefix returns the prefix of the dispatch IDs of one gateway incarnation. No other gateway or incarnation uses
// it.
func dispatchPrefix(name string, incarnation uint64) string {
	return name + "-" + strconv.FormatUint(incarnation, 36) + "-"
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	c := call{gateway: g, request: r, start: g.Clock.Now(), netDeadline: time.Now()}
	res, ok := c.parse()
	if ok {
		var pooledBuffer *[]byte
		var reserved int64
		res, pooledBuffer, reserved, ok = c.readBody(w)
		if ok {
			res = c.run()
		}
		g.bufferedBytes.Add(-reserved)
		if pooledBuffer != nil {
			bufferPool.Put(pooledBuffer)
		}
	}
	if !ok {
		closeWithUnreadBody(w, r)
	}
	if c.service != nil {
		c.service.counters.record(c.start, c.endpointZone, res, g.Clock.Since(c.start))
	}
	writeResponse(w, res)
}

// closeWithUnreadBody makes the server close the connection of a rejected call whose body was not read. Otherwise the
// server would wait for the rest of the body before it responds.
func closeWithUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	w.Header()["Connection"] = []string{"close"}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}

// unreadBodyTimeout limits the wait for the rest of a rejected call's body. A caller that has finished sending the body
// receives the response without a connection reset.
const unreadBodyTimeout = 100 * time.Millisecond

func writeResponse(w http.ResponseWriter, res result) {
	h := w.Header()
	if resp := res.response; resp != nil {
		connectionHeader := resp.header["Connection"]
		for name, values := range resp.header {
			if !unforwardedHeaders[name] && (connectionHeader == nil || !listedInConnection(connectionHeader, name)) {
				h[name] = values
			}
		}
		defer resp.release()
	}
	h[headerOutcome] = []string{string(res.outcome)}
	if res.reason != "" {
		h[headerReason] = []string{res.reason}
	}
	var body []byte
	if res.response != nil {
		body = res.response.body
	}
	if res.status != http.StatusNoContent && res.status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	if len(body) > readBufferSize {
		control := http.NewResponseController(w)
		_ = control.SetWriteDeadline(time.Now().Add(largeWriteTimeout))
		defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	}
	w.WriteHeader(res.status)
	_, _ = w.Write(body)
}

// largeWriteTimeout limits the time to write a large response to a slow caller. Small responses fit into the socket buffer.
const largeWriteTimeout = 10 * time.Second

// parse validates the request line and headers and initializes the call from them. ok is false if the call is rejected.
func (c *call) parse() (result, bool) {
	if c.request.Method != http.MethodPost {
		return rejected(http.StatusMethodNotAllowed, "MethodNotAllowed"), false
	}
	name, ok := serviceFromPath(c.request.URL.Path)
	if !ok {
		return rejected(http.StatusNotFound, "NoSuchPath"), false
	}
	if c.gateway.draining.Load() {
		return notRun("Draining"), false
	}
	if !c.gateway.fresh(c.start) {
		return notRun("Stale"), false
	}
	if c.service = (*c.gateway.services.Load())[name]; c.service == nil {
		return rejected(http.StatusNotFound, "NoSuchService"), false
	}
	timeout, err := time.ParseDuration(c.request.Header.Get(headerDeadline))
	if err != nil || timeout <= 0 || timeout > MaxDeadline {
		return rejected(http.StatusBadRequest, "BadDeadline"), false
	}
	c.deadline, c.netDeadline = c.start.Add(timeout), c.netDeadline.Add(timeout)
	switch c.request.Header.Get(headerRepeatable) {
	case "true":
		c.repeatable = true
	case "false":
	default:
		return rejected(http.StatusBadRequest, "BadRepeatable"), false
	}
	if c.class, ok = parseClass(c.request.Header.Get(headerClass)); !ok {
		return rejected(http.StatusBadRequest, "BadClass"), false
	}
	c.key = c.request.Header.Get(headerKey)
	if c.key == "" || len(c.key) > maxKeyBytes {
		return rejected(http.StatusBadRequest, "BadRequestKey"), false
	}
	if !c.repeatable {
		if reason := checkKey(c.key, c.start); reason != "" {
			return notRun(reason), false
		}
	}
	return result{}, true
}

func serviceFromPath(path string) (string, bool) {
	name, ok := strings.CutPrefix(path, "/v1/services/")
	if !ok {
		return "", false
	}
	name, ok = strings.CutSuffix(name, "/calls")
	return name, ok && name != "" && !strings.Contains(name, "/")
}

func parseClass(name string) (admission.Class, bool) {
	switch name {
	case "", "normal":
		return admission.Normal, true
	case "urgent":
		return admission.Urgent, true
	case "batch":
		return admission.Batch, true
	}
	return 0, false
}

// readBody reads the request body before the call acquires a slot, so that a slow caller doesn't hold one. ok is false if
// the call is rejected. In either case the caller of readBody has to put pooledBuffer, if not nil, back into bufferPool and
// subtract reserved from Gateway.bufferedBytes when the call has ended.
func (c *call) readBody(w http.ResponseWriter) (res result, pooledBuffer *[]byte, reserved int64, ok bool) {
	n := c.request.ContentLength
	switch {
	case n < 0:
		return rejected(http.StatusLengthRequired, "LengthRequired"), nil, 0, false
	case n > MaxBodyBytes:
		return rejected(http.StatusRequestEntityTooLarge, "BodyTooLarge"), nil, 0, false
	case n == 0:
		return result{}, nil, 0, true
	}
	if c.gateway.bufferedBytes.Add(n) > c.gateway.MaxBufferedBytes {
		return shed("Overloaded"), nil, n, false
	}
	control := http.NewResponseController(w)
	readDeadline := time.Now().Add(c.gateway.BodyTimeout)
	if c.netDeadline.Before(readDeadline) {
		readDeadline = c.netDeadline
	}
	_ = control.SetReadDeadline(readDeadline) // httptest.ResponseRecorder doesn't support it
	c.body, pooledBuffer = getBuffer(int(n))
	if _, err := io.ReadFull(c.request.Body, c.body); err != nil {
		return rejected(http.StatusRequestTimeout, "BodyIncomplete"), pooledBuffer, n, false
	}
	_ = control.SetReadDeadline(time.Time{})
	return result{}, pooledBuffer, n, true
}

// run admits and dispatches the call. The key of a non-repeatable call is checked for duplicates first.
func (c *call) run() result {
	if c.repeatable {
		return c.runWithRetries()
	}
	e, res, ok := c.gateway.keys.begin(c.key, c.start)
	if !ok {
		return res
	}
	c.entry = e
	res = c.runWithRetries()
	c.finish(res)
	return res
}

// runWithRetries dispatches the call and retries it while a retry is safe and within the retry budget.
func (c *call) runWithRetries() result {
	var avoid *routing.Target
	reroutes := 0
	for retries := 0; ; {
		acquired := c.service.acquire(c.class, c.deadline, avoid)
		if acquired.rejection != admission.None {
			return c.unknownIfDispatched(shed(acquired.rejection))
		}
		res, ok := c.prepare(acquired)
		if !ok {
			return c.unknownIfDispatched(res)
		}
		if !c.service.acceptsDispatch(acquired) {
			c.service.releaseUndispatched(c.gateway.Clock.Now(), acquired.target, acquired.connection, false)
			if reroutes++; reroutes > maxReroutes {
				return c.unknownIfDispatched(notRun("EndpointLeaving"))
			}
			continue
		}
		res, retryable := c.attempt(acquired)
		if !retryable {
			return res
		}
		retries++
		backoff, ok := c.service.reserveRetry(c.gateway.Clock.Now(), retries)
		if !ok || c.gateway.Clock.Now().Add(backoff).After(c.deadline) {
			return c.unknownIfDispatched(res)
		}
		c.gateway.Clock.Sleep(backoff)
		avoid = acquired.target
	}
}

// unknownIfDispatched turns NotRun into Unknown if an attempt of the call may have run.
func (c *call) unknownIfDispatched(res result) result {
	if c.dispatched && res.outcome == NotRun {
		return unknown(res.reason)
	}
	return res
}

// prepare records the intent of a non-repeatable call and checks freshness and deadline while the slot is held. If the
// call can't be dispatched, it releases the slot and returns the call's result and false.
func (c *call) prepare(acquired acquiredSlot) (result, bool) {
	res, ok := result{}, true
	if !c.repeatable && !c.intentRecorded {
		res, ok = c.recordIntent()
	}
	if now := c.gateway.Clock.Now(); ok && !c.gateway.fresh(now) {
		res, ok = notRun("Stale"), false
	} else if ok && !now.Before(c.deadline) {
		res, ok = shed(admission.DeadlineCannotBeMet), false
	}
	if !ok {
		c.service.releaseUndispatched(c.gateway.Clock.Now(), acquired.target, acquired.connection, false)
	}
	return res, ok
}

// headPool holds buffers for request heads.
var headPool = sync.Pool{New: func() any {
	b := make([]byte, 0, readBufferSize)
	return &b
}}

// attempt dispatches the call once and reports whether a retry is safe. If it is not retried, res is the call's result.
func (c *call) attempt(acquired acquiredSlot) (res result, retryable bool) {
	t, conn := acquired.target, acquired.connection
	if conn != nil && !conn.idleAlive() {
		c.service.discard(conn)
		conn = nil
	}
	if conn == nil {
		var err error
		if conn, err = dial(context.Background(), t.Address, c.netDeadline); err != nil {
			c.service.releaseUndispatched(c.gateway.Clock.Now(), t, nil, true)
			return c.unknownIfDispatched(notRun("EndpointUnreachable")), true
		}
		c.service.registerActive(conn)
	}
	dispatchID := c.gateway.dispatchPrefix + strconv.FormatUint(c.gateway.dispatchCount.Add(1), 36)
	sent := c.gateway.Clock.Now()
	head := headPool.Get().(*[]byte)
	*head = appendRequestHead((*head)[:0], c.request, t.Address.String(), dispatchID, c.deadline.Sub(sent), len(c.body))
	written, err := conn.send(*head, c.body, c.netDeadline)
	headPool.Put(head)
	if err != nil {
		c.service.quarantine(c.gateway.Clock.Now(), t, conn)
		if written == 0 {
			return c.unknownIfDispatched(notRun("EndpointUnreachable")), true
		}
		c.dispatched = true
		return unknown("EndpointBroken"), c.repeatable
	}
	c.dispatched = true
	if err := conn.awaitResponse(c.netDeadline); err != nil {
		if isTimeout(err) {
			c.awaitLateResponse(t, conn, dispatchID, sent)
			return unknown("DeadlineExceeded"), false
		}
		c.service.quarantine(c.gateway.Clock.Now(), t, conn)
		return unknown("EndpointBroken"), c.repeatable
	}
	resp, err := conn.readResponse(dispatchID)
	now := c.gateway.Clock.Now()
	if err != nil {
		c.service.quarantine(now, t, conn)
		return unknown("AnswerIncomplete"), c.repeatable && !isTimeout(err)
	}
	c.endpointZone = t.Zone
	c.service.releaseAnswered(now, t, conn, now.Sub(sent), resp.status >= http.StatusInternalServerError)
	return result{outcome: Answered, status: resp.status, response: resp}, false
}

// awaitLateResponse waits in the background for the response of a call whose deadline has passed. The slot is released
// once the response is complete, or quarantined if no complete one arrives within LateResponseTimeout. The late response of
// a non-repeatable call is cached for later calls with the same key.
func (c *call) awaitLateResponse(t *routing.Target, conn *connection, dispatchID string, sent time.Time) {
	g, s, e := c.gateway, c.service, c.entry
	now := g.Clock.Now()
	s.recordOverdue(now, t, now.Sub(sent))
	g.running.Add(1)
	go func() {
		defer g.running.Add(-1)
		err := conn.awaitResponse(time.Now().Add(g.LateResponseTimeout))
		var resp *response
		if err == nil {
			resp, err = conn.readResponse(dispatchID)
		}
		now := g.Clock.Now()
		if err != nil {
			s.quarantine(now, t, conn)
			return
		}
		s.releaseAnswered(now, t, conn, now.Sub(sent), resp.status >= http.StatusInternalServerError)
		if e != nil {
			g.keys.cacheResponse(e, resp)
			g.recordOutcomeAsync(e.key, controlpb.Outcome_OUTCOME_ANSWERED)
		}
		resp.release()
	}()
}
