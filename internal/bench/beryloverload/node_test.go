package beryloverload

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
	"github.com/beryllatch/beryllatch/internal/node/berylentry"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"github.com/beryllatch/beryllatch/internal/standin/berylfleet"
	"gotest.tools/v3/assert"
)

// The settings, the hostile connections and the bounds of docs/OVERLOAD.md, section "Uncontrolled clients".
const (
	memoryMB    = 96
	maxFDs      = 600
	reservedFDs = 200
	connections = 300
	maxBody     = 262144
)

const (
	// answerTimeout is for how long an ordinary request is tried again; it is no assertion about speed.
	answerTimeout = time.Minute
	// maxFirstErrors is how many of the first errors are shown if it is never answered.
	maxFirstErrors = 5
	host           = "overload.example"
	validKey       = "overload-key"
	hostileKey     = "hostile-key"
	hostileToken   = "Token " + hostileKey
	callersPort    = 18340
	readinessPort  = 18343
	internalPort   = 17000
	// nodeNetwork differs from the third bytes of the addresses that soaks use.
	nodeNetwork = 251
)

// daemonCode makes the code of the daemon a part of the test. The tests build the daemon themselves, which go test doesn't know
// about: without it, a cached result would be used after a change. An import alone is not enough, since the linker leaves out
// what isn't called.
var daemonCode = (*berylentry.Entry).Run

// buildDaemon builds the daemon without the race detector, which multiplies the memory of a process.
func buildDaemon(t *testing.T) string {
	t.Helper()
	assert.Assert(t, daemonCode != nil)
	program := filepath.Join(t.TempDir(), "beryljobd")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "github.com/beryllatch/beryllatch/cmd/beryljobd").CombinedOutput()
	assert.NilError(t, err, string(out))
	return program
}

// node is a daemon with a store, an instance interface and one worker of its own.
type node struct {
	ip      string
	process *berylprocess.Process
	client  *http.Client
	// jobs counts the ordinary jobs.
	jobs  int
	peaks peaks
}

// nodeCount counts the nodes for their addresses.
var nodeCount int

func startNode(t *testing.T, program string) *node {
	t.Helper()
	ctx := t.Context()
	nodeCount++
	n := &node{
		ip: fmt.Sprintf("127.%d.%d.%d", 40+os.Getpid()%200, nodeNetwork, nodeCount),
		// Each ordinary request has a connection of its own, which the node must accept.
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second},
	}
	store := &berylfleet.Store{}
	store.Put(berylfleet.Configuration{
		Version: 1, Host: host, Keys: []string{validKey}, Ceiling: 40000,
		Teams: []berylfleet.Team{{Name: "hostile", Key: hostileKey, Weight: 1}},
	}.Row())
	fleet := berylfleet.NewFleet(store)
	storeAddress, err := berylfleet.Serve(ctx, store)
	assert.NilError(t, err)
	instances, err := berylfleet.Serve(ctx, fleet)
	assert.NilError(t, err)
	worker, err := berylfleet.Serve(ctx, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fleet.Current("m-1").ServeHTTP(w, r) }))
	assert.NilError(t, err)
	fleet.Add("m-1", "p", worker)
	every(ctx, 500*time.Millisecond, fleet.Heartbeat)
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.yaml")
	settings := berylfleet.Settings{
		Node: "n1", IP: n.ip, CallersPort: callersPort, ReadinessPort: readinessPort, InternalPort: internalPort,
		StoreAddress: storeAddress, InstancesAddress: instances, MemoryMB: memoryMB, MaxFDs: maxFDs,
	}
	assert.NilError(t, os.WriteFile(path, []byte(settings.YAML()), 0o600))
	n.process, err = berylprocess.Run(dir, "beryljobd", program, "--settings="+path)
	assert.NilError(t, err)
	t.Cleanup(func() {
		n.process.Kill()
		if log, err := os.ReadFile(filepath.Join(dir, "beryljobd.log")); err == nil && t.Failed() {
			t.Logf("last lines of the daemon:\n%s", log[max(0, len(log)-2000):])
		}
	})
	n.peaks.watch(ctx, n.process, n.ip)
	return n
}

// every calls f with numbers from 1 at an interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(n int)) {
	go func() {
		for n := 1; ctx.Err() == nil; n++ {
			f(n)
			time.Sleep(interval)
		}
	}()
}

func (n *node) running() bool { return n.process.Running() }

func (n *node) address(listener string) string {
	port := map[string]int{"callers": callersPort, "readiness": readinessPort, "peers": internalPort, "metrics": internalPort + 1}[listener]
	return fmt.Sprintf("%s:%d", n.ip, port)
}

// checkOrdinaryRequests checks that a job is accepted and its state answered, and that the listener answers a request.
func (n *node) checkOrdinaryRequests(t *testing.T, listener string) {
	t.Helper()
	n.jobs++
	job := fmt.Sprintf("http://%s/q/%016x", n.address("callers"), n.jobs)
	await(t, n.running, "POST of a job", func(ctx context.Context) error {
		return n.call(ctx, http.MethodPost, job, `{"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":200,"estimate_ms":300}]}`)
	})
	await(t, n.running, "GET of its state", func(ctx context.Context) error { return n.call(ctx, http.MethodGet, job, "") })
	base := "http://" + n.address(listener)
	switch listener {
	case "readiness":
		await(t, n.running, "readiness", func(ctx context.Context) error { return n.call(ctx, http.MethodGet, base+"/v1/readyz", "") })
	case "metrics":
		await(t, n.running, "metrics", func(ctx context.Context) error { return n.call(ctx, http.MethodGet, base, "") })
	case "peers":
		await(t, n.running, "call of a peer", func(ctx context.Context) error {
			_, err := berylwire.NewJobsProtobufClient(base, n.client).GetConfiguration(ctx, &berylwire.GetConfigurationRequest{})
			return err
		})
	}
}

// The jobs of a busy node, each with tasks that run until it is cancelled.
const (
	lastingJobs = 500
	lastingJob  = `{"spec":"x","steps":[{"count":24,"cpu":100,"mem_mb":100,"estimate_ms":900,"long_running":true,"allow_miss":4}]}`
)

// submitLastingJobs makes the node as busy as a day of many unfinished jobs does.
func (n *node) submitLastingJobs(t *testing.T) {
	t.Helper()
	for i := range lastingJobs {
		job := fmt.Sprintf("http://%s/q/%016x", n.address("callers"), 1<<40+i)
		await(t, n.running, "POST of a lasting job", func(ctx context.Context) error { return n.call(ctx, http.MethodPost, job, lastingJob) })
	}
}

// await repeats a call until it succeeds; it fails the test after answerTimeout, or when the process has ended.
func await(t *testing.T, running func() bool, what string, call func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	var before []string // The first errors and the last one.
	for {
		err := call(ctx)
		if err == nil {
			return
		}
		assert.Assert(t, running(), "%s: the process has ended: %v", what, err)
		assert.NilError(t, ctx.Err(), "%s is not answered: %v; before: %s", what, err, strings.Join(before, "; "))
		before = append(before[:min(len(before), maxFirstErrors)], err.Error())
		time.Sleep(100 * time.Millisecond)
	}
}

func (n *node) call(ctx context.Context, method, url, body string) error {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Host = host
	req.Header.Set("Authorization", "Token "+validKey)
	resp, err := n.client.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("answered %d", resp.StatusCode)
	}
	return nil
}

func (n *node) checkBounds(t *testing.T) { n.peaks.check(t) }
