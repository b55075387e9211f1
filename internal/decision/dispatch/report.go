package dispatch

import (
	"time"

	"galenamoor/internal/decision/imagepair"
)

// reportInterval is the time between two log lines on the whole fleet.
const reportInterval = 2 * time.Second

// report logs the state of the fleet every reportInterval, so that operators can find out later why tasks waited. It also
// drops advice that is no longer needed and proposes changed interference ratings.
func (d *Dispatcher) report(candidates []candidate, hosts []host) {
	if d.now.Sub(d.reportedAt) < reportInterval {
		return
	}
	d.reportedAt = d.now
	d.forgetAdvice()
	d.recordInterference()
	waiting := map[string]int{}
	for _, c := range candidates {
		waiting[c.queue.GetName()+" "+timelinessNames[c.timeliness]] += c.step.Waiting
	}
	var elsewhere, besideServing int64
	serving := 0
	for _, h := range hosts {
		if h.ServingTasks > 0 {
			serving++
			besideServing += h.Spare
		} else {
			elsewhere += h.Spare
		}
	}
	d.config.Log.Info("fleet", "Workers", len(d.workers), "Usable", len(hosts), "Serving", serving, "SpareBesideServing", besideServing,
		"SpareElsewhere", elsewhere, "Runs", len(d.runs), "Jobs", len(d.state.Jobs()), "Waiting", waiting,
		"HarmlessPairs", d.interference.Count(d.now, imagepair.Harmless), "HarmfulPairs", d.interference.Count(d.now, imagepair.Harmful))
}

// timelinessNames are the log names of timeliness values.
var timelinessNames = [...]string{onTime: "in time", late: "late", tooLate: "too late"}
