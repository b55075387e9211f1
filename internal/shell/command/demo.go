package command

import (
	"fmt"
	"io"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"galenamoor/internal/shell/demo"
	"galenamoor/internal/shell/logging"
)

func newDemo(o *options) *cobra.Command {
	var folder string
	var seed uint64
	var logs bool
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a small system on loopback, with failures, and report which promises held",
		Long: "Runs three daemons in this process with stand-ins for workers, endpoints and callers, for about half a minute.\n" +
			"Exit code 1: a promise was broken.",
		Example: "  galenamoor demo\n  galenamoor demo --inventory examples/tsagaan",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log := logr.Discard()
			if logs {
				log = logging.New(o.errOut, "info")
			}
			d, err := demo.New(demo.Options{Folder: folder, Seed: seed, Out: o.errOut, Log: log})
			if err != nil {
				return usageError{err}
			}
			result, err := d.Run(c.Context())
			if err != nil {
				return err
			}
			if err := o.print(result, func(out io.Writer) { result.Print(out) }); err != nil {
				return err
			}
			if broken := result.CountBroken(); broken > 0 {
				return refusedError{fmt.Errorf("%d promises were broken", broken)}
			}
			return nil
		},
	}
	command.Flags().StringVar(&folder, "inventory", "examples/ridewell", "folder with inventory.ini and rules.ini")
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of calls and call times")
	command.Flags().BoolVar(&logs, "logs", false, "write the daemons' log lines")
	return command
}
