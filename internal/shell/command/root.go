// Package command holds the commands of the galenamoor program.
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
	ExitRefused     = 1 // the system, or a check, refused the request
	ExitUsage       = 2 // bad arguments
	ExitUnreachable = 3 // no daemon answered; surely not applied
	ExitUnknown     = 4 // no final answer; the change may have been applied
)

// environmentAddress names the variable that holds the default of --address.
const environmentAddress = "GALENAMOOR_ADDRESS"

// defaultAddress is the control address of the first host in the examples.
const defaultAddress = "127.0.0.1:7002"

// usageError is a mistake in the arguments.
type usageError struct{ error }

// Unwrap returns the mistake.
func (u usageError) Unwrap() error { return u.error }

// refusedError is a refusal that was found without asking a daemon.
type refusedError struct{ error }

// Unwrap returns the refusal.
func (r refusedError) Unwrap() error { return r.error }

// options are the flags that all commands share.
type options struct {
	addresses []string
	json      bool
	timeout   time.Duration
	out       io.Writer
	errors    io.Writer
}

// Run runs the program with its arguments and returns the exit code.
func Run(ctx context.Context, arguments []string, out, errs io.Writer) int {
	o := &options{out: out, errors: errs}
	root := newRoot(o)
	root.SetArgs(arguments)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errs, "galenamoor:", err)
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
	flags.StringSliceVar(&o.addresses, "address", defaultAddresses(), "control addresses of daemons, tried in turn (default from "+environmentAddress+")")
	flags.BoolVar(&o.json, "json", false, "print JSON")
	flags.DurationVar(&o.timeout, "timeout", 15*time.Second, "longest wait for an answer")
	root.AddCommand(newServe(o), newEntry(), newController(), newCheck(o), newApply(o), newExport(o), newZone(o), newStatus(o), newJobs(o), newExplain(o), newMembers(o), newReport(o), newDemo(o), newVersion(o))
	checkArguments(root)
	return root
}

// checkArguments has every command report wrong arguments as bad usage.
func checkArguments(command *cobra.Command) {
	if check := command.Args; check != nil {
		command.Args = func(c *cobra.Command, arguments []string) error {
			if err := check(c, arguments); err != nil {
				return usageError{err}
			}
			return nil
		}
	}
	for _, child := range command.Commands() {
		checkArguments(child)
	}
}

func defaultAddresses() []string {
	if value := os.Getenv(environmentAddress); value != "" {
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

// ask runs a request with the client and the time limit of the flags.
func ask[T any](c *cobra.Command, o *options, request func(context.Context, *operator.Client) (T, error)) (T, error) {
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
	var refused *operator.Refused
	var local refusedError
	var unreachable *operator.Unreachable
	switch {
	case errors.As(err, &usage), strings.HasPrefix(err.Error(), "unknown command"):
		return ExitUsage
	case errors.As(err, &refused), errors.As(err, &local):
		return ExitRefused
	case errors.As(err, &unreachable) && unreachable.MayApply:
		return ExitUnknown
	case errors.As(err, &unreachable):
		return ExitUnreachable
	}
	return ExitRefused
}
