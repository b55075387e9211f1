package dispatch

import (
	"time"

	"galenamoor/internal/decision/colocation"
	"galenamoor/internal/decision/imagepair"
	"galenamoor/internal/decision/workload"
)

// After zone outages and recoveries, every host may run serving tasks that the waiting best-effort tasks interfere with.
// These would then wait forever although the fleet is half empty. One task of each such job is therefore started throttled,
// so that it interferes little. Starting more than one would cost the serving tasks more than it gains.

// throttledSpeed is the speed, in percent, of best-effort tasks beside serving tasks that they are known to interfere
// with. A fifth of the interference is within the normal load variation of a serving task.
const throttledSpeed = 20

// halfEmptyShare is the minimum unused or unreserved share of the usable hosts' processors for the fleet to count as half
// empty. It is below 0.5 to allow for runs that are being started.
const halfEmptyShare = 0.45

// throttledStartEffect is the time from a throttled start until tail latencies show its effect: the commit, the order, the
// window of a tail latency and a poll. Throttled starts on a worker are at least so far apart, or too many join at once.
const throttledStartEffect = time.Second

// vacancy tells how far the usable hosts are empty.
type vacancy struct {
	halfUnused     bool // half of their processors are expected to be unused
	halfUnreserved bool // half of their processors aren't reserved, but best-effort tasks may use them
}

func vacancyOf(hosts []host) vacancy {
	unused, unreserved, total := int64(0), int64(0), int64(0)
	for i := range hosts {
		unused += hosts[i].Spare
		unreserved += hosts[i].Free.Processors
		total += hosts[i].worker.incarnation.GetProcessors()
	}
	isHalf := func(processors int64) bool { return float64(processors) >= halfEmptyShare*float64(total) }
	return vacancy{halfUnused: isHalf(unused), halfUnreserved: isHalf(unreserved)}
}

// allowsThrottled reports whether a step may get a throttled start. Beside other best-effort tasks only steps of late jobs may:
// the others can still be in time on a host without interference.
func (v vacancy) allowsThrottled(c candidate) bool {
	return v.halfUnused || v.halfUnreserved && c.timeliness != onTime
}

// throttledUse returns the milli-cores that a throttled task of a step may use.
func throttledUse(step *workload.Step) int64 {
	return max(1, step.GetProcessors()*throttledSpeed/fullSpeed)
}

// mayThrottle reports whether a throttled start is of use to a step: its job has no live run.
func mayThrottle(step *workload.Step) bool {
	return kindOf(step) == colocation.BestEffort && !step.GetGang() && step.Job.LiveRuns() == 0
}

// throttledDemand returns the demand of one throttled task of a step for the placement score.
func (d *Dispatcher) throttledDemand(c candidate) colocation.Demand {
	demand := d.demand(c)
	demand.Throttled = throttledUse(c.step)
	return demand
}

// placeThrottled assigns one task of a best-effort step to a worker, throttled and regardless of interference, if its job
// has no live run. It returns the number of tasks placed.
func (d *Dispatcher) placeThrottled(c candidate, hosts []host) int {
	if !mayThrottle(c.step) || d.isAtAccountLimit(c.step) {
		return 0
	}
	demand := d.throttledDemand(c)
	for _, task := range c.step.Tasks {
		c.suspect = d.mustIsolate(task)
		switch {
		case d.assigning[task.Key()]:
			return 0 // its next run is proposed
		case !d.isPlaceable(task):
			continue
		}
		chosen := d.choose(c, demand, hosts, d.hasFailed(task))
		if chosen == nil {
			return 0
		}
		d.assign(task, chosen.worker, task.LastRun+1, true)
		chosen.worker.throttledProcessors += throttledUse(c.step)
		chosen.worker.measuredAt = d.now.Add(throttledStartEffect)
		chosen.refresh(d.now)
		return 1
	}
	return 0
}

// speedLimit returns the speed, in percent, at which a best-effort run may work.
func (r *run) speedLimit() int {
	if r.throttled {
		return min(throttledSpeed, r.worker.speed)
	}
	return r.worker.speed
}

// updateThrottled recomputes what the throttled runs of a worker may use, and lifts the throttling of runs that no longer
// interfere with the serving tasks there.
func (d *Dispatcher) updateThrottled(w *worker, bestEffort []*run) {
	w.throttledProcessors = 0
	for _, r := range bestEffort {
		if r.throttled && d.interferenceWith(r.task.Step, w) == imagepair.Harmless {
			r.throttled = false
		}
		if r.throttled {
			w.throttledProcessors += throttledUse(r.task.Step)
		}
	}
}
