package dispatch

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

var (
	protocolSeeds     = flag.Uint64("protocol-seeds", 24, "number of seeds of TestProtocolFaults")
	protocolUnfenced  = flag.Bool("protocol-unfenced", false, "whether TestProtocolFaults shows unfenced orders")
	protocolFirstSeed = flag.Uint64("protocol-first-seed", 0, "first seed of TestProtocolFaults")
)

// protocolFaults is a random schedule of faults. Each schedule has some kinds of faults only, so that rare ones aren't hidden
// by frequent ones.
type protocolFaults struct {
	*cluster
	lossRate       float64       // share of the calls that get no response
	lateRate       float64       // share of those that are carried out late
	jitter         time.Duration // of calls
	responseJitter time.Duration
	slowCommit     bool
	mutedUntil     map[*strictWorker]time.Time // a muted worker carries out calls, and its responses are lost
	actions        []func()
}

func newProtocolFaults(c *cluster) *protocolFaults {
	f := &protocolFaults{cluster: c, mutedUntil: map[*strictWorker]time.Time{}}
	f.deliver, f.commitTime = f.route, f.slowCommitTime
	half := func() bool { return f.random.IntN(2) == 0 }
	f.jitter = []time.Duration{time.Millisecond, 100 * time.Millisecond, 700 * time.Millisecond}[f.random.IntN(3)]
	f.responseJitter = []time.Duration{time.Millisecond, 100 * time.Millisecond, 700 * time.Millisecond}[f.random.IntN(3)]
	if half() {
		f.heartbeatDelay = f.lateHeartbeat
	}
	f.slowCommit = half()
	lateOrders, refusals, drift := half(), half(), half()
	for _, w := range f.workers {
		if drift {
			w.setClockRate(slowestClock + (1-slowestClock)*f.random.Float64())
		}
		if refusals {
			w.refusalRate = 0.4 * f.random.Float64()
		}
		w.guardsCapacity, w.refusesAllCalls = half(), half()
	}
	f.lossRate = 0.3 * f.random.Float64()
	if lateOrders {
		f.lateRate = 0.7
	}
	kinds := []func(){f.restart, f.restartPartitioned, f.crash, f.partition, f.changeLeaders, f.drain, f.lose, f.replace, f.cancel, f.evacuate, f.silenceAcrossLeaders}
	for _, kind := range kinds {
		if half() {
			f.actions = append(f.actions, kind)
		}
	}
	return f
}

func (f *protocolFaults) worker() *strictWorker { return f.workers[f.random.IntN(len(f.workers))] }

// clockStep returns by how much the clock of the day has stepped before a restart.
func (f *protocolFaults) clockStep() time.Duration {
	if f.random.IntN(3) > 0 {
		return 0
	}
	return time.Duration(f.random.Int64N(int64(40*time.Second))) - 30*time.Second
}

func (f *protocolFaults) restart() { f.worker().restart(f.clockStep()) }

// restartPartitioned restarts a worker that is partitioned after a few responses.
func (f *protocolFaults) restartPartitioned() {
	w := f.worker()
	w.restart(f.clockStep())
	w.responsesLeft, w.partitionTime = f.random.IntN(4), 15*time.Second
	if w.responsesLeft == 0 {
		w.partition(w.partitionTime)
	}
}

// crash ends a worker, which starts again later.
func (f *protocolFaults) crash() {
	w := f.worker()
	incarnation, step := w.incarnation, f.clockStep()
	w.crash()
	f.after(time.Duration(f.random.Int64N(int64(12*time.Second))), func() {
		if w.incarnation == incarnation {
			w.restart(step)
		}
	})
}

func (f *protocolFaults) partition() {
	f.worker().partition(time.Duration(f.random.Int64N(int64(15 * time.Second))))
}

func (f *protocolFaults) changeLeaders() {
	if f.random.IntN(4) == 0 {
		f.restartReplica()
	}
	f.changeLeader(f.random.IntN(4), time.Duration(f.random.IntN(800))*time.Millisecond)
	if f.random.IntN(2) == 0 {
		f.after(time.Duration(f.random.IntN(1000))*time.Millisecond, func() {
			f.changeLeader(f.random.IntN(4), time.Duration(f.random.IntN(400))*time.Millisecond)
		})
	}
}

// silenceAcrossLeaders silences a worker, at times again after it has answered, and changes the leader meanwhile.
func (f *protocolFaults) silenceAcrossLeaders() {
	w := f.worker()
	silence := func() {
		length := time.Second + time.Duration(f.random.Int64N(int64(8*time.Second)))
		if f.random.IntN(2) == 0 {
			w.partition(length)
		} else {
			f.mutedUntil[w] = f.now.Add(length)
		}
	}
	silence()
	f.after(1500*time.Millisecond+time.Duration(f.random.Int64N(int64(2500*time.Millisecond))), f.changeLeaders)
	if f.random.IntN(2) == 0 {
		f.after(time.Duration(f.random.Int64N(int64(6*time.Second))), silence)
	}
}

func (f *protocolFaults) drain() {
	if w := f.worker(); w.incarnation.up && !w.incarnation.draining {
		w.drainAndLeave()
	}
}

// replace starts a worker with another ID at the address of one.
func (f *protocolFaults) replace() {
	w := f.worker()
	w.id += "+"
	w.restart(f.clockStep())
}

func (f *protocolFaults) cancel() {
	id := fmt.Sprintf("job-%d", f.random.IntN(60))
	for _, queue := range []string{"urgent", "batch"} {
		f.serve(cancellationOf(queue, id), nil)
	}
}

// evacuate takes a zone out of service for a while.
func (f *protocolFaults) evacuate() {
	zone := f.worker().zone
	f.serve(zoneRequest(zone, true), nil)
	f.after(3*time.Second, func() { f.serve(zoneRequest(zone, false), nil) })
}

func (f *protocolFaults) lose() { f.lossRate = 0.4 * f.random.Float64() }

// lateHeartbeat returns the delay of an announcement.
func (f *protocolFaults) lateHeartbeat() time.Duration {
	if f.random.IntN(4) > 0 {
		return 0
	}
	return time.Duration(f.random.Int64N(int64(protocolMaxDelay)))
}

func (f *protocolFaults) slowCommitTime() time.Duration {
	if !f.slowCommit {
		return 10 * time.Millisecond
	}
	return 10*time.Millisecond + time.Duration(f.random.Int64N(int64(390*time.Millisecond)))
}

// route decides the fate of a call.
func (f *protocolFaults) route(e *exchange, w *strictWorker) delivery {
	delay, responseDelay := time.Duration(e.random.Int64N(int64(f.jitter))), time.Duration(e.random.Int64N(int64(f.responseJitter)))
	switch {
	case !w.isPartitioned() && !f.now.Before(f.mutedUntil[w]) && e.random.Float64() >= f.lossRate:
		return delivery{delay: delay, responseDelay: responseDelay}
	case f.now.Before(f.mutedUntil[w]):
		return delivery{delay: delay, unanswered: true}
	case e.random.Float64() < f.lateRate:
		return delivery{delay: time.Duration(e.random.Int64N(int64(protocolMaxDelay))), unanswered: true}
	case !w.isPartitioned() && e.random.IntN(2) == 0:
		return delivery{delay: delay, unanswered: true}
	}
	return delivery{lost: true, unanswered: true}
}

// submitRandom submits a job of random steps.
func (f *protocolFaults) submitRandom(n int) {
	runtime := time.Duration(100+f.random.IntN(1500)) * time.Millisecond
	if f.random.IntN(4) == 0 {
		runtime = time.Duration(4+f.random.IntN(10)) * time.Second
	}
	step := dedicated(uint32(1+f.random.IntN(8)), runtime)
	switch f.random.IntN(8) {
	case 0:
		step.Gang = true
	case 1:
		step.Speculative = true
	case 2:
		step.Fills, step.Image = true, "fill"
	case 3:
		step.Perpetual, step.Image = true, "serving"
		step.Count = min(step.Count, 2)
		if f.random.IntN(2) == 0 {
			step.TargetMs = 100
		}
	}
	steps := []*controlpb.WorkStep{step}
	if f.random.IntN(3) == 0 && !step.GetPerpetual() {
		after := dedicated(uint32(1+f.random.IntN(4)), 300*time.Millisecond)
		after.After = []uint32{0}
		steps = append(steps, after)
	}
	f.submit([]string{"urgent", "batch"}[f.random.IntN(2)], fmt.Sprintf("job-%d", n), steps...)
}

func (f *protocolFaults) play() {
	for n := range 60 {
		if len(f.actions) > 0 && f.random.IntN(2) == 0 {
			f.actions[f.random.IntN(len(f.actions))]()
		}
		f.submitRandom(n)
		f.run(time.Duration(f.random.IntN(900)) * time.Millisecond)
	}
	f.lossRate = 0
	clear(f.mutedUntil)
	f.run(20 * time.Second)
}

// playProtocolFaults plays the schedule of a seed, and fails the test if a task ran twice that the leader could have prevented.
func playProtocolFaults(t *testing.T, seed uint64) *protocolFaults {
	f := newProtocolFaults(newCluster(t, seed, 6))
	f.play()
	for _, v := range f.oracle.violations {
		switch {
		case v.class != unfenced:
			t.Errorf("%s: %s\n%s", v.class, v.detail, v.trace)
		case *protocolUnfenced:
			t.Logf("%s: %s\n%s", v.class, v.detail, v.trace)
		}
	}
	return f
}

// An end must not be acknowledged while a later incarnation may have ended a run that the earlier one hasn't listed: it would forget
// that end, and the task would start again.
func TestNoAcknowledgementWithOpenStart(t *testing.T) {
	for seed, cause := range map[uint64]string{
		60371: "a start was open at two rare polls, which are more than a second apart",
		70086: "a start was answered by another clock than that of the worker",
	} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if playProtocolFaults(t, seed); t.Failed() {
				t.Log(cause)
			}
		})
	}
}

// No task may run twice under faults that the protocol allows, unless an order that the leader can't fence is carried out.
func TestProtocolFaults(t *testing.T) {
	var mutex sync.Mutex
	counts := map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for seed := *protocolFirstSeed; seed < *protocolFirstSeed+*protocolSeeds; seed++ {
			t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
				t.Parallel()
				f := playProtocolFaults(t, seed)
				mutex.Lock()
				defer mutex.Unlock()
				for class, n := range f.oracle.byClass {
					counts[class] += n
				}
				counts["tasks started"] += len(f.oracle.starts)
			})
		}
	})
	for _, class := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%6d %s", counts[class], class)
	}
}
