package berylcommand

// instanceCommand groups the commands of instances.
type instanceCommand struct {
	Create instanceCreate `cmd:"" help:"Add an active instance."`
	Import instanceImport `cmd:"" help:"Add the instances of a file."`
	List   instanceList   `cmd:"" help:"List the instances."`
	Show   instanceShow   `cmd:"" help:"Show one instance."`
	Change instanceChange `cmd:"" help:"Change the fields that are given."`
	Remove instanceRemove `cmd:"" help:"Remove a drained instance."`
	Drain  instanceDrain  `cmd:"" help:"Take an instance out of service if the disruption budget of its service allows it."`
	Return instanceReturn `cmd:"" help:"Put a draining instance back into service."`
	Move   instanceMove   `cmd:"" help:"Drain an instance and move it to another pool."`
}
