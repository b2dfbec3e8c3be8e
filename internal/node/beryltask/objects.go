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
	// unreferencedAge is the time after which an object is deleted if no task's row names it. A submission is given up
	// after 10 s, and a write of it that is delayed by an hour is not expected.
	unreferencedAge = time.Hour
	// expiryMargin is how much longer than their task's row the objects of a result are kept, for clocks that differ.
	expiryMargin = time.Minute
	// sweepTimeout bounds the deletion of the objects of one shard that are due at one time.
	sweepTimeout = time.Minute
)

// deletion is the value of a row that lists objects for deletion at the time in the row's key. The row is written
// before the objects, or in the transaction after which they are no longer needed, and deleted after them. After a
// crash at any step it is therefore still there, and a later sweep deletes the objects.
type deletion struct {
	Task   string `json:"task"`
	Object string `json:"object"`
	// Split means that the objects are the parts Object/0, Object/1 and so on; Parts is their number, 0 if it is not
	// known.
	Split bool `json:"split,omitempty"`
	Parts int  `json:"parts,omitempty"`
	// IfUnreferenced means that the objects are kept if the row of the task names them.
	IfUnreferenced bool `json:"announced,omitempty"`
	// Expired means that the objects are the result of a finished task, whose row must be deleted before them.
	Expired bool `json:"expired,omitempty"`
}

func deletionPartition(shard int) string { return "deletion#" + strconv.Itoa(shard) }

// dueKey returns the start of the sort key of the deletions due at the given time, so that they sort by time. The full
// keys of the deletions of one second sort between its dueKey and that of the next second.
func dueKey(due time.Time) string { return fmt.Sprintf("%012d", due.Unix()) }

// deletionRow returns the write that lists the objects of d for deletion at the given time.
func deletionRow(due time.Time, d deletion) beryllatch.RowWrite {
	k := beryllatch.RowKey{Partition: deletionPartition(berylreducer.ShardOf(d.Task)), Sort: dueKey(due) + "/" + d.Object}
	return beryllatch.RowWrite{Row: encodeRow(k, d, 0)}
}

// deletionRows returns the writes that list the objects of a finished task for deletion: its payload at once, unless an
// operator may queue the task again, and its result when the task's row has expired.
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

// SchedulePayloadDeletion lists the object of a payload for deletion in case the submission fails; the object is kept
// if the task's row names it by then. It must be called before the object is stored.
func SchedulePayloadDeletion(ctx context.Context, t beryllatch.Table, now time.Time, taskID, object string) error {
	return scheduleIfUnreferenced(ctx, t, now, deletion{Task: taskID, Object: object})
}

// scheduleIfUnreferenced lists objects for deletion after unreferencedAge, unless the task's row names them then. It
// does nothing if they are already listed for that time.
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

// sweepObjects deletes the objects of one shard that are due, and then the rows that list them.
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
	// If this fails, the rows stay and the next sweep handles them again.
	if err := x.table.Transact(ctx, writes...); err == nil {
		out.More = len(rows) == e.Limit
	}
	return out
}

// sweepRow deletes the objects that one row lists and returns their number. If they cannot be deleted yet, it returns
// the write of a row that lists them for a later time. After an error the row must be kept.
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
			// The result may not be stored completely yet; the task's final row may still name it.
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

// deleteExpiredTask deletes the row of a finished task, which the table may keep after its expiry. It returns an error
// if the row has not expired.
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

// deleteObjects deletes the objects that d lists and returns their number. It deletes the last part first: after a
// crash the remaining parts are still numbered from 0 without a gap, and countParts finds them.
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

// countParts returns the number of stored parts, up to the first that is missing.
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
