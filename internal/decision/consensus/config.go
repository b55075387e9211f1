package consensus

import (
	"math/rand/v2"
	"time"

	"galenamoor/internal/controlpb"
)

// Defaults of the timing and size fields of Config.
const (
	DefaultHeartbeatInterval  = 100 * time.Millisecond
	DefaultElectionTimeout    = 400 * time.Millisecond
	DefaultElectionTimeoutMax = 800 * time.Millisecond
	DefaultLeaseDuration      = 350 * time.Millisecond

	// DefaultCheckQuorumTimeout is longer than the lease, so that one late round does not depose a leader, and short
	// enough that a leader which can send but not receive is replaced within the 1.8 s target.
	DefaultCheckQuorumTimeout = 500 * time.Millisecond

	// DefaultCommitBroadcastDelay bounds how long followers wait for a new commit index when no append contains it.
	DefaultCommitBroadcastDelay = 10 * time.Millisecond

	DefaultSnapshotTimeout     = 2 * time.Second
	DefaultTransferTimeout     = 400 * time.Millisecond
	DefaultMaxAppendBytes      = 64 << 10
	DefaultMaxInflightBytes    = 1 << 20
	DefaultMaxUncommittedBytes = 16 << 20
	DefaultMaxPromoteLag       = 256

	// A replica that restarts learns at once that its whole log is committed. The limits on the committed entries of one
	// output let its caller handle heartbeats and timers while it applies the log.
	DefaultMaxCommittedBytes   = 64 << 10
	DefaultMaxCommittedEntries = 64
)

// Config configures a Node. Timing and size fields that are zero take their defaults.
type Config struct {
	// ID is the identity recorded in the data folder. It must not be 0, and must not be reused after the disk was wiped.
	ID uint64

	// Bootstrap is the initial membership of a new cluster. It is used only when nothing was restored, and ignored when
	// it does not contain ID.
	Bootstrap *controlpb.Membership

	// Rand is the source of election timeouts and of the base of freshness stamps. Each start needs a different
	// seed, because the base distinguishes the stamps of this start from those of earlier ones.
	Rand *rand.Rand

	// Now is the start time. Times passed to later calls are compared with it by their monotonic clock reading.
	Now time.Time

	HeartbeatInterval    time.Duration
	ElectionTimeout      time.Duration // lower bound; votes are also refused for this long after a message from a leader
	ElectionTimeoutMax   time.Duration
	LeaseDuration        time.Duration // below ElectionTimeout by a margin for clock drift
	CheckQuorumTimeout   time.Duration // a leader that confirms no quorum for this long steps down
	CommitBroadcastDelay time.Duration
	SnapshotTimeout      time.Duration // an unacknowledged snapshot is sent again after this time
	TransferTimeout      time.Duration

	MaxAppendBytes      int    // limit on the entries in one message, which has at least one
	MaxInflightBytes    int    // limit on the entries sent to one follower and not yet acknowledged
	MaxUncommittedBytes int    // proposals above this are refused with OverloadedError
	MaxPromoteLag       uint64 // entries that a learner may still lack when it is promoted

	MaxCommittedBytes   int // limit on the entries in Output.Committed, which has at least one if any is left
	MaxCommittedEntries int // limit on their number
}

func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.ElectionTimeoutMax, DefaultElectionTimeoutMax)
	setDefault(&c.LeaseDuration, DefaultLeaseDuration)
	setDefault(&c.CheckQuorumTimeout, DefaultCheckQuorumTimeout)
	setDefault(&c.CommitBroadcastDelay, DefaultCommitBroadcastDelay)
	setDefault(&c.SnapshotTimeout, DefaultSnapshotTimeout)
	setDefault(&c.TransferTimeout, DefaultTransferTimeout)
	setDefault(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&c.MaxInflightBytes, DefaultMaxInflightBytes)
	setDefault(&c.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	setDefault(&c.MaxPromoteLag, DefaultMaxPromoteLag)
	setDefault(&c.MaxCommittedBytes, DefaultMaxCommittedBytes)
	setDefault(&c.MaxCommittedEntries, DefaultMaxCommittedEntries)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Restored is the persistent state that a replica read from its disk. All fields are empty at the first start.
type Restored struct {
	HardState *controlpb.HardState
	Snapshot  *controlpb.Snapshot
	Entries   []*controlpb.Entry // in order, without gaps; entries up to the snapshot's index may be present
}

func (r Restored) empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0
}
