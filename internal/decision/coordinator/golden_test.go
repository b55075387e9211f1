package coordinator_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
)

var update = flag.Bool("update", false, "rewrite the golden transcripts")

// session executes the lines of a script in a simulation without faults and writes a transcript.
type session struct {
	sim  *simulation
	out  *strings.Builder
	last map[string]*controlpb.Command // last command of each operator
}

// TestSessions guards against changes in the answers to operators and in their effect on tasks: it compares whole sessions
// with golden transcripts.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no sessions: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			sim := newFaultFreeSimulation()
			s := &session{sim: sim, out: &strings.Builder{}, last: map[string]*controlpb.Command{}}
			for _, line := range strings.Split(strings.TrimSpace(string(archive.Files[0].Data)), "\n") {
				fmt.Fprintf(s.out, "> %s\n", line)
				s.run(t, strings.Fields(line))
			}
			for _, violation := range sim.oracle.violations {
				t.Error(violation)
			}
			if *update {
				archive.Files[1].Data = []byte(s.out.String())
				if err := os.WriteFile(file, txtar.Format(archive), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			if got := s.out.String(); got != string(archive.Files[1].Data) {
				t.Errorf("transcript differs; got:\n%s\nexpected:\n%s", got, archive.Files[1].Data)
			}
		})
	}
}

func (s *session) run(t *testing.T, words []string) {
	switch words[0] {
	case "wait":
		d, err := time.ParseDuration(words[1])
		if err != nil {
			t.Fatal(err)
		}
		s.sim.advance(d)
	case "elect":
		s.sim.depose()
		s.sim.advance(time.Second)
		s.sim.elect(s.sim.replicas[number(t, words[1])])
	case "restore":
		s.sim.replicas[number(t, words[1])].restore()
	case "tasks":
		s.tasks()
	default:
		s.operate(t, words[0], words[1:])
	}
}

// operate sends an operator's command: "apply VARIANT BASE", "zone NAME out|in BASE", "submit TASKS" or "resend".
func (s *session) operate(t *testing.T, operator string, words []string) {
	var c *controlpb.Command
	switch words[0] {
	case "apply":
		c = s.sim.configure(uint64(number(t, words[2])), inventoryText(number(t, words[1])))
	case "zone":
		c = s.sim.zoneCommand(words[1], words[2] == "out", uint64(number(t, words[3])))
	case "submit":
		c = s.sim.submit(int32(number(t, words[1])))
	case "resend":
		c = s.last[operator]
	default:
		t.Fatalf("unknown line %q", words)
	}
	s.last[operator] = c
	s.sim.oracle.issued(c)
	s.sim.sendUntilAnswered(c, func(r *controlpb.Result) {
		reason := controlstate.ReasonOf(r)
		fmt.Fprintln(s.out, strings.TrimSpace(fmt.Sprintf("%s: %v version %d %s", operator, r.GetCode(), r.GetVersion(), reason)))
	})
}

func (s *session) tasks() {
	s.sim.leader.state.View().Tasks(func(task *controlstate.Task) bool {
		fmt.Fprintf(s.out, "%v %v", task.ID, task.State)
		if w := s.sim.leader.state.Worker(task.Worker); w != nil {
			fmt.Fprintf(s.out, " on %s in %s", w.Name, w.Zone)
		}
		if task.Evictions > 0 {
			fmt.Fprintf(s.out, ", evicted %d times, checkpoint %d", task.Evictions, task.Checkpoint)
		}
		fmt.Fprintln(s.out)
		return true
	})
}

func number(t *testing.T, word string) int {
	n, err := strconv.Atoi(word)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
