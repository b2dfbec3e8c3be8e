package berylcommand

// movesCommand groups the commands of load moves.
type movesCommand struct {
	On  movesOn  `cmd:"" help:"Let the nodes move instances for load."`
	Off movesOff `cmd:"" help:"Stop the nodes from moving instances for load."`
}
