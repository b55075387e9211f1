package command

import (
	"context"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"galenamoor/api/gen/operators"
	"galenamoor/pkg/operator"
)

func newReport(o *options) *cobra.Command {
	command := &cobra.Command{
		Use:     "report",
		Short:   "Reports",
		Example: "  galenamoor report burn --html burn.html",
	}
	command.AddCommand(newBurn(o))
	return command
}

func newBurn(o *options) *cobra.Command {
	var htmlFile string
	command := &cobra.Command{
		Use:   "burn",
		Short: "Report how fast services and batch work burn their error budgets",
		Long: "Reports over 5 m, 1 h, 6 h and 3 d, summed over all daemons. A daemon that could not be asked is named.\n" +
			"A burn rate of 1 uses up the error budget exactly within its period.",
		Example: "  galenamoor report burn\n  galenamoor report burn --html burn.html",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			report, err := callDaemon(c, o, func(ctx context.Context, client *operator.Client) (*operators.BurnReport, error) {
				return client.Burn(ctx)
			})
			if err != nil {
				return err
			}
			if htmlFile != "" {
				if err := writeHTML(htmlFile, report); err != nil {
					return err
				}
			}
			return o.print(report, func(out io.Writer) { printBurn(out, report) })
		},
	}
	command.Flags().StringVar(&htmlFile, "html", "", "also write a self-contained HTML page to this file")
	return command
}

func printBurn(out io.Writer, report *operators.BurnReport) {
	fmt.Fprintf(out, "service-level burn at %s\n", report.Generated)
	for _, host := range report.Hosts {
		if !host.Asked {
			fmt.Fprintf(out, "WARNING: host %s was not asked; %s\n", host.Host, copyText(host.Until))
		}
	}
	for _, service := range report.Services {
		printServiceBurn(out, service)
	}
	printKinds(out, report.Kinds)
}

func printServiceBurn(out io.Writer, service *operators.BurnService) {
	fmt.Fprintf(out, "\nservice %s: objective %s of calls within %v\n", service.Service, percent(float64(service.Objective)/100_000), time.Duration(service.Bound))
	rows := [][]string{{"WINDOW", "REQUESTS", "GOOD", "SLOW", "NOT RUN", "SHED", "UNKNOWN", "BURN RATE", "BUDGET LEFT"}}
	for _, w := range service.Windows {
		rows = append(rows, []string{
			w.Name, fmt.Sprint(w.Requests), percent(w.Share), fmt.Sprint(w.Slow), fmt.Sprint(w.NotRun), fmt.Sprint(w.Shed),
			fmt.Sprint(w.Unknown), fmt.Sprintf("%.2f", w.BurnRate), percent(w.BudgetLeft),
		})
	}
	table(out, rows)
	if service.WorstZone != "" {
		fmt.Fprintf(out, "most slow calls in zone %s\n", service.WorstZone)
	}
	if isSet(service.WorstHour) {
		fmt.Fprintf(out, "worst hour began %s\n", service.WorstHour)
	}
}

func printKinds(out io.Writer, kinds []*operators.BurnKind) {
	if len(kinds) == 0 {
		return
	}
	rows := [][]string{{"KIND", "OBJECTIVE", "MET", "LATE", "PREDICTED LATE", "OPEN", "SHARE MET"}}
	for _, k := range kinds {
		rows = append(rows, []string{
			k.Kind, percent(float64(k.Objective) / 100_000), fmt.Sprint(k.Met), fmt.Sprint(k.Late), fmt.Sprint(k.Predicted),
			fmt.Sprint(k.Open), percent(k.Share),
		})
	}
	fmt.Fprintln(out, "\nbatch work with deadlines")
	table(out, rows)
}

func percent(share float64) string {
	return fmt.Sprintf("%.3f%%", 100*share)
}

// isSet reports whether a time in the report is set, that is, isn't Go's zero time.
func isSet(text string) bool {
	return !strings.HasPrefix(text, "0001-")
}

// copyText describes the counters used for a daemon that could not be queried: the end of their last copy, or that there
// is none.
func copyText(until string) string {
	if !isSet(until) {
		return "its figures are missing"
	}
	return "its figures end at " + until
}

//go:embed page/burn.html
var burnTemplate string

// bar is the bar of one hour in a chart. Its position and height are in pixels.
type bar struct {
	X, Y, Height float64
	Title        string
}

// Sizes of a chart in pixels.
const (
	chartHeight = 120.0
	barStep     = 10.0
)

func writeHTML(path string, report *operators.BurnReport) error {
	functions := template.FuncMap{
		"percent":  percent,
		"copyText": copyText,
		"isSet":    isSet,
		"duration": func(n int64) time.Duration { return time.Duration(n) },
		"share":    func(objective int) float64 { return float64(objective) / 100_000 },
		"bars":     bars,
		"width":    func(hours []*operators.BurnHour) float64 { return barStep * float64(max(len(hours), 1)) },
	}
	parsed, err := template.New("burn").Funcs(functions).Parse(burnTemplate)
	if err != nil {
		return trace.Wrap(err, "parse page")
	}
	file, err := os.Create(path)
	if err != nil {
		return trace.Wrap(trace.ConvertSystemError(err), "write page")
	}
	if err := parsed.Execute(file, report); err != nil {
		_ = file.Close()
		return trace.Wrap(err, "write page")
	}
	return trace.Wrap(file.Close(), "write page")
}

// bars returns a chart of the calls that were not good, one bar per hour. The highest bar has the height of the chart.
func bars(hours []*operators.BurnHour) []bar {
	maxBad := int64(1)
	for _, hour := range hours {
		maxBad = max(maxBad, hour.Requests-hour.Good)
	}
	chart := make([]bar, 0, len(hours))
	for i, hour := range hours {
		bad := hour.Requests - hour.Good
		height := chartHeight * float64(bad) / float64(maxBad)
		title := fmt.Sprintf("%s: %d of %d calls not good", hour.Begin, bad, hour.Requests)
		chart = append(chart, bar{X: barStep * float64(i), Y: chartHeight - height, Height: height, Title: title})
	}
	return chart
}
