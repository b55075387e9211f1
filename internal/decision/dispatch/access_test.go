package dispatch

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/rogpeppe/go-internal/txtar"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/account"
)

// TestAccess guards against requests that are answered without a key of a client account, for another account's job or by an older
// configuration, and against a valid key that is refused. It runs the scripts in testdata/access.txtar.
func TestAccess(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/access.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			disk := newDisk(sim)
			sim.addWorkers(4)
			sim.run(3 * time.Second)
			for line := range strings.Lines(string(file.Data)) {
				command, want, _ := strings.Cut(line, "->")
				if words := strings.Fields(command); len(words) > 0 {
					if got := sim.runAccess(disk, words); got != strings.TrimSpace(want) {
						t.Errorf("%s: %q, expected %s", strings.TrimSpace(command), got, want)
					}
				}
			}
		})
	}
}

// runAccess executes a command of a script and returns its output.
func (sim *simulation) runAccess(d *disk, words []string) string {
	sim.t.Helper()
	switch words[0] {
	case "wait": // wait DURATION
		duration, err := time.ParseDuration(words[1])
		if err != nil {
			sim.t.Fatal(err)
		}
		sim.run(duration)
		return ""
	case "leader":
		sim.changeLeader()
		sim.awaitEpoch()
		return ""
	case "snapshot":
		sim.restore(sim.state.Snapshot())
		sim.changeLeader()
		sim.awaitEpoch()
		return ""
	case "restart":
		sim.restartControllersByReplay(d)
		sim.awaitEpoch()
		return ""
	case "state": // state ID
		return strings.ToLower(strings.TrimPrefix(sim.stateOf(words[1]).String(), "WORK_"))
	case "send": // send REQUEST...
		sim.request(accessRequest(sim.t, words[1:]))
		return ""
	}
	reply := sim.serve(accessRequest(sim.t, words))
	switch {
	case reply.GetResult().GetCode() != controlpb.ResultCode_RESULT_OK:
		return strings.ToLower(strings.TrimPrefix(reply.GetResult().GetCode().String(), "RESULT_"))
	case words[0] == "routing":
		return ""
	case words[0] == "submit" && !slices.Contains(words, "short"):
		sim.run(300 * time.Millisecond) // until its task runs
	}
	return strings.ToLower(strings.TrimPrefix(reply.GetWork().GetOutcome().String(), "WORK_"))
}

// accessRequest parses a request of a script.
func accessRequest(t *testing.T, words []string) *controlpb.WorkRequest {
	t.Helper()
	switch words[0] {
	case "routing": // routing VERSION [earlier] [ACCOUNT=KEY,...]... [open=QUEUE]...
		return routingWithAccounts(t, words[1:])
	case "earlier-entry": // earlier-entry QUEUE ID
		request := readOf(words[1], words[2], "-")
		request.GetCaller().ReadsKey = false
		return request
	case "read": // read KEY QUEUE ID
		return readOf(words[2], words[3], words[1])
	case "pending": // pending KEY QUEUE
		return readOf(words[2], "", words[1])
	case "cancel": // cancel KEY QUEUE ID
		return withKey(cancellationOf(words[2], words[3]), words[1])
	case "submit": // submit KEY QUEUE ID [short]
		runtime := time.Hour
		if len(words) > 4 {
			runtime = 300 * time.Millisecond
		}
		return withKey(submission(words[2], words[3], dedicated(1, runtime)), words[1])
	}
	t.Fatalf("command %q is unknown", words[0])
	return nil
}

func readOf(queue, id, key string) *controlpb.WorkRequest {
	return withKey(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Caller{Caller: &controlpb.CallerWork{
		Verb: controlpb.CallerVerb_VERB_READ, Host: "h", Path: "/" + queue + "/" + id,
	}}}, key)
}

// withKey adds a key to a caller's request; "-" stands for none.
func withKey(request *controlpb.WorkRequest, key string) *controlpb.WorkRequest {
	caller := request.GetCaller()
	if caller.ReadsKey = true; key != "-" {
		caller.KeyDigest = account.Digest(key)
	}
	return request
}

func routingWithAccounts(t *testing.T, words []string) *controlpb.WorkRequest {
	t.Helper()
	version, err := strconv.ParseUint(words[0], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	routing := &controlpb.Routing{Version: version, Document: []byte("{}"), Pools: []*controlpb.WorkPool{{Name: "pool"}}, ReadsAccounts: true}
	for _, name := range []string{"urgent", "batch", "advised"} {
		routing.Queues = append(routing.Queues, &controlpb.WorkQueue{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", MaxAttempts: 3, Pool: "pool", Stretch: 2, Open: slices.Contains(words, "open="+name),
		})
	}
	for _, word := range words[1:] {
		name, keys, _ := strings.Cut(word, "=")
		if word == "earlier" {
			routing.ReadsAccounts = false
			continue
		}
		routing.HasAccounts = true
		if name == "open" {
			continue
		}
		holder := &controlpb.ClientAccount{Name: name}
		for key := range strings.SplitSeq(keys, ",") {
			if key != "" {
				holder.KeyDigests = append(holder.KeyDigests, account.Digest(key))
			}
		}
		routing.Accounts = append(routing.Accounts, holder)
	}
	return &controlpb.WorkRequest{Kind: &controlpb.WorkRequest_ReplaceRouting{ReplaceRouting: routing}}
}

// TestFloodOfUnknownKeys guards against a log that a caller without a key fills, and against lines that hold a key, its digest or an
// unbounded path.
func TestFloodOfUnknownKeys(t *testing.T) {
	sim := newSimulation(t, 1)
	counts := map[string]int{}
	var lines []string
	sim.dispatcher.config.Count = func(name string) { counts[name]++ }
	sim.dispatcher.config.Log = funcr.NewJSON(func(line string) {
		if strings.Contains(line, "not authenticated") {
			lines = append(lines, line)
		}
	}, funcr.Options{})
	sim.run(50 * time.Millisecond)
	sim.serve(routingWithAccounts(t, []string{"1", "lumen=k1"}))
	const seconds, perSecond = 5, 2000
	long := strings.Repeat("x", 4096)
	for range seconds {
		for i := range perSecond {
			sim.serve(readOf("urgent", long, "secret-"+strconv.Itoa(i)))
			sim.serve(readOf("urgent", "a", "-"))
		}
		sim.run(time.Second)
	}
	if most := (seconds + 1) * maxUnauthenticatedLines; len(lines) == 0 || len(lines) > most {
		t.Errorf("%d lines, expected 1 to %d", len(lines), most)
	}
	size := 0
	for _, line := range lines {
		size += len(line)
		if strings.Contains(line, "secret") {
			t.Errorf("a line holds a key: %s", line)
		}
	}
	if most := 400 * len(lines); size > most {
		t.Errorf("%d bytes in %d lines, expected at most %d", size, len(lines), most)
	}
	if counts["RequestsUnauthenticated.UnknownKey"] != seconds*perSecond || counts["RequestsUnauthenticated.MissingKey"] != seconds*perSecond {
		t.Errorf("counted %v, expected %d of both kinds", counts, seconds*perSecond)
	}
	if last := lines[len(lines)-1]; !strings.Contains(last, `"Omitted":`) {
		t.Errorf("no line tells how many were left out: %s", last)
	}
	sim.run(time.Second)
	lines = nil
	sim.serve(readOf("urgent", "b", "-"))
	if len(lines) != 1 || !strings.Contains(lines[0], `"Job":"b"`) {
		t.Errorf("lines after the flood: %v", lines)
	}
}

// BenchmarkRead measures a caller's request to read a job, with and without client accounts.
func BenchmarkRead(b *testing.B) {
	for name, words := range map[string][]string{"accounts=0": {"1"}, "accounts=2000": {"1"}} {
		b.Run(name, func(b *testing.B) {
			sim := newSimulation(&testing.T{}, 1)
			sim.run(50 * time.Millisecond)
			if name != "accounts=0" {
				for i := range 2000 {
					words = append(words, "account-"+strconv.Itoa(i)+"=key-"+strconv.Itoa(i))
				}
			}
			sim.serve(routingWithAccounts(&testing.T{}, words))
			request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: readOf("urgent", "a", "key-77")}}
			b.ReportAllocs()
			for b.Loop() {
				sim.dispatcher.Serve(sim.now, request)
			}
		})
	}
}
