package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

// cancellationOf returns a caller's request to cancel a job.
func cancellationOf(queue, id string) *controlpb.WorkRequest {
	return &controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Caller{Caller: &controlpb.CallerWork{
		Verb: controlpb.CallerVerb_VERB_CANCEL, Host: "h", Path: "/" + queue + "/" + id,
	}}}
}

// TestSubmissionAfterCancellation guards against a job that starts although its cancellation was acknowledged: its submission was delayed on its way until
// its caller had given it up. The cancellation may be on its way through the log, or an earlier leader's.
func TestSubmissionAfterCancellation(t *testing.T) {
	for _, test := range []struct {
		name        string
		delay       time.Duration
		changesLead bool
	}{{"at once", 0, false}, {"a second later", time.Second, false}, {"two minutes later", 2 * time.Minute, false}, {"under another leader", time.Second, true}} {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulationWithWorkers(t, 1, 4)
			if test.delay == 0 {
				sim.request(cancellationOf("urgent", "a"))
			} else if got := sim.serve(cancellationOf("urgent", "a")).GetWork().GetOutcome(); got != controlpb.WorkOutcome_WORK_NOT_FOUND {
				t.Fatalf("cancelling an unknown job: %v", got)
			}
			sim.expect("a", controlpb.WorkState_WORK_UNKNOWN)
			if test.changesLead {
				sim.changeLeader()
			}
			sim.run(test.delay)
			sim.submit("urgent", "a", dedicated(4, time.Second))
			sim.run(3 * time.Second)
			sim.expect("a", controlpb.WorkState_WORK_CANCELLED)
			if starts := sim.starts["a.0.0.0"]; starts > 0 {
				t.Errorf("a task of the cancelled job has started %d times", starts)
			}
			sim.submit("urgent", "b", dedicated(4, time.Second))
			sim.run(3 * time.Second)
			sim.expect("b", controlpb.WorkState_WORK_COMPLETED)
		})
	}
}

// TestCancellationsOfUnknownJobsAreBounded guards against memory that grows with each cancellation of a job that never comes.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	for i := range 6000 {
		sim.request(cancellationOf("urgent", fmt.Sprintf("unknown-%d", i)))
		if i%100 == 0 {
			sim.run(20 * time.Millisecond)
		}
	}
	sim.run(time.Second)
	if count := len(sim.state.Snapshot().GetWithdrawn()); count > 4096 || !sim.state.IsWithdrawn(&controlpb.WorkJob{Id: "unknown-5999"}) || sim.state.IsWithdrawn(&controlpb.WorkJob{Id: "unknown-0"}) {
		t.Errorf("%d cancellations are remembered", count)
	}
	sim.run(3 * time.Minute)
	sim.serve(cancellationOf("urgent", "last"))
	if count := len(sim.state.Snapshot().GetWithdrawn()); count != 1 {
		t.Errorf("%d cancellations are remembered after three minutes, expected 1", count)
	}
}

// TestInvalidIDs guards against jobs whose tasks can't be named: an ID with a dot was accepted, and the polls of its workers couldn't be decoded.
func TestInvalidIDs(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	for _, id := range []string{"a.b", "a/b", "a b", strings.Repeat("x", 4096)} {
		if got := sim.submit("urgent", id, dedicated(1, time.Second)); got != controlpb.WorkOutcome_WORK_INVALID {
			t.Errorf("a submission of %q: %v", id, got)
		}
		if got := sim.serve(cancellationOf("urgent", id)).GetWork().GetOutcome(); got != controlpb.WorkOutcome_WORK_NOT_FOUND {
			t.Errorf("a cancellation of %q: %v", id, got)
		}
	}
	if len(sim.state.Jobs()) > 0 || len(sim.state.Snapshot().GetWithdrawn()) > 0 {
		t.Error("something was committed")
	}
}
