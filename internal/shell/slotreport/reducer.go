// Package slotreport reduces the reports that a gateway sends to the leader every second to what has changed. The leader
// uses them for the demand of each service and to learn which reduced grants have taken effect, so most reports can omit
// most endpoints.
package slotreport

import (
	"time"

	"galenamoor/internal/controlpb"
)

const (
	// FullInterval is the interval between full reports, which resynchronize the leader. The first report to a new leader is
	// also full.
	FullInterval = 10 * time.Second

	// epochRepeatTime is how long an endpoint is included in reports after its epoch has changed. The leader's proposal that
	// results from the new epoch may be lost.
	epochRepeatTime = 3 * time.Second
)

// Reducer reduces the reports of one gateway. It is not safe for concurrent use.
type Reducer struct {
	fullTerm       uint64                   // term of the leader that accepted the last full report
	fullAcceptedAt time.Time                // when that report was accepted
	lastTerm       uint64                   // term for which Reduce returned its last report
	lastFull       bool                     // whether the last report that Reduce returned is a full one
	accepted       map[string]reportedEpoch // by endpoint, as of the last accepted report
	pending        map[string]reportedEpoch // by endpoint, as of the last report that Reduce returned
}

// reportedEpoch is the last reported epoch of an endpoint and the time until which it is repeated.
type reportedEpoch struct {
	incarnation, epoch uint64
	repeatUntil        time.Time
}

// Reduce returns the report to send to the leader of the term. It is the full report at first, in a new term and after
// FullInterval. Otherwise it includes the endpoints whose epoch has changed recently and, for each service, one endpoint
// with the sum of the service's demand. The function serviceOf returns the service of an endpoint, or "" if it is unknown;
// such endpoints keep their own demand. The result shares the entries of the given report, and Reduce may change their
// demand.
func (r *Reducer) Reduce(now time.Time, term uint64, report *controlpb.GatewayReport, serviceOf func(endpoint string) string) *controlpb.GatewayReport {
	r.lastFull = r.accepted == nil || term != r.fullTerm || now.Sub(r.fullAcceptedAt) >= FullInterval
	r.lastTerm = term
	r.pending = make(map[string]reportedEpoch, len(report.GetUse()))
	reduced := &controlpb.GatewayReport{Gateway: report.GetGateway(), Incarnation: report.GetIncarnation()}
	aggregates := map[string]*controlpb.SlotUse{}
	for _, use := range report.GetUse() {
		changed := r.recordEpoch(now, use)
		if r.lastFull {
			continue
		}
		service := serviceOf(use.GetEndpoint())
		if aggregate := aggregates[service]; service != "" && aggregate != nil && use.GetDemand() > 0 {
			aggregate.Demand += use.GetDemand()
			use = &controlpb.SlotUse{
				Endpoint: use.GetEndpoint(), Incarnation: use.GetIncarnation(), InUse: use.GetInUse(), Epoch: use.GetEpoch(),
			}
		}
		if !changed && use.GetDemand() == 0 {
			continue
		}
		reduced.Use = append(reduced.Use, use)
		if service != "" && aggregates[service] == nil {
			aggregates[service] = use
		}
	}
	if r.lastFull {
		return report
	}
	return reduced
}

// recordEpoch records the epoch of an endpoint and reports whether the report has to include the endpoint because of it.
func (r *Reducer) recordEpoch(now time.Time, use *controlpb.SlotUse) bool {
	last, ok := r.accepted[use.GetEndpoint()]
	if !ok || last.incarnation != use.GetIncarnation() || last.epoch != use.GetEpoch() {
		last = reportedEpoch{incarnation: use.GetIncarnation(), epoch: use.GetEpoch(), repeatUntil: now.Add(epochRepeatTime)}
	}
	r.pending[use.GetEndpoint()] = last
	return now.Before(last.repeatUntil)
}

// Accepted records that the leader accepted the last report that Reduce returned. It must not be called for a report that
// may have been lost, so that its changes are reported again.
func (r *Reducer) Accepted(now time.Time) {
	r.accepted = r.pending
	if r.lastFull {
		r.fullAcceptedAt, r.fullTerm = now, r.lastTerm
	}
}
