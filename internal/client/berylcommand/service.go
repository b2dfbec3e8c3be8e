package berylcommand

// serviceCommand groups the commands of services.
type serviceCommand struct {
	Create serviceCreate `cmd:"" help:"Create a service."`
	List   serviceList   `cmd:"" help:"List the services."`
	Show   serviceShow   `cmd:"" help:"Show one service."`
	Change serviceChange `cmd:"" help:"Change the fields that are given."`
	Remove serviceRemove `cmd:"" help:"Remove a service without pools and waves."`
}
