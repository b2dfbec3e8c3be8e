package berylreducer

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
)

// workerOf returns the worker of the request's latest running attempt, or "".
func (s *session) workerOf(id string) string {
	if q := s.r.requests[id]; q != nil && len(q.runningAttempts) > 0 {
		return q.runningAttempts[len(q.runningAttempts)-1].worker.inst.ID
	}
	return ""
}

// Guards against a retry on the worker that has refused the request, and against a retry while another worker may have
// started it.
func TestRetryAfterRefusal(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	s.run(p, arrival("q1"))
	first := s.workerOf("q1")
	s.run(p, executionRefused("q1", 1))
	if s.workerOf("q1") == first {
		t.Errorf("the retry went to %s again", first)
	}
	s.run(p, executionAnswered("q1", 2))
	s.golden(t, "retry_refused")
}

// Guards against a second dispatch, a wrong not_run and the early return of a unit after an unknown outcome, while the
// execution may still run.
func TestUnknownOutcome(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	s.run(p, arrival("q1"))
	s.run(p, executionLost("q1", 1))
	s.runTicks(p, 54)
	if n := s.r.units["red"].running; n != 1 {
		t.Errorf("%d units in use before the lease has expired, want 1", n)
	}
	s.runTicks(p, 1)
	if n := s.r.units["red"].running; n != 0 {
		t.Errorf("%d units in use after the lease has expired, want 0", n)
	}
	s.golden(t, "unknown_outcome")
}

// Guards against units that stay in use until the lease expires although the worker has reported that the execution stopped,
// against returning such a unit twice, and against a refusal as unknown of a request that the worker will not start.
func TestSettledOutcome(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	inUse := func(want int) {
		t.Helper()
		if n := s.r.units["red"].running; n != want {
			t.Errorf("%d units in use, want %d", n, want)
		}
	}
	s.run(p, arrival("running"))
	s.run(p, executionLost("running", 1))
	inUse(1)
	s.run(p, ExecutionStopped{ID: "running", Attempt: 2})
	inUse(1)
	s.run(p, ExecutionStopped{ID: "running", Attempt: 1})
	inUse(0)
	s.run(p, ExecutionStopped{ID: "running", Attempt: 1})
	inUse(0)
	s.run(p, arrival("unseen"))
	e := executionLost("unseen", 1)
	e.Outcome = beryllatch.OutcomeWithdrawn
	s.run(p, e)
	s.run(p, executionRefused("unseen", 2))
	s.run(p, executionAnswered("unseen", 3))
	inUse(0)
	s.runTicks(p, 60)
	inUse(0)
	s.golden(t, "settled_outcome")
}

// Guards against an idempotent request that waits for a hanging worker until its deadline, against a hedge of a request that is
// not idempotent, and against a unit that is lost, or is returned while the slower attempt may still run.
func TestHedge(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	hedgeable := func(id string) RequestArrived {
		e := asIdempotent(arrival(id))
		e.BodyHash = id
		return e
	}
	for n := range 3 {
		id := "warm" + strconv.Itoa(n)
		s.run(p, hedgeable(id))
		s.run(p, executionAnswered(id, 1))
	}
	s.run(p, hedgeable("q1"))
	first := s.workerOf("q1")
	single := arrival("q2")
	single.BodyHash = "q2"
	s.run(p, single)
	s.runTicks(p, 2)
	if w := s.workerOf("q1"); w == first {
		t.Fatalf("no attempt on another worker than %s", first)
	}
	if n := len(s.r.requests["q2"].runningAttempts); n != 1 {
		t.Errorf("%d attempts of work that is not idempotent", n)
	}
	s.runTicks(p, 10)
	s.run(p, executionAnswered("q1", 2))
	s.run(p, executionAnswered("q2", 1))
	if n := s.r.units["red"].running; n != 1 {
		t.Errorf("%d units in use while the first attempt hangs, want 1", n)
	}
	s.run(p, executionAnswered("q1", 1))
	if n := s.r.units["red"].running; n != 0 {
		t.Errorf("%d units in use after the end, want 0", n)
	}
	s.golden(t, "hedge")
}

// Guards against a worker that fails every execution and still gets as much work as others, and against one that gets no work
// again after it has recovered.
func TestBreakerSession(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	w := s.r.workers["w2"]
	for n := 0; w.breaker.state == breakerClosed && n < 100; n++ {
		e := arrival("q" + strconv.Itoa(n))
		e.KeyHash = strings.Repeat(strconv.Itoa(1+n%2), 64)
		s.run(p, e)
		end := executionAnswered(e.ID, 1)
		end.Failed = s.workerOf(e.ID) == "w2"
		s.run(p, end)
		if end.Failed {
			// Wait until the recent failure no longer makes the worker less likely to be chosen.
			s.runTicks(p, 100)
		}
	}
	s.runTicks(p, 101)
	if w.breaker.state != breakerHalfOpen {
		t.Fatalf("breaker is %s after its open time", w.breaker.state)
	}
	for n := 100; w.breaker.state == breakerHalfOpen && n < 200; n++ {
		id := "q" + strconv.Itoa(n)
		s.run(p, arrival(id))
		s.run(p, executionAnswered(id, 1))
	}
	s.golden(t, "breaker")
}

// Guards against open breakers on more than a third of a pool's workers at once.
func TestBreakerFloor(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	for n := range 200 {
		e := arrival("q" + strconv.Itoa(n))
		e.KeyHash = strings.Repeat(strconv.Itoa(1+n%2), 64)
		s.run(p, e)
		end := executionAnswered(e.ID, 1)
		end.Failed = true
		s.run(p, end)
	}
	if open := s.r.pools["quotes"].openBreakers; open != 1 {
		t.Errorf("%d breakers of 4 workers are open, want 1", open)
	}
}

// fill sends n requests; those that find no free slot are queued.
func (s *session) fill(p *fakePlatform, n int) {
	for i := range n {
		s.run(p, arrival("q"+strconv.Itoa(i)))
	}
}

// Guards against a start in a data centre that was taken out of service while the request waited.
func TestDataCentreOut(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	c := sampleConfig().WithTeam(beryllatch.Team{Name: "red", Weight: 3, Ceiling: 100})
	s.start(c)
	s.fill(p, 10)
	c = c.WithDataCentre(beryllatch.DataCentre{Name: "dc1", Out: true}).WithVersion(2)
	s.run(p, ConfigRead{Config: c})
	for i := range 8 {
		s.run(p, executionAnswered("q"+strconv.Itoa(i), 1))
	}
	for _, id := range []string{"q8", "q9"} {
		if w := s.workerOf(id); w != "w1" && w != "w3" {
			t.Errorf("%s went to %q", id, w)
		}
	}
	s.golden(t, "data_centre_out")
}

// Guards against the start of a waiting request after its API key was withdrawn.
func TestKeyWithdrawn(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	c := sampleConfig().WithTeam(beryllatch.Team{Name: "red", Weight: 3, Ceiling: 100})
	s.start(c)
	s.fill(p, 10)
	k := c.APIKeys["k1"]
	k.Withdrawn = true
	s.run(p, ConfigRead{Config: c.WithAPIKey(k).WithVersion(2)})
	s.run(p, executionRefused("q0", 1))
	s.run(p, executionAnswered("q1", 1))
	s.golden(t, "key_withdrawn")
}

// Guards against units or worker slots that stay in use after many cancellations at once, and against units that are returned
// while the executions still run.
func TestCancellationWave(t *testing.T) {
	for _, c := range []struct {
		requests int
		golden   bool
	}{{12, true}, {250, false}} {
		t.Run(strconv.Itoa(c.requests), func(t *testing.T) {
			s, p := newSession(), newFakePlatform()
			s.start(sampleConfig().WithTeam(beryllatch.Team{Name: "red", Weight: 3, Ceiling: 100}))
			s.fill(p, c.requests)
			for i := range c.requests {
				s.run(p, RequestAbandoned{ID: "q" + strconv.Itoa(i)})
			}
			if n := s.r.units["red"].running; n != 8 {
				t.Errorf("%d units in use while 8 abandoned requests run", n)
			}
			for i := range 8 {
				s.run(p, executionLost("q"+strconv.Itoa(i), 1))
			}
			s.runTicks(p, 60)
			if u := s.r.units["red"]; u.running != 0 || u.waiting != 0 {
				t.Errorf("%d running and %d waiting after the wave", u.running, u.waiting)
			}
			for _, w := range s.r.workers {
				if w.running != 0 || w.breaker.failures != 0 {
					t.Errorf("worker %s has %d running and %d failures", w.inst.ID, w.running, w.breaker.failures)
				}
			}
			if c.golden {
				s.golden(t, "cancellations")
			}
		})
	}
}

// Guards against a failing job that is tried on one worker after another, and against breakers that open because of it.
func TestJobParked(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	e := asIdempotent(arrival("q1"))
	e.BodyHash = "poison"
	s.run(p, e)
	for n := 1; n <= 3; n++ {
		s.run(p, executionLost("q1", n))
	}
	e.ID = "q2"
	s.run(p, e)
	s.advance(jobParkTime)
	s.runTicks(p, 1)
	e.ID = "q3"
	s.run(p, e)
	s.golden(t, "job_parked")
	for _, w := range s.r.workers {
		if w.breaker.state != breakerClosed {
			t.Errorf("the breaker of %s is %s", w.inst.ID, w.breaker.state)
		}
	}
}

// Guards against a wrong order of the local queue: urgent requests first, then the team with the fewest running executions per
// weight, then the earliest deadline.
func TestQueueOrder(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig().
		WithTeam(beryllatch.Team{Name: "red", Weight: 3, Ceiling: 100}).
		WithTeam(beryllatch.Team{Name: "blue", Weight: 1, Ceiling: 100}))
	s.fill(p, 8)
	for _, c := range []struct {
		id       string
		team     string
		deadline time.Duration
		urgent   bool
	}{
		{"q-late", "2", 9 * time.Second, false},
		{"q-soon", "2", 4 * time.Second, false},
		{"q-red", "1", time.Second, false},
		{"q-urgent", "1", 9 * time.Second, true},
	} {
		e := arrival(c.id)
		e.KeyHash, e.Deadline, e.Urgent = strings.Repeat(c.team, 64), c.deadline, c.urgent
		s.run(p, e)
	}
	s.runTicks(p, 1)
	want := []string{"q-urgent", "q-soon", "q-late", "q-red"}
	for i, id := range want {
		s.run(p, executionAnswered("q"+strconv.Itoa(i), 1))
		if s.workerOf(id) == "" {
			t.Errorf("after %d answers %s still waits", i+1, id)
		}
	}
}

// Guards against a full queue in which one team's requests keep out those of other teams, or urgent ones.
func TestQueueFull(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	c := sampleConfig().WithTeam(beryllatch.Team{Name: "red", Weight: 3, Ceiling: 100})
	s.start(c.WithQueue(beryllatch.Queue{Name: "price", Pool: "quotes", MaxQueued: 4}))
	s.fill(p, 13)
	blue := arrival("q-blue")
	blue.KeyHash = strings.Repeat("2", 64)
	s.run(p, blue)
	hurry := arrival("q-urgent")
	hurry.Urgent = true
	s.run(p, hurry)
	s.golden(t, "queue_full")
	if n := s.r.pools["quotes"].queue.len(); n != 4 {
		t.Errorf("%d requests wait, want 4", n)
	}
}

// Guards against a choice of workers that ignores their load or distance, or the workers that were tried before.
func TestChooseWorker(t *testing.T) {
	for _, c := range []struct {
		name  string
		load  map[string]int
		tried []string
		want  []string
	}{
		{"near first", nil, nil, []string{"w2", "w4"}},
		{"near ones loaded", map[string]int{"w2": 5, "w4": 5}, nil, []string{"w1", "w3"}},
		{"tried ones last", nil, []string{"w1", "w2", "w4"}, []string{"w3"}},
		{"all tried", nil, []string{"w1", "w2", "w3", "w4"}, []string{"w2", "w4"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSession()
			s.start(sampleConfig())
			for id, n := range c.load {
				s.send(WorkerReported{Instance: id, Healthy: true, Running: n})
			}
			for range 20 {
				w, ok := s.r.chooseWorker("quotes", c.tried)
				if !ok || !strings.Contains(strings.Join(c.want, " "), w.ID) {
					t.Fatalf("chose %q, want one of %v", w.ID, c.want)
				}
			}
		})
	}
}

// Guards against choosing a worker that is leaving, according to its own report or to the platform's instance list.
func TestLeavingWorker(t *testing.T) {
	s := leavingSession(faults{})
	for range 20 {
		if w, _ := s.r.chooseWorker("quotes", nil); w.ID == "w2" || w.ID == "w4" {
			t.Fatalf("chose the leaving worker %s", w.ID)
		}
	}
}

// Guards against a TestLeavingWorker that also passes without the check for leaving workers.
func TestLeavingWorkerNeedsTheCheck(t *testing.T) {
	s := leavingSession(faults{ignoreLeaving: true})
	chosen := map[string]bool{}
	for range 20 {
		w, _ := s.r.chooseWorker("quotes", nil)
		chosen[w.ID] = true
	}
	if !chosen["w2"] || !chosen["w4"] {
		t.Fatalf("chose only %v", chosen)
	}
}

// leavingSession has two leaving workers: w2 according to its report, and w4 according to the platform's instance list.
func leavingSession(f faults) *session {
	s := newSession()
	s.r.faults = f
	s.start(sampleConfig())
	s.send(WorkerReported{Instance: "w2", Healthy: true, Leaving: true})
	s.send(InstancesListed{Instances: map[string]beryllatch.InstanceStatus{
		"127.0.0.1:9004": {Address: "127.0.0.1:9004", Leaving: true},
	}})
	return s
}

// Guards against a worker with a half-open breaker that gets no further probe if the last one ended without success or failure.
func TestProbeWithoutVerdict(t *testing.T) {
	s := newSession()
	s.start(sampleConfig())
	w := s.r.workers["w2"]
	s.r.setBreaker(w, breakerHalfOpen)
	s.r.addExecution(w)
	if w.eligibleIndex != notIndexed {
		t.Error("a half-open worker gets work beside its probe")
	}
	s.r.removeExecution(w)
	if w.eligibleIndex == notIndexed {
		t.Error("a half-open worker gets no more probes")
	}
}
