package daemon

import (
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/decision/coordinator"
	"galenamoor/internal/decision/scheduler"
	"galenamoor/internal/decision/slotshare"
	"galenamoor/internal/shell/explain"
)

// leaderState holds the state that queries to the leader read. Only the control goroutine may access it.
type leaderState struct {
	state     *controlstate.State
	clock     clockwork.Clock
	scheduler *scheduler.Scheduler // of the current term as leader; nil until this daemon first leads
}

func newCoordinator(state *controlstate.State, clock clockwork.Clock, leaseValid func(time.Time) bool) *coordinator.Coordinator {
	leader := &leaderState{state: state, clock: clock}
	return coordinator.New(coordinator.Config{
		State: state,
		NewScheduler: func() coordinator.Scheduler {
			leader.scheduler = scheduler.New(scheduler.Default())
			return leader.scheduler
		},
		NewAllocator: func() coordinator.Allocator { return slotshare.New() },
		Explain:      leader.answerQuery,
		LeaseValid:   leaseValid,
	})
}

// answerQuery returns the reply to an "explain" query, a value that is encoded as JSON.
func (l *leaderState) answerQuery(query string) any {
	if key, ok := strings.CutPrefix(query, explain.CallQueryPrefix); ok {
		return l.callRecord(key)
	}
	if query == explain.LateJobsQuery {
		return l.lateJobs()
	}
	return l.scheduler.Explanation(query)
}

func (l *leaderState) callRecord(key string) *explain.Call {
	record := l.state.Intent(key)
	if record == nil {
		return &explain.Call{}
	}
	return &explain.Call{
		Known:    true,
		Service:  record.GetService(),
		Gateway:  record.GetGateway(),
		Recorded: time.Unix(0, record.GetTime()).UTC(),
		Outcome:  outcomeNames[record.GetOutcome()],
	}
}

var outcomeNames = map[controlpb.Outcome]string{
	controlpb.Outcome_OUTCOME_PENDING:  "Pending",
	controlpb.Outcome_OUTCOME_ANSWERED: "Answered",
	controlpb.Outcome_OUTCOME_NOT_RUN:  "Not run",
	controlpb.Outcome_OUTCOME_UNKNOWN:  "Unknown",
}

// lateJobs returns the names of the jobs that are predicted to miss their deadlines.
func (l *leaderState) lateJobs() []string {
	names := []string{}
	for _, miss := range l.scheduler.PredictedMisses(l.clock.Now()) {
		names = append(names, miss.Job)
	}
	return names
}
