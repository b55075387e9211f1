package dispatch

import (
	"time"

	"galenamoor/internal/decision/disturbance"
)

// reportInterval is the time between two log lines about the whole fleet.
const reportInterval = 2 * time.Second

// report tells how the fleet stands, for whoever looks later why work waited.
func (d *Dispatcher) report(candidates []candidate, hosts []host) {
	if d.now.Sub(d.reported) < reportInterval {
		return
	}
	d.reported = d.now
	d.forgetAdvice()
	d.recordPairs()
	waiting := map[string]int{}
	for _, c := range candidates {
		waiting[c.queue.GetName()+" "+outlookNames[c.outlook]] += c.step.Waiting
	}
	var free, beside int64
	serving := 0
	for _, h := range hosts {
		if h.Serving > 0 {
			serving++
			beside += h.Spare
		} else {
			free += h.Spare
		}
	}
	d.config.Log.Info("fleet", "Workers", len(d.workers), "Usable", len(hosts), "Serving", serving, "SpareBesideServing", beside,
		"SpareElsewhere", free, "Runs", len(d.runs), "Jobs", len(d.state.Jobs()), "Waiting", waiting,
		"Harmless", d.disturbances.Count(d.now, disturbance.Harmless), "Harmful", d.disturbances.Count(d.now, disturbance.Harmful))
}

// outlookNames name outlooks in logs.
var outlookNames = [...]string{inTime: "in time", late: "late", hopeless: "hopeless"}
