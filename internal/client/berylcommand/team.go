package berylcommand

// teamCommand groups the commands of teams.
type teamCommand struct {
	Create        teamCreate        `cmd:"" help:"Create a team."`
	List          teamList          `cmd:"" help:"List the teams."`
	Show          teamShow          `cmd:"" help:"Show one team."`
	Change        teamChange        `cmd:"" help:"Change the fields that are given."`
	Remove        teamRemove        `cmd:"" help:"Remove a team that has no queues and no keys except withdrawn ones."`
	Questionnaire teamQuestionnaire `cmd:"" help:"Generate the configuration from answers about work, customers and limits."`
}
