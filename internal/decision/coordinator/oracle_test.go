package coordinator_test

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
)

// oracle tracks which tasks actually run and which answers were given, and checks the system invariants against them.
type oracle struct {
	sim                 *simulation
	violations          []string
	running             map[string]*fakeWorker
	fences              map[uint64]bool      // fences that were started
	lastFence           uint64               // largest fence that was started
	removedAfter        map[string]uint64    // lastFence at the time a configuration removed the executor
	completed           map[string]bool      // tasks that actually ran to completion
	finished            map[string]bool      // tasks whose completion was reported and acknowledged
	checkpoints         map[string]uint64    // checkpoints of acknowledged stops
	outSince            map[string]time.Time // time of the answer that the zone is out of service
	returning           map[string]int       // unanswered commands that return the zone to service
	returnVersion       map[string]uint64    // version at which the zone last returned to service
	calls               map[string]int       // number of runs by request key
	configurationByBase map[uint64]string    // by base version: request key of the configuration accepted on it
	acknowledgedVersion uint64               // largest acknowledged version
	replicaVersions     map[int]uint64       // version of each replica
	accepted            map[string]int32     // number of tasks of each submitted job that was acknowledged
	cancelled           map[string]bool
}

func newOracle(sim *simulation) *oracle {
	return &oracle{
		sim: sim, running: map[string]*fakeWorker{}, fences: map[uint64]bool{}, removedAfter: map[string]uint64{}, completed: map[string]bool{}, finished: map[string]bool{},
		checkpoints: map[string]uint64{}, outSince: map[string]time.Time{}, returning: map[string]int{},
		calls: map[string]int{}, configurationByBase: map[uint64]string{}, replicaVersions: map[int]uint64{}, accepted: map[string]int32{}, returnVersion: map[string]uint64{},
		cancelled: map[string]bool{},
	}
}

func (o *oracle) violated(invariant, format string, args ...any) {
	at := o.sim.now.Sub(time.Unix(1_800_000_000, 0))
	o.violations = append(o.violations, fmt.Sprintf("%s at %v: %s", invariant, at, fmt.Sprintf(format, args...)))
}

// started checks the start of a task on a worker. It must be called before the task is added to the worker's runs.
func (o *oracle) started(w *fakeWorker, order *controlpb.WorkerOrder) {
	task := order.GetTask()
	request := order.GetSpec().GetRequest()
	used := w.used()
	used.Processors += request.GetProcessors()
	used.Memory += request.GetMemory()
	if !used.Fits(workerCapacity) {
		o.violated("I1", "%s runs %v with %s", w.name, used, task)
	}
	if other := o.running[task]; other != nil {
		o.violated("I2", "%s starts on %s and runs on %s", task, w.name, other.name)
	}
	if o.fences[order.GetFence()] {
		o.violated("I3", "%s: fence %d starts again", task, order.GetFence())
	}
	if o.finished[task] {
		o.violated("I3", "%s starts again after its end was acknowledged", task)
	}
	if order.GetCheckpoint() < o.checkpoints[task] {
		o.violated("I3", "%s resumes from checkpoint %d; %d was acknowledged", task, order.GetCheckpoint(), o.checkpoints[task])
	}
	if since, out := o.outSince[w.zone]; out && o.sim.now.Sub(since) > 3*time.Second {
		o.violated("I4", "%s starts on %s %v after %s was taken out", task, w.name, o.sim.now.Sub(since), w.zone)
	}
	o.fences[order.GetFence()] = true
	o.lastFence = max(o.lastFence, order.GetFence())
	o.running[task] = w
}

func (o *oracle) ended(w *fakeWorker, task string, completed bool) {
	o.completed[task] = o.completed[task] || completed
	if o.running[task] == w {
		delete(o.running, task)
	}
}

// acknowledged records a report that the worker need not send again.
func (o *oracle) acknowledged(r *controlpb.TaskReport) {
	switch r.GetKind() {
	case controlpb.ReportKind_REPORT_FINISHED:
		o.finished[r.GetTask()] = true
	case controlpb.ReportKind_REPORT_STOPPED:
		if r.GetFence() <= o.removedAfter[r.GetTask()] {
			return
		}
		o.checkpoints[r.GetTask()] = max(o.checkpoints[r.GetTask()], r.GetCheckpoint())
	}
}

// recordCallRun records that a non-repeatable call runs, and checks that it does so at most once.
func (o *oracle) recordCallRun(key string) {
	if o.calls[key]++; o.calls[key] > 1 {
		o.violated("I7", "call %s runs %d times", key, o.calls[key])
	}
}

// checkSlots checks that the gateways together use no more slots than the endpoint has.
func (o *oracle) checkSlots(key slotKey) {
	for _, e := range o.sim.endpoints {
		if e.name == key.endpoint && e.incarnation == key.incarnation && e.inUse() > endpointSlots {
			o.violated("Slots", "%d slots of %s are in use", e.inUse(), e.name)
		}
	}
}

// issued records that an operator is about to send a command.
func (o *oracle) issued(c *controlpb.Command) {
	if z := c.GetSetZone(); z != nil && !z.GetOut() {
		delete(o.outSince, z.GetZone())
		o.returning[z.GetZone()]++
	}
	for _, name := range c.GetCancelJobs().GetNames() {
		o.cancelled[name] = true
	}
}

// answered records and checks the first answer to an operator's command.
func (o *oracle) answered(c *controlpb.Command, r *controlpb.Result) {
	ok := r.GetCode() == controlpb.ResultCode_RESULT_OK
	if ok {
		o.acknowledgedVersion = max(o.acknowledgedVersion, r.GetVersion())
	}
	switch kind := c.GetKind().(type) {
	case *controlpb.Command_ApplyConfiguration:
		base := kind.ApplyConfiguration.GetBaseVersion()
		if other, exists := o.configurationByBase[base]; ok && exists && other != kind.ApplyConfiguration.GetRequestKey() {
			o.violated("I10", "version %d has two successors: %s and %s", base, other, kind.ApplyConfiguration.GetRequestKey())
		} else if ok {
			o.configurationByBase[base] = kind.ApplyConfiguration.GetRequestKey()
		}
	case *controlpb.Command_SetZone:
		zone := kind.SetZone.GetZone()
		if !kind.SetZone.GetOut() {
			o.returning[zone]--
			o.returnVersion[zone] = max(o.returnVersion[zone], r.GetVersion())
		} else if _, out := o.outSince[zone]; ok && !out && o.returning[zone] == 0 && r.GetVersion() > o.returnVersion[zone] {
			o.outSince[zone] = o.sim.now
		}
	case *controlpb.Command_SubmitJob:
		if ok {
			o.accepted[kind.SubmitJob.GetSpec().GetName()] = kind.SubmitJob.GetSpec().GetTasks()
		}
	}
}

// checkSameAnswer checks that a repeated command gets the first answer, unless its key has expired.
func (o *oracle) checkSameAnswer(c *controlpb.Command, first, again *controlpb.Result) {
	if !proto.Equal(first, again) && again.GetCode() != controlpb.ResultCode_RESULT_KEY_EXPIRED {
		o.violated("I10", "%v was answered with %v and then with %v", c, first, again)
	}
}

// applied checks a replica after each command.
func (o *oracle) applied(r *replica, result, first *controlpb.Result) {
	if !proto.Equal(result, first) && !o.sim.faults.affectSnapshots() {
		o.violated("I11", "replica %d has %v for command %d; another has %v", r.id, result, r.applied+1, first)
	}
	if r.state.Version() < o.replicaVersions[r.id] {
		o.violated("I10", "replica %d goes back from version %d to %d", r.id, o.replicaVersions[r.id], r.state.Version())
	}
	o.replicaVersions[r.id] = r.state.Version()
	// An executor that one configuration removes and a later one adds again is a new task without a checkpoint. Replies to
	// reports on the removed executor may still arrive afterwards: in one run, checkpoint 12 of fence 50 was acknowledged
	// after the removal, and the new executor started under fence 96 without a checkpoint.
	if id := (controlstate.TaskID{Job: "booth", Number: 2}); r.state.Task(id) == nil {
		delete(o.checkpoints, id.String())
		o.removedAfter[id.String()] = o.lastFence
	}
	r.state.Endpoints(func(e *controlstate.Endpoint) {
		if e.Slots > 0 && e.Held() > e.Slots {
			o.violated("Slots", "%d of %d slots of %s are held", e.Held(), e.Slots, e.Name)
		}
	})
}

// elected checks that a new leader has every acknowledged configuration version.
func (o *oracle) elected(r *replica) {
	if r.state.Version() < o.acknowledgedVersion {
		o.violated("I10", "leader %d has version %d; %d was acknowledged", r.id, r.state.Version(), o.acknowledgedVersion)
	}
}

// checkQuiescent compares the recorded state with the running tasks, once the simulation is quiescent.
func (o *oracle) checkQuiescent() {
	state := o.sim.leader.state
	recorded := 0
	state.View().Tasks(func(t *controlstate.Task) bool {
		w := o.running[t.ID.String()]
		switch {
		case t.State == controlpb.TaskState_RUNNING:
			recorded++
			if w == nil || w.name != t.Worker || w.runs[t.ID.String()].fence != t.Fence {
				o.violated("I11", "%v is recorded as running on %s with fence %d, and does not", t.ID, t.Worker, t.Fence)
			}
		case t.State == controlpb.TaskState_FINISHED && !o.completed[t.ID.String()]:
			o.violated("I11", "%v is recorded as finished, and never was", t.ID)
		case t.State == controlpb.TaskState_CANCELLED && o.accepted[t.ID.Job] > 0 && !o.cancelled[t.ID.Job]:
			o.violated("I11", "%v is recorded as cancelled; nobody asked for it", t.ID)
		case !t.Ended():
			o.violated("I3", "%v has not been resumed: %v on %q", t.ID, t.State, t.Worker)
		case w != nil:
			o.violated("I11", "%v is recorded as %v and runs on %s", t.ID, t.State, w.name)
		}
		return true
	})
	if recorded != len(o.running) {
		o.violated("I11", "%d tasks run; %d are recorded", len(o.running), recorded)
	}
	for job, tasks := range o.accepted {
		for number := int32(0); number < tasks && state.Job(job) == nil && !o.cancelled[job]; number++ {
			if task := (controlstate.TaskID{Job: job, Number: number}).String(); !o.finished[task] {
				o.violated("I11", "no record of %s, which has not finished", task)
			}
		}
	}
}
