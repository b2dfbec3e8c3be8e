package berylrelay

import (
	"context"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// Pulse is how the store answers a small read.
type Pulse int

const (
	// PulseNone means that no read was answered.
	PulseNone Pulse = iota
	// PulseSlow means that the store works, but takes many times its usual time.
	PulseSlow
	// PulseFast means that the store works as usual.
	PulseFast
)

const (
	// pulseFast is the most that a read takes at a store that is not slow: ten times the usual 5 ms.
	pulseFast = 50 * time.Millisecond
	// pulseTimeout covers reads that take 100 times as long.
	pulseTimeout = 500 * time.Millisecond
)

// Pulse reads a row directly and through a lender, and returns how the store answers on the faster way. It tells an answer
// that was lost from one that is slow.
func (r *Relay) Pulse(ctx context.Context, table, part, key string) Pulse {
	ctx, cancel := context.WithTimeout(ctx, pulseTimeout)
	defer cancel()
	q := &berylwire.ReadRowsRequest{Kind: berylwire.ReadKind_READ_KIND_ROW, Table: table, Part: part, Key: key}
	answers := make(chan bool, 2)
	sent := time.Now()
	go func() {
		_, _, err := readRows(ctx, r.Direct, q)
		answers <- err == nil
	}()
	go func() {
		_, _, err := r.readThrough(ctx, q)
		answers <- err == nil
	}()
	for range cap(answers) {
		if !<-answers {
			continue
		}
		if time.Since(sent) <= pulseFast {
			return PulseFast
		}
		return PulseSlow
	}
	return PulseNone
}

// Lost notes that a direct call was given up although the store is well: the way to it may be silent.
func (r *Relay) Lost(err error) { r.note(context.Background(), &beryllatch.UnavailableError{Err: err}) }
