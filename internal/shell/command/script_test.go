package command_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"galenamoor/internal/inifile"
	"galenamoor/internal/shell/command"
	"galenamoor/internal/standin/loopback"
	"galenamoor/pkg/operator"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"galenamoor": func() {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		os.Exit(command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
	}})
}

// TestScripts runs operators' command sessions against daemons in separate processes. It guards against commands that
// don't behave as the operators' pages describe.
func TestScripts(t *testing.T) {
	if testing.Short() {
		t.Skip("runs daemons")
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			examples, err := filepath.Abs("../../../examples")
			env.Setenv("EXAMPLES", examples)
			return err
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"settings":     writeSettings,
			"await":        awaitReady,
			"awaitmembers": awaitMembers,
			"awaitversion": awaitVersion,
			"awaitjob":     awaitJob,
		},
	})
}

// writeSettings implements "settings N". It writes settings files for N controllers, each with its own addresses. It sets
// GALENAMOOR_ADDRESS to all control addresses, and ADDRESS1, ADDRESS2 and so on to one each.
func writeSettings(ts *testscript.TestScript, _ bool, arguments []string) {
	n, err := strconv.Atoi(arguments[0])
	ts.Check(err)
	var control, peers, calls []netip.AddrPort
	for range n {
		host, err := loopback.New()
		ts.Check(err)
		control, peers, calls = append(control, host.Next()), append(peers, host.Next()), append(calls, host.Next())
	}
	var all []string
	for i := range n {
		host := fmt.Sprintf("entry-%d", i+1)
		w := &inifile.Writer{}
		w.Section("Daemon", "")
		w.Key("Host", host)
		w.Key("Zone", "swakop")
		w.Key("DataFolder", ts.MkAbs("data-"+host))
		w.Key("DrainDelay", "100ms")
		w.Section("Listen", "")
		w.Key("Calls", calls[i])
		w.Key("Control", control[i])
		w.Key("Peers", peers[i])
		for k := range n {
			w.Section("Peer", fmt.Sprintf("entry-%d", k+1))
			w.Key("Address", peers[k])
			w.Key("Controller", true)
		}
		ts.Check(os.WriteFile(ts.MkAbs(host+".ini"), []byte(w.String()), 0o644))
		ts.Setenv(fmt.Sprintf("ADDRESS%d", i+1), control[i].String())
		all = append(all, control[i].String())
	}
	ts.Setenv("GALENAMOOR_ADDRESS", strings.Join(all, ","))
}

// waitTimeout is the timeout of each wait in a script. The scripts check no other durations.
const waitTimeout = 60 * time.Second

// awaitReady implements "await $ADDRESS1 $ADDRESS2". It waits until the daemons at the addresses are ready.
func awaitReady(ts *testscript.TestScript, _ bool, arguments []string) {
	for _, text := range arguments {
		client := operator.New(netip.MustParseAddrPort(text))
		waitFor(ts, "daemon at "+text+" is not ready", func(ctx context.Context) bool {
			status, err := client.Status(ctx)
			return err == nil && status.Ready
		})
	}
}

// awaitMembers implements "awaitmembers $ADDRESS1 4". It waits until the daemon at the address reports that the cluster
// has that many members.
func awaitMembers(ts *testscript.TestScript, _ bool, arguments []string) {
	client := operator.New(netip.MustParseAddrPort(arguments[0]))
	waitFor(ts, "the cluster doesn't have "+arguments[1]+" members", func(ctx context.Context) bool {
		members, err := client.Members(ctx)
		return err == nil && strconv.Itoa(len(members.Members)) == arguments[1]
	})
}

// awaitVersion implements "awaitversion 3 $ADDRESS1 $ADDRESS2". It waits until this or a later configuration version is
// active at the daemons.
func awaitVersion(ts *testscript.TestScript, _ bool, arguments []string) {
	version, err := strconv.ParseUint(arguments[0], 10, 64)
	ts.Check(err)
	for _, text := range arguments[1:] {
		client := operator.New(netip.MustParseAddrPort(text))
		waitFor(ts, "version "+arguments[0]+" is not in force at "+text, func(ctx context.Context) bool {
			status, err := client.Status(ctx)
			return err == nil && status.Version >= version
		})
	}
}

// awaitJob implements "awaitjob audit-7 Waiting $ADDRESS1". It waits until the daemons report the job in that state.
func awaitJob(ts *testscript.TestScript, _ bool, arguments []string) {
	for _, text := range arguments[2:] {
		client := operator.New(netip.MustParseAddrPort(text))
		waitFor(ts, "job "+arguments[0]+" is not "+arguments[1]+" at "+text, func(ctx context.Context) bool {
			explanation, err := client.Explain(ctx, "job", arguments[0])
			return err == nil && explanation.State == arguments[1]
		})
	}
}

// waitFor waits until the condition holds. If it doesn't within the timeout, the script fails with the failure text.
func waitFor(ts *testscript.TestScript, failure string, condition func(context.Context) bool) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for !condition(ctx) {
		if ctx.Err() != nil {
			ts.Fatalf("%s after %v", failure, waitTimeout)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestPages checks that the scripts run every command on the operators' pages. It guards against pages with commands that
// no longer work.
func TestPages(t *testing.T) {
	pages, err := filepath.Glob("../../../docs/operations/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatalf("no pages: %v", err)
	}
	scripts := ""
	files, _ := filepath.Glob("testdata/script/*.txtar")
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		scripts += string(data)
	}
	commands := 0
	for _, page := range pages {
		data, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.SplitSeq(string(data), "\n") {
			text, ok := strings.CutPrefix(line, "    galenamoor ")
			if !ok {
				continue
			}
			commands++
			if !strings.Contains(scripts, "exec galenamoor "+text+"\n") && !strings.Contains(scripts, "exec galenamoor "+text+" &") {
				t.Errorf("%s: no script runs 'galenamoor %s'", filepath.Base(page), text)
			}
		}
	}
	if commands == 0 {
		t.Error("the pages contain no commands")
	}
}
