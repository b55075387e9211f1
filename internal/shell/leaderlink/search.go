package leaderlink

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
)

const (
	// doubtAfter is the time without an answer to any request after which a leader may be lost. Answers take some 20 ms,
	// and a leader is busy with one pass for up to 100 ms.
	doubtAfter = 300 * time.Millisecond

	// pingTimeout bounds the wait for one member while the leader is searched for.
	pingTimeout = 250 * time.Millisecond

	// searchTime bounds one search. Whoever still waits for a leader then begins another one.
	searchTime = time.Second

	// asksAtOnce is the number of members that a search asks at once: as many as vote, so that silent ones don't hold it up.
	asksAtOnce = 5

	// pauseFirst and pauseMost bound the pauses between two rounds of a search, and between two tries of a request.
	pauseFirst = 25 * time.Millisecond
	pauseMost  = 100 * time.Millisecond
)

// awaitLeader returns the leader as soon as one is known that answers. Ok is false when the context ended or the time
// was over before that.
func (l *Link) awaitLeader(ctx context.Context, patience time.Duration) (leader netip.AddrPort, ok bool) {
	over := l.clock.After(max(0, patience))
	for {
		leader, search := l.leaderOrSearch(ctx)
		if leader.IsValid() {
			return leader, true
		}
		select {
		case <-ctx.Done():
			return netip.AddrPort{}, false
		case <-over:
			return netip.AddrPort{}, false
		case <-search:
		}
	}
}

// leaderOrSearch returns the leader, or a channel that is closed when the search for it ends. It begins a search if none
// is under way.
func (l *Link) leaderOrSearch(ctx context.Context) (leader netip.AddrPort, search <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.leader.IsValid() && !l.doubtful() {
		return l.leader, nil
	}
	if l.since.IsZero() {
		l.since = l.clock.Now()
	}
	if l.searching == nil {
		ended := make(chan struct{})
		l.searching = ended
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), searchTime)
		go func() {
			defer cancel()
			l.search(limited)
			l.mutex.Lock()
			l.searching = nil
			l.mutex.Unlock()
			close(ended)
		}()
	}
	return netip.AddrPort{}, l.searching
}

// doubtful reports whether the leader has left requests unanswered for long. The caller holds the mutex.
func (l *Link) doubtful() bool {
	return l.unanswered > 0 && l.clock.Since(l.unansweredSince) > doubtAfter
}

// search asks members until one says that it leads, or the context ends.
func (l *Link) search(ctx context.Context) {
	pause := pauseFirst
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
		case <-l.clock.After(pause):
		}
		pause = min(2*pause, pauseMost)
	}
}

// targets returns whom to ask next: whom others take for the leader, and then the members in turn.
func (l *Link) targets() []netip.AddrPort {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var targets []netip.AddrPort
	for _, likely := range []netip.AddrPort{l.hint, l.leader} {
		if likely.IsValid() && !slices.Contains(targets, likely) {
			targets = append(targets, likely)
		}
	}
	l.hint = netip.AddrPort{}
	all := slices.Clone(l.known)
	for _, seed := range l.seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	for range all {
		if len(targets) >= asksAtOnce {
			break
		}
		l.next++
		if member := all[l.next%len(all)]; !slices.Contains(targets, member) {
			targets = append(targets, member)
		}
	}
	return targets
}

// ping asks a member whether it leads.
func (l *Link) ping(ctx context.Context, to netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	reply, err := l.transport.Forward(ctx, to, &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{
		Work: &controlpb.WorkRequest{Kind: &controlpb.WorkRequest_Ping{Ping: &controlpb.Ping{}}},
	}})
	if err != nil {
		return false
	}
	return l.learn(to, reply)
}

// learn follows what a reply tells of the control group, and reports whether it is a leader's.
func (l *Link) learn(from netip.AddrPort, reply *controlpb.LeaderReply) (leads bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.learnMembers(reply.GetMembership())
	code := reply.GetResult().GetCode()
	if code != controlpb.ResultCode_RESULT_UNAVAILABLE && code != controlpb.ResultCode_RESULT_UNKNOWN {
		l.heard = l.clock.Now()
		l.unansweredSince, l.since = l.heard, time.Time{}
		if l.leader != from || l.lost {
			l.leader, l.lost = from, false
			l.log.Info("leader found", "Peer", from.String())
		}
		return true
	}
	if l.leader == from {
		l.lose(from, reply.GetResult().GetMessage())
	}
	if leader, err := netip.ParseAddrPort(reply.GetLeaderAddress()); err == nil && leader != from {
		l.hint = leader
	}
	return false
}

// learnMembers remembers whom to ask when the leader is lost. The caller holds the mutex.
func (l *Link) learnMembers(membership *controlpb.Membership) {
	if len(membership.GetMembers()) == 0 {
		return
	}
	l.known = l.known[:0]
	for _, m := range membership.GetMembers() {
		if address, err := netip.ParseAddrPort(m.GetAddress()); err == nil {
			l.known = append(l.known, address)
		}
	}
}

// lose forgets a leader. The caller holds the mutex.
func (l *Link) lose(leader netip.AddrPort, reason string) {
	if l.leader == leader {
		l.leader = netip.AddrPort{}
	}
	if !l.lost {
		l.lost = true
		l.log.Info("leader lost", "Peer", leader.String(), "Reason", reason, "HeardAgo", l.clock.Since(l.heard).String())
	}
}
