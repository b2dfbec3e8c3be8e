package berylcommand

// dataCentreCommand groups the commands of data centres.
type dataCentreCommand struct {
	Create dataCentreCreate `cmd:"" help:"Create a data centre."`
	List   dataCentreList   `cmd:"" help:"List the data centres."`
	Show   dataCentreShow   `cmd:"" help:"Show one data centre."`
	Change dataCentreChange `cmd:"" help:"Change the fields that are given."`
	Remove dataCentreRemove `cmd:"" help:"Remove a data centre without instances."`
	Out    dataCentreOut    `cmd:"" help:"Take a data centre out of service at once."`
	In     dataCentreIn     `cmd:"" help:"Bring a data centre back into service."`
}
