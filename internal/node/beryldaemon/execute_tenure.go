package beryldaemon

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

const (
	nodePartition = "node"
	// maxNodes bounds the node rows that one renewal reads.
	maxNodes = 256
)

func (d *Daemon) nodeKey() beryllatch.RowKey {
	return beryllatch.RowKey{Partition: nodePartition, Sort: d.Self.Incarnation}
}

// renew writes the node's row, then reads the head version, then all node rows.
func (d *Daemon) renew(ctx context.Context, x berylreducer.RenewTenure) {
	sent := d.now()
	replaced, err := d.writeNode(ctx, x.Row)
	if err != nil || replaced {
		d.Log.Debug().Err(err).Msg("renewal: node row not written")
		d.Post(berylreducer.RenewalFailed{SentAt: sent, Replaced: replaced})
		return
	}
	head, nodes, err := d.readHead(ctx)
	if err != nil {
		d.Log.Debug().Err(err).Msg("renewal: head not read")
		d.Post(berylreducer.RenewalFailed{SentAt: sent})
		return
	}
	d.Post(berylreducer.Renewed{SentAt: sent, HeadVersion: head, Nodes: nodes})
}

// writeNode stores the row; after a conflict or a lost answer it reads back which write took effect.
func (d *Daemon) writeNode(ctx context.Context, row berylreducer.NodeRow) (replaced bool, err error) {
	d.nodeMu.Lock()
	defer d.nodeMu.Unlock()
	value, err := json.Marshal(row)
	if err != nil {
		return false, err
	}
	w := beryllatch.RowWrite{Row: beryllatch.Row{Key: d.nodeKey(), Value: value}, Expect: d.nodeVersion}
	err = d.Table.Transact(ctx, w)
	if err == nil {
		d.nodeVersion++
		return false, nil
	}
	var failed *beryllatch.ConditionFailedError
	if !errors.As(err, &failed) {
		return false, err
	}
	stored, readErr := d.Table.Get(ctx, d.nodeKey())
	if readErr != nil {
		return false, readErr
	}
	if stored.Version == 0 {
		return true, nil
	}
	// An earlier write took effect though its answer was lost; the next renewal continues from its version.
	d.nodeVersion = stored.Version
	return false, err
}

func (d *Daemon) readHead(ctx context.Context) (uint64, []berylreducer.NodeRow, error) {
	// The head comes first: a node that registers after it reads at least that version before it starts work.
	head, err := d.store().HeadVersion(ctx)
	if err != nil {
		return 0, nil, err
	}
	rows, err := d.Table.Query(ctx, nodePartition, "", maxNodes)
	if err != nil {
		return 0, nil, err
	}
	nodes := make([]berylreducer.NodeRow, 0, len(rows))
	for _, row := range rows {
		var n berylreducer.NodeRow
		if json.Unmarshal(row.Value, &n) == nil {
			nodes = append(nodes, n)
		}
	}
	return head, nodes, nil
}

func (d *Daemon) readConfig(ctx context.Context) {
	c, err := d.store().Read(ctx)
	if err != nil {
		d.Metrics.Count("config_read_failed", 1)
		return
	}
	d.snapshot.Store(&c)
	d.Post(berylreducer.ConfigRead{Config: c})
}

func (d *Daemon) readInstances(ctx context.Context) {
	list, err := d.Instances.Instances(ctx)
	if err != nil {
		d.Metrics.Count("instance_list_failed", 1)
		return
	}
	d.Post(berylreducer.InstancesListed{Instances: list})
}
