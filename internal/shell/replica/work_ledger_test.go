package replica

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

// workLedger records what the workers and clients have observed, and checks the state of each new leader against it.
type workLedger struct {
	system *workSystem
	events map[string]int // number of events by name

	running      map[workload.TaskKey]placedRun // on workers that are up
	ordered      map[workload.TaskKey]uint32    // highest run whose start was sent
	recordedDone map[workload.TaskKey]bool      // tasks of which a worker has forgotten a successful end
	doneBy       map[workload.TaskKey][]uint32  // runs that have ended successfully
	startedAfter map[workload.TaskKey]uint32    // highest run that has started after a successful end
	recordedEnds map[uint32]uint64              // last acknowledged end by number of the incarnation
	accepted     map[string]bool                // acknowledged jobs
	completed    map[string]bool                // jobs that were reported as completed
	epoch        uint64                         // highest epoch of a call
}

// placedRun is a run on a worker.
type placedRun struct {
	host *workHost
	run  uint32
}

func newWorkLedger(system *workSystem) *workLedger {
	return &workLedger{
		system: system, events: map[string]int{}, running: map[workload.TaskKey]placedRun{}, ordered: map[workload.TaskKey]uint32{},
		recordedDone: map[workload.TaskKey]bool{}, doneBy: map[workload.TaskKey][]uint32{}, startedAfter: map[workload.TaskKey]uint32{},
		recordedEnds: map[uint32]uint64{}, accepted: map[string]bool{}, completed: map[string]bool{},
	}
}

func compareRuns(a, b workload.RunKey) int {
	return cmp.Or(cmp.Compare(a.Task.String(), b.Task.String()), cmp.Compare(a.Run, b.Run))
}

func (l *workLedger) violation(format string, arguments ...any) {
	l.system.oracle.violation("%s: %s", l.system.elapsed(), fmt.Sprintf(format, arguments...))
}

// record counts an event and carries out the strike that waits for it.
func (l *workLedger) record(event string) {
	l.events[event]++
	l.system.strikeOn(event)
}

// sent records a call when it leaves the leader: it shows what the leader relies on, whether it arrives or not.
func (l *workLedger) sent(call *order.Call) {
	l.epoch = max(l.epoch, call.Epoch)
	switch call.Kind {
	case order.Start:
		if call.Run.Run > l.ordered[call.Run.Task] && call.Run.Run > 1 {
			l.record(eventRestartOrdered)
		}
		l.ordered[call.Run.Task] = max(l.ordered[call.Run.Task], call.Run.Run)
		l.record(eventStartOrdered)
	case order.Poll:
		l.recordedEnds[call.Incarnation] = max(l.recordedEnds[call.Incarnation], call.RecordedEnds)
	}
}

func (l *workLedger) refused(call *order.Call) {
	if call.Kind == order.Start {
		l.record(eventStartRefused)
	}
}

func (l *workLedger) started(h *workHost, key workload.RunKey) {
	l.events["started"]++
	if other, ok := l.running[key.Task]; ok {
		l.violation("TWICE %s run %d starts on %s while run %d is on %s", key.Task, key.Run, h.id, other.run, other.host.id)
	}
	if l.completed[key.Task.Job] {
		l.violation("TWICE %s run %d starts on %s although its job was reported as completed", key.Task, key.Run, h.id)
	}
	if l.recordedDone[key.Task] {
		l.violation("TWICE %s run %d starts on %s after an acknowledged end", key.Task, key.Run, h.id)
	}
	if len(l.doneBy[key.Task]) > 0 {
		l.startedAfter[key.Task] = max(l.startedAfter[key.Task], key.Run)
	}
	l.running[key.Task] = placedRun{host: h, run: key.Run}
}

// stopped records that a run no longer runs.
func (l *workLedger) stopped(h *workHost, key workload.RunKey) {
	if l.running[key.Task] == (placedRun{host: h, run: key.Run}) {
		delete(l.running, key.Task)
	}
}

func (l *workLedger) ended(h *workHost, key workload.RunKey, result controlpb.RunEnd) {
	l.stopped(h, key)
	l.events["ended "+result.String()]++
	if result == controlpb.RunEnd_RUN_DONE {
		l.doneBy[key.Task] = append(l.doneBy[key.Task], key.Run)
	}
}

// acknowledged records that a worker forgets an end. An end doesn't count if the worker's lease has expired since.
func (l *workLedger) acknowledged(call *order.Call, e hostEnd) {
	l.record(eventEndAcknowledged)
	if e.Result != controlpb.RunEnd_RUN_DONE || e.lapsed {
		return
	}
	if started := l.startedAfter[e.Run.Task]; started > e.Run.Run {
		l.violation("TWICE %s run %d has started after the end of run %d, which is acknowledged under epoch %d", e.Run.Task, started, e.Run.Run, call.Epoch)
	}
	l.recordedDone[e.Run.Task] = true
}

func (l *workLedger) jobAccepted(id string) {
	l.accepted[id] = true
	l.record(eventJobAccepted)
}

func (l *workLedger) jobCompleted(id string) {
	l.events["job reported as completed"]++
	l.completed[id] = true
}

// checkState checks that a state holds everything that was acted upon.
func (l *workLedger) checkState(name string, state *workload.State) {
	lost := func(format string, arguments ...any) {
		l.violation("LOST in the state of %s: %s", name, fmt.Sprintf(format, arguments...))
	}
	if state.Epoch() < l.epoch {
		lost("epoch %d; calls were made under %d", state.Epoch(), l.epoch)
	}
	for _, id := range slices.Sorted(maps.Keys(l.accepted)) {
		if outcome, _ := state.Lookup(id); outcome == controlpb.WorkState_WORK_UNKNOWN {
			lost("accepted job %s", id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(l.completed)) {
		if outcome, _ := state.Lookup(id); outcome != controlpb.WorkState_WORK_COMPLETED {
			lost("outcome of job %s, which was reported as completed and is %v", id, outcome)
		}
	}
	for _, number := range slices.Sorted(maps.Keys(l.recordedEnds)) {
		if w := state.Worker(number); w != nil && w.GetEndsSeen() < l.recordedEnds[number] {
			lost("ends of worker %s up to %d; they are recorded up to %d", w.GetId(), l.recordedEnds[number], w.GetEndsSeen())
		}
	}
	for key, run := range l.ordered {
		task := state.Task(key)
		if task == nil {
			if outcome, _ := state.Lookup(key.Job); outcome != controlpb.WorkState_WORK_COMPLETED && outcome != controlpb.WorkState_WORK_FAILED {
				lost("job %s of ordered run %s %d is %v", key.Job, key, run, outcome)
			}
			continue
		}
		if task.LastRun < run {
			lost("assignment of run %s %d, whose start was ordered; the last one is %d", key, run, task.LastRun)
		}
		for _, live := range task.Runs {
			if live.Number < run {
				lost("removal of run %s %d, after which run %d was ordered", key, live.Number, run)
			}
		}
		if l.recordedDone[key] && !task.Done {
			lost("acknowledged end of %s", key)
		}
	}
}
