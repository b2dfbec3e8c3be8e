package berylreducer

import "time"

// defaultSlots is the largest number of concurrent executions of a node that is not configured otherwise.
const defaultSlots = 4096

// requestState is the part of the reducer's state that concerns requests and their workers.
type requestState struct {
	// requests holds the requests that are not answered yet, by id.
	requests map[string]*request
	pools    map[string]*poolState
	// blocked holds, by team, the pools in which the team's requests wait for a unit.
	blocked map[string][]blockedTeam
	// workerOrder holds the workers, sorted by id.
	workerOrder []*workerState
	// pausedWorkers holds the workers that are paused after a refusal or have an open breaker.
	pausedWorkers []*workerState
	// limitNodes is the number of nodes for which the workers' eligibility was last updated; their limits depend on it.
	limitNodes     int
	lostExecutions *priorityQueue[*lostExecution]
	// lostExecutionsByID holds the same executions.
	lostExecutionsByID map[attemptID]*lostExecution
	// hedges holds the running attempts that may get a hedge, ordered by the time when it may start.
	hedges   *priorityQueue[*attempt]
	runTimes map[runTimeClass]*runTime
	budget   retryBudget
	jobs     jobScores
	// claims holds the claims that this node is acquiring, owns or settles, by request id.
	claims map[string]*claim
	// acquiring holds the claims that requests wait for.
	acquiring *priorityQueue[*claim]
	// claiming counts the requests that wait for their claims, by queue.
	claiming map[string]int
	// claimRetries holds the claims whose current step must be repeated.
	claimRetries []*claim
	// claimCount numbers the claims.
	claimCount uint64
	// absentSince maps an incarnation without a node row to when this node first noticed that.
	absentSince map[string]time.Duration
	// sequence numbers requests and lost executions.
	sequence uint64
	// active is the number of running attempts, and slots their largest number.
	active int
	slots  int
}

func newRequestState(slots int) requestState {
	if slots <= 0 {
		slots = defaultSlots
	}
	return requestState{
		requests:           map[string]*request{},
		pools:              map[string]*poolState{},
		blocked:            map[string][]blockedTeam{},
		lostExecutions:     newLostExecutionQueue(),
		lostExecutionsByID: map[attemptID]*lostExecution{},
		hedges:             newHedgeQueue(),
		runTimes:           map[runTimeClass]*runTime{},
		budget:             newRetryBudget(),
		jobs:               jobScores{byFingerprint: map[string]*jobScore{}},
		claims:             map[string]*claim{},
		acquiring:          newAcquiringQueue(),
		claiming:           map[string]int{},
		absentSince:        map[string]time.Duration{},
		limitNodes:         1,
		slots:              slots,
	}
}
