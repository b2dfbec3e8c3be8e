package berylcommand

// statusCommand groups the commands that show the state of the fleet, the teams and tasks.
type statusCommand struct {
	Fleet statusFleet `cmd:"" help:"Nodes and instances."`
	Team  statusTeam  `cmd:"" help:"Running and waiting work of the teams."`
	Task  statusTask  `cmd:"" help:"State of one task."`
}
