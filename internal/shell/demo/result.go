package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"galenamoor/internal/standin/audit"
	"galenamoor/internal/standin/caller"
)

// Result is the result of a demo, as observed by the simulated workers and callers.
type Result struct {
	Elapsed  time.Duration
	Calls    []caller.Result
	Totals   audit.Totals
	Promises []audit.Promise
}

// CountBroken returns the number of promises that were broken at least once.
func (r *Result) CountBroken() int {
	n := 0
	for _, promise := range r.Promises {
		if promise.Broken > 0 {
			n++
		}
	}
	return n
}

// Print writes the result as text.
func (r *Result) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nPHASE\tCALLS\tP50\tP99\tP99.9")
	for _, calls := range r.Calls {
		fmt.Fprintf(w, "%s\t%s\t%v\t%v\t%v\n", calls.Phase, formatOutcomes(calls.Outcomes), calls.P50, calls.P99, calls.P999)
	}
	_ = w.Flush()
	fmt.Fprintf(out, "\ntasks: %d starts, %d evictions; batch work done: %v of declared run time\n\n", r.Totals.Starts, r.Totals.Evictions, r.Totals.BatchDone.Round(time.Minute))
	for _, promise := range r.Promises {
		state := "held"
		switch {
		case promise.Broken > 0:
			state = fmt.Sprintf("BROKEN %d times, first: %s", promise.Broken, promise.First)
		case promise.Checks == 0:
			state = "not observed"
		}
		fmt.Fprintf(w, "%s\t%d checks\t%s\n", promise.Name, promise.Checks, state)
	}
	_ = w.Flush()
}

func formatOutcomes(count map[string]int) string {
	var parts []string
	for _, outcome := range slices.Sorted(maps.Keys(count)) {
		parts = append(parts, fmt.Sprintf("%d %s", count[outcome], outcome))
	}
	return strings.Join(parts, ", ")
}
