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

// fixedStore answers every call with the same error, and counts the calls.
type fixedStore struct {
	err   error
	calls int
}

func (s *fixedStore) Commit(context.Context, beryllatch.RowTransaction) (int64, error) {
	s.calls++
	return 7, s.err
}

func (s *fixedStore) Rows(context.Context, string, string) ([]beryllatch.DataRow, int64, error) {
	s.calls++
	return []beryllatch.DataRow{{Key: "a", Version: 3}, {Key: "b", Version: 4}}, 9, s.err
}

func (s *fixedStore) Row(_ context.Context, table, part, key string) (beryllatch.DataRow, error) {
	s.calls++
	return beryllatch.DataRow{Table: table, Part: part, Key: key, Version: 3, Value: []byte("v")}, s.err
}

func (s *fixedStore) Changes(context.Context, string, int64, time.Duration) ([]beryllatch.DataRow, int64, error) {
	s.calls++
	return []beryllatch.DataRow{{Key: "a", Deleted: true}}, 10, s.err
}

// network carries calls to the peers' servers by host.
type network map[string]*fixedStore

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

func testRelay(direct *fixedStore, peers network) *Relay {
	return &Relay{
		Direct: direct, Peers: func() []string { return []string{"x", "y"} }, Client: &http.Client{Transport: peers},
	}
}

func TestCommitTakesAnotherWayOnlyWhereNothingWasDone(t *testing.T) {
	for name, c := range map[string]struct {
		direct, x, y error
		// calls counts the calls of the store itself and of the stores behind both peers.
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
			direct, x, y := &fixedStore{err: c.direct}, &fixedStore{err: c.x}, &fixedStore{err: c.y}
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

// After a failure, calls go through a peer until a direct one is answered.
func TestRelayReturnsToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, x := &fixedStore{err: errUnknown}, &fixedStore{}
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
	r := testRelay(&fixedStore{err: errUnavailable}, network{"x": {}, "y": {}})
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
	direct := &fixedStore{err: errHistory}
	r := testRelay(direct, network{"x": {}, "y": {}})
	_, _, err := r.Changes(t.Context(), "t", 4, time.Second)
	var lost *beryllatch.HistoryLostError
	assert.Assert(t, errors.As(err, &lost))
	assert.Assert(t, !r.usePeers())
}

// noAnswers is a transport that never answers.
type noAnswers struct{}

func (noAnswers) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// A peer that no longer answers must not block a caller without a deadline, such as a node that is stopping.
func TestSilentLenderHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := testRelay(&fixedStore{err: errUnavailable}, nil)
		r.Client = &http.Client{Transport: noAnswers{}}
		start := time.Now()
		_, err := r.Commit(t.Context(), beryllatch.RowTransaction{})
		assert.Equal(t, outcomeName(err), berylwire.RowsOutcome_ROWS_OUTCOME_UNKNOWN.String())
		assert.Assert(t, time.Since(start) <= maxPeers*defaultTimeout)
	})
}
