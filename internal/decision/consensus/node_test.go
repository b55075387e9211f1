package consensus

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
)

func entriesOf(term uint64, indexes ...uint64) (list []*controlpb.Entry) {
	for _, i := range indexes {
		list = append(list, &controlpb.Entry{Index: i, Term: term})
	}
	return list
}

// TestRestore guards against combining a snapshot with the stale log that it replaced, and against a log with a gap.
func TestRestore(t *testing.T) {
	snapshot := &controlpb.Snapshot{Index: 10, Term: 3, Membership: &controlpb.Membership{}}
	for _, test := range []struct {
		name      string
		entries   []*controlpb.Entry
		last      uint64
		reinstall bool
		fails     bool
	}{
		{"log continues", entriesOf(3, 9, 10, 11, 12), 12, false, false},
		{"log starts after the snapshot", entriesOf(3, 11, 12), 12, false, false},
		{"log ends before the snapshot", entriesOf(2, 7, 8), 10, true, false},
		{"log differs at the snapshot", entriesOf(2, 9, 10, 11), 10, true, false},
		{"gap after the snapshot", entriesOf(3, 12), 0, false, true},
		{"gap in the log", entriesOf(3, 10, 12), 0, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			n, err := New(Config{ID: 1, Now: epoch, Rand: rand.New(rand.NewPCG(1, 1))}, Restored{
				HardState: &controlpb.HardState{Term: 3}, Snapshot: snapshot, Entries: test.entries,
			})
			if (err != nil) != test.fails {
				t.Fatal(err)
			}
			if err != nil {
				return
			}
			o, _ := n.Ready()
			if n.Status().LastIndex != test.last || (o.Snapshot != nil) != test.reinstall {
				t.Errorf("last %d, snapshot %v", n.Status().LastIndex, o.Snapshot)
			}
		})
	}
}

// TestStepDown guards against a leader that keeps its lease or accepts proposals during a leadership transfer or after it
// resigned.
func TestStepDown(t *testing.T) {
	s := newSim(1, 3, 3, network{delay: time.Millisecond}, injectedFaults{}, Config{})
	s.run(2 * time.Second)
	leader := s.leader()
	to := s.hosts[(leader.number+1)%3]
	if err := leader.node.TransferLeadership(leader.local(), to.id); err != nil {
		t.Fatal(err)
	}
	var refused *NotLeaderError
	_, _, err := leader.node.Propose(leader.local(), nil)
	if !errors.As(err, &refused) || refused.Leader != to.id || leader.node.LeaseValid(leader.local()) {
		t.Errorf("during a transfer: %v, lease %v", err, leader.node.LeaseValid(leader.local()))
	}
	leader.processOutputs()
	s.run(20 * time.Millisecond)
	if s.leader() != to || s.failure != "" {
		t.Fatalf("not transferred: %s%s", s.failure, s.describe())
	}
	to.node.Resign(to.local())
	_, _, err = to.node.Propose(to.local(), nil)
	if !errors.As(err, &refused) || to.node.LeaseValid(to.local()) {
		t.Errorf("after resigning: %v, lease %v", err, to.node.LeaseValid(to.local()))
	}
}

// TestStepDownReason guards against a leadership that ends without a trace of the cause.
func TestStepDownReason(t *testing.T) {
	for want, stepDown := range map[StepDownReason]func(s *sim, leader *host){
		Resigned: func(_ *sim, leader *host) { leader.node.Resign(leader.local()) },
		HigherTermSeen: func(s *sim, leader *host) {
			if err := leader.node.TransferLeadership(leader.local(), s.hosts[(leader.number+1)%3].id); err != nil {
				t.Fatal(err)
			}
			leader.processOutputs()
		},
		QuorumLost: func(s *sim, leader *host) { s.eachLink(leader, func(l *link) { l.partitioned = true }) },
	} {
		t.Run(string(want), func(t *testing.T) {
			s := newSim(1, 3, 3, network{delay: time.Millisecond}, injectedFaults{}, Config{})
			s.run(2 * time.Second)
			leader := s.leader()
			stepDown(s, leader)
			s.run(DefaultCheckQuorumTimeout + 100*time.Millisecond)
			got := leader.node.Status().LastStepDown
			if got.Reason != want || (got.SinceQuorum >= DefaultCheckQuorumTimeout) != (want == QuorumLost) {
				t.Errorf("stepped down because %q, %v after the last confirmed round", got.Reason, got.SinceQuorum)
			}
		})
	}
}

// TestOverload guards against unbounded memory growth while proposals are not committed.
func TestOverload(t *testing.T) {
	s := newSim(1, 3, 3, network{delay: time.Millisecond}, injectedFaults{}, Config{MaxUncommittedBytes: 1000})
	s.run(2 * time.Second)
	leader := s.leader()
	for range 100 {
		if _, _, err := leader.node.Propose(leader.local(), make([]byte, 100)); err != nil {
			var overloaded *OverloadedError
			if !errors.As(err, &overloaded) {
				t.Fatal(err)
			}
			leader.processOutputs()
			s.run(100 * time.Millisecond)
			if !leader.propose(100) {
				t.Error("proposal refused after the backlog was committed")
			}
			return
		}
	}
	t.Error("no proposal was refused with OverloadedError")
}

// TestLostSnapshot guards against a follower that never catches up because it crashed while a snapshot was in flight.
func TestLostSnapshot(t *testing.T) {
	s := newSim(1, 3, 3, network{delay: time.Millisecond}, injectedFaults{}, Config{})
	s.run(2 * time.Second)
	leader := s.leader()
	lagging := s.hosts[(leader.number+1)%3]
	lagging.crash()
	leader.propose(10)
	leader.processOutputs()
	s.run(time.Second)
	leader.compact(0)
	lagging.restart()
	p := leader.node.peer(lagging.id)
	if !s.runUntil(time.Second, func() bool { return p.state == sendingSnapshot }) {
		t.Fatal("no snapshot was sent")
	}
	lagging.crash()
	s.run(100 * time.Millisecond)
	lagging.restart()
	s.run(2 * DefaultSnapshotTimeout)
	if s.failure != "" || lagging.applied != leader.applied {
		t.Errorf("at index %d of %d: %s%s", lagging.applied, leader.applied, s.failure, s.describe())
	}
}

// TestTransferWithSlowDisks guards against a transferee that gives up its campaign while the votes are stored, so that another
// election follows.
func TestTransferWithSlowDisks(t *testing.T) {
	const syncDelay = 150 * time.Millisecond
	for seed := uint64(1); seed <= 20; seed++ {
		s := newSim(seed, 3, 3, network{delay: time.Millisecond}, injectedFaults{}, Config{})
		s.run(2 * time.Second)
		leader := s.leader()
		term, to := leader.node.term, s.hosts[(leader.number+1)%3]
		for _, h := range s.hosts {
			h.syncDelay = syncDelay
		}
		if err := leader.node.TransferLeadership(leader.local(), to.id); err != nil {
			t.Fatal(err)
		}
		leader.processOutputs()
		s.run(2*syncDelay + 20*time.Millisecond)
		if s.leader() != to || to.node.term != term+1 || s.failure != "" {
			t.Errorf("seed %d: not transferred in one election: %s%s", seed, s.failure, s.describe())
		}
	}
}
