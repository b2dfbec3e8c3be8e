package berylrelay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylstall"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"github.com/rotisserie/eris"
)

const (
	// peerBackoff is how long a peer is not used after a failure. Peers report four times a second when the store last
	// answered them, and those with the latest answer are used first. So after this time, others are preferred to a
	// peer that has lost the store.
	peerBackoff = 500 * time.Millisecond
	// maxPeers bounds the peers that one call tries.
	maxPeers = 2
	// rowTimeout bounds the time until a peer answers a read of one row, and each pause in its answers: 50 times the usual 8 ms.
	rowTimeout = 400 * time.Millisecond
	// tableTimeout bounds the time until a peer answers a read of a table, on top of the time that it may wait for changes. The
	// peer has the whole answer of the store first, over its own link.
	tableTimeout = 1500 * time.Millisecond
	// transferTimeout bounds the transfer of an answer.
	transferTimeout = 8 * time.Second
	// defaultTimeout bounds a transaction through a peer for callers without a deadline.
	defaultTimeout = time.Second
)

// Relay is a row store that is reached directly, or through other nodes while the store refuses this one.
//
// A store that is short of capacity may refuse some nodes and serve others. With the relay, the scheduling node
// keeps its role in that case instead of being replaced.
type Relay struct {
	Direct beryllatch.RowStore
	// Peers returns the addresses of nodes that reach the store, the one with the most recent contact first.
	Peers  func() []string
	Client *http.Client
	// Log is called when the direct connection to the store fails or works again; nil logs nothing.
	Log func(name, subject, detail string)

	mu sync.Mutex
	// failing is true from a failed direct call until one is answered.
	failing bool
	// backoffUntil is when a peer that has failed may be used again, by address.
	backoffUntil map[string]time.Time
}

// Commit implements beryllatch.RowStore.
func (r *Relay) Commit(ctx context.Context, tx beryllatch.RowTransaction) (int64, error) {
	if r.usePeers() {
		return r.commitViaPeer(ctx, tx)
	}
	return r.CommitDirectly(ctx, tx)
}

// CommitDirectly tries the direct connection first even while it is failing, and so finds out when it works again.
func (r *Relay) CommitDirectly(ctx context.Context, tx beryllatch.RowTransaction) (int64, error) {
	version, err := r.Direct.Commit(ctx, tx)
	r.recordDirect(ctx, err)
	var unavailable *beryllatch.UnavailableError
	if errors.As(err, &unavailable) && r.usePeers() {
		return r.commitViaPeer(ctx, tx)
	}
	return version, err
}

// Rows implements beryllatch.RowStore.
func (r *Relay) Rows(ctx context.Context, table, part string) ([]beryllatch.DataRow, int64, error) {
	return r.read(ctx, &berylwire.ReadRowsRequest{Kind: berylwire.ReadKind_READ_KIND_PART, Table: table, Part: part})
}

// Row implements beryllatch.RowStore.
func (r *Relay) Row(ctx context.Context, table, part, key string) (beryllatch.DataRow, error) {
	rows, _, err := r.read(ctx, &berylwire.ReadRowsRequest{
		Kind: berylwire.ReadKind_READ_KIND_ROW, Table: table, Part: part, Key: key,
	})
	if err != nil {
		return beryllatch.DataRow{}, err
	}
	return rows[0], nil
}

// Changes implements beryllatch.RowStore.
func (r *Relay) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]beryllatch.DataRow, int64, error) {
	return r.read(ctx, &berylwire.ReadRowsRequest{
		Kind: berylwire.ReadKind_READ_KIND_CHANGES, Table: table, After: after, WaitMs: wait.Milliseconds(),
	})
}

func (r *Relay) read(ctx context.Context, q *berylwire.ReadRowsRequest) ([]beryllatch.DataRow, int64, error) {
	if !r.usePeers() {
		rows, version, err := readRows(ctx, r.Direct, q)
		r.recordDirect(ctx, err)
		var unavailable *beryllatch.UnavailableError
		if errors.As(err, &unavailable) && r.usePeers() {
			return r.readViaPeer(ctx, q)
		}
		return rows, version, err
	}
	rows, version, err := r.readViaPeer(ctx, q)
	var unavailable *beryllatch.UnavailableError
	if errors.As(err, &unavailable) {
		rows, version, err = readRows(ctx, r.Direct, q)
		r.recordDirect(ctx, err)
	}
	return rows, version, err
}

func (r *Relay) readViaPeer(ctx context.Context, q *berylwire.ReadRowsRequest) ([]beryllatch.DataRow, int64, error) {
	var rows []beryllatch.DataRow
	version := int64(0)
	err := r.viaPeer(ctx, func(c berylwire.Rows) error {
		first := rowTimeout
		if q.GetKind() != berylwire.ReadKind_READ_KIND_ROW {
			first = tableTimeout + time.Duration(q.GetWaitMs())*time.Millisecond
		}
		ctx, cancel := context.WithTimeout(berylstall.WithLimits(ctx, first, rowTimeout), first+transferTimeout)
		defer cancel()
		a, err := c.ReadRows(ctx, q)
		if err != nil {
			return &beryllatch.UnavailableError{Err: err}
		}
		rows, version = rowsOf(a.GetRows()), a.GetVersion()
		if q.GetKind() == berylwire.ReadKind_READ_KIND_ROW && len(rows) == 0 {
			rows = []beryllatch.DataRow{{Table: q.GetTable(), Part: q.GetPart(), Key: q.GetKey()}}
		}
		return outcomeError(a.GetOutcome(), a.GetDetail(), q.GetTable(), nil)
	})
	return rows, version, err
}

func (r *Relay) commitViaPeer(ctx context.Context, tx beryllatch.RowTransaction) (int64, error) {
	version := int64(0)
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	err := r.viaPeer(ctx, func(c berylwire.Rows) error {
		a, err := c.CommitRows(ctx, commitRequest(ctx, tx))
		var op *net.OpError
		switch {
		case errors.As(err, &op) && op.Op == "dial":
			return &beryllatch.UnavailableError{Err: err}
		case err != nil:
			return &beryllatch.UnknownOutcomeError{Err: err}
		}
		version = a.GetVersion()
		return outcomeError(a.GetOutcome(), a.GetDetail(), "", rowsOf(a.GetRows()))
	})
	return version, err
}

// viaPeer makes a call through a peer. If the call certainly had no effect, it is repeated through the next peer.
func (r *Relay) viaPeer(ctx context.Context, call func(berylwire.Rows) error) error {
	err := error(&beryllatch.UnavailableError{Err: eris.New("no other node reaches the store")})
	for _, peer := range r.availablePeers() {
		err = call(berylwire.NewRowsProtobufClient("http://"+peer, r.Client))
		var unavailable *beryllatch.UnavailableError
		var unknown *beryllatch.UnknownOutcomeError
		failed := errors.As(err, &unavailable)
		if (failed || errors.As(err, &unknown)) && ctx.Err() == nil {
			r.backOff(peer)
		}
		if !failed || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// recordDirect records the outcome of a direct call.
func (r *Relay) recordDirect(ctx context.Context, err error) {
	var unavailable *beryllatch.UnavailableError
	var unknown *beryllatch.UnknownOutcomeError
	failed := errors.As(err, &unavailable) || errors.As(err, &unknown)
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		// The caller has given up; that says nothing about the store.
		return
	}
	r.mu.Lock()
	changed := failed != r.failing
	r.failing = failed
	r.mu.Unlock()
	if !changed || r.Log == nil {
		return
	}
	if failed {
		r.Log("store_way_lost", "store", err.Error())
	} else {
		r.Log("store_way_regained", "store", "")
	}
}

// usePeers reports whether calls should go through a peer: direct ones fail and a peer is available.
func (r *Relay) usePeers() bool {
	r.mu.Lock()
	failing := r.failing
	r.mu.Unlock()
	return failing && len(r.availablePeers()) > 0
}

// availablePeers returns up to maxPeers peers that have not failed lately.
func (r *Relay) availablePeers() []string {
	if r.Peers == nil {
		return nil
	}
	peers := r.Peers()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, p := range peers {
		if time.Now().After(r.backoffUntil[p]) && len(out) < maxPeers {
			out = append(out, p)
		}
	}
	return out
}

func (r *Relay) backOff(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.backoffUntil == nil {
		r.backoffUntil = make(map[string]time.Time)
	}
	r.backoffUntil[peer] = time.Now().Add(peerBackoff)
}
