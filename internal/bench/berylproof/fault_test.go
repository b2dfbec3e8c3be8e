package berylproof

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
	"gotest.tools/v3/assert"
)

// teamCeiling is the ceiling of the team red: the number of its executions that may run at the same time.
const teamCeiling = 8

// loadDuration is how long requests are sent before and after a fault; no assertion depends on its length.
const loadDuration = 2 * time.Second

// directCallers returns two callers for each daemon.
func (f *fleet) directCallers() []berylprocess.Caller {
	var out []berylprocess.Caller
	for _, d := range f.Daemons {
		out = append(out, f.caller(d.Callers), f.caller(d.Callers))
	}
	return out
}

// balancedCallers returns n callers behind the load balancer.
func (f *fleet) balancedCallers(n int) []berylprocess.Caller {
	var out []berylprocess.Caller
	for range n {
		out = append(out, f.caller(f.Balancer))
	}
	return out
}

// checkReplies compares the replies with the workers' records. It requires that no reply contradicts them, that some
// requests were answered and that the team never exceeded its ceiling.
func (f *fleet) checkReplies(ctx context.Context, replies map[string]berylprocess.Reply) berylprocess.Summary {
	f.t.Helper()
	starts, err := f.Starts(ctx)
	assert.NilError(f.t, err)
	s := berylprocess.Compare(replies, starts)
	f.t.Logf("answered %d, not run %d, unknown %d, no answer %d, starts %d, reasons %v",
		s.Answered, s.NotRun, s.Unknown, s.NoAnswer, s.Starts, s.Reasons)
	assert.Equal(f.t, len(s.Violations), 0, "%v", s.Violations)
	assert.Assert(f.t, s.Answered > 0)
	assert.Assert(f.t, berylprocess.Peak("red", starts, time.Now()) <= teamCeiling)
	return s
}

// Guards against requests that run twice, or are refused as not run after they have started, when a node is killed.
func TestKill(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 2)
	load := berylprocess.StartLoad(ctx, "kill", "price", f.directCallers(), "Beryllatch-Test-Run-Ms", "20")
	time.Sleep(loadDuration)
	f.Daemons[0].Kill()
	time.Sleep(loadDuration)
	f.checkReplies(ctx, load.Stop())
}

// Guards against a key that still works at a node which was frozen while the key was withdrawn.
func TestFreeze(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 1)
	frozenDaemon := f.Daemons[2]
	load := berylprocess.StartLoad(ctx, "before", "price", f.directCallers()[:4])
	time.Sleep(loadDuration)
	frozenDaemon.Freeze()
	lateReply := make(chan berylprocess.Reply, 1)
	go func() { lateReply <- f.caller(frozenDaemon.Callers).Request(ctx, "price", "frozen", "late") }()
	f.client(ctx, "key", "withdraw", "red-1")
	frozenDaemon.Thaw()
	got := <-lateReply
	assert.Assert(t, !got.Answered(), "%+v", got)
	assert.Equal(t, len(f.starts(ctx)["frozen"]), 0)
	for n, d := range f.Daemons {
		got := f.caller(d.Callers).Request(ctx, "price", "after", "after")
		assert.Assert(t, got.NotRun(), "node %d: %+v", n, got)
	}
	assert.Equal(t, len(f.starts(ctx)["after"]), 0)
	f.checkReplies(ctx, load.Stop())
}

// Guards against requests that are refused or get no complete answer while the nodes are stopped and restarted in turn.
func TestRollingReplacement(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 2)
	load := berylprocess.StartLoad(ctx, "roll", "price", f.balancedCallers(6), "Beryllatch-Test-Run-Ms", "50")
	for _, d := range f.Daemons {
		assert.NilError(t, d.Terminate())
		assert.NilError(t, f.StartDaemon(ctx, d))
	}
	s := f.checkReplies(ctx, load.Stop())
	assert.Equal(t, s.NoAnswer+s.NotRun+s.Unknown, 0, "%+v", s)
}

// Guards against a node that closes the callers' idle connections at a planned stop: a request that a caller is just sending
// on such a connection would get no answer.
func TestIdleConnectionAtStop(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 1)
	d := f.Daemons[0]
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", d.Callers)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	assert.Assert(t, !f.send(ctx, conn, reader, "before"), "the connection must stay open before the stop")
	stopErr := make(chan error, 1)
	go func() { stopErr <- d.Terminate() }()
	assert.NilError(t, berylprocess.WaitForStatus(ctx, "http://"+d.Admin+"/readyz", http.StatusServiceUnavailable))
	assert.Assert(t, f.send(ctx, conn, reader, "during"), "the connection must end with this answer")
	assert.NilError(t, <-stopErr)
	assert.Equal(t, len(f.starts(ctx)["during"]), 1)
}

// send sends one request on the connection, requires status 200 and reports whether the answer announces that the
// connection will be closed.
func (f *fleet) send(ctx context.Context, conn net.Conn, reader *bufio.Reader, id string) bool {
	f.t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://entry/v1/queues/price/requests", strings.NewReader(id))
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+f.secret)
	req.Header.Set("Beryllatch-Request-Id", id)
	assert.NilError(f.t, req.Write(conn))
	resp, err := http.ReadResponse(reader, req)
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(f.t, err)
	assert.Equal(f.t, resp.StatusCode, http.StatusOK)
	return resp.Close
}

// Guards against an outage of the table that also stops requests which need no claim, and against tasks and requests with an
// idempotency key that are accepted although their row cannot be stored.
func TestOutage(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 2)
	load := berylprocess.StartLoad(ctx, "outage", "price", f.directCallers())
	time.Sleep(loadDuration)
	assert.NilError(t, berylprocess.SetFaults(ctx, f.Control, `{"table":{"outage":"refuse"}}`))
	time.Sleep(tenure + 2*loadDuration)
	plainReply := f.caller(f.Daemons[0].Callers).Request(ctx, "price", "during", "during")
	keyedReply := f.caller(f.Daemons[0].Callers).Request(ctx, "price", "keyed", "keyed", "Idempotency-Key", "k1")
	taskReply := f.caller(f.Daemons[0].Callers).Do(ctx, "POST", "/v1/queues/price/tasks", `{}`)
	assert.NilError(t, berylprocess.SetFaults(ctx, f.Control, `{}`))
	assert.Assert(t, plainReply.Answered(), "%+v", plainReply)
	assert.Assert(t, keyedReply.NotRun() && keyedReply.Reason == "claim_unavailable", "%+v", keyedReply)
	assert.Assert(t, taskReply.NotRun() && taskReply.Reason == "platform_unavailable", "%+v", taskReply)
	// Changes are accepted again once the nodes have renewed their tenure.
	for _, err := f.Client(ctx, "team", "change", "red", "--ceiling=7"); err != nil; {
		assert.NilError(t, ctx.Err(), "%v", err)
		_, err = f.Client(ctx, "team", "change", "red", "--ceiling=7")
	}
	f.checkReplies(ctx, load.Stop())
}

// tenure is how long a node may start work after it has last renewed its row in the table.
const tenure = 4 * time.Second

// Guards against a caller that gets a truncated answer, the answer to another request, or a false "not run", while workers
// delay, swap, truncate and repeat answers or close connections without one.
func TestWorkerAnswers(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 2)
	faults := `{"crossed":{"share":0.05},"truncated":{"share":0.05},"doubled":{"share":0.05},"answer_late":{"share":0.05},` +
		`"answer_late_ms":200,"cut_before_start":{"share":0.05},"cut_after_start":{"share":0.05}}`
	for _, w := range f.Workers {
		assert.NilError(t, berylprocess.SetFaults(ctx, w.Address, faults))
	}
	load := berylprocess.StartLoad(
		ctx, "answers", "price", f.directCallers(), "Beryllatch-Test-Run-Ms", "10", "Beryllatch-Deadline-Ms", "2000",
	)
	time.Sleep(4 * loadDuration)
	s := f.checkReplies(ctx, load.Stop())
	assert.Assert(t, s.Unknown > 0, "the faults did not show")
}

// Guards against work that still starts in a data centre after the command that takes it out has returned, even if a node
// was frozen during the command.
func TestDataCentreOut(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 2)
	load := berylprocess.StartLoad(ctx, "out", "price", f.directCallers())
	f.Daemons[1].Freeze()
	f.client(ctx, "dc", "out", "dc1")
	takenOutAt := time.Now()
	f.Daemons[1].Thaw()
	time.Sleep(tenure + loadDuration)
	f.checkReplies(ctx, load.Stop())
	starts, err := f.Starts(ctx)
	assert.NilError(t, err)
	for _, s := range starts {
		assert.Assert(t, s.Worker.DataCentre != "dc1" || s.Time.Before(takenOutAt), "%s started in dc1 after it was out", s.RequestID)
	}
}

// Guards against a maintenance wave that interrupts a request, exceeds the disruption budget of one instance so that
// requests are refused, or leaves an instance without a reboot.
func TestWave(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 2)
	oldBoots := f.bootIDs(ctx)
	load := berylprocess.StartLoad(ctx, "wave", "price", f.balancedCallers(6), "Beryllatch-Test-Run-Ms", "20")
	f.client(ctx, "wave", "start", "w1", "--services=quotes")
	f.client(ctx, "wave", "watch", "w1")
	s := f.checkReplies(ctx, load.Stop())
	assert.Equal(t, s.NoAnswer+s.NotRun+s.Unknown, 0, "%+v", s)
	for id, boot := range f.bootIDs(ctx) {
		assert.Assert(t, boot != oldBoots[id], "%s has not rebooted", id)
	}
}

// bootIDs returns the boot id of each worker by worker id.
func (f *fleet) bootIDs(ctx context.Context) map[string]string {
	f.t.Helper()
	out := map[string]string{}
	for _, w := range f.Workers {
		report, err := berylworker.New().QueryWorker(ctx, w.Address)
		assert.NilError(f.t, err)
		out[w.ID] = report.BootID
	}
	return out
}

// Guards against new work for a worker that the platform's instance list shows as leaving.
func TestLeavingUpstream(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 1)
	for _, w := range f.Workers {
		assert.NilError(t, berylprocess.ListInstance(ctx, f.Control, w.Address, false))
	}
	leavingWorker := f.Workers[0]
	load := berylprocess.StartLoad(ctx, "leave", "price", f.directCallers())
	assert.NilError(t, berylprocess.ListInstance(ctx, f.Control, leavingWorker.Address, true))
	// After this time all nodes must know that the worker is leaving.
	time.Sleep(loadDuration + tenure)
	noStartsFrom := time.Now()
	time.Sleep(loadDuration)
	f.checkReplies(ctx, load.Stop())
	starts, err := f.Starts(ctx)
	assert.NilError(t, err)
	for _, s := range starts {
		assert.Assert(t, s.Worker != leavingWorker || s.Time.Before(noStartsFrom), "%s started at the leaving worker", s.RequestID)
	}
}
