package dispatch

import (
	"slices"

	"galenamoor/internal/decision/colocation"
	"galenamoor/internal/decision/workload"
)

// While many steps wait, passes are spaced, and what an ended run has reserved would stand idle until the next one. Each Tick between
// two passes therefore gives the room that was released since the last one to the steps that it left waiting.

// noteVacated records that a run has released what it reserved.
func (d *Dispatcher) noteVacated(r *run) {
	if r.reservesRoom() && !slices.Contains(d.vacated, r.worker) {
		d.vacated = append(d.vacated, r.worker)
	}
}

// refill assigns waiting tasks to the workers on which room was released, in the order of the last pass.
func (d *Dispatcher) refill() {
	var hosts []host
	for _, w := range d.vacated {
		if d.isHere(w) && d.isUsable(w) {
			hosts = append(hosts, d.describe(w))
		}
	}
	d.vacated = nil
	if len(hosts) == 0 {
		return
	}
	starts, keepsEmptyHosts := d.startBudget(), d.keepsEmptyHosts
	defer func() { d.keepsEmptyHosts = keepsEmptyHosts }() // it depends on all hosts
	d.beginBudgets()
	for _, c := range d.lastCandidates {
		if starts <= 0 || d.isBudgetSpent() {
			return
		}
		d.visitBudget -= len(hosts)
		if mayRefill(c.step) && hasRoomFor(c.step, hosts) && !d.isAtAccountLimit(c.step) {
			c.queue, c.interrupted = d.state.Queue(c.step.Job.Spec.GetQueue()), isInterrupted(c.step)
			placed, _, _ := d.placeTasks(c, hosts, starts)
			starts -= placed
		}
	}
}

// mayRefill reports whether the tasks of a step may start one by one in room that others have reserved.
func mayRefill(step *workload.Step) bool {
	return !step.Job.IsTerminal() && step.Waiting > 0 && !step.GetGang() && kindOf(step) != colocation.BestEffort
}

// hasRoomFor reports whether a task of a step fits on one of the hosts.
func hasRoomFor(step *workload.Step, hosts []host) bool {
	return slices.ContainsFunc(hosts, func(h host) bool { return step.Demand().Fits(h.Free) })
}
