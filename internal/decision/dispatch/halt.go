package dispatch

import (
	"time"

	"galenamoor/internal/decision/order"
)

// The load that this file answers: a serving task stays over its bound for seconds beside fills that it gets on with
// otherwise, because its own load has risen or one of them has changed. The fills of its host are halted before that has
// lasted for as long as the platform allows, and go on once the task is below its bound. That loses no work; fills are
// only stopped when halting them for a while was no help.

const (
	// fullPace and noPace are the paces, in percent, at which fills work.
	fullPace = 100
	noPace   = 0

	// clearStrain is the share of its bound below which a tail, which is a rough figure, shows that a serving task was
	// certainly below its bound.
	clearStrain = 0.9

	// reliefTime is what is left of the time for which serving tasks may be over their bounds when fills are halted: the
	// call, a look, and the half second of a tail.
	reliefTime = 1500 * time.Millisecond
	// leastHarm is the least time over the bound after which fills are halted, whatever the platform allows.
	leastHarm = 500 * time.Millisecond

	// haltedMost is how long the fills of a host may be halted before they are stopped, so that they go on elsewhere.
	haltedMost = 2 * time.Second

	// lateMost is the time after which an order without an answer certainly isn't carried out any more, and
	// paceAgainInterval the time between repetitions of a pace until then.
	lateMost          = 12 * time.Second
	paceAgainInterval = 2 * time.Second
)

// relieve halts the fills of a worker on which a serving task may have been over its bound for long, whatever is to blame.
// The time counts from the last look at which all were certainly below.
func (d *Dispatcher) relieve(w *worker, fills []*run) {
	if w.strain < clearStrain {
		w.clearAt = d.now
	}
	isOverlong := len(fills) > 0 && d.now.Sub(w.clearAt) >= max(leastHarm, d.config.Limits.HarmTime-reliefTime)
	if isHalted := w.pace == noPace; isOverlong != isHalted {
		d.setPace(w, isOverlong, len(fills))
		return
	}
	if isOverlong && d.now.Sub(w.haltedAt) >= haltedMost {
		for _, fill := range fills {
			d.wantStop(fill, "it has been halted for long, because a serving task beside it is over its bound")
		}
	}
}

// setPace has the fills of a worker halt, or go on.
func (d *Dispatcher) setPace(w *worker, halt bool, fills int) {
	w.pace = fullPace
	if halt {
		w.pace, w.haltedAt = noPace, d.now
		d.config.Count("FillsHalted")
	}
	d.config.Log.Info("pace of fills", "Worker", w.life.GetId(), "Percent", w.pace, "Strain", w.strain, "Fills", fills,
		"ClearAgo", d.now.Sub(w.clearAt).String())
}

// tickPace tells a worker the pace of a fill when it doesn't know it.
func (d *Dispatcher) tickPace(r *run) {
	if r.pacing || d.now.Before(r.paceAt) || r.pace == r.paceFor() && !d.now.Before(r.lateUntil) {
		return
	}
	call := d.newCall(order.Pace, r.worker)
	call.Run, call.Percent = r.key, r.paceFor()
	r.pacing = true
	d.config.Orders.Send(call)
}

// paceAnswered follows the answer to a pace. One without an answer may be carried out later, after newer ones, so that the
// newest is repeated until that can't be any more.
func (d *Dispatcher) paceAnswered(r *run, a *order.Answer) {
	r.pacing = false
	switch a.Status {
	case order.OK:
		r.pace, r.paceAt = a.Call.Percent, d.now
		r.halted = r.halted || r.pace < fullPace
		if d.now.Before(r.lateUntil) {
			r.paceAt = d.now.Add(paceAgainInterval)
		}
	case order.NoAnswer:
		r.paceAt, r.lateUntil = d.now.Add(retryPause), d.now.Add(lateMost)
	default:
		r.paceAt = d.now.Add(paceAgainInterval) // the run has ended, which the next look tells
	}
}
