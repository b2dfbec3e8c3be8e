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

// maxListBytes bounds the size of the list. A list of 630 instances has about 100 KB.
const maxListBytes = 8 << 20

// Client reads the instance list over HTTP. It implements beryllatch.InstanceList.
type Client struct {
	url     string
	client  *http.Client
	timeout time.Duration

	mu    sync.Mutex
	cache cachedList
}

// cachedList is the list that the platform sent last, with its entity tag (ETag).
type cachedList struct {
	etag string
	list map[string]beryllatch.InstanceStatus
}

var _ beryllatch.InstanceList = (*Client)(nil)

// Option changes a setting of a Client.
type Option func(*Client)

// WithURL sets the URL of the list; the default is http://127.0.0.1:8002/instances.
func WithURL(url string) Option { return func(c *Client) { c.url = url } }

// WithHTTPClient replaces the HTTP client.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.client = h } }

// WithTimeout bounds each call; the default is 2 s.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// New returns a client of the instance list.
func New(opts ...Option) *Client {
	c := &Client{
		url: "http://127.0.0.1:8002/instances",
		// Unlike http.DefaultTransport, this transport takes no proxy from the environment.
		client:  &http.Client{Transport: &http.Transport{IdleConnTimeout: 30 * time.Second}},
		timeout: 2 * time.Second,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Instances returns the current list by address; an error is *beryllatch.UnavailableError or *MalformedListError. If the
// platform sends entity tags, an unchanged list is not transferred again and the same map is returned, so the caller must
// not change it.
func (c *Client) Instances(ctx context.Context) (map[string]beryllatch.InstanceStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	cache := c.cached()
	resp, err := c.get(ctx, cache.etag)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified && cache.etag != "" {
		return cache.list, nil
	}
	list, err := readList(resp)
	if err != nil {
		return nil, err
	}
	c.setCached(cachedList{etag: resp.Header.Get("ETag"), list: list})
	return list, nil
}

// get requests the list; the platform answers 304 (not modified) if it still has the given entity tag.
func (c *Client) get(ctx context.Context, etag string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, http.NoBody)
	if err != nil {
		return nil, &beryllatch.UnavailableError{Err: err}
	}
	req.Header.Set("Accept", "application/json")
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
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

func (c *Client) setCached(l cachedList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache = l
}
