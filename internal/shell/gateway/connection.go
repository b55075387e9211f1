package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

const (
	dialTimeout = time.Second
	// maxHeadBytes limits the status line and headers of a response.
	maxHeadBytes = 64 << 10
	// maxInformational limits the number of 1xx responses before the final response.
	maxInformational = 4
	readBufferSize   = 4 << 10
)

// connection is an HTTP/1.1 connection to an endpoint. The goroutine that handles the call reads and writes it directly.
type connection struct {
	conn          net.Conn
	raw           syscall.RawConn       // nil if conn isn't a TCP connection
	probe         func(fd uintptr) bool // non-blocking read for idleAlive; sets probeAlive
	probeAlive    bool                  // result of probe
	limitedReader io.LimitedReader
	reader        *bufio.Reader
	reusable      bool      // the last response allows another request
	idleSince     time.Time // by Gateway.Clock
	index         int       // in service.active
	closed        atomic.Bool
}

func dial(ctx context.Context, address netip.AddrPort, deadline time.Time) (*connection, error) {
	d := net.Dialer{Timeout: dialTimeout, Deadline: deadline}
	conn, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dial endpoint %v", address)
	}
	c := &connection{conn: conn}
	c.limitedReader.R = conn
	c.reader = bufio.NewReaderSize(&c.limitedReader, readBufferSize)
	if tcp, ok := conn.(*net.TCPConn); ok {
		if c.raw, err = tcp.SyscallConn(); err != nil {
			_ = conn.Close()
			return nil, trace.ConnectionProblem(err, "get raw connection to %v", address)
		}
	}
	c.probe = func(fd uintptr) bool {
		var b [1]byte
		_, err := unix.Read(int(fd), b[:])
		c.probeAlive = errors.Is(err, unix.EAGAIN)
		return true
	}
	return c, nil
}

func (c *connection) close() {
	if c.closed.CompareAndSwap(false, true) {
		_ = c.conn.Close()
	}
}

// idleAlive reports whether an idle connection is open and has no unread data. Data that arrived without a request can't
// be matched to a call, so such a connection must not be reused.
func (c *connection) idleAlive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	c.probeAlive = false
	err := c.raw.Read(c.probe)
	return err == nil && c.probeAlive
}

// response is an endpoint's complete response.
type response struct {
	status       int
	header       http.Header
	body         []byte
	pooledBuffer *[]byte
}

// release returns the buffer of the body to the pool. The body must not be used afterwards.
func (r *response) release() {
	if r.pooledBuffer != nil {
		bufferPool.Put(r.pooledBuffer)
		r.pooledBuffer = nil
	}
}

// bufferPool holds buffers of pooledBufferSize for small bodies.
var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, 0, pooledBufferSize)
	return &b
}}

const pooledBufferSize = 16 << 10

// getBuffer returns a buffer of n bytes and, if it is from bufferPool, the pointer to put back.
func getBuffer(n int) ([]byte, *[]byte) {
	if n > pooledBufferSize {
		return make([]byte, n), nil
	}
	p := bufferPool.Get().(*[]byte)
	return (*p)[:n], p
}

// send writes the request head and body. If it fails with written == 0, the request wasn't dispatched.
func (c *connection) send(head, body []byte, deadline time.Time) (written int64, err error) {
	c.reusable = false
	if err := c.conn.SetDeadline(deadline); err != nil {
		return 0, trace.ConnectionProblem(err, "set connection deadline")
	}
	if len(body) == 0 {
		n, err := c.conn.Write(head)
		return int64(n), trace.Wrap(err)
	}
	if cap(head)-len(head) >= len(body) {
		n, err := c.conn.Write(append(head, body...))
		return int64(n), trace.Wrap(err)
	}
	parts := net.Buffers{head, body}
	n, err := parts.WriteTo(c.conn)
	return n, trace.Wrap(err)
}

// awaitResponse waits for the first byte of the response. It consumes nothing and can be called again after a timeout.
func (c *connection) awaitResponse(deadline time.Time) error {
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return trace.ConnectionProblem(err, "set connection deadline")
	}
	c.limitedReader.N = maxHeadBytes
	_, err := c.reader.Peek(1)
	return err
}

// readResponse reads the response. It returns an error unless the response is complete and has the dispatch ID.
func (c *connection) readResponse(dispatchID string) (*response, error) {
	head, err := c.readHead()
	if err != nil {
		return nil, trace.Wrap(err, "read response head")
	}
	if got := head.Header[headerDispatch]; len(got) != 1 || got[0] != dispatchID {
		return nil, trace.BadParameter("response has dispatch ID %q, expected %q", got, dispatchID)
	}
	if len(head.TransferEncoding) > 0 || head.ContentLength < 0 {
		return nil, trace.BadParameter("response has no Content-Length")
	}
	if head.ContentLength > MaxBodyBytes {
		return nil, trace.LimitExceeded("response body has %d bytes, expected at most %d", head.ContentLength, MaxBodyBytes)
	}
	resp := &response{status: head.StatusCode, header: head.Header}
	resp.body, resp.pooledBuffer = getBuffer(int(head.ContentLength))
	c.limitedReader.N = head.ContentLength
	if _, err := io.ReadFull(c.reader, resp.body); err != nil {
		resp.release()
		return nil, trace.Wrap(err, "read response body")
	}
	c.reusable = !head.Close && c.reader.Buffered() == 0
	return resp, nil
}

func (c *connection) readHead() (*http.Response, error) {
	for range maxInformational + 1 {
		head, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, trace.BadParameter("expected a final response, found only informational ones or a protocol switch")
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// unforwardedHeaders holds the headers that are not forwarded: hop-by-hop headers, and those that the gateway sets itself.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true,
	"Expect": true, headerDispatch: true, headerDeadline: true, headerOutcome: true, headerReason: true,
}

// listedInConnection reports whether the Connection header values name the given header, which makes it hop-by-hop.
func listedInConnection(connection []string, name string) bool {
	for _, value := range connection {
		for item := range strings.SplitSeq(value, ",") {
			if http.CanonicalHeaderKey(strings.TrimSpace(item)) == name {
				return true
			}
		}
	}
	return false
}

// appendRequestHead appends the request line and headers of the request to an endpoint.
func appendRequestHead(b []byte, r *http.Request, address, dispatchID string, remaining time.Duration, length int) []byte {
	b = append(b, "POST "...)
	if strings.HasPrefix(r.RequestURI, "/") {
		b = append(b, r.RequestURI...)
	} else {
		b = append(b, r.URL.RequestURI()...)
	}
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, address...)
	b = append(b, "\r\n"+headerDispatch+": "...)
	b = append(b, dispatchID...)
	b = append(b, "\r\n"+headerDeadline+": "...)
	b = append(b, remaining.String()...)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(length), 10)
	connectionHeader := r.Header["Connection"]
	for name, values := range r.Header {
		if unforwardedHeaders[name] || (connectionHeader != nil && listedInConnection(connectionHeader, name)) {
			continue
		}
		for _, value := range values {
			b = append(b, "\r\n"...)
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
		}
	}
	return append(b, "\r\n\r\n"...)
}
