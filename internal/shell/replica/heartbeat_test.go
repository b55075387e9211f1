package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/consensus"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/decision/coordinator"
)

// tickedCoordinator counts its ticks and does nothing else.
type tickedCoordinator struct {
	Coordinator
	ticks    int
	urgent   bool
	proposes bool // at each tick
}

func (*tickedCoordinator) StartLeading(time.Time)                            {}
func (*tickedCoordinator) Applied(time.Time, *controlstate.Changes)          {}
func (c *tickedCoordinator) IsUrgent() bool                                  { return c.urgent }
func (*tickedCoordinator) NextDeadline() time.Time                           { return time.Unix(0, 1) }
func (*tickedCoordinator) TakeReplies(time.Time) []coordinator.DeferredReply { return nil }
func (c *tickedCoordinator) Tick(time.Time) []*controlpb.Command {
	c.ticks++
	if !c.proposes {
		return nil
	}
	return []*controlpb.Command{{Kind: &controlpb.Command_Work{Work: &controlpb.WorkBatch{}}}}
}

func (*tickedCoordinator) HandleResult(time.Time, *controlpb.Command, *controlpb.Result) {}

// newTickedCore returns the core of a single replica, and a time at which it leads.
func newTickedCore(t *testing.T, ticked *tickedCoordinator) (*Core, time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	core, err := NewCore(CoreConfig{
		Consensus: consensus.Config{
			ID: 1, Now: now, Rand: rand.New(rand.NewPCG(1, 1)),
			Bootstrap: &controlpb.Membership{Members: []*controlpb.Member{{Id: 1, Voter: true}}},
		},
		StateMachine:   controlstate.New(),
		NewCoordinator: func(func(time.Time) bool) Coordinator { return ticked },
	}, Restored{})
	if err != nil {
		t.Fatal(err)
	}
	for !core.leading {
		now = now.Add(10 * time.Millisecond)
		core.Tick(now)
		advance(core, now)
	}
	return core, now
}

// advance reports all outputs of a core as persisted.
func advance(core *Core, now time.Time) {
	for o, ok := core.Ready(); ok; o, ok = core.Ready() {
		core.Advance(now, o)
	}
}

// What a coordinator had to propose waited for 20 ms after the last proposals, also if it was urgent.
func TestUrgentProposalsFollowSooner(t *testing.T) {
	for name, test := range map[string]struct {
		urgent       bool
		fewest, most int
	}{
		"urgent":     {true, 180, 201},
		"not urgent": {false, 45, 51},
	} {
		t.Run(name, func(t *testing.T) {
			ticked := &tickedCoordinator{urgent: test.urgent, proposes: true}
			core, now := newTickedCore(t, ticked)
			ticked.ticks = 0
			for end := now.Add(time.Second); now.Before(end); now = now.Add(time.Millisecond) {
				if !core.NextDeadline().After(now) {
					core.Tick(now)
				}
				advance(core, now)
			}
			if ticked.ticks < test.fewest || ticked.ticks > test.most {
				t.Errorf("%d proposals in a second, expected %d to %d", ticked.ticks, test.fewest, test.most)
			}
		})
	}
}

// Heartbeats that were due before a long pass of the scheduler were sent after it, so that a leader lost its lease.
func TestHeartbeatPrecedesPass(t *testing.T) {
	ticked := &tickedCoordinator{}
	core, now := newTickedCore(t, ticked)
	for range 5 {
		now = core.node.NextDeadline().Add(time.Millisecond)
		ticked.ticks = 0
		if core.Tick(now); ticked.ticks != 0 {
			t.Error("the coordinator was called before the heartbeat could be sent")
		}
		if deadline := core.NextDeadline(); deadline.After(now) {
			t.Errorf("the coordinator has to wait for %v", deadline.Sub(now))
		}
		core.Ready()
		if core.Tick(now); ticked.ticks != 1 {
			t.Errorf("the coordinator was called %d times after the heartbeat", ticked.ticks)
		}
	}
}
