package berylinstance

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/beryllatch/beryllatch"
)

// maxListBytes bounds the answer; 630 instances take about 100 KB.
const maxListBytes = 8 << 20

// Client is a beryllatch.InstanceList.
type Client struct {
	url     string
	client  *http.Client
	timeout time.Duration

	mu    sync.Mutex
	cache cachedList
}

// cachedList is the list that the platform sent last, with its entity tag.
type cachedList struct {
	etag string
	list map[string]beryllatch.InstanceStatus
}

var _ beryllatch.InstanceList = (*Client)(nil)

// Option changes a setting of a Client.
type Option func(*Client)

// WithURL sets the address of the list; the default is http://127.0.0.1:8002/instances.
func WithURL(url string) Option { return func(c *Client) { c.url = url } }

// WithHTTPClient replaces the HTTP client.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.client = h } }

// WithTimeout bounds each call; the default is 2 s.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// New returns a client of the instance list.
func New(opts ...Option) *Client {
	c := &Client{
		url: "http://127.0.0.1:8002/instances",
		// A transport of its own takes no proxy from the environment.
		client:  &http.Client{Transport: &http.Transport{IdleConnTimeout: 30 * time.Second}},
		timeout: 2 * time.Second,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Instances returns the present list, by address; an error is *beryllatch.UnavailableError or *MalformedListError.
// The list must not be changed: an unchanged one is returned again without a transfer if the platform sends entity tags.
func (c *Client) Instances(ctx context.Context) (map[string]beryllatch.InstanceStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	last := c.cached()
	resp, err := c.get(ctx, last.etag)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified && last.etag != "" {
		return last.list, nil
	}
	list, err := readList(resp)
	if err != nil {
		return nil, err
	}
	c.setCached(cachedList{etag: resp.Header.Get("ETag"), list: list})
	return list, nil
}

func (c *Client) get(ctx context.Context, tag string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, http.NoBody)
	if err != nil {
		return nil, &beryllatch.UnavailableError{Err: err}
	}
	req.Header.Set("Accept", "application/json")
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, &beryllatch.UnavailableError{Err: err}
	}
	return resp, nil
}

func readList(resp *http.Response) (map[string]beryllatch.InstanceStatus, error) {
	if resp.StatusCode != http.StatusOK {
		return nil, &beryllatch.UnavailableError{Err: fmt.Errorf("instance list answered %s", resp.Status)}
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return nil, &beryllatch.UnavailableError{Err: err}
	}
	if len(b) > maxListBytes {
		return nil, &MalformedListError{Group: -1, Reason: "document is too large"}
	}
	return Decode(b)
}

func (c *Client) cached() cachedList {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cache
}

func (c *Client) setCached(s cachedList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache = s
}
