package controlstate_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
)

var update = flag.Bool("update", false, "rewrite the golden transcripts")

// TestSessions compares the results of valid and invalid commands, and their effect on tasks, with golden transcripts. A
// line of a session is a command in protobuf text format, "configure BASE INVENTORY RULES", "advance DURATION" or "tasks".
// Before each line, the state is restored from its own snapshot, so that an incomplete snapshot changes a transcript.
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
			s := &session{t: t, now: time.Unix(1_800_000_000, 0), state: controlstate.New(), files: map[string]string{}}
			for _, f := range archive.Files {
				s.files[f.Name] = string(f.Data)
			}
			for _, line := range strings.Split(strings.TrimSpace(s.files["session"]), "\n") {
				fmt.Fprintf(&s.out, "> %s\n", line)
				s.restore()
				s.run(line)
			}
			last := &archive.Files[len(archive.Files)-1]
			if *update {
				last.Data = []byte(s.out.String())
				if err := os.WriteFile(file, txtar.Format(archive), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			if s.out.String() != string(last.Data) {
				t.Errorf("transcript differs; got:\n%s", s.out.String())
			}
		})
	}
}

// session executes the lines of a session and writes a transcript.
type session struct {
	t     *testing.T
	now   time.Time
	state *controlstate.State
	files map[string]string
	out   strings.Builder
}

func (s *session) restore() {
	snapshot := s.state.Snapshot()
	s.state = controlstate.New()
	if err := s.state.Restore(snapshot); err != nil {
		s.t.Fatal(err)
	}
	if string(s.state.Snapshot()) != string(snapshot) {
		s.t.Error("the snapshot of a restored state differs from the one it was restored from")
	}
}

func (s *session) run(line string) {
	words := strings.Fields(line)
	c := &controlpb.Command{}
	switch words[0] {
	case "advance":
		d, err := time.ParseDuration(words[1])
		if err != nil {
			s.t.Fatal(err)
		}
		s.now = s.now.Add(d)
		return
	case "tasks":
		s.tasks()
		return
	case "configure":
		base := uint64(0)
		fmt.Sscan(words[1], &base)
		c.Kind = &controlpb.Command_ApplyConfiguration{ApplyConfiguration: &controlpb.ApplyConfiguration{
			RequestKey: line, BaseVersion: base, Inventory: s.files[words[2]], Rules: s.files[words[3]],
		}}
	default:
		if err := prototext.Unmarshal([]byte(line), c); err != nil {
			s.t.Fatalf("%s: %v", line, err)
		}
	}
	c.Time = s.now.UnixNano()
	r := s.state.Apply(1, c)
	fmt.Fprintf(&s.out, "%v version %d fence %d", r.GetCode(), r.GetVersion(), r.GetFence())
	if r.GetMessage() != "" {
		fmt.Fprintf(&s.out, ": %s", strings.ReplaceAll(r.GetMessage(), "\n", "; "))
	}
	fmt.Fprintln(&s.out)
}

func (s *session) tasks() {
	view := s.state.View()
	view.Tasks(func(task *controlstate.Task) bool {
		fmt.Fprintf(&s.out, "%v %v %v on %q, fence %d, checkpoint %d, %s\n",
			task.ID, task.State, task.Reason, task.Worker, task.Fence, task.Checkpoint, task.Why)
		return true
	})
	view.Workers(func(w *controlstate.Worker) bool {
		fmt.Fprintf(&s.out, "%s: %d tasks use %v of %v, lost %v, listed %v\n", w.Name, w.Tasks, w.Used, w.Limit, w.Lost, w.Listed)
		return true
	})
	for service, endpoints := range view.Services {
		for _, e := range endpoints {
			fmt.Fprintf(&s.out, "%s %s: %d slots, leaving %v, grants %v\n", service, e.Name, e.Slots, e.Leaving, e.Grants)
		}
	}
}

// TestRestoreRefuses checks that a snapshot of another format or a truncated one is refused and leaves the state unchanged.
func TestRestoreRefuses(t *testing.T) {
	newer, err := proto.Marshal(&controlpb.StateSnapshot{Format: controlstate.SnapshotFormat + 1, Version: 9})
	if err != nil {
		t.Fatal(err)
	}
	state := controlstate.New()
	err = state.Restore(newer)
	if err == nil || !strings.Contains(err.Error(), "format 2; this version reads format 1") {
		t.Errorf("newer format: %v", err)
	}
	if err := state.Restore([]byte{0xff, 0xff}); err == nil {
		t.Error("a truncated snapshot was restored")
	}
	if state.Version() != 0 || !state.TakeChanges().Empty() {
		t.Error("a refused snapshot changed the state")
	}
}

// TestViewIsImmutable checks that later commands do not modify a view, and that a view is rebuilt only after a change.
func TestViewIsImmutable(t *testing.T) {
	b := size{50, 100}.load(t)
	view := b.state.View()
	if b.state.View() != view {
		t.Error("a new view was built although nothing changed")
	}
	id := controlstate.TaskID{Job: "batch-job-000007"}
	before := *view.Task(id)
	b.apply(t, b.stop(id.String(), before.Fence))
	if *view.Task(id) != before {
		t.Error("a later command modified a view")
	}
	if b.state.View().Task(id).State != controlpb.TaskState_STOPPING {
		t.Error("a view built after a command lacks its change")
	}
}
