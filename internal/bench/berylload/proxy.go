package berylload

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// tableProxy forwards calls to the table service and counts the items that they write and read.
type tableProxy struct {
	target string
	server *http.Server

	mu     sync.Mutex
	counts tableCounts
}

// tableCounts holds the numbers of items written and read, counted as for the platform's limits: each item of a
// transaction and each item in the answer to a query is one.
type tableCounts struct {
	writes int
	reads  int
}

// itemCountPattern matches the number of items in the answer to a query.
var itemCountPattern = regexp.MustCompile(`"Count":\s*(\d+)`)

// start listens on a free port of the loopback interface and returns the address.
func (p *tableProxy) start(ctx context.Context) (string, error) {
	var cfg net.ListenConfig
	ln, err := cfg.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "listen for the table proxy")
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: p.target})
	proxy.Transport = &countingTransport{
		p: p, next: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
	}
	p.server = &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: proxy}
	go func() { _ = p.server.Serve(ln) }()
	return ln.Addr().String(), nil
}

func (p *tableProxy) stop() { _ = p.server.Close() }

// snapshot returns the counts so far.
func (p *tableProxy) snapshot() tableCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *tableProxy) add(writes, reads int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.writes += writes
	p.counts.reads += reads
}

// countingTransport counts the items of the calls that it forwards. It first reads the whole body of each request and
// answer. If it passed on the body of a request unread, that body could be closed while the next transport still sends
// it.
type countingTransport struct {
	p    *tableProxy
	next http.RoundTripper
}

// RoundTrip forwards a call and counts its items if it succeeds.
func (t *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	request, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, eris.Wrap(err, "read the request to the table")
	}
	forwarded := r.Clone(r.Context())
	forwarded.Body = io.NopCloser(bytes.NewReader(request))
	resp, err := t.next.RoundTrip(forwarded)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, eris.Wrap(err, "read the answer of the table")
	}
	resp.Body = io.NopCloser(bytes.NewReader(answer))
	if resp.StatusCode == http.StatusOK {
		_, operation, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
		t.p.add(countItems(operation, request, answer))
	}
	return resp, nil
}

// countItems returns how many items a successful call has written and read, from its request and answer.
func countItems(operation string, request, answer []byte) (writes, reads int) {
	switch operation {
	case "TransactWriteItems":
		writes = bytes.Count(request, []byte(`{"Put":`)) + bytes.Count(request, []byte(`{"Delete":`))
		return writes, bytes.Count(request, []byte(`{"ConditionCheck":`))
	case "Query":
		// A query without a result counts as one read.
		reads = 1
		if m := itemCountPattern.FindSubmatch(answer); m != nil {
			n, _ := strconv.Atoi(string(m[1]))
			reads = max(reads, n)
		}
		return 0, reads
	default:
		return 0, 1
	}
}
