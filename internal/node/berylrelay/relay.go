package berylrelay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"github.com/rotisserie/eris"
)

const (
	// lenderRest keeps a lender that has failed from being asked again at once; lenders report their state four times a second.
	lenderRest = 500 * time.Millisecond
	// lenderTries bounds the lenders that one call asks.
	lenderTries = 2
	// lenderTimeout bounds a read through a lender, beyond the time that it may wait for changes: 50 times the usual 8 ms.
	lenderTimeout = 400 * time.Millisecond
	// defaultPatience is told to a lender by callers without a deadline.
	defaultPatience = time.Second
)

// Relay is a row store that is reached directly, or through other nodes while the store turns this one away.
//
// It answers for the load of a store that serves some nodes only: the scheduling node goes on instead of being replaced.
type Relay struct {
	Direct beryllatch.RowStore
	// Lenders returns the addresses of nodes that reach the store, the likeliest first.
	Lenders func() []string
	Client  *http.Client
	// Log takes a change of what the relay believes; nil logs nothing.
	Log func(name, subject, detail string)

	mu sync.Mutex
	// failing is true from a failed direct call to the next one that is answered.
	failing bool
	resting map[string]time.Time
}

// Commit implements beryllatch.RowStore.
func (r *Relay) Commit(ctx context.Context, tx beryllatch.RowTransaction) (int64, error) {
	if r.detour() {
		return r.commitThrough(ctx, tx)
	}
	return r.CommitDirectly(ctx, tx)
}

// CommitDirectly tries the store itself first, whatever earlier calls have found, and so notices that it serves this node
// again.
func (r *Relay) CommitDirectly(ctx context.Context, tx beryllatch.RowTransaction) (int64, error) {
	version, err := r.Direct.Commit(ctx, tx)
	r.note(ctx, err)
	var unavailable *beryllatch.UnavailableError
	if errors.As(err, &unavailable) && r.detour() {
		return r.commitThrough(ctx, tx)
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
	if !r.detour() {
		rows, version, err := readRows(ctx, r.Direct, q)
		r.note(ctx, err)
		var unavailable *beryllatch.UnavailableError
		if errors.As(err, &unavailable) && r.detour() {
			return r.readThrough(ctx, q)
		}
		return rows, version, err
	}
	rows, version, err := r.readThrough(ctx, q)
	var unavailable *beryllatch.UnavailableError
	if errors.As(err, &unavailable) {
		rows, version, err = readRows(ctx, r.Direct, q)
		r.note(ctx, err)
	}
	return rows, version, err
}

func (r *Relay) readThrough(ctx context.Context, q *berylwire.ReadRowsRequest) ([]beryllatch.DataRow, int64, error) {
	var rows []beryllatch.DataRow
	version := int64(0)
	err := r.through(ctx, func(c berylwire.Rows) error {
		wait := time.Duration(q.GetWaitMs())*time.Millisecond + lenderTimeout
		ctx, cancel := context.WithTimeout(ctx, wait)
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

func (r *Relay) commitThrough(ctx context.Context, tx beryllatch.RowTransaction) (int64, error) {
	version := int64(0)
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultPatience)
		defer cancel()
	}
	err := r.through(ctx, func(c berylwire.Rows) error {
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

// through makes a call by a lender, and by the next one while it surely had no effect.
func (r *Relay) through(ctx context.Context, call func(berylwire.Rows) error) error {
	err := error(&beryllatch.UnavailableError{Err: eris.New("no other node reaches the store")})
	for _, lender := range r.rested() {
		err = call(berylwire.NewRowsProtobufClient("http://"+lender, r.Client))
		var unavailable *beryllatch.UnavailableError
		var unknown *beryllatch.UnknownOutcomeError
		failed := errors.As(err, &unavailable)
		if (failed || errors.As(err, &unknown)) && ctx.Err() == nil {
			r.rest(lender)
		}
		if !failed || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// note takes what a direct call tells of the store.
func (r *Relay) note(ctx context.Context, err error) {
	var unavailable *beryllatch.UnavailableError
	var unknown *beryllatch.UnknownOutcomeError
	failed := errors.As(err, &unavailable) || errors.As(err, &unknown)
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		// The caller has given up; the store may be well.
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

// detour reports whether calls should take the way through another node.
func (r *Relay) detour() bool {
	r.mu.Lock()
	failing := r.failing
	r.mu.Unlock()
	return failing && len(r.rested()) > 0
}

// rested returns the lenders that have not failed lately.
func (r *Relay) rested() []string {
	if r.Lenders == nil {
		return nil
	}
	lenders := r.Lenders()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, l := range lenders {
		if time.Now().After(r.resting[l]) && len(out) < lenderTries {
			out = append(out, l)
		}
	}
	return out
}

func (r *Relay) rest(lender string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.resting == nil {
		r.resting = make(map[string]time.Time)
	}
	r.resting[lender] = time.Now().Add(lenderRest)
}
