// Package command implements the command line of the galenamoor program.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"galenamoor/pkg/operator"
)

// Exit codes of the program.
const (
	ExitOK          = 0
	ExitRefused     = 1 // a daemon rejected the request, or a check in this program failed
	ExitUsage       = 2 // invalid arguments
	ExitUnreachable = 3 // no daemon answered; the change was not applied
	ExitUnknown     = 4 // no final answer; the change may have been applied
)

// addressVariable is the environment variable with the default of --address.
const addressVariable = "GALENAMOOR_ADDRESS"

// defaultAddress is the control address of the first host in the examples.
const defaultAddress = "127.0.0.1:7002"

// usageError is an error in the arguments. The exit code is ExitUsage.
type usageError struct{ error }

// Unwrap returns the underlying error.
func (u usageError) Unwrap() error { return u.error }

// refusedError is an error found without a daemon, such as a failed check of a file. The exit code is ExitRefused.
type refusedError struct{ error }

// Unwrap returns the underlying error.
func (r refusedError) Unwrap() error { return r.error }

// options are the flags that all commands share, and the program's output streams.
type options struct {
	addresses []string
	json      bool
	timeout   time.Duration
	out       io.Writer
	errOut    io.Writer
}

// Run runs the program with the given arguments and returns its exit code.
func Run(ctx context.Context, arguments []string, out, errOut io.Writer) int {
	o := &options{out: out, errOut: errOut}
	root := newRoot(o)
	root.SetArgs(arguments)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "galenamoor:", err)
	return exitCode(err)
}

func newRoot(o *options) *cobra.Command {
	root := &cobra.Command{
		Use:           "galenamoor",
		Short:         "Scheduler for colocated latency-critical and batch work",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	flags := root.PersistentFlags()
	flags.StringSliceVar(&o.addresses, "address", defaultAddresses(), "control addresses of daemons, tried in turn (default from "+addressVariable+")")
	flags.BoolVar(&o.json, "json", false, "print JSON")
	flags.DurationVar(&o.timeout, "timeout", 15*time.Second, "longest wait for an answer")
	root.AddCommand(newServe(o), newEntry(), newController(), newCheck(o), newApply(o), newExport(o), newZone(o), newStatus(o), newJobs(o), newExplain(o), newMembers(o), newReport(o), newDemo(o), newVersion(o))
	wrapArgumentErrors(root)
	return root
}

// wrapArgumentErrors wraps argument errors of a command and its subcommands in usageError.
func wrapArgumentErrors(command *cobra.Command) {
	if check := command.Args; check != nil {
		command.Args = func(c *cobra.Command, arguments []string) error {
			if err := check(c, arguments); err != nil {
				return usageError{err}
			}
			return nil
		}
	}
	for _, child := range command.Commands() {
		wrapArgumentErrors(child)
	}
}

func defaultAddresses() []string {
	if value := os.Getenv(addressVariable); value != "" {
		return strings.Split(value, ",")
	}
	return []string{defaultAddress}
}

func (o *options) client() (*operator.Client, error) {
	var addresses []netip.AddrPort
	for _, text := range o.addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, usageError{fmt.Errorf("--address %q: expected an IP address and port such as %s", text, defaultAddress)}
		}
		addresses = append(addresses, address)
	}
	return operator.New(addresses...), nil
}

// callDaemon runs a request with the client and the timeout that the flags set.
func callDaemon[T any](c *cobra.Command, o *options, request func(context.Context, *operator.Client) (T, error)) (T, error) {
	var zero T
	client, err := o.client()
	if err != nil {
		return zero, err
	}
	ctx, cancel := context.WithTimeout(c.Context(), o.timeout)
	defer cancel()
	return request(ctx, client)
}

func exitCode(err error) int {
	var usage usageError
	var refused *operator.RefusedError
	var checkFailed refusedError
	var unreachable *operator.UnreachableError
	switch {
	case errors.As(err, &usage), strings.HasPrefix(err.Error(), "unknown command"):
		return ExitUsage
	case errors.As(err, &refused), errors.As(err, &checkFailed):
		return ExitRefused
	case errors.As(err, &unreachable) && unreachable.MayApply:
		return ExitUnknown
	case errors.As(err, &unreachable):
		return ExitUnreachable
	}
	return ExitRefused
}
