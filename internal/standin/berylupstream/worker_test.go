package berylupstream_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/standin/berylupstream"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

// send calls the worker without a network connection, which the fake clock of synctest could not wait for. Calls start
// within 1 s and have a lease of 10 s, unless change sets other headers.
func send(t *testing.T, k *berylupstream.Worker, method, path, body string, change func(http.Header)) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	r.Header.Set(berylworker.HeaderExecutionID, path[strings.LastIndex(path, "/")+1:])
	r.Header.Set(berylworker.HeaderStartBy, time.Now().Add(time.Second).Format(time.RFC3339Nano))
	r.Header.Set(berylworker.HeaderLeaseExpiry, time.Now().Add(10*time.Second).Format(time.RFC3339Nano))
	if change != nil {
		change(r.Header)
	}
	w := httptest.NewRecorder()
	k.Handler().ServeHTTP(w, r)
	return w
}

func setHeaders(pairs ...string) func(http.Header) {
	return func(h http.Header) {
		for i := 0; i < len(pairs); i += 2 {
			h.Set(pairs[i], pairs[i+1])
		}
	}
}

// Guards against a start that the protocol forbids, and against a refusal without its reason or the run state "not run".
func TestRefusals(t *testing.T) {
	const past = "1990-01-01T00:00:00Z"
	for _, tc := range []struct {
		name   string
		setup  func(*testing.T, *berylupstream.Worker)
		change func(http.Header)
		status int
		reason string
	}{
		{"no id", nil, setHeaders(berylworker.HeaderExecutionID, ""), 400, "bad_request"},
		{"no start-by", nil, setHeaders(berylworker.HeaderStartBy, ""), 400, "bad_request"},
		{"malformed lease", nil, setHeaders(berylworker.HeaderLeaseExpiry, "soon"), 400, "bad_request"},
		{"malformed fence", nil, setHeaders(berylworker.HeaderFence, "-1"), 400, "bad_request"},
		{"malformed run time", nil, setHeaders(berylupstream.HeaderRunMS, "x"), 400, "bad_request"},
		{"answer too large", nil, setHeaders(berylupstream.HeaderAnswerBytes, "999999999"), 400, "bad_request"},
		{"start-by passed", nil, setHeaders(berylworker.HeaderStartBy, past), 503, "start_by_passed"},
		{"lease expired", nil, setHeaders(berylworker.HeaderLeaseExpiry, past), 503, "lease_expired"},
		{"leaving", func(_ *testing.T, k *berylupstream.Worker) { k.SetLeaving(true) }, nil, 503, "leaving"},
		{"frozen", func(t *testing.T, k *berylupstream.Worker) {
			assert.NilError(t, k.SetFaults(berylupstream.Faults{Freeze: true}))
		}, nil, 503, "start_by_passed"},
		{"no slot", func(t *testing.T, k *berylupstream.Worker) {
			assert.Equal(t, send(t, k, http.MethodPut, "/v1/tasks/t1", "", nil).Code, 202)
		}, nil, 503, "no_slot"},
		{"rebooting", func(t *testing.T, k *berylupstream.Worker) {
			assert.Equal(t, send(t, k, http.MethodPost, "/v1/reboot", "", nil).Code, 202)
		}, nil, 503, "rebooting"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := berylupstream.New(berylupstream.WithSlots(1), berylupstream.WithRun(3*time.Second))
				if tc.setup != nil {
					tc.setup(t, k)
				}
				before := len(k.Record())
				resp := send(t, k, http.MethodPost, "/v1/executions", "body", tc.change)
				assert.Equal(t, resp.Code, tc.status)
				assert.Equal(t, resp.Header().Get(berylworker.HeaderRunState), "not_run")
				var p struct{ Reason string }
				assert.NilError(t, json.NewDecoder(resp.Body).Decode(&p))
				assert.Equal(t, p.Reason, tc.reason)
				assert.Equal(t, len(k.Record()), before)
				time.Sleep(time.Minute)
				assert.Equal(t, k.Report().Running, 0, "a refusal must not keep its slot")
			})
		})
	}
}

// Guards against work that runs on after its lease has expired, and against wrong run times of renewed, throttled and
// stopped tasks.
func TestLease(t *testing.T) {
	lease := func(d time.Duration) func(http.Header) {
		return func(h http.Header) { h.Set(berylworker.HeaderLeaseExpiry, time.Now().Add(d).Format(time.RFC3339Nano)) }
	}
	for _, tc := range []struct {
		name string
		// call starts work with a run time of 30 s; runTime is how long it must run until its outcome.
		call    func(*testing.T, *berylupstream.Worker)
		runTime time.Duration
		outcome string
	}{
		{"execution stopped", func(t *testing.T, k *berylupstream.Worker) {
			assert.Equal(t, send(t, k, http.MethodPost, "/v1/executions", "", lease(5*time.Second)).Code, 504)
		}, 5 * time.Second, berylupstream.OutcomeStopped},
		{"execution within its lease", func(t *testing.T, k *berylupstream.Worker) {
			assert.Equal(t, send(t, k, http.MethodPost, "/v1/executions", "", lease(time.Minute)).Code, 200)
		}, 30 * time.Second, berylupstream.OutcomeDone},
		{"task stopped", func(t *testing.T, k *berylupstream.Worker) {
			assert.Equal(t, send(t, k, http.MethodPut, "/v1/tasks/t1", "", nil).Code, 202)
		}, 10 * time.Second, berylupstream.OutcomeStopped},
		{"task renewed", func(t *testing.T, k *berylupstream.Worker) {
			assert.Equal(t, send(t, k, http.MethodPut, "/v1/tasks/t1", "", nil).Code, 202)
			for range 8 {
				time.Sleep(3 * time.Second)
				assert.Equal(t, send(t, k, http.MethodPost, "/v1/tasks/t1/lease", "", nil).Code, 200)
			}
		}, 30 * time.Second, berylupstream.OutcomeDone},
		{"renewal doesn't shorten a lease", func(t *testing.T, k *berylupstream.Worker) {
			assert.Equal(t, send(t, k, http.MethodPut, "/v1/tasks/t1", "", nil).Code, 202)
			assert.Equal(t, send(t, k, http.MethodPost, "/v1/tasks/t1/lease", "", lease(time.Second)).Code, 200)
		}, 10 * time.Second, berylupstream.OutcomeStopped},
		{"task throttled", func(t *testing.T, k *berylupstream.Worker) {
			assert.Equal(t, send(t, k, http.MethodPut, "/v1/tasks/t1", "", lease(time.Hour)).Code, 202)
			time.Sleep(10 * time.Second)
			assert.Equal(t, send(t, k, http.MethodPost, "/v1/tasks/t1/throttle", `{"share":0.5}`, nil).Code, 200)
		}, 50 * time.Second, berylupstream.OutcomeDone},
		{"task stopped by its owner", func(t *testing.T, k *berylupstream.Worker) {
			assert.Equal(t, send(t, k, http.MethodPut, "/v1/tasks/t1", "", nil).Code, 202)
			time.Sleep(time.Second)
			assert.Equal(t, send(t, k, http.MethodDelete, "/v1/tasks/t1", "", nil).Code, 200)
		}, time.Second, berylupstream.OutcomeStopped},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := berylupstream.New(berylupstream.WithRun(30 * time.Second))
				tc.call(t, k)
				time.Sleep(time.Hour)
				record := k.Record()
				assert.Equal(t, len(record), 1)
				assert.Equal(t, record[0].Outcome, tc.outcome)
				assert.Equal(t, record[0].End.Sub(record[0].Time), tc.runTime)
				assert.Equal(t, k.Report().Running, 0)
			})
		})
	}
}

// Guards against a freeze that refuses work which can still start in time after the freeze has been switched off.
func TestFreezeLifted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := berylupstream.New()
		assert.NilError(t, k.SetFaults(berylupstream.Faults{Freeze: true}))
		time.AfterFunc(500*time.Millisecond, func() { assert.Check(t, k.SetFaults(berylupstream.Faults{})) })
		start := time.Now()
		assert.Equal(t, send(t, k, http.MethodPost, "/v1/executions", "", nil).Code, 200)
		assert.Equal(t, k.Record()[0].Time.Sub(start), 500*time.Millisecond)
	})
}

// Guards against a reboot that keeps its boot id or never ends.
func TestRebootEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := berylupstream.New(berylupstream.WithReboot(5 * time.Second))
		before := k.Report().BootID
		assert.Equal(t, send(t, k, http.MethodPost, "/v1/reboot", "", nil).Code, 202)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.Equal(t, send(t, k, http.MethodGet, "/v1/status", "", nil).Code, 200)
		assert.Assert(t, k.Report().BootID != before)
	})
}

// Guards against a misspelled or invalid fault that is ignored without an error.
func TestFaultsOverHTTP(t *testing.T) {
	for _, tc := range []struct {
		body   string
		status int
	}{
		{`{}`, 204},
		{`{"truncated":{"next":1},"answer_late_ms":5,"fail_everything":true}`, 204},
		{`{"truncate":{"next":1}}`, 400},
		{`{"truncated":{"count":1}}`, 400},
		{`{"truncated":{"next":-1}}`, 400},
		{`{"doubled":{"share":1.5}}`, 400},
		{`{"answer_late_ms":-1}`, 400},
		{`{} {}`, 400},
		{``, 400},
	} {
		t.Run(tc.body, func(t *testing.T) {
			k := berylupstream.New(berylupstream.WithRun(0))
			before := k.Faults()
			assert.Equal(t, send(t, k, http.MethodPut, "/faults", tc.body, nil).Code, tc.status)
			if tc.status != 204 {
				assert.DeepEqual(t, k.Faults(), before)
			}
		})
	}
}

// Guards against an answer of GET /record without a documented field, and against a record that is not cleared.
func TestRecordOverHTTP(t *testing.T) {
	k := berylupstream.New(berylupstream.WithName("w1"), berylupstream.WithRun(0))
	assert.Equal(t, send(t, k, http.MethodPost, "/v1/executions", "", nil).Code, 200)
	var got []map[string]any
	assert.NilError(t, json.NewDecoder(send(t, k, http.MethodGet, "/record", "", nil).Body).Decode(&got))
	assert.Equal(t, len(got), 1)
	for _, field := range []string{"time", "end", "boot_id", "id", "team", "queue", "kind", "outcome"} {
		assert.Assert(t, got[0][field] != nil, "field %s is missing", field)
	}
	assert.Equal(t, got[0]["worker"], "w1")
	assert.Equal(t, got[0]["kind"], berylupstream.KindRequest)
	assert.Equal(t, send(t, k, http.MethodDelete, "/record", "", nil).Code, 204)
	assert.Equal(t, len(k.Record()), 0)
}

// Guards against a status without the running work or the leaving state; a reboot could then interrupt work.
func TestStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := berylupstream.New(berylupstream.WithSlots(3), berylupstream.WithRun(time.Second))
		assert.Equal(t, send(t, k, http.MethodPut, "/v1/tasks/t1", "", nil).Code, 202)
		assert.Equal(t, send(t, k, http.MethodPut, "/leaving", `{"leaving":true}`, nil).Code, 204)
		var got beryllatch.WorkerReport
		assert.NilError(t, json.NewDecoder(send(t, k, http.MethodGet, "/v1/status", "", nil).Body).Decode(&got))
		assert.DeepEqual(t, got, beryllatch.WorkerReport{BootID: k.Report().BootID, Slots: 3, Running: 1, Leaving: true})
		time.Sleep(time.Minute)
	})
}
