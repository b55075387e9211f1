package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"galenamoor/internal/decision/workload"
	"galenamoor/pkg/resource"
)

// Less urgent runs may hold all the capacity that urgent serving and dedicated tasks need. The runs whose preemption loses
// the least processor time are preempted.

const (
	// maxPreemptionsPerPass bounds the hosts on which one pass preempts runs.
	maxPreemptionsPerPass = 8

	// maxVictimRatingsPerPass bounds the hosts that one pass rates for preemptions, so that urgent steps for which nothing can be
	// preempted leave most of maxRatingsPerPass to the steps behind them.
	maxVictimRatingsPerPass = maxRatingsPerPass / 4

	// victimRetryDelay is the time between two searches for a lasting step for which nothing could be preempted. Finite steps, which
	// may have to be done sooner, are searched for again by the next pass.
	victimRetryDelay = 300 * time.Millisecond
)

// beginVictimSearches prepares the searches of a pass. If the last pass couldn't search for all steps, those for which nothing could
// be preempted wait until the others have had their turn.
func (d *Dispatcher) beginVictimSearches(hosts []host) {
	if d.victimBudget > 0 {
		maps.DeleteFunc(d.victimless, func(_ *workload.Step, retryAt time.Time) bool { return !d.now.Before(retryAt) })
	}
	d.victimBudget, d.mostProcessors = maxVictimRatingsPerPass, 0
	for i := range hosts {
		d.mostProcessors = max(d.mostProcessors, hosts[i].Free.Processors)
	}
}

// noteVictimless records that nothing could be preempted for a step.
func (d *Dispatcher) noteVictimless(step *workload.Step) {
	d.victimless[step] = d.now
	if isLasting(step) {
		d.victimless[step] = d.now.Add(victimRetryDelay)
	}
}

// mayHaveVictims reports whether a search for runs to preempt for a step could find any.
func (d *Dispatcher) mayHaveVictims(c candidate) bool {
	priority := c.queue.GetPriority()
	if _, isVictimless := d.victimless[c.step]; isVictimless || priority >= d.leastUrgent {
		return false
	}
	// Best-effort runs reserve no processors.
	return priority < d.leastUrgentDedicated || c.step.Demand().Processors <= d.mostProcessors
}

// preempt stops less urgent runs to free room for the unplaced tasks of a step, on at most one host per task. It returns
// the number of hosts freed.
func (d *Dispatcher) preempt(c candidate, hosts []host, missing, budget int) int {
	if !d.mayHaveVictims(c) {
		return 0
	}
	freed := 0
	for freed < min(missing, budget) && d.victimBudget > 0 {
		victims, pending := d.cheapestVictims(c, hosts)
		if pending {
			freed++ // runs that are already being stopped free enough room
			continue
		}
		if len(victims) == 0 {
			if freed == 0 && !d.requestVictimTickets(c, hosts) {
				d.noteVictimless(c.step)
			}
			break
		}
		for _, victim := range victims {
			d.requestStop(victim, "preempted by more urgent work")
		}
		freed++
	}
	return freed
}

// cheapestVictims returns the runs on one host whose preemption costs least and frees room for a task of the step.
// It returns pending if the runs that are already being stopped on some host suffice.
func (d *Dispatcher) cheapestVictims(c candidate, hosts []host) (victims []*run, pending bool) {
	demand := c.step.Demand()
	lowestCost := -1.0
	for i := range hosts {
		w := hosts[i].worker
		if !d.mayPreemptOn(c, &hosts[i], d.allows) {
			continue
		}
		chosen, cost, isEnough := d.victimsOn(w, hosts[i].Free, demand, c.queue.GetPriority())
		if !isEnough {
			continue
		}
		if len(chosen) == 0 {
			w.markPreempting(c.step)
			return nil, true
		}
		if lowestCost < 0 || cost < lowestCost {
			victims, lowestCost = chosen, cost
		}
	}
	if len(victims) > 0 {
		victims[0].worker.markPreempting(c.step)
	}
	return victims, false
}

// mayPreemptOn reports whether runs on a host may be preempted for a step that may run there.
func (d *Dispatcher) mayPreemptOn(c candidate, h *host, allows func(candidate, *worker) bool) bool {
	d.ratingBudget--
	d.victimBudget--
	d.visitBudget--
	if c.step.Demand().Processors > h.Free.Processors && c.queue.GetPriority() >= d.leastUrgentDedicated {
		return false // only best-effort runs could be preempted, and they reserve no processors
	}
	w := h.worker
	return allows(c, w) && !w.preempting[c.step] && !w.isHeldFrom(c) && w.relocation == nil
}

// requestVictimTickets asks the advice service about the hosts without a ticket for a step on which preempting runs would free room for it.
// It returns false if there is none or the service may not be asked now.
func (d *Dispatcher) requestVictimTickets(c candidate, hosts []host) bool {
	if !d.mayAskFor(c) {
		return false
	}
	var workers []*worker
	for i := range hosts {
		h := &hosts[i]
		if len(workers) == maxAdviceWorkers || d.victimBudget <= 0 {
			break
		}
		if d.ticketFor(c.step, h.worker) != "" || !d.mayPreemptOn(c, h, d.mayGetTicket) {
			continue
		}
		if _, _, isEnough := d.victimsOn(h.worker, h.Free, c.step.Demand(), c.queue.GetPriority()); isEnough {
			workers = append(workers, h.worker)
		}
	}
	d.sendAdviceCall(c.step, workers)
	return len(workers) > 0
}

// victimsOn returns the less urgent runs on a worker that have to be stopped for a demand, cheapest first, and the
// processor time lost with them, in core-seconds. isEnough is false if stopping all of them wouldn't suffice.
func (d *Dispatcher) victimsOn(w *worker, free, demand resource.Vector, priority int32) (victims []*run, cost float64, isEnough bool) {
	d.visitBudget -= len(w.runs)
	var preemptible []preemptibleRun
	for r := range w.liveRuns() {
		switch {
		case r.released:
		case r.stopRequested:
			free = free.Add(r.task.Step.Demand())
		case d.isPreemptible(r, priority):
			preemptible = append(preemptible, preemptibleRun{r, d.preemptionLoss(r)})
		}
	}
	slices.SortFunc(preemptible, func(a, b preemptibleRun) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), a.key.Compare(b.key))
	})
	for _, r := range preemptible {
		if demand.Fits(free) {
			break
		}
		free = free.Add(r.task.Step.Demand())
		cost += r.cost
		victims = append(victims, r.run)
	}
	return victims, cost, demand.Fits(free)
}

// preemptibleRun is a run with the processor time, in core-seconds, that is lost when it is preempted.
type preemptibleRun struct {
	*run
	cost float64
}

// isPreemptible reports whether a run may be preempted for a task of the given priority.
func (d *Dispatcher) isPreemptible(r *run, priority int32) bool {
	return r.seen && !r.ended && !r.task.Step.GetPerpetual() && d.state.Queue(r.task.Step.Job.Spec.GetQueue()).GetPriority() > priority
}

// findLeastUrgent records the priority of the least urgent preemptible run, and of the least urgent one with dedicated
// processors. Less urgent steps need no search for victims.
func (d *Dispatcher) findLeastUrgent() {
	d.leastUrgent, d.leastUrgentDedicated = 0, 0
	for r := range d.allRuns() {
		step := r.task.Step
		if step.GetPerpetual() {
			continue
		}
		priority := d.state.Queue(step.Job.Spec.GetQueue()).GetPriority()
		d.leastUrgent = max(d.leastUrgent, priority)
		if !step.GetFills() {
			d.leastUrgentDedicated = max(d.leastUrgentDedicated, priority)
		}
	}
}

// preemptionCost returns the processor time, in core-seconds, that is lost when a run is stopped.
func (d *Dispatcher) preemptionCost(r *run) float64 {
	age := d.now.Sub(r.began)
	if r.task.Step.GetCheckpoints() {
		age = d.config.Limits.RestoreTime
	}
	return age.Seconds() * float64(r.task.Step.GetProcessors()) / 1000
}

// markPreempting marks that room for a step is being freed on a worker in this pass.
func (w *worker) markPreempting(step *workload.Step) {
	if w.preempting == nil {
		w.preempting = map[*workload.Step]bool{}
	}
	w.preempting[step] = true
}
