package replica

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/pkg/resource"
)

// Timing of the simulated workers in virtual time, within the limits of docs/PLATFORM.md.
const (
	simLease              = 15 * time.Second
	simRenewInterval      = 5 * time.Second
	simPollWait           = 5 * time.Second
	simRequestTimeout     = 1500 * time.Millisecond
	simClaimTimeout       = 8 * time.Second // longer than StartBy, so that some grants arrive too late
	simCheckpointInterval = 5 * time.Second // work between two checkpoints
)

// simWorker is a simulated worker that follows the protocol of docs/PLATFORM.md. Its tasks end with a crash of its process or
// with its lease.
type simWorker struct {
	cluster     *simCluster
	name, zone  string
	capacity    resource.Vector
	up          bool
	boots       int // number of process starts
	incarnation uint64
	registered  bool
	lease       time.Time
	seen        uint64
	renewing    bool
	tasks       map[string]*simTask
	reports     []*controlpb.TaskReport
	stopped     map[uint64]bool // fences whose tasks must not be started any more

	frozenUntil time.Time     // replies that arrive earlier are handled at this time
	nextFreeze  time.Duration // duration for which the process freezes after its next claim

	// Injected faults.
	ignoreLease   bool
	ignoreStartBy bool
}

// simTask is a running task.
type simTask struct {
	order *controlpb.WorkerOrder
	size  resource.Vector
	begin time.Time
}

// sendRequest sends a worker's request to a random daemon and calls done with the first reply, or with nil after the wait.
func (w *simWorker) sendRequest(request *controlpb.LeaderRequest, wait time.Duration, done func(*controlpb.LeaderReply)) {
	c, boots, open := w.cluster, w.boots, true
	var finish func(reply *controlpb.LeaderReply)
	finish = func(reply *controlpb.LeaderReply) {
		if wait := w.frozenUntil.Sub(c.now); wait > 0 {
			c.schedule(wait, func() { finish(reply) })
			return
		}
		if open && w.up && w.boots == boots {
			open = false
			done(reply)
		}
	}
	all := c.sorted()
	d := all[c.random.IntN(len(all))]
	c.transmit(w.name, d.name, func() {
		if d.core != nil {
			c.serve(d, request, func(reply *controlpb.LeaderReply, from string) {
				reply = proto.CloneOf(reply)
				c.transmit(from, w.name, func() { finish(reply) })
			}, true)
		}
	})
	c.schedule(wait, func() { finish(nil) })
}

// runAfter runs a function after a delay, unless the process has ended or restarted by then.
func (w *simWorker) runAfter(delay time.Duration, run func()) {
	boots := w.boots
	w.cluster.schedule(delay, func() {
		if w.up && w.boots == boots {
			run()
		}
	})
}

func (w *simWorker) boot() {
	w.up, w.registered, w.renewing = true, false, false
	w.boots++
	w.tasks, w.reports, w.seen = map[string]*simTask{}, nil, 0
	w.stopped = map[uint64]bool{}
	w.register()
	w.poll()
	w.renewLoop()
}

// crash ends the process and its tasks immediately.
func (w *simWorker) crash() {
	w.stopAll()
	w.up = false
}

func (w *simWorker) register() {
	w.incarnation++
	w.registered, w.reports, w.seen = false, nil, 0
	w.tryRegister(w.incarnation)
}

func (w *simWorker) tryRegister(incarnation uint64) {
	sent := w.cluster.now
	capacity := &controlpb.Resources{Processors: w.capacity.Processors, Memory: w.capacity.Memory}
	request := command(&controlpb.Command{Kind: &controlpb.Command_RegisterWorker{RegisterWorker: &controlpb.RegisterWorker{
		Worker: w.name, Incarnation: incarnation, Capacity: capacity,
	}}})
	w.sendRequest(request, simRequestTimeout, func(reply *controlpb.LeaderReply) {
		if w.incarnation != incarnation || w.registered {
			return
		}
		if reply.GetResult() != nil && reply.GetResult().GetCode() == controlpb.ResultCode_RESULT_OK {
			w.registered = true
			w.extend(sent)
			return
		}
		w.runAfter(200*time.Millisecond, func() {
			if w.incarnation == incarnation && !w.registered {
				w.tryRegister(incarnation)
			}
		})
	})
}

// extend extends the lease, which is measured from the time at which the request was sent. When the lease expires, all tasks
// stop and the worker registers again.
func (w *simWorker) extend(sent time.Time) {
	lease := sent.Add(simLease)
	if !lease.After(w.lease) {
		return
	}
	w.lease = lease
	w.runAfter(lease.Sub(w.cluster.now), func() {
		if !w.cluster.now.Before(w.lease) && !w.ignoreLease {
			w.stopAll()
			w.register()
		}
	})
}

func (w *simWorker) stopAll() {
	for _, name := range slices.Sorted(maps.Keys(w.tasks)) {
		w.cluster.workerOracle.ended(name)
	}
	w.tasks = map[string]*simTask{}
}

func (w *simWorker) renewLoop() {
	w.renew()
	w.runAfter(simRenewInterval, w.renewLoop)
}

func (w *simWorker) renew() {
	if !w.registered || w.renewing {
		return
	}
	w.renewing = true
	sent, incarnation := w.cluster.now, w.incarnation
	reports := slices.Clone(w.reports)
	renewal := &controlpb.WorkerRenewal{Worker: w.name, Incarnation: incarnation, Reports: reports}
	w.sendRequest(&controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Renewal{Renewal: renewal}}, simRequestTimeout, func(reply *controlpb.LeaderReply) {
		w.renewing = false
		if w.incarnation != incarnation {
			return
		}
		switch {
		case reply.GetPoll().GetUnknown():
			w.handleUnknown()
			return
		case reply.GetPoll().GetLease() > 0:
			w.extend(sent)
			w.reports = w.reports[len(reports):]
			w.cluster.workerOracle.acknowledged(reports)
		}
		if reply.GetPoll() == nil || len(w.reports) > 0 {
			w.runAfter(100*time.Millisecond, w.renew)
		}
	})
}

// handleUnknown stops all tasks and registers again, because the leader no longer knows this incarnation and may have
// reassigned its tasks.
func (w *simWorker) handleUnknown() {
	if w.ignoreLease {
		return
	}
	w.stopAll()
	w.register()
}

func (w *simWorker) poll() {
	if !w.registered {
		w.runAfter(100*time.Millisecond, w.poll)
		return
	}
	incarnation := w.incarnation
	poll := &controlpb.Poll{Worker: w.name, Incarnation: incarnation, Seen: w.seen, Wait: int64(simPollWait)}
	w.sendRequest(&controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Poll{Poll: poll}}, simPollWait+simRequestTimeout, func(reply *controlpb.LeaderReply) {
		if w.incarnation == incarnation && reply.GetPoll() != nil {
			if reply.GetPoll().GetUnknown() {
				w.handleUnknown()
			} else if reply.GetPoll().GetNumber() > 0 {
				w.seen = reply.GetPoll().GetNumber()
				w.handleOrders(reply.GetPoll().GetOrders())
			}
		}
		w.runAfter(10*time.Millisecond, w.poll)
	})
}

func (w *simWorker) handleOrders(orders []*controlpb.WorkerOrder) {
	claim := &controlpb.Claim{Worker: w.name, Incarnation: w.incarnation}
	offers := map[string]*controlpb.WorkerOrder{}
	for _, order := range orders {
		running := w.tasks[order.GetTask()]
		switch {
		case order.GetKind() == controlpb.WorkerOrder_START && running == nil:
			claim.Tasks = append(claim.Tasks, &controlpb.TaskFence{Task: order.GetTask(), Fence: order.GetFence()})
			offers[order.GetTask()] = order
		case order.GetKind() == controlpb.WorkerOrder_STOP:
			w.stop(order)
		}
	}
	if len(claim.Tasks) > 0 {
		w.claim(claim, offers)
	}
}

func (w *simWorker) claim(claim *controlpb.Claim, offers map[string]*controlpb.WorkerOrder) {
	sent, incarnation := w.cluster.now, w.incarnation
	w.frozenUntil = sent.Add(w.nextFreeze)
	w.nextFreeze = 0
	w.sendRequest(&controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Claim{Claim: claim}}, simClaimTimeout, func(reply *controlpb.LeaderReply) {
		grant := reply.GetClaim()
		late := w.cluster.now.Sub(sent) >= time.Duration(grant.GetStartBy())
		if w.incarnation != incarnation || !w.cluster.now.Before(w.lease) && !w.ignoreLease || late && !w.ignoreStartBy {
			return
		}
		for _, granted := range grant.GetGranted() {
			w.start(offers[granted.GetTask()])
		}
	})
}

func (w *simWorker) start(order *controlpb.WorkerOrder) {
	name, fence := order.GetTask(), order.GetFence()
	if w.tasks[name] != nil || w.stopped[fence] {
		return
	}
	request := order.GetSpec().GetRequest()
	t := &simTask{order: order, begin: w.cluster.now, size: resource.Vector{Processors: request.GetProcessors(), Memory: request.GetMemory()}}
	w.tasks[name] = t
	w.cluster.workerOracle.started(w, order)
	w.report(order, controlpb.ReportKind_REPORT_RUNNING, order.GetCheckpoint())
	if length := order.GetSpec().GetRunTime(); length > 0 {
		left := time.Duration(length) - time.Duration(order.GetCheckpoint())*simCheckpointInterval
		w.runAfter(max(left, time.Millisecond), func() {
			if w.tasks[name] == t {
				delete(w.tasks, name)
				w.cluster.workerOracle.ended(name)
				w.cluster.workerOracle.done[name] = true
				w.report(order, controlpb.ReportKind_REPORT_FINISHED, 0)
			}
		})
	}
}

func (w *simWorker) stop(order *controlpb.WorkerOrder) {
	w.stopped[order.GetFence()] = true
	checkpoint := uint64(0)
	if t := w.tasks[order.GetTask()]; t != nil && t.order.GetFence() == order.GetFence() {
		delete(w.tasks, order.GetTask())
		w.cluster.workerOracle.ended(order.GetTask())
		if t.order.GetSpec().GetCheckpoints() {
			checkpoint = t.order.GetCheckpoint() + uint64(w.cluster.now.Sub(t.begin)/simCheckpointInterval)
		}
	}
	w.report(order, controlpb.ReportKind_REPORT_STOPPED, checkpoint)
}

func (w *simWorker) report(order *controlpb.WorkerOrder, kind controlpb.ReportKind, checkpoint uint64) {
	w.reports = append(w.reports, &controlpb.TaskReport{Task: order.GetTask(), Fence: order.GetFence(), Kind: kind, Checkpoint: checkpoint})
	w.renew()
}

func (w *simWorker) used() resource.Vector {
	var sum resource.Vector
	for _, t := range w.tasks {
		sum = sum.Add(t.size)
	}
	return sum
}

// workerOracle checks invariants from the point of view of an observer of all workers. Violations start with the number of
// their invariant:
//   - I1: the tasks on a worker fit its capacity.
//   - I2: a task runs on one worker at a time.
//   - I4: no task starts in a zone that was taken out more than 3 s ago.
//   - I10: requests of operators are answered.
//   - I11: a task finishes once, and what the leader reports of a task is true.
type workerOracle struct {
	cluster  *simCluster
	running  map[string]string    // worker by task
	done     map[string]bool      // tasks whose work was done by a worker
	finished map[string]bool      // tasks whose report was acknowledged too; until then a task may run again
	zonesOut map[string]time.Time // when the request to take the zone out was answered
	starts   int
}

func (f *workerOracle) started(w *simWorker, order *controlpb.WorkerOrder) {
	name, now := order.GetTask(), f.cluster.now
	f.starts++
	if other := f.running[name]; other != "" {
		f.violation("I2 %s starts on %s while it runs on %s", name, w.name, other)
	}
	if f.finished[name] {
		f.violation("I11 %s starts on %s after it finished", name, w.name)
	}
	if out, ok := f.zonesOut[w.zone]; ok && now.Sub(out) > 3*time.Second {
		f.violation("I4 %s starts in %s %v after it was taken out", name, w.zone, now.Sub(out))
	}
	if used := w.used(); !used.Fits(w.capacity) {
		f.violation("I1 %s holds %v of %v", w.name, used, w.capacity)
	}
	f.running[name] = w.name
}

func (f *workerOracle) ended(name string) { delete(f.running, name) }

func (f *workerOracle) acknowledged(reports []*controlpb.TaskReport) {
	for _, report := range reports {
		if report.GetKind() == controlpb.ReportKind_REPORT_FINISHED {
			f.finished[report.GetTask()] = true
		}
	}
}

func (f *workerOracle) violation(format string, arguments ...any) {
	f.cluster.oracle.violation("%s: %s", f.cluster.now.Sub(f.cluster.start), fmt.Sprintf(format, arguments...))
}
