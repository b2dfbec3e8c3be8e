package berylcommand

import (
	"fmt"

	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// encodePlan returns the changes of a generated plan in the form of the operators' API.
func encodePlan(p berylplan.Plan) ([]*berylwire.Change, error) {
	out := make([]*berylwire.Change, 0, len(p.Changes))
	for _, e := range p.Changes {
		ch, err := encodeChange(e.Change)
		if err != nil {
			return nil, err
		}
		out = append(out, ch)
	}
	return out, nil
}

// encodeChange encodes a change for the operators' API. It supports only the kinds of changes that the questionnaire
// generates.
func encodeChange(in berylplan.Change) (*berylwire.Change, error) {
	switch ch := in.(type) {
	case berylplan.CreateOnly:
		out, err := encodeChange(ch.Change)
		if err != nil {
			return nil, err
		}
		out.CreateOnly = true
		return out, nil
	case berylplan.PutTeam:
		t := ch.Team
		return &berylwire.Change{Change: &berylwire.Change_PutTeam{PutTeam: &berylwire.Team{
			Name: t.Name, Weight: int32(t.Weight), Ceiling: int32(t.Ceiling),
		}}}, nil
	case berylplan.PutService:
		v := ch.Service
		return &berylwire.Change{Change: &berylwire.Change_PutService{PutService: &berylwire.Service{
			Name: v.Name, MaxUnavailable: int32(v.MaxUnavailable),
		}}}, nil
	case berylplan.PutPool:
		p := ch.Pool
		return &berylwire.Change{Change: &berylwire.Change_PutPool{PutPool: &berylwire.Pool{
			Name: p.Name, Service: p.Service, Spare: p.Spare, MinSize: int32(p.MinSize),
			StandingLoan: int32(p.StandingLoan),
		}}}, nil
	case berylplan.PutQueue:
		q := ch.Queue
		return &berylwire.Change{Change: &berylwire.Change_PutQueue{PutQueue: &berylwire.Queue{
			Name: q.Name, Pool: q.Pool, Team: q.Team, Open: q.Open,
			DeadlineMs: int32(q.DeadlineMS), MaxQueued: int32(q.MaxQueued),
		}}}, nil
	case berylplan.PutDataCentre:
		d := ch.DataCentre
		return &berylwire.Change{Change: &berylwire.Change_PutDataCentre{PutDataCentre: &berylwire.DataCentre{
			Name: d.Name, Region: d.Region,
		}}}, nil
	case berylplan.SetLoadMoves:
		return &berylwire.Change{Change: &berylwire.Change_SetLoadMoves{SetLoadMoves: ch.On}}, nil
	}
	return nil, fmt.Errorf("no encoding for a change of type %T", in)
}
