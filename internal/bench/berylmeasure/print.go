package berylmeasure

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// Print writes the scores and a table for each deployment and run, with a line for each policy.
func (r Report) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	r.printScores(tw)
	r.printResults(tw)
	if err := tw.Flush(); err != nil {
		return eris.Wrap(err, "print report")
	}
	r.printRefusals(w)
	return nil
}

func (r Report) printScores(w io.Writer) {
	deployment := ""
	for _, s := range r.Scores {
		if s.Deployment != deployment {
			deployment = s.Deployment
			printf(w, "\n%s: score and what it is made of, seed %d\n", deployment, r.Seed)
			printf(w, "policy\tscore\tbuffer cost\troll-out\tmoves\tshare distance\tdata-centre work\tmissed\turgent p99\tbroken\t\n")
			printf(w, "\t0-100\tinstance-h/day\tmin\t\t%%\t%%\t%%\tms\t\t\n")
		}
		printf(w, "%s\t%.1f\t%.0f\t%s\t%d\t%s\t%s\t%.2f\t%.0f\t%d\t\n", s.Policy, s.Score, s.BufferCost,
			formatOptional(s.RollOut), s.Moves, formatOptional(s.Share), formatOptional(s.DataCentre), s.Missed, s.Urgent,
			s.Broken)
	}
}

func (r Report) printResults(w io.Writer) {
	run := ""
	for _, x := range r.Results {
		if name := x.Deployment + ", " + x.Run; name != run {
			run = name
			printf(w, "\n%s\n", run)
			printf(w, "policy\trequests\tdone\tbuffer cost\troll-out\tmoves\tshare distance\tdata-centre work\tmissed\turgent p99\tbroken\t\n")
		}
		printf(w, "%s\t%d\t%d\t%.0f\t%s\t%d\t%s\t%s\t%.2f\t%.0f\t%d\t\n", x.Policy, x.Requests, x.Done, x.BufferCost,
			formatOptional(x.RollOut), x.Moves, formatOptional(x.ShareDistance), formatOptional(x.DataCentreWork), x.Missed,
			x.UrgentStartP99, x.brokenCount())
	}
}

// printRefusals prints, for each result, the refused requests by reason, the failed and the cancelled ones, and the
// broken promises by name.
func (r Report) printRefusals(w io.Writer) {
	printf(w, "\nrefused by reason; failed answers; cancelled by callers; promises broken\n")
	for _, x := range r.Results {
		printf(w, "%s, %s, %s: refused %s; failed %d; cancelled %d; broken %s\n", x.Deployment, x.Run, x.Policy,
			formatCounts(x.Refused), x.Failed, x.Cancelled, formatCounts(x.Broken))
	}
}

// printf ignores the error of a failed write, since it could not be printed either.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
