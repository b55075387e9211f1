package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// BenchmarkSimulatedSecond simulates one second of a fleet of 66 workers with four fifths of its processors reserved by
// serving tasks, where more best-effort tasks arrive than fit.
func BenchmarkSimulatedSecond(b *testing.B) {
	sim := newSimulationWithWorkers(&testing.T{}, 1, 66)
	for i := range 50 {
		sim.submit("urgent", fmt.Sprintf("serving-%d", i), serving(6, fmt.Sprintf("image-%d", i%5)))
	}
	jobs := 0
	for b.Loop() {
		for range 10 {
			sim.submit("batch", fmt.Sprintf("job-%d", jobs), bestEffort(16, fmt.Sprintf("fill-%d", jobs%9), 2200*time.Millisecond))
			sim.submit("urgent", fmt.Sprintf("dedicated-%d", jobs), dedicated(4, 800*time.Millisecond))
			jobs++
			sim.run(70 * time.Millisecond)
		}
	}
}

// BenchmarkScan measures a scan of 970 workers with 36 runs each, for which nothing is due.
func BenchmarkScan(b *testing.B) {
	const workers, runsPerWorker = 970, 36
	sim := newSimulation(&testing.T{}, 1)
	sim.configure()
	var changes []*controlpb.WorkChange
	for i := range workers {
		changes = append(changes, &controlpb.WorkChange{Kind: &controlpb.WorkChange_PutWorker{PutWorker: &controlpb.WorkerLife{
			Id: fmt.Sprintf("worker-%d", i), Host: fmt.Sprintf("host-%d", i), Pool: "pool", Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200+1),
			Processors: 128_000, Memory: 512 << 10, BornMs: 1,
		}}})
	}
	step := serving(workers*runsPerWorker, "image")
	changes = append(changes, &controlpb.WorkChange{Kind: &controlpb.WorkChange_Submit{Submit: &controlpb.WorkJob{Id: "a", Queue: "urgent", Steps: []*controlpb.WorkStep{step}}}})
	for i := range uint32(workers * runsPerWorker) {
		changes = append(changes, &controlpb.WorkChange{Kind: &controlpb.WorkChange_StartRun{StartRun: &controlpb.StartRun{
			Task: workload.TaskKey{Job: "a", Index: i}.Ref(), Run: 1, Worker: 1 + i%workers,
		}}})
	}
	sim.state.Apply(sim.now, &controlpb.WorkBatch{Changes: changes})
	sim.changeLeader()
	sim.run(50 * time.Millisecond)
	d := sim.dispatcher
	if len(d.runs) != workers*runsPerWorker {
		b.Fatalf("%d runs are tracked, expected %d", len(d.runs), workers*runsPerWorker)
	}
	for _, w := range d.workers {
		w.lastAnswer, w.nextPoll = d.now, d.now.Add(time.Hour)
	}
	for _, r := range d.runs {
		r.seen = true
	}
	for b.Loop() {
		d.tickWorkers()
	}
}
