package berylcommand

// taskCommand groups the commands of tasks that wait for an operator.
type taskCommand struct {
	List    taskList    `cmd:"" help:"List the tasks that are parked or of unknown outcome."`
	Show    taskShow    `cmd:"" help:"Show a task and what operators decided about it."`
	Resolve taskResolve `cmd:"" help:"Decide about a task that is parked or of unknown outcome."`
}
