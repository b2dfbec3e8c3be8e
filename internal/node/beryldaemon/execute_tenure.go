package beryldaemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/platform/berylgroup"
	"github.com/rotisserie/eris"
)

const (
	// maxNodes bounds the node rows that one renewal reads.
	maxNodes = 256
	// knownTTL is the time after which the table may drop a list of known incarnations, counted from its last write.
	// Other nodes need the list for about 15 min after its writer has stopped, until the writer's tenure has certainly
	// expired.
	knownTTL = 24 * time.Hour
	// knownRefreshBefore is the time before its expiry at which an unchanged list is written again.
	knownRefreshBefore = 12 * time.Hour
)

// ownRows holds what this node has stored in the table about itself: its node row and its list of known incarnations. The
// versions are needed for the conditions of the next write.
type ownRows struct {
	mu sync.Mutex
	// incarnation is the one that the other fields belong to.
	incarnation string
	// version is the table's version of the node row after the last write; 0 before the first write.
	version uint64
	// writeUncertain is true after a write whose outcome is unknown; both rows must then be read back before the next
	// write.
	writeUncertain bool
	// knownIncarnations is the stored list of known incarnations: those whose rows the node had read at its
	// last completed renewal. It has version knownVersion and expires at knownExpires.
	knownIncarnations []string
	knownVersion      uint64
	knownExpires      time.Time
}

// executeTenure carries out the effects of the tenure, the membership and the configuration, and returns false for any
// other effect.
func (d *Daemon) executeTenure(ctx context.Context, x berylreducer.Effect) bool {
	switch x := x.(type) {
	case berylreducer.RenewTenure:
		sent := d.now()
		d.async(ctx, func(ctx context.Context) { d.renew(ctx, x, sent) })
	case berylreducer.ReadKnownIncarnations:
		sent := d.now()
		d.async(ctx, func(ctx context.Context) { d.readKnownIncarnations(ctx, x, sent) })
	case berylreducer.ReadConfig:
		d.async(ctx, d.readConfig)
	case berylreducer.Reincarnate:
		d.reincarnate()
	case berylreducer.DeleteNode:
		d.async(ctx, func(ctx context.Context) { d.deleteNode(ctx, x) })
	default:
		return false
	}
	return true
}

// reincarnate gives the node a new incarnation after a peer has removed the row of the current one.
func (d *Daemon) reincarnate() {
	self := d.Self
	self.Incarnation = NewIncarnation(self.Node, time.Now())
	// The event loop calls this function and is the only reader of events, so it must not block on a full queue.
	d.goroutines.Go(func() { d.Post(berylreducer.Reincarnated{Self: self}) })
}

// NewIncarnation returns the incarnation of the node that begins at t. Its name is unique as long as no two
// incarnations of a node begin in the same nanosecond.
func NewIncarnation(node string, t time.Time) string {
	return fmt.Sprintf("%s-%x", node, t.UnixNano())
}

// renew writes the node's row, then reads the version of the latest configuration and, unless the effect skips them,
// the rows of all nodes.
func (d *Daemon) renew(ctx context.Context, x berylreducer.RenewTenure, sent berylreducer.Instant) {
	replaced, err := d.writeNode(ctx, x.Row)
	if err != nil || replaced {
		d.Log.Debug().Err(err).Msg("renewal: node row not written")
		d.Post(berylreducer.RenewalFailed{SentAt: sent, Replaced: replaced})
		return
	}
	head, nodes, err := d.readHead(ctx, x.SkipNodes)
	if err != nil {
		d.Log.Debug().Err(err).Msg("renewal: head not read")
		d.Post(berylreducer.RenewalFailed{SentAt: sent})
		return
	}
	d.Post(berylreducer.Renewed{SentAt: sent, HeadVersion: head, Nodes: nodes, NodesSkipped: x.SkipNodes})
}

// writeNode stores the node row and, if it has changed or expires soon, the list of known incarnations. After a write
// whose outcome is unknown it first reads back what is stored. It returns true if a peer has removed the node's row.
func (d *Daemon) writeNode(ctx context.Context, row berylreducer.NodeRow) (replaced bool, err error) {
	n := &d.ownRows
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.incarnation != row.Incarnation {
		n.incarnation, n.version, n.writeUncertain = row.Incarnation, 0, false
		n.knownIncarnations, n.knownVersion = nil, 0
	}
	if n.writeUncertain {
		if replaced, err = d.readBack(ctx, n); err != nil || replaced {
			return replaced, err
		}
	}
	value, err := EncodeNodeRow(row)
	if err != nil {
		return false, err
	}
	expires := time.Now().Add(knownTTL)
	known, err := n.knownIncarnationsWrite(row, expires)
	if err != nil {
		return false, err
	}
	writes := append([]beryllatch.RowWrite{{
		Row: beryllatch.Row{Key: berylreducer.NodeKey(row.Incarnation), Value: value}, Expect: n.version,
	}}, known...)
	err = d.Table.Transact(ctx, writes...)
	var unavailable *beryllatch.UnavailableError
	switch {
	case err == nil:
		n.version++
		if len(known) > 0 {
			n.knownIncarnations, n.knownExpires = row.Known, expires
			n.knownVersion++
		}
	case !errors.As(err, &unavailable):
		n.writeUncertain = true
	}
	return false, err
}

// knownIncarnationsWrite returns the write of the list of known incarnations, or nothing if the same list is stored
// and does not expire soon.
func (n *ownRows) knownIncarnationsWrite(row berylreducer.NodeRow, expires time.Time) ([]beryllatch.RowWrite, error) {
	fresh := n.knownVersion == 0 || time.Until(n.knownExpires) >= knownRefreshBefore
	if fresh && slices.Equal(n.knownIncarnations, row.Known) {
		return nil, nil
	}
	list, err := json.Marshal(row.Known)
	if err != nil {
		return nil, eris.Wrap(err, "encode known incarnations")
	}
	return []beryllatch.RowWrite{{
		Row:    beryllatch.Row{Key: berylreducer.KnownKey(row.Incarnation), Value: list, Expires: expires.Unix()},
		Expect: n.knownVersion,
	}}, nil
}

// readBack reads the stored versions of the node row and of the list after a write whose outcome is unknown. It returns
// true if the stored row is missing or older than the last confirmed write, since a peer has then removed it.
func (d *Daemon) readBack(ctx context.Context, n *ownRows) (replaced bool, err error) {
	stored, err := d.Table.Get(ctx, berylreducer.NodeKey(n.incarnation))
	if err != nil {
		return false, err
	}
	if stored.Version < n.version {
		return true, nil
	}
	known, err := d.Table.Get(ctx, berylreducer.KnownKey(n.incarnation))
	if err != nil {
		return false, err
	}
	list, err := decodeKnownIncarnations(known)
	if err != nil {
		return false, err
	}
	n.version, n.writeUncertain = stored.Version, false
	n.knownIncarnations, n.knownVersion, n.knownExpires = list, known.Version, time.Unix(known.Expires, 0)
	return false, nil
}

func decodeKnownIncarnations(row beryllatch.Row) ([]string, error) {
	if row.Version == 0 {
		return nil, nil
	}
	var list []string
	err := json.Unmarshal(row.Value, &list)
	return list, eris.Wrap(err, "decode known incarnations")
}

func (d *Daemon) readKnownIncarnations(ctx context.Context, x berylreducer.ReadKnownIncarnations, sent berylreducer.Instant) {
	e := berylreducer.KnownIncarnationsRead{SentAt: sent, Known: map[string][]string{}}
	for _, id := range x.Incarnations {
		row, err := d.Table.Get(ctx, berylreducer.KnownKey(id))
		if err != nil {
			continue
		}
		if list, err := decodeKnownIncarnations(row); err == nil {
			e.Known[id] = list
		}
	}
	d.Post(e)
}

// deleteNode deletes a node row if it still has the expected version. The effect does not know the version of the
// node's own row, so the version of its last write is used instead.
func (d *Daemon) deleteNode(ctx context.Context, x berylreducer.DeleteNode) {
	version := x.Node.Version
	d.ownRows.mu.Lock()
	if d.ownRows.incarnation == x.Node.Incarnation {
		version = d.ownRows.version
	}
	d.ownRows.mu.Unlock()
	err := d.Table.Transact(ctx, beryllatch.RowWrite{
		Row: beryllatch.Row{Key: berylreducer.NodeKey(x.Node.Incarnation)}, Expect: version, Delete: true,
	})
	d.Post(berylreducer.NodeDeleted{Incarnation: x.Node.Incarnation, Result: berylgroup.ResultOf(err)})
}

// readHead returns the version of the latest configuration and, unless skipNodes is set, the rows of all nodes.
func (d *Daemon) readHead(ctx context.Context, skipNodes bool) (uint64, []berylreducer.NodeRow, error) {
	// The version is read before the rows: a node that is missing in the rows has registered later, and reads this
	// version or a later one before it starts work.
	head, err := d.store().HeadVersion(ctx)
	if err != nil {
		return 0, nil, err
	}
	if skipNodes {
		return head, nil, nil
	}
	rows, err := d.Table.Query(ctx, berylreducer.NodePartition, "", maxNodes)
	if err != nil {
		return 0, nil, err
	}
	nodes := make([]berylreducer.NodeRow, 0, len(rows))
	for _, row := range rows {
		if n, err := DecodeNodeRow(row.Key.Sort, row.Value); err == nil {
			n.Version = row.Version
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
