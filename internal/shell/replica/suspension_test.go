package replica

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"galenamoor/internal/controlpb"
)

// TestSuspensionBeforeQueuedRequests guards against a leader that answers a query after its host was suspended, because the
// control loop notices the suspension too late. Its lease still looks valid then, and another leader may have committed changes.
func TestSuspensionBeforeQueuedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := false
		ctx, cancel := context.WithCancel(t.Context())
		c := startSlowDiskCluster(ctx, t, 1, func(o *Options) {
			o.Suspended = func() bool {
				was := suspended
				suspended = false
				return was
			}
		})
		time.Sleep(3 * time.Second)
		cancel()
		c.running.Wait() // from here on, this goroutine is the control goroutine
		r := c.replicas[0]
		query := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Query{Query: &controlpb.Query{Name: "members"}}}
		for _, step := range []struct {
			name      string
			suspended bool
			want      controlpb.ResultCode
		}{
			{"before", false, controlpb.ResultCode_RESULT_OK},
			{"after", true, controlpb.ResultCode_RESULT_UNAVAILABLE},
		} {
			suspended = step.suspended
			p := r.enqueue(query)
			r.drainQueues()
			r.processOutputs()
			if code := (<-p.answer).Reply.GetResult().GetCode(); code != step.want {
				t.Errorf("%s the suspension: %v, expected %v", step.name, code, step.want)
			}
		}
	})
}
