package beryloverload

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
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
	host          = "overload.example"
	validKey      = "overload-key"
	callersPort   = 18340
	readinessPort = 18343
	internalPort  = 17000
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
	jobs int
	// peakFDs is the largest number of open descriptors that was seen.
	peakFDs atomic.Int64
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
	store.Put(berylfleet.Configuration{Version: 1, Host: host, Keys: []string{validKey}, Ceiling: 40000}.Row())
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
	every(ctx, 20*time.Millisecond, func(int) {
		if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.PID())); err == nil {
			n.peakFDs.Store(max(n.peakFDs.Load(), int64(len(fds))))
		}
	})
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
	n.await(t, "POST of a job", func(ctx context.Context) error {
		return n.call(ctx, http.MethodPost, job, `{"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":200,"estimate_ms":300}]}`)
	})
	n.await(t, "GET of its state", func(ctx context.Context) error { return n.call(ctx, http.MethodGet, job, "") })
	base := "http://" + n.address(listener)
	switch listener {
	case "readiness":
		n.await(t, "readiness", func(ctx context.Context) error { return n.call(ctx, http.MethodGet, base+"/v1/readyz", "") })
	case "metrics":
		n.await(t, "metrics", func(ctx context.Context) error { return n.call(ctx, http.MethodGet, base, "") })
	case "peers":
		n.await(t, "call of a peer", func(ctx context.Context) error {
			_, err := berylwire.NewJobsProtobufClient(base, n.client).GetConfiguration(ctx, &berylwire.GetConfigurationRequest{})
			return err
		})
	}
}

// await repeats a call until it succeeds; it fails the test after answerTimeout, or when the process has ended.
func (n *node) await(t *testing.T, what string, call func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	for {
		err := call(ctx)
		if err == nil {
			return
		}
		assert.Assert(t, n.running(), "%s: the process has ended: %v", what, err)
		assert.NilError(t, ctx.Err(), "%s is not answered: %v", what, err)
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

// checkBounds checks the peaks of the process's memory and descriptors.
func (n *node) checkBounds(t *testing.T) {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.PID()))
	assert.NilError(t, err)
	_, line, ok := strings.Cut(string(status), "VmHWM:")
	assert.Assert(t, ok, "no VmHWM in %s", status)
	var kilobytes int64
	_, err = fmt.Sscan(line, &kilobytes)
	assert.NilError(t, err)
	fds := n.peakFDs.Load()
	t.Logf("peak memory %.1f MB, peak descriptors %d", float64(kilobytes)/1024, fds)
	assert.Check(t, kilobytes <= memoryMB<<10, "the peak resident set is %d KB", kilobytes)
	assert.Check(t, fds <= maxFDs-reservedFDs, "%d descriptors were open", fds)
}
