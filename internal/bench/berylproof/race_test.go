package berylproof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
	"gotest.tools/v3/assert"
)

const (
	// raceBudget is the number of instances of the service quotes that may be out of service at the same time.
	raceBudget = 2
	// lostAnswers makes the next 8 writes of the table take effect without an answer.
	lostAnswers = `{"table":{"answer_lost_next":8}}`
	// oldStartWindow is how long work that was sent before a change of the configuration may still start after the change:
	// the start-by limit (1 s) and the allowance for clock skew (500 ms).
	oldStartWindow = 1500 * time.Millisecond
)

// operation is a command that an operator runs with the client through one daemon.
type operation struct {
	daemon *berylprocess.Daemon
	id     string
	args   []string
	// outcome is that of the last call with this operation.
	outcome outcome
}

// outcome is the outcome of an operation in the client's JSON output.
type outcome struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Version uint64 `json:"version"`
}

// runOperation runs the client once, through the given daemon. Without an outcome in the output, the outcome is unknown.
func (f *fleet) runOperation(ctx context.Context, d *berylprocess.Daemon, o *operation, settings ...string) outcome {
	args := append([]string{"--operation-id=" + o.id, "--output=json"}, settings...)
	out, err := f.ClientAt(ctx, []*berylprocess.Daemon{d}, append(args, o.args...)...)
	got := outcome{Outcome: "unknown"}
	if json.Unmarshal([]byte(out), &got) != nil && err != nil {
		got.Reason = err.Error()
	}
	return got
}

// runAll runs all operations at the same time.
func (f *fleet) runAll(ctx context.Context, ops []*operation, settings ...string) {
	var calls sync.WaitGroup
	for _, o := range ops {
		calls.Go(func() { o.outcome = f.runOperation(ctx, o.daemon, o, settings...) })
	}
	calls.Wait()
}

// awaitOutcome repeats an operation through the daemon until its outcome is known.
func (f *fleet) awaitOutcome(ctx context.Context, d *berylprocess.Daemon, o *operation) outcome {
	f.t.Helper()
	for {
		if got := f.runOperation(ctx, d, o); got.Outcome != "unknown" {
			return got
		}
		assert.NilError(f.t, ctx.Err(), "the outcome of %s stays unknown", o.id)
	}
}

// awaitOutcomes repeats the operations of unknown outcome until their outcomes are known, and requires that a repeat of
// each operation has the same outcome through every daemon. It returns the accepted operations in the order of their
// versions.
func (f *fleet) awaitOutcomes(ctx context.Context, ops []*operation) []*operation {
	f.t.Helper()
	var acceptedOps []*operation
	for _, o := range ops {
		firstOutcome := o.outcome.Outcome
		if firstOutcome == "unknown" {
			o.outcome = f.awaitOutcome(ctx, o.daemon, o)
		}
		f.t.Logf("%s: first outcome %s, final outcome %+v", o.id, firstOutcome, o.outcome)
		if o.outcome.Outcome == "accepted" {
			acceptedOps = append(acceptedOps, o)
		}
	}
	for _, o := range ops {
		for _, d := range f.Daemons {
			assert.Equal(f.t, f.awaitOutcome(ctx, d, o), o.outcome, "%s repeated at %s", o.id, d.Name)
		}
	}
	slices.SortFunc(acceptedOps, func(a, b *operation) int { return int(a.outcome.Version) - int(b.outcome.Version) })
	return acceptedOps
}

// instances returns the instances of the configuration in force at a daemon, by id.
func (f *fleet) instances(ctx context.Context, d *berylprocess.Daemon) map[string]beryllatch.Instance {
	f.t.Helper()
	out, err := f.ClientAt(ctx, []*berylprocess.Daemon{d}, "instance", "list", "--output=json")
	assert.NilError(f.t, err)
	var list []beryllatch.Instance
	assert.NilError(f.t, json.Unmarshal([]byte(out), &list))
	all := map[string]beryllatch.Instance{}
	for _, i := range list {
		all[i.ID] = i
	}
	return all
}

// awaitInstances polls each daemon until ok accepts its instances; what names the awaited change in the failure message.
func (f *fleet) awaitInstances(ctx context.Context, daemons []*berylprocess.Daemon, what string, ok func(map[string]beryllatch.Instance) bool) {
	f.t.Helper()
	f.awaitAt(ctx, daemons, what, func(d *berylprocess.Daemon) bool { return ok(f.instances(ctx, d)) })
}

// awaitHealthy waits until all workers have reported to all daemons; those that have not count as out of service.
func (f *fleet) awaitHealthy(ctx context.Context) {
	f.t.Helper()
	f.awaitAt(ctx, f.Daemons, "reports of all workers", func(d *berylprocess.Daemon) bool { return f.healthy(ctx, d) == len(f.Workers) })
}

// healthy returns how many instances are healthy at a daemon.
func (f *fleet) healthy(ctx context.Context, d *berylprocess.Daemon) int {
	f.t.Helper()
	out, err := f.ClientAt(ctx, []*berylprocess.Daemon{d}, "status", "fleet", "--output=json")
	assert.NilError(f.t, err)
	var status struct {
		Instances []struct{ Health string }
	}
	assert.NilError(f.t, json.Unmarshal([]byte(out), &status))
	n := 0
	for _, i := range status.Instances {
		if i.Health == "healthy" {
			n++
		}
	}
	return n
}

// awaitAt polls each daemon until ok accepts it.
func (f *fleet) awaitAt(ctx context.Context, daemons []*berylprocess.Daemon, what string, ok func(*berylprocess.Daemon) bool) {
	f.t.Helper()
	for _, d := range daemons {
		for !ok(d) {
			assert.NilError(f.t, ctx.Err(), "%s: not at %s", what, d.Name)
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// outOfService returns the sorted ids of the instances that are not active or are being moved to another pool.
func outOfService(all map[string]beryllatch.Instance) []string {
	var ids []string
	for _, id := range beryllatch.SortedKeys(all) {
		if i := all[id]; i.State != beryllatch.InstanceActive || i.MoveTo != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// raceDrains drains two instances through each of two daemons at the same time, while the table loses answers; the budget
// allows only two of the four drains. Work must then start on all instances but the drained ones. At the end it returns
// these to service.
func (f *fleet) raceDrains(ctx context.Context) {
	f.t.Helper()
	load := berylprocess.StartLoad(ctx, "drains", "price", f.directCallers(), "Beryllatch-Test-Run-Ms", "5")
	var ops []*operation
	for n := range 2 * raceBudget {
		id := fmt.Sprintf("w%d", n+1)
		ops = append(ops, &operation{daemon: f.Daemons[n%2], id: "drain-" + id, args: []string{"instance", "drain", id}})
	}
	assert.NilError(f.t, berylprocess.SetFaults(ctx, f.Control, lostAnswers))
	f.runAll(ctx, ops)
	var drainedIDs []string
	for _, o := range f.awaitOutcomes(ctx, ops) {
		drainedIDs = append(drainedIDs, o.args[2])
	}
	slices.Sort(drainedIDs)
	assert.Assert(f.t, len(drainedIDs) > 0 && len(drainedIDs) <= raceBudget, "%v", drainedIDs)
	f.awaitInstances(ctx, f.Daemons, "drains", func(all map[string]beryllatch.Instance) bool { return slices.Equal(outOfService(all), drainedIDs) })
	from := time.Now().Add(oldStartWindow)
	time.Sleep(oldStartWindow + loadDuration)
	until := time.Now()
	for _, id := range drainedIDs {
		f.client(ctx, "instance", "return", id)
	}
	f.checkReplies(ctx, load.Stop())
	startedWork := map[string]bool{}
	starts, err := f.Starts(ctx)
	assert.NilError(f.t, err)
	for _, s := range starts {
		if s.Time.After(from) && s.Time.Before(until) {
			startedWork[s.Worker.ID] = true
		}
	}
	for _, w := range f.Workers {
		assert.Equal(f.t, startedWork[w.ID], !slices.Contains(drainedIDs, w.ID), "%s, drained: %v", w.ID, drainedIDs)
	}
}

// raceMoves moves one instance to two different pools through two daemons at the same time. One of the daemons is frozen
// during its call and thawed once the instance has joined a pool. Apart from its first pool, the worker must have worked
// only for the pools of the accepted moves, in the order of the moves.
func (f *fleet) raceMoves(ctx context.Context) {
	f.t.Helper()
	frozenDaemon, otherDaemons := f.Daemons[0], f.Daemons[1:]
	headers := []string{"Beryllatch-Test-Run-Ms", "5", "Beryllatch-Deadline-Ms", "2000"}
	var loads []*berylprocess.Load
	for _, queue := range []string{"price", "lace", "rim"} {
		loads = append(loads, berylprocess.StartLoad(ctx, queue, queue, f.directCallers()[2:], headers...))
	}
	laceMove := &operation{daemon: frozenDaemon, id: "move-lace", args: []string{"instance", "move", "w1", "lace"}}
	rimMove := &operation{daemon: otherDaemons[0], id: "move-rim", args: []string{"instance", "move", "w1", "rim"}}
	assert.NilError(f.t, berylprocess.SetFaults(ctx, f.Control, `{"table":{"answer_lost_next":8,"slow_ms":200}}`))
	var calls sync.WaitGroup
	calls.Go(func() { f.runAll(ctx, []*operation{laceMove}, "--timeout=2s") })
	calls.Go(func() { f.runAll(ctx, []*operation{rimMove}) })
	time.Sleep(150 * time.Millisecond)
	frozenDaemon.Freeze()
	calls.Wait()
	assert.NilError(f.t, berylprocess.SetFaults(ctx, f.Control, `{}`))
	// The instance is moving if the move to rim was accepted, or was refused because of the move to lace.
	moveStarted := rimMove.outcome.Outcome == "accepted" || strings.Contains(rimMove.outcome.Reason, "already moving")
	f.awaitInstances(ctx, otherDaemons, "move", func(all map[string]beryllatch.Instance) bool {
		return len(outOfService(all)) == 0 && (all["w1"].Pool != "quotes" || !moveStarted)
	})
	frozenDaemon.Thaw()
	assert.NilError(f.t, berylprocess.WaitFor(ctx, "http://"+frozenDaemon.Admin+"/readyz"))
	acceptedOps := f.awaitOutcomes(ctx, []*operation{laceMove, rimMove})
	assert.Assert(f.t, len(acceptedOps) > 0)
	pools := []string{"quotes"}
	for _, o := range acceptedOps {
		pools = append(pools, o.args[3])
	}
	last := pools[len(pools)-1]
	f.awaitInstances(ctx, f.Daemons, "move to "+last, func(all map[string]beryllatch.Instance) bool {
		return len(outOfService(all)) == 0 && all["w1"].Pool == last
	})
	time.Sleep(oldStartWindow)
	for _, l := range loads {
		s := berylprocess.Compare(l.Stop(), f.allStarts(ctx))
		assert.Equal(f.t, len(s.Violations), 0, "%v", s.Violations)
	}
	sequence := f.poolSequence(ctx, "w1")
	f.t.Logf("w1 worked for %v", sequence)
	assert.Equal(f.t, sequence[len(sequence)-1], last)
	for _, p := range pools {
		if len(sequence) > 0 && sequence[0] == p {
			sequence = sequence[1:]
		}
	}
	assert.Equal(f.t, len(sequence), 0, "w1 worked for %v against the accepted moves %v", sequence, pools)
}

// allStarts returns the starts that the running workers have recorded.
func (f *fleet) allStarts(ctx context.Context) []berylprocess.Start {
	f.t.Helper()
	starts, err := f.Starts(ctx)
	assert.NilError(f.t, err)
	return starts
}

// poolSequence returns the pools for which the worker has started work, in order of time; successive starts for one pool are
// one entry. It requires that work for two pools never ran on the worker at the same time.
func (f *fleet) poolSequence(ctx context.Context, worker string) []string {
	f.t.Helper()
	pool := map[string]string{"price": "quotes", "lace": "lace", "rim": "rim"}
	starts := slices.DeleteFunc(f.allStarts(ctx), func(s berylprocess.Start) bool { return s.Worker.ID != worker })
	slices.SortFunc(starts, func(a, b berylprocess.Start) int { return a.Time.Compare(b.Time) })
	var sequence []string
	var end time.Time
	for _, s := range starts {
		if p := pool[s.Queue]; len(sequence) == 0 || sequence[len(sequence)-1] != p {
			assert.Assert(f.t, s.Time.After(end), "work of pool %s starts at %s while work of pool %v runs", p, worker, sequence)
			sequence = append(sequence, p)
		}
		if s.End.After(end) {
			end = s.End
		}
	}
	return sequence
}

// rebootWatch polls the workers and records which ones are rebooting, until stop is closed.
type rebootWatch struct {
	stop    chan struct{}
	pollers sync.WaitGroup

	mu sync.Mutex
	// rebooting holds whether a worker was rebooting at its last poll, rebooted whether it was at any poll.
	rebooting map[string]bool
	rebooted  map[string]bool
	// maxRebooting is the largest number of workers that were rebooting at the same time.
	maxRebooting int
}

// watchReboots polls each worker every 100 ms, which is about 20 times during a reboot.
func (f *fleet) watchReboots(ctx context.Context) *rebootWatch {
	r := &rebootWatch{stop: make(chan struct{}), rebooting: map[string]bool{}, rebooted: map[string]bool{}}
	for _, w := range f.Workers {
		r.pollers.Go(func() {
			for {
				select {
				case <-r.stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				r.record(w.ID, f.rebooting(ctx, w))
			}
		})
	}
	return r
}

// rebooting reports whether the worker answers a status call with 503, as it does while it reboots.
func (f *fleet) rebooting(ctx context.Context, w *berylprocess.Worker) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.Address+"/v1/status", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusServiceUnavailable
}

// record stores the result of a poll.
func (r *rebootWatch) record(id string, rebooting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rebooting[id] = rebooting
	r.rebooted[id] = r.rebooted[id] || rebooting
	n := 0
	for _, isRebooting := range r.rebooting {
		if isRebooting {
			n++
		}
	}
	r.maxRebooting = max(r.maxRebooting, n)
}

// rebootedIDs returns the sorted ids of the workers that have been found rebooting.
func (r *rebootWatch) rebootedIDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for _, id := range beryllatch.SortedKeys(r.rebooted) {
		if r.rebooted[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// loseRack kills the workers of the last rack while a wave reboots those of another one. The wave must stop without a reboot
// in any further rack, and the remaining workers must serve requests.
func (f *fleet) loseRack(ctx context.Context) {
	f.t.Helper()
	oldBoots := f.bootIDs(ctx)
	watch := f.watchReboots(ctx)
	f.client(ctx, "wave", "start", "w1", "--services=quotes", "--max-unhealthy=1")
	for len(watch.rebootedIDs()) == 0 {
		assert.NilError(f.t, ctx.Err(), "the wave has not rebooted a worker")
		time.Sleep(50 * time.Millisecond)
	}
	firstRack, lostRack := f.rackOf(watch.rebootedIDs()[0]), f.Workers[len(f.Workers)-1].Rack
	assert.Assert(f.t, firstRack != lostRack)
	for _, w := range f.Workers {
		if w.Rack == lostRack {
			w.Kill()
		}
	}
	for !strings.Contains(f.client(ctx, "wave", "list"), "stopped") {
		assert.NilError(f.t, ctx.Err(), "the wave has not stopped")
		time.Sleep(100 * time.Millisecond)
	}
	f.awaitInstances(ctx, f.Daemons, "end of the wave", func(all map[string]beryllatch.Instance) bool { return len(outOfService(all)) == 0 })
	close(watch.stop)
	watch.pollers.Wait()
	var rebooted []string
	f.Workers = slices.DeleteFunc(f.Workers, func(w *berylprocess.Worker) bool { return !w.Running() })
	for id, boot := range f.bootIDs(ctx) {
		if boot != oldBoots[id] {
			rebooted = append(rebooted, id)
		}
	}
	f.t.Logf("rebooted %v, at most %d at once", rebooted, watch.maxRebooting)
	assert.Assert(f.t, watch.maxRebooting <= raceBudget, "%d workers rebooted at once", watch.maxRebooting)
	for _, id := range rebooted {
		assert.Equal(f.t, f.rackOf(id), firstRack, "%s rebooted after rack %s was lost", id, lostRack)
	}
	got := f.caller(f.Daemons[0].Callers).Request(ctx, "price", "rest", "rest")
	assert.Assert(f.t, got.Answered(), "%+v", got)
}

func (f *fleet) rackOf(worker string) string {
	i := slices.IndexFunc(f.Workers, func(w *berylprocess.Worker) bool { return w.ID == worker })
	return f.Workers[i].Rack
}

// Guards against concurrent operations that together exceed a disruption budget or put an instance into two pools, and
// against outcomes that contradict the configuration in force, while the table loses answers and a daemon is frozen. Also
// guards against a wave that continues after the loss of a rack has used up the budget.
func TestOperatorRaces(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 4)
	path := filepath.Join(f.Dir, "changes.json")
	assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, `{"changes": [
		{"put_service": {"name": "quotes", "max_unavailable": %d}},
		{"put_pool": {"name": "lace", "service": "quotes"}}, {"put_queue": {"name": "lace", "pool": "lace"}},
		{"put_pool": {"name": "rim", "service": "quotes"}}, {"put_queue": {"name": "rim", "pool": "rim"}}
	]}`, raceBudget), 0o600))
	f.client(ctx, "apply", path)
	f.awaitHealthy(ctx)
	f.raceDrains(ctx)
	f.raceMoves(ctx)
	f.loseRack(ctx)
}
