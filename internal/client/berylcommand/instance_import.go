package berylcommand

import (
	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// instanceImport adds the instances of a file in one configuration version.
type instanceImport struct {
	File string `arg:"" type:"path" help:"JSON file with a list of instances under the key instances; - reads the standard input."`
}

// Help gives an example.
func (*instanceImport) Help() string {
	return `Example:
  beryllatch instance import fleet.json
with fleet.json
  {"instances": [{"id": "w1", "pool": "lacing", "data_centre": "nairobi-1", "rack": "r1",
    "address": "127.0.0.1:9001", "slots": 8, "connections": 64, "cores": 16, "memory_mb": 65536}]}`
}

// importFile is the content of the file with the instances.
type importFile struct {
	Instances []importInstance `json:"instances"`
}

// importInstance has the fields of an instance that an operator sets.
type importInstance struct {
	ID           string `json:"id"`
	Pool         string `json:"pool"`
	DataCentre   string `json:"data_centre"`
	Rack         string `json:"rack"`
	Address      string `json:"address"`
	Slots        int32  `json:"slots"`
	Connections  int32  `json:"connections"`
	Cores        int32  `json:"cores"`
	MemoryMB     int32  `json:"memory_mb"`
	Accelerators int32  `json:"accelerators"`
}

// Run adds all instances, or none if one of them cannot be added.
func (cmd *instanceImport) Run(s *session) error {
	doc, err := s.readFile(cmd.File)
	if err != nil {
		return err
	}
	changes, err := decodeImport(doc)
	if err != nil {
		return usagef("%s: %w", cmd.File, err)
	}
	return s.change(changes...)
}

// decodeImport returns the changes that add the instances of the file; unknown fields and an empty list are refused.
func decodeImport(doc []byte) ([]*berylwire.Change, error) {
	var f importFile
	if err := decodeStrict(doc, &f); err != nil {
		return nil, err
	}
	if len(f.Instances) == 0 {
		return nil, &beryllatch.InvalidFieldError{Field: "instances", Reason: "is empty"}
	}
	out := make([]*berylwire.Change, 0, len(f.Instances))
	for _, i := range f.Instances {
		out = append(out, &berylwire.Change{Change: &berylwire.Change_PutInstance{PutInstance: &berylwire.Instance{
			Id: i.ID, Pool: i.Pool, DataCentre: i.DataCentre, Rack: i.Rack, Address: i.Address, Slots: i.Slots,
			Connections: i.Connections, Cores: i.Cores, MemoryMb: i.MemoryMB, Accelerators: i.Accelerators,
		}}, CreateOnly: true})
	}
	return out, nil
}
