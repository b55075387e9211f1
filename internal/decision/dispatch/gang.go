package dispatch

import (
	"slices"

	"galenamoor/internal/decision/colocation"
	"galenamoor/internal/decision/workload"
)

// placeGang assigns all tasks of a gang to workers, or none, and returns the number of tasks placed.
func (d *Dispatcher) placeGang(c candidate, hosts []host) int {
	if d.isAtAccountLimit(c.step) {
		return 0
	}
	number := uint32(0)
	d.visitBudget -= len(c.step.Tasks)
	c.suspect = slices.ContainsFunc(c.step.Tasks, d.mustIsolate)
	for _, task := range c.step.Tasks {
		if !d.isPlaceable(task) {
			return 0 // a run of the last attempt hasn't ended, or the next attempt is proposed or paused
		}
		number = max(number, task.LastRun)
	}
	racks := []string{""}
	if c.step.GetSameRack() {
		racks = append(d.racks(hosts), "")
	}
	for _, rack := range racks {
		if chosen := d.fitGang(c, hosts, rack); chosen != nil {
			for i, task := range c.step.Tasks {
				d.assign(task, chosen[i], number+1, false)
			}
			for i := range hosts {
				hosts[i].refresh(d.now)
			}
			return len(chosen)
		}
	}
	if c.suspect {
		for _, task := range c.step.Tasks {
			if task.IsSuspect() {
				d.noteIsolationWait(task)
			}
		}
		d.reserveFor(c, hosts)
	}
	d.requestAdvice(c, hosts, len(c.step.Tasks))
	return 0
}

// racks returns the distinct racks of hosts.
func (d *Dispatcher) racks(hosts []host) []string {
	var racks []string
	for _, h := range hosts {
		if h.Rack != "" && !slices.Contains(racks, h.Rack) {
			racks = append(racks, h.Rack)
		}
	}
	return racks
}

// fitGang returns a worker for each task of a gang, all in one rack if one is given, or nil if the gang doesn't fit. The tasks of a gang
// that would otherwise take more ratings than a pass has are put on the best host several at a time.
func (d *Dispatcher) fitGang(c candidate, hosts []host, rack string) []*worker {
	limit := int(c.step.GetMaxPerWorker())
	block := 1 + len(c.step.Tasks)*len(hosts)/maxRatingsPerPass
	scratch := slices.Clone(hosts)
	for i := range scratch {
		h := *scratch[i].Host
		scratch[i].Host = &h
	}
	demand := d.demand(c)
	placed := map[*worker]int{}
	hasFailed := d.hasFailed(c.step.Tasks[0])
	chosen := make([]*worker, 0, len(c.step.Tasks))
	for len(chosen) < len(c.step.Tasks) {
		best := d.choose(c, demand, scratch, func(w *worker) bool {
			return rack != "" && rackOf(w.incarnation) != rack || limit > 0 && placed[w] >= limit || hasFailed != nil && hasFailed(w)
		})
		if best == nil {
			return nil
		}
		for n := 0; n < min(block, len(c.step.Tasks)-len(chosen)); n++ {
			if n > 0 && (!colocation.HasRoom(demand, best.Host) || limit > 0 && placed[best.worker] >= limit) {
				break
			}
			best.Free = best.Free.Sub(demand.Need)
			best.Spare -= demand.Processors
			placed[best.worker]++
			chosen = append(chosen, best.worker)
		}
	}
	return chosen
}

// stopGang stops all members of a gang of which one can't start, so that the others don't wait for it until the gang
// timeout. It does nothing for a run that isn't a member of a gang.
func (d *Dispatcher) stopGang(r *run) {
	if !r.task.Step.GetGang() {
		return
	}
	for _, member := range r.task.Step.Tasks {
		if other := d.runs[workload.RunKey{Task: member.Key(), Run: r.key.Run}]; other != nil {
			d.requestStop(other, "a member of its gang can't start")
		}
	}
}
