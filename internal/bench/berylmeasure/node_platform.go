package berylmeasure

import (
	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

// executeTable carries out an effect on the table; it ignores all others. The call reaches the table after one
// tableDelay, and its answer reaches the node after another.
func (n *node) executeTable(x berylreducer.Effect) {
	f := n.fleet
	switch x := x.(type) {
	case berylreducer.RenewTenure:
		sent := f.instant()
		f.after(tableDelay, func() { n.renew(x, sent) })
	case berylreducer.ReadKnownIncarnations:
		sent := f.instant()
		f.after(tableDelay, func() { n.readKnownIncarnations(x, sent) })
	case berylreducer.ReadConfig:
		f.after(tableDelay, func() {
			c := f.config()
			f.after(tableDelay, func() { n.deliverConfig(c) })
		})
	case berylreducer.WriteConfig:
		f.after(tableDelay, func() { n.writeConfig(x) })
	case berylreducer.ReadUnits:
		f.after(tableDelay, func() { n.readUnits(x.Team) })
	case berylreducer.WriteUnits:
		f.after(tableDelay, func() { n.writeUnits(x) })
	default:
		n.executeClaim(x)
	}
}

// deliverTableResult delivers an answer of the table to the node.
func (n *node) deliverTableResult(e berylreducer.Event) {
	n.fleet.after(tableDelay, func() { n.post(e) })
}

func (n *node) renew(x berylreducer.RenewTenure, sent berylreducer.Instant) {
	f := n.fleet
	k := beryllatch.RowKey{Partition: nodesPartition, Sort: x.Row.Incarnation}
	if !f.table.compareAndSet(k, n.rowVersion, x.Row) {
		n.deliverTableResult(berylreducer.RenewalFailed{SentAt: sent})
		return
	}
	n.rowVersion++
	var rows []berylreducer.NodeRow
	for _, other := range f.nodes {
		stored := f.table[beryllatch.RowKey{Partition: nodesPartition, Sort: other.self.Incarnation}]
		if row, ok := stored.value.(berylreducer.NodeRow); ok {
			row.Version, row.Known = stored.version, nil
			rows = append(rows, row)
		}
	}
	n.deliverTableResult(berylreducer.Renewed{SentAt: sent, HeadVersion: f.config().Version, Nodes: rows})
}

func (n *node) readKnownIncarnations(x berylreducer.ReadKnownIncarnations, sent berylreducer.Instant) {
	known := map[string][]string{}
	for _, id := range x.Incarnations {
		row, _ := n.fleet.table[beryllatch.RowKey{Partition: nodesPartition, Sort: id}].value.(berylreducer.NodeRow)
		known[id] = row.Known
	}
	n.deliverTableResult(berylreducer.KnownIncarnationsRead{SentAt: sent, Known: known})
}

func (n *node) writeConfig(x berylreducer.WriteConfig) {
	f := n.fleet
	before := f.config()
	if !f.table.compareAndSet(configKey, x.Expect, x.Config) {
		n.deliverTableResult(berylreducer.ConfigWritten{CallID: x.CallID, Result: berylreducer.WriteConflict})
		return
	}
	f.audit.checkConfig(before, x.Config)
	f.meter.recordConfig(before, x.Config)
	f.after(tableDelay, func() {
		n.config = x.Config
		n.post(berylreducer.ConfigWritten{CallID: x.CallID, Result: berylreducer.WriteDone})
	})
}

func (n *node) readUnits(team string) {
	f := n.fleet
	if f.policy.equalSplit {
		n.deliverTableResult(berylreducer.UnitsRead{Team: team, Row: f.equalSplitRow(team), Version: 1})
		return
	}
	stored := f.table[beryllatch.RowKey{Partition: unitsPartition, Sort: team}]
	row, _ := stored.value.(berylreducer.UnitRow)
	n.deliverTableResult(berylreducer.UnitsRead{Team: team, Row: row, Version: stored.version})
}

func (n *node) writeUnits(x berylreducer.WriteUnits) {
	f := n.fleet
	result := berylreducer.WriteConflict
	k := beryllatch.RowKey{Partition: unitsPartition, Sort: x.Row.Team}
	if !f.policy.equalSplit && f.versionsUnchanged(x.Checks) && f.table.compareAndSet(k, x.Expect, x.Row) {
		result = berylreducer.WriteDone
	}
	n.deliverTableResult(berylreducer.UnitsWritten{Team: x.Row.Team, Row: x.Row, Version: x.Expect + 1, Result: result})
}

// versionsUnchanged reports whether every checked node row has the expected version.
func (f *fleet) versionsUnchanged(checks []berylreducer.NodeCheck) bool {
	for _, c := range checks {
		if f.table[beryllatch.RowKey{Partition: nodesPartition, Sort: c.Incarnation}].version != c.Version {
			return false
		}
	}
	return true
}

// equalSplitRow returns the unit row of a team under the policy equal_split, which gives each node an equal part of the
// ceiling; writeUnits refuses every change of it.
func (f *fleet) equalSplitRow(team string) berylreducer.UnitRow {
	c := f.config()
	row := berylreducer.UnitRow{
		Team: team, ConfigVersion: c.Version, Ceiling: c.Teams[team].Ceiling, Holdings: map[string]int{},
	}
	for n, x := range f.nodes {
		row.Holdings[x.self.Incarnation] = row.Ceiling / len(f.nodes)
		if n < row.Ceiling%len(f.nodes) {
			row.Holdings[x.self.Incarnation]++
		}
	}
	return row
}

// executeClaim carries out an effect on a claim row; it ignores all others.
func (n *node) executeClaim(x berylreducer.Effect) {
	f := n.fleet
	switch x := x.(type) {
	case berylreducer.WriteClaim:
		f.after(tableDelay, func() { n.writeClaim(x.ID, x.Key, x.Expect, x.Row) })
	case berylreducer.FinishClaim:
		f.after(tableDelay, func() { n.writeClaim(x.ID, x.Key, x.Expect, x.Row) })
	case berylreducer.ReleaseClaim:
		f.after(tableDelay, func() { n.writeClaim(x.ID, x.Key, x.Expect, x.Row) })
	case berylreducer.ReadClaim:
		f.after(tableDelay, func() { n.readClaim(x) })
	}
}

func (n *node) writeClaim(id string, k beryllatch.RowKey, expect uint64, row berylreducer.ClaimRow) {
	result := berylreducer.WriteConflict
	if n.fleet.table.compareAndSet(k, expect, row) {
		result = berylreducer.WriteDone
	}
	n.deliverTableResult(berylreducer.ClaimWritten{ID: id, Result: result})
}

func (n *node) readClaim(x berylreducer.ReadClaim) {
	stored := n.fleet.table[x.Key]
	row, _ := stored.value.(berylreducer.ClaimRow)
	n.deliverTableResult(berylreducer.ClaimRead{ID: x.ID, Row: row, Version: stored.version})
}
