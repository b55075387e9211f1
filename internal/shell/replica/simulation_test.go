package replica

import (
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
	"galenamoor/internal/standin/eventqueue"
	"galenamoor/pkg/inventory"
	"galenamoor/pkg/rules"
)

// Small limits make it frequent that committed entries are left for a later Output, and Outputs for a later event.
const (
	simCommittedEntries = 4
	simOutputs          = 4
	simOutputDelay      = 100 * time.Microsecond
)

// simCluster runs Cores in virtual time with a simulated network and disks, and checks every step with an oracle.
type simCluster struct {
	random            *rand.Rand
	start             time.Time
	now               time.Time
	events            eventqueue.Queue
	nextID            uint64
	daemons           map[string]*simDaemon
	daemonsByID       map[uint64]*simDaemon // by identity, including those of replaced replicas
	partitionedLinks  map[[2]string]bool    // directed links that drop everything
	lossRate          float64               // fraction of messages that are lost
	extraSyncDelay    time.Duration         // maximum additional duration of a sync
	extraMessageDelay time.Duration         // maximum additional delay, which a tenth of the messages get
	frozenUntil       map[string]time.Time  // when the process on a host continues
	oracle            oracle
	operations        map[string]*operation

	workerOracle *workerOracle
	newScheduler func() coordinator.Scheduler // nil: nothing is scheduled
	newAllocator func() coordinator.Allocator // nil: slots are not allocated

	// newCoordinator creates the coordinator of a daemon that starts; nil for a coordinator.Coordinator.
	newCoordinator func(d *simDaemon, state *controlstate.State, leaseValid func(time.Time) bool) Coordinator
	usesFolders    bool // daemons persist to a simFolder instead of simDaemon.disk

	maxUnsynced        int // Outputs of a daemon that aren't persisted
	compactAfter       uint64
	compactions        int // durable snapshots taken locally
	installedSnapshots int // durable snapshots received from a leader

	// Injected faults.
	losesSyncs   bool          // disks report syncs as done but lose the entries of half of them
	sameIdentity bool          // a wiped disk keeps its identity
	acksEarly    bool          // Outputs are advanced before they are persisted
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
	folder    *simFolder // used instead of disk if it isn't nil
	outputs   []Output   // returned by Ready, with their sync not started yet
	unsynced  int        // outputs, and those being synced
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

func newSimCluster(seed uint64, voters, learners int, options ...func(*simCluster)) *simCluster {
	start := time.Unix(1_700_000_000, 0)
	c := &simCluster{
		random: rand.New(rand.NewPCG(seed, 3)), start: start, now: start,
		daemons: map[string]*simDaemon{}, daemonsByID: map[uint64]*simDaemon{}, partitionedLinks: map[[2]string]bool{}, frozenUntil: map[string]time.Time{}, operations: map[string]*operation{}, oracle: newOracle(),
		replacing: map[string]bool{}, staleAfter: StaleAfter, compactAfter: 20, maxUnsynced: maxUnsynced,
	}
	for _, option := range options {
		option(c)
	}
	bootstrap := &controlpb.Membership{}
	for i := range voters + learners {
		d := &simDaemon{name: string(rune('a' + i)), learner: i >= voters}
		c.newIdentity(d)
		c.daemons[d.name] = d
		bootstrap.Members = append(bootstrap.Members, &controlpb.Member{Id: d.id, Host: d.name, Address: d.name, Voter: !d.learner})
	}
	for _, d := range c.sorted() {
		c.boot(d, bootstrap)
	}
	return c
}

func (c *simCluster) newIdentity(d *simDaemon) {
	if c.sameIdentity && d.id != 0 {
		return
	}
	c.nextID++
	d.id = c.nextID
	c.daemonsByID[d.id] = d
}

func (c *simCluster) sorted() []*simDaemon {
	var all []*simDaemon
	for _, name := range slices.Sorted(maps.Keys(c.daemons)) {
		all = append(all, c.daemons[name])
	}
	return all
}

func (c *simCluster) boot(d *simDaemon, bootstrap *controlpb.Membership) {
	if c.usesFolders {
		if !c.openFolder(d) {
			return
		}
	}
	state := controlstate.New()
	core, err := NewCore(CoreConfig{
		Consensus: consensus.Config{
			ID: d.id, Bootstrap: bootstrap, Rand: rand.New(rand.NewPCG(c.random.Uint64(), 1)), Now: c.now, MaxCommittedEntries: simCommittedEntries,
		},
		StateMachine: state,
		CompactAfter: c.compactAfter,
		NewCoordinator: func(valid func(time.Time) bool) Coordinator {
			if c.newCoordinator != nil {
				return c.newCoordinator(d, state, valid)
			}
			return coordinator.New(coordinator.Config{
				State: state, LeaseValid: valid, NewScheduler: c.newScheduler, NewAllocator: c.newAllocator,
			})
		},
	}, d.disk)
	if err != nil {
		c.oracle.violation("starting %s: %v", d.name, err)
		return
	}
	d.core, d.callbacks, d.outputs, d.unsynced, d.syncing = core, map[RequestID]func(DeferredReply){}, nil, 0, false
	d.boots++
	c.processOutputs(d)
}

// crash stops a daemon. What it hasn't synced is lost, unless it has a folder, which outlives the process.
func (c *simCluster) crash(d *simDaemon) {
	if d.core != nil && d.folder != nil {
		d.folder.crash(c.random, false)
	}
	d.core = nil
}

// restart starts a daemon that is down. A learner starts as a new replica.
func (c *simCluster) restart(d *simDaemon) {
	if d.learner {
		c.wipeDisk(d)
	}
	c.boot(d, nil)
}

func (c *simCluster) wipeDisk(d *simDaemon) {
	c.crash(d)
	d.disk, d.folder = Restored{}, nil
	c.newIdentity(d)
}

func (c *simCluster) schedule(delay time.Duration, run func()) {
	c.events.Push(c.now.Add(delay), run)
}

// scheduleOn schedules run on a daemon, later if the daemon is frozen then.
func (c *simCluster) scheduleOn(d *simDaemon, delay time.Duration, run func()) {
	c.schedule(delay, func() { c.whenRunning(d.name, run) })
}

// transmit simulates a message between hosts: it calls arrive after a delay, unless the message is lost.
func (c *simCluster) transmit(from, to string, arrive func()) {
	if c.partitionedLinks[[2]string{from, to}] || c.random.Float64() < c.lossRate {
		return
	}
	delay := time.Millisecond + time.Duration(c.random.IntN(1000))*time.Microsecond
	if c.extraMessageDelay > 0 && c.random.IntN(10) == 0 {
		delay += time.Duration(c.random.Int64N(int64(c.extraMessageDelay)))
	}
	c.schedule(delay, func() {
		if !c.partitionedLinks[[2]string{from, to}] {
			c.whenRunning(to, arrive)
		}
	})
}

func (c *simCluster) isFrozen(d *simDaemon) bool { return c.now.Before(c.frozenUntil[d.name]) }

// whenRunning calls run once the process on a host isn't frozen.
func (c *simCluster) whenRunning(host string, run func()) {
	if wait := c.frozenUntil[host].Sub(c.now); wait > 0 {
		c.schedule(wait, func() { c.whenRunning(host, run) })
		return
	}
	run()
}

func (c *simCluster) send(d *simDaemon, messages []*controlpb.ConsensusMessage) {
	for _, m := range messages {
		m := proto.CloneOf(m)
		to := c.daemonsByID[m.GetTo()] // the host may run a newer replica by now
		c.transmit(d.name, to.name, func() {
			if to.core != nil {
				to.core.Deliver(c.now, m)
				c.processOutputs(to)
			}
		})
	}
}

// processOutputs processes the pending Outputs of a Core. It leaves those beyond simOutputs for later, as Replica does with
// those beyond maxOutputTime.
func (c *simCluster) processOutputs(d *simDaemon) {
	for outputs := 0; d.core != nil && d.unsynced < c.maxUnsynced; outputs++ {
		if outputs == simOutputs {
			boots := d.boots
			c.scheduleOn(d, simOutputDelay, func() {
				if d.boots == boots {
					c.processOutputs(d)
				}
			})
			break
		}
		output, ok := d.core.Ready()
		if !ok {
			break
		}
		c.deliverImmediate(d, output)
		if !output.NeedsSync() && !d.syncing && len(d.outputs) == 0 {
			c.send(d, output.Messages)
			d.core.Advance(c.now, output)
			continue
		}
		d.outputs = append(d.outputs, output)
		d.unsynced++
	}
	if d.core != nil && d.unsynced >= c.maxUnsynced {
		c.deliverImmediate(d, d.core.ReadyImmediate())
	}
	c.sync(d)
	c.checkInvariants(d)
}

// deliverImmediate processes the parts of an Output that need no sync.
func (c *simCluster) deliverImmediate(d *simDaemon, output Output) {
	for _, answer := range output.Replies {
		if done := d.callbacks[answer.RequestID]; done != nil {
			delete(d.callbacks, answer.RequestID)
			done(answer)
		}
	}
	c.send(d, output.Immediate)
}

// sync persists all waiting Outputs together, as Replica does, in 1 to 4 ms or longer on slow disks.
func (c *simCluster) sync(d *simDaemon) {
	if d.core == nil || d.syncing || len(d.outputs) == 0 {
		return
	}
	d.syncing = true
	boots, batch := d.boots, d.outputs
	d.outputs = nil
	delay := time.Millisecond + time.Duration(c.random.Int64N(int64(3*time.Millisecond+c.extraSyncDelay)))
	if d.folder != nil {
		delay += d.folder.extraDelay(c.now, c.random)
		d.folder.save(batch)
	}
	if c.acksEarly {
		c.advance(d, batch)
	}
	c.scheduleOn(d, delay, func() {
		if d.core == nil || d.boots != boots {
			return
		}
		if d.folder != nil && !d.folder.finishSave() {
			c.crash(d) // as the process does when its store fails
			return
		}
		if d.folder == nil {
			for _, output := range batch {
				c.persist(d, output)
			}
		}
		d.syncing, d.unsynced = false, d.unsynced-len(batch)
		if !c.acksEarly {
			c.advance(d, batch)
		}
		c.processOutputs(d)
	})
}

// advance reports Outputs as persisted.
func (c *simCluster) advance(d *simDaemon, batch []Output) {
	for _, output := range batch {
		c.send(d, output.Messages)
		d.core.Advance(c.now, output)
	}
}

func (c *simCluster) persist(d *simDaemon, output Output) {
	if c.losesSyncs && len(output.Entries) > 0 && c.random.IntN(2) == 0 {
		output.Entries, output.HardState = nil, nil
	}
	if output.Snapshot.GetIndex() > 0 {
		c.installedSnapshots++
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
		c.compactions++
		d.disk.Snapshot = output.Compact
		d.disk.Entries = slices.DeleteFunc(slices.Clone(d.disk.Entries), func(e *controlpb.Entry) bool {
			return e.GetIndex() <= output.Compact.GetIndex()
		})
	}
}

// run advances virtual time.
func (c *simCluster) run(length time.Duration) {
	until := c.now.Add(length)
	for {
		next, due := until, (*simDaemon)(nil)
		for _, d := range c.sorted() {
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
			if until := c.frozenUntil[d.name]; deadline.Before(until) {
				deadline = until
			}
			if deadline.Before(next) {
				next, due = deadline, d
			}
		}
		if at, run, ok := c.events.Pop(next); ok {
			c.now = at
			run()
			continue
		}
		if next.After(c.now) {
			c.now = next
		}
		if due == nil {
			return
		}
		due.lastTick = c.now
		due.core.Tick(c.now)
		c.processOutputs(due)
	}
}

// submit sends an operator's request to the daemon of its origin, and repeats it every second, at a random daemon, until the
// answer is definite.
func (c *simCluster) submit(o *operation) {
	c.operations[o.key] = o

	origin := o.origin
	d := c.daemons[origin]
	if d.core != nil {
		c.submitTo(d, o, func(result *controlpb.Result, from string) {
			c.transmit(from, origin, func() { c.recordAnswer(o, result) })
		}, true)
	}
	c.schedule(time.Second, func() {
		if o.answer == nil {
			up := c.sorted()
			o.origin = up[c.random.IntN(len(up))].name
			c.submit(o)
		}
	})
}

// submitTo submits an operator's request to a daemon.
func (c *simCluster) submitTo(d *simDaemon, o *operation, done func(*controlpb.Result, string), forward bool) {
	c.serve(d, o.request, func(answer *controlpb.LeaderReply, from string) { done(answer.GetResult(), from) }, forward)
}

// serve submits a request to a daemon, which forwards it to the leader that it knows if forward is set.
func (c *simCluster) serve(d *simDaemon, request *controlpb.LeaderRequest, done func(*controlpb.LeaderReply, string), forward bool) {
	requestID := d.core.Submit(c.now, proto.CloneOf(request))
	d.callbacks[requestID] = func(answer DeferredReply) {
		if !answer.NotLeader {
			done(answer.Reply, d.name)
			return
		}
		for _, leader := range c.sorted() {
			if forward && leader.id == answer.Leader && leader != d {
				c.transmit(d.name, leader.name, func() {
					if leader.core != nil {
						c.serve(leader, request, done, false)
					}
				})
			}
		}
	}
	c.processOutputs(d)
}

func (c *simCluster) recordAnswer(o *operation, result *controlpb.Result) {
	if code := result.GetCode(); code == controlpb.ResultCode_RESULT_UNAVAILABLE || code == controlpb.ResultCode_RESULT_UNKNOWN {
		return
	}
	c.oracle.recordAnswer(c.now, o, result)
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
	member := &controlpb.Member{Id: id, Host: d.name, Address: d.name, Voter: kind == controlpb.MembershipChange_PROMOTE}
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
func (c *simCluster) checkInvariants(d *simDaemon) {
	if d.core == nil {
		return
	}
	if err := d.core.Err(); err != nil {
		c.oracle.violation("%s failed: %v", d.name, err)
	}
	if at := d.core.FreshAt(); at.IsZero() || c.now.Sub(at) >= c.staleAfter {
		return
	}
	o, view := &c.oracle, d.core.View()
	if view.Version < o.freshVersions[d.name] {
		o.violation("%s went back from version %d to %d", d.name, o.freshVersions[d.name], view.Version)
	}
	o.freshVersions[d.name] = view.Version
	for _, accepted := range o.accepted {
		if c.now.Sub(accepted.at) > 3*time.Second && view.Version < accepted.version {
			o.violation("%s is fresh with version %d; %d was accepted %s ago", d.name, view.Version, accepted.version, c.now.Sub(accepted.at))
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
