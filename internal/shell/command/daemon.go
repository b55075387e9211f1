package command

import (
	"context"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"galenamoor/internal/shell/daemon"
	"galenamoor/internal/shell/settings"
)

func runDaemon(ctx context.Context, s *settings.Settings, bootstrap bool, log logr.Logger) error {
	d, err := daemon.New(daemon.Options{Settings: s, Bootstrap: bootstrap, Clock: clockwork.NewRealClock(), Log: log})
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
