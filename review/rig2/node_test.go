package rig2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	memoryMB     = 284
	restartDelay = 500 * time.Millisecond
	callTimeout  = 3 * time.Second
)

// bounds are the bounds of the settings file that a case may choose.
type bounds struct {
	StatusS int // How long the state of a finished job is kept.
}

// serve serves the handler on a free loopback port and returns its address.
func serve(h http.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	go func() { _ = http.Serve(ln, h) }() // It ends with the process.
	return ln.Addr().String()
}

// freePorts returns the first of n free ports in a row on loopback, below those that the system gives to connections.
func freePorts(n int) int {
	for range 200 {
		first := 12_000 + rand.IntN(900)*n
		free := true
		for p := first; p < first+n && free; p++ {
			l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(p)))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return first
		}
	}
	cannotRun("no %d free ports in a row", n)
	return 0
}

// node is an entry node: a process that the platform starts again when it has ended.
type node struct {
	name, callers, ready string
	rig                  *rig
	settings             string

	mu      sync.Mutex
	process *exec.Cmd
	stopped bool
	// memoryEnds counts the ends by the platform because of the memory limit, ends counts all ends.
	memoryEnds, ends int
	peakMB           int
}

// rig is a deployment: nodes, workers and the platform.
type rig struct {
	t        *testing.T
	root     string
	dir      string
	store    *store
	fleet    *fleet
	nodes    []*node
	record   *os.File
	recordMu sync.Mutex
	began    time.Time
	wg       sync.WaitGroup
}

// cannotRun ends the nodes and the test with the status of a case that can't run.
func cannotRun(format string, args ...any) {
	fmt.Printf("cannot run: "+format+"\n", args...)
	endAll()
	os.Exit(2)
}

var (
	startedMu sync.Mutex
	started   []*node
)

// endAll ends all nodes that were started.
func endAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, n := range started {
		n.end()
	}
}

// newRig starts a store and a fleet without machines. The record goes to the file of the environment variable RECORD.
func newRig(t *testing.T) *rig {
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		cannotRun("record: %v", err)
	}
	r := &rig{t: t, root: os.Getenv("ROOT"), dir: t.TempDir(), record: record, began: time.Now()}
	r.store = newStore(r.log)
	r.fleet = newFleet(r.store, r.log)
	r.log("trouble: %v", trouble())
	go endWithParent(os.Getppid())
	t.Cleanup(func() {
		for _, n := range r.nodes {
			n.end()
		}
		r.wg.Wait()
		_ = record.Close()
	})
	return r
}

// endWithParent ends the nodes and the test once the script that started it is gone.
func endWithParent(parent int) {
	for os.Getppid() == parent {
		time.Sleep(100 * time.Millisecond)
	}
	cannotRun("the script has ended")
}

// trouble reports whether the disruption is to happen.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func (r *rig) log(format string, args ...any) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// runLine returns the words of the line run of the role in the deploy file.
func (r *rig) runLine() []string {
	b, err := os.ReadFile(filepath.Join(r.root, "deploy", "system.toml"))
	if err != nil {
		cannotRun("%v", err)
	}
	m := regexp.MustCompile(`(?m)^run *= *"([^"]+)"`).FindSubmatch(b)
	if m == nil {
		cannotRun("the deploy file has no line run")
	}
	return strings.Fields(string(m[1]))
}

// addNode starts a node.
func (r *rig) addNode(name string, b bounds) *node {
	const ports = 20
	first := freePorts(ports)
	address := func(n int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(first+n)) }
	n := &node{name: name, callers: address(0), ready: address(1), rig: r, settings: filepath.Join(r.dir, name+".yaml")}
	yaml := fmt.Sprintf(`node_name: %q
role: "entry"
machine_class: "frontend"
serves: ["frontend"]
ip: "127.0.0.1"
zone: "z1"
region: "r1"
zones: {z1: "r1"}
listen: {frontend: %q, readiness: %q}
internal_ports: [%d, %d]
seed_nodes: []
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: %d, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry_point: "vip"
heartbeat_ms: %d
bounds: {contact_ms: 3000, ack_timeout_ms: 4000, drain_ms: 2000, grace_s: 6, config_apply_ms: 2000, evacuate_ms: 5000, recovery_s: 12,
  hold_max_ms: %d, stop_timeout_ms: 200, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14,
  status_s: %d, remote_factor: 1.5, checkpoint_s: 0.5, restore_ms: 600, notice_ms: 4500, migrate_s: 1.5, maintenance_s: 2,
  fencing_enabled: true, lease_ms: 3000, thaw_ms: 300, pace_ms: 100, impact_ms: 4000}
orders: "call"
advice: %q
platform: {address: %q, form: "table", writes_per_s: 800, reads_per_s: 2000, tx_ms: 3.0, part_writes_s: 300, row_bytes: %d, across: true, history_s: 20}
cloud_api: {address: %q, rate_per_s: 64.0, duties_per_s: 64.0}
`, name, n.callers, n.ready, first+2, first+ports-1, memoryMB, beatInterval.Milliseconds(), maxLease.Milliseconds(), b.StatusS,
		serve(http.NotFoundHandler()), serve(r.store.handler(name)), rowBytes, serve(r.fleet))
	if err := os.WriteFile(n.settings, []byte(yaml), 0o600); err != nil {
		cannotRun("%v", err)
	}
	r.nodes = append(r.nodes, n)
	startedMu.Lock()
	started = append(started, n)
	startedMu.Unlock()
	n.start()
	r.wg.Go(n.watchMemory)
	return n
}

// start starts the process, and again each time it has ended.
func (n *node) start() {
	words := n.rig.runLine()
	cmd := exec.Command(filepath.Join(n.rig.root, words[0]), words[1:]...)
	cmd.Dir = n.rig.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.rig.dir, "BERYLLATCH_CONFIG=" + n.settings}
	out, err := os.OpenFile(n.rig.logFile(n.name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	cmd.Stdout, cmd.Stderr = out, out
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return
	}
	if err := cmd.Start(); err != nil {
		cannotRun("start %s: %v", words[0], err)
	}
	n.process = cmd
	n.rig.notePID(cmd.Process.Pid)
	n.rig.log("platform: %s is started, process %d", n.name, cmd.Process.Pid)
	n.rig.wg.Go(func() {
		err := cmd.Wait()
		_ = out.Close()
		n.mu.Lock()
		n.ends++
		stopped := n.stopped
		n.mu.Unlock()
		n.rig.log("platform: %s has ended: %v", n.name, err)
		if !stopped {
			time.Sleep(restartDelay)
			n.start()
		}
	})
}

// notePID writes the id of a process to the file of the environment variable PIDS, for the case that this process ends early.
func (r *rig) notePID(pid int) {
	path := os.Getenv("PIDS")
	if path == "" {
		return
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		r.t.Fatal(err)
	}
	_, _ = fmt.Fprintln(f, pid) // The processes end with their nodes in most cases.
	_ = f.Close()
}

// logFile returns where the output of a node goes.
func (r *rig) logFile(name string) string {
	if dir := os.Getenv("LOGS"); dir != "" {
		return filepath.Join(dir, name+".log")
	}
	return filepath.Join(r.dir, name+".log")
}

// signal sends a signal to the process.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rig.log("platform: %s gets signal %v", n.name, sig)
	_ = n.process.Process.Signal(sig) // It may have ended by itself.
}

// end ends the node for good.
func (n *node) end() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	if n.process != nil {
		_ = n.process.Process.Kill() // It may have ended by itself.
	}
}

// watchMemory kills the process while it takes more memory than the machine has, as the platform does.
func (n *node) watchMemory() {
	for {
		n.mu.Lock()
		process, stopped := n.process, n.stopped
		n.mu.Unlock()
		if stopped {
			return
		}
		b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid)) // It may have ended.
		if m := regexp.MustCompile(`VmRSS:\s+(\d+) kB`).FindSubmatch(b); m != nil {
			kb, _ := strconv.Atoi(string(m[1]))
			n.mu.Lock()
			n.peakMB = max(n.peakMB, kb/1024)
			n.mu.Unlock()
			if kb/1024 > memoryMB {
				n.rig.log("platform: %s takes %d MB, %d are allowed, and is killed", n.name, kb/1024, memoryMB)
				n.mu.Lock()
				n.memoryEnds++
				n.mu.Unlock()
				_ = process.Process.Kill()
				time.Sleep(restartDelay)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// leader returns the node that last wrote to the store under a condition.
func (r *rig) leader() *node {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	for _, n := range r.nodes {
		if n.name == r.store.lastConditional {
			return n
		}
	}
	return nil
}

// awaitReady waits until all nodes are ready and one of them has accepted and run a job on each of the queues.
func (r *rig) awaitReady(queues ...string) {
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range r.nodes {
		for {
			resp, err := http.Get("http://" + n.ready + "/v1/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				cannotRun("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for i, q := range queues {
		id := fmt.Sprintf("aaaa%012x", i)
		if !r.submit(q, id, simpleJob("warm-up", 1, 100)) || !r.awaitState(q, id, "done", 15*time.Second) {
			cannotRun("queue %s does not run a job", q)
		}
	}
}

// call makes a call of a client, and returns the status, or 0 without an answer, and the body.
func (r *rig) call(n *node, method, path, key string, body any) (int, map[string]any) {
	var reader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+n.callers+path, reader)
	if err != nil {
		panic(err)
	}
	req.Host = "jobs.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("X-Beryllatch-Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		r.log("client: %s %s at %s: no answer: %v", method, path, n.name, err)
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	var out map[string]any
	_ = json.NewDecoder(resp.Body).Decode(&out) // An answer may have no body.
	r.log("client: %s %s at %s: %d %v", method, path, n.name, resp.StatusCode, out)
	return resp.StatusCode, out
}

const tenantKey = "key-t"

// submit hands a job in, with the same ID at other nodes until it is answered, and reports whether it was accepted.
func (r *rig) submit(queue, id string, job any) bool {
	for i := range 4 * len(r.nodes) {
		status, _ := r.call(r.nodes[i%len(r.nodes)], http.MethodPost, queue+id, tenantKey, job)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the state of a job, or the status of the answer.
func (r *rig) state(n *node, queue, id string) string {
	status, body := r.call(n, http.MethodGet, queue+id, tenantKey, nil)
	if s, ok := body["state"].(string); ok && status == http.StatusOK {
		return s
	}
	return strconv.Itoa(status)
}

// awaitState asks the nodes in turn until one gives the state, and reports whether that was within the time.
func (r *rig) awaitState(queue, id, want string, within time.Duration) bool {
	for i, began := 0, time.Now(); time.Since(began) < within; i++ {
		if r.state(r.nodes[i%len(r.nodes)], queue, id) == want {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// taskCPU is what a task of simpleJob needs, in thousandths of a core.
const taskCPU = 500

func simpleJob(spec string, count, estimateMS int) map[string]any {
	return map[string]any{"spec": spec, "steps": []map[string]any{{"count": count, "cpu": taskCPU, "mem_mb": 256, "estimate_ms": estimateMS}}}
}

// queue is a route of the configuration.
type queue struct {
	name, prefix, service string
	attempts              int
}

// configure stores a configuration with the queues and the services.
func (r *rig) configure(version int, services []string, queues ...queue) {
	routes := []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": "jobs.example", "prefix": q.prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 600,
			"priority": 0, "service": q.service, "max_attempts": q.attempts, "slack_factor": 1.6, "public": false,
		})
	}
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false,
		})
	}
	r.log("operator: version %d: %+v", version, queues)
	r.store.put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "t", "api_keys": []string{tenantKey}, "priority": 1, "weight": 50, "maximum": map[string]int{"cpu": 0}}},
	})
}
