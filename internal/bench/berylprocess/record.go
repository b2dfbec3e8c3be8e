package berylprocess

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Start is one start of work as the worker recorded it.
type Start struct {
	Worker    *Worker   `json:"-"`
	ID        string    `json:"id"`
	RequestID string    `json:"request_id"`
	Team      string    `json:"team"`
	Queue     string    `json:"queue"`
	Kind      string    `json:"kind"`
	Time      time.Time `json:"time"`
	End       time.Time `json:"end"`
	BodySum   string    `json:"body_sha256"`
	Outcome   string    `json:"outcome"`
}

// Starts returns the starts that the running workers have recorded; they are ordered by worker, not by time.
func (f *Fleet) Starts(ctx context.Context) ([]Start, error) {
	var out []Start
	for _, w := range f.Workers {
		if !w.Running() {
			continue
		}
		list, err := StartsAt(ctx, w.Address)
		if err != nil {
			return nil, err
		}
		for _, s := range list {
			s.Worker = w
			out = append(out, s)
		}
	}
	return out, nil
}

// StartsAt returns the starts that the worker at the address has recorded, in order of time.
func StartsAt(ctx context.Context, address string) ([]Start, error) {
	var list []Start
	err := getJSON(ctx, "http://"+address+"/record", &list)
	return list, err
}

// SetFaults replaces the faults of a stand-in, as JSON; the address is that of a worker or the platform's control listener.
func SetFaults(ctx context.Context, address, faults string) error {
	return put(ctx, "http://"+address+"/faults", faults)
}

// ListInstance puts an address on the platform's instance list, as live or as leaving.
func ListInstance(ctx context.Context, control, address string, leaving bool) error {
	state := "live"
	if leaving {
		state = "leaving"
	}
	return put(ctx, "http://"+control+"/instances/"+address, `{"state":"`+state+`"}`)
}

func put(ctx context.Context, url, body string) error {
	return exchange(ctx, http.MethodPut, url, strings.NewReader(body), func(resp *http.Response) error {
		if resp.StatusCode != http.StatusNoContent {
			return eris.Errorf("%s: status %d", url, resp.StatusCode)
		}
		return nil
	})
}

func getJSON(ctx context.Context, url string, v any) error {
	return exchange(ctx, http.MethodGet, url, http.NoBody, func(resp *http.Response) error {
		return eris.Wrap(json.NewDecoder(resp.Body).Decode(v), url)
	})
}

// exchange makes a call to a stand-in and passes the answer to read.
func exchange(ctx context.Context, method, url string, body io.Reader, read func(*http.Response) error) error {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return eris.Wrap(err, url)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, url)
	}
	defer func() { _ = resp.Body.Close() }()
	return read(resp)
}
