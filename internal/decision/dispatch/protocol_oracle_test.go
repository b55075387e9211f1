package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// violationClass tells whether the leader could have prevented a violation.
type violationClass string

const (
	// needlessOrder: a start was ordered although the leader knew that the run had been listed, refused or withdrawn.
	needlessOrder violationClass = "needless order"
	// earlyRemoval: a run was removed from the replicated state while an order for it could still take effect.
	earlyRemoval violationClass = "early removal"
	// earlyAcknowledgement: a poll for an earlier incarnation, sent after the start and not delayed, has discarded an end of a
	// later one, though the earlier one had answered no poll in between.
	earlyAcknowledgement violationClass = "early acknowledgement"
	// staleOrder: a start was ordered from an incarnation although a later one had answered or announced itself.
	staleOrder violationClass = "stale order"
	// unfenced: an order for an earlier incarnation was carried out by a later one that hadn't answered the leader.
	unfenced violationClass = "unfenced"
)

// violation is a task that ran twice.
type violation struct {
	class  violationClass
	detail string
	trace  string
}

// runHistory is what the leader of an epoch knows about a run, each by the step of the oracle at which it learned it.
type runHistory struct {
	epoch                              uint64
	listed, refused, removalProposed   int
	removalProposedAt                  time.Time
	removal                            string
	orders                             int
	firstSent                          time.Time
	missedBefore, announcedBeforeOrder bool
}

// protocolOracle checks from the workers' point of view that no task runs twice at a time or starts after an acknowledged,
// successful end.
type protocolOracle struct {
	cluster    *cluster
	step       int
	runs       map[workload.RunKey]*runHistory
	removals   map[workload.RunKey]runHistory // when the run was removed from the replicated state
	live       map[workload.RunKey]bool       // runs in the replicated state
	sentAt     map[*order.Call]int
	starts     map[workload.TaskKey][]*strictRun
	done       map[workload.TaskKey]doneRecord
	polledAt   map[addressedIncarnation]time.Time // when the newest poll that it has answered was sent
	notes      []note
	violations []violation
	byClass    map[string]int
	reported   map[workload.TaskKey]bool
}

// addressedIncarnation is an incarnation that a leader calls.
type addressedIncarnation struct {
	epoch  uint64
	number uint32
}

// doneRecord is the first acknowledged, successful end of a task.
type doneRecord struct {
	end            strictEnd
	acknowledgedAt time.Time
	by             *exchange
}

// note is a line of the trace, of one task or, if task is empty, of all.
type note struct {
	at   time.Time
	task string
	text string
}

func newProtocolOracle(c *cluster) *protocolOracle {
	return &protocolOracle{
		cluster: c, runs: map[workload.RunKey]*runHistory{}, removals: map[workload.RunKey]runHistory{}, live: map[workload.RunKey]bool{}, sentAt: map[*order.Call]int{},
		starts: map[workload.TaskKey][]*strictRun{}, done: map[workload.TaskKey]doneRecord{}, byClass: map[string]int{},
		reported: map[workload.TaskKey]bool{}, polledAt: map[addressedIncarnation]time.Time{},
	}
}

func (o *protocolOracle) note(format string, values ...any) {
	o.notes = append(o.notes, note{at: o.cluster.now, text: fmt.Sprintf(format, values...)})
}

func (o *protocolOracle) noteRun(key workload.RunKey, format string, values ...any) {
	text := fmt.Sprintf("run %d: ", key.Run) + fmt.Sprintf(format, values...)
	o.notes = append(o.notes, note{at: o.cluster.now, task: key.Task.String(), text: text})
}

// history returns what the leader of an epoch knows about a run. A new leader knows nothing.
func (o *protocolOracle) history(key workload.RunKey, epoch uint64) *runHistory {
	h := o.runs[key]
	if h == nil || h.epoch != epoch {
		h = &runHistory{epoch: epoch}
		o.runs[key] = h
	}
	return h
}

func (o *protocolOracle) sent(call *order.Call, d delivery) {
	o.step++
	o.sentAt[call] = o.step
	if call.Kind != order.Start && call.Kind != order.Stop {
		return
	}
	w := o.cluster.workerAt(call.Address)
	o.noteRun(call.Run, "%v ordered from %s started at %d (now %d), fence %x, lease until %v, delivery %+v",
		call.Kind, w.id, call.IncarnationStartMs, w.incarnation.startMs, call.Fence, call.LeaseExpiry, d)
	if call.Kind == order.Start {
		h := o.history(call.Run, call.Epoch)
		if h.orders++; h.orders == 1 {
			h.firstSent = o.cluster.now
		}
		tracked := o.cluster.leader.workers[call.Incarnation]
		h.missedBefore = tracked.missedCalls > 0
		h.announcedBeforeOrder = !tracked.checkedSince.IsZero()
	}
}

// answered notes an answer that the leader gets.
func (o *protocolOracle) answered(a *order.Answer) {
	o.step++
	switch a.Call.Kind {
	case order.Start, order.Stop:
		o.noteRun(a.Call.Run, "%v answered with %v", a.Call.Kind, a.Status)
		if h := o.history(a.Call.Run, a.Call.Epoch); a.Call.Kind == order.Start && h.refused == 0 {
			switch a.Status {
			case order.Unhealthy, order.NoCapacity, order.Invalid:
				h.refused = o.step
			}
		}
	case order.Poll:
		if a.Status == order.OtherIncarnation {
			o.note("leader learns that %s was started at %d", a.Call.ID, a.IncarnationStartMs)
		}
		if a.Status == order.OK {
			o.polledAt[addressedIncarnation{a.Call.Epoch, a.Call.Incarnation}] = a.Call.Sent
		}
		for _, r := range a.Running {
			o.listed(r.Run, a, "running")
		}
		for _, e := range a.Ended {
			o.listed(e.Run, a, "ended as "+e.Result.String())
		}
	}
}

func (o *protocolOracle) listed(key workload.RunKey, a *order.Answer, how string) {
	if h := o.history(key, a.Call.Epoch); h.listed == 0 && a.Call.IncarnationStartMs != 0 {
		h.listed = o.step
	}
	o.noteRun(key, "listed by %s as %s", a.Call.ID, how)
}

// proposed notes the removals in a batch of changes.
func (o *protocolOracle) proposed(batch *controlpb.WorkBatch) {
	o.step++
	for _, change := range batch.GetChanges() {
		switch kind := change.GetKind().(type) {
		case *controlpb.WorkChange_DropRun:
			o.removalProposed(workload.RunKey{Task: workload.TaskKeyFromRef(kind.DropRun.GetTask()), Run: kind.DropRun.GetRun()}, "withdrawal")
		case *controlpb.WorkChange_NoteEnds:
			for _, e := range kind.NoteEnds.GetEnds() {
				o.removalProposed(workload.RunKey{Task: workload.TaskKeyFromRef(e.GetTask()), Run: e.GetRun()}, "end "+e.GetHow().String())
			}
		case *controlpb.WorkChange_EndLife:
			if w := o.cluster.state.Worker(kind.EndLife.GetNumber()); w != nil {
				o.note("loss of %s started at %d proposed", w.GetId(), w.GetBornMs())
				for _, key := range sortedKeys(w.Runs) {
					o.removalProposed(key, "loss of its worker")
				}
			}
		case *controlpb.WorkChange_PutWorker:
			o.note("%s started at %d proposed", kind.PutWorker.GetId(), kind.PutWorker.GetBornMs())
			if w := o.cluster.state.WorkerByID(kind.PutWorker.GetId()); w != nil && w.GetBornMs() < kind.PutWorker.GetBornMs() {
				for _, key := range sortedKeys(w.Runs) {
					o.removalProposed(key, "replacement of its worker")
				}
			}
		}
	}
}

func (o *protocolOracle) removalProposed(key workload.RunKey, removal string) {
	h := o.history(key, o.cluster.leader.epoch)
	if h.removalProposed == 0 {
		h.removalProposed, h.removalProposedAt, h.removal = o.step, o.cluster.now, removal
	}
	o.noteRun(key, "%s proposed", removal)
}

// committed notes the runs that have entered or left the replicated state.
func (o *protocolOracle) committed() {
	now := map[workload.RunKey]bool{}
	for _, w := range o.cluster.state.Workers() {
		for _, key := range sortedKeys(w.Runs) {
			now[key] = true
			if !o.live[key] {
				o.noteRun(key, "assigned to %s started at %d", w.GetId(), w.GetBornMs())
			}
		}
	}
	for _, key := range sortedKeys(o.live) {
		if !now[key] {
			o.noteRun(key, "removed")
			if h := o.runs[key]; h != nil {
				o.removals[key] = *h
			}
		}
	}
	o.live = now
}

// started checks a run that a worker has just started.
func (o *protocolOracle) started(r *strictRun) {
	task := r.key.Task
	o.noteRun(r.key, "starts on %s started at %d, ordered %v ago from the incarnation started at %d",
		r.worker.id, r.incarnation.startMs, o.cluster.now.Sub(r.start.Sent), r.start.IncarnationStartMs)
	earlier := o.starts[task]
	o.starts[task] = append(earlier, r)
	if o.cluster.step(task).GetSpeculative() {
		if d, ok := o.done[task]; ok && r.start.Sent.Sub(d.acknowledgedAt) > time.Second {
			o.violated(task, o.classifyDone(d, r), "starts long after its end was acknowledged")
		}
		return
	}
	if d, ok := o.done[task]; ok {
		o.violated(task, o.classifyDone(d, r), "starts after an acknowledged end as done")
		return
	}
	for _, other := range earlier {
		if other.incarnation.up && other.incarnation.runs[other.key] == other {
			o.violated(task, o.classify(other, r), "runs twice at the same time")
			return
		}
	}
}

func (o *protocolOracle) ended(r *strictRun, how controlpb.RunEnd) {
	o.noteRun(r.key, "ends as %v on %s", how, r.worker.id)
}

// acknowledged checks that no run of a task has started after an end as done that is being acknowledged.
func (o *protocolOracle) acknowledged(e strictEnd, by *exchange) {
	task := e.Run.Task
	o.noteRun(e.Run, "end as done on %s acknowledged by a poll for the incarnation started at %d, sent %v ago, up to %d",
		e.run.worker.id, by.call.IncarnationStartMs, o.cluster.now.Sub(by.call.Sent), by.call.RecordedEnds)
	if _, ok := o.done[task]; ok {
		return
	}
	d := doneRecord{end: e, acknowledgedAt: o.cluster.now, by: by}
	o.done[task] = d
	if o.cluster.step(task).GetSpeculative() {
		return
	}
	for _, r := range o.starts[task] {
		if r.began.After(e.at) {
			o.violated(task, o.classifyDone(d, r), "started after an end as done that is acknowledged later")
			return
		}
	}
}

// classifyDone classifies a start after an end as done. The end may have been acknowledged without being recorded.
func (o *protocolOracle) classifyDone(d doneRecord, r *strictRun) violationClass {
	if addressed := d.by.call.IncarnationStartMs; addressed == 0 || addressed == d.end.run.incarnation.startMs {
		return o.classify(d.end.run, r)
	}
	ordered := d.end.run.start.Sent
	wasPolled := !o.polledAt[addressedIncarnation{d.by.call.Epoch, d.by.call.Incarnation}].Before(ordered)
	if d.by.delivery.delay < protocolTimeout && d.by.call.Sent.After(ordered) && !wasPolled {
		return earlyAcknowledgement
	}
	return unfenced
}

// classify tells whether the leader could have prevented that two runs of a task exist.
func (o *protocolOracle) classify(runs ...*strictRun) violationClass {
	class := earlyRemoval
	for _, r := range runs {
		h, sent := o.runs[r.key], o.sentAt[r.start]
		for _, known := range []int{h.listed, h.refused, h.removalProposed} {
			if h.epoch == r.start.Epoch && known > 0 && sent > known {
				return needlessOrder
			}
		}
		if r.start.IncarnationStartMs == r.incarnation.startMs {
			continue
		}
		if r.incarnation.isKnown(r.start) {
			return staleOrder
		}
		removal, isRemoved := o.removals[r.key]
		if answeredAt := r.incarnation.answeredAt[removal.epoch]; answeredAt.IsZero() || isRemoved && !answeredAt.Before(removal.removalProposedAt) {
			class = unfenced
		}
	}
	return class
}

func (o *protocolOracle) violated(task workload.TaskKey, class violationClass, how string) {
	if o.reported[task] {
		return
	}
	o.reported[task] = true
	o.byClass[string(class)]++
	for _, r := range o.starts[task] {
		if class == unfenced && r.start.IncarnationStartMs != r.incarnation.startMs {
			o.countUnfenced(r)
		}
	}
	for _, r := range o.starts[task] {
		how += "; " + o.describe(r)
	}
	o.violations = append(o.violations, violation{class: class, detail: fmt.Sprintf("%s %s", task, how), trace: o.trace(task)})
}

// isKnown reports whether the leader could know of an incarnation when it ordered a start from another one.
func (l *strictIncarnation) isKnown(start *order.Call) bool {
	answeredAt, announcedAt := l.answeredAt[start.Epoch], l.announcedAt[start.Epoch]
	return !answeredAt.IsZero() && answeredAt.Before(start.Sent) || !announcedAt.IsZero() && announcedAt.Before(start.Sent) && l.startMs > start.IncarnationStartMs
}

// describe tells by which incarnation a run was started, and how it was removed from the replicated state.
func (o *protocolOracle) describe(r *strictRun) string {
	by, delay, removal := "addressed", "on time", o.removals[r.key]
	if r.start.IncarnationStartMs != r.incarnation.startMs {
		by = "later"
		if !r.incarnation.answeredAt[removal.epoch].IsZero() {
			by = "later, heard"
		}
	}
	if r.began.Sub(r.start.Sent) >= protocolTimeout {
		delay = "late"
	}
	return fmt.Sprintf("run by %s incarnation, %s, removed by %s", by, delay, removal.removal)
}

// countUnfenced counts what an order that couldn't be fenced has in common with others.
func (o *protocolOracle) countUnfenced(r *strictRun) {
	h := o.runs[r.key]
	traits := []string{"late"}
	if r.began.Sub(r.start.Sent) < protocolTimeout {
		traits = []string{"on time"}
	}
	if r.start.Sent.After(h.firstSent) {
		traits = append(traits, "repeated")
	}
	if h.missedBefore {
		traits = append(traits, "after a missed call")
	}
	if h.announcedBeforeOrder {
		traits = append(traits, "while a later incarnation was being checked")
	}
	if leader := o.cluster.leader; leader != nil {
		if at := r.incarnation.announcedAt[leader.epoch]; !at.IsZero() && at.Before(r.began) {
			traits = append(traits, "carried out after an announcement")
		}
	}
	traits = append(traits, "removed by "+o.removals[r.key].removal)
	o.byClass["unfenced: "+strings.Join(traits, ", ")]++
}

// trace returns the events of a task and of the workers that it was ordered from.
func (o *protocolOracle) trace(task workload.TaskKey) string {
	var workers []string
	for _, r := range o.starts[task] {
		workers = append(workers, r.worker.id+" ")
	}
	var lines []string
	for _, n := range o.notes {
		about := n.task == task.String() || n.task == "" && (strings.HasPrefix(n.text, "leader deposed") || strings.HasPrefix(n.text, "leader starts") ||
			slices.ContainsFunc(workers, func(id string) bool { return strings.Contains(n.text, id) }))
		if about {
			lines = append(lines, fmt.Sprintf("%8.3f %s", n.at.Sub(time.Unix(1_000_000, 0)).Seconds(), n.text))
		}
	}
	return strings.Join(lines[max(0, len(lines)-60):], "\n")
}
