package berylprocess

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"
)

// Summary counts the replies that callers received and the starts that workers recorded.
type Summary struct {
	Answered int
	NotRun   int
	Unknown  int
	// NoAnswer counts the calls without a complete answer.
	NoAnswer int
	Starts   int
	// Reasons counts the refusals by reason.
	Reasons map[string]int
	// Violations describes each contradiction between the reply to a request and the workers' records.
	Violations []string
}

// Compare checks the replies to non-idempotent requests against the workers' records. The body of each request must be its
// id.
func Compare(replies map[string]Reply, starts []Start) Summary {
	s := Summary{Reasons: map[string]int{}}
	startCounts := map[string]int{}
	for _, start := range starts {
		if _, ok := replies[start.RequestID]; ok {
			startCounts[start.RequestID]++
			s.Starts++
		}
	}
	for id, r := range replies {
		s.addReply(id, r, startCounts[id])
	}
	slices.Sort(s.Violations)
	return s
}

func (s *Summary) addReply(id string, r Reply, starts int) {
	if starts > 1 {
		s.addViolation("%s was started %d times", id, starts)
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
			s.addViolation("%s was refused as not run (%s) and was started", id, r.Reason)
		}
	default:
		s.Unknown++
		s.Reasons[r.Reason]++
	}
}

// checkAnswer checks that the request was started and that the answer, which holds the hash of the body, belongs to it.
func (s *Summary) checkAnswer(id string, r Reply, starts int) {
	if starts == 0 {
		s.addViolation("%s was answered without a start", id)
	}
	sum := sha256.Sum256([]byte(id))
	if !bytes.Contains(r.Body, []byte(hex.EncodeToString(sum[:]))) {
		s.addViolation("%s got the answer to another request: %s", id, r.Body)
	}
}

func (s *Summary) addViolation(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf(format, args...))
}

// Peak returns the largest number of the team's starts that ran at the same time. Work without an end runs until now.
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
