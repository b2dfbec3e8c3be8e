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

// interview asks questions one by one; a wrong answer is asked for again.
type interview struct {
	in  *bufio.Scanner
	out io.Writer
	err error
}

// ask asks the questions of the questionnaire on the terminal.
func ask(s *session) (berylplan.Answers, error) {
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

func (q *interview) limits() berylplan.LimitsAnswer {
	return berylplan.LimitsAnswer{
		SlotsPerWorker:   q.integer("Executions that one worker runs at once", 1, 1000),
		WorkersPerRack:   q.integer("Workers in one rack", 1, 1000),
		SpareWorkers:     q.integer("Spare workers for all kinds of work", 0, 10_000),
		OutAtOncePercent: q.integer("Percent of a service's workers that may be out at once", 1, 50),
	}
}

// text returns the answer; an empty one is asked again unless there is a fallback, where - stands for nothing.
func (q *interview) text(question, fallback string) string {
	for q.err == nil {
		_, _ = fmt.Fprint(q.out, question, ": ")
		if !q.in.Scan() {
			q.err = errors.Join(errors.New("the answers ended early"), q.in.Err())
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

func (q *interview) choice(question string, options ...string) string {
	for q.err == nil {
		answer := q.text(question, "")
		for _, o := range options {
			if answer == o {
				return o
			}
		}
	}
	return ""
}

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
