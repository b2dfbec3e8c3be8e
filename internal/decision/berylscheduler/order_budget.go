package berylscheduler

import "time"

const (
	// moveOrderShare is the part of the platform's rate of instance orders that moves use: the rest is for waves and repeats.
	moveOrderShare = 0.8
	// orderBurstTime is for how long the orders that were not given may be given later, at once.
	orderBurstTime = 250 * time.Millisecond
	// defaultOrderRate is the rate of instance orders, a second, where the platform names none.
	defaultOrderRate = 60.0
)

// orderBudget spreads the moves over time: the platform takes so many orders a second from all nodes together.
type orderBudget struct {
	available  float64
	refilledAt time.Time
}

// refill adds what the rate, in orders a second, gives for the time since the last refill.
func (b *orderBudget) refill(now time.Time, rate float64) {
	if rate <= 0 {
		rate = defaultOrderRate
	}
	rate *= moveOrderShare
	limit := max(rate*orderBurstTime.Seconds(), 1)
	if b.refilledAt.IsZero() {
		b.available = limit
	} else {
		b.available = min(b.available+rate*now.Sub(b.refilledAt).Seconds(), limit)
	}
	b.refilledAt = now
}

func (b *orderBudget) allowsOrder() bool { return b.available >= 1 }

func (b *orderBudget) takeOrder() { b.available-- }
