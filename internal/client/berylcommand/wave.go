package berylcommand

// waveCommand groups the commands of maintenance waves.
type waveCommand struct {
	Start  waveStart  `cmd:"" help:"Start a wave."`
	List   waveList   `cmd:"" help:"List the waves."`
	Watch  waveWatch  `cmd:"" help:"Show the progress of a wave until it ends."`
	Pause  wavePause  `cmd:"" help:"Pause a wave: start no further steps."`
	Resume waveResume `cmd:"" help:"Continue a paused or stopped wave."`
	Stop   waveStop   `cmd:"" help:"End a wave."`
}
