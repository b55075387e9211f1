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
	causes, lasting := map[string]int{}, lastingWaits{}
	for c, cause := range d.waitCauses(candidates, hosts, &lasting) {
		causes[c.queue.GetName()+" "+string(cause)] += c.step.Waiting
		d.config.Count("StepsWaiting." + string(cause))
	}
	d.config.Log.Info("fleet", "Workers", len(d.workers), "Usable", len(hosts), "Serving", account.ServingHosts, "SpareBesideServing", account.SpareBesideServing,
		"SpareElsewhere", account.SpareElsewhere, "Runs", len(d.runs), "Jobs", len(d.state.Jobs()), "Waiting", waiting, "JobsInPart", len(d.windows.ends),
		"Total", account.Total, "Reserved", account.Reserved, "ReservedServing", account.Serving, "BestEffort", account.BestEffort, "Free", account.Free,
		"LargestFree", account.LargestFree, "HeldWorkers", d.heldWorkers(), "WaitingFor", causes,
		"HarmlessPairs", d.interference.Count(d.now, imagepair.Harmless), "HarmfulPairs", d.interference.Count(d.now, imagepair.Harmful))
	d.reportLasting(&lasting, hosts)
	d.reportAccounts(candidates)
}

// lastingWaits sums up why lasting tasks wait, over the steps that a report explains.
type lastingWaits struct {
	tasks    int
	smallest int64                     // least milli-cores that one of the tasks needs
	refusals map[occupancy.Refusal]int // hosts with room, summed over the steps
}

func (l *lastingWaits) add(step *workload.Step, refusals map[occupancy.Refusal]int) {
	if l.tasks == 0 || step.GetProcessors() < l.smallest {
		l.smallest = step.GetProcessors()
	}
	l.tasks += step.Waiting
	if l.refusals == nil {
		l.refusals = map[occupancy.Refusal]int{}
	}
	for reason, count := range refusals {
		l.refusals[reason] += count
	}
}

// freeCoresCap is the number of free cores from which hosts are counted together.
const freeCoresCap = 16

// reportLasting logs why lasting tasks wait although hosts have room, and what is free but not usable: in pieces, until runs that
// are stopped or have ended are recorded, or on workers that are put aside.
func (d *Dispatcher) reportLasting(waits *lastingWaits, hosts []host) {
	if waits.tasks == 0 {
		return
	}
	pieces := make([]int, freeCoresCap+1)
	for i := range hosts {
		pieces[min(freeCoresCap, max(0, hosts[i].Free.Processors)/1000)]++
	}
	stopping, ended := int64(0), int64(0)
	for r := range d.allRuns() {
		switch {
		case r.released:
		case r.ended:
			ended += r.task.Step.Demand().Processors
		case r.stopRequested:
			stopping += r.task.Step.Demand().Processors
		}
	}
	quarantined, quarantinedFree := 0, int64(0)
	for _, w := range d.orderedWorkers {
		if d.isStaying(w) && d.isQuarantined(w) {
			quarantined++
			quarantinedFree += max(0, w.free().Processors)
		}
	}
	d.config.Log.Info("lasting tasks wait", "Tasks", waits.tasks, "SmallestNeed", waits.smallest, "Refusals", waits.refusals, "HostsByFreeCores", pieces,
		"Stopping", stopping, "EndsUnrecorded", ended, "Unusable", len(d.workers)-len(hosts), "Quarantined", quarantined, "QuarantinedFree", quarantinedFree)
}

// timelinessNames are the log names of timeliness values.
var timelinessNames = [...]string{onTime: "in time", late: "late", tooLate: "too late"}

// waitCauses returns what keeps the most urgent steps from starting, and all steps that the limits of client accounts exclude or that the
// last pass didn't reach. It adds the lasting steps among the first to lasting.
func (d *Dispatcher) waitCauses(candidates []candidate, hosts []host, lasting *lastingWaits) iter.Seq2[candidate, occupancy.Cause] {
	unreached := stepsOf(d.unreached)
	return func(yield func(candidate, occupancy.Cause) bool) {
		explained := 0
		for _, c := range candidates {
			switch {
			case d.isAtAccountLimit(c.step):
				if !yield(c, occupancy.AccountLimit) {
					return
				}
			case unreached[c.step]:
				explained++
				if !yield(c, d.unreachedCause) {
					return
				}
			case explained < maxExplainedSteps:
				explained++
				search := d.explainWait(c, hosts)
				if isLasting(c.step) {
					lasting.add(c.step, search.Refusals)
				}
				if !yield(c, search.Cause()) {
					return
				}
			}
		}
	}
}

// explainWait finds what keeps the waiting tasks of a step from starting.
func (d *Dispatcher) explainWait(c candidate, hosts []host) *occupancy.Search {
	search := &occupancy.Search{Demand: d.demand(c)}
	for i := range hosts {
		h := &hosts[i]
		search.Consider(h.Host,
			func() occupancy.Refusal {
				if !respectsHold(c, search.Demand.Need, h) {
					return occupancy.HeldRoom
				}
				if !respectsRelocations(search.Demand.Need, h) {
					return occupancy.ReservedRoom
				}
				return d.exclusion(c, h.worker)
			},
			func() bool {
				_, ok := d.score(c, search.Demand, h)
				return ok
			})
	}
	return search
}
