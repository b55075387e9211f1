package capacity

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/shell/transport"
)

// countingHandler is a transport handler that counts consensus messages and returns empty replies to requests.
type countingHandler struct{ delivered atomic.Int64 }

func (s *countingHandler) Deliver(*controlpb.ConsensusMessage) { s.delivered.Add(1) }

func (s *countingHandler) HandleLeaderRequest(context.Context, *controlpb.LeaderRequest) *controlpb.LeaderReply {
	return &controlpb.LeaderReply{Result: &controlpb.Result{}}
}

func (s *countingHandler) FetchAnswer(context.Context, *controlpb.FetchAnswerRequest) *controlpb.FetchAnswerReply {
	return nil
}

func (s *countingHandler) Collect(context.Context) *controlpb.CollectReply { return nil }

// connectedPair returns two connected transports and the handler of the second.
func connectedPair(b *testing.B) (from, to *transport.Transport, received *countingHandler) {
	received = &countingHandler{}
	open := func(name string) *transport.Transport {
		t, err := transport.New(transport.Options{Host: b.Name() + name, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Log: logr.Discard()})
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = t.Serve(received) }()
		b.Cleanup(func() { t.Close() })
		return t
	}
	from, to = open("from"), open("to")
	from.SetPeers(1, []*controlpb.Member{{Id: 2, Address: to.Address().String()}})
	return from, to, received
}

// gatewayReport returns a report on the given number of endpoints.
func gatewayReport(endpoints int) *controlpb.LeaderRequest {
	report := &controlpb.GatewayReport{Gateway: "entry-1", Incarnation: incarnation}
	for n := range endpoints {
		report.Use = append(report.Use, &controlpb.SlotUse{
			Endpoint: endpointName(n), Incarnation: incarnation + uint64(n)*7919, InUse: int32(n * 31 % 3), Demand: int32(n * 17 % 4), Epoch: uint64(1_000 + n*13%5000),
		})
	}
	return &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_GatewayReport{GatewayReport: report}}
}

// renewalWithUsage returns a renewal with the usage of the given number of tasks.
func renewalWithUsage(tasks int) *controlpb.LeaderRequest {
	renewal := &controlpb.WorkerRenewal{Worker: "worker-0123", Incarnation: incarnation}
	for n := range tasks {
		renewal.Usage = append(renewal.Usage, &controlpb.Usage{
			Task: fmt.Sprintf("batch-job-%06d/%d", n*7919%100_000, n%100), Fence: uint64(1_000_000 + n*977),
			Used: &controlpb.Resources{Processors: int64(700 + n*37%300), Memory: int64(3000 + n*53%1000)}, Age: int64(n) * 97_000_001,
		})
	}
	return &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Renewal{Renewal: renewal}}
}

// BenchmarkFraming reports the bytes on the socket in both directions for one forwarded request and its reply, the encoded
// size of the request, and the processor time of both sides.
func BenchmarkFraming(b *testing.B) {
	cases := map[string]*controlpb.LeaderRequest{}
	for _, n := range []int{1, 50, 350, 6900} {
		cases[fmt.Sprintf("gateway-report=%d", n)] = gatewayReport(n)
	}
	for _, n := range []int{0, 4, 36, 144} {
		cases[fmt.Sprintf("renewal=%d", n)] = renewalWithUsage(n)
	}
	for _, workers := range []int{50, 250, 970, 3880} {
		cases[fmt.Sprintf("configuration=%d", workers)] = commandRequest(scaledSize(workers).Configuration())
	}
	for name, request := range cases {
		b.Run(name, func(b *testing.B) {
			from, to, _ := connectedPair(b)
			for range 20 { // connects, and fills the dynamic tables of header compression
				if _, err := from.Forward(context.Background(), to.Address(), request); err != nil {
					b.Fatal(err)
				}
			}
			sent, received := from.Counters().SentSocketBytes.Value(), from.Counters().ReceivedSocketBytes.Value()
			for b.Loop() {
				if _, err := from.Forward(context.Background(), to.Address(), request); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(request)), "encoded-B")
			b.ReportMetric(float64(from.Counters().SentSocketBytes.Value()-sent)/float64(b.N), "sent-B")
			b.ReportMetric(float64(from.Counters().ReceivedSocketBytes.Value()-received)/float64(b.N), "received-B")
		})
	}
}

// BenchmarkStream reports the bytes on the socket for one consensus message.
func BenchmarkStream(b *testing.B) {
	start := commandRequest(&controlpb.Command{Time: incarnation, Kind: &controlpb.Command_StartTask{StartTask: &controlpb.StartTask{
		Task: "batch-job-000123/45", Worker: "worker-0123", Incarnation: incarnation, Why: "waiting longest",
		Charge: &controlpb.Resources{Processors: 1000, Memory: 4096},
	}}}).GetCommand()
	for _, c := range []struct {
		name    string
		command *controlpb.Command
	}{
		{"heartbeat", nil},
		{"start", start},
		{"configuration=50", scaledSize(50).Configuration()},
		{"configuration=250", scaledSize(250).Configuration()},
		{"configuration=970", scaledSize(970).Configuration()},
		{"configuration=3880", scaledSize(3880).Configuration()},
	} {
		b.Run(c.name, func(b *testing.B) {
			from, _, received := connectedPair(b)
			m := &controlpb.ConsensusMessage{
				Type: controlpb.MessageType_APPEND, From: 1, To: 2, Term: 7, Index: 1_000_000, LogTerm: 7, Commit: 1_000_000, Round: 100_000,
				Stamp: incarnation, Echo: incarnation,
			}
			if c.command != nil {
				data, err := proto.Marshal(c.command)
				if err != nil {
					b.Fatal(err)
				}
				m.Entries = []*controlpb.Entry{{Index: 1_000_001, Term: 7, Data: data}}
			}
			send := func() {
				before := received.delivered.Load()
				from.Send(m)
				for received.delivered.Load() == before {
					time.Sleep(10 * time.Microsecond)
				}
			}
			for range 5 {
				send()
			}
			sent := from.Counters().SentSocketBytes.Value()
			for b.Loop() {
				send()
			}
			b.ReportMetric(float64(proto.Size(m)), "encoded-B")
			b.ReportMetric(float64(from.Counters().SentSocketBytes.Value()-sent)/float64(b.N), "sent-B")
		})
	}
}
