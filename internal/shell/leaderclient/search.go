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
func (l *Client) awaitLeader(ctx context.Context, maxWait time.Duration) (leader netip.AddrPort, ok bool) {
	timeout := l.clock.After(max(0, maxWait))
	for {
		leader, search := l.leaderOrSearch(ctx)
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
func (l *Client) leaderOrSearch(ctx context.Context) (leader netip.AddrPort, search <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.leader.IsValid() && !l.leaderSuspected() {
		return l.leader, nil
	}
	if l.searchingSince.IsZero() {
		l.searchingSince = l.clock.Now()
	}
	if l.searchDone == nil {
		done := make(chan struct{})
		l.searchDone = done
		searchCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), searchTimeout)
		go func() {
			defer cancel()
			l.search(searchCtx)
			l.mutex.Lock()
			l.searchDone = nil
			l.mutex.Unlock()
			close(done)
		}()
	}
	return netip.AddrPort{}, l.searchDone
}

// leaderSuspected reports whether requests to the leader have had no reply for longer than suspectAfter. The caller holds
// the mutex.
func (l *Client) leaderSuspected() bool {
	return l.outstanding > 0 && l.clock.Since(l.outstandingSince) > suspectAfter
}

// search pings members until one confirms that it is the leader, or the context ends.
func (l *Client) search(ctx context.Context) {
	backoff := backoffBase
	for ctx.Err() == nil {
		targets := l.targets()
		found := make(chan bool, len(targets))
		for _, to := range targets {
			go func() { found <- l.ping(ctx, to) }()
		}
		for range targets {
			if <-found {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-l.clock.After(backoff):
		}
		backoff = min(2*backoff, backoffMax)
	}
}

// targets returns the members to ping next: the hinted leader, the last leader, and further members and seeds in rotation.
func (l *Client) targets() []netip.AddrPort {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var targets []netip.AddrPort
	for _, candidate := range []netip.AddrPort{l.leaderHint, l.leader} {
		if candidate.IsValid() && !slices.Contains(targets, candidate) {
			targets = append(targets, candidate)
		}
	}
	l.leaderHint = netip.AddrPort{}
	all := slices.Clone(l.members)
	for _, seed := range l.seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	for range all {
		if len(targets) >= searchFanout {
			break
		}
		l.nextMember++
		if member := all[l.nextMember%len(all)]; !slices.Contains(targets, member) {
			targets = append(targets, member)
		}
	}
	return targets
}

// ping pings a member and reports whether it is the leader.
func (l *Client) ping(ctx context.Context, to netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	reply, err := l.transport.Forward(ctx, to, &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{
		Work: &controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Ping{Ping: &controlpb.Ping{}}},
	}})
	if err != nil {
		return false
	}
	return l.observeReply(to, reply)
}

// observeReply updates the state of the client from a reply and reports whether the reply is from a leader.
func (l *Client) observeReply(from netip.AddrPort, reply *controlpb.LeaderReply) (leads bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.updateMembers(reply.GetMembership())
	code := reply.GetResult().GetCode()
	if code != controlpb.ResultCode_RESULT_UNAVAILABLE && code != controlpb.ResultCode_RESULT_UNKNOWN {
		l.lastHeard = l.clock.Now()
		l.outstandingSince, l.searchingSince = l.lastHeard, time.Time{}
		if l.leader != from || l.loggedLost {
			l.leader, l.loggedLost = from, false
			l.log.Info("leader found", "Peer", from.String())
		}
		return true
	}
	if l.leader == from {
		l.clearLeader(from, reply.GetResult().GetMessage())
	}
	if leader, err := netip.ParseAddrPort(reply.GetLeaderAddress()); err == nil && leader != from {
		l.leaderHint = leader
	}
	return false
}

// updateMembers replaces the members to search when the leader is lost. The caller holds the mutex.
func (l *Client) updateMembers(membership *controlpb.Membership) {
	if len(membership.GetMembers()) == 0 {
		return
	}
	l.members = l.members[:0]
	for _, m := range membership.GetMembers() {
		if address, err := netip.ParseAddrPort(m.GetAddress()); err == nil {
			l.members = append(l.members, address)
		}
	}
}

// clearLeader clears the leader, if it is the given one, and logs its loss once. The caller holds the mutex.
func (l *Client) clearLeader(leader netip.AddrPort, reason string) {
	if l.leader == leader {
		l.leader = netip.AddrPort{}
	}
	if !l.loggedLost {
		l.loggedLost = true
		l.log.Info("leader lost", "Peer", leader.String(), "Reason", reason, "SinceLastReply", l.clock.Since(l.lastHeard).String())
	}
}
