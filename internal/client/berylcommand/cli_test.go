package berylcommand

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"log"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/beryloperator"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// fakeNode applies changes to a configuration in memory. It stores the outcome of each operation id and returns it for
// repeats, as a node does.
type fakeNode struct {
	config   beryllatch.Config
	outcomes map[string]berylreducer.ReplyOperator
	tasks    map[string]beryllatch.Task
	// repliesToLose is the number of further calls that take effect but whose reply gets lost.
	repliesToLose int
	// calls counts the calls of ApplyChanges.
	calls int
}

func (f *fakeNode) ApplyChanges(
	_ context.Context, e berylreducer.ChangesRequested,
) (berylreducer.ReplyOperator, error) {
	f.calls++
	reply, ok := f.outcomes[e.OperationID]
	if !ok {
		reply = f.apply(e)
		f.outcomes[e.OperationID] = reply
	}
	if f.repliesToLose > 0 {
		f.repliesToLose--
		return berylreducer.ReplyOperator{}, context.DeadlineExceeded
	}
	return reply, nil
}

func (f *fakeNode) apply(e berylreducer.ChangesRequested) berylreducer.ReplyOperator {
	next, err := berylplan.Apply(f.config, berylplan.AllLive(f.config, "b0"), e.Changes...)
	if err != nil {
		return berylreducer.ReplyOperator{Outcome: berylreducer.OutcomeNotAccepted, Reason: err.Error(), Version: f.config.Version + 1}
	}
	f.config = next.WithVersion(f.config.Version + 1)
	return berylreducer.ReplyOperator{Outcome: berylreducer.OutcomeAccepted, Version: f.config.Version, InForce: true}
}

func (f *fakeNode) Config(context.Context) (beryllatch.Config, error) { return f.config, nil }

func (f *fakeNode) Status(context.Context) (*berylwire.GetStatusResponse, error) {
	return &berylwire.GetStatusResponse{
		Node: "n1", Mode: "normal", ConfigVersion: f.config.Version,
		Teams: []*berylwire.TeamStatus{{Name: "wheels", Running: 2, Ceiling: 4}},
	}, nil
}

func (f *fakeNode) Task(_ context.Context, id string) (beryllatch.Task, error) {
	t, ok := f.tasks[id]
	if !ok {
		return t, &beryloperator.TaskNotFoundError{ID: id}
	}
	return t, nil
}

func (f *fakeNode) WaitingTasks(
	_ context.Context, states []beryllatch.TaskState, after string, limit int,
) ([]beryllatch.Task, error) {
	var out []beryllatch.Task
	for _, id := range beryllatch.SortedKeys(f.tasks) {
		t := f.tasks[id]
		matches := t.State.WaitsForOperator() && (len(states) == 0 || slices.Contains(states, t.State))
		if matches && id > after && len(out) < limit {
			out = append(out, t)
		}
	}
	return out, nil
}

// ResolveTask stores a decision only once for each operation id, as a node does.
func (f *fakeNode) ResolveTask(
	_ context.Context, e berylreducer.TaskResolveRequested,
) (berylreducer.ReplyTaskResolve, error) {
	t := f.tasks[e.TaskID]
	stored := slices.ContainsFunc(t.Decisions, func(d beryllatch.TaskDecision) bool { return d.OperationID == e.OperationID })
	switch {
	case !stored && !t.State.WaitsForOperator():
		return berylreducer.ReplyTaskResolve{
			Outcome: berylreducer.OutcomeNotAccepted, Reason: berylreducer.ReasonTaskNotWaiting, Settled: true,
		}, nil
	case !stored && e.As == beryllatch.VerdictRequeue && !e.NotRun:
		return berylreducer.ReplyTaskResolve{
			Outcome: berylreducer.OutcomeNotAccepted, Reason: berylreducer.ReasonNotRunUnconfirmed, Settled: true,
		}, nil
	case !stored:
		t.State = map[beryllatch.TaskVerdict]beryllatch.TaskState{
			beryllatch.VerdictDone: beryllatch.TaskDone, beryllatch.VerdictFailed: beryllatch.TaskFailed,
			beryllatch.VerdictRequeue: beryllatch.TaskQueued,
		}[e.As]
		t.Decisions = append(t.Decisions, beryllatch.TaskDecision{
			OperationID: e.OperationID, Operator: e.Operator, As: e.As, Reason: e.Reason, NotRun: e.NotRun,
			At: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		})
		f.tasks[e.TaskID] = t
	}
	if f.repliesToLose > 0 {
		f.repliesToLose--
		return berylreducer.ReplyTaskResolve{}, context.DeadlineExceeded
	}
	return berylreducer.ReplyTaskResolve{Outcome: berylreducer.OutcomeAccepted, Settled: true, Task: t}, nil
}

// client runs command lines against a fake node and logs them.
type client struct {
	t         *testing.T
	node      *fakeNode
	address   string
	tokenFile string
	log       strings.Builder
}

func newClient(t *testing.T) *client {
	t.Helper()
	c := &client{t: t, node: &fakeNode{outcomes: map[string]berylreducer.ReplyOperator{}}}
	h := beryloperator.New(c.node, []beryloperator.Credential{{Name: "ada", Hash: sha256.Sum256([]byte("token"))}})
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	c.address = server.URL
	c.tokenFile = filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(c.tokenFile, []byte("token\n"), 0o600))
	return c
}

// run executes a command line and returns its exit status and output. It logs both, without the operation id, which
// differs from one execution to the next.
func (c *client) run(line string) (int, string) {
	c.t.Helper()
	full := append([]string{"--address=" + c.address, "--token-file=" + c.tokenFile}, strings.Fields(line)...)
	var out, errs bytes.Buffer
	status := Run(c.t.Context(), full, strings.NewReader(""), &out, &errs)
	fmt.Fprintf(&c.log, "$ beryllatch %s\n%s", line, out.String())
	for _, l := range strings.SplitAfter(errs.String(), "\n") {
		if !strings.HasPrefix(l, "operation id:") {
			c.log.WriteString(l)
		}
	}
	fmt.Fprintf(&c.log, "status %d\n", status)
	return status, out.String()
}

// TestCommands guards against commands that send another change than their name and flags ask for, and against wrong
// exit statuses.
func TestCommands(t *testing.T) {
	c := newClient(t)
	for _, line := range []string{
		"team create wheels --ceiling=4", "team create wheels --ceiling=5", "team change wheels --ceiling=6",
		"team create spokes --ceiling=0", "team create spokes", "team show spokes", "team list --output=json",
		"service create lacing --max-unavailable=1", "pool create lacing --service=lacing",
		"pool create spare --service=lacing --spare", "queue create plans --pool=lacing --team=wheels --deadline-ms=3000",
		"queue change plans --max-queued=64", "queue show plans", "dc create d1 --region=east",
		"instance create w1 --pool=lacing --dc=d1 --rack=r1 --worker-address=127.0.0.1:9001 --slots=8 --connections=64",
		"instance create w2 --pool=lacing --dc=d1 --rack=r1 --worker-address=127.0.0.1:9002 --slots=8 --connections=64",
		"instance drain w1", "instance drain w2", "instance return w1", "instance move w2 spare", "instance list",
		"dc out d1", "dc in d1", "dc list", "wave start december --services=lacing", "wave pause december", "wave list",
		"wave resume december", "wave stop december", "wave watch december", "team remove wheels", "pool remove spare",
		"queue remove plans", "status team", "status team spokes", "status task t1", "instance change w1 --slots=4",
		"pool change lacing --standing-loan=1", "pool change spare --standing-loan=1", "pool show lacing", "moves on", "moves off",
	} {
		c.run(line)
	}
	golden.Assert(t, c.log.String(), "commands.golden")
}

// TestTaskCommands guards against waiting tasks that are not listed, a requeue of a task that isn't idempotent without
// --not-run, a decision that is stored twice after a lost reply, and one that is shown without its operator.
func TestTaskCommands(t *testing.T) {
	c := newClient(t)
	c.node.tasks = map[string]beryllatch.Task{
		"t1": {ID: "t1", Team: "wheels", Queue: "plans", State: beryllatch.TaskUnknown, Instance: "w1", Attempt: 1, Reason: beryllatch.ReasonAnswerLost},
		"t2": {ID: "t2", Team: "wheels", Queue: "plans", State: beryllatch.TaskParked, Reason: beryllatch.ReasonJobFailing},
		"t3": {ID: "t3", Team: "wheels", Queue: "plans", State: beryllatch.TaskUnknown},
		"t4": {ID: "t4", Team: "wheels", Queue: "plans", State: beryllatch.TaskRunning},
	}
	for _, line := range []string{
		"task list", "task list --state=unknown --limit=1", "task list --state=unknown --limit=1 --after=t1",
		"task list --state=parked --output=json", "task list --state=done", "task show t1", "task resolve t1 --as=done",
		"task resolve t1 --as=requeue --reason=checked --operation-id=op1",
	} {
		c.run(line)
	}
	c.node.repliesToLose = 1
	for _, line := range []string{
		"task resolve t1 --as=requeue --not-run --reason=checked --operation-id=op1",
		"task resolve t1 --as=requeue --not-run --reason=checked --operation-id=op1",
		"task show t1", "task show t1 --output=json", "task resolve t4 --as=failed --reason=lost",
		"task resolve t2 --as=failed --reason=obsolete --operation-id=op2 --output=json", "task list",
	} {
		c.run(line)
	}
	c.node.repliesToLose = 100
	c.run("task resolve t3 --as=done --reason=delivered --operation-id=op3")
	golden.Assert(t, c.log.String(), "task_commands.golden")
}

// TestKeySecret guards against a secret that is sent or stored instead of its hash, lost or shown a second time, a
// withdrawn key that is created again, and a repeat of a call with another secret than that of the first one.
func TestKeySecret(t *testing.T) {
	c := newClient(t)
	c.run("team create wheels --ceiling=4")
	status, out := c.run("key create k1 --team=wheels")
	assert.Equal(t, status, exitDone)
	_, secret, _ := strings.Cut(strings.TrimSpace(out), "shown once: ")
	sum := sha256.Sum256([]byte(secret))
	assert.Equal(t, c.node.config.APIKeys["k1"].Hash, fmt.Sprintf("%x", sum))
	for _, line := range []string{"key withdraw k1", "key list"} {
		status, out := c.run(line)
		assert.Equal(t, status, exitDone)
		assert.Assert(t, !strings.Contains(out, secret))
	}
	status, out = c.run("key create k1 --team=wheels")
	assert.Assert(t, status == exitRefused && !strings.Contains(out, "shown once"))
	status, _ = c.run("key create k2 --team=wheels --operation-id=op2")
	assert.Equal(t, status, exitUsage)
}

// TestKeySecretJSON guards against output that is not a single JSON document, a secret that is not shown when the
// outcome is unknown, and one that is shown although the key was not created.
func TestKeySecretJSON(t *testing.T) {
	c := newClient(t)
	c.run("team create wheels --ceiling=4")
	for n, want := range []string{"accepted", "not_accepted", "unknown"} {
		if want == "unknown" {
			c.node.repliesToLose = 100
		}
		_, out := c.run(fmt.Sprintf("key create k%d --team=wheels --output=json", n/2))
		var o outcome
		assert.NilError(t, decodeStrict([]byte(out), &o), out)
		assert.Equal(t, o.Outcome, want)
		shown := len(o.Keys) == 1 && len(o.Keys[0].Secret) >= secretSize
		assert.Equal(t, shown, want != "not_accepted", out)
	}
	c.node.repliesToLose = 0
	_, out := c.run("team questionnaire --apply --output=json --answers=../../../examples/rimwise.json")
	var o outcome
	assert.NilError(t, decodeStrict([]byte(out), &o), out)
	assert.Assert(t, len(o.Keys) == 6 && len(o.Plan.Lines) > 0)
}

// TestLostReplies guards against a change that is made twice or reported as refused after its reply was lost.
func TestLostReplies(t *testing.T) {
	c := newClient(t)
	c.node.repliesToLose = 2
	status, _ := c.run("team create wheels --ceiling=4 --operation-id=op1")
	assert.Assert(t, status == exitDone && c.node.calls == 3 && c.node.config.Version == 1, "%s", c.log.String())
	status, _ = c.run("team create wheels --ceiling=4 --operation-id=op1")
	assert.Assert(t, status == exitDone && c.node.config.Version == 1)
	c.node.repliesToLose = 100
	status, _ = c.run("team create spokes --ceiling=4")
	assert.Equal(t, status, exitUnknown)
}

// TestAttempts guards against a call that is reported as refused while an earlier attempt may still take effect, and
// against one that is abandoned although another node may decide on it.
func TestAttempts(t *testing.T) {
	stale := &berylwire.ApplyResponse{Outcome: "not_accepted", Reason: berylreducer.ReasonOperationStale}
	recorded := &berylwire.ApplyResponse{Outcome: "not_accepted", Version: 3}
	unknown := &berylwire.ApplyResponse{Outcome: "unknown"}
	accepted := &berylwire.ApplyResponse{Outcome: "accepted", Version: 3}
	for name, v := range map[string]struct {
		replies []*berylwire.ApplyResponse
		calls   int
		outcome string
	}{
		"repeat refused":   {[]*berylwire.ApplyResponse{stale, stale}, 2, "unknown"},
		"repeat recorded":  {[]*berylwire.ApplyResponse{stale, recorded}, 2, "not_accepted"},
		"refused":          {[]*berylwire.ApplyResponse{recorded, accepted}, 1, "not_accepted"},
		"other node":       {[]*berylwire.ApplyResponse{stale, accepted}, 2, "accepted"},
		"no node able":     {[]*berylwire.ApplyResponse{stale, stale}, 2, "not_accepted"},
		"unknown stays":    {[]*berylwire.ApplyResponse{unknown, stale}, 2, "unknown"},
		"unknown later":    {[]*berylwire.ApplyResponse{stale, unknown}, 2, "unknown"},
		"unknown recorded": {[]*berylwire.ApplyResponse{unknown, recorded, accepted}, 2, "not_accepted"},
	} {
		a := attempts{possibleRepeat: strings.HasPrefix(name, "repeat")}
		calls := 0
		for _, r := range v.replies {
			calls++
			if a.record(r, nil) {
				break
			}
		}
		reply, err := a.result(nil)
		assert.NilError(t, err, name)
		assert.Assert(t, calls == v.calls && reply.GetOutcome() == v.outcome, "%s: %d %s", name, calls, reply.GetOutcome())
	}
}

// TestUnreachable guards against a call that is reported as of unknown outcome although it was never sent.
func TestUnreachable(t *testing.T) {
	c := newClient(t)
	c.address = "http://127.0.0.1:1"
	status, _ := c.run("team create wheels --ceiling=4")
	assert.Equal(t, status, exitUnreachable)
	status, _ = c.run("team list")
	assert.Equal(t, status, exitUnreachable)
	c.tokenFile = filepath.Join(t.TempDir(), "missing")
	status, _ = c.run("team list")
	assert.Equal(t, status, exitUsage)
}

// TestAddresses guards against a token that is sent in plain text to another host without --allow-plain-text.
func TestAddresses(t *testing.T) {
	for address, ok := range map[string]bool{
		"http://127.0.0.1:8081": true, "http://[::1]:8081": true, "https://10.0.0.1:8081": true,
		"http://10.0.0.1:8081": false, "http://entry.example:8081": false, "ftp://127.0.0.1": false, "http://": false,
	} {
		assert.Equal(t, checkAddress(address, false) == nil, ok, address)
	}
	assert.NilError(t, checkAddress("http://10.0.0.1:8081", true))
}

// TestTLS guards against a client that accepts a node's certificate from an authority that it was not told to trust.
func TestTLS(t *testing.T) {
	c := newClient(t)
	h := beryloperator.New(c.node, []beryloperator.Credential{{Name: "ada", Hash: sha256.Sum256([]byte("token"))}})
	server := httptest.NewTLSServer(h)
	t.Cleanup(server.Close)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	c.address = server.URL
	status, _ := c.run("team list")
	assert.Equal(t, status, exitUnreachable)
	status, _ = c.run("team create wheels --ceiling=4")
	assert.Equal(t, status, exitUnreachable)
	ca := filepath.Join(t.TempDir(), "ca.pem")
	block := &pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}
	assert.NilError(t, os.WriteFile(ca, pem.EncodeToMemory(block), 0o600))
	status, _ = c.run("team list --tls-ca=" + ca)
	assert.Equal(t, status, exitDone, "%s", c.log.String())
	status, _ = c.run("team list --tls-ca=" + c.tokenFile)
	assert.Equal(t, status, exitUsage)
}

// TestExamples guards against example answers that give no working configuration, and against a generated configuration
// that replaces an existing one.
func TestExamples(t *testing.T) {
	for _, user := range []string{"rimwise", "papelera"} {
		c := newClient(t)
		_, out := c.run("team questionnaire --answers=../../../examples/" + user + ".json")
		golden.Assert(t, out, user+".golden")
		status, _ := c.run("team questionnaire --apply --answers=../../../examples/" + user + ".json")
		assert.Equal(t, status, exitDone, "%s", c.log.String())
		assert.Assert(t, len(c.node.config.Teams) == 6 && len(c.node.config.APIKeys) == 6 && len(c.node.config.Services) == 5)
		status, _ = c.run("instance import " + writeFleet(t, c.node.config))
		assert.Equal(t, status, exitDone, "%s", c.log.String())
		assert.Equal(t, len(c.node.config.Instances), 10)
		status, _ = c.run("team questionnaire --apply --answers=../../../examples/" + user + ".json")
		assert.Equal(t, status, exitRefused)
	}
}

// writeFleet writes a file for "instance import" with ten instances, spread over the pools and data centres.
func writeFleet(t *testing.T, c beryllatch.Config) string {
	t.Helper()
	pools, dcs := beryllatch.SortedKeys(c.Pools), beryllatch.SortedKeys(c.DataCentres)
	var f importFile
	for n := range 10 {
		f.Instances = append(f.Instances, importInstance{
			ID: fmt.Sprintf("w%d", n), Pool: pools[n%len(pools)], DataCentre: dcs[n%len(dcs)], Rack: "r1",
			Address: fmt.Sprintf("127.0.0.1:%d", 9000+n), Slots: 8, Connections: 64,
		})
	}
	doc, err := json.Marshal(f)
	assert.NilError(t, err)
	name := filepath.Join(t.TempDir(), "fleet.json")
	assert.NilError(t, os.WriteFile(name, doc, 0o600))
	return name
}

// TestInterview guards against questions whose answers give no configuration, invalid answers that are not asked for
// again, and an input that ends early without an error.
func TestInterview(t *testing.T) {
	lines := []string{
		"acme", "1", "d1", "", "2", "quotes", "60", "500", "4", "often", "lost_sale", "2000", "reports", "0", "6", "60000", "2",
		"may_wait", "04:00", "06:00", "1", "ada", "large", "8", "4", "2", "25",
	}
	var out, errs bytes.Buffer
	status := Run(t.Context(), []string{"team", "questionnaire"}, strings.NewReader(strings.Join(lines, "\n")+"\n"), &out, &errs)
	assert.Equal(t, status, exitDone, "%s", errs.String())
	assert.Assert(t, strings.Contains(out.String(), "queue reports pool=reports deadline_ms=7200000"), "%s", out.String())
	status = Run(t.Context(), []string{"team", "questionnaire"}, strings.NewReader("acme\n"), &out, &errs)
	assert.Equal(t, status, exitUsage)
}

// TestDocsUpToDate guards against a reference page that differs from the commands; go generate rewrites the page.
func TestDocsUpToDate(t *testing.T) {
	var out, errs bytes.Buffer
	assert.Equal(t, Run(t.Context(), []string{"docs"}, strings.NewReader(""), &out, &errs), exitDone, "%s", errs.String())
	page, err := os.ReadFile("../../../docs/CLIENT.md")
	assert.NilError(t, err)
	assert.Equal(t, out.String(), string(page))
}
