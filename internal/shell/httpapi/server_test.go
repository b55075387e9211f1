package httpapi_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/txtar"
	"google.golang.org/protobuf/encoding/protojson"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/burn"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/shell/httpapi"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var testTime = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// fakeControl is a fake Control and Reporter. It applies commands to a real control state and records all requests.
type fakeControl struct {
	state    *controlstate.State
	index    uint64
	requests []string
	reply    *controlpb.LeaderReply // to requests other than commands
}

func (c *fakeControl) Submit(_ context.Context, request *controlpb.LeaderRequest) *controlpb.LeaderReply {
	text := protojson.Format(request)
	c.requests = append(c.requests, strings.Join(strings.Fields(text), " "))
	command := request.GetCommand()
	if command == nil {
		return c.reply
	}
	command.Time = testTime.UnixNano()
	c.index++
	return &controlpb.LeaderReply{Result: c.state.Apply(c.index, command)}
}

func (c *fakeControl) View() *controlstate.View { return c.state.View() }

func (c *fakeControl) Status() httpapi.DaemonStatus {
	return httpapi.DaemonStatus{Host: "entry-1", Reason: "stale", Term: 3, Leader: "entry-2", Age: 5 * time.Second}
}

func (c *fakeControl) Report(context.Context) *burn.Report {
	return burn.New().Report(testTime, c.state.View().Rules, nil)
}

// TestSessions sends the requests of each data file and compares the responses with the golden ones. It guards against
// malformed input that is accepted, partially applied, or rejected without saying what was expected.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no data files: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) { runSession(t, file) })
	}
}

func runSession(t *testing.T, file string) {
	archive, err := txtar.ParseFile(file)
	if err != nil {
		t.Fatal(err)
	}
	control := &fakeControl{state: controlstate.New(), reply: &controlpb.LeaderReply{Result: &controlpb.Result{}}}
	handler := httpapi.New(control, control, clockwork.NewFakeClockAt(testTime)).Handler()
	for i, f := range archive.Files {
		if !strings.HasPrefix(f.Name, "answer") {
			continue
		}
		got := send(handler.ServeHTTP, string(archive.Files[i-1].Data), &control.requests)
		if *update {
			archive.Files[i].Data = []byte(got)
			continue
		}
		if got != string(f.Data) {
			t.Errorf("%s:\n%s\nwant:\n%s", archive.Files[i-1].Name, got, f.Data)
		}
	}
	if *update {
		if err := os.WriteFile(file, txtar.Format(archive), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// send sends a request of the form "METHOD PATH\nBODY". It returns the status and the body of the response, and the
// requests to the leader.
func send(serve func(w http.ResponseWriter, r *http.Request), text string, requests *[]string) string {
	line, body, _ := strings.Cut(text, "\n")
	method, path, _ := strings.Cut(line, " ")
	// "SIZE n" stands for a body of n bytes, which is too long for a data file.
	var size int
	if n, _ := fmt.Sscanf(body, "SIZE %d", &size); n == 1 {
		body = `{"RequestKey":"` + strings.Repeat("a", size) + `"}`
	}
	request := httptest.NewRequest(method, path, strings.NewReader(strings.TrimSpace(body)))
	request.Header.Set("Content-Type", "application/json")
	recorder := httptest.NewRecorder()
	*requests = nil
	serve(recorder, request)
	result := fmt.Sprintf("%d %s\n", recorder.Code, strings.TrimSpace(recorder.Body.String()))
	for _, leaderRequest := range *requests {
		result += "leader: " + strings.ReplaceAll(leaderRequest, ": ", ":") + "\n"
	}
	return result
}
