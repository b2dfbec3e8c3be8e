package beryltable

import (
	"errors"
	"fmt"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylconn"
	"github.com/beryllatch/beryllatch/internal/platform/berylcall"
)

// The limits of the table service on one item and on one transaction.
const (
	MaxItemBytes = 400 * 1024
	MaxWrites    = 100
)

// ItemTooLargeError reports a row that is too large for the table service; nothing was sent.
type ItemTooLargeError struct {
	Key beryllatch.RowKey
	// Size is the size of the item in bytes.
	Size int
}

// Error names the row, its size and the limit.
func (e *ItemTooLargeError) Error() string {
	return fmt.Sprintf("row %s/%s has %d bytes, the limit is %d", e.Key.Partition, e.Key.Sort, e.Size, MaxItemBytes)
}

// TooManyWritesError reports a transaction with more writes than the table service accepts; nothing was sent.
type TooManyWritesError struct{ Count int }

// Error names the number of writes and the limit.
func (e *TooManyWritesError) Error() string {
	return fmt.Sprintf("transaction has %d writes, the limit is %d", e.Count, MaxWrites)
}

// classify converts the error of a failed transaction to one that says whether the transaction may have taken effect.
func classify(err error, tracker *berylconn.Tracker, writes []beryllatch.RowWrite) error {
	if cancelled, ok := errors.AsType[*types.TransactionCanceledException](err); ok {
		for i, r := range cancelled.CancellationReasons {
			if aws.ToString(r.Code) == "ConditionalCheckFailed" && i < len(writes) {
				return &beryllatch.ConditionFailedError{Key: writes[i].Row.Key}
			}
		}
		return &beryllatch.UnavailableError{Err: err}
	}
	if _, ok := errors.AsType[*types.TransactionInProgressException](err); ok {
		return &beryllatch.UnknownOutcomeError{Err: err}
	}
	return berylcall.WriteError(err, tracker)
}
