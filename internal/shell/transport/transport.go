// Package transport exchanges messages between daemons over gRPC.
//
// Each peer has one stream for consensus messages, fed by a bounded queue. Send never blocks: it drops a message if the
// queue is full or the peer is unreachable, because consensus tolerates message loss. Other requests are unary RPCs on
// the same connection.
//
// Connections are neither encrypted nor authenticated, so the network between daemons must be private.
package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/shell/budget"
	"galenamoor/internal/shell/connlimit"
)

const (
	// DefaultQueueLength is the default of Options.QueueLength. It is enough for more than a second of heartbeats and appends
	// to one peer.
	DefaultQueueLength = 256

	// maxMessageBytes is the maximum size of a message. A snapshot is sent as a single message. Options.Budget may allow less.
	maxMessageBytes = 256 << 20

	// minMessageBytes is a lower bound of the maximum size, which leaves room for the largest configuration.
	minMessageBytes = 16 << 20

	// messageShare is the part of the process's memory that one received message may take.
	messageShare = 4
	// handshakeTimeout bounds the time until a new connection speaks HTTP/2.
	handshakeTimeout = 5 * time.Second
	// maxStreams bounds the calls in progress on a connection. An entry forwards at most 512 requests at a time.
	maxStreams = 1024
	// maxHeaderListBytes bounds the headers of a call. Daemons send less than 1 KiB.
	maxHeaderListBytes = 16 << 10

	// windowBytes is the flow control window of a stream and of a connection. A fixed window disables gRPC's bandwidth
	// estimation, which would add a ping to most heartbeats.
	windowBytes = 1 << 20

	// tcpUserTimeout is the time after which a connection with unacknowledged data is closed. It is shorter than the
	// keepalive interval, whose minimum in grpc-go is 10 s, but allows a few TCP retransmissions.
	tcpUserTimeout = 3 * time.Second

	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second

	// The first reconnect attempts follow quickly, because a restarted peer must be reached within an election timeout.
	reconnectBaseDelay = 50 * time.Millisecond
	reconnectMaxDelay  = time.Second
	connectTimeout     = time.Second
)

// Handler handles messages and requests from other daemons. Its methods are called concurrently.
type Handler interface {
	// Deliver accepts a consensus message. It must not block.
	Deliver(m *controlpb.ConsensusMessage)
	// HandleLeaderRequest handles a request that another daemon forwarded to the leader. It never forwards the request
	// again.
	HandleLeaderRequest(ctx context.Context, request *controlpb.LeaderRequest) *controlpb.LeaderReply
	// FetchAnswer returns the response that this daemon's gateway has cached for a request key.
	FetchAnswer(ctx context.Context, request *controlpb.FetchAnswerRequest) *controlpb.FetchAnswerReply
	// Collect returns this daemon's counters.
	Collect(ctx context.Context) *controlpb.CollectReply
}

// Options configures a Transport.
type Options struct {
	Host        string         // name of this daemon in logs and metrics
	Listen      netip.AddrPort // port 0 selects a free port
	QueueLength int            // maximum number of queued messages per peer; DefaultQueueLength if 0
	Log         logr.Logger
	Budget      Budget // bounds what other daemons may hold; nil means that there is no bound
}

// Budget bounds what other daemons may hold.
type Budget interface {
	// Connections returns the number of connections of a listener, or 0 if it is unlimited.
	Connections(listener string) int
	// Memory returns the memory limit of the process in bytes, or 0 if there is none.
	Memory() int64
	// Refused counts a closed connection.
	Refused(listener, reason string)
}

// NotSentError reports that a request was definitely not sent, so that retrying it is safe.
type NotSentError struct {
	Peer netip.AddrPort
	Err  error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("not sent to %s: %v", e.Peer, e.Err)
}

func (e *NotSentError) Unwrap() error { return e.Err }

// Transport connects this daemon to other daemons. Its methods may be called concurrently.
type Transport struct {
	options     Options
	listener    net.Listener
	server      *grpc.Server
	counters    *Counters
	partitioned atomic.Bool // see SetPartitioned

	mutex       sync.Mutex
	peers       map[uint64]*peer
	connections map[netip.AddrPort]*grpc.ClientConn
	closed      bool
}

// New returns a Transport with an open listening socket. Serve accepts connections on it.
func New(options Options) (*Transport, error) {
	if options.QueueLength == 0 {
		options.QueueLength = DefaultQueueLength
	}
	t := &Transport{
		options:     options,
		counters:    newCounters(options.Host),
		peers:       map[uint64]*peer{},
		connections: map[netip.AddrPort]*grpc.ClientConn{},
	}
	listenConfig := net.ListenConfig{Control: setUserTimeout}
	listener, err := listenConfig.Listen(context.Background(), "tcp", options.Listen.String())
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "listen on %s", options.Listen)
	}
	if options.Budget != nil {
		listener = connlimit.New(listener, connlimit.Options{
			Bound: options.Budget.Connections(budget.Peers), BusyOnRead: true, Clock: clockwork.NewRealClock(),
			Refused: func(reason string) { options.Budget.Refused(budget.Peers, reason) },
		})
	}
	t.listener = &countingListener{Listener: listener, counters: t.counters}
	return t, nil
}

// maxReceived returns the maximum size of a message from another daemon, in bytes. Every message between daemons of the same limits is smaller:
// the state of a snapshot takes several times its size.
func (t *Transport) maxReceived() int {
	if t.options.Budget == nil || t.options.Budget.Memory() == 0 {
		return maxMessageBytes
	}
	return int(min(maxMessageBytes, max(minMessageBytes, t.options.Budget.Memory()/messageShare)))
}

// Address returns the listening address.
func (t *Transport) Address() netip.AddrPort {
	return t.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Counters returns the counters of this transport. They are also published through expvar.
func (t *Transport) Counters() *Counters { return t.counters }

// Serve serves requests from other daemons until Close is called.
func (t *Transport) Serve(handler Handler) error {
	t.mutex.Lock()
	if t.closed {
		t.mutex.Unlock()
		return nil
	}
	t.server = grpc.NewServer(
		grpc.StatsHandler(&statsHandler{counters: t.counters}),
		grpc.UnaryInterceptor(t.interceptServer),
		grpc.MaxRecvMsgSize(t.maxReceived()),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
	)
	controlpb.RegisterDaemonsServer(t.server, &server{transport: t, handler: handler})
	grpcServer := t.server
	t.mutex.Unlock()
	if err := grpcServer.Serve(t.listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return trace.Wrap(err, "serve on %s", t.options.Listen)
	}
	return nil
}

// Close closes all connections and makes Serve return.
func (t *Transport) Close() error {
	t.mutex.Lock()
	t.closed = true
	peers, connections, grpcServer := t.peers, t.connections, t.server
	t.peers, t.connections = map[uint64]*peer{}, map[netip.AddrPort]*grpc.ClientConn{}
	t.mutex.Unlock()
	for _, p := range peers {
		p.stop()
	}
	for _, connection := range connections {
		connection.Close()
	}
	if grpcServer != nil {
		grpcServer.Stop()
	}
	t.listener.Close()
	return nil
}

// SetPartitioned simulates a network partition of this daemon, or ends it. While partitioned, the daemon silently drops
// everything that it sends or receives.
func (t *Transport) SetPartitioned(partitioned bool) { t.partitioned.Store(partitioned) }

// SetPeers replaces the set of peers. It skips members without a valid address, and this daemon itself.
func (t *Transport) SetPeers(self uint64, members []*controlpb.Member) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return
	}
	wanted := map[uint64]netip.AddrPort{}
	for _, member := range members {
		address, err := netip.ParseAddrPort(member.GetAddress())
		if err == nil && member.GetId() != self {
			wanted[member.GetId()] = address
		}
	}
	for id, p := range t.peers {
		if wanted[id] != p.address {
			p.stop()
			delete(t.peers, id)
		}
	}
	for id, address := range wanted {
		if t.peers[id] == nil {
			t.peers[id] = newPeer(t, id, address)
		}
	}
	t.closeUnusedConnections()
}

// closeUnusedConnections closes connections to addresses that no peer uses any more. The caller holds mutex.
func (t *Transport) closeUnusedConnections() {
	used := map[netip.AddrPort]bool{}
	for _, p := range t.peers {
		used[p.address] = true
	}
	for address, connection := range t.connections {
		if !used[address] {
			connection.Close()
			delete(t.connections, address)
		}
	}
}

// Send queues a consensus message for its receiver. It drops the message if the receiver is unknown or its queue is
// full.
func (t *Transport) Send(m *controlpb.ConsensusMessage) {
	t.mutex.Lock()
	p := t.peers[m.GetTo()]
	t.mutex.Unlock()
	if p == nil || t.partitioned.Load() || !p.enqueue(m) {
		t.counters.DroppedMessages.Add(1)
	}
}

// Forward sends a request to the daemon at an address, which is expected to be the leader. The error is a NotSentError if
// the request was definitely not sent.
func (t *Transport) Forward(ctx context.Context, to netip.AddrPort, request *controlpb.LeaderRequest) (*controlpb.LeaderReply, error) {
	return call(ctx, t, to, request, controlpb.DaemonsClient.Forward)
}

// FetchAnswer asks the daemon at an address for a response cached by its gateway.
func (t *Transport) FetchAnswer(ctx context.Context, to netip.AddrPort, request *controlpb.FetchAnswerRequest) (*controlpb.FetchAnswerReply, error) {
	return call(ctx, t, to, request, controlpb.DaemonsClient.FetchAnswer)
}

// Collect asks the daemon at an address for its counters.
func (t *Transport) Collect(ctx context.Context, to netip.AddrPort) (*controlpb.CollectReply, error) {
	return call(ctx, t, to, &controlpb.CollectRequest{}, controlpb.DaemonsClient.Collect)
}

// call makes a unary RPC. The error is a NotSentError if the request was not passed to the connection.
func call[Request, Reply any](ctx context.Context, t *Transport, to netip.AddrPort, request Request,
	method func(controlpb.DaemonsClient, context.Context, Request, ...grpc.CallOption) (Reply, error),
) (Reply, error) {
	var zero Reply
	connection, err := t.connect(to)
	if err != nil {
		return zero, &NotSentError{Peer: to, Err: err}
	}
	sent := new(atomic.Bool)
	reply, err := method(controlpb.NewDaemonsClient(connection), context.WithValue(ctx, sentKey{}, sent), request)
	if err != nil && !sent.Load() {
		return zero, &NotSentError{Peer: to, Err: err}
	}
	if err != nil {
		return zero, trace.Wrap(err, "calling %s", to)
	}
	return reply, nil
}

// connect returns the gRPC connection to an address, creating it if needed. It doesn't wait until it is established.
func (t *Transport) connect(to netip.AddrPort) (*grpc.ClientConn, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return nil, trace.ConnectionProblem(nil, "transport is closed")
	}
	if connection := t.connections[to]; connection != nil {
		return connection, nil
	}
	connection, err := grpc.NewClient("passthrough:///"+to.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(t.dial),
		grpc.WithStatsHandler(&statsHandler{counters: t.counters}),
		grpc.WithUnaryInterceptor(t.interceptClient),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.UseCompressor(compressionName)),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBaseDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMaxDelay},
			MinConnectTimeout: connectTimeout,
		}),
	)
	if err != nil {
		return nil, trace.Wrap(err, "connecting to %s", to)
	}
	t.connections[to] = connection
	return connection, nil
}

func (t *Transport) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: setUserTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: connection, counters: t.counters}, nil
}

// interceptClient makes calls from a partitioned daemon block until they time out.
func (t *Transport) interceptClient(ctx context.Context, method string, request, reply any, connection *grpc.ClientConn,
	invoke grpc.UnaryInvoker, options ...grpc.CallOption,
) error {
	if t.partitioned.Load() {
		markSent(ctx) // in a real partition, the request would be sent too
		return awaitPartitionTimeout(ctx)
	}
	err := invoke(ctx, method, request, reply, connection, options...)
	if t.partitioned.Load() {
		return awaitPartitionTimeout(ctx)
	}
	return err
}

// interceptServer drops requests to a partitioned daemon and the replies from it.
func (t *Transport) interceptServer(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	if t.partitioned.Load() {
		return nil, awaitPartitionTimeout(ctx)
	}
	reply, err := handle(ctx, request)
	if t.partitioned.Load() {
		return nil, awaitPartitionTimeout(ctx)
	}
	return reply, err
}

func awaitPartitionTimeout(ctx context.Context) error {
	<-ctx.Done()
	return trace.ConnectionProblem(ctx.Err(), "cut off")
}

// server implements the Daemons service.
type server struct {
	controlpb.UnimplementedDaemonsServer
	transport *Transport
	handler   Handler
}

func (s *server) Consensus(stream grpc.ClientStreamingServer[controlpb.ConsensusMessage, controlpb.Ack]) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return nil // the sender has disconnected and will open a new stream
		}
		if s.transport.partitioned.Load() {
			s.transport.counters.DroppedMessages.Add(1)
			continue
		}
		s.handler.Deliver(m)
	}
}

func (s *server) Forward(ctx context.Context, request *controlpb.LeaderRequest) (*controlpb.LeaderReply, error) {
	return s.handler.HandleLeaderRequest(ctx, request), nil
}

func (s *server) FetchAnswer(ctx context.Context, request *controlpb.FetchAnswerRequest) (*controlpb.FetchAnswerReply, error) {
	return s.handler.FetchAnswer(ctx, request), nil
}

func (s *server) Collect(ctx context.Context, _ *controlpb.CollectRequest) (*controlpb.CollectReply, error) {
	return s.handler.Collect(ctx), nil
}
