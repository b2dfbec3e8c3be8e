package berylload

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/bench/berylsample"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

const (
	// bodySize is the size of a request's body in bytes.
	bodySize = 256
	// executionLease is the lease of an execution that is sent to a worker without a daemon.
	executionLease = 30 * time.Second
	// runTimeHeader holds the milliseconds for which a stand-in worker runs a request.
	runTimeHeader = "Beryllatch-Test-Run-Ms"
)

// directCall returns a call that sends to the workers without a daemon, with the client that daemons use.
func directCall(addresses []string) call {
	client := berylworker.New(berylworker.WithMaxIdleConns(maxConns))
	body := make([]byte, bodySize)
	return func(ctx context.Context, conn int) error {
		now := time.Now()
		resp, err := client.Execute(ctx, beryllatch.Execution{
			ID: uuid.NewString(), Address: addresses[conn%len(addresses)], Team: berylsample.Team(0), Queue: berylsample.Queue(0),
			StartBy: now.Add(time.Second), LeaseExpiry: now.Add(executionLease),
		}, http.Header{runTimeHeader: {"0"}}, bytes.NewReader(body))
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		return readAnswer(resp)
	}
}

// daemonCall returns a call that sends to a daemon at the address of its callers' listener.
func daemonCall(address string) call {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConns, DisableCompression: true}}
	body := make([]byte, bodySize)
	return func(ctx context.Context, _ int) error {
		req, err := newRequest(ctx, address, bytes.NewReader(body))
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		return readAnswer(resp)
	}
}

func newRequest(ctx context.Context, address string, body io.Reader) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/v1/queues/%s/requests", address, berylsample.Queue(0))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+berylsample.Secret(0))
	req.Header.Set(runTimeHeader, "0")
	return req, nil
}

// readAnswer reads the answer to its end and returns an error if its status is not 200.
func readAnswer(resp *http.Response) error {
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return eris.Errorf("status %d: %s", resp.StatusCode, b)
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}
