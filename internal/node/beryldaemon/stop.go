package beryldaemon

import "github.com/beryllatch/beryllatch/internal/decision/berylreducer"

// Stop starts a graceful shutdown; Run returns once nothing is running.
func (d *Daemon) Stop() { d.Post(berylreducer.StopRequested{}) }
