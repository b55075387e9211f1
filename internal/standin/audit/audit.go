// Package audit checks the system's guarantees against what stand-ins for workers, endpoints and callers observe, and
// counts checks and violations. It doesn't use the scheduler's state.
package audit

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"galenamoor/pkg/resource"
)

// zoneOutStartLimit is the time after the acknowledgement of a zone-out during which a task may still start in the zone.
const zoneOutStartLimit = 3 * time.Second

// Promise is a guarantee with the numbers of its checks and violations.
type Promise struct {
	Name   string
	Checks int
	Broken int    // number of violations
	First  string // description of the first violation
}

// Audit collects observations and checks the guarantees. It is safe for concurrent use.
type Audit struct {
	mu         sync.Mutex
	guarantees map[string]*Promise
	running    map[string]string    // worker by task
	finished   map[string]bool      // finished tasks
	zonesOut   map[string]time.Time // acknowledgement of the zone-out by zone
	executions map[string]int       // executions at endpoints by request key
	starts     int
	evictions  int
	batchWork  time.Duration // declared run time that batch tasks completed durably
}

// Guarantees that an Audit checks.
const (
	Capacity           = "no worker holds more than its capacity"
	SingleRun          = "a task runs in one place at a time"
	NoStartAfterFinish = "a finished task does not start again"
	ZoneOut            = "no task starts in a zone 3 s after it was taken out"
	CorrectAnswer      = "a caller gets the whole answer to its own request"
	NotRun             = "a call that was answered not-run did not run"
	AtMostOnce         = "a non-repeatable call runs at most once"
	Slots              = "an endpoint has no more calls than slots"
	Connections        = "an endpoint has no more connections than it accepts"
	GracefulStop       = "a planned stop cuts no call in progress"
)

// New returns an Audit without observations.
func New() *Audit {
	a := &Audit{
		guarantees: map[string]*Promise{},
		running:    map[string]string{},
		finished:   map[string]bool{},
		zonesOut:   map[string]time.Time{},
		executions: map[string]int{},
	}
	for _, name := range []string{Capacity, SingleRun, NoStartAfterFinish, ZoneOut, CorrectAnswer, NotRun, AtMostOnce, Slots, Connections, GracefulStop} {
		a.guarantees[name] = &Promise{Name: name}
	}
	return a
}

// Check records one check of a guarantee, and whether it holds. The format and args describe a violation.
func (a *Audit) Check(name string, holds bool, format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkLocked(name, holds, format, args...)
}

func (a *Audit) checkLocked(name string, holds bool, format string, args ...any) {
	guarantee := a.guarantees[name]
	guarantee.Checks++
	if holds {
		return
	}
	guarantee.Broken++
	if guarantee.First == "" {
		guarantee.First = fmt.Sprintf(format, args...)
	}
}

// TaskStarted records that a worker started a task.
func (a *Audit) TaskStarted(task, worker, zone string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.starts++
	other, running := a.running[task]
	a.checkLocked(SingleRun, !running, "%s starts on %s while it runs on %s", task, worker, other)
	a.checkLocked(NoStartAfterFinish, !a.finished[task], "%s starts on %s after it finished", task, worker)
	outSince, isOut := a.zonesOut[zone]
	delay := now.Sub(outSince)
	a.checkLocked(ZoneOut, !isOut || delay <= zoneOutStartLimit, "%s starts in %s %v after it was taken out", task, zone, delay)
	a.running[task] = worker
}

// TaskEnded records that a run of a task ended because it finished or was evicted. work is the part of the declared run time
// that the run completed durably.
func (a *Audit) TaskEnded(task string, finished, evicted bool, work time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, task)
	if finished {
		a.finished[task] = true
	}
	if evicted {
		a.evictions++
	}
	a.batchWork += work
}

// WorkerUse records the sum of the resources granted to the tasks that a worker runs.
func (a *Audit) WorkerUse(worker string, used, capacity resource.Vector) {
	a.Check(Capacity, used.Fits(capacity), "%s holds %v of %v", worker, used, capacity)
}

// ZoneChanged records that an operator's request to take a zone out of service, or to return it, was acknowledged.
func (a *Audit) ZoneChanged(zone string, out bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if out {
		a.zonesOut[zone] = now
		return
	}
	delete(a.zonesOut, zone)
}

// Executed records that an endpoint executes a call.
func (a *Audit) Executed(key string, repeatable bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.executions[key]++
	if !repeatable {
		a.checkLocked(AtMostOnce, a.executions[key] == 1, "call %s ran %d times", key, a.executions[key])
	}
}

// NotRun records that a caller received the outcome not-run.
func (a *Audit) NotRun(key string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkLocked(NotRun, a.executions[key] == 0, "call %s was answered not-run after it ran %d times", key, a.executions[key])
}

// Report returns all guarantees, sorted by name.
func (a *Audit) Report() []Promise {
	a.mu.Lock()
	defer a.mu.Unlock()
	var report []Promise
	for _, guarantee := range a.guarantees {
		report = append(report, *guarantee)
	}
	sort.Slice(report, func(i, j int) bool { return report[i].Name < report[j].Name })
	return report
}

// Totals holds sums over all tasks.
type Totals struct {
	Starts    int
	Running   int
	Evictions int
	BatchDone time.Duration // declared run time that batch tasks completed durably
}

// Totals returns the current sums.
func (a *Audit) Totals() Totals {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Totals{Starts: a.starts, Running: len(a.running), Evictions: a.evictions, BatchDone: a.batchWork}
}
