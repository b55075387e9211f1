package consensus

import (
	"fmt"
	"time"

	"galenamoor/internal/controlpb"
)

// Message is a message between replicas. A sent message and its entries must not be modified.
type Message = controlpb.ConsensusMessage

// Output is what the caller has to process: state to persist, messages to send and entries to apply. Its contents must not
// be modified.
type Output struct {
	// HardState is nil unless the term or the vote changed, or the commit index passed a membership entry.
	HardState *controlpb.HardState

	// Snapshot replaces the whole log on disk and the applied state, before Entries are appended. The bootstrap snapshot
	// has index 0 and no state; it only makes the initial membership durable.
	Snapshot *controlpb.Snapshot

	// Entries are appended to the log on disk. Stored entries at or after the index of the first one are removed.
	Entries []*controlpb.Entry

	// Immediate messages need no sync and may be sent immediately.
	Immediate []*Message

	// Messages are sent after this output and all earlier ones are synced.
	Messages []*Message

	// Committed entries are applied in order, before Advance. They are durable on this replica. Their size is limited.
	Committed []*controlpb.Entry

	// CommittedLeft means that entries which could be applied at the same time as these are left for the next outputs.
	CommittedLeft bool

	sequence uint64
}

// NeedsSync reports whether the output holds anything to persist.
func (o *Output) NeedsSync() bool {
	return o.HardState != nil || o.Snapshot != nil || len(o.Entries) > 0
}

// Role is the role of a replica in its term.
type Role int

// Roles.
const (
	Follower Role = iota // also the role of learners
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Status describes a node for logs, metrics and operators.
type Status struct {
	ID            uint64
	Role          Role
	Term          uint64
	Leader        uint64 // 0 when unknown
	Voter         bool
	LastIndex     uint64 // index of the last entry
	Durable       uint64 // index up to which entries are synced to this replica's disk
	Commit        uint64
	Applied       uint64 // last index whose output was advanced
	FirstIndex    uint64 // first index that is not compacted
	TermCommitted bool   // leader: an entry of its own term is committed
	Transferring  bool
	LastStepDown  StepDown
	Peers         []PeerStatus // leader only, ordered by ID
}

// StepDownReason is why a leader became a follower.
type StepDownReason string

// Reasons to step down.
const (
	HigherTermSeen     StepDownReason = "a higher term was seen"
	QuorumLost         StepDownReason = "no quorum has answered"
	TransferUnfinished StepDownReason = "its transfer wasn't finished in time"
	Removed            StepDownReason = "it was removed"
	Resigned           StepDownReason = "it resigned"
)

// StepDown describes the end of a node's latest leadership. It is zero if there was none.
type StepDown struct {
	Reason      StepDownReason
	SinceQuorum time.Duration // since the start of the latest heartbeat round that a quorum had acknowledged
}

// PeerStatus is the leader's view of another member.
type PeerStatus struct {
	ID            uint64
	Voter         bool
	Match         uint64 // index up to which entries are durable on that member
	Next          uint64
	InflightBytes int
	Snapshot      bool // a snapshot is being sent
	Active        bool // replied within the check-quorum timeout
}

// NotLeaderError means that a proposal was refused because this replica is not the leader or is transferring its
// leadership. Nothing was appended.
type NotLeaderError struct {
	Leader uint64 // leader or transferee; 0 when unknown
}

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader; leader is %d", e.Leader)
}

// OverloadedError means that a proposal was refused because too many bytes are uncommitted. Nothing was appended.
type OverloadedError struct {
	Bytes int // uncommitted
}

func (e *OverloadedError) Error() string {
	return fmt.Sprintf("overloaded: %d bytes wait to be committed", e.Bytes)
}
