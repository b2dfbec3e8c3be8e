package beryljobs

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylstall"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"github.com/rotisserie/eris"
)

const (
	// fetchDelay is how long a node waits for a newer configuration from the store before it asks the scheduling node, whose answer is
	// compressed.
	fetchDelay = 300 * time.Millisecond
	// fetchTimeout bounds the time until the scheduling node answers, and fetchPause each pause in its answer.
	fetchTimeout = time.Second
	fetchPause   = 400 * time.Millisecond
	// maxConfiguration bounds a configuration that another node sends, in bytes.
	maxConfiguration = 16 << 20
)

// packedConfig is a compressed configuration.
type packedConfig struct {
	row   *beryllatch.DataRow
	bytes []byte
}

// readsLate reports whether the store has not answered this node's reads of the configuration as often as it should. The caller holds
// n.mu.
func (n *Node) readsLate() bool {
	return elapsed(n.operationsRead) > 2*n.operationsWait()+probeInterval
}

// compareConfiguration compares the scheduling node's configuration with this node's, and fetches it if the store doesn't deliver it:
// the store may refuse this node, or its answer may take long over a slow link.
func (n *Node) compareConfiguration(sn schedulingNode, version int64) {
	n.mu.Lock()
	switch {
	case version <= n.configVersion():
		n.missingSince = time.Time{}
	case n.missingSince.IsZero():
		n.missingSince = time.Now()
	}
	due := !n.missingSince.IsZero() && (n.readsLate() || time.Since(n.missingSince) >= fetchDelay)
	n.mu.Unlock()
	if !due || !n.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetching.Store(false)
		err := n.guard("fetch of the configuration", func() error { return n.fetchConfiguration(sn) })
		if err != nil {
			n.Log.Event("configuration_not_fetched", sn.Node, err.Error())
		}
	}()
}

// fetchConfiguration reads the configuration from the scheduling node and puts it in force if it is newer.
func (n *Node) fetchConfiguration(sn schedulingNode) error {
	ctx, cancel := context.WithTimeout(berylstall.WithLimits(context.Background(), fetchTimeout, fetchPause), n.configurationDelay())
	defer cancel()
	r, err := n.client(sn).GetConfiguration(ctx, &berylwire.GetConfigurationRequest{})
	if err != nil || len(r.GetConfig()) == 0 {
		return err
	}
	value, err := unpack(r.GetConfig())
	if err != nil {
		return err
	}
	n.applyConfiguration(beryllatch.DataRow{Key: n.View.ConfigurationKey(), Value: value}, sourceSchedulingNode)
	return nil
}

// catchUp reads the configuration again if another node has a newer version, once for all calls that wait for it. The error is a refusal:
// a job must not be judged by an older configuration than the node that took it has.
func (n *Node) catchUp(ctx context.Context, version int64) error {
	if version <= n.configVersion() {
		return nil
	}
	select {
	case n.catchingUp <- struct{}{}:
		defer func() { <-n.catchingUp }()
	case <-ctx.Done():
		return noScheduler("the scheduling node waits for a newer configuration")
	}
	if version <= n.configVersion() {
		return nil
	}
	row, err := n.rows().Row(ctx, n.View.OperationsTable(), "", n.View.ConfigurationKey())
	if err == nil && !n.applyConfiguration(row, sourceCatchUp) {
		err = eris.New("the configuration is unreadable")
	}
	if err == nil && version > n.configVersion() {
		err = eris.Errorf("the store has version %d", n.configVersion())
	}
	if err != nil {
		n.Log.Event("configuration_unknown", n.Name, err.Error())
		return noScheduler(fmt.Sprintf("the scheduling node does not have version %d of the configuration: %v", version, err))
	}
	return nil
}

// GetConfiguration implements berylwire.Jobs.
func (v Server) GetConfiguration(_ context.Context, _ *berylwire.GetConfigurationRequest) (*berylwire.GetConfigurationResponse, error) {
	b, err := v.Node.packConfiguration()
	return &berylwire.GetConfigurationResponse{Config: b}, err
}

// packConfiguration returns the compressed configuration, or nil if there is none. It is compressed once for all nodes.
func (n *Node) packConfiguration() ([]byte, error) {
	row := n.configRow.Load()
	if row == nil {
		return nil, nil
	}
	if p := n.packedConfig.Load(); p != nil && p.row == row {
		return p.bytes, nil
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress configuration")
	}
	if _, err := w.Write(row.Value); err != nil {
		return nil, eris.Wrap(err, "compress configuration")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress configuration")
	}
	n.packedConfig.Store(&packedConfig{row, out.Bytes()})
	return out.Bytes(), nil
}

func unpack(b []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, eris.Wrap(err, "decompress configuration")
	}
	value, err := io.ReadAll(io.LimitReader(r, maxConfiguration))
	return value, eris.Wrap(err, "decompress configuration")
}
