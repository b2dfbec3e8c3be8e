package berylrelay

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
)

// scriptedStore answers every call with the same error, and counts the calls.
type scriptedStore struct {
	err   error
	calls int
}

func (s *scriptedStore) Commit(context.Context, beryllatch.RowTransaction) (int64, error) {
	s.calls++
	return 7, s.err
}

func (s *scriptedStore) Rows(context.Context, string, string) ([]beryllatch.DataRow, int64, error) {
	s.calls++
	return []beryllatch.DataRow{{Key: "a", Version: 3}, {Key: "b", Version: 4}}, 9, s.err
}

func (s *scriptedStore) Row(_ context.Context, table, part, key string) (beryllatch.DataRow, error) {
	s.calls++
	return beryllatch.DataRow{Table: table, Part: part, Key: key, Version: 3, Value: []byte("v")}, s.err
}

func (s *scriptedStore) Changes(context.Context, string, int64, time.Duration) ([]beryllatch.DataRow, int64, error) {
	s.calls++
	return []beryllatch.DataRow{{Key: "a", Deleted: true}}, 10, s.err
}

// network carries calls to the lenders' servers by host.
type network map[string]*scriptedStore

func (n network) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	berylwire.NewRowsServer(Server{Store: n[r.URL.Host]}).ServeHTTP(w, r)
	return w.Result(), nil
}

var (
	errUnavailable = &beryllatch.UnavailableError{Err: eris.New("503")}
	errUnknown     = &beryllatch.UnknownOutcomeError{Err: eris.New("no answer")}
	errConflict    = &beryllatch.RowConflictError{Rows: []beryllatch.DataRow{{Table: "t", Key: "k", Version: 5}}}
	errHistory     = &beryllatch.HistoryLostError{Table: "t"}
)

func testRelay(direct *scriptedStore, lenders network) *Relay {
	return &Relay{
		Direct: direct, Lenders: func() []string { return []string{"x", "y"} }, Client: &http.Client{Transport: lenders},
	}
}

func TestCommitTakesAnotherWayOnlyWhereNothingWasDone(t *testing.T) {
	for name, c := range map[string]struct {
		direct, x, y error
		// calls are those of the direct way and of both lenders.
		calls [3]int
		want  error
	}{
		"well":                        {nil, nil, nil, [3]int{1, 0, 0}, nil},
		"turned away":                 {errUnavailable, nil, nil, [3]int{1, 1, 0}, nil},
		"first lender turned away":    {errUnavailable, errUnavailable, nil, [3]int{1, 1, 1}, nil},
		"everybody turned away":       {errUnavailable, errUnavailable, errUnavailable, [3]int{1, 1, 1}, errUnavailable},
		"outcome open":                {errUnknown, nil, nil, [3]int{1, 0, 0}, errUnknown},
		"outcome open at the lender":  {errUnavailable, errUnknown, nil, [3]int{1, 1, 0}, errUnknown},
		"conflict":                    {errConflict, nil, nil, [3]int{1, 0, 0}, errConflict},
		"conflict through the lender": {errUnavailable, errConflict, nil, [3]int{1, 1, 0}, errConflict},
	} {
		t.Run(name, func(t *testing.T) {
			direct, x, y := &scriptedStore{err: c.direct}, &scriptedStore{err: c.x}, &scriptedStore{err: c.y}
			r := testRelay(direct, network{"x": x, "y": y})
			version, err := r.Commit(t.Context(), beryllatch.RowTransaction{})
			assert.DeepEqual(t, [3]int{direct.calls, x.calls, y.calls}, c.calls)
			if c.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, version, int64(7))
				return
			}
			assert.Equal(t, outcomeName(err), outcomeName(c.want))
			var conflict *beryllatch.RowConflictError
			if errors.As(err, &conflict) {
				assert.DeepEqual(t, conflict.Rows, errConflict.Rows)
			}
		})
	}
}

func outcomeName(err error) string {
	o, _ := outcomeOf(err)
	return o.String()
}

// After a failure the way through a lender comes first, until a direct try finds the store again.
func TestRelayReturnsToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, x := &scriptedStore{err: errUnknown}, &scriptedStore{}
		r := testRelay(direct, network{"x": x, "y": {}})
		_, err := r.Commit(t.Context(), beryllatch.RowTransaction{})
		assert.Assert(t, err != nil)
		for range 3 {
			_, err = r.Commit(t.Context(), beryllatch.RowTransaction{})
			assert.NilError(t, err)
		}
		assert.Equal(t, direct.calls, 1)
		assert.Equal(t, x.calls, 3)
		direct.err = nil
		_, err = r.CommitDirectly(t.Context(), beryllatch.RowTransaction{})
		assert.NilError(t, err)
		_, err = r.Commit(t.Context(), beryllatch.RowTransaction{})
		assert.NilError(t, err)
		assert.Equal(t, direct.calls, 3)
		assert.Equal(t, x.calls, 3)
	})
}

func TestReadsThroughALender(t *testing.T) {
	r := testRelay(&scriptedStore{err: errUnavailable}, network{"x": {}, "y": {}})
	rows, version, err := r.Rows(t.Context(), "t", "p")
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, []beryllatch.DataRow{{Key: "a", Version: 3}, {Key: "b", Version: 4}})
	assert.Equal(t, version, int64(9))
	row, err := r.Row(t.Context(), "t", "p", "k")
	assert.NilError(t, err)
	assert.DeepEqual(t, row, beryllatch.DataRow{Table: "t", Part: "p", Key: "k", Version: 3, Value: []byte("v")})
	rows, version, err = r.Changes(t.Context(), "t", 4, time.Second)
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, []beryllatch.DataRow{{Key: "a", Deleted: true}})
	assert.Equal(t, version, int64(10))
}

func TestLostHistoryIsAnAnswer(t *testing.T) {
	direct := &scriptedStore{err: errHistory}
	r := testRelay(direct, network{"x": {}, "y": {}})
	_, _, err := r.Changes(t.Context(), "t", 4, time.Second)
	var lost *beryllatch.HistoryLostError
	assert.Assert(t, errors.As(err, &lost))
	assert.Assert(t, !r.detour())
}

// silence never answers.
type silence struct{}

func (silence) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// A lender that falls silent must not hold up a caller without a deadline, as a stopping node is one.
func TestSilentLenderHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := testRelay(&scriptedStore{err: errUnavailable}, nil)
		r.Client = &http.Client{Transport: silence{}}
		start := time.Now()
		_, err := r.Commit(t.Context(), beryllatch.RowTransaction{})
		assert.Equal(t, outcomeName(err), berylwire.RowsOutcome_ROWS_OUTCOME_UNKNOWN.String())
		assert.Assert(t, time.Since(start) <= lenderTries*defaultPatience)
	})
}
