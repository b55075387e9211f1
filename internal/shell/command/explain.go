package command

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"galenamoor/api/gen/operators"
	"galenamoor/pkg/operator"
)

func newExplain(o *options) *cobra.Command {
	return &cobra.Command{
		Use:       "explain KIND NAME",
		Short:     "Explain why a task, job, call, worker or zone is in its state",
		Example:   "  galenamoor explain task waiver/7\n  galenamoor explain zone walvis --json",
		ValidArgs: []string{"task", "job", "call", "worker", "zone"},
		Args:      cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, arguments []string) error {
			explanation, err := callDaemon(c, o, func(ctx context.Context, client *operator.Client) (*operators.Explanation, error) {
				return client.Explain(ctx, arguments[0], arguments[1])
			})
			if err != nil {
				return err
			}
			return o.print(explanation, func(out io.Writer) { printExplanation(out, explanation) })
		},
	}
}

func printExplanation(out io.Writer, explanation *operators.Explanation) {
	fmt.Fprintf(out, "%s %s: %s\n", explanation.Kind, explanation.Name, explanation.State)
	for _, line := range explanation.Lines {
		fmt.Fprintf(out, "  %s\n", line)
	}
	fmt.Fprintf(out, "  configuration version %d, term %d\n", explanation.Version, explanation.Term)
}
