package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is an io.Writer that blocks until start is closed.
type blockedWriter struct {
	start chan struct{}
	mutex sync.Mutex
	text  bytes.Buffer
}

func (b *blockedWriter) Write(data []byte) (int, error) {
	<-b.start
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(data)
}

// maxNoticeBytes is an upper bound of the length of a notice of dropped lines.
const maxNoticeBytes = 100

// TestRateLimit checks that the bytes written stay within the rate limit, so that excessive logging does not fill a disk,
// and that dropped lines are reported.
func TestRateLimit(t *testing.T) {
	out := &blockedWriter{start: make(chan struct{})}
	close(out.start)
	w := NewWriter(out)
	line := append(bytes.Repeat([]byte("x"), 999), '\n')
	const lines = 3 * burstBytes / 1000
	start := time.Now()
	for range lines {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
		if len(w.lines) > queueCapacity/2 {
			time.Sleep(time.Millisecond) // let the goroutine drain the queue, so that only the rate limit drops lines
		}
	}
	elapsed := time.Since(start)
	notices := (int(elapsed/noticeInterval) + 2) * maxNoticeBytes
	maxBytes := burstBytes + int(float64(maxBytesPerSecond)*elapsed.Seconds()) + 2*len(line) + notices
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	<-w.done
	if text := out.text.String(); len(text) > maxBytes || len(text) < burstBytes/2 || !strings.Contains(text, "log lines dropped") {
		t.Errorf("%d bytes were written, expected at most %d; dropped lines reported: %v, expected true", len(text), maxBytes, strings.Contains(text, "log lines dropped"))
	}
}

// TestSlowReader checks that writes to a blocked output neither block nor queue lines without bound, and that dropped lines
// are reported.
func TestSlowReader(t *testing.T) {
	out := &blockedWriter{start: make(chan struct{})}
	w := NewWriter(out)
	const lines = 3 * queueCapacity
	for range lines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(out.start)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	<-w.done
	text := out.text.String()
	if kept := strings.Count(text, "line\n"); kept < queueCapacity || kept >= lines || !strings.Contains(text, "log lines dropped") {
		t.Errorf("%d of %d lines were written, dropped lines reported: %v, expected true", kept, lines, strings.Contains(text, "log lines dropped"))
	}
}
