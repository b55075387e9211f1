package dispatch

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
)

var reproducibleSeeds = flag.Uint64("reproducible-seeds", 2, "number of seeds of TestFaultsAreReproducible")

// decisionLog records the calls, the proposed changes and the log lines of a simulation's leaders in their order.
type decisionLog struct {
	*simulation
	lines []string
}

// recordDecisions starts recording the decisions of the leader and its successors.
func (sim *simulation) recordDecisions() *decisionLog {
	l := &decisionLog{simulation: sim}
	sim.dispatcher.config.WorkerCalls, sim.dispatcher.config.Log = l, logr.New(l)
	sim.onCommand = func(command *controlpb.Command) {
		for _, change := range command.GetWork().GetChanges() {
			l.add("propose", change)
		}
	}
	return l
}

func (l *decisionLog) add(kind string, values ...any) {
	l.lines = append(l.lines, fmt.Sprintf("%v %s %s", l.now.UnixMilli(), kind, fmt.Sprint(values...)))
}

// Send implements WorkerCalls.
func (l *decisionLog) Send(call *order.Call) {
	step := ""
	if call.Step != nil {
		step = call.Step.Name()
	}
	l.add("call", fmt.Sprintf("%v to %s %d fence %d run %v checkpoint %q ticket %q percent %d step %s workers %v host %s wave %d lease %v ends %d wait %v",
		call.Kind, call.ID, call.Incarnation, call.Fence, call.Run, call.Checkpoint, call.Ticket, call.Percent, step, call.WorkerIDs, call.Host, call.Wave,
		call.LeaseExpiry, call.RecordedEnds, call.Wait))
	l.simulation.Send(call)
}

// Init implements logr.LogSink.
func (l *decisionLog) Init(logr.RuntimeInfo) {}

// Enabled implements logr.LogSink.
func (l *decisionLog) Enabled(int) bool { return true }

// Info implements logr.LogSink.
func (l *decisionLog) Info(_ int, message string, values ...any) {
	l.add("log", append([]any{message + " "}, values...)...)
}

// Error implements logr.LogSink.
func (l *decisionLog) Error(err error, message string, values ...any) {
	l.add("error", append([]any{message + " ", err}, values...)...)
}

// WithValues implements logr.LogSink.
func (l *decisionLog) WithValues(...any) logr.LogSink { return l }

// WithName implements logr.LogSink.
func (l *decisionLog) WithName(string) logr.LogSink { return l }

// expectSame fails the test unless two plays have led to the same decisions.
func (l *decisionLog) expectSame(other *decisionLog) {
	l.t.Helper()
	for i, line := range l.lines {
		if i >= len(other.lines) || line != other.lines[i] {
			l.t.Fatalf("decision %d of %d and %d differs:\n%s\n%s", i, len(l.lines), len(other.lines),
				strings.Join(l.lines[i:min(len(l.lines), i+3)], "\n"), strings.Join(other.lines[min(i, len(other.lines)):min(len(other.lines), i+3)], "\n"))
		}
	}
	if len(other.lines) > len(l.lines) {
		l.t.Fatalf("%d decisions, then %d", len(l.lines), len(other.lines))
	}
	l.t.Logf("%d decisions", len(l.lines))
}

// TestFaultsAreReproducible guards against decisions that depend on the order of a map: the same seed led to other calls, to other outcomes
// and now and then to a failure.
func TestFaultsAreReproducible(t *testing.T) {
	plays := map[string]func(t *testing.T, seed uint64) *decisionLog{
		"restarts":                   func(t *testing.T, seed uint64) *decisionLog { return playSlowCommits(t, seed, false) },
		"late orders":                func(t *testing.T, seed uint64) *decisionLog { return playSlowCommits(t, seed, true) },
		"all faults":                 func(t *testing.T, seed uint64) *decisionLog { return playAllFaults(t, seed, false) },
		"all faults and late orders": func(t *testing.T, seed uint64) *decisionLog { return playAllFaults(t, seed, true) },
	}
	for name, play := range plays {
		for seed := range *reproducibleSeeds {
			t.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(t *testing.T) {
				t.Parallel()
				play(t, seed).expectSame(play(t, seed))
			})
		}
	}
}

// playSlowCommits plays a case of TestFaultsWithSlowCommits.
func playSlowCommits(t *testing.T, seed uint64, lateOrders bool) *decisionLog {
	sim := newSimulationWithWorkers(t, seed, 8)
	l := sim.recordDecisions()
	sim.maxDelay = 12 * time.Second
	if lateOrders {
		sim.delayedRate = 1
	}
	sim.runFaults(sim.injectFaultWithSlowCommits)
	return l
}

// playAllFaults plays a case of TestStartsUnderFaults.
func playAllFaults(t *testing.T, seed uint64, lateOrders bool) *decisionLog {
	s := newStartScenario(t, seed, lateOrders)
	l := s.recordDecisions()
	s.play()
	return l
}

// TestPendingRequestsAreAnsweredInOrder guards against answers in the order of a map when a leader falls.
func TestPendingRequestsAreAnsweredInOrder(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	var requests []*controlpb.LeaderRequest
	for i := range 20 {
		request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: submission("urgent", fmt.Sprintf("job-%d", i), dedicated(1, time.Second))}}
		if reply, wait := sim.dispatcher.Serve(sim.now, request); !wait {
			t.Fatalf("request %d is answered at once: %v", i, reply)
		}
		requests = append(requests, request)
	}
	sim.dispatcher.StopLeading()
	replies := sim.dispatcher.TakeReplies(sim.now)
	if len(replies) != len(requests) {
		t.Fatalf("%d replies to %d requests", len(replies), len(requests))
	}
	for i, reply := range replies {
		if reply.Request != requests[i] {
			t.Errorf("reply %d belongs to another request: %v", i, reply.Request)
		}
	}
}

// TestRoomMakingIsReproducible guards against the same where room is held for lasting tasks, or tasks are moved to make it.
func TestRoomMakingIsReproducible(t *testing.T) {
	for name, play := range map[string]func(t *testing.T) *decisionLog{
		"holds": func(t *testing.T) *decisionLog {
			sim := newFragmentedFleet(t, 250<<10)
			l := sim.recordDecisions()
			flow := finiteFlow{sim: sim, interval: 50 * time.Millisecond, tasks: 10, accepted: map[string]time.Time{}}
			flow.run(time.Second, func() {})
			for _, w := range sim.workers[:3] {
				w.up = false
			}
			flow.run(15*time.Second, func() {})
			return l
		},
		"relocations": func(t *testing.T) *decisionLog {
			sim := newFullHosts(t, 4, 0)
			l := sim.recordDecisions()
			sim.interrupt()
			sim.runUntilRelocation()
			sim.run(10 * time.Second)
			return l
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play(t).expectSame(play(t))
		})
	}
}
