package workercall

import (
	"context"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"galenamoor/internal/decision/order"
)

// countingClient counts the calls that have started, each of which waits for release.
type countingClient struct {
	started atomic.Int64
	release chan struct{}
}

func (c *countingClient) Call(ctx context.Context, _ *order.Call) *order.Answer {
	c.started.Add(1)
	select {
	case <-c.release:
		return &order.Answer{Status: order.OK}
	case <-ctx.Done():
		return &order.Answer{Status: order.NoAnswer, Err: ctx.Err()}
	}
}

// On a single processor, the heartbeats of a leader waited for all calls of a burst, and it lost its leadership.
func TestBurstDelaysOthersByFewCalls(t *testing.T) {
	const burst, most = 1000, 100
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	client := &countingClient{release: make(chan struct{})}
	s := New(t.Context(), client, clockwork.NewRealClock(), func() {})
	for range burst {
		s.Send(&order.Call{Kind: order.Start, Wait: time.Minute})
	}
	var others sync.WaitGroup
	for range 2 { // of which the first goes to the end of the queue of goroutines that are ready
		others.Go(func() {})
	}
	others.Wait()
	if started := client.started.Load(); started > most {
		t.Errorf("others waited for the start of %d of %d calls", started, burst)
	}
	close(client.release)
	for answered := 0; answered < burst; answered += len(s.TakeAnswers()) {
		time.Sleep(time.Millisecond)
	}
	if queued := s.QueuedStarts(); queued != 0 {
		t.Errorf("%d calls are queued after all were answered", queued)
	}
}

// recordingClient records the calls in the order in which they start.
type recordingClient struct {
	mutex sync.Mutex
	calls []*order.Call
}

func (c *recordingClient) Call(_ context.Context, call *order.Call) *order.Answer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls = append(c.calls, call)
	return &order.Answer{Status: order.OK}
}

// Reserved room stood unused while the order to start there waited behind hundreds of polls and best-effort starts.
func TestUrgentCallOvertakesBurst(t *testing.T) {
	testOvertakesBurst(t, &order.Call{Kind: order.Start, Urgent: true}, order.Start, false)
}

// A poll behind thousands of urgent calls wasn't sent before its timeout, and nothing else renews the lease of a worker that
// gets only stops.
func TestPollOvertakesUrgentBurst(t *testing.T) {
	testOvertakesBurst(t, &order.Call{Kind: order.Poll}, order.Stop, true)
}

// testOvertakesBurst checks that few calls of a burst, of a kind and urgent or not, start before a call that is sent after them.
func testOvertakesBurst(t *testing.T, last *order.Call, others order.Kind, areUrgent bool) {
	const burst, most = 1000, 2 * callsPerTurn
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	client := &recordingClient{}
	s := New(t.Context(), client, clockwork.NewRealClock(), func() {})
	for range burst {
		s.Send(&order.Call{Kind: others, Urgent: areUrgent})
	}
	s.Send(last)
	for answered := 0; answered <= burst; answered += len(s.TakeAnswers()) {
		time.Sleep(time.Millisecond)
	}
	if before := slices.Index(client.calls, last); before < 0 || before > most {
		t.Errorf("%d of %d calls started before the last one, want at most %d", before, burst, most)
	}
	if queued := s.QueuedStarts(); queued != 0 {
		t.Errorf("%d calls are queued after all were answered", queued)
	}
}

// A call that was queued for as long as its timeout must not reach its worker: the dispatcher already takes it for unanswered.
func TestQueuedTimeCountsTowardsTimeout(t *testing.T) {
	client, clock := &countingClient{}, clockwork.NewFakeClock()
	s := New(t.Context(), client, clock, func() {})
	s.semaphore <- struct{}{}
	s.call(queuedCall{call: &order.Call{Kind: order.Start}, deadline: clock.Now()})
	if answers := s.TakeAnswers(); len(answers) != 1 || answers[0].Status != order.NoAnswer || !answers[0].Unstarted || client.started.Load() != 0 {
		t.Errorf("%d calls started, answers %v", client.started.Load(), answers)
	}
}

// endingClient answers each call with an end.
type endingClient struct{}

func (endingClient) Call(context.Context, *order.Call) *order.Answer {
	return &order.Answer{Status: order.OK, Ended: []order.Ended{{Number: 1}}}
}

// The control loop slept on when an urgent answer came after others that it hadn't taken yet.
func TestUrgentAnswerWakes(t *testing.T) {
	wakeups := make(chan struct{}, 10)
	s := New(t.Context(), endingClient{}, clockwork.NewRealClock(), func() { wakeups <- struct{}{} })
	for _, urgent := range []bool{false, true} {
		call := &order.Call{Kind: order.Poll}
		if urgent {
			call.ExpediteEnds()
		}
		s.Send(call)
		select {
		case <-wakeups:
		case <-time.After(5 * time.Second):
			t.Fatalf("no wakeup by an answer, urgent: %v", urgent)
		}
		if got := s.HasUrgent(); got != urgent {
			t.Errorf("an answer is urgent: %v, expected %v", got, urgent)
		}
	}
	if s.TakeAnswers(); s.HasUrgent() {
		t.Error("an answer is urgent after all were taken")
	}
}
