package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"galenamoor/internal/shell/settings"
	"galenamoor/pkg/inventory"
	"galenamoor/pkg/rules"
	"galenamoor/platform"
)

// checkResult is the JSON output of the command check.
type checkResult struct {
	OK       bool
	Problems []string
}

func newCheck(o *options) *cobra.Command {
	var settingsFile, inventoryFile, rulesFile, platformFile string
	command := &cobra.Command{
		Use:   "check",
		Short: "Check settings, inventory and rules offline",
		Long: "Checks files without contacting a daemon. Every problem is printed with file, section, key, value and what was expected.\n" +
			"Exit code 0: no problem; 1: problems; 2: bad usage.",
		Example: "  galenamoor check --settings /etc/galenamoor.ini\n  galenamoor check --platform /etc/galenamoor/boot.toml\n  galenamoor check --inventory inventory.ini --rules rules.ini --json",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if rulesFile != "" && inventoryFile == "" {
				return usageError{errors.New("--rules needs --inventory: rules are checked against it")}
			}
			if settingsFile == "" && inventoryFile == "" && platformFile == "" {
				return usageError{errors.New("expected --settings, --platform, or --inventory with or without --rules")}
			}
			return o.check(settingsFile, inventoryFile, rulesFile, platformFile)
		},
	}
	command.Flags().StringVar(&settingsFile, "settings", "", "settings file of a daemon")
	command.Flags().StringVar(&platformFile, "platform", "", "settings file that the users' platform writes for an entry or a controller")
	command.Flags().StringVar(&inventoryFile, "inventory", "", "inventory file")
	command.Flags().StringVar(&rulesFile, "rules", "", "rules file")
	return command
}

func (o *options) check(settingsFile, inventoryFile, rulesFile, platformFile string) error {
	var problems []string
	addProblems := func(err error) {
		if err != nil {
			problems = append(problems, strings.Split(trace.UserMessage(err), "\n")...)
		}
	}
	if settingsFile != "" {
		_, err := settings.Read(settingsFile)
		addProblems(err)
	}
	if platformFile != "" {
		_, err := platform.ReadSettingsFile(platformFile)
		addProblems(err)
	}
	if inventoryFile != "" {
		_, _, err := readConfiguration(inventoryFile, rulesFile)
		addProblems(err)
	}
	result := checkResult{OK: len(problems) == 0, Problems: problems}
	if err := o.print(result, func(out io.Writer) { printProblems(out, problems) }); err != nil {
		return err
	}
	if len(problems) > 0 {
		return refusedError{fmt.Errorf("%d problems", len(problems))}
	}
	return nil
}

func printProblems(out io.Writer, problems []string) {
	if len(problems) == 0 {
		fmt.Fprintln(out, "no problems")
	}
	for _, problem := range problems {
		fmt.Fprintln(out, problem)
	}
}

// readConfiguration reads and checks an inventory and its rules, and returns their texts. Without a rules file, the
// rules are empty.
func readConfiguration(inventoryFile, rulesFile string) (inventoryText, rulesText string, err error) {
	inventoryData, err := os.ReadFile(inventoryFile)
	if err != nil {
		return "", "", trace.Wrap(trace.ConvertSystemError(err), "read inventory")
	}
	parsed, err := inventory.Parse(string(inventoryData))
	if err != nil {
		return "", "", refusedError{err}
	}
	if rulesFile == "" {
		return string(inventoryData), (&rules.Rules{}).Text(), nil
	}
	rulesData, err := os.ReadFile(rulesFile)
	if err != nil {
		return "", "", trace.Wrap(trace.ConvertSystemError(err), "read rules")
	}
	if _, err := rules.Parse(string(rulesData), parsed); err != nil {
		return "", "", refusedError{err}
	}
	return string(inventoryData), string(rulesData), nil
}
