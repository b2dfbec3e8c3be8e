package beryloverload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
	"github.com/beryllatch/beryllatch/internal/node/berylserver"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"github.com/beryllatch/beryllatch/internal/standin/berylplatform"
	"gotest.tools/v3/assert"
)

// The code of the other programs is a part of the tests, as daemonCode is.
var (
	requestDaemonCode = (*berylserver.Server).Run
	platformCode      = berylplatform.New
)

// requestNode is a node of beryllatchd with its platform and workers, of which the first one is the crowd's target.
type requestNode struct {
	fleet  *berylprocess.Fleet
	daemon *berylprocess.Daemon
	// caller is an ordinary caller, hostile another one's token.
	caller  berylprocess.Caller
	hostile string
	peaks   peaks
	tasks   int
}

// buildPrograms builds the programs of a fleet without the race detector.
func buildPrograms(t *testing.T) string {
	t.Helper()
	assert.Assert(t, requestDaemonCode != nil && platformCode != nil)
	bin := t.TempDir()
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", bin, "github.com/beryllatch/beryllatch/cmd/...").CombinedOutput()
	assert.NilError(t, err, string(out))
	return bin
}

const (
	requestQueue = "lacing-plans"
	// taskDeadlineMS is far longer than a task takes beside a crowd, since a node refuses tasks that take longer than their deadline.
	taskDeadlineMS = "600000"
	// operatorToken is that of the fleet's operator.
	operatorToken = "Bearer loopback-only"
)

func startRequestNode(t *testing.T, bin string) *requestNode {
	t.Helper()
	return startFleet(t, bin, filepath.Join(bin, "berylstandin"))
}

// startFleet starts a node, a worker and the platform, whose program is given.
func startFleet(t *testing.T, bin, platform string) *requestNode {
	t.Helper()
	ctx := t.Context()
	f := &berylprocess.Fleet{
		Bin: bin, Dir: t.TempDir(), DataCentres: []string{"dc1"},
		DaemonArgs: []string{fmt.Sprintf("--memory-mb=%d", memoryMB), fmt.Sprintf("--max-fds=%d", maxFDs)},
	}
	t.Cleanup(f.Stop)
	f.PlatformProgram = platform
	assert.NilError(t, f.StartPlatform(1))
	n := &requestNode{fleet: f, daemon: f.Daemons[0]}
	assert.NilError(t, f.StartDaemon(ctx, n.daemon))
	var ips []string
	for _, listener := range []string{"callers", "operators", "peers", "admin"} {
		ip, _, err := net.SplitHostPort(n.address(listener))
		assert.NilError(t, err)
		ips = append(ips, ip)
	}
	n.peaks.watch(ctx, n.daemon.Process, ips...)
	worker, err := f.StartWorker(ctx, "w1", "dc1", "r1")
	assert.NilError(t, err)
	n.apply(t, "dc create dc1")
	n.apply(t, "service create lacing --max-unavailable=1")
	n.apply(t, "pool create lacing --service=lacing")
	for _, team := range []string{"ordinary", "hostile"} {
		n.apply(t, "team create "+team+" --weight=3 --ceiling=40")
	}
	n.apply(t, "queue create "+requestQueue+" --pool=lacing --deadline-ms=3000")
	n.apply(t, "instance create w1 --pool=lacing --dc=dc1 --rack=r1 --slots=8 --connections=64 --worker-address="+worker.Address)
	secrets := make(map[string]string)
	for _, team := range []string{"ordinary", "hostile"} {
		var reply struct {
			Keys []struct{ Secret string }
		}
		out := n.apply(t, "key create "+team+"-key --team="+team+" --output=json")
		assert.NilError(t, json.Unmarshal([]byte(out), &reply))
		secrets[team] = reply.Keys[0].Secret
	}
	n.hostile = "Bearer " + secrets["hostile"]
	n.caller = berylprocess.Caller{
		Address: n.daemon.Callers, Secret: secrets["ordinary"],
		Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second},
	}
	t.Cleanup(func() {
		if t.Failed() {
			n.logState(t)
		}
	})
	return n
}

// logState logs the last lines and the metrics of the daemon.
func (n *requestNode) logState(t *testing.T) {
	t.Helper()
	if log, err := os.ReadFile(filepath.Join(n.fleet.Dir, n.daemon.Name+".log")); err == nil {
		t.Logf("last lines of the daemon:\n%s", log[max(0, len(log)-2000):])
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second) // The test's own context has ended.
	defer cancel()
	c := n.caller
	c.Address = n.daemon.Admin
	t.Logf("metrics of the daemon:\n%s", c.Do(ctx, http.MethodGet, "/metrics", "").Body)
}

// apply runs a command of the operators' client.
func (n *requestNode) apply(t *testing.T, command string) string {
	t.Helper()
	out, err := n.fleet.Client(t.Context(), strings.Fields(command)...)
	assert.NilError(t, err)
	return out
}

func (n *requestNode) running() bool { return n.daemon.Running() }

func (n *requestNode) checkBounds(t *testing.T) { n.peaks.check(t) }

func (n *requestNode) address(listener string) string {
	return map[string]string{
		"callers": n.daemon.Callers, "operators": n.daemon.Operators, "peers": n.daemon.Peers(), "admin": n.daemon.Admin,
	}[listener]
}

// checkOrdinaryRequests checks that a request is answered by a worker, that a task is accepted and its state answered, and that the
// listener answers a request.
func (n *requestNode) checkOrdinaryRequests(t *testing.T, listener string) {
	t.Helper()
	n.tasks++
	id := fmt.Sprintf("order-%d", n.tasks)
	calls := 0
	await(t, n.running, "request", func(ctx context.Context) error {
		// Each call has a key of its own, since the outcome of a request that has run is final for its key, even if its answer was lost.
		calls++
		key := fmt.Sprintf("r%s-%d", id, calls)
		return n.do(ctx, http.StatusOK, http.MethodPost, "/v1/queues/"+requestQueue+"/requests", "hello", "Idempotency-Key", key)
	})
	await(t, n.running, "task", func(ctx context.Context) error {
		return n.do(ctx, http.StatusAccepted, http.MethodPost, "/v1/queues/"+requestQueue+"/tasks", "hello", "Idempotency-Key", "t"+id, "Beryllatch-Deadline-Ms", taskDeadlineMS)
	})
	switch listener {
	case "operators":
		await(t, n.running, "status for an operator", func(ctx context.Context) error {
			_, err := n.fleet.Client(ctx, "status", "fleet")
			return err
		})
	case "peers":
		await(t, n.running, "call of a peer", func(ctx context.Context) error {
			_, err := berylwire.NewPeerProtobufClient("http://"+n.daemon.Peers(), n.caller.Client).NotifyConfig(ctx, &berylwire.NotifyConfigRequest{Version: 1})
			return err
		})
	case "admin":
		await(t, n.running, "metrics", func(ctx context.Context) error {
			c := n.caller
			c.Address = n.daemon.Admin
			r := c.Do(ctx, http.MethodGet, "/metrics", "")
			return statusError(r, http.StatusOK)
		})
	}
}

func (n *requestNode) do(ctx context.Context, status int, method, path, body string, headers ...string) error {
	return statusError(n.caller.Do(ctx, method, path, body, headers...), status)
}

func statusError(r berylprocess.Reply, status int) error {
	if r.Err != nil || r.Status != status {
		return fmt.Errorf("answered %d: %s (%w)", r.Status, r.Body, r.Err)
	}
	return nil
}

// requestKinds are the kinds of hostile connections with the listener that they concern.
func (n *requestNode) requestKinds() map[string]struct {
	listener string
	run      client
} {
	type hostile = struct {
		listener string
		run      client
	}
	requests, tasks := "/v1/queues/"+requestQueue+"/requests", "/v1/queues/"+requestQueue+"/tasks"
	stopsAt := func(path, token string, length int, slow bool) client {
		return func(_ int, w *wire) []byte {
			w.send(post(path, token, length), string(spaces(length-slowBytes)))
			if slow {
				return []byte(" ")
			}
			w.send(string(spaces(slowBytes - 1)))
			return nil
		}
	}
	stopsChunked := func(path string, chunk int) client {
		s := wholeChunked(path, n.hostile, string(spaces(maxBody)), chunk)
		return func(_ int, w *wire) []byte {
			w.send(s[:len(s)-len("\r\n0\r\n\r\n")-1])
			return nil
		}
	}
	const heartbeat, apply = berylwire.PeerPathPrefix + "Heartbeat", berylwire.OperatorPathPrefix + "Apply"
	const heartbeatBytes, applyBytes = 256 << 10, 1 << 20
	emptyDemand, emptyChanges := strings.Repeat("\x22\x00", heartbeatBytes/2), strings.Repeat("\x1a\x00", applyBytes/2)
	return map[string]hostile{
		"request of 64 KB":           {"callers", stopsAt(requests, n.hostile, 64<<10, false)},
		"request of 64 KB, slow":     {"callers", stopsAt(requests, n.hostile, 64<<10, true)},
		"request of 256 KB":          {"callers", stopsAt(requests, n.hostile, maxBody, false)},
		"request of 256 KB, bad key": {"callers", stopsAt(requests, "Bearer wrong", maxBody, false)},
		"request in large chunks":    {"callers", stopsChunked(requests, chunk64K)},
		"request in small chunks":    {"callers", stopsChunked(requests, 1)},
		"task of 64 KB":              {"callers", stopsAt(tasks, n.hostile, 64<<10, false)},
		"task of 64 KB, slow":        {"callers", stopsAt(tasks, n.hostile, 64<<10, true)},
		"task of 1 MB":               {"callers", stopsAt(tasks, n.hostile, 1<<20, false)},
		"large answers": {"callers", func(_ int, w *wire) []byte {
			// The answers are not read.
			for range 3 {
				w.send(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s\r\nBeryllatch-Test-Answer-Bytes: %d\r\nContent-Length: 0\r\n\r\n",
					requests, host, n.hostile, 1<<20-1))
			}
			return nil
		}},
		"headers of HTTP/2":      {"callers", streams(requests, n.hostile, 28<<10, 0)},
		"bodies of HTTP/2":       {"callers", streams(requests, n.hostile, 0, 60<<10)},
		"tasks of HTTP/2":        {"callers", streams(tasks, n.hostile, 0, 60<<10)},
		"operators, bad token":   {"operators", stopsRPC(apply, jsonType, "Bearer wrong", string(spaces(applyBytes)))},
		"operators, stops":       {"operators", stopsRPC(apply, jsonType, operatorToken, string(spaces(applyBytes)))},
		"operators, JSON":        {"operators", rpcs(apply, jsonType, operatorToken, list(`{"changes":[`, `{}`, `]}`, applyBytes))},
		"operators, protobuf":    {"operators", rpcs(apply, protobufType, operatorToken, emptyChanges)},
		"operators over HTTP/2":  {"operators", streams(apply, operatorToken, 0, 60<<10)},
		"peers, stops":           {"peers", stopsRPC(heartbeat, protobufType, "", emptyDemand)},
		"peers, JSON":            {"peers", rpcs(heartbeat, jsonType, "", list(`{"demand":[`, `{}`, `]}`, heartbeatBytes))},
		"peers, protobuf":        {"peers", rpcs(heartbeat, protobufType, "", emptyDemand)},
		"peers, headers, HTTP/2": {"peers", streams(heartbeat, "", 28<<10, 0)},
		"admin, empty lines":     {"admin", stops(kinds[len(kinds)-1], "", false)},
		"admin, header":          {"admin", stops(kinds[5], "", false)},
	}
}

// streamsPerConnection is how many requests a hostile client has at once on a connection of HTTP/2.
const streamsPerConnection = 20

// streams returns a client that sends requests over HTTP/2, each with a header and a body of the given sizes that doesn't end.
func streams(path, token string, header, body int) client {
	return func(_ int, w *wire) []byte {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		var once sync.Once
		transport := &http.Transport{
			Protocols: protocols, MaxConnsPerHost: 1,
			DialContext: func(context.Context, string, string) (net.Conn, error) {
				var c net.Conn
				once.Do(func() { c = w.Conn })
				if c == nil {
					return nil, net.ErrClosed
				}
				return c, nil
			},
		}
		var sent sync.WaitGroup
		for range streamsPerConnection {
			r, pw := io.Pipe()
			req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+host+path, r)
			if err != nil {
				continue
			}
			req.Header.Set("Authorization", token)
			req.Header.Set("Content-Type", jsonType)
			if strings.HasSuffix(path, "/tasks") {
				req.ContentLength = int64(body + 1)
			}
			for i := 0; i < header/fieldBytes; i++ {
				req.Header.Set(fmt.Sprintf("X-%04d", i), strings.Repeat("a", fieldBytes-40))
			}
			go func() {
				resp, err := transport.RoundTrip(req)
				if err == nil {
					_ = resp.Body.Close()
				}
				_ = r.CloseWithError(net.ErrClosed)
			}()
			sent.Go(func() {
				b := spaces(4 << 10)
				for n := 0; n < body; n += len(b) {
					if _, err := pw.Write(b); err != nil {
						return
					}
				}
			})
		}
		done := make(chan struct{})
		go func() { sent.Wait(); close(done) }()
		select {
		case <-done:
		case <-time.After(writeTimeout):
		}
		return nil
	}
}

// fieldBytes is the size of a field of a header of HTTP/2, as it is counted there: with 32 bytes beside name and value.
const fieldBytes = 100

// Guards against clients that use up the memory or the descriptors of a node of beryllatchd, or keep it from answering others.
func TestRequestNode(t *testing.T) {
	bin := buildPrograms(t)
	for name := range (&requestNode{daemon: &berylprocess.Daemon{}}).requestKinds() {
		t.Run(strings.NewReplacer(" ", "_", "/", "").Replace(name), func(t *testing.T) {
			n := startRequestNode(t, bin)
			k := n.requestKinds()[name]
			testClients(t, n, k.listener, k.run)
		})
	}
}

// Guards against a mix of clients that a node of beryllatchd bears one kind at a time.
func TestRequestNodeMixedCrowd(t *testing.T) {
	n := startRequestNode(t, buildPrograms(t))
	var all []client
	for _, k := range n.requestKinds() {
		if k.listener == "callers" {
			all = append(all, k.run)
		}
	}
	testClients(t, n, "callers", func(i int, w *wire) []byte {
		return all[rand.New(rand.NewPCG(47, uint64(i))).IntN(len(all))](i, w)
	})
}
