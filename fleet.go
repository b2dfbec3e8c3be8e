package beryllatch

import (
	"context"
	"strings"
	"time"
)

// JobQueue is a queue for jobs in the platform's configuration.
type JobQueue struct {
	Name string `json:"name,omitempty"`
	// Host and Prefix select the queue for a request: the request's host, and a prefix of its path.
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	Pool   string `json:"pool,omitempty"`
	// Priority decides which queue's tasks are placed first; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is the number of failed runs after which a task, and with it its job, has failed.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Slack and Latency give the latency objective of a job: Slack times the duration of its longest chain of dependent
	// steps, plus Latency.
	Slack   float64       `json:"slack,omitempty"`
	Latency time.Duration `json:"latency,omitempty"`
	// Public is true if the queue accepts requests without a secret.
	Public bool `json:"public,omitempty"`
	// Restricted is true if each start of a run needs a ticket from the PlacementAdvisor.
	Restricted bool `json:"restricted,omitempty"`
}

// JobPool is a pool of workers in the platform's configuration.
type JobPool struct {
	Name string
	// Standby is true if the pool's instances are switched off and cost nothing.
	Standby bool
}

// JobTeam is a client account in the platform's configuration.
type JobTeam struct {
	Name   string
	Weight float64
	// Ceiling limits the resources that the team's runs use on all workers together; 0 in a dimension means no limit.
	Ceiling Resources
	Secrets []string
}

// Deployment is one version of the platform's configuration for jobs; it is immutable.
type Deployment struct {
	Version int64
	Queues  map[string]JobQueue
	Pools   map[string]JobPool
	Teams   map[string]JobTeam
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64

	byHost   map[string][]JobQueue
	bySecret map[string]string
}

// HasShares reports whether a team has a weight, by which a full fleet is divided between teams. It is false for no configuration.
func (d *Deployment) HasShares() bool {
	if d == nil {
		return false
	}
	for _, t := range d.Teams {
		if t.Weight > 0 {
			return true
		}
	}
	return false
}

// WithIndex builds the indexes that Route and TeamOf need and returns the deployment with them.
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

// Route returns the host's queue with the longest prefix of the path, and the rest of the path after that prefix.
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

// TeamOf returns the name of the team that the secret belongs to.
func (d *Deployment) TeamOf(secret string) (string, bool) {
	t, ok := d.bySecret[secret]
	return t, ok
}

// MaintenanceWave is an operator's request to maintain a set of instances before a deadline.
type MaintenanceWave struct {
	Number    int
	Instances []string
	// Deadline is the time allowed for the whole wave, from the moment at which the scheduling node first reads it.
	Deadline time.Duration
	// MaxDown is the maximum number of instances that the wave may have down at the same time.
	MaxDown int
}

// Operations holds the operators' current requests that are not part of the configuration.
type Operations struct {
	// Evacuated holds the data centres that must get no new work.
	Evacuated map[string]bool
	Waves     map[int]MaintenanceWave
}

// DataRow is one row of the platform's row store.
type DataRow struct {
	Table, Part, Key string
	Value            []byte
	// Version is 0 if the row does not exist.
	Version int64
	Deleted bool
}

// RowCondition is the version that a row must have so that a transaction is applied.
type RowCondition struct {
	Table, Part, Key string
	Version          int64
}

// RowTransaction is a set of writes that the row store applies as a whole or not at all.
type RowTransaction struct {
	Conditions []RowCondition
	Puts       []DataRow
	Deletes    []RowCondition
}

// RowConflictError reports a transaction that was not applied because a condition failed. Rows holds the stored rows that
// the conditions refer to.
type RowConflictError struct{ Rows []DataRow }

// Error returns a fixed text, without the rows.
func (e *RowConflictError) Error() string { return "condition of a row transaction failed" }

// HistoryLostError reports that the platform no longer holds the requested changes; the whole table must be read again.
type HistoryLostError struct{ Table string }

// Error names the table.
func (e *HistoryLostError) Error() string { return "history of table " + e.Table + " is gone" }

// RowStore is the platform's row store. Its methods return *RowConflictError, *HistoryLostError, *UnavailableError and
// *UnknownOutcomeError.
type RowStore interface {
	// Commit applies the transaction and returns the version that the stored rows got.
	Commit(ctx context.Context, tx RowTransaction) (int64, error)
	// Rows returns all rows of a part of a table, and the store's version at the start of the read, from which Changes
	// can continue.
	Rows(ctx context.Context, table, part string) ([]DataRow, int64, error)
	// Row reads one row; a missing one has Version 0.
	Row(ctx context.Context, table, part, key string) (DataRow, error)
	// Changes waits up to the given time for rows that changed after a version. It returns them and the version to
	// continue from.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]DataRow, int64, error)
}

// FleetView decodes the rows that the platform and the operators write for all nodes.
type FleetView interface {
	// Deployment decodes a configuration row.
	Deployment(row DataRow) (*Deployment, error)
	// ConfigurationKey returns the key of the row in OperationsTable that holds the configuration.
	ConfigurationKey() string
	OperationsTable() string
	// ApplyOperation returns the operations after a row of OperationsTable is applied to them. Rows that hold no
	// operation change nothing.
	ApplyOperation(o Operations, row DataRow) (Operations, error)
	WorkersTable() string
	Worker(row DataRow) (WorkerInfo, error)
	// WaveStatus returns the row that shows operators whether a wave is running or done.
	WaveStatus(wave int, done bool) DataRow
}
