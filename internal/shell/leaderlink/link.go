// Package leaderlink carries requests of a process that isn't a member of the control group to its leader.
//
// The load it answers: a leader is lost while callers hand work in. What was sent to it may have been decided, and its
// caller can't be told otherwise. Requests are therefore sent only to a member that has said that it leads and answers;
// all others wait for a short while and are then refused as not run.
package leaderlink

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
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

	// electionMost is the time that an election takes at most. When the search for a leader has taken longer, most of the
	// control group is lost, and requests are given up after outagePatience. Callers try again some four times within their
	// deadlines of 3 s, a few tenths of a second after a refusal: so their tries last until then.
	electionMost   = 1800 * time.Millisecond
	outagePatience = 500 * time.Millisecond

	// mostRetryAfter bounds the time after which callers are told to come back. An outage is expected to go on for as long
	// as it has lasted; callers that come back sooner spend their few retries on it.
	mostRetryAfter = 4 * time.Second

	// pingInterval is the time between two looks for the leader when there is no traffic.
	pingInterval = time.Second
)

// Transport asks another daemon.
type Transport interface {
	Forward(ctx context.Context, to netip.AddrPort, request *controlpb.LeaderRequest) (*controlpb.LeaderReply, error)
}

// Latencies records latencies by kind.
type Latencies interface {
	Observe(kind string, took time.Duration)
}

// Link knows the members of the control group and which of them leads. Its methods may be called concurrently.
type Link struct {
	transport Transport
	latencies Latencies // of requests, by what became of them
	clock     clockwork.Clock
	log       logr.Logger

	mutex     sync.Mutex
	seeds     []netip.AddrPort
	known     []netip.AddrPort // members, as last told
	leader    netip.AddrPort   // has said that it leads; not valid when unknown
	hint      netip.AddrPort   // whom another member takes for the leader; not valid when nobody said so
	next      int              // position in the list of those to ask
	heard     time.Time        // last decision of a leader
	lost      bool             // logged that there is no leader
	searching chan struct{}    // closed when the search under way ends; nil when there is none
	since     time.Time        // when the first search began since a leader was known; zero while one is

	unanswered      int       // requests that were sent and not answered
	unansweredSince time.Time // when the oldest of them was sent, or the leader's last answer if that is newer
}

// New returns a Link that knows only seeds.
func New(t Transport, seeds []netip.AddrPort, latencies Latencies, clock clockwork.Clock, log logr.Logger) *Link {
	return &Link{transport: t, seeds: seeds, latencies: latencies, clock: clock, log: log}
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
	began := l.clock.Now()
	reply := l.decide(ctx, began, request)
	kind := "Decided"
	switch reply.GetResult().GetCode() {
	case controlpb.ResultCode_RESULT_UNAVAILABLE:
		kind = "Refused"
	case controlpb.ResultCode_RESULT_UNKNOWN:
		kind = "Unknown"
	}
	l.latencies.Observe(kind, l.clock.Since(began))
	return reply
}

// decide sends a request to leaders until one decides it, or until that is given up.
func (l *Link) decide(ctx context.Context, began time.Time, request *controlpb.LeaderRequest) *controlpb.LeaderReply {
	refused := failure(controlpb.ResultCode_RESULT_UNAVAILABLE, "no leader is known")
	var uncertain *controlpb.LeaderReply
	pause := pauseFirst
	for {
		waited := l.clock.Since(began)
		patience := min(refuseAfter-waited, max(outagePatience-waited, electionMost-l.searchedFor()))
		if uncertain != nil {
			patience = attemptTimeout // until the context ends: nobody else can find out what became of it
		}
		to, ok := l.awaitLeader(ctx, patience)
		isOver := ctx.Err() != nil || uncertain == nil && (!ok || l.clock.Since(began) >= refuseAfter)
		switch {
		case isOver && uncertain != nil:
			return uncertain
		case isOver:
			refused.Work = &controlpb.WorkReply{RetryAfterMs: min(mostRetryAfter, l.searchedFor()).Milliseconds()}
			return refused
		case !ok:
			continue
		}
		reply := l.attempt(ctx, to, request)
		switch code := reply.GetResult().GetCode(); {
		case code == controlpb.ResultCode_RESULT_UNAVAILABLE:
			refused = reply
		case code != controlpb.ResultCode_RESULT_UNKNOWN:
			return reply
		case changesState(request):
			uncertain = reply
		default: // a look that nobody answered has done nothing
			refused = failure(controlpb.ResultCode_RESULT_UNAVAILABLE, reply.GetResult().GetMessage())
		}
		select {
		case <-ctx.Done():
		case <-l.clock.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, pauseMost)
	}
}

// searchedFor returns for how long a leader has been searched for in vain.
func (l *Link) searchedFor() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.since.IsZero() {
		return 0
	}
	return l.clock.Since(l.since)
}

// changesState reports whether a caller's request changes anything when it is decided.
func changesState(request *controlpb.LeaderRequest) bool {
	return request.GetWork().GetCaller().GetVerb() != controlpb.CallerVerb_VERB_READ
}

// attempt sends a request to the leader once.
func (l *Link) attempt(ctx context.Context, to netip.AddrPort, request *controlpb.LeaderRequest) *controlpb.LeaderReply {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	l.sent()
	reply, err := l.transport.Forward(ctx, to, request)
	l.answered()
	if err != nil {
		l.mutex.Lock()
		l.lose(to, err.Error())
		l.mutex.Unlock()
		var notSent *transport.NotSentError
		if errors.As(err, &notSent) {
			return failure(controlpb.ResultCode_RESULT_UNAVAILABLE, err.Error())
		}
		return failure(controlpb.ResultCode_RESULT_UNKNOWN, err.Error())
	}
	l.learn(to, reply)
	return reply
}

// sent and answered count the requests that wait for the leader.
func (l *Link) sent() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.unanswered == 0 {
		l.unansweredSince = l.clock.Now()
	}
	l.unanswered++
}

func (l *Link) answered() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unanswered--
}

// Run looks for the leader while there is no traffic, until the context ends.
func (l *Link) Run(ctx context.Context) error {
	for {
		if l.HeardAgo() >= pingInterval {
			l.mutex.Lock()
			leader := l.leader
			l.mutex.Unlock()
			if !leader.IsValid() || !l.ping(ctx, leader) {
				l.forget(leader)
				l.awaitLeader(ctx, pingInterval)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-l.clock.After(pingInterval / 2):
		}
	}
}

// forget stops sending requests to a leader that doesn't answer.
func (l *Link) forget(leader netip.AddrPort) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if leader.IsValid() {
		l.lose(leader, "no answer to a ping")
	}
}

func failure(code controlpb.ResultCode, message string) *controlpb.LeaderReply {
	return &controlpb.LeaderReply{Result: &controlpb.Result{Code: code, Message: message}}
}
