package connlimit

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestReplacedConnections guards against a crowd that keeps others out, and against one that cuts requests in progress.
func TestReplacedConnections(t *testing.T) {
	clock := clockwork.NewFakeClock()
	refused := map[string]int{}
	l := New(nil, Options{Bound: 3, Clock: clock, Refused: func(reason string) { refused[reason]++ }})
	admit := func() *conn {
		near, _ := net.Pipe()
		return l.admit(near)
	}
	busy, answered, unused := admit(), admit(), admit()
	busy.Busy()
	answered.Busy()
	answered.Idle()
	fourth := admit() // replaces the one that was idle longest
	if fourth == nil || !unused.closed || answered.closed || busy.closed {
		t.Fatal("expected the unused connection to be replaced")
	}
	fourth.AwaitBody()
	answered.Busy()
	clock.Advance(stallTime)
	if admit() != nil {
		t.Fatal("a connection was admitted, although all others are busy or receive a body")
	}
	clock.Advance(time.Millisecond)
	if admit() == nil || !fourth.closed || busy.closed || answered.closed {
		t.Fatal("expected the connection whose body doesn't arrive to be replaced")
	}
	if refused[refusedReplaced] != 2 || refused[refusedBusy] != 0 {
		t.Errorf("counted %v", refused)
	}
	_ = busy.Close()
	if admit() == nil {
		t.Error("a closed connection still counts")
	}
}

// TestSlowReader guards against a client that never reads its answer and holds it.
func TestSlowReader(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := New(nil, Options{WriteTimeout: 10 * time.Millisecond, Clock: clockwork.NewRealClock()}).admit(near)
	if n, err := c.Write(make([]byte, writeStep+1)); err == nil || n != 0 {
		t.Errorf("wrote %d bytes to a client that reads none, error %v", n, err)
	}
}
