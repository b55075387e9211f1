package settings

import (
	"os"
	"path/filepath"
	"testing"
)

// FuzzParse guards against settings that crash the parser, and against accepted settings that violate what a daemon relies
// on: the daemon is listed among its peers, and the number of controllers is odd.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("../../../examples/*/entry-*.ini")
	if err != nil || len(files) == 0 {
		f.Fatalf("no examples: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("settings", text)
		if err != nil {
			return
		}
		controllers, listsSelf := 0, false
		for _, peer := range s.Peers {
			listsSelf = listsSelf || peer.Host == s.Host
			if peer.Controller {
				controllers++
			}
		}
		if !listsSelf || controllers%2 == 0 || !s.Calls.IsValid() || s.QueueLength < 1 {
			t.Errorf("accepted: %+v", s)
		}
	})
}

// TestExamples guards against example settings that a daemon rejects.
func TestExamples(t *testing.T) {
	files, _ := filepath.Glob("../../../examples/*/entry-*.ini")
	for _, file := range files {
		if _, err := Read(file); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
	if len(files) < 18 {
		t.Errorf("%d settings files, expected at least 18 (those of both deployments)", len(files))
	}
}
