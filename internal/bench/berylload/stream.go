package berylload

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
	"github.com/rotisserie/eris"
)

const (
	// streamWorkers is the number of workers. With 8 slots each, they run up to 32 streams without a wait for a slot.
	streamWorkers = 4
	// answerHeader holds the number of bytes with which a stand-in worker answers.
	answerHeader = "Beryllatch-Test-Answer-Bytes"
)

// Streams measures the peak resident memory of a daemon that forwards large bodies of requests and answers.
type Streams struct {
	Bin string
	Dir string
	// Bytes is the size of a body.
	Bytes int
	// AtOnce holds numbers of requests at a time; each is measured for requests and for answers.
	AtOnce []int
	// Repeats is the number of requests on each connection.
	Repeats int
	Out     io.Writer
}

// Run starts the fleet, measures and prints the peaks of memory.
func (m Streams) Run(ctx context.Context) error {
	f, err := startFleet(ctx, m.Bin, m.Dir, fleetSpec{daemons: 1, workers: streamWorkers, teams: 1, pools: 1, ceiling: 64})
	defer f.stop()
	if err != nil {
		return err
	}
	d := f.Daemons[0]
	_ = pass(ctx, 1, warmUp, daemonCall(d.Callers))
	u, err := d.Usage()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(m.Out, "streams of %d MiB, peak resident memory of the daemon over %d of each kind and connection\n",
		m.Bytes>>20, m.Repeats)
	_, _ = fmt.Fprintf(m.Out, "%-8s %7s %12s %10s %7s\n", "body", "at once", "before MB", "peak MB", "failed")
	_, _ = fmt.Fprintf(m.Out, "%-8s %7d %12.1f %10.1f %7d\n", "none", 1, mebibytes(u.ResidentKB), mebibytes(u.PeakKB), 0)
	for _, n := range m.AtOnce {
		if err := m.measure(ctx, d, "request", n, m.upload); err != nil {
			return err
		}
		if err := m.measure(ctx, d, "answer", n, m.download); err != nil {
			return err
		}
	}
	return nil
}

// measure prints the peak memory of the daemon for one kind of body.
func (m Streams) measure(
	ctx context.Context, d *berylprocess.Daemon, kind string, atOnce int, stream func(context.Context, string) error,
) error {
	if err := d.ResetPeak(); err != nil {
		return err
	}
	before, err := d.Usage()
	if err != nil {
		return err
	}
	failed, err := m.runStreams(ctx, d.Callers, atOnce, stream)
	if failed == atOnce*m.Repeats {
		return eris.Wrap(err, "no stream was answered")
	}
	after, err := d.Usage()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(m.Out, "%-8s %7d %12.1f %10.1f %7d\n",
		kind, atOnce, mebibytes(before.ResidentKB), mebibytes(after.PeakKB), failed)
	return err
}

// runStreams calls stream Repeats times on each of atOnce connections, and returns how many calls failed and the last
// error.
func (m Streams) runStreams(
	ctx context.Context, address string, atOnce int, stream func(context.Context, string) error,
) (failed int, lastErr error) {
	var mu sync.Mutex
	var streams sync.WaitGroup
	for range atOnce {
		streams.Go(func() {
			for range m.Repeats {
				if err := stream(ctx, address); err != nil {
					mu.Lock()
					failed, lastErr = failed+1, err
					mu.Unlock()
				}
			}
		})
	}
	streams.Wait()
	return failed, lastErr
}

// upload sends a request with a large body.
func (m Streams) upload(ctx context.Context, address string) error {
	req, err := newRequest(ctx, address, io.LimitReader(zeroReader{}, int64(m.Bytes)))
	if err != nil {
		return err
	}
	req.ContentLength = int64(m.Bytes)
	return sendRequest(req)
}

// download sends a request that gets a large answer.
func (m Streams) download(ctx context.Context, address string) error {
	req, err := newRequest(ctx, address, http.NoBody)
	if err != nil {
		return err
	}
	req.Header.Set(answerHeader, strconv.Itoa(m.Bytes))
	return sendRequest(req)
}

// sendRequest sends a request and reads the answer.
func sendRequest(req *http.Request) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return readAnswer(resp)
}

// zeroReader is an endless body of zero bytes.
type zeroReader struct{}

// Read fills p with zeros.
func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func mebibytes(kb int64) float64 { return float64(kb) / 1024 }
