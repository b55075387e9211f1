// Package replica runs a member of the replicated control plane: Core combines consensus, state machine and coordinator
// without I/O and is deterministic; Replica connects a Core to disk, network and clock.
//
// Core applies committed entries in Ready, before the entries of the same Output are persisted: committed entries are already
// durable locally and on a quorum, so their requests needn't wait for the sync of later entries.
package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/consensus"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/decision/coordinator"
)

const (
	// DefaultCompactAfter is the default of CoreConfig.CompactAfter.
	DefaultCompactAfter = 10_000

	// StaleAfter is the time since FreshAt after which a replica's state is stale. It is 0.5 s below the 3 s within which a
	// configuration must be in effect everywhere, as a margin for clock drift and scheduling delays.
	StaleAfter = 2500 * time.Millisecond

	// compactBytes is the size in bytes of the log since the last snapshot from which a snapshot is taken however few the
	// entries are, unless that snapshot was larger than half of it. Entries stay in memory until then and a daemon has
	// 32 MB; a restart also applies them again. The entry of a configuration with 970 workers takes about 80 KB; with 70
	// workers it takes 6 KB, and 0.6 to 1 ms to apply.
	compactBytes = 2 << 20

	// maxCompactFactor times CompactAfter is the number of entries from which a snapshot is taken even if the log since
	// the last snapshot is smaller than that snapshot. With fewer entries the snapshot waits until the log has outgrown
	// the last one, which keeps the cost of snapshots proportional to the growth of the log.
	maxCompactFactor = 3

	// Some entries before a snapshot are retained in memory, so that members that lag slightly don't need the snapshot:
	// at most CompactAfter/retainDivisor entries and about retainBytes bytes.
	retainDivisor = 10
	retainBytes   = 512 << 10

	// coordinatorInterval is the minimum time between proposals of the coordinator, whose changes in the meantime form one
	// batch. At 380 task starts a second, proposals every 1 ms cause 360 appends a second to each member.
	coordinatorInterval = 20 * time.Millisecond

	// urgentInterval replaces coordinatorInterval while the coordinator has something urgent to propose.
	urgentInterval = 5 * time.Millisecond
)

// Overloaded is the message of a RESULT_UNAVAILABLE reply when a queue is full. Daemons don't retry such a request,
// because that would add to the load.
const Overloaded = "Overloaded"

// StateMachine is the replicated state machine. It is implemented by controlstate.State.
type StateMachine interface {
	// Apply applies the committed command at index and returns its result.
	Apply(index uint64, c *controlpb.Command) *controlpb.Result
	// PrepareSnapshot returns a function that encodes the current state; the function may run on another goroutine.
	PrepareSnapshot() func() []byte
	// Restore replaces the state with a snapshot.
	Restore(snapshot []byte) error
	// View returns an immutable snapshot of the state for other goroutines.
	View() *controlstate.View
	// TakeChanges returns the changes since the last call.
	TakeChanges() *controlstate.Changes
}

// Coordinator holds the leader's soft state. It is implemented by coordinator.Coordinator.
type Coordinator interface {
	StartLeading(now time.Time)
	StopLeading()
	// Applied is called after commands were applied or a snapshot was installed, also while the replica doesn't lead. Then
	// there is one call for all commands that became committed together, after the last one.
	Applied(now time.Time, changes *controlstate.Changes)
	HandleResult(now time.Time, command *controlpb.Command, result *controlpb.Result)
	Serve(now time.Time, r *controlpb.LeaderRequest) (reply *controlpb.LeaderReply, deferred bool)
	Tick(now time.Time) []*controlpb.Command
	TakeReplies(now time.Time) []coordinator.DeferredReply
	NextDeadline() time.Time
	// IsUrgent reports whether Tick should be called sooner after the last proposals than usual.
	IsUrgent() bool
}

// CoreConfig configures a Core.
type CoreConfig struct {
	Consensus    consensus.Config
	StateMachine StateMachine

	// NewCoordinator creates the coordinator; nil for a replica that handles only commands. The argument reports whether
	// this replica's leader lease is valid.
	NewCoordinator func(leaseValid func(now time.Time) bool) Coordinator

	// CompactAfter is the number of applied entries after which a snapshot is taken; 0 for DefaultCompactAfter. If they
	// take fewer bytes than the last snapshot, the snapshot waits for up to three times as many entries. It is taken
	// earlier if they take at least 2 MiB and twice the size of the last snapshot.
	CompactAfter uint64
}

// Restored is the state that a replica has read from its disk.
type Restored = consensus.Restored

// RequestID identifies a submitted request until its answer appears in an Output.
type RequestID uint64

// Request is a command or a leader query. The Core owns it once it is submitted.
type Request = controlpb.LeaderRequest

// DeferredReply is the reply to one submitted request.
type DeferredReply struct {
	RequestID RequestID
	Reply     *controlpb.LeaderReply

	// NotLeader means that the request was not applied because this replica isn't the leader. Leader is 0 when unknown.
	NotLeader bool
	Leader    uint64
}

// Output is what the user of a Core has to process. Replies are delivered and Immediate messages sent without waiting for
// a sync. Snapshot, HardState, Entries and Compact are persisted; then Messages are sent and Advance is called. Outputs
// are processed in order, but Ready may be called again before the Advance of earlier ones, and several may be persisted
// with one sync.
type Output struct {
	Replies   []DeferredReply
	Immediate []*controlpb.ConsensusMessage
	Members   []*controlpb.Member // the new address book, nil when it is unchanged

	Snapshot  *controlpb.Snapshot // received from the leader
	HardState *controlpb.HardState
	Entries   []*controlpb.Entry
	Compact   *controlpb.Snapshot // taken locally; once it is durable, log entries up to it can be deleted
	Messages  []*controlpb.ConsensusMessage

	consensusOutput    consensus.Output
	hasConsensusOutput bool          // consensusOutput is set
	encodeState        func() []byte // encodes the state of Compact
}

// Encode sets the state of Compact, if there is one. It is called before persisting and may run on another goroutine,
// because it takes longer than a heartbeat interval at 970 workers and 34,900 tasks.
func (o *Output) Encode() {
	if o.encodeState != nil {
		o.Compact.State = o.encodeState()
		o.encodeState = nil
	}
}

// NeedsSync reports whether the output holds anything to persist.
func (o *Output) NeedsSync() bool {
	return o.Snapshot != nil || o.HardState != nil || len(o.Entries) > 0 || o.Compact != nil
}

// proposal is a proposed entry whose outcome isn't known yet.
type proposal struct {
	term             uint64
	requestID        RequestID          // 0 for a command of the coordinator
	command          *controlpb.Command // of the coordinator
	membershipChange bool
}

// Core is a replica without I/O: it combines consensus, state machine and coordinator. It is deterministic and not safe
// for concurrent use.
type Core struct {
	config       CoreConfig
	node         *consensus.Node
	stateMachine StateMachine
	coordinator  Coordinator
	now          time.Time
	failure      error

	lastRequestID  RequestID
	proposals      map[uint64]proposal    // by log index
	waiting        map[*Request]RequestID // requests that wait in the coordinator, such as long polls
	replies        []DeferredReply
	leading        bool      // the coordinator is active
	nextProposalAt time.Time // earliest time of the coordinator's next proposal
	applied        uint64    // index of the last applied entry
	appliedTerm    uint64
	applying       bool   // entries that became committed with the last applied one are left for the next Outputs
	compacted      uint64 // index of the last snapshot
	compacting     bool   // a local snapshot isn't durable yet
	logBytes       int    // of entries applied since the last snapshot
	stateBytes     int    // of the last snapshot
	retain         uint64 // number of entries to retain before the snapshot that isn't durable yet
	book           addressBook
}

// NewCore returns a Core with the restored state. It starts as a follower.
func NewCore(config CoreConfig, restored Restored) (*Core, error) {
	if config.CompactAfter == 0 {
		config.CompactAfter = DefaultCompactAfter
	}
	node, err := consensus.New(config.Consensus, restored)
	if err != nil {
		return nil, trace.Wrap(err, "restoring consensus")
	}
	c := &Core{
		config:       config,
		node:         node,
		stateMachine: config.StateMachine,
		now:          config.Consensus.Now,
		proposals:    map[uint64]proposal{},
		waiting:      map[*Request]RequestID{},
	}
	if config.NewCoordinator != nil {
		c.coordinator = config.NewCoordinator(node.LeaseValid)
	}
	if err := c.restore(restored.Snapshot); err != nil {
		return nil, trace.Wrap(err)
	}
	return c, nil
}

// Deliver handles a message from another daemon. Messages that consensus rejects are dropped.
func (c *Core) Deliver(now time.Time, m *controlpb.ConsensusMessage) {
	c.now = now
	if m.GetTo() == c.config.Consensus.ID { // otherwise it is for an earlier replica at this address
		c.book.update(m.GetMembers())
	}
	_ = c.node.Step(now, m)
}

// Tick handles the timers that are due. If these include one of consensus, the coordinator's wait for the next call, so that
// a pass of the scheduler doesn't delay heartbeats.
func (c *Core) Tick(now time.Time) {
	c.now = now
	due := c.node.NextDeadline()
	c.node.Tick(now)
	if !due.IsZero() && !now.Before(due) || !c.leading || now.Before(c.earliestProposal()) {
		return
	}
	for _, command := range c.coordinator.Tick(now) {
		c.proposeCoordinatorCommand(command)
		c.nextProposalAt = now.Add(coordinatorInterval)
	}
}

// NextDeadline returns the time at which Tick has to be called, or the zero time if no timer is set.
func (c *Core) NextDeadline() time.Time {
	deadline := c.node.NextDeadline()
	if !c.leading {
		return deadline
	}
	coordinatorDeadline := c.coordinator.NextDeadline()
	if coordinatorDeadline.IsZero() {
		return deadline
	}
	if earliest := c.earliestProposal(); coordinatorDeadline.Before(earliest) {
		coordinatorDeadline = earliest
	}
	if deadline.IsZero() || coordinatorDeadline.Before(deadline) {
		return coordinatorDeadline
	}
	return deadline
}

// earliestProposal returns the time before which the coordinator isn't to propose anything more.
func (c *Core) earliestProposal() time.Time {
	if c.coordinator.IsUrgent() {
		return c.nextProposalAt.Add(urgentInterval - coordinatorInterval)
	}
	return c.nextProposalAt
}

// Ready returns the next Output and whether there is any. It applies committed entries, up to the limits of
// CoreConfig.Consensus on one Output.
func (c *Core) Ready() (Output, bool) {
	var o Output
	if c.failure != nil {
		return o, false
	}
	o.consensusOutput, o.hasConsensusOutput = c.node.Ready()
	if o.hasConsensusOutput {
		o.Snapshot, o.HardState, o.Entries = o.consensusOutput.Snapshot, o.consensusOutput.HardState, o.consensusOutput.Entries
		o.Immediate, o.Messages = o.consensusOutput.Immediate, o.consensusOutput.Messages
		c.book.attach(c.now, c.node, o.Immediate)
		c.applyOutput(o.consensusOutput)
	}
	c.updateCoordinator()
	c.collectReplies()
	o.Compact, o.encodeState = c.compact()
	o.Members = c.book.takeChanged(c.node)
	o.Replies, c.replies = c.replies, nil
	return o, o.hasConsensusOutput || len(o.Replies) > 0 || o.Compact != nil || o.Members != nil
}

// ReadyImmediate returns the Replies, Immediate and Members of the next Output, for a caller that can't persist another Output
// yet. What it returns isn't advanced.
func (c *Core) ReadyImmediate() Output {
	var o Output
	if c.failure != nil {
		return o
	}
	o.Immediate = c.node.Immediate()
	c.book.attach(c.now, c.node, o.Immediate)
	c.updateCoordinator()
	c.collectReplies()
	o.Members = c.book.takeChanged(c.node)
	o.Replies, c.replies = c.replies, nil
	return o
}

// Advance reports that an Output was persisted and its messages were sent. It is called in the order of Ready.
func (c *Core) Advance(now time.Time, o Output) {
	c.now = now
	if o.hasConsensusOutput {
		c.node.Advance(now, o.consensusOutput)
	}
	if o.Compact == nil {
		return
	}
	c.compacting = false
	index := o.Compact.GetIndex()
	if index < c.compacted {
		return // a newer snapshot was received meanwhile
	}
	c.stateBytes = len(o.Compact.GetState())
	if index > c.retain {
		c.recordFailure(c.node.Compact(index-c.retain, o.Compact))
	}
}

// applyOutput installs the snapshot and applies the committed entries of a consensus output.
func (c *Core) applyOutput(output consensus.Output) {
	if output.Snapshot != nil {
		if c.recordFailure(c.restore(output.Snapshot)) {
			return
		}
		c.failThrough(output.Snapshot.GetIndex())
	}
	if len(output.Committed) == 0 && output.Snapshot == nil {
		return
	}
	c.applying = output.CommittedLeft
	resolvers := make([]func(), 0, len(output.Committed))
	for _, entry := range output.Committed {
		if resolve := c.apply(entry); resolve != nil {
			resolvers = append(resolvers, resolve)
		}
	}
	c.notifyApplied()
	for _, resolve := range resolvers {
		resolve()
	}
}

// notifyApplied informs the coordinator about the changes. While it is active, its state follows each Output. Otherwise it
// learns of all entries that became committed together at once: how much time has passed since an entry shows only in the
// later ones.
func (c *Core) notifyApplied() {
	if c.applying && !c.leading {
		return
	}
	changes := c.stateMachine.TakeChanges()
	if c.coordinator != nil {
		c.coordinator.Applied(c.now, changes)
	}
}

// apply applies one entry. It returns a function that resolves the entry's proposal, to be called after the coordinator has
// received the changes; nil if the entry wasn't proposed here.
func (c *Core) apply(entry *controlpb.Entry) func() {
	c.applied = entry.GetIndex()
	c.logBytes += len(entry.GetData())
	if entry.GetTerm() != c.appliedTerm {
		c.appliedTerm = entry.GetTerm()
		c.failBefore(entry.GetTerm())
	}
	var result *controlpb.Result
	if entry.GetType() == controlpb.EntryType_COMMAND {
		command := &controlpb.Command{}
		if c.recordFailure(trace.Wrap(proto.Unmarshal(entry.GetData(), command), "decoding entry %d", entry.GetIndex())) {
			return nil
		}
		result = c.stateMachine.Apply(entry.GetIndex(), command)
	}
	p, ok := c.proposals[entry.GetIndex()]
	if !ok {
		return nil
	}
	delete(c.proposals, entry.GetIndex())
	return func() { c.resolve(p, result) }
}

// resolve reports the result of a committed proposal to its proposer.
func (c *Core) resolve(p proposal, result *controlpb.Result) {
	switch {
	case p.command != nil:
		if c.leading {
			c.coordinator.HandleResult(c.now, p.command, result)
		}
	case p.membershipChange:
		c.answer(p.requestID, &controlpb.LeaderReply{Result: &controlpb.Result{}, Membership: c.node.Membership()})
	default:
		c.answer(p.requestID, &controlpb.LeaderReply{Result: result})
	}
}

// failBefore fails the proposals of terms before term. Once an entry of a later term is committed, an uncommitted entry of
// an earlier term can't be committed any more, because terms never decrease along the log.
func (c *Core) failBefore(term uint64) {
	for _, index := range slices.Sorted(maps.Keys(c.proposals)) {
		p := c.proposals[index]
		if p.term >= term {
			continue
		}
		delete(c.proposals, index)
		c.failProposal(p, controlpb.ResultCode_RESULT_UNAVAILABLE, "the leader has changed; the request was not applied")
	}
}

// failThrough fails the proposals up to the index of a received snapshot with RESULT_UNKNOWN, because the snapshot doesn't
// show whether it includes them.
func (c *Core) failThrough(snapshotIndex uint64) {
	for _, index := range slices.Sorted(maps.Keys(c.proposals)) {
		p := c.proposals[index]
		if index > snapshotIndex {
			continue
		}
		delete(c.proposals, index)
		c.failProposal(p, controlpb.ResultCode_RESULT_UNKNOWN, "the leader has changed; the request may have been applied")
	}
}

func (c *Core) failProposal(p proposal, code controlpb.ResultCode, message string) {
	if p.command != nil {
		if c.leading {
			c.coordinator.HandleResult(c.now, p.command, nil)
		}
		return
	}
	c.answer(p.requestID, reply(code, message))
}

// updateCoordinator starts the coordinator once a leader has applied an entry of its own term and those committed with it, and
// stops it when the replica loses or transfers its leadership.
func (c *Core) updateCoordinator() {
	if c.coordinator == nil {
		return
	}
	status := c.node.Status()
	leading := status.Role == consensus.Leader && !status.Transferring && c.appliedTerm == status.Term
	if leading == c.leading || leading && c.applying {
		return
	}
	c.leading = leading
	if leading {
		c.coordinator.StartLeading(c.now)
		return
	}
	c.coordinator.StopLeading()
	c.collectReplies()
}

// collectReplies collects the coordinator's replies to waiting requests.
func (c *Core) collectReplies() {
	if c.coordinator == nil {
		return
	}
	for _, answer := range c.coordinator.TakeReplies(c.now) {
		requestID, ok := c.waiting[answer.Request]
		if !ok {
			continue
		}
		delete(c.waiting, answer.Request)
		c.answer(requestID, answer.Reply)
	}
}

// TransferLeadership starts a transfer of leadership to the active voter with the highest match index. It returns false if
// this replica isn't the leader or no other voter is active.
func (c *Core) TransferLeadership(now time.Time) bool {
	c.now = now
	var best consensus.PeerStatus
	for _, peer := range c.node.Status().Peers {
		if peer.Voter && peer.Active && (best.ID == 0 || peer.Match > best.Match) {
			best = peer
		}
	}
	return best.ID != 0 && c.node.TransferLeadership(now, best.ID) == nil
}

// Resign makes a leader step down without transferring its leadership.
func (c *Core) Resign(now time.Time) {
	c.now = now
	c.node.Resign(now)
	c.updateCoordinator()
}

// View returns an immutable snapshot of the control state.
func (c *Core) View() *controlstate.View { return c.stateMachine.View() }

// Status returns the status of consensus.
func (c *Core) Status() consensus.Status { return c.node.Status() }

// Membership returns the membership in effect.
func (c *Core) Membership() *controlpb.Membership { return c.node.Membership() }

// FreshAt returns the latest local time at which View was known to be current, or the zero time.
func (c *Core) FreshAt() time.Time { return c.node.FreshAt() }

// Fresh reports whether View is recent enough for placement and calls.
func (c *Core) Fresh(now time.Time) bool {
	at := c.node.FreshAt()
	return !at.IsZero() && now.Sub(at) < StaleAfter
}

// Err returns the error that stopped this Core, such as an entry or snapshot that can't be decoded. A stopped Core returns
// no more Output.
func (c *Core) Err() error { return c.failure }

func (c *Core) recordFailure(err error) bool {
	if err != nil && c.failure == nil {
		c.failure = err
	}
	return err != nil
}

func (c *Core) answer(requestID RequestID, r *controlpb.LeaderReply) {
	c.replies = append(c.replies, DeferredReply{RequestID: requestID, Reply: r})
}

func reply(code controlpb.ResultCode, message string) *controlpb.LeaderReply {
	return &controlpb.LeaderReply{Result: &controlpb.Result{Code: code, Message: message}}
}
