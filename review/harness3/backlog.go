package main

import (
	"fmt"
	"net/http"
	"time"
)

// The scheduled jobs of a client: each has 100 small tasks an hour, 200 times.
const (
	scheduledJobs     = 100
	scheduledTasks    = 100
	scheduledTimes    = 200
	scheduledPeriod   = time.Hour
	scheduledInterval = 50 * time.Millisecond // between two submissions
)

// backlog has a client submit scheduled jobs all of whose times are past. Without the trouble, the first time is now and the others lie in
// the future.
func backlog(c *cluster, trouble bool) ([]string, error) {
	callers := newClient(c)
	for n := range executors {
		e := newExecutor(c, n+1, "a")
		if err := e.up(); err != nil {
			return nil, err
		}
		defer e.down()
	}
	start := time.Now()
	if trouble {
		start = start.Add(-scheduledTimes * scheduledPeriod)
	}
	body := fmt.Appendf(nil, `{"spec":"500","repeats":%d,"start_at_ms":%d,"period_ms":%d,"steps":[{"count":%d,"cpu":1000,"mem_mb":256,"estimate_ms":500}]}`,
		scheduledTimes, start.UnixMilli(), scheduledPeriod.Milliseconds(), scheduledTasks)
	accepted, err := besideOrdinary(c, callers, func(<-chan struct{}) {
		for n := range scheduledJobs {
			id := fmt.Sprintf("%016x", 0xf1000000+n)
			status, answer := callers.send(http.MethodPost, callers.entry(n), prefix+id, body)
			c.record.add("client: POST %s%s, %d bytes -> %s", prefix, id, len(body), describe(status, answer))
			time.Sleep(scheduledInterval)
		}
	})
	if err != nil {
		return nil, err
	}
	return judgeCore(c, callers, accepted), nil
}
