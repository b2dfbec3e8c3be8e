package berylprove

// Paths of the packages that hold the tests, from the root of the module.
const (
	pkgReducer  = "./internal/decision/berylreducer"
	pkgPlan     = "./internal/decision/berylplan"
	pkgProof    = "./internal/bench/berylproof"
	pkgWorker   = "./internal/upstream/berylworker"
	pkgCaller   = "./internal/node/berylcaller"
	pkgOperator = "./internal/node/beryloperator"
	pkgServer   = "./internal/node/berylserver"
)

// Test is the package and the name of a test.
type Test struct {
	Package string
	Name    string
}

// Promise is a property of the system that must always hold, and the tests of it.
type Promise struct {
	Text string
	// Faults describes the faults under which the tests run.
	Faults string
	// Seeds lists the seeds of the randomised tests and where they are set; it is empty if all tests are scripted.
	Seeds string
	// Holds are the tests that show that the promise holds under the faults.
	Holds []Test
	// Breaks are the tests that switch the mechanism behind the promise off and show that the promise is then broken.
	Breaks []Test
	// Gap describes what no test shows yet.
	Gap string
}

// tests returns the named tests of one package.
func tests(pkg string, names ...string) []Test {
	var out []Test
	for _, n := range names {
		out = append(out, Test{Package: pkg, Name: n})
	}
	return out
}

// join returns the tests of all lists.
func join(lists ...[]Test) []Test {
	var out []Test
	for _, l := range lists {
		out = append(out, l...)
	}
	return out
}

// Descriptions of seeds that several promises share.
const (
	modelSeeds = "0-11 in model_test.go"
	rapidSeeds = "1 in main_test.go"
)

// Promises lists every point of "What must always hold" of docs/design.md, in its order.
func Promises() []Promise {
	return []Promise{
		{
			Text: "disruption budgets hold",
			Faults: "two operators and two nodes race, answers lost, a rack lost in a wave, a node killed in a wave; " +
				"processes: two clients drain through two daemons, answers lost, a rack killed in a wave",
			Seeds: rapidSeeds,
			Holds: join(
				tests(pkgPlan, "TestRaces"),
				tests(pkgReducer, "TestOperateSessions", "TestOperatorOutcomes", "TestWaveUnderFaults", "TestLoadMovesUnderFaults"),
				tests(pkgProof, "TestOperatorRaces"),
			),
			Breaks: tests(pkgPlan, "TestRacesPlainWay"),
		},
		{
			Text:   "an instance is in exactly one pool",
			Faults: "two operators move one instance, answers lost, the mover frozen in between, also with processes",
			Seeds:  rapidSeeds,
			Holds: join(
				tests(pkgPlan, "TestRaces", "TestLoanLifecycle"),
				tests(pkgReducer, "TestOperatorOutcomes", "TestLoadMovesUnderFaults"), tests(pkgProof, "TestOperatorRaces"),
			),
			Breaks: tests(pkgPlan, "TestRacesPlainWay"),
		},
		{
			Text:   "a key admits only its team's work, and stops working within seconds of its withdrawal",
			Faults: "withdrawn while a node is frozen, partitioned or has an old configuration; unknown and malformed keys",
			Seeds:  modelSeeds,
			Holds: join(
				tests(pkgProof, "TestFreeze"), tests(pkgReducer, "TestKeyWithdrawn", "TestModel", "TestTaskAdmission"),
				tests(pkgCaller, "TestBadHeaders"),
			),
			Breaks: tests(pkgReducer, "TestModelNeedsItsMechanisms"),
		},
		{
			Text: "no team exceeds its ceiling",
			Faults: "kill, crash, freeze past the tenure, partitions, lost and reordered messages, outage, only one node reaches the platform; " +
				"eight nodes with skewed load on virtual time",
			Seeds: modelSeeds + ", 0-2 in skewed_fleet_test.go",
			Holds: join(
				tests(pkgReducer, "TestModel", "TestSkewedFleet", "TestFleetSessions", "TestRequestProperties",
					"TestCeilingWhenNodeJoins", "TestCeilingWhenNodeDies", "TestCeilingWhenNodeStops"),
				tests(pkgProof, "TestKill", "TestOutage"),
			),
			Breaks: tests(pkgReducer, "TestModelNeedsItsMechanisms", "TestSkewedFleetNeedsItsMechanisms"),
			Gap:    "a task that is adopted twice within 20 s, each time by a node without a unit, can exceed it until its lease ends",
		},
		{
			Text:   "no start in a data centre that is out of service",
			Faults: "a frozen node, a killed node, requests and tasks waiting",
			Seeds:  rapidSeeds,
			Holds: join(
				tests(pkgProof, "TestDataCentreOut"), tests(pkgReducer, "TestDataCentreOut", "TestRequestProperties", "TestModel"),
			),
			Breaks: tests(pkgReducer, "TestModelNeedsItsMechanisms"),
		},
		{
			Text:   "a caller gets the complete answer to its own request",
			Faults: "answers delayed, swapped, truncated and sent twice, both buffered and streamed",
			Seeds:  "1 of the stand-ins",
			Holds: join(
				tests(pkgCaller, "TestCutAnswer"),
				tests(pkgWorker, "TestCutAnswerIsNoAnswer", "TestExecuteCrossedAnswers", "TestExecuteAfterDoubledAnswer",
					"TestExecuteUnderWorkerFaults"),
				tests(pkgProof, "TestWorkerAnswers"),
			),
			Breaks: join(
				tests(pkgWorker, "TestCrossedAnswersNeedTheCheck", "TestCutAnswersNeedTheCheck"),
				tests(pkgCaller, "TestCutAnswerNeedsTheCheck"),
			),
		},
		{
			Text:   "a refusal that says \"not run\" is true",
			Faults: "an error at each step from connecting to the last byte, six worker faults at once, nodes killed and frozen",
			Seeds:  "1 of the stand-ins; " + rapidSeeds + "; " + modelSeeds,
			Holds: join(
				tests(pkgWorker, "TestNotRunAtEachStep", "TestOutcomesAgreeWithRecord", "TestExecuteNotSent", "TestExecuteRefused",
					"TestSettle"),
				tests(pkgCaller, "TestSettle"),
				tests(pkgReducer, "TestOrdersOnce", "TestRequestProperties", "TestUnknownOutcome"),
				tests(pkgProof, "TestWorkerAnswers", "TestKill"),
			),
			Breaks: join(tests(pkgWorker, "TestNotRunNeedsEvidence"), tests(pkgReducer, "TestOrdersNeedTheirMechanisms")),
		},
		{
			Text:   "a non-idempotent request runs at most once",
			Faults: "repeat through another node, crash between claim and dispatch and between dispatch and record, frozen owner, rebooted worker, answers of claims and workers lost",
			Seeds:  rapidSeeds + "; " + modelSeeds,
			Holds: join(
				tests(pkgWorker, "TestExecuteIsNeverReplayed"),
				tests(pkgReducer, "TestClaimRepeat", "TestClaimAnswerLost", "TestClaimOfLapsedNode", "TestClaimTakeoverLost",
					"TestOrdersOnce", "TestOrderOfDeadNode", "TestRequestProperties", "TestTaskInterleavings",
					"TestTaskAllNodesReplaced"),
				tests(pkgProof, "TestKill", "TestTask"),
			),
			Breaks: tests(pkgReducer, "TestOrdersNeedTheirMechanisms", "TestTaskFence", "TestTaskDispatchingRow", "TestTaskLapseWait"),
		},
		{
			Text:   "a leaving upstream gets no new work",
			Faults: "leaving by the instance list, leaving by the worker's own report, a list that lags behind",
			Holds:  join(tests(pkgReducer, "TestLeavingWorker"), tests(pkgProof, "TestLeavingUpstream")),
			Breaks: tests(pkgReducer, "TestLeavingWorkerNeedsTheCheck"),
		},
		{
			Text:   "planned stops interrupt no request",
			Faults: "every node replaced in turn, and every worker rebooted in a wave, under load, readiness seen late; stopping nodes with units and tasks; a request on an idle connection",
			Seeds:  modelSeeds + "; " + rapidSeeds,
			Holds: join(
				tests(pkgProof, "TestRollingReplacement", "TestIdleConnectionAtStop", "TestWave"),
				tests(pkgServer, "TestStopCutsNothing"),
				tests(pkgReducer, "TestReplaceAll", "TestWaveUnderFaults", "TestFleetSessions", "TestTaskGracefulStop",
					"TestClaimAtStop", "TestOperateSessions"),
			),
			Breaks: join(
				tests(pkgReducer, "TestReplaceAllNeedsTheDrain", "TestWaveNeedsTheDrain"),
				tests(pkgServer, "TestStopNeedsTheDrain"),
			),
			Gap: "a request can fail without an answer if it is sent at the moment at which its connection is closed after 5 s without traffic",
		},
		{
			Text:   "an accepted configuration is in force everywhere within seconds and never reverts",
			Faults: "lost answers, racing writers, a node registering meanwhile, an old node returning, outage",
			Seeds:  modelSeeds,
			Holds: join(
				tests(pkgReducer, "TestModel", "TestInForceWaitsForNewNode", "TestOperatorOutcomes", "TestFleetSessions"),
				tests(pkgProof, "TestFreeze"), tests(pkgOperator, "TestLostReplyIsUnknown"),
			),
			Breaks: tests(pkgReducer, "TestModelNeedsItsMechanisms"),
		},
	}
}
