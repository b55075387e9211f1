package replica

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// counters are the metrics of a replica, published by expvar under the host's name.
type counters struct {
	Term, Commit, Applied    expvar.Int
	QueuedRequests, Unsynced expvar.Int // requests in the queue; Outputs that aren't persisted yet
	Overloaded               expvar.Int // requests rejected
	DroppedMessages          expvar.Int
	Syncs, SyncedEntries     expvar.Int
	mutex                    sync.Mutex
	syncMicroseconds         *hdrhistogram.Histogram
}

// published holds the counters of the replicas of this process by host.
var published = expvar.NewMap("Replica")

func newCounters(host string) *counters {
	c := &counters{syncMicroseconds: hdrhistogram.New(1, time.Minute.Microseconds(), 2)}
	vars := new(expvar.Map).Init()
	for name, value := range map[string]expvar.Var{
		"Term": &c.Term, "CommitIndex": &c.Commit, "AppliedIndex": &c.Applied, "QueuedRequests": &c.QueuedRequests,
		"UnsyncedWorks": &c.Unsynced, "OverloadedRequests": &c.Overloaded, "DroppedMessages": &c.DroppedMessages,
		"Syncs": &c.Syncs, "SyncedEntries": &c.SyncedEntries,
		"SyncP99Microseconds": expvar.Func(func() any { return c.syncPercentile(99) }),
	} {
		vars.Set(name, value)
	}
	published.Set(host, vars)
	return c
}

func (c *counters) update(view *View, queued, unsynced int) {
	c.Term.Set(int64(view.Term))
	c.Commit.Set(int64(view.Commit))
	c.Applied.Set(int64(view.Applied))
	c.QueuedRequests.Set(int64(queued))
	c.Unsynced.Set(int64(unsynced))
}

func (c *counters) recordSync(duration time.Duration, entries int) {
	c.Syncs.Add(1)
	c.SyncedEntries.Add(int64(entries))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_ = c.syncMicroseconds.RecordValue(max(1, duration.Microseconds())) // durations beyond the histogram's range are not recorded
}

func (c *counters) syncPercentile(percentile float64) int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.syncMicroseconds.ValueAtQuantile(percentile)
}
