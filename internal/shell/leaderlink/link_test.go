package leaderlink

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/shell/transport"
)

// group stands in for a control group.
type group struct {
	mutex  sync.Mutex
	leader netip.AddrPort // not valid: none
	// answer replaces the leader's answers when it is set.
	answer func() (*controlpb.LeaderReply, error)
	asked  int
	// answersPings has pings answered as usual when answer is set.
	answersPings bool
	dark         netip.AddrPort // takes requests and never answers; not valid: none
	lost         int            // requests other than pings that it took
}

// unrecorded takes latencies that no test looks at.
type unrecorded struct{}

func (unrecorded) Observe(string, time.Duration) {}

func address(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 7000)
}

func (g *group) Forward(ctx context.Context, to netip.AddrPort, request *controlpb.LeaderRequest) (*controlpb.LeaderReply, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.asked++
	if to == g.dark {
		if request.GetWork().GetPing() == nil {
			g.lost++
		}
		g.mutex.Unlock()
		<-ctx.Done()
		g.mutex.Lock()
		return nil, ctx.Err()
	}
	members := &controlpb.Membership{Members: []*controlpb.Member{{Address: address(1).String()}, {Address: address(2).String()}, {Address: address(3).String()}}}
	if to != g.leader {
		reply := failure(controlpb.ResultCode_RESULT_UNAVAILABLE, "not the leader")
		reply.Membership = members
		if g.leader.IsValid() {
			reply.LeaderAddress = g.leader.String()
		}
		return reply, nil
	}
	if g.answer != nil && (!g.answersPings || request.GetWork().GetPing() == nil) {
		return g.answer()
	}
	return &controlpb.LeaderReply{Result: &controlpb.Result{}, Membership: members}, nil
}

func (g *group) lead(n byte) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.leader = address(n)
}

func newLink(g *group) *Link {
	return New(g, []netip.AddrPort{address(1)}, unrecorded{}, clockwork.NewRealClock(), logr.Discard())
}

// A leader that isn't a seed is found through one, and its successor after it.
func TestLeaderIsFound(t *testing.T) {
	g := &group{}
	link := newLink(g)
	for _, leader := range []byte{3, 2, 1} {
		g.lead(leader)
		if code := link.Do(context.Background(), &controlpb.LeaderRequest{}).GetResult().GetCode(); code != controlpb.ResultCode_RESULT_OK {
			t.Errorf("leader %d: %v", leader, code)
		}
	}
	if link.HeardAgo() > time.Second {
		t.Errorf("the leader was heard %v ago", link.HeardAgo())
	}
}

// Without a leader a request is refused, although its caller would wait for ever, as one that surely didn't run.
func TestNoLeader(t *testing.T) {
	reply := newLink(&group{}).Do(context.Background(), &controlpb.LeaderRequest{})
	if reply.GetResult().GetCode() != controlpb.ResultCode_RESULT_UNAVAILABLE {
		t.Errorf("%v, expected RESULT_UNAVAILABLE", reply.GetResult())
	}
}

// A request whose answer was lost must not be told to have not run, whatever later attempts say.
func TestLostAnswer(t *testing.T) {
	g := &group{}
	g.lead(1)
	link := newLink(g)
	link.Do(context.Background(), &controlpb.LeaderRequest{})
	first := true
	g.answer = func() (*controlpb.LeaderReply, error) {
		if first {
			first = false
			return nil, errors.New("the connection broke")
		}
		return nil, &transport.NotSentError{Peer: address(1), Err: errors.New("refused")}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if code := link.Do(ctx, &controlpb.LeaderRequest{}).GetResult().GetCode(); code != controlpb.ResultCode_RESULT_UNKNOWN {
		t.Errorf("%v, expected RESULT_UNKNOWN", code)
	}
}

// The leader's host loses power while callers hand in work: only what is sent before that is noticed may be of unknown
// outcome. All that comes later has surely not run, or is decided by the successor.
func TestDarkLeader(t *testing.T) {
	g := &group{}
	g.lead(1)
	link := newLink(g)
	link.Do(context.Background(), &controlpb.LeaderRequest{})
	g.mutex.Lock()
	g.dark = address(1)
	g.mutex.Unlock()
	const interval = 20 * time.Millisecond
	codes := make(chan controlpb.ResultCode, 100)
	for i := range cap(codes) {
		go func() {
			time.Sleep(time.Duration(i) * interval)
			ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
			defer cancel()
			codes <- link.Do(ctx, &controlpb.LeaderRequest{}).GetResult().GetCode()
		}()
	}
	unknown, decided := 0, 0
	time.Sleep(1200 * time.Millisecond)
	g.lead(2)
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
	if most := int((doubtAfter+100*time.Millisecond)/interval) + 1; g.lost > most {
		t.Errorf("%d requests went to a leader that is lost, expected at most %d", g.lost, most)
	}
	if unknown > 0 {
		t.Errorf("%d callers aren't told what became of their requests, although the successor knows", unknown)
	}
	if decided < 20 {
		t.Errorf("%d requests were decided after the successor was there", decided)
	}
}

// A leader that refuses requests for want of room, and answers pings, must not be asked again and again without a pause,
// and the caller must be told in time.
func TestOverloadedLeader(t *testing.T) {
	g := &group{}
	g.lead(1)
	link := newLink(g)
	g.answer = func() (*controlpb.LeaderReply, error) {
		return failure(controlpb.ResultCode_RESULT_UNAVAILABLE, "overloaded"), nil
	}
	g.answersPings = true
	began := time.Now()
	if code := link.Do(context.Background(), &controlpb.LeaderRequest{}).GetResult().GetCode(); code != controlpb.ResultCode_RESULT_UNAVAILABLE {
		t.Errorf("%v, expected RESULT_UNAVAILABLE", code)
	}
	if took := time.Since(began); took > refuseAfter+pauseMost+200*time.Millisecond {
		t.Errorf("the refusal took %v", took)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if most := 2 * int(refuseAfter/(pauseMost/2)) * 2; g.asked > most {
		t.Errorf("the leader was asked %d times, expected at most %d", g.asked, most)
	}
}

// Most of the control group is lost for seconds: callers must be told soon to come back later, not each after having waited
// for an election, and not at once either, because they would have spent their few tries when the leader is back.
func TestLongOutage(t *testing.T) {
	link := newLink(&group{})
	link.Do(context.Background(), &controlpb.LeaderRequest{})
	time.Sleep(electionMost)
	began := time.Now()
	reply := link.Do(context.Background(), &controlpb.LeaderRequest{})
	if code := reply.GetResult().GetCode(); code != controlpb.ResultCode_RESULT_UNAVAILABLE {
		t.Errorf("%v, expected RESULT_UNAVAILABLE", code)
	}
	if took := time.Since(began); took < outagePatience || took > outagePatience+200*time.Millisecond {
		t.Errorf("the refusal took %v, expected about %v", took, outagePatience)
	}
	if got := reply.GetWork().GetRetryAfterMs(); got < electionMost.Milliseconds() || got > mostRetryAfter.Milliseconds() {
		t.Errorf("callers are told to come back after %d ms in an outage of %v", got, electionMost)
	}
}
