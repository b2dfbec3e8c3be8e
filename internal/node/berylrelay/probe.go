package berylrelay

import (
	"context"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// StoreSpeed is how fast the store answers a small read.
type StoreSpeed int

const (
	// StoreNoAnswer means that no read was answered.
	StoreNoAnswer StoreSpeed = iota
	// StoreSlow means that the store works, but takes many times its usual time.
	StoreSlow
	// StoreFast means that the store answers in its usual time.
	StoreFast
)

const (
	// fastRead is the longest time of a read that counts as fast: ten times the usual 5 ms.
	fastRead = 50 * time.Millisecond
	// probeTimeout covers reads that take 100 times as long as usual.
	probeTimeout = 500 * time.Millisecond
)

// ProbeStore reads a row directly and through a peer at the same time, and returns how fast the first answer came. A
// caller that waits for another answer of the store learns from it whether that answer is slow or lost.
func (r *Relay) ProbeStore(ctx context.Context, table, part, key string) StoreSpeed {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	q := &berylwire.ReadRowsRequest{Kind: berylwire.ReadKind_READ_KIND_ROW, Table: table, Part: part, Key: key}
	answers := make(chan bool, 2)
	sent := time.Now()
	go func() {
		_, _, err := readRows(ctx, r.Direct, q)
		answers <- err == nil
	}()
	go func() {
		_, _, err := r.readViaPeer(ctx, q)
		answers <- err == nil
	}()
	for range cap(answers) {
		if !<-answers {
			continue
		}
		if time.Since(sent) <= fastRead {
			return StoreFast
		}
		return StoreSlow
	}
	return StoreNoAnswer
}

// MarkUnreachable records that a direct call was given up although the store works: the connection to it may be broken.
// Calls go through peers until a direct one is answered again.
func (r *Relay) MarkUnreachable(err error) {
	r.recordDirect(context.Background(), &beryllatch.UnavailableError{Err: err})
}
