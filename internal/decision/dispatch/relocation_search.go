package dispatch

import (
	"cmp"
	"slices"
	"time"

	"galenamoor/internal/decision/colocation"
	"galenamoor/internal/decision/compaction"
	"galenamoor/internal/decision/workload"
)

const (
	// maxRelocationSearches bounds the searches of one pass.
	maxRelocationSearches = 8

	// minResidence is how long a task must have run before it may be moved, so that no task is moved again and again.
	minResidence = 5 * time.Second
)

// compactable is a host that may take part in an exchange, with the runs that may move.
type compactable struct {
	*host
	runs []*run
}

// makeRoom moves running tasks so that a waiting one fits on a host, if that is possible.
func (d *Dispatcher) makeRoom(c candidate, task *workload.Task, hosts []host) bool {
	state := &d.relocations
	if state.hosts == nil {
		state.hosts = d.compactableHosts(hosts)
		state.described = describe(state.hosts)
	}
	exchange, ok := d.findExchange(c, task, d.allows)
	if !ok {
		if c.queue.GetAdvised() {
			d.requestTargetTicket(c, task)
		}
		return false
	}
	found := state.hosts
	target, partner := found[exchange.Target], found[exchange.Partner]
	moved := map[*run]*worker{target.runs[exchange.Outgoing]: partner.worker}
	if exchange.Incoming != compaction.NoTask {
		moved[partner.runs[exchange.Incoming]] = target.worker
	}
	d.beginRelocation(task, target.host, partner.host, moved)
	state.hosts = slices.DeleteFunc(found, func(h compactable) bool { return h.worker.relocation != nil })
	state.described = describe(state.hosts)
	return true
}

// findExchange returns an exchange of running tasks that makes room for a waiting one on a host on which its step is allowed.
func (d *Dispatcher) findExchange(c candidate, task *workload.Task, allows func(candidate, *worker) bool) (exchange compaction.Exchange, ok bool) {
	found, hasFailed := d.relocations.hosts, d.hasFailed(task)
	return compaction.Find(c.step.Demand(), d.relocations.described, func(e compaction.Exchange) bool {
		target, partner := found[e.Target], found[e.Partner]
		outgoing := target.runs[e.Outgoing].task.Step
		if !allows(c, target.worker) || hasFailed != nil && hasFailed(target.worker) || !d.mayMoveFor(c, outgoing, partner.worker) {
			return false
		}
		if e.Incoming == compaction.NoTask {
			return true
		}
		incoming := partner.runs[e.Incoming].task.Step
		return incoming != outgoing && d.mayMoveFor(c, incoming, target.worker)
	})
}

// requestTargetTicket asks for a ticket for the host on which an exchange would make room for a task of an advised queue. The tasks move
// once the ticket is there.
func (d *Dispatcher) requestTargetTicket(c candidate, task *workload.Task) {
	cached := d.adviceOn(c.step)
	if !d.mayAsk(cached) {
		return
	}
	d.relocations.searches--
	if exchange, ok := d.findExchange(c, task, d.mayGetTicket); ok {
		d.relocations.askedAt[c.step] = d.now
		d.sendAdviceCall(c.step, []*worker{d.relocations.hosts[exchange.Target].worker})
	}
}

// describe returns what a search for exchanges needs to know about hosts.
func describe(hosts []compactable) []compaction.Host {
	described := make([]compaction.Host, len(hosts))
	for i, h := range hosts {
		described[i].Free = h.worker.idle.atMost(h.Free)
		for _, r := range h.runs {
			described[i].Movable = append(described[i].Movable, r.task.Step.Demand())
		}
	}
	return described
}

// compactableHosts returns the hosts between which tasks may be moved, those with the most idle processors.
func (d *Dispatcher) compactableHosts(hosts []host) []compactable {
	found := []compactable{}
	for i := range hosts {
		h := &hosts[i]
		if h.worker.hold != nil || h.worker.relocation != nil || h.Suspect || h.IgnoresStarts || len(h.worker.unproven) > 0 {
			continue
		}
		found = append(found, compactable{host: h})
	}
	idle := func(h compactable) int64 { return h.worker.idle.atMost(h.Free).Processors }
	slices.SortStableFunc(found, func(a, b compactable) int { return cmp.Compare(idle(b), idle(a)) })
	found = found[:min(len(found), compaction.MaxHosts)]
	budgets := d.disruptionBudgets()
	for i := range found {
		found[i].runs = d.movableRuns(found[i].worker, budgets)
	}
	return found
}

// movableRuns returns the runs that may be moved from a worker, in a fixed order.
func (d *Dispatcher) movableRuns(w *worker, budgets disruptionBudgets) []*run {
	var movable []*run
	for r := range w.liveRuns() {
		if d.mayMove(r, budgets) {
			movable = append(movable, r)
		}
	}
	slices.SortFunc(movable, func(a, b *run) int { return a.key.Compare(b.key) })
	return movable
}

// mayMoveFor reports whether a task of a step may move to a worker to make room for a candidate. Its queue must not be more urgent, and no
// other task of the step is moved meanwhile.
func (d *Dispatcher) mayMoveFor(c candidate, step *workload.Step, w *worker) bool {
	moved := d.candidateOf(step)
	isMoving := slices.ContainsFunc(step.Tasks, func(task *workload.Task) bool { return d.relocations.reserved[task] })
	return !isMoving && moved.queue.GetPriority() >= c.queue.GetPriority() && d.allows(moved, w)
}

// mayMove reports whether a run may be stopped to be started on another host.
func (d *Dispatcher) mayMove(r *run, budgets disruptionBudgets) bool {
	step := r.task.Step
	return kindOf(step) == colocation.Serving && !step.GetGang() && r.seen && !r.ended && !r.stopRequested && r.progress >= servingProgress &&
		d.now.Sub(r.began) >= minResidence && len(r.task.Runs) == 1 && !step.Job.IsTerminal() && step.Waiting == 0 &&
		!d.isAboveAccountLimit(step) && budgets.allowsStop(r)
}
