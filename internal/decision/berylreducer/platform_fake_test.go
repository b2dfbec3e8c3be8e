package berylreducer

import (
	"maps"
	"strings"

	"github.com/beryllatch/beryllatch"
)

// callResult is the outcome of a call to the fake platform.
type callResult int

const (
	callAnswered callResult = iota
	// callLost takes effect, but its answer is lost.
	callLost
	// callDropped has no effect, and its answer is lost.
	callDropped
	// callDelayed takes effect later, after its answer is lost.
	callDelayed
	// callFailed has no effect, and the caller knows it.
	callFailed
)

// fakePlatform holds claim rows and unit rows, and carries out the effects on them.
type fakePlatform struct {
	claims map[beryllatch.RowKey]ClaimRead
	units  map[string]UnitsRead
	now    Instant
	nodes  []NodeRow
	// delayed holds the writes that have not taken effect yet.
	delayed []delayedWrite
	// results holds the outcomes of the next calls on claims; later calls succeed.
	results []callResult
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{claims: map[beryllatch.RowKey]ClaimRead{}, units: map[string]UnitsRead{}}
}

type delayedWrite struct {
	write WriteClaim
	at    Instant
}

// applyDelayed applies the oldest delayed write if the row still has the version that the write expects.
func (p *fakePlatform) applyDelayed() {
	w := p.delayed[0].write
	p.delayed = p.delayed[1:]
	if p.claims[w.Key].Version == w.Expect {
		p.claims[w.Key] = ClaimRead{Row: w.Row, Version: w.Expect + 1, Expires: w.Expires}
	}
}

// answer carries out an effect and returns its result as an event; nil if the effect is no call to the platform.
func (p *fakePlatform) answer(e Effect) Event {
	switch e := e.(type) {
	case RenewTenure:
		return Renewed{SentAt: p.now, HeadVersion: e.Row.ConfigVersion, Nodes: p.nodes}
	case ReadUnits:
		read := p.units[e.Team]
		read.Team = e.Team
		read.Row.Holdings = maps.Clone(read.Row.Holdings)
		return read
	case WriteUnits:
		if p.units[e.Row.Team].Version != e.Expect {
			return UnitsWritten{Team: e.Row.Team, Result: WriteConflict}
		}
		p.units[e.Row.Team] = UnitsRead{Row: e.Row, Version: e.Expect + 1}
		return UnitsWritten{Team: e.Row.Team, Row: e.Row, Version: e.Expect + 1, Result: WriteDone}
	case ReadClaim:
		if c := p.nextResult(); c != callAnswered {
			return ClaimRead{ID: e.ID, Failed: true}
		}
		read := p.claims[e.Key]
		read.ID = e.ID
		return read
	case WriteClaim:
		return p.write(e)
	case FinishClaim:
		if e.Row.State == ClaimDone {
			e.Row.Status, e.Row.Answer = 200, []byte("ok")
		}
		return p.write(WriteClaim(e))
	case ReleaseClaim:
		return p.write(WriteClaim(e))
	}
	return nil
}

func (p *fakePlatform) nextResult() callResult {
	if len(p.results) == 0 {
		return callAnswered
	}
	c := p.results[0]
	p.results = p.results[1:]
	return c
}

func (p *fakePlatform) write(e WriteClaim) Event {
	c := p.nextResult()
	switch {
	case c == callFailed:
		return ClaimWritten{ID: e.ID, Result: WriteFailed}
	case c == callDelayed:
		p.delayed = append(p.delayed, delayedWrite{e, p.now})
		return ClaimWritten{ID: e.ID, Result: WriteUnknown}
	case c == callDropped:
		return ClaimWritten{ID: e.ID, Result: WriteUnknown}
	case p.claims[e.Key].Version != e.Expect:
		return ClaimWritten{ID: e.ID, Result: WriteConflict}
	}
	p.claims[e.Key] = ClaimRead{Row: e.Row, Version: e.Expect + 1, Expires: e.Expires}
	if c == callLost {
		return ClaimWritten{ID: e.ID, Result: WriteUnknown}
	}
	return ClaimWritten{ID: e.ID, Result: WriteDone}
}

// run sends the event and carries out the platform calls that follow from it.
func (s *session) run(p *fakePlatform, e Event) {
	p.now = s.now
	s.send(e)
	for pending := s.lastEffects; len(pending) > 0; pending = pending[1:] {
		if a := p.answer(pending[0]); a != nil {
			s.send(a)
			pending = append(pending[:len(pending):len(pending)], s.lastEffects...)
		}
	}
}

// runTicks sends n ticks, 100 ms apart, and carries out the platform calls. It records only the ticks that concern requests.
func (s *session) runTicks(p *fakePlatform, n int) {
	for range n {
		s.advance(tickInterval)
		log := s.log.String()
		s.run(p, Ticked{})
		if !strings.Contains(s.log.String()[len(log):], "ID:q") {
			s.log.Reset()
			s.log.WriteString(log)
		}
	}
}
