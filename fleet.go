package beryllatch

import (
	"context"
	"strings"
	"time"
)

// JobQueue is a queue of the deployment's configuration.
type JobQueue struct {
	Name string
	// Host and Prefix select the queue of a caller's request.
	Host   string
	Prefix string
	Pool   string
	// Priority 0 comes first and may preempt others.
	Priority int
	// MaxAttempts limits the failed runs of a task.
	MaxAttempts int
	// Slack times the longest chain of a job, plus Latency, is its latency objective.
	Slack   float64
	Latency time.Duration
	Public  bool
	// Restricted queues need a ticket of the PlacementAdvisor for each start.
	Restricted bool
	// TicketLife is how long a ticket stays valid.
	TicketLife time.Duration
}

// JobPool is a pool of workers of the deployment's configuration.
type JobPool struct {
	Name string
	// Standby pools keep their instances off, at no cost.
	Standby bool
	// Guarded workers reject runs that do not fit.
	Guarded bool
}

// JobTeam is a client account of the deployment's configuration.
type JobTeam struct {
	Name   string
	Weight float64
	// Ceiling limits what the team has running on all workers; a dimension of 0 has no limit.
	Ceiling Resources
	Secrets []string
}

// Deployment is one version of the deployment's configuration; it is immutable.
type Deployment struct {
	Version int64
	Queues  map[string]JobQueue
	Pools   map[string]JobPool
	Teams   map[string]JobTeam
	// MaxBody is the largest accepted request body in bytes.
	MaxBody int64

	byHost   map[string][]JobQueue
	bySecret map[string]string
}

// WithIndex returns the deployment with its routing and key indexes built.
func (d Deployment) WithIndex() *Deployment {
	d.byHost = make(map[string][]JobQueue)
	for _, q := range d.Queues {
		d.byHost[q.Host] = append(d.byHost[q.Host], q)
	}
	d.bySecret = make(map[string]string)
	for _, t := range d.Teams {
		for _, s := range t.Secrets {
			d.bySecret[s] = t.Name
		}
	}
	return &d
}

// Route returns the queue whose prefix is the longest that the path begins with, and the rest of the path.
func (d *Deployment) Route(host, path string) (JobQueue, string, bool) {
	var best JobQueue
	found := false
	for _, q := range d.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best, found = q, true
		}
	}
	if !found {
		return JobQueue{}, "", false
	}
	return best, path[len(best.Prefix):], true
}

// TeamOf returns the team that a secret belongs to.
func (d *Deployment) TeamOf(secret string) (string, bool) {
	t, ok := d.bySecret[secret]
	return t, ok
}

// MaintenanceWave asks that each of its instances is maintained in time.
type MaintenanceWave struct {
	Number    int
	Instances []string
	// Deadline counts from the first sight of the wave.
	Deadline time.Duration
	// MaxDown limits the instances that are down for the wave at the same time.
	MaxDown int
}

// Operations is what operators currently ask for, beside the configuration.
type Operations struct {
	// Evacuated names the data centres that get no new work.
	Evacuated map[string]bool
	Waves     map[int]MaintenanceWave
}

// DataRow is one row of the platform's row store.
type DataRow struct {
	Table, Part, Key string
	Value            []byte
	// Version is 0 for a row that does not exist.
	Version int64
	Deleted bool
}

// RowCondition is the version that a row must have for a transaction to be applied.
type RowCondition struct {
	Table, Part, Key string
	Version          int64
}

// RowTransaction is applied as a whole or not at all.
type RowTransaction struct {
	Conditions []RowCondition
	Puts       []DataRow
	Deletes    []RowCondition
}

// RowConflictError reports a transaction that was not applied, with the rows of its conditions.
type RowConflictError struct{ Rows []DataRow }

// Error says that nothing was applied.
func (e *RowConflictError) Error() string { return "condition of a row transaction failed" }

// HistoryLostError reports changes that the platform no longer holds; the table must be read afresh.
type HistoryLostError struct{ Table string }

// Error names the table.
func (e *HistoryLostError) Error() string { return "history of table " + e.Table + " is gone" }

// RowStore is the platform's row store; its errors are *RowConflictError, *HistoryLostError, *UnavailableError and
// *UnknownOutcomeError.
type RowStore interface {
	// Commit applies the transaction and returns the version of the rows that it stored.
	Commit(ctx context.Context, tx RowTransaction) (int64, error)
	// Rows returns all rows of a part, and the store's version at the start of the read.
	Rows(ctx context.Context, table, part string) ([]DataRow, int64, error)
	// Row reads one row; a missing one has Version 0.
	Row(ctx context.Context, table, part, key string) (DataRow, error)
	// Changes returns the changed rows after a version, and the version to continue from.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]DataRow, int64, error)
}

// FleetView decodes the platform's shared rows.
type FleetView interface {
	// Deployment decodes a configuration row.
	Deployment(row DataRow) (*Deployment, error)
	// ConfigurationKey is the row that holds the configuration in OperationsTable.
	ConfigurationKey() string
	OperationsTable() string
	// ApplyOperation returns the operations changed by one row of OperationsTable; other rows change nothing.
	ApplyOperation(o Operations, row DataRow) (Operations, error)
	WorkersTable() string
	Worker(row DataRow) (WorkerInfo, error)
	// WaveStatus returns the row that tells operators how a wave stands.
	WaveStatus(wave int, done bool) DataRow
}
