package berylcommand

import "github.com/beryllatch/beryllatch/internal/rpc/berylwire"

// movesOn lets the nodes start load moves.
type movesOn struct{}

// Help gives an example.
func (*movesOn) Help() string { return "Example:\n  beryllatch moves on" }

// Run sends the change.
func (*movesOn) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_SetLoadMoves{SetLoadMoves: true}})
}
