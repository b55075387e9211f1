package dispatch

import (
	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// reborn stops using a worker of which a later life has answered under the same ID. Orders that were meant for the earlier
// life may have started something in the later one, which knew of no fence. They do nothing any more once the later life
// has seen a higher fence, and what they have started is stopped before its tasks may start elsewhere.
func (d *Dispatcher) reborn(w *worker) {
	if w.reborn || w.ending {
		return
	}
	w.reborn, w.rebornAt, w.lookAt = true, d.now, d.now
	d.config.Log.Info("worker has begun another life", "Worker", w.life.GetId(), "Runs", len(w.life.Runs))
}

// lookAgain asks the later life what it runs, under a fence that voids earlier orders.
func (d *Dispatcher) lookAgain(w *worker) {
	call := d.newCall(order.Look, w)
	call.Born = 0
	w.looking = call
	d.config.Orders.Send(call)
}

// lookedAgain ends the earlier life once the later one runs nothing that was ordered from the earlier one.
func (d *Dispatcher) lookedAgain(w *worker, a *order.Answer) {
	w.lookAt = d.now.Add(d.pauseAfter(w))
	if a.Status != order.OK || a.Call.Born != 0 {
		if d.now.Sub(w.rebornAt) > 2*d.config.Limits.LongestHold {
			d.endLife(w, "its later life can't be asked, and every lease has run out")
		}
		return
	}
	strays := 0
	for _, running := range a.Running {
		if _, assigned := w.life.Runs[running.Run]; assigned {
			strays++
			d.stopStray(w, running.Run)
		}
	}
	if strays > 0 {
		return
	}
	var ends []*controlpb.EndedRun
	for _, e := range a.Ended {
		if _, assigned := w.life.Runs[e.Run]; assigned {
			ends = append(ends, endedRun(&e))
		}
	}
	d.endLife(w, "it has begun another life", ends...)
}

// stopStray stops a run that nobody wants.
func (d *Dispatcher) stopStray(w *worker, key workload.RunKey) {
	call := d.newCall(order.Stop, w)
	call.Run = key
	d.config.Log.Info("stopping stray run", "Task", key.Task.String(), "Run", key.Run, "Worker", w.life.GetId())
	d.config.Orders.Send(call)
}
