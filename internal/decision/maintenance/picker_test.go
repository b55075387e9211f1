package maintenance

import (
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
)

// TestNextHosts guards against more unavailable hosts than allowed, and against waves that stall. Each case in testdata
// gives the limit after "most", the hosts as "NAME LOAD [begun] [up] [draining]", one per line, and after "->" the
// hosts to drain next.
func TestNextHosts(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/waves.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			text, want, _ := strings.Cut(string(file.Data), "->")
			maxUnavailable, hosts := 1, []Host(nil)
			for line := range strings.Lines(text) {
				words := strings.Fields(line)
				if len(words) < 2 {
					continue
				}
				if words[0] == "most" {
					maxUnavailable = int(words[1][0] - '0')
					continue
				}
				h := Host{Name: words[0], Load: int64(words[1][0] - '0')}
				for _, word := range words[2:] {
					switch word {
					case "begun":
						h.Begun = true
					case "up":
						h.Up = true
					case "draining":
						h.Draining = true
					default:
						t.Fatalf("%q: expected begun, up or draining", word)
					}
				}
				hosts = append(hosts, h)
			}
			if got := strings.Join(NextHosts(maxUnavailable, hosts), " "); got != strings.TrimSpace(want) {
				t.Errorf("%q, expected %q", got, strings.TrimSpace(want))
			}
		})
	}
}
