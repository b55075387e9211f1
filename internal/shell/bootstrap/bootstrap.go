// Package bootstrap bootstraps a cluster: its initial controllers agree on the initial membership.
//
// Each controller has a random identity, stored in its data folder. A controller queries the others for their identities and
// bootstraps once it knows all of them, so that all bootstrap with the same membership. If a controller answers that the
// cluster exists, its membership is used if it includes the querying controller; otherwise that one joins as a learner. A
// host whose disk was wiped has a new identity, so a mistaken bootstrap can't make it vote as the old replica.
package bootstrap

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"galenamoor/internal/controlpb"
)

const (
	// pollInterval is the time between two rounds of queries to the other controllers.
	pollInterval = 200 * time.Millisecond
	// queryTimeout limits the query to one controller.
	queryTimeout = time.Second
	// logInterval is the minimum time between log lines while waiting for other controllers.
	logInterval = 5 * time.Second
)

// identityQuery is the name of the query for a daemon's identity.
const identityQuery = "identity"

// Transport sends requests to other daemons. It is implemented by transport.Transport.
type Transport interface {
	Forward(ctx context.Context, to netip.AddrPort, request *controlpb.LeaderRequest) (*controlpb.LeaderReply, error)
}

// Controller is one of the initial controllers of a cluster.
type Controller struct {
	Host    string
	Address netip.AddrPort
}

// Bootstrapper bootstraps a cluster, unless it finds that one exists.
type Bootstrapper struct {
	Host         string
	Identity     uint64
	Controllers  []Controller // including this one
	Transport    Transport
	Clock        clockwork.Clock
	Log          logr.Logger
	Bootstrapped atomic.Bool // whether this daemon is part of a cluster
}

// identityReply is the JSON reply to an identity query. Its field names in JSON are part of the protocol.
type identityReply struct {
	ID           uint64
	Bootstrapped bool `json:"Founded"`
	Members      []*controlpb.Member
}

// IsIdentityQuery reports whether a request is an identity query.
func IsIdentityQuery(request *controlpb.LeaderRequest) bool {
	return request.GetQuery().GetName() == identityQuery
}

// IdentityReply returns the reply to an identity query. The members are those of the cluster, if it exists.
func (b *Bootstrapper) IdentityReply(members []*controlpb.Member) *controlpb.LeaderReply {
	encoded, err := json.Marshal(identityReply{ID: b.Identity, Bootstrapped: b.Bootstrapped.Load(), Members: members})
	if err != nil {
		return &controlpb.LeaderReply{Result: &controlpb.Result{Code: controlpb.ResultCode_RESULT_UNAVAILABLE, Message: err.Error()}}
	}
	return &controlpb.LeaderReply{Result: &controlpb.Result{}, Json: encoded}
}

// Bootstrap returns the membership to bootstrap with, or nil if this daemon restores its state or joins as a learner.
// It blocks until all controllers have answered or an existing cluster is found, and fails when the context ends.
func (b *Bootstrapper) Bootstrap(ctx context.Context) (*controlpb.Membership, error) {
	if b.Bootstrapped.Load() {
		return nil, nil
	}
	lastLogged := time.Time{}
	for ctx.Err() == nil {
		bootstrap, existing := b.queryControllers(ctx)
		if existing != nil && !b.isMember(existing) {
			b.Log.Info("cluster exists; joining as a learner", "Step", "bootstrap", "Replica", b.Identity)
			return nil, nil
		}
		if existing != nil {
			bootstrap = existing
		}
		if bootstrap != nil {
			b.Bootstrapped.Store(true)
			b.Log.Info("bootstrapping the cluster", "Step", "bootstrap", "Replica", b.Identity, "Members", len(bootstrap.GetMembers()))
			return bootstrap, nil
		}
		if now := b.Clock.Now(); now.Sub(lastLogged) >= logInterval {
			lastLogged = now
			b.Log.Info("waiting for the other controllers", "Step", "bootstrap", "Replica", b.Identity)
		}
		select {
		case <-ctx.Done():
		case <-b.Clock.After(pollInterval):
		}
	}
	return nil, ctx.Err()
}

func (b *Bootstrapper) isMember(m *controlpb.Membership) bool {
	return slices.ContainsFunc(m.GetMembers(), func(member *controlpb.Member) bool { return member.GetId() == b.Identity })
}

// queryControllers returns the membership to bootstrap with if all controllers have answered, or that of an existing cluster.
func (b *Bootstrapper) queryControllers(ctx context.Context) (bootstrap, existing *controlpb.Membership) {
	bootstrap = &controlpb.Membership{}
	for _, c := range b.Controllers {
		id := b.Identity
		if c.Host != b.Host {
			reply := b.queryIdentity(ctx, c.Address)
			if reply == nil {
				return nil, existing
			}
			if reply.Bootstrapped && len(reply.Members) > 0 {
				return nil, &controlpb.Membership{Members: reply.Members}
			}
			id = reply.ID
		}
		bootstrap.Members = append(bootstrap.Members, &controlpb.Member{Id: id, Host: c.Host, Address: c.Address.String(), Voter: true})
	}
	return bootstrap, nil
}

func (b *Bootstrapper) queryIdentity(ctx context.Context, address netip.AddrPort) *identityReply {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	query := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Query{Query: &controlpb.Query{Name: identityQuery}}}
	reply, err := b.Transport.Forward(ctx, address, query)
	if err != nil || reply.GetResult().GetCode() != controlpb.ResultCode_RESULT_OK {
		return nil
	}
	identity := &identityReply{}
	if err := json.Unmarshal(reply.GetJson(), identity); err != nil {
		b.Log.Error(err, "invalid identity reply", "Step", "bootstrap", "Peer", address.String())
		return nil
	}
	return identity
}
