package command

import (
	"context"

	"github.com/spf13/cobra"

	"galenamoor/api/gen/operators"
	"galenamoor/pkg/operator"
)

func newZone(o *options) *cobra.Command {
	command := &cobra.Command{
		Use:     "zone",
		Short:   "Take an availability zone out of service, or bring it back",
		Example: "  galenamoor zone out walvis\n  galenamoor zone in walvis",
	}
	command.AddCommand(
		newZoneChange(o, "out", "Take an availability zone out of service",
			"After the answer, no task starts in the zone later than 3 s. Its tasks are checkpointed and resume in other zones.", true),
		newZoneChange(o, "in", "Bring an availability zone back",
			"Capacity of the zone is used again step by step, services first.", false),
	)
	return command
}

func newZoneChange(o *options, use, short, long string, out bool) *cobra.Command {
	var key string
	var baseVersion uint64
	command := &cobra.Command{
		Use:     use + " NAME",
		Short:   short,
		Long:    long,
		Example: "  galenamoor zone " + use + " walvis\n  galenamoor zone " + use + " walvis --replaces 12 --json",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			payload := &operators.ZonePayload{
				Zone:        arguments[0],
				RequestKey:  keyOrRandom(key),
				BaseVersion: baseVersion,
				Out:         out,
				Operator:    operatorName(),
			}
			return o.changeConfiguration(c, payload.RequestKey, func(ctx context.Context, client *operator.Client) (uint64, error) {
				return client.Zone(ctx, payload)
			})
		},
	}
	command.Flags().Uint64Var(&baseVersion, "replaces", 0, "configuration version that must be in force; 0 for any")
	command.Flags().StringVar(&key, "key", "", "request key; a repeated request with the same key takes effect once (default random)")
	return command
}
