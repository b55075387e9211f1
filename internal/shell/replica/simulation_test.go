package replica

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/consensus"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/decision/coordinator"
	"galenamoor/pkg/inventory"
	"galenamoor/pkg/rules"
)

// simCluster runs Cores in virtual time with a simulated network and disks, and checks every step with an oracle.
type simCluster struct {
	random            *rand.Rand
	start             time.Time
	now               time.Time
	events            eventHeap
	nextID            uint64
	daemons           map[string]*simDaemon
	daemonsByID       map[uint64]*simDaemon // by identity, including those of replaced replicas
	partitionedLinks  map[[2]string]bool    // directed links that drop everything
	lossRate          float64               // fraction of messages that are lost
	extraSyncDelay    time.Duration         // maximum additional duration of a sync
	extraMessageDelay time.Duration         // maximum additional delay, which a tenth of the messages get
	oracle            oracle
	operations        map[string]*operation
	nextSequence      uint64

	fleetOracle  *fleetOracle
	newScheduler func() coordinator.Scheduler // nil: nothing is scheduled
	newAllocator func() coordinator.Allocator // nil: slots are not allocated

	compactAfter       uint64
	compactions        int // durable snapshots taken locally
	installedSnapshots int // durable snapshots received from a leader

	// Injected faults.
	losesSyncs   bool          // disks report syncs as done but lose the entries of half of them
	sameIdentity bool          // a wiped disk keeps its identity
	staleAfter   time.Duration // instead of StaleAfter

	replacing map[string]bool // daemons whose member is being replaced
}

// simDaemon is one daemon. Its disk survives a crash.
type simDaemon struct {
	name      string
	id        uint64
	core      *Core // nil while it is down
	boots     int   // number of starts
	disk      Restored
	outputs   []Output // returned by Ready, with their sync not started yet
	syncing   bool
	callbacks map[RequestID]func(DeferredReply)
	lastTick  time.Time
	learner   bool // has no disk
}

// operation is a request that an operator repeats until its answer is definite.
type operation struct {
	key     string
	request *controlpb.LeaderRequest
	origin  string
	answer  *controlpb.Result
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newSimCluster(seed uint64, voters, learners int, options ...func(*simCluster)) *simCluster {
	start := time.Unix(1_700_000_000, 0)
	w := &simCluster{
		random: rand.New(rand.NewPCG(seed, 3)), start: start, now: start,
		daemons: map[string]*simDaemon{}, daemonsByID: map[uint64]*simDaemon{}, partitionedLinks: map[[2]string]bool{}, operations: map[string]*operation{}, oracle: newOracle(),
		replacing: map[string]bool{}, staleAfter: StaleAfter, compactAfter: 20,
	}
	for _, option := range options {
		option(w)
	}
	bootstrap := &controlpb.Membership{}
	for i := range voters + learners {
		d := &simDaemon{name: string(rune('a' + i)), learner: i >= voters}
		w.newIdentity(d)
		w.daemons[d.name] = d
		bootstrap.Members = append(bootstrap.Members, &controlpb.Member{Id: d.id, Host: d.name, Voter: !d.learner})
	}
	for _, d := range w.sorted() {
		w.boot(d, bootstrap)
	}
	return w
}

func (w *simCluster) newIdentity(d *simDaemon) {
	if w.sameIdentity && d.id != 0 {
		return
	}
	w.nextID++
	d.id = w.nextID
	w.daemonsByID[d.id] = d
}

func (w *simCluster) sorted() []*simDaemon {
	var all []*simDaemon
	for _, name := range slices.Sorted(maps.Keys(w.daemons)) {
		all = append(all, w.daemons[name])
	}
	return all
}

func (w *simCluster) boot(d *simDaemon, bootstrap *controlpb.Membership) {
	state := controlstate.New()
	core, err := NewCore(CoreConfig{
		Consensus:    consensus.Config{ID: d.id, Bootstrap: bootstrap, Rand: rand.New(rand.NewPCG(w.random.Uint64(), 1)), Now: w.now},
		StateMachine: state,
		CompactAfter: w.compactAfter,
		NewCoordinator: func(valid func(time.Time) bool) Coordinator {
			return coordinator.New(coordinator.Config{
				State: state, LeaseValid: valid, NewScheduler: w.newScheduler, NewAllocator: w.newAllocator,
			})
		},
	}, d.disk)
	if err != nil {
		w.oracle.violation("starting %s: %v", d.name, err)
		return
	}
	d.core, d.callbacks, d.outputs, d.syncing = core, map[RequestID]func(DeferredReply){}, nil, false
	d.boots++
	w.processOutputs(d)
}

// crash stops a daemon. What it hasn't synced is lost.
func (w *simCluster) crash(d *simDaemon) { d.core = nil }

// restart starts a daemon that is down. A learner starts as a new replica.
func (w *simCluster) restart(d *simDaemon) {
	if d.learner {
		w.wipeDisk(d)
	}
	w.boot(d, nil)
}

func (w *simCluster) wipeDisk(d *simDaemon) {
	w.crash(d)
	d.disk = Restored{}
	w.newIdentity(d)
}

func (w *simCluster) schedule(delay time.Duration, run func()) {
	w.nextSequence++
	heap.Push(&w.events, event{at: w.now.Add(delay), sequence: w.nextSequence, run: run})
}

// transmit simulates a message between hosts: it calls arrive after a delay, unless the message is lost.
func (w *simCluster) transmit(from, to string, arrive func()) {
	if w.partitionedLinks[[2]string{from, to}] || w.random.Float64() < w.lossRate {
		return
	}
	delay := time.Millisecond + time.Duration(w.random.IntN(1000))*time.Microsecond
	if w.extraMessageDelay > 0 && w.random.IntN(10) == 0 {
		delay += time.Duration(w.random.Int64N(int64(w.extraMessageDelay)))
	}
	w.schedule(delay, func() {
		if !w.partitionedLinks[[2]string{from, to}] {
			arrive()
		}
	})
}

func (w *simCluster) send(d *simDaemon, messages []*controlpb.ConsensusMessage) {
	for _, m := range messages {
		m := proto.CloneOf(m)
		to := w.daemonsByID[m.GetTo()] // the host may run a newer replica by now
		w.transmit(d.name, to.name, func() {
			if to.core != nil {
				to.core.Deliver(w.now, m)
				w.processOutputs(to)
			}
		})
	}
}

// processOutputs carries out the pending Outputs of a Core.
func (w *simCluster) processOutputs(d *simDaemon) {
	for d.core != nil {
		output, ok := d.core.Ready()
		if !ok {
			break
		}
		for _, answer := range output.Replies {
			if done := d.callbacks[answer.RequestID]; done != nil {
				delete(d.callbacks, answer.RequestID)
				done(answer)
			}
		}
		w.send(d, output.Immediate)
		if !output.NeedsSync() && !d.syncing && len(d.outputs) == 0 {
			w.send(d, output.Messages)
			d.core.Advance(w.now, output)
			continue
		}
		d.outputs = append(d.outputs, output)
	}
	w.sync(d)
	w.checkInvariants(d)
}

// sync persists all waiting Outputs together, as Replica does, in 1 to 4 ms or longer on slow disks.
func (w *simCluster) sync(d *simDaemon) {
	if d.core == nil || d.syncing || len(d.outputs) == 0 {
		return
	}
	d.syncing = true
	boots, batch := d.boots, d.outputs
	d.outputs = nil
	delay := time.Millisecond + time.Duration(w.random.Int64N(int64(3*time.Millisecond+w.extraSyncDelay)))
	w.schedule(delay, func() {
		if d.core == nil || d.boots != boots {
			return
		}
		for _, output := range batch {
			w.persist(d, output)
		}
		d.syncing = false
		for _, output := range batch {
			w.send(d, output.Messages)
			d.core.Advance(w.now, output)
		}
		w.processOutputs(d)
	})
}

func (w *simCluster) persist(d *simDaemon, output Output) {
	if w.losesSyncs && len(output.Entries) > 0 && w.random.IntN(2) == 0 {
		output.Entries, output.HardState = nil, nil
	}
	if output.Snapshot.GetIndex() > 0 {
		w.installedSnapshots++
	}
	if output.Snapshot != nil {
		d.disk.Snapshot, d.disk.Entries = output.Snapshot, nil
	}
	if output.HardState != nil {
		d.disk.HardState = output.HardState
	}
	if len(output.Entries) > 0 {
		first := output.Entries[0].GetIndex()
		keep := slices.IndexFunc(d.disk.Entries, func(e *controlpb.Entry) bool { return e.GetIndex() >= first })
		if keep >= 0 {
			d.disk.Entries = d.disk.Entries[:keep:keep]
		}
		d.disk.Entries = append(d.disk.Entries, output.Entries...)
	}
	if output.Compact != nil {
		output.Encode()
		w.compactions++
		d.disk.Snapshot = output.Compact
		d.disk.Entries = slices.DeleteFunc(slices.Clone(d.disk.Entries), func(e *controlpb.Entry) bool {
			return e.GetIndex() <= output.Compact.GetIndex()
		})
	}
}

// run advances virtual time.
func (w *simCluster) run(length time.Duration) {
	until := w.now.Add(length)
	for {
		next, due := until, (*simDaemon)(nil)
		for _, d := range w.sorted() {
			if d.core == nil {
				continue
			}
			deadline := d.core.NextDeadline()
			if deadline.IsZero() {
				continue
			}
			if earliest := d.lastTick.Add(time.Millisecond); deadline.Before(earliest) {
				deadline = earliest // a real timer wouldn't fire more often
			}
			if deadline.Before(next) {
				next, due = deadline, d
			}
		}
		if len(w.events) > 0 && !w.events[0].at.After(next) {
			e := heap.Pop(&w.events).(event)
			w.now = e.at
			e.run()
			continue
		}
		if next.After(w.now) {
			w.now = next
		}
		if due == nil {
			return
		}
		due.lastTick = w.now
		due.core.Tick(w.now)
		w.processOutputs(due)
	}
}

// submit sends an operator's request to the daemon of its origin, and repeats it every second, at a random daemon, until the
// answer is definite.
func (w *simCluster) submit(o *operation) {
	w.operations[o.key] = o

	origin := o.origin
	d := w.daemons[origin]
	if d.core != nil {
		w.submitTo(d, o, func(result *controlpb.Result, from string) {
			w.transmit(from, origin, func() { w.recordAnswer(o, result) })
		}, true)
	}
	w.schedule(time.Second, func() {
		if o.answer == nil {
			up := w.sorted()
			o.origin = up[w.random.IntN(len(up))].name
			w.submit(o)
		}
	})
}

// submitTo submits an operator's request to a daemon.
func (w *simCluster) submitTo(d *simDaemon, o *operation, done func(*controlpb.Result, string), forward bool) {
	w.serve(d, o.request, func(answer *controlpb.LeaderReply, from string) { done(answer.GetResult(), from) }, forward)
}

// serve submits a request to a daemon, which forwards it to the leader that it knows if forward is set.
func (w *simCluster) serve(d *simDaemon, request *controlpb.LeaderRequest, done func(*controlpb.LeaderReply, string), forward bool) {
	requestID := d.core.Submit(w.now, proto.CloneOf(request))
	d.callbacks[requestID] = func(answer DeferredReply) {
		if !answer.NotLeader {
			done(answer.Reply, d.name)
			return
		}
		for _, leader := range w.sorted() {
			if forward && leader.id == answer.Leader && leader != d {
				w.transmit(d.name, leader.name, func() {
					if leader.core != nil {
						w.serve(leader, request, done, false)
					}
				})
			}
		}
	}
	w.processOutputs(d)
}

func (w *simCluster) recordAnswer(o *operation, result *controlpb.Result) {
	if code := result.GetCode(); code == controlpb.ResultCode_RESULT_UNAVAILABLE || code == controlpb.ResultCode_RESULT_UNKNOWN {
		return
	}
	w.oracle.recordAnswer(w.now, o, result)
	if o.answer == nil {
		o.answer = result
	}
}

// configure returns a compare-and-set of the configuration. The region of its inventory is the request key.
func configure(key, origin string, base uint64) *operation {
	i := &inventory.Inventory{Region: key, Zones: []string{"north", "south"}}
	return &operation{key: key, origin: origin, request: command(&controlpb.Command{Kind: &controlpb.Command_ApplyConfiguration{
		ApplyConfiguration: &controlpb.ApplyConfiguration{
			RequestKey: key, BaseVersion: base, Inventory: i.Text(), Rules: (&rules.Rules{}).Text(),
		},
	}})}
}

func command(c *controlpb.Command) *controlpb.LeaderRequest {
	return &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Command{Command: c}}
}

func membership(kind controlpb.MembershipChange_Kind, d *simDaemon, id uint64) *operation {
	member := &controlpb.Member{Id: id, Host: d.name, Voter: kind == controlpb.MembershipChange_PROMOTE}
	return &operation{key: fmt.Sprintf("%s %s %d", kind, d.name, id), origin: d.name, request: &controlpb.LeaderRequest{
		Kind: &controlpb.LeaderRequest_Membership{Membership: &controlpb.MembershipChange{Kind: kind, Member: member}},
	}}
}

// oracle checks invariants from the point of view of an external observer.
type oracle struct {
	violations    []string
	firstAnswers  map[string]*controlpb.Result // first definite answer by key
	winners       map[uint64]string            // key by version
	accepted      []acceptance                 // in order of time
	freshVersions map[string]uint64            // highest version of each daemon while it was fresh
	regions       map[uint64]string            // by version, as observed at fresh daemons
}

type acceptance struct {
	at      time.Time
	version uint64
}

func newOracle() oracle {
	return oracle{
		firstAnswers: map[string]*controlpb.Result{}, winners: map[uint64]string{}, freshVersions: map[string]uint64{}, regions: map[uint64]string{},
	}
}

func (o *oracle) violation(format string, arguments ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, arguments...))
}

// recordAnswer checks that a key always gets its first answer and that a version has one winner.
func (o *oracle) recordAnswer(now time.Time, operation *operation, result *controlpb.Result) {
	if operation.request.GetCommand() == nil {
		return
	}
	if first := o.firstAnswers[operation.key]; first != nil && !proto.Equal(first, result) {
		o.violation("%s: answered %v, but %v at first", operation.key, result, first)
	}
	o.firstAnswers[operation.key] = result
	if result.GetCode() != controlpb.ResultCode_RESULT_OK {
		return
	}
	if operation.request.GetCommand().GetApplyConfiguration() == nil {
		return // other commands needn't increment the version
	}
	if winner, ok := o.winners[result.GetVersion()]; ok && winner != operation.key {
		o.violation("version %d was won by %s and %s", result.GetVersion(), winner, operation.key)
	}
	o.winners[result.GetVersion()] = operation.key
	o.accepted = append(o.accepted, acceptance{at: now, version: result.GetVersion()})
}

// newest returns the highest accepted version.
func (o *oracle) newest() uint64 {
	newest := uint64(0)
	for version := range o.winners {
		newest = max(newest, version)
	}
	return newest
}

// checkInvariants checks that a daemon hasn't failed and, if it is fresh, that its configuration doesn't go back, includes
// what was accepted more than 3 s ago and equals that of other daemons with the same version.
func (w *simCluster) checkInvariants(d *simDaemon) {
	if d.core == nil {
		return
	}
	if err := d.core.Err(); err != nil {
		w.oracle.violation("%s failed: %v", d.name, err)
	}
	if at := d.core.FreshAt(); at.IsZero() || w.now.Sub(at) >= w.staleAfter {
		return
	}
	o, view := &w.oracle, d.core.View()
	if view.Version < o.freshVersions[d.name] {
		o.violation("%s went back from version %d to %d", d.name, o.freshVersions[d.name], view.Version)
	}
	o.freshVersions[d.name] = view.Version
	for _, accepted := range o.accepted {
		if w.now.Sub(accepted.at) > 3*time.Second && view.Version < accepted.version {
			o.violation("%s is fresh with version %d; %d was accepted %s ago", d.name, view.Version, accepted.version, w.now.Sub(accepted.at))
		}
	}
	if view.Version == 0 {
		return
	}
	region := view.Inventory.Region
	if seen, ok := o.regions[view.Version]; ok && seen != region {
		o.violation("version %d is %s at %s, and %s elsewhere", view.Version, region, d.name, seen)
	}
	o.regions[view.Version] = region
}
