package berylmeasure

// Policy is the product's own set of decisions, or a variant in which one of them is replaced by a simpler one. A
// variant does not change the product's code, but the simulated table, workers or operators, or the configuration.
type Policy struct {
	Name  string
	Title string
	// equalSplit gives every node a fixed equal part of each ceiling; nodes don't lend units to each other.
	equalSplit bool
	// eagerMoves moves an instance as soon as the demand exceeds the size of a pool, and back as soon as it falls.
	eagerMoves bool
	// oneAtATime runs one wave for each service in turn, which takes out one instance of the fleet at a time where the
	// disruption budget of each service is one.
	oneAtATime bool
	// randomRouting sends each attempt to a random worker of the pool, whatever its load and the state of its breaker.
	randomRouting bool
	// spreadSpares assigns the spare instances to the pools of the work permanently.
	spreadSpares bool
}

// ChosenPolicy is the name of the product's own policy.
const ChosenPolicy = "chosen"

// Policies returns the policies that are compared, the chosen one first.
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
