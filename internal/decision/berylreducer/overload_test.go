package berylreducer

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	simulatedRunTime = 50 * time.Millisecond
	// simulatedRate is 60% of what 10 workers with 8 slots run at simulatedRunTime, in requests a second.
	simulatedRate = 960
	simulatedStep = time.Millisecond
)

// simulation drives a reducer against workers that refuse what is beyond their slots.
type simulation struct {
	s        *session
	p        *fakePlatform
	rnd      *rand.Rand
	running  map[string]int
	ends     endHeap
	arrivals int
	credit   float64
	deadline time.Duration
	// slow multiplies the run time, and down makes every worker unreachable.
	slow int
	down bool

	counts map[string]int64
	// answers and refusals are totals; retries is the part of the attempts that are not the first.
	answers  int
	refusals int
	retries  int
}

type endHeap []simulatedEnd

type simulatedEnd struct {
	at       time.Duration
	instance string
	e        ExecutionEnded
}

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(simulatedEnd)) }
func (h *endHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newSimulation(deadline time.Duration) *simulation {
	c := sampleConfig().
		WithTeam(beryllatch.Team{Name: "red", Weight: 3, Ceiling: 1000}).
		WithTeam(beryllatch.Team{Name: "blue", Weight: 1, Ceiling: 1000})
	for n := 1; n <= 10; n++ {
		c = c.WithInstance(beryllatch.Instance{
			ID: "w" + strconv.Itoa(n), Pool: "quotes", DataCentre: "dc" + strconv.Itoa(1+n%2), Address: strconv.Itoa(n),
			Slots: 8, Connections: 64, State: beryllatch.InstanceActive,
		})
	}
	x := &simulation{
		s: newSession(), p: newFakePlatform(), rnd: rand.New(rand.NewPCG(1, 1)), running: map[string]int{},
		deadline: deadline, slow: 1, counts: map[string]int64{},
	}
	x.s.start(c)
	return x
}

// reduce applies an event without a record, and plays the platform's and the workers' part.
func (x *simulation) reduce(e Event) {
	x.p.now = x.s.now
	for _, out := range x.s.r.Reduce(x.s.now, e) {
		switch out := out.(type) {
		case Dispatch:
			x.execute(out)
		case Finish:
			x.answers++
		case Refuse:
			x.refusals++
		case Count:
			x.counts[out.Name] += out.N
		}
		if a := x.p.answer(out); a != nil {
			x.reduce(a)
		}
	}
}

func (x *simulation) execute(d Dispatch) {
	if d.Attempt > 1 {
		x.retries++
	}
	end := simulatedEnd{at: x.s.now.Mono + simulatedStep, instance: d.Instance}
	end.e = ExecutionEnded{ID: d.ID, Attempt: d.Attempt, Replayable: true}
	switch {
	case x.down:
		end.e.Outcome, end.e.Reason = beryllatch.OutcomeNotSent, beryllatch.ReasonWorkerUnreachable
	case x.running[d.Instance] >= 8:
		end.e.Outcome, end.e.Reason = beryllatch.OutcomeRefused, beryllatch.ReasonWorkerRefused
	default:
		end.at += time.Duration(float64(simulatedRunTime) * float64(x.slow) * (0.5 + x.rnd.Float64()))
		end.e.Outcome = beryllatch.OutcomeAnswered
		if end.at > d.AnswerBy.Mono {
			end.at = d.AnswerBy.Mono
			end.e.Outcome, end.e.Reason = beryllatch.OutcomeUnknown, beryllatch.ReasonAnswerLost
		}
	}
	end.e.Duration = end.at - x.s.now.Mono
	x.running[d.Instance]++
	heap.Push(&x.ends, end)
}

// phase runs for the duration d with the given arrival rate, and returns what happened in it.
func (x *simulation) phase(d time.Duration, rate float64) (answers, refusals, retries int) {
	a, b, c := x.answers, x.refusals, x.retries
	for until := x.s.now.Mono + d; x.s.now.Mono < until; {
		x.s.wait(simulatedStep)
		for len(x.ends) > 0 && x.ends[0].at <= x.s.now.Mono {
			end := heap.Pop(&x.ends).(simulatedEnd)
			x.running[end.instance]--
			x.reduce(end.e)
		}
		for x.credit += rate * simulatedStep.Seconds(); x.credit >= 1; x.credit-- {
			x.arrive()
		}
		if x.s.now.Mono%tickInterval == 0 {
			x.reduce(Ticked{})
		}
	}
	return x.answers - a, x.refusals - b, x.retries - c
}

func (x *simulation) arrive() {
	x.arrivals++
	x.reduce(RequestArrived{
		ID: strconv.Itoa(x.arrivals), KeyHash: strings.Repeat(strconv.Itoa(1+x.arrivals%2), 64), Queue: "price",
		Deadline: x.deadline, Idempotent: x.arrivals%4 == 0, Urgent: x.arrivals%10 == 0,
	})
}

// Guards against an overload that outlives its cause: a queue that never drains, estimates that keep shedding, breakers
// that stay open, or retries that feed themselves.
func TestOverloadRecovery(t *testing.T) {
	for _, c := range []struct {
		name  string
		cause func(x *simulation) float64
	}{
		{"burst", func(*simulation) float64 { return 5 * simulatedRate }},
		{"slow workers", func(x *simulation) float64 { x.slow = 40; return simulatedRate }},
		{"burst on slow workers", func(x *simulation) float64 { x.slow = 10; return 5 * simulatedRate }},
		{"workers unreachable", func(x *simulation) float64 { x.down = true; return simulatedRate }},
	} {
		for _, deadline := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 20 * time.Second} {
			t.Run(c.name+" "+deadline.String(), func(t *testing.T) {
				x := newSimulation(deadline)
				x.phase(10*time.Second, simulatedRate)
				answers, refusals, retries := x.phase(5*time.Second, c.cause(x))
				t.Logf("cause: %d answers, %d refusals, %d retries", answers, refusals, retries)
				// All of the requests before the cause are recent ones too.
				if limit := x.arrivals/10 + retryFloor; retries > limit {
					t.Errorf("%d retries of %d requests, want at most %d", retries, x.arrivals, limit)
				}
				x.slow, x.down = 1, false
				answers, refusals, retries = x.phase(15*time.Second, simulatedRate)
				t.Logf("settling: %d answers, %d refusals, %d retries", answers, refusals, retries)
				answers, refusals, retries = x.phase(10*time.Second, simulatedRate)
				t.Logf("after: %d answers, %d refusals, %d retries, %d wait", answers, refusals, retries, x.s.r.pools["quotes"].queue.len())
				if refusals > 0 || retries > 0 || x.s.r.pools["quotes"].queue.len() > 20 {
					t.Errorf("%d refusals, %d retries, %d wait: the node has not recovered", refusals, retries,
						x.s.r.pools["quotes"].queue.len())
				}
			})
		}
	}
}
