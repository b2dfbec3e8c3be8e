package berylcommand

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
	"golang.org/x/term"
)

// barWidth is the width of the progress bar in characters.
const barWidth = 30

// waveWatch shows the progress of a wave.
type waveWatch struct {
	ID       string        `arg:"" help:"ID of the wave."`
	Interval time.Duration `default:"2s" help:"Time between two polls."`
}

// Help gives an example.
func (*waveWatch) Help() string { return "Example:\n  beryllatch wave watch december" }

// Run prints the progress until the wave is done; a stopped wave ends the command with the exit status of a refusal.
func (cmd *waveWatch) Run(s *session) error {
	lastLine := ""
	for {
		c, err := s.config()
		if err != nil {
			return err
		}
		w, err := find("wave", cmd.ID, c.Waves)
		if err != nil {
			return err
		}
		p := berylplan.WaveProgress(c, w, berylplan.StepTime)
		if lastLine, err = s.printProgress(p, lastLine); err != nil {
			return err
		}
		switch w.State {
		case beryllatch.WaveDone:
			return s.endProgress()
		case beryllatch.WaveStopped:
			_ = s.endProgress()
			return &refusedError{reason: "the wave stopped: " + w.Reason}
		}
		select {
		case <-s.ctx.Done():
			return s.endProgress()
		case <-time.After(cmd.Interval):
		}
	}
}

// printProgress writes the progress if it differs from the last line, and returns the new last line. On a terminal it
// overwrites the line, otherwise it prints a line for each change.
func (s *session) printProgress(p berylplan.Progress, lastLine string) (string, error) {
	line := progressLine(p)
	if line == lastLine {
		return lastLine, nil
	}
	var err error
	switch {
	case s.settings.Output == "json":
		err = s.printJSON(p)
	case s.onTerminal():
		_, err = fmt.Fprintf(s.stdout, "\r\x1b[K%s", line)
	default:
		_, err = fmt.Fprintln(s.stdout, line)
	}
	return line, err
}

// endProgress ends the line that printProgress overwrites on a terminal.
func (s *session) endProgress() error {
	if s.settings.Output == "json" || !s.onTerminal() {
		return nil
	}
	_, err := fmt.Fprintln(s.stdout)
	return err
}

// onTerminal reports whether the output goes to a terminal.
func (s *session) onTerminal() bool {
	f, ok := s.stdout.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}

// progressLine formats the progress as a bar, the counts, the state and what else is known.
func progressLine(p berylplan.Progress) string {
	filled := 0
	if p.Total > 0 {
		filled = barWidth * p.Done / p.Total
	}
	line := fmt.Sprintf("[%s%s] %d/%d %s", strings.Repeat("#", filled), strings.Repeat(".", barWidth-filled),
		p.Done, p.Total, p.State)
	if p.Left > 0 {
		line += fmt.Sprintf(", about %s left", p.Left.Round(time.Second))
	}
	if len(p.UnderWay) > 0 {
		line += ", under way: " + strings.Join(p.UnderWay, " ")
	}
	if p.Reason != "" {
		line += ", " + p.Reason
	}
	return line
}
