package berylplatform_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch/internal/standin/berylplatform"
)

// send calls a handler without a network connection, which the fake clock of synctest could not wait for.
func send(t *testing.T, h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body)))
	return w
}

// instanceList returns the instance list as address=state, separated by spaces.
func instanceList(t *testing.T, p *berylplatform.Platform) string {
	t.Helper()
	var groups []struct {
		Targets []string          `json:"targets"`
		Labels  map[string]string `json:"labels"`
	}
	resp := send(t, p.Instances(), http.MethodGet, "/instances", "")
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&groups))
	var out []string
	for _, g := range groups {
		out = append(out, g.Targets[0]+"="+g.Labels["__meta_state"])
	}
	return strings.Join(out, " ")
}

// Guards against an instance list that shows a change before the lag has passed, or never.
func TestListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := berylplatform.New()
		control := p.Control()
		assert.Equal(t, send(t, control, http.MethodPut, "/instances/a:1", `{"state":"live"}`).Code, 204)
		assert.Equal(t, instanceList(t, p), "a:1=live")
		time.Sleep(time.Minute)
		assert.Equal(t, send(t, control, http.MethodPut, "/faults", `{"list_lag_ms":5000}`).Code, 204)
		assert.Equal(t, send(t, control, http.MethodPut, "/instances/b:1", `{"state":"live"}`).Code, 204)
		time.Sleep(time.Second)
		assert.Equal(t, send(t, control, http.MethodPut, "/instances/a:1", `{"state":"leaving"}`).Code, 204)
		time.Sleep(time.Second)
		assert.Equal(t, send(t, control, http.MethodDelete, "/instances/a:1", "").Code, 204)
		for _, tc := range []struct {
			wait time.Duration
			want string
		}{
			{0, "a:1=live"},
			{3 * time.Second, "a:1=live b:1=live"},
			{time.Second, "a:1=leaving b:1=live"},
			{time.Second, "b:1=live"},
		} {
			time.Sleep(tc.wait)
			assert.Equal(t, instanceList(t, p), tc.want)
		}
		assert.Equal(t, send(t, control, http.MethodPut, "/instances/c:1", `{"state":"gone"}`).Code, 400)
	})
}

// Guards against a misspelled or invalid fault that is ignored without an error.
func TestFaultsOverHTTP(t *testing.T) {
	for _, tc := range []struct {
		body   string
		status int
	}{
		{`{}`, 204},
		{`{"table":{"outage":"unavailable","slow_ms":3,"answer_lost_next":2,"answer_lost_share":0.5}}`, 204},
		{`{"objects":{"outage":"refuse"}}`, 204},
		{`{"table":{"outage":"down"}}`, 400},
		{`{"table":{"slow":3}}`, 400},
		{`{"tables":{}}`, 400},
		{`{"table":{"slow_ms":-1}}`, 400},
		{`{"objects":{"answer_lost_next":-1}}`, 400},
		{`{"table":{"answer_lost_share":2}}`, 400},
		{`{"instances":{"answer_lost_next":1}}`, 400},
		{`{"list_lag_ms":-1}`, 400},
		{`{} {}`, 400},
		{``, 400},
	} {
		t.Run(tc.body, func(t *testing.T) {
			p := berylplatform.New()
			assert.Equal(t, send(t, p.Control(), http.MethodPut, "/faults", tc.body).Code, tc.status)
			if tc.status != 204 {
				assert.DeepEqual(t, p.Faults(), berylplatform.Faults{})
			}
		})
	}
}

const putItem = `{"TransactItems":[{"Put":{"TableName":"t","Item":{"pk":{"S":"p"},"sk":{"S":"s"},"ver":{"N":"1"}},` +
	`"ConditionExpression":"attribute_not_exists(pk)"}}]}`

// call sends an operation to the table service and returns the status and the body of its answer.
func call(t *testing.T, h http.Handler, operation, body string) (int, string) {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", strings.NewReader(body))
	r.Header.Set("X-Amz-Target", "DynamoDB_20120810."+operation)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// Guards against a stand-in that accepts a call which the real service would refuse, or which it doesn't support itself.
func TestTableRefuses(t *testing.T) {
	item := func(attributes string) string {
		return `{"TransactItems":[{"Put":{"TableName":"t","Item":{` + attributes + `}}}]}`
	}
	for _, tc := range []struct {
		name      string
		operation string
		body      string
		want      string
	}{
		{"unknown operation", "Scan", `{}`, "UnknownOperationException"},
		{"no JSON", "GetItem", `{`, "SerializationException"},
		{"key without sk", "GetItem", `{"Key":{"pk":{"S":"p"}}}`, "ValidationException"},
		{"empty sk", "TransactWriteItems", item(`"pk":{"S":"p"},"sk":{"S":""}`), "ValidationException"},
		{"no items", "TransactWriteItems", `{"TransactItems":[]}`, "ValidationException"},
		{
			"one row twice", "TransactWriteItems",
			`{"TransactItems":[{"Delete":{"Key":{"pk":{"S":"p"},"sk":{"S":"s"}}}},` +
				`{"ConditionCheck":{"Key":{"pk":{"S":"p"},"sk":{"S":"s"}}}}]}`, "ValidationException",
		},
		{
			"item too large", "TransactWriteItems",
			item(`"pk":{"S":"p"},"sk":{"S":"s"},"val":{"S":"` + strings.Repeat("x", 400<<10) + `"}`), "ValidationException",
		},
		{
			"unsupported condition", "TransactWriteItems",
			strings.ReplaceAll(putItem, "attribute_not_exists(pk)", "size(pk) < :v"), "ValidationException",
		},
		{"unsupported key condition", "Query", `{"KeyConditionExpression":"pk > :p"}`, "ValidationException"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			status, body := call(t, berylplatform.New().Table(), tc.operation, tc.body)
			assert.Equal(t, status, 400)
			assert.Assert(t, strings.Contains(body, "#"+tc.want), "got %s", body)
		})
	}
}

// Guards against rate limits that are not enforced or never recover, and against refused calls that count towards them.
func TestTableRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := berylplatform.New(berylplatform.WithRates(10, 10)).Table()
		// count returns the number of writes before the rate limit refuses one; writes that fail their condition count.
		count := func() int {
			for n := 0; ; n++ {
				if _, body := call(t, table, "TransactWriteItems", putItem); strings.Contains(body, "ThroughputExceeded") {
					return n
				}
			}
		}
		assert.Equal(t, count(), 100)
		time.Sleep(2 * time.Second)
		assert.Equal(t, count(), 20)
	})
}

// Guards against a delayed write that is dropped when its client gives up.
func TestSlowWriteTakesEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := berylplatform.New()
		table := p.Table()
		f := berylplatform.Faults{Table: berylplatform.ServiceFaults{SlowMS: 30_000}}
		assert.NilError(t, p.SetFaults(t.Context(), f))
		ctx, cancel := context.WithCancel(t.Context())
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", strings.NewReader(putItem))
		r.Header.Set("X-Amz-Target", "DynamoDB_20120810.TransactWriteItems")
		go table.ServeHTTP(httptest.NewRecorder(), r)
		time.Sleep(time.Second)
		cancel()
		time.Sleep(time.Minute)
		assert.NilError(t, p.SetFaults(t.Context(), berylplatform.Faults{}))
		_, body := call(t, table, "GetItem", `{"TableName":"t","Key":{"pk":{"S":"p"},"sk":{"S":"s"}}}`)
		assert.Assert(t, strings.Contains(body, `"ver":{"N":"1"}`), "got %s", body)
	})
}

// Guards against a balancer that sends connections to a daemon which isn't ready, or always to the same one.
func TestBalancer(t *testing.T) {
	p := berylplatform.New(berylplatform.WithHealthInterval(time.Millisecond))
	for _, name := range []string{"a", "b", "unready"} {
		entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, name)
		}))
		defer entry.Close()
		admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if name == "unready" || r.URL.Path != "/readyz" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		defer admin.Close()
		body := `{"admin":"` + admin.Listener.Addr().String() + `"}`
		path := "/entries/" + entry.Listener.Addr().String()
		assert.Equal(t, send(t, p.Control(), http.MethodPut, path, body).Code, 204)
	}
	var cfg net.ListenConfig
	l, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	serveErr := make(chan error, 1)
	go func() { serveErr <- p.Balancer().Serve(ctx, l) }()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	get := func() string {
		resp, err := c.Get("http://" + l.Addr().String()) //nolint:noctx // The test ends with its servers.
		if err != nil {
			return ""
		}
		defer func() { _ = resp.Body.Close() }()
		b, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		return string(b)
	}
	// Until the balancer has found both daemons ready, it closes connections or sends them all to one daemon.
	for get() != "a" || get() != "b" {
		time.Sleep(time.Millisecond)
	}
	got := []string{get(), get(), get(), get()}
	slices.Sort(got)
	assert.DeepEqual(t, got, []string{"a", "a", "b", "b"})
	cancel()
	assert.NilError(t, <-serveErr)
}

// Guards against a server of the stand-in that reads headers of any size.
func TestLargeHeaderIsRefused(t *testing.T) {
	s, err := berylplatform.New().Listen(t.Context(), berylplatform.ServiceTable, "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.Check(t, s.Close()) }()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Address(), http.NoBody)
	assert.NilError(t, err)
	req.Header.Set("A", strings.Repeat("a", 16<<10))
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}
