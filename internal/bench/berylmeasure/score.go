package berylmeasure

// Weights are the weights of the measures in the score of a deployment.
type Weights struct {
	BufferCost float64 `json:"buffer_cost"`
	RollOut    float64 `json:"roll_out"`
	Moves      float64 `json:"moves"`
	Share      float64 `json:"share"`
	DataCentre float64 `json:"data_centre"`
	Missed     float64 `json:"missed"`
	Urgent     float64 `json:"urgent"`
}

// The costs at which a measure earns half its weight. They are constants, so that the score of a policy does not depend
// on the policies that it is compared with.
const (
	halfBufferPerInstance = 12.0  // instance-hours a day for each instance of the fleet
	halfRollOut           = 15.0  // minutes
	halfMoves             = 20.0  // moves in a run
	halfShare             = 20.0  // percent
	halfMissed            = 5.0   // percent
	halfUrgent            = 500.0 // ms
)

// Score is the weighted score of a policy in a deployment, from 0 to 100; higher is better.
type Score struct {
	Deployment string  `json:"deployment"`
	Policy     string  `json:"policy"`
	Score      float64 `json:"score"`
	Broken     int     `json:"promises_broken"`
	// The measures that the score is computed from; see Result.
	BufferCost float64  `json:"buffer_cost_instance_hours_per_day"`
	RollOut    *float64 `json:"roll_out_minutes,omitempty"`
	Moves      int      `json:"moves"`
	Share      *float64 `json:"share_distance_percent,omitempty"`
	DataCentre *float64 `json:"data_centre_work_percent,omitempty"`
	Missed     float64  `json:"deadlines_missed_percent"`
	Urgent     float64  `json:"urgent_start_p99_ms"`
}

// newScore computes the score of a policy in a deployment from the results of its runs. A broken promise makes it 0.
func newScore(d Deployment, policy string, results []Result) Score {
	s := Score{Deployment: d.Name, Policy: policy}
	var missed, urgent, buffer mean
	for _, r := range results {
		s.Broken += r.brokenCount()
		s.Moves += r.Moves
		missed.add(r.Missed)
		urgent.add(r.UrgentStartP99)
		buffer.add(r.BufferCost)
		switch r.Run {
		case runWave:
			s.RollOut = r.RollOut
		case runDataCentre:
			s.DataCentre = r.DataCentreWork
		case runFull:
			s.Share = r.ShareDistance
		}
	}
	s.Missed, s.Urgent, s.BufferCost = missed.value(), urgent.value(), buffer.value()
	if s.Broken == 0 {
		s.Score = s.weightedMean(d)
	}
	return s
}

// weightedMean returns 100 * sum(weight * merit) / sum(weight) over the measures that have a value.
func (s Score) weightedMean(d Deployment) float64 {
	w := d.Weights
	var sum, weights float64
	add := func(weight, merit float64) {
		sum += weight * merit
		weights += weight
	}
	add(w.BufferCost, merit(s.BufferCost, halfBufferPerInstance*float64(d.workerCount())))
	add(w.Moves, merit(float64(s.Moves), halfMoves))
	add(w.Missed, merit(s.Missed, halfMissed))
	add(w.Urgent, merit(s.Urgent, halfUrgent))
	if s.RollOut != nil {
		add(w.RollOut, merit(*s.RollOut, halfRollOut))
	}
	if s.Share != nil {
		add(w.Share, merit(*s.Share, halfShare))
	}
	if s.DataCentre != nil {
		add(w.DataCentre, min(1, *s.DataCentre/percent))
	}
	return percent * sum / weights
}

// merit falls with the cost: it is 1 for no cost and 1/2 if the cost equals half.
func merit(cost, half float64) float64 { return half / (half + cost) }

// workerCount returns the number of workers, the spare ones included.
func (d Deployment) workerCount() int {
	n := d.Spares
	for _, w := range d.Work {
		n += w.Workers
	}
	return n
}
