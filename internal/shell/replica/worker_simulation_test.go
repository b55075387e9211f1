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
func (s *simWorker) sendRequest(request *controlpb.LeaderRequest, wait time.Duration, done func(*controlpb.LeaderReply)) {
	w, boots, open := s.cluster, s.boots, true
	var finish func(reply *controlpb.LeaderReply)
	finish = func(reply *controlpb.LeaderReply) {
		if wait := s.frozenUntil.Sub(w.now); wait > 0 {
			w.schedule(wait, func() { finish(reply) })
			return
		}
		if open && s.up && s.boots == boots {
			open = false
			done(reply)
		}
	}
	all := w.sorted()
	d := all[w.random.IntN(len(all))]
	w.transmit(s.name, d.name, func() {
		if d.core != nil {
			w.serve(d, request, func(reply *controlpb.LeaderReply, from string) {
				reply = proto.CloneOf(reply)
				w.transmit(from, s.name, func() { finish(reply) })
			}, true)
		}
	})
	w.schedule(wait, func() { finish(nil) })
}

// runAfter runs a function after a delay, unless the process has ended or restarted by then.
func (s *simWorker) runAfter(delay time.Duration, run func()) {
	boots := s.boots
	s.cluster.schedule(delay, func() {
		if s.up && s.boots == boots {
			run()
		}
	})
}

func (s *simWorker) boot() {
	s.up, s.registered, s.renewing = true, false, false
	s.boots++
	s.tasks, s.reports, s.seen = map[string]*simTask{}, nil, 0
	s.stopped = map[uint64]bool{}
	s.register()
	s.poll()
	s.renewLoop()
}

// crash ends the process and its tasks immediately.
func (s *simWorker) crash() {
	s.stopAll()
	s.up = false
}

func (s *simWorker) register() {
	s.incarnation++
	s.registered, s.reports, s.seen = false, nil, 0
	s.tryRegister(s.incarnation)
}

func (s *simWorker) tryRegister(incarnation uint64) {
	sent := s.cluster.now
	capacity := &controlpb.Resources{Processors: s.capacity.Processors, Memory: s.capacity.Memory}
	request := command(&controlpb.Command{Kind: &controlpb.Command_RegisterWorker{RegisterWorker: &controlpb.RegisterWorker{
		Worker: s.name, Incarnation: incarnation, Capacity: capacity,
	}}})
	s.sendRequest(request, simRequestTimeout, func(reply *controlpb.LeaderReply) {
		if s.incarnation != incarnation || s.registered {
			return
		}
		if reply.GetResult() != nil && reply.GetResult().GetCode() == controlpb.ResultCode_RESULT_OK {
			s.registered = true
			s.extend(sent)
			return
		}
		s.runAfter(200*time.Millisecond, func() {
			if s.incarnation == incarnation && !s.registered {
				s.tryRegister(incarnation)
			}
		})
	})
}

// extend extends the lease, which is measured from the time at which the request was sent. When the lease expires, all tasks
// stop and the worker registers again.
func (s *simWorker) extend(sent time.Time) {
	lease := sent.Add(simLease)
	if !lease.After(s.lease) {
		return
	}
	s.lease = lease
	s.runAfter(lease.Sub(s.cluster.now), func() {
		if !s.cluster.now.Before(s.lease) && !s.ignoreLease {
			s.stopAll()
			s.register()
		}
	})
}

func (s *simWorker) stopAll() {
	for _, name := range slices.Sorted(maps.Keys(s.tasks)) {
		s.cluster.fleetOracle.ended(name)
	}
	s.tasks = map[string]*simTask{}
}

func (s *simWorker) renewLoop() {
	s.renew()
	s.runAfter(simRenewInterval, s.renewLoop)
}

func (s *simWorker) renew() {
	if !s.registered || s.renewing {
		return
	}
	s.renewing = true
	sent, incarnation := s.cluster.now, s.incarnation
	reports := slices.Clone(s.reports)
	renewal := &controlpb.WorkerRenewal{Worker: s.name, Incarnation: incarnation, Reports: reports}
	s.sendRequest(&controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Renewal{Renewal: renewal}}, simRequestTimeout, func(reply *controlpb.LeaderReply) {
		s.renewing = false
		if s.incarnation != incarnation {
			return
		}
		switch {
		case reply.GetPoll().GetUnknown():
			s.handleUnknown()
			return
		case reply.GetPoll().GetLease() > 0:
			s.extend(sent)
			s.reports = s.reports[len(reports):]
			s.cluster.fleetOracle.acknowledged(reports)
		}
		if reply.GetPoll() == nil || len(s.reports) > 0 {
			s.runAfter(100*time.Millisecond, s.renew)
		}
	})
}

// handleUnknown stops all tasks and registers again, because the leader no longer knows this incarnation and may have
// reassigned its tasks.
func (s *simWorker) handleUnknown() {
	if s.ignoreLease {
		return
	}
	s.stopAll()
	s.register()
}

func (s *simWorker) poll() {
	if !s.registered {
		s.runAfter(100*time.Millisecond, s.poll)
		return
	}
	incarnation := s.incarnation
	poll := &controlpb.Poll{Worker: s.name, Incarnation: incarnation, Seen: s.seen, Wait: int64(simPollWait)}
	s.sendRequest(&controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Poll{Poll: poll}}, simPollWait+simRequestTimeout, func(reply *controlpb.LeaderReply) {
		if s.incarnation == incarnation && reply.GetPoll() != nil {
			if reply.GetPoll().GetUnknown() {
				s.handleUnknown()
			} else if reply.GetPoll().GetNumber() > 0 {
				s.seen = reply.GetPoll().GetNumber()
				s.handleOrders(reply.GetPoll().GetOrders())
			}
		}
		s.runAfter(10*time.Millisecond, s.poll)
	})
}

func (s *simWorker) handleOrders(orders []*controlpb.WorkerOrder) {
	claim := &controlpb.Claim{Worker: s.name, Incarnation: s.incarnation}
	offers := map[string]*controlpb.WorkerOrder{}
	for _, order := range orders {
		running := s.tasks[order.GetTask()]
		switch {
		case order.GetKind() == controlpb.WorkerOrder_START && running == nil:
			claim.Tasks = append(claim.Tasks, &controlpb.TaskFence{Task: order.GetTask(), Fence: order.GetFence()})
			offers[order.GetTask()] = order
		case order.GetKind() == controlpb.WorkerOrder_STOP:
			s.stop(order)
		}
	}
	if len(claim.Tasks) > 0 {
		s.claim(claim, offers)
	}
}

func (s *simWorker) claim(claim *controlpb.Claim, offers map[string]*controlpb.WorkerOrder) {
	sent, incarnation := s.cluster.now, s.incarnation
	s.frozenUntil = sent.Add(s.nextFreeze)
	s.nextFreeze = 0
	s.sendRequest(&controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Claim{Claim: claim}}, simClaimTimeout, func(reply *controlpb.LeaderReply) {
		grant := reply.GetClaim()
		late := s.cluster.now.Sub(sent) >= time.Duration(grant.GetStartBy())
		if s.incarnation != incarnation || !s.cluster.now.Before(s.lease) && !s.ignoreLease || late && !s.ignoreStartBy {
			return
		}
		for _, granted := range grant.GetGranted() {
			s.start(offers[granted.GetTask()])
		}
	})
}

func (s *simWorker) start(order *controlpb.WorkerOrder) {
	name, fence := order.GetTask(), order.GetFence()
	if s.tasks[name] != nil || s.stopped[fence] {
		return
	}
	request := order.GetSpec().GetRequest()
	t := &simTask{order: order, begin: s.cluster.now, size: resource.Vector{Processors: request.GetProcessors(), Memory: request.GetMemory()}}
	s.tasks[name] = t
	s.cluster.fleetOracle.started(s, order)
	s.report(order, controlpb.ReportKind_REPORT_RUNNING, order.GetCheckpoint())
	if length := order.GetSpec().GetRunTime(); length > 0 {
		left := time.Duration(length) - time.Duration(order.GetCheckpoint())*simCheckpointInterval
		s.runAfter(max(left, time.Millisecond), func() {
			if s.tasks[name] == t {
				delete(s.tasks, name)
				s.cluster.fleetOracle.ended(name)
				s.cluster.fleetOracle.done[name] = true
				s.report(order, controlpb.ReportKind_REPORT_FINISHED, 0)
			}
		})
	}
}

func (s *simWorker) stop(order *controlpb.WorkerOrder) {
	s.stopped[order.GetFence()] = true
	checkpoint := uint64(0)
	if t := s.tasks[order.GetTask()]; t != nil && t.order.GetFence() == order.GetFence() {
		delete(s.tasks, order.GetTask())
		s.cluster.fleetOracle.ended(order.GetTask())
		if t.order.GetSpec().GetCheckpoints() {
			checkpoint = t.order.GetCheckpoint() + uint64(s.cluster.now.Sub(t.begin)/simCheckpointInterval)
		}
	}
	s.report(order, controlpb.ReportKind_REPORT_STOPPED, checkpoint)
}

func (s *simWorker) report(order *controlpb.WorkerOrder, kind controlpb.ReportKind, checkpoint uint64) {
	s.reports = append(s.reports, &controlpb.TaskReport{Task: order.GetTask(), Fence: order.GetFence(), Kind: kind, Checkpoint: checkpoint})
	s.renew()
}

func (s *simWorker) used() resource.Vector {
	var sum resource.Vector
	for _, t := range s.tasks {
		sum = sum.Add(t.size)
	}
	return sum
}

// fleetOracle checks invariants from the point of view of an observer of all workers. Violations start with the number of
// their invariant:
//   - I1: the tasks on a worker fit its capacity.
//   - I2: a task runs on one worker at a time.
//   - I4: no task starts in a zone that was taken out more than 3 s ago.
//   - I10: requests of operators are answered.
//   - I11: a task finishes once, and what the leader reports of a task is true.
type fleetOracle struct {
	cluster  *simCluster
	running  map[string]string    // worker by task
	done     map[string]bool      // tasks whose work was done by a worker
	finished map[string]bool      // tasks whose report was acknowledged too; until then a task may run again
	zonesOut map[string]time.Time // when the request to take the zone out was answered
	starts   int
}

func (f *fleetOracle) started(s *simWorker, order *controlpb.WorkerOrder) {
	name, now := order.GetTask(), f.cluster.now
	f.starts++
	if other := f.running[name]; other != "" {
		f.violation("I2 %s starts on %s while it runs on %s", name, s.name, other)
	}
	if f.finished[name] {
		f.violation("I11 %s starts on %s after it finished", name, s.name)
	}
	if out, ok := f.zonesOut[s.zone]; ok && now.Sub(out) > 3*time.Second {
		f.violation("I4 %s starts in %s %v after it was taken out", name, s.zone, now.Sub(out))
	}
	if used := s.used(); !used.Fits(s.capacity) {
		f.violation("I1 %s holds %v of %v", s.name, used, s.capacity)
	}
	f.running[name] = s.name
}

func (f *fleetOracle) ended(name string) { delete(f.running, name) }

func (f *fleetOracle) acknowledged(reports []*controlpb.TaskReport) {
	for _, report := range reports {
		if report.GetKind() == controlpb.ReportKind_REPORT_FINISHED {
			f.finished[report.GetTask()] = true
		}
	}
}

func (f *fleetOracle) violation(format string, arguments ...any) {
	f.cluster.oracle.violation("%s: %s", f.cluster.now.Sub(f.cluster.start), fmt.Sprintf(format, arguments...))
}
