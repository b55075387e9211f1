package scheduler

import (
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/pkg/resource"
)

const (
	// A zone that returns to service is refilled in steps of 1/refillSteps of its capacity, one per refillInterval.
	refillInterval = 5 * time.Second
	refillSteps    = 10
)

// refill limits the placements in a zone that returned to service, so that its hosts and network are not loaded all at once.
type refill struct {
	zone         string
	nextStep     time.Time // start of the next step; zero before the first
	stepsStarted int
}

// cancelRefill ends the refill of a zone that is out of service again.
func (s *Scheduler) cancelRefill(zone string, out bool) {
	if out {
		s.refills = slices.DeleteFunc(s.refills, func(r *refill) bool { return r.zone == zone })
		s.planner.ClearZoneLimit(zone)
	}
}

// refillZones starts the next refill step of each zone whose interval is over, and lifts the limit after the last step.
func (s *Scheduler) refillZones() {
	s.refills = slices.DeleteFunc(s.refills, func(r *refill) bool {
		if s.now.Before(r.nextStep) {
			return false
		}
		r.nextStep = s.now.Add(refillInterval)
		r.stepsStarted++
		s.dirty = true
		if r.stepsStarted > refillSteps {
			s.planner.ClearZoneLimit(r.zone)
			return true
		}
		total := s.planner.ZoneCapacity(r.zone)
		s.planner.SetZoneLimit(r.zone, resource.Vector{
			Processors:   total.Processors / refillSteps,
			Memory:       total.Memory / refillSteps,
			Accelerators: (total.Accelerators + refillSteps - 1) / refillSteps,
		})
		return false
	})
}

// drainZones stops the tasks in zones that are out of service. Services are stopped first so that they restart first.
func (s *Scheduler) drainZones() {
	if len(s.zonesOut) == 0 {
		return
	}
	for _, service := range [2]bool{true, false} {
		for _, w := range s.byID {
			if !s.zonesOut[w.zone] {
				continue
			}
			for _, t := range w.tasks {
				if t.job.service == service {
					s.stop(t, controlpb.StopReason_EVICT_ZONE_OUT, "zone is out of service")
				}
			}
		}
	}
}

// stop proposes to stop a task and reports whether it did. It does not when a start or stop is under way, during the
// backoff after a rejected stop, or when the pass is full.
func (s *Scheduler) stop(t *task, reason controlpb.StopReason, why string) bool {
	if s.passFull() || t.stopping || t.pendingStart || s.now.Before(t.retryStopAt) {
		return false
	}
	t.pendingStop = true
	s.setStopping(t, true)
	s.propose(&controlpb.Command{Kind: &controlpb.Command_StopTask{StopTask: &controlpb.StopTask{
		Task: t.name, Fence: t.fence, Reason: reason, Why: why,
	}}})
	return true
}
