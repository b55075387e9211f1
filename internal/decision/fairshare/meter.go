// Package fairshare compares the submissions of client accounts with their shares, by a generic cell rate algorithm: the weight of an account
// is the number of jobs a second that belong to it.
package fairshare

import (
	"maps"
	"time"
)

const (
	// burstTime is the time for which an account may be ahead of its share, and burstJobs the number of jobs by which it may be at least.
	burstTime = 3 * time.Second
	burstJobs = 4

	// maxExcess bounds the excess of a job, so that a flood is forgotten that long after its end.
	maxExcess = time.Minute

	// minPruned is the number of accounts from which those are dropped that are within their shares.
	minPruned = 64
)

// Meter knows by how much each account is ahead of its share. It isn't safe for concurrent use.
type Meter struct {
	clocks  map[string]*clock
	pruneAt int
}

// clock holds by when the jobs of an account would have arrived at its rate.
type clock struct {
	within time.Time // those within its share
	excess time.Time // those in excess
}

// New returns a meter for which all accounts are within their shares.
func New() *Meter { return &Meter{clocks: map[string]*clock{}, pruneAt: minPruned} }

// Accept counts a job of an account of the given weight, in jobs a second, and returns by how much the account is ahead of its share, 0 if the
// job is within it. Jobs in excess take nothing of the share.
func (m *Meter) Accept(account string, weight float64, at time.Time) time.Duration {
	c, interval := m.clock(account, at), intervalOf(weight)
	burst := max(burstTime, burstJobs*interval)
	c.within, c.excess = earlier(c.within, at.Add(burst+interval)), earlier(c.excess, at.Add(maxExcess)) // the clock may have been set back
	if !c.within.After(at.Add(burst)) {
		c.within = later(c.within, at).Add(interval)
		return 0
	}
	c.excess = earlier(later(c.excess, at).Add(interval), at.Add(maxExcess))
	return c.excess.Sub(at)
}

// Restore counts a job for which Accept had returned an excess. Jobs have to be restored in the order in which they were accepted.
func (m *Meter) Restore(account string, weight float64, at time.Time, excess time.Duration) {
	c := m.clock(account, at)
	if excess > 0 {
		c.excess = later(c.excess, at.Add(excess))
		return
	}
	c.within = later(c.within, at).Add(intervalOf(weight))
}

// clock returns the clock of an account, and drops those of accounts that are within their shares once there are many.
func (m *Meter) clock(account string, now time.Time) *clock {
	c := m.clocks[account]
	if c != nil {
		return c
	}
	if len(m.clocks) >= m.pruneAt {
		maps.DeleteFunc(m.clocks, func(_ string, c *clock) bool { return !c.within.After(now) && !c.excess.After(now) })
		m.pruneAt = max(minPruned, 2*len(m.clocks))
	}
	c = &clock{}
	m.clocks[account] = c
	return c
}

// intervalOf returns the time between two jobs at a rate of jobs a second, from a millisecond to an hour.
func intervalOf(weight float64) time.Duration {
	return time.Duration(min(max(float64(time.Second)/weight, float64(time.Millisecond)), float64(time.Hour)))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
