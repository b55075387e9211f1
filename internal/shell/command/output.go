package command

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// print writes the value to standard output: as JSON if --json is set, otherwise as text with the given function.
func (o *options) print(value any, text func(io.Writer)) error {
	if !o.json {
		text(o.out)
		return nil
	}
	encoder := json.NewEncoder(o.out)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value), "print JSON")
}

// table writes rows in aligned columns. The first row is the header.
func table(out io.Writer, rows [][]string) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush()
}
