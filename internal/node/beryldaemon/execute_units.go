package beryldaemon

import (
	"context"
	"encoding/json"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/platform/berylgroup"
)

func unitKey(team string) beryllatch.RowKey { return beryllatch.RowKey{Partition: "unit", Sort: team} }

// executeUnits carries out the effects that read and write the teams' unit rows, and returns false for any other
// effect.
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
		writes = append(writes, c.RowWrite())
	}
	err = d.Table.Transact(ctx, writes...)
	d.Post(berylreducer.UnitsWritten{
		Team: x.Row.Team, Row: x.Row, Version: x.Expect + 1, Result: berylgroup.ResultOf(err),
	})
}
