package latency

import (
	"encoding/json"
	"expvar"
	"testing"
	"time"
)

// Guards against quantiles in the wrong unit, and against losing latencies beyond the range of the histogram.
func TestRecorder(t *testing.T) {
	r := New("LatencyTest")
	for i := range 100 {
		r.Observe("Accept", time.Duration(i+1)*time.Millisecond)
	}
	r.Observe("Accept", time.Hour)
	r.Observe("Other", 0)
	published := map[string]map[string]int64{}
	if err := json.Unmarshal([]byte(expvar.Get("LatencyTest").String()), &published); err != nil {
		t.Fatal(err)
	}
	accept := published["Accept"]
	if accept["Count"] != 101 || published["Other"]["Count"] != 1 {
		t.Errorf("counts %d and %d, expected 101 and 1", accept["Count"], published["Other"]["Count"])
	}
	for name, want := range map[string]time.Duration{"P50Microseconds": 51 * time.Millisecond, "P99Microseconds": 100 * time.Millisecond, "MaxMicroseconds": maxLatency} {
		got := time.Duration(accept[name]) * time.Microsecond
		if diff := (got - want).Abs(); diff > want/50 {
			t.Errorf("%s is %v, expected about %v", name, got, want)
		}
	}
}
