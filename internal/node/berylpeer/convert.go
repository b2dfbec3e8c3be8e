package berylpeer

import (
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

func demandToWire(list []berylreducer.Demand) []*berylwire.TeamDemand {
	out := make([]*berylwire.TeamDemand, len(list))
	for i, d := range list {
		out[i] = &berylwire.TeamDemand{
			Team: d.Team, Running: int32(d.Running), Waiting: int32(d.Waiting), Units: int32(d.Units),
		}
	}
	return out
}

func demandFromWire(list []*berylwire.TeamDemand) []berylreducer.Demand {
	out := make([]berylreducer.Demand, len(list))
	for i, d := range list {
		out[i] = berylreducer.Demand{
			Team: d.GetTeam(), Running: int(d.GetRunning()), Waiting: int(d.GetWaiting()), Units: int(d.GetUnits()),
		}
	}
	return out
}

func workToWire(list []berylreducer.PoolWork) []*berylwire.PoolWork {
	out := make([]*berylwire.PoolWork, len(list))
	for i, w := range list {
		out[i] = &berylwire.PoolWork{Pool: w.Pool, Slots: int32(w.Slots)}
	}
	return out
}

func workFromWire(list []*berylwire.PoolWork) []berylreducer.PoolWork {
	out := make([]berylreducer.PoolWork, len(list))
	for i, w := range list {
		out[i] = berylreducer.PoolWork{Pool: w.GetPool(), Slots: int(w.GetSlots())}
	}
	return out
}

func identity(node, incarnation string) berylreducer.Identity {
	return berylreducer.Identity{Node: node, Incarnation: incarnation}
}
