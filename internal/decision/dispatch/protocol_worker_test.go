package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
	"galenamoor/pkg/resource"
)

const (
	// firstUptime is how long the workers have been up before the cluster starts. The leases of a worker that has just started
	// are shorter on the clock of a later incarnation.
	firstUptime = 10 * time.Minute

	// slowestClock is the rate of the slowest clock of a worker.
	slowestClock = 0.98
)

// strictWorker is a worker that follows the platform's protocol to the letter: it takes every liberty that helps to expose
// an unsafe leader. Its ID and address stay the same when it restarts.
type strictWorker struct {
	cluster     *cluster
	id          string
	address     string
	zone        string
	rack        string
	incarnation *strictIncarnation

	clockRate        float64
	refusalRate      float64 // share of the starts that it refuses as unhealthy, which has no effect at all
	refusesAllCalls  bool    // refusalRate holds for all calls
	guardsCapacity   bool    // it refuses what doesn't fit
	partitionedUntil time.Time
	responsesLeft    int // responses after which it is partitioned for partitionTime; 0 for never
	partitionTime    time.Duration
}

// strictIncarnation is one incarnation of a worker.
type strictIncarnation struct {
	startMs     int64
	began       time.Time
	up          bool
	draining    bool
	sequence    uint64
	fence       uint64
	lease       time.Duration // on its own clock
	runs        map[workload.RunKey]*strictRun
	highest     map[workload.TaskKey]uint32
	ended       []strictEnd
	nextEnd     uint64
	answeredAt  map[uint64]time.Time // by epoch: when the leader first got a response that shows the clock
	announcedAt map[uint64]time.Time // by epoch: when an announcement first arrived
}

type strictRun struct {
	key         workload.RunKey
	start       *order.Call
	incarnation *strictIncarnation
	worker      *strictWorker
	began       time.Time
	worked      time.Duration
	waited      time.Duration
	stopsAt     time.Time // zero unless it is being stopped
}

// strictEnd is an end that isn't acknowledged yet.
type strictEnd struct {
	order.Ended
	run    *strictRun
	at     time.Time
	lapsed bool // the lease has expired since, after which an acknowledgement doesn't count
}

func (c *cluster) addWorker() *strictWorker {
	n := len(c.workers) + 1
	w := &strictWorker{
		cluster: c, id: fmt.Sprintf("worker-%d", n), address: fmt.Sprintf("10.0.0.%d:80", n), zone: fmt.Sprintf("zone-%d", n%2),
		rack: fmt.Sprintf("r-%d", n%4), clockRate: 1,
	}
	c.workers = append(c.workers, w)
	w.restart(0)
	w.incarnation.began = c.now.Add(-firstUptime)
	w.heartbeat()
	return w
}

// restart starts a new incarnation under the same ID. The clock of the day may have stepped.
func (w *strictWorker) restart(clockStep time.Duration) {
	now := w.cluster.now
	if w.incarnation != nil {
		w.incarnation.up = false
	}
	w.incarnation = &strictIncarnation{
		startMs: now.Add(clockStep).UnixMilli(), began: now, up: true,
		runs: map[workload.RunKey]*strictRun{}, highest: map[workload.TaskKey]uint32{},
		answeredAt: map[uint64]time.Time{}, announcedAt: map[uint64]time.Time{},
	}
	w.responsesLeft = 0
	w.cluster.oracle.note("%s starts at %d", w.id, w.incarnation.startMs)
}

func (w *strictWorker) crash() {
	w.incarnation.up = false
	w.cluster.oracle.note("%s crashes", w.id)
}

// isPartitioned reports whether calls and responses get lost between the worker and the leader.
func (w *strictWorker) isPartitioned() bool { return w.cluster.now.Before(w.partitionedUntil) }

func (w *strictWorker) partition(d time.Duration) {
	w.partitionedUntil = w.cluster.now.Add(d)
	w.cluster.oracle.note("%s is partitioned for %v", w.id, d)
}

// heartbeat announces the worker every second.
func (w *strictWorker) heartbeat() {
	w.announce(w.cluster.heartbeatDelay())
	w.cluster.after(time.Second, w.heartbeat)
}

// life returns what the worker's incarnation says of itself.
func (w *strictWorker) life() *controlpb.WorkerLife {
	return &controlpb.WorkerLife{
		Id: w.id, BornMs: w.incarnation.startMs, Host: w.id, Pool: "pool", Address: w.address, Zone: w.zone,
		Processors: 32_000, Memory: 128 << 10, Labels: []string{"a", w.rack}, Leaving: w.incarnation.draining,
	}
}

// announce sends an announcement, which arrives after a delay.
func (w *strictWorker) announce(delay time.Duration) {
	if !w.incarnation.up || w.isPartitioned() {
		return
	}
	w.incarnation.sequence++
	announcement := &controlpb.AnnounceLife{
		Life:     w.life(),
		Sequence: w.incarnation.sequence,
	}
	if w.incarnation.draining {
		announcement.LeavesInMs = 1000
	}
	incarnation := w.incarnation
	w.cluster.after(delay, func() {
		if leader := w.cluster.leader; leader != nil && incarnation.announcedAt[leader.epoch].IsZero() {
			incarnation.announcedAt[leader.epoch] = w.cluster.now
			w.cluster.oracle.note("%s started at %d announces itself", w.id, incarnation.startMs)
		}
		w.cluster.serve(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Announce{Announce: announcement}}, nil)
	})
}

// drainAndLeave makes the worker drain, leave and end, and restart under the same ID.
func (w *strictWorker) drainAndLeave() {
	c, incarnation := w.cluster, w.incarnation
	incarnation.draining = true
	c.oracle.note("%s drains", w.id)
	end := func() {
		if incarnation.up {
			w.crash()
			c.after(time.Duration(c.random.IntN(2000))*time.Millisecond, func() {
				if w.incarnation == incarnation {
					w.restart(0)
				}
			})
		}
	}
	c.after(1500*time.Millisecond, func() {
		if !incarnation.up || w.isPartitioned() {
			return
		}
		c.oracle.note("%s leaves", w.id)
		leave := &controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Leave{Leave: &controlpb.LeaveLife{Id: w.id}}}
		c.serve(leave, func(r *controlpb.LeaderReply) {
			if r.GetWork().GetOutcome() == controlpb.WorkOutcome_WORK_OK && !w.isPartitioned() {
				end()
			}
		})
	})
	c.after(5*time.Second, end)
}

// setClockRate changes the rate of the worker's clock from now on.
func (w *strictWorker) setClockRate(rate float64) {
	clock := w.clock() - time.Millisecond
	w.clockRate = rate
	w.incarnation.began = w.cluster.now.Add(-time.Duration(float64(clock) / rate))
}

// clock returns the time on the worker's steady clock.
func (w *strictWorker) clock() time.Duration {
	return time.Millisecond + time.Duration(float64(w.cluster.now.Sub(w.incarnation.began))*w.clockRate)
}

// receive carries out a call, and responds unless the response is lost.
func (w *strictWorker) receive(e *exchange) {
	incarnation := w.incarnation
	if !incarnation.up {
		w.respond(e, incarnation, &order.Answer{}) // the connection is refused
		return
	}
	if w.cluster.boundCalls && e.call.IsBound() && e.call.IncarnationStartMs != incarnation.startMs {
		w.rejectUnnamed(e)
		return
	}
	if (e.call.Kind == order.Start || w.refusesAllCalls) && e.random.Float64() < w.refusalRate {
		w.respond(e, incarnation, &order.Answer{Status: order.Unhealthy})
		return
	}
	if e.call.Kind != order.Poll || e.call.ID != w.id || e.call.Fence < incarnation.fence {
		w.respond(e, incarnation, w.carryOut(e))
		return
	}
	w.acceptToken(e.call)
	w.forgetEnds(e)
	w.answerWhenDue(e, incarnation, w.cluster.now.Add(e.call.Wait))
}

// rejectUnnamed responds to a bound call that names another incarnation. The connection of one that was sent before this incarnation started
// is broken.
func (w *strictWorker) rejectUnnamed(e *exchange) {
	if e.call.Sent.Before(w.incarnation.began) {
		w.respond(e, w.incarnation, &order.Answer{})
		return
	}
	w.respond(e, w.incarnation, &order.Answer{Status: order.OtherIncarnation, IncarnationStartMs: w.incarnation.startMs})
}

// answerWhenDue answers a poll once an end is to be listed or its wait has elapsed.
func (w *strictWorker) answerWhenDue(e *exchange, incarnation *strictIncarnation, due time.Time) {
	switch {
	case w.incarnation != incarnation || !incarnation.up:
		w.respond(e, incarnation, &order.Answer{})
	case w.cluster.now.Before(due) && len(incarnation.ended) == 0:
		w.cluster.after(5*time.Millisecond, func() { w.answerWhenDue(e, incarnation, due) })
	default:
		w.respond(e, incarnation, w.report(e.call))
	}
}

// respond sends a response, which is lost if the worker is partitioned.
func (w *strictWorker) respond(e *exchange, incarnation *strictIncarnation, a *order.Answer) {
	if e.delivery.unanswered || w.isPartitioned() {
		return
	}
	w.cluster.after(time.Millisecond+e.delivery.responseDelay, func() {
		if epoch := e.call.Epoch; !e.responded && a.Clock != 0 && incarnation.answeredAt[epoch].IsZero() {
			incarnation.answeredAt[epoch] = w.cluster.now
			w.cluster.oracle.note("%s started at %d first answers epoch %d: %v %v, clock %v", w.id, incarnation.startMs, epoch, e.call.Kind, a.Status, a.Clock)
		}
		e.respond(a)
	})
	if a.Status != order.NoAnswer && w.responsesLeft > 0 {
		if w.responsesLeft--; w.responsesLeft == 0 {
			w.partition(w.partitionTime)
		}
	}
}

// carryOut carries out a call other than a poll, and polls that are rejected.
func (w *strictWorker) carryOut(e *exchange) *order.Answer {
	call := e.call
	switch {
	case call.ID != w.id:
		return &order.Answer{Status: order.OtherIncarnation}
	case call.Fence < w.incarnation.fence:
		return &order.Answer{Status: order.Fenced, Clock: w.clock()}
	}
	w.acceptToken(call)
	answer := &order.Answer{Status: order.OK, Clock: w.clock()}
	switch call.Kind {
	case order.Start:
		answer.Status = w.start(call)
	case order.Stop:
		w.stop(e)
	}
	return answer
}

// acceptToken keeps the fencing token of a call, and extends the lease.
func (w *strictWorker) acceptToken(call *order.Call) {
	w.incarnation.fence = call.Fence
	w.incarnation.lease = max(w.incarnation.lease, min(call.LeaseExpiry, w.clock()+w.cluster.maxLease))
}

func (w *strictWorker) start(call *order.Call) order.Status {
	key := call.Run
	switch {
	case w.incarnation.runs[key] != nil:
		return order.OK
	case key.Run <= w.incarnation.highest[key.Task]:
		return order.StaleRun
	case call.LeaseExpiry <= w.clock():
		return order.Expired
	case w.guardsCapacity && !w.hasRoom(key.Task):
		return order.NoCapacity
	}
	r := &strictRun{key: key, start: call, incarnation: w.incarnation, worker: w, began: w.cluster.now}
	w.incarnation.runs[key] = r
	w.cluster.oracle.started(r)
	return order.OK
}

func (w *strictWorker) hasRoom(task workload.TaskKey) bool {
	used := resource.Vector{}
	for _, key := range append(w.sortedKeys(), workload.RunKey{Task: task}) {
		step := w.cluster.step(key.Task)
		if !step.GetFills() {
			used.Processors += step.GetProcessors()
		}
		used.Memory += step.GetMemory()
	}
	return used.Fits(resource.Vector{Processors: 32_000, Memory: 128 << 10})
}

// sortedKeys returns the keys of the worker's runs in a deterministic order.
func (w *strictWorker) sortedKeys() []workload.RunKey { return sortedKeys(w.incarnation.runs) }

// sortedKeys returns the keys of a map of runs in a deterministic order.
func sortedKeys[V any](runs map[workload.RunKey]V) []workload.RunKey {
	return slices.SortedFunc(maps.Keys(runs), func(a, b workload.RunKey) int {
		return cmp.Or(cmp.Compare(a.Task.String(), b.Task.String()), cmp.Compare(a.Run, b.Run))
	})
}

// stop stops a run, which takes up to the grace period, and rejects it from now on.
func (w *strictWorker) stop(e *exchange) {
	key := e.call.Run
	w.incarnation.highest[key.Task] = max(w.incarnation.highest[key.Task], key.Run)
	if r := w.incarnation.runs[key]; r != nil && r.stopsAt.IsZero() {
		r.stopsAt = w.cluster.now.Add(time.Duration(e.random.Int64N(int64(protocolStopGrace))))
	}
}

// forgetEnds discards the ends that a poll acknowledges, also if it was meant for an earlier incarnation.
func (w *strictWorker) forgetEnds(e *exchange) {
	w.incarnation.ended = slices.DeleteFunc(w.incarnation.ended, func(end strictEnd) bool {
		seen := end.Number <= e.call.RecordedEnds
		if seen && end.Result == controlpb.RunEnd_RUN_DONE && !end.lapsed {
			w.cluster.oracle.acknowledged(end, e)
		}
		return seen
	})
}

// report answers a poll as the platform's client reads the response.
func (w *strictWorker) report(call *order.Call) *order.Answer {
	answer := &order.Answer{Status: order.OK, Clock: w.clock()}
	if call.IncarnationStartMs != w.incarnation.startMs {
		answer.IncarnationStartMs = w.incarnation.startMs
		if call.IncarnationStartMs != 0 {
			answer.Status = order.OtherIncarnation
			return answer
		}
	}
	for _, key := range w.sortedKeys() {
		r, percent := w.incarnation.runs[key], 100
		if step := w.cluster.step(key.Task); !step.GetPerpetual() {
			percent = int(100 * r.worked / (time.Duration(step.GetEstimateMs()) * time.Millisecond))
		}
		answer.Running = append(answer.Running, order.Running{Run: key, Percent: percent, Measurement: -1})
	}
	for _, e := range w.incarnation.ended[:min(len(w.incarnation.ended), maxListedEnds)] {
		answer.Ended = append(answer.Ended, e.Ended)
	}
	answer.EndsIncomplete = len(answer.Ended) == maxListedEnds
	return answer
}

// advance lets the worker's runs work for a step of time.
func (w *strictWorker) advance(step time.Duration) {
	if !w.incarnation.up {
		return
	}
	lapsed := w.clock() > w.incarnation.lease
	for i := range w.incarnation.ended {
		w.incarnation.ended[i].lapsed = w.incarnation.ended[i].lapsed || lapsed
	}
	for _, key := range w.sortedKeys() {
		r := w.incarnation.runs[key]
		switch spec := w.cluster.step(key.Task); {
		case r == nil: // it has ended with its gang
		case lapsed:
			w.end(r, controlpb.RunEnd_RUN_LAPSED)
		case !r.stopsAt.IsZero() && !w.cluster.now.Before(r.stopsAt):
			w.end(r, controlpb.RunEnd_RUN_STOPPED)
		case spec.GetGang() && r.worked == 0 && len(w.cluster.gang(key)) < int(spec.GetCount()):
			if r.waited += step; r.waited > 3*time.Second {
				w.end(r, controlpb.RunEnd_RUN_ALONE)
			}
		default:
			r.worked += step
			if !spec.GetPerpetual() && r.worked >= time.Duration(spec.GetEstimateMs())*time.Millisecond {
				w.end(r, controlpb.RunEnd_RUN_DONE)
			}
		}
	}
}

// gang returns the members of a gang that run.
func (c *cluster) gang(key workload.RunKey) []*strictRun {
	var members []*strictRun
	for _, w := range c.workers {
		if !w.incarnation.up {
			continue
		}
		for _, other := range w.sortedKeys() {
			if r := w.incarnation.runs[other]; other.Task.Job == key.Task.Job && other.Task.Step == key.Task.Step && other.Run == key.Run {
				members = append(members, r)
			}
		}
	}
	return members
}

// end ends a run, and the other members of its gang if it had begun to work.
func (w *strictWorker) end(r *strictRun, how controlpb.RunEnd) {
	if r.incarnation.runs[r.key] != r {
		return
	}
	delete(r.incarnation.runs, r.key)
	r.incarnation.highest[r.key.Task] = max(r.incarnation.highest[r.key.Task], r.key.Run)
	r.incarnation.nextEnd++
	ended := order.Ended{Number: r.incarnation.nextEnd, Run: r.key, Result: how}
	r.incarnation.ended = append(r.incarnation.ended, strictEnd{Ended: ended, run: r, at: w.cluster.now, lapsed: how == controlpb.RunEnd_RUN_LAPSED})
	w.cluster.oracle.ended(r, how)
	if !w.cluster.step(r.key.Task).GetGang() || r.worked == 0 {
		return
	}
	if how != controlpb.RunEnd_RUN_DONE {
		how = controlpb.RunEnd_RUN_BROKEN
	}
	for _, member := range w.cluster.gang(r.key) {
		member.worker.end(member, how)
	}
}
