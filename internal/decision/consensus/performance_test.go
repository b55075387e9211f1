package consensus

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// Targets for the time from the loss of a leader to the next commit.
const (
	recoveryRuns   = 200
	recoveryMedian = time.Second
	recoveryWorst  = 1800 * time.Millisecond
)

// recoveryTimes measures the virtual time from the loss of a leader to the next command acknowledged to a client.
func recoveryTimes(t testing.TB, voters int, sync time.Duration, injectFault func(*sim, *host)) *hdrhistogram.Histogram {
	times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for seed := range uint64(recoveryRuns) {
		s := newSim(seed, voters, voters, network{delay: time.Millisecond}, injectedFaults{}, Config{})
		for _, h := range s.hosts {
			h.syncDelay = sync
		}
		s.run(4*time.Second + time.Duration(seed)*time.Millisecond)
		leader := s.leader()
		if leader == nil {
			t.Fatalf("seed %d: no leader within 4 s of the start", seed)
		}
		injectFault(s, leader)
		lost, acks := s.now, len(s.acks)
		for len(s.acks) == acks && s.failure == "" && s.now < lost+time.Minute {
			if h := s.leader(); h != nil && h.propose(100) {
				h.processOutputs()
			}
			s.run(time.Millisecond)
		}
		if s.failure != "" || len(s.acks) == acks {
			t.Fatalf("seed %d: no commit: %s%s", seed, s.failure, s.describe())
		}
		if err := times.RecordValue((s.acks[acks].at - lost).Microseconds()); err != nil {
			t.Fatal(err)
		}
	}
	return times
}

var leaderFaults = map[string]func(*sim, *host){
	"crash":   func(_ *sim, h *host) { h.crash() },
	"isolate": func(s *sim, h *host) { s.eachLink(h, func(l *link) { l.partitioned = true }) },
	"receives-nothing": func(s *sim, h *host) {
		for _, other := range s.hosts {
			s.setPartitioned(other, h, other != h)
		}
	},
	"stalled-disk": func(_ *sim, h *host) { h.syncDelay, h.maxPending = time.Hour, math.MaxInt },
	"freeze":       func(s *sim, h *host) { h.frozenUntil = s.now + time.Minute },
}

// TestRecoveryTime guards against slow recovery: it checks the targets in virtual time for every kind of leader loss. For
// a crash they must also hold with slow disks, which lead to split votes when several candidates store their votes
// simultaneously.
func TestRecoveryTime(t *testing.T) {
	for name, injectFault := range leaderFaults {
		for _, variant := range []struct {
			voters int
			sync   time.Duration
		}{{3, time.Millisecond}, {5, time.Millisecond}, {3, 100 * time.Millisecond}, {5, 100 * time.Millisecond}} {
			if variant.sync > time.Millisecond && name != "crash" {
				continue
			}
			t.Run(fmt.Sprintf("%s/voters=%d/sync=%v", name, variant.voters, variant.sync), func(t *testing.T) {
				times := recoveryTimes(t, variant.voters, variant.sync, injectFault)
				median := time.Duration(times.ValueAtQuantile(50)) * time.Microsecond
				worst := time.Duration(times.Max()) * time.Microsecond
				t.Logf("%d runs: p50 %v, max %v", recoveryRuns, median, worst)
				if median >= recoveryMedian || worst > recoveryWorst {
					t.Errorf("p50 %v (target %v), max %v (target %v)", median, recoveryMedian, worst, recoveryWorst)
				}
			})
		}
	}
}

// BenchmarkRecovery reports the virtual time from a crash of the leader to the next commit.
func BenchmarkRecovery(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			for b.Loop() {
				times := recoveryTimes(b, voters, time.Millisecond, leaderFaults["crash"])
				b.ReportMetric(float64(times.ValueAtQuantile(50))/1000, "p50-virtual-ms")
				b.ReportMetric(float64(times.Max())/1000, "max-virtual-ms")
			}
		})
	}
}

// nodeGroup drives nodes without a network or disks, so that a benchmark measures only the nodes.
type nodeGroup struct {
	now      time.Time
	nodes    []*Node // the first one leads
	counting bool
	bytes    int
	messages int
}

func newGroup(b *testing.B, members int) *nodeGroup {
	g := &nodeGroup{now: epoch}
	m := &controlpb.Membership{}
	for id := uint64(1); id <= uint64(members); id++ {
		m.Members = append(m.Members, &controlpb.Member{Id: id, Voter: id <= 5, Address: "10.20.30.40:7000"})
	}
	for id := uint64(1); id <= uint64(members); id++ {
		n, err := New(Config{ID: id, Bootstrap: m, Now: g.now, Rand: rand.New(rand.NewPCG(id, 4))}, Restored{})
		if err != nil {
			b.Fatal(err)
		}
		g.nodes = append(g.nodes, n)
	}
	g.now = g.now.Add(time.Second)
	g.nodes[0].Tick(g.now)
	g.exchangeMessages(b)
	if g.nodes[0].role != Leader {
		b.Fatal("no leader")
	}
	return g
}

func (g *nodeGroup) exchangeMessages(b *testing.B) {
	for busy := true; busy; {
		busy = false
		for _, n := range g.nodes {
			for o, ok := n.Ready(); ok; o, ok = n.Ready() {
				busy = true
				for _, m := range append(o.Immediate, o.Messages...) {
					if g.counting {
						g.bytes += proto.Size(m)
						g.messages++
					}
					if err := g.nodes[m.To-1].Step(g.now, m); err != nil {
						b.Fatal(err)
					}
				}
				n.Advance(g.now, o)
			}
		}
	}
}

func (g *nodeGroup) commit(b *testing.B, entries int, data []byte) {
	for range entries {
		if _, _, err := g.nodes[0].Propose(g.now, data); err != nil {
			b.Fatal(err)
		}
	}
	g.now = g.now.Add(5 * time.Millisecond)
	for _, n := range g.nodes {
		n.Tick(g.now)
	}
	g.exchangeMessages(b)
	if n := g.nodes[0]; n.commit != n.log.last() {
		b.Fatalf("committed %d of %d", n.commit, n.log.last())
	}
	for _, n := range g.nodes {
		if n.delivered-n.log.base > 8192 {
			s, err := n.NewSnapshot(n.delivered, nil)
			if err == nil {
				err = n.Compact(s.Index-1024, s)
			}
			if err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkCommit measures the time and the message bytes that committing an entry takes in all nodes of a group.
func BenchmarkCommit(b *testing.B) {
	data := make([]byte, 128)
	for _, members := range []int{3, 5, 9} {
		for _, batch := range []int{1, 64} {
			b.Run(fmt.Sprintf("members=%d/batch=%d", members, batch), func(b *testing.B) {
				g := newGroup(b, members)
				b.ReportAllocs()
				for b.Loop() {
					g.commit(b, batch, data)
				}
				entries := float64(b.N * batch)
				b.ReportMetric(entries/b.Elapsed().Seconds(), "entries/s")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/entries, "ns/entry")
				g.counting = true
				for range 200 {
					g.commit(b, batch, data)
				}
				b.ReportMetric(float64(g.bytes)/float64(200*batch), "wire-B/entry")
			})
		}
	}
}

// BenchmarkHeartbeat measures the time and the message bytes of a heartbeat round without entries.
func BenchmarkHeartbeat(b *testing.B) {
	for _, members := range []int{3, 5, 9} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			g := newGroup(b, members)
			round := func() {
				g.now = g.now.Add(DefaultHeartbeatInterval)
				g.nodes[0].Tick(g.now)
				g.exchangeMessages(b)
			}
			for b.Loop() {
				round()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*(members-1)), "ns/heartbeat")
			g.counting = true
			for range 100 {
				round()
			}
			b.ReportMetric(float64(g.bytes)/100, "wire-B/round")
		})
	}
}

// TestCatchUpTraffic guards against excessive retransmission: with loss and reordering, a follower that missed 20,000
// entries may be sent at most twice the bytes that it is sent over a perfect network.
func TestCatchUpTraffic(t *testing.T) {
	perfect := catchUpBytes(t, network{delay: time.Millisecond})
	for _, net := range []network{
		{delay: time.Millisecond, jitter: 5 * time.Millisecond},
		{delay: time.Millisecond, lossPct: 10},
		{delay: time.Millisecond, jitter: 5 * time.Millisecond, lossPct: 10, duplicatePct: 5},
	} {
		sent := catchUpBytes(t, net)
		t.Logf("%+v: %d bytes, perfect network %d", net, sent, perfect)
		if sent > 2*perfect {
			t.Errorf("%+v: %d bytes, perfect network %d", net, sent, perfect)
		}
	}
}

func catchUpBytes(t *testing.T, net network) int {
	s := newSim(1, 5, 5, net, injectedFaults{}, Config{})
	s.run(2 * time.Second)
	leader := s.leader()
	lagging := s.hosts[(leader.number+1)%5]
	lagging.crash()
	for range 200 {
		for range 100 {
			leader.propose(100)
		}
		leader.processOutputs()
		s.run(10 * time.Millisecond)
	}
	before := lagging.bytesSent
	lagging.restart()
	caughtUp := s.runUntil(time.Minute, func() bool { return lagging.applied > 20_000 })
	if !caughtUp || s.failure != "" {
		t.Fatalf("%+v: not caught up: %s%s", net, s.failure, s.describe())
	}
	return lagging.bytesSent - before
}
