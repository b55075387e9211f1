package replica

import (
	"github.com/gravitational/trace"

	"galenamoor/internal/controlpb"
)

// compact returns a snapshot of the applied state if one is due, and a function that encodes its state.
func (c *Core) compact() (*controlpb.Snapshot, func() []byte) {
	if c.compacting || c.failure != nil || !c.compactDue() {
		return nil, nil
	}
	snapshot, err := c.node.NewSnapshot(c.applied, nil)
	if c.recordFailure(trace.Wrap(err, "taking a snapshot at %d", c.applied)) {
		return nil, nil
	}
	entries := c.applied - c.compacted
	c.retain = min(c.config.CompactAfter/retainDivisor, entries*retainBytes/uint64(max(1, c.logBytes)))
	c.compacting = true
	c.compacted, c.logBytes = snapshot.GetIndex(), 0
	return snapshot, c.stateMachine.PrepareSnapshot()
}

func (c *Core) compactDue() bool {
	entries := c.applied - c.compacted
	if c.logBytes >= max(compactBytes, 2*c.stateBytes) || entries >= maxCompactFactor*c.config.CompactAfter {
		return true
	}
	return entries >= c.config.CompactAfter && c.logBytes >= c.stateBytes
}

func (c *Core) recordSnapshot(snapshot *controlpb.Snapshot) {
	c.compacted, c.logBytes, c.stateBytes = snapshot.GetIndex(), 0, len(snapshot.GetState())
}

// restore replaces the state with that of a snapshot. The snapshot of a bootstrap has index 0 and no state.
func (c *Core) restore(snapshot *controlpb.Snapshot) error {
	if snapshot.GetIndex() == 0 {
		return nil
	}
	if err := c.stateMachine.Restore(snapshot.GetState()); err != nil {
		return trace.Wrap(err, "restoring the snapshot at %d", snapshot.GetIndex())
	}
	c.applied, c.appliedTerm = snapshot.GetIndex(), snapshot.GetTerm()
	c.recordSnapshot(snapshot)
	return nil
}
