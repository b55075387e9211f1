package collector

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/shell/gateway"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// fakeGateway is a Gateway with fixed minutes.
type fakeGateway []gateway.MinuteCounters

func (g fakeGateway) Minutes() []gateway.MinuteCounters { return g }

// fakePeers maps hosts to their Collectors; a host with a nil Collector doesn't answer.
type fakePeers map[string]*Collector

func (p fakePeers) Hosts() []string {
	var hosts []string
	for host := range p {
		hosts = append(hosts, host)
	}
	return hosts
}

func (p fakePeers) Collect(_ context.Context, host string) ([]byte, error) {
	if p[host] == nil {
		return nil, trace.ConnectionProblem(nil, "connection refused")
	}
	return p[host].Encode()
}

// minute returns a minute of calls in one zone: good calls take 10 ms and slow calls 1 s. The default bound is 250 ms.
func minute(t *testing.T, good, slow, notRun int64) gateway.MinuteCounters {
	t.Helper()
	h := hdrhistogram.New(1, 60_000_000, 2)
	if err := h.RecordValues(10_000, good); err != nil {
		t.Fatal(err)
	}
	if err := h.RecordValues(1_000_000, slow); err != nil {
		t.Fatal(err)
	}
	encoded, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		t.Fatal(err)
	}
	return gateway.MinuteCounters{
		Service: "waiver", Minute: noon.Unix() / 60, Requests: good + slow + notRun, Answered: good + slow, NotRun: notRun,
		Zones: []gateway.ZoneLatency{{Zone: "swakop", Answered: good + slow, LatencyMicroseconds: encoded}},
	}
}

func newCollector(t *testing.T, host, folder string, peers fakePeers, minutes ...gateway.MinuteCounters) *Collector {
	t.Helper()
	state := controlstate.New()
	return New(Config{
		Host: host, DataFolder: folder, Gateway: fakeGateway(minutes), Peers: peers, View: state.View,
		Clock: clockwork.NewFakeClockAt(noon), Log: logr.Discard(),
	})
}

// TestClusterReport guards against a report that omits a daemon without saying so, or that counts one twice.
func TestClusterReport(t *testing.T) {
	peers := fakePeers{"entry-2": newCollector(t, "entry-2", "", nil, minute(t, 50, 0, 5)), "entry-3": nil}
	c := newCollector(t, "entry-1", t.TempDir(), peers, minute(t, 90, 10, 0))
	c.round(context.Background())
	for range 2 {
		report := c.Report(context.Background())
		window := report.Services[0].Windows[1]
		if window.Requests != 155 || window.Good != 140 || window.Slow != 10 || window.NotRun != 5 {
			t.Errorf("%+v, want 155 requests, 140 good, 10 slow, 5 not run", window)
		}
		if len(report.Hosts) != 3 || !report.Hosts[1].Asked || report.Hosts[2].Asked || !report.Hosts[2].Until.IsZero() {
			t.Errorf("hosts %+v, want entry-3 listed as not asked and without a copy", report.Hosts)
		}
	}
}

// TestRestart guards against counters that are lost in a restart, and against losing the counters of a daemon without a
// data folder when it stops or restarts.
func TestRestart(t *testing.T) {
	folder := t.TempDir()
	peers := fakePeers{"entry-2": newCollector(t, "entry-2", "", nil, minute(t, 50, 0, 0))}
	first := newCollector(t, "entry-1", folder, peers, minute(t, 90, 10, 0))
	first.round(context.Background())

	peers["entry-2"] = nil
	second := newCollector(t, "entry-1", folder, peers)
	report := second.Report(context.Background())
	if window := report.Services[0].Windows[1]; window.Requests != 150 {
		t.Errorf("%d requests after the restart, want 150", window.Requests)
	}
	if host := report.Hosts[1]; host.Asked || !host.Until.Equal(noon) {
		t.Errorf("%+v, want entry-2 reported from its copy of %v", host, noon)
	}
	peers["entry-2"] = newCollector(t, "entry-2", "", nil)
	if window := second.Report(context.Background()).Services[0].Windows[1]; window.Requests != 150 {
		t.Errorf("%d requests after entry-2 restarted without a data folder, want 150", window.Requests)
	}
}

// TestDamagedFile guards against a daemon that doesn't start, or stops counting, because its counters file is corrupt.
func TestDamagedFile(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, fileName), []byte("not gzip"), 0o644); err != nil {
		t.Fatal(err)
	}
	c := newCollector(t, "entry-1", folder, fakePeers{}, minute(t, 1, 0, 0))
	c.round(context.Background())
	if window := c.Report(context.Background()).Services[0].Windows[0]; window.Requests != 1 {
		t.Errorf("%d requests, want 1", window.Requests)
	}
}
