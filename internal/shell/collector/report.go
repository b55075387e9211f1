package collector

import (
	"cmp"
	"context"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/burn"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/pkg/rules"
)

// Report fetches the counters of all daemons and builds the burn report of the cluster. For a daemon that doesn't answer,
// it uses the local copy, and the report states the time up to which the copy reaches.
func (c *Collector) Report(ctx context.Context) *burn.Report {
	c.collectOwn()
	answers := c.collectPeers(ctx)
	merged := burn.New()
	hosts := []burn.Host{{Host: c.config.Host, Asked: true}}
	c.mu.Lock()
	merged.Merge(c.own.Samples())
	for _, host := range c.config.Peers.Hosts() {
		source, status := c.source(host, answers[host])
		if source != nil {
			merged.Merge(source.Samples)
		}
		hosts = append(hosts, status)
	}
	c.mu.Unlock()
	view := c.config.View()
	r := view.Rules
	if r == nil {
		r = &rules.Rules{}
	}
	report := merged.Report(c.config.Clock.Now(), r, batchJobs(view, c.predictedLate(ctx)))
	slices.SortFunc(hosts, func(a, b burn.Host) int { return cmp.Compare(a.Host, b.Host) })
	report.Hosts = hosts
	return report
}

// source returns the counters of a daemon and its entry in the report. The counters are its answer merged with the local
// copy, only the copy if there is no answer, or nil if there is neither. The caller holds the lock.
func (c *Collector) source(host string, answer *counters) (*counters, burn.Host) {
	copied := c.copies[host]
	if answer != nil {
		return answer.mergeOlder(copied), burn.Host{Host: host, Asked: true}
	}
	if copied != nil {
		return copied, burn.Host{Host: host, Until: copied.Until}
	}
	return nil, burn.Host{Host: host}
}

// predictedLate returns the names of the jobs that are predicted to miss their deadlines. Without a leader it returns none,
// and the rest of the report is still valid.
func (c *Collector) predictedLate(ctx context.Context) map[string]bool {
	late := map[string]bool{}
	if c.config.PredictLate == nil {
		return late
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	names, err := c.config.PredictLate(ctx)
	if err != nil {
		c.config.Log.Error(err, "report lacks predictions of late jobs", "Step", "ask leader")
	}
	for _, name := range names {
		late[name] = true
	}
	return late
}

// batchJobs returns the batch jobs of the view that were not cancelled.
func batchJobs(view *controlstate.View, late map[string]bool) []burn.Job {
	var all []burn.Job
	view.Jobs(func(job *controlstate.Job) bool {
		if job.Spec.GetClass() == controlpb.Class_BATCH && !job.Cancelled {
			all = append(all, burn.Job{
				Kind:     job.Spec.GetKind(),
				Deadline: timeOf(job.Spec.GetDeadline()),
				Finished: timeOf(job.Finished),

				PredictedLate: late[job.Name()],
			})
		}
		return true
	})
	return all
}

// timeOf converts Unix nanoseconds to a time in UTC. It returns the zero time for 0.
func timeOf(unixNano int64) time.Time {
	if unixNano == 0 {
		return time.Time{}
	}
	return time.Unix(0, unixNano).UTC()
}
