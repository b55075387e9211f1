package leaderclient

import (
	"context"
	"errors"
	"net/netip"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/shell/transport"
)

// attempt is one attempt to have the leader decide a request.
type attempt struct {
	to         netip.AddrPort
	cancel     context.CancelFunc
	superseded bool // another leader was found; guarded by the client's mutex
}

// attempt sends a request to the leader once. It gives up when another leader is found, because a former leader that is down or
// partitioned never replies, and then reports that the attempt was superseded.
func (c *Client) attempt(ctx context.Context, to netip.AddrPort, request *controlpb.LeaderRequest) (reply *controlpb.LeaderReply, superseded bool) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	a := &attempt{to: to, cancel: cancel}
	sent := c.clock.Now()
	c.beginAttempt(a)
	reply, err := c.transport.Forward(ctx, to, request)
	superseded = c.endAttempt(a)
	if err == nil {
		if !superseded { // a late reply doesn't show that the former leader leads again
			c.observeReply(to, sent, reply)
		}
		return reply, superseded
	}
	if !superseded {
		c.mutex.Lock()
		c.clearLeader(to, err.Error())
		c.mutex.Unlock()
	}
	var notSent *transport.NotSentError
	if errors.As(err, &notSent) {
		return errorReply(controlpb.ResultCode_RESULT_UNAVAILABLE, err.Error()), superseded
	}
	return errorReply(controlpb.ResultCode_RESULT_UNKNOWN, err.Error()), superseded
}

// beginAttempt adds an attempt to the outstanding ones.
func (c *Client) beginAttempt(a *attempt) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.outstanding) == 0 {
		c.outstandingSince = c.clock.Now()
	}
	c.outstanding[a] = struct{}{}
	if c.leader.IsValid() && c.leader != a.to { // found since the caller looked the leader up
		a.supersede()
	}
}

// endAttempt removes an attempt from the outstanding ones and reports whether it was superseded.
func (c *Client) endAttempt(a *attempt) (superseded bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.outstanding, a)
	return a.superseded
}

// supersedeAttempts gives up the outstanding attempts at other members than the leader. The caller holds the mutex.
func (c *Client) supersedeAttempts() {
	for a := range c.outstanding {
		if a.to != c.leader {
			a.supersede()
		}
	}
}

// supersede gives up the attempt. The caller holds the client's mutex.
func (a *attempt) supersede() {
	a.superseded = true
	a.cancel()
}
