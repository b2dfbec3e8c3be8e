package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// instanceCreate adds an active instance.
type instanceCreate struct {
	ID           string `arg:"" help:"ID of the instance."`
	Pool         string `required:"" help:"Pool that the instance joins."`
	DataCentre   string `required:"" name:"dc" help:"Data centre of the instance."`
	Rack         string `required:"" help:"Rack within the data centre."`
	Address      string `name:"worker-address" required:"" help:"Host and port of the worker."`
	Slots        int32  `required:"" help:"Executions that the instance runs at once."`
	Connections  int32  `required:"" help:"Connections that the instance accepts."`
	Cores        int32  `help:"Processor cores."`
	MemoryMB     int32  `name:"memory-mb" help:"Memory in MB."`
	Accelerators int32  `help:"Accelerators."`
}

// Help gives an example.
func (*instanceCreate) Help() string {
	return "Example:\n  beryllatch instance create w1 --pool=lacing --dc=nairobi-1 --rack=r1 --worker-address=127.0.0.1:9001 --slots=8 --connections=64"
}

// Run sends the change.
func (cmd *instanceCreate) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_PutInstance{PutInstance: &berylwire.Instance{
		Id: cmd.ID, Pool: cmd.Pool, DataCentre: cmd.DataCentre, Rack: cmd.Rack, Address: cmd.Address,
		Slots: cmd.Slots, Connections: cmd.Connections, Cores: cmd.Cores, MemoryMb: cmd.MemoryMB, Accelerators: cmd.Accelerators,
	}}, CreateOnly: true})
}
