package berylmeasure

// Policy is the set of decisions under measure: the product's own, or a plain variant of one of them. Every variant
// is built around the product's code, in the fakes or in the script.
type Policy struct {
	Name  string
	Title string
	// equalSplit gives every node a fixed equal part of each ceiling and lends nothing.
	equalSplit bool
	// eagerMoves moves an instance as soon as a demand exceeds its pool, and back as soon as it falls.
	eagerMoves bool
	// oneAtATime maintains one instance of the fleet at a time.
	oneAtATime bool
	// randomRouting sends to a random configured worker of the pool, whatever its load and breaker.
	randomRouting bool
	// spreadSpares places the spare instances in the pools of the work for good.
	spreadSpares bool
}

// ChosenPolicy is the name of the product's own policy.
const ChosenPolicy = "chosen"

// Policies returns the policies that are measured side by side, the chosen one first.
func Policies() []Policy {
	return []Policy{
		{Name: ChosenPolicy, Title: "the product's decisions"},
		{Name: "equal_split", Title: "equal split of ceilings over nodes, no lending", equalSplit: true},
		{Name: "eager_moves", Title: "instances move on every burst", eagerMoves: true},
		{Name: "one_at_a_time", Title: "maintenance of one instance at a time", oneAtATime: true},
		{Name: "random_routing", Title: "random worker, no breakers", randomRouting: true},
		{Name: "spread_spares", Title: "no spare pool, spares spread over the pools", spreadSpares: true},
	}
}
