package berylcommand

// movesCommand groups the commands that switch load moves on and off. In a load move, the nodes move an instance to a
// pool with more load.
type movesCommand struct {
	On  movesOn  `cmd:"" help:"Let the nodes move instances to pools with more load."`
	Off movesOff `cmd:"" help:"Stop the nodes from starting load moves."`
}
