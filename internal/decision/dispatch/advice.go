package dispatch

import (
	"time"

	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// Queues with advice may start tasks only on workers for which the advice service has issued a ticket. The service needs
// time for each worker named and handles one call of a process at a time, so a burst of steps must not ask for more
// workers than it needs.

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

// advice is what the service has answered about a step. The set of workers that may run a step doesn't change.
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
	known := d.advices[step]
	if known == nil {
		known = &advice{asked: map[string]bool{}, tickets: map[string]ticket{}}
		d.advices[step] = known
	}
	return known
}

// ticketFor returns a valid ticket for running tasks of a step on a worker, or an empty string.
func (d *Dispatcher) ticketFor(step *workload.Step, w *worker) string {
	known := d.advices[step]
	if known == nil {
		return ""
	}
	if t := known.tickets[w.incarnation.GetId()]; d.now.Before(t.expires) {
		return t.text
	}
	return ""
}

// requestAdvice asks the service about a step that has fewer usable workers with tickets than waiting tasks.
func (d *Dispatcher) requestAdvice(c candidate, hosts []host) {
	known := d.adviceOn(c.step)
	if known.pending || d.now.Before(known.retryAt) || d.adviceCalls >= maxAdviceCalls {
		return
	}
	usable := 0
	var fresh, expired []string
	for i := range hosts {
		w := hosts[i].worker
		id := w.incarnation.GetId()
		if !c.step.Demand().Fits(hosts[i].Free) || !d.allowsUnadvised(c, w) {
			continue
		}
		_, hadTicket := known.tickets[id]
		switch {
		case d.ticketFor(c.step, w) != "":
			usable++
		case hadTicket:
			expired = append(expired, id)
		case !known.asked[id]:
			fresh = append(fresh, id)
		}
	}
	if usable >= c.step.Waiting {
		return
	}
	names := expired
	if len(names) == 0 {
		names = fresh
	}
	if len(names) > 0 {
		d.sendAdviceCall(c.step, known, names[:min(len(names), maxAdviceWorkers)])
	}
}

func (d *Dispatcher) sendAdviceCall(step *workload.Step, known *advice, names []string) {
	known.pending = true
	d.adviceCalls++
	d.config.WorkerCalls.Send(&order.Call{
		Kind: order.Advise, Epoch: d.epoch, Sent: d.now, Step: step, WorkerIDs: names,
	})
}

// handleAdvice handles an answer of the service.
func (d *Dispatcher) handleAdvice(a *order.Answer) {
	known := d.adviceOn(a.Call.Step)
	known.pending = false
	d.adviceCalls--
	d.dirty = true
	if a.Status != order.OK {
		known.retryAt = d.now.Add(adviceRetryDelay)
		d.config.Log.Info("advice call failed", "Step", a.Call.Step.Name(), "Status", a.Status.String(), "Error", errorText(a.Err))
		return
	}
	for _, name := range a.Call.WorkerIDs {
		known.asked[name] = true
	}
	for name, text := range a.Tickets {
		known.tickets[name] = ticket{text: text, expires: a.Call.Sent.Add(a.ValidFor - ticketMargin)}
	}
	d.config.Log.Info("advice", "Step", a.Call.Step.Name(), "Asked", len(a.Call.WorkerIDs), "Tickets", len(a.Tickets), "Took", d.now.Sub(a.Call.Sent).String())
}

// forgetAdvice drops the advice on steps that are done or whose jobs are over.
func (d *Dispatcher) forgetAdvice() {
	for step, known := range d.advices {
		if !known.pending && (step.Job.IsTerminal() || step.Unfinished == 0) {
			delete(d.advices, step)
		}
	}
}
