package berylentry

import (
	"io"
	"sync"
	"time"
)

const (
	// flushInterval is how long a log line may stay in the process.
	flushInterval = 50 * time.Millisecond
	// maxBuffered bounds the bytes of lines that wait for a slow reader of the log; further lines are dropped.
	maxBuffered = 512 << 10
)

// LogBuffer writes log lines in batches and never makes its callers wait for the reader of the log.
type LogBuffer struct {
	Out io.Writer

	mu      sync.Mutex
	lines   []byte
	dropped int64
	started bool
	// writeMu is held while lines are written to Out, so that they stay in order.
	writeMu sync.Mutex
}

// Write keeps a line until the next flush, or drops it when the buffer is full. It never fails.
func (b *LogBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.started {
		b.started = true
		go b.flushPeriodically()
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

// Flush writes the waiting lines to Out.
func (b *LogBuffer) Flush() {
	b.writeMu.Lock()
	defer b.writeMu.Unlock()
	b.mu.Lock()
	lines := b.lines
	b.lines = nil
	b.mu.Unlock()
	if len(lines) > 0 {
		// An error could be reported only to the log, which is what has failed.
		_, _ = b.Out.Write(lines)
	}
}

func (b *LogBuffer) flushPeriodically() {
	for {
		time.Sleep(flushInterval)
		b.Flush()
	}
}
