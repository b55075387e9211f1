package controlstate_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
)

// size is a number of workers and of running tasks, a fifth of which are executors of services.
type size struct{ workers, tasks int }

var sizes = []size{{50, 1_000}, {970, 34_900}, {3_880, 100_000}}

const benchZones = 6

func (s size) name() string { return fmt.Sprintf("workers=%d/tasks=%d", s.workers, s.tasks) }

func (s size) inventory() string {
	b := &strings.Builder{}
	b.WriteString("[Inventory]\nFormat = 1\nRegion = bench\n")
	for zone := range benchZones {
		fmt.Fprintf(b, "[Zone z%d]\n", zone)
	}
	for w := range s.workers {
		fmt.Fprintf(b, "[Worker worker-%04d]\nZone = z%d\nRack = r%d\nProcessors = 64\nMemory = 250GB\n", w, w%benchZones, w/6)
	}
	for n := range 10 {
		fmt.Fprintf(b, "[Service service-%d]\nTeam = t\nExecutors = %d\nProcessors = 1\nMemory = 2GB\nSlots = 8\nConnections = 64\n", n, s.tasks/50)
	}
	return b.String()
}

const benchRules = "[Rules]\nFormat = 1\n[Team t]\nProcessors = 100000\nMemory = 400000GB\n"

// bench is a state filled with running tasks, with a clock and methods that build commands.
type bench struct {
	state *controlstate.State
	now   int64
	keys  int
}

func (b *bench) command(c *controlpb.Command) *controlpb.Command {
	b.now += int64(time.Millisecond)
	c.Time = b.now
	return c
}

func (b *bench) key() string {
	b.keys++
	return fmt.Sprintf("%d-%08d", b.now/int64(time.Second), b.keys)
}

func (b *bench) apply(t testing.TB, c *controlpb.Command) *controlpb.Result {
	r := b.state.Apply(1, c)
	if r.GetCode() != controlpb.ResultCode_RESULT_OK {
		t.Fatalf("%v: %v", c, r)
	}
	return r
}

// load fills a state with running tasks: executors of services and batch jobs of one task each.
func (s size) load(t testing.TB) *bench {
	b := &bench{state: controlstate.New(), now: 1_800_000_000 * int64(time.Second)}
	b.apply(t, b.configure(s.inventory(), 0))
	for w := range s.workers {
		b.apply(t, b.register(w, 1))
	}
	for n := range s.tasks / 5 {
		b.run(t, fmt.Sprintf("service-%d/%d", n%10, n/10), n%s.workers)
	}
	for n := range s.tasks - s.tasks/5 {
		if n%10_000 == 0 {
			b.expire(t)
		}
		b.apply(t, b.submit(n))
		b.run(t, fmt.Sprintf("batch-job-%06d/0", n), n%s.workers)
	}
	b.expire(t)
	b.state.TakeChanges()
	return b
}

// expire removes the request keys of the submissions, which would otherwise reach MaxKeys.
func (b *bench) expire(t testing.TB) {
	b.now += int64(time.Hour)
	b.apply(t, b.command(&controlpb.Command{Kind: &controlpb.Command_ExpireKeys{ExpireKeys: &controlpb.ExpireKeys{Before: b.now}}}))
}

func (b *bench) run(t testing.TB, task string, worker int) uint64 {
	fence := b.apply(t, b.start(task, worker)).GetFence()
	b.apply(t, b.report(task, fence, worker, controlpb.ReportKind_REPORT_RUNNING))
	return fence
}

func (b *bench) configure(inventory string, version uint64) *controlpb.Command {
	return b.command(&controlpb.Command{Kind: &controlpb.Command_ApplyConfiguration{ApplyConfiguration: &controlpb.ApplyConfiguration{
		RequestKey: b.key(), BaseVersion: version, Inventory: inventory, Rules: benchRules,
	}}})
}

func (b *bench) register(worker int, incarnation uint64) *controlpb.Command {
	return b.command(&controlpb.Command{Kind: &controlpb.Command_RegisterWorker{RegisterWorker: &controlpb.RegisterWorker{
		Worker: workerName(worker), Incarnation: incarnation, Capacity: &controlpb.Resources{Processors: 64_000, Memory: 250 << 10},
	}}})
}

func workerName(n int) string { return fmt.Sprintf("worker-%04d", n) }

func (b *bench) submit(n int) *controlpb.Command {
	return b.command(&controlpb.Command{Kind: &controlpb.Command_SubmitJob{SubmitJob: &controlpb.SubmitJob{
		RequestKey: b.key(), Spec: &controlpb.JobSpec{
			Name: fmt.Sprintf("batch-job-%06d", n), Team: "t", Kind: fmt.Sprintf("kind-%d", n%100), Tasks: 1,
			RunTime: int64(time.Hour), Deadline: b.now, Checkpoints: true, Request: &controlpb.Resources{Processors: 1000, Memory: 2048},
		},
	}}})
}

func (b *bench) start(task string, worker int) *controlpb.Command {
	return b.command(&controlpb.Command{Kind: &controlpb.Command_StartTask{StartTask: &controlpb.StartTask{
		Task: task, Worker: workerName(worker), Incarnation: 1, Why: "least disturbed of 4 workers with room",
	}}})
}

func (b *bench) stop(task string, fence uint64) *controlpb.Command {
	return b.command(&controlpb.Command{Kind: &controlpb.Command_StopTask{StopTask: &controlpb.StopTask{
		Task: task, Fence: fence, Reason: controlpb.StopReason_EVICT_PREEMPTED,
	}}})
}

func (b *bench) report(task string, fence uint64, worker int, kind controlpb.ReportKind) *controlpb.Command {
	return b.command(&controlpb.Command{Kind: &controlpb.Command_ReportTasks{ReportTasks: &controlpb.ReportTasks{
		Worker: workerName(worker), Incarnation: 1, Reports: []*controlpb.TaskReport{{Task: task, Fence: fence, Kind: kind, Checkpoint: 1}},
	}}})
}

func (b *bench) zone(out bool) *controlpb.Command {
	return b.command(&controlpb.Command{Kind: &controlpb.Command_SetZone{SetZone: &controlpb.SetZone{
		RequestKey: b.key(), Zone: "z0", Out: out,
	}}})
}

func (b *bench) announce(n int) *controlpb.Command {
	return b.announceAs(fmt.Sprintf("endpoint-%04d", n%100), uint64(b.keys+n+1))
}

func (b *bench) announceAs(name string, incarnation uint64) *controlpb.Command {
	return b.command(&controlpb.Command{Kind: &controlpb.Command_AnnounceEndpoint{AnnounceEndpoint: &controlpb.AnnounceEndpoint{
		Endpoint: &controlpb.Endpoint{
			Name: name, Incarnation: incarnation, Service: "service-0",
			Address: "10.0.0.1:8000", Zone: "z0", Slots: 8, Connections: 64,
		},
	}}})
}

func (b *bench) grant(n int) *controlpb.Command {
	return b.command(&controlpb.Command{Kind: &controlpb.Command_GrantSlots{GrantSlots: &controlpb.GrantSlots{Grants: []*controlpb.SlotGrant{{
		Endpoint: "endpoint-grants", Incarnation: 1, Gateway: "entry-1", GatewayIncarnation: 1, Slots: int32(1 + n%8),
	}}}}})
}

func (b *bench) intent() *controlpb.Command {
	return b.command(&controlpb.Command{Kind: &controlpb.Command_RecordIntent{RecordIntent: &controlpb.RecordIntent{
		RequestKey: fmt.Sprintf("%d-%024d", b.now/int64(time.Second), b.keys), Service: "service-0", Gateway: "entry-1", GatewayIncarnation: 1,
	}}})
}

func (b *bench) outcome(key string) *controlpb.Command {
	return b.command(&controlpb.Command{Kind: &controlpb.Command_RecordOutcome{RecordOutcome: &controlpb.RecordOutcome{
		RequestKey: key, Gateway: "entry-1", GatewayIncarnation: 1, Outcome: controlpb.Outcome_OUTCOME_ANSWERED,
	}}})
}

// BenchmarkApply measures applying one command of each kind and building the next view. It reports the encoded command
// size.
func BenchmarkApply(b *testing.B) {
	for _, s := range sizes {
		loaded := s.load(b)
		victim := loaded.state.Task(controlstate.TaskID{Job: "batch-job-000007"})
		measure := func(name string, next func(n int) *controlpb.Command, restore func(r *controlpb.Result)) {
			b.Run(s.name()+"/"+name, func(b *testing.B) {
				b.ReportAllocs()
				size := 0
				for n := range b.N {
					b.StopTimer()
					c := next(n)
					size += proto.Size(c)
					loaded.state.View() // so that the command has to copy the nodes that the view shares
					b.StartTimer()
					r := loaded.state.Apply(1, c)
					loaded.state.View()
					b.StopTimer()
					loaded.state.TakeChanges()
					if r.GetCode() != controlpb.ResultCode_RESULT_OK {
						b.Fatalf("%v: %v", c, r)
					}
					if restore != nil {
						restore(r)
					}
					b.StartTimer()
				}
				b.ReportMetric(float64(size)/float64(b.N), "encoded-B/op")
			})
		}
		task, fence := victim.ID.String(), victim.Fence
		rerun := func(*controlpb.Result) {
			loaded.apply(b, loaded.report(task, fence, 7%s.workers, controlpb.ReportKind_REPORT_STOPPED))
			fence = loaded.run(b, task, 7%s.workers)
		}
		measure("StopTask", func(int) *controlpb.Command { return loaded.stop(task, fence) }, rerun)
		measure("ReportStopped", func(int) *controlpb.Command {
			return loaded.report(task, fence, 7%s.workers, controlpb.ReportKind_REPORT_STOPPED)
		}, func(*controlpb.Result) { fence = loaded.run(b, task, 7%s.workers) })
		measure("StartTask", func(int) *controlpb.Command {
			loaded.apply(b, loaded.report(task, fence, 7%s.workers, controlpb.ReportKind_REPORT_STOPPED))
			return loaded.start(task, 7%s.workers)
		}, func(r *controlpb.Result) { fence = r.GetFence() })
		measure("RegisterWorker", func(int) *controlpb.Command { return loaded.register(0, 1) }, nil)
		measure("Announce", func(n int) *controlpb.Command { loaded.keys++; return loaded.announce(n) }, nil)
		loaded.apply(b, loaded.announceAs("endpoint-grants", 1))
		measure("GrantSlots", loaded.grant, nil)
		measure("RecordIntent", func(int) *controlpb.Command { loaded.keys++; return loaded.intent() }, nil)
		measure("RecordOutcome", func(int) *controlpb.Command {
			loaded.keys++
			c := loaded.intent()
			loaded.apply(b, c)
			return loaded.outcome(c.GetRecordIntent().GetRequestKey())
		}, nil)
		jobs := 1_000_000
		measure("SubmitJob", func(int) *controlpb.Command { jobs++; return loaded.submit(jobs) }, nil)
		measure("CancelJob", func(int) *controlpb.Command {
			jobs++
			c := loaded.submit(jobs)
			loaded.apply(b, c)
			return loaded.command(&controlpb.Command{Kind: &controlpb.Command_CancelJobs{CancelJobs: &controlpb.CancelJobs{
				RequestKey: loaded.key(), Names: []string{c.GetSubmitJob().GetSpec().GetName()},
			}}})
		}, nil)
		measure("ThrottleTask", func(n int) *controlpb.Command {
			return loaded.command(&controlpb.Command{Kind: &controlpb.Command_ThrottleTask{ThrottleTask: &controlpb.ThrottleTask{
				Task: task, Fence: fence, Percent: int32(50 + n%2),
			}}})
		}, nil)
	}
}

// BenchmarkView measures building a view after a change of one task.
func BenchmarkView(b *testing.B) {
	for _, s := range sizes {
		loaded := s.load(b)
		id := controlstate.TaskID{Job: "batch-job-000007"}
		b.Run(s.name(), func(b *testing.B) {
			b.ReportAllocs()
			for n := range b.N {
				b.StopTimer()
				loaded.apply(b, loaded.command(&controlpb.Command{Kind: &controlpb.Command_ThrottleTask{ThrottleTask: &controlpb.ThrottleTask{
					Task: id.String(), Fence: loaded.state.Task(id).Fence, Percent: int32(50 + n%2),
				}}}))
				b.StartTimer()
				loaded.state.View()
			}
		})
	}
}

// BenchmarkWorkerLost measures the loss of a worker with its tasks.
func BenchmarkWorkerLost(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name(), func(b *testing.B) {
			loaded := s.load(b)
			b.ResetTimer()
			tasks := 0
			for n := range min(b.N, s.workers) {
				tasks += loaded.state.Worker(workerName(n)).Tasks
				loaded.apply(b, loaded.command(&controlpb.Command{Kind: &controlpb.Command_WorkerLost{WorkerLost: &controlpb.WorkerLost{
					Worker: workerName(n), Incarnation: 1,
				}}}))
			}
			b.ReportMetric(float64(tasks)/float64(min(b.N, s.workers)), "tasks/op")
		})
	}
}

// BenchmarkSetZone measures taking a zone with running tasks out of service. The state is restored before each iteration.
func BenchmarkSetZone(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name(), func(b *testing.B) {
			snapshot := s.load(b).state.Snapshot()
			loaded := &bench{state: controlstate.New()}
			for range b.N {
				b.StopTimer()
				if err := loaded.state.Restore(snapshot); err != nil {
					b.Fatal(err)
				}
				loaded.now = loaded.state.Time().UnixNano()
				c := loaded.zone(true)
				b.StartTimer()
				loaded.apply(b, c)
			}
		})
	}
}

// BenchmarkApplyConfiguration measures applying a configuration that changes one service.
func BenchmarkApplyConfiguration(b *testing.B) {
	for _, s := range sizes {
		loaded := s.load(b)
		texts := []string{s.inventory(), strings.Replace(s.inventory(), "Slots = 8", "Slots = 7", 1)}
		b.Run(s.name(), func(b *testing.B) {
			for n := range b.N {
				loaded.apply(b, loaded.configure(texts[n%2], loaded.state.Version()))
			}
			b.ReportMetric(float64(len(texts[0])), "encoded-B/op")
		})
	}
}

// BenchmarkSnapshot measures taking and restoring a snapshot, and reports its size.
func BenchmarkSnapshot(b *testing.B) {
	for _, s := range sizes {
		loaded := s.load(b)
		b.Run("Take/"+s.name(), func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for range b.N {
				size = len(loaded.state.Snapshot())
			}
			b.ReportMetric(float64(size), "snapshot-B")
		})
		b.Run("Freeze/"+s.name(), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				loaded.state.PrepareSnapshot()
			}
		})
		snapshot := loaded.state.Snapshot()
		b.Run("Restore/"+s.name(), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if err := controlstate.New().Restore(snapshot); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkResident reports the heap that a filled state retains, in total and per task.
func BenchmarkResident(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name(), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				loaded := s.load(b)
				view := loaded.state.View()
				retained := heapBytes() - before
				b.ReportMetric(float64(retained)/float64(1<<20), "resident-MiB")
				b.ReportMetric(float64(retained)/float64(s.tasks), "resident-B/task")
				runtime.KeepAlive(view)
				runtime.KeepAlive(loaded)
			}
		})
	}
}

// heapBytes returns the size of the live heap objects.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
