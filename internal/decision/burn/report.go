package burn

import (
	"cmp"
	"slices"
	"time"

	"galenamoor/pkg/rules"
)

// windows are the periods of a report, shortest first. The last one is the period of the error budget.
var windows = []struct {
	name   string
	length time.Duration
}{{"5m", 5 * time.Minute}, {"1h", time.Hour}, {"6h", 6 * time.Hour}, {"3d", 72 * time.Hour}}

// Report shows how services and kinds of batch work met their objectives.
type Report struct {
	Generated time.Time
	Hosts     []Host
	Services  []Service
	Kinds     []Kind
}

// Host describes the source of a daemon's counts.
type Host struct {
	Host  string
	Asked bool      // it answered this request
	Until time.Time // end of the time covered by the stored copy that was used instead; zero if there is none
}

// Service reports on one service.
type Service struct {
	Service   string
	Bound     time.Duration
	Objective int // good calls per 100,000
	Windows   []Window
	WorstZone string
	WorstHour time.Time // start of the hour; zero if every call was good
	Hours     []Hour    // of the longest window, oldest first
}

// Window counts the calls of one service in one period.
type Window struct {
	Name       string
	Requests   int64
	Good       int64
	Slow       int64
	NotRun     int64
	Shed       int64
	Unknown    int64
	Share      float64 // share of good calls; 1 without calls
	BurnRate   float64 // 1 means that the error budget is used up exactly at the end of its period
	BudgetLeft float64 // share of this window's error budget that is left; negative when it is exceeded
}

// Hour counts the calls of one service in one hour.
type Hour struct {
	Begin    time.Time
	Requests int64
	Good     int64
}

// Kind reports on one kind of batch work with deadlines.
type Kind struct {
	Kind      string
	Objective int // jobs finished before their deadline, per 100,000
	Met       int
	Late      int     // finished after the deadline, or unfinished past it
	Predicted int     // unfinished and predicted to miss the deadline
	Open      int     // unfinished and not predicted to miss the deadline
	Share     float64 // Met as a share of Met and Late; 1 without either
}

// Job is the input of a report about one batch job.
type Job struct {
	Kind          string
	Deadline      time.Time // zero for none
	Finished      time.Time // zero while unfinished
	PredictedLate bool
}

// Report builds the report at the given time from the samples, the objectives in the rules and the jobs. It leaves Hosts empty.
func (l *Ledger) Report(now time.Time, r *rules.Rules, jobs []Job) *Report {
	report := &Report{Generated: now}
	byService := map[string][]Sample{}
	for _, s := range l.Samples() {
		byService[s.Service] = append(byService[s.Service], s)
	}
	serviceNames := make([]string, 0, len(byService))
	for name := range byService {
		serviceNames = append(serviceNames, name)
	}
	slices.Sort(serviceNames)
	for _, name := range serviceNames {
		report.Services = append(report.Services, serviceReport(now, r.Service(name), byService[name]))
	}
	report.Kinds = kindReports(now, r, jobs)
	return report
}

func serviceReport(now time.Time, objective rules.Service, samples []Sample) Service {
	service := Service{Service: objective.Name, Bound: objective.Bound, Objective: objective.Share}
	for _, window := range windows {
		service.Windows = append(service.Windows, sumWindow(window.name, now.Add(-window.length), objective.Share, samples))
	}
	begin := now.Add(-windows[len(windows)-1].length)
	service.WorstZone = worstZone(begin, samples)
	service.Hours = sumHours(begin, samples)
	service.WorstHour = worstHour(service.Hours)
	return service
}

// sumWindow sums the calls since begin. Its objective is in good calls per 100,000.
func sumWindow(name string, begin time.Time, objective int, samples []Sample) Window {
	window := Window{Name: name}
	for _, s := range samples {
		if s.Begin+s.Span <= begin.Unix()/60 {
			continue
		}
		window.Requests += s.Requests
		window.Good += s.Good
		window.Slow += s.Slow
		window.NotRun += s.NotRun
		window.Shed += s.Shed
		window.Unknown += s.Unknown
	}
	window.Share, window.BurnRate, window.BudgetLeft = 1, 0, 1
	if window.Requests == 0 {
		return window
	}
	window.Share = float64(window.Good) / float64(window.Requests)
	// An objective of 100% leaves no budget; half a call in 100,000 is used instead, so that rates stay finite.
	budget := max(float64(100_000-objective), 0.5) / 100_000
	window.BurnRate = (1 - window.Share) / budget
	window.BudgetLeft = 1 - window.BurnRate
	return window
}

// worstZone returns the zone with the most slow calls since begin, or "" if there were none.
func worstZone(begin time.Time, samples []Sample) string {
	slow := map[string]int64{}
	for _, s := range samples {
		if s.Begin+s.Span > begin.Unix()/60 && s.Zone != "" {
			slow[s.Zone] += s.Slow
		}
	}
	worst := ""
	for zone, n := range slow {
		if n > 0 && (worst == "" || n > slow[worst] || n == slow[worst] && zone < worst) {
			worst = zone
		}
	}
	return worst
}

// sumHours sums the calls since begin by hour, oldest first.
func sumHours(begin time.Time, samples []Sample) []Hour {
	sums := map[int64]*Hour{}
	for _, s := range samples {
		if s.Begin+s.Span <= begin.Unix()/60 {
			continue
		}
		hour := s.Begin - s.Begin%minutesPerHour
		if sums[hour] == nil {
			sums[hour] = &Hour{Begin: time.Unix(hour*60, 0).UTC()}
		}
		sums[hour].Requests += s.Requests
		sums[hour].Good += s.Good
	}
	all := make([]Hour, 0, len(sums))
	for _, hour := range sums {
		all = append(all, *hour)
	}
	slices.SortFunc(all, func(a, b Hour) int { return a.Begin.Compare(b.Begin) })
	return all
}

// worstHour returns the start of the hour with the most calls that were not good.
func worstHour(all []Hour) time.Time {
	var worst Hour
	for _, hour := range all {
		if hour.Requests-hour.Good > worst.Requests-worst.Good {
			worst = hour
		}
	}
	return worst.Begin
}

func kindReports(now time.Time, r *rules.Rules, jobs []Job) []Kind {
	kinds := map[string]*Kind{}
	for _, job := range jobs {
		if job.Deadline.IsZero() {
			continue
		}
		if kinds[job.Kind] == nil {
			kinds[job.Kind] = &Kind{Kind: job.Kind, Objective: r.Kind(job.Kind).Share}
		}
		kinds[job.Kind].add(now, job)
	}
	all := make([]Kind, 0, len(kinds))
	for _, kind := range kinds {
		kind.Share = 1
		if decided := kind.Met + kind.Late; decided > 0 {
			kind.Share = float64(kind.Met) / float64(decided)
		}
		all = append(all, *kind)
	}
	slices.SortFunc(all, func(a, b Kind) int { return cmp.Compare(a.Kind, b.Kind) })
	return all
}

func (k *Kind) add(now time.Time, job Job) {
	switch {
	case !job.Finished.IsZero() && !job.Finished.After(job.Deadline):
		k.Met++
	case !job.Finished.IsZero() || now.After(job.Deadline):
		k.Late++
	case job.PredictedLate:
		k.Predicted++
	default:
		k.Open++
	}
}
