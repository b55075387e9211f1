package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/consensus"
	"galenamoor/internal/decision/controlstate"
)

// TestSnapshotReceivedWhileCompacting guards against a replica that stops because the leader's snapshot arrives before its own,
// older one is durable.
func TestSnapshotReceivedWhileCompacting(t *testing.T) {
	const (
		compactAfter  = 20
		snapshotIndex = 1000
	)
	now := time.Unix(1000, 0)
	bootstrap := &controlpb.Membership{Members: []*controlpb.Member{{Id: 1, Voter: true}, {Id: 2, Voter: true}, {Id: 3, Voter: true}}}
	core, err := NewCore(CoreConfig{
		Consensus:    consensus.Config{ID: 1, Now: now, Rand: rand.New(rand.NewPCG(1, 1)), Bootstrap: bootstrap},
		StateMachine: controlstate.New(), CompactAfter: compactAfter,
	}, Restored{})
	if err != nil {
		t.Fatal(err)
	}
	deliver := func(m *controlpb.ConsensusMessage) {
		m.From, m.To, m.Term = 2, 1, 1
		core.Deliver(now, m)
	}
	log := intentLog(t, compactAfter)
	deliver(&controlpb.ConsensusMessage{Type: controlpb.MessageType_APPEND, Entries: log, Commit: compactAfter, Round: 1})
	var compacting Output
	for o, ok := core.Ready(); ok; o, ok = core.Ready() {
		if o.Compact != nil {
			o.Encode()
			compacting = o
			break
		}
		core.Advance(now, o)
	}
	if compacting.Compact == nil {
		t.Fatal("no snapshot was taken")
	}

	deliver(&controlpb.ConsensusMessage{Type: controlpb.MessageType_SNAPSHOT, Round: 2, Commit: snapshotIndex, Snapshot: &controlpb.Snapshot{
		Index: snapshotIndex, Term: 1, Membership: bootstrap, State: controlstate.New().PrepareSnapshot()(),
	}})
	core.Advance(now, compacting)
	for o, ok := core.Ready(); ok; o, ok = core.Ready() {
		core.Advance(now, o)
	}
	if err := core.Err(); err != nil {
		t.Errorf("the replica stopped: %v", err)
	}
	if applied := core.Status().Applied; applied != snapshotIndex {
		t.Errorf("applied up to %d, want %d of the received snapshot", applied, snapshotIndex)
	}
}
