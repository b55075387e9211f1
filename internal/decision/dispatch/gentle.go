package dispatch

import (
	"galenamoor/internal/decision/colocation"
	"galenamoor/internal/decision/disturbance"
)

// The load that this file answers: zones are lost and come back until every host has serving tasks that the waiting fills
// disturb, so that these would wait for ever beside hosts that are half empty. One task of each such job is then started
// at a slow pace, at which it disturbs little. More would take more from the serving tasks than they are worth.

// gentlePace is the pace, in percent, of fills beside serving tasks that they are known to disturb. A fifth of a
// disturbance is within the swing of a serving task's own load.
const gentlePace = 20

// idleShare is the share of the usable hosts' processors that nobody is expected to use from which on they count as half
// empty. It is below a half for the sake of runs that are on their way.
const idleShare = 0.45

// isIdle reports whether the usable hosts are half empty.
func isIdle(hosts []host) bool {
	unused, all := int64(0), int64(0)
	for i := range hosts {
		unused += hosts[i].Spare
		all += hosts[i].worker.life.GetProcessors()
	}
	return float64(unused) >= idleShare*float64(all)
}

// placeGently chooses a worker for a task of a step that fills, of a job of which nothing runs, beside serving tasks
// whatever these are. It returns the number of workers found.
func (d *Dispatcher) placeGently(c candidate, hosts []host) int {
	if kindOf(c.step) != colocation.Fill || c.step.Job.Runs() > 0 {
		return 0
	}
	demand := d.demand(c)
	demand.Gentle = true
	for _, task := range c.step.Tasks {
		switch {
		case d.reserved[task.Key()]:
			return 0 // it is about to run
		case !task.IsWaiting():
			continue
		}
		chosen := d.choose(c, demand, hosts, nil)
		if chosen == nil {
			return 0
		}
		d.assign(task, chosen.worker, task.LastRun+1, true)
		chosen.worker.gentle += c.step.GetProcessors()
		chosen.refresh()
		return 1
	}
	return 0
}

// paceFor returns the pace at which a fill may work.
func (r *run) paceFor() int {
	if r.gentle {
		return min(gentlePace, r.worker.pace)
	}
	return r.worker.pace
}

// followGentle counts the fills that work at a slow pace on a worker, and lets those work at full pace that don't disturb
// anybody there any more.
func (d *Dispatcher) followGentle(w *worker, fills []*run) {
	w.gentle = 0
	for _, r := range fills {
		if r.gentle && d.companions(r.task.Step, w) == disturbance.Harmless {
			r.gentle = false
		}
		if r.gentle {
			w.gentle += r.task.Step.GetProcessors()
		}
	}
}
