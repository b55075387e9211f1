package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blocked is a reader of logs that doesn't read until it is told to.
type blocked struct {
	start chan struct{}
	mutex sync.Mutex
	text  bytes.Buffer
}

func (b *blocked) Write(data []byte) (int, error) {
	<-b.start
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(data)
}

// Logging must not block when nobody reads, must not grow without bound, and must tell what it dropped.
func TestSlowReader(t *testing.T) {
	out := &blocked{start: make(chan struct{})}
	w := NewWriter(out)
	const lines = 3 * queuedLines
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
	if kept := strings.Count(text, "line\n"); kept < queuedLines || kept >= lines || !strings.Contains(text, "log lines dropped") {
		t.Errorf("%d of %d lines were kept, dropped lines told: %v", kept, lines, strings.Contains(text, "log lines dropped"))
	}
}
