package berylscheduler

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxAdviceWorkers limits the workers that one request to the advisor names: the advisor takes longer for each.
	maxAdviceWorkers = 12
	// adviceRetryPause is the pause after a failed request.
	adviceRetryPause = 500 * time.Millisecond
	// ticketTransitTime is the part of a ticket's validity that is kept for the start order to reach the worker.
	ticketTransitTime = 200 * time.Millisecond
)

// stepAdvice holds the advisor's answers about a step of a restricted queue.
type stepAdvice struct {
	job     string
	step    stepKey
	tickets map[string]ticket
	// denied holds the workers for which the advisor gave no ticket; they are not asked about again.
	denied  map[string]bool
	pending bool
	retryAt time.Time
}

type ticket struct {
	text        string
	validUntil  time.Time
	incarnation int64
}

func adviceKey(st *stepState) string {
	return st.job.ID + "." + strconv.Itoa(st.occurrence) + "." + strconv.Itoa(st.number)
}

// restricted reports whether a task of the step needs a ticket of the advisor to start.
func (s *Scheduler) restricted(st *stepState) bool { return st.job.queue.Restricted }

// ticket returns the valid ticket with which the worker may run tasks of the step, or an empty string.
func (s *Scheduler) ticket(st *stepState, w *worker) string {
	a := s.advice[adviceKey(st)]
	if a == nil {
		return ""
	}
	t, ok := a.tickets[w.info.ID]
	if !ok || t.incarnation != w.info.Incarnation || s.now.After(t.validUntil) {
		return ""
	}
	return t.text
}

// notAdvisedAgainst returns a function that reports whether the advisor has not ruled a worker out for the step.
func (s *Scheduler) notAdvisedAgainst(st *stepState) func(*worker) bool {
	a := s.advice[adviceKey(st)]
	return func(w *worker) bool { return a == nil || !a.denied[w.info.ID] }
}

// requestAdvice asks the advisor about workers that could take a task of the step but have no ticket, the emptiest first.
func (s *Scheduler) requestAdvice(st *stepState, workers []*worker) {
	if !s.restricted(st) {
		return
	}
	key := adviceKey(st)
	a := s.advice[key]
	if a == nil {
		a = &stepAdvice{job: st.job.ID, step: stepKey{st.occurrence, st.number}, tickets: make(map[string]ticket), denied: make(map[string]bool)}
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
			a.tickets[t.Worker] = ticket{t.Ticket, s.now.Add(e.Valid - ticketTransitTime), w.info.Incarnation}
		}
	}
	s.placementDue = true
}

// dropTicket deletes a ticket that the worker has rejected.
func (s *Scheduler) dropTicket(st *stepState, w *worker) {
	if a := s.advice[adviceKey(st)]; a != nil {
		delete(a.tickets, w.info.ID)
	}
}

// expireAdvice deletes the advice on steps that are done or whose job is finished.
func (s *Scheduler) expireAdvice() {
	for key, a := range s.advice {
		if j := s.jobs[a.job]; !a.pending && (j == nil || j.state.Final() || j.isDone(a.step)) {
			delete(s.advice, key)
		}
	}
}
