// Package explain explains to operators, in plain sentences, why a task, job, call, worker or zone is in its state. It
// reads this daemon's view of the control state, and queries the leader only for the scheduler's reasons and the records
// of calls.
package explain

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
)

// maxListedTasks limits the number of tasks that an explanation of a worker lists.
const maxListedTasks = 20

// LeaderClient sends requests to the leader, which answers the queries that need its scheduler or its records of calls.
type LeaderClient interface {
	Submit(ctx context.Context, request *controlpb.LeaderRequest) *controlpb.LeaderReply
}

// Explanation explains the state of a task, job, call, worker or zone.
type Explanation struct {
	State string
	Lines []string // most important first
}

// Explainer creates explanations.
type Explainer struct {
	leader LeaderClient
}

// New returns an Explainer that queries the given leader.
func New(leader LeaderClient) *Explainer {
	return &Explainer{leader: leader}
}

// Explain explains the named task, job, call, worker or zone in a view of the control state. The error is NotFound if it
// doesn't exist, BadParameter if the kind is unknown, and ConnectionProblem if the leader can't be queried for a call.
func (e *Explainer) Explain(ctx context.Context, view *controlstate.View, kind, name string) (*Explanation, error) {
	switch kind {
	case "task":
		return e.task(ctx, view, name)
	case "job":
		return e.job(ctx, view, name)
	case "worker":
		return e.worker(view, name)
	case "zone":
		return e.zone(view, name)
	case "call":
		return e.call(ctx, name)
	}
	return nil, trace.BadParameter("%s: expected task, job, call, worker or zone", kind)
}

func (e *Explainer) task(ctx context.Context, view *controlstate.View, name string) (*Explanation, error) {
	id, err := controlstate.ParseTaskID(name)
	if err != nil {
		return nil, err
	}
	task := view.Task(id)
	if task == nil {
		return nil, trace.NotFound("task %s does not exist", name)
	}
	result := &Explanation{State: capitalize(task.State.String())}
	result.Lines = append(result.Lines, placementLine(task), stopLine(task))
	result.Lines = append(result.Lines, e.schedulerLines(ctx, task)...)
	result.Lines = append(result.Lines, historyLine(task))
	result.Lines = removeEmpty(result.Lines)
	return result, nil
}

func placementLine(task *controlstate.Task) string {
	if !task.Placed() {
		return ""
	}
	line := fmt.Sprintf("assigned to worker %s with fence %d, charged %v, since %s", task.Worker, task.Fence, task.Charge, formatTime(task.Since))
	if task.Throttle < 100 {
		line += fmt.Sprintf(", throttled to %d%% of its processors", task.Throttle)
	}
	return line
}

var stopReasons = map[controlpb.StopReason]string{
	controlpb.StopReason_EVICT_PREEMPTED:    "evicted for more urgent work",
	controlpb.StopReason_EVICT_INTERFERENCE: "evicted because it slowed a service down",
	controlpb.StopReason_EVICT_ZONE_OUT:     "evicted because its zone was taken out of service",
	controlpb.StopReason_EVICT_WORKER_LOST:  "evicted because its worker's lease ran out",
	controlpb.StopReason_EVICT_QUOTA:        "evicted because the owner of a borrowed share needed it",
	controlpb.StopReason_STOP_CANCELLED:     "stopped because the job was cancelled",
}

func stopLine(task *controlstate.Task) string {
	reason := stopReasons[task.Reason]
	if reason == "" {
		return ""
	}
	if task.State == controlpb.TaskState_STOPPING {
		return reason + "; waits for the worker to confirm the stop"
	}
	return reason
}

func historyLine(task *controlstate.Task) string {
	if task.Evictions == 0 && task.Failures == 0 && task.Checkpoint == 0 {
		return ""
	}
	return fmt.Sprintf("evicted %d times, failed %d times, last checkpoint %d", task.Evictions, task.Failures, task.Checkpoint)
}

// schedulerExplanation is the part of the scheduler's JSON explanation of a task that is shown to operators.
type schedulerExplanation struct {
	Reason string
	Zones  []struct{ Zone, Constraint, Detail string }
}

// schedulerLines returns the scheduler's explanation of a task. If the leader can't be queried, it returns the error as
// a line, because the rest of the explanation is still valid.
func (e *Explainer) schedulerLines(ctx context.Context, task *controlstate.Task) []string {
	answer, err := queryLeader[schedulerExplanation](ctx, e.leader, task.ID.String())
	if err != nil {
		return []string{trace.UserMessage(err)}
	}
	lines := []string{answer.Reason}
	for _, zone := range answer.Zones {
		lines = append(lines, strings.TrimSpace(fmt.Sprintf("zone %s: %s %s", zone.Zone, zone.Constraint, zone.Detail)))
	}
	return lines
}

func (e *Explainer) job(ctx context.Context, view *controlstate.View, name string) (*Explanation, error) {
	job := view.Job(name)
	if job == nil {
		return nil, trace.NotFound("job %s does not exist", name)
	}
	summary := Summarize(view, job)
	result := &Explanation{State: summary.State}
	result.Lines = append(result.Lines, fmt.Sprintf("team %s, %d tasks of %v", job.Spec.GetTeam(), job.Spec.GetTasks(), job.Spec.GetRequest().Vector()))
	if deadline := job.Spec.GetDeadline(); deadline > 0 {
		result.Lines = append(result.Lines, "to be finished by "+formatTime(deadline))
	}
	var waiting *controlstate.Task
	view.TasksOf(name, func(task *controlstate.Task) bool {
		if task.State == controlpb.TaskState_WAITING {
			waiting = task
		}
		return waiting == nil
	})
	if waiting != nil {
		result.Lines = append(result.Lines, fmt.Sprintf("%d tasks wait; the first is %s:", summary.Count[controlpb.TaskState_WAITING], waiting.ID))
		result.Lines = append(result.Lines, e.schedulerLines(ctx, waiting)...)
	}
	return result, nil
}

func (e *Explainer) worker(view *controlstate.View, name string) (*Explanation, error) {
	worker := view.Worker(name)
	if worker == nil {
		return nil, trace.NotFound("worker %s is not registered", name)
	}
	result := &Explanation{State: "Registered"}
	if worker.Lost {
		result.State = "Lost"
		result.Lines = append(result.Lines, "its lease ran out; its tasks resume elsewhere")
	}
	if !worker.Listed {
		result.Lines = append(result.Lines, "the inventory doesn't list it; nothing starts there")
	}
	if view.IsZoneOut(worker.Zone) {
		result.Lines = append(result.Lines, fmt.Sprintf("zone %s is out of service; nothing starts there", worker.Zone))
	}
	result.Lines = append(result.Lines, fmt.Sprintf("zone %s, rack %s, %d tasks use %v of %v", worker.Zone, worker.Rack, worker.Tasks, worker.Used, worker.Limit))
	listedTasks := 0
	view.Tasks(func(task *controlstate.Task) bool {
		if task.Worker == name {
			result.Lines = append(result.Lines, fmt.Sprintf("%s: %s", task.ID, capitalize(task.State.String())))
			listedTasks++
		}
		return listedTasks < maxListedTasks
	})
	return result, nil
}

func (e *Explainer) zone(view *controlstate.View, name string) (*Explanation, error) {
	if view.Inventory == nil || !view.Inventory.HasZone(name) {
		return nil, trace.NotFound("the inventory has no zone %s", name)
	}
	result := &Explanation{State: "In service"}
	if view.IsZoneOut(name) {
		result.State = "Out of service"
	}
	zone := CountByZone(view)[name]
	result.Lines = append(result.Lines, fmt.Sprintf("%d workers registered, %d tasks placed, %d endpoints", zone.Workers, zone.Tasks, zone.Endpoints))
	return result, nil
}

func removeEmpty(lines []string) []string {
	var nonEmpty []string
	for _, line := range lines {
		if line != "" {
			nonEmpty = append(nonEmpty, line)
		}
	}
	return nonEmpty
}

func capitalize(state string) string {
	return state[:1] + strings.ToLower(state[1:])
}

func formatTime(unixNano int64) string {
	return time.Unix(0, unixNano).UTC().Format(time.RFC3339)
}
