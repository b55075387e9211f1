package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/consensus"
	"galenamoor/internal/decision/controlstate"
)

// slowState is a state machine that takes applyTime for each command.
type slowState struct {
	StateMachine
	applyTime time.Duration
}

func (s *slowState) Apply(index uint64, c *controlpb.Command) *controlpb.Result {
	time.Sleep(s.applyTime)
	return s.StateMachine.Apply(index, c)
}

// TestRestartKeepsLeader guards against a group that restarts with a long log and loses its leader, because no replica sends or
// answers heartbeats while it applies the log.
func TestRestartKeepsLeader(t *testing.T) {
	const (
		entries   = 5000
		applyTime = 200 * time.Microsecond
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := startSlowDiskCluster(ctx, t, 3, func(o *Options) {
			o.Core.StateMachine = &slowState{StateMachine: o.Core.StateMachine, applyTime: applyTime}
			o.Restored = Restored{
				HardState: &controlpb.HardState{Term: 1}, Entries: intentLog(t, entries),
				Snapshot: &controlpb.Snapshot{Membership: o.Core.Consensus.Bootstrap},
			}
		})
		defer c.running.Wait()
		defer cancel()
		time.Sleep(consensus.DefaultElectionTimeoutMax + entries*applyTime + 2*time.Second)

		leader, _ := leaderOfReplicas(t, c.replicas)
		for _, r := range c.replicas {
			view := r.View()
			if view.Term != 2 || view.Leader != leader.id {
				t.Errorf("replica %d follows %d in term %d, want %d in term 2", r.id, view.Leader, view.Term, leader.id)
			}
			if view.Applied <= entries || !view.Fresh(time.Now()) {
				t.Errorf("replica %d has applied %d entries, want all; fresh at %v", r.id, view.Applied, view.FreshAt)
			}
			if r == leader {
				continue
			}
			for _, link := range [][2]uint64{{leader.id, r.id}, {r.id, leader.id}} {
				if gap := c.transport.maxGap(link[0], link[1]); gap > 3*consensus.DefaultHeartbeatInterval/2 {
					t.Errorf("%v without a heartbeat or an answer from %d to %d", gap, link[0], link[1])
				}
			}
		}
	})
}

// recordingCoordinator records the times at which it was informed and started.
type recordingCoordinator struct {
	tickedCoordinator
	applied []time.Time
	started time.Time
}

func (c *recordingCoordinator) StartLeading(now time.Time) { c.started = now }

func (c *recordingCoordinator) Applied(now time.Time, _ *controlstate.Changes) {
	c.applied = append(c.applied, now)
}

// TestCoordinatorDuringReplay guards against a coordinator that dates an entry without the later ones of a long log, which show how
// much time has passed since, or that starts before the whole log is applied.
func TestCoordinatorDuringReplay(t *testing.T) {
	const entries = 1000
	for _, leads := range []bool{false, true} {
		t.Run(fmt.Sprintf("leads=%v", leads), func(t *testing.T) {
			now := time.Unix(1000, 0)
			recording := &recordingCoordinator{}
			bootstrap := &controlpb.Membership{Members: []*controlpb.Member{{Id: 1, Voter: true}, {Id: 2, Voter: !leads}}}
			core, err := NewCore(CoreConfig{
				Consensus:      consensus.Config{ID: 1, Now: now, Rand: rand.New(rand.NewPCG(1, 1))},
				StateMachine:   controlstate.New(),
				NewCoordinator: func(func(time.Time) bool) Coordinator { return recording },
			}, Restored{
				HardState: &controlpb.HardState{Term: 1}, Entries: intentLog(t, entries), Snapshot: &controlpb.Snapshot{Membership: bootstrap},
			})
			if err != nil {
				t.Fatal(err)
			}
			now = now.Add(time.Second)
			if leads {
				core.Tick(now)
			} else {
				core.Deliver(now, &controlpb.ConsensusMessage{
					Type: controlpb.MessageType_APPEND, From: 2, To: 1, Term: 2, Index: entries, LogTerm: 1, Commit: entries, Round: 1,
				})
			}
			var ended time.Time
			outputs := 0
			for o, ok := core.Ready(); ok; o, ok = core.Ready() {
				if len(o.consensusOutput.Committed) > 0 {
					outputs++
					ended = now
				}
				if left := o.consensusOutput.CommittedLeft; left && (core.leading || len(recording.applied) > 0) {
					t.Fatalf("output %d: leading %v, informed %d times while entries are left", outputs, core.leading, len(recording.applied))
				}
				now = now.Add(time.Millisecond)
				core.Advance(now, o)
			}
			if outputs < 2 {
				t.Fatalf("%d outputs, want several for a meaningful test", outputs)
			}
			if len(recording.applied) != 1 || !recording.applied[0].Equal(ended) {
				t.Errorf("informed at %v, want once at %v", recording.applied, ended)
			}
			if core.leading != leads || leads && !recording.started.Equal(ended) {
				t.Errorf("leading: %v, since %v; want %v, %v", core.leading, recording.started, leads, ended)
			}
		})
	}
}

// TestSnapshotDuringReplay guards against a coordinator that dates what came with a snapshot by the start of a replay that the snapshot
// has overtaken, so that leases recorded since are taken for expired.
func TestSnapshotDuringReplay(t *testing.T) {
	const entries, snapshotIndex = 1000, 5000
	now := time.Unix(1000, 0)
	recording := &recordingCoordinator{}
	bootstrap := &controlpb.Membership{Members: []*controlpb.Member{{Id: 1, Voter: true}, {Id: 2, Voter: true}, {Id: 3, Voter: true}}}
	core, err := NewCore(CoreConfig{
		Consensus:      consensus.Config{ID: 1, Now: now, Rand: rand.New(rand.NewPCG(1, 1))},
		StateMachine:   controlstate.New(),
		NewCoordinator: func(func(time.Time) bool) Coordinator { return recording },
	}, Restored{HardState: &controlpb.HardState{Term: 1}, Entries: intentLog(t, entries), Snapshot: &controlpb.Snapshot{Membership: bootstrap}})
	if err != nil {
		t.Fatal(err)
	}
	deliver := func(m *controlpb.ConsensusMessage) {
		m.From, m.To, m.Term = 2, 1, 2
		core.Deliver(now, m)
	}
	deliver(&controlpb.ConsensusMessage{Type: controlpb.MessageType_APPEND, Index: entries, LogTerm: 1, Commit: entries, Round: 1})
	left := false
	for range 5 { // some of the replay; then a slow disk or a large log takes its time
		o, ok := core.Ready()
		if !ok {
			break
		}
		left = o.consensusOutput.CommittedLeft
		core.Advance(now, o)
	}
	if !left {
		t.Fatal("the replay is over")
	}
	now = now.Add(800 * time.Millisecond)
	received := now
	deliver(&controlpb.ConsensusMessage{Type: controlpb.MessageType_SNAPSHOT, Round: 2, Commit: snapshotIndex, Snapshot: &controlpb.Snapshot{
		Index: snapshotIndex, Term: 2, Membership: bootstrap, State: controlstate.New().PrepareSnapshot()(),
	}})
	for o, ok := core.Ready(); ok; o, ok = core.Ready() {
		core.Advance(now, o)
	}
	if applied := core.Status().Applied; applied != snapshotIndex {
		t.Fatalf("applied up to %d", applied)
	}
	for _, at := range recording.applied {
		if at.Before(received) {
			t.Errorf("the coordinator is informed as of %v before the snapshot was received", received.Sub(at))
		}
	}
	if len(recording.applied) == 0 {
		t.Error("the coordinator isn't informed")
	}
}

// The load of BenchmarkReplay: 380 starts a second in batches of the coordinator, and as many ends.
const (
	replayWorkers  = 970
	replayTasks    = 34_900 // that run when the log begins
	replayEntries  = 10_000
	replayStarts   = 8 // in an entry
	replayJobTasks = 400
)

// replayLog builds a snapshot and the entries that follow it.
type replayLog struct {
	now     time.Time
	started int
	ended   int
	ends    [replayWorkers]uint64
}

func (l *replayLog) command(changes ...*controlpb.WorkChange) *controlpb.Command {
	l.now = l.now.Add(coordinatorInterval)
	return &controlpb.Command{Time: l.now.UnixNano(), Kind: &controlpb.Command_Work{Work: &controlpb.WorkBatch{Changes: changes}}}
}

func (l *replayLog) task(n int) *controlpb.TaskRef {
	return &controlpb.TaskRef{Job: fmt.Sprintf("nightly-report-%06d", n/replayJobTasks), Index: uint32(n % replayJobTasks)}
}

func (l *replayLog) worker(n int) uint32 { return uint32(n%replayWorkers) + 1 }

// start returns the changes that start the next task.
func (l *replayLog) start() (changes []*controlpb.WorkChange) {
	n := l.started
	l.started++
	if n%replayJobTasks == 0 {
		step := &controlpb.WorkStep{Count: replayJobTasks, Processors: 1000, Memory: 2000, EstimateMs: 90_000, Image: "registry/report:12"}
		changes = append(changes, &controlpb.WorkChange{Kind: &controlpb.WorkChange_Submit{Submit: &controlpb.WorkJob{
			Id: l.task(n).GetJob(), Queue: "reports", Steps: []*controlpb.WorkStep{step}, AcceptedMs: l.now.UnixMilli(),
		}}})
	}
	return append(changes, &controlpb.WorkChange{Kind: &controlpb.WorkChange_StartRun{StartRun: &controlpb.StartRun{
		Task: l.task(n), Run: 1, Worker: l.worker(n),
	}}})
}

// end returns the change that ends the oldest task.
func (l *replayLog) end() *controlpb.WorkChange {
	n := l.ended
	l.ended++
	w := l.worker(n)
	l.ends[w-1]++
	return &controlpb.WorkChange{Kind: &controlpb.WorkChange_NoteEnds{NoteEnds: &controlpb.NoteEnds{
		Worker: w, Through: l.ends[w-1], Ends: []*controlpb.EndedRun{{Task: l.task(n), Run: 1, How: controlpb.RunEnd_RUN_DONE}},
	}}}
}

// build returns the encoded snapshot and the entries after it.
func (l *replayLog) build(b *testing.B) (snapshot []byte, entries []*controlpb.Entry, bytes int) {
	state := controlstate.New()
	apply := func(c *controlpb.Command) {
		for _, result := range state.Apply(1, c).GetResults() {
			if result.GetCode() != controlpb.ResultCode_RESULT_OK {
				b.Fatalf("%v: %v", c, result)
			}
		}
	}
	apply(l.command(&controlpb.WorkChange{Kind: &controlpb.WorkChange_ReplaceRouting{ReplaceRouting: &controlpb.Routing{
		Version: 1, Pools: []*controlpb.WorkPool{{Name: "batch"}},
		Queues: []*controlpb.WorkQueue{{Name: "reports", Host: "reports", PathPrefix: "/", Pool: "batch", MaxAttempts: 3}},
	}}}))
	for n := range replayWorkers {
		apply(l.command(&controlpb.WorkChange{Kind: &controlpb.WorkChange_PutWorker{PutWorker: &controlpb.WorkerLife{
			Id: fmt.Sprintf("worker-%04d", n), BornMs: 1, Pool: "batch", Address: fmt.Sprintf("10.0.%d.%d:8100", n/250, n%250),
			Zone: fmt.Sprintf("z%d", n%6), Processors: 64_000, Memory: 250_000, Host: fmt.Sprintf("host-%04d", n),
		}}}))
	}
	for l.started < replayTasks {
		apply(l.command(l.start()...))
	}
	snapshot = state.PrepareSnapshot()()
	for i := range replayEntries {
		var changes []*controlpb.WorkChange
		for range replayStarts {
			changes = append(append(changes, l.start()...), l.end())
		}
		command := l.command(changes...)
		apply(command)
		data, err := proto.Marshal(command)
		if err != nil {
			b.Fatal(err)
		}
		entries = append(entries, &controlpb.Entry{Index: uint64(i + 2), Term: 1, Data: data})
		bytes += len(data)
	}
	return snapshot, entries, bytes
}

// BenchmarkReplay measures how long a restarted leader takes to apply the log after its snapshot, and the longest iteration of its
// control loop meanwhile, with and without the limits on the committed entries of an Output.
func BenchmarkReplay(b *testing.B) {
	snapshot, entries, bytes := (&replayLog{now: time.Unix(1_800_000_000, 0)}).build(b)
	for _, limit := range []int{0, 1 << 30} {
		b.Run(fmt.Sprintf("limit=%d", limit), func(b *testing.B) {
			var longest, longestOutput, total time.Duration
			for b.Loop() {
				b.StopTimer()
				now := time.Unix(1000, 0)
				membership := &controlpb.Membership{Members: []*controlpb.Member{{Id: 1, Voter: true}}}
				core, err := NewCore(CoreConfig{
					Consensus: consensus.Config{
						ID: 1, Now: now, Rand: rand.New(rand.NewPCG(1, 1)), MaxCommittedBytes: limit, MaxCommittedEntries: limit,
					},
					StateMachine: controlstate.New(),
				}, Restored{
					HardState: &controlpb.HardState{Term: 1}, Entries: entries,
					Snapshot: &controlpb.Snapshot{Index: 1, Term: 1, Membership: membership, State: snapshot},
				})
				if err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				now = now.Add(time.Second)
				core.Tick(now)
				for start, left := time.Now(), true; left; {
					iteration := time.Now()
					for left = true; left && time.Since(iteration) < maxOutputTime; {
						begin := time.Now()
						var o Output
						o, left = core.Ready()
						longestOutput = max(longestOutput, time.Since(begin))
						if left {
							core.Advance(now, o)
						}
					}
					longest = max(longest, time.Since(iteration))
					total = max(total, time.Since(start))
				}
				if err := core.Err(); err != nil || core.applied < replayEntries {
					b.Fatalf("applied up to %d: %v", core.applied, err)
				}
			}
			b.ReportMetric(float64(longest.Microseconds())/1e3, "ms-longest-iteration")
			b.ReportMetric(float64(longestOutput.Microseconds())/1e3, "ms-longest-output")
			b.ReportMetric(float64(total.Microseconds())/1e3, "ms-longest-replay")
			b.ReportMetric(float64(bytes)/1e6, "MB-of-log")
		})
	}
}
