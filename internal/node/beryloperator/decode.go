package beryloperator

import (
	"fmt"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"github.com/twitchtv/twirp"
)

// decodeChanges converts the changes of a call; it refuses an empty list, a list that is too long, and changes of an
// unknown kind.
func decodeChanges(in []*berylwire.Change) ([]berylplan.Change, error) {
	if len(in) == 0 || len(in) > maxChanges {
		return nil, twirp.InvalidArgumentError("changes", fmt.Sprintf("must have between 1 and %d entries, got %d", maxChanges, len(in)))
	}
	out := make([]berylplan.Change, 0, len(in))
	for n, ch := range in {
		d := decodeChange(ch)
		if d != nil && ch.GetCreateOnly() {
			d = berylplan.CreateOnly{Change: d}
		}
		if d == nil {
			return nil, twirp.InvalidArgumentError(fmt.Sprintf("changes[%d]", n), "is empty or of an unknown kind")
		}
		out = append(out, d)
	}
	return out, nil
}

// decodeChange returns nil for a change of an unknown kind.
func decodeChange(in *berylwire.Change) berylplan.Change {
	switch ch := in.GetChange().(type) {
	case *berylwire.Change_PutTeam:
		t := ch.PutTeam
		return berylplan.PutTeam{Team: beryllatch.Team{
			Name: t.GetName(), Weight: int(t.GetWeight()), Ceiling: int(t.GetCeiling()),
		}}
	case *berylwire.Change_RemoveTeam:
		return berylplan.RemoveTeam{Name: ch.RemoveTeam}
	case *berylwire.Change_PutService:
		s := ch.PutService
		return berylplan.PutService{Service: beryllatch.Service{
			Name: s.GetName(), MaxUnavailable: int(s.GetMaxUnavailable()),
		}}
	case *berylwire.Change_RemoveService:
		return berylplan.RemoveService{Name: ch.RemoveService}
	case *berylwire.Change_PutPool:
		p := ch.PutPool
		return berylplan.PutPool{Pool: beryllatch.Pool{
			Name: p.GetName(), Service: p.GetService(), Spare: p.GetSpare(), MinSize: int(p.GetMinSize()),
			StandingLoan: int(p.GetStandingLoan()),
		}}
	case *berylwire.Change_RemovePool:
		return berylplan.RemovePool{Name: ch.RemovePool}
	case *berylwire.Change_PutQueue:
		return berylplan.PutQueue{Queue: decodeQueue(ch.PutQueue)}
	case *berylwire.Change_RemoveQueue:
		return berylplan.RemoveQueue{Name: ch.RemoveQueue}
	case *berylwire.Change_PutApiKey:
		k := ch.PutApiKey
		return berylplan.PutAPIKey{Key: beryllatch.APIKey{ID: k.GetId(), Team: k.GetTeam(), Hash: k.GetHash()}}
	case *berylwire.Change_WithdrawApiKey:
		return berylplan.WithdrawAPIKey{ID: ch.WithdrawApiKey}
	}
	if ch := decodePartialChange(in); ch != nil {
		return ch
	}
	return decodeFleetChange(in)
}

// decodePartialChange decodes the changes that replace only the fields that are set. It returns nil for any other
// change.
func decodePartialChange(in *berylwire.Change) berylplan.Change {
	switch ch := in.GetChange().(type) {
	case *berylwire.Change_ChangeTeam:
		t := ch.ChangeTeam
		return berylplan.ChangeTeam{Name: t.GetName(), Weight: toInt(t.Weight), Ceiling: toInt(t.Ceiling)}
	case *berylwire.Change_ChangeService:
		s := ch.ChangeService
		return berylplan.ChangeService{Name: s.GetName(), MaxUnavailable: toInt(s.MaxUnavailable)}
	case *berylwire.Change_ChangePool:
		p := ch.ChangePool
		return berylplan.ChangePool{
			Name: p.GetName(), Service: p.Service, Spare: p.Spare, MinSize: toInt(p.MinSize),
			StandingLoan: toInt(p.StandingLoan),
		}
	case *berylwire.Change_ChangeQueue:
		q := ch.ChangeQueue
		return berylplan.ChangeQueue{
			Name: q.GetName(), Pool: q.Pool, Team: q.Team, Open: q.Open,
			DeadlineMS: toInt(q.DeadlineMs), MaxQueued: toInt(q.MaxQueued),
		}
	case *berylwire.Change_ChangeDataCentre:
		return berylplan.ChangeDataCentre{Name: ch.ChangeDataCentre.GetName(), Region: ch.ChangeDataCentre.Region}
	case *berylwire.Change_ChangeInstance:
		i := ch.ChangeInstance
		return berylplan.ChangeInstance{
			ID: i.GetId(), DataCentre: i.DataCentre, Rack: i.Rack, Address: i.Address,
			Slots: toInt(i.Slots), Connections: toInt(i.Connections), Cores: toInt(i.Cores),
			MemoryMB: toInt(i.MemoryMb), Accelerators: toInt(i.Accelerators),
		}
	}
	return nil
}

// toInt converts an optional number, which is nil if it is not set.
func toInt(n *int32) *int {
	if n == nil {
		return nil
	}
	i := int(*n)
	return &i
}

// decodeFleetChange decodes the changes of data centres, instances and waves. It returns nil for any other change.
func decodeFleetChange(in *berylwire.Change) berylplan.Change {
	switch ch := in.GetChange().(type) {
	case *berylwire.Change_PutDataCentre:
		d := ch.PutDataCentre
		return berylplan.PutDataCentre{DataCentre: beryllatch.DataCentre{Name: d.GetName(), Region: d.GetRegion()}}
	case *berylwire.Change_RemoveDataCentre:
		return berylplan.RemoveDataCentre{Name: ch.RemoveDataCentre}
	case *berylwire.Change_SetDataCentreOut:
		return berylplan.SetDataCentreOut{Name: ch.SetDataCentreOut.GetName(), Out: ch.SetDataCentreOut.GetOut()}
	case *berylwire.Change_PutInstance:
		return berylplan.PutInstance{Instance: decodeInstance(ch.PutInstance)}
	case *berylwire.Change_RemoveInstance:
		return berylplan.RemoveInstance{ID: ch.RemoveInstance}
	case *berylwire.Change_DrainInstance:
		return berylplan.DrainInstance{ID: ch.DrainInstance}
	case *berylwire.Change_ReturnInstance:
		return berylplan.ReturnInstance{ID: ch.ReturnInstance}
	case *berylwire.Change_MoveInstance:
		return berylplan.MoveInstance{ID: ch.MoveInstance.GetInstance(), Pool: ch.MoveInstance.GetPool()}
	case *berylwire.Change_SetLoadMoves:
		return berylplan.SetLoadMoves{On: ch.SetLoadMoves}
	case *berylwire.Change_StartWave:
		w := ch.StartWave
		return berylplan.StartWave{Wave: beryllatch.Wave{
			ID: w.GetId(), Services: w.GetServices(), MaxUnhealthy: int(w.GetMaxUnhealthy()),
		}}
	case *berylwire.Change_PauseWave:
		return berylplan.PauseWave{ID: ch.PauseWave}
	case *berylwire.Change_ResumeWave:
		return berylplan.ResumeWave{ID: ch.ResumeWave}
	case *berylwire.Change_StopWave:
		return berylplan.StopWave{ID: ch.StopWave}
	}
	return nil
}

func decodeQueue(q *berylwire.Queue) beryllatch.Queue {
	return beryllatch.Queue{
		Name: q.GetName(), Pool: q.GetPool(), Team: q.GetTeam(), Open: q.GetOpen(),
		DeadlineMS: int(q.GetDeadlineMs()), MaxQueued: int(q.GetMaxQueued()),
	}
}

func decodeInstance(i *berylwire.Instance) beryllatch.Instance {
	return beryllatch.Instance{
		ID: i.GetId(), Pool: i.GetPool(), DataCentre: i.GetDataCentre(), Rack: i.GetRack(), Address: i.GetAddress(),
		Slots: int(i.GetSlots()), Connections: int(i.GetConnections()), Cores: int(i.GetCores()),
		MemoryMB: int(i.GetMemoryMb()), Accelerators: int(i.GetAccelerators()),
	}
}
