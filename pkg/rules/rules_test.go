package rules_test

import (
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"galenamoor/pkg/inventory"
	"galenamoor/pkg/rules"
)

// TestParse guards against rules that are accepted although they contradict their inventory, and against exports that
// lose a rule. Each data file holds an inventory, rules, and either the expected errors or the expected export.
func TestParse(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no data files: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			runParseFile(t, file)
		})
	}
}

func runParseFile(t *testing.T, file string) {
	archive, err := txtar.ParseFile(file)
	if err != nil {
		t.Fatal(err)
	}
	sections := map[string]string{}
	for _, f := range archive.Files {
		sections[f.Name] = string(f.Data)
	}
	inv, err := inventory.Parse(sections["inventory"])
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := rules.Parse(sections["rules"], inv)
	got := ""
	if err != nil {
		got = err.Error() + "\n"
	}
	if got != sections["errors"] {
		t.Errorf("errors:\n%s\nwant:\n%s", got, sections["errors"])
	}
	if err != nil {
		return
	}
	if parsed.Text() != sections["exported"] {
		t.Errorf("exported:\n%s\nwant:\n%s", parsed.Text(), sections["exported"])
	}
	reparsed, err := rules.Parse(parsed.Text(), inv)
	if err != nil || !reflect.DeepEqual(parsed, reparsed) {
		t.Errorf("exported rules differ after reading: %v", err)
	}
}
