package berylprove

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// Outcome is the result of a test, in the words of "go test -json".
type Outcome string

// The outcomes of a test. A test that did not run has no outcome.
const (
	Passed Outcome = "pass"
	Failed Outcome = "fail"
)

// Verdict says how far the tests prove a promise.
type Verdict string

// The verdicts.
const (
	// Proved means that the promise holds under the faults and is broken when its mechanism is switched off.
	Proved Verdict = "proved"
	// Partly means that the promise holds under the faults, but no test switches its mechanism off or a gap is left.
	Partly Verdict = "partly"
	// NotProved means that a test failed or did not run.
	NotProved Verdict = "no"
)

// event is one line of the output of "go test -json".
type event struct {
	Action string
	Test   string
}

// Run runs the tests of all promises, with one "go test" command for each package, and returns their outcomes. It
// writes the commands to the log.
func Run(ctx context.Context, log io.Writer) (map[Test]Outcome, error) {
	byPackage := map[string][]string{}
	for _, p := range Promises() {
		for _, t := range join(p.Holds, p.Breaks) {
			if !slices.Contains(byPackage[t.Package], t.Name) {
				byPackage[t.Package] = append(byPackage[t.Package], t.Name)
			}
		}
	}
	out := map[Test]Outcome{}
	for pkg, names := range byPackage {
		if err := runPackage(ctx, log, pkg, names, out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// runPackage runs the named tests of a package and adds their outcomes to out.
func runPackage(ctx context.Context, log io.Writer, pkg string, names []string, out map[Test]Outcome) error {
	pattern := "^(" + strings.Join(names, "|") + ")$"
	_, _ = fmt.Fprintf(log, "go test -run '%s' %s\n", pattern, pkg)
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-json", "-run", pattern, pkg)
	// The command also fails if a test fails, so its error is reported only if there is no output.
	output, err := cmd.Output()
	if len(output) == 0 {
		return eris.Wrapf(err, "go test %s", pkg)
	}
	lines := bufio.NewScanner(bytes.NewReader(output))
	lines.Buffer(nil, len(output)+1)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil || e.Test == "" || strings.Contains(e.Test, "/") {
			continue
		}
		if o := Outcome(e.Action); o == Passed || o == Failed {
			out[Test{Package: pkg, Name: e.Test}] = o
		}
	}
	return eris.Wrap(lines.Err(), "read test output")
}

// Judge returns the verdict on a promise, given the outcomes of its tests.
func Judge(p Promise, outcomes map[Test]Outcome) Verdict {
	for _, t := range join(p.Holds, p.Breaks) {
		if outcomes[t] != Passed {
			return NotProved
		}
	}
	if len(p.Breaks) == 0 || p.Gap != "" {
		return Partly
	}
	return Proved
}

// Print writes one row for each promise. It returns the tests that failed or did not run and are not in the list of
// known failures.
func Print(w io.Writer, outcomes map[Test]Outcome, known []string) []Test {
	var unexpected []Test
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "promise\tverdict\ttests\tbreaks without\tseeds\tfaults\tnot shown")
	for n, p := range Promises() {
		passed := 0
		for _, t := range join(p.Holds, p.Breaks) {
			if outcomes[t] == Passed {
				passed++
			} else if !slices.Contains(known, t.Name) && !slices.Contains(unexpected, t) {
				unexpected = append(unexpected, t)
			}
		}
		_, _ = fmt.Fprintf(tw, "%d %s\t%s\t%d/%d\t%d\t%s\t%s\t%s\n", n+1, p.Text, Judge(p, outcomes), passed,
			len(p.Holds)+len(p.Breaks), len(p.Breaks), orDash(p.Seeds), p.Faults, orDash(p.Gap))
	}
	_ = tw.Flush()
	return unexpected
}

// orDash returns the text for a table cell, "-" if it is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// KnownFailures returns the names of the tests that the file lists as known to fail. An entry is a line that starts
// with the name of the test; other lines are skipped. A missing file counts as empty.
func KnownFailures(path string) ([]string, error) {
	b, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read known failures")
	}
	var out []string
	for line := range strings.Lines(string(b)) {
		if name, _, _ := strings.Cut(strings.TrimSpace(line), " "); strings.HasPrefix(name, "Test") {
			out = append(out, name)
		}
	}
	return out, nil
}
