package rig

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file record.txt of a case.
type Record struct {
	mu     sync.Mutex
	began  time.Time
	file   *os.File
	broken []string
	// skipped counts the lines beyond maxLines.
	lines, skipped int
}

const maxLines = 4000

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{began: time.Now(), file: f}, err
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lines++; r.lines > maxLines {
		r.skipped++
		return
	}
	r.write(fmt.Sprintf(format, args...))
}

func (r *Record) write(text string) {
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), text)
}

// Break records that a rule was broken; only the first twenty are written.
func (r *Record) Break(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
	if len(r.broken) <= 20 {
		r.write("RULE BROKEN: " + r.broken[len(r.broken)-1])
	}
}

// Broken returns how often a rule was broken.
func (r *Record) Broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}

// Close writes the result and returns the exit status: 1 if a rule was broken, else 0.
func (r *Record) Close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.skipped > 0 {
		r.write(fmt.Sprintf("%d further lines are left out", r.skipped))
	}
	status := 0
	if len(r.broken) > 0 {
		status = 1
	}
	r.write(fmt.Sprintf("rule broken %d times", len(r.broken)))
	_ = r.file.Close()
	return status
}
