// Package capacity measures the control overhead of the daemons of a region. It simulates the control part of all daemons
// in one process and in virtual time, with synthetic workers, endpoints and gateways, and counts bytes and processor time
// by daemon role. docs/CAPACITY.md lists the results.
//
// Every message between daemons is marshalled and compressed by its sender, and decompressed and unmarshalled by its
// receiver, as with gRPC. The bytes of gRPC framing are added as constants, see BenchmarkFraming and BenchmarkStream. The
// HTTP interfaces aren't simulated.
package capacity

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc/encoding"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/consensus"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/decision/coordinator"
	"galenamoor/internal/decision/scheduler"
	"galenamoor/internal/decision/slotshare"
	"galenamoor/internal/shell/announcement"
	"galenamoor/internal/shell/replica"
	"galenamoor/internal/shell/slotreport"
	_ "galenamoor/internal/shell/transport" // registers the compressor
	"galenamoor/internal/standin/eventqueue"
)

const (
	networkDelay    = time.Millisecond // one-way delay between two processes
	syncDuration    = time.Millisecond // of a log write at a voter
	minTickInterval = time.Millisecond // minimum time between two ticks of a daemon, as the resolution of its timers

	renewInterval    = 5 * time.Second
	pollTimeout      = 20 * time.Second
	announceInterval = time.Second

	// The values of internal/shell/replica.
	batchDelay         = 100 * time.Millisecond
	maxBatchRequests   = 128
	usageInterval      = 4 * time.Second
	slotReportInterval = time.Second
)

// compressor is the one that internal/shell/transport uses.
var compressor = encoding.GetCompressor("galenamoor-flate")

// Size describes the size and the load of a region.
type Size struct {
	Voters, Learners int
	Workers          int
	Executors        int  // latency-critical tasks; each is an endpoint with slotsPerExecutor slots
	BatchTasks       int  // batch tasks running concurrently
	StartsPerSecond  int  // batch tasks started per second; 0: batch tasks never finish
	BatchedRenewals  bool // renewals are forwarded to the leader in batches
	DeltaReports     bool // unchanged usage, slots and announcements are omitted from requests to the leader
}

// runTime returns the run time of a batch task at which BatchTasks of them run concurrently.
func (s Size) runTime() time.Duration {
	if s.StartsPerSecond == 0 {
		return 24 * time.Hour
	}
	return time.Second * time.Duration(s.BatchTasks) / time.Duration(s.StartsPerSecond)
}

// daemon is a simulated daemon with the processor time that it used.
type daemon struct {
	id             uint64
	name           string
	core           *replica.Core
	voter          bool
	lastTick       time.Time
	nextTick       time.Time        // time of the scheduled tick; zero when there is none
	pendingOutputs []replica.Output // waiting for a sync
	syncing        bool

	batchedRequests      []*controlpb.LeaderRequest     // renewals collected for the next batch
	batchCallbacks       []func(*controlpb.LeaderReply) // callback of each batched request
	slotReports          slotreport.Reducer
	announcementSender   announcement.Sender
	announcementReceiver announcement.Receiver

	callbacks map[replica.RequestID]func(replica.DeferredReply)
	cpuTime   time.Duration // processor time of the Core and of encoding and decoding its messages
}

// worker is a simulated worker.
type worker struct {
	name         string
	daemon       *daemon           // the daemon that it sends requests to
	ordersNumber uint64            // number of the last orders received
	tasks        map[string]uint64 // fencing tokens of the running tasks

	lastUsage time.Time // time of the last usage report
}

// Simulation simulates a region in virtual time.
type Simulation struct {
	Size          Size
	Meter         *Meter
	random        *rand.Rand
	now           time.Time
	events        eventqueue.Queue
	daemons       []*daemon
	workers       map[string]*worker
	initialLoad   bool  // the initial batch tasks are being started
	keyedRequests int   // number of requests with a request key
	err           error // first error
}

// New returns a simulation whose daemons have started and elected a leader. Load starts its load.
func New(size Size, seed uint64) (*Simulation, error) {
	sim := &Simulation{
		Size: size, Meter: newMeter(), random: rand.New(rand.NewPCG(seed, 1)),
		now: time.Unix(1_800_000_000, 0), workers: map[string]*worker{},
	}
	members := &controlpb.Membership{}
	for i := range size.Voters + size.Learners {
		d := &daemon{id: uint64(i + 1), name: fmt.Sprintf("entry-%d", i), voter: i < size.Voters, callbacks: map[replica.RequestID]func(replica.DeferredReply){}}
		sim.daemons = append(sim.daemons, d)
		members.Members = append(members.Members, &controlpb.Member{
			Id: d.id, Host: d.name, Address: fmt.Sprintf("10.0.0.%d:7400", i+1), Voter: d.voter,
		})
	}
	for _, d := range sim.daemons {
		if err := sim.startDaemon(d, members); err != nil {
			return nil, err
		}
	}
	sim.Run(3 * time.Second)
	if sim.leader() == nil {
		return nil, fmt.Errorf("no leader after 3 s")
	}
	return sim, nil
}

func (sim *Simulation) startDaemon(d *daemon, members *controlpb.Membership) error {
	state := controlstate.New()
	core, err := replica.NewCore(replica.CoreConfig{
		Consensus:    consensus.Config{ID: d.id, Bootstrap: members, Rand: rand.New(rand.NewPCG(sim.random.Uint64(), d.id)), Now: sim.now},
		StateMachine: state,
		NewCoordinator: func(valid func(time.Time) bool) replica.Coordinator {
			return coordinator.New(coordinator.Config{
				State: state, LeaseValid: valid,
				NewScheduler: func() coordinator.Scheduler { return scheduler.New(scheduler.Default()) },
				NewAllocator: func() coordinator.Allocator { return slotshare.New() },
			})
		},
	}, replica.Restored{})
	if err != nil {
		return err
	}
	d.core = core
	sim.processOutputs(d)
	return nil
}

// leader returns the daemon that leads, or nil.
func (sim *Simulation) leader() *daemon {
	for _, d := range sim.daemons {
		if d.core.Status().Role == consensus.Leader {
			return d
		}
	}
	return nil
}

// role returns the role of a daemon, by which figures are grouped.
func (sim *Simulation) role(d *daemon) string {
	switch {
	case d == sim.leader():
		return "leader"
	case d.voter:
		return "follower"
	}
	return "learner"
}

// Run advances virtual time by the duration. It stops at the first error.
func (sim *Simulation) Run(duration time.Duration) {
	until := sim.now.Add(duration)
	for sim.err == nil {
		at, run, ok := sim.events.Pop(until)
		if !ok {
			break
		}
		sim.now = at
		run()
	}
	sim.now = until
}

// schedule schedules run at the current virtual time plus the delay.
func (sim *Simulation) schedule(delay time.Duration, run func()) {
	sim.events.Push(sim.now.Add(delay), run)
}

// chargeTime runs step and adds its duration to the processor time of the daemon.
func (sim *Simulation) chargeTime(d *daemon, step func()) {
	begin := time.Now()
	step()
	d.cpuTime += time.Since(begin)
}

// scheduleTick schedules a tick at the daemon's next deadline, unless an earlier one is scheduled. A scheduled tick that was
// replaced by an earlier one does nothing.
func (sim *Simulation) scheduleTick(d *daemon) {
	deadline := d.core.NextDeadline()
	if deadline.IsZero() {
		return
	}
	if earliest := d.lastTick.Add(minTickInterval); deadline.Before(earliest) {
		deadline = earliest
	}
	if deadline.Before(sim.now) {
		deadline = sim.now
	}
	if !d.nextTick.IsZero() && !deadline.Before(d.nextTick) {
		return
	}
	d.nextTick = deadline
	sim.schedule(deadline.Sub(sim.now), func() {
		if !d.nextTick.Equal(deadline) {
			return
		}
		d.nextTick = time.Time{}
		if due := d.core.NextDeadline(); !due.After(sim.now) {
			d.lastTick = sim.now
			sim.chargeTime(d, func() { d.core.Tick(sim.now) })
		}
		sim.processOutputs(d)
	})
}

// processOutputs processes the outputs of a daemon's Core. They are completed in order, and one sync covers all outputs that
// wait for it.
func (sim *Simulation) processOutputs(d *daemon) {
	for {
		var output replica.Output
		var ok bool
		sim.chargeTime(d, func() { output, ok = d.core.Ready() })
		if !ok {
			break
		}
		sim.send(d, output.Immediate)
		if !d.syncing && len(d.pendingOutputs) == 0 && (!d.voter || !output.NeedsSync()) {
			sim.completeOutput(d, output)
		} else {
			d.pendingOutputs = append(d.pendingOutputs, output)
		}
		for _, reply := range output.Replies { // after the output, because done may process later outputs
			if done := d.callbacks[reply.RequestID]; done != nil {
				delete(d.callbacks, reply.RequestID)
				done(reply)
			}
		}
	}
	sim.syncOutputs(d)
	sim.scheduleTick(d)
}

// syncOutputs starts a sync of the pending outputs, unless one is in progress, and completes them when it ends.
func (sim *Simulation) syncOutputs(d *daemon) {
	if d.syncing || len(d.pendingOutputs) == 0 {
		return
	}
	d.syncing = true
	batch := d.pendingOutputs
	d.pendingOutputs = nil
	sim.schedule(syncDuration, func() {
		d.syncing = false
		for _, output := range batch {
			sim.completeOutput(d, output)
		}
		sim.processOutputs(d)
	})
}

func (sim *Simulation) completeOutput(d *daemon, output replica.Output) {
	sim.send(d, output.Messages)
	sim.chargeTime(d, func() { d.core.Advance(sim.now, output) })
}

func (sim *Simulation) send(d *daemon, messages []*controlpb.ConsensusMessage) {
	for _, m := range messages {
		to := sim.daemons[m.GetTo()-1]
		sent := sim.encode(d, m)
		sim.Meter.addConsensus(sim.role(d), sim.role(to), m, sent)
		sim.schedule(networkDelay, func() {
			received := &controlpb.ConsensusMessage{}
			sim.decode(to, sent, received)
			sim.chargeTime(to, func() { to.core.Deliver(sim.now, received) })
			sim.processOutputs(to)
		})
	}
}

// encodedMessage is a message as sent, without framing.
type encodedMessage struct {
	size       int    // size in bytes before compression
	compressed []byte // compressed message
}

func (sim *Simulation) encode(d *daemon, m proto.Message) (result encodedMessage) {
	sim.chargeTime(d, func() {
		encoded, err := proto.Marshal(m)
		sim.recordError(err)
		result.size = len(encoded)
		var wire bytes.Buffer
		w, err := compressor.Compress(&wire)
		sim.recordError(err)
		_, err = w.Write(encoded)
		sim.recordError(err)
		sim.recordError(w.Close())
		result.compressed = wire.Bytes()
	})
	return result
}

func (sim *Simulation) decode(d *daemon, message encodedMessage, m proto.Message) {
	sim.chargeTime(d, func() {
		r, err := compressor.Decompress(bytes.NewReader(message.compressed))
		sim.recordError(err)
		encoded, err := io.ReadAll(r)
		sim.recordError(err)
		sim.recordError(proto.Unmarshal(encoded, m))
	})
}

func (sim *Simulation) recordError(err error) {
	if err != nil && sim.err == nil {
		sim.err = err
	}
}

// submitRequest has the leader decide a request of a daemon, and forwards it there if the daemon doesn't lead itself.
// Without a leader, the request is dropped.
func (sim *Simulation) submitRequest(d *daemon, kind string, r *controlpb.LeaderRequest, done func(*controlpb.LeaderReply)) {
	leader := sim.leader()
	if leader == nil {
		return
	}
	if leader == d {
		sim.submitToCore(d, r, done)
		return
	}
	if sim.Size.BatchedRenewals && (kind == "renewal" || kind == "endpoint renewal") {
		sim.addToBatch(d, r, done)
		return
	}
	sim.forward(d, kind, r, done)
}

func (sim *Simulation) forward(d *daemon, kind string, r *controlpb.LeaderRequest, done func(*controlpb.LeaderReply)) {
	leader := sim.leader()
	sent := sim.encode(d, r)
	sim.Meter.addForwarded(sim.role(d), "leader", kind, sent, requestFraming)
	sim.schedule(networkDelay, func() {
		received := &controlpb.LeaderRequest{}
		sim.decode(leader, sent, received)
		sim.submitBatch(leader, received, func(reply *controlpb.LeaderReply) {
			encodedReply := sim.encode(leader, reply)
			sim.Meter.addForwarded("leader", sim.role(d), kind+" reply", encodedReply, replyFraming)
			sim.schedule(networkDelay, func() {
				receivedReply := &controlpb.LeaderReply{}
				sim.decode(d, encodedReply, receivedReply)
				done(receivedReply)
			})
		})
	})
}

// addToBatch adds a request to the daemon's batch, and sends the batch when it is full or batchDelay has passed, as
// replica.Replica does.
func (sim *Simulation) addToBatch(d *daemon, r *controlpb.LeaderRequest, done func(*controlpb.LeaderReply)) {
	d.batchedRequests, d.batchCallbacks = append(d.batchedRequests, r), append(d.batchCallbacks, done)
	send := func() {
		requests, done := d.batchedRequests, d.batchCallbacks
		d.batchedRequests, d.batchCallbacks = nil, nil
		if len(requests) == 0 || sim.leader() == nil {
			return
		}
		sent := sim.compressAnnouncements(d, requests)
		batch := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Batch{Batch: &controlpb.LeaderBatch{Requests: sent, Sender: d.id}}}
		sim.forward(d, "batch", batch, func(reply *controlpb.LeaderReply) {
			for i, requestReply := range reply.GetReplies() {
				if renewal := requests[i].GetEndpointRenewal(); renewal != nil && sim.Size.DeltaReports {
					d.announcementSender.HandleResult("leader", renewal.GetEndpoint().GetName(), sent[i].GetEndpointRenewal(), requestReply.GetResult())
				}
				done[i](requestReply)
			}
		})
	}
	switch len(d.batchedRequests) {
	case 1:
		sim.schedule(batchDelay, send)
	case maxBatchRequests:
		send()
	}
}

// compressAnnouncements replaces announcements that the leader knows by their numbers, as replica.Replica does.
func (sim *Simulation) compressAnnouncements(d *daemon, requests []*controlpb.LeaderRequest) []*controlpb.LeaderRequest {
	if !sim.Size.DeltaReports {
		return requests
	}
	sent := make([]*controlpb.LeaderRequest, len(requests))
	sim.chargeTime(d, func() {
		for i, request := range requests {
			sent[i] = request
			if renewal := request.GetEndpointRenewal(); renewal != nil {
				sent[i] = endpointRenewalRequest(d.announcementSender.Compress("leader", renewal))
			}
		}
	})
	return sent
}

func endpointRenewalRequest(renewal *controlpb.EndpointRenewal) *controlpb.LeaderRequest {
	return &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_EndpointRenewal{EndpointRenewal: renewal}}
}

// submitBatch has the leader decide a request or all requests of a batch, and calls done when all are decided.
func (sim *Simulation) submitBatch(d *daemon, r *controlpb.LeaderRequest, done func(*controlpb.LeaderReply)) {
	requests := r.GetBatch().GetRequests()
	if len(requests) == 0 {
		sim.submitToCore(d, r, done)
		return
	}
	batchReply := &controlpb.LeaderReply{Replies: make([]*controlpb.LeaderReply, len(requests))}
	remaining := len(requests)
	for i, request := range requests {
		if renewal := request.GetEndpointRenewal(); renewal != nil {
			sim.chargeTime(d, func() {
				request = endpointRenewalRequest(d.announcementReceiver.Expand(r.GetBatch().GetSender(), renewal))
			})
		}
		sim.submitToCore(d, request, func(reply *controlpb.LeaderReply) {
			batchReply.Replies[i] = reply
			if remaining--; remaining == 0 {
				done(batchReply)
			}
		})
	}
}

// submitToCore submits a request to the Core of the leader d. done is called with the reply.
func (sim *Simulation) submitToCore(d *daemon, r *controlpb.LeaderRequest, done func(*controlpb.LeaderReply)) {
	sim.chargeTime(d, func() {
		requestID := d.core.Submit(sim.now, proto.CloneOf(r))
		d.callbacks[requestID] = func(a replica.DeferredReply) { done(a.Reply) }
	})
	sim.processOutputs(d)
}
