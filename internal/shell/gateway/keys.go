package gateway

import (
	"bytes"
	"container/list"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"galenamoor/internal/controlpb"
)

const (
	// KeyRetention is the time for which request keys and responses of non-repeatable calls are kept.
	KeyRetention = 10 * time.Minute
	// keyExpiryMargin is subtracted from KeyRetention, and maxKeyClockSkew is how far a key's time may lie in the future.
	// They allow for clock skew: every gateway must reject a key before any node drops its record.
	keyExpiryMargin = 30 * time.Second
	maxKeyClockSkew = 15 * time.Second
	maxKeyBytes     = 128
	// maxKeyEntries limits the keys held by one gateway; at about 300 bytes each they take 60 MB.
	maxKeyEntries = 200_000
	// recordOutcomeTimeout is the timeout of a RecordOutcome request.
	recordOutcomeTimeout = 2 * time.Second
)

// keyState is the state of a request key at this gateway.
type keyState int

const (
	keyRunning         keyState = iota
	keyAnswered                 // the response is cached
	keyUnknown                  // may have run; no response is cached
	keyIntentUncertain          // did not run; the intent may be recorded
	keyReleasing                // did not run, but a pending release may take effect later, so the key must not run here again
)

// keyEntry holds the state of one request key. It is guarded by keyTable.mu.
type keyEntry struct {
	key           string
	createdAt     time.Time
	state         keyState
	priorIntent   bool // the intent of an earlier call with this key may be recorded
	status        int
	contentType   string
	body          []byte
	ageElement    *list.Element // in keyTable.byAge
	cachedElement *list.Element // in keyTable.cached; nil if no response is cached
}

// keyTable holds the request keys of the non-repeatable calls that this gateway accepted within KeyRetention.
type keyTable struct {
	mu             sync.Mutex
	entries        map[string]*keyEntry
	byAge          *list.List // all entries, oldest first
	cached         *list.List // entries with a cached response, oldest first
	cachedBytes    int64      // total size of the cached bodies
	maxCachedBytes int64
}

func newKeyTable(maxCachedBytes int64) *keyTable {
	return &keyTable{entries: map[string]*keyEntry{}, byAge: list.New(), cached: list.New(), maxCachedBytes: maxCachedBytes}
}

// checkKey returns the reason for rejecting the request key of a non-repeatable call, or an empty string if it is valid. A
// valid key is a time in Unix seconds, a hyphen and a random part.
func checkKey(key string, now time.Time) string {
	seconds, random, ok := strings.Cut(key, "-")
	issuedAt, err := strconv.ParseInt(seconds, 10, 64)
	if !ok || err != nil || random == "" {
		return "BadRequestKey"
	}
	age := now.Sub(time.Unix(issuedAt, 0))
	if age > KeyRetention-keyExpiryMargin {
		return "KeyExpired"
	}
	if age < -maxKeyClockSkew {
		return "KeyFromTheFuture"
	}
	return ""
}

// begin marks the key as running and returns its entry. If the call must not run, it returns the call's result and false.
func (k *keyTable) begin(key string, now time.Time) (*keyEntry, result, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e := k.entries[key]; e != nil {
		switch e.state {
		case keyIntentUncertain:
			e.state, e.priorIntent = keyRunning, true
			return e, result{}, true
		case keyAnswered:
			return nil, e.replay(), false
		case keyRunning:
			return nil, unknown("StillRunning"), false
		default:
			return nil, unknown("AnswerNotKept"), false
		}
	}
	if len(k.entries) >= maxKeyEntries {
		return nil, shed("Overloaded"), false
	}
	e := &keyEntry{key: key, createdAt: now}
	e.ageElement = k.byAge.PushBack(e)
	k.entries[key] = e
	return e, result{}, true
}

func (e *keyEntry) replay() result {
	header := http.Header{}
	if e.contentType != "" {
		header["Content-Type"] = []string{e.contentType}
	}
	return result{outcome: Answered, status: e.status, response: &response{status: e.status, header: header, body: e.body}}
}

// setState sets the state of a key, unless a late response has been cached for it meanwhile.
func (k *keyTable) setState(e *keyEntry, state keyState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e.state != keyAnswered {
		e.state = state
	}
}

// cacheResponse caches a response. If the cache is full, it evicts the oldest responses and sets their keys to keyUnknown.
func (k *keyTable) cacheResponse(e *keyEntry, resp *response) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.entries[e.key] != e || e.cachedElement != nil {
		return
	}
	e.state, e.status, e.contentType, e.body = keyAnswered, resp.status, resp.header.Get("Content-Type"), bytes.Clone(resp.body)
	k.cachedBytes += int64(len(e.body))
	e.cachedElement = k.cached.PushBack(e)
	for k.cachedBytes > k.maxCachedBytes {
		oldest := k.cached.Front().Value.(*keyEntry)
		k.evictResponse(oldest)
		oldest.state = keyUnknown
	}
}

// evictResponse removes the cached response of an entry, if any. The caller holds the lock.
func (k *keyTable) evictResponse(e *keyEntry) {
	if e.cachedElement != nil {
		k.cached.Remove(e.cachedElement)
		k.cachedBytes -= int64(len(e.body))
		e.cachedElement, e.body = nil, nil
	}
}

func (k *keyTable) remove(e *keyEntry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.removeLocked(e)
}

// removeRunning removes the key of a running call that recorded no intent. If the intent of an earlier call may be
// recorded, the entry stays as keyIntentUncertain.
func (k *keyTable) removeRunning(e *keyEntry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e.state == keyRunning && !e.priorIntent {
		k.removeLocked(e)
	} else if e.state == keyRunning {
		e.state = keyIntentUncertain
	}
}

// removeLocked removes an entry unless it was removed before. The caller holds the lock.
func (k *keyTable) removeLocked(e *keyEntry) {
	if k.entries[e.key] == e {
		delete(k.entries, e.key)
		k.byAge.Remove(e.ageElement)
		k.evictResponse(e)
	}
}

// expire removes entries older than KeyRetention. checkKey already rejects their keys by then.
func (k *keyTable) expire(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for front := k.byAge.Front(); front != nil; front = k.byAge.Front() {
		e := front.Value.(*keyEntry)
		if now.Sub(e.createdAt) <= KeyRetention || e.state == keyRunning {
			return
		}
		k.removeLocked(e)
	}
}

// fetchResponse returns the reply to another gateway that asks for the response to a key.
func (k *keyTable) fetchResponse(key string) *controlpb.FetchAnswerReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.entries[key]
	if e == nil {
		return &controlpb.FetchAnswerReply{}
	}
	switch e.state {
	case keyAnswered:
		return &controlpb.FetchAnswerReply{Known: true, Status: int32(e.status), ContentType: e.contentType, Body: e.body}
	case keyRunning:
		return &controlpb.FetchAnswerReply{Known: true, Pending: true}
	}
	return &controlpb.FetchAnswerReply{}
}

// recordIntent records the intent of the call. If the call must not be dispatched, it returns the call's result and false.
func (c *call) recordIntent() (result, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Until(c.netDeadline))
	defer cancel()
	g := c.gateway
	recorded, err := g.Ledger.RecordIntent(ctx, &controlpb.RecordIntent{
		RequestKey: c.key, Service: c.service.name, Gateway: g.Name, GatewayIncarnation: g.Incarnation,
	})
	if err != nil {
		g.keys.setState(c.entry, keyIntentUncertain)
		return notRun("LedgerUnavailable"), false
	}
	switch recorded.Code {
	case controlpb.ResultCode_RESULT_OK:
		c.intentRecorded = true
		return result{}, true
	case controlpb.ResultCode_RESULT_DUPLICATE:
		return c.resolveDuplicate(ctx, recorded)
	case controlpb.ResultCode_RESULT_KEY_EXPIRED:
		return notRun("KeyExpired"), false
	case controlpb.ResultCode_RESULT_UNKNOWN:
		g.keys.setState(c.entry, keyIntentUncertain)
		return notRun("LedgerUnavailable"), false
	default:
		return notRun("LedgerUnavailable"), false
	}
}

// resolveDuplicate handles a call whose key already has an intent. A pending intent of this gateway, left by an earlier
// call that was never dispatched, counts as this call's own: it was recorded although the confirmation was lost.
func (c *call) resolveDuplicate(ctx context.Context, recorded *controlpb.Result) (result, bool) {
	g := c.gateway
	own := recorded.Owner == g.Name && recorded.OwnerIncarnation == g.Incarnation
	if own && c.entry.priorIntent && recorded.Outcome == controlpb.Outcome_OUTCOME_PENDING {
		c.intentRecorded = true
		return result{}, true
	}
	if own {
		return unknown("AnswerNotKept"), false
	}
	reply, err := g.Ledger.FetchAnswer(ctx, recorded.Owner, &controlpb.FetchAnswerRequest{
		RequestKey: c.key, GatewayIncarnation: recorded.OwnerIncarnation,
	})
	switch {
	case err != nil:
		return unknown("OwnerUnreachable"), false
	case reply.Pending:
		return unknown("StillRunning"), false
	case !reply.Known:
		return unknown("AnswerNotKept"), false
	}
	e := keyEntry{status: int(reply.Status), contentType: reply.ContentType, body: reply.Body}
	return e.replay(), false
}

// finish updates the state of the key from the result of the call and records the outcome.
func (c *call) finish(res result) {
	g, e := c.gateway, c.entry
	if !c.intentRecorded {
		g.keys.removeRunning(e)
		return
	}
	switch res.outcome {
	case Answered:
		g.keys.cacheResponse(e, res.response)
		g.recordOutcomeAsync(e.key, controlpb.Outcome_OUTCOME_ANSWERED)
	case Unknown:
		g.keys.setState(e, keyUnknown)
		g.recordOutcomeAsync(e.key, controlpb.Outcome_OUTCOME_UNKNOWN)
	case NotRun:
		c.releaseKey()
	}
}

// releaseKey records that the call did not run, which makes the key usable again. If recording fails, the release may
// still take effect later, while a second call runs with the key; this gateway therefore doesn't run the key again.
func (c *call) releaseKey() {
	g := c.gateway
	g.keys.setState(c.entry, keyReleasing)
	ctx, cancel := context.WithTimeout(context.Background(), recordOutcomeTimeout)
	defer cancel()
	if g.Ledger.RecordOutcome(ctx, c.outcomeRecord(controlpb.Outcome_OUTCOME_NOT_RUN)) == nil {
		g.keys.remove(c.entry)
	}
}

func (c *call) outcomeRecord(o controlpb.Outcome) *controlpb.RecordOutcome {
	return c.gateway.outcomeRecord(c.key, o)
}

func (g *Gateway) outcomeRecord(key string, o controlpb.Outcome) *controlpb.RecordOutcome {
	return &controlpb.RecordOutcome{RequestKey: key, Gateway: g.Name, GatewayIncarnation: g.Incarnation, Outcome: o}
}

// recordOutcomeAsync records an outcome in the background. Losing the record is safe: the key then stays pending, and
// later calls with it get the cached response from this gateway or the outcome unknown.
func (g *Gateway) recordOutcomeAsync(key string, o controlpb.Outcome) {
	select {
	case g.outcomeSemaphore <- struct{}{}:
	default:
		return
	}
	g.running.Add(1)
	go func() {
		defer func() {
			<-g.outcomeSemaphore
			g.running.Add(-1)
		}()
		ctx, cancel := context.WithTimeout(context.Background(), recordOutcomeTimeout)
		defer cancel()
		_ = g.Ledger.RecordOutcome(ctx, g.outcomeRecord(key, o))
	}()
}
