package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"galenamoor/internal/shell/gateway"

	"github.com/jonboulle/clockwork"
)

// BenchmarkCall compares calls through the gateway with direct calls and with calls through httputil.ReverseProxy.
// Latencies are in microseconds. Allocations include the caller, the proxy and the endpoint.
func BenchmarkCall(b *testing.B) {
	for _, callers := range []int{1, 64, 512} {
		for _, path := range []string{"direct", "reverseproxy", "gateway"} {
			b.Run(fmt.Sprintf("%s/%d", path, callers), func(b *testing.B) {
				e := newFakeEndpoint(b)
				address := map[string]func(*testing.B, *fakeEndpoint, int) string{
					"direct": func(_ *testing.B, e *fakeEndpoint, _ int) string { return e.server.URL }, "reverseproxy": reverseProxy, "gateway": gatewayProxy,
				}[path](b, e, callers)
				measureCalls(b, address, callers)
			})
		}
	}
}

func reverseProxy(b *testing.B, e *fakeEndpoint, callers int) string {
	target, err := url.Parse(e.server.URL)
	if err != nil {
		b.Fatal(err)
	}
	proxy := &httputil.ReverseProxy{
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(target) },
		Transport: &http.Transport{MaxIdleConnsPerHost: callers, MaxConnsPerHost: callers},
	}
	server := httptest.NewServer(proxy)
	b.Cleanup(server.Close)
	return server.URL
}

func gatewayProxy(b *testing.B, e *fakeEndpoint, callers int) string {
	h := newHarness(b, newFakeLedger(), "g", func(c *gateway.Config) { c.Clock = clockwork.NewRealClock() })
	h.setRoutes(callers, e.route("e", callers, 1))
	h.gateway.ConfirmRoutes(time.Now().Add(time.Hour))
	return h.server.URL
}

func measureCalls(b *testing.B, address string, callers int) {
	transport := &http.Transport{MaxIdleConnsPerHost: callers, DialContext: (&net.Dialer{}).DialContext}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	body := strings.Repeat("w", 1024)
	var remaining atomic.Int64
	var mu sync.Mutex
	total := hdrhistogram.New(1, 60_000_000, 3)
	run := func(count int, record bool) {
		remaining.Store(int64(count))
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				h := hdrhistogram.New(1, 60_000_000, 3)
				for remaining.Add(-1) >= 0 {
					start := time.Now()
					if err := callOnce(client, address, body); err != nil {
						b.Error(err)
						return
					}
					_ = h.RecordValue(max(1, time.Since(start).Microseconds()))
				}
				if record {
					mu.Lock()
					total.Merge(h)
					mu.Unlock()
				}
			})
		}
		wg.Wait()
	}
	run(10*callers, false)
	b.ReportAllocs()
	b.ResetTimer()
	run(b.N, true)
	b.StopTimer()
	b.ReportMetric(float64(total.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(total.ValueAtQuantile(99)), "p99-us")
}

func callOnce(client *http.Client, address, body string) error {
	r, err := http.NewRequest(http.MethodPost, address+"/v1/services/waiver/calls", strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Galenamoor-Request-Key", strconv.FormatInt(time.Now().Unix(), 10)+"-1")
	r.Header.Set("Galenamoor-Deadline", "20s")
	r.Header.Set("Galenamoor-Repeatable", "true")
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	received := make([]byte, 2048)
	n := 0
	for n < len(body) {
		k, err := response.Body.Read(received[n:])
		n += k
		if err != nil {
			break
		}
	}
	if response.StatusCode != http.StatusOK || n != len(body) {
		return fmt.Errorf("status %d, outcome %q, reason %q, %d bytes", response.StatusCode, response.Header.Get("Galenamoor-Outcome"), response.Header.Get("Galenamoor-Reason"), n)
	}
	return nil
}
