package transport

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/grpc"

	"galenamoor/internal/controlpb"
)

// peer sends consensus messages to one other daemon, in order, from a goroutine of its own.
type peer struct {
	transport *Transport
	id        uint64
	address   netip.AddrPort
	queue     chan *controlpb.ConsensusMessage
	stop      context.CancelFunc
	connected bool // whether the last message was sent
}

func newPeer(t *Transport, id uint64, address netip.AddrPort) *peer {
	ctx, cancel := context.WithCancel(context.Background())
	p := &peer{
		transport: t,
		id:        id,
		address:   address,
		queue:     make(chan *controlpb.ConsensusMessage, t.options.QueueLength),
		stop:      cancel,
	}
	go p.run(ctx)
	return p
}

// enqueue queues a message and reports whether the queue had room for it.
func (p *peer) enqueue(m *controlpb.ConsensusMessage) bool {
	select {
	case p.queue <- m:
		return true
	default:
		return false
	}
}

// run sends queued messages until the peer is removed.
func (p *peer) run(ctx context.Context) {
	var stream grpc.ClientStreamingClient[controlpb.ConsensusMessage, controlpb.Ack]
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			stream = p.send(ctx, stream, m)
		}
	}
}

// send sends a message, opening a stream if needed. It returns the stream for the next message, or nil after an error.
func (p *peer) send(ctx context.Context, stream grpc.ClientStreamingClient[controlpb.ConsensusMessage, controlpb.Ack],
	m *controlpb.ConsensusMessage,
) grpc.ClientStreamingClient[controlpb.ConsensusMessage, controlpb.Ack] {
	var err error
	if stream == nil {
		stream, err = p.openStream(ctx)
	}
	if err == nil {
		err = stream.Send(m)
	}
	p.logStateChange(ctx, err)
	if err == nil {
		return stream
	}
	p.transport.counters.DroppedMessages.Add(1)
	return nil
}

// openStream opens a stream. It fails immediately while the connection is in reconnect backoff.
func (p *peer) openStream(ctx context.Context) (grpc.ClientStreamingClient[controlpb.ConsensusMessage, controlpb.Ack], error) {
	connection, err := p.transport.connect(p.address)
	if err != nil {
		return nil, err
	}
	return controlpb.NewDaemonsClient(connection).Consensus(ctx)
}

// logStateChange logs when the peer becomes reachable or unreachable.
func (p *peer) logStateChange(ctx context.Context, err error) {
	connected := err == nil
	if connected == p.connected || ctx.Err() != nil {
		return
	}
	p.connected = connected
	log := p.transport.options.Log.WithValues("Host", p.transport.options.Host, "Peer", p.id, "Address", p.address.String())
	if connected {
		log.Info("peer connected")
		return
	}
	log.Info("peer disconnected", "Error", err.Error(), "RetryWithin", (reconnectMaxDelay + connectTimeout).Round(time.Millisecond).String())
}
