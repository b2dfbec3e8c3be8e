package beryllatch

import (
	"context"
	"fmt"
	"io"
)

// RowKey addresses one row of the platform's table.
type RowKey struct {
	Partition string
	Sort      string
}

// Row is a versioned row of the platform's table; Version 0 means that the row does not exist.
type Row struct {
	Key     RowKey
	Version uint64
	Value   []byte
	// Expires is the Unix time in seconds after which the table may drop the row; 0 means never.
	Expires int64
}

// RowWrite is one conditional write of a transaction.
type RowWrite struct {
	Row Row
	// Expect is the version that the stored row must have; 0 means that the row must not exist.
	Expect uint64
	// Version is the version that the stored row gets; 0 means Expect+1.
	Version uint64
	// Delete removes the row instead of storing it.
	Delete bool
	// CheckOnly checks the version of the row without writing it.
	CheckOnly bool
}

// Stored returns the row as the write stores it, with its new version.
func (w RowWrite) Stored() Row {
	row := w.Row
	row.Version = w.Version
	if row.Version == 0 {
		row.Version = w.Expect + 1
	}
	return row
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the row as of a strongly consistent read; a missing row has Version 0.
	Get(ctx context.Context, k RowKey) (Row, error)
	// Query returns up to limit rows of a partition whose sort key is greater than after, in ascending order.
	Query(ctx context.Context, partition, after string, limit int) ([]Row, error)
	// Transact applies all writes or none. A stored row gets the version of its write, or Expect+1 if that is 0.
	// Transact returns *ConditionFailedError, *UnavailableError or *UnknownOutcomeError.
	Transact(ctx context.Context, writes ...RowWrite) error
}

// ObjectStore is the platform's store for large payloads.
type ObjectStore interface {
	// Put stores the size bytes of r under the name.
	Put(ctx context.Context, name string, r io.Reader, size int64) error
	// Get opens the named object; the caller closes it.
	Get(ctx context.Context, name string) (io.ReadCloser, error)
	// Delete removes the named object; it is no error if the object does not exist.
	Delete(ctx context.Context, name string) error
}

// InstanceStatus is one entry of the platform's instance list.
type InstanceStatus struct {
	Address string
	Leaving bool
}

// InstanceList is the platform's list of live and leaving instances; it lags behind the real state.
type InstanceList interface {
	// Instances returns the current list by address.
	Instances(ctx context.Context) (map[string]InstanceStatus, error)
}

// ConditionFailedError reports a transaction that changed nothing because a row had another version than expected.
type ConditionFailedError struct{ Key RowKey }

// Error names the row; the name is empty if the platform did not report which row it was.
func (e *ConditionFailedError) Error() string {
	return fmt.Sprintf("condition failed on row %s/%s", e.Key.Partition, e.Key.Sort)
}

// UnavailableError reports a platform call that certainly had no effect.
type UnavailableError struct{ Err error }

// Error includes the cause.
func (e *UnavailableError) Error() string { return "platform unavailable: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports a platform call that may have taken effect.
type UnknownOutcomeError struct{ Err error }

// Error includes the cause.
func (e *UnknownOutcomeError) Error() string {
	return "platform call outcome unknown: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }
