package berylrelay

import (
	"context"
	"errors"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"github.com/rotisserie/eris"
)

// Server makes calls to the store for other nodes, over this node's own connection; it implements berylwire.Rows.
type Server struct{ Store beryllatch.RowStore }

// CommitRows implements berylwire.Rows.
func (s Server) CommitRows(ctx context.Context, q *berylwire.CommitRowsRequest) (*berylwire.CommitRowsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.GetPatienceMs())*time.Millisecond)
	defer cancel()
	version, err := s.Store.Commit(ctx, beryllatch.RowTransaction{
		Conditions: conditionsOf(q.GetConditions()), Puts: rowsOf(q.GetPuts()), Deletes: conditionsOf(q.GetDeletes()),
	})
	outcome, detail := outcomeOf(err)
	a := &berylwire.CommitRowsResponse{Outcome: outcome, Detail: detail, Version: version}
	var conflict *beryllatch.RowConflictError
	if errors.As(err, &conflict) {
		a.Rows = storedRows(conflict.Rows)
	}
	return a, nil
}

// ReadRows implements berylwire.Rows.
func (s Server) ReadRows(ctx context.Context, q *berylwire.ReadRowsRequest) (*berylwire.ReadRowsResponse, error) {
	rows, version, err := readRows(ctx, s.Store, q)
	outcome, detail := outcomeOf(err)
	return &berylwire.ReadRowsResponse{Outcome: outcome, Detail: detail, Version: version, Rows: storedRows(rows)}, nil
}

// readRows makes the read that a request describes.
func readRows(ctx context.Context, store beryllatch.RowStore, q *berylwire.ReadRowsRequest) ([]beryllatch.DataRow, int64, error) {
	switch q.GetKind() {
	case berylwire.ReadKind_READ_KIND_PART:
		return store.Rows(ctx, q.GetTable(), q.GetPart())
	case berylwire.ReadKind_READ_KIND_CHANGES:
		return store.Changes(ctx, q.GetTable(), q.GetAfter(), time.Duration(q.GetWaitMs())*time.Millisecond)
	case berylwire.ReadKind_READ_KIND_ROW:
	}
	row, err := store.Row(ctx, q.GetTable(), q.GetPart(), q.GetKey())
	return []beryllatch.DataRow{row}, 0, err
}

// outcomeOf returns the wire form of a call's error.
func outcomeOf(err error) (berylwire.RowsOutcome, string) {
	var conflict *beryllatch.RowConflictError
	var unavailable *beryllatch.UnavailableError
	var lost *beryllatch.HistoryLostError
	switch {
	case err == nil:
		return berylwire.RowsOutcome_ROWS_OUTCOME_OK, ""
	case errors.As(err, &conflict):
		return berylwire.RowsOutcome_ROWS_OUTCOME_CONFLICT, ""
	case errors.As(err, &lost):
		return berylwire.RowsOutcome_ROWS_OUTCOME_HISTORY_LOST, ""
	case errors.As(err, &unavailable):
		return berylwire.RowsOutcome_ROWS_OUTCOME_UNAVAILABLE, err.Error()
	}
	return berylwire.RowsOutcome_ROWS_OUTCOME_UNKNOWN, err.Error()
}

// outcomeError returns the error for an outcome on the wire. rows are the present rows of a failed condition.
func outcomeError(o berylwire.RowsOutcome, detail, table string, rows []beryllatch.DataRow) error {
	switch o {
	case berylwire.RowsOutcome_ROWS_OUTCOME_OK:
		return nil
	case berylwire.RowsOutcome_ROWS_OUTCOME_CONFLICT:
		return &beryllatch.RowConflictError{Rows: rows}
	case berylwire.RowsOutcome_ROWS_OUTCOME_HISTORY_LOST:
		return &beryllatch.HistoryLostError{Table: table}
	case berylwire.RowsOutcome_ROWS_OUTCOME_UNAVAILABLE:
		return &beryllatch.UnavailableError{Err: eris.New(detail)}
	case berylwire.RowsOutcome_ROWS_OUTCOME_UNKNOWN:
	}
	return &beryllatch.UnknownOutcomeError{Err: eris.New(detail)}
}

func commitRequest(ctx context.Context, tx beryllatch.RowTransaction) *berylwire.CommitRowsRequest {
	timeout := defaultTimeout
	if d, ok := ctx.Deadline(); ok {
		timeout = time.Until(d)
	}
	return &berylwire.CommitRowsRequest{
		Conditions: storedConditions(tx.Conditions), Puts: storedRows(tx.Puts), Deletes: storedConditions(tx.Deletes),
		PatienceMs: timeout.Milliseconds(),
	}
}

func rowsOf(rows []*berylwire.StoredRow) []beryllatch.DataRow {
	out := make([]beryllatch.DataRow, len(rows))
	for i, r := range rows {
		out[i] = beryllatch.DataRow{
			Table: r.GetTable(), Part: r.GetPart(), Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Deleted: r.GetDeleted(),
		}
	}
	return out
}

func storedRows(rows []beryllatch.DataRow) []*berylwire.StoredRow {
	out := make([]*berylwire.StoredRow, len(rows))
	for i, r := range rows {
		out[i] = &berylwire.StoredRow{
			Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted,
		}
	}
	return out
}

func conditionsOf(rows []*berylwire.StoredRow) []beryllatch.RowCondition {
	out := make([]beryllatch.RowCondition, len(rows))
	for i, r := range rows {
		out[i] = beryllatch.RowCondition{Table: r.GetTable(), Part: r.GetPart(), Key: r.GetKey(), Version: r.GetVersion()}
	}
	return out
}

func storedConditions(conditions []beryllatch.RowCondition) []*berylwire.StoredRow {
	out := make([]*berylwire.StoredRow, len(conditions))
	for i, c := range conditions {
		out[i] = &berylwire.StoredRow{Table: c.Table, Part: c.Part, Key: c.Key, Version: c.Version}
	}
	return out
}
