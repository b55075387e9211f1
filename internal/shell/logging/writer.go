package logging

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queuedLines bounds the lines that wait for a slow reader: at 500 lines a second, some seconds.
	queuedLines = 4096
	// writeBytes is the length above which lines that wait aren't gathered for one write any more.
	writeBytes = 2 << 10
	// mostBytes bounds what is written in a second, and burstBytes what may be written at once after a quiet time. A leader
	// of 490 workers writes some 350 KB a second; a hundred machines that write more than this fill a disk within hours.
	mostBytes  = 1 << 20
	burstBytes = 4 << 20
	// noticeInterval is the time between two notices of lines that were dropped, which count for no volume.
	noticeInterval = time.Second
	// flushTimeout bounds the writing of the lines that wait at a stop.
	flushTimeout = 200 * time.Millisecond
)

// Writer writes lines from a goroutine of its own. It drops lines, and says how many, when the reader is too slow, so
// that logging never blocks, and when there are more than their volume allows.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	volume  *rate.Limiter
	done    chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a Writer. Close flushes it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{}), volume: rate.NewLimiter(mostBytes, burstBytes),
	}
	go w.run()
	return w
}

// Write queues a line.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.volume.AllowN(time.Now(), len(line)) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits, for a short time, and ends the goroutine. Nothing may be written after it.
func (w *Writer) Close() error {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
	return nil
}

// run writes lines, those that wait together at once.
func (w *Writer) run() {
	defer close(w.done)
	var told time.Time // when lost lines were told last
	for line := range w.lines {
		for more := len(line) < writeBytes; more; {
			select {
			case next, ok := <-w.lines:
				line = append(line, next...)
				more = ok && len(line) < writeBytes
			default:
				more = false
			}
		}
		if time.Since(told) >= noticeInterval {
			line = w.appendNotice(line)
			told = time.Now()
		}
		_, _ = w.out.Write(line) // there is nowhere to report a failure
	}
	_, _ = w.out.Write(w.appendNotice(nil))
}

// appendNotice appends a line that tells how many lines were dropped since the last one, if any were.
func (w *Writer) appendNotice(line []byte) []byte {
	dropped := w.dropped.Swap(0)
	if dropped == 0 {
		return line
	}
	return append(line, `{"Level":"warn","Message":"log lines dropped","Lines":`+strconv.FormatInt(dropped, 10)+"}\n"...)
}
