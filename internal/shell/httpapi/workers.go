package httpapi

import (
	"context"
	"fmt"

	"galenamoor/api/gen/workers"
	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/coordinator"
)

type workerService struct {
	control Control
}

var reportKinds = map[string]controlpb.ReportKind{
	"Running":  controlpb.ReportKind_REPORT_RUNNING,
	"Finished": controlpb.ReportKind_REPORT_FINISHED,
	"Failed":   controlpb.ReportKind_REPORT_FAILED,
	"Stopped":  controlpb.ReportKind_REPORT_STOPPED,
}

var orderKinds = map[controlpb.WorkerOrder_Kind]string{
	controlpb.WorkerOrder_START:    "Start",
	controlpb.WorkerOrder_STOP:     "Stop",
	controlpb.WorkerOrder_THROTTLE: "Throttle",
}

// Register implements workers.Service.
func (s *workerService) Register(ctx context.Context, p *workers.RegisterPayload) (*workers.RegisterResult, error) {
	command := &controlpb.Command{Kind: &controlpb.Command_RegisterWorker{RegisterWorker: &controlpb.RegisterWorker{
		Worker:      p.Worker,
		Incarnation: p.Incarnation,
		Capacity:    resources(p.Capacity),
	}}}
	if _, err := proposeCommand(ctx, s.control, command, workerProblem); err != nil {
		return nil, err
	}
	return &workers.RegisterResult{Lease: int64(coordinator.WorkerLease)}, nil
}

// Renew implements workers.Service.
func (s *workerService) Renew(ctx context.Context, p *workers.RenewPayload) (*workers.RenewResult, error) {
	renewal := &controlpb.WorkerRenewal{Worker: p.Worker, Incarnation: p.Incarnation}
	for _, report := range p.Reports {
		renewal.Reports = append(renewal.Reports, &controlpb.TaskReport{
			Task:       report.Task,
			Fence:      report.Fence,
			Kind:       reportKinds[report.Kind],
			Checkpoint: report.Checkpoint,
			Message:    report.Message,
		})
	}
	for _, usage := range p.Usage {
		renewal.Usage = append(renewal.Usage, &controlpb.Usage{
			Task:     usage.Task,
			Fence:    usage.Fence,
			Used:     resources(usage.Used),
			Latency:  usage.Latency,
			Age:      usage.Age,
			Progress: usage.Progress,
		})
	}
	request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Renewal{Renewal: renewal}}
	if _, err := requestLeader(ctx, s.control, request, workerProblem); err != nil {
		return nil, err
	}
	return &workers.RenewResult{Lease: int64(coordinator.WorkerLease)}, nil
}

// Poll implements workers.Service.
func (s *workerService) Poll(ctx context.Context, p *workers.PollPayload) (*workers.PollResult, error) {
	if p.Wait > int64(coordinator.MaxPollWait) {
		return nil, workerProblem("Invalid", fmt.Sprintf("Wait: %d: expected 0 to %d nanoseconds", p.Wait, int64(coordinator.MaxPollWait)), nil)
	}
	poll := &controlpb.Poll{Worker: p.Worker, Incarnation: p.Incarnation, Seen: p.Seen, Wait: p.Wait}
	request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Poll{Poll: poll}}
	reply, err := requestLeader(ctx, s.control, request, workerProblem)
	if err != nil {
		return nil, err
	}
	if reply.GetPoll().GetUnknown() {
		return nil, workerProblem("NotFound", "worker or incarnation is not registered: stop all tasks and register", nil)
	}
	result := &workers.PollResult{Number: reply.GetPoll().GetNumber(), Orders: []*workers.Order{}}
	for _, order := range reply.GetPoll().GetOrders() {
		result.Orders = append(result.Orders, workerOrder(order))
	}
	return result, nil
}

// Claim implements workers.Service.
func (s *workerService) Claim(ctx context.Context, p *workers.ClaimPayload) (*workers.ClaimResult, error) {
	claim := &controlpb.Claim{Worker: p.Worker, Incarnation: p.Incarnation}
	for _, task := range p.Tasks {
		claim.Tasks = append(claim.Tasks, &controlpb.TaskFence{Task: task.Task, Fence: task.Fence})
	}
	request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Claim{Claim: claim}}
	reply, err := requestLeader(ctx, s.control, request, workerProblem)
	if err != nil {
		return nil, err
	}
	result := &workers.ClaimResult{Granted: []*workers.TaskFence{}, StartBy: reply.GetClaim().GetStartBy()}
	for _, task := range reply.GetClaim().GetGranted() {
		result.Granted = append(result.Granted, &workers.TaskFence{Task: task.GetTask(), Fence: task.GetFence()})
	}
	return result, nil
}

func workerOrder(order *controlpb.WorkerOrder) *workers.Order {
	result := &workers.Order{Kind: orderKinds[order.GetKind()], Task: order.GetTask(), Fence: order.GetFence()}
	if order.GetKind() == controlpb.WorkerOrder_THROTTLE {
		result.Throttle = &order.Throttle
	}
	spec := order.GetSpec()
	if spec == nil {
		return result
	}
	class := "Batch"
	if spec.GetClass() == controlpb.Class_LATENCY_CRITICAL {
		class = "LatencyCritical"
	}
	request := spec.GetRequest()
	result.Class = &class
	result.TaskKind = &spec.Kind
	result.Service = &spec.Service
	result.Request = &workers.Resources{Processors: request.GetProcessors(), Memory: request.GetMemory(), Accelerators: request.GetAccelerators()}
	result.RunTime = &spec.RunTime
	result.Checkpoints = &spec.Checkpoints
	result.Checkpoint = &order.Checkpoint
	return result
}

func resources(r *workers.Resources) *controlpb.Resources {
	return &controlpb.Resources{Processors: r.Processors, Memory: r.Memory, Accelerators: r.Accelerators}
}
