package httpapi

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"galenamoor/api/gen/operators"
	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/inifile"
	"galenamoor/internal/shell/explain"
)

// maxJobTime bounds the run time and the deadline of a submitted job.
const maxJobTime = 30 * 24 * time.Hour

type operatorService struct {
	control  Control
	reporter Reporter
	clock    clockwork.Clock
}

// Apply implements operators.Service.
func (s *operatorService) Apply(ctx context.Context, p *operators.ApplyPayload) (*operators.Accepted, error) {
	return s.change(ctx, &controlpb.Command{Kind: &controlpb.Command_ApplyConfiguration{ApplyConfiguration: &controlpb.ApplyConfiguration{
		RequestKey:  p.RequestKey,
		BaseVersion: p.BaseVersion,
		Inventory:   p.Inventory,
		Rules:       p.Rules,
		Operator:    p.Operator,
	}}})
}

// Zone implements operators.Service.
func (s *operatorService) Zone(ctx context.Context, p *operators.ZonePayload) (*operators.Accepted, error) {
	return s.change(ctx, &controlpb.Command{Kind: &controlpb.Command_SetZone{SetZone: &controlpb.SetZone{
		RequestKey:  p.RequestKey,
		BaseVersion: p.BaseVersion,
		Zone:        p.Zone,
		Out:         p.Out,
		Operator:    p.Operator,
	}}})
}

// Submit implements operators.Service.
func (s *operatorService) Submit(ctx context.Context, p *operators.SubmitPayload) (*operators.Accepted, error) {
	spec, err := jobSpec(p.Job, s.clock.Now())
	if err != nil {
		return nil, err
	}
	return s.change(ctx, &controlpb.Command{Kind: &controlpb.Command_SubmitJob{SubmitJob: &controlpb.SubmitJob{
		RequestKey: p.RequestKey,
		Spec:       spec,
	}}})
}

// Cancel implements operators.Service.
func (s *operatorService) Cancel(ctx context.Context, p *operators.CancelPayload) (*operators.Accepted, error) {
	return s.change(ctx, &controlpb.Command{Kind: &controlpb.Command_CancelJobs{CancelJobs: &controlpb.CancelJobs{
		RequestKey: p.RequestKey,
		Names:      p.Names,
	}}})
}

func (s *operatorService) change(ctx context.Context, command *controlpb.Command) (*operators.Accepted, error) {
	result, err := proposeCommand(ctx, s.control, command, operatorProblem)
	if err != nil {
		return nil, err
	}
	return &operators.Accepted{Version: result.GetVersion()}, nil
}

// Configuration implements operators.Service.
func (s *operatorService) Configuration(context.Context) (*operators.ActiveConfiguration, error) {
	view := s.control.View()
	if view.Version == 0 {
		return nil, operatorProblem("NotFound", "no configuration has been applied", nil)
	}
	return &operators.ActiveConfiguration{
		Version:   view.Version,
		Inventory: view.Inventory.Text(),
		Rules:     view.Rules.Text(),
		ZonesOut:  append([]string{}, view.ZonesOut...),
	}, nil
}

// Status implements operators.Service.
func (s *operatorService) Status(context.Context) (*operators.DaemonStatus, error) {
	daemonStatus := s.control.Status()
	view := s.control.View()
	status := &operators.DaemonStatus{
		Host:    daemonStatus.Host,
		Ready:   daemonStatus.Ready,
		Version: view.Version,
		Index:   daemonStatus.Index,
		Term:    daemonStatus.Term,
		Leader:  daemonStatus.Leader,
		Age:     daemonStatus.Age.Round(time.Millisecond).String(),
		Zones:   []*operators.ZoneStatus{},
	}
	if daemonStatus.Reason != "" {
		status.Reason = &daemonStatus.Reason
	}
	if view.Inventory == nil {
		return status, nil
	}
	counts := explain.CountByZone(view)
	for _, name := range view.Inventory.Zones {
		zone := counts[name]
		status.Zones = append(status.Zones, &operators.ZoneStatus{
			Name: name, Out: view.IsZoneOut(name), Workers: zone.Workers, Tasks: zone.Tasks, Endpoints: zone.Endpoints,
		})
	}
	return status, nil
}

// Jobs implements operators.Service.
func (s *operatorService) Jobs(context.Context) ([]*operators.JobStatus, error) {
	view := s.control.View()
	jobs := []*operators.JobStatus{}
	view.Jobs(func(job *controlstate.Job) bool {
		jobs = append(jobs, jobStatus(job, explain.Summarize(view, job)))
		return true
	})
	return jobs, nil
}

func jobStatus(job *controlstate.Job, summary explain.Summary) *operators.JobStatus {
	class := "Batch"
	if job.Spec.GetClass() == controlpb.Class_LATENCY_CRITICAL {
		class = "LatencyCritical"
	}
	return &operators.JobStatus{
		Name:      job.Name(),
		Team:      job.Spec.GetTeam(),
		Class:     class,
		State:     summary.State,
		Waiting:   summary.Count[controlpb.TaskState_WAITING],
		Starting:  summary.Count[controlpb.TaskState_STARTING],
		Running:   summary.Count[controlpb.TaskState_RUNNING],
		Stopping:  summary.Count[controlpb.TaskState_STOPPING],
		Finished:  summary.Count[controlpb.TaskState_FINISHED],
		Failed:    summary.Count[controlpb.TaskState_FAILED],
		Cancelled: summary.Count[controlpb.TaskState_CANCELLED],
		Evictions: summary.Evictions,
	}
}

// Explain implements operators.Service.
func (s *operatorService) Explain(ctx context.Context, p *operators.ExplainPayload) (*operators.Explanation, error) {
	view := s.control.View()
	explanation, err := explain.New(s.control).Explain(ctx, view, p.Kind, p.Name)
	if trace.IsNotFound(err) {
		return nil, operatorProblem("NotFound", trace.UserMessage(err), nil)
	}
	if err != nil {
		return nil, operatorProblem("Invalid", trace.UserMessage(err), nil)
	}
	return &operators.Explanation{
		Kind:    p.Kind,
		Name:    p.Name,
		State:   explanation.State,
		Lines:   explanation.Lines,
		Version: view.Version,
		Term:    s.control.Status().Term,
	}, nil
}

// Members implements operators.Service.
func (s *operatorService) Members(ctx context.Context) (*operators.Membership, error) {
	request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Query{Query: &controlpb.Query{Name: "members"}}}
	reply, err := requestLeader(ctx, s.control, request, operatorProblem)
	if err != nil {
		return nil, err
	}
	return s.membership(reply.GetMembership()), nil
}

// ChangeMember implements operators.Service.
func (s *operatorService) ChangeMember(ctx context.Context, p *operators.ChangeMemberPayload) (*operators.Membership, error) {
	kinds := map[string]controlpb.MembershipChange_Kind{
		"add":     controlpb.MembershipChange_ADD_LEARNER,
		"promote": controlpb.MembershipChange_PROMOTE,
		"remove":  controlpb.MembershipChange_REMOVE,
	}
	if _, err := netip.ParseAddrPort(p.Member.Address); err != nil {
		return nil, operatorProblem("Invalid", "Address: expected an IP address and port such as 127.0.0.1:7003", nil)
	}
	member := &controlpb.Member{Id: p.Member.ID, Host: p.Member.Host, Address: p.Member.Address, Voter: p.Member.Voter}
	change := &controlpb.MembershipChange{Kind: kinds[p.Change], Member: member}
	request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Membership{Membership: change}}
	reply, err := requestLeader(ctx, s.control, request, operatorProblem)
	if err != nil {
		return nil, err
	}
	return s.membership(reply.GetMembership()), nil
}

func (s *operatorService) membership(m *controlpb.Membership) *operators.Membership {
	leader := s.control.Status().Leader
	result := &operators.Membership{Members: []*operators.Member{}}
	for _, member := range m.GetMembers() {
		if member.GetHost() == leader && member.GetVoter() {
			result.Leader = member.GetId()
		}
		result.Members = append(result.Members, &operators.Member{
			ID:      member.GetId(),
			Host:    member.GetHost(),
			Address: member.GetAddress(),
			Voter:   member.GetVoter(),
		})
	}
	return result
}

// jobSpec converts a submitted job, and validates what the API design cannot express. It converts a relative deadline to an
// absolute time once, so that sending the command again does not move the deadline.
func jobSpec(job *operators.JobSpec, now time.Time) (*controlpb.JobSpec, error) {
	runTime, err := inifile.Duration(time.Millisecond, maxJobTime)(job.RunTime)
	if err != nil {
		return nil, operatorProblem("Invalid", "RunTime: "+err.Error(), nil)
	}
	spec := &controlpb.JobSpec{
		Name:        job.Name,
		Team:        job.Team,
		Kind:        job.Name,
		Urgent:      job.Urgent,
		Priority:    job.Priority,
		Tasks:       job.Tasks,
		Request:     &controlpb.Resources{Processors: job.Request.Processors, Memory: job.Request.Memory, Accelerators: job.Request.Accelerators},
		RunTime:     int64(runTime),
		Checkpoints: job.Checkpoints,
		Zones:       job.Zones,
	}
	if job.Kind != nil {
		spec.Kind = *job.Kind
	}
	if job.Deadline != nil {
		untilDeadline, err := inifile.Duration(time.Millisecond, maxJobTime)(*job.Deadline)
		if err != nil {
			return nil, operatorProblem("Invalid", "Deadline: "+err.Error(), nil)
		}
		spec.Deadline = now.Add(untilDeadline).UnixNano()
	}
	return spec, nil
}
