package leaderclient

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
)

const (
	// suspectAfter is the time without any reply, while requests are outstanding, after which the leader is suspected to be
	// lost. Replies take about 20 ms, and a scheduling pass keeps the leader busy for up to 100 ms.
	suspectAfter = 300 * time.Millisecond

	// pingTimeout is the timeout of a ping to one member.
	pingTimeout = 250 * time.Millisecond

	// searchTimeout is the timeout of one search. Requests that still wait for a leader then start another search.
	searchTimeout = time.Second

	// searchFanout is the number of members that a search pings in parallel. It equals the number of voters, so that
	// unresponsive members don't delay the search.
	searchFanout = 5

	// backoffBase and backoffMax bound the backoff between rounds of a search and between attempts of a request.
	backoffBase = 25 * time.Millisecond
	backoffMax  = 100 * time.Millisecond
)

// awaitLeader waits until a responsive leader is known and returns it. ok is false if the context ended or maxWait passed
// before that.
func (c *Client) awaitLeader(ctx context.Context, maxWait time.Duration) (leader netip.AddrPort, ok bool) {
	timeout := c.clock.After(max(0, maxWait))
	for {
		leader, search := c.leaderOrSearch(ctx)
		if leader.IsValid() {
			return leader, true
		}
		select {
		case <-ctx.Done():
			return netip.AddrPort{}, false
		case <-timeout:
			return netip.AddrPort{}, false
		case <-search:
		}
	}
}

// leaderOrSearch returns the leader, or a channel that is closed when the search for one ends. It starts a search if none
// is running.
func (c *Client) leaderOrSearch(ctx context.Context) (leader netip.AddrPort, search <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader.IsValid() && !c.leaderSuspected() {
		return c.leader, nil
	}
	if c.searchingSince.IsZero() {
		c.searchingSince = c.clock.Now()
	}
	if c.searchDone == nil {
		done := make(chan struct{})
		c.searchDone = done
		searchCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), searchTimeout)
		go func() {
			defer cancel()
			c.search(searchCtx)
			c.mutex.Lock()
			c.searchDone = nil
			c.mutex.Unlock()
			close(done)
		}()
	}
	return netip.AddrPort{}, c.searchDone
}

// leaderSuspected reports whether requests to the leader have had no reply for longer than suspectAfter. The caller holds
// the mutex.
func (c *Client) leaderSuspected() bool {
	return len(c.outstanding) > 0 && c.clock.Since(c.outstandingSince) > suspectAfter
}

// search pings members until one confirms that it is the leader, or the context ends.
func (c *Client) search(ctx context.Context) {
	backoff := backoffBase
	for ctx.Err() == nil {
		targets := c.targets()
		found := make(chan bool, len(targets))
		for _, to := range targets {
			go func() { found <- c.ping(ctx, to) }()
		}
		for range targets {
			if <-found {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-c.clock.After(backoff):
		}
		backoff = min(2*backoff, backoffMax)
	}
}

// targets returns the members to ping next: the hinted leader, the last leader, and further members and seeds in rotation.
func (c *Client) targets() []netip.AddrPort {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var targets []netip.AddrPort
	for _, candidate := range []netip.AddrPort{c.leaderHint, c.leader} {
		if candidate.IsValid() && !slices.Contains(targets, candidate) {
			targets = append(targets, candidate)
		}
	}
	c.leaderHint = netip.AddrPort{}
	all := slices.Clone(c.members)
	for _, seed := range c.seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	for range all {
		if len(targets) >= searchFanout {
			break
		}
		c.nextMember++
		if member := all[c.nextMember%len(all)]; !slices.Contains(targets, member) {
			targets = append(targets, member)
		}
	}
	return targets
}

// ping pings a member and reports whether it is the leader.
func (c *Client) ping(ctx context.Context, to netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	sent := c.clock.Now()
	reply, err := c.transport.Forward(ctx, to, &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{
		Work: &controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Ping{Ping: &controlpb.Ping{}}},
	}})
	if err != nil {
		return false
	}
	return c.observeReply(to, sent, reply)
}

// observeReply updates the state of the client from a reply and reports whether the reply is from a leader. A reply to a request
// that was sent before another leader was found doesn't show that its sender leads again.
func (c *Client) observeReply(from netip.AddrPort, sent time.Time, reply *controlpb.LeaderReply) (leads bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader.IsValid() && c.leader != from && !sent.After(c.leaderFoundAt) {
		return false
	}
	c.updateMembers(reply.GetMembership())
	code := reply.GetResult().GetCode()
	if code != controlpb.ResultCode_RESULT_UNAVAILABLE && code != controlpb.ResultCode_RESULT_UNKNOWN {
		c.lastReplyAt = c.clock.Now()
		c.outstandingSince, c.searchingSince = c.lastReplyAt, time.Time{}
		if c.leader != from || c.loggedLost {
			c.leader, c.leaderFoundAt, c.loggedLost = from, c.lastReplyAt, false
			c.supersedeAttempts()
			c.log.Info("leader found", "Peer", from.String())
		}
		return true
	}
	if c.leader == from {
		c.clearLeader(from, reply.GetResult().GetMessage())
	}
	if leader, err := netip.ParseAddrPort(reply.GetLeaderAddress()); err == nil && leader != from {
		c.leaderHint = leader
	}
	return false
}

// updateMembers replaces the members to search when the leader is lost. The caller holds the mutex.
func (c *Client) updateMembers(membership *controlpb.Membership) {
	if len(membership.GetMembers()) == 0 {
		return
	}
	c.members = c.members[:0]
	for _, m := range membership.GetMembers() {
		if address, err := netip.ParseAddrPort(m.GetAddress()); err == nil {
			c.members = append(c.members, address)
		}
	}
}

// clearLeader clears the leader, if it is the given one, and logs its loss once. The caller holds the mutex.
func (c *Client) clearLeader(leader netip.AddrPort, reason string) {
	if c.leader == leader {
		c.leader = netip.AddrPort{}
	}
	if !c.loggedLost {
		c.loggedLost = true
		c.log.Info("leader lost", "Peer", leader.String(), "Reason", reason, "SinceLastReply", c.clock.Since(c.lastReplyAt).String())
	}
}
