package berylload

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch/internal/bench/berylsample"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

const (
	// kindConns is the number of connections of a pass.
	kindConns = 8
	// callPause is the pause before each call on a connection. Without it, tasks would arrive faster than the workers'
	// slots can run them, and queue up.
	callPause = 100 * time.Millisecond
	// taskSettle is the time for the last tasks of a pass to end before the rows are counted.
	taskSettle = 3 * time.Second
)

// Kinds measures how many table rows the kinds of work read and write. The kinds are plain requests, requests with an
// idempotency key, and tasks.
type Kinds struct {
	Bin      string
	Dir      string
	Duration time.Duration
	Repeats  int
	Out      io.Writer
}

// kindFigures holds the figures of one pass: the accepted and the failed calls, and the rows written and read for each
// accepted call, without those of the fleet at rest.
type kindFigures struct{ accepted, writes, reads, failed float64 }

// Run starts the fleet, measures and prints the medians over the repeats.
func (m Kinds) Run(ctx context.Context) error {
	f, err := startFleet(ctx, m.Bin, m.Dir, fleetSpec{
		daemons: 1, workers: requestWorkers, teams: 1, pools: 1, ceiling: 1024, countTableItems: true,
	})
	defer f.stop()
	if err != nil {
		return err
	}
	address := f.Daemons[0].Callers
	_ = pass(ctx, kindConns, warmUp, daemonCall(address))
	_, _ = fmt.Fprintf(m.Out, "table rows for each piece of work, medians of %d passes of %v on %d connections\n",
		m.Repeats, m.Duration, kindConns)
	_, _ = fmt.Fprintf(m.Out, "%-6s %8s %12s %10s %7s\n", "kind", "work", "rows written", "rows read", "failed")
	for _, k := range []struct {
		name string
		send call
	}{
		{"plain", withPause(daemonCall(address))},
		{"keyed", withPause(keyedCall(address))},
		{"task", withPause(taskCall(address))},
	} {
		if err := m.measure(ctx, f, k.name, k.send); err != nil {
			return err
		}
	}
	return nil
}

func (m Kinds) measure(ctx context.Context, f *fleet, name string, send call) error {
	var all []kindFigures
	for range m.Repeats {
		figures, err := m.measureOnce(ctx, f, send)
		if err != nil {
			return err
		}
		all = append(all, figures)
	}
	_, err := fmt.Fprintf(m.Out, "%-6s %8.0f %12.2f %10.2f %7.0f\n", name,
		medianOf(all, func(r kindFigures) float64 { return r.accepted }),
		medianOf(all, func(r kindFigures) float64 { return r.writes }),
		medianOf(all, func(r kindFigures) float64 { return r.reads }),
		medianOf(all, func(r kindFigures) float64 { return r.failed }))
	return err
}

func (m Kinds) measureOnce(ctx context.Context, f *fleet, send call) (kindFigures, error) {
	atRest, err := f.countRows(func() error { return wait(ctx, m.Duration+taskSettle) })
	if err != nil {
		return kindFigures{}, err
	}
	var r passResult
	underLoad, err := f.countRows(func() error {
		r = pass(ctx, kindConns, m.Duration, send)
		return wait(ctx, m.Duration+taskSettle-r.elapsed)
	})
	if err != nil {
		return kindFigures{}, err
	}
	if r.count == 0 {
		return kindFigures{}, eris.Wrap(r.lastErr, "no work was accepted")
	}
	n := float64(r.count)
	return kindFigures{
		accepted: n, failed: float64(r.failed), writes: float64(underLoad.writes-atRest.writes) / n,
		reads: float64(underLoad.reads-atRest.reads) / n,
	}, nil
}

// countRows returns the rows that are written and read while action runs.
func (f *fleet) countRows(action func() error) (tableCounts, error) {
	before := f.proxy.snapshot()
	err := action()
	after := f.proxy.snapshot()
	return tableCounts{writes: after.writes - before.writes, reads: after.reads - before.reads}, err
}

// withPause returns a call that waits for callPause before it sends.
func withPause(send call) call {
	return func(ctx context.Context, conn int) error {
		if err := wait(ctx, callPause); err != nil {
			return err
		}
		return send(ctx, conn)
	}
}

// keyedCall returns a call that sends a request with a new idempotency key.
func keyedCall(address string) call {
	return func(ctx context.Context, _ int) error {
		req, err := newRequest(ctx, address, bytes.NewReader(make([]byte, bodySize)))
		if err != nil {
			return err
		}
		req.Header.Set("Idempotency-Key", uuid.NewString())
		return sendRequest(req)
	}
}

// taskCall returns a call that submits a task.
func taskCall(address string) call {
	return func(ctx context.Context, _ int) error {
		url := fmt.Sprintf("http://%s/v1/queues/%s/tasks", address, berylsample.Queue(0))
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(`{"test_run_ms": 1}`)))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+berylsample.Secret(0))
		req.Header.Set("Idempotency-Key", uuid.NewString())
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		if err == nil && resp.StatusCode != http.StatusAccepted {
			err = eris.Errorf("status %d: %s", resp.StatusCode, b)
		}
		return err
	}
}
