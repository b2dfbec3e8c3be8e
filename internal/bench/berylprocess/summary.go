package berylprocess

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"
)

// Summary counts what callers were told and what workers saw.
type Summary struct {
	Answered int
	NotRun   int
	Unknown  int
	// NoAnswer counts the callers whose connection broke.
	NoAnswer int
	Starts   int
	// Reasons counts the refusals by reason.
	Reasons map[string]int
	// Violations lists each contradiction between a caller and the workers.
	Violations []string
}

// Compare judges the replies to non-idempotent requests, whose body is their id, by the workers' records.
func Compare(replies map[string]Reply, starts []Start) Summary {
	s := Summary{Reasons: map[string]int{}}
	started := map[string]int{}
	for _, x := range starts {
		if _, ok := replies[x.RequestID]; ok {
			started[x.RequestID]++
			s.Starts++
		}
	}
	for id, r := range replies {
		s.add(id, r, started[id])
	}
	slices.Sort(s.Violations)
	return s
}

func (s *Summary) add(id string, r Reply, starts int) {
	if starts > 1 {
		s.violate("%s was started %d times", id, starts)
	}
	switch {
	case r.Answered():
		s.Answered++
		s.checkAnswer(id, r, starts)
	case r.Err != nil:
		s.NoAnswer++
	case r.NotRun():
		s.NotRun++
		s.Reasons[r.Reason]++
		if starts > 0 {
			s.violate("%s was refused as not run (%s) and was started", id, r.Reason)
		}
	default:
		s.Unknown++
		s.Reasons[r.Reason]++
	}
}

// checkAnswer requires that the worker's answer, which holds the hash of the body, is for this request.
func (s *Summary) checkAnswer(id string, r Reply, starts int) {
	if starts == 0 {
		s.violate("%s was answered without a start", id)
	}
	sum := sha256.Sum256([]byte(id))
	if !bytes.Contains(r.Body, []byte(hex.EncodeToString(sum[:]))) {
		s.violate("%s got another answer: %s", id, r.Body)
	}
}

func (s *Summary) violate(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf(format, args...))
}

// Peak returns the largest number of the team's executions that ran at the same time.
func Peak(team string, starts []Start, now time.Time) int {
	type edge struct {
		at    time.Time
		delta int
	}
	var edges []edge
	for _, s := range starts {
		if s.Team != team {
			continue
		}
		end := s.End
		if end.IsZero() {
			end = now
		}
		edges = append(edges, edge{s.Time, 1}, edge{end, -1})
	}
	slices.SortFunc(edges, func(a, b edge) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.delta - b.delta
	})
	running, peak := 0, 0
	for _, e := range edges {
		running += e.delta
		peak = max(peak, running)
	}
	return peak
}
