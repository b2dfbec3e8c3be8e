package berylcommand

// movesCommand groups the commands that switch load moves on and off, in which nodes move instances to the pools with
// more load.
type movesCommand struct {
	On  movesOn  `cmd:"" help:"Let the nodes move instances for load."`
	Off movesOff `cmd:"" help:"Stop the nodes from moving instances for load."`
}
