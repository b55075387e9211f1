package dispatch

import (
	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

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
	d.config.Log.Info("request not authenticated", "Job", id, "Queue", queue.GetName(), "Verb", c.GetVerb().String(), "Reason", reason,
		"Routing", d.state.Routing().GetVersion())
	return outcome(controlpb.WorkOutcome_WORK_UNAUTHENTICATED)
}
