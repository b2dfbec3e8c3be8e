package berylproof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
	"gotest.tools/v3/assert"

	// TestMain builds the programs, which go test doesn't know about. These imports make it run the tests again when the
	// packages of the programs have changed, instead of using cached results.
	_ "github.com/beryllatch/beryllatch/internal/client/berylcommand"
	_ "github.com/beryllatch/beryllatch/internal/node/berylserver"
	_ "github.com/beryllatch/beryllatch/internal/standin/berylplatform"
	_ "github.com/beryllatch/beryllatch/internal/standin/berylupstream"
)

// testTimeout bounds a whole test; it is no assertion about speed.
const testTimeout = 3 * time.Minute

// bin is the directory of the built programs.
var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "berylproof")
	if err != nil {
		panic(err)
	}
	out, err := exec.CommandContext(context.Background(), "go", "build", "-o", dir+"/", "../../../cmd/...").CombinedOutput()
	if err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	bin = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is a fleet of processes with one team, red, and the secret of its key.
type fleet struct {
	berylprocess.Fleet
	t      *testing.T
	secret string
}

// startFleet starts and configures a fleet of three daemons and, in each of two data centres, the given number of workers.
func startFleet(ctx context.Context, t *testing.T, workersPerDC int) *fleet {
	t.Helper()
	f := newFleet(t)
	f.start(ctx, workersPerDC)
	return f
}

// newFleet starts the platform stand-in only, so that a test can set the arguments of the daemons before it calls start.
func newFleet(t *testing.T) *fleet {
	f := &fleet{Fleet: berylprocess.Fleet{Bin: bin, Dir: t.TempDir()}, t: t}
	t.Cleanup(f.stopAndLog)
	assert.NilError(t, f.StartPlatform(3))
	return f
}

// start starts the workers and the daemons of the fleet and configures it.
func (f *fleet) start(ctx context.Context, workersPerDC int) {
	f.t.Helper()
	for n := range 2 * workersPerDC {
		dc := fmt.Sprintf("dc%d", 1+n%2)
		_, err := f.StartWorker(ctx, fmt.Sprintf("w%d", n+1), dc, fmt.Sprintf("%s-r%d", dc, 1+n/4))
		assert.NilError(f.t, err)
	}
	for _, d := range f.Daemons {
		assert.NilError(f.t, f.StartDaemon(ctx, d))
	}
	f.configure(ctx)
}

// stopAndLog stops the fleet and, if the test has failed, logs the output of the daemons.
func (f *fleet) stopAndLog() {
	f.Stop()
	if !f.t.Failed() {
		return
	}
	for _, d := range f.Daemons {
		if d.Process == nil {
			continue
		}
		log, _ := os.ReadFile(filepath.Join(f.Dir, d.Name+".log"))
		f.t.Logf("%s:\n%s", d.Name, log)
	}
}

// instanceFile is the file format of "beryllatch instance import".
type instanceFile struct {
	Instances []instanceEntry `json:"instances"`
}

type instanceEntry struct {
	ID          string `json:"id"`
	Pool        string `json:"pool"`
	DataCentre  string `json:"data_centre"`
	Rack        string `json:"rack"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// configure creates the service, pool, queue, team, data centres and key of the tests, and imports the workers.
func (f *fleet) configure(ctx context.Context) {
	f.client(ctx, "service", "create", "quotes", "--max-unavailable=1")
	f.client(ctx, "pool", "create", "quotes", "--service=quotes")
	f.client(ctx, "queue", "create", "price", "--pool=quotes")
	f.client(ctx, "team", "create", "red", "--weight=1", "--ceiling=8")
	f.client(ctx, "dc", "create", "dc1")
	f.client(ctx, "dc", "create", "dc2")
	f.secret = f.createKey(ctx, "red-1", "red")
	var file instanceFile
	for _, w := range f.Workers {
		file.Instances = append(file.Instances, instanceEntry{
			ID: w.ID, Pool: "quotes", DataCentre: w.DataCentre, Rack: w.Rack, Address: w.Address, Slots: 8, Connections: 64,
		})
	}
	path := filepath.Join(f.Dir, "instances.json")
	b, err := json.Marshal(file)
	assert.NilError(f.t, err)
	assert.NilError(f.t, os.WriteFile(path, b, 0o600))
	f.client(ctx, "instance", "import", path)
}

func (f *fleet) client(ctx context.Context, args ...string) string {
	f.t.Helper()
	out, err := f.Client(ctx, args...)
	assert.NilError(f.t, err)
	return out
}

func (f *fleet) createKey(ctx context.Context, id, team string) string {
	f.t.Helper()
	var reply struct {
		Keys []struct {
			Secret string `json:"secret"`
		} `json:"keys"`
	}
	out := f.client(ctx, "key", "create", id, "--team="+team, "--output=json")
	assert.NilError(f.t, json.Unmarshal([]byte(out), &reply), out)
	assert.Equal(f.t, len(reply.Keys), 1, out)
	return reply.Keys[0].Secret
}

// caller returns a caller that makes calls to the address with the team's key.
func (f *fleet) caller(address string) berylprocess.Caller {
	return berylprocess.Caller{Address: address, Secret: f.secret}
}

// starts returns the starts that the running workers have recorded, by request id.
func (f *fleet) starts(ctx context.Context) map[string][]berylprocess.Start {
	f.t.Helper()
	list, err := f.Starts(ctx)
	assert.NilError(f.t, err)
	out := map[string][]berylprocess.Start{}
	for _, s := range list {
		out[s.RequestID] = append(out[s.RequestID], s)
	}
	return out
}

// Guards against programs that pass their own tests but serve no request together.
func TestOnePath(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 1)
	for n, d := range f.Daemons {
		id := fmt.Sprintf("path-%d", n)
		got := f.caller(d.Callers).Request(ctx, "price", id, "order")
		assert.Assert(t, got.Answered(), "%+v", got)
		assert.Equal(t, len(f.starts(ctx)[id]), 1)
	}
}

// Guards against an accepted task that is not run, is run twice, or never reaches the state done, when the node that
// accepted it is killed; and against a repeated submission with the same key that creates a second task.
func TestTask(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 2)
	var ids []string
	for n := range 20 {
		key := fmt.Sprintf("task-%d", n)
		first := f.submit(ctx, f.Daemons[0], key)
		second := f.submit(ctx, f.Daemons[1], key)
		assert.Equal(t, first, second)
		ids = append(ids, first)
	}
	f.Daemons[0].Kill()
	for _, id := range ids {
		f.awaitTask(ctx, f.Daemons[1], id, "done")
	}
	starts, err := f.Starts(ctx)
	assert.NilError(t, err)
	count := map[string]int{}
	for _, s := range starts {
		count[s.ID]++
	}
	for _, id := range ids {
		assert.Equal(t, count[id], 1, "task %s", id)
	}
}

// taskView holds the fields of a task in the API for callers.
type taskView struct {
	ID    string `json:"task_id"`
	State string `json:"state"`
}

// submit submits a task of 100 ms with an idempotency key and returns its id.
func (f *fleet) submit(ctx context.Context, d *berylprocess.Daemon, key string) string {
	f.t.Helper()
	r := f.caller(d.Callers).Do(
		ctx, http.MethodPost, "/v1/queues/price/tasks", `{"test_run_ms":100}`, "Idempotency-Key", key,
	)
	assert.Equal(f.t, r.Status, http.StatusAccepted, "%s", r.Body)
	var v taskView
	assert.NilError(f.t, json.Unmarshal(r.Body, &v))
	assert.Assert(f.t, v.ID != "", "%s", r.Body)
	return v.ID
}

// awaitTask polls until the task has the state, and fails the test if it times out.
func (f *fleet) awaitTask(ctx context.Context, d *berylprocess.Daemon, id, state string) {
	f.t.Helper()
	var v taskView
	for v.State != state {
		assert.NilError(f.t, ctx.Err(), "task %s is %s", id, v.State)
		r := f.caller(d.Callers).Do(ctx, http.MethodGet, "/v1/tasks/"+id, "")
		if r.Err == nil {
			assert.NilError(f.t, json.Unmarshal(r.Body, &v))
		}
		time.Sleep(100 * time.Millisecond)
	}
}
