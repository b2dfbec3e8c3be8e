package berylcommand

import (
	"fmt"
	"text/tabwriter"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

// teamQuestionnaire generates a configuration from the answers to the questionnaire.
type teamQuestionnaire struct {
	Answers string `type:"path" placeholder:"FILE" help:"JSON file with the answers; - reads the standard input. Without it, the questions are asked on the terminal."`
	Apply   bool   `help:"Apply the configuration and create a key for each customer."`
}

// Help gives an example.
func (*teamQuestionnaire) Help() string {
	return `Example:
  beryllatch team questionnaire --answers=examples/rimwise.json
  beryllatch team questionnaire --answers=examples/rimwise.json --apply
The configuration is shown line by line with reasons and checked as a whole; nothing is sent without --apply.`
}

// Run shows the generated configuration, and applies it if the flag is set.
func (cmd *teamQuestionnaire) Run(s *session) error {
	if cmd.Apply && s.settings.OperationID != "" {
		return usagef("--operation-id: a repeat would create new keys; check with 'beryllatch team list' instead")
	}
	a, err := cmd.answers(s)
	if err != nil {
		return err
	}
	p, err := berylplan.PlanAnswers(a)
	if err != nil {
		return &usageError{err: err}
	}
	if _, err := p.Apply(beryllatch.Config{}); err != nil {
		return &usageError{err: err}
	}
	out := newPlanOutput(p)
	if !cmd.Apply || s.settings.Output != "json" {
		if err := s.printPlan(out); err != nil {
			return err
		}
	}
	if !cmd.Apply {
		return nil
	}
	return s.applyPlan(p, out)
}

// answers reads the answers from the file, or asks the questions if there is no file.
func (cmd *teamQuestionnaire) answers(s *session) (berylplan.Answers, error) {
	if cmd.Answers == "" {
		return askQuestions(s)
	}
	doc, err := s.readFile(cmd.Answers)
	if err != nil {
		return berylplan.Answers{}, err
	}
	a, err := decodeAnswers(doc)
	if err != nil {
		return a, usagef("%s: %w", cmd.Answers, err)
	}
	return a, nil
}

// decodeAnswers decodes and validates the answers; unknown and repeated fields are refused.
func decodeAnswers(doc []byte) (berylplan.Answers, error) {
	var a berylplan.Answers
	if err := decodeStrict(doc, &a); err != nil {
		return berylplan.Answers{}, err
	}
	return a, a.Validate()
}

// planLine is one line of the generated configuration and the reason for it.
type planLine struct {
	Line string `json:"line"`
	Why  string `json:"why"`
}

// planOutput is the printed form of the generated configuration.
type planOutput struct {
	Lines []planLine `json:"lines"`
	Notes []string   `json:"notes"`
}

func newPlanOutput(p berylplan.Plan) planOutput {
	out := planOutput{Notes: p.Notes}
	for _, e := range p.Changes {
		out.Lines = append(out.Lines, planLine{Line: e.Line(), Why: e.Why})
	}
	return out
}

func (s *session) printPlan(out planOutput) error {
	if s.settings.Output == "json" {
		return s.printJSON(out)
	}
	w := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	for _, l := range out.Lines {
		_, _ = fmt.Fprintf(w, "%s\t# %s\n", l.Line, l.Why)
	}
	for _, n := range out.Notes {
		_, _ = fmt.Fprintf(w, "# %s\n", n)
	}
	return w.Flush()
}

// applyPlan makes the changes of the plan and creates a key for each customer, in one configuration version.
func (s *session) applyPlan(p berylplan.Plan, out planOutput) error {
	changes, err := encodePlan(p)
	if err != nil {
		return err
	}
	var keys []createdKey
	for _, team := range p.Customers {
		secret, hash, err := newSecret(s.random)
		if err != nil {
			return err
		}
		keys = append(keys, createdKey{ID: team + "-1", Team: team, Secret: secret})
		changes = append(changes, putKey(team+"-1", team, hash))
	}
	return s.changeWithExtra(extraOutput{Plan: &out, Keys: keys}, changes...)
}
