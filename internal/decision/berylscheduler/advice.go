package berylscheduler

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxAdviceWorkers is how many workers a question names: the advisor takes longer for each.
	maxAdviceWorkers = 12
	// adviceRetryPause spaces questions after a failed one.
	adviceRetryPause = 500 * time.Millisecond
	// ticketTransitTime is kept of a ticket's life for the way to the worker.
	ticketTransitTime = 200 * time.Millisecond
)

// stepAdvice is what the advisor has said about a step of a restricted queue.
type stepAdvice struct {
	tickets map[string]ticket
	// denied workers never may run the step.
	denied  map[string]bool
	pending bool
	retryAt time.Time
}

type ticket struct {
	text       string
	validUntil time.Time
	born       int64
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
	if !ok || t.born != w.info.Born || s.now.After(t.validUntil) {
		return ""
	}
	return t.text
}

// requestAdvice asks about the workers with the most room that have no ticket yet.
func (s *Scheduler) requestAdvice(st *stepRun, workers []*worker) {
	if !s.restricted(st) {
		return
	}
	key := adviceKey(st)
	a := s.advice[key]
	if a == nil {
		a = &stepAdvice{tickets: make(map[string]ticket), denied: make(map[string]bool)}
		s.advice[key] = a
	}
	if a.pending || s.now.Before(a.retryAt) {
		return
	}
	var candidates []*worker
	for _, w := range workers {
		if s.ticket(st, w) == "" && !a.denied[w.info.ID] && s.fits(st.tasks[0], w) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortStableFunc(candidates, func(x, y *worker) int {
		return (y.info.Capacity.CPUMilli - y.used.CPUMilli) - (x.info.Capacity.CPUMilli - x.used.CPUMilli)
	})
	candidates = candidates[:min(len(candidates), maxAdviceWorkers)]
	ids := make([]string, len(candidates))
	for i, w := range candidates {
		ids[i] = w.info.ID
	}
	slices.SortFunc(ids, strings.Compare)
	a.pending = true
	s.emit(AskAdvice{Step: key, Workers: ids})
}

func (s *Scheduler) adviceReceived(e AdviceReceived) {
	a := s.advice[e.Step]
	if a == nil {
		return
	}
	a.pending = false
	if e.Err != nil {
		a.retryAt = s.now.Add(adviceRetryPause)
		s.emit(Decision{Name: "advice_failed", Task: e.Step, Detail: e.Err.Error()})
		return
	}
	for _, id := range e.Workers {
		a.denied[id] = true
	}
	for _, t := range e.Tickets {
		delete(a.denied, t.Worker)
		if w := s.workers[t.Worker]; w != nil {
			a.tickets[t.Worker] = ticket{t.Ticket, s.now.Add(e.Valid - ticketTransitTime), w.info.Born}
		}
	}
	s.placementDue = true
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
		if j := s.jobs[id]; !a.pending && (j == nil || j.state.Final()) {
			delete(s.advice, key)
		}
	}
}
