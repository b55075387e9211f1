// Package burn counts calls and batch jobs by whether they met their service level objectives, and reports the burn rate of the
// error budget.
package burn

import (
	"cmp"
	"slices"
	"time"
)

// Resolution and retention of samples.
const (
	minutesPerHour = 60
	// FineRetention is how long samples are kept per minute; older ones are kept per hour.
	FineRetention = 6 * time.Hour
	// Retention is how long samples are kept at all: the longest window plus the hour in which it begins.
	Retention = 73 * time.Hour
)

// Sample counts one service's calls in one zone during one minute or one hour.
type Sample struct {
	Service  string
	Zone     string // zone of the endpoint that answered; empty if none did
	Begin    int64  // minutes since the Unix epoch
	Span     int64  // minutes: 1 or 60
	Requests int64
	Good     int64 // answered within the latency bound that applied at the time
	Slow     int64 // answered after the bound
	NotRun   int64 // certainly not run, without Shed
	Shed     int64 // refused by admission control
	Unknown  int64 // may have run, but no answer arrived
}

// key identifies a sample.
type key struct {
	service string
	zone    string
	begin   int64
	span    int64
}

func (s Sample) key() key {
	return key{s.Service, s.Zone, s.Begin, s.Span}
}

func (s *Sample) add(o Sample) {
	s.Requests += o.Requests
	s.Good += o.Good
	s.Slow += o.Slow
	s.NotRun += o.NotRun
	s.Shed += o.Shed
	s.Unknown += o.Unknown
}

// Ledger holds the samples of one host, or the merged samples of several. It is not safe for concurrent use.
type Ledger struct {
	samples map[key]Sample
}

// New returns an empty Ledger.
func New() *Ledger {
	return &Ledger{samples: map[key]Sample{}}
}

// Put replaces the sample with the same service, zone and time span. The sample of an unfinished minute is put again when the
// minute is over.
func (l *Ledger) Put(s Sample) {
	l.samples[s.key()] = s
}

// Add adds the counts to the sample with the same service, zone and time span.
func (l *Ledger) Add(s Sample) {
	sum, ok := l.samples[s.key()]
	if !ok {
		l.samples[s.key()] = s
		return
	}
	sum.add(s)
	l.samples[s.key()] = sum
}

// Merge adds the samples of another host.
func (l *Ledger) Merge(samples []Sample) {
	for _, s := range samples {
		l.Add(s)
	}
}

// Compact merges minutes older than FineRetention into hours and drops samples older than Retention.
func (l *Ledger) Compact(now time.Time) {
	fine := now.Add(-FineRetention).Unix() / 60
	oldest := now.Add(-Retention).Unix() / 60
	// Only whole hours are merged, so that no hour is split between an hourly sample and minutes.
	fine -= fine % minutesPerHour
	for k, s := range l.samples {
		switch {
		case s.Begin+s.Span <= oldest:
			delete(l.samples, k)
		case s.Span == 1 && s.Begin < fine:
			delete(l.samples, k)
			s.Begin -= s.Begin % minutesPerHour
			s.Span = minutesPerHour
			l.Add(s)
		}
	}
}

// Samples returns all samples, sorted by service, time and zone.
func (l *Ledger) Samples() []Sample {
	all := make([]Sample, 0, len(l.samples))
	for _, s := range l.samples {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Sample) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Begin, b.Begin), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Span, b.Span))
	})
	return all
}
