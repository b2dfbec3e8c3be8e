package berylreducer

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
)

// taskSimulation simulates the platform, workers and nodes on a common virtual clock. Each effect of a node becomes a pending
// call, which a test performs, fails or holds back.
type taskSimulation struct {
	*session
	rows map[beryllatch.RowKey]beryllatch.Row
	// registry holds the node rows by incarnation.
	registry map[string]NodeRow
	// knownLists holds the stored lists of known incarnations, by incarnation.
	knownLists map[string][]string
	workers    map[string]*fakeWorker
	nodes      []*fakeNode
	config     beryllatch.Config
	// starts counts the starts of each task on all workers, including those before a reboot.
	starts map[string]int
	// staleStarts lists the tasks that were started with a fence of an earlier epoch than the stored one of their shard.
	staleStarts []string
	outage      bool
	// submitted holds the task ids that have been submitted.
	submitted map[string]bool
	// shards caches the decoded shard rows until the next write of one.
	shards []StoredShard
	// callCount is the number of calls of the tasks API.
	callCount int
	// slowClock lets workers start tasks after their start-by time.
	slowClock bool
	// everSlowClock is true if slowClock was ever set; a stale start is then no violation.
	everSlowClock bool
	// fault returns the fault of a call; nil means that all calls succeed.
	fault   func(n *fakeNode, e Effect) fault
	quiet   bool
	disable func(r *Reducer)
}

// fault is the way in which a call fails.
type fault int

const (
	faultNone fault = iota
	// faultFailed has no effect, and the caller knows it.
	faultFailed
	// faultLost takes effect, but the answer is lost.
	faultLost
	// faultHeld leaves the call pending.
	faultHeld
)

// fakeNode is a node of a taskSimulation, with its pending calls and the results that it has not received yet.
type fakeNode struct {
	id     Identity
	r      Reducer
	calls  []Effect
	events []Event
	frozen bool
	killed bool
	// killedAt is when the node was killed; the instance list shows that with a delay.
	killedAt time.Duration
	// answers holds the last answer of each call of the tasks API.
	answers map[string]Effect
}

// fakeWorker is a worker of a taskSimulation. boot counts its reboots; runs and fences hold the run and the highest accepted
// fence of each task.
type fakeWorker struct {
	address string
	boot    int
	runs    map[string]*fakeRun
	fences  map[string]uint64
	// refused holds, for a task that the worker has not received, the highest fence that it refuses to start.
	refused map[string]uint64
}

type fakeRun struct {
	state beryllatch.TaskRunState
	fence uint64
	lease time.Time
}

// newBareTaskSimulation returns a simulation without nodes. disable, if not nil, disables mechanisms of each node that is added.
func newBareTaskSimulation(disable func(*Reducer)) *taskSimulation {
	w := &taskSimulation{
		session: newSession(), rows: map[beryllatch.RowKey]beryllatch.Row{}, registry: map[string]NodeRow{}, knownLists: map[string][]string{}, submitted: map[string]bool{},
		workers: map[string]*fakeWorker{}, config: sampleConfig(), starts: map[string]int{}, disable: disable,
	}
	for _, id := range beryllatch.SortedKeys(w.config.Instances) {
		a := w.config.Instances[id].Address
		w.workers[a] = &fakeWorker{address: a, runs: map[string]*fakeRun{}, fences: map[string]uint64{}, refused: map[string]uint64{}}
	}
	return w
}

func (w *taskSimulation) addNode(name string) {
	incarnation := fmt.Sprintf("%s-%d", name, len(w.nodes)+1)
	n := &fakeNode{id: Identity{Node: name, Incarnation: incarnation, DataCentre: "dc1", PeerAddress: incarnation}, answers: map[string]Effect{}}
	w.nodes = append(w.nodes, n)
	w.apply(n, Started{Self: n.id, Seed: uint64(len(w.nodes))})
	if w.disable != nil {
		w.disable(&n.r)
	}
	w.apply(n, ShardsEnabled{})
	w.apply(n, ConfigRead{Config: w.config})
	w.reportWorkers(n)
}

func (w *taskSimulation) reportWorkers(n *fakeNode) {
	for _, id := range beryllatch.SortedKeys(w.config.Instances) {
		worker := w.workers[w.config.Instances[id].Address]
		w.apply(n, WorkerReported{Instance: id, Healthy: true, BootID: worker.bootID()})
	}
}

func (w *taskSimulation) kill(n *fakeNode) {
	n.killed = true
	n.killedAt = w.now.Mono
}

// listInstances delivers the instance list, which lags by three seconds.
func (w *taskSimulation) listInstances(n *fakeNode) {
	if w.now.Mono%time.Second != 0 {
		return
	}
	list := map[string]beryllatch.InstanceStatus{}
	for _, i := range w.config.Instances {
		list[i.Address] = beryllatch.InstanceStatus{Address: i.Address}
	}
	for _, x := range w.nodes {
		if !x.killed || w.now.Mono-x.killedAt < 3*time.Second {
			list[x.id.PeerAddress] = beryllatch.InstanceStatus{Address: x.id.PeerAddress}
		}
	}
	w.apply(n, InstancesListed{Instances: list})
}

// apply passes an event to a node and queues its effects as pending calls.
func (w *taskSimulation) apply(n *fakeNode, e Event) {
	if n.killed {
		return
	}
	effects := n.r.Reduce(w.now, e)
	w.record(n, e, effects)
	for _, x := range effects {
		switch x := x.(type) {
		case AnswerTask:
			n.answers[x.CallID] = x
		case RefuseTask:
			n.answers[x.CallID] = x
		case ReplyTaskResolve:
			n.answers[x.CallID] = x
		case Stop:
			w.kill(n)
		case Count, LogState, SetGauge, SetReady, SendHeartbeats, ReplyGrant, NotifyConfig, NotifyUnits, ConfigInForce, RequestUnits, Reincarnate:
		default:
			n.calls = append(n.calls, x)
		}
	}
}

// step performs one pending call and delivers its answer, if any.
func (w *taskSimulation) step(n *fakeNode, i int, f fault) {
	call := n.calls[i]
	n.calls = slices.Delete(n.calls, i, i+1)
	if e := w.perform(n, call, f); e != nil {
		n.events = append(n.events, e)
	}
}

// deliver passes the pending results of its calls to a node.
func (w *taskSimulation) deliver(n *fakeNode) {
	for !n.frozen && !n.killed && len(n.events) > 0 {
		e := n.events[0]
		n.events = n.events[1:]
		w.apply(n, e)
	}
}

// performAll performs pending calls until only held ones are left.
func (w *taskSimulation) performAll() {
	for range 10_000 {
		if !w.performNext() {
			return
		}
	}
	panic("the calls do not come to an end")
}

func (w *taskSimulation) performNext() bool {
	for _, n := range w.nodes {
		w.deliver(n)
		for i := range n.calls {
			f := faultNone
			if w.fault != nil {
				f = w.fault(n, n.calls[i])
			}
			if f != faultHeld && !n.frozen && !n.killed {
				w.step(n, i, f)
				return true
			}
		}
	}
	return false
}

// advance moves the clock forward by d, with a tick every 100 ms.
func (w *taskSimulation) advance(d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		w.now = w.now.Add(100 * time.Millisecond)
		w.expireLeases()
		for _, n := range w.nodes {
			if !n.frozen {
				w.listInstances(n)
				w.apply(n, Ticked{})
			}
		}
		w.performAll()
	}
}

func (w *taskSimulation) perform(n *fakeNode, e Effect, f fault) Event {
	switch e := e.(type) {
	case RenewTenure:
		return w.renew(n, e, f)
	case ReadKnownIncarnations:
		known := map[string][]string{}
		for _, id := range e.Incarnations {
			known[id] = w.knownLists[id]
		}
		return KnownIncarnationsRead{SentAt: w.now, Known: known}
	case ReadConfig:
		return ConfigRead{Config: w.config}
	case ReadUnits, WriteUnits:
		return w.performUnits(e)
	case DeleteNode:
		delete(w.registry, e.Node.Incarnation)
		return NodeDeleted{Incarnation: e.Node.Incarnation, Result: WriteDone}
	case ReceivePayload:
		return PayloadReceived{CallID: e.CallID, Payload: []byte("x")}
	case StartTask, QueryTask, QueryAttempt, RenewTask, StopTask, CollectResult:
		return w.performWorker(e, f)
	default:
		return w.performTable(e, f)
	}
}

// renew writes the node's row and reads all of them.
func (w *taskSimulation) renew(n *fakeNode, e RenewTenure, f fault) Event {
	if w.outage || f == faultFailed {
		return RenewalFailed{SentAt: w.now}
	}
	row, ok := w.registry[n.id.Incarnation]
	if e.Row.Renewal > 1 && !ok {
		w.kill(n)
		return nil
	}
	e.Row.Version = row.Version + 1
	w.knownLists[n.id.Incarnation] = e.Row.Known
	e.Row.Known = nil
	w.registry[n.id.Incarnation] = e.Row
	renewed := Renewed{SentAt: w.now, HeadVersion: w.config.Version}
	for _, id := range beryllatch.SortedKeys(w.registry) {
		renewed.Nodes = append(renewed.Nodes, w.registry[id])
	}
	return renewed
}

// checksHold reports whether the conditions on node rows hold.
func (w *taskSimulation) checksHold(checks []NodeCheck) bool {
	for _, c := range checks {
		if w.registry[c.Incarnation].Version != c.Version {
			return false
		}
	}
	return true
}

func (w *taskSimulation) performUnits(e Effect) Event {
	switch e := e.(type) {
	case ReadUnits:
		row := w.rows[unitKey(e.Team)]
		var value UnitRow
		_ = json.Unmarshal(row.Value, &value)
		return UnitsRead{Team: e.Team, Row: value, Version: row.Version}
	case WriteUnits:
		result := w.transact(beryllatch.RowWrite{Row: rowOf(unitKey(e.Row.Team), e.Row), Expect: e.Expect})
		return UnitsWritten{Team: e.Row.Team, Row: e.Row, Version: e.Expect + 1, Result: result}
	}
	return nil
}

func unitKey(team string) beryllatch.RowKey {
	return beryllatch.RowKey{Partition: "unit", Sort: team}
}

func unfinishedKey(shard int, id string) beryllatch.RowKey {
	return beryllatch.RowKey{Partition: fmt.Sprintf("task#%d", shard), Sort: id}
}

func finishedKey(shard int, id string) beryllatch.RowKey {
	return beryllatch.RowKey{Partition: fmt.Sprintf("done#%d", shard), Sort: id}
}

func shardKey(n int) beryllatch.RowKey {
	return beryllatch.RowKey{Partition: "shard", Sort: fmt.Sprintf("%02d", n)}
}

func rowOf(k beryllatch.RowKey, v any) beryllatch.Row {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return beryllatch.Row{Key: k, Value: b}
}

// transact applies all writes or none.
func (w *taskSimulation) transact(writes ...beryllatch.RowWrite) WriteResult {
	for _, x := range writes {
		if w.rows[x.Row.Key].Version != x.Expect {
			return WriteConflict
		}
	}
	for _, x := range writes {
		switch {
		case x.CheckOnly:
		case x.Delete:
			delete(w.rows, x.Row.Key)
		default:
			w.rows[x.Row.Key] = x.Stored()
		}
	}
	return WriteDone
}

func (w *taskSimulation) write(f fault, writes ...beryllatch.RowWrite) WriteResult {
	if w.outage || f == faultFailed {
		return WriteFailed
	}
	result := w.transact(writes...)
	if f == faultLost {
		return WriteUnknown
	}
	return result
}

func (w *taskSimulation) performTable(e Effect, f fault) Event {
	failed := w.outage || f != faultNone
	switch e := e.(type) {
	case SubmitTask:
		writes := []beryllatch.RowWrite{{Row: rowOf(unfinishedKey(e.Shard, e.Task.ID), e.Task)}}
		if e.Claim.Key != "" {
			writes = append(writes, beryllatch.RowWrite{Row: rowOf(claimKey(e.Task.Team, "", e.Claim.Key), e.Claim)})
		}
		return SubmissionWritten{CallID: e.CallID, Result: w.write(f, writes...)}
	case ReadSubmission:
		_, found := w.storedTask(e.Shard, e.TaskID)
		var claim TaskClaim
		row := w.rows[claimKey(e.Team, "", e.ClaimKey)]
		_ = json.Unmarshal(row.Value, &claim)
		return SubmissionRead{CallID: e.CallID, Failed: failed, Found: found, Claimed: row.Version > 0, Claim: claim}
	case LookUpTask:
		t, found := w.storedTask(e.Shard, e.TaskID)
		return TaskLookedUp{CallID: e.CallID, Failed: failed, Found: found, Task: t}
	case WriteCancel:
		writes := w.taskWrites(e.Shard, e.Task, e.Expect)
		if !e.Task.State.Final() {
			writes = append(writes, beryllatch.RowWrite{Row: rowOf(cancelKey(e.Shard, e.Task.ID), "")})
		}
		return CancelWritten{CallID: e.CallID, Result: w.write(f, writes...)}
	case ReadShards:
		return ShardsRead{SentAt: w.now, Failed: failed, Shards: w.shardRows()}
	case WriteShard:
		w.shards = nil
		result := WriteConflict
		if w.checksHold(e.Checks) {
			result = w.write(f, beryllatch.RowWrite{Row: rowOf(shardKey(e.Row.Shard), e.Row), Expect: e.Expect})
		}
		return ShardWritten{Row: e.Row, Version: e.Expect + 1, Result: result}
	case PollShard:
		tasks := w.page(LoadTasks{Shard: e.Shard, After: e.After, Limit: e.Limit})
		polled := ShardPolled{Shard: e.Shard, Epoch: e.Epoch, Failed: failed, Tasks: tasks}
		if !e.SkipCancels {
			polled.Cancelled = w.pendingCancels(e.Shard)
		}
		return polled
	case SweepObjects:
		return ObjectsSwept{Shard: e.Shard, Epoch: e.Epoch}
	case LoadTasks:
		return TasksLoaded{Shard: e.Shard, Epoch: e.Epoch, After: e.After, Failed: failed, Tasks: w.page(e)}
	case WriteDecision:
		finished, unfinished := finishedKey(e.Shard, e.Task.ID), unfinishedKey(e.Shard, e.Task.ID)
		writes := []beryllatch.RowWrite{{Row: rowOf(finished, e.Task), Expect: e.Expect}}
		if !e.Task.State.Final() {
			writes[0].Delete = true
			writes = append(writes, beryllatch.RowWrite{Row: rowOf(unfinished, e.Task), Version: e.Task.FirstVersion()})
		}
		return DecisionWritten{CallID: e.CallID, Result: w.write(f, writes...)}
	case WriteTask:
		writes := w.taskWrites(e.Shard, e.Task, e.Expect)
		if e.Task.State.Final() && e.Task.CancelRequested {
			marker := beryllatch.Row{Key: cancelKey(e.Shard, e.Task.ID)}
			writes = append(writes, beryllatch.RowWrite{Row: marker, Expect: 1, Delete: true})
		}
		if e.ShardExpect > 0 {
			writes = append(writes, beryllatch.RowWrite{
				Row: beryllatch.Row{Key: shardKey(e.Shard)}, Expect: e.ShardExpect, CheckOnly: true,
			})
		}
		return TaskWritten{ID: e.Task.ID, Epoch: e.Epoch, Result: w.write(f, writes...)}
	case ReadTask:
		t, found := w.taskAt(unfinishedKey(e.Shard, e.ID))
		return TaskRowRead{ID: e.ID, Epoch: e.Epoch, Failed: failed, Found: found, Task: t}
	}
	panic(fmt.Sprintf("unexpected effect %T", e))
}

func (w *taskSimulation) taskWrites(shard int, t beryllatch.Task, expect uint64) []beryllatch.RowWrite {
	k := unfinishedKey(shard, t.ID)
	if !t.State.Final() {
		return []beryllatch.RowWrite{{Row: rowOf(k, t), Expect: expect}}
	}
	return []beryllatch.RowWrite{
		{Row: beryllatch.Row{Key: k}, Expect: expect, Delete: true}, {Row: rowOf(finishedKey(shard, t.ID), t), Version: t.FirstVersion()},
	}
}

func (w *taskSimulation) taskAt(k beryllatch.RowKey) (StoredTask, bool) {
	row, ok := w.rows[k]
	var t StoredTask
	_ = json.Unmarshal(row.Value, &t.Task)
	t.Version = row.Version
	return t, ok
}

func (w *taskSimulation) storedTask(shard int, id string) (StoredTask, bool) {
	if t, ok := w.taskAt(unfinishedKey(shard, id)); ok {
		return t, true
	}
	return w.taskAt(finishedKey(shard, id))
}

func cancelKey(shard int, id string) beryllatch.RowKey {
	return beryllatch.RowKey{Partition: fmt.Sprintf("cancel#%d", shard), Sort: id}
}

func (w *taskSimulation) pendingCancels(shard int) []string {
	var out []string
	partition := cancelKey(shard, "").Partition
	for k := range w.rows {
		if k.Partition == partition {
			out = append(out, k.Sort)
		}
	}
	slices.Sort(out)
	return out
}

func (w *taskSimulation) page(e LoadTasks) []StoredTask {
	var out []StoredTask
	partition := unfinishedKey(e.Shard, "").Partition
	for k := range w.rows {
		if k.Partition == partition && k.Sort > e.After {
			t, _ := w.taskAt(k)
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b StoredTask) int { return strings.Compare(a.ID, b.ID) })
	return out[:min(len(out), e.Limit)]
}

func (w *taskSimulation) shardRows() []StoredShard {
	if w.shards != nil {
		return w.shards
	}
	var out []StoredShard
	for n := range shardCount {
		if row, ok := w.rows[shardKey(n)]; ok {
			s := StoredShard{Version: row.Version}
			_ = json.Unmarshal(row.Value, &s.ShardRow)
			out = append(out, s)
		}
	}
	w.shards = out
	return out
}

func (w *taskSimulation) performWorker(e Effect, f fault) Event {
	switch e := e.(type) {
	case StartTask:
		return w.start(e, f)
	case QueryTask:
		return w.query(e, f)
	case QueryAttempt:
		answer := w.query(QueryTask{ID: e.TaskID, Address: e.Address}, f).(TaskReported)
		return AttemptReported{CallID: e.CallID, Failed: answer.Failed, Report: answer.Report}
	case RenewTask:
		x := e.Execution
		return w.report(x.ID, x.Fence, x.Address, f, func(run *fakeRun) { run.lease = x.LeaseExpiry })
	case StopTask:
		x := e.Execution
		if f == faultNone && w.workers[x.Address].runs[x.ID] == nil {
			w.workers[x.Address].refused[x.ID] = x.Fence
		}
		return w.report(x.ID, x.Fence, x.Address, f, func(run *fakeRun) {
			if run.state == beryllatch.TaskRunRunning {
				run.state = beryllatch.TaskRunStopped
			}
		})
	case CollectResult:
		run := w.workers[e.Address].runs[e.ID]
		if f != faultNone || run == nil || run.state != beryllatch.TaskRunDone {
			return ResultCollected{ID: e.ID, Fence: e.Fence, WorkerFailed: true}
		}
		return ResultCollected{ID: e.ID, Fence: e.Fence, Result: []byte("r")}
	}
	return nil
}

// start starts a task on its worker, unless the worker refuses it.
func (w *taskSimulation) start(e StartTask, f fault) Event {
	x := e.Execution
	worker := w.workers[x.Address]
	run := worker.runs[x.ID]
	busy := run != nil && run.state == beryllatch.TaskRunRunning
	answer := TaskStarted{ID: e.ID, Fence: x.Fence, Outcome: beryllatch.OutcomeAnswered}
	switch {
	case f == faultFailed:
		answer.Outcome, answer.Reason = beryllatch.OutcomeNotSent, beryllatch.ReasonWorkerUnreachable
		return answer
	case w.now.Wall.After(x.StartBy) && !w.slowClock, x.Fence < worker.fences[x.ID], x.Fence <= worker.refused[x.ID], busy:
		answer.Outcome, answer.Reason = beryllatch.OutcomeRefused, beryllatch.ReasonWorkerRefused
	default:
		worker.fences[x.ID] = x.Fence
		worker.runs[x.ID] = &fakeRun{state: beryllatch.TaskRunRunning, fence: x.Fence, lease: x.LeaseExpiry}
		w.countStart(x)
	}
	if f == faultLost {
		answer.Outcome, answer.Reason = beryllatch.OutcomeUnknown, beryllatch.ReasonAnswerLost
	}
	return answer
}

func (w *taskSimulation) countStart(x beryllatch.Execution) {
	w.starts[x.ID]++
	var s ShardRow
	_ = json.Unmarshal(w.rows[shardKey(ShardOf(x.ID))].Value, &s)
	if uint32(x.Fence>>32) < s.Epoch {
		w.staleStarts = append(w.staleStarts, x.ID)
	}
}

// query reports the state of a task without a check of fences.
func (w *taskSimulation) query(e QueryTask, f fault) Event {
	worker := w.workers[e.Address]
	answer := TaskReported{ID: e.ID, Fence: e.Fence, Failed: f != faultNone}
	answer.Report = beryllatch.TaskReport{State: beryllatch.TaskRunUnseen, BootID: worker.bootID()}
	if run := worker.runs[e.ID]; run != nil {
		answer.Report.State, answer.Report.Fence = run.state, run.fence
	}
	return answer
}

func (w *taskSimulation) report(id string, fence uint64, address string, f fault, change func(*fakeRun)) Event {
	worker := w.workers[address]
	answer := TaskReported{ID: id, Fence: fence, Failed: f != faultNone}
	answer.Report = beryllatch.TaskReport{State: beryllatch.TaskRunUnseen, BootID: worker.bootID()}
	if fence < worker.fences[id] {
		answer.Refused = true
		return answer
	}
	if run := worker.runs[id]; run != nil && f != faultFailed {
		worker.fences[id] = fence
		change(run)
		answer.Report.State, answer.Report.Fence = run.state, run.fence
	}
	return answer
}

func (f *fakeWorker) bootID() string { return f.address + "/" + strconv.Itoa(f.boot) }

func (f *fakeWorker) reboot() {
	f.boot++
	f.runs, f.fences, f.refused = map[string]*fakeRun{}, map[string]uint64{}, map[string]uint64{}
}

// completeRun ends the running task on its worker with the given state.
func (w *taskSimulation) completeRun(id string, state beryllatch.TaskRunState) {
	for _, worker := range w.workers {
		if run := worker.runs[id]; run != nil && run.state == beryllatch.TaskRunRunning {
			run.state = state
		}
	}
}

// expireLeases stops the tasks whose leases have expired.
func (w *taskSimulation) expireLeases() {
	for _, worker := range w.workers {
		for _, run := range worker.runs {
			if run.state == beryllatch.TaskRunRunning && w.now.Wall.After(run.lease) {
				run.state = beryllatch.TaskRunStopped
			}
		}
	}
}

// record writes the events and effects that concern tasks to the session's log.
func (w *taskSimulation) record(n *fakeNode, e Event, effects []Effect) {
	if w.quiet {
		return
	}
	var lines []string
	for _, x := range effects {
		if !isUpkeep(x) {
			lines = append(lines, "         -> "+text(x))
		}
	}
	if isUpkeep(e) && len(lines) == 0 {
		return
	}
	fmt.Fprintf(&w.log, "%8.3f %s %s\n", w.now.Mono.Seconds(), n.id.Incarnation, eventText(e))
	for _, l := range lines {
		fmt.Fprintln(&w.log, l)
	}
}

func eventText(e Event) string {
	if isUpkeep(e) {
		return strings.TrimPrefix(fmt.Sprintf("%T", e), "berylreducer.")
	}
	return text(e)
}

func isUpkeep(v any) bool {
	switch v := v.(type) {
	case TaskSubmitted, PayloadReceived, SubmissionWritten, SubmissionRead, TaskQueried, TaskLookedUp, CancelWritten,
		TaskWritten, TaskRowRead, TaskStarted, TaskReported, ResultCollected,
		ReceivePayload, SubmitTask, ReadSubmission, AnswerTask, RefuseTask, LookUpTask, WriteCancel, WriteTask, ReadTask,
		StartTask, QueryTask, RenewTask, StopTask, CollectResult,
		TaskResolveRequested, AttemptReported, DecisionWritten, QueryAttempt, WriteDecision, ReplyTaskResolve:
		return false
	case Count:
		return !strings.HasPrefix(v.Name, "task") && !strings.HasPrefix(v.Name, "refusal")
	case LogState:
		return !strings.HasPrefix(v.Subject, "task")
	default:
		return true
	}
}
