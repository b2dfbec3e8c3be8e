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

// The limits of the table service.
const (
	MaxItemBytes = 400 * 1024
	MaxWrites    = 100
)

// ItemTooLargeError reports a row that the table service cannot store; nothing was sent.
type ItemTooLargeError struct {
	Key beryllatch.RowKey
	// Size is the size of the item in bytes.
	Size int
}

// Error names the row and both sizes.
func (e *ItemTooLargeError) Error() string {
	return fmt.Sprintf("row %s/%s has %d bytes, the limit is %d", e.Key.Partition, e.Key.Sort, e.Size, MaxItemBytes)
}

// TooManyWritesError reports a transaction with more writes than the table service accepts; nothing was sent.
type TooManyWritesError struct{ Count int }

// Error names both counts.
func (e *TooManyWritesError) Error() string {
	return fmt.Sprintf("transaction has %d writes, the limit is %d", e.Count, MaxWrites)
}

// classify tells what a failed transaction has done to the table.
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
