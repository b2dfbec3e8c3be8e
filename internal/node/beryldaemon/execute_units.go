package beryldaemon

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

func unitKey(team string) beryllatch.RowKey { return beryllatch.RowKey{Partition: "unit", Sort: team} }

// executeUnits carries out the effects of the teams' units and reports whether x is one.
func (d *Daemon) executeUnits(ctx context.Context, x berylreducer.Effect) bool {
	switch x := x.(type) {
	case berylreducer.ReadUnits:
		d.async(ctx, func(ctx context.Context) { d.readUnits(ctx, x) })
	case berylreducer.WriteUnits:
		d.async(ctx, func(ctx context.Context) { d.writeUnits(ctx, x) })
	default:
		return false
	}
	return true
}

func (d *Daemon) readUnits(ctx context.Context, x berylreducer.ReadUnits) {
	stored, err := d.Table.Get(ctx, unitKey(x.Team))
	var row berylreducer.UnitRow
	if err == nil && stored.Version > 0 {
		err = json.Unmarshal(stored.Value, &row)
	}
	if err != nil {
		d.Post(berylreducer.UnitsReadFailed(x))
		return
	}
	d.Post(berylreducer.UnitsRead{Team: x.Team, Row: row, Version: stored.Version})
}

func (d *Daemon) writeUnits(ctx context.Context, x berylreducer.WriteUnits) {
	value, err := json.Marshal(x.Row)
	if err != nil {
		d.Post(berylreducer.UnitsWritten{Team: x.Row.Team, Result: berylreducer.WriteFailed})
		return
	}
	writes := []beryllatch.RowWrite{{
		Row: beryllatch.Row{Key: unitKey(x.Row.Team), Value: value}, Expect: x.Expect,
	}}
	for _, c := range x.Checks {
		writes = append(writes, beryllatch.RowWrite{
			Row: beryllatch.Row{Key: nodeKey(c.Incarnation)}, Expect: c.Version, CheckOnly: true,
		})
	}
	err = d.Table.Transact(ctx, writes...)
	d.Post(berylreducer.UnitsWritten{
		Team: x.Row.Team, Row: x.Row, Version: x.Expect + 1, Result: writeResult(err),
	})
}

// writeResult classifies the error of a transaction.
func writeResult(err error) berylreducer.WriteResult {
	var conflict *beryllatch.ConditionFailedError
	var unavailable *beryllatch.UnavailableError
	switch {
	case err == nil:
		return berylreducer.WriteDone
	case errors.As(err, &conflict):
		return berylreducer.WriteConflict
	case errors.As(err, &unavailable):
		return berylreducer.WriteFailed
	default:
		return berylreducer.WriteUnknown
	}
}
