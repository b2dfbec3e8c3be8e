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

// explainCommand prints what the nodes' logs say about a job.
type explainCommand struct {
	Job   string   `arg:"" help:"ID of the job."`
	Files []string `arg:"" optional:"" type:"existingfile" help:"Log files of the nodes; default: standard input."`
}

// Help gives an example.
func (*explainCommand) Help() string {
	return "Example:\n  beryllatch explain 5c0e7a21d94b36f8 n1.log n2.log n3.log"
}

// maxLogLine bounds a line of a log; decisions are far shorter.
const maxLogLine = 1 << 20

// explanation is a log line that concerns the job.
type explanation struct{ time, text string }

// nodeEvents are lines without a job that explain what happens to all jobs.
var nodeEvents = map[string]bool{
	"takeover": true, "takeover_failed": true, "duty_released": true, "resigned": true, "store_failing": true,
	"dependency_lost": true, "dependency_regained": true, "started": true, "stopping": true,
}

// Run prints the lines about the job and its workers' losses, in the order of time.
func (c *explainCommand) Run(s *session) error {
	var lines []explanation
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return eris.Wrap(err, "open log")
		}
		lines = c.read(f, lines)
		_ = f.Close() // It was only read.
	}
	if len(c.Files) == 0 {
		lines = c.read(s.stdin, lines)
	}
	slices.SortStableFunc(lines, func(a, b explanation) int { return cmp.Compare(a.time, b.time) })
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

// read keeps the lines that concern the job; what is not a log line of a node is skipped.
func (c *explainCommand) read(r io.Reader, lines []explanation) []explanation {
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
			lines = append(lines, explanation{at, describe(message, fields)})
		}
	}
	return lines
}

// trim drops the events of nodes before the first and after the last line about the job.
func (c *explainCommand) trim(lines []explanation) []explanation {
	about := func(l explanation) bool { return strings.Contains(l.text, c.Job) }
	first := slices.IndexFunc(lines, about)
	if first < 0 {
		return nil
	}
	last := first
	for i, l := range lines {
		if about(l) {
			last = i
		}
	}
	return lines[first : last+1]
}

// describe formats a line's fields in a fixed order.
func describe(message string, fields map[string]any) string {
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
