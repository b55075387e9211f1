package command

import (
	"errors"

	"github.com/spf13/cobra"

	"galenamoor/internal/shell/logging"
	"galenamoor/internal/shell/settings"
)

func newServe(o *options) *cobra.Command {
	var settingsFile string
	var bootstrap bool
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run a daemon",
		Long: "Runs the daemon that the settings describe until it gets SIGTERM or SIGINT, then finishes calls in progress and exits with 0.\n" +
			"--bootstrap bootstraps a new cluster and is given once, at the first start of each controller. A controller that starts\n" +
			"on an empty data folder without it joins the existing cluster as a learner with a new identity.",
		Example: "  galenamoor serve --settings /etc/galenamoor.ini\n  galenamoor serve --settings /etc/galenamoor.ini --bootstrap",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if settingsFile == "" {
				return usageError{errors.New("expected --settings")}
			}
			s, err := settings.Read(settingsFile)
			if err != nil {
				return refusedError{err}
			}
			return runDaemon(c.Context(), s, bootstrap, logging.New(o.errOut, s.LogLevel))
		},
	}
	command.Flags().StringVar(&settingsFile, "settings", "", "settings file")
	command.Flags().BoolVar(&bootstrap, "bootstrap", false, "bootstrap a new cluster")
	return command
}
