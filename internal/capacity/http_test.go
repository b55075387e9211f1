package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"testing"

	endpointclient "galenamoor/api/gen/http/endpoints/client"
	workerclient "galenamoor/api/gen/http/workers/client"

	"galenamoor/api/gen/endpoints"
	"galenamoor/api/gen/workers"
	"galenamoor/internal/standin/balancer"
)

// measuringDoer records the size of a request as written to a connection, and returns no response.
type measuringDoer struct{ bytes int }

func (d *measuringDoer) Do(r *http.Request) (*http.Response, error) {
	dump, err := httputil.DumpRequestOut(r, true)
	d.bytes = len(dump)
	if err != nil {
		return nil, err
	}
	return nil, io.EOF
}

// BenchmarkHTTP reports the size of the requests that workers and endpoints send to a daemon.
func BenchmarkHTTP(b *testing.B) {
	for _, tasks := range []int{0, 4, 36, 144} {
		b.Run(fmt.Sprintf("renewal=%d", tasks), func(b *testing.B) {
			doer := &measuringDoer{}
			client := workerclient.NewClient("http", "10.0.0.1:7401", doer, balancer.Encoder, balancer.Decoder, false)
			payload := &workers.RenewPayload{Worker: "worker-0123", Incarnation: incarnation}
			for n := range tasks {
				payload.Usage = append(payload.Usage, &workers.Usage{
					Task: fmt.Sprintf("batch-job-%06d/%d", n*7919%100_000, n%100), Fence: uint64(1_000_000 + n*977),
					Used: &workers.Resources{Processors: int64(700 + n*37%300), Memory: int64(3000 + n*53%1000)}, Age: int64(n) * 97_000_001,
				})
			}
			for b.Loop() {
				_, _ = client.Renew()(context.Background(), payload)
			}
			b.ReportMetric(float64(doer.bytes), "sent-B")
		})
	}
	b.Run("endpoint", func(b *testing.B) {
		doer := &measuringDoer{}
		client := endpointclient.NewClient("http", "10.0.0.1:7401", doer, balancer.Encoder, balancer.Decoder, false)
		payload := &endpoints.AnnouncePayload{
			Endpoint: endpointName(1234), Incarnation: incarnation, Service: "service-4", Address: "10.1.4.234:8080", Zone: "zone-4",
			Slots: slotsPerExecutor, Connections: 64, InUse: 3,
		}
		for b.Loop() {
			_, _ = client.Announce()(context.Background(), payload)
		}
		b.ReportMetric(float64(doer.bytes), "sent-B")
	})
}
