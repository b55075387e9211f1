package logging

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueCapacity is the capacity of the queue of lines to write. At 500 lines per second it holds several seconds.
	queueCapacity = 4096
	// batchBytes is the size in bytes from which a batch of queued lines is written out.
	batchBytes = 2 << 10
	// maxBytesPerSecond is the rate limit, and burstBytes the burst allowed after a period below it. A leader of 490 workers
	// writes about 350 KB per second. A hundred machines that write more than the limit fill a disk within hours.
	maxBytesPerSecond = 1 << 20
	burstBytes        = 4 << 20
	// noticeInterval is the minimum interval between notices of dropped lines. Notices are not rate-limited.
	noticeInterval = time.Second
	// flushTimeout bounds the wait for queued lines to be written when the writer is closed.
	flushTimeout = 200 * time.Millisecond
)

// Writer writes lines asynchronously, so that logging never blocks. It drops lines when the underlying writer is too slow
// or the rate limit is exceeded, and logs the number of dropped lines.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	done    chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a Writer to out and starts its goroutine. Close flushes it and ends the goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{}), limiter: rate.NewLimiter(maxBytesPerSecond, burstBytes),
	}
	go w.run()
	return w
}

// Write queues a line, or drops it. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.AllowN(time.Now(), len(line)) {
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

// Close waits for queued lines to be written, up to a timeout, and ends the goroutine. Write must not be called afterwards.
func (w *Writer) Close() error {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
	return nil
}

// run writes queued lines in batches.
func (w *Writer) run() {
	defer close(w.done)
	var lastNotice time.Time // time of the last notice
	for line := range w.lines {
		for batching := len(line) < batchBytes; batching; {
			select {
			case next, ok := <-w.lines:
				line = append(line, next...)
				batching = ok && len(line) < batchBytes
			default:
				batching = false
			}
		}
		if time.Since(lastNotice) >= noticeInterval {
			line = w.appendNotice(line)
			lastNotice = time.Now()
		}
		_, _ = w.out.Write(line) // a failure of the log output cannot be logged
	}
	_, _ = w.out.Write(w.appendNotice(nil))
}

// appendNotice appends a line with the number of lines dropped since the last notice, if there are any.
func (w *Writer) appendNotice(line []byte) []byte {
	dropped := w.dropped.Swap(0)
	if dropped == 0 {
		return line
	}
	return append(line, `{"Level":"warn","Message":"log lines dropped","Lines":`+strconv.FormatInt(dropped, 10)+"}\n"...)
}
