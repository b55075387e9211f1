package scheduler

import (
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/placement"
	"galenamoor/pkg/resource"
)

const (
	// maxPreemptWorkers bounds how many workers are compared for one preempting task.
	maxPreemptWorkers = 256
	// maxVictims bounds how many tasks are stopped for one preempting task.
	maxVictims = 32
	// checkpointLoss is the time that a stop costs a task with checkpoints: the work since the last one and the restart.
	checkpointLoss = 20 * time.Second
	// reclaimWait is how long a task within the quota of its team waits before tasks on borrowed quota are stopped for it.
	reclaimWait = 2 * time.Second
)

func isBatch(_ *Scheduler, v *task) bool          { return !v.job.service }
func isNonUrgentBatch(_ *Scheduler, v *task) bool { return !v.job.service && !v.job.urgent }
func isBorrowed(s *Scheduler, v *task) bool {
	return !v.job.service && !v.job.urgent && s.ledger.Borrows(v.job.team)
}

// victims is a set of tasks on one worker to stop for a preempting task.
type victims struct {
	tasks [maxVictims]*task
	count int
	cost  float64 // sum of evictionCost
}

// cheaperThan reports whether v has fewer tasks than other, or equally many at a lower cost.
func (v *victims) cheaperThan(other *victims) bool {
	return v.count < other.count || v.count == other.count && v.cost < other.cost
}

// preempt stops the fewest tasks, and among equally few the cheapest, to make room for a task, and claims their resources for
// it. It reports whether room is being made.
func (s *Scheduler) preempt(t *task, reason controlpb.StopReason, mayEvict func(*Scheduler, *task) bool) bool {
	size := s.sizes.planned(t.job, s.sizes.charge(t.job))
	r := placement.Request{Size: size, Zones: t.job.zones, Avoid: t.avoid}
	var best victims
	var bestWorker *worker
	for n := range min(len(s.byID), maxPreemptWorkers) {
		w := s.byID[(s.preemptCursor+n)%len(s.byID)]
		if !s.planner.Permits(w.id, &r) {
			continue
		}
		missing := size.Sub(s.planner.Free(w.id).Add(w.stopping))
		var found victims
		if s.chooseVictims(w, missing, mayEvict, &found) && (bestWorker == nil || found.cheaperThan(&best)) {
			best, bestWorker = found, w
		}
	}
	if len(s.byID) > maxPreemptWorkers {
		s.preemptCursor = (s.preemptCursor + maxPreemptWorkers) % len(s.byID)
	}
	if bestWorker == nil || len(s.proposals)+best.count > MaxProposals {
		return false
	}
	for _, v := range best.tasks[:best.count] {
		s.stop(v, reason, "makes room for "+t.name)
	}
	s.claimOn(t, bestWorker, size)
	return true
}

// reclaim stops tasks on borrowed quota for a task that the quota of its team covers. It reports whether room is being made.
func (s *Scheduler) reclaim(t *task) bool {
	if s.now.Sub(t.since) < reclaimWait {
		return false
	}
	s.reclaimable = s.preempt(t, controlpb.StopReason_EVICT_QUOTA, isBorrowed)
	return s.reclaimable
}

// chooseVictims chooses few and cheap tasks on a worker whose stop frees the missing resources, and reports whether that is
// possible.
func (s *Scheduler) chooseVictims(w *worker, missing resource.Vector, mayEvict func(*Scheduler, *task) bool, found *victims) bool {
	if covers(resource.Vector{}, missing) {
		return true
	}
	// A single task that is large enough is the smallest set; take the cheapest of these.
	for _, v := range w.tasks {
		if !s.evictable(v, mayEvict) || !covers(v.planned.Size, missing) {
			continue
		}
		if cost := s.evictionCost(v); found.count == 0 || cost < found.cost {
			found.tasks[0], found.count, found.cost = v, 1, cost
		}
	}
	if found.count > 0 {
		return true
	}
	// Otherwise add the task that covers most of what is still missing until nothing is.
	for !covers(resource.Vector{}, missing) {
		if found.count == maxVictims {
			return false
		}
		var next *task
		best := 0.0
		for _, v := range w.tasks {
			if !s.evictable(v, mayEvict) || found.contains(v) {
				continue
			}
			if covered := coverage(v.planned.Size, missing); next == nil || covered > best {
				next, best = v, covered
			}
		}
		if next == nil || best <= 0 {
			return false
		}
		found.tasks[found.count] = next
		found.count++
		found.cost += s.evictionCost(next)
		missing = missing.Sub(next.planned.Size)
	}
	return true
}

func (v *victims) contains(t *task) bool {
	for _, other := range v.tasks[:v.count] {
		if other == t {
			return true
		}
	}
	return false
}

// evictable reports whether a task may be stopped now: it passes mayEvict, and no start, stop or backoff is pending.
func (s *Scheduler) evictable(v *task, mayEvict func(*Scheduler, *task) bool) bool {
	return !v.stopping && !v.pendingStart && !s.now.Before(v.retryStopAt) && mayEvict(s, v)
}

// evictionCost returns the work lost by stopping a task, in core-seconds. The cost is higher for a task that was evicted
// before, so that the same task is not stopped repeatedly, and for one whose deadline leaves no time for the loss.
func (s *Scheduler) evictionCost(v *task) float64 {
	lost := s.lostRunTime(v)
	cost := lost.Seconds() * float64(v.charge.Processors) / 1000 * float64(1+v.evictions)
	if slack, ok := s.slack(v); ok && slack > 0 && slack < lost+time.Minute {
		cost *= 4
	}
	return cost
}

// lostRunTime returns the run time that a task has to repeat after a stop.
func (s *Scheduler) lostRunTime(v *task) time.Duration {
	ran := v.earlierRunTime
	if v.state == controlpb.TaskState_RUNNING {
		ran += s.now.Sub(v.since)
	}
	if v.job.checkpoints {
		return min(ran, checkpointLoss)
	}
	return ran
}

// covers reports whether freeing size leaves nothing missing.
func covers(size, missing resource.Vector) bool {
	return missing.Processors <= size.Processors && missing.Memory <= size.Memory && missing.Accelerators <= size.Accelerators
}

// coverage returns the share of the missing resources that freeing size provides, summed over resources.
func coverage(size, missing resource.Vector) float64 {
	part := func(size, missing int64) float64 {
		if missing <= 0 {
			return 0
		}
		return float64(min(size, missing)) / float64(missing)
	}
	return part(size.Processors, missing.Processors) + part(size.Memory, missing.Memory) +
		part(size.Accelerators, missing.Accelerators)
}
