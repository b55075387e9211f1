package command

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"github.com/spf13/cobra"

	"galenamoor/api/gen/operators"
	"galenamoor/pkg/operator"
)

func newMembers(o *options) *cobra.Command {
	command := &cobra.Command{
		Use:     "members",
		Short:   "List the replicas of the control log, or replace one",
		Example: "  galenamoor members\n  galenamoor members replace entry-3",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			members, err := callDaemon(c, o, listMembers)
			if err != nil {
				return err
			}
			return o.print(members, func(out io.Writer) { printMembers(out, members) })
		},
	}
	command.AddCommand(newReplace(o))
	return command
}

func listMembers(ctx context.Context, client *operator.Client) (*operators.Membership, error) {
	return client.Members(ctx)
}

func printMembers(out io.Writer, members *operators.Membership) {
	rows := [][]string{{"ID", "HOST", "ADDRESS", "ROLE"}}
	for _, member := range members.Members {
		role := "learner"
		switch {
		case member.ID == members.Leader:
			role = "leader"
		case member.Voter:
			role = "voter"
		}
		rows = append(rows, []string{fmt.Sprint(member.ID), member.Host, member.Address, role})
	}
	table(out, rows)
}

func newReplace(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "replace HOST",
		Short: "Replace a host's lost replica with its new one",
		Long: "A host whose disk was lost comes back as a learner with a new identity. This command removes the vote of the\n" +
			"old identity and promotes the new one, which must have caught up. Replace one host at a time.",
		Example: "  galenamoor members replace entry-3",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			members, err := callDaemon(c, o, func(ctx context.Context, client *operator.Client) (*operators.Membership, error) {
				return replaceMember(ctx, client, arguments[0])
			})
			if err != nil {
				return err
			}
			return o.print(members, func(out io.Writer) { printMembers(out, members) })
		},
	}
}

// replaceMember removes the host's old voter, if there is one, and then promotes its learner.
func replaceMember(ctx context.Context, client *operator.Client, host string) (*operators.Membership, error) {
	members, err := client.Members(ctx)
	if err != nil {
		return nil, err
	}
	var oldVoter, learner *operators.Member
	for _, member := range members.Members {
		if member.Host == host && member.Voter {
			oldVoter = member
		}
		if member.Host == host && !member.Voter {
			learner = member
		}
	}
	if learner == nil {
		return nil, refusedError{fmt.Errorf("host %s has no learner to promote: start its daemon with an empty data folder first", host)}
	}
	if _, err := netip.ParseAddrPort(learner.Address); err != nil {
		return nil, refusedError{fmt.Errorf("learner of %s: %w", host, err)}
	}
	if oldVoter != nil {
		if _, err := client.ChangeMember(ctx, &operators.ChangeMemberPayload{Change: "remove", Member: oldVoter}); err != nil {
			return nil, err
		}
	}
	return client.ChangeMember(ctx, &operators.ChangeMemberPayload{Change: "promote", Member: learner})
}
