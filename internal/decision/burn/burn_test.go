package burn

import (
	"math"
	"testing"
	"time"

	"galenamoor/pkg/rules"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func newSample(ago time.Duration, zone string, good, slow int64) Sample {
	return Sample{
		Service: "waiver", Zone: zone, Begin: noon.Add(-ago).Unix() / 60, Span: 1,
		Requests: good + slow, Good: good, Slow: slow,
	}
}

var objectives = &rules.Rules{Services: []rules.Service{{Name: "waiver", Bound: 250 * time.Millisecond, Share: 99_000}}}

// TestReport guards against windows that count samples outside their period, and against a burn rate that is not relative to the
// objective.
func TestReport(t *testing.T) {
	l := New()
	l.Add(newSample(2*time.Minute, "swakop", 98, 2))
	l.Add(newSample(30*time.Minute, "walvis", 90, 10))
	l.Add(newSample(30*time.Minute, "swakop", 100, 0))
	l.Add(newSample(100*time.Hour, "swakop", 0, 1000))
	service := l.Report(noon, objectives, nil).Services[0]

	fiveMinutes, hour := service.Windows[0], service.Windows[1]
	if fiveMinutes.Requests != 100 || math.Abs(fiveMinutes.BurnRate-2) > 1e-9 || math.Abs(fiveMinutes.BudgetLeft+1) > 1e-9 {
		t.Errorf("5m: %+v, want 100 requests that burn twice the budget", fiveMinutes)
	}
	if hour.Requests != 300 || math.Abs(hour.BurnRate-4) > 1e-9 {
		t.Errorf("1h: %+v, want 300 requests that burn 4 times the budget", hour)
	}
	if longest := service.Windows[3]; longest.Requests != 300 {
		t.Errorf("3d: %d requests, want 300 without those of 100 h ago", longest.Requests)
	}
	if service.WorstZone != "walvis" {
		t.Errorf("worst zone %q, want walvis", service.WorstZone)
	}
	if want := noon.Add(-time.Hour); !service.WorstHour.Equal(want) {
		t.Errorf("worst hour %v, want %v", service.WorstHour, want)
	}
}

// TestCompactKeepsSums guards against calls that are lost or counted twice when minutes are merged into hours.
func TestCompactKeepsSums(t *testing.T) {
	l := New()
	for minute := range 70 * 60 {
		l.Add(newSample(time.Duration(minute)*time.Minute, "swakop", 9, 1))
	}
	before := l.Report(noon, objectives, nil).Services[0].Windows
	for range 3 {
		l.Compact(noon)
	}
	after := l.Report(noon, objectives, nil).Services[0].Windows
	for i := range before {
		if before[i].Requests != after[i].Requests || before[i].Good != after[i].Good {
			t.Errorf("%s: %+v before, %+v after", before[i].Name, before[i], after[i])
		}
	}
	if kept := len(l.Samples()); kept > 7*60+70 {
		t.Errorf("%d samples are kept, want at most 7 h of minutes and 70 hours", kept)
	}
	l.Compact(noon.Add(200 * time.Hour))
	if kept := len(l.Samples()); kept != 0 {
		t.Errorf("%d samples are kept after Retention", kept)
	}
}

// TestKinds guards against unfinished jobs past their deadline that are not reported as late.
func TestKinds(t *testing.T) {
	at := func(h time.Duration) time.Time { return noon.Add(h * time.Hour) }
	jobs := []Job{
		{Kind: "audit", Deadline: at(-1), Finished: at(-2)},
		{Kind: "audit", Deadline: at(-3), Finished: at(-2)},
		{Kind: "audit", Deadline: at(-1)},
		{Kind: "audit", Deadline: at(1)},
		{Kind: "audit", Deadline: at(1), PredictedLate: true},
		{Kind: "archive"},
	}
	kinds := New().Report(noon, objectives, jobs).Kinds
	if len(kinds) != 1 {
		t.Fatalf("%+v, want only the kind with deadlines", kinds)
	}
	got := kinds[0]
	if got.Met != 1 || got.Late != 2 || got.Open != 1 || got.Predicted != 1 {
		t.Errorf("%+v, want 1 met, 2 late, 1 open, 1 predicted late", got)
	}
}
