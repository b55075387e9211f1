package daemon

import (
	"context"
	"net/netip"

	"github.com/gravitational/trace"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/shell/bootstrap"
	"galenamoor/internal/shell/collector"
	"galenamoor/internal/shell/gateway"
	"galenamoor/internal/shell/kernel"
	"galenamoor/internal/shell/replica"
)

// peerHandler serves the RPCs of other daemons.
type peerHandler struct {
	daemon *Daemon
}

// Deliver implements transport.Handler.
func (h *peerHandler) Deliver(m *controlpb.ConsensusMessage) {
	h.daemon.lastMessageAt.Store(h.daemon.clock.Now().UnixNano())
	if localReplica, ok := h.daemon.startedReplica(); ok {
		localReplica.Deliver(m)
	}
}

// HandleLeaderRequest implements transport.Handler.
func (h *peerHandler) HandleLeaderRequest(ctx context.Context, request *controlpb.LeaderRequest) *controlpb.LeaderReply {
	localReplica, ok := h.daemon.startedReplica()
	if bootstrap.IsIdentityQuery(request) {
		return h.daemon.bootstrapper.IdentityReply(localReplica.KnownMembers())
	}
	if !ok {
		return unavailable("the daemon is starting")
	}
	return localReplica.HandleLeaderRequest(ctx, request)
}

// FetchAnswer implements transport.Handler.
func (h *peerHandler) FetchAnswer(_ context.Context, request *controlpb.FetchAnswerRequest) *controlpb.FetchAnswerReply {
	found, err := kernel.Find[*gateway.Gateway](h.daemon.kernel, serviceGateway)
	if err != nil {
		return &controlpb.FetchAnswerReply{}
	}
	return found.FetchAnswer(request)
}

// Collect implements transport.Handler.
func (h *peerHandler) Collect(context.Context) *controlpb.CollectReply {
	reply := &controlpb.CollectReply{Host: h.daemon.settings.Host}
	found, err := kernel.Find[*collector.Collector](h.daemon.kernel, serviceCollector)
	if err != nil {
		return reply
	}
	encoded, err := found.Encode()
	if err != nil {
		h.daemon.log.Error(err, "could not encode counters", "Step", "collect counters")
		return reply
	}
	reply.Burn = encoded
	return reply
}

func unavailable(message string) *controlpb.LeaderReply {
	return &controlpb.LeaderReply{Result: &controlpb.Result{Code: controlpb.ResultCode_RESULT_UNAVAILABLE, Message: message}}
}

// address returns the peer address of a host from the settings.
func (d *Daemon) address(host string) (netip.AddrPort, error) {
	for _, peer := range d.settings.Peers {
		if peer.Host == host {
			return peer.Address, nil
		}
	}
	return netip.AddrPort{}, trace.NotFound("host %s has no [Peer %s] in the settings", host, host)
}

// collectorPeers implements collector.Peers over the transport.
type collectorPeers struct {
	daemon *Daemon
}

// Hosts implements collector.Peers.
func (p *collectorPeers) Hosts() []string {
	var hosts []string
	for _, peer := range p.daemon.settings.Peers {
		if peer.Host != p.daemon.settings.Host {
			hosts = append(hosts, peer.Host)
		}
	}
	return hosts
}

// Collect implements collector.Peers.
func (p *collectorPeers) Collect(ctx context.Context, host string) ([]byte, error) {
	address, err := p.daemon.address(host)
	if err != nil {
		return nil, err
	}
	reply, err := p.daemon.transport.Collect(ctx, address)
	if err != nil {
		return nil, trace.Wrap(err, "collect counters from %s", host)
	}
	return reply.GetBurn(), nil
}

// ledger implements gateway.Ledger: it records intents and outcomes of non-repeatable calls in the replicated log.
type ledger struct {
	daemon  *Daemon
	replica *replica.Replica
}

// RecordIntent implements gateway.Ledger.
func (l *ledger) RecordIntent(ctx context.Context, intent *controlpb.RecordIntent) (*controlpb.Result, error) {
	command := &controlpb.Command{Kind: &controlpb.Command_RecordIntent{RecordIntent: intent}}
	return l.propose(ctx, command), nil
}

// RecordOutcome implements gateway.Ledger.
func (l *ledger) RecordOutcome(ctx context.Context, outcome *controlpb.RecordOutcome) error {
	command := &controlpb.Command{Kind: &controlpb.Command_RecordOutcome{RecordOutcome: outcome}}
	result := l.propose(ctx, command)
	if result.GetCode() != controlpb.ResultCode_RESULT_OK {
		return trace.ConnectionProblem(nil, "record outcome: %v: %s", result.GetCode(), result.GetMessage())
	}
	return nil
}

func (l *ledger) propose(ctx context.Context, command *controlpb.Command) *controlpb.Result {
	request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Command{Command: command}}
	return l.replica.Submit(ctx, request).GetResult()
}

// FetchAnswer implements gateway.Ledger.
func (l *ledger) FetchAnswer(ctx context.Context, owner string, request *controlpb.FetchAnswerRequest) (*controlpb.FetchAnswerReply, error) {
	address, err := l.daemon.address(owner)
	if err != nil {
		return nil, err
	}
	reply, err := l.daemon.transport.FetchAnswer(ctx, address, request)
	return reply, trace.Wrap(err, "fetch answer from %s", owner)
}
