package berylplatform

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/standin/berylreply"
)

// Balancer passes TCP connections to the entry daemons that answer ready, in turn.
type Balancer struct {
	interval time.Duration
	client   *http.Client

	mu      sync.Mutex
	entries map[string]entry
	next    int
}

// entry is one entry daemon.
type entry struct {
	Admin string `json:"admin"`
	Ready bool   `json:"ready"`
}

func newBalancer(interval time.Duration) *Balancer {
	return &Balancer{
		interval: interval,
		client:   &http.Client{Timeout: time.Second, Transport: &http.Transport{IdleConnTimeout: time.Minute}},
		entries:  make(map[string]entry),
	}
}

// Add registers an entry daemon by its callers' address and its admin address; it gets connections once it is ready.
func (b *Balancer) Add(address, admin string) {
	b.mu.Lock()
	b.entries[address] = entry{Admin: admin}
	b.mu.Unlock()
}

// Remove forgets an entry daemon; its open connections go on.
func (b *Balancer) Remove(address string) {
	b.mu.Lock()
	delete(b.entries, address)
	b.mu.Unlock()
}

// Serve passes on connections until the context ends or the listener fails.
func (b *Balancer) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go b.watch(ctx)
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		go b.pass(ctx, c)
	}
}

func (b *Balancer) watch(ctx context.Context) {
	t := time.NewTicker(b.interval)
	defer t.Stop()
	for {
		b.checkAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (b *Balancer) checkAll(ctx context.Context) {
	b.mu.Lock()
	admins := make(map[string]string, len(b.entries))
	for a, e := range b.entries {
		admins[a] = e.Admin
	}
	b.mu.Unlock()
	var wg sync.WaitGroup
	for address, admin := range admins {
		wg.Go(func() {
			ready := b.ready(ctx, admin)
			b.mu.Lock()
			if e, ok := b.entries[address]; ok && e.Admin == admin {
				e.Ready = ready
				b.entries[address] = e
			}
			b.mu.Unlock()
		})
	}
	wg.Wait()
}

func (b *Balancer) ready(ctx context.Context, admin string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pick returns the addresses of the ready daemons, starting with the one whose turn it is.
func (b *Balancer) pick() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []string
	for _, a := range beryllatch.SortedKeys(b.entries) {
		if b.entries[a].Ready {
			ready = append(ready, a)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	i := b.next % len(ready)
	b.next = i + 1
	return append(ready[i:], ready[:i]...)
}

func (b *Balancer) pass(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	d := net.Dialer{Timeout: time.Second}
	for _, a := range b.pick() {
		up, err := d.DialContext(ctx, "tcp", a)
		if err != nil {
			continue
		}
		join(ctx, c, up)
		return
	}
}

// join copies both ways until both sides have ended or one has failed.
func join(ctx context.Context, a, b net.Conn) {
	defer func() { _ = b.Close() }()
	stop := context.AfterFunc(ctx, func() { _, _ = a.Close(), b.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { copyHalf(a, b) })
	wg.Go(func() { copyHalf(b, a) })
	wg.Wait()
}

// copyHalf passes on the end of the stream; a failure closes both connections, so that neither side waits.
func copyHalf(dst, src net.Conn) {
	_, err := io.Copy(dst, src)
	if w, ok := dst.(interface{ CloseWrite() error }); ok && err == nil {
		err = w.CloseWrite()
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		_, _ = dst.Close(), src.Close()
	}
}

func (b *Balancer) put(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Admin string `json:"admin"`
	}
	if !decodeStrict(w, r, &body) {
		return
	}
	b.Add(mux.Vars(r)["address"], body.Admin)
	w.WriteHeader(http.StatusNoContent)
}

func (b *Balancer) remove(w http.ResponseWriter, r *http.Request) {
	b.Remove(mux.Vars(r)["address"])
	w.WriteHeader(http.StatusNoContent)
}

func (b *Balancer) list(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	berylreply.WriteJSON(w, http.StatusOK, "application/json", b.entries)
}
