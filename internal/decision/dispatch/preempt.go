package dispatch

import (
	"cmp"
	"slices"

	"galenamoor/internal/decision/workload"
	"galenamoor/pkg/resource"
)

// The load that this file answers: urgent tasks with processors of their own arrive while less urgent ones have taken all
// room. The cheapest of these are stopped.

// preemptionsPerPass bounds the hosts on which one pass makes room.
const preemptionsPerPass = 8

// makeRoom stops less urgent runs for the waiting tasks of a step, on as many hosts as the step has tasks that found
// none, and returns on how many.
func (d *Dispatcher) makeRoom(c candidate, hosts []host, missing, budget int) int {
	if c.queue.GetPriority() >= d.leastUrgent {
		return 0
	}
	made := 0
	for made < min(missing, budget) {
		victims, pending := d.cheapestVictims(c, hosts)
		if pending {
			made++ // a stop that is under way makes room already
			continue
		}
		if len(victims) == 0 {
			break
		}
		for _, victim := range victims {
			d.wantStop(victim, "it makes room for more urgent work")
		}
		made++
	}
	return made
}

// cheapestVictims returns the runs on one host whose stop loses least and makes room for a task of the step. Pending tells
// that enough are being stopped on some host already.
func (d *Dispatcher) cheapestVictims(c candidate, hosts []host) (victims []*run, pending bool) {
	demand := c.step.Demand()
	best := -1.0
	for i := range hosts {
		d.choices--
		w := hosts[i].worker
		if demand.Processors > hosts[i].Free.Processors && c.queue.GetPriority() >= d.leastUrgentExact {
			continue // only fills could go, and they hold no processors
		}
		if !d.allows(c, w) || w.roomTaken[c.step] {
			continue
		}
		chosen, lost, enough := d.victimsOn(w, hosts[i].Free, demand, c.queue.GetPriority())
		if !enough {
			continue
		}
		if len(chosen) == 0 {
			w.takeRoom(c.step)
			return nil, true
		}
		if best < 0 || lost < best {
			victims, best = chosen, lost
		}
	}
	if len(victims) > 0 {
		victims[0].worker.takeRoom(c.step)
	}
	return victims, false
}

// victimsOn returns less urgent runs on a worker that have to be stopped for a demand, cheapest first, and the processor
// time that is lost with them. Enough is false when even all of them wouldn't do.
func (d *Dispatcher) victimsOn(w *worker, free, demand resource.Vector, priority int32) (victims []*run, lost float64, enough bool) {
	var candidates []*run
	for key := range w.life.Runs {
		r := d.runs[key]
		switch {
		case r == nil:
		case r.stopWanted:
			free = free.Add(r.task.Step.Demand())
		case r.seen && !r.task.Step.GetPerpetual() && d.state.Queue(r.task.Step.Job.Spec.GetQueue()).GetPriority() > priority:
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *run) int {
		return cmp.Or(cmp.Compare(d.loss(a), d.loss(b)), cmp.Compare(a.key.Task.String(), b.key.Task.String()))
	})
	for _, r := range candidates {
		if demand.Fits(free) {
			break
		}
		free = free.Add(r.task.Step.Demand())
		lost += d.loss(r)
		victims = append(victims, r)
	}
	return victims, lost, demand.Fits(free)
}

// findLeastUrgent notes the priority of the least urgent run that can be stopped for another, and of the least urgent one
// that holds processors, above which a search would find nothing.
func (d *Dispatcher) findLeastUrgent() {
	d.leastUrgent, d.leastUrgentExact = 0, 0
	for _, r := range d.runs {
		step := r.task.Step
		if step.GetPerpetual() {
			continue
		}
		priority := d.state.Queue(step.Job.Spec.GetQueue()).GetPriority()
		d.leastUrgent = max(d.leastUrgent, priority)
		if !step.GetFills() {
			d.leastUrgentExact = max(d.leastUrgentExact, priority)
		}
	}
}

// loss returns the processor time, in core-seconds, that is lost when a run is stopped.
func (d *Dispatcher) loss(r *run) float64 {
	age := d.now.Sub(r.began)
	if r.task.Step.GetCheckpoints() {
		age = d.config.Limits.RestoreTime
	}
	return age.Seconds() * float64(r.task.Step.GetProcessors()) / 1000
}

// takeRoom remembers that room is made on a worker for a step in this pass.
func (w *worker) takeRoom(step *workload.Step) {
	if w.roomTaken == nil {
		w.roomTaken = map[*workload.Step]bool{}
	}
	w.roomTaken[step] = true
}
