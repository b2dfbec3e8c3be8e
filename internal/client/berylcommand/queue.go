package berylcommand

// queueCommand groups the commands of queues.
type queueCommand struct {
	Create queueCreate `cmd:"" help:"Create a queue."`
	List   queueList   `cmd:"" help:"List the queues."`
	Show   queueShow   `cmd:"" help:"Show one queue."`
	Change queueChange `cmd:"" help:"Change the fields that are given."`
	Remove queueRemove `cmd:"" help:"Remove a queue."`
}
