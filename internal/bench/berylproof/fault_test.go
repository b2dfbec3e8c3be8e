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

// teamCeiling is the ceiling of the team red.
const teamCeiling = 8

// loadTime is how long load runs before and after a fault; no assertion depends on its length.
const loadTime = 2 * time.Second

// callersOf returns two callers for each daemon.
func (f *fleet) callersOf() []berylprocess.Caller {
	var out []berylprocess.Caller
	for _, d := range f.Daemons {
		out = append(out, f.caller(d.Callers), f.caller(d.Callers))
	}
	return out
}

// balanced returns n callers behind the load balancer.
func (f *fleet) balanced(n int) []berylprocess.Caller {
	var out []berylprocess.Caller
	for range n {
		out = append(out, f.caller(f.Balancer))
	}
	return out
}

// judge compares the replies with the workers' records and requires that some requests were answered.
func (f *fleet) judge(ctx context.Context, replies map[string]berylprocess.Reply) berylprocess.Summary {
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

// Guards against requests that run twice, or are refused as not run after a start, when a node dies without notice.
func TestKill(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 2)
	load := berylprocess.StartLoad(ctx, "kill", "price", f.callersOf(), "Beryllatch-Test-Run-Ms", "20")
	time.Sleep(loadTime)
	f.Daemons[0].Kill()
	time.Sleep(loadTime)
	f.judge(ctx, load.Stop())
}

// Guards against a withdrawn key that still works at a node which was frozen while it was withdrawn.
func TestFreeze(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 1)
	frozen := f.Daemons[2]
	load := berylprocess.StartLoad(ctx, "before", "price", f.callersOf()[:4])
	time.Sleep(loadTime)
	frozen.Freeze()
	late := make(chan berylprocess.Reply, 1)
	go func() { late <- f.caller(frozen.Callers).Request(ctx, "price", "frozen", "late") }()
	f.client(ctx, "key", "withdraw", "red-1")
	frozen.Thaw()
	got := <-late
	assert.Assert(t, !got.Answered(), "%+v", got)
	assert.Equal(t, len(f.starts(ctx)["frozen"]), 0)
	for n, d := range f.Daemons {
		got := f.caller(d.Callers).Request(ctx, "price", "after", "after")
		assert.Assert(t, got.NotRun(), "node %d: %+v", n, got)
	}
	assert.Equal(t, len(f.starts(ctx)["after"]), 0)
	f.judge(ctx, load.Stop())
}

// Guards against a planned stop of a node that cuts or refuses a request.
func TestRollingReplacement(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 2)
	load := berylprocess.StartLoad(ctx, "roll", "price", f.balanced(6), "Beryllatch-Test-Run-Ms", "50")
	for _, d := range f.Daemons {
		assert.NilError(t, d.Terminate())
		assert.NilError(t, f.StartDaemon(ctx, d))
	}
	s := f.judge(ctx, load.Stop())
	assert.Equal(t, s.NoAnswer+s.NotRun+s.Unknown, 0, "%+v", s)
}

// Guards against a planned stop that closes the callers' idle connections, which cuts a request that is on its way.
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
	stopped := make(chan error, 1)
	go func() { stopped <- d.Terminate() }()
	assert.NilError(t, berylprocess.WaitForStatus(ctx, "http://"+d.Admin+"/readyz", http.StatusServiceUnavailable))
	assert.Assert(t, f.send(ctx, conn, reader, "during"), "the connection must end with this answer")
	assert.NilError(t, <-stopped)
	assert.Equal(t, len(f.starts(ctx)["during"]), 1)
}

// send sends one request on the connection, requires an answer from a worker and reports whether the connection ends
// with it.
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

// Guards against an outage of the table that stops safe work, and against keyed work that runs without its claim.
func TestOutage(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 2)
	load := berylprocess.StartLoad(ctx, "outage", "price", f.callersOf())
	time.Sleep(loadTime)
	assert.NilError(t, berylprocess.SetFaults(ctx, f.Control, `{"table":{"outage":"refuse"}}`))
	time.Sleep(tenure + 2*loadTime)
	during := f.caller(f.Daemons[0].Callers).Request(ctx, "price", "during", "during")
	keyed := f.caller(f.Daemons[0].Callers).Request(ctx, "price", "keyed", "keyed", "Idempotency-Key", "k1")
	task := f.caller(f.Daemons[0].Callers).Do(ctx, "POST", "/v1/queues/price/tasks", `{}`)
	assert.NilError(t, berylprocess.SetFaults(ctx, f.Control, `{}`))
	assert.Assert(t, during.Answered(), "%+v", during)
	assert.Assert(t, keyed.NotRun() && keyed.Reason == "claim_unavailable", "%+v", keyed)
	assert.Assert(t, task.NotRun() && task.Reason == "platform_unavailable", "%+v", task)
	// Changes are accepted again once the nodes have renewed.
	for _, err := f.Client(ctx, "team", "change", "red", "--ceiling=7"); err != nil; {
		assert.NilError(t, ctx.Err(), "%v", err)
		_, err = f.Client(ctx, "team", "change", "red", "--ceiling=7")
	}
	f.judge(ctx, load.Stop())
}

// tenure is how long a node may start work after its last renewal.
const tenure = 4 * time.Second

// Guards against a caller that gets a part of an answer, another caller's answer, or a false "not run", while workers
// answer late, crossed, cut and twice.
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
		ctx, "answers", "price", f.callersOf(), "Beryllatch-Test-Run-Ms", "10", "Beryllatch-Deadline-Ms", "2000",
	)
	time.Sleep(4 * loadTime)
	s := f.judge(ctx, load.Stop())
	assert.Assert(t, s.Unknown > 0, "the faults did not show")
}

// Guards against a data centre taken out while one node is frozen, and against starts there after its bound.
func TestDataCentreOut(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 2)
	load := berylprocess.StartLoad(ctx, "out", "price", f.callersOf())
	f.Daemons[1].Freeze()
	f.client(ctx, "dc", "out", "dc1")
	out := time.Now()
	f.Daemons[1].Thaw()
	time.Sleep(tenure + loadTime)
	f.judge(ctx, load.Stop())
	starts, err := f.Starts(ctx)
	assert.NilError(t, err)
	for _, s := range starts {
		assert.Assert(t, s.Worker.DataCentre != "dc1" || s.Time.Before(out), "%s started in dc1 after it was out", s.RequestID)
	}
}

// Guards against a maintenance wave that cuts a request, overspends the budget of one instance, or misses an instance.
func TestWave(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 2)
	before := f.boots(ctx)
	load := berylprocess.StartLoad(ctx, "wave", "price", f.balanced(6), "Beryllatch-Test-Run-Ms", "20")
	f.client(ctx, "wave", "start", "w1", "--services=quotes")
	f.client(ctx, "wave", "watch", "w1")
	s := f.judge(ctx, load.Stop())
	assert.Equal(t, s.NoAnswer+s.NotRun+s.Unknown, 0, "%+v", s)
	for id, boot := range f.boots(ctx) {
		assert.Assert(t, boot != before[id], "%s has not rebooted", id)
	}
}

// boots returns the boot id of each worker.
func (f *fleet) boots(ctx context.Context) map[string]string {
	f.t.Helper()
	out := map[string]string{}
	for _, w := range f.Workers {
		report, err := berylworker.New().QueryWorker(ctx, w.Address)
		assert.NilError(f.t, err)
		out[w.ID] = report.BootID
	}
	return out
}

// Guards against new work for an upstream that the platform's list shows as leaving.
func TestLeavingUpstream(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, 1)
	for _, w := range f.Workers {
		assert.NilError(t, berylprocess.ListInstance(ctx, f.Control, w.Address, false))
	}
	leaving := f.Workers[0]
	load := berylprocess.StartLoad(ctx, "leave", "price", f.callersOf())
	assert.NilError(t, berylprocess.ListInstance(ctx, f.Control, leaving.Address, true))
	time.Sleep(loadTime + tenure)
	settled := time.Now()
	time.Sleep(loadTime)
	f.judge(ctx, load.Stop())
	starts, err := f.Starts(ctx)
	assert.NilError(t, err)
	for _, s := range starts {
		assert.Assert(t, s.Worker != leaving || s.Time.Before(settled), "%s started at the leaving worker", s.RequestID)
	}
}
