package beryldaemon

import "github.com/beryllatch/beryllatch/internal/decision/berylreducer"

// Stop starts a graceful shutdown: Run returns once the requests and the operators' calls in progress are completed and
// the node has handed over its shards and units.
func (d *Daemon) Stop() { d.Post(berylreducer.StopRequested{}) }
