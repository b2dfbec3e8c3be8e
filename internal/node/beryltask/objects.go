package beryltask

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/platform/berylobject"
)

const (
	// unreferencedAge is the time after which an object without a task's row that names it counts as left behind. A
	// submission is given up after 10 s, and a delayed write of it is not expected after so long.
	unreferencedAge = time.Hour
	// expiryMargin keeps the objects of a result a little longer than the row that names them, for clocks that differ.
	expiryMargin = time.Minute
	// sweepTimeout bounds a sweep over the due objects of one shard.
	sweepTimeout = time.Minute
)

// deletion is the value of a row that lists objects for deletion. The row is written before the objects or together with
// the row that makes them useless, and deleted after them, so that a crash at any step leaves it behind.
type deletion struct {
	Task   string `json:"task"`
	Object string `json:"object"`
	// Split marks objects named Object/<part>; Parts is their number, 0 if it is not known.
	Split bool `json:"split,omitempty"`
	Parts int  `json:"parts,omitempty"`
	// IfUnreferenced marks objects that stay if a row of the task names them.
	IfUnreferenced bool `json:"announced,omitempty"`
	// Expired marks objects of a finished task, whose row goes first.
	Expired bool `json:"expired,omitempty"`
}

func deletionPartition(shard int) string { return "deletion#" + strconv.Itoa(shard) }

// dueKey sorts by time; the keys of a second lie between its own and the next one.
func dueKey(due time.Time) string { return fmt.Sprintf("%012d", due.Unix()) }

func deletionRow(due time.Time, d deletion) beryllatch.RowWrite {
	k := beryllatch.RowKey{Partition: deletionPartition(berylreducer.ShardOf(d.Task)), Sort: dueKey(due) + "/" + d.Object}
	return beryllatch.RowWrite{Row: encodeRow(k, d, 0)}
}

// deletionRows returns the writes that list the objects which a final row makes useless, now or when it expires.
func deletionRows(t beryllatch.Task) []beryllatch.RowWrite {
	var rows []beryllatch.RowWrite
	if t.PayloadObject != "" && !t.State.WaitsForOperator() {
		rows = append(rows, deletionRow(t.Finished, deletion{Task: t.ID, Object: t.PayloadObject}))
	}
	if t.ResultObject != "" {
		d := deletion{Task: t.ID, Object: t.ResultObject, Split: true, Parts: t.ResultParts, Expired: true}
		rows = append(rows, deletionRow(t.Finished.Add(finishedRetention+expiryMargin), d))
	}
	return rows
}

// SchedulePayloadDeletion lists the object of a payload for deletion, unless a task's row names it later.
func SchedulePayloadDeletion(ctx context.Context, t beryllatch.Table, now time.Time, taskID, object string) error {
	return scheduleIfUnreferenced(ctx, t, now, deletion{Task: taskID, Object: object})
}

func scheduleIfUnreferenced(ctx context.Context, t beryllatch.Table, now time.Time, d deletion) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	d.IfUnreferenced = true
	err := t.Transact(ctx, deletionRow(now.Add(unreferencedAge), d))
	var stored *beryllatch.ConditionFailedError
	if errors.As(err, &stored) {
		return nil
	}
	return err
}

// sweepObjects deletes the objects that are due, and then their rows.
func (x *Executor) sweepObjects(ctx context.Context, e berylreducer.SweepObjects) berylreducer.Event {
	out := berylreducer.ObjectsSwept{Shard: e.Shard, Epoch: e.Epoch}
	rows, err := x.table.Query(ctx, deletionPartition(e.Shard), "", e.Limit)
	if err != nil {
		return out
	}
	var writes []beryllatch.RowWrite
	for _, row := range rows {
		if row.Key.Sort >= dueKey(e.Now) {
			break
		}
		postponed, n, err := x.sweepRow(ctx, e, row)
		out.Deleted += n
		if err != nil {
			continue
		}
		writes = append(writes, beryllatch.RowWrite{Row: beryllatch.Row{Key: row.Key}, Expect: row.Version, Delete: true})
		writes = append(writes, postponed...)
	}
	if len(writes) == 0 {
		return out
	}
	// Rows that stay because of an error here are swept again.
	if err := x.table.Transact(ctx, writes...); err == nil {
		out.More = len(rows) == e.Limit
	}
	return out
}

// sweepRow deletes the objects of one row and counts them; an error keeps the row. It returns the row that replaces it.
func (x *Executor) sweepRow(
	ctx context.Context, e berylreducer.SweepObjects, row beryllatch.Row,
) (postponed []beryllatch.RowWrite, n int, err error) {
	var d deletion
	if err := json.Unmarshal(row.Value, &d); err != nil {
		return nil, 0, err
	}
	if d.IfUnreferenced {
		t, found, err := x.findStored(ctx, e.Shard, d.Task)
		switch {
		case err != nil:
			return nil, 0, err
		case found && (t.PayloadObject == d.Object || t.ResultObject == d.Object):
			return nil, 0, nil
		case found && !t.State.Final():
			// The result may be collected just now.
			return []beryllatch.RowWrite{deletionRow(e.Now.Add(unreferencedAge), d)}, 0, nil
		}
	}
	if d.Expired {
		if err := x.deleteExpiredTask(ctx, e, d.Task); err != nil {
			return nil, 0, err
		}
	}
	n, err = x.deleteObjects(ctx, d)
	return nil, n, err
}

// deleteExpiredTask deletes the row of a finished task, which the table may keep beyond its expiry.
func (x *Executor) deleteExpiredTask(ctx context.Context, e berylreducer.SweepObjects, id string) error {
	row, err := x.table.Get(ctx, finishedKey(e.Shard, id))
	if err != nil || row.Version == 0 {
		return err
	}
	if row.Expires == 0 || e.Now.Unix() < row.Expires {
		return errors.New("the finished task has not expired")
	}
	return x.table.Transact(ctx, beryllatch.RowWrite{Row: beryllatch.Row{Key: row.Key}, Expect: row.Version, Delete: true})
}

// deleteObjects deletes the last part first, so that the parts that a crash leaves can be found again.
func (x *Executor) deleteObjects(ctx context.Context, d deletion) (int, error) {
	if !d.Split {
		return 1, x.store.Delete(ctx, d.Object)
	}
	parts := d.Parts
	if parts == 0 {
		var err error
		if parts, err = x.countParts(ctx, d.Object); err != nil {
			return 0, err
		}
	}
	for n := parts - 1; n >= 0; n-- {
		if err := x.store.Delete(ctx, PartName(d.Object, n)); err != nil {
			return parts - 1 - n, err
		}
	}
	return parts, nil
}

func (x *Executor) countParts(ctx context.Context, object string) (int, error) {
	for n := 0; ; n++ {
		r, err := x.store.Get(ctx, PartName(object, n))
		var missing *berylobject.NotFoundError
		switch {
		case errors.As(err, &missing):
			return n, nil
		case err != nil:
			return 0, err
		}
		_ = r.Close()
	}
}
