package leaderclient

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/shell/transport"
)

// fakeGroup fakes a control group with three members.
type fakeGroup struct {
	mutex  sync.Mutex
	leader netip.AddrPort // invalid if there is none
	// override, if set, replaces the leader's replies.
	override func() (*controlpb.LeaderReply, error)
	requests int
	// answerPings makes the leader reply to pings as usual even if override is set.
	answerPings  bool
	empty        netip.AddrPort // controller that lost its disk and knows no member; invalid if there is none
	unresponsive netip.AddrPort // member that receives requests and never replies; invalid if there is none
	lostRequests int            // requests other than pings received by the unresponsive member
	lateReply    bool           // the unresponsive member replies when a request is given up
}

// discardLatencies discards latencies.
type discardLatencies struct{}

func (discardLatencies) Observe(string, time.Duration) {}

func address(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 7000)
}

func (g *fakeGroup) Forward(ctx context.Context, to netip.AddrPort, request *controlpb.LeaderRequest) (*controlpb.LeaderReply, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.requests++
	if to == g.unresponsive {
		if request.GetWork().GetPing() == nil {
			g.lostRequests++
		}
		g.mutex.Unlock()
		<-ctx.Done()
		g.mutex.Lock()
		if g.lateReply && request.GetWork().GetPing() == nil {
			return &controlpb.LeaderReply{Result: &controlpb.Result{}}, nil
		}
		return nil, ctx.Err()
	}
	if to == g.empty {
		return errorReply(controlpb.ResultCode_RESULT_UNAVAILABLE, "not the leader"), nil
	}
	members := &controlpb.Membership{Members: []*controlpb.Member{{Address: address(1).String()}, {Address: address(2).String()}, {Address: address(3).String()}}}
	if to != g.leader {
		reply := errorReply(controlpb.ResultCode_RESULT_UNAVAILABLE, "not the leader")
		reply.Membership = members
		if g.leader.IsValid() {
			reply.LeaderAddress = g.leader.String()
		}
		return reply, nil
	}
	if g.override != nil && (!g.answerPings || request.GetWork().GetPing() == nil) {
		return g.override()
	}
	return &controlpb.LeaderReply{Result: &controlpb.Result{}, Membership: members}, nil
}

func (g *fakeGroup) setLeader(n byte) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.leader = address(n)
}

func (g *fakeGroup) setUnresponsive(n byte) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.unresponsive = address(n)
}

func newClient(g *fakeGroup) *Client {
	return New(g, []netip.AddrPort{address(1)}, discardLatencies{}, clockwork.NewRealClock(), logr.Discard())
}

// Checks that a leader that isn't a seed is found through a seed, and that its successor is found when it no longer
// leads.
func TestFindsLeader(t *testing.T) {
	g := &fakeGroup{}
	client := newClient(g)
	for _, leader := range []byte{3, 2, 1} {
		g.setLeader(leader)
		if code := client.Submit(context.Background(), &controlpb.LeaderRequest{}).GetResult().GetCode(); code != controlpb.ResultCode_RESULT_OK {
			t.Errorf("leader %d: %v", leader, code)
		}
	}
	if client.SinceLastReply() > time.Second {
		t.Errorf("the last reply from the leader was %v ago", client.SinceLastReply())
	}
}

// Checks that after a restart the leader is found although of the seeds one lost its disk, one is down, and the third doesn't
// lead.
func TestFindsLeaderThroughOneSeed(t *testing.T) {
	g := &fakeGroup{empty: address(4), unresponsive: address(5)}
	g.setLeader(3)
	seeds := []netip.AddrPort{address(4), address(5), address(1)}
	client := New(g, seeds, discardLatencies{}, clockwork.NewRealClock(), logr.Discard())
	if code := client.Submit(context.Background(), &controlpb.LeaderRequest{}).GetResult().GetCode(); code != controlpb.ResultCode_RESULT_OK {
		t.Errorf("%v, expected RESULT_OK", code)
	}
}

// Checks that without a leader a request is rejected as not run, even if its context has no deadline.
func TestNoLeader(t *testing.T) {
	reply := newClient(&fakeGroup{}).Submit(context.Background(), &controlpb.LeaderRequest{})
	if reply.GetResult().GetCode() != controlpb.ResultCode_RESULT_UNAVAILABLE {
		t.Errorf("%v, expected RESULT_UNAVAILABLE", reply.GetResult())
	}
}

// Checks that a request whose reply was lost is never reported as not run, whatever later attempts return.
func TestLostReply(t *testing.T) {
	g := &fakeGroup{}
	g.setLeader(1)
	client := newClient(g)
	client.Submit(context.Background(), &controlpb.LeaderRequest{})
	first := true
	g.override = func() (*controlpb.LeaderReply, error) {
		if first {
			first = false
			return nil, errors.New("the connection broke")
		}
		return nil, &transport.NotSentError{Peer: address(1), Err: errors.New("refused")}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if code := client.Submit(ctx, &controlpb.LeaderRequest{}).GetResult().GetCode(); code != controlpb.ResultCode_RESULT_UNKNOWN {
		t.Errorf("%v, expected RESULT_UNKNOWN", code)
	}
}

// Checks that when the leader's host loses power while callers submit work, only requests sent before the loss is detected
// reach it. Later requests are rejected as not run or decided by the successor, and no outcome stays unknown.
func TestUnresponsiveLeader(t *testing.T) {
	g := &fakeGroup{}
	g.setLeader(1)
	client := newClient(g)
	client.Submit(context.Background(), &controlpb.LeaderRequest{})
	g.mutex.Lock()
	g.unresponsive = address(1)
	g.mutex.Unlock()
	const interval = 20 * time.Millisecond
	codes := make(chan controlpb.ResultCode, 100)
	for i := range cap(codes) {
		go func() {
			time.Sleep(time.Duration(i) * interval)
			ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
			defer cancel()
			codes <- client.Submit(ctx, &controlpb.LeaderRequest{}).GetResult().GetCode()
		}()
	}
	unknown, decided := 0, 0
	time.Sleep(1200 * time.Millisecond)
	g.setLeader(2)
	for range cap(codes) {
		switch <-codes {
		case controlpb.ResultCode_RESULT_UNKNOWN:
			unknown++
		case controlpb.ResultCode_RESULT_OK:
			decided++
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if maximum := int((suspectAfter+100*time.Millisecond)/interval) + 1; g.lostRequests > maximum {
		t.Errorf("%d requests were sent to the lost leader, expected at most %d", g.lostRequests, maximum)
	}
	if unknown > 0 {
		t.Errorf("%d requests ended with an unknown outcome, expected the successor to decide them", unknown)
	}
	if decided < 20 {
		t.Errorf("%d requests were decided, expected at least 20", decided)
	}
}

// Checks that requests to an overloaded leader, which rejects them but replies to pings, are retried with backoff, and that
// the caller gets the rejection in time.
func TestOverloadedLeader(t *testing.T) {
	g := &fakeGroup{}
	g.setLeader(1)
	client := newClient(g)
	g.override = func() (*controlpb.LeaderReply, error) {
		return errorReply(controlpb.ResultCode_RESULT_UNAVAILABLE, "overloaded"), nil
	}
	g.answerPings = true
	start := time.Now()
	if code := client.Submit(context.Background(), &controlpb.LeaderRequest{}).GetResult().GetCode(); code != controlpb.ResultCode_RESULT_UNAVAILABLE {
		t.Errorf("%v, expected RESULT_UNAVAILABLE", code)
	}
	if elapsed := time.Since(start); elapsed > rejectAfter+backoffMax+200*time.Millisecond {
		t.Errorf("the rejection took %v", elapsed)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if maximum := 2 * int(rejectAfter/(backoffMax/2)) * 2; g.requests > maximum {
		t.Errorf("the control group received %d requests, expected at most %d", g.requests, maximum)
	}
}

// Checks that when the quorum is lost for seconds, requests are rejected with a retry delay after a short wait. A wait for
// the duration of an election would delay each caller, and an immediate rejection would use up its few retries before a
// leader is elected.
func TestLongOutage(t *testing.T) {
	client := newClient(&fakeGroup{})
	client.Submit(context.Background(), &controlpb.LeaderRequest{})
	time.Sleep(maxElectionTime)
	start := time.Now()
	reply := client.Submit(context.Background(), &controlpb.LeaderRequest{})
	if code := reply.GetResult().GetCode(); code != controlpb.ResultCode_RESULT_UNAVAILABLE {
		t.Errorf("%v, expected RESULT_UNAVAILABLE", code)
	}
	if elapsed := time.Since(start); elapsed < outageRejectAfter || elapsed > outageRejectAfter+200*time.Millisecond {
		t.Errorf("the rejection took %v, expected about %v", elapsed, outageRejectAfter)
	}
	if got := reply.GetWork().GetRetryAfterMs(); got < maxElectionTime.Milliseconds() || got > maxRetryAfter.Milliseconds() {
		t.Errorf("retry delay is %d ms in an outage of %v, expected at least the outage and at most maxRetryAfter", got, maxElectionTime)
	}
}

// Checks that a request that waits for a former leader is sent to its successor as soon as that is known. Requests that arrive
// later would otherwise be decided first, so that callers see a change of the routing undone.
func TestSuccessorDuringRequest(t *testing.T) {
	read := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: &controlpb.WorkRequest{
		Kind: &controlpb.WorkRequest_Caller{Caller: &controlpb.CallerWork{Verb: controlpb.CallerVerb_VERB_READ}},
	}}}
	for _, test := range []struct {
		name      string
		request   *controlpb.LeaderRequest
		lateReply bool
	}{
		{name: "read", request: read},
		{name: "change", request: &controlpb.LeaderRequest{}},
		{name: "late reply", request: read, lateReply: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testSuccessorDuringRequest(t, test.request, test.lateReply) })
		})
	}
}

func testSuccessorDuringRequest(t *testing.T, request *controlpb.LeaderRequest, lateReply bool) {
	g := &fakeGroup{lateReply: lateReply}
	g.setLeader(1)
	client := newClient(g)
	client.Submit(context.Background(), request)
	g.setUnresponsive(1)
	earlier := make(chan *controlpb.LeaderReply, 1)
	go func() { earlier <- client.Submit(context.Background(), request) }()
	time.Sleep(suspectAfter + 50*time.Millisecond)
	g.setLeader(2)
	if code := client.Submit(context.Background(), request).GetResult().GetCode(); code != controlpb.ResultCode_RESULT_OK {
		t.Errorf("the later request: %v, expected RESULT_OK", code)
	}
	decided := time.Now()
	if code := (<-earlier).GetResult().GetCode(); code != controlpb.ResultCode_RESULT_OK {
		t.Errorf("the earlier request: %v, expected RESULT_OK", code)
	}
	if delay := time.Since(decided); delay > 0 {
		t.Errorf("the earlier request was decided %v after the later one", delay)
	}
	if leader, _ := client.leaderOrSearch(context.Background()); leader != address(2) {
		t.Errorf("the leader is %v after the requests, expected the successor", leader)
	}
}

// slowLink delays the next reply to a ping of member 1, and counts the requests to member 2 that are given up.
type slowLink struct {
	*fakeGroup
	delay   time.Duration
	givenUp int
}

func (l *slowLink) Forward(ctx context.Context, to netip.AddrPort, request *controlpb.LeaderRequest) (*controlpb.LeaderReply, error) {
	reply, err := l.fakeGroup.Forward(ctx, to, request)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	isPing := request.GetWork().GetPing() != nil
	switch {
	case to == address(1) && isPing:
		delay := l.delay
		l.delay = 0
		l.mutex.Unlock()
		time.Sleep(delay)
		l.mutex.Lock()
	case to == address(2) && !isPing:
		l.mutex.Unlock()
		time.Sleep(20 * time.Millisecond)
		l.mutex.Lock()
		if ctx.Err() != nil {
			l.givenUp++
			return nil, ctx.Err()
		}
	}
	return reply, err
}

// Checks that a late reply to a ping doesn't bring a former leader back as the known one. The requests that its successor is
// handling would be given up, and their outcome unknown.
func TestLatePingReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &slowLink{fakeGroup: &fakeGroup{}}
		l.setLeader(1)
		client := New(l, []netip.AddrPort{address(1)}, discardLatencies{}, clockwork.NewRealClock(), logr.Discard())
		client.Submit(context.Background(), &controlpb.LeaderRequest{})
		l.delay = 200 * time.Millisecond
		go client.ping(context.Background(), address(1))
		time.Sleep(10 * time.Millisecond)
		l.setLeader(2)
		for range 30 {
			go client.Submit(context.Background(), &controlpb.LeaderRequest{})
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		if l.givenUp > 0 {
			t.Errorf("%d requests were given up at the leader", l.givenUp)
		}
	})
}
