// Package connlimit bounds the connections of a listener. At the bound, a new connection replaces the one that has been idle for the longest
// time, or else a request whose body doesn't arrive; requests in progress that keep their pace are never cut.
package connlimit

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// stallTime is the time without a byte of an expected body after which a connection may be replaced.
	stallTime = 3 * time.Second
	// writeStep is the number of bytes that a client has to accept within WriteTimeout.
	writeStep = 64 << 10
)

// Reasons of Options.Refused.
const (
	refusedReplaced = "ConnectionReplaced" // an idle or stalled connection
	refusedBusy     = "ConnectionRefused"  // a new connection, as all others are busy
)

// Options configure a Listener.
type Options struct {
	Bound        int                 // number of connections; 0 means unlimited
	WriteTimeout time.Duration       // time in which a client accepts 64 KiB; 0 means unlimited
	BusyOnRead   bool                // a connection is busy from its first byte on, as the protocol tells nothing of its requests
	Refused      func(reason string) // counts closed connections
	Clock        clockwork.Clock
}

// phase is what a connection waits for.
type phase int

const (
	phaseIdle phase = iota // a request, or the rest of its headers
	phaseBody              // the rest of a body
	phaseBusy              // the answer
	phaseCount
)

// Listener accepts connections of another listener up to a bound.
type Listener struct {
	net.Listener
	options Options

	mutex sync.Mutex
	// phases hold the connections in the order in which they entered the phase or, for bodies, received their last bytes.
	phases [phaseCount]list.List
}

// New returns a Listener on top of another one.
func New(inner net.Listener, options Options) *Listener {
	return &Listener{Listener: inner, options: options}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(accepted); c != nil {
			return c, nil
		}
		l.options.Refused(refusedBusy)
		_ = accepted.Close()
	}
}

// admit returns the connection to serve, or nil if there is no place for it.
func (l *Listener) admit(accepted net.Conn) *conn {
	replaced, admitted := l.replace()
	if replaced != nil {
		l.options.Refused(refusedReplaced)
		_ = replaced.Close()
	}
	if !admitted {
		return nil
	}
	c := &conn{Conn: accepted, listener: l}
	c.enter(phaseIdle)
	return c
}

// replace returns the connection that has to be closed for another one, or nil, and whether there is a place for another one.
func (l *Listener) replace() (replaced *conn, admitted bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	open := 0
	for n := range l.phases {
		open += l.phases[n].Len()
	}
	if l.options.Bound == 0 || open < l.options.Bound {
		return nil, true
	}
	if oldest := l.phases[phaseIdle].Front(); oldest != nil {
		return oldest.Value.(*conn), true
	}
	if oldest := l.phases[phaseBody].Front(); oldest != nil && l.options.Clock.Since(oldest.Value.(*conn).since) > stallTime {
		return oldest.Value.(*conn), true
	}
	return nil, false
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	wasRead  atomic.Bool // used with Options.BusyOnRead

	// The mutex of the listener guards the fields below.
	element *list.Element // nil before the first phase
	phase   phase
	since   time.Time // start of the phase, or of the last bytes of a body
	closed  bool
}

// enter moves the connection to the end of a phase.
func (c *conn) enter(p phase) {
	l := c.listener
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if c.closed {
		return
	}
	c.since = l.options.Clock.Now()
	if c.element != nil && c.phase == p {
		l.phases[p].MoveToBack(c.element)
		return
	}
	if c.element != nil {
		l.phases[c.phase].Remove(c.element)
	}
	c.element, c.phase = l.phases[p].PushBack(c), p
}

// Idle tells that the connection waits for its next request.
func (c *conn) Idle() { c.enter(phaseIdle) }

// AwaitBody tells that bytes of a body have arrived and others are expected.
func (c *conn) AwaitBody() { c.enter(phaseBody) }

// Busy tells that the connection waits for its answer.
func (c *conn) Busy() { c.enter(phaseBusy) }

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && c.listener.options.BusyOnRead && c.wasRead.CompareAndSwap(false, true) {
		c.Busy()
	}
	return n, err
}

// Write implements net.Conn. It fails if the client accepts less than writeStep bytes within the timeout.
func (c *conn) Write(data []byte) (written int, err error) {
	timeout := c.listener.options.WriteTimeout
	if timeout == 0 {
		return c.Conn.Write(data)
	}
	for {
		step := min(len(data)-written, writeStep)
		if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(data[written : written+step])
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// CloseWrite sends the end of the stream, so that a client that still sends receives the last answer before the connection is reset.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	l := c.listener
	l.mutex.Lock()
	if !c.closed && c.element != nil {
		l.phases[c.phase].Remove(c.element)
	}
	c.closed = true
	l.mutex.Unlock()
	return c.Conn.Close()
}
