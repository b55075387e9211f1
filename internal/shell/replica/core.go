// Package replica runs a daemon's control side: Core is deterministic and free of I/O, Replica is the shell around it.
//
// Core applies committed entries in Take, before the entries of the same Work are on disk: what is committed is already
// durable here and on a quorum, and callers needn't wait for the sync of later entries.
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
	// DefaultCompactAfter is the number of applied entries after which a snapshot is taken.
	DefaultCompactAfter = 10_000

	// StaleAfter is the age of the freshness stamp from which a daemon is stale. The 0.5 s up to the 3 s within which a
	// configuration has to be in force are the margin for clock rates and scheduling delays.
	StaleAfter = 2500 * time.Millisecond

	// compactBytes is the length of log entries after which a snapshot is taken, however few they are, because entries
	// stay in memory until then and a daemon has 32 MB, and because a restart applies them again. A configuration of 970
	// workers takes about 80 KB, one of 70 workers 6 KB and 0.6 to 1 ms to apply.
	compactBytes = 2 << 20

	// compactLatest is the multiple of CompactAfter at which a snapshot is taken even though the log since the last one
	// is shorter than that snapshot. Below it, the wait keeps the cost of snapshots in proportion to the log's growth.
	compactLatest = 3

	// keepShare and keepBytes limit the entries that stay in memory after a snapshot, so that members that are a little
	// behind need no snapshot, to a part of CompactAfter and to a length.
	keepShare = 10
	keepBytes = 512 << 10

	// ownInterval is the shortest time between two proposals of the coordinator, which puts what has gathered into one
	// batch. At 380 starts a second, proposals every millisecond took 360 appends a second to each member.
	ownInterval = 20 * time.Millisecond
)

// Overloaded is the message of RESULT_UNAVAILABLE when a queue is full. Such a request isn't retried by daemons, which
// would add to the load.
const Overloaded = "Overloaded"

// Machine is the replicated state machine. It is implemented by controlstate.State.
type Machine interface {
	Apply(index uint64, c *controlpb.Command) *controlpb.Result
	// Freeze returns a function that encodes the state as it is now; it may run on another goroutine.
	Freeze() func() []byte
	Restore(snapshot []byte) error
	View() *controlstate.View
	TakeChanges() *controlstate.Changes
}

// Coordinator is the leader's soft state. It is implemented by coordinator.Coordinator.
type Coordinator interface {
	Lead(now time.Time)
	Stop()
	Applied(now time.Time, changes *controlstate.Changes)
	Decided(now time.Time, command *controlpb.Command, result *controlpb.Result)
	Serve(now time.Time, r *controlpb.LeaderRequest) (reply *controlpb.LeaderReply, wait bool)
	Tick(now time.Time) []*controlpb.Command
	Ready(now time.Time) []coordinator.Answer
	NextDeadline() time.Time
}

// CoreConfig describes a Core.
type CoreConfig struct {
	Consensus consensus.Config
	Machine   Machine

	// NewCoordinator makes the leader's soft state; nil for a replica that only answers commands.
	NewCoordinator func(leaseValid func(now time.Time) bool) Coordinator

	// CompactAfter is the number of applied entries after which a snapshot is taken; 0 for DefaultCompactAfter. While
	// they are shorter than the last snapshot, up to three times as many are awaited; 2 MiB of them are enough.
	CompactAfter uint64
}

// Restored is what a replica read from its disk.
type Restored = consensus.Restored

// Ticket names a submitted request until its answer appears in Work.
type Ticket uint64

// Request is a command or a leader query. It belongs to the Core once it is submitted.
type Request = controlpb.LeaderRequest

// Answer is the reply to one submitted request.
type Answer struct {
	Ticket Ticket
	Reply  *controlpb.LeaderReply

	// NotLeader tells that the request surely wasn't applied, because it belongs to the leader. Leader is 0 when unknown.
	NotLeader bool
	Leader    uint64
}

// Work is what the shell has to do. Answers are given out and Immediate messages sent at once. Snapshot, HardState,
// Entries and Compact are persisted; then Messages are sent and Done is called. Works are carried out in order, but
// several may be taken before the first is done, and persisted with one sync.
type Work struct {
	Answers   []Answer
	Immediate []*controlpb.ConsensusMessage
	Members   []*controlpb.Member // the new address book, nil when it is unchanged

	Snapshot  *controlpb.Snapshot // received from the leader
	HardState *controlpb.HardState
	Entries   []*controlpb.Entry
	Compact   *controlpb.Snapshot // taken locally; log entries up to it are unnecessary once it is durable
	Messages  []*controlpb.ConsensusMessage

	output  consensus.Output
	outputs bool          // output is set
	frozen  func() []byte // encodes the state of Compact
}

// Encode fills in the state of Compact, if there is one. It is called before persisting, and may run on another
// goroutine: at 970 workers and 34,900 tasks it takes longer than a heartbeat interval.
func (w *Work) Encode() {
	if w.frozen != nil {
		w.Compact.State = w.frozen()
		w.frozen = nil
	}
}

// NeedsSync reports whether there is anything to persist.
func (w *Work) NeedsSync() bool {
	return w.Snapshot != nil || w.HardState != nil || len(w.Entries) > 0 || w.Compact != nil
}

// proposal is a proposed entry that isn't decided.
type proposal struct {
	term    uint64
	ticket  Ticket             // 0 for a command of the coordinator
	command *controlpb.Command // of the coordinator
	change  bool               // of the membership
}

// Core is one daemon's control side, free of I/O: consensus, control state and coordinator together. It is
// deterministic and not safe for concurrent use.
type Core struct {
	config      CoreConfig
	node        *consensus.Node
	machine     Machine
	coordinator Coordinator
	now         time.Time
	failure     error

	lastTicket  Ticket
	proposals   map[uint64]proposal // by log index
	waiting     map[*Request]Ticket // long polls in the coordinator
	answers     []Answer
	leading     bool      // the coordinator leads
	ownAt       time.Time // the earliest time of the coordinator's next proposal
	applied     uint64    // index
	appliedTerm uint64
	compacted   uint64 // index of the last snapshot
	compacting  bool   // a local snapshot isn't durable yet
	logBytes    int    // of entries applied since the last snapshot
	stateBytes  int    // of the last snapshot
	keep        uint64 // entries to keep in memory behind the snapshot that isn't durable yet
	book        addressBook
}

// NewCore returns a follower with the restored state.
func NewCore(config CoreConfig, restored Restored) (*Core, error) {
	if config.CompactAfter == 0 {
		config.CompactAfter = DefaultCompactAfter
	}
	node, err := consensus.New(config.Consensus, restored)
	if err != nil {
		return nil, trace.Wrap(err, "restoring consensus")
	}
	c := &Core{
		config:    config,
		node:      node,
		machine:   config.Machine,
		now:       config.Consensus.Now,
		proposals: map[uint64]proposal{},
		waiting:   map[*Request]Ticket{},
	}
	if config.NewCoordinator != nil {
		c.coordinator = config.NewCoordinator(node.LeaseValid)
	}
	if err := c.restore(restored.Snapshot); err != nil {
		return nil, trace.Wrap(err)
	}
	return c, nil
}

// Deliver handles a message from another daemon. Messages that consensus refuses are dropped.
func (c *Core) Deliver(now time.Time, m *controlpb.ConsensusMessage) {
	c.now = now
	if m.GetTo() == c.config.Consensus.ID { // or for a replica that was at this address before
		c.book.learn(m.GetMembers())
	}
	_ = c.node.Step(now, m)
}

// Tick handles all timers that are due.
func (c *Core) Tick(now time.Time) {
	c.now = now
	c.node.Tick(now)
	if !c.leading || now.Before(c.ownAt) {
		return
	}
	for _, command := range c.coordinator.Tick(now) {
		c.proposeOwn(command)
		c.ownAt = now.Add(ownInterval)
	}
}

// NextDeadline returns the time at which Tick has something to do, or the zero time if no timer runs.
func (c *Core) NextDeadline() time.Time {
	deadline := c.node.NextDeadline()
	if !c.leading {
		return deadline
	}
	other := c.coordinator.NextDeadline()
	if other.IsZero() {
		return deadline
	}
	if other.Before(c.ownAt) {
		other = c.ownAt
	}
	if deadline.IsZero() || other.Before(deadline) {
		return other
	}
	return deadline
}

// Take returns the next work, if there is any. It applies committed entries.
func (c *Core) Take() (Work, bool) {
	var w Work
	if c.failure != nil {
		return w, false
	}
	w.output, w.outputs = c.node.Ready()
	if w.outputs {
		w.Snapshot, w.HardState, w.Entries = w.output.Snapshot, w.output.HardState, w.output.Entries
		w.Immediate, w.Messages = w.output.Immediate, w.output.Messages
		c.book.attach(c.now, c.node, w.Immediate)
		c.carryOut(w.output)
	}
	c.followRole()
	c.collect()
	w.Compact, w.frozen = c.compact()
	w.Members = c.book.take(c.node)
	w.Answers, c.answers = c.answers, nil
	return w, w.outputs || len(w.Answers) > 0 || w.Compact != nil || w.Members != nil
}

// Done reports that a work was persisted and its messages were sent. Works are done in the order of Take.
func (c *Core) Done(now time.Time, w Work) {
	c.now = now
	if w.outputs {
		c.node.Advance(now, w.output)
	}
	if w.Compact == nil {
		return
	}
	c.compacting = false
	index := w.Compact.GetIndex()
	if index < c.compacted {
		return // a newer snapshot was received meanwhile
	}
	c.stateBytes = len(w.Compact.GetState())
	if index > c.keep {
		c.failed(c.node.Compact(index-c.keep, w.Compact))
	}
}

// carryOut applies what an output has committed.
func (c *Core) carryOut(output consensus.Output) {
	if output.Snapshot != nil {
		if c.failed(c.restore(output.Snapshot)) {
			return
		}
		c.skipTo(output.Snapshot.GetIndex())
	}
	if len(output.Committed) == 0 && output.Snapshot == nil {
		return
	}
	decided := make([]func(), 0, len(output.Committed))
	for _, entry := range output.Committed {
		if done := c.apply(entry); done != nil {
			decided = append(decided, done)
		}
	}
	changes := c.machine.TakeChanges()
	if c.leading {
		c.coordinator.Applied(c.now, changes)
	}
	for _, done := range decided {
		done()
	}
}

// apply applies one entry and returns what is left to do once the coordinator knows of the changes.
func (c *Core) apply(entry *controlpb.Entry) func() {
	c.applied = entry.GetIndex()
	c.logBytes += len(entry.GetData())
	if entry.GetTerm() != c.appliedTerm {
		c.appliedTerm = entry.GetTerm()
		c.dropOlder(entry.GetTerm())
	}
	var result *controlpb.Result
	if entry.GetType() == controlpb.EntryType_COMMAND {
		command := &controlpb.Command{}
		if c.failed(trace.Wrap(proto.Unmarshal(entry.GetData(), command), "decoding entry %d", entry.GetIndex())) {
			return nil
		}
		result = c.machine.Apply(entry.GetIndex(), command)
	}
	p, ok := c.proposals[entry.GetIndex()]
	if !ok {
		return nil
	}
	delete(c.proposals, entry.GetIndex())
	return func() { c.decide(p, result) }
}

// decide tells the proposer the result of its entry.
func (c *Core) decide(p proposal, result *controlpb.Result) {
	switch {
	case p.command != nil:
		if c.leading {
			c.coordinator.Decided(c.now, p.command, result)
		}
	case p.change:
		c.answer(p.ticket, &controlpb.LeaderReply{Result: &controlpb.Result{}, Membership: c.node.Membership()})
	default:
		c.answer(p.ticket, &controlpb.LeaderReply{Result: result})
	}
}

// dropOlder answers proposals of older terms. Once an entry of a later term is committed, an entry of an older term that
// isn't committed yet never will be, because terms only rise along the log.
func (c *Core) dropOlder(term uint64) {
	for _, index := range slices.Sorted(maps.Keys(c.proposals)) {
		p := c.proposals[index]
		if p.term >= term {
			continue
		}
		delete(c.proposals, index)
		c.lost(p, controlpb.ResultCode_RESULT_UNAVAILABLE, "the leader has changed; the request was not applied")
	}
}

// skipTo answers proposals that a received snapshot covers. Whether they are part of it is unknown.
func (c *Core) skipTo(snapshot uint64) {
	for _, index := range slices.Sorted(maps.Keys(c.proposals)) {
		p := c.proposals[index]
		if index > snapshot {
			continue
		}
		delete(c.proposals, index)
		c.lost(p, controlpb.ResultCode_RESULT_UNKNOWN, "the leader has changed; the request may have been applied")
	}
}

func (c *Core) lost(p proposal, code controlpb.ResultCode, message string) {
	if p.command != nil {
		if c.leading {
			c.coordinator.Decided(c.now, p.command, nil)
		}
		return
	}
	c.answer(p.ticket, reply(code, message))
}

// followRole starts the coordinator once an entry of the leader's own term is applied, and stops it with the leadership.
func (c *Core) followRole() {
	if c.coordinator == nil {
		return
	}
	status := c.node.Status()
	leads := status.Role == consensus.Leader && !status.Transferring && c.appliedTerm == status.Term
	if leads == c.leading {
		return
	}
	c.leading = leads
	if leads {
		c.coordinator.Lead(c.now)
		return
	}
	c.coordinator.Stop()
	c.collect()
}

// collect takes the answers of the coordinator to requests that waited.
func (c *Core) collect() {
	if c.coordinator == nil {
		return
	}
	for _, answer := range c.coordinator.Ready(c.now) {
		ticket, ok := c.waiting[answer.Request]
		if !ok {
			continue
		}
		delete(c.waiting, answer.Request)
		c.answer(ticket, answer.Reply)
	}
}

// TransferLeadership hands leadership to the voter that is known to have the most of the log. It returns false when
// this replica doesn't lead, or no other voter is reachable.
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

// Resign makes a leader step down without a successor.
func (c *Core) Resign(now time.Time) {
	c.now = now
	c.node.Resign(now)
	c.followRole()
}

// View returns an immutable snapshot of the control state for traffic.
func (c *Core) View() *controlstate.View { return c.machine.View() }

// Status describes the replica of the log.
func (c *Core) Status() consensus.Status { return c.node.Status() }

// Membership returns the membership in effect.
func (c *Core) Membership() *controlpb.Membership { return c.node.Membership() }

// FreshAt returns the latest local time at which View was certainly current, or the zero time.
func (c *Core) FreshAt() time.Time { return c.node.FreshAt() }

// Fresh reports whether View may be used for placement and calls.
func (c *Core) Fresh(now time.Time) bool {
	at := c.node.FreshAt()
	return !at.IsZero() && now.Sub(at) < StaleAfter
}

// Err returns the error that stopped this Core: an entry or snapshot that this program can't read. It takes part in
// nothing from then on.
func (c *Core) Err() error { return c.failure }

func (c *Core) failed(err error) bool {
	if err != nil && c.failure == nil {
		c.failure = err
	}
	return err != nil
}

func (c *Core) answer(ticket Ticket, r *controlpb.LeaderReply) {
	c.answers = append(c.answers, Answer{Ticket: ticket, Reply: r})
}

func reply(code controlpb.ResultCode, message string) *controlpb.LeaderReply {
	return &controlpb.LeaderReply{Result: &controlpb.Result{Code: code, Message: message}}
}
