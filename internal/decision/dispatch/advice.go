package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"galenamoor/internal/decision/colocation"
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

// requestAdvice asks the service about the hosts on which missing tasks of a step would be placed if there were a ticket, and about those on
// which room is reserved for one. It does nothing for a queue without advice. A host that wouldn't get a task, for example because the task
// would interfere with others there, isn't asked about: there may be more of these than a call can name.
func (d *Dispatcher) requestAdvice(c candidate, hosts []host, missing int) {
	if missing == 0 && len(d.relocations.active) == 0 || !d.mayAskFor(c) {
		return
	}
	workers := d.lackingTickets(c, d.demand(c), hosts, missing > 0)
	if len(workers) == 0 && missing > 0 && c.suspect {
		c.suspect = false // a host can be reserved for suspect tasks only with a ticket
		workers = d.lackingTickets(c, d.demand(c), hosts, true)
	}
	d.sendAdviceCall(c.step, workers)
}

// requestThrottledAdvice does the same for hosts on which a throttled task of a step would be placed.
func (d *Dispatcher) requestThrottledAdvice(c candidate, hosts []host) {
	if d.mayAskFor(c) {
		d.sendAdviceCall(c.step, d.lackingTickets(c, d.throttledDemand(c), hosts, true))
	}
}

// lackingTickets returns the workers without a valid ticket for a step on which room is reserved for one of its tasks and, if isMissing is
// set, those on which one would be placed otherwise. Workers that the service is known to allow come first, then those with the best score.
func (d *Dispatcher) lackingTickets(c candidate, demand colocation.Demand, hosts []host, isMissing bool) []*worker {
	type option struct {
		*worker
		isReserved, isAllowed bool
		score                 int64
	}
	var options []option
	tickets := d.adviceOn(c.step).tickets
	d.visitBudget -= len(hosts)
	for i := range hosts {
		h := &hosts[i]
		t, isAnswered := tickets[h.worker.incarnation.GetNumber()]
		if isAnswered && (t.text == "" || d.now.Before(t.expires)) {
			continue
		}
		o := option{worker: h.worker, isReserved: h.worker.isReservedFor(c.step), isAllowed: isAnswered}
		if d.unadvisedExclusion(c, h.worker) != occupancy.NotRefused {
			continue
		}
		if !o.isReserved {
			if !isMissing || !d.hasRoom(c, demand, h) {
				continue
			}
			var ok bool
			d.ratingBudget--
			if o.score, ok = d.score(c, demand, h); !ok {
				continue
			}
		}
		options = append(options, o)
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(compareTrueFirst(a.isReserved, b.isReserved), compareTrueFirst(a.isAllowed, b.isAllowed), cmp.Compare(b.score, a.score))
	})
	workers := make([]*worker, len(options))
	for i, o := range options {
		workers[i] = o.worker
	}
	return workers
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
	d.sendAdviceCall(step, workers)
}

// mayAsk reports whether the service may be asked about a step now.
func (d *Dispatcher) mayAsk(cached *advice) bool {
	return cached.asking == nil && !d.now.Before(cached.retryAt) && d.adviceCalls < maxAdviceCalls
}

// mayAskFor reports whether the queue of a step has advice and the service may be asked about the step now.
func (d *Dispatcher) mayAskFor(c candidate) bool {
	return c.queue.GetAdvised() && d.mayAsk(d.adviceOn(c.step))
}

// sendAdviceCall asks the service whether a step may run on workers, as many as a call may name. It does nothing without workers.
func (d *Dispatcher) sendAdviceCall(step *workload.Step, workers []*worker) {
	if len(workers) == 0 {
		return
	}
	workers = workers[:min(len(workers), maxAdviceWorkers)]
	d.adviceOn(step).asking = workers
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
	delete(d.fruitless, a.Call.Step)
	delete(d.deferred, a.Call.Step)
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
