package berylcommand

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// explainCommand prints what the logs of the nodes say about a job.
type explainCommand struct {
	Job   string   `arg:"" help:"ID of the job."`
	Files []string `arg:"" optional:"" type:"existingfile" help:"Log files of the nodes; default: standard input."`
}

// Help gives an example.
func (*explainCommand) Help() string {
	return "Example:\n  beryllatch explain 5c0e7a21d94b36f8 n1.log n2.log n3.log"
}

// maxLogLine is the largest size of a log line in bytes; the lines of decisions are far shorter.
const maxLogLine = 1 << 20

// logLine is the time and the formatted text of a log line.
type logLine struct{ time, text string }

// nodeEvents lists the log events of a node that name no job but affect all jobs.
var nodeEvents = map[string]bool{
	"takeover": true, "takeover_failed": true, "duty_released": true, "resigned": true, "store_failing": true,
	"dependency_lost": true, "dependency_regained": true, "started": true, "stopping": true,
}

// Run prints the lines that name the job, and the node events between the first and the last of them, in chronological
// order.
func (c *explainCommand) Run(s *session) error {
	var lines []logLine
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return eris.Wrap(err, "open log")
		}
		lines = c.collect(f, lines)
		_ = f.Close() // Closing a file that was only read cannot lose data.
	}
	if len(c.Files) == 0 {
		lines = c.collect(s.stdin, lines)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	lines = c.trim(lines)
	if len(lines) == 0 {
		return fmt.Errorf("no line of the logs names job %q", c.Job)
	}
	for _, l := range lines {
		if _, err := fmt.Fprintln(s.stdout, l.time, l.text); err != nil {
			return err
		}
	}
	return nil
}

// collect appends the lines that name the job and the node events. Lines without a JSON object are skipped.
func (c *explainCommand) collect(r io.Reader, lines []logLine) []logLine {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[start:]), &fields) != nil {
			continue
		}
		message, _ := fields["message"].(string)
		if strings.Contains(text, c.Job) || nodeEvents[message] {
			at, _ := fields["time"].(string)
			lines = append(lines, logLine{at, formatLine(message, fields)})
		}
	}
	return lines
}

// trim drops the node events before the first and after the last line that names the job.
func (c *explainCommand) trim(lines []logLine) []logLine {
	namesJob := func(l logLine) bool { return strings.Contains(l.text, c.Job) }
	first := slices.IndexFunc(lines, namesJob)
	if first < 0 {
		return nil
	}
	last := first
	for i, l := range lines {
		if namesJob(l) {
			last = i
		}
	}
	return lines[first : last+1]
}

// formatLine returns the message followed by those of the known fields that are set, in a fixed order.
func formatLine(message string, fields map[string]any) string {
	var b strings.Builder
	b.WriteString(message)
	for _, key := range []string{
		"epoch", "call", "queue", "team", "job", "task", "run", "worker", "subject", "node", "outcome", "run_state", "took", "age", "detail",
	} {
		if v, ok := fields[key]; ok && v != "" {
			fmt.Fprintf(&b, " %s=%v", key, v)
		}
	}
	return b.String()
}
