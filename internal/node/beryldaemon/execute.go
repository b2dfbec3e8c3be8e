package beryldaemon

import (
	"context"

	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

// execute carries out one effect without blocking the event loop; calls that may block run in other goroutines.
func (d *Daemon) execute(ctx context.Context, x berylreducer.Effect) {
	if d.executeClaim(ctx, x) || d.executeTenure(ctx, x) || d.executeUnits(ctx, x) || d.executePeer(ctx, x) {
		return
	}
	if d.tasks.Execute(x) || d.DeliverTaskAnswer(x) {
		return
	}
	switch x := x.(type) {
	case berylreducer.Dispatch:
		d.deliver(x.ID, x)
	case berylreducer.Refuse:
		d.deliver(x.ID, x)
	case berylreducer.Finish:
		d.deliver(x.ID, x)
	case berylreducer.WriteConfig:
		d.async(ctx, func(ctx context.Context) { d.writeConfig(ctx, x) })
	case berylreducer.ReplyOperator:
		d.operatorCalls.resolve(x.CallID, x)
	case berylreducer.ReplyTaskResolve:
		d.resolveCalls.resolve(x.CallID, x)
	case berylreducer.ReplyStatus:
		d.statusCalls.resolve(x.CallID, x.Status)
	case berylreducer.RebootWorker:
		d.async(ctx, func(ctx context.Context) { d.rebootWorker(ctx, x) })
	case berylreducer.Count:
		d.Metrics.Count(x.Name, x.N)
	case berylreducer.SetGauge:
		d.Metrics.Gauge(x.Name, int64(x.Value))
	case berylreducer.LogState:
		d.logState(x)
	case berylreducer.SetReady:
		d.ready.Store(x.Ready)
		d.Log.Info().Str("subject", "readiness").Bool("to", x.Ready).Msg("state changed")
	case berylreducer.Stop:
		d.stopOnce.Do(func() { close(d.stop) })
	}
}

func (d *Daemon) logState(x berylreducer.LogState) {
	e := d.Log.Info().Str("subject", x.Subject).Str("from", x.From).Str("to", x.To)
	if x.Detail != "" {
		e = e.Str("detail", x.Detail)
	}
	e.Msg("state changed")
}
