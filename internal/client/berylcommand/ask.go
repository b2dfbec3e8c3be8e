package berylcommand

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

// interview asks questions one by one, and repeats a question until its answer is valid. After the first error, such as
// the end of the input, it asks nothing more and returns empty answers.
type interview struct {
	in  *bufio.Scanner
	out io.Writer
	err error
}

// askQuestions asks the questions of the questionnaire on the terminal and returns the answers.
func askQuestions(s *session) (berylplan.Answers, error) {
	q := &interview{in: bufio.NewScanner(s.stdin), out: s.stderr}
	a := berylplan.Answers{User: q.text("Short name of your company", "")}
	for n := range q.integer("How many data centres", 1, 50) {
		a.DataCentres = append(a.DataCentres, berylplan.DataCentreAnswer{
			Name: q.text(fmt.Sprintf("Data centre %d: name", n+1), ""), Region: q.text("  its region", "-"),
		})
	}
	for n := range q.integer("How many kinds of work", 1, 50) {
		a.Work = append(a.Work, q.work(n+1))
	}
	for n := range q.integer("How many customers", 1, 200) {
		a.Customers = append(a.Customers, berylplan.CustomerAnswer{
			Name: q.text(fmt.Sprintf("Customer %d: name", n+1), ""),
			Size: berylplan.SizeAnswer(q.choice("  large or small", "large", "small")),
		})
	}
	a.Limits = q.limits()
	if q.err != nil {
		return a, &usageError{err: q.err}
	}
	return a, nil
}

// work asks about one kind of work.
func (q *interview) work(n int) berylplan.WorkAnswer {
	w := berylplan.WorkAnswer{
		Name:      q.text(fmt.Sprintf("Work %d: name", n), ""),
		PerMinute: float64(q.integer("  requests a minute on average", 1, 1_000_000)),
		RunTimeMS: q.integer("  run time in milliseconds", 1, 86_400_000),
		Workers:   q.integer("  workers planned for it", 1, 10_000),
		Late:      berylplan.LateAnswer(q.choice("  if it is late: lost_sale or may_wait", "lost_sale", "may_wait")),
	}
	if w.Late == berylplan.LateLostSale {
		w.AnswerWithinMS = q.integer("  answer needed within milliseconds", w.RunTimeMS, 60_000)
		return w
	}
	w.LastHandedIn = q.text("  time of day when the last work comes, such as 04:00", "")
	w.WaitUntil = q.text("  time of day by which it must be done, such as 06:30", "")
	return w
}

// limits asks about the sizes of the fleet and how much of it may be out of service.
func (q *interview) limits() berylplan.LimitsAnswer {
	return berylplan.LimitsAnswer{
		SlotsPerWorker:   q.integer("Executions that one worker runs at once", 1, 1000),
		WorkersPerRack:   q.integer("Workers in one rack", 1, 1000),
		SpareWorkers:     q.integer("Spare workers for all kinds of work", 0, 10_000),
		OutAtOncePercent: q.integer("Percent of a service's workers that may be out at once", 1, 50),
	}
}

// text asks for a line of text. An empty answer counts as the fallback, and is asked for again if there is none; the
// answer or fallback "-" gives the empty string.
func (q *interview) text(question, fallback string) string {
	for q.err == nil {
		_, _ = fmt.Fprint(q.out, question, ": ")
		if !q.in.Scan() {
			q.err = errors.Join(errors.New("the input ended before all questions were answered"), q.in.Err())
			break
		}
		answer := strings.TrimSpace(q.in.Text())
		if answer == "" {
			answer = fallback
		}
		if answer == "-" {
			return ""
		}
		if answer != "" {
			return answer
		}
	}
	return ""
}

// choice asks until the answer is one of the options.
func (q *interview) choice(question string, options ...string) string {
	for q.err == nil {
		answer := q.text(question, "")
		for _, option := range options {
			if answer == option {
				return option
			}
		}
	}
	return ""
}

// integer asks until the answer is a whole number from low to high.
func (q *interview) integer(question string, low, high int) int {
	for q.err == nil {
		n, err := strconv.Atoi(q.text(question, ""))
		if err == nil && n >= low && n <= high {
			return n
		}
		if q.err == nil {
			_, _ = fmt.Fprintf(q.out, "must be a whole number between %d and %d\n", low, high)
		}
	}
	return 0
}
