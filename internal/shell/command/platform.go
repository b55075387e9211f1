package command

import (
	"context"
	"os"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"galenamoor/internal/shell/logging"
	"galenamoor/platform"
)

// newEntry returns the command that runs the process that callers connect to on the users' platform.
func newEntry() *cobra.Command {
	return newPlatformProcess("entry", "Run the process that callers connect to, on the users' platform", platform.RunEntry)
}

// newController returns the command that runs the process that stores the state and schedules on the users' platform.
func newController() *cobra.Command {
	return newPlatformProcess("controller", "Run the process that keeps the state and schedules, on the users' platform", platform.RunController)
}

func newPlatformProcess(use, short string, run func(context.Context, *platform.Settings, uint16, logr.Logger) error) *cobra.Command {
	var metrics uint16
	var level string
	command := &cobra.Command{
		Use:   use,
		Short: short,
		Long: short + ".\nThe platform's settings file contains its addresses and its zone. It runs until it gets SIGTERM, then finishes\n" +
			"what is in progress; on SIGHUP it reloads its settings. It logs JSON lines to standard output.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			settings, err := platform.ReadSettings()
			if err != nil {
				return refusedError{err}
			}
			writer := logging.NewWriter(os.Stdout)
			defer writer.Close()
			return run(c.Context(), settings, metrics, logging.New(writer, level).WithValues("Process", settings.Name))
		},
	}
	command.Flags().Uint16Var(&metrics, "metrics-port", 0, "port of the metrics at /debug/vars; 0 for none")
	command.Flags().StringVar(&level, "log-level", "info", "info or debug")
	return command
}
