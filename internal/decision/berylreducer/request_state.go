package berylreducer

import "time"

// defaultSlots bounds the executions of a node without a setting.
const defaultSlots = 4096

// requestState is the part of the reducer's state that serves requests.
type requestState struct {
	// requests holds every request between its arrival and its end.
	requests map[string]*request
	pools    map[string]*poolState
	// blocked holds, by team, where requests wait for a unit.
	blocked map[string][]blockedTeam
	// workerOrder holds the workers by id.
	workerOrder []*workerState
	// pausedWorkers holds the workers whose pause or open breaker is to end.
	pausedWorkers []*workerState
	// limitNodes is the number of nodes for which the workers' limits hold.
	limitNodes     int
	lostExecutions *priorityQueue[*lostExecution]
	// lostExecutionsByID holds the same executions.
	lostExecutionsByID map[attemptID]*lostExecution
	// hedges holds the running attempts beside which a second one may start, by when.
	hedges   *priorityQueue[*attempt]
	runTimes map[runTimeClass]*runTime
	budget   retryBudget
	jobs     jobScores
	// claims holds the claims that this node wants or owns, by request.
	claims map[string]*claim
	// acquiring holds the claims that requests wait for.
	acquiring *priorityQueue[*claim]
	// claiming counts the requests that wait for their claims, by queue.
	claiming     map[string]int
	claimRetries []*claim
	claimCount   uint64
	// absent holds when an incarnation was first seen without a node row.
	absent   map[string]time.Duration
	sequence uint64
	active   int
	slots    int
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
		absent:             map[string]time.Duration{},
		limitNodes:         1,
		slots:              slots,
	}
}
