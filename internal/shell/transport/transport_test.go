package transport

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"galenamoor/internal/controlpb"
)

// testTimeout limits every wait in these tests. It is far longer than needed, so its exact value doesn't matter.
const testTimeout = 20 * time.Second

// testDaemon is a Transport that records the consensus messages delivered to it.
type testDaemon struct {
	*Transport
	delivered     chan *controlpb.ConsensusMessage
	handleRequest func(context.Context) *controlpb.LeaderReply
}

func (d *testDaemon) Deliver(m *controlpb.ConsensusMessage) { d.delivered <- m }

func (d *testDaemon) HandleLeaderRequest(ctx context.Context, _ *controlpb.LeaderRequest) *controlpb.LeaderReply {
	return d.handleRequest(ctx)
}

func (d *testDaemon) FetchAnswer(_ context.Context, r *controlpb.FetchAnswerRequest) *controlpb.FetchAnswerReply {
	return &controlpb.FetchAnswerReply{Known: true, Body: []byte(r.RequestKey)}
}

func (d *testDaemon) Collect(context.Context) *controlpb.CollectReply {
	return &controlpb.CollectReply{Host: d.options.Host}
}

func startDaemon(t *testing.T, host string, listen netip.AddrPort) *testDaemon {
	t.Helper()
	transport, err := New(Options{Host: host, Listen: listen, Log: logr.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	d := &testDaemon{Transport: transport, delivered: make(chan *controlpb.ConsensusMessage, 1<<16)}
	d.handleRequest = func(context.Context) *controlpb.LeaderReply {
		return &controlpb.LeaderReply{Result: &controlpb.Result{Version: 5}}
	}
	go d.Serve(d)
	t.Cleanup(func() { d.Close() })
	return d
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func newPair(t *testing.T) (a, b *testDaemon) {
	a, b = startDaemon(t, "a", loopback), startDaemon(t, "b", loopback)
	a.SetPeers(1, []*controlpb.Member{{Id: 1, Address: a.Address().String()}, {Id: 2, Address: b.Address().String()}})
	return a, b
}

// sendUntilDelivered sends messages with increasing indexes from a, until b receives one with at least the given index.
func sendUntilDelivered(t *testing.T, a, b *testDaemon, index uint64) {
	t.Helper()
	timeout := time.After(testTimeout)
	for next := index; ; next++ {
		a.Send(&controlpb.ConsensusMessage{To: 2, Index: next})
		select {
		case m := <-b.delivered:
			if m.Index >= index {
				return
			}
		case <-time.After(10 * time.Millisecond):
		case <-timeout:
			t.Fatalf("message %d was not delivered", index)
		}
	}
}

// Checks that messages arrive in order. Reordered messages would make consensus resend entries needlessly.
func TestMessagesArriveInOrder(t *testing.T) {
	a, b := newPair(t)
	sendUntilDelivered(t, a, b, 1)
	for i := range uint64(100) {
		a.Send(&controlpb.ConsensusMessage{To: 2, Index: 1000 + i})
	}
	for next := uint64(1000); next < 1100; {
		select {
		case m := <-b.delivered:
			if m.Index >= 1000 && m.Index != next {
				t.Fatalf("got message %d, want %d", m.Index, next)
			}
			if m.Index >= 1000 {
				next++
			}
		case <-time.After(testTimeout):
			t.Fatalf("message %d was not delivered", next)
		}
	}
	if sent, received := a.Counters().SentPayloadBytes.Value(), b.Counters().ReceivedPayloadBytes.Value(); received == 0 || sent < received {
		t.Errorf("counted %d bytes sent, %d received", sent, received)
	}
}

// Checks that a peer that is down doesn't block the sender, and is reached again after it restarts.
func TestPeerRestarts(t *testing.T) {
	a, b := newPair(t)
	sendUntilDelivered(t, a, b, 1)
	address := b.Address()
	b.Close()
	for i := range uint64(10 * DefaultQueueLength) {
		a.Send(&controlpb.ConsensusMessage{To: 2, Index: i})
	}
	if a.Counters().DroppedMessages.Value() == 0 {
		t.Error("no message was dropped: the queue is not bounded")
	}
	sendUntilDelivered(t, a, startDaemon(t, "b", address), 1<<20)
}

// Checks that a simulated partition drops everything in both directions, including replies to earlier requests.
func TestPartitionDropsBothDirections(t *testing.T) {
	for _, side := range []string{"sender", "receiver"} {
		t.Run(side, func(t *testing.T) {
			a, b := newPair(t)
			partitioned := map[string]*testDaemon{"sender": a, "receiver": b}[side]
			sendUntilDelivered(t, a, b, 1)
			b.handleRequest = func(context.Context) *controlpb.LeaderReply {
				partitioned.SetPartitioned(true)
				return &controlpb.LeaderReply{}
			}
			for _, step := range []string{"request in progress", "request while partitioned"} {
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				_, err := a.Forward(ctx, b.Address(), &controlpb.LeaderRequest{})
				cancel()
				var notSent *NotSentError
				if err == nil || errors.As(err, &notSent) {
					t.Fatalf("%s: got error %v, want one other than NotSentError", step, err)
				}
			}
			dropped := a.Counters().DroppedMessages.Value() + b.Counters().DroppedMessages.Value()
			for len(b.delivered) > 0 {
				<-b.delivered
			}
			a.Send(&controlpb.ConsensusMessage{To: 2, Index: 7})
			for deadline := time.Now().Add(testTimeout); a.Counters().DroppedMessages.Value()+b.Counters().DroppedMessages.Value() == dropped; {
				if time.Now().After(deadline) {
					t.Fatal("message not counted as dropped")
				}
				time.Sleep(time.Millisecond)
			}
			if len(b.delivered) > 0 {
				t.Fatal("a message was delivered during the partition")
			}
			partitioned.SetPartitioned(false)
			sendUntilDelivered(t, a, b, 100)
		})
	}
}

// Checks that a request that was never sent is distinguished from one whose reply was lost: only the first may be retried.
func TestForwardDistinguishesNotSent(t *testing.T) {
	a, b := newPair(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	reply, err := a.Forward(ctx, b.Address(), &controlpb.LeaderRequest{})
	if err != nil || reply.Result.Version != 5 {
		t.Fatalf("got %v, %v", reply, err)
	}
	if answer, err := a.Transport.FetchAnswer(ctx, b.Address(), &controlpb.FetchAnswerRequest{RequestKey: "k"}); err != nil || string(answer.Body) != "k" {
		t.Fatalf("got %v, %v", answer, err)
	}
	if counters, err := a.Transport.Collect(ctx, b.Address()); err != nil || counters.Host != "b" {
		t.Fatalf("got %v, %v", counters, err)
	}
	b.handleRequest = func(context.Context) *controlpb.LeaderReply {
		go b.Close()
		<-ctx.Done()
		return nil
	}
	slowCtx, cancelSlow := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancelSlow()
	var notSent *NotSentError
	if _, err = a.Forward(slowCtx, b.Address(), &controlpb.LeaderRequest{}); err == nil || errors.As(err, &notSent) {
		t.Fatalf("receiver closed during the request: got error %v, want one other than NotSentError", err)
	}
	if _, err = a.Forward(ctx, b.Address(), &controlpb.LeaderRequest{}); !errors.As(err, &notSent) {
		t.Fatalf("receiver is down: got error %v, want a NotSentError", err)
	}
}
