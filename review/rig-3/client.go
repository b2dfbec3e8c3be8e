package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	callHost = "dele69a.example"
	callKey  = "key-of-the-dealers"
)

// system is the nodes with what they talk to.
type system struct {
	store  *store
	fleet  *fleet
	nodes  []*node
	record *record
	mu     sync.Mutex
	ready  []*node
	client *http.Client
}

// route is a queue of the configuration.
type route struct{ name, prefix string }

// statusS replaces status_s of the settings if it is set, for cases that can't wait for so long.
var statusS int

// newSystem starts the stand-ins, and count nodes.
func newSystem(ctx context.Context, rec *record, dir string, count, workers int, routes []route) (*system, error) {
	return newSystemWith(ctx, rec, dir, count, workers, routes, func(*fleet) error { return nil })
}

// newSystemWith is newSystem with preparations before the workers begin.
func newSystemWith(ctx context.Context, rec *record, dir string, count, workers int, routes []route, prepare func(*fleet) error) (*system, error) {
	// Each run has loopback addresses of its own, so that several can run beside each other.
	net := fmt.Sprintf("%d.%d", 16+os.Getpid()%200, 1+rand.N(250))
	st := &store{answerTime: 4 * time.Millisecond}
	s := &system{store: st, fleet: newFleet(st, "quotes", rec), record: rec, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	var rs []body
	for _, r := range routes {
		rs = append(rs, body{
			"name": r.name, "host": callHost, "prefix": r.prefix, "service": "quotes", "priority": 0, "max_attempts": 3,
			wire["slack"]: 1.6, "target_latency_ms": 600,
		})
	}
	config, err := json.Marshal(body{
		"version": 3, "routes": rs, "services": []body{{"name": "quotes", "admission_check": false}}, "limits": body{"max_body_bytes": 262144},
		"tenants": []body{{"name": "dealers", "api_keys": []string{callKey}, "weight": 60, "maximum": body{"cpu": 0, "mem_mb": 0, "gpu": 0}}},
	})
	if err != nil {
		return nil, err
	}
	st.put(row{Table: "op", Key: "config", Value: config})
	storeAddress, err := serve(st)
	if err != nil {
		return nil, err
	}
	machines, err := serve(s.fleet)
	if err != nil {
		return nil, err
	}
	if err := prepare(s.fleet); err != nil {
		return nil, err
	}
	for i := range workers {
		if err := s.fleet.add(fmt.Sprintf("m-%02d", i), fmt.Sprintf("r%d", i/4)); err != nil {
			return nil, err
		}
	}
	go s.fleet.ping(ctx)
	for i := range count {
		n, err := newNode(fmt.Sprintf("frontend-nbo-a-%d", i+1), fmt.Sprintf("127.%s.%d", net, i+11), storeAddress, machines, dir, rec)
		if err != nil {
			s.stop()
			return nil, err
		}
		if statusS > 0 {
			n.StatusS = statusS
		}
		s.nodes = append(s.nodes, n)
		if err := n.start(); err != nil {
			s.stop()
			return nil, err
		}
	}
	go s.balance(ctx)
	return s, nil
}

func (s *system) stop() {
	for _, n := range s.nodes {
		n.stop()
	}
}

// balance keeps the nodes that report themselves ready, as the platform does.
func (s *system) balance(ctx context.Context) {
	misses := make(map[*node]int)
	for ctx.Err() == nil {
		var ready []*node
		for _, n := range s.nodes {
			if n.ready() {
				misses[n] = 0
			} else {
				misses[n]++
			}
			if misses[n] < 2 {
				ready = append(ready, n)
			}
		}
		s.mu.Lock()
		s.ready = ready
		s.mu.Unlock()
		sleep(ctx, time.Second)
	}
}

func (s *system) pick() *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ready) == 0 {
		return s.nodes[rand.N(len(s.nodes))]
	}
	return s.ready[rand.N(len(s.ready))]
}

// reply is the answer to one attempt; status is 0 if there was none.
type reply struct {
	status int
	text   string
	after  int
	node   *node
	err    error
	took   time.Duration
}

// call makes one attempt of a client.
func (s *system) call(ctx context.Context, method, path string, b any) reply {
	return s.callNode(ctx, s.pick(), method, path, b)
}

func (s *system) callNode(ctx context.Context, n *node, method, path string, b any) reply {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	var rd io.Reader
	if b != nil {
		data, err := json.Marshal(b)
		if err != nil {
			return reply{err: err}
		}
		rd = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", n.IP, n.Port, path), rd)
	if err != nil {
		return reply{err: err}
	}
	req.Host = callHost
	req.Header.Set("Authorization", "Token "+callKey)
	req.Header.Set(wire["deadline"], "3000")
	if b != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	start := time.Now()
	resp, err := s.client.Do(req)
	if err != nil {
		return reply{err: err, node: n, took: time.Since(start)}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{err: err, node: n, took: time.Since(start)}
	}
	out := reply{status: resp.StatusCode, text: string(bytes.TrimSpace(text)), node: n, took: time.Since(start)}
	_, _ = fmt.Sscan(resp.Header.Get("Retry-After"), &out.after)
	return out
}

// submit hands a job in, with up to four retries.
func (s *system) submit(ctx context.Context, path string, job body) reply {
	var r reply
	for attempt := range 5 {
		r = s.call(ctx, http.MethodPost, path, job)
		s.record.write("POST %s attempt %d at %s: %d %s %v", path, attempt+1, r.node.Name, r.status, r.text, r.err)
		if r.status >= 200 && r.status < 300 || ctx.Err() != nil {
			return r
		}
		sleep(ctx, max(time.Duration(r.after)*time.Second, 300*time.Millisecond))
	}
	return r
}

// state asks for a job's state until it gets an answer, a few times.
func (s *system) state(ctx context.Context, path string) string {
	for range 5 {
		r := s.call(ctx, http.MethodGet, path, nil)
		if r.status == http.StatusOK {
			var b body
			_ = json.Unmarshal([]byte(r.text), &b)
			return b.text("state")
		}
		if r.status == http.StatusGone {
			return "410"
		}
		sleep(ctx, 300*time.Millisecond)
	}
	return "no answer"
}

// scheduler returns the node that the duty row names, or nil. It only chooses which process a signal goes to.
func (s *system) scheduler() *node {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for _, r := range s.store.rows {
		var b body
		if r.Table != "servers" && r.Table != "op" && json.Unmarshal(r.Value, &b) == nil && b.text("node") != "" && b["epoch"] != nil {
			for _, n := range s.nodes {
				if n.Name == b.text("node") && b["released"] != true {
					return n
				}
			}
		}
	}
	return nil
}

// jobID returns an ID of 16 hexadecimal digits.
func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
