package replica

import (
	"sync"
	"time"

	"galenamoor/internal/controlpb"
)

const (
	// usageInterval is the minimum time since a worker's last forwarded usage after which a renewal with reports includes
	// usage again. A worker renews every 5 s with the usage of all its tasks, and also whenever a task starts or ends;
	// usage a few seconds old is sufficient, because the measurement lags anyway.
	usageInterval = 4 * time.Second

	// maxUsageWorkers limits the number of tracked workers. When it is reached, all are discarded and usage is sent again.
	maxUsageWorkers = 8192
)

// usageFilter omits usage from renewals with reports if the worker's usage was forwarded less than usageInterval ago.
type usageFilter struct {
	mutex    sync.Mutex
	lastSent map[string]time.Time // when usage was last forwarded, by worker
}

// filter returns the request to forward. It omits all usage or none, because the scheduler compares a worker's total usage
// with its capacity. It doesn't modify the given request.
func (f *usageFilter) filter(now time.Time, request *controlpb.LeaderRequest) *controlpb.LeaderRequest {
	renewal := request.GetRenewal()
	if len(renewal.GetUsage()) == 0 {
		return request
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	last, ok := f.lastSent[renewal.GetWorker()]
	if ok && len(renewal.GetReports()) > 0 && now.Sub(last) < usageInterval {
		return &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Renewal{Renewal: &controlpb.WorkerRenewal{
			Worker: renewal.GetWorker(), Incarnation: renewal.GetIncarnation(), Reports: renewal.GetReports(),
			Leaving: renewal.GetLeaving(), Seen: renewal.GetSeen(),
		}}}
	}
	if f.lastSent == nil || len(f.lastSent) >= maxUsageWorkers {
		f.lastSent = map[string]time.Time{}
	}
	f.lastSent[renewal.GetWorker()] = now
	return request
}
