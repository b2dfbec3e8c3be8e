package berylload

import (
	"context"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/beryllatch/beryllatch/internal/platform/berylcall"
	"github.com/rotisserie/eris"
)

// tableProxy passes the calls to the table service on and counts them by operation.
type tableProxy struct {
	target string
	server *http.Server

	mu    sync.Mutex
	calls map[string]int
}

// tableCounts is what the proxy has counted so far.
type tableCounts struct {
	calls map[string]int
}

func (p *tableProxy) start(ctx context.Context) (string, error) {
	var cfg net.ListenConfig
	ln, err := cfg.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "table proxy")
	}
	p.calls = map[string]int{}
	pass := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: p.target})
	// The signature covers the host that the daemon addressed.
	pass.Transport = berylcall.OwnBody{Next: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	p.server = &http.Server{
		ReadHeaderTimeout: 10 * time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			p.count(r)
			pass.ServeHTTP(w, r)
		}),
	}
	go func() { _ = p.server.Serve(ln) }()
	return ln.Addr().String(), nil
}

func (p *tableProxy) stop() { _ = p.server.Close() }

func (p *tableProxy) count(r *http.Request) {
	_, operation, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[operation]++
}

func (p *tableProxy) counts() tableCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := tableCounts{calls: map[string]int{}}
	for k, n := range p.calls {
		c.calls[k] = n
	}
	return c
}

// writes counts the transactions and reads the other calls; a query counts once, whatever it returns.
func (c tableCounts) writes() int { return c.calls["TransactWriteItems"] }

func (c tableCounts) reads() int { return c.calls["GetItem"] + c.calls["Query"] }
