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
	// raceBudget is the budget of the service quotes while operators race.
	raceBudget = 2
	// lostAnswers makes the next writes of the table lose their answers, after their effect.
	lostAnswers = `{"table":{"answer_lost_next":8}}`
	// lastStart is the time after which no order that was sent under an older configuration starts: the start-by and the
	// allowance for clocks.
	lastStart = 1500 * time.Millisecond
)

// operation is one operator's call of the client through one daemon.
type operation struct {
	daemon *berylprocess.Daemon
	id     string
	args   []string
	told   outcome
}

// outcome is what the operator was told.
type outcome struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Version uint64 `json:"version"`
}

// ask runs the client once; an operator who got no outcome takes it for unknown.
func (f *fleet) ask(ctx context.Context, d *berylprocess.Daemon, o *operation, settings ...string) outcome {
	args := append([]string{"--operation-id=" + o.id, "--output=json"}, settings...)
	out, err := f.ClientAt(ctx, []*berylprocess.Daemon{d}, append(args, o.args...)...)
	got := outcome{Outcome: "unknown"}
	if json.Unmarshal([]byte(out), &got) != nil && err != nil {
		got.Reason = err.Error()
	}
	return got
}

// race makes all calls at once.
func (f *fleet) race(ctx context.Context, ops []*operation, settings ...string) {
	var calls sync.WaitGroup
	for _, o := range ops {
		calls.Go(func() { o.told = f.ask(ctx, o.daemon, o, settings...) })
	}
	calls.Wait()
}

// know repeats a call until its outcome is known.
func (f *fleet) know(ctx context.Context, d *berylprocess.Daemon, o *operation) outcome {
	f.t.Helper()
	for {
		if got := f.ask(ctx, d, o); got.Outcome != "unknown" {
			return got
		}
		assert.NilError(f.t, ctx.Err(), "the outcome of %s stays unknown", o.id)
	}
}

// settle repeats the calls of unknown outcome until they are known, and requires that a repeat of each call through every
// daemon tells the same. It returns the accepted calls in the order of their versions.
func (f *fleet) settle(ctx context.Context, ops []*operation) []*operation {
	f.t.Helper()
	var accepted []*operation
	for _, o := range ops {
		first := o.told.Outcome
		if first == "unknown" {
			o.told = f.know(ctx, o.daemon, o)
		}
		f.t.Logf("%s: told %s, then %+v", o.id, first, o.told)
		if o.told.Outcome == "accepted" {
			accepted = append(accepted, o)
		}
	}
	for _, o := range ops {
		for _, d := range f.Daemons {
			assert.Equal(f.t, f.know(ctx, d, o), o.told, "%s repeated at %s", o.id, d.Name)
		}
	}
	slices.SortFunc(accepted, func(a, b *operation) int { return int(a.told.Version) - int(b.told.Version) })
	return accepted
}

// instances returns the instances as a daemon has them in force.
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

// awaitInstances polls each daemon until its instances are as required.
func (f *fleet) awaitInstances(ctx context.Context, daemons []*berylprocess.Daemon, what string, ok func(map[string]beryllatch.Instance) bool) {
	f.t.Helper()
	for _, d := range daemons {
		for !ok(f.instances(ctx, d)) {
			assert.NilError(f.t, ctx.Err(), "%s: not at %s", what, d.Name)
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// out returns the instances that are out of service by plan, sorted.
func out(all map[string]beryllatch.Instance) []string {
	var ids []string
	for _, id := range beryllatch.SortedKeys(all) {
		if i := all[id]; i.State != beryllatch.InstanceActive || i.MoveTo != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// raceDrains lets two operators drain two instances each, of which the budget allows two in all, while the platform loses
// answers; then it returns them.
func (f *fleet) raceDrains(ctx context.Context) {
	f.t.Helper()
	load := berylprocess.StartLoad(ctx, "drains", "price", f.callersOf(), "Beryllatch-Test-Run-Ms", "5")
	var ops []*operation
	for n := range 2 * raceBudget {
		id := fmt.Sprintf("w%d", n+1)
		ops = append(ops, &operation{daemon: f.Daemons[n%2], id: "drain-" + id, args: []string{"instance", "drain", id}})
	}
	assert.NilError(f.t, berylprocess.SetFaults(ctx, f.Control, lostAnswers))
	f.race(ctx, ops)
	var drained []string
	for _, o := range f.settle(ctx, ops) {
		drained = append(drained, o.args[2])
	}
	slices.Sort(drained)
	assert.Assert(f.t, len(drained) > 0 && len(drained) <= raceBudget, "%v", drained)
	f.awaitInstances(ctx, f.Daemons, "drains", func(all map[string]beryllatch.Instance) bool { return slices.Equal(out(all), drained) })
	from := time.Now().Add(lastStart)
	time.Sleep(lastStart + loadTime)
	until := time.Now()
	for _, id := range drained {
		f.client(ctx, "instance", "return", id)
	}
	f.judge(ctx, load.Stop())
	working := map[string]bool{}
	starts, err := f.Starts(ctx)
	assert.NilError(f.t, err)
	for _, s := range starts {
		if s.Time.After(from) && s.Time.Before(until) {
			working[s.Worker.ID] = true
		}
	}
	for _, w := range f.Workers {
		assert.Equal(f.t, working[w.ID], !slices.Contains(drained, w.ID), "%s, drained: %v", w.ID, drained)
	}
}

// raceMoves lets two operators move one instance to two pools; the daemon that one of them asked is frozen in between,
// and thawed once the instance has joined a pool.
func (f *fleet) raceMoves(ctx context.Context) {
	f.t.Helper()
	frozen, others := f.Daemons[0], f.Daemons[1:]
	headers := []string{"Beryllatch-Test-Run-Ms", "5", "Beryllatch-Deadline-Ms", "2000"}
	var loads []*berylprocess.Load
	for _, queue := range []string{"price", "lace", "rim"} {
		loads = append(loads, berylprocess.StartLoad(ctx, queue, queue, f.callersOf()[2:], headers...))
	}
	lace := &operation{daemon: frozen, id: "move-lace", args: []string{"instance", "move", "w1", "lace"}}
	rim := &operation{daemon: others[0], id: "move-rim", args: []string{"instance", "move", "w1", "rim"}}
	assert.NilError(f.t, berylprocess.SetFaults(ctx, f.Control, `{"table":{"answer_lost_next":8,"slow_ms":200}}`))
	var calls sync.WaitGroup
	calls.Go(func() { f.race(ctx, []*operation{lace}, "--timeout=2s") })
	calls.Go(func() { f.race(ctx, []*operation{rim}) })
	time.Sleep(150 * time.Millisecond)
	frozen.Freeze()
	calls.Wait()
	assert.NilError(f.t, berylprocess.SetFaults(ctx, f.Control, `{}`))
	moving := rim.told.Outcome == "accepted" || strings.Contains(rim.told.Reason, "already moving")
	f.awaitInstances(ctx, others, "move", func(all map[string]beryllatch.Instance) bool {
		return len(out(all)) == 0 && (all["w1"].Pool != "quotes" || !moving)
	})
	frozen.Thaw()
	assert.NilError(f.t, berylprocess.WaitFor(ctx, "http://"+frozen.Admin+"/readyz"))
	accepted := f.settle(ctx, []*operation{lace, rim})
	assert.Assert(f.t, len(accepted) > 0)
	pools := []string{"quotes"}
	for _, o := range accepted {
		pools = append(pools, o.args[3])
	}
	last := pools[len(pools)-1]
	f.awaitInstances(ctx, f.Daemons, "move to "+last, func(all map[string]beryllatch.Instance) bool {
		return len(out(all)) == 0 && all["w1"].Pool == last
	})
	time.Sleep(lastStart)
	for _, l := range loads {
		s := berylprocess.Compare(l.Stop(), f.allStarts(ctx))
		assert.Equal(f.t, len(s.Violations), 0, "%v", s.Violations)
	}
	seen := f.poolsSeen(ctx, "w1")
	f.t.Logf("w1 worked for %v", seen)
	assert.Equal(f.t, seen[len(seen)-1], last)
	for _, p := range pools {
		if len(seen) > 0 && seen[0] == p {
			seen = seen[1:]
		}
	}
	assert.Equal(f.t, len(seen), 0, "w1 worked for %v against the accepted moves %v", seen, pools)
}

func (f *fleet) allStarts(ctx context.Context) []berylprocess.Start {
	f.t.Helper()
	starts, err := f.Starts(ctx)
	assert.NilError(f.t, err)
	return starts
}

// poolsSeen returns the pools whose work the worker started, one entry for each stretch of work of one pool, and requires
// that work of two pools never ran there at once.
func (f *fleet) poolsSeen(ctx context.Context, worker string) []string {
	f.t.Helper()
	pool := map[string]string{"price": "quotes", "lace": "lace", "rim": "rim"}
	starts := slices.DeleteFunc(f.allStarts(ctx), func(s berylprocess.Start) bool { return s.Worker.ID != worker })
	slices.SortFunc(starts, func(a, b berylprocess.Start) int { return a.Time.Compare(b.Time) })
	var seen []string
	var end time.Time
	for _, s := range starts {
		if p := pool[s.Queue]; len(seen) == 0 || seen[len(seen)-1] != p {
			assert.Assert(f.t, s.Time.After(end), "work of pool %s starts at %s while work of pool %v runs", p, worker, seen)
			seen = append(seen, p)
		}
		if s.End.After(end) {
			end = s.End
		}
	}
	return seen
}

// reboots watches the workers until stopped.
type reboots struct {
	stop    chan struct{}
	watched sync.WaitGroup
	mu      sync.Mutex
	now     map[string]bool
	ever    map[string]bool
	most    int
}

// watchReboots asks each worker about 20 times in a reboot.
func (f *fleet) watchReboots(ctx context.Context) *reboots {
	r := &reboots{stop: make(chan struct{}), now: map[string]bool{}, ever: map[string]bool{}}
	for _, w := range f.Workers {
		r.watched.Go(func() {
			for {
				select {
				case <-r.stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				r.note(w.ID, f.rebooting(ctx, w))
			}
		})
	}
	return r
}

// rebooting reports whether the worker says so itself.
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

func (r *reboots) note(id string, rebooting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now[id] = rebooting
	r.ever[id] = r.ever[id] || rebooting
	n := 0
	for _, now := range r.now {
		if now {
			n++
		}
	}
	r.most = max(r.most, n)
}

func (r *reboots) seen() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for _, id := range beryllatch.SortedKeys(r.ever) {
		if r.ever[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// loseRack kills the last rack while a wave reboots the first one.
func (f *fleet) loseRack(ctx context.Context) {
	f.t.Helper()
	before := f.boots(ctx)
	r := f.watchReboots(ctx)
	f.client(ctx, "wave", "start", "w1", "--services=quotes", "--max-unhealthy=1")
	for len(r.seen()) == 0 {
		assert.NilError(f.t, ctx.Err(), "the wave does not start")
		time.Sleep(50 * time.Millisecond)
	}
	first, lost := f.rackOf(r.seen()[0]), f.Workers[len(f.Workers)-1].Rack
	assert.Assert(f.t, first != lost)
	for _, w := range f.Workers {
		if w.Rack == lost {
			w.Kill()
		}
	}
	for !strings.Contains(f.client(ctx, "wave", "list"), "stopped") {
		assert.NilError(f.t, ctx.Err(), "the wave goes on")
		time.Sleep(100 * time.Millisecond)
	}
	f.awaitInstances(ctx, f.Daemons, "end of the wave", func(all map[string]beryllatch.Instance) bool { return len(out(all)) == 0 })
	close(r.stop)
	r.watched.Wait()
	var rebooted []string
	f.Workers = slices.DeleteFunc(f.Workers, func(w *berylprocess.Worker) bool { return !w.Running() })
	for id, boot := range f.boots(ctx) {
		if boot != before[id] {
			rebooted = append(rebooted, id)
		}
	}
	f.t.Logf("rebooted %v, at most %d at once", rebooted, r.most)
	assert.Assert(f.t, r.most <= raceBudget, "%d workers rebooted at once", r.most)
	for _, id := range rebooted {
		assert.Equal(f.t, f.rackOf(id), first, "%s rebooted after rack %s was lost", id, lost)
	}
	got := f.caller(f.Daemons[0].Callers).Request(ctx, "price", "rest", "rest")
	assert.Assert(f.t, got.Answered(), "%+v", got)
}

func (f *fleet) rackOf(worker string) string {
	i := slices.IndexFunc(f.Workers, func(w *berylprocess.Worker) bool { return w.ID == worker })
	return f.Workers[i].Rack
}

// Guards against racing operators who together overspend a budget or put an instance into two pools, and who are told
// something else than what came into force, while answers are lost and a daemon is frozen; and against a wave that goes on
// after a rack has used up the budget.
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
	f.raceDrains(ctx)
	f.raceMoves(ctx)
	f.loseRack(ctx)
}
