package dispatch

import (
	"maps"
	"slices"
	"time"

	"galenamoor/internal/decision/occupancy"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// Queues with advice may start tasks only on workers for which the advice service has issued a ticket. The service needs
// time for each worker named and handles one call at a time of each calling process, so a burst of steps must not ask
// about more workers than it needs.

const (
	// maxAdviceWorkers is the number of workers named in one call.
	maxAdviceWorkers = 30
	// maxAdviceCalls bounds the pending calls; the service rejects calls when 32 are queued.
	maxAdviceCalls = 8
	// adviceRetryDelay is the time after which a failed call is retried.
	adviceRetryDelay = 300 * time.Millisecond
	// ticketMargin is subtracted from a ticket's validity, for the commit and the start order.
	ticketMargin = 250 * time.Millisecond
	// ticketTimeout bounds the time for which an inherited start waits for a ticket.
	ticketTimeout = 2 * time.Second
)

// advice holds the service's answers about a step. The set of workers that may run a step doesn't change, so an incarnation
// without a ticket is asked about only once. A later incarnation of the same worker is asked about again: it rejects the
// tickets of the earlier one, and the service may have left that one out because it was down.
type advice struct {
	asking  []*worker // named in the pending call; nil if none is pending
	retryAt time.Time
	tickets map[uint32]ticket // by number of each incarnation that the service has answered about
}

// ticket allows the tasks of a step on an incarnation of a worker.
type ticket struct {
	text    string // empty if the incarnation may not run the step
	expires time.Time
}

// adviceOn returns the advice on a step, creating an empty one if there is none.
func (d *Dispatcher) adviceOn(step *workload.Step) *advice {
	cached := d.advices[step]
	if cached == nil {
		cached = &advice{tickets: map[uint32]ticket{}}
		d.advices[step] = cached
	}
	return cached
}

// ticketFor returns a valid ticket for running tasks of a step on a worker, or an empty string.
func (d *Dispatcher) ticketFor(step *workload.Step, w *worker) string {
	cached := d.advices[step]
	if cached == nil {
		return ""
	}
	if t := cached.tickets[w.incarnation.GetNumber()]; d.now.Before(t.expires) {
		return t.text
	}
	return ""
}

// mayGetTicket reports whether a step may run on a worker if the service issues a ticket, and the service hasn't refused that.
func (d *Dispatcher) mayGetTicket(c candidate, w *worker) bool {
	t, isAnswered := d.adviceOn(c.step).tickets[w.incarnation.GetNumber()]
	return (!isAnswered || t.text != "") && d.unadvisedExclusion(c, w) == occupancy.NotRefused
}

// expireTicket marks a ticket that a worker has rejected as expired, so that it is renewed, unless a newer one is known.
func (d *Dispatcher) expireTicket(step *workload.Step, w *worker, text string) {
	tickets := d.adviceOn(step).tickets
	if t := tickets[w.incarnation.GetNumber()]; t.text != "" && t.text == text {
		tickets[w.incarnation.GetNumber()] = ticket{text: text}
	}
}

// requestAdvice asks the service about a step that has fewer usable workers with tickets than waiting tasks. Expired
// tickets are renewed before other workers are asked about.
func (d *Dispatcher) requestAdvice(c candidate, hosts []host) {
	cached := d.adviceOn(c.step)
	if !d.mayAsk(cached) {
		return
	}
	usable := 0
	var unasked, expired []*worker
	for i := range hosts {
		w := hosts[i].worker
		hasRoom := c.step.Demand().Fits(hosts[i].Free) || w.isReservedFor(c.step) // once tasks have moved
		if !hasRoom || d.unadvisedExclusion(c, w) != occupancy.NotRefused {
			continue
		}
		t, answered := cached.tickets[w.incarnation.GetNumber()]
		switch {
		case !answered:
			unasked = append(unasked, w)
		case t.text == "": // it may not run the step
		case d.now.Before(t.expires):
			usable++
		default:
			expired = append(expired, w)
		}
	}
	if usable >= c.step.Waiting {
		return
	}
	workers := expired
	if len(workers) == 0 {
		workers = unasked
	}
	if len(workers) > 0 {
		d.sendAdviceCall(c.step, cached, workers[:min(len(workers), maxAdviceWorkers)])
	}
}

// awaitsTicket reports whether the start of an inherited run has to wait for a ticket, as those of earlier leaders aren't known, and
// asks the service for it. It precedes the renewal of the assignment, after which the start must be ordered soon (see recentAssignment).
func (d *Dispatcher) awaitsTicket(r *run) bool {
	if !d.lacksTicket(r) {
		return false
	}
	if r.ticketDeadline.IsZero() {
		r.ticketDeadline = d.now.Add(ticketTimeout)
	}
	if !d.now.Before(r.ticketDeadline) {
		return false
	}
	d.requestTickets(r.task.Step)
	return true
}

// lacksTicket reports whether a run of an advised queue has no valid ticket, unless its worker may not run the step.
func (d *Dispatcher) lacksTicket(r *run) bool {
	step := r.task.Step
	if !d.state.Queue(step.Job.Spec.GetQueue()).GetAdvised() {
		return false
	}
	t, answered := d.adviceOn(step).tickets[r.worker.incarnation.GetNumber()]
	return !answered || t.text != "" && !d.now.Before(t.expires)
}

// requestTickets asks the service about the workers of a step's inherited runs that have to be started, unless it is being asked about
// the step.
func (d *Dispatcher) requestTickets(step *workload.Step) {
	cached := d.adviceOn(step)
	if !d.mayAsk(cached) {
		return
	}
	var workers []*worker
	for _, task := range step.Tasks {
		for _, assigned := range task.Runs {
			r := d.runs[workload.RunKey{Task: task.Key(), Run: assigned.Number}]
			if r != nil && r.inherited && !r.renewed && !r.stopRequested && !r.nextStart.IsZero() && d.lacksTicket(r) && !slices.Contains(workers, r.worker) {
				workers = append(workers, r.worker)
			}
		}
	}
	if len(workers) > 0 {
		d.sendAdviceCall(step, cached, workers[:min(len(workers), maxAdviceWorkers)])
	}
}

// mayAsk reports whether the service may be asked about a step now.
func (d *Dispatcher) mayAsk(cached *advice) bool {
	return cached.asking == nil && !d.now.Before(cached.retryAt) && d.adviceCalls < maxAdviceCalls
}

func (d *Dispatcher) sendAdviceCall(step *workload.Step, cached *advice, workers []*worker) {
	cached.asking = workers
	d.adviceCalls++
	var ids []string
	for _, w := range workers {
		ids = append(ids, w.incarnation.GetId())
	}
	d.config.WorkerCalls.Send(&order.Call{
		Kind: order.Advise, Epoch: d.epoch, Sent: d.now, Step: step, WorkerIDs: ids,
	})
}

// handleAdvice handles an answer of the service.
func (d *Dispatcher) handleAdvice(a *order.Answer) {
	cached := d.adviceOn(a.Call.Step)
	asked := cached.asking
	cached.asking = nil
	d.adviceCalls--
	d.dirty = true
	delete(d.relocations.retries, a.Call.Step)
	if a.Status != order.OK {
		cached.retryAt = d.now.Add(adviceRetryDelay)
		d.config.Log.Info("advice call failed", "Step", a.Call.Step.Name(), "Status", a.Status.String(), "Error", errorText(a.Err))
		return
	}
	expires := a.Call.Sent.Add(a.ValidFor - ticketMargin)
	for _, w := range asked {
		cached.tickets[w.incarnation.GetNumber()] = ticket{text: a.Tickets[w.incarnation.GetId()], expires: expires}
	}
	d.config.Log.Info("advice", "Step", a.Call.Step.Name(), "Asked", len(a.Call.WorkerIDs), "Tickets", len(a.Tickets), "Took", d.now.Sub(a.Call.Sent).String())
}

// forgetAdvice drops the advice on steps that are done or whose jobs are terminal, and on incarnations that have ended.
func (d *Dispatcher) forgetAdvice() {
	for step, cached := range d.advices {
		if cached.asking == nil && (step.Job.IsTerminal() || step.Unfinished == 0) {
			delete(d.advices, step)
			continue
		}
		maps.DeleteFunc(cached.tickets, func(incarnation uint32, _ ticket) bool { return d.workers[incarnation] == nil })
	}
}
