package transport

import (
	"context"
	"expvar"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc/stats"
)

// Counters holds totals since the start of a transport. Payload bytes are those of gRPC messages with their 5-byte prefix;
// socket bytes are all bytes on TCP connections, including HTTP/2 frames and headers.
type Counters struct {
	SentMessages, SentPayloadBytes         expvar.Int
	ReceivedMessages, ReceivedPayloadBytes expvar.Int
	SentSocketBytes, ReceivedSocketBytes   expvar.Int
	DroppedMessages                        expvar.Int // consensus messages not sent, or dropped by a simulated partition
}

// publishedCounters maps the host of each transport in the process to its counters.
var publishedCounters = expvar.NewMap("Transport")

func newCounters(host string) *Counters {
	c := &Counters{}
	vars := new(expvar.Map).Init()
	vars.Set("SentMessages", &c.SentMessages)
	vars.Set("SentPayloadBytes", &c.SentPayloadBytes)
	vars.Set("ReceivedMessages", &c.ReceivedMessages)
	vars.Set("ReceivedPayloadBytes", &c.ReceivedPayloadBytes)
	vars.Set("SentSocketBytes", &c.SentSocketBytes)
	vars.Set("ReceivedSocketBytes", &c.ReceivedSocketBytes)
	vars.Set("DroppedMessages", &c.DroppedMessages)
	publishedCounters.Set(host, vars)
	return c
}

// sentKey is the context key of the flag that records that a request was passed to the connection.
type sentKey struct{}

func markSent(ctx context.Context) {
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

// statsHandler counts messages and marks the calls whose request was sent.
type statsHandler struct {
	counters *Counters
}

func (h *statsHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (h *statsHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	switch e := event.(type) {
	case *stats.OutPayload:
		h.counters.SentMessages.Add(1)
		h.counters.SentPayloadBytes.Add(int64(e.WireLength))
		if e.Client {
			markSent(ctx)
		}
	case *stats.InPayload:
		h.counters.ReceivedMessages.Add(1)
		h.counters.ReceivedPayloadBytes.Add(int64(e.WireLength))
	}
}

func (h *statsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (h *statsHandler) HandleConn(context.Context, stats.ConnStats) {}

// countingListener counts the bytes on the connections that it accepts.
type countingListener struct {
	net.Listener
	counters *Counters
}

func (l *countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: connection, counters: l.counters}, nil
}

type countingConn struct {
	net.Conn
	counters *Counters
}

func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.counters.ReceivedSocketBytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counters.SentSocketBytes.Add(int64(n))
	return n, err
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket. grpc-go does so only for connections of type *net.TCPConn, and
// countingConn isn't one.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(descriptor uintptr) {
		sockoptErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
