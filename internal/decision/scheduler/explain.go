package scheduler

import (
	"encoding/json"
	"fmt"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/backlog"
	"galenamoor/internal/decision/placement"
	"galenamoor/internal/decision/quota"
	"galenamoor/pkg/resource"
)

// Explanation is the reason why a task runs on its worker, or why it waits.
type Explanation struct {
	Task    string
	State   string
	Worker  string       `json:",omitempty"`
	Verdict Verdict      `json:",omitempty"`
	Reason  string       // one sentence for the operator
	Zones   []ZoneReason `json:",omitempty"` // waiting tasks only: the first constraint that excludes each zone
}

// ZoneReason is the first constraint that excludes a zone for a task.
type ZoneReason struct {
	Zone       string
	Constraint placement.Constraint
	Detail     string `json:",omitempty"`
}

// Explain returns the Explanation of a task, encoded as JSON.
func (s *Scheduler) Explain(name string) string {
	text, err := json.Marshal(s.Explanation(name))
	if err != nil {
		return fmt.Sprintf("%q", err.Error()) // unreachable: the type holds only strings
	}
	return string(text)
}

// Explanation returns the reason why a task runs on its worker, or why it waits. An unknown task has the state "UNKNOWN".
func (s *Scheduler) Explanation(name string) Explanation {
	t, ok := s.tasks[name]
	if !ok {
		return Explanation{Task: name, State: "UNKNOWN", Reason: "The scheduler has no such task."}
	}
	s.updateVerdicts()
	e := Explanation{Task: name, State: t.state.String(), Verdict: t.job.verdict}
	switch {
	case t.worker != nil:
		e.Worker = t.worker.name
		e.Reason = "Placed because: " + t.why + "."
		if t.pendingStart {
			e.Reason = "The start is proposed."
		}
	case t.state != controlpb.TaskState_WAITING:
		e.Reason = "The task has ended."
	case t.job.verdict == NeverFits:
		e.Reason = fmt.Sprintf("No worker in the permitted zones could ever hold %v.", t.job.request)
	case t.job.verdict == FailsEverywhere:
		e.Reason = fmt.Sprintf("It failed on different workers: %v.", s.health.FailedOn(t.job.name))
	case t.holding:
		e.Reason = fmt.Sprintf("Room on worker %s is held for it until enough is free.", t.claim.name)
	case t.claim != nil:
		e.Reason = fmt.Sprintf("Other tasks are being stopped for it on worker %s.", t.claim.name)
	case s.ledger.Admit(t.job.team, s.sizes.charge(t.job)) == quota.Refused && !t.job.service:
		used, limit := s.ledger.Use(t.job.team)
		e.Reason = fmt.Sprintf("Team %s uses %v of its quota of %v and nothing is left to borrow.", t.job.team, used, limit)
	default:
		e.Reason = s.waitReason(t)
		e.Zones = s.zoneReasons(t)
	}
	return e
}

// waitReason explains why an eligible task waits.
func (s *Scheduler) waitReason(t *task) string {
	for _, miss := range s.PredictedMisses(s.now) {
		if miss.Job == t.job.name {
			return fmt.Sprintf("It waits for a worker and will probably miss its deadline by %v: %s.", miss.Lateness.Round(time.Second), miss.Reason)
		}
	}
	return "It waits for a worker."
}

// zoneReasons returns, for each zone where a waiting task cannot start, the first constraint that excludes it.
func (s *Scheduler) zoneReasons(t *task) []ZoneReason {
	size := s.sizes.planned(t.job, s.sizes.charge(t.job))
	var reasons []ZoneReason
	for _, c := range s.planner.Explain(&placement.Request{Size: size, Zones: t.job.zones, Avoid: t.avoid, Reserve: s.mayUseReserve(t)}) {
		reason := ZoneReason{Zone: c.Zone, Constraint: c.Constraint}
		switch c.Constraint {
		case placement.Processors, placement.Memory, placement.Accelerators:
			reason.Detail = fmt.Sprintf("needs %v; largest free amounts are %v", size, c.Largest)
		}
		reasons = append(reasons, reason)
	}
	return reasons
}

// Verdict returns the verdict on a job; an unknown job is Eligible.
func (s *Scheduler) Verdict(jobName string) Verdict {
	s.updateVerdicts()
	if j := s.jobs[jobName]; j != nil {
		return j.verdict
	}
	return Eligible
}

// PredictedMisses returns the waiting batch jobs that are predicted to miss their deadlines, with the reason for each.
func (s *Scheduler) PredictedMisses(now time.Time) []backlog.Miss {
	var total resource.Vector
	for _, w := range s.byID {
		if !w.blocked && !s.zonesOut[w.zone] {
			total = total.Add(s.planner.Capacity(w.id))
		}
	}
	return s.batch.Predict(now, total.Processors)
}
