package command

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"

	"galenamoor/api/gen/operators"
	"galenamoor/pkg/operator"
)

func newStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show a daemon's view of the system",
		Example: "  galenamoor status\n  galenamoor status --address 127.0.0.2:7002 --json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			status, err := callDaemon(c, o, func(ctx context.Context, client *operator.Client) (*operators.DaemonStatus, error) {
				return client.Status(ctx)
			})
			if err != nil {
				return err
			}
			return o.print(status, func(out io.Writer) { printStatus(out, status) })
		},
	}
}

func printStatus(out io.Writer, status *operators.DaemonStatus) {
	readiness := "ready"
	if !status.Ready {
		readiness = "not ready"
		if status.Reason != nil {
			readiness += ": " + *status.Reason
		}
	}
	leader := status.Leader
	if leader == "" {
		leader = "none known"
	}
	fmt.Fprintf(out, "host %s, %s\n", status.Host, readiness)
	fmt.Fprintf(out, "configuration version %d, confirmed %s ago\n", status.Version, status.Age)
	fmt.Fprintf(out, "leader %s, term %d, log index %d\n", leader, status.Term, status.Index)
	rows := [][]string{{"ZONE", "STATE", "WORKERS", "TASKS", "ENDPOINTS"}}
	for _, zone := range status.Zones {
		state := "in"
		if zone.Out {
			state = "out"
		}
		rows = append(rows, []string{zone.Name, state, fmt.Sprint(zone.Workers), fmt.Sprint(zone.Tasks), fmt.Sprint(zone.Endpoints)})
	}
	if len(status.Zones) > 0 {
		table(out, rows)
	}
}

func newVersion(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version of this program",
		Example: "  galenamoor version",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			version := struct{ Version, Go string }{Version: "unknown", Go: "unknown"}
			if info, ok := debug.ReadBuildInfo(); ok {
				version.Version = info.Main.Version
				version.Go = info.GoVersion
			}
			return o.print(version, func(out io.Writer) { fmt.Fprintf(out, "galenamoor %s, %s\n", version.Version, version.Go) })
		},
	}
}
