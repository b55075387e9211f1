package dispatch

import (
	"iter"
	"time"

	"galenamoor/internal/decision/imagepair"
	"galenamoor/internal/decision/occupancy"
	"galenamoor/internal/decision/workload"
)

const (
	// reportInterval is the time between two log lines on the whole fleet.
	reportInterval = 2 * time.Second

	// maxExplainedSteps bounds the waiting steps for which one report looks for the cause, the most urgent first.
	maxExplainedSteps = 60
)

// report logs the state of the fleet every reportInterval, so that operators can find out later why tasks waited. It also
// drops advice and failures that are no longer needed and proposes changed interference ratings.
func (d *Dispatcher) report(candidates []candidate, hosts []host) {
	if d.now.Sub(d.reportedAt) < reportInterval {
		return
	}
	d.reportedAt = d.now
	d.forgetAdvice()
	d.forgetFailures()
	d.recordInterference()
	waiting := map[string]int{}
	for _, c := range candidates {
		waiting[c.queue.GetName()+" "+timelinessNames[c.timeliness]] += c.step.Waiting
	}
	var account occupancy.Account
	for _, h := range hosts {
		account.AddHost(h.Host, h.worker.servingProcessors)
	}
	causes := map[string]int{}
	for c, cause := range d.waitCauses(candidates, hosts) {
		causes[c.queue.GetName()+" "+string(cause)] += c.step.Waiting
		d.config.Count("StepsWaiting." + string(cause))
	}
	d.config.Log.Info("fleet", "Workers", len(d.workers), "Usable", len(hosts), "Serving", account.ServingHosts, "SpareBesideServing", account.SpareBesideServing,
		"SpareElsewhere", account.SpareElsewhere, "Runs", len(d.runs), "Jobs", len(d.state.Jobs()), "Waiting", waiting,
		"Total", account.Total, "Reserved", account.Reserved, "ReservedServing", account.Serving, "BestEffort", account.BestEffort, "Free", account.Free,
		"LargestFree", account.LargestFree, "HeldWorkers", d.heldWorkers(), "WaitingFor", causes,
		"HarmlessPairs", d.interference.Count(d.now, imagepair.Harmless), "HarmfulPairs", d.interference.Count(d.now, imagepair.Harmful))
}

// timelinessNames are the log names of timeliness values.
var timelinessNames = [...]string{onTime: "in time", late: "late", tooLate: "too late"}

// waitCauses returns what keeps the most urgent steps from starting, and all steps that the last pass didn't reach.
func (d *Dispatcher) waitCauses(candidates []candidate, hosts []host) iter.Seq2[candidate, occupancy.Cause] {
	unreached := make(map[*workload.Step]bool, len(d.unreached))
	for _, c := range d.unreached {
		unreached[c.step] = true
	}
	return func(yield func(candidate, occupancy.Cause) bool) {
		for i, c := range candidates {
			switch {
			case unreached[c.step]:
				if !yield(c, d.unreachedCause) {
					return
				}
			case i < maxExplainedSteps:
				if !yield(c, d.waitCause(c, hosts)) {
					return
				}
			}
		}
	}
}

// waitCause returns what keeps the waiting tasks of a step from starting.
func (d *Dispatcher) waitCause(c candidate, hosts []host) occupancy.Cause {
	search := occupancy.Search{Demand: d.demand(c)}
	for i := range hosts {
		h := &hosts[i]
		search.Consider(h.Host,
			func() bool { return respectsHold(c, search.Demand.Need, h) && d.allows(c, h.worker) },
			func() bool {
				_, ok := d.score(c, search.Demand, h)
				return ok
			})
	}
	return search.Cause()
}
