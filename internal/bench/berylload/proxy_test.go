package berylload

import (
	"context"
	"testing"

	"github.com/beryllatch/beryllatch/internal/platform/berylcall"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/platform/beryltable"
	"github.com/beryllatch/beryllatch/internal/standin/berylplatform"
	"gotest.tools/v3/assert"
)

// Guards against items that are not counted, or counted twice. The counts are compared with the platform's limits.
func TestProxyCountsItems(t *testing.T) {
	server, err := berylplatform.New().Listen(t.Context(), berylplatform.ServiceTable, "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, server.Close()) }()
	p := &tableProxy{target: server.Address()}
	address, err := p.start(t.Context())
	assert.NilError(t, err)
	defer p.stop()
	table := beryltable.New(berylcall.WithEndpoint("http://" + address))
	key := func(sort string) beryllatch.RowKey { return beryllatch.RowKey{Partition: "p", Sort: sort} }
	for _, step := range []struct {
		call func(ctx context.Context) error
		want tableCounts
	}{
		{func(ctx context.Context) error {
			return table.Transact(ctx, beryllatch.RowWrite{Row: beryllatch.Row{Key: key("a")}},
				beryllatch.RowWrite{Row: beryllatch.Row{Key: key("b"), Value: []byte(`{"Put":`)}})
		}, tableCounts{writes: 2}},
		{func(ctx context.Context) error {
			return table.Transact(ctx, beryllatch.RowWrite{Row: beryllatch.Row{Key: key("a")}, Expect: 1, Delete: true},
				beryllatch.RowWrite{Row: beryllatch.Row{Key: key("b")}, Expect: 1, CheckOnly: true})
		}, tableCounts{writes: 3, reads: 1}},
		{func(ctx context.Context) error {
			_, err := table.Query(ctx, "p", "", 10)
			return err
		}, tableCounts{writes: 3, reads: 2}},
		{func(ctx context.Context) error {
			_, err := table.Query(ctx, "none", "", 10)
			return err
		}, tableCounts{writes: 3, reads: 3}},
		{func(ctx context.Context) error {
			_, err := table.Get(ctx, key("b"))
			return err
		}, tableCounts{writes: 3, reads: 4}},
	} {
		assert.NilError(t, step.call(t.Context()))
		assert.Equal(t, p.snapshot(), step.want)
	}
}
