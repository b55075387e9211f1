package dispatch

import (
	"time"

	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// Some queues may start tasks only on workers for which the advice service has given a ticket. The load that this file
// answers: the service takes its time for each worker named and handles one call of a process at a time, so that waves of
// steps must not ask for more workers than they need.

const (
	// advisedAtOnce is the number of workers named in one call.
	advisedAtOnce = 30
	// mostAdvising bounds the calls under way; the service refuses calls when 32 wait.
	mostAdvising = 8
	// adviceRetry is the time after which a call that failed is made again.
	adviceRetry = 300 * time.Millisecond
	// ticketMargin is taken off a ticket's time, for the commit and the order of a start.
	ticketMargin = 250 * time.Millisecond
)

// advice is what the service has said about a step. Which workers may run it doesn't change.
type advice struct {
	asking  bool
	retryAt time.Time
	asked   map[string]bool   // workers by ID
	tickets map[string]ticket // of workers that may run the step
}

type ticket struct {
	text    string
	expires time.Time
}

// adviceOn returns what is known about a step.
func (d *Dispatcher) adviceOn(step *workload.Step) *advice {
	known := d.advices[step]
	if known == nil {
		known = &advice{asked: map[string]bool{}, tickets: map[string]ticket{}}
		d.advices[step] = known
	}
	return known
}

// ticketFor returns a ticket for tasks of a step on a worker, or nothing.
func (d *Dispatcher) ticketFor(step *workload.Step, w *worker) string {
	known := d.advices[step]
	if known == nil {
		return ""
	}
	if t := known.tickets[w.life.GetId()]; d.now.Before(t.expires) {
		return t.text
	}
	return ""
}

// consult asks the service about a step that has fewer workers with tickets and room than waiting tasks.
func (d *Dispatcher) consult(c candidate, hosts []host) {
	known := d.adviceOn(c.step)
	if known.asking || d.now.Before(known.retryAt) || d.advising >= mostAdvising {
		return
	}
	room := 0
	var fresh, expired []string
	for i := range hosts {
		w := hosts[i].worker
		id := w.life.GetId()
		if !c.step.Demand().Fits(hosts[i].Free) || !d.allowsUnadvised(c, w) {
			continue
		}
		_, isGood := known.tickets[id]
		switch {
		case d.ticketFor(c.step, w) != "":
			room++
		case isGood:
			expired = append(expired, id)
		case !known.asked[id]:
			fresh = append(fresh, id)
		}
	}
	if room >= c.step.Waiting {
		return
	}
	names := expired
	if len(names) == 0 {
		names = fresh
	}
	if len(names) > 0 {
		d.ask(c.step, known, names[:min(len(names), advisedAtOnce)])
	}
}

func (d *Dispatcher) ask(step *workload.Step, known *advice, names []string) {
	known.asking = true
	d.advising++
	d.config.Orders.Send(&order.Call{
		Kind: order.Advise, Epoch: d.epoch, Sent: d.now, Step: step, Names: names,
	})
}

// advised follows an answer of the service.
func (d *Dispatcher) advised(a *order.Answer) {
	known := d.adviceOn(a.Call.Step)
	known.asking = false
	d.advising--
	d.dirty = true
	if a.Status != order.OK {
		known.retryAt = d.now.Add(adviceRetry)
		d.config.Log.Info("no advice", "Step", a.Call.Step.Name(), "Status", a.Status.String(), "Error", errorText(a.Err))
		return
	}
	for _, name := range a.Call.Names {
		known.asked[name] = true
	}
	for name, text := range a.Tickets {
		known.tickets[name] = ticket{text: text, expires: a.Call.Sent.Add(a.ValidFor - ticketMargin)}
	}
	d.config.Log.Info("advice", "Step", a.Call.Step.Name(), "Asked", len(a.Call.Names), "Good", len(a.Tickets), "Took", d.now.Sub(a.Call.Sent).String())
}

// forgetAdvice drops what is known about steps of jobs that are over.
func (d *Dispatcher) forgetAdvice() {
	for step, known := range d.advices {
		if !known.asking && (step.Job.IsOver() || step.Undone == 0) {
			delete(d.advices, step)
		}
	}
}
