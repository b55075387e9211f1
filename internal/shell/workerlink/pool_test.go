package workerlink

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// server accepts connections, numbers them, and answers each request with the number of its connection.
type server struct {
	listener net.Listener
	address  netip.AddrPort
	accepted atomic.Int64
	handle   func(number int64, request *http.Request, w io.Writer) (goesOn bool)
}

func newServer(t *testing.T, handle func(number int64, request *http.Request, w io.Writer) bool) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &server{listener: listener, address: netip.MustParseAddrPort(listener.Addr().String()), handle: handle}
	go s.accept()
	return s
}

func (s *server) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(connection, s.accepted.Add(1))
	}
}

func (s *server) serve(connection net.Conn, number int64) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if !s.handle(number, request, connection) {
			return
		}
	}
}

func answerNumber(number int64, _ *http.Request, w io.Writer) bool {
	body := strconv.FormatInt(number, 10)
	_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	return err == nil
}

func newPool(clock clockwork.Clock) *Pool {
	return New((&net.Dialer{}).DialContext, clock)
}

func post(ctx context.Context, t *testing.T, address netip.AddrPort, size int) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/x", bytes.NewReader(make([]byte, size)))
	if err != nil {
		t.Fatal(err)
	}
	return request
}

func acquire(t *testing.T, pool *Pool, s *server, incarnation Incarnation) *Link {
	t.Helper()
	link, err := pool.Acquire(context.Background(), s.address, incarnation)
	if err != nil {
		t.Fatal(err)
	}
	return link
}

// expect sends a request over a link, and fails the test unless it is answered on the numbered connection.
func expect(t *testing.T, link *Link, s *server, want string) {
	t.Helper()
	status, body, err := link.Do(post(context.Background(), t, s.address, 10))
	if err != nil || status != http.StatusOK || string(body) != want {
		t.Errorf("status %d, body %q: %v, expected %q", status, body, err, want)
	}
}

// expectNotReused releases the first link to a server, and fails the test unless the next request is sent over a second connection.
func expectNotReused(t *testing.T, pool *Pool, s *server, first *Link) {
	t.Helper()
	pool.Release(first)
	second := acquire(t, pool, s, Incarnation{})
	expect(t, second, s, "2")
	pool.Release(second)
}

// A link must stay on its connection, and an idle one must be preferred to a new one, that of the wanted incarnation first.
func TestLinksAreReused(t *testing.T) {
	s := newServer(t, answerNumber)
	pool := newPool(clockwork.NewRealClock())
	first, second := acquire(t, pool, s, Incarnation{}), acquire(t, pool, s, Incarnation{})
	expect(t, first, s, "1")
	expect(t, second, s, "2")
	expect(t, first, s, "1")
	first.Identify(Incarnation{"v", 1})
	second.Identify(Incarnation{"w", 2})
	pool.Release(first)
	pool.Release(second)
	for _, incarnation := range []Incarnation{{"v", 1}, {"w", 2}, {"v", 1}} {
		link := acquire(t, pool, s, incarnation)
		expect(t, link, s, strconv.FormatInt(incarnation.StartMs, 10))
		pool.Release(link)
	}
}

// A call must not wait in vain on a link to an earlier incarnation that may have ended without notice.
func TestLinkToOtherIncarnationIsNotUsed(t *testing.T) {
	s := newServer(t, answerNumber)
	pool := newPool(clockwork.NewRealClock())
	link := acquire(t, pool, s, Incarnation{"w", 1})
	expect(t, link, s, "1")
	link.Identify(Incarnation{"w", 1})
	pool.Release(link)
	link = acquire(t, pool, s, Incarnation{"w", 2})
	expect(t, link, s, "2")
	pool.Release(link)
}

// A connection on which two incarnations have answered binds no call, and must not be used again.
func TestReroutedLinkIsNotReused(t *testing.T) {
	s := newServer(t, answerNumber)
	pool := newPool(clockwork.NewRealClock())
	link := acquire(t, pool, s, Incarnation{})
	expect(t, link, s, "1")
	if !link.Identify(Incarnation{"w", 1}) || !link.Identify(Incarnation{"w", 1}) || link.Identify(Incarnation{"w", 2}) {
		t.Error("the second incarnation isn't noticed, or the first one is taken for another")
	}
	expectNotReused(t, pool, s, link)
}

// A request must not be sent over an idle link that the worker has closed or has written to: it would count as one that may be carried out.
func TestClosedIdleLinkIsNotUsed(t *testing.T) {
	for name, unasked := range map[string]string{"closed": "", "unasked": "HTTP/1.1 408 Request Timeout\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, func(number int64, request *http.Request, w io.Writer) bool {
				answerNumber(number, request, w)
				if number == 1 {
					_, _ = io.WriteString(w, unasked)
				}
				return number > 1
			})
			pool := newPool(clockwork.NewRealClock())
			link := acquire(t, pool, s, Incarnation{})
			expect(t, link, s, "1")
			for end := time.Now().Add(5 * time.Second); link.isOpen() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			expectNotReused(t, pool, s, link)
		})
	}
}

// A link whose exchange has failed, or that the worker closes after it, must not be used again.
func TestBrokenLinkIsNotReused(t *testing.T) {
	for name, head := range map[string]string{"no response": "", "close": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "cut": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, func(number int64, request *http.Request, w io.Writer) bool {
				if number > 1 {
					return answerNumber(number, request, w)
				}
				_, _ = io.WriteString(w, head)
				return false
			})
			pool := newPool(clockwork.NewRealClock())
			link := acquire(t, pool, s, Incarnation{})
			_, _, err := link.Do(post(context.Background(), t, s.address, 10))
			if (err == nil) != (name == "close") {
				t.Errorf("got error %v", err)
			}
			expectNotReused(t, pool, s, link)
		})
	}
}

// A request must end with its context, and its link must not be used again: the response may still come.
func TestRequestEndsWithContext(t *testing.T) {
	s := newServer(t, func(number int64, request *http.Request, w io.Writer) bool {
		return number == 1 || answerNumber(number, request, w)
	})
	pool := newPool(clockwork.NewRealClock())
	link := acquire(t, pool, s, Incarnation{})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	if _, _, err := link.Do(post(ctx, t, s.address, 10)); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got error %v", err)
	}
	expectNotReused(t, pool, s, link)
}

// The links to an address are bounded, and a caller that waits for one must get the first that is released, or give up with its context.
func TestLinksAreBounded(t *testing.T) {
	s := newServer(t, answerNumber)
	pool := newPool(clockwork.NewRealClock())
	var links []*Link
	for range maxLinks {
		links = append(links, acquire(t, pool, s, Incarnation{}))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if _, err := pool.Acquire(ctx, s.address, Incarnation{}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got error %v", err)
	}
	acquired := make(chan *Link)
	go func() { acquired <- acquire(t, pool, s, Incarnation{}) }()
	expect(t, links[0], s, "1")
	pool.Release(links[0])
	links[0] = <-acquired
	expect(t, links[0], s, "1")
	for _, link := range links {
		pool.Release(link)
	}
	if host := pool.hosts[s.address]; len(host.idle) != maxIdle || host.users != 0 {
		t.Errorf("%d idle links and %d users, expected %d and none", len(host.idle), host.users, maxIdle)
	}
}

// Links to workers that are gone, or of a replica that leads no more, must not stay for ever.
func TestIdleLinksAreClosed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	pool := newPool(clock)
	s := newServer(t, answerNumber)
	link := acquire(t, pool, s, Incarnation{})
	pool.Release(link)
	clock.Advance(idleTimeout - time.Second)
	pool.sweep()
	if !link.isOpen() {
		t.Error("the link is closed too soon")
	}
	for end := time.Now().Add(5 * time.Second); pool.size() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		clock.Advance(sweepInterval)
	}
	if pool.size() > 0 || link.isOpen() {
		t.Errorf("links to %d addresses are kept, open: %v", pool.size(), link.isOpen())
	}
}

// size returns the number of addresses to which there are links or callers.
func (p *Pool) size() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.hosts)
}

// A response head may be preceded by informational ones, and a body may be longer than the buffers.
func TestLongBodyAfterInformationalResponse(t *testing.T) {
	body := strings.Repeat("x", 5*bufferBytes)
	s := newServer(t, func(_ int64, _ *http.Request, w io.Writer) bool {
		_, err := io.WriteString(w, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+
			strconv.FormatInt(int64(len(body)), 16)+"\r\n"+body+"\r\n0\r\n\r\n")
		return err == nil
	})
	pool := newPool(clockwork.NewRealClock())
	link := acquire(t, pool, s, Incarnation{})
	for range 2 {
		status, got, err := link.Do(post(context.Background(), t, s.address, 5*bufferBytes))
		if status != http.StatusOK || string(got) != body || err != nil {
			t.Errorf("status %d, %d bytes: %v", status, len(got), err)
		}
	}
	pool.Release(link)
	if s.accepted.Load() != 1 || len(pool.hosts[s.address].idle) != 1 {
		t.Error("the link wasn't reused")
	}
}
