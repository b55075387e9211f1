package replica

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

const (
	announceInterval = 1500 * time.Millisecond
	maxWorkerLease   = 6 * time.Second
	stopGrace        = 400 * time.Millisecond
	maxListedEnds    = 500
	workerProcessors = 32_000
	workerMemory     = 128 << 10
)

// workHost is a simulated worker that is called by the leader's dispatcher. It keeps the highest fencing token, measures its
// lease on its own clock, and lists ends until they are acknowledged. A restarted process has a new worker ID.
type workHost struct {
	system    *workSystem
	name      string
	address   string
	zone      string
	up        bool
	id        string
	started   time.Time
	clockRate float64 // of its clock, relative to the true time
	sequence  uint64  // of its announcements

	fence   uint64
	lease   time.Duration // expiry, by its clock
	runs    map[workload.RunKey]*hostRun
	highest map[workload.TaskKey]uint32 // number of the highest run that was stopped or has ended
	ended   []hostEnd
	nextEnd uint64
	polls   []*heldPoll
}

// hostRun is a run in progress.
type hostRun struct {
	number   uint32
	stopping bool
}

// hostEnd is an end that isn't acknowledged yet.
type hostEnd struct {
	order.Ended
	lapsed bool // the lease has expired since
}

// heldPoll is a poll whose answer waits for an end.
type heldPoll struct {
	call     *order.Call
	reply    func(*order.Answer)
	answered bool
}

func (h *workHost) clock() time.Duration {
	return time.Second + time.Duration(float64(h.system.now.Sub(h.started))*h.clockRate)
}

// boot starts a process that knows nothing of earlier ones.
func (h *workHost) boot() {
	h.system.incarnations++
	h.id = "i-" + strconv.Itoa(h.system.incarnations)
	h.up, h.started, h.sequence = true, h.system.now, 0
	h.clockRate = 0.98 + 0.02*h.system.random.Float64()
	h.fence, h.lease, h.nextEnd, h.ended, h.polls = 0, 0, 0, nil, nil
	h.runs, h.highest = map[workload.RunKey]*hostRun{}, map[workload.TaskKey]uint32{}
	h.announceLoop()
}

// crash ends the process and everything that it runs.
func (h *workHost) crash() {
	for _, key := range h.sortedRuns() {
		h.system.ledger.stopped(h, key)
	}
	h.up, h.runs = false, nil
}

// after runs a function after a delay, unless the process has ended by then.
func (h *workHost) after(delay time.Duration, run func()) {
	id := h.id
	h.system.schedule(delay, func() {
		if h.up && h.id == id {
			run()
		}
	})
}

func (h *workHost) announceLoop() {
	h.sequence++
	h.system.requestAnywhere(h.name, &controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Announce{Announce: &controlpb.AnnounceLife{
		Sequence: h.sequence,
		Life: &controlpb.WorkerLife{
			Id: h.id, Host: h.name, Pool: "pool", Address: h.address, Zone: h.zone, Processors: workerProcessors, Memory: workerMemory,
			Labels: []string{"a", "r1"}, BornMs: h.started.UnixMilli(),
		},
	}}}, func(*controlpb.LeaderReply) {})
	h.after(announceInterval, h.announceLoop)
}

func (h *workHost) sortedRuns() []workload.RunKey {
	return slices.SortedFunc(maps.Keys(h.runs), compareRuns)
}

// receive carries out a call and calls reply with the answer, later for a poll that waits for an end.
func (h *workHost) receive(call *order.Call, reply func(*order.Answer)) {
	random := h.system.random
	switch {
	case !h.up:
		return
	case call.ID != h.id:
		reply(&order.Answer{Status: order.OtherIncarnation, Clock: h.clock()})
		return
	case random.Float64() < h.system.refusalRate && (call.Kind == order.Start || random.IntN(8) == 0):
		h.system.ledger.refused(call)
		reply(&order.Answer{Status: order.Unhealthy}) // without any effect
		return
	case call.Fence < h.fence:
		reply(&order.Answer{Status: order.Fenced, Clock: h.clock()})
		return
	}
	h.fence = call.Fence
	h.extendLease(call.LeaseExpiry)
	switch call.Kind {
	case order.Start:
		reply(&order.Answer{Status: h.start(call), Clock: h.clock()})
	case order.Stop:
		h.stop(call.Run)
		reply(&order.Answer{Status: order.OK, Clock: h.clock()})
	case order.Poll:
		h.poll(call, reply)
	default:
		reply(&order.Answer{Status: order.OK, Clock: h.clock()})
	}
}

func (h *workHost) extendLease(expiry time.Duration) {
	expiry = min(expiry, h.clock()+maxWorkerLease)
	if expiry <= h.lease {
		return
	}
	h.lease = expiry
	h.after(time.Duration(float64(expiry-h.clock())/h.clockRate)+time.Microsecond, func() {
		if h.clock() >= h.lease {
			h.lapse()
		}
	})
}

// lapse ends all runs because the lease has expired.
func (h *workHost) lapse() {
	for i := range h.ended {
		h.ended[i].lapsed = true
	}
	for _, key := range h.sortedRuns() {
		h.end(key, controlpb.RunEnd_RUN_LAPSED)
	}
}

func (h *workHost) start(call *order.Call) order.Status {
	key := call.Run
	switch {
	case h.runs[key] != nil:
		return order.OK
	case key.Run <= h.highest[key.Task]:
		return order.StaleRun
	case call.LeaseExpiry <= h.clock():
		return order.Expired
	}
	r := &hostRun{number: key.Run}
	h.runs[key] = r
	h.system.ledger.started(h, key)
	length, _ := time.ParseDuration(call.Spec)
	result := controlpb.RunEnd_RUN_DONE
	if h.system.random.IntN(20) == 0 {
		result = controlpb.RunEnd_RUN_FAILED
	}
	h.after(time.Duration(float64(length)*(0.5+h.system.random.Float64())), func() {
		if h.runs[key] == r && !r.stopping {
			h.end(key, result)
		}
	})
	return order.OK
}

func (h *workHost) stop(key workload.RunKey) {
	h.highest[key.Task] = max(h.highest[key.Task], key.Run)
	r := h.runs[key]
	if r == nil || r.stopping {
		return
	}
	r.stopping = true
	h.after(time.Duration(h.system.random.Int64N(int64(stopGrace))), func() {
		if h.runs[key] == r {
			h.end(key, controlpb.RunEnd_RUN_STOPPED)
		}
	})
}

func (h *workHost) end(key workload.RunKey, result controlpb.RunEnd) {
	delete(h.runs, key)
	h.highest[key.Task] = max(h.highest[key.Task], key.Run)
	h.nextEnd++
	h.ended = append(h.ended, hostEnd{Ended: order.Ended{Number: h.nextEnd, Run: key, Result: result}})
	h.system.ledger.ended(h, key, result)
	for _, held := range h.polls {
		h.answerPoll(held)
	}
	h.polls = nil
}

// poll forgets the acknowledged ends, and answers at once if others are listed.
func (h *workHost) poll(call *order.Call, reply func(*order.Answer)) {
	for len(h.ended) > 0 && h.ended[0].Number <= call.RecordedEnds {
		h.system.ledger.acknowledged(call, h.ended[0])
		h.ended = h.ended[1:]
	}
	held := &heldPoll{call: call, reply: reply}
	if len(h.ended) > 0 || call.Wait == 0 {
		h.answerPoll(held)
		return
	}
	h.polls = append(h.polls, held)
	h.after(call.Wait, func() { h.answerPoll(held) })
}

func (h *workHost) answerPoll(held *heldPoll) {
	if held.answered {
		return
	}
	held.answered = true
	answer := &order.Answer{Status: order.OK, Clock: h.clock()}
	for _, e := range h.ended[:min(len(h.ended), maxListedEnds)] {
		answer.Ended = append(answer.Ended, e.Ended)
	}
	for _, key := range h.sortedRuns() {
		answer.Running = append(answer.Running, order.Running{Run: key, Percent: 50, Measurement: -1})
	}
	held.reply(answer)
}
