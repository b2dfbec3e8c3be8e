package berylreducer

import (
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
)

// Guards against unintended changes of the usual course of a request: arrival, units, dispatch, answer.
func TestRequestSession(t *testing.T) {
	s := newSession()
	s.start(sampleConfig())
	s.send(RequestArrived{ID: "q1", KeyHash: strings.Repeat("1", 64), Queue: "price", Deadline: 5 * time.Second})
	s.send(UnitsRead{Team: "red"})
	for _, e := range s.lastEffects {
		if w, ok := e.(WriteUnits); ok {
			s.send(UnitsWritten{Team: "red", Row: w.Row, Version: w.Expect + 1, Result: WriteDone})
		}
	}
	s.send(ExecutionEnded{ID: "q1", Attempt: 1, Outcome: beryllatch.OutcomeAnswered})
	s.golden(t, "request")
}

// Guards against starting work after the tenure has expired, since the configuration may then be out of date.
func TestRequestRefusedAfterTenure(t *testing.T) {
	s := newSession()
	s.start(sampleConfig())
	s.tick(3 * time.Second)
	s.advance(2 * time.Second)
	s.send(RequestArrived{ID: "q1", KeyHash: strings.Repeat("1", 64), Queue: "price"})
	s.golden(t, "stale")
}
