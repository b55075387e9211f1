package dispatch

import (
	"time"

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
)

// advice holds the service's answers about a step. The set of workers that may run a step doesn't change, so a worker
// without a ticket is asked about only once.
type advice struct {
	pending bool
	retryAt time.Time
	asked   map[string]bool   // worker IDs that the service has been asked about
	tickets map[string]ticket // by ID of the workers that may run the step
}

type ticket struct {
	text    string
	expires time.Time
}

// adviceOn returns the advice on a step, creating an empty one if there is none.
func (d *Dispatcher) adviceOn(step *workload.Step) *advice {
	cached := d.advices[step]
	if cached == nil {
		cached = &advice{asked: map[string]bool{}, tickets: map[string]ticket{}}
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
	if t := cached.tickets[w.incarnation.GetId()]; d.now.Before(t.expires) {
		return t.text
	}
	return ""
}

// requestAdvice asks the service about a step that has fewer usable workers with tickets than waiting tasks. Expired
// tickets are renewed before other workers are asked about.
func (d *Dispatcher) requestAdvice(c candidate, hosts []host) {
	cached := d.adviceOn(c.step)
	if cached.pending || d.now.Before(cached.retryAt) || d.adviceCalls >= maxAdviceCalls {
		return
	}
	usable := 0
	var unasked, expired []string
	for i := range hosts {
		w := hosts[i].worker
		id := w.incarnation.GetId()
		if !c.step.Demand().Fits(hosts[i].Free) || !d.allowsUnadvised(c, w) {
			continue
		}
		_, hadTicket := cached.tickets[id]
		switch {
		case d.ticketFor(c.step, w) != "":
			usable++
		case hadTicket:
			expired = append(expired, id)
		case !cached.asked[id]:
			unasked = append(unasked, id)
		}
	}
	if usable >= c.step.Waiting {
		return
	}
	ids := expired
	if len(ids) == 0 {
		ids = unasked
	}
	if len(ids) > 0 {
		d.sendAdviceCall(c.step, cached, ids[:min(len(ids), maxAdviceWorkers)])
	}
}

func (d *Dispatcher) sendAdviceCall(step *workload.Step, cached *advice, ids []string) {
	cached.pending = true
	d.adviceCalls++
	d.config.WorkerCalls.Send(&order.Call{
		Kind: order.Advise, Epoch: d.epoch, Sent: d.now, Step: step, WorkerIDs: ids,
	})
}

// handleAdvice handles an answer of the service.
func (d *Dispatcher) handleAdvice(a *order.Answer) {
	cached := d.adviceOn(a.Call.Step)
	cached.pending = false
	d.adviceCalls--
	d.dirty = true
	if a.Status != order.OK {
		cached.retryAt = d.now.Add(adviceRetryDelay)
		d.config.Log.Info("advice call failed", "Step", a.Call.Step.Name(), "Status", a.Status.String(), "Error", errorText(a.Err))
		return
	}
	for _, id := range a.Call.WorkerIDs {
		cached.asked[id] = true
	}
	for id, text := range a.Tickets {
		cached.tickets[id] = ticket{text: text, expires: a.Call.Sent.Add(a.ValidFor - ticketMargin)}
	}
	d.config.Log.Info("advice", "Step", a.Call.Step.Name(), "Asked", len(a.Call.WorkerIDs), "Tickets", len(a.Tickets), "Took", d.now.Sub(a.Call.Sent).String())
}

// forgetAdvice drops the advice on steps that are done or whose jobs are terminal.
func (d *Dispatcher) forgetAdvice() {
	for step, cached := range d.advices {
		if !cached.pending && (step.Job.IsTerminal() || step.Unfinished == 0) {
			delete(d.advices, step)
		}
	}
}
