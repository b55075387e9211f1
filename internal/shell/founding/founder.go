// Package founding has the first controllers of a cluster agree on who founds it.
//
// Each controller has a random identity, recorded in its data folder. A controller that founds asks the other controllers
// for theirs, and founds once it knows all of them, so that all found the same membership. One that meets a founded
// cluster takes that cluster's membership when it is part of it, and else joins as a learner. A host whose disk was wiped
// has a new identity, so founding by mistake cannot make it vote as the old one.
package founding

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
	foundPause   = 200 * time.Millisecond
	foundTimeout = time.Second
	// foundLogEvery bounds the log lines of a controller that waits for others.
	foundLogEvery = 5 * time.Second
)

// identityQuery is the name of the query that a daemon answers about itself.
const identityQuery = "identity"

// Transport asks another daemon.
type Transport interface {
	Forward(ctx context.Context, to netip.AddrPort, request *controlpb.LeaderRequest) (*controlpb.LeaderReply, error)
}

// Controller is one of the daemons that found a cluster together.
type Controller struct {
	Host    string
	Address netip.AddrPort
}

// Founder founds a cluster, or finds that one exists.
type Founder struct {
	Host        string
	Identity    uint64
	Controllers []Controller // this one included
	Transport   Transport
	Clock       clockwork.Clock
	Log         logr.Logger
	Founded     atomic.Bool // this daemon takes part in a cluster
}

// answer is what a daemon tells of itself.
type answer struct {
	ID      uint64
	Founded bool
	Members []*controlpb.Member
}

// IsQuery reports whether a request asks a daemon about itself.
func IsQuery(request *controlpb.LeaderRequest) bool {
	return request.GetQuery().GetName() == identityQuery
}

// Reply answers what IsQuery recognises. Members are those of the cluster, if there is one.
func (f *Founder) Reply(members []*controlpb.Member) *controlpb.LeaderReply {
	encoded, err := json.Marshal(answer{ID: f.Identity, Founded: f.Founded.Load(), Members: members})
	if err != nil {
		return &controlpb.LeaderReply{Result: &controlpb.Result{Code: controlpb.ResultCode_RESULT_UNAVAILABLE, Message: err.Error()}}
	}
	return &controlpb.LeaderReply{Result: &controlpb.Result{}, Json: encoded}
}

// Found returns the membership to found a cluster with, or nil when this daemon restores or joins one.
func (f *Founder) Found(ctx context.Context) (*controlpb.Membership, error) {
	if f.Founded.Load() {
		return nil, nil
	}
	logged := time.Time{}
	for ctx.Err() == nil {
		chosen, existing := f.askControllers(ctx)
		if existing != nil && !f.isPart(existing) {
			f.Log.Info("a cluster exists already; joining it as a learner", "Step", "bootstrap", "Replica", f.Identity)
			return nil, nil
		}
		if existing != nil {
			chosen = existing
		}
		if chosen != nil {
			f.Founded.Store(true)
			f.Log.Info("founding a cluster", "Step", "bootstrap", "Replica", f.Identity, "Members", len(chosen.GetMembers()))
			return chosen, nil
		}
		if now := f.Clock.Now(); now.Sub(logged) >= foundLogEvery {
			logged = now
			f.Log.Info("waiting for the other controllers", "Step", "bootstrap", "Replica", f.Identity)
		}
		select {
		case <-ctx.Done():
		case <-f.Clock.After(foundPause):
		}
	}
	return nil, ctx.Err()
}

func (f *Founder) isPart(m *controlpb.Membership) bool {
	return slices.ContainsFunc(m.GetMembers(), func(member *controlpb.Member) bool { return member.GetId() == f.Identity })
}

// askControllers returns the membership to found when all controllers are known, or that of a cluster that exists.
func (f *Founder) askControllers(ctx context.Context) (chosen, existing *controlpb.Membership) {
	chosen = &controlpb.Membership{}
	for _, c := range f.Controllers {
		id := f.Identity
		if c.Host != f.Host {
			told := f.ask(ctx, c.Address)
			if told == nil {
				return nil, existing
			}
			if told.Founded && len(told.Members) > 0 {
				return nil, &controlpb.Membership{Members: told.Members}
			}
			id = told.ID
		}
		chosen.Members = append(chosen.Members, &controlpb.Member{Id: id, Host: c.Host, Address: c.Address.String(), Voter: true})
	}
	return chosen, nil
}

func (f *Founder) ask(ctx context.Context, address netip.AddrPort) *answer {
	ctx, cancel := context.WithTimeout(ctx, foundTimeout)
	defer cancel()
	query := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Query{Query: &controlpb.Query{Name: identityQuery}}}
	reply, err := f.Transport.Forward(ctx, address, query)
	if err != nil || reply.GetResult().GetCode() != controlpb.ResultCode_RESULT_OK {
		return nil
	}
	told := &answer{}
	if err := json.Unmarshal(reply.GetJson(), told); err != nil {
		f.Log.Error(err, "another controller's answer is unreadable", "Step", "bootstrap", "Peer", address.String())
		return nil
	}
	return told
}
