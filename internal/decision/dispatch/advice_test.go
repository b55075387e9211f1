package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// finishTime is the time after the last disruption within which an accepted job has to run again.
const finishTime = 14 * time.Second

// The tickets of a worker that crashes and restarts under its ID are rejected from then on. If it isn't asked about again, a
// job that may run nowhere else has nothing running for good.
func TestAdviceAfterRestart(t *testing.T) {
	for _, downtime := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second} {
		sim := newSimulationWithWorkers(t, 1, 3)
		allowed := sim.workers[1] // keeps its ID, which is the only one that the service accepts
		sim.submit("advised", "a", dedicated(4, 3*time.Second))
		sim.run(time.Second)
		if len(allowed.runs) != 4 {
			t.Fatalf("%d runs on the allowed worker, expected 4", len(allowed.runs))
		}
		allowed.crash(downtime)
		sim.run(downtime + finishTime)
		sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
	}
}

// A worker restarts while the advice service is being asked about it. The answer is about the earlier incarnation, or leaves
// the worker out as it is down, and mustn't keep the job from running on the later one.
func TestAdviceDuringRestart(t *testing.T) {
	for _, downtime := range []time.Duration{20 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
		for delay := time.Duration(0); delay < 300*time.Millisecond; delay += 10 * time.Millisecond {
			sim := newSimulationWithWorkers(t, 1, 3)
			sim.submit("advised", "a", dedicated(4, time.Second))
			sim.run(delay)
			sim.workers[1].crash(downtime)
			sim.run(downtime + finishTime)
			sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
		}
	}
}

// A start that is repeated after its ticket has expired, because the worker didn't answer, is rejected. The ticket must be
// renewed.
func TestAdviceExpiredBeforeStart(t *testing.T) {
	for outage := ticketValidity - time.Second; outage < 2*ticketValidity; outage += 100 * time.Millisecond {
		sim := newSimulationWithWorkers(t, 1, 3)
		sim.submit("advised", "a", dedicated(4, time.Second))
		for sim.state.Job("a").LiveRuns() == 0 {
			sim.run(10 * time.Millisecond)
			sim.lossRate = 1
		}
		sim.run(outage)
		sim.lossRate = 0
		sim.run(finishTime)
		sim.expect("a", controlpb.WorkState_WORK_COMPLETED)
	}
}

// The advice on a lasting step mustn't grow with every restart of a worker.
func TestAdviceOnEndedIncarnationsIsForgotten(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 3)
	sim.submit("advised", "a", serving(2, "image"))
	for range 8 {
		sim.run(4 * time.Second)
		sim.workers[1].crash(time.Second)
	}
	sim.run(finishTime)
	if runs := len(sim.workers[1].runs); runs != 2 {
		t.Errorf("%d tasks run on the allowed worker, expected 2", runs)
	}
	for step, cached := range sim.dispatcher.advices {
		if len(cached.tickets) > len(sim.workers) {
			t.Errorf("the advice on %s names %d incarnations of %d workers", step.Name(), len(cached.tickets), len(sim.workers))
		}
	}
}

// advisedFleet describes a fleet of an advised queue whose best-effort tasks interfere with the serving tasks on some of its workers.
type advisedFleet struct {
	serving, empty int  // workers with serving tasks, and others that are added later
	added          bool // the others announce themselves only after the best-effort job was submitted
	allowed        int  // number of the others for which the service issues tickets, the last ones
	busy           bool // the others have no room at first
	jobs           int  // best-effort jobs
}

// Tickets were asked for and renewed only for workers on which an advised step interfered with serving tasks, as there were more of them
// than one call can name, and never for others: the job had nothing running beside empty workers.
func TestAdviceOnWorkersWithoutInterference(t *testing.T) {
	for name, fleet := range map[string]advisedFleet{
		"added before":        {serving: 30, empty: 10, allowed: 10, jobs: 1},
		"added after":         {serving: 30, empty: 10, added: true, allowed: 10, jobs: 1},
		"one allowed":         {serving: 40, empty: 40, added: true, allowed: 1, jobs: 1},
		"many serving":        {serving: 130, empty: 4, allowed: 4, jobs: 1},
		"many refused":        {serving: 20, empty: 130, allowed: 1, jobs: 1},
		"without room before": {serving: 70, empty: 10, allowed: 10, busy: true, jobs: 1},
		"many jobs":           {serving: 60, empty: 20, added: true, allowed: 10, jobs: 40},
	} {
		for _, interference := range []float64{0.4, 2} {
			t.Run(fmt.Sprintf("%s %v", name, interference), func(t *testing.T) { fleet.play(t, interference) })
		}
	}
}

func (f *advisedFleet) play(t *testing.T, interference float64) {
	sim := newSimulation(t, 1)
	sim.allowsAll = true
	sim.configure()
	sim.ownLoad = func(time.Time) float64 { return 0.4 } // a latency ratio of 0.8
	sim.interference = func(string, string) float64 { return interference }
	sim.addWorkers(f.serving)
	sim.run(3 * time.Second)
	step := servingOnAll(uint32(f.serving))
	sim.submit("urgent", "serving", step)
	sim.run(3 * time.Second)
	addEmpty := func() {
		sim.addWorkers(f.empty)
		for _, w := range sim.workers[f.serving : f.serving+f.empty-f.allowed] {
			w.unadvised = true
		}
		sim.run(3 * time.Second)
	}
	if !f.added {
		addEmpty()
	}
	if f.busy {
		sim.submit("urgent", "busy", dedicated(uint32(8*f.empty), 20*time.Second))
		sim.run(time.Second)
	}
	for n := range f.jobs {
		sim.submit("advised", fmt.Sprint("a-", n), bestEffort(1, "fill", 4*time.Second))
	}
	sim.run(12 * time.Second)
	if f.busy {
		sim.run(15 * time.Second)
	}
	if f.added {
		addEmpty()
	}
	sim.run(finishTime)
	for n := range f.jobs {
		sim.expect(fmt.Sprint("a-", n), controlpb.WorkState_WORK_COMPLETED)
	}
}

// Tickets were asked for only on workers with room, so that an urgent step of an advised queue never preempted less urgent work: it waited
// until that ended by itself.
func TestAdviceForPreemption(t *testing.T) {
	for _, workers := range []int{4, 80} {
		sim := newSimulationWithWorkers(t, 1, workers)
		sim.submit("batch", "batch", dedicated(uint32(8*workers), 2*time.Minute))
		sim.run(5 * time.Second)
		submitted := sim.now
		sim.submit("advised", "a", dedicated(3, time.Second))
		for sim.servingRuns("a") < 3 && sim.now.Sub(submitted) < 30*time.Second {
			sim.run(10 * time.Millisecond)
		}
		waited := sim.now.Sub(submitted)
		t.Logf("on %d workers the urgent tasks wait %v", workers, waited)
		if waited > 2400*time.Millisecond {
			t.Errorf("on %d workers the urgent tasks wait %v", workers, waited)
		}
	}
}
