package beryldaemon

import "github.com/beryllatch/beryllatch/internal/decision/berylreducer"

// Stop starts a graceful shutdown: Run returns once no request or task runs through this node any more.
func (d *Daemon) Stop() { d.Post(berylreducer.StopRequested{}) }
