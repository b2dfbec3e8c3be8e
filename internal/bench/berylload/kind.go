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
	kindConns = 8
	// taskPause spaces the tasks of one sender, so that tasks don't queue up behind the slots.
	taskPause = 100 * time.Millisecond
	// taskSettle lets the last tasks end before the rows are counted.
	taskSettle = 3 * time.Second
)

// Kinds measures the table rows that each kind of work reads and writes.
type Kinds struct {
	Bin      string
	Dir      string
	Duration time.Duration
	Repeats  int
	Out      io.Writer
}

// kindFigures are the rows of one pass for each piece of work, less those of the fleet at rest.
type kindFigures struct{ work, writes, reads, failed float64 }

// Run starts the fleet, measures and prints the medians over the repeats.
func (m Kinds) Run(ctx context.Context) error {
	f, err := startFleet(ctx, m.Bin, m.Dir, plan{
		daemons: 1, workers: requestWorkers, teams: 1, pools: 1, ceiling: 1024, proxied: true,
	})
	defer f.stop()
	if err != nil {
		return err
	}
	address := f.Daemons[0].Callers
	_ = pass(ctx, kindConns, warmUp, through(address))
	_, _ = fmt.Fprintf(m.Out, "table rows for each piece of work, medians of %d passes of %v on %d connections\n",
		m.Repeats, m.Duration, kindConns)
	_, _ = fmt.Fprintf(m.Out, "%-6s %8s %12s %10s %7s\n", "kind", "work", "rows written", "rows read", "failed")
	for _, k := range []struct {
		name string
		send call
	}{{"plain", slowly(through(address))}, {"keyed", slowly(keyed(address))}, {"task", slowly(task(address))}} {
		if err := m.measure(ctx, f, k.name, k.send); err != nil {
			return err
		}
	}
	return nil
}

func (m Kinds) measure(ctx context.Context, f *fleet, name string, send call) error {
	var all []kindFigures
	for range m.Repeats {
		one, err := m.once(ctx, f, send)
		if err != nil {
			return err
		}
		all = append(all, one)
	}
	_, err := fmt.Fprintf(m.Out, "%-6s %8.0f %12.2f %10.2f %7.0f\n", name,
		medianOf(all, func(r kindFigures) float64 { return r.work }),
		medianOf(all, func(r kindFigures) float64 { return r.writes }),
		medianOf(all, func(r kindFigures) float64 { return r.reads }),
		medianOf(all, func(r kindFigures) float64 { return r.failed }))
	return err
}

func (m Kinds) once(ctx context.Context, f *fleet, send call) (kindFigures, error) {
	rest, err := f.rows(func() error { return wait(ctx, m.Duration+taskSettle) })
	if err != nil {
		return kindFigures{}, err
	}
	var r passResult
	busy, err := f.rows(func() error {
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
		work: n, failed: float64(r.failed), writes: float64(busy.writes-rest.writes) / n,
		reads: float64(busy.reads-rest.reads) / n,
	}, nil
}

// rows returns the rows that were written and read while during ran.
func (f *fleet) rows(during func() error) (tableCounts, error) {
	before := f.proxy.read()
	err := during()
	after := f.proxy.read()
	return tableCounts{writes: after.writes - before.writes, reads: after.reads - before.reads}, err
}

// slowly pauses before each call.
func slowly(f call) call {
	return func(ctx context.Context, conn int) error {
		if err := wait(ctx, taskPause); err != nil {
			return err
		}
		return f(ctx, conn)
	}
}

// keyed returns a call that sends requests, each with an idempotency key of its own.
func keyed(address string) call {
	return func(ctx context.Context, _ int) error {
		req, err := newRequest(ctx, address, bytes.NewReader(make([]byte, bodySize)))
		if err != nil {
			return err
		}
		req.Header.Set("Idempotency-Key", uuid.NewString())
		return exchange(req)
	}
}

// task returns a call that submits tasks.
func task(address string) call {
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
