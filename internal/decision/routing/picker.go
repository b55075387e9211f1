// Package routing selects an endpoint for each call of a gateway by expected latency and accounts for the slots in use.
package routing

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// QuarantineTime is how long a slot stays in use after the connection of an unanswered call has closed, because the
// endpoint may still be processing that call.
const QuarantineTime = 10 * time.Second

const (
	// latencyWeight is the weight of a new measurement in the exponentially weighted moving average of the latency.
	latencyWeight = 0.2
	// latencyMaxAge is the age at which a measured latency has decayed to the service's mean, so that slow endpoints are
	// tried again.
	latencyMaxAge = 10 * time.Second
	// unmeasuredFactor is the fraction of the mean latency expected of an endpoint without measurements, so that it is tried
	// soon.
	unmeasuredFactor = 0.5
	// tieTolerance is the relative difference below which expected latencies are considered equal.
	tieTolerance = 0.1
)

// Endpoint is an endpoint in the routing table of one gateway.
type Endpoint struct {
	Name        string
	Incarnation uint64
	Address     netip.AddrPort
	Zone        string
	Unavailable bool   // takes no new calls: it is leaving, has no slots, or its zone is out of service
	Slots       int    // granted to this gateway
	Epoch       uint64 // of the grant
}

// Table is one immutable version of the routing table of a service.
type Table struct {
	Version   uint64
	Endpoints []Endpoint
}

// Target is one incarnation of an endpoint with the accounting of its slots. Access to its fields needs the same
// synchronization as access to the Picker.
type Target struct {
	Endpoint
	InUse       int // slots in use, including quarantined ones
	Quarantined int
	PeakInUse   int  // largest InUse since the last ResetPeakInUse
	Listed      bool // whether it is in the current table

	latency        float64 // exponentially weighted moving average, in nanoseconds
	measuredAt     int64   // time of the last measurement in Unix nanoseconds, or 0 if there is none
	ejectedUntil   time.Time
	probing        bool        // after an ejection: limited to one call at a time until one is answered
	candidateIndex int         // index in candidates, or -1
	quarantineEnds []time.Time // when the quarantined slots become free, in ascending order
}

// Chooser is a load balancing policy. Choose returns the index of one of the candidates, each of which has a free slot.
type Chooser interface {
	Choose(now time.Time, p *Picker, candidates []*Target) int
}

// Picker balances the calls of one service at one gateway over its endpoints. It is not safe for concurrent use.
type Picker struct {
	zone         string
	random       *rand.Rand
	chooser      Chooser
	version      uint64
	targets      map[targetKey]*Target
	order        []*Target // listed targets in table order, then unlisted ones by name and incarnation
	candidates   []*Target // targets that can take a call
	expiring     []*Target // targets that are ejected or have quarantined slots; checked by Expire
	meanLatency  float64   // moving average of the latency over all endpoints, in nanoseconds
	grantedSlots int       // slots at listed endpoints that take new calls
}

type targetKey struct {
	name        string
	incarnation uint64
}

// New returns a Picker for a gateway in the given zone. A nil chooser selects LowestLatency.
func New(zone string, random *rand.Rand, chooser Chooser) *Picker {
	if chooser == nil {
		chooser = LowestLatency{}
	}
	return &Picker{zone: zone, random: random, chooser: chooser, targets: map[targetKey]*Target{}}
}

// Update installs the table if it is newer than the current one and reports whether it did. Slots in use at endpoints
// that are no longer listed remain accounted for until they are freed.
func (p *Picker) Update(table Table) bool {
	if table.Version <= p.version {
		return false
	}
	p.version = table.Version
	for _, t := range p.targets {
		t.Listed = false
	}
	p.order, p.grantedSlots = p.order[:0], 0
	for _, e := range table.Endpoints {
		k := targetKey{e.Name, e.Incarnation}
		t := p.targets[k]
		if t == nil {
			t = &Target{candidateIndex: -1}
			p.targets[k] = t
		}
		t.Endpoint, t.Listed = e, true
		p.order = append(p.order, t)
		if !e.Unavailable {
			p.grantedSlots += e.Slots
		}
	}
	for k, t := range p.targets {
		if t.Listed {
			continue
		}
		t.Slots = 0
		if t.InUse == 0 {
			delete(p.targets, k)
			p.updateCandidate(t)
		} else {
			p.order = append(p.order, t)
		}
	}
	listed := len(table.Endpoints)
	slices.SortFunc(p.order[listed:], func(a, b *Target) int {
		if a.Name != b.Name {
			return compare(a.Name, b.Name)
		}
		return compare(a.Incarnation, b.Incarnation)
	})
	for _, t := range p.order {
		p.updateCandidate(t)
	}
	return true
}

func compare[T string | uint64](a, b T) int {
	if a < b {
		return -1
	}
	return 1
}

// Version returns the version of the current table.
func (p *Picker) Version() uint64 {
	return p.version
}

// GrantedSlots returns the number of slots granted to this gateway at endpoints that take new calls.
func (p *Picker) GrantedSlots() int {
	return p.grantedSlots
}

// HasFreeSlot reports whether any endpoint has a free slot.
func (p *Picker) HasFreeSlot() bool {
	return len(p.candidates) > 0
}

// Targets returns the listed endpoints and the unlisted ones with slots in use. The slice is valid until the next Update.
func (p *Picker) Targets() []*Target {
	return p.order
}

// Pick takes a slot at an endpoint selected by the Chooser and returns it, or nil if no slot is free. A retry passes the
// endpoint of the failed attempt as avoid; it is selected only if there is no other candidate.
func (p *Picker) Pick(now time.Time, avoid *Target) *Target {
	if len(p.candidates) == 0 {
		return nil
	}
	candidates := p.candidates
	if avoid != nil && avoid.candidateIndex >= 0 && len(candidates) > 1 {
		last := len(candidates) - 1
		p.swapCandidates(avoid.candidateIndex, last)
		candidates = candidates[:last]
	}
	t := candidates[p.chooser.Choose(now, p, candidates)]
	t.InUse++
	t.PeakInUse = max(t.PeakInUse, t.InUse)
	p.updateCandidate(t)
	return t
}

// AcceptsCalls reports whether a call for which a slot was taken may still be dispatched to the endpoint.
func (p *Picker) AcceptsCalls(t *Target) bool {
	return t.Listed && !t.Unavailable
}

// Answered frees the slot of an answered call and records its latency. For an answer that came too late for its caller,
// the latency is the time waited so far, which is a lower bound.
func (p *Picker) Answered(now time.Time, t *Target, latency time.Duration) {
	p.recordLatency(now, t, latency)
	t.probing = false
	p.release(t)
}

// Release frees the slot of a call that was certainly not dispatched, and records no latency.
func (p *Picker) Release(t *Target) {
	p.release(t)
}

// QuarantineSlot quarantines the slot of a call whose connection closed without an answer: it stays in use for QuarantineTime.
func (p *Picker) QuarantineSlot(now time.Time, t *Target) {
	t.Quarantined++
	t.quarantineEnds = append(t.quarantineEnds, now.Add(QuarantineTime))
	p.watchExpiry(t)
}

// ObserveWaiting records that a dispatched call is still unanswered after the given time, which is a lower bound of its
// latency.
func (p *Picker) ObserveWaiting(now time.Time, t *Target, waited time.Duration) {
	if float64(waited) > t.latency {
		p.recordLatency(now, t, waited)
	}
}

// Eject excludes the endpoint from selection until the given time. After that it is probed with one call at a time until
// one is answered.
func (p *Picker) Eject(t *Target, until time.Time) {
	t.ejectedUntil, t.probing, t.latency, t.measuredAt = until, true, 0, 0
	p.watchExpiry(t)
	p.updateCandidate(t)
}

// Expire frees the slots whose quarantine is over and ends the ejections that are due. It reports whether anything
// changed.
func (p *Picker) Expire(now time.Time) bool {
	changed := false
	remaining := p.expiring[:0]
	for _, t := range p.expiring {
		for len(t.quarantineEnds) > 0 && !now.Before(t.quarantineEnds[0]) {
			t.quarantineEnds = t.quarantineEnds[1:]
			t.Quarantined--
			p.release(t)
			changed = true
		}
		if !t.ejectedUntil.IsZero() && !now.Before(t.ejectedUntil) {
			t.ejectedUntil = time.Time{}
			p.updateCandidate(t)
			changed = true
		}
		if len(t.quarantineEnds) > 0 || !t.ejectedUntil.IsZero() {
			remaining = append(remaining, t)
		}
	}
	p.expiring = remaining
	return changed
}

// ResetPeakInUse returns the largest number of slots in use since the previous call and resets it to the current number.
func (t *Target) ResetPeakInUse() int {
	peak := t.PeakInUse
	t.PeakInUse = t.InUse
	return peak
}

// AcknowledgedEpoch returns the epoch of the grant, or 0 if more slots are in use than it allows or the endpoint is unlisted.
// A nonzero epoch tells the leader that a lowered grant has taken effect.
func (t *Target) AcknowledgedEpoch() uint64 {
	if t.InUse > t.Slots || !t.Listed {
		return 0
	}
	return t.Epoch
}

// expectedLatency returns the expected latency of one more call at the endpoint, in nanoseconds: its moving average,
// decayed towards the mean of the service and scaled up by the fraction of slots in use.
func (p *Picker) expectedLatency(now int64, t *Target) float64 {
	latency := p.meanLatency
	if t.measuredAt == 0 {
		latency *= unmeasuredFactor
	} else if age := now - t.measuredAt; age < int64(latencyMaxAge) {
		latency += (t.latency - p.meanLatency) * (1 - float64(age)/float64(latencyMaxAge))
	}
	if t.InUse == 0 {
		return latency
	}
	return latency * (1 + float64(t.InUse)/float64(max(1, t.Slots)))
}

func (p *Picker) recordLatency(now time.Time, t *Target, latency time.Duration) {
	value := float64(latency)
	if t.measuredAt == 0 {
		t.latency = value
	}
	t.latency += latencyWeight * (value - t.latency)
	t.measuredAt = now.UnixNano()
	if p.meanLatency == 0 {
		p.meanLatency = value
	}
	p.meanLatency += 0.01 * (value - p.meanLatency)
}

func (p *Picker) watchExpiry(t *Target) {
	if !slices.Contains(p.expiring, t) {
		p.expiring = append(p.expiring, t)
	}
}

func (p *Picker) release(t *Target) {
	t.InUse--
	if t.InUse == 0 && !t.Listed {
		delete(p.targets, targetKey{t.Name, t.Incarnation})
		p.order = slices.DeleteFunc(p.order, func(o *Target) bool { return o == t })
	}
	p.updateCandidate(t)
}

// updateCandidate adds the target to the candidates or removes it, depending on whether it can take a call.
func (p *Picker) updateCandidate(t *Target) {
	slots := t.Slots
	if t.probing {
		slots = min(slots, 1)
	}
	available := p.AcceptsCalls(t) && t.InUse < slots && t.ejectedUntil.IsZero()
	switch {
	case available && t.candidateIndex < 0:
		t.candidateIndex = len(p.candidates)
		p.candidates = append(p.candidates, t)
	case !available && t.candidateIndex >= 0:
		last := len(p.candidates) - 1
		p.swapCandidates(t.candidateIndex, last)
		p.candidates = p.candidates[:last]
		t.candidateIndex = -1
	}
}

func (p *Picker) swapCandidates(i, j int) {
	c := p.candidates
	c[i], c[j] = c[j], c[i]
	c[i].candidateIndex, c[j].candidateIndex = i, j
}
