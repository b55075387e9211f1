// Command galenamoor runs the daemons and the operators' commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"galenamoor/internal/shell/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
