package workerlink

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"
)

const (
	// bufferBytes is the size of a link's read and write buffers, in bytes. It is small because a leader has thousands of links; most
	// requests and replies fit.
	bufferBytes = 2 << 10

	// maxReplyBytes bounds the body of a reply, in bytes.
	maxReplyBytes = 8 << 20
)

// Incarnation identifies one life of a worker. A worker that restarts may keep its ID.
type Incarnation struct {
	ID      string
	StartMs int64 // in Unix milliseconds
}

// Link is one connection to a worker.
type Link struct {
	incarnation Incarnation // as identified; the zero value before that
	rerouted    bool        // answers on this connection have come from two incarnations

	connection net.Conn
	reader     *bufio.Reader
	writer     *bufio.Writer
	address    netip.AddrPort
	host       *host
	idleSince  time.Time
	broken     bool // it can't be used again
}

func newLink(connection net.Conn, address netip.AddrPort, h *host) *Link {
	return &Link{
		connection: connection, reader: bufio.NewReaderSize(connection, bufferBytes), writer: bufio.NewWriterSize(connection, bufferBytes),
		address: address, host: h,
	}
}

// Incarnation returns the incarnation that has answered on the link, or the zero value if it isn't known.
func (l *Link) Incarnation() Incarnation { return l.incarnation }

// Identify notes which incarnation has answered on the link. It returns false if another one has answered before, as behind a proxy that
// forwards each request by itself: the link isn't used again then.
func (l *Link) Identify(incarnation Incarnation) bool {
	l.rerouted = l.rerouted || l.incarnation != (Incarnation{}) && l.incarnation != incarnation
	l.incarnation = incarnation
	return !l.rerouted
}

// Do sends a request and returns the status and the body of the response. After an error, the request may have been carried out.
func (l *Link) Do(request *http.Request) (status int, body []byte, err error) {
	l.broken = true // unless the exchange completes
	ctx := request.Context()
	stop := context.AfterFunc(ctx, func() { _ = l.connection.SetDeadline(time.Unix(1, 0)) })
	response, body, err := l.exchange(request)
	isDone := !stop()
	switch {
	case err != nil && ctx.Err() != nil:
		return 0, nil, fmt.Errorf("%w (%w)", ctx.Err(), err)
	case err != nil:
		return 0, nil, err
	}
	l.broken = isDone || response.Close || l.reader.Buffered() > 0
	return response.StatusCode, body, nil
}

// exchange writes a request and reads the whole response.
func (l *Link) exchange(request *http.Request) (*http.Response, []byte, error) {
	if err := request.Write(l.writer); err != nil {
		return nil, nil, err
	}
	if err := l.writer.Flush(); err != nil {
		return nil, nil, err
	}
	response, err := l.readResponse(request)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return nil, nil, err
	}
	if len(body) > maxReplyBytes {
		return nil, nil, fmt.Errorf("the reply is longer than %d bytes", maxReplyBytes)
	}
	return response, body, nil
}

// readResponse reads the head of the final response to a request.
func (l *Link) readResponse(request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(l.reader, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// leadsToOther reports whether the link is known to lead to another incarnation with the same ID. That one may have ended without notice, and
// each call would wait for it in vain.
func (l *Link) leadsToOther(incarnation Incarnation) bool {
	return l.incarnation.ID == incarnation.ID && l.incarnation.StartMs != 0 && incarnation.StartMs != 0 && l.incarnation.StartMs != incarnation.StartMs
}

// isOpen reports whether an idle link can be used: its worker hasn't closed it, nor sent anything without being asked.
func (l *Link) isOpen() bool {
	conn, ok := l.connection.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, readErr = syscall.Read(int(fd), buffer[:])
		return true
	})
	return err == nil && readErr == syscall.EAGAIN
}

func (l *Link) close() { _ = l.connection.Close() }
