package berylcommand

// poolCommand groups the commands of pools.
type poolCommand struct {
	Create poolCreate `cmd:"" help:"Create a pool."`
	List   poolList   `cmd:"" help:"List the pools."`
	Show   poolShow   `cmd:"" help:"Show one pool."`
	Change poolChange `cmd:"" help:"Change the fields that are given."`
	Remove poolRemove `cmd:"" help:"Remove a pool without queues and instances."`
}
