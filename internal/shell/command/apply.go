package command

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"galenamoor/api/gen/operators"
	"galenamoor/pkg/operator"
)

// versionResult is the JSON output of an accepted configuration change.
type versionResult struct {
	Version    uint64
	RequestKey string
}

func newApply(o *options) *cobra.Command {
	var inventoryFile, rulesFile, key string
	var baseVersion int64
	command := &cobra.Command{
		Use:   "apply",
		Short: "Replace inventory and rules",
		Long: "Applies an inventory and rules, if the version that they replace is still in force.\n" +
			"Exit code 1: refused, for example because another operator was faster; 3: no daemon answered; 4: no final answer, run it again with the same --key.",
		Example: "  galenamoor apply --inventory inventory.ini --rules rules.ini --replaces 0\n  galenamoor apply --inventory inventory.ini --rules rules.ini --replaces 7 --key change-4711",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if inventoryFile == "" || rulesFile == "" || baseVersion < 0 {
				return usageError{errors.New("expected --inventory, --rules and --replaces (0 for the first configuration)")}
			}
			inventoryText, rulesText, err := readConfiguration(inventoryFile, rulesFile)
			if err != nil {
				return err
			}
			payload := &operators.ApplyPayload{
				RequestKey:  keyOrRandom(key),
				BaseVersion: uint64(baseVersion),
				Inventory:   inventoryText,
				Rules:       rulesText,
				Operator:    operatorName(),
			}
			return o.changeConfiguration(c, payload.RequestKey, func(ctx context.Context, client *operator.Client) (uint64, error) {
				return client.Apply(ctx, payload)
			})
		},
	}
	command.Flags().StringVar(&inventoryFile, "inventory", "", "inventory file")
	command.Flags().StringVar(&rulesFile, "rules", "", "rules file")
	command.Flags().Int64Var(&baseVersion, "replaces", -1, "configuration version that this one replaces")
	command.Flags().StringVar(&key, "key", "", "request key; a repeated request with the same key takes effect once (default random)")
	return command
}

func newExport(o *options) *cobra.Command {
	var folder string
	command := &cobra.Command{
		Use:     "export",
		Short:   "Write the configuration in force to files",
		Long:    "Writes inventory.ini and rules.ini in the form that apply takes, and prints their version.",
		Example: "  galenamoor export --folder ./configuration",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			active, err := callDaemon(c, o, func(ctx context.Context, client *operator.Client) (*operators.ActiveConfiguration, error) {
				return client.Configuration(ctx)
			})
			if err != nil {
				return err
			}
			if err := writeConfiguration(folder, active); err != nil {
				return err
			}
			return o.print(active, func(out io.Writer) { fmt.Fprintf(out, "version %d\n", active.Version) })
		},
	}
	command.Flags().StringVar(&folder, "folder", ".", "folder to write to")
	return command
}

func writeConfiguration(folder string, active *operators.ActiveConfiguration) error {
	files := []struct{ name, text string }{{"inventory.ini", active.Inventory}, {"rules.ini", active.Rules}}
	for _, file := range files {
		if err := os.WriteFile(filepath.Join(folder, file.name), []byte(file.text), 0o644); err != nil {
			return trace.Wrap(trace.ConvertSystemError(err), "write %s", file.name)
		}
	}
	return nil
}

// changeConfiguration sends a configuration change and prints the resulting version. If the outcome is unknown, the error
// contains the request key for a retry.
func (o *options) changeConfiguration(c *cobra.Command, key string, request func(context.Context, *operator.Client) (uint64, error)) error {
	version, err := callDaemon(c, o, request)
	if err != nil {
		var unreachable *operator.UnreachableError
		if errors.As(err, &unreachable) && unreachable.MayApply {
			return fmt.Errorf("%w; run it again with --key %s", err, key)
		}
		return err
	}
	return o.print(versionResult{Version: version, RequestKey: key}, func(out io.Writer) {
		fmt.Fprintf(out, "configuration version %d is in force\n", version)
	})
}

func keyOrRandom(key string) string {
	if key != "" {
		return key
	}
	return rand.Text()
}

func operatorName() string {
	name := os.Getenv("USER")
	if len(name) > 100 {
		return name[:100]
	}
	return name
}
