package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/consensus"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/decision/coordinator"
	"galenamoor/internal/shell/logstore"
	"galenamoor/internal/shell/transport"
	"galenamoor/pkg/inventory"
	"galenamoor/pkg/resource"
)

// testTimeout limits every wait of these tests. It is generous, because only a failing test reaches it.
const testTimeout = 30 * time.Second

// testDaemon is a Replica with a real store and transport.
type testDaemon struct {
	*Replica
	network *transport.Transport
	store   *failingStore
	folder  string
	stop    context.CancelFunc
	done    chan error
}

func (d *testDaemon) FetchAnswer(context.Context, *controlpb.FetchAnswerRequest) *controlpb.FetchAnswerReply {
	return &controlpb.FetchAnswerReply{}
}

func (d *testDaemon) Collect(context.Context) *controlpb.CollectReply {
	return &controlpb.CollectReply{}
}

// failingStore is a Store whose Save fails once fail is set.
type failingStore struct {
	Store
	fail atomic.Bool
}

func (s *failingStore) Save(batch logstore.Batch) error {
	if s.fail.Load() {
		return errors.New("no space left on device")
	}
	return s.Store.Save(batch)
}

// compactAfter is the number of entries after which the daemons of these tests take a snapshot.
const compactAfter = 40

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// prepare opens a daemon's transport, and its store if it has a folder.
func prepare(t testing.TB, name, folder string, address netip.AddrPort) (*testDaemon, *logstore.Recovered) {
	t.Helper()
	network, err := transport.New(transport.Options{Host: name, Listen: address, Log: logr.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	d := &testDaemon{network: network, folder: folder, done: make(chan error, 1)}
	if folder == "" {
		identity, err := logstore.RandomIdentity()
		if err != nil {
			t.Fatal(err)
		}
		d.store = &failingStore{Store: DiscardStore{}}
		return d, &logstore.Recovered{Identity: identity}
	}
	store, recovered, err := logstore.Open(folder, logstore.Options{})
	if err != nil {
		t.Fatal(err)
	}
	d.store = &failingStore{Store: store}
	return d, recovered
}

// run starts a prepared daemon.
func (d *testDaemon) run(t testing.TB, name string, recovered *logstore.Recovered, bootstrap *controlpb.Membership, seeds []netip.AddrPort) {
	t.Helper()
	state := controlstate.New()
	var err error
	d.Replica, err = New(Options{
		Host: name, Address: d.network.Address(), Store: d.store, Transport: d.network, Seeds: seeds,
		Clock: clockwork.NewRealClock(), Log: logr.Discard(),
		Restored: Restored{HardState: recovered.HardState, Snapshot: recovered.Snapshot, Entries: recovered.Entries},
		Core: CoreConfig{
			Consensus:    consensus.Config{ID: recovered.Identity, Bootstrap: bootstrap, Rand: rand.New(rand.NewPCG(recovered.Identity, 5))},
			StateMachine: state,
			// Small, so that tests take snapshots.
			CompactAfter: compactAfter,
			NewCoordinator: func(valid func(time.Time) bool) Coordinator {
				return coordinator.New(coordinator.Config{State: state, LeaseValid: valid})
			},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = sync.OnceFunc(func() {
		cancel()
		err := <-d.done
		d.done <- err
		d.network.Close()
		if store, ok := d.store.Store.(*logstore.Store); ok {
			store.Close()
		}
	})
	go d.network.Serve(d)
	go func() { d.done <- d.Run(ctx) }()
	t.Cleanup(d.stop)
}

// startCluster starts voters with data folders, and learners in memory that join with the voters as seeds. It waits until all
// are fresh.
func startCluster(t testing.TB, voters, learners int) []*testDaemon {
	t.Helper()
	var daemons []*testDaemon
	var recovered []*logstore.Recovered
	var seeds []netip.AddrPort
	bootstrap := &controlpb.Membership{}
	for i := range voters {
		d, r := prepare(t, fmt.Sprint("voter", i), t.TempDir(), loopback)
		daemons, recovered, seeds = append(daemons, d), append(recovered, r), append(seeds, d.network.Address())
		bootstrap.Members = append(bootstrap.Members, &controlpb.Member{
			Id: r.Identity, Host: fmt.Sprint("voter", i), Address: d.network.Address().String(), Voter: true,
		})
	}
	for i, d := range daemons {
		d.run(t, fmt.Sprint("voter", i), recovered[i], bootstrap, nil)
	}
	for i := range learners {
		d, r := prepare(t, fmt.Sprint("learner", i), "", loopback)
		d.run(t, fmt.Sprint("learner", i), r, nil, seeds)
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		eventually(t, "every daemon is fresh", func() bool { return d.View().Fresh(time.Now()) })
	}
	return daemons
}

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("not within %s: %s", testTimeout, what)
		}
	}
}

// leaderOf returns the daemon that leads, and another voter.
func leaderOf(t testing.TB, daemons []*testDaemon) (leader, follower *testDaemon) {
	t.Helper()
	eventually(t, "a voter leads", func() bool {
		leader, follower = nil, nil
		for _, d := range daemons {
			if view := d.View(); view.Leading {
				leader = d
			} else if view.Voter && view.Failed == nil {
				follower = d
			}
		}
		return leader != nil && follower != nil
	})
	return leader, follower
}

// apply changes the configuration and returns the result. It repeats the request until the answer is definite.
func (d *testDaemon) apply(t testing.TB, key string, base uint64) *controlpb.Result {
	t.Helper()
	for limit := time.Now().Add(testTimeout); time.Now().Before(limit); {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		reply := d.Submit(ctx, configure(key, "", base).request)
		cancel()
		if code := reply.GetResult().GetCode(); code != controlpb.ResultCode_RESULT_UNKNOWN && code != controlpb.ResultCode_RESULT_UNAVAILABLE {
			return reply.GetResult()
		}
	}
	t.Fatalf("%s: no definite answer within %s", key, testTimeout)
	return nil
}

// TestClusterRestarts checks that a request to any daemon reaches the leader, takes effect at all daemons, and survives a
// restart of all of them.
func TestClusterRestarts(t *testing.T) {
	daemons := startCluster(t, 3, 1)
	for version, d := range daemons {
		if result := d.apply(t, fmt.Sprint("k", version), uint64(version)); result.GetCode() != controlpb.ResultCode_RESULT_OK {
			t.Fatalf("by daemon %d: %v", version, result)
		}
	}
	for i, d := range daemons {
		eventually(t, fmt.Sprintf("daemon %d has version 4", i), func() bool { return d.View().State.Version == 4 })
	}
	for _, d := range daemons {
		d.stop()
	}
	restarted := make([]*testDaemon, 3)
	for i := range restarted {
		d, recovered := prepare(t, fmt.Sprint("voter", i), daemons[i].folder, daemons[i].network.Address())
		if recovered.Identity != daemons[i].id {
			t.Fatalf("identity changed from %d to %d", daemons[i].id, recovered.Identity)
		}
		d.run(t, fmt.Sprint("voter", i), recovered, nil, nil)
		restarted[i] = d
	}
	if result := restarted[0].apply(t, "k3", 3); result.GetCode() != controlpb.ResultCode_RESULT_OK || result.GetVersion() != 4 {
		t.Errorf("the answer to k3 changed: %v", result)
	}
}

// TestRemovedWhileDown guards against a voter that was removed while it was down and doesn't notice it after its restart,
// because the others don't answer its vote requests. The cluster would lack a member until then.
func TestRemovedWhileDown(t *testing.T) {
	daemons := startCluster(t, 3, 1)
	leader, follower := leaderOf(t, daemons)
	for n := range 3 * compactAfter { // enough for a snapshot, from which the voter considers itself a member after the restart
		leader.apply(t, fmt.Sprint("k", n), 0)
	}
	eventually(t, "the follower has a snapshot", func() bool { return follower.View().Applied > 2*compactAfter })
	host, address, id := follower.options.Host, follower.network.Address(), follower.id
	follower.stop()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	step := membership(controlpb.MembershipChange_REMOVE, &simDaemon{name: host}, id)
	if reply := leader.Submit(ctx, step.request); reply.GetResult().GetCode() != controlpb.ResultCode_RESULT_OK {
		t.Fatalf("%s: %v", step.key, reply)
	}
	removed, recovered := prepare(t, host, follower.folder, address)
	removed.run(t, host, recovered, nil, []netip.AddrPort{leader.network.Address()})
	eventually(t, "the removed voter knows that it is removed", removed.Removed)
	for _, d := range daemons {
		if d != follower && d.Removed() {
			t.Errorf("%s considers itself removed", d.options.Host)
		}
	}
}

// TestReplacedReplicas guards against restarts of a learner without a disk that each leave an unreachable member behind, and
// against a voter that lost its disk and can't be replaced by its new replica.
func TestReplacedReplicas(t *testing.T) {
	daemons := startCluster(t, 3, 1)
	leader, follower := leaderOf(t, daemons)
	seeds := []netip.AddrPort{follower.network.Address(), leader.network.Address()}
	daemons[3].stop()
	learner, recovered := prepare(t, "learner0", "", loopback)
	learner.run(t, "learner0", recovered, nil, seeds)
	eventually(t, "the new learner is fresh", func() bool { return learner.View().Fresh(time.Now()) })

	lost := follower.View().ID
	follower.stop()
	host := follower.options.Host
	wiped, recovered := prepare(t, host, t.TempDir(), follower.network.Address())
	if recovered.Identity == lost {
		t.Fatal("a wiped disk kept its identity")
	}
	wiped.run(t, host, recovered, nil, []netip.AddrPort{leader.network.Address()})
	eventually(t, "the new voter follows", func() bool { return wiped.View().Fresh(time.Now()) })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	steps := []*operation{
		membership(controlpb.MembershipChange_PROMOTE, &simDaemon{name: host}, wiped.id),
		membership(controlpb.MembershipChange_REMOVE, &simDaemon{name: host}, lost),
		membership(controlpb.MembershipChange_REMOVE, &simDaemon{name: host}, lost), // retried
	}
	var reply *controlpb.LeaderReply
	for _, step := range steps {
		reply = learner.Submit(ctx, step.request)
		if reply.GetResult().GetCode() != controlpb.ResultCode_RESULT_OK {
			t.Fatalf("%s: %v", step.key, reply)
		}
	}
	hosts := map[string]bool{}
	for _, member := range reply.GetMembership().GetMembers() {
		hosts[member.GetHost()] = member.GetVoter()
	}
	if len(hosts) != 4 || len(reply.GetMembership().GetMembers()) != 4 || !hosts[host] || hosts["learner0"] {
		t.Errorf("membership %v", reply.GetMembership())
	}
}

// TestStopTransfersLeadership checks that a leader transfers its leadership before it stops, so that the cluster isn't without
// a leader for an election timeout.
func TestStopTransfersLeadership(t *testing.T) {
	daemons := startCluster(t, 3, 0)
	leader, follower := leaderOf(t, daemons)
	term := leader.View().Term
	leader.Stop(context.Background())
	if view := leader.View(); view.Leading || view.Leader == 0 || view.Term != term+1 {
		t.Errorf("after the stop: %+v, want another leader in term %d", view, term+1)
	}
	leader.stop()
	if result := follower.apply(t, "after", 0); result.GetCode() != controlpb.ResultCode_RESULT_OK {
		t.Errorf("after the stop: %v", result)
	}
}

// TestDiskFailureStepsDown checks that a leader whose disk fails acknowledges nothing more, and that another one takes over
// while its process still runs.
func TestDiskFailureStepsDown(t *testing.T) {
	daemons := startCluster(t, 3, 0)
	leader, follower := leaderOf(t, daemons)
	leader.store.fail.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	reply := leader.Replica.handleLocally(ctx, configure("first", "", 0).request).Reply
	if code := reply.GetResult().GetCode(); code == controlpb.ResultCode_RESULT_OK {
		t.Errorf("the failed leader acknowledged: %v", reply)
	}
	eventually(t, "the failure is reported", func() bool { return IsDiskFailed(leader.Failure()) })
	if result := follower.apply(t, "second", follower.View().State.Version); result.GetCode() != controlpb.ResultCode_RESULT_OK &&
		result.GetCode() != controlpb.ResultCode_RESULT_CONFLICT {
		t.Errorf("by a follower: %v", result)
	}
	if view := leader.View(); view.Leading {
		t.Errorf("the failed replica still leads: %+v", view)
	}
}

// TestPartitionedDaemonBecomesStale checks that a daemon behind a partition that drops packets becomes stale and catches
// up after the partition, and that a request that waits for an answer of such a leader is sent to the next one.
func TestPartitionedDaemonBecomesStale(t *testing.T) {
	daemons := startCluster(t, 3, 0)
	leader, follower := leaderOf(t, daemons)
	leader.network.SetPartitioned(true)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	status := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Query{Query: &controlpb.Query{Name: "status"}}}
	if result := follower.Submit(ctx, status).GetResult(); result.GetCode() != controlpb.ResultCode_RESULT_OK || ctx.Err() != nil {
		t.Fatalf("the query did not reach the new leader: %v", result)
	}
	if result := follower.apply(t, "first", 0); result.GetCode() != controlpb.ResultCode_RESULT_OK {
		t.Fatalf("without the leader: %v", result)
	}
	eventually(t, "the old leader is stale", func() bool { return !leader.View().Fresh(time.Now()) })
	if version := leader.View().State.Version; version != 0 {
		t.Errorf("the partitioned daemon has version %d, want 0", version)
	}
	leader.network.SetPartitioned(false)
	eventually(t, "the old leader is fresh again", func() bool {
		return leader.View().Fresh(time.Now()) && leader.View().State.Version == 1
	})
}

// TestFullQueueIsOverloaded checks that requests are rejected immediately while the queue is full.
func TestFullQueueIsOverloaded(t *testing.T) {
	d, recovered := prepare(t, "full", "", loopback)
	defer d.network.Close()
	r, err := New(Options{
		Host: "full", Store: d.store, Transport: d.network, Clock: clockwork.NewRealClock(), Log: logr.Discard(), QueueLength: 1,
		Core: CoreConfig{
			Consensus: consensus.Config{ID: recovered.Identity, Rand: rand.New(rand.NewPCG(1, 1))}, StateMachine: controlstate.New(),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if result := r.Submit(ended, configure("waits", "", 0).request).GetResult(); result.GetCode() != controlpb.ResultCode_RESULT_UNAVAILABLE {
		t.Errorf("a request whose context ended in the queue: %v", result)
	}
	if result := r.Submit(context.Background(), configure("refused", "", 0).request).GetResult(); result.GetMessage() != Overloaded {
		t.Errorf("got %v, want %s", result, Overloaded)
	}
}

// BenchmarkCommit measures the rate and latency of commands to the leader of 3 daemons in one process, with real syncs.
func BenchmarkCommit(b *testing.B) {
	for _, callers := range []int{1, 8, 64, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			leader, _ := leaderOf(b, startCluster(b, 3, 0))
			latency := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			var mutex sync.Mutex
			var next atomic.Int64
			var group sync.WaitGroup
			b.ResetTimer()
			for range callers {
				group.Go(func() {
					for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
						start := time.Now()
						commitIntent(b, leader, i)
						took := time.Since(start)
						mutex.Lock()
						_ = latency.RecordValue(took.Microseconds())
						mutex.Unlock()
					}
				})
			}
			group.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "entries/s")
			b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50-us")
			b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99-us")
		})
	}
}

func recordIntent(i int64) *controlpb.LeaderRequest {
	return command(&controlpb.Command{Kind: &controlpb.Command_RecordIntent{RecordIntent: &controlpb.RecordIntent{
		RequestKey: fmt.Sprintf("%d-%016x", time.Now().Unix(), i), Service: "waiver", Gateway: "voter0", GatewayIncarnation: 1,
	}}})
}

// intentLog returns a log of count small commands of term 1.
func intentLog(t testing.TB, count int) []*controlpb.Entry {
	t.Helper()
	entries := make([]*controlpb.Entry, count)
	for i := range entries {
		data, err := proto.Marshal(recordIntent(int64(i)).GetCommand())
		if err != nil {
			t.Fatal(err)
		}
		entries[i] = &controlpb.Entry{Index: uint64(i + 1), Term: 1, Data: data}
	}
	return entries
}

// commitIntent commits a small command, the intent record of a gateway's call.
func commitIntent(b testing.TB, d *testDaemon, i int64) {
	reply := d.Submit(context.Background(), recordIntent(i))
	if code := reply.GetResult().GetCode(); code != controlpb.ResultCode_RESULT_OK {
		b.Errorf("entry %d: %v", i, reply)
	}
}

// BenchmarkWire measures the traffic of 9 daemons, of which 4 are learners, in bytes of TCP connections: while idle, and per
// committed entry at 200 entries a second.
func BenchmarkWire(b *testing.B) {
	daemons := startCluster(b, 5, 4)
	leader, _ := leaderOf(b, daemons)
	sent := func() (socket, payload, messages int64) {
		for _, d := range daemons {
			socket += d.network.Counters().SentSocketBytes.Value()
			payload += d.network.Counters().SentPayloadBytes.Value()
			messages += d.network.Counters().SentMessages.Value()
		}
		return socket, payload, messages
	}
	for b.Loop() {
		time.Sleep(2 * time.Second)
		const span = 10 * time.Second
		socket, payload, messages := sent()
		leaderCounters := leader.network.Counters()
		processor := processorTime(b)
		leaderOut, leaderIn := leaderCounters.SentSocketBytes.Value(), leaderCounters.ReceivedSocketBytes.Value()
		time.Sleep(span)
		socket2, payload2, messages2 := sent()
		seconds, count := span.Seconds(), float64(len(daemons))
		b.ReportMetric(float64(socket2-socket)/seconds/count, "idle-B/s/daemon-sent")
		b.ReportMetric(float64(payload2-payload)/seconds/count, "idle-payload-B/s/daemon-sent")
		b.ReportMetric(float64(messages2-messages)/seconds, "idle-messages/s")
		b.ReportMetric(float64(leaderCounters.SentSocketBytes.Value()-leaderOut)/seconds, "idle-leader-B/s-sent")
		b.ReportMetric(float64(leaderCounters.ReceivedSocketBytes.Value()-leaderIn)/seconds, "idle-leader-B/s-received")
		b.ReportMetric(100*(processorTime(b)-processor).Seconds()/seconds/count, "idle-%core/daemon")
		var memory runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&memory)
		b.ReportMetric(float64(memory.HeapAlloc)/1e6/count, "heap-MB/daemon")
		idle := float64(socket2-socket) / seconds

		const entries = 2000
		ticker := time.NewTicker(5 * time.Millisecond)
		var group sync.WaitGroup
		start := time.Now()
		socket, _, _ = sent()
		for i := range int64(entries) {
			<-ticker.C
			group.Go(func() { commitIntent(b, leader, i) })
		}
		group.Wait()
		ticker.Stop()
		socket2, _, _ = sent()
		whole := float64(socket2 - socket)
		b.ReportMetric(whole/entries, "B/entry-whole")
		b.ReportMetric((whole-idle*time.Since(start).Seconds())/entries, "B/entry-above-idle")
	}
}

// processorTime returns the CPU time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRestart measures opening a data folder and applying its log, with small entries and with configurations of 70
// workers, for numbers of entries up to those that trigger a snapshot.
func BenchmarkRestart(b *testing.B) {
	cases := []struct {
		name  string
		count int
		entry func(i int) *controlpb.Command
	}{
		{"intents=10000", 10_000, func(i int) *controlpb.Command { return recordIntent(int64(i)).GetCommand() }},
		{"intents=30000", maxCompactFactor * DefaultCompactAfter, func(i int) *controlpb.Command { return recordIntent(int64(i)).GetCommand() }},
		{"configurations=700", 700, func(i int) *controlpb.Command { return configureWorkers(fmt.Sprint("k", i), uint64(i), 70) }},
		{"configurations=10000", 10_000, func(i int) *controlpb.Command { return configureWorkers(fmt.Sprint("k", i), uint64(i), 70) }},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			folder := b.TempDir()
			store, _, err := logstore.Open(folder, logstore.Options{})
			if err != nil {
				b.Fatal(err)
			}
			bytes := 0
			for i := range c.count {
				data, err := proto.Marshal(c.entry(i))
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(data)
				entry := &controlpb.Entry{Index: uint64(i + 1), Term: 1, Data: data}
				if err := store.Save(logstore.Batch{Entries: []*controlpb.Entry{entry}}); err != nil {
					b.Fatal(err)
				}
			}
			store.Close()
			b.ResetTimer()
			for range b.N {
				state := controlstate.New()
				store, recovered, err := logstore.Open(folder, logstore.Options{})
				if err != nil {
					b.Fatal(err)
				}
				for _, entry := range recovered.Entries {
					command := &controlpb.Command{}
					if err := proto.Unmarshal(entry.GetData(), command); err != nil {
						b.Fatal(err)
					}
					state.Apply(entry.GetIndex(), command)
				}
				store.Close()
			}
			b.ReportMetric(float64(bytes)/1e6, "MB-of-log")
		})
	}
}

func configureWorkers(key string, base uint64, count int) *controlpb.Command {
	i := &inventory.Inventory{Region: key, Zones: []string{"north"}}
	for n := range count {
		i.Workers = append(i.Workers, inventory.Worker{
			Name: fmt.Sprint("worker", n), Zone: "north", Rack: fmt.Sprint("rack", n/11),
			Capacity: resource.Vector{Processors: 32_000, Memory: 125_000},
		})
	}
	request := configure(key, "", base).request.GetCommand()
	request.GetApplyConfiguration().Inventory = i.Text()
	return request
}

// BenchmarkRejoin measures the restart of one of 3 voters after 10,000 entries, from opening its folder until it is fresh.
func BenchmarkRejoin(b *testing.B) {
	daemons := startCluster(b, 3, 0)
	leader, follower := leaderOf(b, daemons)
	var group sync.WaitGroup
	for caller := range int64(50) {
		group.Go(func() {
			for i := range int64(200) {
				commitIntent(b, leader, caller*200+i)
			}
		})
	}
	group.Wait()
	name, address := follower.options.Host, follower.network.Address()
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		follower.stop()
		b.StartTimer()
		d, recovered := prepare(b, name, follower.folder, address)
		d.run(b, name, recovered, nil, nil)
		eventually(b, "the restarted voter is fresh", func() bool { return d.View().Fresh(time.Now()) })
		follower = d
	}
}
