package beryljobs

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/beryllatch/beryllatch"
)

// readRetry is the pause before a failed read is repeated.
const readRetry = 250 * time.Millisecond

// historyPause bounds the pause before the whole table is read because the changes are no longer known. It differs from node to node,
// as all nodes lose the history at once.
const historyPause = 100 * time.Millisecond

// watchOperations follows the table that holds the configuration and the operators' requests.
func (n *Node) watchOperations(ctx context.Context) {
	after := int64(-1)
	failing := false
	for ctx.Err() == nil {
		sent := time.Now()
		rows, version, complete, err := n.readOperations(ctx, after)
		var lost *beryllatch.HistoryLostError
		switch {
		case errors.As(err, &lost):
			n.Log.Event("history_lost", lost.Table, "")
			after = -1
			pause(ctx, rand.N(historyPause))
			continue
		case err != nil:
			if !failing && ctx.Err() == nil {
				n.Log.Event("dependency_lost", "store", err.Error())
			}
			failing = true
			n.Metrics.Count("operations.read_failed", 1)
			if ctx.Err() == nil {
				n.Log.ReadFailed(complete, after, time.Since(sent), err)
			}
			// A failed read may have missed changes, so the next one reads the whole table.
			after = -1
			pause(ctx, readRetry)
			continue
		}
		failing = false
		n.storeAnswered()
		if !n.applyOperations(rows, complete, version) {
			after = -1
			pause(ctx, readRetry)
			continue
		}
		n.recordOperationsRead(sent)
		after = version
	}
}

// readOperations returns all rows of the table if version is negative, and the changes after version otherwise. The
// second result is the version to continue from; the third is true if the whole table was read.
func (n *Node) readOperations(ctx context.Context, version int64) ([]beryllatch.DataRow, int64, bool, error) {
	if version >= 0 {
		rows, next, err := n.rows().Changes(ctx, n.View.OperationsTable(), version, n.operationsWait())
		return rows, next, false, err
	}
	rows, next, err := n.rows().Rows(ctx, n.View.OperationsTable(), "")
	return rows, next, true, err
}

// refreshOperations reads the whole table, for a node that is about to schedule with a configuration that may be outdated.
func (n *Node) refreshOperations(ctx context.Context) error {
	sent := time.Now()
	rows, version, complete, err := n.readOperations(ctx, -1)
	if err != nil {
		return err
	}
	if n.applyOperations(rows, complete, version) {
		n.recordOperationsRead(sent)
	}
	return nil
}

// applyOperations applies rows that were read at a version of the store. A read of the whole table replaces the present state, unless it
// shows an older one. The result is false if the present state is not that of the read.
func (n *Node) applyOperations(rows []beryllatch.DataRow, complete bool, version int64) bool {
	n.operationsMu.Lock()
	defer n.operationsMu.Unlock()
	if n.isStaleRead("operations", n.View.OperationsTable(), version, n.operationsVersion) {
		return false
	}
	n.operationsVersion = version
	var ops beryllatch.Operations
	if old := n.operations.Load(); old != nil && !complete {
		ops = *old
	}
	changed, config := complete, beryllatch.DataRow{Deleted: true}
	for _, r := range rows {
		if r.Key == n.View.ConfigurationKey() {
			// Only the last one of several versions counts.
			config = r
			continue
		}
		o, err := n.View.ApplyOperation(ops, r)
		if err != nil {
			n.Log.Event("operation_unreadable", r.Key, err.Error())
			continue
		}
		ops, changed = o, true
	}
	if changed {
		n.operations.Store(&ops)
		n.updateSession()
	}
	return config.Deleted || n.applyConfiguration(config, sourceStore)
}

// isStaleRead reports whether a read of a table at a version of the store shows an older state than the known one, and logs and counts it.
func (n *Node) isStaleRead(what, table string, version, known int64) bool {
	if version >= known {
		return false
	}
	n.Log.Event("stale_read_ignored", table, fmt.Sprintf("version %d after %d", version, known))
	n.Metrics.Count(what+".stale_read", 1)
	return true
}

// configSource tells where a configuration was read.
type configSource string

const (
	sourceStore          configSource = "store"
	sourceSchedulingNode configSource = "scheduling_node"
	// sourceCatchUp is a read of the store because another node has a newer version.
	sourceCatchUp configSource = "catch_up"
)

// applyConfiguration puts a configuration in force if it is newer than the present one. The result is false if it can't be read.
func (n *Node) applyConfiguration(r beryllatch.DataRow, source configSource) bool {
	d, err := n.View.Deployment(r)
	if err != nil {
		n.Log.Event("configuration_unreadable", r.Key, err.Error())
		return false
	}
	n.mu.Lock()
	if old := n.deployment.Load(); old != nil && old.Version >= d.Version {
		n.mu.Unlock()
		return true
	}
	n.deployment.Store(d)
	n.configRow.Store(&r)
	n.mu.Unlock()
	n.Metrics.Gauge("configuration.version", d.Version)
	n.Log.Configuration(d.Version, len(d.Queues), source)
	n.updateSession()
	return true
}

// updateSession makes the scheduler, if this node schedules, use the present configuration and operators' requests. It doesn't wait for
// the session's lock: a busy scheduler must not make the node's configuration look old.
func (n *Node) updateSession() {
	if s := n.localSession(); s != nil {
		go s.update()
	}
}
