package berylscheduler

import "time"

const (
	// moveOrderShare is the share of the platform's limit on instance orders that moves may use; the rest is for waves and
	// retries.
	moveOrderShare = 0.8
	// orderBurstTime is for how long unused orders accumulate, to be sent at once later.
	orderBurstTime = 250 * time.Millisecond
	// defaultOrderRate is the limit in instance orders per second if the platform names none.
	defaultOrderRate = 60.0
)

// orderBudget limits the rate of moves: the platform accepts only so many orders per second from all nodes together.
type orderBudget struct {
	available  float64
	refilledAt time.Time
}

// refill adds the orders for the time since the last refill; rate is the platform's limit in orders per second.
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
