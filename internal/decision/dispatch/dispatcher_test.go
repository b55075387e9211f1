package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

func exact(count uint32, length time.Duration) *controlpb.WorkStep {
	return &controlpb.WorkStep{Count: count, Processors: 4000, Memory: 4096, EstimateMs: length.Milliseconds()}
}

func fill(count uint32, image string, length time.Duration) *controlpb.WorkStep {
	step := exact(count, length)
	step.Fills, step.Image, step.Checkpoints = true, image, true
	return step
}

func serving(count uint32, image string) *controlpb.WorkStep {
	return &controlpb.WorkStep{Count: count, Processors: 6000, Memory: 8192, Perpetual: true, Image: image, TargetMs: 100}
}

// newFleet returns a world with a number of workers in two zones and four racks.
func newFleet(t *testing.T, seed uint64, workers int) *world {
	w := newWorld(t, seed)
	w.configure()
	for i := range workers {
		w.addWorker(fmt.Sprintf("zone-%d", i%2), fmt.Sprintf("r-%d", i%4))
	}
	w.run(3 * time.Second)
	return w
}

func (w *world) expect(id string, want controlpb.WorkState) {
	w.t.Helper()
	if got := w.stateOf(id); got != want {
		w.t.Errorf("job %s is %v, expected %v", id, got, want)
	}
}

// Guards against steps that start too early and jobs that never complete.
func TestStepsInOrder(t *testing.T) {
	w := newFleet(t, 1, 4)
	second := exact(3, 300*time.Millisecond)
	second.After = []uint32{0}
	w.submit("urgent", "a", exact(4, 300*time.Millisecond), second)
	w.run(500 * time.Millisecond)
	w.expect("a", controlpb.WorkState_WORK_ACTIVE)
	w.run(2 * time.Second)
	w.expect("a", controlpb.WorkState_WORK_COMPLETED)
}

// A worker that fails all that it starts must not use up the attempts of jobs that others could run.
func TestFailingWorkerIsShunned(t *testing.T) {
	w := newFleet(t, 1, 4)
	w.workers[0].failing = true
	for i := range 20 {
		w.submit("urgent", fmt.Sprintf("job-%d", i), exact(2, 400*time.Millisecond))
		w.run(200 * time.Millisecond)
	}
	w.run(5 * time.Second)
	failed := 0
	for i := range 20 {
		if w.stateOf(fmt.Sprintf("job-%d", i)) != controlpb.WorkState_WORK_COMPLETED {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("%d of 20 jobs failed although three of four workers are sound", failed)
	}
}

// A worker that dies silently must not hold its tasks for longer than its leases, and must not run them beside others.
func TestSilentWorkerIsGivenUp(t *testing.T) {
	w := newFleet(t, 1, 4)
	w.submit("batch", "long", exact(8, 3*time.Second))
	w.run(time.Second)
	w.workers[1].up = false
	w.run(holdTime + 6*time.Second)
	w.expect("long", controlpb.WorkState_WORK_COMPLETED)
}

// A worker that is cut off keeps working until its leases lapse; what it ran must not run elsewhere before that.
func TestCutOffWorkerKeepsItsTasks(t *testing.T) {
	w := newFleet(t, 1, 4)
	w.submit("batch", "long", exact(8, 20*time.Second))
	w.run(time.Second)
	w.workers[1].cut = true
	w.run(10 * time.Second)
	w.workers[1].cut = false
	w.run(25 * time.Second)
	w.expect("long", controlpb.WorkState_WORK_COMPLETED)
}

// A worker that comes back under its old ID must not run what was ordered from its earlier life beside others.
func TestRebornWorker(t *testing.T) {
	for seed := range uint64(20) {
		w := newFleet(t, seed, 3)
		w.lose, w.late = 0.1, 1
		for i := range 8 {
			w.submit("urgent", fmt.Sprintf("job-%d", i), exact(6, time.Second))
			worker := w.workers[w.random.IntN(3)]
			worker.begin(worker.life)
			w.run(700 * time.Millisecond)
		}
		w.lose = 0
		w.run(30 * time.Second)
		for i := range 8 {
			w.expect(fmt.Sprintf("job-%d", i), controlpb.WorkState_WORK_COMPLETED)
		}
	}
}

// Orders without an answer that are carried out late must neither double tasks nor lose them.
func TestLostAndLateOrders(t *testing.T) {
	for seed := range uint64(20) {
		w := newFleet(t, seed, 5)
		w.lose, w.late = 0.15, 0.7
		for i := range 15 {
			w.submit("urgent", fmt.Sprintf("job-%d", i), exact(5, time.Second))
			w.run(300 * time.Millisecond)
		}
		w.lose = 0
		w.run(30 * time.Second)
		for i := range 15 {
			w.expect(fmt.Sprintf("job-%d", i), controlpb.WorkState_WORK_COMPLETED)
		}
	}
}

// No task may start in a zone that is out, and tasks go on elsewhere.
func TestZoneOut(t *testing.T) {
	w := newFleet(t, 1, 4)
	w.ask(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_SetZoneOut{SetZoneOut: &controlpb.SetZoneOut{Zone: "zone-0", Out: true}}})
	w.submit("urgent", "a", exact(10, time.Second))
	w.run(500 * time.Millisecond)
	for _, worker := range w.workers {
		if worker.life.GetZone() == "zone-0" && len(worker.runs) > 0 {
			t.Errorf("%s runs %d tasks in a zone that is out", worker.life.GetId(), len(worker.runs))
		}
	}
	w.run(2 * time.Second)
	w.expect("a", controlpb.WorkState_WORK_COMPLETED)
}

// A cancelled job's tasks have to be stopped.
func TestCancel(t *testing.T) {
	w := newFleet(t, 1, 4)
	w.submit("batch", "a", exact(10, time.Minute))
	w.run(500 * time.Millisecond)
	w.ask(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Caller{Caller: &controlpb.CallerWork{
		Verb: controlpb.CallerVerb_VERB_CANCEL, Host: "h", Path: "/batch/a",
	}}})
	w.run(time.Second)
	for _, worker := range w.workers {
		if len(worker.runs) > 0 {
			t.Errorf("%s still runs %d tasks of a cancelled job", worker.life.GetId(), len(worker.runs))
		}
	}
	w.expect("a", controlpb.WorkState_WORK_CANCELLED)
}

// Waves of fills beside hosts full of serving tasks: fills must find the pairs that get on, and serving tasks must stay
// within their bounds but for the time that it takes to learn.
func TestFillsBesideServing(t *testing.T) {
	w := newFleet(t, 1, 10)
	// Each serving image is disturbed by one of three fills.
	w.harm = func(victim, aggressor string) float64 {
		if victim[len(victim)-1] == aggressor[len(aggressor)-1] {
			return 2
		}
		return 0.01
	}
	for i := range 9 {
		w.submit("urgent", fmt.Sprintf("serving-%d", i), serving(4, fmt.Sprintf("image-%d", i%3)))
	}
	w.run(2 * time.Second)
	jobs := 0
	for range 40 {
		w.submit("batch", fmt.Sprintf("job-%d", jobs), fill(6, fmt.Sprintf("fill-%d", jobs%3), 2*time.Second))
		jobs++
		w.run(500 * time.Millisecond)
	}
	w.run(12 * time.Second)
	late := 0
	for i := range jobs {
		if w.stateOf(fmt.Sprintf("job-%d", i)) != controlpb.WorkState_WORK_COMPLETED {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d of %d jobs of fills are not done", late, jobs)
	}
	// 36 serving tasks for 32 s are 1152 s; a hundredth of it is the price of finding three pairs that don't get on.
	if limit := 11 * time.Second; w.overBound > limit {
		t.Errorf("serving tasks were over their bounds for %v in all, expected at most %v", w.overBound, limit)
	}
}

// Hosts are reserved for serving tasks but for an eighth, and a wave of fills comes that would just fit into what these
// leave unused. Each job of the wave must be done within its objective.
func TestWaveOfFills(t *testing.T) {
	const hosts, seconds = 8, 12
	w := newFleet(t, 1, hosts)
	w.harm = func(string, string) float64 { return 0.01 }
	large := serving(hosts*7, "image")
	large.Processors, large.Memory = 4000, 1<<10
	w.submit("urgent", "serving", large)
	w.run(3 * time.Second)
	w.submit("batch", "warm", fill(hosts, "fill", 4*time.Second)) // until it is known that they get on
	w.run(6 * time.Second)
	submitted := map[string]time.Time{}
	late := 0
	for n := range 4 * (seconds + 6) {
		if id := fmt.Sprintf("job-%d", n); n < 4*seconds {
			submitted[id] = w.now
			w.submit("batch", id, fill(hosts/2, "fill", 2*time.Second))
		}
		w.run(250*time.Millisecond - w.now.Sub(w.now.Truncate(250*time.Millisecond)))
		for id, at := range submitted {
			if objective := 5 * time.Second; w.stateOf(id) == controlpb.WorkState_WORK_COMPLETED {
				delete(submitted, id)
			} else if w.now.Sub(at) > objective {
				delete(submitted, id)
				late++
			}
		}
	}
	if late > 0 || len(submitted) > 0 {
		t.Errorf("%d of %d jobs are late, and %d not done", late, 4*seconds, len(submitted))
	}
}

// Every host serves an image that the only fill disturbs. The fills must not wait for ever beside unused processors, and
// the serving tasks must hardly notice them.
func TestFillsDontStarve(t *testing.T) {
	w := newFleet(t, 1, 6)
	w.harm = func(string, string) float64 { return 1.2 }
	w.submit("urgent", "serving", serving(30, "image"))
	w.run(3 * time.Second)
	const jobs = 6
	for i := range jobs {
		w.submit("batch", fmt.Sprintf("job-%d", i), fill(2, "fill", 2*time.Second))
	}
	w.run(10 * time.Second)
	learned := w.overBound
	w.run(35 * time.Second)
	for i := range jobs {
		w.expect(fmt.Sprintf("job-%d", i), controlpb.WorkState_WORK_COMPLETED)
	}
	// Serving tasks may notice gentle fills until these are slowed down, 0.1 s after their start.
	if most := jobs * 2 * 4 * 200 * time.Millisecond; w.overBound-learned > most {
		t.Errorf("serving tasks were over their bounds for %v beside gentle fills, expected at most %v", w.overBound-learned, most)
	}
}

// The steps of urgent jobs must follow each other at once, also in a fleet so large that looks at its workers are rare, and
// where the ends of other jobs have just been told.
func TestStepsFollowAtOnce(t *testing.T) {
	w := newFleet(t, 1, 500)
	special := w.addWorker("zone-0", "special")
	w.run(3 * time.Second)
	const length, steps, jobs = 200 * time.Millisecond, 4, 8
	began := map[string]time.Time{}
	for i := range jobs {
		var chain []*controlpb.WorkStep
		for n := range uint32(steps) {
			step := exact(1, length)
			step.RequiredLabel = special.life.GetLabels()[1]
			if n > 0 {
				step.After = []uint32{n - 1}
			}
			chain = append(chain, step)
		}
		id := fmt.Sprintf("job-%d", i)
		began[id] = w.now
		w.submit("urgent", id, chain...)
	}
	var sum time.Duration
	for range 1000 {
		w.run(10 * time.Millisecond)
		for id, at := range began {
			if w.stateOf(id) == controlpb.WorkState_WORK_COMPLETED {
				delete(began, id)
				sum += w.now.Sub(at)
			}
		}
	}
	// A step waits for two commits of 15 ms, the answer to a look and an order, and the world's steps of 10 ms between them.
	if mean, most := sum/jobs, steps*(length+65*time.Millisecond); len(began) > 0 || mean > most {
		t.Errorf("a chain of %d steps of %v takes %v, expected at most %v; %d are not done", steps, length, mean, most, len(began))
	}
}

// The own load of serving tasks rises for ten seconds beside fills that they get on with, and what workers tell of tails is
// rough. No serving task may be over its bound for as long as the platform forbids, which the workers check, and the fills
// must go on afterwards without having lost work.
func TestFillsAreHalted(t *testing.T) {
	for seed := range uint64(10) {
		w := newFleet(t, seed, 2)
		w.harm = func(string, string) float64 { return 0.04 }
		w.rough = 0.1
		w.submit("urgent", "serving", serving(8, "image"))
		w.run(2 * time.Second)
		for i := range 32 { // until it is known that they get on
			w.submit("batch", fmt.Sprintf("warm-%d", i), fill(8, fmt.Sprintf("fill-%d", i%4), time.Second))
			w.run(1500 * time.Millisecond)
		}
		rises := w.now.Add(2 * time.Second)
		w.swing = func(now time.Time) float64 {
			if now.Before(rises) || now.After(rises.Add(10*time.Second)) {
				return 0
			}
			return 0.5
		}
		for i := range 4 {
			w.submit("batch", fmt.Sprintf("fills-%d", i), fill(2, fmt.Sprintf("fill-%d", i), 8*time.Second))
		}
		w.run(100 * time.Second)
		for i := range 4 {
			w.expect(fmt.Sprintf("fills-%d", i), controlpb.WorkState_WORK_COMPLETED)
		}
	}
}

// Members of a gang work only together: none may wait in vain for one that can't start, and the gang must run in the end.
func TestGang(t *testing.T) {
	w := newFleet(t, 1, 6)
	w.workers[2].refuses = true
	gang := exact(5, time.Second)
	gang.Gang, gang.SameRack, gang.MaxPerWorker = true, true, 3
	w.submit("urgent", "gang", gang)
	w.run(8 * time.Second)
	w.expect("gang", controlpb.WorkState_WORK_COMPLETED)
	if w.alone > 0 {
		t.Errorf("%d members waited for the others in vain", w.alone)
	}
}

// A step must not wait for tasks on a worker that has turned slow or on which they stand still.
func TestSlowAndStandingWorkers(t *testing.T) {
	w := newFleet(t, 1, 6)
	for i := range 12 {
		w.submit("urgent", fmt.Sprintf("before-%d", i), exact(6, 800*time.Millisecond))
		w.run(300 * time.Millisecond)
	}
	w.run(3 * time.Second)
	w.workers[1].slow, w.workers[2].standing = 8, true
	for i := range 5 {
		w.submit("urgent", fmt.Sprintf("job-%d", i), exact(6, 800*time.Millisecond))
	}
	w.run(5 * time.Second)
	for i := range 5 {
		w.expect(fmt.Sprintf("job-%d", i), controlpb.WorkState_WORK_COMPLETED)
	}
}

// What serves must be away from a leaving worker before it is gone, and come back elsewhere.
func TestLeavingWorker(t *testing.T) {
	w := newFleet(t, 1, 3)
	w.submit("urgent", "serving", serving(3, "image"))
	w.run(time.Second)
	leaving := w.workers[0]
	for _, worker := range w.workers {
		if len(worker.runs) > 0 {
			leaving = worker
		}
	}
	leaving.life.Leaving = true
	w.run(3 * time.Second)
	if len(leaving.runs) > 0 {
		t.Errorf("%s leaves and still runs %d tasks", leaving.life.GetId(), len(leaving.runs))
	}
	serves := 0
	for _, worker := range w.workers {
		serves += len(worker.runs)
	}
	if serves != 3 {
		t.Errorf("%d tasks serve, expected 3", serves)
	}
}

// An order whose answer is lost must not be repeated once its worker leaves or its zone is out: the repetition would be a
// start there, long after the notice was acknowledged.
func TestNoRepetitionAfterNotice(t *testing.T) {
	for _, notice := range []string{"leaving", "zone"} {
		t.Run(notice, func(t *testing.T) {
			w := newFleet(t, 1, 4)
			w.lose = 1
			w.submit("urgent", "a", exact(12, time.Second))
			w.run(100 * time.Millisecond)
			for _, worker := range w.workers {
				if worker.life.GetZone() != "zone-0" {
					continue
				}
				if notice == "leaving" {
					worker.life.Leaving = true
				}
			}
			if notice == "zone" {
				w.setZone("zone-0", true)
			}
			w.run(1600 * time.Millisecond) // all workers have announced themselves
			w.lose = 0
			before := len(w.starts)
			for range 300 {
				w.run(10 * time.Millisecond)
				for _, worker := range w.workers {
					if worker.life.GetZone() == "zone-0" && len(worker.runs) > 0 {
						t.Fatalf("%s starts %d tasks after the notice", worker.life.GetId(), len(worker.runs))
					}
				}
			}
			w.run(5 * time.Second)
			if before > 0 {
				t.Errorf("%d starts while every call was lost", before)
			}
			w.expect("a", controlpb.WorkState_WORK_COMPLETED)
		})
	}
}

// A host holds at most the allowed number of a step's tasks, and only hosts with the label are used.
func TestLimitsOfSteps(t *testing.T) {
	w := newFleet(t, 1, 4)
	limited := exact(8, time.Second)
	limited.MaxPerWorker, limited.RequiredLabel = 2, "r-1"
	w.submit("urgent", "a", limited)
	for range 30 {
		w.run(100 * time.Millisecond)
		for _, worker := range w.workers {
			if allowed := map[bool]int{true: 2}[worker.life.GetLabels()[1] == "r-1"]; len(worker.runs) > allowed {
				t.Fatalf("%s runs %d tasks, expected at most %d", worker.life.GetId(), len(worker.runs), allowed)
			}
		}
	}
	w.run(3 * time.Second)
	w.expect("a", controlpb.WorkState_WORK_COMPLETED)
}

// Occurrences of a job with times must not start before they are due.
func TestTimes(t *testing.T) {
	w := newFleet(t, 1, 4)
	start := w.now.Add(2 * time.Second)
	w.ask(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Caller{Caller: &controlpb.CallerWork{
		Verb: controlpb.CallerVerb_VERB_SUBMIT, Host: "h", Path: "/urgent/timed", Job: &controlpb.WorkJob{
			Steps: []*controlpb.WorkStep{exact(2, 200*time.Millisecond)}, Repeats: 3, StartAtMs: start.UnixMilli(), PeriodMs: 1000,
		},
	}}})
	for k := range 3 {
		due := start.Add(time.Duration(k) * time.Second)
		w.run(due.Sub(w.now) - 50*time.Millisecond)
		if started := len(w.starts); started != 2*k {
			t.Errorf("%d tasks have started before occurrence %d is due, expected %d", started, k, 2*k)
		}
	}
	w.run(2 * time.Second)
	w.expect("timed", controlpb.WorkState_WORK_COMPLETED)
}

// A task that fails everywhere must fail its job after the allowed attempts, and not run again.
func TestHopelessJob(t *testing.T) {
	w := newFleet(t, 1, 4)
	for _, worker := range w.workers {
		worker.failing = true
	}
	w.submit("urgent", "a", exact(1, time.Second))
	w.run(8 * time.Second)
	w.expect("a", controlpb.WorkState_WORK_FAILED)
	if attempts := w.starts["a.0.0.0"]; attempts != 3 {
		t.Errorf("%d attempts, expected 3", attempts)
	}
}

// Urgent work must not wait for less urgent work that has taken all processors, and that work must be done in the end.
func TestPreemption(t *testing.T) {
	w := newFleet(t, 1, 4)
	long := exact(32, 20*time.Second)
	long.Checkpoints = true
	w.submit("batch", "long", long)
	w.run(2 * time.Second)
	w.submit("urgent", "a", exact(6, 500*time.Millisecond))
	w.run(3 * time.Second)
	w.expect("a", controlpb.WorkState_WORK_COMPLETED)
	stopped := 0
	for _, count := range w.starts {
		stopped += count - 1
	}
	w.run(40 * time.Second)
	w.expect("long", controlpb.WorkState_WORK_COMPLETED)
	if stopped > 6 {
		t.Errorf("%d runs were stopped for 6 tasks of the same size", stopped)
	}
}

// Tasks of a queue with advice start only with a ticket, also once the first tickets have run out.
func TestAdvice(t *testing.T) {
	w := newFleet(t, 1, 8)
	second := exact(6, time.Second)
	second.After = []uint32{0}
	w.submit("advised", "a", exact(40, time.Second), second)
	w.run(8 * time.Second)
	w.expect("a", controlpb.WorkState_WORK_COMPLETED)
}

// What was learned of pairs must survive the leader, so that serving tasks aren't disturbed again after each change.
func TestLearningSurvivesTheLeader(t *testing.T) {
	w := newFleet(t, 1, 6)
	w.harm = func(string, string) float64 { return 2 }
	w.submit("urgent", "serving", serving(24, "image"))
	w.run(2 * time.Second)
	for i := range 4 {
		w.submit("batch", fmt.Sprintf("job-%d", i), fill(4, "fill", 2*time.Second))
	}
	w.run(6 * time.Second)
	learned := w.overBound
	w.changeLeader()
	w.run(8 * time.Second)
	if again := w.overBound - learned; again > learned/2 {
		t.Errorf("serving tasks were over their bounds for %v before the change of the leader and for %v after it", learned, again)
	}
}

// The first tasks to end are the shortest. A new leader must not take the others for slow.
func TestShortTasksEndFirst(t *testing.T) {
	w := newFleet(t, 1, 40)
	for i := range 25 {
		w.submit("batch", fmt.Sprintf("job-%d", i), exact(8, time.Duration(200+160*i)*time.Millisecond))
	}
	w.run(12 * time.Second)
	for task, starts := range w.starts {
		if starts > 1 {
			t.Errorf("%s was started %d times on sound workers", task, starts)
		}
	}
}

// Fills hold memory. What serves must not wait for it while fills do.
func TestFillsGiveUpMemory(t *testing.T) {
	w := newFleet(t, 1, 2)
	large := fill(8, "fill", 20*time.Second)
	large.Processors, large.Memory = 1000, 30<<10
	w.submit("batch", "fills", large)
	w.run(2 * time.Second)
	w.submit("urgent", "serving", serving(4, "image"))
	w.run(3 * time.Second)
	serves := 0
	for _, worker := range w.workers {
		for key := range worker.runs {
			if key.Task.Job == "serving" {
				serves++
			}
		}
	}
	if serves != 4 {
		t.Errorf("%d of 4 tasks serve", serves)
	}
}

// A flood of less urgent jobs must not take the room of urgent ones, and no flood may grow without bound.
func TestFlood(t *testing.T) {
	w := newFleet(t, 1, 1)
	accepted := map[string]int{}
	for _, queue := range []string{"batch", "urgent"} {
		for i := range mostJobs {
			request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: &controlpb.WorkRequest{
				Kind: &controlpb.WorkRequest_Caller{Caller: &controlpb.CallerWork{
					Verb: controlpb.CallerVerb_VERB_SUBMIT, Host: "h", Path: fmt.Sprintf("/%s/%s-%d", queue, queue, i),
					Job: &controlpb.WorkJob{Steps: []*controlpb.WorkStep{exact(1, time.Hour)}},
				}},
			}}}
			if reply, wait := w.dispatcher.Serve(w.now, request); wait {
				accepted[queue]++
			} else if reply.GetWork().GetRetryAfterMs() == 0 {
				t.Fatalf("refused without a time to come back: %v", reply)
			}
		}
	}
	if want := int(lessUrgentShare * mostJobs); accepted["batch"] != want || accepted["urgent"] != mostJobs-want {
		t.Errorf("accepted %v, expected %d and %d", accepted, want, mostJobs-want)
	}
}
