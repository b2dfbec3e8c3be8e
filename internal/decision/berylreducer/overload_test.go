package berylreducer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	simulatedRunTime = 50 * time.Millisecond
	simulatedWorkers = 10
	simulatedSlots   = 8
	// simulatedRate is 60% of the workers' capacity, in requests per second.
	simulatedRate = 960
	simulatedStep = time.Millisecond
)

// simulation runs the reducers of several nodes with workers that refuse executions beyond their slots.
type simulation struct {
	now           Instant
	nodes         []*Reducer
	platform      *fakePlatform
	rnd           *rand.Rand
	running       map[string]int
	ends          endHeap
	arrivals      int
	arrivalCredit float64
	deadline      time.Duration
	// slowdown is a factor of the run time; workersDown makes all workers unreachable.
	slowdown    int
	workersDown bool

	counts map[string]int64
	// answers and refusals count requests; retries counts the attempts after the first one of a request.
	answers  int
	byTeam   map[string]int
	refusals int
	retries  int
}

type endHeap []simulatedEnd

type simulatedEnd struct {
	at       time.Duration
	node     int
	instance string
	team     string
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

func newSimulation(nodes int, deadline time.Duration) *simulation {
	c := sampleConfig().
		WithTeam(beryllatch.Team{Name: "red", Weight: 3, Ceiling: 1000}).
		WithTeam(beryllatch.Team{Name: "blue", Weight: 1, Ceiling: 1000})
	for n := 1; n <= simulatedWorkers; n++ {
		c = c.WithInstance(beryllatch.Instance{
			ID: "w" + strconv.Itoa(n), Pool: "quotes", DataCentre: "dc" + strconv.Itoa(1+n%2), Address: strconv.Itoa(n),
			Slots: simulatedSlots, Connections: 64, State: beryllatch.InstanceActive,
		})
	}
	x := &simulation{
		now: Instant{Wall: sessionStart}, platform: newFakePlatform(), rnd: rand.New(rand.NewPCG(1, 1)),
		running: map[string]int{}, byTeam: map[string]int{}, deadline: deadline, slowdown: 1, counts: map[string]int64{},
	}
	rows := make([]NodeRow, nodes)
	for n := range rows {
		name := "n" + strconv.Itoa(n)
		rows[n].Identity = Identity{Node: name, Incarnation: name, DataCentre: "dc" + strconv.Itoa(1+n%2)}
	}
	x.platform.nodes = rows
	for n, row := range rows {
		x.nodes = append(x.nodes, &Reducer{})
		x.reduce(n, Started{Self: row.Identity, Seed: uint64(n)})
		x.reduce(n, ConfigRead{Config: c})
		x.reduce(n, Renewed{SentAt: x.now, HeadVersion: 1, Nodes: rows})
	}
	return x
}

// reduce passes an event to a node, and carries out its effects as the platform and the workers would.
func (x *simulation) reduce(node int, e Event) {
	x.platform.now = x.now
	for _, out := range x.nodes[node].Reduce(x.now, e) {
		switch out := out.(type) {
		case Dispatch:
			x.execute(node, out)
		case Finish:
			x.answers++
		case Refuse:
			x.refusals++
		case Count:
			x.counts[out.Name] += out.N
		}
		if a := x.platform.answer(out); a != nil {
			x.reduce(node, a)
		}
	}
}

func (x *simulation) execute(node int, d Dispatch) {
	if d.Attempt > 1 {
		x.retries++
	}
	end := simulatedEnd{at: x.now.Mono + simulatedStep, node: node, instance: d.Instance, team: d.Execution.Team}
	end.e = ExecutionEnded{ID: d.ID, Attempt: d.Attempt, Replayable: true}
	switch {
	case x.workersDown:
		end.e.Outcome, end.e.Reason = beryllatch.OutcomeNotSent, beryllatch.ReasonWorkerUnreachable
	case x.running[d.Instance] >= simulatedSlots:
		end.e.Outcome, end.e.Reason = beryllatch.OutcomeRefused, beryllatch.ReasonWorkerRefused
	default:
		end.at += time.Duration(float64(simulatedRunTime) * float64(x.slowdown) * (0.5 + x.rnd.Float64()))
		end.e.Outcome = beryllatch.OutcomeAnswered
		x.running[d.Instance]++
	}
	if end.at > d.AnswerBy.Mono {
		end.at = d.AnswerBy.Mono
		end.e.Outcome, end.e.Reason = beryllatch.OutcomeUnknown, beryllatch.ReasonAnswerLost
	}
	end.e.Duration = end.at - x.now.Mono
	heap.Push(&x.ends, end)
}

// phase runs for the duration d with the given arrival rate, and returns the counts of this phase.
func (x *simulation) phase(d time.Duration, rate float64) (answers, refusals, retries int) {
	a, b, c := x.answers, x.refusals, x.retries
	for until := x.now.Mono + d; x.now.Mono < until; {
		x.now = x.now.Add(simulatedStep)
		x.endExecutions()
		for x.arrivalCredit += rate * simulatedStep.Seconds(); x.arrivalCredit >= 1; x.arrivalCredit-- {
			x.arrive()
		}
		if x.now.Mono%tickInterval == 0 {
			x.each(Ticked{})
		}
		if x.now.Mono%time.Second == 0 {
			x.report()
		}
	}
	return x.answers - a, x.refusals - b, x.retries - c
}

func (x *simulation) endExecutions() {
	for len(x.ends) > 0 && x.ends[0].at <= x.now.Mono {
		end := heap.Pop(&x.ends).(simulatedEnd)
		if end.e.Outcome == beryllatch.OutcomeAnswered || end.e.Outcome == beryllatch.OutcomeUnknown {
			x.running[end.instance]--
		}
		if end.e.Outcome == beryllatch.OutcomeAnswered {
			x.byTeam[end.team]++
		}
		x.reduce(end.node, end.e)
	}
}

func (x *simulation) each(e Event) {
	for n := range x.nodes {
		x.reduce(n, e)
	}
}

// report sends every worker's load to every node.
func (x *simulation) report() {
	for n := 1; n <= simulatedWorkers; n++ {
		id := "w" + strconv.Itoa(n)
		x.each(WorkerReported{Instance: id, Healthy: true, Running: x.running[id]})
	}
}

// arrive sends a request to a random node; the first node gets twice as many as each other node.
func (x *simulation) arrive() {
	x.arrivals++
	x.reduce(x.rnd.IntN(len(x.nodes)+1)%len(x.nodes), RequestArrived{
		ID: strconv.Itoa(x.arrivals), KeyHash: strings.Repeat(strconv.Itoa(1+x.arrivals%2), 64), Queue: "price",
		Deadline: x.deadline, Idempotent: x.arrivals%4 == 0, Urgent: x.arrivals%10 == 0,
	})
}

// waiting counts the requests in the local queues.
func (x *simulation) waiting() int {
	n := 0
	for _, r := range x.nodes {
		n += r.pools["quotes"].queue.len()
	}
	return n
}

// Guards against an overload that persists after its cause has ended: a queue that never drains, estimates that keep causing
// refusals, breakers that stay open, or retries that cause further retries.
func TestOverloadRecovery(t *testing.T) {
	for _, c := range []struct {
		name  string
		cause func(x *simulation) float64
	}{
		{"burst", func(*simulation) float64 { return 5 * simulatedRate }},
		{"slow workers", func(x *simulation) float64 { x.slowdown = 40; return simulatedRate }},
		{"burst on slow workers", func(x *simulation) float64 { x.slowdown = 10; return 5 * simulatedRate }},
		{"workers unreachable", func(x *simulation) float64 { x.workersDown = true; return simulatedRate }},
	} {
		for _, deadline := range []time.Duration{500 * time.Millisecond, 10 * time.Second} {
			for _, nodes := range []int{1, 9} {
				t.Run(fmt.Sprintf("%s/deadline=%s/nodes=%d", c.name, deadline, nodes), func(t *testing.T) {
					t.Parallel()
					checkRecovery(t, newSimulation(nodes, deadline), c.cause)
				})
			}
		}
	}
}

func checkRecovery(t *testing.T, x *simulation, cause func(x *simulation) float64) {
	_, _, before := x.phase(10*time.Second, simulatedRate)
	answers, refusals, retries := x.phase(5*time.Second, cause(x))
	t.Logf("cause: %d answers, %d refusals, %d retries", answers, refusals, retries)
	// The retry budget counts the requests before the overload as recent ones too.
	if limit := x.arrivals/10 + retryFloor*len(x.nodes); retries > limit {
		t.Errorf("%d retries of %d requests, want at most %d", retries, x.arrivals, limit)
	}
	x.slowdown, x.workersDown = 1, false
	answers, refusals, retries = x.phase(15*time.Second, simulatedRate)
	t.Logf("settling: %d answers, %d refusals, %d retries", answers, refusals, retries)
	answers, refusals, retries = x.phase(10*time.Second, simulatedRate)
	t.Logf("after: %d answers, %d refusals, %d retries, %d wait", answers, refusals, retries, x.waiting())
	// When nodes share workers, full workers refuse some executions at any load, so retries are never zero.
	if refusals > 0 || retries > 2*before || x.waiting() > 20 {
		t.Errorf("%d refusals, %d retries (%d before), %d wait: the nodes have not recovered",
			refusals, retries, before, x.waiting())
	}
}

// Guards against a team that gets more than its weighted share of a full pool by sending more requests.
func TestShareUnderBurst(t *testing.T) {
	for _, nodes := range []int{1, 9} {
		x := newSimulation(nodes, 2*time.Second)
		x.phase(2*time.Second, 5*simulatedRate)
		clear(x.byTeam)
		x.phase(5*time.Second, 5*simulatedRate)
		red, blue := x.byTeam["red"], x.byTeam["blue"]
		if share := float64(red) / float64(red+blue); share < 0.72 || share > 0.78 {
			t.Errorf("with %d nodes red got %d and blue %d answers, want 3 to 1", nodes, red, blue)
		}
	}
}
