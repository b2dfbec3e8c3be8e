package beryljobs

import (
	"context"
	"errors"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
)

const (
	// operationsWait bounds how long a node does not notice that the store has fallen silent.
	operationsWait = 1500 * time.Millisecond
	// readRetry spaces reads of a store that does not answer.
	readRetry = 250 * time.Millisecond
)

// watchOperations follows the configuration and the other wishes of operators.
func (n *Node) watchOperations(ctx context.Context) {
	version := int64(-1)
	failing := false
	for ctx.Err() == nil {
		rows, next, whole, err := n.readOperations(ctx, version)
		var lost *beryllatch.HistoryLostError
		switch {
		case errors.As(err, &lost):
			n.Log.Event("history_lost", lost.Table, "")
			version = -1
			continue
		case err != nil:
			if !failing && ctx.Err() == nil {
				n.Log.Event("dependency_lost", "store", err.Error())
			}
			failing = true
			// A feed that was cut may have missed changes; the next read is a whole one.
			version = -1
			pause(ctx, readRetry)
			continue
		}
		failing = false
		n.storeAnswered()
		n.takeOperations(rows, whole, next)
		version = next
	}
}

// readOperations reads the whole table without a version, and the changes after it otherwise.
func (n *Node) readOperations(ctx context.Context, version int64) ([]beryllatch.DataRow, int64, bool, error) {
	if version >= 0 {
		rows, next, err := n.rows().Changes(ctx, n.View.OperationsTable(), version, operationsWait)
		return rows, next, false, err
	}
	rows, next, err := n.rows().Rows(ctx, n.View.OperationsTable(), "")
	return rows, next, true, err
}

// takeOperations applies rows; a whole read replaces what was known unless it is older.
func (n *Node) takeOperations(rows []beryllatch.DataRow, whole bool, version int64) {
	n.mu.Lock()
	ops := n.operations
	n.mu.Unlock()
	if whole {
		if version < n.operationsVersion() {
			n.Log.Event("stale_read_ignored", n.View.OperationsTable(), "")
			return
		}
		ops = beryllatch.Operations{}
	}
	changed := whole
	for _, r := range rows {
		if r.Key == n.View.ConfigurationKey() {
			if !r.Deleted {
				n.takeConfiguration(r)
			}
			continue
		}
		o, err := n.View.ApplyOperation(ops, r)
		if err != nil {
			n.Log.Event("operation_unreadable", r.Key, err.Error())
			continue
		}
		ops, changed = o, true
	}
	n.mu.Lock()
	n.operations = ops
	s := n.session
	n.mu.Unlock()
	if changed && s != nil {
		s.apply(berylscheduler.OperationsChanged{Operations: ops})
	}
}

// operationsVersion returns the version of the configuration row, a lower bound of what a fresh read must show.
func (n *Node) operationsVersion() int64 {
	if r := n.configRow.Load(); r != nil {
		return r.Version
	}
	return 0
}

// takeConfiguration puts a configuration in force unless it is older than the present one.
func (n *Node) takeConfiguration(r beryllatch.DataRow) {
	d, err := n.View.Deployment(r)
	if err != nil {
		n.Log.Event("configuration_unreadable", r.Key, err.Error())
		return
	}
	n.mu.Lock()
	if old := n.deployment.Load(); old != nil && old.Version >= d.Version {
		n.mu.Unlock()
		return
	}
	n.deployment.Store(d)
	n.configRow.Store(&r)
	s := n.session
	n.mu.Unlock()
	n.Log.Configuration(d.Version, len(d.Queues))
	if s != nil {
		s.apply(berylscheduler.DeploymentChanged{Deployment: d})
	}
}
