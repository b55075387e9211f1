package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/interference"
	"galenamoor/internal/decision/placement"
	"galenamoor/pkg/inventory"
	"galenamoor/pkg/resource"
	"galenamoor/pkg/rules"
)

const tasksPerWorker = 36 // 34,900 tasks on 970 workers

// newLoadedScheduler returns a scheduler with running tasks. A fifth are services of 20 kinds, the others batch tasks of 60 kinds,
// a quarter of which are known to interfere with services.
func newLoadedScheduler(workers int) (*Scheduler, time.Time) {
	s := New(Default())
	random := rand.New(rand.NewPCG(1, uint64(workers)))
	now := time.Unix(1_800_000_000, 0)
	zones := []string{"a", "b", "c", "d", "e", "f"}
	s.Configure(&inventory.Inventory{Zones: zones}, &rules.Rules{}, nil)
	capacity := resource.Vector{Processors: 64_000, Memory: 250 << 10}
	for w := range workers {
		s.WorkerChanged(&controlpb.WorkerRecord{Name: fmt.Sprintf("w%d", w), Incarnation: 1, Capacity: controlpb.NewResources(capacity)},
			zones[w%6], fmt.Sprintf("r%d", w/48))
	}
	s.advance(now)
	fence := uint64(0)
	for w := range workers {
		for i := range tasksPerWorker {
			fence++
			spec := &controlpb.JobSpec{Name: fmt.Sprintf("j%d-%d", w, i), Kind: fmt.Sprintf("k%d", random.IntN(60))}
			spec.Request = &controlpb.Resources{Processors: 800 + int64(random.IntN(1400)), Memory: 2000 + int64(random.IntN(4000))}
			if i%5 == 0 {
				spec.Name = fmt.Sprintf("s%d", random.IntN(20))
				spec.Kind, spec.Class = spec.Name, controlpb.Class_LATENCY_CRITICAL
			}
			s.TaskChanged(spec, &controlpb.TaskRecord{
				Name: fmt.Sprintf("%s/%d", spec.Name, fence), State: controlpb.TaskState_RUNNING, Fence: fence,
				Worker: fmt.Sprintf("w%d", w), Since: now.UnixNano(),
			})
		}
	}
	for k := range 15 {
		for v := range 20 {
			neighbours := []interference.Neighbour{{Kind: s.estimator.Kind(fmt.Sprintf("k%d", k)), Weight: 1}}
			s.estimator.Observe(now, s.estimator.Kind(fmt.Sprintf("s%d", v)), nil, 10*time.Millisecond)
			s.estimator.Observe(now, s.estimator.Kind(fmt.Sprintf("s%d", v)), neighbours, 20*time.Millisecond)
		}
	}
	s.Pass(now)
	return s, now
}

// BenchmarkPlace measures the choice of a worker, including the index updates for one start and one end.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range []int{50, 70, 970, 3880} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s, now := newLoadedScheduler(workers)
			times := hdrhistogram.New(1, int64(time.Second), 3)
			random := rand.New(rand.NewPCG(2, 2))
			var requests [64]placement.Request
			for i := range requests {
				requests[i] = placement.Request{
					Size: resource.Vector{Processors: 500 + int64(random.IntN(3000)), Memory: 1000 + int64(random.IntN(8000))},
					Kind: s.estimator.Kind(fmt.Sprintf("k%d", random.IntN(60))), Avoid: placement.NoAvoid,
				}
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if i++; i%500 == 0 {
					s.now = now.Add(time.Duration(i) * 2 * time.Millisecond) // lets the interference caches age as at 500 starts/s
				}
				r := &requests[i%len(requests)]
				begin := time.Now()
				s.scorer.setKind(r.Kind)
				id := s.planner.Place(r)
				if id != placement.None {
					s.planner.Charge(id, r)
				}
				_ = times.RecordValue(int64(time.Since(begin)))
				if id == placement.None {
					b.Fatal("no worker found")
				}
				s.planner.Release(id, r)
				s.byID[id].interferenceAt = time.Time{} // as after a change of its tasks
			}
			b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-ns")
			b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-ns")
		})
	}
}

// BenchmarkPass measures a pass that starts eight tasks, as at 380 starts a second with a pass every 20 ms, including the
// resulting calls of TaskChanged.
func BenchmarkPass(b *testing.B) {
	for _, workers := range []int{50, 70, 970, 3880} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s, now := newLoadedScheduler(workers)
			b.ReportAllocs()
			n, fence := 0, uint64(1<<32)
			for b.Loop() {
				now = now.Add(PassInterval)
				name := fmt.Sprintf("b%d", n)
				n++
				spec := &controlpb.JobSpec{
					Name: name, Kind: fmt.Sprintf("k%d", n%60), Request: &controlpb.Resources{Processors: 500, Memory: 1000},
					Deadline: now.Add(time.Hour).UnixNano(), RunTime: int64(time.Minute),
				}
				for i := range 8 {
					s.TaskChanged(spec, &controlpb.TaskRecord{Name: fmt.Sprintf("%s/%d", name, i)})
				}
				for _, c := range s.Pass(now) {
					start := c.GetStartTask()
					if start == nil {
						continue
					}
					fence++
					r := &controlpb.TaskRecord{Name: start.Task, State: controlpb.TaskState_STARTING, Worker: start.Worker, Fence: fence}
					s.TaskChanged(spec, r)
					r.State, r.Since = controlpb.TaskState_FINISHED, now.UnixNano()
					s.TaskChanged(spec, r)
				}
				s.JobRemoved(name)
			}
		})
	}
}
