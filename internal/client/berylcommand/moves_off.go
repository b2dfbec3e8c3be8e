package berylcommand

import "github.com/beryllatch/beryllatch/internal/rpc/berylwire"

// movesOff stops the nodes from moving instances for load; moves under way end as they are.
type movesOff struct{}

// Help gives an example.
func (*movesOff) Help() string { return "Example:\n  beryllatch moves off" }

// Run sends the change.
func (*movesOff) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_SetLoadMoves{SetLoadMoves: false}})
}
