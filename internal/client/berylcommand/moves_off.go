package berylcommand

import "github.com/beryllatch/beryllatch/internal/rpc/berylwire"

// movesOff stops the nodes from starting load moves; moves already under way are completed.
type movesOff struct{}

// Help gives an example.
func (*movesOff) Help() string { return "Example:\n  beryllatch moves off" }

// Run sends the change.
func (*movesOff) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_SetLoadMoves{SetLoadMoves: false}})
}
