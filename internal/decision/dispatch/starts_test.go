package dispatch

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
)

var (
	startSeeds     = flag.Uint64("start-seeds", 6, "number of seeds of TestStartsUnderFaults")
	startFirstSeed = flag.Uint64("start-first-seed", 0, "first seed of TestStartsUnderFaults")
	startLog       = flag.Bool("start-log", false, "log the decisions of TestStartsUnderFaults")
)

// startScenario submits jobs of all kinds while faults overlap.
type startScenario struct {
	*simulation
	lateOrders  bool // unanswered calls are carried out late, and no worker restarts under its ID
	maxAttempts int
	submitted   map[string][]*controlpb.WorkStep
	waves       uint64
	nextWave    time.Time
	faults      []func()
	counts      map[string]int // events by name
	account     string         // on whose behalf the next job is submitted; empty without accounts
}

// TestStartsUnderFaults guards against starts that violate the invariants of checkStart and checkAudit, and against jobs that
// don't end, while workers fail, refuse, crash and are maintained. Late orders and restarts under the same ID aren't combined:
// nothing can prevent a late order from being carried out by a later incarnation.
func TestStartsUnderFaults(t *testing.T) {
	for name, kind := range map[string]struct{ lateOrders, accounts bool }{"restarts": {}, "late orders": {lateOrders: true}, "accounts": {accounts: true}} {
		for seed := *startFirstSeed; seed < *startFirstSeed+*startSeeds; seed++ {
			t.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(t *testing.T) {
				t.Parallel()
				s := newStartScenario(t, seed, kind.lateOrders)
				if kind.accounts {
					s.limitAccounts()
				}
				s.play()
			})
		}
	}
}

func newStartScenario(t *testing.T, seed uint64, lateOrders bool) *startScenario {
	s := &startScenario{simulation: newSimulationWithWorkers(t, seed, 8), lateOrders: lateOrders, maxAttempts: int(1 + seed%3), submitted: map[string][]*controlpb.WorkStep{}, counts: map[string]int{}}
	s.replaceRouting(2, uint32(s.maxAttempts))
	s.latencyExempt, s.maxDelay, s.deadly = true, 12*time.Second, map[string]bool{}
	s.interference = func(_, aggressor string) float64 {
		if aggressor == "fill-0" {
			return 1.2
		}
		return 0.01
	}
	s.dispatcher.config.Count = func(name string) { s.counts[name]++ }
	if *startLog {
		s.dispatcher.config.Log = funcr.New(func(_, args string) { t.Logf("%.3f %s", s.seconds(), args) }, funcr.Options{})
	}
	hosts := newHostService(s.simulation, 2)
	if lateOrders {
		s.delayedRate, hosts.delayedRate = 1, 0.3
	}
	s.faults = []func(){
		s.toggleFailing, s.refuseStarts, s.crashWorker, s.crashWorker, s.crashMember, s.restartWorker, s.toggleAnswers, s.loseCalls, s.replaceLeader,
		s.slowCommits, s.toggleProgress, s.maintainHosts, s.takeZoneOut, s.cancelJob, s.submitDeadly, s.toggleTail,
	}
	if seed%2 == 0 { // fewer kinds of faults, but more often
		s.random.Shuffle(len(s.faults), func(i, j int) { s.faults[i], s.faults[j] = s.faults[j], s.faults[i] })
		s.faults = s.faults[:2+s.random.IntN(4)]
	}
	return s
}

func (s *startScenario) seconds() float64 { return s.now.Sub(time.Unix(1_000_000, 0)).Seconds() }

// play submits jobs during faults, ends the faults, and checks that all jobs end.
func (s *startScenario) play() {
	s.submitFirst("serving", servingOnAll(8))
	s.run(time.Second)
	const jobs = 60
	for i := range jobs {
		if s.random.IntN(2) == 0 {
			s.faults[s.random.IntN(len(s.faults))]()
		}
		s.submitRandom(fmt.Sprintf("job-%d", i))
		s.run(time.Duration(s.random.IntN(700)) * time.Millisecond)
	}
	for _, worker := range s.workers {
		worker.failing, worker.slowTail = false, 0
	}
	s.run(15 * time.Second) // crashed and maintained workers are back, and late orders have arrived
	s.clearFaults()
	s.cancel("serving")
	s.run(60 * time.Second)
	for id, steps := range s.submitted {
		s.checkOutcome(id, steps, s.maxAttempts)
	}
	for _, worker := range s.workers {
		if len(worker.runs) > 0 {
			s.t.Errorf("%d runs are left on %s", len(worker.runs), worker.incarnation.GetId())
		}
	}
	s.t.Logf("starts %d, failed ends %d, counts %v, maintained %d, gang timeouts %d", len(s.starts), len(s.audit.failedEnds), s.counts, len(s.hosts.begun), s.gangTimeouts)
}

// submitRandom submits a job of one to three steps of random kinds.
func (s *startScenario) submitRandom(id string) {
	var steps []*controlpb.WorkStep
	for n := range 1 + s.random.IntN(3) {
		step := s.randomStep()
		if n > 0 {
			step.After = []uint32{uint32(n - 1)}
		}
		steps = append(steps, step)
	}
	s.submitSteps([]string{"urgent", "batch", "advised"}[s.random.IntN(3)], id, steps)
}

// submitFirst submits a lasting job on behalf of the first account, if there are accounts.
func (s *startScenario) submitFirst(id string, step *controlpb.WorkStep) {
	if s.account == "" {
		s.submit("urgent", id, step)
		return
	}
	s.submitBy("c", "urgent", id, step)
}

func (s *startScenario) submitSteps(queue, id string, steps []*controlpb.WorkStep) {
	s.submitted[id] = steps
	if s.account != "" {
		s.changeAccount()
		s.request(submissionBy(s.account, queue, id, steps...))
		return
	}
	s.request(submission(queue, id, steps...))
}

func (s *startScenario) randomStep() *controlpb.WorkStep {
	runtime := time.Duration(200+s.random.IntN(1200)) * time.Millisecond
	step := dedicated(uint32(1+s.random.IntN(4)), runtime)
	switch s.random.IntN(5) {
	case 0:
		step = bestEffort(uint32(1+s.random.IntN(4)), fmt.Sprintf("fill-%d", s.random.IntN(2)), runtime)
	case 1:
		step.Count, step.Processors, step.Gang, step.MaxPerWorker = uint32(2+s.random.IntN(3)), 2000, true, uint32(1+s.random.IntN(2))
	case 2:
		step.Speculative = true
	}
	return step
}

func (s *startScenario) anyWorker() *simWorker { return s.workers[s.random.IntN(len(s.workers))] }

// mayRestart reports whether a worker is up and its restart is allowed: if orders are late only under another ID.
func (s *startScenario) mayRestart(worker *simWorker) bool {
	keepsID := slices.Index(s.workers, worker)%2 != 0
	return worker.up && !s.hosts.unavailable[worker.incarnation.GetHost()] && !(s.lateOrders && keepsID)
}

func (s *startScenario) toggleFailing() {
	worker := s.anyWorker()
	worker.failing = !worker.failing
}

func (s *startScenario) refuseStarts() { s.anyWorker().rejectionRate = 0.6 * s.random.Float64() }

func (s *startScenario) crashWorker() {
	if worker := s.anyWorker(); s.mayRestart(worker) {
		worker.crash(time.Duration(s.random.IntN(7000)) * time.Millisecond)
	}
}

// crashMember crashes a worker that runs a member of a gang.
func (s *startScenario) crashMember() {
	for _, worker := range s.workers {
		for _, r := range worker.ordered {
			if r.task.Step.GetGang() && s.mayRestart(worker) {
				worker.crash(time.Duration(s.random.IntN(4000)) * time.Millisecond)
				return
			}
		}
	}
}

func (s *startScenario) restartWorker() {
	if worker := s.anyWorker(); s.mayRestart(worker) && !s.lateOrders {
		worker.startIncarnation(worker.incarnation)
	}
}

func (s *startScenario) toggleAnswers() {
	worker := s.anyWorker()
	worker.answersLost = !worker.answersLost
}

func (s *startScenario) loseCalls() { s.lossRate = 0.4 * s.random.Float64() }

func (s *startScenario) slowCommits() {
	s.commitTime = defaultCommitTime + time.Duration(s.random.Int64N(int64(400*time.Millisecond)))
}

func (s *startScenario) toggleProgress() {
	if worker := s.anyWorker(); s.random.IntN(2) == 0 {
		worker.stalled = !worker.stalled
	} else {
		worker.slowdown = 6 - worker.slowdown
	}
}

// toggleTail makes the serving tasks of a worker exceed their targets whatever runs beside them, or ends that.
func (s *startScenario) toggleTail() {
	worker := s.anyWorker()
	worker.slowTail = 1.5 - worker.slowTail
}

// maintainHosts begins a wave on some hosts.
func (s *startScenario) maintainHosts() {
	var names []string
	for _, i := range s.random.Perm(len(s.workers))[:3] {
		if host := s.workers[i].incarnation.GetHost(); !slices.Contains(s.hosts.begun, host) {
			names = append(names, host)
		}
	}
	if len(names) > 0 && s.now.After(s.nextWave) && len(s.state.ActiveMaintenance()) == 0 && len(s.hosts.unavailable) == 0 {
		s.waves++
		s.nextWave = s.now.Add(time.Second) // when this one is known
		s.request(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_BeginMaintenance{BeginMaintenance: &controlpb.Maintenance{
			Wave: s.waves, Hosts: names, WithinMs: 60_000, MostAtOnce: 2,
		}}})
	}
}

func (s *startScenario) takeZoneOut() {
	zone := fmt.Sprintf("zone-%d", s.random.IntN(2))
	s.request(zoneRequest(zone, true))
	s.after(3*time.Second, func() { s.request(zoneRequest(zone, false)) })
}

func (s *startScenario) cancelJob() {
	if active := s.state.Jobs(); len(active) > 1 {
		s.cancel(active[1+s.random.IntN(len(active)-1)].Spec.GetId())
	}
}

// submitDeadly submits a job of which one task crashes its workers, some of which restart under their IDs.
func (s *startScenario) submitDeadly() {
	id := fmt.Sprintf("deadly-%d", len(s.deadly))
	if s.lateOrders || len(s.deadly) > 1 {
		return
	}
	s.deadly[id+".0.0.0"] = true
	step := dedicated(3, time.Second)
	step.Gang = s.random.IntN(2) == 0
	s.submitSteps("urgent", id, []*controlpb.WorkStep{step})
}

// discardedCalls drops all calls.
type discardedCalls struct{}

func (discardedCalls) Send(*order.Call) {}

func (discardedCalls) QueuedStarts() int { return 0 }

// replaceLeader replaces the leader. Some of its pending changes still take effect, which it doesn't learn.
func (s *startScenario) replaceLeader() {
	old := s.dispatcher
	old.config.WorkerCalls = discardedCalls{}
	var pending []event
	for _, e := range s.events {
		if e.commit {
			pending = append(pending, e)
		}
	}
	for _, e := range pending[:s.random.IntN(len(pending)+1)] {
		e.do()
	}
	old.config.WorkerCalls = s.simulation
	s.changeLeader()
	s.run(time.Duration(s.random.IntN(100)) * time.Millisecond)
}
