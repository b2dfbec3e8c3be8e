package berylcommand

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"
)

// statusFleet shows the nodes and the instances as one node reports them.
type statusFleet struct{}

// Run prints a line for each node and each instance.
func (*statusFleet) Run(s *session) error {
	v, err := s.status()
	if err != nil {
		return err
	}
	if s.settings.Output == "json" {
		doc, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true, Indent: "  "}.Marshal(v)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(s.stdout, string(doc))
		return err
	}
	_, _ = fmt.Fprintf(s.stdout, "reported by node %s: mode %s, configuration version %d\n\n",
		v.GetNode(), v.GetMode(), v.GetConfigVersion())
	nodes := table{header: []string{"node", "data_centre", "state", "version"}}
	for _, n := range v.GetNodes() {
		nodes.add(nil, n.GetId(), n.GetDataCentre(), n.GetState(), n.GetConfigVersion())
	}
	if err := s.printTable(nodes); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(s.stdout)
	instances := table{header: []string{"instance", "pool", "data_centre", "state", "health", "running"}}
	for _, i := range v.GetInstances() {
		instances.add(nil, i.GetId(), i.GetPool(), i.GetDataCentre(), i.GetState(), i.GetHealth(), i.GetRunning())
	}
	return s.printTable(instances)
}
