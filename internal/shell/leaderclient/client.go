// Package leaderclient sends requests to the leader of the control group from a process that isn't a member of it.
//
// It is designed for the loss of a leader while callers submit work. A request sent to the lost leader may have been
// decided, so its outcome is unknown. To keep such requests few, Client sends requests only to a member that has confirmed
// that it is the leader and that still responds. Other requests wait for a short time and are then rejected as not run.
package leaderclient

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"galenamoor/internal/controlpb"
)

const (
	// attemptTimeout is the timeout of one attempt. A commit takes about 20 ms; a leader that doesn't respond for this long
	// is down or partitioned, and the other members know its successor by then.
	attemptTimeout = 700 * time.Millisecond

	// rejectAfter is the time after which a request that definitely didn't run is rejected, with a retry delay for its
	// caller. It is longer than most elections.
	rejectAfter = 1200 * time.Millisecond

	// maxElectionTime is the maximum duration of an election. If the search for a leader has taken longer, the quorum is
	// lost, and requests are rejected after outageRejectAfter. Callers retry about four times within their deadlines of
	// 3 s, a few tenths of a second after each rejection, so their retries last until the deadline.
	maxElectionTime   = 1800 * time.Millisecond
	outageRejectAfter = 500 * time.Millisecond

	// maxRetryAfter limits the retry delay in a rejection. The delay is the duration of the outage so far, because an outage
	// is expected to last as long again; callers that retry earlier use up their few retries.
	maxRetryAfter = 4 * time.Second

	// pingInterval is the interval between checks of the leader while there is no traffic.
	pingInterval = time.Second
)

// Transport sends requests to other daemons.
type Transport interface {
	// Forward sends a request to a member. The error is a transport.NotSentError if the request was definitely not sent.
	Forward(ctx context.Context, to netip.AddrPort, request *controlpb.LeaderRequest) (*controlpb.LeaderReply, error)
}

// Latencies records request latencies by kind.
type Latencies interface {
	// Observe records a latency. Kind is Decided, Refused or Unknown, by the result of the request.
	Observe(kind string, took time.Duration)
}

// Client tracks the members of the control group and their leader, and sends requests to the leader. Its methods may be
// called concurrently.
type Client struct {
	transport Transport
	latencies Latencies
	clock     clockwork.Clock
	log       logr.Logger

	mutex          sync.Mutex
	seeds          []netip.AddrPort // configured addresses of members
	members        []netip.AddrPort // from the last reply that contained the membership
	leader         netip.AddrPort   // member that confirmed that it leads; invalid if unknown
	leaderFoundAt  time.Time        // when leader became known
	leaderHint     netip.AddrPort   // leader according to another member; invalid if unknown
	nextMember     int              // round-robin position of the search
	lastReplyAt    time.Time        // when a leader last decided a request or replied to a ping
	loggedLost     bool             // whether the loss of the leader was logged
	searchDone     chan struct{}    // closed when the running search ends; nil if none is running
	searchingSince time.Time        // start of the first search since the last known leader; zero while a leader is known

	outstanding      map[*attempt]struct{} // requests sent and not yet answered
	outstandingSince time.Time             // when outstanding was last empty, or the leader's last reply if that is later
}

// New returns a Client that finds the control group through the seeds.
func New(t Transport, seeds []netip.AddrPort, latencies Latencies, clock clockwork.Clock, log logr.Logger) *Client {
	return &Client{transport: t, seeds: seeds, latencies: latencies, clock: clock, log: log, outstanding: map[*attempt]struct{}{}}
}

// SetSeeds replaces the seeds.
func (c *Client) SetSeeds(seeds []netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.seeds = seeds
}

// SinceLastReply returns the time since a leader last decided a request or replied to a ping, or one hour if none has.
func (c *Client) SinceLastReply() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.lastReplyAt.IsZero() {
		return time.Hour
	}
	return c.clock.Since(c.lastReplyAt)
}

// Submit sends a request to the leader and retries it until it is decided, the context ends, or it is rejected because no
// leader was found in time. Requests may be decided twice, so they must be idempotent. The result is RESULT_UNAVAILABLE if
// the request was definitely not decided, and RESULT_UNKNOWN if it may have been.
func (c *Client) Submit(ctx context.Context, request *controlpb.LeaderRequest) *controlpb.LeaderReply {
	start := c.clock.Now()
	reply := c.submitWithRetries(ctx, start, request)
	kind := "Decided"
	switch reply.GetResult().GetCode() {
	case controlpb.ResultCode_RESULT_UNAVAILABLE:
		kind = "Refused"
	case controlpb.ResultCode_RESULT_UNKNOWN:
		kind = "Unknown"
	}
	c.latencies.Observe(kind, c.clock.Since(start))
	return reply
}

// submitWithRetries sends a request to successive leaders until one decides it, the context ends, or it is rejected.
func (c *Client) submitWithRetries(ctx context.Context, start time.Time, request *controlpb.LeaderRequest) *controlpb.LeaderReply {
	rejection := errorReply(controlpb.ResultCode_RESULT_UNAVAILABLE, "no leader is known")
	var uncertain *controlpb.LeaderReply
	backoff := backoffBase
	for {
		elapsed := c.clock.Since(start)
		maxWait := min(rejectAfter-elapsed, max(outageRejectAfter-elapsed, maxElectionTime-c.searchDuration()))
		if uncertain != nil {
			maxWait = attemptTimeout // retry until the context ends: only a retry can find out the outcome
		}
		to, ok := c.awaitLeader(ctx, maxWait)
		done := ctx.Err() != nil || uncertain == nil && (!ok || c.clock.Since(start) >= rejectAfter)
		switch {
		case done && uncertain != nil:
			return uncertain
		case done:
			rejection.Work = &controlpb.WorkReply{RetryAfterMs: min(maxRetryAfter, c.searchDuration()).Milliseconds()}
			return rejection
		case !ok:
			continue
		}
		reply, superseded := c.attempt(ctx, to, request)
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
		if superseded {
			continue // without backoff, so that later requests don't overtake this one at the successor
		}
		select {
		case <-ctx.Done():
		case <-c.clock.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, backoffMax)
	}
}

// searchDuration returns the time since the search for a leader began, or 0 if a leader is known.
func (c *Client) searchDuration() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.searchingSince.IsZero() {
		return 0
	}
	return c.clock.Since(c.searchingSince)
}

// changesState reports whether a request changes state when it is decided.
func changesState(request *controlpb.LeaderRequest) bool {
	return request.GetWork().GetCaller().GetVerb() != controlpb.CallerVerb_VERB_READ
}

// Run checks the leader while there is no traffic, and searches for a new one if it doesn't respond, until the context
// ends.
func (c *Client) Run(ctx context.Context) error {
	for {
		if c.SinceLastReply() >= pingInterval {
			c.mutex.Lock()
			leader := c.leader
			c.mutex.Unlock()
			if !leader.IsValid() || !c.ping(ctx, leader) {
				c.markUnresponsive(leader)
				c.awaitLeader(ctx, pingInterval)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.clock.After(pingInterval / 2):
		}
	}
}

// markUnresponsive clears a leader that didn't respond to a ping.
func (c *Client) markUnresponsive(leader netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if leader.IsValid() {
		c.clearLeader(leader, "no answer to a ping")
	}
}

func errorReply(code controlpb.ResultCode, message string) *controlpb.LeaderReply {
	return &controlpb.LeaderReply{Result: &controlpb.Result{Code: code, Message: message}}
}
