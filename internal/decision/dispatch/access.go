package dispatch

import (
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/jobspec"
	"galenamoor/internal/decision/workload"
)

// maxUnauthenticatedLines bounds the log lines about requests that were not authenticated, per second. Anyone can cause them.
const maxUnauthenticatedLines = 20

// lineLimit bounds the log lines of one kind within each second.
type lineLimit struct {
	since   time.Time // start of the current second
	lines   int       // written since then
	omitted int       // since the last written line
}

// take reports whether another line may be written, and how many were omitted before it.
func (l *lineLimit) take(now time.Time, perSecond int) (omitted int, ok bool) {
	if now.Sub(l.since) >= time.Second {
		l.since, l.lines = now, 0
	}
	if l.lines >= perSecond {
		l.omitted++
		return 0, false
	}
	l.lines++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}

// mayAccess reports whether a requester may read and cancel a job, which may be proposed and not yet committed.
func (d *Dispatcher) mayAccess(requester workload.Requester, id string) bool {
	if waiting := d.submitting[id]; len(waiting) > 0 {
		return requester.MayAccess(waiting[0].GetWork().GetCaller().GetJob())
	}
	return d.state.MayAccess(requester, id)
}

// refuseUnauthenticated rejects a request whose key belongs to no client account. Neither the reply nor the log tells the key or whether the
// job exists.
func (d *Dispatcher) refuseUnauthenticated(queue *controlpb.WorkQueue, id string, c *controlpb.CallerWork) *controlpb.LeaderReply {
	reason := "UnknownKey"
	if len(c.GetKeyDigest()) == 0 {
		reason = "MissingKey"
	}
	d.config.Count("RequestsUnauthenticated." + reason)
	if omitted, ok := d.unauthenticated.take(d.now, maxUnauthenticatedLines); ok {
		if !jobspec.IsID(id) {
			id = ""
		}
		d.config.Log.Info("request not authenticated", "Job", id, "Queue", queue.GetName(), "Verb", c.GetVerb().String(), "Reason", reason,
			"Routing", d.state.Routing().GetVersion(), "Omitted", omitted)
	}
	return outcome(controlpb.WorkOutcome_WORK_UNAUTHENTICATED)
}

// dropsAccounts reports whether a configuration was decoded by a version that doesn't know the accounts of the active one. It would serve
// all callers without a key.
func (d *Dispatcher) dropsAccounts(routing *controlpb.Routing) bool {
	return d.state.Routing().GetHasAccounts() && !routing.GetHasAccounts() && !routing.GetReadsAccounts()
}
