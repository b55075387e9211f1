package replica

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/consensus"
)

var update = flag.Bool("update", false, "rewrite the expected logs in testdata/sessions")

// leader returns the daemon whose lease is valid, or nil.
func (w *simCluster) leader() *simDaemon {
	for _, d := range w.sorted() {
		if d.core != nil && d.core.Status().Role == consensus.Leader && d.core.node.LeaseValid(w.now) {
			return d
		}
	}
	return nil
}

// isolate partitions a daemon from all others, or ends the partition.
func (w *simCluster) isolate(d *simDaemon, isolated bool) {
	for _, other := range w.sorted() {
		if other != d {
			w.partitionedLinks[[2]string{d.name, other.name}] = isolated
			w.partitionedLinks[[2]string{other.name, d.name}] = isolated
		}
	}
}

// replaceMember replaces the member of a daemon that lost its disk: the new replica is added as a learner, promoted if the
// old one was a voter, and the old one is removed. It repeats the steps until the membership is as intended.
func (w *simCluster) replaceMember(d *simDaemon) {
	leader := w.leader()
	if leader != nil {
		admitted, promoted, old := false, d.learner, uint64(0)
		for _, member := range leader.core.Membership().GetMembers() {
			admitted = admitted || member.GetId() == d.id
			promoted = promoted || member.GetId() == d.id && member.GetVoter()
			if member.GetHost() == d.name && member.GetId() != d.id {
				old = member.GetId()
			}
		}
		var next *operation
		switch {
		case !admitted:
			next = membership(controlpb.MembershipChange_ADD_LEARNER, d, d.id)
		case !promoted:
			next = membership(controlpb.MembershipChange_PROMOTE, d, d.id)
		case old != 0:
			next = membership(controlpb.MembershipChange_REMOVE, d, old)
		default:
			delete(w.replacing, d.name)
			return
		}
		w.submitTo(leader, next, func(*controlpb.Result, string) {}, false)
	}
	w.schedule(500*time.Millisecond, func() { w.replaceMember(d) })
}

// loseDisk wipes a daemon's disk, starts it as a new replica and replaces its member.
func (w *simCluster) loseDisk(d *simDaemon) {
	w.wipeDisk(d)
	w.boot(d, nil)
	if !w.replacing[d.name] {
		w.replacing[d.name] = true
		w.replaceMember(d)
	}
}

// chaos runs a cluster under random faults while operators submit conflicting configurations, then heals it.
func chaos(seed uint64, injections ...bugInjection) *simCluster {
	w := newSimCluster(seed, 3+2*int(seed%2), int(seed%3))
	for _, inject := range injections {
		inject(w)
	}
	r := w.random
	w.run(2 * time.Second)
	for round := range 40 {
		all := w.sorted()
		d := all[r.IntN(len(all))]
		switch r.IntN(12) {
		case 0, 1:
			if d.core != nil {
				w.crash(d)
			}
		case 2, 3:
			for _, down := range all {
				w.revive(down)
			}
		case 4:
			// A second disk is lost only after the first was replaced; otherwise a majority could be lost permanently.
			if len(w.replacing) == 0 {
				w.loseDisk(d)
			}
		case 5:
			w.isolate(d, true)
		case 6:
			clear(w.partitionedLinks)
		case 7:
			w.partitionedLinks[[2]string{d.name, all[r.IntN(len(all))].name}] = true
		case 8:
			w.lossRate = r.Float64() * 0.3
		case 9:
			w.lossRate, w.extraSyncDelay = 0, 0
		case 11:
			w.extraSyncDelay = time.Duration(r.IntN(200)) * time.Millisecond
		case 10:
			if leader := w.leader(); leader != nil && leader.core.TransferLeadership(w.now) {
				w.processOutputs(leader)
			}
		}
		base := w.oracle.newest()
		for operator := range 1 + r.IntN(3) {
			w.submit(configure(fmt.Sprintf("k%d-%d", round, operator), all[r.IntN(len(all))].name, base))
		}
		w.run(time.Duration(r.IntN(1500)) * time.Millisecond)
	}
	w.heal()
	return w
}

// revive starts a daemon that is down, a learner as a new replica.
func (w *simCluster) revive(d *simDaemon) {
	switch {
	case d.core != nil:
	case d.learner:
		w.loseDisk(d)
	default:
		w.boot(d, nil)
	}
}

// heal ends all faults, waits, sends every request again and checks that all daemons reach the newest configuration.
func (w *simCluster) heal() {
	w.lossRate, w.extraSyncDelay = 0, 0
	clear(w.partitionedLinks)
	for _, d := range w.sorted() {
		w.revive(d)
	}
	w.run(20 * time.Second)
	for _, key := range slices.Sorted(maps.Keys(w.operations)) {
		o := w.operations[key]
		if o.answer == nil {
			w.oracle.violation("%s was never answered", o.key)
		}
		w.submit(o)
	}
	w.run(5 * time.Second)
	last := configure("last", w.sorted()[0].name, w.oracle.newest())
	w.submit(last)
	w.run(3 * time.Second)
	if last.answer.GetCode() != controlpb.ResultCode_RESULT_OK {
		w.oracle.violation("after healing, a configuration was answered %v", last.answer)
	}
	newest := w.oracle.newest()
	for _, d := range w.sorted() {
		if d.core == nil {
			w.oracle.violation("after healing, %s did not start", d.name)
			continue
		}
		if !d.core.Fresh(w.now) || d.core.View().Version != newest {
			w.oracle.violation("after healing, %s (%+v) is fresh: %v, with version %d; want %d", d.name, d.core.Status(),
				d.core.Fresh(w.now), d.core.View().Version, newest)
		}
	}
}

// TestChaos checks that crashes, restarts, lost disks, partitions, lost messages and concurrent operators together neither
// let two requests win one version, give one key two answers, or leave a fresh daemon with an old configuration, nor keep the
// cluster from making progress once they end.
func TestChaos(t *testing.T) {
	seeds := uint64(60)
	if testing.Short() {
		seeds = 6
	}
	accepted, compactions, installs := 0, 0, 0
	for seed := range seeds {
		w := chaos(seed)
		accepted += len(w.oracle.winners)
		compactions += w.compactions
		installs += w.installedSnapshots
		if len(w.oracle.violations) > 0 {
			t.Errorf("seed %d: %d faults, the first: %s", seed, len(w.oracle.violations), w.oracle.violations[0])
		}
	}
	t.Logf("%d configurations accepted, %d snapshots taken, %d received", accepted, compactions, installs)
	if accepted < 10*int(seeds) || compactions < int(seeds) || installs == 0 {
		t.Errorf("%d configurations accepted, %d snapshots taken and %d received with %d seeds: too few for a meaningful test",
			accepted, compactions, installs, seeds)
	}
}

// TestLargeEntriesAreCompacted guards against large entries that fill the memory of a daemon because snapshots depend only on
// the number of entries.
func TestLargeEntriesAreCompacted(t *testing.T) {
	w := newSimCluster(1, 1, 0)
	d := w.daemons["a"]
	w.run(time.Second)
	w.crash(d)
	w.compactAfter = DefaultCompactAfter
	w.boot(d, nil)
	w.run(2 * time.Second)
	for n := range uint64(200) {
		o := configure(fmt.Sprint("k", n), "a", n)
		text := &o.request.GetCommand().GetApplyConfiguration().Rules
		*text += strings.Repeat("# a comment that makes the configuration large\n", 2000)
		w.submit(o)
		w.run(100 * time.Millisecond)
		if o.answer.GetCode() != controlpb.ResultCode_RESULT_OK {
			t.Fatalf("entry %d: %v", n, o.answer)
		}
	}
	status := d.core.Status()
	if w.compactions < 2 || status.LastIndex-status.FirstIndex > 100 {
		t.Errorf("%d snapshots; %d entries of 100 KB are in memory", w.compactions, status.LastIndex-status.FirstIndex)
	}
}

// bugInjection injects a fault into a simulated cluster.
type bugInjection func(*simCluster)

// TestOracleDetectsInjectedFaults checks that the oracle detects violations of the kinds that TestChaos guards against.
func TestOracleDetectsInjectedFaults(t *testing.T) {
	bugs := map[string]bugInjection{
		"a disk that loses synced entries":            func(w *simCluster) { w.losesSyncs = true },
		"a stale daemon that reports itself as fresh": func(w *simCluster) { w.staleAfter = time.Hour },
	}
	for name, inject := range bugs {
		detected := 0
		for seed := range uint64(20) {
			detected += min(1, len(chaos(seed, inject).oracle.violations))
		}
		if detected == 0 {
			t.Errorf("%s was not detected with any of 20 seeds", name)
		}
		t.Logf("%s: detected with %d of 20 seeds", name, detected)
	}
}

// TestWipedVoterCannotVote guards against a voter that lost its disk and votes under its old identity: together with a voter
// that was partitioned, it could elect a leader that lacks an accepted configuration. The case with the same identity checks
// that the oracle detects this.
func TestWipedVoterCannotVote(t *testing.T) {
	for _, sameIdentity := range []bool{false, true} {
		w := newSimCluster(5, 3, 0)
		w.sameIdentity = sameIdentity
		w.run(2 * time.Second)
		leader := w.leader()
		partitioned, wiped := w.daemons["a"], w.daemons["b"]
		if partitioned == leader {
			partitioned = w.daemons["c"]
		}
		if wiped == leader {
			wiped = w.daemons["c"]
		}
		w.isolate(partitioned, true)
		first, second := configure("first", leader.name, 0), configure("second", partitioned.name, 0)
		w.submit(first)
		w.run(time.Second)
		w.crash(leader)
		w.wipeDisk(wiped)
		w.boot(wiped, nil)
		clear(w.partitionedLinks)
		w.run(2 * time.Second)
		w.submit(second)
		w.run(5 * time.Second)
		if lost := len(w.oracle.violations) > 0; first.answer == nil || lost != sameIdentity || (second.answer != nil) != sameIdentity {
			t.Errorf("same identity: %v: answers %v and %v, faults %q", sameIdentity, first.answer, second.answer, w.oracle.violations)
		}
	}
}

// TestCoreIsDeterministic checks that a seed always gives the same history, so that failures can be replayed.
func TestCoreIsDeterministic(t *testing.T) {
	first, second := chaos(4), chaos(4)
	a, b := fmt.Sprint(first.oracle.accepted, first.nextSequence), fmt.Sprint(second.oracle.accepted, second.nextSequence)
	if a != b {
		t.Errorf("two runs of one seed differ:\n%s\n%s", a, b)
	}
}

// FuzzChaos searches for seeds for which the oracle finds violations.
func FuzzChaos(f *testing.F) {
	f.Add(uint64(1000))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if w := chaos(seed); len(w.oracle.violations) > 0 {
			t.Errorf("%d faults, the first: %s", len(w.oracle.violations), w.oracle.violations[0])
		}
	})
}

// TestSessions guards against changes in what operators see during an incident: it compares scripted incidents with golden
// logs. Run with -update to rewrite the logs, and review the changes.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/sessions/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no sessions: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got, w := runScript(t, string(archive.Files[0].Data))
			if len(w.oracle.violations) > 0 {
				t.Errorf("%s", strings.Join(w.oracle.violations, "\n"))
			}
			if *update {
				archive.Files[1].Data = got
				if err := os.WriteFile(file, txtar.Format(archive), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			if want := archive.Files[1].Data; !bytes.Equal(got, want) {
				t.Errorf("got:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

// runScript runs a script and returns its log.
func runScript(t *testing.T, script string) ([]byte, *simCluster) {
	t.Helper()
	var w *simCluster
	log := &bytes.Buffer{}
	for line := range strings.Lines(script) {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		fmt.Fprint(log, "> ", line)
		if words[0] == "cluster" {
			w = newSimCluster(parseNumber(t, words[3]), int(parseNumber(t, words[1])), int(parseNumber(t, words[2])))
			continue
		}
		runScriptLine(t, w, log, words)
	}
	return log.Bytes(), w
}

func parseNumber(t *testing.T, word string) uint64 {
	t.Helper()
	n, err := strconv.ParseUint(word, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// daemonNamed returns a daemon by name. "leader" is the current leader, "follower" the first other voter that is up.
func (w *simCluster) daemonNamed(t *testing.T, name string) *simDaemon {
	t.Helper()
	leader := w.leader()
	for _, d := range w.sorted() {
		if d.name == name || name == "leader" && d == leader || name == "follower" && d != leader && d.core != nil && !d.learner {
			return d
		}
	}
	t.Fatalf("no daemon %s", name)
	return nil
}

func runScriptLine(t *testing.T, w *simCluster, log *bytes.Buffer, words []string) {
	t.Helper()
	switch words[0] {
	case "run":
		length, err := time.ParseDuration(words[1])
		if err != nil {
			t.Fatal(err)
		}
		w.run(length)
	case "apply": // KEY DAEMON BASE
		w.submit(configure(words[1], w.daemonNamed(t, words[2]).name, parseNumber(t, words[3])))
	case "answer":
		for _, key := range words[1:] {
			if o := w.operations[key]; o.answer != nil {
				fmt.Fprintf(log, "%s: %s, version %d\n", key, o.answer.GetCode(), o.answer.GetVersion())
			} else {
				fmt.Fprintf(log, "%s: no answer\n", key)
			}
		}
	case "crash":
		w.crash(w.daemonNamed(t, words[1]))
	case "restart":
		for _, d := range w.sorted() {
			w.revive(d)
		}
	case "lose":
		w.loseDisk(w.daemonNamed(t, words[1]))
	case "cut":
		w.isolate(w.daemonNamed(t, words[1]), true)
	case "heal":
		clear(w.partitionedLinks)
	case "show":
		voters, fresh, stale, down := 0, map[string]int{}, 0, 0
		for _, d := range w.sorted() {
			switch {
			case d.core == nil:
				down++
			case !d.core.Fresh(w.now):
				stale++
			default:
				fresh[fmt.Sprintf("version %d", d.core.View().Version)]++
			}
			if d.core != nil && d.core.Status().Voter {
				voters++
			}
		}
		fmt.Fprintf(log, "leader: %v, voters up: %d, fresh: %v, stale: %d, down: %d\n", w.leader() != nil, voters, fresh, stale, down)
	default:
		t.Fatalf("unknown line %q", words)
	}
}
