package berylmeasure

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	// runTimeSpread is the sigma of the log-normal run times: the 99th percentile is about 2.8 times the mean.
	runTimeSpread = 0.5
	// waitDeadline is the deadline of work that may wait, the longest that a request may have.
	waitDeadline   = 60 * time.Second
	urgentFraction = 0.1
	// idempotentFraction of the requests say that they may run twice; keyedPart of the others carry a key.
	idempotentFraction = 0.5
	keyedFraction      = 0.3
	// maxLoad bounds the load of any script, relative to the mean.
	maxLoad = 6.0
)

// nodeSkew is how a team's requests are spread over eight nodes, the first being its own; long-lived connections make
// a balancer uneven.
var nodeSkew = []float64{4, 2, 1, 1, 1, 1, 1, 1}

// requestSource makes the requests of one kind of work; its random numbers depend on nothing but the seed, so that every
// policy gets the same requests.
type requestSource struct {
	fleet *fleet
	work  int
	rand  *rand.Rand
	count int
}

func newRequestSource(f *fleet, work int) *requestSource {
	return &requestSource{fleet: f, work: work, rand: rand.New(rand.NewPCG(f.seed, uint64(work)+1))}
}

// scheduleNext schedules the next request; the thinning of a faster process gives the load of the script.
func (s *requestSource) scheduleNext() {
	f := s.fleet
	w := f.deployment.Work[s.work]
	gap := s.rand.ExpFloat64() / (f.deployment.rate(w) * maxLoad)
	f.after(time.Duration(gap*float64(time.Second)), func() {
		if f.now >= f.script.length || f.scriptDone {
			return
		}
		q := s.newRequest(w)
		if s.rand.Float64()*maxLoad < f.script.load(s.work, f.now) {
			f.sendRequest(q)
		}
		s.scheduleNext()
	})
}

// newRequest makes a request with all its random properties, whether it is then used or not.
func (s *requestSource) newRequest(w Work) *request {
	f := s.fleet
	s.count++
	team := pickWeighted(s.rand, f.teamLoadWeights)
	q := &request{
		id: w.Name + "-" + strconv.Itoa(s.count), work: s.work, team: team,
		node: f.nodes[(team+pickWeighted(s.rand, f.nodeLoadWeights))%len(f.nodes)], deadline: w.Deadline,
		urgent: s.rand.Float64() < urgentFraction, idempotent: s.rand.Float64() < idempotentFraction,
		keyed: s.rand.Float64() < keyedFraction, runTime: randomRunTime(s.rand, w.RunTime),
	}
	if q.deadline == 0 {
		q.deadline = waitDeadline
	}
	q.keyed = q.keyed && !q.idempotent
	return q
}

// randomRunTime draws from a log-normal distribution with the mean.
func randomRunTime(r *rand.Rand, mean time.Duration) time.Duration {
	x := math.Exp(runTimeSpread*r.NormFloat64() - runTimeSpread*runTimeSpread/2)
	return time.Duration(x * float64(mean))
}

// pickWeighted returns an index with the probability of its part.
func pickWeighted(r *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := r.Float64() * sum
	for n, w := range weights {
		if x -= w; x < 0 {
			return n
		}
	}
	return len(weights) - 1
}

// nodeLoadWeights returns the parts of a team's requests for n nodes, its own node first.
func nodeLoadWeights(n int) []float64 {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = nodeSkew[i%len(nodeSkew)]
	}
	return weights
}
