package beryldaemon

import (
	"context"

	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/platform/berylgroup"
)

func (d *Daemon) writeConfig(ctx context.Context, x berylreducer.WriteConfig) {
	err := d.store().Write(ctx, x.Config, x.Expect)
	d.Post(berylreducer.ConfigWritten{CallID: x.CallID, Result: berylgroup.ResultOf(err)})
}

func (d *Daemon) rebootWorker(ctx context.Context, x berylreducer.RebootWorker) {
	if err := d.Tasks.RebootWorker(ctx, x.Address, x.BootID); err != nil {
		d.Metrics.Count("reboot_failed", 1)
	}
}
