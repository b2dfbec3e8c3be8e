package berylmeasure

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	// runTimeSpread is the sigma of the log-normal run times; their 99th percentile is about 2.8 times the mean.
	runTimeSpread = 0.5
	// waitDeadline is the deadline of work that may wait; no request has a longer one.
	waitDeadline = 60 * time.Second
	// urgentFraction is the fraction of urgent requests.
	urgentFraction = 0.1
	// idempotentFraction is the fraction of requests that are declared idempotent; keyedFraction is the fraction of the
	// others that carry an idempotency key.
	idempotentFraction = 0.5
	keyedFraction      = 0.3
	// maxLoad is the highest load that a script may have, relative to the mean; see scheduleNext.
	maxLoad = 6.0
)

// nodeSkew holds the relative numbers of a team's requests at eight nodes, starting with the node that it uses most.
// They differ because long-lived connections make a load balancer uneven.
var nodeSkew = []float64{4, 2, 1, 1, 1, 1, 1, 1}

// requestSource generates the requests of one kind of work. Its random numbers depend only on the seed, so that every
// policy receives the same requests.
type requestSource struct {
	fleet *fleet
	work  int
	rand  *rand.Rand
	count int
}

func newRequestSource(f *fleet, work int) *requestSource {
	return &requestSource{fleet: f, work: work, rand: rand.New(rand.NewPCG(f.seed, uint64(work)+1))}
}

// scheduleNext schedules the next request. Candidates arrive as a Poisson process at maxLoad, and each is sent with the
// probability load/maxLoad (thinning), which gives a Poisson process at the load of the script.
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

// newRequest returns a candidate with random properties. It is also called for the candidates that are not sent, so
// that the properties of the later ones do not depend on which are sent.
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

// randomRunTime returns a random run time from the log-normal distribution with the given mean.
func randomRunTime(r *rand.Rand, mean time.Duration) time.Duration {
	x := math.Exp(runTimeSpread*r.NormFloat64() - runTimeSpread*runTimeSpread/2)
	return time.Duration(x * float64(mean))
}

// pickWeighted returns a random index, each with a probability in proportion to its weight.
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

// nodeLoadWeights returns nodeSkew repeated for n nodes.
func nodeLoadWeights(n int) []float64 {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = nodeSkew[i%len(nodeSkew)]
	}
	return weights
}
