package berylcommand

// statusTeam shows the running and waiting work of the teams.
type statusTeam struct {
	Name string `arg:"" optional:"" help:"Name of the team; every team if empty."`
}

// teamWork is the printed state of one team.
type teamWork struct {
	Name    string `json:"name"`
	Running int32  `json:"running"`
	Waiting int32  `json:"waiting"`
	Units   int32  `json:"units"`
	Ceiling int32  `json:"ceiling"`
}

// Run prints a line for each team, or for the named one.
func (cmd *statusTeam) Run(s *session) error {
	v, err := s.status()
	if err != nil {
		return err
	}
	out := table{header: []string{"team", "running", "waiting", "units", "ceiling"}}
	for _, t := range v.GetTeams() {
		if cmd.Name != "" && cmd.Name != t.GetName() {
			continue
		}
		w := teamWork{
			Name: t.GetName(), Running: t.GetRunning(), Waiting: t.GetWaiting(), Units: t.GetUnits(), Ceiling: t.GetCeiling(),
		}
		out.add(w, w.Name, w.Running, w.Waiting, w.Units, w.Ceiling)
	}
	if cmd.Name != "" && len(out.rows) == 0 {
		return &refusedError{reason: "no team has the name " + cmd.Name}
	}
	return s.printTable(out)
}
