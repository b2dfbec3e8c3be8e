package berylentry

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// A reader of the log that has stopped reading must not block the scheduling.
func TestLogBufferNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	b := &LogBuffer{Out: out}
	line := bytes.Repeat([]byte("x"), 1024)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxBuffered / len(line) {
			_, err := b.Write(line)
			assert.Check(t, err)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write has blocked")
	}
	assert.Assert(t, b.Dropped() > 0)
	close(out.release)
	b.Flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	assert.Assert(t, out.written.Len() > 0)
}
