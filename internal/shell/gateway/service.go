package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/admission"
	"galenamoor/internal/decision/outlier"
	"galenamoor/internal/decision/retry"
	"galenamoor/internal/decision/routing"
)

// idleTimeout is the time after which an idle connection is closed.
const idleTimeout = 30 * time.Second

// service holds the state of one service: routing, admission, retry budget, outlier detection, connections and counters.
type service struct {
	gateway  *Gateway
	name     string
	counters *counters
	version  atomic.Uint64 // of the current table; avoids locking mu when it is unchanged

	mu         sync.Mutex
	picker     *routing.Picker
	limiter    *admission.Limiter
	budget     *retry.Budget
	detector   *outlier.Detector
	idlePools  map[*routing.Target]*idlePool
	active     []*connection
	peakQueued int // maximum queue length since the last report
}

// idlePool holds the idle connections to one endpoint, the most recently used one last.
type idlePool struct {
	idle []*connection
}

// acquiredSlot is a slot acquired for one attempt, or the reason why none was acquired.
type acquiredSlot struct {
	target     *routing.Target
	version    uint64      // of the routing table when the slot was acquired
	connection *connection // an idle connection to reuse, or nil
	rejection  admission.Reason
}

// waiter is a queued call.
type waiter struct {
	admission.Waiter
	avoid *routing.Target
	ready chan acquiredSlot
}

func newService(g *Gateway, name string, random *rand.Rand, chooser routing.Chooser) *service {
	return &service{
		gateway: g, name: name, counters: newCounters(),
		picker:    routing.New(g.Zone, random, chooser),
		limiter:   admission.New(0),
		budget:    retry.New(random),
		detector:  outlier.New(),
		idlePools: map[*routing.Target]*idlePool{},
	}
}

func (s *service) update(version uint64, r ServiceRoutes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := map[string]bool{}
	for _, t := range s.picker.Targets() {
		removed[t.Name] = true
	}
	if !s.picker.Update(routing.Table{Version: version, Endpoints: r.Endpoints}) {
		return
	}
	s.version.Store(version)
	s.limiter.SetCapacity(r.Queue)
	for _, t := range s.picker.Targets() {
		s.detector.Add(t.Name)
		delete(removed, t.Name)
	}
	for name := range removed {
		s.detector.Remove(name)
	}
	s.closeExcessIdle()
	s.serveQueue(s.gateway.Clock.Now())
}

// closeExcessIdle closes idle connections that exceed the granted slots, and all idle connections to removed endpoints.
func (s *service) closeExcessIdle() {
	for t, p := range s.idlePools {
		keep := max(0, t.Slots-t.InUse)
		if !t.Listed {
			keep = 0
		}
		for len(p.idle) > keep {
			p.idle[0].close()
			p.idle = p.idle[1:]
		}
		if !t.Listed && len(p.idle) == 0 {
			delete(s.idlePools, t)
		}
	}
}

func (s *service) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.idlePools {
		for _, c := range p.idle {
			c.close()
		}
		p.idle = nil
	}
}

// tick ends expired quarantines and ejections and closes connections that were idle for idleTimeout. If abort is set, it
// also closes the connections in use.
func (s *service) tick(now time.Time, abort bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.picker.Expire(now) {
		s.closeExcessIdle()
		s.serveQueue(now)
	}
	for _, p := range s.idlePools {
		for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > idleTimeout {
			p.idle[0].close()
			p.idle = p.idle[1:]
		}
	}
	if abort {
		for _, c := range s.active {
			c.close()
		}
	}
}

// report appends the use of each endpoint to out, and resets the peaks of slots in use and queued calls.
func (s *service) report(out []*controlpb.SlotUse) []*controlpb.SlotUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeExcessIdle()
	queued := max(s.peakQueued, s.limiter.Waiting())
	s.peakQueued = s.limiter.Waiting()
	for _, t := range s.picker.Targets() {
		out = append(out, &controlpb.SlotUse{
			Endpoint: t.Name, Incarnation: t.Incarnation,
			InUse: int32(t.InUse), Demand: int32(t.ResetPeakInUse() + queued), Epoch: t.AcknowledgedEpoch(),
		})
		queued = 0 // the queue is per service: reported with the first endpoint only
	}
	return out
}

// acquire acquires a slot. If none is free, it queues the call until its deadline.
func (s *service) acquire(class admission.Class, deadline time.Time, avoid *routing.Target) acquiredSlot {
	now := s.gateway.Clock.Now()
	s.mu.Lock()
	if s.limiter.Waiting() == 0 && s.picker.HasFreeSlot() {
		if reason := s.limiter.Admit(now, deadline); reason != admission.None {
			s.mu.Unlock()
			return acquiredSlot{rejection: reason}
		}
		acquired := s.takeSlot(now, avoid)
		s.mu.Unlock()
		return acquired
	}
	w := &waiter{Waiter: admission.Waiter{Class: class, Deadline: deadline}, avoid: avoid, ready: make(chan acquiredSlot, 1)}
	w.Value = w
	rejection, displaced := s.limiter.Enqueue(now, &w.Waiter, s.picker.GrantedSlots())
	if displaced != nil {
		displaced.Value.(*waiter).ready <- acquiredSlot{rejection: admission.Shed}
	}
	s.peakQueued = max(s.peakQueued, s.limiter.Waiting())
	s.mu.Unlock()
	if rejection != admission.None {
		return acquiredSlot{rejection: rejection}
	}
	return s.wait(w, deadline.Sub(now))
}

// wait waits until the queued call gets a slot, is removed from the queue, or the timeout elapses.
func (s *service) wait(w *waiter, timeout time.Duration) acquiredSlot {
	timer := s.gateway.Clock.NewTimer(timeout)
	defer timer.Stop()
	select {
	case acquired := <-w.ready:
		return acquired
	case <-timer.Chan():
	}
	s.mu.Lock()
	waiting := s.limiter.Remove(&w.Waiter)
	s.mu.Unlock()
	if waiting {
		return acquiredSlot{rejection: admission.DeadlineCannotBeMet}
	}
	return <-w.ready
}

// takeSlot takes a free slot and an idle connection, if there is one. The caller holds the lock.
func (s *service) takeSlot(now time.Time, avoid *routing.Target) acquiredSlot {
	t := s.picker.Pick(now, avoid)
	acquired := acquiredSlot{target: t, version: s.picker.Version()}
	if p := s.idlePools[t]; p != nil && len(p.idle) > 0 {
		last := len(p.idle) - 1
		acquired.connection, p.idle[last] = p.idle[last], nil
		p.idle = p.idle[:last]
		s.registerActiveLocked(acquired.connection)
	}
	return acquired
}

// serveQueue assigns free slots to queued calls. The caller holds the lock.
func (s *service) serveQueue(now time.Time) {
	for s.limiter.Waiting() > 0 && s.picker.HasFreeSlot() {
		next, expired := s.limiter.Next(now)
		switch {
		case expired != nil:
			expired.Value.(*waiter).ready <- acquiredSlot{rejection: admission.DeadlineCannotBeMet}
		case next != nil:
			w := next.Value.(*waiter)
			w.ready <- s.takeSlot(now, w.avoid)
		}
	}
}

// acceptsDispatch reports whether the endpoint of the slot still accepts new calls.
func (s *service) acceptsDispatch(acquired acquiredSlot) bool {
	if acquired.version == s.version.Load() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.AcceptsCalls(acquired.target)
}

// registerActive registers a connection in use, so that tick can close it if the leader stays unreachable.
func (s *service) registerActive(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registerActiveLocked(c)
}

func (s *service) registerActiveLocked(c *connection) {
	c.index = len(s.active)
	s.active = append(s.active, c)
}

// discard closes a connection that was taken from the idle pool but is no longer usable.
func (s *service) discard(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unregisterActive(c)
	c.close()
}

func (s *service) unregisterActive(c *connection) {
	last := len(s.active) - 1
	s.active[c.index] = s.active[last]
	s.active[c.index].index = c.index
	s.active[last] = nil
	s.active = s.active[:last]
}

// releaseAnswered releases the slot of a call with a complete response, and returns the connection to the pool if the
// grant allows it.
func (s *service) releaseAnswered(now time.Time, t *routing.Target, c *connection, latency time.Duration, failure bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unregisterActive(c)
	if failure {
		s.recordFailure(now, t)
		s.picker.Release(t)
	} else {
		s.picker.Answered(now, t, latency)
		s.limiter.ObserveServiceTime(now, latency)
		s.budget.Success(now)
		if until, ejected := s.detector.Success(now, t.Name, latency); ejected {
			s.eject(t, until, "slow")
		}
	}
	s.putIdle(now, t, c)
	s.serveQueue(now)
}

// putIdle returns a connection to the pool, or closes it if it is not reusable or exceeds the grant. The caller holds the
// lock.
func (s *service) putIdle(now time.Time, t *routing.Target, c *connection) {
	p := s.idlePools[t]
	if p == nil {
		p = &idlePool{}
		s.idlePools[t] = p
	}
	if !c.reusable || c.closed.Load() || !t.Listed || t.InUse+len(p.idle) >= t.Slots || s.gateway.draining.Load() {
		c.close()
		return
	}
	c.idleSince = now
	p.idle = append(p.idle, c)
}

// releaseUndispatched releases the slot of a call that definitely did not reach the endpoint.
func (s *service) releaseUndispatched(now time.Time, t *routing.Target, c *connection, failure bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if failure {
		s.recordFailure(now, t)
	}
	s.picker.Release(t)
	if c != nil {
		s.unregisterActive(c)
		s.putIdle(now, t, c)
	}
	s.serveQueue(now)
}

// quarantine closes the connection of a call that got no complete response and quarantines its slot, because the work may
// still be running.
func (s *service) quarantine(now time.Time, t *routing.Target, c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unregisterActive(c)
	c.close()
	s.picker.QuarantineSlot(now, t)
	s.recordFailure(now, t)
}

// recordOverdue records that a call had no response by its caller's deadline.
func (s *service) recordOverdue(now time.Time, t *routing.Target, waited time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.ObserveWaiting(now, t, waited)
}

func (s *service) recordFailure(now time.Time, t *routing.Target) {
	if until, ejected := s.detector.Failure(now, t.Name); ejected {
		s.eject(t, until, "failing")
	}
}

func (s *service) eject(t *routing.Target, until time.Time, cause string) {
	s.picker.Eject(t, until)
	s.gateway.Log.Info("endpoint ejected", "Service", s.name, "Endpoint", t.Name, "Until", until, "Why", cause)
}

// reserveRetry takes a retry from the budget. It returns the backoff before the retry, or false if the budget or the
// maximum number of retries is exhausted.
func (s *service) reserveRetry(now time.Time, retries int) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if retries > retry.MaxRetries || !s.budget.TryRetry(now) {
		return 0, false
	}
	return s.budget.Backoff(retries), true
}
