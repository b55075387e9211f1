package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
	"galenamoor/pkg/resource"
)

const (
	// lookWait is how long a worker may wait for an end before it answers a look. It bounds the age of what is known of
	// its tasks, and with lookTimeout the time after which a silent worker is noticed.
	lookWait = 800 * time.Millisecond

	// strainWait takes the place of lookWait where serving tasks are strained, or fills of which it isn't known whether they
	// disturb them. Tails cover half a second.
	strainWait = 450 * time.Millisecond

	// urgentPause is the time between an answer and the next look at a worker that runs short tasks with processors of
	// their own. Each step of an urgent job waits for the ends of the one before, which should not gather.
	urgentPause = 10 * time.Millisecond

	// lookPause is the time between an answer and the next look at other workers, in which ends gather for one answer. It
	// grows with the fleet, so that looks take a bounded part of a leader's processor.
	lookPause = 60 * time.Millisecond
	// pauseWorkers is the number of workers up to which lookPause holds.
	pauseWorkers = 150
	// longestPause bounds the pause, because the next steps of jobs wait for ends.
	longestPause = 250 * time.Millisecond

	// retryPause is the time after which a call without an answer is made again.
	retryPause = 250 * time.Millisecond

	// silentAfter is the silence after which a worker gets no new runs: a look, its wait, and the loss of one packet.
	silentAfter = 1800 * time.Millisecond

	// holdTime is the length of a lease. It bridges the change of a leader, which takes up to 1.8 s, and a short cut;
	// longer ones delay the restart of what a lost worker ran.
	holdTime = 4500 * time.Millisecond

	// clockDrift is the share by which a worker's clock may be slow, with a margin for rounding.
	clockDrift = 0.03

	// lapseMargin is added to the computed end of a lease, for the time a worker takes to stop what has lapsed.
	lapseMargin = 150 * time.Millisecond

	// mostMisses is the number of calls without an answer up to which a worker's lease is extended: one may be lost.
	mostMisses = 1

	// leaveDelay is the time between a worker's notice of its end and its end.
	leaveDelay = 500 * time.Millisecond

	// unhealthyPause is the time for which a worker that refused a call gets no new runs.
	unhealthyPause = 2 * time.Second
)

// worker is what the leader knows of a life beyond the replicated state.
type worker struct {
	life    *workload.Worker
	address netip.AddrPort

	clock   time.Duration // of the worker, when its newest answer left it
	clockAt time.Time     // when that answer was received; zero before the first one
	expires time.Time     // all that this worker was ever granted has lapsed by then
	heard   time.Time     // newest answer
	endsAt  time.Time     // its life is over then; zero when it hasn't said so

	looking *order.Call
	lookAt  time.Time // of the next look
	noting  bool      // ends are proposed and not decided
	misses  int       // calls without an answer since the last one

	// What it holds, with what is proposed.
	used                resource.Vector         // by runs and reservations
	fills               int64                   // milli-cores that fills can use
	serving             int                     // tasks that serve
	strain              float64                 // highest tail of a serving task as a share of its bound
	servers             int64                   // milli-cores of tasks that serve
	exact               int                     // short tasks with processors of their own
	images              map[image]int           // serving and filling tasks by what they run
	victims, aggressors []string                // names of the serving and the filling ones, in order
	filledAt            map[string]time.Time    // when a fill of an image was last seen
	clearAt             time.Time               // of the last look at which all serving tasks were certainly below their bounds
	pace                int                     // percent of their speed at which fills may work
	gentle              int64                   // milli-cores of fills that work at a slow pace
	haltedAt            time.Time               // since when fills are halted
	watched             bool                    // tails are looked at more often
	promised            map[*workload.Step]int  // runs that are proposed
	roomTaken           map[*workload.Step]bool // steps for which the current pass makes room here

	// Why it is used last or not at all.
	failures     int // runs that failed in a row
	suspectUntil time.Time
	shunUntil    time.Time
	strays       bool      // it runs what nobody wants, which takes room
	leavesAt     time.Time // when a worker that leaves is gone, at the earliest
	reborn       bool      // a later life under the same ID has answered
	rebornAt     time.Time
	ending       bool // the end of its life is proposed
}

// addWorker starts to look after a life. Before its first answer, what earlier leaders granted it counts as held.
func (d *Dispatcher) addWorker(life *workload.Worker) {
	if d.workers[life.GetNumber()] != nil {
		return
	}
	address, err := netip.ParseAddrPort(life.GetAddress())
	if err != nil {
		d.config.Log.Error(err, "worker has no usable address", "Worker", life.GetId(), "Address", life.GetAddress())
		return
	}
	w := &worker{life: life, address: address, lookAt: d.now, clearAt: d.now, pace: fullPace, images: map[image]int{}, filledAt: map[string]time.Time{}}
	held := time.Duration(float64(d.config.Limits.LongestHold) * (1 + clockDrift))
	w.expires = d.began.Add(held + lapseMargin)
	if d.now.Sub(d.began) > held {
		w.expires = d.now.Add(d.config.Limits.LongestHold) // a new life, which nobody has granted anything
	}
	d.workers[life.GetNumber()] = w
	d.roster = append(d.roster, w) // numbers rise
	for key, task := range life.Runs {
		d.addRun(key, task, w)
	}
}

// lifeChanged follows a committed change of a life. One that leaves is there until a time at least.
func (d *Dispatcher) lifeChanged(number uint32, leavesAt time.Time) {
	d.dropEnded()
	life := d.state.Worker(number)
	if life == nil {
		return
	}
	d.addWorker(life)
	if w := d.workers[number]; w != nil && life.GetLeaving() {
		w.leavesAt = leavesAt
	}
	d.config.Log.Info("worker changed", "Worker", life.GetId(), "Number", number, "Zone", life.GetZone(), "Address", life.GetAddress(),
		"Leaving", life.GetLeaving(), "Processors", life.GetProcessors())
}

// dropEnded forgets workers whose life is over in the replicated state.
func (d *Dispatcher) dropEnded() {
	for number, w := range d.workers {
		if d.state.Worker(number) != nil {
			continue
		}
		delete(d.workers, number)
		d.roster = slices.DeleteFunc(d.roster, func(other *worker) bool { return other == w })
		for key, r := range d.runs {
			if r.worker == w {
				d.forgetRun(key, r)
			}
		}
	}
	d.dirty = true
}

// endLife proposes that a life is over. Ends are those of its runs that a later life tells of.
func (d *Dispatcher) endLife(w *worker, reason string, ends ...*controlpb.EndedRun) {
	if w.ending {
		return
	}
	w.ending = true
	d.config.Count("WorkersLost")
	d.config.Log.Info("worker lost", "Worker", w.life.GetId(), "Reason", reason, "Silent", d.now.Sub(w.heard).String(), "Runs", len(w.life.Runs))
	change := &controlpb.WorkChange{Kind: &controlpb.WorkChange_EndLife{EndLife: &controlpb.EndLife{Number: w.life.GetNumber(), Ends: ends}}}
	d.propose(change, func(result *controlpb.Result) {
		if result == nil {
			w.ending = false
			return
		}
		d.dropEnded()
	})
}

// tickWorkers makes looks that are due and gives up workers whose leases have lapsed.
func (d *Dispatcher) tickWorkers() {
	for _, w := range d.workers {
		switch {
		case !w.endsAt.IsZero() && !d.now.Before(w.endsAt):
			d.endLife(w, "it said that it ends")
		case d.now.After(w.expires) && d.now.Sub(w.heard) > silentAfter && !w.reborn:
			d.endLife(w, "its leases have lapsed")
		}
		if w.looking != nil || w.noting || w.ending || d.now.Before(w.lookAt) {
			continue
		}
		if w.reborn {
			d.lookAgain(w)
		} else {
			d.look(w)
		}
	}
	for _, r := range d.runs {
		d.tickRun(r)
	}
}

// look asks a worker what it runs and extends its lease.
func (d *Dispatcher) look(w *worker) {
	call := d.newCall(order.Look, w)
	call.EndsSeen = w.life.GetEndsSeen()
	if w.misses == 0 && !w.clockAt.IsZero() {
		call.Wait = lookWait
		if w.watched {
			call.Wait = strainWait
		}
	}
	if len(w.life.Runs) > 0 {
		call.Until = d.grant(w)
	}
	w.looking = call
	d.config.Orders.Send(call)
}

// pauseAfter returns the time from a worker's answer to the next look.
func (d *Dispatcher) pauseAfter(w *worker) time.Duration {
	if w.exact > 0 {
		return urgentPause
	}
	return min(longestPause, lookPause*time.Duration(max(pauseWorkers, len(d.workers)))/pauseWorkers)
}

// newCall returns a call to a worker under this leader's epoch.
func (d *Dispatcher) newCall(kind order.Kind, w *worker) *order.Call {
	return &order.Call{
		Kind: kind, Worker: w.life.GetNumber(), ID: w.life.GetId(), Born: w.life.GetBornMs(), Address: w.address, Epoch: d.epoch,
		Fence: d.fence(w), Sent: d.now,
	}
}

// fence returns a number that rises with each leader, and under one leader with each life of a worker, so that orders for
// an earlier life do nothing in a later one that has been called. Odd fences settle the end of a life.
func (d *Dispatcher) fence(w *worker) uint64 {
	fence := d.epoch<<fenceBits | uint64(w.life.GetNumber())<<1
	if w.reborn {
		fence |= 1
	}
	return fence
}

// fenceBits is the length of the part of a fence that tells lives apart: half a million of them. Fences stay exact as
// floating-point numbers for eight billion leaders.
const fenceBits = 20

// grant returns the time on the worker's clock until which it may hold what it runs, and remembers when that has
// certainly passed. It returns 0, which grants nothing, without a valid leader lease or an idea of the worker's clock, and
// for a worker that doesn't answer, so that it can be given up some time.
func (d *Dispatcher) grant(w *worker) time.Duration {
	if w.clockAt.IsZero() || w.misses > mostMisses || !d.config.LeaseValid(d.now) {
		return 0
	}
	since := d.now.Sub(w.clockAt)
	hold := min(holdTime, d.config.Limits.LongestHold)
	until := w.clock + since + hold
	slowest := w.clock + time.Duration(float64(since)*(1-clockDrift))
	expires := d.now.Add(time.Duration(float64(until-slowest)*(1+clockDrift)) + lapseMargin)
	if expires.After(w.expires) {
		w.expires = expires
	}
	return until
}

// isUsable reports whether a worker may get new runs.
func (d *Dispatcher) isUsable(w *worker) bool {
	return !w.clockAt.IsZero() && !w.ending && !w.reborn && !w.strays && w.endsAt.IsZero() && !w.life.GetLeaving() && w.misses == 0 &&
		d.now.Sub(w.heard) < silentAfter && !d.state.ZoneOut(w.life.GetZone()) && !d.now.Before(w.shunUntil) &&
		!d.isTaken(w)
}

// deliver handles the answer to a call.
func (d *Dispatcher) deliver(a *order.Answer) {
	if a.Call.Epoch != d.epoch {
		return
	}
	switch a.Call.Kind {
	case order.Advise:
		d.advised(a)
		return
	case order.ListHosts:
		d.listed(a)
		return
	case order.Maintain:
		d.maintainAnswered(a)
		return
	}
	w := d.workers[a.Call.Worker]
	if w == nil {
		return
	}
	d.note(w, a)
	if a.Call.Kind == order.Look {
		d.looked(w, a)
		return
	}
	r := d.runs[a.Call.Run]
	if r == nil || r.worker != w {
		return
	}
	switch a.Call.Kind {
	case order.Start:
		d.startAnswered(r, a)
	case order.Stop:
		d.stopAnswered(r, a)
	case order.Pace:
		d.paceAnswered(r, a)
	}
}

// note follows what any answer tells of the worker.
func (d *Dispatcher) note(w *worker, a *order.Answer) {
	switch a.Status {
	case order.NoAnswer:
		w.misses++
		if w.misses == 1 {
			d.config.Log.Info("worker doesn't answer", "Worker", w.life.GetId(), "Call", a.Call.Kind.String(), "Error", errorText(a.Err))
		}
		return
	case order.OtherLife:
		if a.Born != 0 {
			d.reborn(w)
		} else {
			d.endLife(w, "another life answers at its address")
		}
		return
	case order.Fenced:
		d.config.Log.Info("worker has seen a higher epoch", "Worker", w.life.GetId(), "Epoch", d.epoch)
		w.shunUntil = d.now.Add(time.Hour) // this leader has been replaced
		return
	case order.Unhealthy:
		w.shunUntil = d.now.Add(unhealthyPause)
	}
	w.misses = 0
	w.heard = d.now
	if a.Clock > 0 && !a.Received.Before(w.clockAt) {
		w.clock, w.clockAt = a.Clock, a.Received
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
