package consensus

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// sim runs hosts in virtual time over a simulated network and simulated disks, and reports every event to the oracle.
type sim struct {
	oracle
	now        time.Duration
	rng        *rand.Rand
	events     eventQueue
	eventCount int
	hosts      []*host
	links      map[[2]int]*link
	hostByID   map[uint64]*host // host by its current identity
	lastID     uint64           // last assigned identity
	network    network
	faults     injectedFaults
	config     Config // of the nodes; zero fields take the defaults
}

// network is the delay, loss and duplication of all links.
type network struct {
	delay, jitter         time.Duration
	lossPct, duplicatePct int
}

type link struct {
	partitioned bool
	extraDelay  time.Duration
}

// injectedFaults are violations of the protocol that a test injects around the node.
type injectedFaults struct {
	ackBeforeSync bool        // writes are reported as synced before they are durable
	keepIdentity  bool        // a host whose disk was wiped restarts with its old identity and may vote again
	tamper        func(*Node) // modifies the node's state around every call
}

// host is a simulated machine with a clock, a disk and, while it is up, a node.
type host struct {
	sim              *sim
	number           int
	id               uint64
	node             *Node
	disk             disk
	diskless         bool // a learner that keeps its identity but starts with an empty log
	offset           time.Duration
	clockDriftPPM    int64 // clock rate error in parts per million
	frozenUntil      time.Duration
	inbox            []*Message // messages received while frozen
	starts           int        // number of starts; events of an earlier start are ignored
	timerAt          time.Duration
	syncDelay        time.Duration
	maxPending       int // maximum outputs in flight
	pending          []Output
	applied          uint64
	stateHash        uint64
	freshAt          time.Time
	proposed         map[uint64]uint64   // term of this host's proposals by index
	knownMemberships []indexedMembership // memberships held before the last crash
	bytesSent        int                 // bytes sent to this host
}

// disk is the state that survives a crash.
type disk struct {
	hardState *controlpb.HardState
	snapshot  *controlpb.Snapshot
	entries   []*controlpb.Entry
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// newSim starts hosts, of which the first ones are the voters of a new cluster.
func newSim(seed uint64, hosts, voters int, net network, faults injectedFaults, config Config) *sim {
	s := &sim{
		oracle: newOracle(), rng: rand.New(rand.NewPCG(seed, 1)), links: map[[2]int]*link{},
		hostByID: map[uint64]*host{}, network: net, faults: faults, config: config,
	}
	bootstrap := &controlpb.Membership{}
	for i := range hosts {
		h := &host{sim: s, number: i, offset: time.Duration(s.rng.Int64N(int64(time.Hour))), syncDelay: time.Millisecond, maxPending: 1 + s.rng.IntN(3)}
		h.clockDriftPPM = s.rng.Int64N(40001) - 20000
		s.hosts = append(s.hosts, h)
		for j := range hosts {
			s.links[[2]int{i, j}] = &link{}
		}
		s.assignIdentity(h)
		if i < voters {
			bootstrap.Members = append(bootstrap.Members, &controlpb.Member{Id: h.id, Voter: true})
		}
	}
	s.memberships = []*controlpb.Membership{bootstrap}
	for _, h := range s.hosts {
		h.boot(bootstrap)
	}
	return s
}

func (s *sim) assignIdentity(h *host) {
	delete(s.hostByID, h.id)
	s.lastID++
	h.id = s.lastID
	s.hostByID[h.id] = h
}

func (s *sim) after(d time.Duration, run func()) {
	s.eventCount++
	heap.Push(&s.events, event{at: s.now + max(d, 0), order: s.eventCount, run: run})
}

// run advances the virtual time by d and stops at the first failure.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end && s.failure == "" {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
		s.checkLeaders(s)
	}
	s.now = end
}

// runUntil advances the time until a condition holds or the limit passes, and reports whether the condition holds.
func (s *sim) runUntil(limit time.Duration, done func() bool) bool {
	for end := s.now + limit; !done() && s.failure == "" && s.now < end; {
		s.run(time.Millisecond)
	}
	return done()
}

// local returns the time of the host's clock, which differs from the virtual time by offset and rate.
func (h *host) local() time.Time {
	return epoch.Add(h.offset + h.sim.now + h.sim.now*time.Duration(h.clockDriftPPM)/1e6)
}

// global converts a time of the host's clock to virtual time.
func (h *host) global(t time.Time) time.Duration {
	return time.Duration(float64(t.Sub(epoch)-h.offset) / (1 + float64(h.clockDriftPPM)/1e6))
}

func (h *host) up() bool { return h.node != nil }

func (h *host) boot(bootstrap *controlpb.Membership) {
	h.starts++
	restored := Restored{HardState: h.disk.hardState, Snapshot: h.disk.snapshot, Entries: h.disk.entries}
	config := h.sim.config
	config.ID, config.Bootstrap, config.Now = h.id, bootstrap, h.local()
	config.Rand = rand.New(rand.NewPCG(h.sim.rng.Uint64(), 2))
	node, err := New(config, restored)
	if err != nil {
		h.sim.fail("host %d: %v", h.number, err)
		return
	}
	h.node, h.pending, h.inbox, h.timerAt, h.frozenUntil = node, nil, nil, 0, 0
	h.proposed, h.freshAt = map[uint64]uint64{}, time.Time{}
	h.applied, h.stateHash = 0, 0
	h.install(h.disk.snapshot)
	h.processOutputs()
}

func (h *host) tamper() {
	if h.sim.faults.tamper != nil && h.up() {
		h.sim.faults.tamper(h.node)
	}
}

func (h *host) install(s *controlpb.Snapshot) {
	if s.GetIndex() == 0 {
		return
	}
	h.applied, h.stateHash = s.Index, binary.LittleEndian.Uint64(s.State)
	h.sim.checkState(h)
}

// schedule runs a function after d, or once the host is no longer frozen, unless the host is restarted before.
func (h *host) schedule(d time.Duration, run func()) {
	start := h.starts
	h.sim.after(d, func() {
		if h.starts != start || !h.up() {
			return
		}
		if h.sim.now < h.frozenUntil {
			h.schedule(h.frozenUntil-h.sim.now, run)
			return
		}
		run()
	})
}

// maxOutputsAtOnce is the number of outputs that a host processes before it handles other events.
const maxOutputsAtOnce = 4

// processOutputs processes the node's outputs and arms its timer.
func (h *host) processOutputs() {
	h.tamper()
	defer h.tamper()
	for outputs := 0; len(h.pending) < h.maxPending; outputs++ {
		if outputs == maxOutputsAtOnce {
			h.schedule(100*time.Microsecond, h.processOutputs)
			break
		}
		o, ok := h.node.Ready()
		if !ok {
			break
		}
		h.send(o.Immediate)
		h.install(o.Snapshot)
		h.sim.checkLimits(h, o.Committed)
		for _, e := range o.Committed {
			h.apply(e)
		}
		if !o.NeedsSync() && len(h.pending) == 0 {
			h.send(o.Messages)
			h.node.Advance(h.local(), o)
			continue
		}
		h.pending = append(h.pending, o)
		if len(h.pending) == 1 {
			h.schedule(h.syncDelay, h.completeSync)
		}
		if h.sim.faults.ackBeforeSync {
			h.send(o.Messages)
			h.node.Advance(h.local(), o)
		}
	}
	if len(h.pending) >= h.maxPending {
		h.send(h.node.Immediate())
	}
	h.sim.checkFreshness(h)
	if at := h.node.NextDeadline(); !at.IsZero() {
		due := h.global(at) + time.Microsecond
		if h.timerAt <= h.sim.now || due < h.timerAt {
			h.timerAt = due
			h.schedule(due-h.sim.now, func() {
				h.node.Tick(h.local())
				h.processOutputs()
			})
		}
	}
}

// completeSync finishes the sync of the oldest output.
func (h *host) completeSync() {
	o := h.pending[0]
	h.pending = h.pending[1:]
	h.disk.write(o, len(o.Entries))
	if !h.sim.faults.ackBeforeSync {
		h.send(o.Messages)
		h.node.Advance(h.local(), o)
	}
	if len(h.pending) > 0 {
		h.schedule(h.syncDelay, h.completeSync)
	}
	h.processOutputs()
}

func (d *disk) write(o Output, entries int) {
	if o.Snapshot != nil {
		d.snapshot, d.entries = o.Snapshot, nil
	}
	if o.HardState != nil {
		d.hardState = o.HardState
	}
	for _, e := range o.Entries[:entries] {
		if k := len(d.entries); k > 0 && e.Index <= d.entries[k-1].Index {
			keep := e.Index - d.entries[0].Index
			d.entries = d.entries[:keep:keep]
		}
		d.entries = append(d.entries, e)
	}
}

// holds reports whether an entry, or a snapshot that covers it, is durable.
func (d *disk) holds(index, term uint64) bool {
	if k := len(d.entries); k > 0 && index >= d.entries[0].Index && index <= d.entries[k-1].Index {
		return d.entries[index-d.entries[0].Index].Term == term
	}
	return d.snapshot.GetIndex() >= index
}

func (h *host) apply(e *controlpb.Entry) {
	if e.Index != h.applied+1 {
		h.sim.fail("host %d applied entry %d after %d", h.number, e.Index, h.applied)
	}
	h.applied = e.Index
	h.stateHash = xxhash.Sum64(fmt.Appendf(nil, "%d %d %d %d %x", h.stateHash, e.Index, e.Term, e.Type, e.Data))
	h.sim.checkApplied(h, e)
	if h.proposed[e.Index] == e.Term {
		h.sim.recordAck(e.Index)
	}
}

func (h *host) propose(size int) bool {
	index, term, err := h.node.Propose(h.local(), binary.LittleEndian.AppendUint64(make([]byte, size), h.sim.rng.Uint64()))
	if err == nil {
		h.proposed[index] = term
	}
	return err == nil
}

// compact takes a snapshot and retains the given number of entries before it.
func (h *host) compact(keep uint64) {
	if !h.up() || h.applied <= h.disk.snapshot.GetIndex() || h.node.pendingSnapshot != nil {
		return
	}
	s, err := h.node.NewSnapshot(h.applied, binary.LittleEndian.AppendUint64(nil, h.stateHash))
	if err != nil {
		return // a received snapshot is not written yet
	}
	h.disk.snapshot = s
	if err := h.node.Compact(s.Index-min(keep, s.Index), s); err != nil {
		h.sim.fail("host %d: %v", h.number, err)
	}
}

// crash stops the host and loses unsynced writes, except for a random part that reached the disk.
func (h *host) crash() {
	if !h.up() {
		return
	}
	h.members()
	for _, o := range h.pending {
		part := h.sim.rng.IntN(len(o.Entries) + 2)
		if part > len(o.Entries) {
			h.disk.write(o, len(o.Entries))
			continue
		}
		if o.Snapshot == nil {
			h.disk.write(Output{Entries: o.Entries}, part)
		} else if part%2 == 0 {
			h.disk.snapshot = o.Snapshot // the snapshot was renamed into place, but the old log was not removed
		}
		break
	}
	h.node, h.pending = nil, nil
	if h.diskless {
		h.disk = disk{}
	}
}

func (h *host) restart() {
	if !h.up() {
		h.boot(nil)
	}
}

// wipe crashes the host and erases its disk. The host restarts with a new identity.
func (h *host) wipe() {
	h.crash()
	h.sim.wipedDisks[h.id] = h.disk
	h.disk, h.knownMemberships = disk{}, nil
	if h.sim.faults.keepIdentity {
		h.boot(h.sim.memberships[0])
		return
	}
	h.sim.assignIdentity(h)
	h.boot(nil)
}

// send encodes messages and delivers copies of them, subject to the faults of the network.
func (h *host) send(messages []*Message) {
	for _, m := range messages {
		data, err := proto.Marshal(m)
		to := h.sim.hostByID[m.To]
		if err != nil || to == nil {
			continue
		}
		to.bytesSent += len(data)
		l := h.sim.links[[2]int{h.number, to.number}]
		copies := 1
		if h.sim.rng.IntN(100) < h.sim.network.duplicatePct {
			copies++
		}
		for range copies {
			if l.partitioned || h.sim.rng.IntN(100) < h.sim.network.lossPct {
				continue
			}
			delay := h.sim.network.delay + l.extraDelay
			if h.sim.network.jitter > 0 {
				delay += time.Duration(h.sim.rng.Int64N(int64(h.sim.network.jitter)))
			}
			h.sim.after(delay, func() { to.deliver(data) })
		}
	}
}

func (h *host) deliver(data []byte) {
	m := &Message{}
	if err := proto.Unmarshal(data, m); err != nil {
		h.sim.fail("decode: %v", err)
	}
	if !h.up() || m.To != h.id {
		return
	}
	h.schedule(0, func() {
		if err := h.node.Step(h.local(), m); err != nil {
			h.sim.fail("host %d: %v", h.number, err)
		}
		h.processOutputs()
	})
}

// leader returns the running host that leads in the highest term, or nil.
func (s *sim) leader() *host {
	var found *host
	for _, h := range s.hosts {
		if h.up() && s.now >= h.frozenUntil && h.node.role == Leader && (found == nil || h.node.term > found.node.term) {
			found = h
		}
	}
	return found
}
