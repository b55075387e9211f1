package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/consensus"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/shell/logstore"
)

const (
	// DefaultQueueLength is the default capacity of the request queue of the control loop: the requests of more than a
	// second at the peak of 380 task starts a second.
	DefaultQueueLength = 1024

	// inboxLength is the capacity of the queue of received consensus messages. Messages beyond it are dropped, which
	// consensus tolerates.
	inboxLength = 4096

	// maxDrainedEvents limits the queued events handled in one iteration of the control loop, so that a long queue doesn't
	// delay heartbeats.
	maxDrainedEvents = 256

	// maxOutputTime is the time after which an iteration of the control loop leaves further Outputs to the next one, so that
	// applying a long log doesn't delay heartbeats and elections. It is exceeded by at most the time of one Output.
	maxOutputTime = 10 * time.Millisecond

	// slowIteration is the duration from which an iteration of the control loop is logged: the heartbeat interval.
	slowIteration = 100 * time.Millisecond

	// maxUnsynced limits the Outputs that wait to be persisted. Messages and replies that need no sync don't wait for them.
	maxUnsynced = 64

	// diskLogInterval is the minimum time between log lines about a slow disk.
	diskLogInterval = time.Second

	// transferTimeout limits the wait for a new leader in Stop.
	transferTimeout = time.Second
)

// Store persists the consensus state. It is implemented by logstore.Store, and by DiscardStore for learners without a
// disk.
type Store interface {
	Save(batch logstore.Batch) error
	Compact(snapshot *controlpb.Snapshot) error
}

// Transport sends messages and requests to other daemons. It is implemented by transport.Transport.
type Transport interface {
	Send(m *controlpb.ConsensusMessage)
	SetPeers(self uint64, members []*controlpb.Member)
	Forward(ctx context.Context, to netip.AddrPort, request *controlpb.LeaderRequest) (*controlpb.LeaderReply, error)
}

// DiscardStore is the Store of a learner without a data folder. It discards everything.
type DiscardStore struct{}

// Save discards the batch.
func (DiscardStore) Save(logstore.Batch) error { return nil }

// Compact discards the snapshot.
func (DiscardStore) Compact(*controlpb.Snapshot) error { return nil }

// Options configure a Replica.
type Options struct {
	Host      string         // name of this host in the inventory
	Address   netip.AddrPort // of this daemon's RPC server, as advertised to the other members
	Core      CoreConfig     // Consensus.Now is set by New
	Restored  Restored
	Store     Store
	Transport Transport
	Clock     clockwork.Clock
	Log       logr.Logger

	// Seeds are addresses of other daemons. A replica that isn't a member asks them to add it as a learner.
	Seeds []netip.AddrPort

	QueueLength int // requests; 0 for DefaultQueueLength

	// Suspended reports whether the host was suspended since the last call; nil if hosts are never suspended. A leader
	// steps down after a suspension, because the clock that measures its lease was stopped.
	Suspended func() bool
}

// View is an immutable snapshot of a replica's status, for other goroutines.
type View struct {
	State      *controlstate.View
	FreshAt    time.Time // latest time at which State was known to be current, by the local clock
	ID         uint64
	Leader     uint64 // 0 when unknown
	Leading    bool
	Voter      bool
	Term       uint64
	Commit     uint64
	Applied    uint64
	Members    []*controlpb.Member // address book
	Membership *controlpb.Membership
	Peers      []consensus.PeerStatus // the other members; set only on the leader
	Failed     error                  // why this replica has stopped, for example a DiskFailedError; nil while it runs
}

// Fresh reports whether the state is recent enough for placement and calls. A daemon whose state isn't fresh reports
// itself as not ready.
func (v *View) Fresh(now time.Time) bool {
	return !v.FreshAt.IsZero() && now.Sub(v.FreshAt) < StaleAfter
}

// LeaderAddress returns the leader's address and whether it is known.
func (v *View) LeaderAddress() (netip.AddrPort, bool) {
	return v.addressOf(v.Leader)
}

func (v *View) addressOf(id uint64) (netip.AddrPort, bool) {
	for _, member := range v.Members {
		if member.GetId() == id && id != 0 {
			address, err := netip.ParseAddrPort(member.GetAddress())
			return address, err == nil
		}
	}
	return netip.AddrPort{}, false
}

// DiskFailedError is the error of a replica that stopped because its store failed.
type DiskFailedError struct {
	Err error
}

func (e *DiskFailedError) Error() string { return "DiskFailed: " + e.Err.Error() }

func (e *DiskFailedError) Unwrap() error { return e.Err }

// Replica runs a Core. The control goroutine owns the Core; the disk goroutine writes to the store. The methods of a
// Replica are safe for concurrent use; Run is called once.
type Replica struct {
	options  Options
	core     *Core
	id       uint64
	counters *counters

	inbox     chan *controlpb.ConsensusMessage
	requests  chan *pendingRequest
	batcher   *batcher // renewals for the leader
	usage     usageFilter
	transfers chan chan bool // requests to transfer leadership; the reply reports whether a transfer was started
	wakeups   chan struct{}
	seeds     atomic.Pointer[[]netip.AddrPort]
	view      atomic.Pointer[View]

	// leaderChanged is closed and replaced after a view with another leader is published.
	leaderChanged atomic.Pointer[chan struct{}]

	lastJoinOutcome string // last outcome that the goroutine of join has logged
	// leaderlessSince is when join first saw no leader; zero while a leader is known.
	leaderlessSince time.Time
	removed         atomic.Bool // this identity was removed from the membership and can't be added again

	// The fields below belong to the control goroutine.
	pending     map[RequestID]*pendingRequest
	unsynced    int
	outputsLeft bool // the last iteration left Outputs to the next one
	outputsHeld heldOutputs
	addressBook []*controlpb.Member
	failure     error
	role        string // last role that was logged
	outputQueue chan Output
	syncResults chan syncResult

	slowDiskLoggedAt time.Time // belongs to the disk goroutine
}

// syncResult reports Outputs that the disk goroutine has persisted, or failed to persist.
type syncResult struct {
	outputs []Output
	err     error
}

// pendingRequest is a request that waits for its answer. Whoever sets claimed takes the request from the queue: the
// control goroutine to submit it, or the goroutine that waits for the answer to withdraw it when its context ends.
type pendingRequest struct {
	request *controlpb.LeaderRequest
	answer  chan DeferredReply
	claimed atomic.Bool
}

// New returns a replica with the restored state. Run starts it.
func New(options Options) (*Replica, error) {
	if options.QueueLength == 0 {
		options.QueueLength = DefaultQueueLength
	}
	options.Core.Consensus.Now = options.Clock.Now()
	core, err := NewCore(options.Core, options.Restored)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Replica{
		options:     options,
		core:        core,
		id:          options.Core.Consensus.ID,
		counters:    newCounters(options.Host),
		inbox:       make(chan *controlpb.ConsensusMessage, inboxLength),
		requests:    make(chan *pendingRequest, options.QueueLength),
		transfers:   make(chan chan bool),
		wakeups:     make(chan struct{}, 1),
		pending:     map[RequestID]*pendingRequest{},
		outputQueue: make(chan Output, maxUnsynced),
		syncResults: make(chan syncResult, maxUnsynced),
	}
	r.SetSeeds(options.Seeds)
	r.batcher = &batcher{replica: r, sender: rand.Uint64()}
	r.notifyLeaderChange()
	r.publish()
	return r, nil
}

// View returns the current view. It never blocks.
func (r *Replica) View() *View { return r.view.Load() }

// KnownMembers returns the address book. It returns nil for a nil replica.
func (r *Replica) KnownMembers() []*controlpb.Member {
	if r == nil {
		return nil
	}
	return r.View().Members
}

// Deliver queues a consensus message from the transport. It drops the message when the queue is full.
func (r *Replica) Deliver(m *controlpb.ConsensusMessage) {
	select {
	case r.inbox <- m:
	default:
		r.counters.DroppedMessages.Add(1)
	}
}

// SetSeeds replaces Options.Seeds.
func (r *Replica) SetSeeds(seeds []netip.AddrPort) { r.seeds.Store(&seeds) }

// Wake triggers an iteration of the control loop, in which the coordinator handles input that it received from other
// goroutines. It never blocks.
func (r *Replica) Wake() {
	select {
	case r.wakeups <- struct{}{}:
	default:
	}
}

// Run runs the replica until the context ends or the replica fails, and returns the failure or nil. If the store fails,
// the error is a DiskFailedError. After a failure Run answers requests with RESULT_UNAVAILABLE until the context ends, and
// only then returns.
func (r *Replica) Run(ctx context.Context) error {
	diskDone := make(chan struct{})
	go func() {
		defer close(diskDone)
		r.runDisk()
	}()
	joining, stopJoining := context.WithCancel(ctx)
	defer stopJoining()
	go r.join(joining)
	r.runControlLoop(ctx)
	close(r.outputQueue)
	<-diskDone
	if r.failure != nil {
		r.rejectUntilDone(ctx)
	}
	r.failPendingRequests()
	return r.failure
}

// runControlLoop is the body of the control goroutine.
func (r *Replica) runControlLoop(ctx context.Context) {
	timer := r.options.Clock.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil && r.failure == nil {
		select {
		case <-ctx.Done():
			return
		case m := <-r.inbox:
			r.checkSuspension()
			r.core.Deliver(r.options.Clock.Now(), m)
		case p := <-r.requests:
			r.submit(p)
		case s := <-r.syncResults:
			r.checkSuspension()
			r.completeSync(s)
		case reply := <-r.transfers:
			r.checkSuspension()
			reply <- r.core.TransferLeadership(r.options.Clock.Now())
		case <-r.wakeups:
			r.checkSuspension()
		case <-timer.Chan():
			r.checkSuspension()
		}
		start := r.options.Clock.Now()
		r.drainQueues()
		drained := r.options.Clock.Now()
		r.core.Tick(drained)
		ticked := r.options.Clock.Now()
		r.processOutputs()
		r.publish()
		r.logSlowIteration(start, drained, ticked)
		r.setTimer(timer)
	}
}

// logSlowIteration logs an iteration of the control loop that took long enough to delay heartbeats.
func (r *Replica) logSlowIteration(start, drained, ticked time.Time) {
	end := r.options.Clock.Now()
	if end.Sub(start) < slowIteration {
		return
	}
	r.options.Log.Info("control loop iteration was slow", "Host", r.options.Host, "Replica", r.id, "Role", r.role, "Requests", drained.Sub(start).String(),
		"Decisions", ticked.Sub(drained).String(), "Commits", end.Sub(ticked).String(), "Queued", len(r.requests), "Unsynced", r.unsynced)
}

// logHeldOutputs logs that Outputs were held for longer than a heartbeat interval.
func (r *Replica) logHeldOutputs() {
	if held, due := r.outputsHeld.end(r.options.Clock.Now()); due {
		r.options.Log.Info("outputs waited for the disk", "Host", r.options.Host, "Replica", r.id, "Role", r.role, "Held", held.String())
	}
}

// checkSuspension makes a leader step down after its host was suspended.
func (r *Replica) checkSuspension() {
	if r.options.Suspended == nil || !r.options.Suspended() {
		return
	}
	r.options.Log.Info("host was suspended", "Host", r.options.Host, "Replica", r.id, "Role", r.role)
	r.core.Resign(r.options.Clock.Now())
}

// drainQueues handles the events that are queued already, so that their entries share one sync.
func (r *Replica) drainQueues() {
	for range maxDrainedEvents {
		select {
		case m := <-r.inbox:
			r.core.Deliver(r.options.Clock.Now(), m)
		case p := <-r.requests:
			r.submit(p)
		case s := <-r.syncResults:
			r.completeSync(s)
		default:
			return
		}
	}
}

func (r *Replica) setTimer(timer clockwork.Timer) {
	wait := time.Second
	if deadline := r.core.NextDeadline(); !deadline.IsZero() {
		wait = max(0, deadline.Sub(r.options.Clock.Now()))
	}
	if r.outputsLeft {
		wait = 0
	}
	timer.Reset(wait)
}

// submit passes a request to the Core unless it was withdrawn. It checks for a suspension before each request, because the Core
// answers queries immediately if its lease looks valid.
func (r *Replica) submit(p *pendingRequest) {
	if !p.claimed.CompareAndSwap(false, true) {
		return
	}
	r.checkSuspension()
	r.pending[r.core.Submit(r.options.Clock.Now(), p.request)] = p
}

// processOutputs processes the pending Outputs of the Core for up to maxOutputTime. Those that need a sync go to the disk
// goroutine.
func (r *Replica) processOutputs() {
	start := r.options.Clock.Now()
	if r.outputsLeft && r.failure == nil {
		r.deliverImmediate(r.core.ReadyImmediate()) // these needn't wait until the next Output is applied
	}
	r.outputsLeft = false
	if r.unsynced < maxUnsynced {
		r.logHeldOutputs()
	}
	for outputs := 0; r.unsynced < maxUnsynced && r.failure == nil; outputs++ {
		if outputs > 0 && r.options.Clock.Since(start) >= maxOutputTime {
			r.outputsLeft = true
			break
		}
		o, ok := r.core.Ready()
		if !ok {
			break
		}
		r.deliverImmediate(o)
		if !o.NeedsSync() && r.unsynced == 0 {
			r.send(o.Messages)
			r.core.Advance(r.options.Clock.Now(), o)
			continue
		}
		r.unsynced++
		r.outputQueue <- o
	}
	if r.unsynced >= maxUnsynced && r.failure == nil {
		r.outputsHeld.begin(r.options.Clock.Now())
		r.deliverImmediate(r.core.ReadyImmediate())
	}
	if err := r.core.Err(); err != nil {
		r.fail(err)
	}
}

// deliverImmediate processes the parts of an Output that need no sync.
func (r *Replica) deliverImmediate(o Output) {
	r.deliverReplies(o.Replies)
	r.send(o.Immediate)
	if o.Members != nil {
		r.addressBook = o.Members
		r.options.Transport.SetPeers(r.id, o.Members)
	}
}

// completeSync reports persisted Outputs to the Core, or stops the replica if they could not be persisted.
func (r *Replica) completeSync(s syncResult) {
	r.unsynced -= len(s.outputs)
	if s.err != nil {
		r.fail(&DiskFailedError{Err: s.err})
		return
	}
	for _, o := range s.outputs {
		r.send(o.Messages)
		r.core.Advance(r.options.Clock.Now(), o)
	}
}

// fail stops this replica. A leader transfers its leadership first; if the transfer doesn't succeed, followers elect a
// leader when heartbeats stop. Entries that weren't synced have not been acknowledged.
func (r *Replica) fail(err error) {
	if r.failure != nil {
		return
	}
	r.options.Log.Error(err, "replica stopped", "Host", r.options.Host, "Replica", r.id, "Term", r.core.Status().Term)
	if r.core.TransferLeadership(r.options.Clock.Now()) {
		o, _ := r.core.Ready()
		r.deliverReplies(o.Replies)
		r.send(o.Immediate)
	}
	r.failure = err
	r.publish()
}

func (r *Replica) send(messages []*controlpb.ConsensusMessage) {
	for _, m := range messages {
		r.options.Transport.Send(m)
	}
}

func (r *Replica) deliverReplies(answers []DeferredReply) {
	for _, answer := range answers {
		if p := r.pending[answer.RequestID]; p != nil {
			delete(r.pending, answer.RequestID)
			p.answer <- answer
		}
	}
}

// failPendingRequests answers all pending requests when the replica stops. Requests that were submitted get
// RESULT_UNKNOWN, because a later leader may still apply them.
func (r *Replica) failPendingRequests() {
	for requestID, p := range r.pending {
		delete(r.pending, requestID)
		p.answer <- DeferredReply{Reply: reply(controlpb.ResultCode_RESULT_UNKNOWN, "the daemon stopped; the request may have been applied")}
	}
	for {
		select {
		case p := <-r.requests:
			if p.claimed.CompareAndSwap(false, true) {
				p.answer <- DeferredReply{Reply: reply(controlpb.ResultCode_RESULT_UNAVAILABLE, "the daemon is stopping")}
			}
		default:
			return
		}
	}
}

// rejectUntilDone rejects requests to a failed replica until the context ends.
func (r *Replica) rejectUntilDone(ctx context.Context) {
	for {
		r.failPendingRequests()
		select {
		case <-ctx.Done():
			return
		case p := <-r.requests:
			if p.claimed.CompareAndSwap(false, true) {
				p.answer <- DeferredReply{Reply: reply(controlpb.ResultCode_RESULT_UNAVAILABLE, r.failure.Error())}
			}
		case <-r.inbox:
		case transfer := <-r.transfers:
			transfer <- false
		}
	}
}

// publish replaces the view and updates the counters. It logs a change of role.
func (r *Replica) publish() {
	status := r.core.Status()
	view := &View{
		State:      r.core.View(),
		FreshAt:    r.core.FreshAt(),
		ID:         r.id,
		Leader:     status.Leader,
		Leading:    status.Role == consensus.Leader && r.failure == nil,
		Voter:      status.Voter,
		Term:       status.Term,
		Commit:     status.Commit,
		Applied:    status.Applied,
		Members:    r.addressBook,
		Membership: r.core.Membership(),
		Peers:      status.Peers,
		Failed:     r.failure,
	}
	last := r.view.Swap(view)
	if last != nil && last.Leader != view.Leader {
		r.notifyLeaderChange()
	}
	r.counters.update(view, len(r.requests), r.unsynced)
	if role := status.Role.String(); role != r.role {
		if r.role == consensus.Leader.String() {
			r.options.Log.Info("leadership ended", "Host", r.options.Host, "Replica", r.id, "Reason", string(status.LastStepDown.Reason),
				"SinceQuorum", status.LastStepDown.SinceQuorum.String(), "Unsynced", r.unsynced,
				"OutputsHeld", r.outputsHeld.lasting(r.options.Clock.Now()).String())
		}
		r.role = role
		r.options.Log.Info("role changed", "Host", r.options.Host, "Replica", r.id, "Role", role, "Term", status.Term,
			"Leader", status.Leader, "Commit", status.Commit, "Version", view.State.Version)
	}
}

// notifyLeaderChange wakes the goroutines that wait on leaderChanged.
func (r *Replica) notifyLeaderChange() {
	next := make(chan struct{})
	if last := r.leaderChanged.Swap(&next); last != nil {
		close(*last)
	}
}

// runDisk is the body of the disk goroutine. It persists Outputs in order; Outputs that are queued together share one sync.
func (r *Replica) runDisk() {
	var deferred *Output
	for {
		outputs := make([]Output, 0, maxUnsynced)
		if deferred != nil {
			outputs, deferred = append(outputs, *deferred), nil
		} else if o, ok := <-r.outputQueue; ok {
			outputs = append(outputs, o)
		} else {
			return
		}
		batch := logstore.Batch{Snapshot: outputs[0].Snapshot, HardState: outputs[0].HardState, Entries: outputs[0].Entries}
		for deferred == nil && outputs[len(outputs)-1].Compact == nil && len(outputs) < maxUnsynced {
			next, ok := r.nextQueuedOutput()
			if !ok {
				break
			}
			if !merge(&batch, next) {
				deferred = next
				break
			}
			outputs = append(outputs, *next)
		}
		outputs[len(outputs)-1].Encode()
		err := r.save(batch, outputs[len(outputs)-1].Compact)
		r.syncResults <- syncResult{outputs: outputs, err: err}
	}
}

// nextQueuedOutput returns the next Output that is queued for persistence, without blocking.
func (r *Replica) nextQueuedOutput() (*Output, bool) {
	select {
	case o, ok := <-r.outputQueue:
		return &o, ok
	default:
		return nil, false
	}
}

// merge adds an Output to a batch and reports whether it could. An Output that installs a snapshot or truncates entries of the
// batch needs a batch of its own.
func merge(batch *logstore.Batch, o *Output) bool {
	if o.Snapshot != nil {
		return false
	}
	if n := len(batch.Entries); n > 0 && len(o.Entries) > 0 && o.Entries[0].GetIndex() != batch.Entries[n-1].GetIndex()+1 {
		return false
	}
	if o.HardState != nil {
		batch.HardState = o.HardState
	}
	batch.Entries = append(batch.Entries[:len(batch.Entries):len(batch.Entries)], o.Entries...)
	return true
}

func (r *Replica) save(batch logstore.Batch, compact *controlpb.Snapshot) error {
	start := r.options.Clock.Now()
	if err := r.options.Store.Save(batch); err != nil {
		return err
	}
	saved := r.options.Clock.Now()
	if batch.HardState != nil || batch.Snapshot != nil || len(batch.Entries) > 0 {
		r.counters.recordSync(saved.Sub(start), len(batch.Entries))
	}
	var err error
	if compact != nil {
		err = r.options.Store.Compact(compact)
	}
	r.logSlowDisk(start, saved, len(batch.Entries))
	return err
}

// logSlowDisk logs a write to the store that took longer than a heartbeat interval.
func (r *Replica) logSlowDisk(start, saved time.Time, entries int) {
	end := r.options.Clock.Now()
	if end.Sub(start) < slowIteration || end.Sub(r.slowDiskLoggedAt) < diskLogInterval {
		return
	}
	r.slowDiskLoggedAt = end
	r.options.Log.Info("disk was slow", "Host", r.options.Host, "Replica", r.id, "Save", saved.Sub(start).String(),
		"Compact", end.Sub(saved).String(), "Entries", entries)
}

// Stop transfers leadership if this replica leads, and waits for up to 1 s until another replica leads. Run continues until
// its context ends.
func (r *Replica) Stop(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.options.Clock, transferTimeout)
	defer cancel()
	started := make(chan bool, 1)
	select {
	case r.transfers <- started:
	case <-ctx.Done():
		return
	}
	if !<-started {
		return
	}
	for {
		if view := r.View(); !view.Leading && view.Leader != 0 && view.Leader != r.id {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-r.options.Clock.After(10 * time.Millisecond):
		}
	}
}

// Removed reports whether this replica's identity was removed from the membership. The host can rejoin only under a new
// identity.
func (r *Replica) Removed() bool { return r.removed.Load() }

// Failure returns the error that stopped the replica, or nil.
func (r *Replica) Failure() error { return r.View().Failed }

// IsDiskFailed reports whether err is or wraps a DiskFailedError.
func IsDiskFailed(err error) bool {
	var failed *DiskFailedError
	return errors.As(err, &failed)
}
