package beryloverload

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
	"gotest.tools/v3/assert"
)

// withMaxFDs writes a script that runs a program with a limit of descriptors, and returns its path.
func withMaxFDs(t *testing.T, program string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "limited")
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", maxFDs, program)
	assert.NilError(t, os.WriteFile(path, []byte(script), 0o700))
	return path
}

// balancer is the platform's stand-in, whose load balancer the callers of a node reach.
type balancer struct {
	*requestNode
	peaks peaks
}

func (b *balancer) running() bool { return b.fleet.Platform.Running() && b.requestNode.running() }

func (b *balancer) address(string) string { return b.fleet.Balancer }

func (b *balancer) checkBounds(t *testing.T) { b.peaks.check(t) }

// Guards against clients that use up the descriptors of the load balancer, or keep it from passing on the requests of others.
func TestBalancer(t *testing.T) {
	bin := buildPrograms(t)
	limited := withMaxFDs(t, filepath.Join(bin, "berylstandin"))
	for name, run := range map[string]client{
		"silent":        func(int, *wire) []byte { return nil },
		"request stops": stops(kinds[0], "Bearer wrong", false),
		"empty lines":   stops(kinds[len(kinds)-1], "Bearer wrong", false),
		"slow":          stops(kinds[0], "Bearer wrong", true),
		"many, one by one": func(_ int, w *wire) []byte {
			for range 10 {
				w.send("GET / HTTP/1.1\r\n")
				w.failed = true
				w.redial()
			}
			return nil
		},
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			n := startFleet(t, bin, limited)
			b := &balancer{requestNode: n}
			n.caller.Address = n.fleet.Balancer
			ip, _, err := net.SplitHostPort(n.fleet.Balancer)
			assert.NilError(t, err)
			b.peaks.watch(t.Context(), n.fleet.Platform, ip)
			testClients(t, b, "callers", run)
		})
	}
}

// worker is a worker's stand-in.
type worker struct {
	process *berylprocess.Process
	at      string
	client  *http.Client
	peaks   peaks
	starts  int
}

func (w *worker) running() bool { return w.process.Running() }

func (w *worker) address(string) string { return w.at }

func (w *worker) checkBounds(t *testing.T) { w.peaks.check(t) }

// checkOrdinaryRequests checks that the worker carries out an execution.
func (w *worker) checkOrdinaryRequests(t *testing.T, _ string) {
	t.Helper()
	w.starts++
	id := fmt.Sprintf("e-%d", w.starts)
	await(t, w.running, "execution", func(ctx context.Context) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.at+berylworker.PathExecutions, strings.NewReader("hello"))
		if err != nil {
			return err
		}
		req.Header = executionHeader(id)
		resp, err := w.client.Do(req)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("answered %d", resp.StatusCode)
		}
		return nil
	})
}

// executionHeader returns the header of an execution that must start within the time that a hostile client may take.
func executionHeader(id string) http.Header {
	by := time.Now().Add(20 * time.Second).UTC().Format(time.RFC3339Nano)
	return http.Header{
		berylworker.HeaderExecutionID: {id}, berylworker.HeaderTeam: {"t"}, berylworker.HeaderQueue: {"q"},
		berylworker.HeaderStartBy: {by}, berylworker.HeaderLeaseExpiry: {by}, berylworker.HeaderFence: {"1"},
	}
}

// Guards against callers of a worker's stand-in that keep it from answering the nodes.
func TestWorker(t *testing.T) {
	bin := buildPrograms(t)
	limited := withMaxFDs(t, filepath.Join(bin, "berylstandin"))
	for _, kind := range []int{0, 2, 3} {
		t.Run(strings.ReplaceAll(kinds[kind].name, " ", "_"), func(t *testing.T) {
			address, err := berylprocess.FreeAddress()
			assert.NilError(t, err)
			p, err := berylprocess.Run(t.TempDir(), "worker", limited, "worker", "--listen="+address)
			assert.NilError(t, err)
			t.Cleanup(p.Kill)
			w := &worker{
				process: p, at: address,
				client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second},
			}
			ip, _, err := net.SplitHostPort(address)
			assert.NilError(t, err)
			w.peaks.watch(t.Context(), p, ip)
			testClients(t, w, "", func(n int, c *wire) []byte {
				var head strings.Builder
				fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\n", berylworker.PathExecutions, host)
				assert.Check(t, executionHeader(fmt.Sprintf("h-%d", n)).Write(&head))
				r := kinds[kind].request(head.String(), 1)
				c.send(r.head)
				for range r.count {
					c.send(string(r.piece))
				}
				c.send(string(r.tail))
				return nil
			})
		})
	}
}
