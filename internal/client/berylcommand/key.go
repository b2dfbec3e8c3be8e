package berylcommand

// keyCommand groups the commands of keys.
type keyCommand struct {
	Create   keyCreate   `cmd:"" help:"Create a key; its secret is shown once."`
	List     keyList     `cmd:"" help:"List the keys."`
	Show     keyShow     `cmd:"" help:"Show one key."`
	Withdraw keyWithdraw `cmd:"" help:"Withdraw a key permanently."`
}
