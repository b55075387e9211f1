package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// scaledSize returns a region with the proportions of the region that is planned for in two years: per worker 7.1 executors,
// 28.9 batch tasks and 0.39 batch starts per second.
func scaledSize(workers int) Size {
	return Size{
		Voters: 5, Learners: 2, Workers: workers, Executors: workers * 6900 / 970, BatchTasks: workers * 28000 / 970,
		StartsPerSecond: workers * 380 / 970,
	}
}

// currentSize returns a region with the proportions of today's regions: per worker one executor and 2 batch tasks.
func currentSize(workers int) Size {
	return Size{Voters: 5, Learners: 2, Workers: workers, Executors: workers, BatchTasks: 2 * workers}
}

// withoutStarts returns the size without starts of batch tasks.
func withoutStarts(s Size) Size {
	s.StartsPerSecond = 0
	return s
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkRegion reports socket bytes, processor time and heap by daemon role, and the bytes of each kind of message.
func BenchmarkRegion(b *testing.B) {
	cases := []struct {
		name string
		size Size
	}{
		{"today=50", currentSize(50)},
		{"today=70", currentSize(70)},
		{"quiet=50", withoutStarts(scaledSize(50))},
		{"quiet=250", withoutStarts(scaledSize(250))},
		{"quiet=970", withoutStarts(scaledSize(970))},
		{"peak=50", scaledSize(50)},
		{"peak=250", scaledSize(250)},
		{"peak=970", scaledSize(970)},
	}
	for _, c := range cases {
		for _, variant := range []string{"single", "batches", "reduced"} {
			c.size.BatchedRenewals, c.size.DeltaReports = variant != "single", variant == "reduced"
			b.Run(c.name+"/"+variant, func(b *testing.B) {
				for b.Loop() {
					measureRegion(b, c.size)
				}
			})
		}
	}
}

// measureRegion loads a region, measures it for 10 s of virtual time, and reports the metrics.
func measureRegion(b *testing.B, size Size) {
	sim, err := New(size, 1)
	if err == nil {
		err = sim.Load()
	}
	if err != nil {
		b.Fatal(err)
	}
	sim.Run(10 * time.Second)
	const span = 10 * time.Second
	usage, err := sim.Measure(span)
	if err != nil {
		b.Fatal(err)
	}
	if expected := size.Executors/services*services + size.BatchTasks; sim.Running() < expected*8/10 {
		b.Fatalf("%d tasks are running, expected about %d", sim.Running(), expected)
	}
	b.ReportMetric(float64(sim.Running()), "tasks")
	for role, u := range usage {
		b.ReportMetric(100*u.Cores, role+"-%core")
		b.ReportMetric(u.SentBytes, role+"-sent-B/s")
		b.ReportMetric(u.ReceivedBytes, role+"-received-B/s")
		b.ReportMetric(u.SentCount+u.ReceivedCount, role+"-messages/s")
	}
	table := ""
	for _, flow := range sim.Meter.Sorted() {
		count := sim.Meter.Flows[flow]
		table += fmt.Sprintf("%-28s %-9s %-9s %9.1f /s %10.0f B/s, each %9.1f B encoded, %9.1f B on the socket\n", flow.Kind, flow.From, flow.To,
			float64(count.Messages)/span.Seconds(), float64(count.SocketBytes)/span.Seconds(),
			float64(count.EncodedBytes)/float64(count.Messages), float64(count.SocketBytes)/float64(count.Messages))
	}
	for kind, count := range sim.Meter.Entries {
		table += fmt.Sprintf("entry %-22s %9.1f /s %9.1f B each\n", kind, float64(count.Messages)/span.Seconds(), float64(count.EncodedBytes)/float64(count.Messages))
	}
	b.Logf("%s\n%s", b.Name(), table)
	sim.Release("")
	before := heapBytes()
	for _, role := range []string{"learner", "follower", "leader"} {
		if sim.Release(role) {
			after := heapBytes()
			b.ReportMetric((before-after)/1e6, role+"-MB")
			before = after
		}
	}
	runtime.KeepAlive(sim)
}
