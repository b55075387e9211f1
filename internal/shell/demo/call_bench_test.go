package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"galenamoor/internal/standin/audit"
)

// BenchmarkCalls measures calls through three daemons that sync their logs. Non-repeatable calls are recorded on a quorum
// before their dispatch, repeatable ones are not. Executors answer immediately.
func BenchmarkCalls(b *testing.B) {
	d, err := New(Options{Folder: "../../../examples/ridewell", Seed: 1, Out: io.Discard, Log: logr.Discard()})
	if err != nil {
		b.Fatal(err)
	}
	d.audit = audit.New()
	d.callTime = time.Nanosecond
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	d.begin = time.Now()
	if err := d.start(ctx, b.TempDir()); err != nil {
		b.Fatal(err)
	}
	defer d.cluster.stop()
	defer d.workers.stop()
	for _, repeatable := range []bool{true, false} {
		for _, callers := range []int{1, 16, 64} {
			b.Run(fmt.Sprintf("repeatable=%t/callers=%d", repeatable, callers), func(b *testing.B) {
				measureCalls(b, d, repeatable, callers)
			})
		}
	}
}

// callNumber numbers the calls of all benchmarks, so that each has its own request key.
var callNumber atomic.Int64

func measureCalls(b *testing.B, d *Demo, repeatable bool, callers int) {
	latency := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	remaining := atomic.Int64{}
	remaining.Store(int64(b.N))
	failed := atomic.Int64{}
	for range callers {
		group.Go(func() {
			for remaining.Add(-1) >= 0 {
				begin := time.Now()
				if !sendCall(d, repeatable) {
					failed.Add(1)
				}
				mu.Lock()
				_ = latency.RecordValue(time.Since(begin).Microseconds())
				mu.Unlock()
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64(failed.Load()), "not-answered")
}

func sendCall(d *Demo, repeatable bool) bool {
	key := fmt.Sprintf("%d-b%d", time.Now().Unix(), callNumber.Add(1))
	url := fmt.Sprintf("http://%s/v1/services/%s/calls", d.cluster.balancer.Call(), d.inventory.Services[0].Name)
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte("waiver")))
	if err != nil {
		return false
	}
	request.Header.Set("Galenamoor-Request-Key", key)
	request.Header.Set("Galenamoor-Deadline", "5s")
	request.Header.Set("Galenamoor-Repeatable", strconv.FormatBool(repeatable))
	response, err := d.cluster.balancer.Doer().Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Header.Get("Galenamoor-Outcome") == "answered"
}
