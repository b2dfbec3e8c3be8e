package berylscheduler

import "time"

const (
	// orderShare is the part of the platform's rate of instance orders that moves use: the rest is for waves and repeats.
	orderShare = 0.8
	// orderBurst is for how long the orders that were not given may be given later, at once.
	orderBurst = 250 * time.Millisecond
	// fallbackOrders is the rate of instance orders, a second, where the platform names none.
	fallbackOrders = 60.0
)

// orderBudget spreads the moves over time: the platform takes so many orders a second from all nodes together.
type orderBudget struct {
	orders float64
	at     time.Time
}

// refill adds what the rate, in orders a second, gives for the time since the last refill.
func (b *orderBudget) refill(now time.Time, rate float64) {
	if rate <= 0 {
		rate = fallbackOrders
	}
	rate *= orderShare
	most := max(rate*orderBurst.Seconds(), 1)
	if b.at.IsZero() {
		b.orders = most
	} else {
		b.orders = min(b.orders+rate*now.Sub(b.at).Seconds(), most)
	}
	b.at = now
}

func (b *orderBudget) left() bool { return b.orders >= 1 }

func (b *orderBudget) take() { b.orders-- }
