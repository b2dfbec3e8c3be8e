package berylentry

import (
	"io"
	"sync"
	"time"
)

const (
	// flushInterval is how long a log line may stay in the process.
	flushInterval = 50 * time.Millisecond
	// maxBuffered bounds the lines that wait for a slow reader of the log; further ones are dropped.
	maxBuffered = 512 << 10
)

// LogBuffer writes log lines in batches and never makes its callers wait for the reader of the log.
type LogBuffer struct {
	Out io.Writer

	mu      sync.Mutex
	lines   []byte
	dropped int64
	started bool
	// writing is held while lines are handed to Out.
	writing sync.Mutex
}

// Write keeps a line until the next flush; beyond the bound it drops the line.
func (b *LogBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.started {
		b.started = true
		go b.flushAlways()
	}
	if len(b.lines)+len(p) > maxBuffered {
		b.dropped++
		return len(p), nil
	}
	b.lines = append(b.lines, p...)
	return len(p), nil
}

// Dropped returns how many lines were dropped so far.
func (b *LogBuffer) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// Flush hands the waiting lines to Out.
func (b *LogBuffer) Flush() {
	b.writing.Lock()
	defer b.writing.Unlock()
	b.mu.Lock()
	lines := b.lines
	b.lines = nil
	b.mu.Unlock()
	if len(lines) > 0 {
		// There is no other place to tell that the log cannot be written.
		_, _ = b.Out.Write(lines)
	}
}

func (b *LogBuffer) flushAlways() {
	for {
		time.Sleep(flushInterval)
		b.Flush()
	}
}
