package replica

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/decision/coordinator"
	"galenamoor/internal/decision/scheduler"
	"galenamoor/internal/decision/slotshare"
	"galenamoor/pkg/inventory"
	"galenamoor/pkg/resource"
	"galenamoor/pkg/rules"
)

var systemSeeds = flag.Int("seeds", 15, "number of random sessions in TestSystem")

// systemSteps is the number of steps in a session. Each is followed by up to 8 s of virtual time.
const systemSteps = 24

// stepKinds is the number of kinds of step.
const stepKinds = 13

// systemInventory returns an inventory of 8 workers in 3 zones, with a service and no jobs.
func systemInventory() *inventory.Inventory {
	i := &inventory.Inventory{Region: "namib-west", Zones: []string{"swakop", "walvis", "sesriem"}}
	for n := range 8 {
		i.Workers = append(i.Workers, inventory.Worker{
			Name: fmt.Sprintf("w%d", n), Zone: i.Zones[n%3], Rack: fmt.Sprintf("r%d", n/2),
			Capacity: resource.Vector{Processors: 8000, Memory: 32 << 10},
		})
	}
	i.Services = []inventory.Service{{
		Name: "waiver", Team: "outfitters", Executors: 6, Request: resource.Vector{Processors: 2000, Memory: 4 << 10},
		Slots: 8, Connections: 64,
	}}
	return i
}

// simSystem is a simulated control plane with workers, and a record of the operators' requests.
type simSystem struct {
	*simCluster
	workers         []*simWorker
	jobs            int
	zoneChanges     int // number of zone changes requested
	log             []string
	configureWorker func(*simWorker)
}

func newSystem(seed uint64, configureWorker func(*simWorker)) *simSystem {
	s := &simSystem{configureWorker: configureWorker}
	s.simCluster = newSimCluster(seed, 3, 1, func(c *simCluster) {
		c.newScheduler = func() coordinator.Scheduler { return scheduler.New(scheduler.Default()) }
		c.newAllocator = func() coordinator.Allocator { return slotshare.New() }
		c.compactAfter = 100
	})
	s.workerOracle = &workerOracle{cluster: s.simCluster, running: map[string]string{}, done: map[string]bool{}, finished: map[string]bool{}, zonesOut: map[string]time.Time{}}
	inv := systemInventory()
	s.simCluster.submit(&operation{key: "inventory", origin: "a", request: command(&controlpb.Command{Kind: &controlpb.Command_ApplyConfiguration{
		ApplyConfiguration: &controlpb.ApplyConfiguration{RequestKey: "inventory", Inventory: inv.Text(), Rules: (&rules.Rules{}).Text()},
	}})})
	s.run(3 * time.Second)
	for _, listed := range inv.Workers {
		worker := &simWorker{cluster: s.simCluster, name: listed.Name, zone: listed.Zone, capacity: listed.Capacity}
		configureWorker(worker)
		s.workers = append(s.workers, worker)
		worker.boot()
	}
	return s
}

// step executes the step that a number encodes: its kind, its object and the time that follows.
func (s *simSystem) step(number uint64) {
	kind, rest := number%stepKinds, number/stepKinds
	daemon := s.sorted()[rest%4]
	worker := s.workers[rest%8]
	zone := systemInventory().Zones[rest%3]
	switch kind {
	case 0:
		s.logStep("crash or restart of daemon %s", daemon.name)
		if daemon.core == nil {
			s.rejoin(daemon)
		} else if !s.majorityAtRisk(daemon) {
			s.crash(daemon)
		}
	case 1:
		s.logStep("connection of daemon %s is cut or restored", daemon.name)
		s.toggleLinks(daemon.name)
	case 2, 3:
		s.setZone(zone, kind == 2)
	case 4, 5:
		s.submitJob(rest)
	case 6:
		s.logStep("worker %s crashes or restarts", worker.name)
		if worker.up {
			worker.crash()
		} else {
			worker.boot()
		}
	case 7:
		s.logStep("connection of worker %s is cut or restored", worker.name)
		s.toggleLinks(worker.name)
	case 8:
		s.lossRate = float64(rest%3) * 0.1
		s.logStep("loss of %.0f%%", 100*s.lossRate)
	case 9:
		s.extraSyncDelay = time.Duration(rest%3) * 50 * time.Millisecond
		s.logStep("syncs of up to %v", s.extraSyncDelay)
	case 10:
		s.extraMessageDelay = time.Duration(rest%3) * 3 * time.Second
		s.logStep("delays of up to %v", s.extraMessageDelay)
	case 12:
		s.logStep("worker %s freezes after its next claim", worker.name)
		worker.nextFreeze = 5 * time.Second
	case 11:
		s.logStep("leadership is transferred")
		for _, d := range s.sorted() {
			if d.core != nil {
				d.core.TransferLeadership(s.now)
				s.processOutputs(d)
			}
		}
	}
	s.run(time.Duration(1+number%80) * 100 * time.Millisecond)
}

func (s *simSystem) logStep(format string, arguments ...any) {
	s.log = append(s.log, fmt.Sprintf("%7.3f %s", s.now.Sub(s.start).Seconds(), fmt.Sprintf(format, arguments...)))
}

// majorityAtRisk reports whether the 3 voters would lose their majority without d, because another one is down.
func (s *simSystem) majorityAtRisk(d *simDaemon) bool {
	return !d.learner && slices.ContainsFunc(s.sorted(), func(o *simDaemon) bool { return o != d && !o.learner && o.core == nil })
}

// toggleLinks partitions a host from all daemons, or ends the partition.
func (s *simSystem) toggleLinks(host string) {
	for _, d := range s.sorted() {
		for _, pair := range [][2]string{{host, d.name}, {d.name, host}} {
			s.partitionedLinks[pair] = !s.partitionedLinks[pair] && host != d.name
		}
	}
}

func (s *simSystem) setZone(zone string, out bool) {
	s.zoneChanges++
	key := fmt.Sprintf("zone-%d", s.zoneChanges)
	s.logStep("zone %s out: %t", zone, out)
	if !out {
		delete(s.workerOracle.zonesOut, zone)
	}
	o := &operation{key: key, origin: "a", request: command(&controlpb.Command{Kind: &controlpb.Command_SetZone{
		SetZone: &controlpb.SetZone{RequestKey: key, Zone: zone, Out: out},
	}})}
	s.submit(o)
	s.whenAnswered(o, func() {
		if out && o.answer.GetCode() == controlpb.ResultCode_RESULT_OK && s.isLastZoneChange(o) {
			s.workerOracle.zonesOut[zone] = s.now
		}
	})
}

// isLastZoneChange reports whether a change was the last applied one of its zone and will stay so: all other changes of the
// zone are answered and were applied earlier. A change that is still being retried may be applied later and bring the zone
// back.
func (s *simSystem) isLastZoneChange(last *operation) bool {
	zone := last.request.GetCommand().GetSetZone().GetZone()
	for _, o := range s.operations {
		if o == last || o.request.GetCommand().GetSetZone().GetZone() != zone {
			continue
		}
		if o.answer == nil || o.answer.GetVersion() > last.answer.GetVersion() {
			return false
		}
	}
	return true
}

func (s *simSystem) whenAnswered(o *operation, run func()) {
	if o.answer != nil {
		run()
		return
	}
	s.schedule(time.Millisecond, func() { s.whenAnswered(o, run) })
}

func (s *simSystem) submitJob(number uint64) {
	s.jobs++
	name := fmt.Sprintf("job-%d", s.jobs)
	s.logStep("%s is submitted", name)
	s.submit(&operation{key: name, origin: "b", request: command(&controlpb.Command{Kind: &controlpb.Command_SubmitJob{SubmitJob: &controlpb.SubmitJob{
		RequestKey: name,
		Spec: &controlpb.JobSpec{
			Name: name, Team: "insurers", Kind: "audit", Tasks: int32(1 + number%6), Urgent: number%5 == 0,
			Request: &controlpb.Resources{Processors: int64(1000 + 1000*(number%3)), Memory: 2 << 10},
			RunTime: int64(5+number%40) * int64(time.Second), Checkpoints: number%2 == 0,
		},
	}}})})
}

// rejoin restarts a daemon. A learner restarts with a new identity and asks to be added.
func (s *simSystem) rejoin(d *simDaemon) {
	s.restart(d)
	if d.learner {
		s.submit(membership(controlpb.MembershipChange_ADD_LEARNER, d, d.id))
	}
}

// answerTimeout is the time after the end of all failures within which every request of an operator is answered. It allows
// for several retries and an election.
const answerTimeout = 30 * time.Second

// heal ends all failures, waits until every request is answered, and brings every zone back. Without the wait, a request that
// is still being retried could be applied later and take a zone out again.
func (s *simSystem) heal() {
	s.lossRate, s.extraSyncDelay, s.extraMessageDelay = 0, 0, 0
	clear(s.partitionedLinks)
	for _, d := range s.sorted() {
		if d.core == nil {
			s.rejoin(d)
		}
	}
	for _, worker := range s.workers {
		if !worker.up {
			worker.boot()
		}
	}
	s.run(answerTimeout)
	for _, key := range slices.Sorted(maps.Keys(s.operations)) {
		if s.operations[key].answer == nil {
			s.oracle.violation("I10 request %s is not answered %v after the failures", key, answerTimeout)
		}
	}
	for _, zone := range systemInventory().Zones {
		s.setZone(zone, false)
	}
	s.run(4 * time.Minute)
}

// finish ends all failures and checks that a leader exists, all jobs have finished and all executors run, and that the leader's
// view of each task agrees with the workers.
func (s *simSystem) finish() {
	s.heal()
	leader := slices.IndexFunc(s.sorted(), func(d *simDaemon) bool { return d.core.leading && d.core.Fresh(s.now) })
	if leader < 0 {
		s.oracle.violation("no fresh leader after the failures")
		return
	}
	for _, zone := range systemInventory().Zones {
		if s.sorted()[leader].core.View().IsZoneOut(zone) {
			s.oracle.violation("zone %s is out after it was brought back", zone)
		}
	}
	s.sorted()[leader].core.View().Tasks(func(t *controlstate.Task) bool {
		name, batch := t.ID.String(), t.ID.Job != "waiver"
		switch {
		case t.State == controlpb.TaskState_FINISHED && !s.workerOracle.done[name]:
			s.oracle.violation("I11 %s is reported as finished but never finished", name)
		case batch && t.State != controlpb.TaskState_FINISHED:
			s.oracle.violation("I11 %s is %v 4 minutes after the failures", name, t.State)
		case !batch && t.State != controlpb.TaskState_RUNNING:
			s.oracle.violation("executor %s is %v 4 minutes after the failures", name, t.State)
		case !batch && s.workerOracle.running[name] != t.Worker:
			s.oracle.violation("I11 %s is reported on %s but runs on %q", name, t.Worker, s.workerOracle.running[name])
		}
		return true
	})
}

// runSystem runs a session. It returns the violations that the oracles found, followed by the steps, and the number of
// task starts.
func runSystem(seed uint64, steps []uint64, configureWorker func(*simWorker)) (violations string, starts int) {
	s := newSystem(seed, configureWorker)
	for _, number := range steps {
		s.step(number)
	}
	s.finish()
	if len(s.oracle.violations) == 0 {
		return "", s.workerOracle.starts
	}
	return strings.Join(s.oracle.violations[:min(3, len(s.oracle.violations))], "\n") + "\nsteps:\n" + strings.Join(s.log, "\n"), s.workerOracle.starts
}

// TestSystem runs 4 daemons with the real scheduler and 8 workers through random failures. Its oracles observe only the workers
// and the answers: capacity is respected, a task runs in one place, none starts in a zone that was taken out, tasks finish
// once, none are lost, and the configuration never reverts. More sessions: go test -run TestSystem -seeds N.
func TestSystem(t *testing.T) {
	skipInShort(t)
	starts := 0
	correct := func(*simWorker) {}
	properties := gopter.NewProperties(systemParameters(*systemSeeds))
	properties.Property("invariants hold", prop.ForAll(func(steps []uint64) (string, error) {
		violations, n := runSystem(1, steps, correct)
		starts += n
		return violations, nil
	}, gen.SliceOfN(systemSteps, gen.UInt64Range(0, stepKinds*8*80*100))))
	properties.TestingRun(t)
	t.Logf("%d task starts", starts)
	if starts < 20*(*systemSeeds) {
		t.Errorf("%d task starts in %d sessions: too few to show anything", starts, *systemSeeds)
	}
}

// TestSystemRegressions repeats sessions that failed because a request that is still being retried may be applied after later
// ones: two sessions brought zones back before such requests were answered, and one considered a zone out after such a request
// had brought it back.
func TestSystemRegressions(t *testing.T) {
	skipInShort(t)
	for i, steps := range [][]uint64{
		{
			0, 36, 528008, 688597, 813922, 62815, 680160, 777763, 57525, 10362, 134281, 356140, 513376, 570056, 414389, 690420,
			560365, 607206, 607934, 773160, 639648, 441413, 648970, 195436,
		},
		{
			490443, 119252, 563208, 688597, 826841, 62815, 680160, 777763, 57525, 10362, 134281, 356140, 513376, 570056, 414389,
			690420, 560365, 607206, 607934, 773160, 639648, 441413, 648970, 195436,
		},
		{
			1, 0, 487, 166860, 765102, 380648, 717262, 276245, 342851, 480935, 281557, 513839, 699780, 796244, 252840, 93554,
			668189, 383392, 434724, 565414, 321542, 450185, 600575, 669760,
		},
		{
			662111, 60022, 111150, 229661, 765102, 380648, 717262, 276245, 342851, 480935, 281557, 513839, 699780, 796244,
			252840, 93554, 668189, 383392, 434724, 565414, 321542, 450185, 600575, 669760,
		},
	} {
		if violations, _ := runSystem(1, steps, func(*simWorker) {}); violations != "" {
			t.Errorf("case %d: %s", i, violations)
		}
	}
}

// skipInShort skips sessions in short mode, in which the race detector runs: they have a single goroutine, so it finds nothing.
func skipInShort(t *testing.T) {
	if testing.Short() {
		t.Skip("single goroutine in virtual time; nothing for the race detector")
	}
}

func systemParameters(sessions int) *gopter.TestParameters {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = sessions
	parameters.MaxShrinkCount = 60
	return parameters
}

// TestSystemOracle guards against an oracle that can't fail: it must find workers that keep tasks after their lease or that
// start tasks after the start-by limit, and must find nothing with correct workers in the same session.
func TestSystemOracle(t *testing.T) {
	skipInShort(t)
	partitionWorker, zoneOut := uint64(7+stepKinds*1), uint64(2+stepKinds*1)
	job, pause := uint64(4+stepKinds*191), uint64(8+stepKinds*3) // job submits 6 tasks and runs 0.8 s; pause runs 4.8 s without a change
	freeze := func(w *simWorker) { w.nextFreeze = 5 * time.Second }
	for name, c := range map[string]struct {
		correct  func(*simWorker)
		buggy    func(*simWorker)
		steps    []uint64
		expected string
	}{
		"IgnoreLease": {
			func(*simWorker) {}, func(w *simWorker) { w.ignoreLease = true },
			[]uint64{job, partitionWorker, pause, pause, pause, pause, pause, pause},
			"I2",
		},
		"IgnoreStartBy": {freeze, func(w *simWorker) { freeze(w); w.ignoreStartBy = true }, []uint64{job, job, zoneOut, pause, pause}, "I4"},
	} {
		t.Run(name, func(t *testing.T) {
			found := 0
			for seed := range uint64(10) {
				if violations, _ := runSystem(seed, c.steps, c.correct); violations != "" {
					t.Errorf("seed %d, correct workers: %s", seed, violations)
				}
				if violations, _ := runSystem(seed, c.steps, c.buggy); strings.Contains(violations, c.expected+" ") {
					found++
				}
			}
			t.Logf("found in %d of 10 seeds", found)
			if found == 0 {
				t.Errorf("no violation of %s in 10 seeds", c.expected)
			}
		})
	}
}
