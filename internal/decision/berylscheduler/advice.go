package berylscheduler

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// adviceWorkers is how many workers a question names: the advisor takes longer for each.
	adviceWorkers = 12
	// advicePause spaces questions after a failed one.
	advicePause = 500 * time.Millisecond
	// ticketMargin is kept of a ticket's life for the way to the worker.
	ticketMargin = 200 * time.Millisecond
)

// stepAdvice is what the advisor has said about a step of a restricted queue.
type stepAdvice struct {
	tickets map[string]ticket
	// denied workers never may run the step.
	denied map[string]bool
	asking bool
	next   time.Time
}

type ticket struct {
	text  string
	until time.Time
	born  int64
}

func adviceKey(st *stepRun) string {
	return st.job.ID + "." + strconv.Itoa(st.occurrence) + "." + strconv.Itoa(st.number)
}

// restricted reports whether starts of the step need a ticket.
func (s *Scheduler) restricted(st *stepRun) bool {
	q, ok := s.queueOf(st.job)
	return ok && q.Restricted
}

// ticket returns the ticket with which the worker may run a step of a restricted queue, or an empty one.
func (s *Scheduler) ticket(st *stepRun, w *worker) string {
	a := s.advice[adviceKey(st)]
	if a == nil {
		return ""
	}
	t, ok := a.tickets[w.info.ID]
	if !ok || t.born != w.info.Incarnation || s.now.After(t.until) {
		return ""
	}
	return t.text
}

// wantAdvice asks about the workers with the most room that have no ticket yet.
func (s *Scheduler) wantAdvice(st *stepRun, workers []*worker) {
	if !s.restricted(st) {
		return
	}
	key := adviceKey(st)
	a := s.advice[key]
	if a == nil {
		a = &stepAdvice{tickets: make(map[string]ticket), denied: make(map[string]bool)}
		s.advice[key] = a
	}
	if a.asking || s.now.Before(a.next) {
		return
	}
	var open []*worker
	for _, w := range workers {
		if s.ticket(st, w) == "" && !a.denied[w.info.ID] && s.fits(st.tasks[0], w) {
			open = append(open, w)
		}
	}
	if len(open) == 0 {
		return
	}
	slices.SortStableFunc(open, func(x, y *worker) int {
		return (y.info.Capacity.CPUMilli - y.used.CPUMilli) - (x.info.Capacity.CPUMilli - x.used.CPUMilli)
	})
	open = open[:min(len(open), adviceWorkers)]
	ids := make([]string, len(open))
	for i, w := range open {
		ids[i] = w.info.ID
	}
	slices.SortFunc(ids, strings.Compare)
	a.asking = true
	s.emit(AskAdvice{Step: key, Workers: ids})
}

func (s *Scheduler) adviceReceived(e AdviceReceived) {
	a := s.advice[e.Step]
	if a == nil {
		return
	}
	a.asking = false
	if e.Err != nil {
		a.next = s.now.Add(advicePause)
		s.emit(Decision{Name: "advice_failed", Task: e.Step, Detail: e.Err.Error()})
		return
	}
	for _, id := range e.Workers {
		a.denied[id] = true
	}
	for _, t := range e.Tickets {
		delete(a.denied, t.Worker)
		if w := s.workers[t.Worker]; w != nil {
			a.tickets[t.Worker] = ticket{t.Ticket, s.now.Add(e.Valid - ticketMargin), w.info.Incarnation}
		}
	}
	s.placeable = true
}

// dropTicket forgets a ticket that a worker has rejected.
func (s *Scheduler) dropTicket(st *stepRun, w *worker) {
	if a := s.advice[adviceKey(st)]; a != nil {
		delete(a.tickets, w.info.ID)
	}
}

// expireAdvice forgets the advice on jobs that have ended.
func (s *Scheduler) expireAdvice() {
	for key, a := range s.advice {
		id, _, _ := strings.Cut(key, ".")
		if j := s.jobs[id]; !a.asking && (j == nil || j.state.Final()) {
			delete(s.advice, key)
		}
	}
}
