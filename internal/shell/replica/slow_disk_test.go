package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/consensus"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/decision/coordinator"
	"galenamoor/internal/shell/logstore"
)

const (
	usualSync = 4 * time.Millisecond

	// slowSync is longer than a leader's lease and shorter than the time after which a leader transfers its leadership because
	// of its disk.
	slowSync = 450 * time.Millisecond
)

// slowStore is a Store whose Save takes the time set in delay.
type slowStore struct {
	DiscardStore
	delay atomic.Int64 // in nanoseconds
}

func (s *slowStore) Save(logstore.Batch) error {
	time.Sleep(time.Duration(s.delay.Load()))
	return nil
}

// directTransport delivers messages between the replicas of this process after 1 ms.
type directTransport struct {
	replicas map[uint64]*Replica
	mutex    sync.Mutex
	rounds   map[[2]uint64]*sentRounds // by sender and receiver
}

// sentRounds records the heartbeat rounds, or the answers to them, that one replica has sent to another.
type sentRounds struct {
	last   uint64
	lastAt time.Time
	maxGap time.Duration // the longest time between two rounds
}

func (t *directTransport) SetPeers(uint64, []*controlpb.Member) {}

func (t *directTransport) Forward(context.Context, netip.AddrPort, *controlpb.LeaderRequest) (*controlpb.LeaderReply, error) {
	return reply(controlpb.ResultCode_RESULT_UNAVAILABLE, "not forwarded"), nil
}

func (t *directTransport) Send(m *controlpb.ConsensusMessage) {
	t.record(m)
	time.AfterFunc(time.Millisecond, func() { t.replicas[m.GetTo()].Deliver(m) })
}

func (t *directTransport) record(m *controlpb.ConsensusMessage) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	link := [2]uint64{m.GetFrom(), m.GetTo()}
	sent := t.rounds[link]
	if sent == nil {
		sent = &sentRounds{lastAt: time.Now()}
		t.rounds[link] = sent
	}
	if m.GetRound() <= sent.last {
		return
	}
	sent.maxGap = max(sent.maxGap, time.Since(sent.lastAt))
	sent.last, sent.lastAt = m.GetRound(), time.Now()
}

// resetGaps forgets the gaps so far.
func (t *directTransport) resetGaps() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, sent := range t.rounds {
		sent.maxGap = 0
	}
}

// maxGap returns the longest time between two rounds that one replica has sent to another.
func (t *directTransport) maxGap(from, to uint64) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.rounds[[2]uint64{from, to}].maxGap
}

// slowDiskCluster runs voters in virtual time.
type slowDiskCluster struct {
	transport *directTransport
	replicas  []*Replica
	stores    map[*Replica]*slowStore
	running   sync.WaitGroup
}

// startSlowDiskCluster starts voters that run until ctx ends. The functions change the options of each.
func startSlowDiskCluster(ctx context.Context, t *testing.T, voters int, change ...func(*Options)) *slowDiskCluster {
	t.Helper()
	c := &slowDiskCluster{
		transport: &directTransport{replicas: map[uint64]*Replica{}, rounds: map[[2]uint64]*sentRounds{}},
		stores:    map[*Replica]*slowStore{},
	}
	bootstrap := &controlpb.Membership{}
	for i := range voters {
		bootstrap.Members = append(bootstrap.Members, &controlpb.Member{Id: uint64(i + 1), Host: fmt.Sprint(i + 1), Voter: true})
	}
	for _, member := range bootstrap.GetMembers() {
		store, state := &slowStore{}, controlstate.New()
		store.delay.Store(int64(usualSync))
		options := Options{
			Host: member.GetHost(), Store: store, Transport: c.transport, Clock: clockwork.NewRealClock(), Log: logr.Discard(),
			Core: CoreConfig{
				Consensus:    consensus.Config{ID: member.GetId(), Bootstrap: bootstrap, Rand: rand.New(rand.NewPCG(member.GetId(), 1))},
				StateMachine: state,
				NewCoordinator: func(valid func(time.Time) bool) Coordinator {
					return coordinator.New(coordinator.Config{State: state, LeaseValid: valid})
				},
			},
		}
		for _, f := range change {
			f(&options)
		}
		r, err := New(options)
		if err != nil {
			t.Fatal(err)
		}
		c.transport.replicas[member.GetId()] = r
		c.replicas, c.stores[r] = append(c.replicas, r), store
	}
	for _, r := range c.replicas {
		c.running.Go(func() {
			if err := r.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	return c
}

// load submits a command to a replica every millisecond until ctx ends.
func (c *slowDiskCluster) load(ctx context.Context, r *Replica) {
	for i := int64(0); ctx.Err() == nil; i++ {
		c.running.Go(func() { r.handleLocally(ctx, recordIntent(i)) })
		time.Sleep(time.Millisecond)
	}
}

// TestSlowSyncDelaysNoHeartbeat guards against a leader that loses its lease and its quorum, a follower that doesn't answer,
// and queries that wait, while a sync is slow and the limit of unsynced Outputs is reached.
func TestSlowSyncDelaysNoHeartbeat(t *testing.T) {
	for _, slow := range []string{"leader", "follower"} {
		t.Run(slow, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				c := startSlowDiskCluster(ctx, t, 3)
				defer c.running.Wait()
				defer cancel()
				time.Sleep(3 * time.Second)
				leader, follower := leaderOfReplicas(t, c.replicas)
				c.running.Go(func() { c.load(ctx, leader) })
				time.Sleep(time.Second)
				slowReplica := leader
				if slow == "follower" {
					slowReplica = follower
				}

				c.transport.resetGaps()
				term := leader.View().Term
				c.stores[slowReplica].delay.Store(int64(slowSync))
				time.Sleep(2 * usualSync) // a slow sync has started
				c.stores[slowReplica].delay.Store(int64(usualSync))
				time.Sleep(slowSync - 50*time.Millisecond)
				if unsynced := slowReplica.counters.Unsynced.Value(); unsynced != maxUnsynced {
					t.Errorf("%d outputs are unsynced, want %d for a meaningful test", unsynced, maxUnsynced)
				}
				start := time.Now()
				query := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Query{Query: &controlpb.Query{Name: "status"}}}
				slowReplica.handleLocally(ctx, query)
				if wait := time.Since(start); wait > 10*time.Millisecond {
					t.Errorf("a query waited for %v", wait)
				}
				time.Sleep(time.Second)

				for _, link := range [][2]uint64{{leader.id, follower.id}, {follower.id, leader.id}} {
					if gap := c.transport.maxGap(link[0], link[1]); gap > 3*consensus.DefaultHeartbeatInterval/2 {
						t.Errorf("%v without a heartbeat or an answer from %d to %d", gap, link[0], link[1])
					}
				}
				if view := leader.View(); !view.Leading || view.Term != term {
					t.Errorf("the leader has changed: term %d, was %d", view.Term, term)
				}
			})
		})
	}
}

// TestStopWithSlowDisks guards against a leader that stops with slow disks and leaves the group with a failed transfer, so that
// another election follows.
func TestStopWithSlowDisks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := startSlowDiskCluster(ctx, t, 3)
		defer c.running.Wait()
		defer cancel()
		time.Sleep(3 * time.Second)
		leader, _ := leaderOfReplicas(t, c.replicas)
		term := leader.View().Term
		for _, store := range c.stores {
			store.delay.Store(int64(150 * time.Millisecond))
		}
		leader.Stop(ctx)
		if view := leader.View(); view.Leading || view.Leader == 0 || view.Term != term+1 {
			t.Errorf("after the stop: leading %v, leader %d in term %d; want another leader in term %d", view.Leading, view.Leader, view.Term, term+1)
		}
	})
}

// leaderOfReplicas returns the leader and one of the followers.
func leaderOfReplicas(t *testing.T, replicas []*Replica) (leader, follower *Replica) {
	t.Helper()
	for _, r := range replicas {
		if r.View().Leading {
			leader = r
		} else {
			follower = r
		}
	}
	if leader == nil {
		t.Fatal("no leader")
	}
	return leader, follower
}
