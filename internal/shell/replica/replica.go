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
	// DefaultQueueLength bounds the requests that wait for the control goroutine: at the peak of 380 starts a second
	// this is over a second of work.
	DefaultQueueLength = 1024

	// inboxLength bounds the consensus messages that wait. Consensus tolerates the loss of those beyond it.
	inboxLength = 4096

	// roundLimit bounds the requests and messages taken before outputs are looked at, so that heartbeats aren't delayed
	// by a long queue.
	roundLimit = 256

	// longRound is the time above which a round of the control goroutine is logged: the interval of heartbeats.
	longRound = 100 * time.Millisecond

	// maxUnsynced bounds the works that wait for the disk.
	maxUnsynced = 64

	// transferLimit bounds the wait for a successor at a stop.
	transferLimit = time.Second
)

// Store makes log entries durable. It is implemented by logstore.Store, and by Memory for learners without a disk.
type Store interface {
	Save(batch logstore.Batch) error
	Compact(snapshot *controlpb.Snapshot) error
}

// Transport carries messages between daemons. It is implemented by transport.Transport.
type Transport interface {
	Send(m *controlpb.ConsensusMessage)
	SetPeers(self uint64, members []*controlpb.Member)
	Forward(ctx context.Context, to netip.AddrPort, request *controlpb.LeaderRequest) (*controlpb.LeaderReply, error)
}

// Memory is the store of a learner without a data folder: it keeps nothing.
type Memory struct{}

// Save keeps nothing.
func (Memory) Save(logstore.Batch) error { return nil }

// Compact keeps nothing.
func (Memory) Compact(*controlpb.Snapshot) error { return nil }

// Options describe a Replica.
type Options struct {
	Host      string         // name of this host in the inventory
	Address   netip.AddrPort // of this daemon's RPCs, as told to the other members
	Core      CoreConfig     // Consensus.Now is set by New
	Restored  Restored
	Store     Store
	Transport Transport
	Clock     clockwork.Clock
	Log       logr.Logger

	// Seeds are addresses of other daemons. A replica that isn't a member asks them to admit it as a learner.
	Seeds []netip.AddrPort

	QueueLength int // requests; 0 for DefaultQueueLength

	// Suspended reports whether the host was suspended since the last call; nil when that can't happen. A leader then
	// steps down, because the clock by which it measures its lease stood still.
	Suspended func() bool
}

// View is an immutable snapshot of a replica for other goroutines.
type View struct {
	State      *controlstate.View
	FreshAt    time.Time // when State was certainly current, by this daemon's clock
	ID         uint64
	Leader     uint64 // 0 when unknown
	Leading    bool
	Voter      bool
	Term       uint64
	Commit     uint64
	Applied    uint64
	Members    []*controlpb.Member // address book
	Membership *controlpb.Membership
	Peers      []consensus.PeerStatus // leader only: the other members
	Failed     error                  // why this replica takes part in nothing any more, for example DiskFailed
}

// Fresh reports whether the state may be used for placement and calls. A daemon that isn't fresh is unready.
func (v *View) Fresh(now time.Time) bool {
	return !v.FreshAt.IsZero() && now.Sub(v.FreshAt) < StaleAfter
}

// LeaderAddress returns the leader's address when it is known.
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

// DiskFailed is the failure of a replica whose store can't make anything durable any more.
type DiskFailed struct {
	Err error
}

func (e *DiskFailed) Error() string { return "DiskFailed: " + e.Err.Error() }

func (e *DiskFailed) Unwrap() error { return e.Err }

// Replica runs a Core: one goroutine owns it, another one writes to the store.
type Replica struct {
	options  Options
	core     *Core
	id       uint64
	counters *counters

	inbox     chan *controlpb.ConsensusMessage
	requests  chan *call
	batches   *batcher // of renewals for the leader
	usage     usageFilter
	transfers chan chan bool
	wakes     chan struct{}
	seeds     atomic.Pointer[[]netip.AddrPort]
	view      atomic.Pointer[View]

	// leaderChanged is closed and replaced after a view with another leader is published.
	leaderChanged atomic.Pointer[chan struct{}]

	joined string // last outcome that the joining goroutine logged
	// leaderlessSince is when join first saw no leader; zero while there is one.
	leaderlessSince time.Time
	removed         atomic.Bool // the members have removed this identity for good

	// Fields of the control goroutine.
	calls    map[Ticket]*call
	unsynced int
	book     []*controlpb.Member
	stopped  error
	role     string
	toDisk   chan Work
	fromDisk chan synced
}

// synced is what the disk goroutine reports.
type synced struct {
	works []Work
	err   error
}

// call is one request that waits for its answer. Its state decides whether the control goroutine or the caller, whose
// context has ended, takes it from the queue.
type call struct {
	request *controlpb.LeaderRequest
	answer  chan Answer
	taken   atomic.Bool
}

// New restores a replica. Run starts it.
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
		options:   options,
		core:      core,
		id:        options.Core.Consensus.ID,
		counters:  newCounters(options.Host),
		inbox:     make(chan *controlpb.ConsensusMessage, inboxLength),
		requests:  make(chan *call, options.QueueLength),
		transfers: make(chan chan bool),
		wakes:     make(chan struct{}, 1),
		calls:     map[Ticket]*call{},
		toDisk:    make(chan Work, maxUnsynced),
		fromDisk:  make(chan synced, maxUnsynced),
	}
	r.SetSeeds(options.Seeds)
	r.batches = &batcher{replica: r, sender: rand.Uint64()}
	r.announceLeader()
	r.publish()
	return r, nil
}

// View returns the current view. It never blocks.
func (r *Replica) View() *View { return r.view.Load() }

// KnownMembers returns the address book; nil for a replica that doesn't run yet.
func (r *Replica) KnownMembers() []*controlpb.Member {
	if r == nil {
		return nil
	}
	return r.View().Members
}

// Deliver takes a consensus message from the transport. It drops the message when too many wait.
func (r *Replica) Deliver(m *controlpb.ConsensusMessage) {
	select {
	case r.inbox <- m:
	default:
		r.counters.DroppedMessages.Add(1)
	}
}

// SetSeeds replaces the addresses of other daemons that a replica asks to admit it.
func (r *Replica) SetSeeds(seeds []netip.AddrPort) { r.seeds.Store(&seeds) }

// Wake has the control goroutine look for what its coordinator was handed from outside. It never blocks.
func (r *Replica) Wake() {
	select {
	case r.wakes <- struct{}{}:
	default:
	}
}

// Run runs the replica until the context ends or it fails. The error of a failed disk is a DiskFailed.
func (r *Replica) Run(ctx context.Context) error {
	diskDone := make(chan struct{})
	go func() {
		defer close(diskDone)
		r.runDisk()
	}()
	joining, stopJoining := context.WithCancel(ctx)
	defer stopJoining()
	go r.join(joining)
	r.loop(ctx)
	close(r.toDisk)
	<-diskDone
	if r.stopped != nil {
		r.refuseUntil(ctx)
	}
	r.answerAll()
	return r.stopped
}

// loop is the control goroutine.
func (r *Replica) loop(ctx context.Context) {
	timer := r.options.Clock.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil && r.stopped == nil {
		select {
		case <-ctx.Done():
			return
		case m := <-r.inbox:
			r.checkSuspension()
			r.core.Deliver(r.options.Clock.Now(), m)
		case c := <-r.requests:
			r.checkSuspension()
			r.submit(c)
		case s := <-r.fromDisk:
			r.settle(s)
		case reply := <-r.transfers:
			reply <- r.core.TransferLeadership(r.options.Clock.Now())
		case <-r.wakes:
			r.checkSuspension()
		case <-timer.Chan():
			r.checkSuspension()
		}
		began := r.options.Clock.Now()
		r.drain()
		drained := r.options.Clock.Now()
		r.core.Tick(drained)
		ticked := r.options.Clock.Now()
		r.carryOut()
		r.publish()
		r.noteRound(began, drained, ticked)
		r.setTimer(timer)
	}
}

// noteRound logs a round of the control goroutine that took so long that heartbeats were late.
func (r *Replica) noteRound(began, drained, ticked time.Time) {
	ended := r.options.Clock.Now()
	if ended.Sub(began) < longRound {
		return
	}
	r.options.Log.Info("control was held up", "Host", r.options.Host, "Replica", r.id, "Role", r.role, "Requests", drained.Sub(began).String(),
		"Decisions", ticked.Sub(drained).String(), "Commits", ended.Sub(ticked).String(), "Queued", len(r.requests), "Unsynced", r.unsynced)
}

// checkSuspension has a leader step down after its host was suspended.
func (r *Replica) checkSuspension() {
	if r.options.Suspended == nil || !r.options.Suspended() {
		return
	}
	r.options.Log.Info("the host was suspended", "Host", r.options.Host, "Replica", r.id, "Role", r.role)
	r.core.Resign(r.options.Clock.Now())
}

// drain takes what else waits, so that it shares one sync.
func (r *Replica) drain() {
	for range roundLimit {
		select {
		case m := <-r.inbox:
			r.core.Deliver(r.options.Clock.Now(), m)
		case c := <-r.requests:
			r.submit(c)
		case s := <-r.fromDisk:
			r.settle(s)
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
	timer.Reset(wait)
}

// submit hands a request to the Core unless its caller has given up.
func (r *Replica) submit(c *call) {
	if !c.taken.CompareAndSwap(false, true) {
		return
	}
	r.calls[r.core.Submit(r.options.Clock.Now(), c.request)] = c
}

// carryOut does all work that the Core has.
func (r *Replica) carryOut() {
	for r.unsynced < maxUnsynced && r.stopped == nil {
		w, ok := r.core.Take()
		if !ok {
			break
		}
		r.give(w.Answers)
		r.send(w.Immediate)
		if w.Members != nil {
			r.book = w.Members
			r.options.Transport.SetPeers(r.id, w.Members)
		}
		if !w.NeedsSync() && r.unsynced == 0 {
			r.send(w.Messages)
			r.core.Done(r.options.Clock.Now(), w)
			continue
		}
		r.unsynced++
		r.toDisk <- w
	}
	if err := r.core.Err(); err != nil {
		r.fail(err)
	}
}

// settle reports synced works to the Core.
func (r *Replica) settle(s synced) {
	r.unsynced -= len(s.works)
	if s.err != nil {
		r.fail(&DiskFailed{Err: s.err})
		return
	}
	for _, w := range s.works {
		r.send(w.Messages)
		r.core.Done(r.options.Clock.Now(), w)
	}
}

// fail stops this replica. It asks a successor to take over; without an answer, followers elect one once its heartbeats
// are missing. Nothing that was not synced has been acknowledged.
func (r *Replica) fail(err error) {
	if r.stopped != nil {
		return
	}
	r.options.Log.Error(err, "replica stopped", "Host", r.options.Host, "Replica", r.id, "Term", r.core.Status().Term)
	if r.core.TransferLeadership(r.options.Clock.Now()) {
		w, _ := r.core.Take()
		r.give(w.Answers)
		r.send(w.Immediate)
	}
	r.stopped = err
	r.publish()
}

func (r *Replica) send(messages []*controlpb.ConsensusMessage) {
	for _, m := range messages {
		r.options.Transport.Send(m)
	}
}

func (r *Replica) give(answers []Answer) {
	for _, answer := range answers {
		if c := r.calls[answer.Ticket]; c != nil {
			delete(r.calls, answer.Ticket)
			c.answer <- answer
		}
	}
}

// answerAll answers what waits when the replica stops. Requests that were proposed may be applied by a successor.
func (r *Replica) answerAll() {
	for ticket, c := range r.calls {
		delete(r.calls, ticket)
		c.answer <- Answer{Reply: reply(controlpb.ResultCode_RESULT_UNKNOWN, "the daemon stopped; the request may have been applied")}
	}
	for {
		select {
		case c := <-r.requests:
			if c.taken.CompareAndSwap(false, true) {
				c.answer <- Answer{Reply: reply(controlpb.ResultCode_RESULT_UNAVAILABLE, "the daemon is stopping")}
			}
		default:
			return
		}
	}
}

// refuseUntil answers requests of a failed replica until the daemon stops.
func (r *Replica) refuseUntil(ctx context.Context) {
	for {
		r.answerAll()
		select {
		case <-ctx.Done():
			return
		case c := <-r.requests:
			if c.taken.CompareAndSwap(false, true) {
				c.answer <- Answer{Reply: reply(controlpb.ResultCode_RESULT_UNAVAILABLE, r.stopped.Error())}
			}
		case <-r.inbox:
		case transfer := <-r.transfers:
			transfer <- false
		}
	}
}

// publish replaces the view.
func (r *Replica) publish() {
	status := r.core.Status()
	view := &View{
		State:      r.core.View(),
		FreshAt:    r.core.FreshAt(),
		ID:         r.id,
		Leader:     status.Leader,
		Leading:    status.Role == consensus.Leader && r.stopped == nil,
		Voter:      status.Voter,
		Term:       status.Term,
		Commit:     status.Commit,
		Applied:    status.Applied,
		Members:    r.book,
		Membership: r.core.Membership(),
		Peers:      status.Peers,
		Failed:     r.stopped,
	}
	last := r.view.Swap(view)
	if last != nil && last.Leader != view.Leader {
		r.announceLeader()
	}
	r.counters.note(view, len(r.requests), r.unsynced)
	if role := status.Role.String(); role != r.role {
		r.role = role
		r.options.Log.Info("role changed", "Host", r.options.Host, "Replica", r.id, "Role", role, "Term", status.Term,
			"Leader", status.Leader, "Commit", status.Commit, "Version", view.State.Version)
	}
}

// announceLeader wakes those who wait for another leader.
func (r *Replica) announceLeader() {
	next := make(chan struct{})
	if last := r.leaderChanged.Swap(&next); last != nil {
		close(*last)
	}
}

// runDisk persists works in order. Works that wait together share one sync.
func (r *Replica) runDisk() {
	var held *Work
	for {
		works := make([]Work, 0, maxUnsynced)
		if held != nil {
			works, held = append(works, *held), nil
		} else if w, ok := <-r.toDisk; ok {
			works = append(works, w)
		} else {
			return
		}
		batch := logstore.Batch{Snapshot: works[0].Snapshot, HardState: works[0].HardState, Entries: works[0].Entries}
		for held == nil && works[len(works)-1].Compact == nil && len(works) < maxUnsynced {
			next, ok := r.poll()
			if !ok {
				break
			}
			if !merge(&batch, next) {
				held = next
				break
			}
			works = append(works, *next)
		}
		works[len(works)-1].Encode()
		err := r.save(batch, works[len(works)-1].Compact)
		r.fromDisk <- synced{works: works, err: err}
	}
}

// poll returns a work that waits for the disk.
func (r *Replica) poll() (*Work, bool) {
	select {
	case w, ok := <-r.toDisk:
		return &w, ok
	default:
		return nil, false
	}
}

// merge adds a work to a batch, unless it brings a snapshot or removes entries of the batch.
func merge(batch *logstore.Batch, w *Work) bool {
	if w.Snapshot != nil {
		return false
	}
	if n := len(batch.Entries); n > 0 && len(w.Entries) > 0 && w.Entries[0].GetIndex() != batch.Entries[n-1].GetIndex()+1 {
		return false
	}
	if w.HardState != nil {
		batch.HardState = w.HardState
	}
	batch.Entries = append(batch.Entries[:len(batch.Entries):len(batch.Entries)], w.Entries...)
	return true
}

func (r *Replica) save(batch logstore.Batch, compact *controlpb.Snapshot) error {
	start := r.options.Clock.Now()
	if err := r.options.Store.Save(batch); err != nil {
		return err
	}
	if batch.HardState != nil || batch.Snapshot != nil || len(batch.Entries) > 0 {
		r.counters.synced(r.options.Clock.Since(start), len(batch.Entries))
	}
	if compact == nil {
		return nil
	}
	return r.options.Store.Compact(compact)
}

// Stop hands leadership over, when this replica leads, and waits until another one leads, at most 1 s. The caller then
// ends the context of Run.
func (r *Replica) Stop(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.options.Clock, transferLimit)
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

// Removed reports whether the members have removed this replica's identity. It can only come back under another one.
func (r *Replica) Removed() bool { return r.removed.Load() }

// Failure returns the failure that stopped the replica, or nil.
func (r *Replica) Failure() error { return r.View().Failed }

// IsDiskFailed reports whether an error is a failure of the store.
func IsDiskFailed(err error) bool {
	var failed *DiskFailed
	return errors.As(err, &failed)
}
