package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"galenamoor/api/gen/operators"
	"galenamoor/pkg/operator"
	"galenamoor/pkg/resource"
)

func newJobs(o *options) *cobra.Command {
	command := &cobra.Command{
		Use:     "jobs",
		Short:   "List jobs and services; submit or cancel jobs",
		Example: "  galenamoor jobs\n  galenamoor jobs submit audit-7 --team insurers --run-time 20m --deadline 8h --processors 4 --memory 8GB\n  galenamoor jobs cancel audit-7",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			jobs, err := callDaemon(c, o, func(ctx context.Context, client *operator.Client) ([]*operators.JobStatus, error) {
				return client.Jobs(ctx)
			})
			if err != nil {
				return err
			}
			return o.print(jobs, func(out io.Writer) { printJobs(out, jobs) })
		},
	}
	command.AddCommand(newSubmit(o), newCancel(o))
	return command
}

func printJobs(out io.Writer, jobs []*operators.JobStatus) {
	rows := [][]string{{"NAME", "TEAM", "CLASS", "STATE", "WAITING", "RUNNING", "FINISHED", "FAILED", "EVICTIONS"}}
	for _, job := range jobs {
		running := job.Starting + job.Running + job.Stopping
		rows = append(rows, []string{
			job.Name, job.Team, job.Class, job.State, fmt.Sprint(job.Waiting), fmt.Sprint(running),
			fmt.Sprint(job.Finished), fmt.Sprint(job.Failed), fmt.Sprint(job.Evictions),
		})
	}
	table(out, rows)
}

// submitFlags are the flags of the command "jobs submit".
type submitFlags struct {
	team, kind, processors, memory string
	accelerators                   int64
	tasks, priority                int32
	runTime, deadline              time.Duration
	urgent, checkpoints            bool
	zones                          []string
	key                            string
}

func newSubmit(o *options) *cobra.Command {
	f := &submitFlags{}
	command := &cobra.Command{
		Use:     "submit NAME",
		Short:   "Submit a batch job",
		Example: "  galenamoor jobs submit audit-7 --team insurers --tasks 40 --run-time 20m --deadline 8h --processors 4 --memory 8GB --checkpoints",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			payload, err := f.payload(arguments[0])
			if err != nil {
				return usageError{err}
			}
			_, err = callDaemon(c, o, func(ctx context.Context, client *operator.Client) (struct{}, error) {
				return struct{}{}, client.Submit(ctx, payload)
			})
			if err != nil {
				return err
			}
			return o.print(payload, func(out io.Writer) { fmt.Fprintf(out, "job %s is accepted\n", payload.Job.Name) })
		},
	}
	flags := command.Flags()
	flags.StringVar(&f.team, "team", "", "team whose quota it uses")
	flags.StringVar(&f.kind, "kind", "", "kind of its tasks (default the job's name)")
	flags.StringVar(&f.processors, "processors", "", "cores of one task, such as 4 or 500m")
	flags.StringVar(&f.memory, "memory", "", "memory of one task, such as 8GB")
	flags.Int64Var(&f.accelerators, "accelerators", 0, "accelerators of one task")
	flags.Int32Var(&f.tasks, "tasks", 1, "number of tasks")
	flags.Int32Var(&f.priority, "priority", 100, "0 to 1000; higher is placed first")
	flags.DurationVar(&f.runTime, "run-time", 0, "declared run time of one task")
	flags.DurationVar(&f.deadline, "deadline", 0, "time until it must be finished; 0 for none")
	flags.BoolVar(&f.urgent, "urgent", false, "start at once, by preemption where needed")
	flags.BoolVar(&f.checkpoints, "checkpoints", false, "its tasks can checkpoint and resume")
	flags.StringSliceVar(&f.zones, "zones", nil, "availability zones it may use (default all)")
	flags.StringVar(&f.key, "key", "", "request key (default random)")
	return command
}

func (f *submitFlags) payload(name string) (*operators.SubmitPayload, error) {
	if f.team == "" || f.processors == "" || f.memory == "" || f.runTime <= 0 {
		return nil, errors.New("expected --team, --processors, --memory and --run-time")
	}
	processors, err := resource.ParseProcessors(f.processors)
	if err != nil {
		return nil, fmt.Errorf("--processors: %w", err)
	}
	memory, err := resource.ParseMemory(f.memory)
	if err != nil {
		return nil, fmt.Errorf("--memory: %w", err)
	}
	job := &operators.JobSpec{
		Name: name, Team: f.team, Urgent: f.urgent, Priority: f.priority, Tasks: f.tasks,
		Request: &operators.Resources{Processors: processors, Memory: memory, Accelerators: f.accelerators},
		RunTime: f.runTime.String(), Checkpoints: f.checkpoints, Zones: f.zones,
	}
	if f.kind != "" {
		job.Kind = &f.kind
	}
	if f.deadline > 0 {
		deadline := f.deadline.String()
		job.Deadline = &deadline
	}
	return &operators.SubmitPayload{RequestKey: keyOrRandom(f.key), Job: job}, nil
}

func newCancel(o *options) *cobra.Command {
	var key string
	command := &cobra.Command{
		Use:     "cancel NAME [NAME ...]",
		Short:   "Cancel jobs",
		Example: "  galenamoor jobs cancel audit-7 audit-8",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, names []string) error {
			payload := &operators.CancelPayload{RequestKey: keyOrRandom(key), Names: names}
			_, err := callDaemon(c, o, func(ctx context.Context, client *operator.Client) (struct{}, error) {
				return struct{}{}, client.Cancel(ctx, payload)
			})
			if err != nil {
				return err
			}
			return o.print(payload, func(out io.Writer) { fmt.Fprintf(out, "%d jobs are cancelled\n", len(names)) })
		},
	}
	command.Flags().StringVar(&key, "key", "", "request key (default random)")
	return command
}
