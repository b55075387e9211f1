// Package leaderlink carries requests of a process that isn't a member of the control group to its leader.
package leaderlink

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/shell/transport"
)

const (
	// attemptTimeout bounds one attempt. A commit takes some 20 ms; a leader that doesn't answer for this long is lost
	// or cut off, and the others know its successor by then.
	attemptTimeout = 700 * time.Millisecond

	// refuseAfter is the time after which a request that surely didn't run is given up, so that its caller can be told
	// when to come back. It is longer than most elections.
	refuseAfter = 1200 * time.Millisecond

	// pauseFirst and pauseMost bound the pauses between attempts.
	pauseFirst = 25 * time.Millisecond
	pauseMost  = 150 * time.Millisecond

	// pingInterval is the time between two looks for the leader when there is no traffic.
	pingInterval = time.Second
)

// Transport asks another daemon.
type Transport interface {
	Forward(ctx context.Context, to netip.AddrPort, request *controlpb.LeaderRequest) (*controlpb.LeaderReply, error)
}

// Link knows the members of the control group and which of them leads. Its methods may be called concurrently.
type Link struct {
	transport Transport
	clock     clockwork.Clock
	log       logr.Logger

	mutex  sync.Mutex
	seeds  []netip.AddrPort
	known  []netip.AddrPort // members, as last told
	leader netip.AddrPort   // not valid when unknown
	next   int              // position in the list of those to ask
	heard  time.Time        // last decision of a leader
	lost   bool             // logged that there is no leader
}

// New returns a Link that knows only seeds.
func New(t Transport, seeds []netip.AddrPort, clock clockwork.Clock, log logr.Logger) *Link {
	return &Link{transport: t, seeds: seeds, clock: clock, log: log}
}

// SetSeeds replaces the seeds.
func (l *Link) SetSeeds(seeds []netip.AddrPort) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.seeds = seeds
}

// HeardAgo returns the time since a leader decided something.
func (l *Link) HeardAgo() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.heard.IsZero() {
		return time.Hour
	}
	return l.clock.Since(l.heard)
}

// Do has the leader decide a request, and sends it again until it is decided or the context ends. Requests may be decided
// twice, so they have to be idempotent. The result is RESULT_UNAVAILABLE when the request surely wasn't decided, and
// RESULT_UNKNOWN when it may have been.
func (l *Link) Do(ctx context.Context, request *controlpb.LeaderRequest) *controlpb.LeaderReply {
	pause := pauseFirst
	began := l.clock.Now()
	var uncertain *controlpb.LeaderReply
	for {
		reply := l.attempt(ctx, request)
		switch reply.GetResult().GetCode() {
		case controlpb.ResultCode_RESULT_UNAVAILABLE:
		case controlpb.ResultCode_RESULT_UNKNOWN:
			uncertain = reply
		default:
			return reply
		}
		gaveUp := uncertain == nil && l.clock.Since(began) >= refuseAfter
		select {
		case <-ctx.Done():
			gaveUp = true
		case <-l.clock.After(pause/2 + rand.N(pause)):
		}
		if gaveUp && uncertain != nil {
			return uncertain
		}
		if gaveUp {
			return reply
		}
		pause = min(2*pause, pauseMost)
	}
}

// attempt asks the leader, or the next member when it isn't known.
func (l *Link) attempt(ctx context.Context, request *controlpb.LeaderRequest) *controlpb.LeaderReply {
	to, ok := l.target()
	if !ok {
		return failure(controlpb.ResultCode_RESULT_UNAVAILABLE, "no member of the control group is known")
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	reply, err := l.transport.Forward(ctx, to, request)
	var notSent *transport.NotSentError
	switch {
	case errors.As(err, &notSent):
		l.failed(to, err.Error())
		return failure(controlpb.ResultCode_RESULT_UNAVAILABLE, err.Error())
	case err != nil:
		l.failed(to, err.Error())
		return failure(controlpb.ResultCode_RESULT_UNKNOWN, err.Error())
	}
	l.learn(to, reply)
	return reply
}

// target returns whom to ask.
func (l *Link) target() (netip.AddrPort, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.leader.IsValid() {
		return l.leader, true
	}
	all := slices.Clone(l.known)
	for _, seed := range l.seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	if len(all) == 0 {
		return netip.AddrPort{}, false
	}
	l.next++
	return all[l.next%len(all)], true
}

// failed forgets a leader that didn't answer.
func (l *Link) failed(to netip.AddrPort, reason string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.leader == to {
		l.leader = netip.AddrPort{}
	}
	if !l.lost {
		l.lost = true
		l.log.Info("leader lost", "Peer", to.String(), "Reason", reason)
	}
}

// learn follows what a reply tells of the control group.
func (l *Link) learn(from netip.AddrPort, reply *controlpb.LeaderReply) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if reply.GetResult().GetCode() != controlpb.ResultCode_RESULT_UNAVAILABLE && reply.GetResult().GetCode() != controlpb.ResultCode_RESULT_UNKNOWN {
		l.heard = l.clock.Now()
		if l.leader != from || l.lost {
			l.leader, l.lost = from, false
			l.log.Info("leader found", "Peer", from.String())
		}
		return
	}
	l.leader = netip.AddrPort{}
	if leader, err := netip.ParseAddrPort(reply.GetLeaderAddress()); err == nil && leader != from {
		l.leader = leader
	}
	if members := reply.GetMembership().GetMembers(); len(members) > 0 {
		l.known = l.known[:0]
		for _, m := range members {
			if address, err := netip.ParseAddrPort(m.GetAddress()); err == nil {
				l.known = append(l.known, address)
			}
		}
	}
}

// Run looks for the leader while there is no traffic, until the context ends.
func (l *Link) Run(ctx context.Context) error {
	ping := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{
		Work: &controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Ping{Ping: &controlpb.Ping{}}},
	}}
	for {
		if l.HeardAgo() >= pingInterval {
			limited, cancel := context.WithTimeout(ctx, attemptTimeout)
			l.Do(limited, ping)
			cancel()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-l.clock.After(pingInterval / 2):
		}
	}
}

func failure(code controlpb.ResultCode, message string) *controlpb.LeaderReply {
	return &controlpb.LeaderReply{Result: &controlpb.Result{Code: code, Message: message}}
}
