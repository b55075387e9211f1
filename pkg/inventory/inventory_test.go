package inventory_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"galenamoor/pkg/inventory"
)

// TestParse guards against invalid inventories that are accepted, and against errors without the section and key.
// Each data file holds an inventory and either the expected errors or the expected export.
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
	parsed, err := inventory.Parse(sections["input"])
	got := ""
	if err != nil {
		got = err.Error() + "\n"
	}
	if got != sections["errors"] {
		t.Errorf("errors:\n%s\nwant:\n%s", got, sections["errors"])
	}
	if err == nil && parsed.Text() != sections["exported"] {
		t.Errorf("exported:\n%s\nwant:\n%s", parsed.Text(), sections["exported"])
	}
}

// FuzzParse guards against crashes on malformed text, and against exports that differ from the parsed inventory.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.txtar")
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		for _, part := range txtar.Parse(data).Files {
			f.Add(string(part.Data))
		}
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := inventory.Parse(text)
		if err != nil {
			return
		}
		reparsed, err := inventory.Parse(parsed.Text())
		if err != nil {
			t.Fatalf("exported text is refused: %v", err)
		}
		if !reflect.DeepEqual(parsed, reparsed) {
			t.Fatalf("exported text differs:\n%s\n%s", parsed.Text(), reparsed.Text())
		}
	})
}
