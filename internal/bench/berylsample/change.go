package berylsample

import (
	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// Changes returns the operators' changes that build the configuration c from an empty one.
func Changes(c beryllatch.Config) []*berylwire.Change {
	var out []*berylwire.Change
	for _, k := range beryllatch.SortedKeys(c.DataCentres) {
		d := c.DataCentres[k]
		out = append(out, &berylwire.Change{Change: &berylwire.Change_PutDataCentre{
			PutDataCentre: &berylwire.DataCentre{Name: d.Name, Region: d.Region},
		}})
	}
	for _, k := range beryllatch.SortedKeys(c.Services) {
		s := c.Services[k]
		out = append(out, &berylwire.Change{Change: &berylwire.Change_PutService{
			PutService: &berylwire.Service{Name: s.Name, MaxUnavailable: int32(s.MaxUnavailable)},
		}})
	}
	for _, k := range beryllatch.SortedKeys(c.Pools) {
		p := c.Pools[k]
		out = append(out, &berylwire.Change{Change: &berylwire.Change_PutPool{
			PutPool: &berylwire.Pool{Name: p.Name, Service: p.Service},
		}})
	}
	for _, k := range beryllatch.SortedKeys(c.Queues) {
		q := c.Queues[k]
		out = append(out, &berylwire.Change{Change: &berylwire.Change_PutQueue{
			PutQueue: &berylwire.Queue{Name: q.Name, Pool: q.Pool},
		}})
	}
	return append(append(out, teamChanges(c)...), instanceChanges(c)...)
}

func teamChanges(c beryllatch.Config) []*berylwire.Change {
	var out []*berylwire.Change
	for _, k := range beryllatch.SortedKeys(c.Teams) {
		t := c.Teams[k]
		out = append(out, &berylwire.Change{Change: &berylwire.Change_PutTeam{
			PutTeam: &berylwire.Team{Name: t.Name, Weight: int32(t.Weight), Ceiling: int32(t.Ceiling)},
		}})
	}
	for _, k := range beryllatch.SortedKeys(c.APIKeys) {
		a := c.APIKeys[k]
		out = append(out, &berylwire.Change{Change: &berylwire.Change_PutApiKey{
			PutApiKey: &berylwire.ApiKey{Id: a.ID, Team: a.Team, Hash: a.Hash},
		}})
	}
	return out
}

func instanceChanges(c beryllatch.Config) []*berylwire.Change {
	var out []*berylwire.Change
	for _, k := range beryllatch.SortedKeys(c.Instances) {
		i := c.Instances[k]
		out = append(out, &berylwire.Change{Change: &berylwire.Change_PutInstance{PutInstance: &berylwire.Instance{
			Id: i.ID, Pool: i.Pool, DataCentre: i.DataCentre, Rack: i.Rack, Address: i.Address, Slots: int32(i.Slots),
			Connections: int32(i.Connections), Cores: int32(i.Cores), MemoryMb: int32(i.MemoryMB),
			Accelerators: int32(i.Accelerators),
		}}})
	}
	return out
}
