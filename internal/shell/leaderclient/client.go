// Package leaderclient sends requests to the leader of the control group from a process that isn't a member of it.
//
// It is designed for the loss of a leader while callers submit work. A request sent to the lost leader may have been
// decided, so its outcome is unknown. To keep such requests few, Client sends requests only to a member that has confirmed
// that it is the leader and that still responds. Other requests wait for a short time and are then rejected as not run.
package leaderclient

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
	// attemptTimeout is the timeout of one attempt. A commit takes about 20 ms; a leader that doesn't respond for this long
	// is down or partitioned, and the other members know its successor by then.
	attemptTimeout = 700 * time.Millisecond

	// rejectAfter is the time after which a request that definitely didn't run is rejected, so that its caller can be told
	// when to retry. It is longer than most elections.
	rejectAfter = 1200 * time.Millisecond

	// maxElectionTime is the maximum duration of an election. If the search for a leader has taken longer, the quorum is
	// lost, and requests are rejected after outageRejectAfter. Callers retry about four times within their deadlines of
	// 3 s, a few tenths of a second after each rejection, so their retries last until the deadline.
	maxElectionTime   = 1800 * time.Millisecond
	outageRejectAfter = 500 * time.Millisecond

	// maxRetryAfter limits the retry delay that callers are given. An outage is expected to last as long again as it has
	// lasted so far; callers that retry earlier use up their few retries.
	maxRetryAfter = 4 * time.Second

	// pingInterval is the interval between checks of the leader while there is no traffic.
	pingInterval = time.Second
)

// Transport sends requests to other daemons.
type Transport interface {
	Forward(ctx context.Context, to netip.AddrPort, request *controlpb.LeaderRequest) (*controlpb.LeaderReply, error)
}

// Latencies records request latencies by kind.
type Latencies interface {
	Observe(kind string, took time.Duration)
}

// Client tracks the members of the control group and their leader, and sends requests to the leader. Its methods may be
// called concurrently.
type Client struct {
	transport Transport
	latencies Latencies // of requests, by result
	clock     clockwork.Clock
	log       logr.Logger

	mutex          sync.Mutex
	seeds          []netip.AddrPort
	members        []netip.AddrPort // from the last reply that carried the membership
	leader         netip.AddrPort   // member that confirmed that it leads; invalid if unknown
	leaderHint     netip.AddrPort   // leader according to another member; invalid if unknown
	nextMember     int              // round-robin position of the search
	lastHeard      time.Time        // when a leader last decided a request or replied to a ping
	loggedLost     bool             // whether the loss of the leader was logged
	searchDone     chan struct{}    // closed when the running search ends; nil if none is running
	searchingSince time.Time        // start of the first search since the last known leader; zero while a leader is known

	outstanding      int       // requests sent and not yet answered
	outstandingSince time.Time // when outstanding last rose from zero, or the leader's last reply if that is later
}

// New returns a Client that finds the control group through the seeds.
func New(t Transport, seeds []netip.AddrPort, latencies Latencies, clock clockwork.Clock, log logr.Logger) *Client {
	return &Client{transport: t, seeds: seeds, latencies: latencies, clock: clock, log: log}
}

// SetSeeds replaces the seeds.
func (l *Client) SetSeeds(seeds []netip.AddrPort) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.seeds = seeds
}

// SinceLastReply returns the time since a leader last decided a request or replied to a ping, or one hour if none has.
func (l *Client) SinceLastReply() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.lastHeard.IsZero() {
		return time.Hour
	}
	return l.clock.Since(l.lastHeard)
}

// Submit sends a request to the leader and retries it until it is decided, the context ends, or it is rejected for want of a
// leader. Requests may be decided twice, so they must be idempotent. The result is RESULT_UNAVAILABLE if the request was
// definitely not decided, and RESULT_UNKNOWN if it may have been.
func (l *Client) Submit(ctx context.Context, request *controlpb.LeaderRequest) *controlpb.LeaderReply {
	start := l.clock.Now()
	reply := l.decide(ctx, start, request)
	kind := "Decided"
	switch reply.GetResult().GetCode() {
	case controlpb.ResultCode_RESULT_UNAVAILABLE:
		kind = "Refused"
	case controlpb.ResultCode_RESULT_UNKNOWN:
		kind = "Unknown"
	}
	l.latencies.Observe(kind, l.clock.Since(start))
	return reply
}

// decide sends a request to successive leaders until one decides it or the request is given up.
func (l *Client) decide(ctx context.Context, start time.Time, request *controlpb.LeaderRequest) *controlpb.LeaderReply {
	rejection := errorReply(controlpb.ResultCode_RESULT_UNAVAILABLE, "no leader is known")
	var uncertain *controlpb.LeaderReply
	backoff := backoffBase
	for {
		elapsed := l.clock.Since(start)
		maxWait := min(rejectAfter-elapsed, max(outageRejectAfter-elapsed, maxElectionTime-l.searchDuration()))
		if uncertain != nil {
			maxWait = attemptTimeout // retry until the context ends: only a retry can find out the outcome
		}
		to, ok := l.awaitLeader(ctx, maxWait)
		done := ctx.Err() != nil || uncertain == nil && (!ok || l.clock.Since(start) >= rejectAfter)
		switch {
		case done && uncertain != nil:
			return uncertain
		case done:
			rejection.Work = &controlpb.WorkReply{RetryAfterMs: min(maxRetryAfter, l.searchDuration()).Milliseconds()}
			return rejection
		case !ok:
			continue
		}
		reply := l.attempt(ctx, to, request)
		switch code := reply.GetResult().GetCode(); {
		case code == controlpb.ResultCode_RESULT_UNAVAILABLE:
			rejection = reply
		case code != controlpb.ResultCode_RESULT_UNKNOWN:
			return reply
		case changesState(request):
			uncertain = reply
		default: // an unanswered read has no effect
			rejection = errorReply(controlpb.ResultCode_RESULT_UNAVAILABLE, reply.GetResult().GetMessage())
		}
		select {
		case <-ctx.Done():
		case <-l.clock.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, backoffMax)
	}
}

// searchDuration returns the time since the search for a leader began, or 0 if a leader is known.
func (l *Client) searchDuration() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.searchingSince.IsZero() {
		return 0
	}
	return l.clock.Since(l.searchingSince)
}

// changesState reports whether a request changes state when it is decided.
func changesState(request *controlpb.LeaderRequest) bool {
	return request.GetWork().GetCaller().GetVerb() != controlpb.CallerVerb_VERB_READ
}

// attempt sends a request to the leader once.
func (l *Client) attempt(ctx context.Context, to netip.AddrPort, request *controlpb.LeaderRequest) *controlpb.LeaderReply {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	l.requestSent()
	reply, err := l.transport.Forward(ctx, to, request)
	l.requestDone()
	if err != nil {
		l.mutex.Lock()
		l.clearLeader(to, err.Error())
		l.mutex.Unlock()
		var notSent *transport.NotSentError
		if errors.As(err, &notSent) {
			return errorReply(controlpb.ResultCode_RESULT_UNAVAILABLE, err.Error())
		}
		return errorReply(controlpb.ResultCode_RESULT_UNKNOWN, err.Error())
	}
	l.observeReply(to, reply)
	return reply
}

// requestSent and requestDone track the number of outstanding requests.
func (l *Client) requestSent() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.outstanding == 0 {
		l.outstandingSince = l.clock.Now()
	}
	l.outstanding++
}

func (l *Client) requestDone() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.outstanding--
}

// Run checks the leader while there is no traffic, and searches for a new one if it doesn't respond, until the context
// ends.
func (l *Client) Run(ctx context.Context) error {
	for {
		if l.SinceLastReply() >= pingInterval {
			l.mutex.Lock()
			leader := l.leader
			l.mutex.Unlock()
			if !leader.IsValid() || !l.ping(ctx, leader) {
				l.markUnresponsive(leader)
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

// markUnresponsive clears a leader that didn't respond to a ping.
func (l *Client) markUnresponsive(leader netip.AddrPort) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if leader.IsValid() {
		l.clearLeader(leader, "no answer to a ping")
	}
}

func errorReply(code controlpb.ResultCode, message string) *controlpb.LeaderReply {
	return &controlpb.LeaderReply{Result: &controlpb.Result{Code: code, Message: message}}
}
