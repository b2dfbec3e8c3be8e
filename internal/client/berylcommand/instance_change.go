package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// instanceChange changes the given fields of an instance. Its pool is changed by instanceMove instead, which drains the
// instance first.
type instanceChange struct {
	ID           string  `arg:"" help:"ID of the instance."`
	DataCentre   *string `name:"dc" help:"Data centre of the instance."`
	Rack         *string `help:"Rack within the data centre."`
	Address      *string `name:"worker-address" help:"Host and port of the worker."`
	Slots        *int32  `help:"Executions that the instance runs at once."`
	Connections  *int32  `help:"Connections that the instance accepts."`
	Cores        *int32  `help:"Processor cores."`
	MemoryMB     *int32  `name:"memory-mb" help:"Memory in MB."`
	Accelerators *int32  `help:"Accelerators."`
}

// Run sends the change.
func (cmd *instanceChange) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_ChangeInstance{ChangeInstance: &berylwire.ChangeInstance{
		Id: cmd.ID, DataCentre: cmd.DataCentre, Rack: cmd.Rack, Address: cmd.Address,
		Slots: cmd.Slots, Connections: cmd.Connections, Cores: cmd.Cores, MemoryMb: cmd.MemoryMB, Accelerators: cmd.Accelerators,
	}}})
}
