package callmodel

import (
	"fmt"
	"math/rand/v2"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/admission"
	"galenamoor/internal/decision/outlier"
	"galenamoor/internal/decision/retry"
	"galenamoor/internal/decision/routing"
)

// gateway makes the same decisions in the same order as the production gateway.
type gateway struct {
	model      *Model
	name       string
	zone       string
	picker     *routing.Picker
	limiter    *admission.Limiter
	budget     *retry.Budget
	detector   *outlier.Detector
	peakQueued int
}

type call struct {
	admission.Waiter
	start    time.Time
	measured bool // arrived in the measured period
	done     bool // the caller has received a response
	retries  int
	avoid    *routing.Target
}

func newGateway(m *Model, i int) *gateway {
	rng := rand.New(rand.NewPCG(m.config.Seed, uint64(i)+100))
	g := &gateway{
		model: m, name: fmt.Sprintf("g%d", i), zone: fmt.Sprintf("z%d", i%zoneCount),
		limiter: admission.New(m.config.QueueLength), budget: retry.New(rng), detector: outlier.New(),
	}
	g.picker = routing.New(g.zone, rng, m.config.Chooser(m))
	for _, e := range m.orderedExecutors {
		g.detector.Add(e.name)
	}
	m.after(gatewayTickInterval, g.tick)
	return g
}

func (g *gateway) tick() {
	if g.picker.Expire(g.model.now) {
		g.serveQueue()
	}
	g.model.after(gatewayTickInterval, g.tick)
}

func (g *gateway) update(t routing.Table) {
	g.picker.Update(t)
	g.serveQueue()
}

func (g *gateway) report() *controlpb.GatewayReport {
	r := &controlpb.GatewayReport{Gateway: g.name, Incarnation: 1}
	queued := g.peakQueued
	for _, t := range g.picker.Targets() {
		r.Use = append(r.Use, &controlpb.SlotUse{
			Endpoint: t.Name, Incarnation: 1, InUse: int32(t.InUse), Demand: int32(t.ResetPeakInUse() + queued), Epoch: t.AcknowledgedEpoch(),
		})
		queued = 0
	}
	g.peakQueued = g.limiter.Waiting()
	return r
}

func (m *Model) newCall() *call {
	c := &call{start: m.now, measured: m.measuring}
	c.Class, c.Deadline, c.Value = admission.Normal, m.now.Add(m.config.Deadline), c
	if m.config.MixedClasses {
		c.Class = admission.Class(m.rng.IntN(3))
	}
	if c.measured {
		m.result.Offered++
		if c.Class == admission.Urgent {
			m.result.Urgent++
		}
	}
	return c
}

// call admits a new or retried call: it dispatches, queues or refuses it.
func (g *gateway) call(c *call) {
	now := g.model.now
	if g.limiter.Waiting() == 0 && g.picker.HasFreeSlot() {
		if g.limiter.Admit(now, c.Deadline) != admission.None {
			g.refuse(c)
			return
		}
		g.dispatch(c, g.picker.Pick(now, c.avoid))
		return
	}
	refused, shed := g.limiter.Enqueue(now, &c.Waiter, g.picker.GrantedSlots())
	if shed != nil {
		g.refuse(shed.Value.(*call))
	}
	if refused != admission.None {
		g.refuse(c)
		return
	}
	g.peakQueued = max(g.peakQueued, g.limiter.Waiting())
	g.model.after(c.Deadline.Sub(now), func() {
		if g.limiter.Remove(&c.Waiter) {
			g.refuse(c)
		}
	})
}

func (g *gateway) serveQueue() {
	for g.limiter.Waiting() > 0 && g.picker.HasFreeSlot() {
		next, late := g.limiter.Next(g.model.now)
		if late != nil {
			g.refuse(late.Value.(*call))
		} else if next != nil {
			c := next.Value.(*call)
			g.dispatch(c, g.picker.Pick(g.model.now, c.avoid))
		}
	}
}

func (g *gateway) refuse(c *call) {
	if !c.done && c.measured {
		if c.retries > 0 {
			g.model.result.Failed++
		} else {
			g.model.result.Refused++
		}
	}
	c.done = true
}

// dispatch sends a call to an executor. The response or the connection failure arrives after the network delay.
func (g *gateway) dispatch(c *call, t *routing.Target) {
	m, e := g.model, g.model.executors[t.Name]
	sent, delay := m.now, m.delay(g, g.model.executors[t.Name])
	switch {
	case e.lost && m.config.ZoneHangs:
		g.hang(c, t)
	case e.lost:
		m.after(2*delay, func() { g.notDispatched(c, t) })
		return
	default:
		g.arrive(c, t, e, sent, delay)
	}
	m.after(c.Deadline.Sub(m.now), func() { g.deadlineExceeded(c, t, m.now.Sub(sent)) })
}

// hang fails a call without a response at lateResponseTimeout after its deadline.
func (g *gateway) hang(c *call, t *routing.Target) {
	g.model.after(max(0, c.Deadline.Sub(g.model.now))+lateResponseTimeout, func() { g.connectionFailed(c, t) })
}

func (g *gateway) arrive(c *call, t *routing.Target, e *executor, sent time.Time, delay time.Duration) {
	m := g.model
	m.after(delay, func() {
		if c.measured {
			m.result.Dispatched++
		}
		e.inUse++
		if e.failing {
			e.inUse--
			m.after(delay, func() { g.connectionFailed(c, t) })
			return
		}
		m.after(m.serviceTime(e), func() {
			e.inUse--
			m.after(delay, func() {
				switch {
				case e.lost && m.config.ZoneHangs:
					g.hang(c, t)
				case e.lost:
					g.connectionFailed(c, t)
				default:
					g.answered(c, t, e, m.now.Sub(sent))
				}
			})
		})
	})
}

func (g *gateway) deadlineExceeded(c *call, t *routing.Target, waited time.Duration) {
	if c.done {
		return
	}
	c.done = true
	g.picker.ObserveWaiting(g.model.now, t, waited)
	if c.measured {
		g.model.result.Late++
	}
}

func (g *gateway) answered(c *call, t *routing.Target, e *executor, latency time.Duration) {
	now := g.model.now
	e.latency += 0.2 * (float64(latency) - e.latency)
	g.picker.Answered(now, t, latency)
	g.limiter.ObserveServiceTime(now, latency)
	g.budget.Success(now)
	if until, ejected := g.detector.Success(now, t.Name, latency); ejected {
		g.picker.Eject(t, until)
	}
	if c.measured {
		_ = g.model.result.Latency.RecordValue(max(1, now.Sub(c.start).Microseconds()))
		if !c.done {
			g.model.result.Good++
			if c.Class == admission.Urgent {
				g.model.result.GoodUrgent++
			}
		}
	}
	c.done = true
	g.serveQueue()
}

func (g *gateway) connectionFailed(c *call, t *routing.Target) {
	g.picker.QuarantineSlot(g.model.now, t)
	g.failed(c, t)
}

func (g *gateway) notDispatched(c *call, t *routing.Target) {
	g.picker.Release(t)
	g.failed(c, t)
	g.serveQueue()
}

func (g *gateway) failed(c *call, t *routing.Target) {
	now := g.model.now
	if until, ejected := g.detector.Failure(now, t.Name); ejected {
		g.picker.Eject(t, until)
	}
	if c.done {
		return
	}
	c.retries++
	c.avoid = t
	if c.retries <= retry.MaxRetries && g.budget.TryRetry(now) {
		g.model.after(g.budget.Backoff(c.retries), func() {
			if !c.done {
				g.call(c)
			}
		})
		return
	}
	c.done = true
	if c.measured {
		g.model.result.Failed++
	}
}
