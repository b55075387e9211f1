package workload

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// TestSessions guards against wrong transitions of the state and against state that a snapshot omits. It runs the scripts in
// testdata, each a sequence of changes and queries, one per line, and restores the state from an encoded snapshot after each
// line.
func TestSessions(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts in testdata: %v", err)
	}
	for _, path := range paths {
		archive, err := txtar.ParseFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range archive.Files {
			t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar")+"/"+file.Name, func(t *testing.T) {
				runScript(t, string(file.Data))
			})
		}
	}
}

func runScript(t *testing.T, text string) {
	s := &session{t: t, state: New(), now: time.Unix(1_000_000, 0)}
	for number, line := range strings.Split(text, "\n") {
		command, want, _ := strings.Cut(line, "->")
		words := strings.Fields(command)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		got := s.run(words)
		if want = strings.TrimSpace(want); got != want {
			t.Errorf("line %d: %s: %q, expected %q", number+1, strings.TrimSpace(command), got, want)
		}
		s.restoreSnapshot()
	}
}

type session struct {
	t     *testing.T
	state *State
	now   time.Time
}

// restoreSnapshot replaces the state by one that is restored from its encoded snapshot.
func (s *session) restoreSnapshot() {
	s.t.Helper()
	encoded, err := proto.Marshal(s.state.Snapshot())
	if err != nil {
		s.t.Fatal(err)
	}
	decoded := &controlpb.WorkSnapshot{}
	if err := proto.Unmarshal(encoded, decoded); err != nil {
		s.t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(decoded); err != nil {
		s.t.Fatal(err)
	}
	restored.time = s.state.time
	s.state = restored
}

// run executes a command and returns its output, which is empty for an accepted change.
func (s *session) run(words []string) string {
	s.t.Helper()
	switch words[0] {
	case "wait":
		d, err := time.ParseDuration(words[1])
		if err != nil {
			s.t.Fatal(err)
		}
		s.now = s.now.Add(d)
		return ""
	case "state":
		state, _ := s.state.Lookup(words[1])
		return strings.ToLower(strings.TrimPrefix(state.String(), "WORK_"))
	case "task":
		return s.describeTask(s.state.Task(s.taskKey(words[1])))
	case "stopped": // stopped TASK
		task := s.state.Task(s.taskKey(words[1]))
		if task.StoppedOn == 0 {
			return "no"
		}
		return fmt.Sprintf("on %d, %v ago", task.StoppedOn, s.now.Sub(time.UnixMilli(task.StoppedMs)))
	case "worker":
		return s.describeWorker(words[1])
	case "match":
		queue, rest := s.state.Match(words[1], words[2])
		return strings.TrimSpace(queue.GetName() + " " + rest)
	case "pending":
		return strconv.FormatUint(s.state.CountQueued(words[1]), 10)
	case "wave": // wave NUMBER
		m := s.state.Maintenance(s.parseNumber(words[1]))
		return fmt.Sprintf("ordered %v begun %v complete %v", m.GetOrdered(), m.GetBegun(), IsWaveComplete(m))
	case "version":
		return strconv.FormatUint(s.state.Routing().GetVersion(), 10)
	}
	result := s.state.Apply(s.now, &controlpb.WorkBatch{Changes: []*controlpb.WorkChange{s.change(words)}}).GetResults()[0]
	if result.GetCode() != controlpb.ResultCode_RESULT_OK {
		return strings.ToLower(strings.TrimPrefix(result.GetCode().String(), "RESULT_"))
	}
	return ""
}

func (s *session) describeTask(task *Task) string {
	if task == nil {
		return "none"
	}
	var words []string
	if task.Done {
		words = append(words, "done")
	}
	for _, r := range task.Runs {
		words = append(words, fmt.Sprintf("run %d on %d", r.Number, r.Worker))
	}
	if task.Failures > 0 {
		words = append(words, fmt.Sprintf("failures %d", task.Failures))
	}
	if task.Crashes > 0 {
		words = append(words, fmt.Sprintf("crashes %d", task.Crashes))
	}
	if task.Suspicions > 0 {
		words = append(words, fmt.Sprintf("suspicions %d", task.Suspicions))
	}
	if task.Pauses > 0 {
		words = append(words, fmt.Sprintf("paused %d times for %v", task.Pauses, time.UnixMilli(task.PausedUntilMs).Sub(s.now)))
	}
	if task.Checkpoint != "" {
		words = append(words, "checkpoint "+task.Checkpoint)
	}
	if len(words) == 0 {
		return "waits"
	}
	return strings.Join(words, ", ")
}

func (s *session) describeWorker(id string) string {
	w := s.state.WorkerByID(id)
	if w == nil {
		return "none"
	}
	line := fmt.Sprintf("%d ends %d runs %d", w.GetNumber(), w.GetEndsSeen(), len(w.Runs))
	if w.GetLeaving() {
		line += " leaving"
	}
	if w.GetResumed() {
		line += " resumed"
	}
	if w.GetReusesId() {
		line += " reuses-id"
	}
	if record := w.GetWithheldLease(); record != nil {
		line += fmt.Sprintf(" withheld %dms", record.GetExpiresInMs())
	}
	return line
}

func (s *session) taskKey(name string) TaskKey {
	s.t.Helper()
	key, err := ParseTaskKey(name)
	if err != nil {
		s.t.Fatal(err)
	}
	return key
}

func (s *session) parseNumber(word string) uint64 {
	s.t.Helper()
	n, err := strconv.ParseUint(word, 10, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

// change parses a command that changes the state.
func (s *session) change(words []string) *controlpb.WorkChange {
	s.t.Helper()
	options := words[1:]
	has := func(option string) bool { return slices.Contains(options, option) }
	switch words[0] {
	case "route": // route VERSION QUEUE[:ATTEMPTS]...
		routing := &controlpb.Routing{Version: s.parseNumber(options[0]), Pools: []*controlpb.WorkPool{{Name: "pool"}}}
		for _, option := range options[1:] {
			name, attempts, isLimited := strings.Cut(option, ":")
			queue := &controlpb.WorkQueue{Name: name, Host: "h", PathPrefix: "/" + name + "/", MaxAttempts: 2, Pool: "pool"}
			if isLimited {
				queue.MaxAttempts = uint32(s.parseNumber(attempts))
			}
			routing.Queues = append(routing.Queues, queue)
		}
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_ReplaceRouting{ReplaceRouting: routing}}
	case "announce": // announce ID START-MS ADDRESS [leaving]
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_PutWorker{PutWorker: &controlpb.WorkerLife{
			Id: options[0], BornMs: int64(s.parseNumber(options[1])), Address: options[2], Pool: "pool", Zone: "z", Leaving: has("leaving"),
		}}}
	case "zone": // zone NAME out|in
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_SetZoneOut{SetZoneOut: &controlpb.SetZoneOut{Zone: options[0], Out: has("out")}}}
	case "lose", "crash": // lose|crash NUMBER [TASK [started] [isolated]]...
		end := &controlpb.EndLife{Number: uint32(s.parseNumber(options[0])), Crashed: words[0] == "crash"}
		for _, word := range options[1:] {
			switch word {
			case "started":
				end.Suspects[len(end.Suspects)-1].Started = true
			case "isolated":
				end.Suspects[len(end.Suspects)-1].Isolated = true
			default:
				end.Suspects = append(end.Suspects, &controlpb.CrashSuspect{Task: s.taskKey(word).Ref()})
			}
		}
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_EndLife{EndLife: end}}
	case "worked": // worked TASK
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_ForgetCrashes{ForgetCrashes: &controlpb.ForgetCrashes{Task: s.taskKey(options[0]).Ref()}}}
	case "submit": // submit ID QUEUE COUNT... [gang] [perpetual] [speculative]; each step depends on the one before
		job := &controlpb.WorkJob{Id: options[0], Queue: options[1]}
		for _, word := range options[2:] {
			count, err := strconv.ParseUint(word, 10, 32)
			if err != nil {
				break
			}
			step := &controlpb.WorkStep{Count: uint32(count), Gang: has("gang"), Perpetual: has("perpetual"), Speculative: has("speculative")}
			if n := len(job.Steps); n > 0 {
				step.After = []uint32{uint32(n - 1)}
			}
			job.Steps = append(job.Steps, step)
		}
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_Submit{Submit: job}}
	case "begin-wave": // begin-wave NUMBER HOST...
		wave := &controlpb.Maintenance{Wave: s.parseNumber(options[0]), Hosts: options[1:], MostAtOnce: 1}
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_BeginMaintenance{BeginMaintenance: wave}}
	case "order": // order WAVE HOST
		ordered := &controlpb.MaintenanceOrdered{Wave: s.parseNumber(options[0]), Host: options[1]}
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_MaintenanceOrdered{MaintenanceOrdered: ordered}}
	case "maintained": // maintained WAVE HOST
		maintained := &controlpb.HostMaintained{Wave: s.parseNumber(options[0]), Host: options[1]}
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_HostMaintained{HostMaintained: maintained}}
	case "withhold": // withhold WORKER REMAINING-MS
		withhold := &controlpb.WithholdLease{Worker: uint32(s.parseNumber(options[0])), ExpiresInMs: int64(s.parseNumber(options[1]))}
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_WithholdLease{WithholdLease: withhold}}
	case "resume": // resume WORKER
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_ResumeLease{ResumeLease: &controlpb.ResumeLease{Worker: uint32(s.parseNumber(options[0]))}}}
	case "cancel":
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_Cancel{Cancel: &controlpb.CancelWork{Id: options[0]}}}
	case "start": // start TASK RUN WORKER
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_StartRun{StartRun: &controlpb.StartRun{
			Task: s.taskKey(options[0]).Ref(), Run: uint32(s.parseNumber(options[1])), Worker: uint32(s.parseNumber(options[2])),
		}}}
	case "drop": // drop TASK RUN [expired]
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_DropRun{DropRun: &controlpb.DropRun{
			Task: s.taskKey(options[0]).Ref(), Run: uint32(s.parseNumber(options[1])), LeaseExpired: has("expired"),
		}}}
	case "end": // end WORKER NUMBER TASK RUN HOW [CHECKPOINT]
		how := controlpb.RunEnd(controlpb.RunEnd_value["RUN_"+strings.ToUpper(options[4])])
		end := &controlpb.EndedRun{Task: s.taskKey(options[2]).Ref(), Run: uint32(s.parseNumber(options[3])), How: how}
		if len(options) > 5 {
			end.Checkpoint = options[5]
		}
		return &controlpb.WorkChange{Kind: &controlpb.WorkChange_NoteEnds{NoteEnds: &controlpb.NoteEnds{
			Worker: uint32(s.parseNumber(options[0])), Through: s.parseNumber(options[1]), Ends: []*controlpb.EndedRun{end},
		}}}
	}
	s.t.Fatalf("command %q is unknown", words[0])
	return nil
}
