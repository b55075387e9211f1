package coordinator_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"galenamoor/internal/controlpb"
)

var (
	seedCount = flag.Int("seeds", 40, "number of seeds for stateful fuzzing")
	firstSeed = flag.Int64("first-seed", 1, "first seed for stateful fuzzing")
)

// fuzzSteps is the number of steps in one run.
const fuzzSteps = 60

// step is one action of stateful fuzzing. The numbers a and b, from 0 to 999, select the object and the duration.
type step struct {
	kind string
	a, b int
}

var stepKinds = []string{
	"wait", "wait", "wait", "wait", "wait", "wait", "crash worker", "partition worker", "slow worker", "slow zone", "elect", "elect", "restore", "restore", "zone out", "zone in",
	"race", "race zones", "submit", "submit", "cancel", "call", "call", "late call", "silence endpoint", "restart endpoint",
	"crash gateway", "wait seconds", "wait seconds", "wait seconds", "wait 15m",
}

// Run executes the step and advances the time a little. It returns the violations found by the oracle so far.
func (s step) Run(sut commands.SystemUnderTest) commands.Result {
	sim := sut.(*simulation)
	s.act(sim)
	sim.advance(time.Duration(50+s.b*3) * time.Millisecond)
	return sim.oracle.violations
}

func (s step) act(sim *simulation) {
	worker := sim.workers[s.a%len(sim.workers)]
	zone := zoneNames[s.a%len(zoneNames)]
	switch s.kind {
	case "wait":
		sim.advance(time.Duration(s.a*5) * time.Millisecond)
	case "crash worker":
		worker.stop()
		sim.after(time.Duration(s.b*40)*time.Millisecond, worker.restart)
	case "partition worker":
		worker.partitioned = true
		sim.after(time.Duration(s.b*50)*time.Millisecond, func() { worker.partitioned = false })
	case "slow worker":
		worker.delayedUntil = sim.now.Add(time.Duration(s.b*10) * time.Millisecond)
	case "slow zone": // takes a zone out of service while tasks start there and messages to its workers are delayed
		for _, w := range sim.workers {
			if w.zone == zone {
				w.delayedUntil = sim.now.Add(20 * time.Second)
			}
		}
		sim.issue(sim.submit(6))
		sim.after(time.Duration(4000+s.b*8)*time.Millisecond, func() { sim.issue(sim.zoneCommand(zone, true, 0)) })
	case "elect":
		if sim.leader != nil {
			sim.depose()
			sim.after(time.Duration(400+s.b)*time.Millisecond, func() { sim.elect(sim.replicas[s.a%replicaCount]) })
		}
	case "restore":
		for _, r := range sim.replicas {
			if r.id == s.a%replicaCount || sim.faults.affectSnapshots() { // a fault on all replicas is not seen by comparing them
				r.restore()
			}
		}
	case "zone out", "zone in":
		sim.issue(sim.zoneCommand(zone, s.kind == "zone out", 0))
	case "race":
		if sim.leader != nil {
			base := sim.leader.state.Version()
			sim.issue(sim.configure(base, inventoryText(s.a)))
			sim.issue(sim.configure(base, inventoryText(s.b)))
		}
	case "race zones":
		if sim.leader != nil {
			base := sim.leader.state.Version()
			sim.issue(sim.zoneCommand(zone, true, base))
			sim.issue(sim.zoneCommand(zone, false, base))
		}
	case "submit":
		sim.issue(sim.submit(int32(1 + s.b%5)))
	case "cancel":
		sim.issue(&controlpb.Command{Kind: &controlpb.Command_CancelJobs{CancelJobs: &controlpb.CancelJobs{
			RequestKey: sim.key(), Names: []string{fmt.Sprintf("job%d", s.a%(sim.keys+1))},
		}}})
	case "call":
		key := sim.key()
		sim.calls = append(sim.calls, key)
		sim.attemptCall(key, "g0", 1)
		sim.attemptCall(key, fmt.Sprintf("g%d", s.a%2), uint64(1+s.b%2))
	case "late call":
		if len(sim.calls) > 0 {
			sim.attemptCall(sim.calls[s.a%len(sim.calls)], "g1", 1)
		}
	case "silence endpoint":
		sim.endpoints[s.a%2].renewalsPausedUntil = sim.now.Add(time.Duration(s.b*15) * time.Millisecond)
	case "restart endpoint":
		e := sim.endpoints[s.a%2]
		e.incarnation++
		e.orphanedCalls = 0
	case "crash gateway":
		sim.gateways[s.a%2].crash()
	case "wait seconds":
		sim.advance(time.Duration(s.b/16) * time.Second)
	case "wait 15m":
		if s.b < 200 { // long enough for keys to expire; limited because it dominates the run time of the test
			sim.idle = true
			sim.advance(15 * time.Minute)
			sim.idle = false
		}
	case "quiesce":
		sim.quiesce()
	}
}

// issue records an operator's command with the oracle and sends it.
func (s *simulation) issue(c *controlpb.Command) {
	s.oracle.issued(c)
	s.sendUntilAnswered(c, nil)
}

// NextState counts the steps, so that the last one is always the final check.
func (s step) NextState(state commands.State) commands.State { return state.(int) + 1 }

func (s step) PreCondition(commands.State) bool { return true }
func (s step) String() string                   { return fmt.Sprintf("%s(%d,%d)", s.kind, s.a, s.b) }

func (s step) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	if violations := result.([]string); len(violations) > 0 {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: violations[:1]}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

// quiesce ends the fault injection, waits until the simulation is quiescent, and compares the records with what runs.
func (s *simulation) quiesce() {
	s.faultFree = true
	for _, w := range s.workers {
		w.partitioned, w.delayedUntil = false, time.Time{}
	}
	s.advance(30 * time.Second)
	if s.leader == nil {
		s.elect(s.replicas[0])
	}
	for _, zone := range zoneNames {
		s.issue(s.zoneCommand(zone, false, 0))
	}
	s.idle = true
	s.advance(2 * time.Minute)
	s.oracle.checkQuiescent()
	for _, r := range s.replicas {
		r.catchUp()
		if !s.faults.affectSnapshots() && string(r.state.Snapshot()) != string(s.leader.state.Snapshot()) {
			s.oracle.violated("I11", "replicas %d and %d differ", r.id, s.leader.id)
		}
	}
}

// fuzz runs one seed. It returns the shrunk steps of a failure, or "" if there is none.
func fuzz(seed int64, injected faults, shrinks int) string {
	steps := gopter.CombineGens(gen.IntRange(0, len(stepKinds)-1), gen.IntRange(0, 999), gen.IntRange(0, 999)).
		Map(func(v []any) commands.Command { return step{stepKinds[v[0].(int)], v[1].(int), v[2].(int)} })
	final := gen.Const(0).Map(func(int) commands.Command { return step{kind: "quiesce"} })
	var last []string
	runs := &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newSimulation(seed, injected) },
		DestroySystemUnderTestFunc: func(sut commands.SystemUnderTest) {
			last = sut.(*simulation).oracle.violations
		},
		InitialStateGen: gen.Const(0),
		GenCommandFunc: func(state commands.State) gopter.Gen {
			if state.(int) == fuzzSteps-1 {
				return final
			}
			return steps
		},
	}
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests, parameters.MinSize, parameters.MaxSize, parameters.MaxShrinkCount = 1, fuzzSteps, fuzzSteps, shrinks
	result := commands.Prop(runs).Check(parameters)
	if result.Passed() {
		return ""
	}
	b := &strings.Builder{}
	fmt.Fprintf(b, "seed %d: %v\nsteps: ", seed, result.Labels)
	for _, arg := range result.Args {
		fmt.Fprintf(b, "%v", arg)
	}
	if result.Error != nil {
		fmt.Fprintf(b, "\n%v\n%s", result.Error, result.ErrorStack)
	}
	for _, violation := range last {
		fmt.Fprintf(b, "\nlast run: %s", violation)
	}
	return b.String()
}

// TestFuzz checks the invariants I1, I2, I3, I4, I7, I10 and I11 under lost workers, leader changes, restored snapshots,
// delayed, duplicated and lost messages, zones that go out of service and return, and concurrent operators.
func TestFuzz(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+int64(*seedCount); seed++ {
		if failure := fuzz(seed, faults{}, 300); failure != "" {
			t.Errorf("%s", failure)
		}
	}
}

// TestFuzzIsDeterministic checks that a seed reproduces a run. Iterating over a map, for example, would break this.
func TestFuzzIsDeterministic(t *testing.T) {
	run := func(seed int64) []string {
		sim := newSimulation(seed, faults{})
		for n := range 40 {
			step{stepKinds[n*7%len(stepKinds)], n * 31 % 1000, n * 57 % 1000}.Run(sim)
		}
		sim.quiesce()
		var log []string
		for _, entry := range sim.log {
			log = append(log, string(entry))
		}
		return log
	}
	for seed := int64(1); seed <= 5; seed++ {
		if first, second := run(seed), run(seed); !slices.Equal(first, second) {
			t.Errorf("seed %d: two runs differ: %d and %d commands", seed, len(first), len(second))
		}
	}
}
